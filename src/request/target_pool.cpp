#include "persimmongrade/target_pool.h"

#include <algorithm>
#include <cmath>

namespace persimmongrade {

namespace {

constexpr double smoothing = 0.2;           // weight of the newest observation
constexpr double trouble_weight = 8.0;      // a target that always fails or sheds counts as nine times loaded
constexpr double reported_weight = 0.1;     // a target that reports full load counts as 1.1 times loaded
constexpr double latency_factor_min = 0.5;  // bounds on the latency relative to the pool's mean
constexpr double latency_factor_max = 8.0;
constexpr double trouble_half_life_ms = 2000.0;  // without new observations
constexpr std::uint32_t max_doublings = 3;

bool is_failure(target_result result) {
    return result == target_result::error || result == target_result::timeout ||
           result == target_result::connect_failed || result == target_result::connection_lost;
}

double decayed(double trouble, duration elapsed) {
    return trouble * std::exp2(-static_cast<double>(elapsed.count()) / trouble_half_life_ms);
}

bool contains(const std::vector<std::string>& values, const std::string& value) {
    return std::find(values.begin(), values.end(), value) != values.end();
}

}  // namespace

target_pool::target_pool(target_pool_options options) : options(options), random(options.seed) {}

std::optional<target_change> target_pool::announce(time_point now, const wire::target_info_t& info) {
    return this->store(now, info, target_lease, true, slow_start_time);
}

std::vector<target_change> target_pool::apply(time_point now, const wire::target_update_t& update) {
    std::vector<target_change> changes;
    for (const auto& info : update.targets) {
        duration cold = update.full ? std::min(ms(info->cold_ms), slow_start_time) : slow_start_time;
        if (auto change = this->store(now, *info, std::min(ms(info->lease_ms), target_lease), false, cold)) {
            changes.push_back(std::move(*change));
        }
    }
    return changes;
}

std::optional<target_change> target_pool::store(time_point now, const wire::target_info_t& info, duration lease,
                                                bool local, duration cold) {
    auto& pool = this->by_service[info.service];
    auto [position, added] = pool.try_emplace(info.id);
    auto& which = position->second;
    if (!added &&
        std::pair(info.incarnation, info.sequence) <= std::pair(which.info.incarnation, which.info.sequence)) {
        return std::nullopt;
    }
    bool news = added || info.incarnation != which.info.incarnation || info.state != which.info.state ||
                which.expires_at < now + news_lease_left;
    if (added || info.incarnation != which.info.incarnation) {
        which = {};
        which.warm_at = now + cold;
        which.troubled_at = now;
        which.ejected_until = now;
    }
    which.info = info;
    which.expires_at = now + lease;
    which.local = local;
    this->keep_minimum(now, pool);
    return target_change{info.service, info.id, now + lease - target_lease, news};
}

std::vector<target_choice> target_pool::tick(time_point now) {
    std::vector<target_choice> gone;
    for (auto& [service, pool] : this->by_service) {
        for (auto position = pool.begin(); position != pool.end();) {
            if (now < position->second.expires_at) {
                ++position;
                continue;
            }
            gone.push_back(choice_of(position->second));
            position = pool.erase(position);
        }
    }
    std::erase_if(this->by_service, [](const auto& entry) { return entry.second.empty(); });
    this->keep_all_minimums(now);
    return gone;
}

wire::target_info_t target_pool::with_lease(time_point now, const target& which) const {
    wire::target_info_t info = which.info;
    info.lease_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(0, (which.expires_at - now).count()));
    info.cold_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(0, (which.warm_at - now).count()));
    return info;
}

std::optional<wire::target_info_t> target_pool::state_of(time_point now, std::string_view service,
                                                         std::string_view id) const {
    const target* known = this->find_alive(now, service, id);
    return known == nullptr ? std::nullopt : std::optional(this->with_lease(now, *known));
}

bool target_pool::alive(time_point now, std::string_view service, std::string_view id) const {
    return this->find_alive(now, service, id) != nullptr;
}

std::size_t target_pool::count_usable(time_point now, std::string_view service, std::string_view region) const {
    auto pool = this->by_service.find(service);
    if (pool == this->by_service.end()) {
        return 0;
    }
    return static_cast<std::size_t>(std::count_if(pool->second.begin(), pool->second.end(), [&](const auto& entry) {
        const target& which = entry.second;
        bool usable = now < which.expires_at && now >= which.ejected_until && !this->draining(which);
        return usable && (region.empty() || which.info.region == region);
    }));
}

const target_pool::target* target_pool::find_alive(time_point now, std::string_view service,
                                                   std::string_view id) const {
    auto pool = this->by_service.find(service);
    if (pool == this->by_service.end()) {
        return nullptr;
    }
    auto found = pool->second.find(id);
    bool alive = found != pool->second.end() && now < found->second.expires_at;
    return alive ? &found->second : nullptr;
}

wire::target_update_t target_pool::local_update(time_point now) const {
    return this->update_of(now, false);
}

wire::target_update_t target_pool::full_update(time_point now) const {
    return this->update_of(now, true);
}

wire::target_update_t target_pool::update_of(time_point now, bool full) const {
    wire::target_update_t update;
    update.full = full;
    for (const auto& [service, pool] : this->by_service) {
        for (const auto& [id, which] : pool) {
            if (now < which.expires_at && (full || which.local)) {
                update.targets.push_back(std::make_unique<wire::target_info_t>(this->with_lease(now, which)));
            }
        }
    }
    return update;
}

void target_pool::set_drains(time_point now, const std::set<std::string>& targets) {
    this->drains = {targets.begin(), targets.end()};
    this->keep_all_minimums(now);
}

bool target_pool::should_drain(std::string_view target) const {
    return this->drains.contains(target);
}

bool target_pool::draining(const target& which) const {
    return which.info.state == wire::target_state::draining || this->drains.contains(which.info.id);
}

std::optional<target_choice> target_pool::pick(time_point now, std::string_view service,
                                               const std::vector<std::string>& regions,
                                               const std::vector<std::string>& excluded) {
    return this->pick_if(now, service, regions, excluded, [](const target_choice&) { return true; });
}

bool target_pool::matches(time_point now, const target& which, const std::vector<std::string>& regions,
                          const std::vector<std::string>& excluded) const {
    if (now >= which.expires_at || now < which.ejected_until || this->draining(which) ||
        !contains(regions, which.info.region) || contains(excluded, which.info.id)) {
        return false;
    }
    double slots = std::max(1.0, std::floor(which.info.slots * ramp(now, which)));
    return this->outstanding(which.info.service, which.info.id) < slots;
}

std::optional<target_choice> target_pool::choose(const std::vector<candidate>& from) {
    if (from.empty()) {
        return std::nullopt;
    }
    if (this->options.method == selection_method::round_robin) {
        auto& next = this->turn[from.front().which->info.service];
        return choice_of(*from[next++ % from.size()].which);
    }
    if (this->options.method == selection_method::full_scan) {
        auto least = std::min_element(from.begin(), from.end(), [](const candidate& left, const candidate& right) {
            return left.score < right.score;
        });
        return choice_of(*least->which);
    }
    std::size_t first = this->random() % from.size();
    if (from.size() == 1) {
        return choice_of(*from[first].which);
    }
    std::size_t second = (first + 1 + this->random() % (from.size() - 1)) % from.size();
    return choice_of(*from[from[second].score < from[first].score ? second : first].which);
}

void target_pool::started(const std::string& service, const std::string& id) {
    ++this->outstanding_by_service[service][id];
}

void target_pool::finished(time_point now, const std::string& service, const std::string& id,
                           target_observation observation) {
    auto counts = this->outstanding_by_service.find(service);
    if (counts != this->outstanding_by_service.end()) {
        auto count = counts->second.find(id);
        if (count != counts->second.end() && --count->second == 0) {
            counts->second.erase(count);
        }
    }
    auto pool = this->by_service.find(service);
    if (pool == this->by_service.end() || observation.result == target_result::cancelled) {
        return;
    }
    auto position = pool->second.find(id);
    if (position == pool->second.end()) {
        return;
    }
    auto& which = position->second;
    bool troubled = observation.result != target_result::success;
    which.trouble = decayed(which.trouble, now - which.troubled_at) * (1 - smoothing) + (troubled ? smoothing : 0);
    which.troubled_at = now;
    if (is_failure(observation.result)) {
        this->record_failure(now, pool->second, which);
        return;
    }
    which.consecutive_failures = 0;
    if (!troubled) {
        auto latency = static_cast<double>(observation.latency.count());
        which.latency_ms = which.latency_ms == 0 ? latency : which.latency_ms * (1 - smoothing) + latency * smoothing;
        which.ejections = 0;
    }
}

void target_pool::record_failure(time_point now, service_targets& pool, target& which) const {
    if (++which.consecutive_failures < ejection_failures || now < which.ejected_until) {
        return;
    }
    which.consecutive_failures = 0;
    which.ejected_until = now + ejection_time * (1 << std::min(which.ejections, max_doublings));
    ++which.ejections;
    this->keep_minimum(now, pool);
}

// Ends the ejections that end first until at least half of the targets of each region can be picked.
void target_pool::keep_minimum(time_point now, service_targets& pool) const {
    std::map<std::string, std::vector<target*>> ejected;
    std::map<std::string, std::size_t> eligible;
    for (auto& [id, which] : pool) {
        if (now >= which.expires_at || this->draining(which)) {
            continue;
        }
        ++eligible[which.info.region];
        if (now < which.ejected_until) {
            ejected[which.info.region].push_back(&which);
        }
    }
    for (auto& [region, targets] : ejected) {
        std::size_t allowed = eligible[region] / 2;
        if (targets.size() <= allowed) {
            continue;
        }
        std::sort(targets.begin(), targets.end(),
                  [](const target* left, const target* right) { return left->ejected_until < right->ejected_until; });
        for (std::size_t i = 0; i < targets.size() - allowed; ++i) {
            targets[i]->ejected_until = now;
        }
    }
}

void target_pool::keep_minimum_of(time_point now, std::string_view service) {
    auto pool = this->by_service.find(service);
    if (pool == this->by_service.end()) {
        return;
    }
    bool ejected = std::any_of(pool->second.begin(), pool->second.end(),
                               [now](const auto& entry) { return now < entry.second.ejected_until; });
    if (ejected) {
        this->keep_minimum(now, pool->second);
    }
}

void target_pool::keep_all_minimums(time_point now) {
    for (auto& [service, pool] : this->by_service) {
        this->keep_minimum(now, pool);
    }
}

std::uint32_t target_pool::outstanding(const std::string& service, const std::string& id) const {
    auto counts = this->outstanding_by_service.find(service);
    if (counts == this->outstanding_by_service.end()) {
        return 0;
    }
    auto count = counts->second.find(id);
    return count == counts->second.end() ? 0 : count->second;
}

std::vector<wire::target_outstanding_t> target_pool::all_outstanding() const {
    std::vector<wire::target_outstanding_t> all;
    for (const auto& [service, counts] : this->outstanding_by_service) {
        for (const auto& [id, count] : counts) {
            wire::target_outstanding_t entry;
            entry.service = service;
            entry.target = id;
            entry.requests = count;
            all.push_back(entry);
        }
    }
    return all;
}

std::vector<target_view> target_pool::view(time_point now, std::string_view service) const {
    std::vector<target_view> views;
    auto pool = this->by_service.find(service);
    if (pool == this->by_service.end()) {
        return views;
    }
    double latency = mean_latency(pool->second);
    for (const auto& [id, which] : pool->second) {
        if (now < which.expires_at) {
            views.push_back({choice_of(which), this->outstanding(which.info.service, id), this->draining(which),
                             now < which.ejected_until, now < which.warm_at, this->score(now, which, latency),
                             which.latency_ms});
        }
    }
    return views;
}

std::vector<std::string> target_pool::services() const {
    std::vector<std::string> names;
    for (const auto& [service, pool] : this->by_service) {
        names.push_back(service);
    }
    return names;
}

double target_pool::score(time_point now, const target& which, double mean_latency_ms) const {
    double slots = std::max(1U, which.info.slots) * ramp(now, which);
    double load = (this->outstanding(which.info.service, which.info.id) + 1.0) / slots;
    double latency = 1.0;
    if (which.latency_ms > 0 && mean_latency_ms > 0) {
        latency = std::clamp(which.latency_ms / mean_latency_ms, latency_factor_min, latency_factor_max);
    }
    double trouble = 1 + trouble_weight * decayed(which.trouble, now - which.troubled_at);
    double reported =
        1 + reported_weight * (std::isfinite(which.info.load) ? std::clamp(which.info.load, 0.0, 1.0) : 1.0);
    return load * latency * trouble * reported;
}

// Share of its slots that a target gets: rises from slow_start_floor to 1 over slow_start_time.
double target_pool::ramp(time_point now, const target& which) {
    if (now >= which.warm_at) {
        return 1.0;
    }
    double left = static_cast<double>((which.warm_at - now).count()) / static_cast<double>(slow_start_time.count());
    return slow_start_floor + (1 - slow_start_floor) * (1 - left);
}

double target_pool::mean_latency(const service_targets& pool) {
    double sum = 0;
    int count = 0;
    for (const auto& [id, which] : pool) {
        if (which.latency_ms > 0) {
            sum += which.latency_ms;
            ++count;
        }
    }
    return count == 0 ? 0 : sum / count;
}

target_choice target_pool::choice_of(const target& which) {
    const auto& info = which.info;
    return {info.id,   info.service, info.address,     info.region,
            info.zone, info.slots,   info.connections, info.incarnation};
}

}  // namespace persimmongrade
