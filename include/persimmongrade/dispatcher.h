// Decides at a gateway which request goes to which target and when, which one waits, and which one is refused. No input
// or output: the caller reports events and carries out the actions.
//
//     dispatcher decisions({.region = "north"});
//     decisions.set_target(target, now);
//     decisions.add(request, now);
//     for (const dispatch_action& action : decisions.poll(now)) { send or refuse }
//     decisions.finished(request_id, target_id, result, now);   // then poll again
//
// Placement. A request goes to the target with the earliest predicted answer: wait for a slot, work and distance. Work
// is learned from answers, separately for objects that the target handled recently. Objects unknown to all targets go
// to the first of a rendezvous order, so that gateways agree without messages. Answers the load pattern of many objects
// whose cold work is several times their warm work.
//
// Waiting. A target's queue holds what cannot be taken back, so requests wait here and are sent when a slot is about to
// be free. Order: priority, then requests that can still be answered within their aim by earliest aim, then late ones,
// newest first. Answers the load pattern of a burst beyond the slots: first come, first served would answer all late.
//
// Refusal. A request whose predicted answer lies beyond its deadline is refused at once, and told to come back when the
// queue before it will have been served. The times are spread, so that those refused together do not return together.

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
#include "persimmongrade/region_share.h"
#include "persimmongrade/sliding_window.h"

namespace persimmongrade {

using request_id = std::uint64_t;

struct dispatcher_options {
    std::string region;  // of the gateway
    region_share_options shift;
    std::uint64_t random_seed = 0;
};

struct dispatch_target {
    std::string id;
    std::string service;
    std::string region;
    unsigned slots = 1;
    std::int64_t started_at_ms = 0;  // Unix time; a new start has forgotten its objects
    time_point heard_at{};           // when it last reported itself ready
    time_point cold_until{};
    unsigned cold_quota = 0;  // requests per second that this gateway may send while it is cold

    bool operator==(const dispatch_target&) const = default;
};

struct dispatch_request {
    request_id id = 0;
    std::string service;
    std::uint64_t object = 0;           // hash; 0: none
    unsigned priority = 0;              // 0 is the most urgent
    time_point aim_at{};                // until when an answer is worth most
    time_point deadline_at{};           // until when an answer is worth anything
    std::vector<std::string> regions;   // where it may run; empty: anywhere
    std::vector<std::string> excluded;  // targets that it was sent to before
    bool drop_if_late = false;          // dropped without an action when no answer is predicted before the deadline
};

enum class refusal_cause : std::uint8_t {
    none,
    no_target,  // no target of the service may be used
    overload,   // the predicted answer lies beyond the deadline
    too_late,   // waited until no answer in time was possible
};

// Whether a target has the object of a request at hand, which shortens its work.
enum class object_state : std::uint8_t {
    unknown,  // as far as this gateway knows, it does not
    likely,   // the target is the first of the rendezvous order in its region
    known,    // this gateway sent it there recently
};

struct dispatch_action {
    request_id request = 0;
    std::string target;  // empty: refused
    refusal_cause cause = refusal_cause::none;
    duration retry_after{};   // of a refusal
    double predicted_ms = 0;  // until the answer
};

enum class dispatch_outcome : std::uint8_t {
    answered,     // the service ran it and succeeded or failed by its own judgement
    failed,       // the target answered with a failure of its own
    not_run,      // the target refused it
    lost,         // the connection ended, or what came was no answer
    unreachable,  // no connection could be opened
    cancelled,    // the caller left, or its time was over
};

struct target_load_report {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
};

// What the decisions of one service rest on, for logs.
struct service_estimates {
    std::string service;
    std::size_t targets = 0;
    std::size_t waiting = 0;
    double remote_share = 0;
    double local_utilization = 0;  // running and waiting requests per slot
    double remote_utilization = 0;
    double known_ms = 0;  // expected work by state of the object
    double likely_ms = 0;
    double unknown_ms = 0;

    bool operator==(const service_estimates&) const = default;
};

class dispatcher {
public:
    explicit dispatcher(const dispatcher_options& options);

    // Beliefs. A target is used while it is set.
    void set_target(const dispatch_target& target, time_point now);
    void remove_target(const std::string& id);
    void set_region_gateway_count(unsigned in_region) { this->region_gateways = std::max(1U, in_region); }

    // Requests.
    void add(const dispatch_request& request, time_point now);
    void cancel(request_id id);  // of a waiting request; unknown ids are ignored
    void finished(request_id id, const std::string& target, dispatch_outcome result,
                  const std::optional<target_load_report>& load, time_point now);
    std::vector<dispatch_action> poll(time_point now);

    // State, for logs and metrics.
    std::size_t waiting() const noexcept { return this->places.size(); }
    double remote_share(const std::string& service) const;
    std::vector<service_estimates> estimates() const;

private:
    struct sent_request {
        time_point sent_at;
        std::uint64_t object;
        double predicted_ms;
        object_state state;
        bool slot_was_free;
    };

    // Of the targets of one service in one region.
    struct region_load {
        double others_per_slot = 0;  // mean requests of other gateways
        double half_life_ms = 0;     // of what a single target reported
    };

    struct target_state {
        dispatch_target view;
        std::uint64_t hash = 0;
        std::unordered_map<request_id, sent_request> sent;
        region_load* region = nullptr;
        double others = 0;  // requests of other gateways there
        time_point others_at{};
        double slowness = 1;  // of its work against the mean of the service
        double failure_rate = 0;
        time_point judged_at{};  // of the two
        std::optional<time_point> unreachable_at;
        duration unreachable_for{};
        std::unordered_map<std::uint64_t, time_point> objects;  // that it handled, with the time of the last answer
        sliding_window cold_sends{ms(1100)};  // a little above a second, since requests arrive at varying delays

        double expected_others(unsigned gateways) const;
        void fade_judgement(time_point now);
    };

    struct work_times {
        double known_ms = 0;  // learned means; 0: no answer yet
        double likely_ms = 0;
        double unknown_ms = 0;
        double mean_ms = 0;
        double prior_ms = 0;  // taken for an unknown object until answers tell

        double& mean_of(object_state state);
        double expected(object_state state) const;
        double mean() const;
        double least() const;
    };

    // Requests of a service at this gateway.
    struct arrival_rate {
        static constexpr double half_life_ms = 700;
        double count = 0;
        time_point counted_at{};

        void add(time_point now);
        double per_ms(time_point now);
    };

    struct service_state {
        std::vector<target_state*> targets;
        work_times work;
        region_share share;
        bool share_started = false;
        arrival_rate arrivals = {};
        std::size_t waiting = 0;
        std::size_t local_sent = 0;  // at targets of the own region
        double fair_slots = 0;       // of the region, for this gateway
        bool crowded = false;        // the region's targets have more requests than slots
        double local_utilization = 0;
        double remote_utilization = 0;
        std::map<std::string, region_load> regions = {};
    };

    // Order of service among waiting requests.
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

    using waiting_list = std::map<queue_key, dispatch_request>;

    service_state& service(const std::string& name);
    waiting_list::iterator take_out(waiting_list::iterator place);
    double load(const target_state& target, time_point now) const;  // requests there, of all gateways
    void start_share(service_state& state) const;
    void update_share(service_state& state, time_point now) const;
    bool usable(const target_state& target, const dispatch_request& request, time_point now) const;
    std::vector<target_state*> preferred(const service_state& state, const dispatch_request& request, bool remote,
                                         time_point now) const;
    candidate best_target(service_state& state, const dispatch_request& request, time_point now);
    double answer_ms(const service_state& state, const target_state& target, const dispatch_request& request,
                     unsigned rank, time_point now, candidate& result) const;
    double ms_per_request(const service_state& state, time_point now) const;
    double queue_wait_ms(const service_state& state, const dispatch_request& request, time_point now) const;
    queue_key key_of(const dispatch_request& request, const service_state& state, time_point now) const;
    void learn(service_state& state, target_state& target, const sent_request& sent, double took_ms, time_point now);
    void forget_objects(target_state& target, time_point now) const;
    dispatch_action refuse(const dispatch_request& request, refusal_cause cause, double wait_ms);
    void refuse_hopeless(time_point now, std::vector<dispatch_action>& actions);

    dispatcher_options options;
    std::mt19937_64 random;
    unsigned region_gateways = 1;
    std::unordered_map<std::string, std::unique_ptr<target_state>> targets;
    std::map<std::string, service_state> services;
    waiting_list queue;
    std::unordered_map<request_id, queue_key> places;
    std::vector<dispatch_action> refused_on_arrival;
    time_point swept_at{};
};

}  // namespace persimmongrade
