// Chooses for each request of a gateway the target and the time of sending, and refuses requests that cannot be
// answered before their deadline. Performs no input or output: the caller reports events and carries out the returned
// actions.
//
//     dispatcher placement({.region = "north"});
//     placement.set_target(target, now);
//     placement.add(request, now);
//     for (const dispatch_action& action : placement.poll(now)) { send or refuse }
//     placement.finished(request_id, target_id, result, now);   // then poll again
//
// Each request has two deadlines: the aim of its route, a soft deadline after which an answer is worth less, and the
// deadline proper, after which it is worth nothing.
//
// Placement. A request goes to the target with the earliest predicted answer, which is the sum of the wait for a slot,
// the work and the network distance. The work is learned from answers, separately for objects that the target handled
// recently. Objects unknown to all targets are placed by rendezvous hashing, so that gateways agree without messages.
// Load pattern: many objects whose work on a cold target is several times their work on a warm one.
//
// Shared rates. A target that is cold or in need takes a limited number of requests per second from all gateways. This
// gateway sends its share, and places what exceeds it elsewhere or lets it wait.
//
// Waiting. A request cannot be taken back from the queue of a target. Requests therefore wait here and are sent when a
// slot is about to become free. They are ordered by priority; within a priority, requests that can still be answered
// within their aim come first, earliest aim first, followed by late ones, newest first. Load pattern: a burst that
// exceeds the slots, for which first come, first served would answer all requests late.
//
// Refusal. A request whose predicted answer lies beyond its deadline is refused at once, with a retry delay after which
// the queue before it will have been served. Retry delays are randomized, so that requests refused together do not
// return together.

#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "persimmongrade/clock.h"
#include "persimmongrade/host_speed.h"
#include "persimmongrade/region_share.h"
#include "persimmongrade/sliding_window.h"
#include "persimmongrade/work_model.h"

namespace persimmongrade {

using request_id = std::uint64_t;

struct dispatcher_options {
    std::string region;  // region of this gateway
    region_share_options shift;
    std::uint64_t random_seed = 0;
};

// Limit that a target in need names, in requests per second.
struct rate_share {
    double named = 0;  // of all gateways together
    double own = 0;    // of this gateway

    bool operator==(const rate_share&) const = default;
};

struct dispatch_target {
    std::string id;
    std::string service;
    std::string region;
    unsigned slots = 1;
    std::int64_t started_at_ms = 0;            // Unix time; after a restart the target has no cached objects
    time_point heard_at{};                     // when the target last reported itself ready
    time_point cold_until{};                   // end of its warm-up
    unsigned cold_quota = 0;                   // requests per second that this gateway may send it until `cold_until`
    std::optional<rate_share> send_rate = {};  // none: the target names no limit

    bool operator==(const dispatch_target&) const = default;
};

struct dispatch_request {
    request_id id = 0;
    std::string service;
    std::uint64_t object = 0;           // hash of the object; 0: none
    std::uint64_t kind = 0;             // hash of the route: requests of one kind need about the same work
    unsigned priority = 0;              // 0 is the most urgent
    time_point aim_at{};                // soft deadline: an answer before it is worth most
    time_point deadline_at{};           // an answer after it is worth nothing
    std::vector<std::string> regions;   // regions where the request may run; empty: any
    std::vector<std::string> excluded;  // ids of targets that the request was sent to before
    bool drop_if_late = false;          // drop without an action when no answer is predicted before the deadline
    // A target that ran it may have crashed. No target gets two such requests at a time: if it crashes, one is to
    // blame.
    bool isolated = false;
};

enum class refusal_cause : std::uint8_t {
    none,
    no_target,  // no target of the service is usable for the request
    overload,   // the predicted wait exceeds the time to the deadline
    too_late,   // waited until no answer before the deadline was possible
};

struct dispatch_action {
    request_id request = 0;
    std::string target;  // id of the target to send to; empty: refused
    refusal_cause cause = refusal_cause::none;
    duration retry_after{};   // for refusals
    double predicted_ms = 0;  // predicted time until the answer; for refusals, the predicted wait
};

enum class dispatch_outcome : std::uint8_t {
    answered,     // the service ran the request and returned success or an application-level failure
    failed,       // the target answered with a server error
    not_run,      // the target refused the request without running it
    lost,         // the connection ended, or the response was not a valid answer of the target
    unreachable,  // no connection could be opened
    cancelled,    // the caller disconnected, or the deadline of the request passed
};

struct target_load_report {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    // Time that work takes on the target's host at this moment, relative to the usual time. None: not stated.
    std::optional<double> work_factor = {};
};

// Estimates on which the placement of requests of one service is based, for logs.
struct service_estimates {
    std::string service;
    std::size_t targets = 0;
    std::size_t waiting = 0;
    double remote_share = 0;
    double local_utilization = 0;  // running and waiting requests per slot
    double remote_utilization = 0;
    double known_ms = 0;  // expected work by cache state of the object
    double likely_ms = 0;
    double unknown_ms = 0;

    bool operator==(const service_estimates&) const = default;
};

class dispatcher {
public:
    explicit dispatcher(const dispatcher_options& options);

    // Targets and gateways. A target is used from set_target() until remove_target().
    void set_target(const dispatch_target& target, time_point now);
    void remove_target(const std::string& id);
    void hold_off(const std::string& id, time_point until);  // the target wants no requests of this gateway until then
    // Priorities come from callers, so that requests with very different work have the same one. Work and queues are
    // then measured by kind of request, as they are where targets state the speed of their hosts.
    void set_callers_have_ranks(bool have) { this->callers_have_ranks = have; }
    void set_region_gateway_count(unsigned in_region) { this->region_gateways = std::max(1U, in_region); }

    // Requests.
    void add(const dispatch_request& request, time_point now);
    void cancel(request_id id);  // removes a waiting request; unknown ids are ignored
    void finished(request_id id, const std::string& target, dispatch_outcome result,
                  const std::optional<target_load_report>& load, time_point now);
    std::vector<dispatch_action> poll(time_point now);

    // State, for logs and metrics.
    std::size_t waiting() const noexcept { return this->queue_keys.size(); }
    double remote_share(const std::string& service) const;
    std::vector<service_estimates> estimates() const;

private:
    struct sent_request {
        time_point sent_at;
        std::uint64_t object;
        double predicted_ms;
        object_state state;
        bool slot_was_free;
        bool isolated;
        std::uint64_t kind;
        double work_factor;  // of the target's host, estimated when the request was sent
    };

    // Load of the targets of one service in one region.
    struct region_load {
        double other_load_per_slot = 0;  // mean number of requests from other gateways
        double half_life_ms = 0;         // decay of the load reported by a single target towards the estimate
    };

    struct target_state {
        dispatch_target info;
        std::uint64_t hash = 0;
        std::unordered_map<request_id, sent_request> sent;
        region_load* region = nullptr;
        double other_load = 0;  // requests from other gateways at the target
        time_point other_load_at{};
        double slowdown = 1;  // factor of its work on the mean of the service, apart from host_speed
        host_speed speed;
        double failure_rate = 0;
        time_point health_updated_at{};  // when `slowdown` and `failure_rate` were last updated
        time_point held_off_until{};
        std::optional<time_point> unreachable_at;
        duration unreachable_backoff{};
        std::unordered_map<std::uint64_t, time_point>
            objects;                          // objects that it handled, with the time of the last answer
        sliding_window cold_sends{ms(1100)};  // longer than 1 s, because network delays vary
        double send_tokens = 0;               // requests that may be sent at once, while there is a send_rate
        time_point tokens_filled_at{};

        double expected_other_load(unsigned gateways) const;
        bool runs_isolated() const;
        void fill_tokens(time_point now);
        bool may_send(time_point now);
        double slots_in_use(double work_ms) const;
        void decay_health(time_point now);
    };

    struct work_times {
        double known_ms = 0;  // learned means; 0: no answer so far
        double likely_ms = 0;
        double unknown_ms = 0;
        double mean_ms = 0;
        double prior_ms = 0;  // estimate for an unknown object before the first answer

        double& mean_of(object_state state);
        double expected(object_state state) const;
        double mean() const;
        double shortest() const;
    };

    // Exponentially decayed arrival rate of the requests of one service at this gateway.
    struct arrival_rate {
        static constexpr double half_life_ms = 700;
        double count = 0;
        time_point counted_at{};

        void add(time_point now);
        double per_ms(time_point now);
    };

    struct service_state {
        std::vector<target_state*> targets;
        std::uint64_t targets_version = 1;  // rises when a target is added or removed, or turns cold
        work_times work;
        bool hosts_are_shared = false;  // targets state the speed of their hosts
        std::unordered_map<std::uint64_t, work_model> work_by_kind = {};
        region_share share;
        bool share_initialized = false;
        arrival_rate arrivals = {};
        std::size_t waiting = 0;
        std::size_t local_sent = 0;   // requests in flight at targets of the own region
        double fair_share_slots = 0;  // equal share of this gateway in the slots of the region
        bool saturated = false;       // the utilization of the region's targets exceeds saturated_utilization
        double local_utilization = 0;
        double remote_utilization = 0;
        std::map<std::string, region_load> regions = {};
    };

    // Sort key of waiting requests; the smallest is sent first.
    struct queue_key {
        std::string service;
        unsigned priority = 0;
        bool late = false;
        std::int64_t order = 0;
        request_id id = 0;
        auto operator<=>(const queue_key&) const = default;
    };

    struct candidate {
        target_state* target = nullptr;
        double answer_ms = std::numeric_limits<double>::infinity();
        double wait_ms = 0;
        object_state object = object_state::unknown;
    };

    // Targets that a waiting request may be sent to.
    struct candidate_list {
        std::vector<target_state*> ranked;
        std::vector<target_state*> cold;
        std::uint64_t version = 0;  // targets_version of the service when it was made
        time_point valid_until{};
    };

    using waiting_list = std::map<queue_key, dispatch_request>;

    service_state& service(const std::string& name);
    bool by_kind(const service_state& state) const { return state.hosts_are_shared || this->callers_have_ranks; }
    double expected_work(const service_state& state, std::uint64_t kind, object_state object) const;
    double shortest_work(const service_state& state, std::uint64_t kind) const;
    double queued_work(const service_state& state, const dispatch_request& request) const;
    waiting_list::iterator erase_waiting(waiting_list::iterator entry);
    double load(const target_state& target, time_point now) const;  // requests at the target, from all gateways
    void initialize_share(service_state& state) const;
    void update_share(service_state& state, time_point now) const;
    bool usable(const target_state& target, const dispatch_request& request, time_point now) const;
    std::vector<target_state*> preferred_targets(const service_state& state, const dispatch_request& request,
                                                 bool remote, time_point now) const;
    const candidate_list& candidates_of(const service_state& state, const dispatch_request& request, time_point now);
    candidate best_target(service_state& state, const dispatch_request& request, time_point now);
    double predict_answer_ms(const service_state& state, const target_state& target, const dispatch_request& request,
                             unsigned rank, time_point now, candidate& result) const;
    double ms_per_request(const service_state& state, time_point now) const;
    double queue_wait_ms(const service_state& state, const dispatch_request& request, time_point now) const;
    queue_key key_of(const dispatch_request& request, const service_state& state, time_point now) const;
    void learn(service_state& state, target_state& target, const sent_request& sent, double took_ms, time_point now);
    void evict_objects(target_state& target, time_point now) const;
    duration time_until_usable(const service_state& state, const dispatch_request& request, time_point now) const;
    dispatch_action refuse(const dispatch_request& request, refusal_cause cause, double wait_ms);
    void refuse_unanswerable(time_point now, std::vector<dispatch_action>& actions);

    dispatcher_options options;
    std::mt19937_64 random;
    unsigned region_gateways = 1;
    bool callers_have_ranks = false;
    std::unordered_map<std::string, std::unique_ptr<target_state>> targets;
    std::map<std::string, service_state> services;
    waiting_list queue;
    std::unordered_map<request_id, queue_key> queue_keys;
    std::unordered_map<request_id, candidate_list> candidates;  // of waiting requests
    std::vector<dispatch_action> refused_on_arrival;
    time_point last_sweep_at{};
};

}  // namespace persimmongrade
