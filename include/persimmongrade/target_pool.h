// Target pool: the targets known to one edge, with their leases, and load balancing among them.
//
//     pool.announce(now, info);                                        // POST /v1/targets
//     if (auto target = pool.pick(now, "crew-dispatch", {"north"}, tried)) {
//         pool.started(target->service, target->id);
//         ...
//         pool.finished(now, target->service, target->id, {target_result::success, latency});
//     }
//
// A target's score is the number of requests outstanding from this edge relative to its slots, scaled by the latency,
// errors and sheds that this edge observed; the lower score is preferred. The load that a target reports only decides
// between otherwise equal targets.

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "messages_generated.h"
#include "persimmongrade/clock.h"

namespace persimmongrade {

inline constexpr duration target_lease = ms(3000);  // from the last announcement
// A renewal that arrives with less lease left shows that an update was lost.
inline constexpr duration late_renewal_lease_left = ms(1250);
inline constexpr duration slow_start_time = ms(10000);
inline constexpr double slow_start_floor = 0.1;        // share of its slots that a cold target may use at first
inline constexpr std::uint32_t ejection_failures = 5;  // consecutive failures; sheds do not count
inline constexpr duration ejection_time = ms(5000);    // doubled at each further ejection, up to 8 times as long

// Outcome of one request as observed by this edge.
enum class target_result : std::uint8_t {
    success,
    shed,   // the target refused the request before running it
    error,  // the answer states that the target failed
    timeout,
    connect_failed,
    connection_lost,
    cancelled,  // ended by the caller or the edge; not counted for or against the target
};

struct target_observation {
    target_result result = target_result::success;
    duration latency = duration::zero();  // until the answer was complete; used for success only
};

struct target_choice {
    std::string id;
    std::string service;
    std::string address;
    std::string region;
    std::string zone;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint64_t incarnation = 0;

    bool operator==(const target_choice&) const = default;
};

// State of one target, for /metrics, edge_ping and tests.
struct target_view {
    target_choice target;
    std::uint32_t outstanding = 0;
    bool draining = false;
    bool ejected = false;
    bool cold = false;      // within slow_start_time
    double score = 0;       // lower is preferred
    double latency_ms = 0;  // moving average, 0 before the first success

    bool operator==(const target_view&) const = default;
};

// A target whose state was replaced by a newer state.
struct target_change {
    std::string service;
    std::string id;
    time_point announced_at{};  // of other edges' targets: transit time not subtracted
    // New, restarted, in another state, or renewed with less than late_renewal_lease_left; otherwise a timely renewal.
    bool urgent = false;

    bool operator==(const target_change&) const = default;
};

enum class selection_method : std::uint8_t { two_random_choices, round_robin, full_scan };

struct target_pool_options {
    selection_method method = selection_method::two_random_choices;  // the others are for comparison
    std::uint64_t seed = 0;
};

class target_pool {
public:
    explicit target_pool(target_pool_options options);

    // Applies an announcement received by this edge. Returns nothing if its (incarnation, sequence) is not newer than
    // the known one.
    std::optional<target_change> announce(time_point now, const wire::target_info_t& info);

    // Applies state from another edge. Leases end when they end there (lease_ms). Targets first learned from a full
    // update stay cold for as long as at the other edge, which knew them before. Returns the targets whose state was
    // newer than the known one.
    std::vector<target_change> apply(time_point now, const wire::target_update_t& update);

    // Removes and returns the targets whose lease has expired. Ends ejections that exceed half of a region's targets.
    std::vector<target_choice> tick(time_point now);

    // State to send to other edges: of one target (state_of), of the targets whose newest announcement this edge
    // received (local_update), and of all targets (full_update).
    std::optional<wire::target_info_t> state_of(time_point now, std::string_view service, std::string_view id) const;
    bool alive(time_point now, std::string_view service, std::string_view id) const;  // its lease has not expired
    // Number of targets that are alive, not draining and not ejected; with a region, only those in it.
    std::size_t count_usable(time_point now, std::string_view service, std::string_view region = {}) const;
    wire::target_update_t local_update(time_point now) const;
    wire::target_update_t full_update(time_point now) const;

    // Sets the targets that the configuration drains, in addition to those that announce it. Replaces the previous set.
    void set_drains(time_point now, const std::set<std::string>& targets);
    bool should_drain(std::string_view target) const;

    // Selects a target of the service in one of the regions that may be sent a request: alive, not draining, not
    // ejected, with a free slot, and not in `excluded`. Does not count the request; see started(). pick_if() considers
    // only targets for which `usable(choice)` is true, for example those with a leased slot left.
    std::optional<target_choice> pick(time_point now, std::string_view service, const std::vector<std::string>& regions,
                                      const std::vector<std::string>& excluded = {});
    template <typename Usable>
    std::optional<target_choice> pick_if(time_point now, std::string_view service,
                                         const std::vector<std::string>& regions,
                                         const std::vector<std::string>& excluded, Usable usable) {
        this->limit_ejections_of(now, service);
        return this->choose(this->candidates(now, service, regions, excluded, usable));
    }

    void started(const std::string& service, const std::string& id);
    void finished(time_point now, const std::string& service, const std::string& id, target_observation observation);

    std::uint32_t outstanding(const std::string& service,
                              const std::string& id) const;  // also after the lease has expired
    std::vector<wire::target_outstanding_t> all_outstanding() const;
    std::vector<target_view> view(time_point now, std::string_view service) const;
    std::vector<std::string> services() const;

private:
    struct target {
        wire::target_info_t info;
        time_point expires_at;
        time_point slow_start_ends_at;  // end of slow start
        time_point ejected_until;
        std::uint32_t consecutive_failures = 0;
        std::uint32_t ejections = 0;
        double latency_ms = 0;  // moving average
        double error_rate = 0;  // moving average of failed and shed requests, 0 to 1
        time_point error_rate_at;
        bool local = false;  // this edge received the newest announcement
    };
    using service_targets = std::map<std::string, target, std::less<>>;
    struct candidate {
        const target* tracked = nullptr;
        double score = 0;
    };

    template <typename Usable>
    std::vector<candidate> candidates(time_point now, std::string_view service, const std::vector<std::string>& regions,
                                      const std::vector<std::string>& excluded, Usable usable) const;
    std::optional<target_choice> choose(const std::vector<candidate>& from);
    std::optional<target_change> store(time_point now, const wire::target_info_t& info, duration lease, bool local,
                                       duration cold);
    const target* find_alive(time_point now, std::string_view service, std::string_view id) const;
    wire::target_update_t update_of(time_point now, bool full) const;
    bool draining(const target& tracked) const;
    bool matches(time_point now, const target& tracked, const std::vector<std::string>& regions,
                 const std::vector<std::string>& excluded) const;
    void record_failure(time_point now, service_targets& pool, target& tracked) const;
    void limit_ejections(time_point now, service_targets& pool) const;
    void limit_ejections_of(time_point now, std::string_view service);  // leases may have expired since tick()
    void limit_all_ejections(time_point now);
    wire::target_info_t with_lease(time_point now, const target& tracked) const;
    double score(time_point now, const target& tracked, double mean_latency_ms) const;
    static double slow_start_share(time_point now, const target& tracked);
    static double mean_latency(const service_targets& pool);
    static target_choice choice_of(const target& tracked);

    target_pool_options options;
    std::mt19937_64 random;
    std::map<std::string, service_targets, std::less<>> by_service;
    std::map<std::string, std::map<std::string, std::uint32_t>> outstanding_by_service;
    std::map<std::string, std::size_t, std::less<>> next_index;  // for round robin, by service
    std::set<std::string, std::less<>> drains;
};

template <typename Usable>
std::vector<target_pool::candidate>
target_pool::candidates(time_point now, std::string_view service, const std::vector<std::string>& regions,
                        const std::vector<std::string>& excluded, Usable usable) const {
    std::vector<candidate> found;
    auto pool = this->by_service.find(service);
    if (pool == this->by_service.end()) {
        return found;
    }
    double latency = mean_latency(pool->second);
    for (const auto& [id, tracked] : pool->second) {
        if (this->matches(now, tracked, regions, excluded) && usable(choice_of(tracked))) {
            found.push_back({&tracked, this->score(now, tracked, latency)});
        }
    }
    return found;
}

}  // namespace persimmongrade
