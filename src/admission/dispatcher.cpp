#include "persimmongrade/dispatcher.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace persimmongrade {

namespace {

// ---- Learning ----
constexpr double work_weight = 0.05;                // weight of one answer in the mean work of a service
constexpr double slowdown_weight = 0.2;             // weight of one answer in the slowdown of a target
constexpr double unanswered_slowdown_weight = 0.5;  // weight of a request that ended before the target answered
constexpr double failure_weight = 0.2;              // weight of one answer in the failure rate of a target
constexpr double health_half_life_ms = 3000;        // decay, so that a target that gets no requests is tried again
constexpr double other_load_weight = 0.05;          // weight of one load report in the mean load of a region's targets
constexpr double min_load_half_life_ms = 200;       // of a reported load, which is served within about the mean work
constexpr double gamma_prior_shape = 2;             // spread of load between targets of a region; 1 is a wide spread
constexpr double min_prior_load = 0.5;              // requests
constexpr double initial_other_load_share = 0.5;    // share of slots used by other gateways, until the first reports
constexpr double default_work_ms = 250;             // before the first answer, for requests without an aim
constexpr double first_answer_weight = 0.5;         // weight of the first answer against the estimate before it
constexpr double default_known_work_share = 0.3;    // work of a known object relative to an unknown one, until learned
// An answer that takes longer than this factor of the work of an unknown object marks the target as slow, whatever the
// object.
constexpr double slow_factor = 1.5;
constexpr double ms_per_second = 1000;
constexpr double min_slowdown = 0.3;
constexpr double max_slowdown = 20;

// ---- Placement ----
constexpr duration object_retention = ms(20000);    // approximate time for which a target's cache holds an object
constexpr std::size_t targets_per_object = 3;       // targets of a region to which requests for one object are sent
constexpr std::size_t max_remembered_objects = 64;  // per target; the order of magnitude of a target's cache
constexpr double remote_round_trip_ms = 30;         // to another region
constexpr double failure_penalty_ms = 1000;         // added to a predicted answer, times the failure rate
constexpr double overdue_factor = 1.5;              // an answer is overdue after this factor of its predicted time
// When the targets of the region have more requests than this share of their slots, the gateway keeps to its equal
// share of the slots. Requests then wait here, where they can still be refused or reordered, and not in the queues of
// targets.
constexpr double saturated_utilization = 0.95;
constexpr double fair_share_tolerance = 1.15;  // factor on the equal share, because the gateways' loads differ
constexpr double max_target_wait_share = 0.3;  // longest wait in a target's own queue, relative to the mean work
// On shared hosts the load of a target is less certain: requests that were held for a predicted queue were refused
// while targets had free slots.
constexpr double max_shared_target_wait_share = 1;
constexpr double send_burst_ms = 250;  // of a target's rate that may be sent at once, one request at least
// An unreachable target is tried again after this time, or as soon as it reports itself ready.
constexpr duration initial_unreachable_backoff = ms(1500);
constexpr duration max_unreachable_backoff = ms(4000);  // the backoff doubles with each further failure

// ---- Refusal ----
constexpr double min_late_share = 0.1;  // share of the slots that late requests get at least
// Share of a predicted wait on which a refusal is based, because work and arrivals deviate from their means.
constexpr double certain_wait_share = 0.7;
constexpr double min_retry_after_ms = 50;
constexpr double max_retry_after_ms = 2000;
constexpr double no_target_retry_after_ms = 400;

constexpr duration candidates_lifetime = ms(100);    // of the ranking of targets for a waiting request
constexpr duration sweep_interval = ms(20);          // between checks of all waiting requests for refusal
constexpr std::size_t max_placements_per_poll = 24;  // waiting requests of one service that a poll tries to place

std::uint64_t mix_hash(std::uint64_t value) {
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33U);
}

double ms_between(time_point from, time_point until) {
    return static_cast<double>((until - from).count());
}

double decayed(double value, double neutral, double age_ms, double half_life_ms) {
    return neutral + (value - neutral) * std::exp2(-std::max(0.0, age_ms) / half_life_ms);
}

void average(double& mean, double sample, double weight) {
    mean = mean == 0 ? sample : mean + (sample - mean) * weight;
}

// The first answer only adjusts the estimate made before it, because it may be a refusal by the service, which takes no
// work.
void learn_work(double& learned, double guess, double took_ms) {
    average(learned, learned == 0 ? guess + (took_ms - guess) * first_answer_weight : took_ms, work_weight);
}

bool contains(const std::vector<std::string>& list, const std::string& value) {
    return std::find(list.begin(), list.end(), value) != list.end();
}

}  // namespace

// ---- Arrivals and work times ----

void dispatcher::arrival_rate::add(time_point now) {
    this->per_ms(now);
    this->count += 1;
}

double dispatcher::arrival_rate::per_ms(time_point now) {
    this->count = decayed(this->count, 0, ms_between(this->counted_at, now), half_life_ms);
    this->counted_at = now;
    constexpr double ln2 = 0.6931471805599453;
    return this->count * ln2 / half_life_ms;
}

double& dispatcher::work_times::mean_of(object_state state) {
    switch (state) {
    case object_state::known:
        return this->known_ms;
    case object_state::likely:
        return this->likely_ms;
    case object_state::unknown:
        break;
    }
    return this->unknown_ms;
}

// Estimates the work from the other states where no answer for this state has been observed.
double dispatcher::work_times::expected(object_state state) const {
    double longest = std::max({this->unknown_ms, this->likely_ms, this->known_ms});
    double unknown = this->unknown_ms > 0 ? this->unknown_ms
                     : longest > 0        ? longest
                     : this->prior_ms > 0 ? this->prior_ms
                                          : default_work_ms;
    double known = this->known_ms > 0 ? this->known_ms : unknown * default_known_work_share;
    switch (state) {
    case object_state::known:
        return known;
    case object_state::likely: {
        // While all targets are cold, the learned value is as high as that of an unknown object. The bound makes the
        // target preferable nevertheless, because it will soon have the object.
        double between = (known + unknown) / 2;
        return this->likely_ms > 0 ? std::min(this->likely_ms, between) : between;
    }
    case object_state::unknown:
        break;
    }
    return unknown;
}

double dispatcher::work_times::mean() const {
    return this->mean_ms > 0 ? this->mean_ms : this->expected(object_state::likely);
}

// Lower bound of the work from observed answers; 0 before the first answer.
double dispatcher::work_times::shortest() const {
    return this->mean_ms > 0 ? std::min(this->expected(object_state::known), this->mean_ms) : 0;
}

dispatcher::dispatcher(const dispatcher_options& options) : options(options), random(options.random_seed) {}

// ---- Target state ----

// Decays slowdown and failure rate towards their neutral values for the time since the last update.
void dispatcher::target_state::decay_health(time_point now) {
    double age = ms_between(this->health_updated_at, now);
    this->slowdown = decayed(this->slowdown, 1, age, health_half_life_ms);
    this->failure_rate = decayed(this->failure_rate, 0, age, health_half_life_ms);
    this->health_updated_at = now;
}

// Estimates the requests from other gateways at the target from this gateway's own requests there: both are correlated,
// because all gateways prefer the same targets for an object. The total load has a gamma prior around the mean load of
// the region, and the own requests are a sample of it; the result is derived from the posterior mean.
double dispatcher::target_state::expected_other_load(unsigned gateways) const {
    double before = std::max(min_prior_load, this->region->other_load_per_slot * this->info.slots);
    auto own = static_cast<double>(this->sent.size());
    double total = (gamma_prior_shape + own) / (gamma_prior_shape / before + 1.0 / gateways);
    return std::max(0.0, total - own) * (gateways - 1) / gateways;
}

bool dispatcher::target_state::runs_isolated() const {
    return std::any_of(this->sent.begin(), this->sent.end(), [](const auto& entry) { return entry.second.isolated; });
}

void dispatcher::target_state::fill_tokens(time_point now) {
    double rate = this->info.send_rate ? this->info.send_rate->own : 0;
    double most = std::max(1.0, rate * send_burst_ms / ms_per_second);
    this->send_tokens += rate * ms_between(this->tokens_filled_at, now) / ms_per_second;
    this->send_tokens = std::min(most, this->send_tokens);
    this->tokens_filled_at = now;
}

bool dispatcher::target_state::may_send(time_point now) {
    if (!this->info.send_rate) {
        return true;
    }
    this->fill_tokens(now);
    return this->send_tokens >= 1;
}

// Slots that can be kept busy within the rate that the target named.
double dispatcher::target_state::slots_in_use(double work_ms) const {
    double slots = this->info.slots;
    return this->info.send_rate ? std::min(slots, this->info.send_rate->named * work_ms / ms_per_second) : slots;
}

double dispatcher::load(const target_state& target, time_point now) const {
    return static_cast<double>(target.sent.size()) +
           decayed(target.other_load, target.expected_other_load(this->region_gateways),
                   ms_between(target.other_load_at, now), target.region->half_life_ms);
}

dispatcher::service_state& dispatcher::service(const std::string& name) {
    auto found = this->services.find(name);
    if (found == this->services.end()) {
        found = this->services.emplace(name, service_state{.share = region_share(this->options.shift)}).first;
    }
    return found->second;
}

double dispatcher::expected_work(const service_state& state, std::uint64_t kind, object_state object) const {
    auto learned = this->by_kind(state) ? state.work_by_kind.find(kind) : state.work_by_kind.end();
    return learned == state.work_by_kind.end() ? state.work.expected(object) : learned->second.expected(object);
}

// Lower bound of the work; 0 before the first answer. Kinds that share a service may differ by a factor of 6, and a
// bound of the service would refuse the shorter ones at once.
double dispatcher::shortest_work(const service_state& state, std::uint64_t kind) const {
    return this->by_kind(state) ? this->expected_work(state, kind, object_state::known) : state.work.shortest();
}

void dispatcher::set_target(const dispatch_target& target, time_point now) {
    auto found = this->targets.find(target.id);
    if (found != this->targets.end() && found->second->info.service != target.service) {
        this->remove_target(target.id);
        found = this->targets.end();
    }
    if (found == this->targets.end()) {
        auto added = std::make_unique<target_state>();
        added->hash = XXH64(target.id.data(), target.id.size(), 0);  // the same at every gateway
        added->health_updated_at = now;
        region_load& region = this->service(target.service).regions[target.region];
        if (region.half_life_ms == 0) {
            region.other_load_per_slot = initial_other_load_share * (1 - 1.0 / this->region_gateways);
            region.half_life_ms = min_load_half_life_ms;
        }
        added->region = &region;
        added->other_load = region.other_load_per_slot * target.slots;
        added->other_load_at = now;
        found = this->targets.emplace(target.id, std::move(added)).first;
        this->service(target.service).targets.push_back(found->second.get());
        ++this->service(target.service).targets_version;
    }
    target_state& state = *found->second;
    if (state.info.cold_until != target.cold_until) {
        ++this->service(target.service).targets_version;
    }
    if (state.info.started_at_ms != target.started_at_ms) {
        state.objects.clear();
        state.other_load = 0;
        state.other_load_at = now;
        state.slowdown = 1;
        state.speed = {};
        state.failure_rate = 0;
        state.unreachable_at.reset();
        state.held_off_until = {};
    }
    if (state.unreachable_at && target.heard_at > *state.unreachable_at) {
        state.unreachable_at.reset();
    }
    if (target.send_rate && !state.info.send_rate) {
        state.send_tokens = 0;
        state.tokens_filled_at = now;
    } else if (target.send_rate != state.info.send_rate) {
        state.fill_tokens(now);  // at the rate until now
    }
    state.info = target;
}

void dispatcher::remove_target(const std::string& id) {
    auto found = this->targets.find(id);
    if (found == this->targets.end()) {
        return;
    }
    service_state& state = this->service(found->second->info.service);
    if (found->second->info.region == this->options.region) {
        state.local_sent -= std::min(state.local_sent, found->second->sent.size());
    }
    std::erase(state.targets, found->second.get());
    ++state.targets_version;
    this->targets.erase(found);
}

void dispatcher::hold_off(const std::string& id, time_point until) {
    auto found = this->targets.find(id);
    if (found != this->targets.end()) {
        found->second->held_off_until = std::max(found->second->held_off_until, until);
    }
}

double dispatcher::remote_share(const std::string& service) const {
    auto found = this->services.find(service);
    return found == this->services.end() ? 0 : found->second.share.value();
}

std::vector<service_estimates> dispatcher::estimates() const {
    std::vector<service_estimates> all;
    for (const auto& [name, state] : this->services) {
        all.push_back({name, state.targets.size(), state.waiting, state.share.value(), state.local_utilization,
                       state.remote_utilization, state.work.expected(object_state::known),
                       state.work.expected(object_state::likely), state.work.expected(object_state::unknown)});
    }
    return all;
}

// ---- Regions ----

// Assumes that callers are spread evenly over the regions, until the load is known.
void dispatcher::initialize_share(service_state& state) const {
    std::map<std::string, double> slots;
    double total = 0;
    for (const target_state* target : state.targets) {
        slots[target->info.region] += target->info.slots;
        total += target->info.slots;
    }
    slots.try_emplace(this->options.region);
    double even = total / static_cast<double>(slots.size());
    state.share.initialize(total == 0 ? 0 : std::max(0.0, 1 - slots[this->options.region] / even));
    state.share_initialized = total > 0;
}

void dispatcher::update_share(service_state& state, time_point now) const {
    if (!state.share.update_due(now)) {
        return;
    }
    double own_load = static_cast<double>(state.waiting);
    double local_load = 0;
    double local_slots = 0;
    double remote_load = 0;
    double remote_slots = 0;
    for (const target_state* target : state.targets) {
        if (target->unreachable_at || now < target->info.cold_until) {
            continue;
        }
        bool local = target->info.region == this->options.region;
        (local ? local_load : remote_load) += this->load(*target, now);
        own_load += local ? static_cast<double>(target->sent.size()) : 0;
        (local ? local_slots : remote_slots) += target->slots_in_use(state.work.mean());
    }
    constexpr double no_slots_utilization = 10;
    state.fair_share_slots = local_slots / this->region_gateways;
    state.saturated = local_slots > 0 && local_load / local_slots > saturated_utilization;
    // Load reports of targets lag. The own requests, scaled up to all gateways of the region, show an overload without
    // delay.
    double own_utilization = local_slots > 0 ? own_load * this->region_gateways / local_slots : no_slots_utilization;
    state.local_utilization = local_slots <= 0       ? no_slots_utilization
                              : this->by_kind(state) ? local_load / local_slots
                                                     : std::max(local_load / local_slots, own_utilization);
    state.remote_utilization = remote_slots > 0 ? remote_load / remote_slots : no_slots_utilization;
    state.share.update(now, state.local_utilization, state.remote_utilization);
}

// ---- Placement ----

bool dispatcher::usable(const target_state& target, const dispatch_request& request, time_point now) const {
    if (target.unreachable_at && now < *target.unreachable_at + target.unreachable_backoff) {
        return false;
    }
    bool left_to_others = target.info.send_rate && target.info.send_rate->own <= 0;
    if (left_to_others || now < target.held_off_until) {
        return false;
    }
    return !contains(request.excluded, target.info.id) &&
           (request.regions.empty() || contains(request.regions, target.info.region));
}

double dispatcher::predict_answer_ms(const service_state& state, const target_state& target,
                                     const dispatch_request& request, unsigned rank, time_point now,
                                     candidate& result) const {
    const work_times& work = state.work;
    auto object_entry = target.objects.find(request.object);
    if (request.object != 0 && object_entry != target.objects.end() && now - object_entry->second < object_retention) {
        result.object = object_state::known;
    } else if (request.object != 0 && rank == 0) {
        result.object = object_state::likely;  // other gateways send the object there
    }
    double expected = this->expected_work(state, request.kind, result.object);
    double age = ms_between(target.health_updated_at, now);
    double slowdown = decayed(target.slowdown, 1, age, health_half_life_ms) * target.speed.factor(now);
    double failures = decayed(target.failure_rate, 0, age, health_half_life_ms);
    double mean = work.mean();
    double excess_requests = this->load(target, now) + 1 - target.info.slots;
    result.wait_ms = std::max(0.0, excess_requests) / target.info.slots * mean * slowdown;
    double distance = target.info.region == this->options.region ? 0 : remote_round_trip_ms;
    double total = result.wait_ms + expected * slowdown + distance + failures * failure_penalty_ms;
    // A target that has become slow or silent is detected by its overdue answers, long before they arrive.
    double overdue_ratio = 1;
    for (const auto& [id, sent] : target.sent) {
        double ratio = ms_between(sent.sent_at, now) / std::max(1.0, sent.predicted_ms);
        overdue_ratio = std::max(overdue_ratio, ratio > overdue_factor ? ratio : 1);
    }
    return total * overdue_ratio;
}

// Targets that a request may be sent to, in this region or in the others. With an object, only the first few by
// rendezvous hash: a request sent to any other target would evict other objects from its cache. When the load exceeds
// what these targets can serve, this limit keeps all caches from turning cold.
std::vector<dispatcher::target_state*> dispatcher::preferred_targets(const service_state& state,
                                                                     const dispatch_request& request, bool remote,
                                                                     time_point now) const {
    std::vector<target_state*> chosen;
    std::array<std::pair<std::uint64_t, target_state*>, targets_per_object> highest{};
    target_state* out_of_rate = nullptr;
    for (target_state* target : state.targets) {
        bool target_is_remote = target->info.region != this->options.region;
        if (target_is_remote != remote || !this->usable(*target, request, now)) {
            continue;
        }
        if (request.object == 0) {
            chosen.push_back(target);
            continue;
        }
        if (now < target->info.cold_until) {
            continue;
        }
        if (!target->may_send(now)) {
            out_of_rate = target;
            continue;
        }
        std::pair<std::uint64_t, target_state*> ranked{mix_hash(request.object ^ target->hash), target};
        for (auto& slot : highest) {
            if (slot.second == nullptr || ranked.first > slot.first) {
                std::swap(slot, ranked);
                if (ranked.second == nullptr) {
                    break;
                }
            }
        }
    }
    for (const auto& slot : highest) {
        if (slot.second != nullptr) {
            chosen.push_back(slot.second);
        }
    }
    if (chosen.empty() && out_of_rate != nullptr) {
        chosen.push_back(out_of_rate);  // the request waits, as it would for a slot
    }
    return chosen;
}

// Requests that wait are placed again at each poll. Ranking all targets for each of them grows with targets and waiting
// requests, so that the ranking is kept for a short time.
const dispatcher::candidate_list& dispatcher::candidates_of(const service_state& state, const dispatch_request& request,
                                                            time_point now) {
    candidate_list& list = this->candidates[request.id];
    if (this->by_kind(state) && list.version == state.targets_version && now < list.valid_until) {
        return list;
    }
    std::uint64_t placement_hash = request.object != 0 ? request.object : mix_hash(request.id);
    bool remote = state.share.is_remote(mix_hash(placement_hash));
    list.ranked = this->preferred_targets(state, request, remote, now);
    if (list.ranked.empty()) {
        list.ranked = this->preferred_targets(state, request, !remote, now);
    }
    // Targets in warm-up are candidates for every object within their quota, so that their caches fill.
    list.cold.clear();
    if (request.object != 0) {  // without an object, they are ranked already
        std::copy_if(state.targets.begin(), state.targets.end(), std::back_inserter(list.cold),
                     [&](const target_state* target) {
                         return now < target->info.cold_until && this->usable(*target, request, now);
                     });
    }
    list.version = state.targets_version;
    list.valid_until = now + candidates_lifetime;
    return list;
}

dispatcher::candidate dispatcher::best_target(service_state& state, const dispatch_request& request, time_point now) {
    const candidate_list& list = this->candidates_of(state, request, now);
    candidate best;
    auto consider = [&](target_state* target, unsigned rank) {
        if (!this->usable(*target, request, now)) {  // since the ranking
            return;
        }
        if (now < target->info.cold_until && target->cold_sends.count(now) >= target->info.cold_quota) {
            return;
        }
        if (!target->may_send(now) || (request.isolated && target->runs_isolated())) {
            return;
        }
        candidate considered;
        considered.target = target;
        considered.answer_ms = this->predict_answer_ms(state, *target, request, rank, now, considered);
        if (considered.answer_ms < best.answer_ms) {
            best = considered;
        }
    };
    for (std::size_t i = 0; i < list.ranked.size(); ++i) {
        consider(list.ranked[i], static_cast<unsigned>(i));
    }
    for (target_state* target : list.cold) {
        consider(target, 1);
    }
    return best;
}

// ---- Requests ----

dispatcher::queue_key dispatcher::key_of(const dispatch_request& request, const service_state& state,
                                         time_point now) const {
    bool late = ms_between(now, request.aim_at) < this->expected_work(state, request.kind, object_state::known);
    std::int64_t order =
        late ? -request.deadline_at.time_since_epoch().count()  // newest first: it has the most time left
             : request.aim_at.time_since_epoch().count();
    return {request.service, request.priority, late, order, request.id};
}

// Mean time between two sends of waiting requests of the service, given the slots that this gateway can expect to use.
double dispatcher::ms_per_request(const service_state& state, time_point now) const {
    double local_slots = 0;
    double remote_slots = 0;
    for (const target_state* target : state.targets) {
        if (!target->unreachable_at && now >= target->info.cold_until) {
            (target->info.region == this->options.region ? local_slots : remote_slots) +=
                target->slots_in_use(state.work.mean());
        }
    }
    constexpr double remote_slot_share = 0.25;  // the rest is used by gateways of other regions
    double slots = (local_slots + state.share.value() * remote_slot_share * remote_slots) /
                   static_cast<double>(this->region_gateways);
    return slots > 0 ? state.work.mean() / slots : max_retry_after_ms;
}

// Work that a waiting request will take from the slots.
double dispatcher::queued_work(const service_state& state, const dispatch_request& request) const {
    return this->by_kind(state) ? this->expected_work(state, request.kind, object_state::likely) : state.work.mean();
}

// Predicted time until all requests ahead of `request` in the queue have been sent.
double dispatcher::queue_wait_ms(const service_state& state, const dispatch_request& request, time_point now) const {
    auto first = this->queue.lower_bound(queue_key{.service = request.service});
    auto own = this->queue.lower_bound(this->key_of(request, state, now));
    double ahead = 0;  // requests of the mean work
    for (auto entry = first; entry != own; ++entry) {
        ahead += this->queued_work(state, entry->second) / state.work.mean();
    }
    return ahead == 0 ? 0 : ahead * this->ms_per_request(state, now);
}

// For a request without a usable target: until the first one that holds requests off takes them again.
duration dispatcher::time_until_usable(const service_state& state, const dispatch_request& request,
                                       time_point now) const {
    auto first = time_point::max();
    for (const target_state* target : state.targets) {
        bool held_off = now < target->held_off_until && this->usable(*target, request, target->held_off_until);
        first = held_off ? std::min(first, target->held_off_until) : first;
    }
    auto usual = ms(std::llround(no_target_retry_after_ms));
    return first == time_point::max() ? usual : std::max(usual, first - now);
}

dispatch_action dispatcher::refuse(const dispatch_request& request, refusal_cause cause, double wait_ms) {
    double jitter = std::uniform_real_distribution<double>(0.5, 1.5)(this->random);
    double retry_after_ms = std::clamp(wait_ms * jitter, min_retry_after_ms, max_retry_after_ms);
    return {request.id, {}, cause, ms(std::llround(retry_after_ms)), wait_ms};
}

void dispatcher::add(const dispatch_request& request, time_point now) {
    service_state& state = this->service(request.service);
    if (!state.share_initialized) {
        this->initialize_share(state);
    }
    state.arrivals.add(now);
    if (state.work.prior_ms == 0) {
        // Operators set an aim that is close to the work. An estimate far below the work would make every target look
        // overdue until the first answers, and send each object to several targets that do not have it.
        state.work.prior_ms = std::max(0.0, ms_between(now, request.aim_at));
    }
    work_model& kind = state.work_by_kind[request.kind];
    if (!kind.is_initialized()) {
        kind = work_model(std::max(0.0, ms_between(now, request.aim_at)));
    }
    double remaining_ms = ms_between(now, request.deadline_at);
    bool any_usable = std::any_of(state.targets.begin(), state.targets.end(),
                                  [&](const target_state* target) { return this->usable(*target, request, now); });
    if (!any_usable) {
        double wait_ms = static_cast<double>(this->time_until_usable(state, request, now).count());
        this->refused_on_arrival.push_back(this->refuse(request, refusal_cause::no_target, wait_ms));
        return;
    }
    double shortest_ms = this->shortest_work(state, request.kind);
    double wait_ms = this->queue_wait_ms(state, request, now);
    if (wait_ms + shortest_ms > remaining_ms) {
        this->refused_on_arrival.push_back(this->refuse(request, refusal_cause::overload, wait_ms));
        return;
    }
    queue_key key = this->key_of(request, state, now);
    this->queue.emplace(key, request);
    this->queue_keys.emplace(request.id, key);
    ++state.waiting;
}

void dispatcher::cancel(request_id id) {
    auto found = this->queue_keys.find(id);
    if (found != this->queue_keys.end()) {
        this->erase_waiting(this->queue.find(found->second));
    }
}

// Removes a waiting request. Returns the iterator behind it.
dispatcher::waiting_list::iterator dispatcher::erase_waiting(waiting_list::iterator entry) {
    --this->service(entry->second.service).waiting;
    this->queue_keys.erase(entry->second.id);
    this->candidates.erase(entry->second.id);
    return this->queue.erase(entry);
}

// Refuses waiting requests that can no longer be answered before their deadline, either because too little time is left
// for the work or because the requests ahead of them take too long.
void dispatcher::refuse_unanswerable(time_point now, std::vector<dispatch_action>& actions) {
    if (now - this->last_sweep_at < sweep_interval) {
        return;
    }
    this->last_sweep_at = now;
    std::string current_service;
    double interval_ms = 0;
    double ahead = 0;
    for (auto entry = this->queue.begin(); entry != this->queue.end();) {
        const dispatch_request& request = entry->second;
        service_state& state = this->service(request.service);
        if (request.service != current_service) {
            current_service = request.service;
            interval_ms = this->ms_per_request(state, now);
            ahead = 0;
        }
        bool late = entry->first.late;
        double slack_ms = ms_between(now, request.deadline_at) - this->shortest_work(state, request.kind);
        // Late requests get the capacity that is left by requests that can still be answered within their aim.
        double late_share = std::max(min_late_share, 1 - certain_wait_share * state.arrivals.per_ms(now) * interval_ms);
        double wait_ms = ahead * interval_ms / (late ? late_share : 1);
        bool wait_exceeds_deadline = wait_ms * certain_wait_share > slack_ms && state.work.mean_ms > 0;
        if (slack_ms >= 0 && !wait_exceeds_deadline) {
            ahead += this->queued_work(state, request) / state.work.mean();
            ++entry;
            continue;
        }
        actions.push_back(this->refuse(request, slack_ms < 0 ? refusal_cause::too_late : refusal_cause::overload,
                                       std::max(wait_ms, interval_ms)));
        entry = this->erase_waiting(entry);
    }
}

std::vector<dispatch_action> dispatcher::poll(time_point now) {
    std::vector<dispatch_action> actions = std::exchange(this->refused_on_arrival, {});
    this->refuse_unanswerable(now, actions);
    std::vector<std::pair<queue_key, dispatch_request>> newly_late;
    std::string current_service;
    std::size_t placements_tried = 0;
    for (auto entry = this->queue.begin(); entry != this->queue.end();) {
        const dispatch_request& request = entry->second;
        service_state& state = this->service(request.service);
        if (request.service != current_service) {
            current_service = request.service;
            placements_tried = 0;
            this->update_share(state, now);
        }
        if (++placements_tried > max_placements_per_poll) {
            entry = this->queue.lower_bound(queue_key{.service = current_service + '\0'});
            continue;
        }
        queue_key key = this->key_of(request, state, now);
        if (key.late != entry->first.late) {
            newly_late.emplace_back(key, request);
            entry = this->queue.erase(entry);
            continue;
        }
        candidate best = this->best_target(state, request, now);
        double max_wait_share = this->by_kind(state) ? max_shared_target_wait_share : max_target_wait_share;
        double mean_ms = state.work.mean();
        if (request.drop_if_late && best.answer_ms > ms_between(now, request.deadline_at)) {
            entry = this->erase_waiting(entry);
            continue;
        }
        bool local = best.target != nullptr && best.target->info.region == this->options.region;
        bool keeps_to_share = local && state.saturated && !this->by_kind(state);
        if (keeps_to_share &&
            static_cast<double>(state.local_sent) >= fair_share_tolerance * state.fair_share_slots + 1) {
            ++entry;
            continue;
        }
        if (best.target == nullptr || best.wait_ms > max_wait_share * mean_ms) {
            ++entry;
            continue;
        }
        target_state& target = *best.target;
        if (now < target.info.cold_until) {
            target.cold_sends.add(now);
        }
        target.send_tokens -= target.info.send_rate ? 1 : 0;
        bool slot_is_free = this->load(target, now) < target.info.slots;
        state.local_sent += local ? 1 : 0;
        target.sent[request.id] = {now,          request.object,   best.answer_ms, best.object,
                                   slot_is_free, request.isolated, request.kind,   target.speed.factor(now)};
        actions.push_back({request.id, target.info.id, refusal_cause::none, {}, best.answer_ms});
        entry = this->erase_waiting(entry);
    }
    for (auto& [key, request] : newly_late) {
        this->queue_keys[request.id] = key;
        this->queue.emplace(key, std::move(request));
    }
    return actions;
}

void dispatcher::learn(service_state& state, target_state& target, const sent_request& sent, double took_ms,
                       time_point now) {
    double distance = target.info.region == this->options.region ? 0 : remote_round_trip_ms;
    // The speed of the host is estimated by itself; otherwise a target whose host was slow for a moment would be
    // avoided for seconds, and its cached objects would be worked out elsewhere.
    double work_factor = (sent.work_factor + target.speed.factor(now)) / 2;
    double took = std::max(1.0, (took_ms - distance) / work_factor);
    work_times& work = state.work;
    if (!this->by_kind(state) || sent.slot_was_free) {
        learn_work(work.mean_ms, work.mean(), took);
    }
    target.region->half_life_ms = std::max(min_load_half_life_ms, work.mean_ms);
    if (sent.slot_was_free && now >= target.info.cold_until) {
        double& mean = work.mean_of(sent.state);
        learn_work(mean, work.expected(sent.state), took);
        if (auto learned = state.work_by_kind.find(sent.kind); learned != state.work_by_kind.end()) {
            learned->second.learn(sent.state, took);
        }
        // Only for known objects, or without an object, is it certain how much work the request was; other answers say
        // nothing about the speed of the target.
        bool comparable = sent.state == object_state::known || sent.object == 0;
        double without_object = this->expected_work(state, sent.kind, object_state::unknown);
        bool slow = took > slow_factor * without_object;
        if (comparable || slow) {
            double usual = !comparable            ? without_object
                           : this->by_kind(state) ? this->expected_work(state, sent.kind, sent.state)
                                                  : mean;
            double ratio = took / usual;
            target.decay_health(now);
            target.slowdown =
                std::clamp(target.slowdown + (ratio - target.slowdown) * slowdown_weight, min_slowdown, max_slowdown);
        }
    }
    if (sent.object != 0) {
        target.objects[sent.object] = now;
        this->evict_objects(target, now);
    }
}

void dispatcher::evict_objects(target_state& target, time_point now) const {
    if (target.objects.size() <= max_remembered_objects) {
        return;
    }
    std::erase_if(target.objects, [&](const auto& entry) { return now - entry.second >= object_retention; });
    if (target.objects.size() > max_remembered_objects) {
        target.objects.erase(std::min_element(target.objects.begin(), target.objects.end(),
                                              [](const auto& a, const auto& b) { return a.second < b.second; }));
    }
}

void dispatcher::finished(request_id id, const std::string& name, dispatch_outcome result,
                          const std::optional<target_load_report>& load, time_point now) {
    auto found = this->targets.find(name);
    if (found == this->targets.end()) {
        return;
    }
    target_state& target = *found->second;
    auto entry = target.sent.find(id);
    if (entry == target.sent.end()) {
        return;
    }
    sent_request sent = entry->second;
    target.sent.erase(entry);
    service_state& state = this->service(target.info.service);
    state.local_sent -= target.info.region == this->options.region && state.local_sent > 0 ? 1 : 0;
    if (load) {
        target.other_load =
            std::max(0.0, static_cast<double>(load->running + load->waiting) - static_cast<double>(target.sent.size()));
        average(target.region->other_load_per_slot, target.other_load / target.info.slots, other_load_weight);
        target.other_load_at = now;
        if (load->slots > 0) {
            target.info.slots = load->slots;
        }
        if (load->work_factor) {
            target.speed.report(*load->work_factor, now);
            state.hosts_are_shared = true;
        }
    }
    if (result != dispatch_outcome::unreachable && result != dispatch_outcome::cancelled) {
        target.unreachable_at.reset();
    }
    bool failed = result == dispatch_outcome::failed || result == dispatch_outcome::lost;
    if (failed || result == dispatch_outcome::answered || result == dispatch_outcome::not_run) {
        double weight = result == dispatch_outcome::not_run ? failure_weight / 2 : failure_weight;
        double sample = result == dispatch_outcome::answered ? 0 : 1;
        target.decay_health(now);
        target.failure_rate += (sample - target.failure_rate) * weight;
    }
    if (result == dispatch_outcome::cancelled) {
        // The request ended before the target answered: the work takes at least this long there.
        double min_slowdown_seen = ms_between(sent.sent_at, now) / std::max(1.0, sent.predicted_ms);
        target.decay_health(now);
        if (min_slowdown_seen > target.slowdown && min_slowdown_seen > overdue_factor) {
            target.slowdown = std::min(max_slowdown, target.slowdown + (min_slowdown_seen - target.slowdown) *
                                                                           unanswered_slowdown_weight);
        }
    }
    if (result == dispatch_outcome::answered) {
        this->learn(state, target, sent, ms_between(sent.sent_at, now), now);
    } else if (result == dispatch_outcome::unreachable) {
        bool was_unreachable = target.unreachable_at.has_value();
        target.unreachable_backoff = was_unreachable ? std::min(max_unreachable_backoff, target.unreachable_backoff * 2)
                                                     : initial_unreachable_backoff;
        target.unreachable_at = now;
    } else if (result == dispatch_outcome::not_run) {
        target.other_load = std::max(target.other_load, target.info.slots - static_cast<double>(target.sent.size()));
        target.other_load_at = now;
    }
}

}  // namespace persimmongrade
