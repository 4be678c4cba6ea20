#include "persimmongrade/dispatcher.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace persimmongrade {

namespace {

// ---- Learning ----
constexpr double work_weight = 0.05;             // of one answer in the mean work of a service
constexpr double slowness_weight = 0.2;          // of one answer in the slowness of a target
constexpr double unanswered_weight = 0.5;        // of a request that was not answered in its time, in the slowness
constexpr double failure_weight = 0.2;           // of one answer in the failure rate of a target
constexpr double judgement_half_life_ms = 3000;  // a target that gets no requests is tried again
constexpr double others_weight = 0.05;           // of one load report in the mean load of the targets of a region
constexpr double least_half_life_ms = 200;       // of a load report; the load it shows is served within the mean work
constexpr double prior_shape = 2;                // how much the loads of the targets of a region differ; 1 is widely
constexpr double least_prior_load = 0.5;         // requests
constexpr double first_others_share = 0.5;       // of the slots, used by other gateways until reports tell
constexpr double first_work_ms = 250;            // until answers tell, for requests without an aim
constexpr double first_answer_weight = 0.5;      // against the guess before it
constexpr double first_known_share = 0.3;        // of the work, for a known object, until answers tell
constexpr double slow_factor = 1.5;              // of the longest work, beyond which a target is slow for any object
constexpr double least_slowness = 0.3;
constexpr double most_slowness = 20;

// ---- Placement ----
constexpr duration object_memory = ms(20000);  // a target's cache holds an object about that long
constexpr std::size_t copies = 3;              // targets of a region to which one object is sent
constexpr std::size_t max_objects = 64;        // remembered per target; caches of targets are of this order
constexpr double remote_ms = 30;               // round trip to another region
constexpr double failure_cost_ms = 1000;       // of a request that fails
constexpr double overdue_factor = 1.5;         // of the predicted time, after which an answer is overdue
// Targets in the region hold more than their slots: this gateway then keeps to its part, so that requests wait where
// they can still be refused or reordered, and not in the queues of targets.
constexpr double crowded_utilization = 0.95;
constexpr double fair_excess = 1.15;              // of that part, since the gateways' loads differ
constexpr double tolerated_wait_share = 0.3;      // of the work, that a request may wait in a target's own queue
constexpr duration first_unreachable = ms(1500);  // until a target is tried again, unless it reported itself since
constexpr duration most_unreachable = ms(4000);   // after several failures

// ---- Refusal ----
constexpr double least_rest = 0.1;    // of the slots, for late requests
constexpr double certain_part = 0.7;  // of a predicted wait; work and arrivals differ from their means
constexpr double least_retry_ms = 50;
constexpr double most_retry_ms = 2000;
constexpr double no_target_retry_ms = 400;

constexpr duration sweep_interval = ms(20);  // between looks at all waiting requests
constexpr std::size_t max_tried = 24;        // waiting requests of one service for which a poll looks for a target

std::uint64_t mix(std::uint64_t value) {
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

// The first answer, which may be a refusal of the service, does not replace what was guessed before it.
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

// Guesses from the other times where no answer has told yet.
double dispatcher::work_times::expected(object_state state) const {
    double longest = std::max({this->unknown_ms, this->likely_ms, this->known_ms});
    double unknown = this->unknown_ms > 0 ? this->unknown_ms
                     : longest > 0        ? longest
                     : this->prior_ms > 0 ? this->prior_ms
                                          : first_work_ms;
    double known = this->known_ms > 0 ? this->known_ms : unknown * first_known_share;
    switch (state) {
    case object_state::known:
        return known;
    case object_state::likely: {
        // While everything is cold, what was learned is no better than elsewhere; but the object will be there soon.
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

// The shortest that was seen; 0 as long as no answer has told.
double dispatcher::work_times::least() const {
    return this->mean_ms > 0 ? std::min(this->expected(object_state::known), this->mean_ms) : 0;
}

dispatcher::dispatcher(const dispatcher_options& options) : options(options), random(options.random_seed) {}

// ---- Beliefs ----

// Brings what is held of the target's work up to date: it fades when nothing new is learned.
void dispatcher::target_state::fade_judgement(time_point now) {
    double age = ms_between(this->judged_at, now);
    this->slowness = decayed(this->slowness, 1, age, judgement_half_life_ms);
    this->failure_rate = decayed(this->failure_rate, 0, age, judgement_half_life_ms);
    this->judged_at = now;
}

// Requests of other gateways, from the own ones alone: where this gateway has many, the others have many, because all
// prefer the same targets for an object. Mean of the whole load with a gamma prior around the load of the region, of
// which the own requests are a sample.
double dispatcher::target_state::expected_others(unsigned gateways) const {
    double before = std::max(least_prior_load, this->region->others_per_slot * this->view.slots);
    auto own = static_cast<double>(this->sent.size());
    double total = (prior_shape + own) / (prior_shape / before + 1.0 / gateways);
    return std::max(0.0, total - own) * (gateways - 1) / gateways;
}

double dispatcher::load(const target_state& target, time_point now) const {
    return static_cast<double>(target.sent.size()) +
           decayed(target.others, target.expected_others(this->region_gateways), ms_between(target.others_at, now),
                   target.region->half_life_ms);
}

dispatcher::service_state& dispatcher::service(const std::string& name) {
    auto found = this->services.find(name);
    if (found == this->services.end()) {
        found = this->services.emplace(name, service_state{{}, {}, region_share(this->options.shift), false}).first;
    }
    return found->second;
}

void dispatcher::set_target(const dispatch_target& target, time_point now) {
    auto found = this->targets.find(target.id);
    if (found != this->targets.end() && found->second->view.service != target.service) {
        this->remove_target(target.id);
        found = this->targets.end();
    }
    if (found == this->targets.end()) {
        auto added = std::make_unique<target_state>();
        added->hash = XXH64(target.id.data(), target.id.size(), 0);  // the same at every gateway
        added->judged_at = now;
        region_load& region = this->service(target.service).regions[target.region];
        if (region.half_life_ms == 0) {
            region.others_per_slot = first_others_share * (1 - 1.0 / this->region_gateways);
            region.half_life_ms = least_half_life_ms;
        }
        added->region = &region;
        added->others = region.others_per_slot * target.slots;
        added->others_at = now;
        found = this->targets.emplace(target.id, std::move(added)).first;
        this->service(target.service).targets.push_back(found->second.get());
    }
    target_state& state = *found->second;
    if (state.view.started_at_ms != target.started_at_ms) {
        state.objects.clear();
        state.others = 0;
        state.others_at = now;
        state.slowness = 1;
        state.failure_rate = 0;
        state.unreachable_at.reset();
    }
    if (state.unreachable_at && target.heard_at > *state.unreachable_at) {
        state.unreachable_at.reset();
    }
    state.view = target;
}

void dispatcher::remove_target(const std::string& id) {
    auto found = this->targets.find(id);
    if (found == this->targets.end()) {
        return;
    }
    service_state& state = this->service(found->second->view.service);
    if (found->second->view.region == this->options.region) {
        state.local_sent -= std::min(state.local_sent, found->second->sent.size());
    }
    std::erase(state.targets, found->second.get());
    this->targets.erase(found);
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

// Callers are taken to be spread evenly over the regions until the load is known.
void dispatcher::start_share(service_state& state) const {
    std::map<std::string, double> slots;
    double total = 0;
    for (const target_state* target : state.targets) {
        slots[target->view.region] += target->view.slots;
        total += target->view.slots;
    }
    slots.try_emplace(this->options.region);
    double even = total / static_cast<double>(slots.size());
    state.share.start(total == 0 ? 0 : std::max(0.0, 1 - slots[this->options.region] / even));
    state.share_started = total > 0;
}

void dispatcher::update_share(service_state& state, time_point now) const {
    if (!state.share.due(now)) {
        return;
    }
    double own_load = static_cast<double>(state.waiting);
    double local_load = 0;
    double local_slots = 0;
    double remote_load = 0;
    double remote_slots = 0;
    for (const target_state* target : state.targets) {
        if (target->unreachable_at || now < target->view.cold_until) {
            continue;
        }
        bool local = target->view.region == this->options.region;
        (local ? local_load : remote_load) += this->load(*target, now);
        own_load += local ? static_cast<double>(target->sent.size()) : 0;
        (local ? local_slots : remote_slots) += target->view.slots;
    }
    constexpr double full = 10;
    state.fair_slots = local_slots / this->region_gateways;
    state.crowded = local_slots > 0 && local_load / local_slots > crowded_utilization;
    // Reports of targets lag; the own part of the slots here tells at once whether this gateway brings too much.
    double own_utilization = local_slots > 0 ? own_load * this->region_gateways / local_slots : full;
    state.local_utilization = local_slots > 0 ? std::max(local_load / local_slots, own_utilization) : full;
    state.remote_utilization = remote_slots > 0 ? remote_load / remote_slots : full;
    state.share.update(now, state.local_utilization, state.remote_utilization);
}

// ---- Placement ----

bool dispatcher::usable(const target_state& target, const dispatch_request& request, time_point now) const {
    if (target.unreachable_at && now < *target.unreachable_at + target.unreachable_for) {
        return false;
    }
    return !contains(request.excluded, target.view.id) &&
           (request.regions.empty() || contains(request.regions, target.view.region));
}

double dispatcher::answer_ms(const service_state& state, const target_state& target, const dispatch_request& request,
                             unsigned rank, time_point now, candidate& result) const {
    const work_times& work = state.work;
    auto seen = target.objects.find(request.object);
    if (request.object != 0 && seen != target.objects.end() && now - seen->second < object_memory) {
        result.object = object_state::known;
    } else if (request.object != 0 && rank == 0) {
        result.object = object_state::likely;  // other gateways send it there
    }
    double expected = work.expected(result.object);
    double age = ms_between(target.judged_at, now);
    double slowness = decayed(target.slowness, 1, age, judgement_half_life_ms);
    double failures = decayed(target.failure_rate, 0, age, judgement_half_life_ms);
    double mean = work.mean();
    double beyond = this->load(target, now) + 1 - target.view.slots;
    result.wait_ms = std::max(0.0, beyond) / target.view.slots * mean * slowness;
    double distance = target.view.region == this->options.region ? 0 : remote_ms;
    double total = result.wait_ms + expected * slowness + distance + failures * failure_cost_ms;
    // A target that turned slow or silent shows it by what it has not answered, long before it answers.
    double overdue = 1;
    for (const auto& [id, sent] : target.sent) {
        double ratio = ms_between(sent.sent_at, now) / std::max(1.0, sent.predicted_ms);
        overdue = std::max(overdue, ratio > overdue_factor ? ratio : 1);
    }
    return total * overdue;
}

// The targets that a request may go to, of this region or of the others. With an object, only the first few of the
// rendezvous order: a request sent anywhere else would push other objects out of a target's cache. When more is asked
// than the first can serve, this keeps the system from turning cold for everybody.
std::vector<dispatcher::target_state*>
dispatcher::preferred(const service_state& state, const dispatch_request& request, bool remote, time_point now) const {
    std::vector<target_state*> chosen;
    std::array<std::pair<std::uint64_t, target_state*>, copies> first{};
    for (target_state* target : state.targets) {
        bool elsewhere = target->view.region != this->options.region;
        if (elsewhere != remote || !this->usable(*target, request, now)) {
            continue;
        }
        if (request.object == 0) {
            chosen.push_back(target);
            continue;
        }
        if (now < target->view.cold_until) {
            continue;
        }
        std::pair<std::uint64_t, target_state*> ranked{mix(request.object ^ target->hash), target};
        for (auto& place : first) {
            if (place.second == nullptr || ranked.first > place.first) {
                std::swap(place, ranked);
                if (ranked.second == nullptr) {
                    break;
                }
            }
        }
    }
    for (const auto& place : first) {
        if (place.second != nullptr) {
            chosen.push_back(place.second);
        }
    }
    return chosen;
}

dispatcher::candidate dispatcher::best_target(service_state& state, const dispatch_request& request, time_point now) {
    std::uint64_t spread = request.object != 0 ? request.object : mix(request.id);
    bool remote = state.share.is_remote(mix(spread));
    auto chosen = this->preferred(state, request, remote, now);
    if (chosen.empty()) {
        chosen = this->preferred(state, request, !remote, now);
    }
    candidate best;
    auto consider = [&](target_state* target, unsigned rank) {
        if (now < target->view.cold_until && target->cold_sends.count(now) >= target->view.cold_quota) {
            return;
        }
        candidate tried;
        tried.target = target;
        tried.answer_ms = this->answer_ms(state, *target, request, rank, now, tried);
        if (tried.answer_ms < best.answer_ms) {
            best = tried;
        }
    };
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        consider(chosen[i], static_cast<unsigned>(i));
    }
    // Cold targets take what they bear, so that they become warm.
    if (request.object != 0) {  // without an object, `chosen` holds them
        for (target_state* target : state.targets) {
            if (now < target->view.cold_until && this->usable(*target, request, now)) {
                consider(target, 1);
            }
        }
    }
    return best;
}

// ---- Requests ----

dispatcher::queue_key dispatcher::key_of(const dispatch_request& request, const service_state& state,
                                         time_point now) const {
    bool late = ms_between(now, request.aim_at) < state.work.expected(object_state::known);
    std::int64_t order = late ? -request.deadline_at.time_since_epoch().count()  // the newest has the most time left
                              : request.aim_at.time_since_epoch().count();
    return {request.service, request.priority, late, order, request.id};
}

// Time in which one waiting request of the service is sent, from the slots that this gateway can expect to use.
double dispatcher::ms_per_request(const service_state& state, time_point now) const {
    double local_slots = 0;
    double remote_slots = 0;
    for (const target_state* target : state.targets) {
        if (!target->unreachable_at && now >= target->view.cold_until) {
            (target->view.region == this->options.region ? local_slots : remote_slots) += target->view.slots;
        }
    }
    constexpr double remote_part = 0.25;  // gateways of other regions use the rest
    double slots =
        (local_slots + state.share.value() * remote_part * remote_slots) / static_cast<double>(this->region_gateways);
    return slots > 0 ? state.work.mean() / slots : most_retry_ms;
}

// Time until the requests that go first have been sent.
double dispatcher::queue_wait_ms(const service_state& state, const dispatch_request& request, time_point now) const {
    auto first = this->queue.lower_bound(queue_key{.service = request.service});
    auto own = this->queue.lower_bound(this->key_of(request, state, now));
    auto ahead = static_cast<double>(std::distance(first, own));
    return ahead == 0 ? 0 : ahead * this->ms_per_request(state, now);
}

dispatch_action dispatcher::refuse(const dispatch_request& request, refusal_cause cause, double wait_ms) {
    double spread = std::uniform_real_distribution<double>(0.5, 1.5)(this->random);
    double retry = std::clamp(wait_ms * spread, least_retry_ms, most_retry_ms);
    return {request.id, {}, cause, ms(std::llround(retry)), wait_ms};
}

void dispatcher::add(const dispatch_request& request, time_point now) {
    service_state& state = this->service(request.service);
    if (!state.share_started) {
        this->start_share(state);
    }
    state.arrivals.add(now);
    if (state.work.prior_ms == 0) {
        // What operators aim at is near what the work takes. A guess far below it would make every target look overdue
        // until the first answers, and send each object to several targets that do not have it.
        state.work.prior_ms = std::max(0.0, ms_between(now, request.aim_at));
    }
    double left = ms_between(now, request.deadline_at);
    bool any = std::any_of(state.targets.begin(), state.targets.end(),
                           [&](const target_state* target) { return this->usable(*target, request, now); });
    if (!any) {
        this->refused_on_arrival.push_back(this->refuse(request, refusal_cause::no_target, no_target_retry_ms));
        return;
    }
    double known = state.work.least();
    double wait = this->queue_wait_ms(state, request, now);
    if (wait + known > left) {
        this->refused_on_arrival.push_back(this->refuse(request, refusal_cause::overload, wait));
        return;
    }
    queue_key key = this->key_of(request, state, now);
    this->queue.emplace(key, request);
    this->places.emplace(request.id, key);
    ++state.waiting;
}

void dispatcher::cancel(request_id id) {
    auto found = this->places.find(id);
    if (found != this->places.end()) {
        this->take_out(this->queue.find(found->second));
    }
}

// Returns the place behind it.
dispatcher::waiting_list::iterator dispatcher::take_out(waiting_list::iterator place) {
    --this->service(place->second.service).waiting;
    this->places.erase(place->second.id);
    return this->queue.erase(place);
}

// Refuses requests that cannot be answered in time any more, and those that will not be because of the requests that
// go before them.
void dispatcher::refuse_hopeless(time_point now, std::vector<dispatch_action>& actions) {
    if (now - this->swept_at < sweep_interval) {
        return;
    }
    this->swept_at = now;
    std::string current;
    double each_ms = 0;
    double ahead = 0;
    for (auto place = this->queue.begin(); place != this->queue.end();) {
        const dispatch_request& request = place->second;
        service_state& state = this->service(request.service);
        if (request.service != current) {
            current = request.service;
            each_ms = this->ms_per_request(state, now);
            ahead = 0;
        }
        bool late = place->first.late;
        double left = ms_between(now, request.deadline_at) - state.work.least();
        // Late requests get what those that can still be in time leave.
        double rest = std::max(least_rest, 1 - certain_part * state.arrivals.per_ms(now) * each_ms);
        double wait = ahead * each_ms / (late ? rest : 1);
        bool crowded_out = wait * certain_part > left && state.work.mean_ms > 0;
        if (left >= 0 && !crowded_out) {
            ahead += 1;
            ++place;
            continue;
        }
        actions.push_back(this->refuse(request, left < 0 ? refusal_cause::too_late : refusal_cause::overload,
                                       std::max(wait, each_ms)));
        place = this->take_out(place);
    }
}

std::vector<dispatch_action> dispatcher::poll(time_point now) {
    std::vector<dispatch_action> actions = std::exchange(this->refused_on_arrival, {});
    this->refuse_hopeless(now, actions);
    std::vector<std::pair<queue_key, dispatch_request>> turned_late;
    std::string current;
    std::size_t tried = 0;
    for (auto place = this->queue.begin(); place != this->queue.end();) {
        const dispatch_request& request = place->second;
        service_state& state = this->service(request.service);
        if (request.service != current) {
            current = request.service;
            tried = 0;
            this->update_share(state, now);
        }
        if (++tried > max_tried) {
            place = this->queue.lower_bound(queue_key{.service = current + '\0'});
            continue;
        }
        queue_key key = this->key_of(request, state, now);
        if (key.late != place->first.late) {
            turned_late.emplace_back(key, request);
            place = this->queue.erase(place);
            continue;
        }
        candidate best = this->best_target(state, request, now);
        double mean = state.work.mean();
        if (request.drop_if_late && best.answer_ms > ms_between(now, request.deadline_at)) {
            place = this->take_out(place);
            continue;
        }
        bool local = best.target != nullptr && best.target->view.region == this->options.region;
        if (local && state.crowded && static_cast<double>(state.local_sent) >= fair_excess * state.fair_slots + 1) {
            ++place;
            continue;
        }
        if (best.target == nullptr || best.wait_ms > tolerated_wait_share * mean) {
            ++place;
            continue;
        }
        target_state& target = *best.target;
        if (now < target.view.cold_until) {
            target.cold_sends.add(now);
        }
        bool free = this->load(target, now) < target.view.slots;
        state.local_sent += local ? 1 : 0;
        target.sent[request.id] = {now, request.object, best.answer_ms, best.object, free};
        actions.push_back({request.id, target.view.id, refusal_cause::none, {}, best.answer_ms});
        place = this->take_out(place);
    }
    for (auto& [key, request] : turned_late) {
        this->places[request.id] = key;
        this->queue.emplace(key, std::move(request));
    }
    return actions;
}

void dispatcher::learn(service_state& state, target_state& target, const sent_request& sent, double took_ms,
                       time_point now) {
    double distance = target.view.region == this->options.region ? 0 : remote_ms;
    double took = std::max(1.0, took_ms - distance);
    work_times& work = state.work;
    learn_work(work.mean_ms, work.mean(), took);
    target.region->half_life_ms = std::max(least_half_life_ms, work.mean_ms);
    if (sent.slot_was_free && now >= target.view.cold_until) {
        double& mean = work.mean_of(sent.state);
        learn_work(mean, work.expected(sent.state), took);
        // Whether an object was warm is certain only for a known one; others tell nothing about the target's speed.
        bool comparable = sent.state == object_state::known || sent.object == 0;
        bool slow = took > slow_factor * work.expected(object_state::unknown);
        if (comparable || slow) {
            double ratio = took / (comparable ? mean : work.expected(object_state::unknown));
            target.fade_judgement(now);
            target.slowness = std::clamp(target.slowness + (ratio - target.slowness) * slowness_weight, least_slowness,
                                         most_slowness);
        }
    }
    if (sent.object != 0) {
        target.objects[sent.object] = now;
        this->forget_objects(target, now);
    }
}

void dispatcher::forget_objects(target_state& target, time_point now) const {
    if (target.objects.size() <= max_objects) {
        return;
    }
    std::erase_if(target.objects, [&](const auto& entry) { return now - entry.second >= object_memory; });
    if (target.objects.size() > max_objects) {
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
    auto place = target.sent.find(id);
    if (place == target.sent.end()) {
        return;
    }
    sent_request sent = place->second;
    target.sent.erase(place);
    service_state& state = this->service(target.view.service);
    state.local_sent -= target.view.region == this->options.region && state.local_sent > 0 ? 1 : 0;
    if (load) {
        target.others =
            std::max(0.0, static_cast<double>(load->running + load->waiting) - static_cast<double>(target.sent.size()));
        average(target.region->others_per_slot, target.others / target.view.slots, others_weight);
        target.others_at = now;
        if (load->slots > 0) {
            target.view.slots = load->slots;
        }
    }
    if (result != dispatch_outcome::unreachable && result != dispatch_outcome::cancelled) {
        target.unreachable_at.reset();
    }
    bool failed = result == dispatch_outcome::failed || result == dispatch_outcome::lost;
    if (failed || result == dispatch_outcome::answered || result == dispatch_outcome::not_run) {
        double weight = result == dispatch_outcome::not_run ? failure_weight / 2 : failure_weight;
        double sample = result == dispatch_outcome::answered ? 0 : 1;
        target.fade_judgement(now);
        target.failure_rate += (sample - target.failure_rate) * weight;
    }
    if (result == dispatch_outcome::cancelled) {
        // Its time was over: the work takes at least this long there.
        double least = ms_between(sent.sent_at, now) / std::max(1.0, sent.predicted_ms);
        target.fade_judgement(now);
        if (least > target.slowness && least > overdue_factor) {
            target.slowness = std::min(most_slowness, target.slowness + (least - target.slowness) * unanswered_weight);
        }
    }
    if (result == dispatch_outcome::answered) {
        this->learn(state, target, sent, ms_between(sent.sent_at, now), now);
    } else if (result == dispatch_outcome::unreachable) {
        bool again = target.unreachable_at.has_value();
        target.unreachable_for = again ? std::min(most_unreachable, target.unreachable_for * 2) : first_unreachable;
        target.unreachable_at = now;
    } else if (result == dispatch_outcome::not_run) {
        target.others = std::max(target.others, target.view.slots - static_cast<double>(target.sent.size()));
        target.others_at = now;
    }
}

}  // namespace persimmongrade
