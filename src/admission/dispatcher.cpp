#include "persimmongrade/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace persimmongrade {

namespace {

// ---- Learning ----
constexpr double work_weight = 0.05;             // of one answer in the mean work of a service
constexpr double slowness_weight = 0.2;          // of one answer in the slowness of a target
constexpr double failure_weight = 0.2;           // of one answer in the failure rate of a target
constexpr double judgement_half_life_ms = 3000;  // a target that gets no requests is tried again
constexpr double others_half_life_ms = 400;  // of a load report, about the time in which the load it shows is served
constexpr double first_known_ms = 80;        // until answers tell
constexpr double first_unknown_ms = 250;     // until answers tell
constexpr double least_slowness = 0.3;
constexpr double most_slowness = 20;

// ---- Placement ----
constexpr duration object_memory = ms(20000);  // a target's cache holds an object about that long
constexpr std::size_t max_objects = 64;        // remembered per target; caches of targets are of this order
constexpr double remote_ms = 30;               // round trip to another region
constexpr double failure_cost_ms = 1000;       // of a request that fails
constexpr double stalled_cost_ms = 5000;       // of a target that does not answer at all
constexpr double stalled_factor = 4;           // of the expected time, after which a target without answers is stalled
constexpr double least_stalled_ms = 600;
constexpr double tolerated_wait_share = 0.3;      // of the work, that a request may wait in a target's own queue
constexpr duration unreachable_retry = ms(1500);  // a target that reported itself since is used at once

// ---- Refusal ----
constexpr double least_retry_ms = 50;
constexpr double most_retry_ms = 2000;
constexpr double no_target_retry_ms = 400;

constexpr std::size_t max_tried = 24;  // waiting requests of one service for which a poll looks for a target

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

bool contains(const std::vector<std::string>& list, const std::string& value) {
    return std::find(list.begin(), list.end(), value) != list.end();
}

}  // namespace

dispatcher::dispatcher(const dispatcher_options& options) : options(options), random(options.random_seed) {}

// ---- Beliefs ----

double dispatcher::target_state::load(time_point now) const {
    return static_cast<double>(this->sent.size()) +
           decayed(this->others, 0, ms_between(this->others_at, now), others_half_life_ms);
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
        added->hash = mix(std::hash<std::string>()(target.id));
        added->judged_at = now;
        found = this->targets.emplace(target.id, std::move(added)).first;
        this->service(target.service).targets.push_back(found->second.get());
    }
    target_state& state = *found->second;
    if (state.view.started_at_ms != target.started_at_ms) {
        state.objects.clear();
        state.others = 0;
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
    std::erase(this->service(found->second->view.service).targets, found->second.get());
    this->targets.erase(found);
}

double dispatcher::remote_share(const std::string& service) const {
    auto found = this->services.find(service);
    return found == this->services.end() ? 0 : found->second.share.value();
}

double dispatcher::outstanding(const std::string& target) const {
    auto found = this->targets.find(target);
    return found == this->targets.end() ? 0 : static_cast<double>(found->second->sent.size());
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
    constexpr double caution = 0.7;  // warm targets hold more than their share of the slots tells
    state.share.start(total == 0 ? 0 : caution * std::max(0.0, 1 - slots[this->options.region] / even));
    state.share_started = total > 0;
}

void dispatcher::update_share(service_state& state, time_point now) const {
    double local_load = 0;
    double local_slots = 0;
    double remote_load = 0;
    double remote_slots = 0;
    for (const target_state* target : state.targets) {
        if (target->unreachable_at || now < target->view.cold_until) {
            continue;
        }
        bool local = target->view.region == this->options.region;
        (local ? local_load : remote_load) += target->load(now);
        (local ? local_slots : remote_slots) += target->view.slots;
    }
    constexpr double full = 10;
    state.share.update(now, local_slots > 0 ? local_load / local_slots : full,
                       remote_slots > 0 ? remote_load / remote_slots : full);
}

// ---- Placement ----

bool dispatcher::usable(const target_state& target, const dispatch_request& request, time_point now) const {
    if (target.unreachable_at && now < *target.unreachable_at + unreachable_retry) {
        return false;
    }
    return !contains(request.excluded, target.view.id) &&
           (request.regions.empty() || contains(request.regions, target.view.region));
}

double dispatcher::answer_ms(const service_state& state, const target_state& target, const dispatch_request& request,
                             unsigned rank, time_point now, candidate& result) const {
    const work_times& work = state.work;
    double known = work.known_ms > 0 ? work.known_ms : first_known_ms;
    double unknown = work.unknown_ms > 0 ? work.unknown_ms : first_unknown_ms;
    auto seen = target.objects.find(request.object);
    result.known_object = request.object != 0 && seen != target.objects.end() && now - seen->second < object_memory;
    double expected = unknown;
    if (result.known_object) {
        expected = known;
    } else if (request.object != 0 && rank == 0) {
        expected = (known + unknown) / 2;  // another gateway may have sent it there
    }
    double age = ms_between(target.judged_at, now);
    double slowness = decayed(target.slowness, 1, age, judgement_half_life_ms);
    double failures = decayed(target.failure_rate, 0, age, judgement_half_life_ms);
    double mean = work.mean_ms > 0 ? work.mean_ms : (known + unknown) / 2;
    double beyond = target.load(now) + 1 - target.view.slots;
    result.wait_ms = std::max(0.0, beyond) / target.view.slots * mean * slowness;
    double distance = target.view.region == this->options.region ? 0 : remote_ms;
    double total = result.wait_ms + expected * slowness + distance + failures * failure_cost_ms;
    for (const auto& [id, sent] : target.sent) {
        double limit = std::max(least_stalled_ms, stalled_factor * (unknown * slowness));
        if (sent.sent_at > target.answered_at && ms_between(sent.sent_at, now) > limit) {
            total += stalled_cost_ms;
            break;
        }
    }
    return total;
}

dispatcher::candidate dispatcher::best_target(service_state& state, const dispatch_request& request, time_point now) {
    std::uint64_t spread = request.object != 0 ? request.object : mix(request.id);
    bool remote = state.share.is_remote(mix(spread));
    // The first of the rendezvous order here and elsewhere.
    const target_state* first_local = nullptr;
    const target_state* first_remote = nullptr;
    std::uint64_t highest_local = 0;
    std::uint64_t highest_remote = 0;
    for (const target_state* target : state.targets) {
        if (!this->usable(*target, request, now) || now < target->view.cold_until) {
            continue;
        }
        std::uint64_t rank = mix(spread ^ target->hash);
        bool local = target->view.region == this->options.region;
        std::uint64_t& highest = local ? highest_local : highest_remote;
        const target_state*& first = local ? first_local : first_remote;
        if (first == nullptr || rank > highest) {
            highest = rank;
            first = target;
        }
    }
    if (first_local == nullptr && first_remote != nullptr) {
        remote = true;
    } else if (first_remote == nullptr) {
        remote = false;
    }
    candidate best;
    for (target_state* target : state.targets) {
        bool local = target->view.region == this->options.region;
        if (local == remote || !this->usable(*target, request, now)) {
            continue;
        }
        if (now < target->view.cold_until && target->cold_sends.count(now) >= target->view.cold_quota) {
            continue;
        }
        candidate tried;
        tried.target = target;
        bool first = target == (local ? first_local : first_remote);
        tried.answer_ms = this->answer_ms(state, *target, request, first ? 0 : 1, now, tried);
        if (tried.answer_ms < best.answer_ms) {
            best = tried;
        }
    }
    return best;
}

// ---- Requests ----

dispatcher::queue_key dispatcher::key_of(const dispatch_request& request, const service_state& state,
                                         time_point now) const {
    double work = state.work.known_ms > 0 ? state.work.known_ms : first_known_ms;
    bool late = ms_between(now, request.aim_at) < work;
    std::int64_t order = late ? -request.deadline_at.time_since_epoch().count()  // the newest has the most time left
                              : request.aim_at.time_since_epoch().count();
    return {request.service, request.priority, late, order, request.id};
}

// Time until the requests that go first have been sent, from the slots that this gateway can expect to use.
double dispatcher::queue_wait_ms(const service_state& state, const dispatch_request& request, time_point now) const {
    auto first = this->queue.lower_bound(queue_key{.service = request.service});
    auto own = this->queue.lower_bound(this->key_of(request, state, now));
    auto ahead = static_cast<double>(std::distance(first, own));
    if (ahead == 0) {
        return 0;
    }
    double local_slots = 0;
    double remote_slots = 0;
    for (const target_state* target : state.targets) {
        if (this->usable(*target, request, now) && now >= target->view.cold_until) {
            (target->view.region == this->options.region ? local_slots : remote_slots) += target->view.slots;
        }
    }
    constexpr double remote_part = 0.25;  // gateways of other regions use the rest
    double share = state.share.value();
    double slots = local_slots / this->region_gateways + share * remote_part * remote_slots / this->region_gateways;
    double mean = state.work.mean_ms > 0 ? state.work.mean_ms : first_unknown_ms;
    return slots > 0 ? ahead * mean / slots : most_retry_ms;
}

dispatch_action dispatcher::refuse(const dispatch_request& request, refusal_cause cause, double wait_ms) {
    double spread = std::uniform_real_distribution<double>(0.5, 1.5)(this->random);
    double retry = std::clamp(wait_ms * spread, least_retry_ms, most_retry_ms);
    return {request.id, {}, cause, ms(std::llround(retry)), wait_ms, false};
}

void dispatcher::add(const dispatch_request& request, time_point now) {
    service_state& state = this->service(request.service);
    if (!state.share_started) {
        this->start_share(state);
    }
    double left = ms_between(now, request.deadline_at);
    bool any = std::any_of(state.targets.begin(), state.targets.end(),
                           [&](const target_state* target) { return this->usable(*target, request, now); });
    if (!any) {
        this->refused_on_arrival.push_back(this->refuse(request, refusal_cause::no_target, no_target_retry_ms));
        return;
    }
    double known = state.work.known_ms > 0 ? state.work.known_ms : 0;
    double wait = this->queue_wait_ms(state, request, now);
    if (wait + known > left) {
        this->refused_on_arrival.push_back(this->refuse(request, refusal_cause::overload, wait));
        return;
    }
    queue_key key = this->key_of(request, state, now);
    this->queue.emplace(key, request);
    this->places.emplace(request.id, key);
}

void dispatcher::cancel(request_id id) {
    auto found = this->places.find(id);
    if (found != this->places.end()) {
        this->queue.erase(found->second);
        this->places.erase(found);
    }
}

std::vector<dispatch_action> dispatcher::poll(time_point now) {
    std::vector<dispatch_action> actions = std::exchange(this->refused_on_arrival, {});
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
        double known = state.work.known_ms > 0 ? state.work.known_ms : 0;
        if (ms_between(now, request.deadline_at) < known) {
            actions.push_back(this->refuse(request, refusal_cause::too_late, this->queue_wait_ms(state, request, now)));
            this->places.erase(request.id);
            place = this->queue.erase(place);
            continue;
        }
        queue_key key = this->key_of(request, state, now);
        if (key.late != place->first.late) {
            turned_late.emplace_back(key, request);
            place = this->queue.erase(place);
            continue;
        }
        candidate best = this->best_target(state, request, now);
        double mean = state.work.mean_ms > 0 ? state.work.mean_ms : first_unknown_ms;
        if (best.target == nullptr || best.wait_ms > tolerated_wait_share * mean) {
            ++place;
            continue;
        }
        target_state& target = *best.target;
        if (now < target.view.cold_until) {
            target.cold_sends.add(now);
        }
        bool free = target.load(now) < target.view.slots;
        target.sent[request.id] = {now, request.object, best.known_object, free};
        actions.push_back({request.id, target.view.id, refusal_cause::none, {}, best.answer_ms, best.known_object});
        this->places.erase(request.id);
        place = this->queue.erase(place);
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
    average(work.mean_ms, took, work_weight);
    double& mean = sent.known_object ? work.known_ms : work.unknown_ms;
    if (sent.slot_was_free && now >= target.view.cold_until) {
        average(mean, took, work_weight);
        double age = ms_between(target.judged_at, now);
        double before = decayed(target.slowness, 1, age, judgement_half_life_ms);
        target.slowness = std::clamp(before + (took / mean - before) * slowness_weight, least_slowness, most_slowness);
        target.failure_rate = decayed(target.failure_rate, 0, age, judgement_half_life_ms);
        target.judged_at = now;
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

void dispatcher::finished(request_id id, const std::string& name, target_result result,
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
    if (load) {
        target.others =
            std::max(0.0, static_cast<double>(load->running + load->waiting) - static_cast<double>(target.sent.size()));
        target.others_at = now;
        if (load->slots > 0) {
            target.view.slots = load->slots;
        }
    }
    service_state& state = this->service(target.view.service);
    double age = ms_between(target.judged_at, now);
    bool failed = result == target_result::failed || result == target_result::lost;
    if (failed || result == target_result::answered || result == target_result::not_run) {
        target.answered_at = now;
        double weight = result == target_result::not_run ? failure_weight / 2 : failure_weight;
        double before = decayed(target.failure_rate, 0, age, judgement_half_life_ms);
        double sample = result == target_result::answered ? 0 : 1;
        target.slowness = decayed(target.slowness, 1, age, judgement_half_life_ms);
        target.failure_rate = before + (sample - before) * weight;
        target.judged_at = now;
    }
    if (result == target_result::answered) {
        this->learn(state, target, sent, ms_between(sent.sent_at, now), now);
    } else if (result == target_result::unreachable) {
        target.unreachable_at = now;
    } else if (result == target_result::not_run) {
        target.others = std::max(target.others, target.view.slots - static_cast<double>(target.sent.size()));
        target.others_at = now;
    }
}

}  // namespace persimmongrade
