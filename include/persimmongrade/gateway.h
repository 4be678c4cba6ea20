// The process that carries traffic: takes requests from clients, finds their route, and forwards each to a target of
// the route's service.
//
//     gateway entry(loop, settings, dialect, metrics);
//     loop.on_signal(SIGTERM, [&] { entry.stop([&] { loop.stop(); }); });
//
// Promises. A request of a route that must run once is sent on only while no target can have begun it. 429 and 503 mean
// that no target ran it. Whatever may have run ends with the target's answer, 502 or 504.

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

// Names of headers that clients, gateways and targets exchange.
struct gateway_dialect {
    std::string attempt;          // id of one attempt of a client; echoed by targets
    std::string time_left;        // milliseconds that the client, or the gateway before the target, will wait
    std::string expected_target;  // only the target of this id may run the request
    std::string not_run;          // in an answer: the target did not run the request
    std::string signature;        // in an answer: made by a target
    std::string load;             // in an answer: load of the target
    std::string object_cookie;    // name of the cookie that tells the object of a request
    std::optional<target_load_report> (*parse_load)(std::string_view) = nullptr;
};

class gateway {
public:
    // Throws socket_error when an address cannot be bound.
    gateway(event_loop& loop, const wire::fleet_settings_t& settings, const gateway_dialect& dialect,
            metric_registry& metrics);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    bool ready() const;  // knows items and is not stopping
    // For clients that ask where to connect; nearest first. Empty when no gateway is known.
    std::vector<std::string> gateways_for(const std::string& region, const std::string& zone) const;
    void reload(const wire::fleet_settings_t& settings);  // seeds, bounds; addresses stay as at the start
    void stop(const std::function<void()>& done);         // clients leave first, then open requests end

private:
    struct impl;
    std::unique_ptr<impl> state;
};

}  // namespace persimmongrade
