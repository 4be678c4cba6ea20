// HTTP gateway: accepts requests from clients, selects the route of each, and forwards it to a target of the route's
// service. A gateway process runs one instance on its event loop.
//
//     gateway entry(loop, settings, header_names, metrics);
//     loop.on_signal(SIGTERM, [&] { entry.stop([&] { loop.stop(); }); });
//
// Delivery guarantees. A request of a route of kind `once` is sent to another target only while no target can have
// started to run it. The statuses 429 and 503 mean that no target ran the request. A request that a target may have run
// ends with the target's answer, or with 502 or 504.

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "persimmongrade/dispatcher.h"
#include "persimmongrade/event_loop.h"
#include "persimmongrade/metrics.h"
#include "settings_generated.h"

namespace persimmongrade {

// Names of the HTTP headers that clients, gateways and targets exchange, and the parser of the load header.
struct gateway_header_names {
    std::string attempt;      // id of one attempt of a client; targets echo it in the answer
    std::string deadline_ms;  // remaining time in milliseconds that the sender (client or gateway) waits for an answer
    std::string expected_target;  // id of the only target that may run the request
    std::string not_run;          // answer header: the target did not run the request
    std::string signature;        // answer header: set by targets, to tell their answers from those of other servers
    std::string load;             // answer header: load of the target, read by `parse_load`
    std::string rate_limit;       // answer header: requests per second that the target takes from all gateways
    std::string leaving;          // answer header: the target leaves, and wants no further requests
    std::string affinity_cookie;  // name of the cookie that identifies the object of a request, for sticky routing
    std::string organisation;     // name of the caller's organisation, for targets; set by the gateway only
    std::optional<target_load_report> (*parse_load)(std::string_view) = nullptr;
};

class gateway {
public:
    // Throws socket_error when an address cannot be bound.
    gateway(event_loop& loop, const wire::fleet_settings_t& settings, const gateway_header_names& header_names,
            metric_registry& metrics);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    bool ready() const;  // has received items, and is not stopping
    // Addresses of gateways for a client in `region` and `zone`, nearest first. Empty when no gateway is known.
    std::vector<std::string> gateways_for(const std::string& region, const std::string& zone) const;
    // Applies changed seeds and a changed stop_timeout_ms; a changed retry_ratio or retry_window_ms applies only to
    // services whose first request arrives after the reload. Until a restart, the other services keep their old retry
    // settings, and all other settings that the gateway uses keep their old values.
    void reload(const wire::fleet_settings_t& settings);
    void stop(const std::function<void()>& done);  // lets clients move to other gateways, then finishes open requests

private:
    struct impl;
    std::unique_ptr<impl> state;
};

}  // namespace persimmongrade
