// The control daemon: runs consensus, record store, distribution and the operators' HTTP interface on one event loop.
//
//     control_server server(loop, load_control_settings("control-1.yaml"), {});
//     loop.on_signal(SIGTERM, [&] { server.stop(); });  // transfers leadership, answers pending requests, ends the
//     loop loop.run();
//
// HTTP interface: section 7 of docs/design.md. Only the leader serves changes and reads; any other process answers 421
// with the leader's address in the header Persimmon-Leader and in the body.

#pragma once

#include <memory>

#include "persimmongrade/bootstrap.h"
#include "persimmongrade/event_loop.h"
#include "settings_generated.h"

namespace persimmongrade {

struct control_options {
    bool bootstrap = false;  // first start of a new cluster: an empty data directory may vote at once
    bootstrap_registry bootstrap_confirmations = {};  // answers other processes that start with --bootstrap
    duration request_timeout = ms(10000);  // from the first byte of a request to its last, then request_incomplete
};

class control_server {
public:
    // Throws socket_error when an address cannot be bound, and storage_error types when the data cannot be used.
    control_server(event_loop& loop, wire::control_settings_t settings, const control_options& options);
    ~control_server();
    control_server(const control_server&) = delete;
    control_server& operator=(const control_server&) = delete;

    void stop();  // planned stop: takes at most stop_timeout_ms, then ends the loop

private:
    struct impl;
    std::unique_ptr<impl> state;
};

}  // namespace persimmongrade
