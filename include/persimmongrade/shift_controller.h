// Shift controller: assigns the traffic of each service to target regions. Runs on the leader. Free of I/O: the current
// time is an argument.
//
//     controller.become_leader(now);
//     controller.apply(configuration, now);                    // each applied revision
//     controller.observe(edge, demand, taken_at, now);         // from edge_ping, times converted to the leader's clock
//     auto changed = controller.decide(now);                   // submit as set_assignments; empty: nothing to change
//
// A step moves at most `shift.max_permille` of the service's traffic per `shift.interval_ms`. Traffic that may still go
// to the previous region because of cached lookup answers counts as moving until these have expired. A step also keeps
// within the limits of the regions and links that it moves traffic to.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
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
    // Older byte sizes are replaced by the largest sizes that the record allows, which can block a shift over a limited
    // link. Only answered requests give sizes, so this is longer than the time until the failure of a region is noticed
    // (4 s) and its first step is decided (15 s with the default cap).
    duration size_age_limit = ms(30000);
    double overload_ratio = 0.9;  // share of a limit or capacity above which traffic is moved away
    double fill_ratio = 0.8;      // share up to which traffic is moved in; lower, to prevent oscillation

    friend bool operator==(const shift_options&, const shift_options&) = default;
};

// Result of the last decide() for a service.
enum class shift_state : std::uint8_t {
    settled,             // no traffic has to move
    moving,              // a step was decided
    cap_used,            // the shift cap of the current interval is used up
    measurements_stale,  // missing or older than the age limit: no step is decided
    no_room,             // no region has room for the traffic to move; it stays assigned and is refused
};

struct shift_status {
    shift_state state = shift_state::settled;
    std::uint32_t moved_permille = 0;  // of the service's traffic, in the current interval, cached answers included

    friend bool operator==(const shift_status&, const shift_status&) = default;
};

class shift_controller {
public:
    shift_controller(shift_options options, std::vector<region_latency> latencies);

    // The moves of a previous leader are known from apply(). A process that has applied revisions for less than one
    // interval plus the lifetime of cached answers waits for that time before its first step.
    void become_leader(time_point now);
    void step_down();
    void apply(const wire::configuration_t& configuration, time_point now);  // records, limits, current assignments
    // Measurements of one edge. A lower or equal sequence than the last of the same edge and subject is ignored.
    // `sizes_taken_at` is the time of the demand's byte sizes, if it has any.
    void observe(const std::string& edge, const wire::service_demand_t& demand, time_point taken_at,
                 std::optional<time_point> sizes_taken_at = std::nullopt);
    void observe(const std::string& edge, const wire::region_capacity_t& capacity, time_point taken_at);
    // Adds the region of an edge, which the edge may use as the region of its callers. Client blocks and limits add
    // others.
    void add_caller_region(const std::string& region);
    // Sets the region of an edge: its requests use the links between that region and the target regions.
    void set_edge_region(const std::string& edge, const std::string& region);
    // Removes an edge that left or restarted: its measurements no longer count, and its sequences start again.
    void remove_edge(const std::string& edge);

    // Returns the changed assignments in full (their shares sum to 1000). A caller region without an assignment gets
    // its first one at once, since no traffic moves. After a decision, nothing more is decided for the service until
    // apply() has shown the decision, this process has ceased to lead, or 30 s have passed.
    std::vector<wire::assignment_t> decide(time_point now);
    std::map<std::string, shift_status> status() const { return this->states; }

private:
    using permille_map = std::map<std::string, std::uint32_t>;  // by target region
    using amount_map = std::map<std::string, double>;           // requests per second by region
    using link_map = std::map<resource, double>;                // bytes per second by link
    using subject_key = std::pair<std::string, std::string>;    // service and caller region, or service and region
    struct demand_sample {
        double requests_per_second = 0;
        time_point taken_at{};
        std::uint64_t sequence = 0;
    };
    struct size_sample {
        double request_bytes = 0;
        double answer_bytes = 0;
        time_point taken_at{};
    };
    struct service_size {
        double request_bytes = 0;
        double answer_bytes = 0;
    };
    // Traffic of all services that is assigned, or may still arrive because of cached answers.
    struct planned_loads {
        amount_map regions;
        link_map links;
    };
    struct capacity_sample {
        std::uint32_t live = 0;
        std::uint32_t cold = 0;
        double requests_per_second = 0;
        time_point taken_at{};
        std::uint64_t sequence = 0;
    };
    struct service_entry {
        std::vector<std::string> regions;  // allowed target regions
        std::uint32_t max_permille = 100;
        duration interval = ms(10000);
        std::uint32_t max_request_bytes = 0;
        std::uint32_t max_answer_bytes = 0;
    };
    struct block_regions {  // caller regions that the client blocks of one record name
        std::uint64_t version = 0;
        std::set<std::string> regions;
    };
    struct region_capacity {  // of one service
        double requests_per_second = 0;
        bool cold = false;  // most live targets are cold
    };
    struct past_move {
        time_point at{};
        double share = 0;          // of the service's traffic, 0 to 1
        double cold_share = 0;     // part of `share` that moved into cold regions
        amount_map residual_load;  // traffic that may still go to its previous region
        link_map residual_links;   // the same in bytes per second over links
    };
    // Working state of one service while a step is decided.
    struct step {
        std::string service;
        const service_entry* entry = nullptr;
        std::map<std::string, permille_map> shares;  // by caller region
        amount_map demand;                           // by caller region; idle ones have a small minimum
        service_size size;                           // of a request
        double total = 0;
        std::map<std::string, region_capacity> capacities;
        amount_map load;           // of this service, by target region
        amount_map residual_load;  // of this service, by the region that it is leaving
        past_move moved;
        double budget = 0;  // share of the service's traffic that may still move
        double cold_budget = 0;
        bool lacks_capacity = false;    // traffic has to move, and no region has room for it
        std::set<std::string> changed;  // caller regions
    };

    void read_services(const wire::configuration_t& configuration);
    void read_assignments(const wire::configuration_t& configuration, time_point now);
    bool fresh(time_point taken_at, time_point now) const;
    bool read_demand(step& plan, time_point now) const;
    bool read_capacity(step& plan, time_point now) const;
    double last_demand(const subject_key& key) const;
    service_size size_of(const std::string& service, time_point now) const;
    amount_map entry_region_shares(const subject_key& key) const;
    link_map link_bytes(const subject_key& key, const service_size& size, const std::string& target) const;
    planned_loads total_load(time_point now) const;
    void read_caller_regions(const wire::configuration_t& configuration);
    std::set<std::string> caller_regions(const service_entry& entry) const;
    std::vector<std::string> by_latency(const std::string& caller, const step& plan, const planned_loads& loads) const;
    void first_assignments(const std::string& service, const service_entry& entry, time_point now,
                           std::vector<wire::assignment_t>& result);
    std::string first_region(const std::string& caller, const std::string& service, const service_entry& entry,
                             time_point now) const;
    bool prepare(step& plan, time_point now);
    void set_budget(step& plan, time_point now);
    double excess(const step& plan, const planned_loads& loads, const std::string& region) const;
    double room(const step& plan, const planned_loads& loads, const std::string& region) const;
    double link_room(const step& plan, const planned_loads& loads, const std::string& caller,
                     const std::string& to) const;
    void reduce_overload(step& plan, planned_loads& loads) const;
    void move_nearer(step& plan, planned_loads& loads) const;
    double move(step& plan, planned_loads& loads, const std::string& caller, const std::string& from,
                const std::string& to, double amount) const;
    void finish(step& plan, time_point now, std::vector<wire::assignment_t>& result);
    static wire::assignment_t to_assignment(const std::string& service, const std::string& caller,
                                            const permille_map& shares);

    shift_options options;
    std::vector<region_latency> latencies;
    std::map<std::string, service_entry> services;
    std::set<std::string> edge_regions;                 // given by add_caller_region
    std::map<std::string, block_regions> named_blocks;  // by record
    limit_table limits;
    std::map<subject_key, permille_map> assignments;  // applied, by service and caller region
    std::map<subject_key, permille_map> decided;      // by this process; already counted as moved
    std::map<std::string, time_point> pending;        // services whose decided step is not applied yet
    std::map<subject_key, std::map<std::string, demand_sample>> demands;       // then by edge
    std::map<subject_key, std::map<std::string, capacity_sample>> capacities;  // then by edge
    std::map<std::string, std::map<std::string, size_sample>> sizes;           // by service and edge
    std::map<std::string, std::string> region_by_edge;                         // region by edge
    std::map<std::string, std::deque<past_move>> moves;                        // by service
    std::map<std::string, shift_status> states;
    std::optional<time_point> first_configuration_at;  // first applied revision
    bool leading = false;
};

}  // namespace persimmongrade
