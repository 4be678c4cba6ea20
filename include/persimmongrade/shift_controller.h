// Assignment of each service's traffic to target regions, on the leader. Pure: time is an argument.
//
//     controller.become_leader(now);
//     controller.apply(configuration, now);                    // each applied revision
//     controller.observe(edge, demand, taken_at, now);         // from edge_ping, times mapped to the leader's clock
//     auto changed = controller.decide(now);                   // submit as set_assignments; empty: nothing to change
//
// A step moves at most `shift.max_permille` of the service's traffic per `shift.interval_ms`. Traffic that cached
// answers still send to the old place counts as moving until their lifetime has passed.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "messages_generated.h"
#include "persimmongrade/capacity_lease.h"
#include "persimmongrade/clock.h"
#include "persimmongrade/lookup.h"

namespace persimmongrade {

struct shift_options {
    duration measurement_age_limit = ms(3000);   // older measurements freeze the service
    duration cached_answer_lifetime = ms(5000);  // ttl of lookup answers
    double target_utilization = 0.9;             // part of a limit or capacity that an assignment may plan to use

    friend bool operator==(const shift_options&, const shift_options&) = default;
};

// Why a service's assignments did not change at the last `decide`.
enum class shift_state : std::uint8_t {
    settled,             // the assignment is the wanted one
    moving,              // a step was decided
    cap_used,            // the cap of the current interval is used up
    measurements_stale,  // missing or older than the age limit: frozen
    no_room,             // no region has room for what should move
};

struct shift_status {
    shift_state state = shift_state::settled;
    std::uint32_t moved_permille = 0;  // of the service's traffic, in the current interval, cached answers included

    friend bool operator==(const shift_status&, const shift_status&) = default;
};

class shift_controller {
public:
    shift_controller(shift_options options, std::vector<region_latency> latencies);

    // A new leader does not know what its predecessor moved: it waits one interval before the first step.
    void become_leader(time_point now);
    void apply(const wire::configuration_t& configuration, time_point now);  // records, limits, current assignments
    // Measurements of one edge. A lower or equal sequence than the last of the same edge and subject is ignored.
    void observe(const std::string& edge, const wire::service_demand_t& demand, time_point taken_at);
    void observe(const std::string& edge, const wire::region_capacity_t& capacity, time_point taken_at);
    void forget(const std::string& edge);  // an edge that left; its measurements no longer count or go stale

    // Complete assignments (shares sum to 1000) that change; empty when nothing does. A caller region without an
    // assignment gets its first one at once, as no traffic moves.
    std::vector<wire::assignment_t> decide(time_point now);
    std::map<std::string, shift_status> status() const { return this->states; }

private:
    using permille_map = std::map<std::string, std::uint32_t>;  // by target region
    struct demand_sample {
        double requests_per_second = 0;
        time_point taken_at{};
        std::uint64_t sequence = 0;
    };
    struct capacity_sample {
        std::uint32_t live = 0;
        std::uint32_t cold = 0;
        double requests_per_second = 0;
        time_point taken_at{};
        std::uint64_t sequence = 0;
    };
    struct service_entry {
        std::vector<std::string> regions;  // where targets may serve it
        std::uint32_t max_permille = 100;
        duration interval = ms(10000);
    };
    struct region_room {      // of one service
        double capacity = 0;  // requests per second that may be planned
        bool cold = false;    // most live targets are cold
        bool alive = false;
    };
    struct past_move {
        time_point at{};
        double share = 0;       // of the service's traffic, 0 to 1
        double cold_share = 0;  // part of it into cold regions
    };
    using service_demand_map = std::map<std::string, double>;  // requests per second by caller region
    struct step_budget {
        double warm = 0;  // requests per second that may still move in this interval
        double cold = 0;  // part of it into cold regions
    };

    bool fresh_demand(const std::string& service, time_point now, service_demand_map& result) const;
    bool fresh_capacity(const std::string& service, const service_entry& entry, time_point now,
                        std::map<std::string, region_room>& result) const;
    std::vector<std::string> by_latency(const std::string& caller, const std::vector<std::string>& regions,
                                        const std::map<std::string, double>& headroom) const;
    void decide_service(const std::string& service, const service_entry& entry, time_point now,
                        std::map<std::string, double>& region_load, std::vector<wire::assignment_t>& changed);
    step_budget budget(const std::string& service, const service_entry& entry, double total, time_point now) const;
    std::uint32_t latency(const std::string& from, const std::string& to) const;

    shift_options options;
    std::vector<region_latency> latencies;
    std::map<std::string, service_entry> services;
    limit_table limits;
    std::map<std::pair<std::string, std::string>, permille_map> assignments;  // by (service, caller region)
    std::map<std::pair<std::string, std::string>, std::map<std::string, demand_sample>> demands;       // then by edge
    std::map<std::pair<std::string, std::string>, std::map<std::string, capacity_sample>> capacities;  // then by edge
    std::map<std::string, std::deque<past_move>> moves;                                                // by service
    std::map<std::string, shift_status> states;
    time_point first_step_at{};
    bool leading = false;
};

}  // namespace persimmongrade
