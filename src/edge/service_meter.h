// Measurements per service: latency histogram for /metrics, demand and capacity for the leader.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "messages_generated.h"
#include "persimmongrade/clock.h"
#include "persimmongrade/metrics.h"
#include "persimmongrade/target_pool.h"

namespace persimmongrade {

inline constexpr duration demand_window = ms(1000);

class service_meter {
public:
    service_meter(metric_registry& metrics, time_point now) : metrics(metrics), started_at(now), window_started(now) {}

    void offered(const std::string& service, const std::string& caller_region);  // a request arrived
    void ended(const std::string& service, duration latency);                    // it was answered or refused
    // A target answered; sizes as the link leases count them.
    void answered(const std::string& service, std::uint64_t request_bytes, std::uint64_t answer_bytes);

    // Adds demands and capacities to a ping. Demand is the rate of the last complete window.
    void report(wire::edge_ping_t& ping, const wire::configuration_t& configuration, const target_pool& targets,
                time_point now);

private:
    struct demand {
        std::uint64_t count = 0;  // in the current window
        double per_second = 0;    // of the last window
    };

    struct sizes {  // sums over recent windows, halved with each window that has answers
        double requests = 0;
        double request_bytes = 0;
        double answer_bytes = 0;
        bool changed = false;  // in the current window
        double mean_request_bytes = 0;
        double mean_answer_bytes = 0;
        std::int64_t measured_at_ms = 0;  // Unix time of the last window with answers; 0: none
    };

    void close_window(time_point now);
    void report_capacities(wire::edge_ping_t& ping, const wire::service_definition_t& service,
                           const std::vector<target_view>& views);

    metric_registry& metrics;
    std::map<std::string, prometheus::Histogram*> latencies;        // by service
    std::map<std::pair<std::string, std::string>, demand> demands;  // by service and caller region
    std::map<std::string, sizes> transfers;                         // by service
    std::map<std::string, double> mean_latencies;                   // last known of live targets, ms, by service
    time_point started_at;
    time_point window_started;
    std::int64_t measured_at_ms = 0;  // Unix time of the end of the last window
    std::uint64_t sequence = 0;
};

}  // namespace persimmongrade
