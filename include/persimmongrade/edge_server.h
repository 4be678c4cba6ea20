// The edge daemon: answers lookups, forwards requests to targets, takes announcements, and follows the control
// processes. All parts run on the event loop that is passed in.
//
//     edge_server server(loop, load_edge_settings(file), metrics);
//     loop.on_signal(SIGTERM, [&] { server.stop([&] { loop.stop(); }); });
//     loop.run();

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>

#include "persimmongrade/event_loop.h"
#include "persimmongrade/metrics.h"
#include "persimmongrade/settings.h"

namespace persimmongrade {

struct edge_options {
    bool first_start = false;       // the deployment never ran before: the ledger has nothing to copy. Unsafe later
    std::uint64_t random_seed = 0;  // of the choice of targets and regions; 0: the time of the start
    duration request_timeout = ms(10000);  // from the first byte of a request to its last, then request_incomplete

    auto operator<=>(const edge_options&) const = default;
};

class edge_server {
public:
    // Throws socket_error when an address cannot be bound.
    edge_server(event_loop& loop, wire::edge_settings_t settings, metric_registry& metrics, edge_options options = {});
    ~edge_server();
    edge_server(const edge_server&) = delete;
    edge_server& operator=(const edge_server&) = delete;

    // Planned stop: leaves the lookup answers, serves until cached answers have expired, finishes requests in flight
    // and calls back, at the latest after stop_timeout_ms.
    void stop(std::function<void()> on_stopped);
    bool ready() const;  // holds a valid configuration lease and is not stopping

private:
    struct impl;
    std::unique_ptr<impl> state;
};

}  // namespace persimmongrade
