// Checks whether something listens at an address, by opening a connection and closing it.
//
//     probe_connection(loop, address, ms(50), [](probe_result result) { ... });

#pragma once

#include <cstdint>
#include <functional>

#include "persimmongrade/address.h"
#include "persimmongrade/event_loop.h"

namespace persimmongrade {

enum class probe_result : std::uint8_t {
    connected,  // and the connection stayed open for 10 ms
    refused,    // or accepted and ended at once
    timed_out,
};

// The callback runs once, on a later turn of the loop.
void probe_connection(event_loop& loop, const ip_address& address, duration timeout,
                      std::function<void(probe_result)> callback);

}  // namespace persimmongrade
