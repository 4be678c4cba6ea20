// Listening sockets on the event loop, shared by the HTTP server and the peer transport.

#pragma once

#include <h2o.h>

#include "persimmongrade/address.h"
#include "persimmongrade/event_loop.h"

namespace persimmongrade {

// Binds and listens. Throws socket_error naming the address.
h2o_socket_t* open_listener(event_loop& loop, const ip_address& address);

// Turns off Nagle's algorithm: messages are small and latency matters.
void set_no_delay(h2o_socket_t* socket);

// Otherwise the kernel buffers megabytes for a slow peer, and the own queue looks empty although nothing was
// delivered.
void keep_unsent_bytes_in_process(h2o_socket_t* socket);

// Ends a connection whose peer no longer answers: a host without power, or behind a partition, resets nothing. Sent
// bytes may stay unacknowledged, or the peer's buffers full, for the time given; an idle peer is probed after 1 s.
void set_liveness(h2o_socket_t* socket, duration unacknowledged);

}  // namespace persimmongrade
