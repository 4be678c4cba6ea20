#include "persimmongrade/target_pool.h"

#include <algorithm>
#include <cmath>

namespace persimmongrade {

namespace {

constexpr double ewma_weight = 0.2;           // weight of the newest observation
constexpr double error_rate_weight = 8.0;     // a target that always fails or sheds counts as 9 times as loaded
constexpr double reported_load_weight = 0.1;  // a target that reports full load counts as 1.1 times as loaded
constexpr double latency_factor_min = 0.5;    // bounds of the latency relative to the mean of the pool
constexpr double latency_factor_max = 8.0;
constexpr double error_rate_half_life_ms = 2000.0;  // without new observations
constexpr std::uint32_t max_ejection_doublings = 3;

bool is_failure(target_result result) {
    return result == target_result::error || result == target_result::timeout ||
           result == target_result::connect_failed || result == target_result::connection_lost;
}

double decayed(double error_rate, duration elapsed) {
    return error_rate * std::exp2(-static_cast<double>(elapsed.count()) / error_rate_half_life_ms);
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
    auto& tracked = position->second;
    if (!added &&
        std::pair(info.incarnation, info.sequence) <= std::pair(tracked.info.incarnation, tracked.info.sequence)) {
        return std::nullopt;
    }
    bool urgent = added || info.incarnation != tracked.info.incarnation || info.state != tracked.info.state ||
                  tracked.expires_at < now + late_renewal_lease_left;
    if (added || info.incarnation != tracked.info.incarnation) {
        tracked = {};
        tracked.slow_start_ends_at = now + cold;
        tracked.error_rate_at = now;
        tracked.ejected_until = now;
    }
    tracked.info = info;
    tracked.expires_at = now + lease;
    tracked.local = local;
    this->limit_ejections(now, pool);
    return target_change{info.service, info.id, now + lease - target_lease, urgent};
}

std::vector<target_choice> target_pool::tick(time_point now) {
    std::vector<target_choice> expired;
    for (auto& [service, pool] : this->by_service) {
        for (auto position = pool.begin(); position != pool.end();) {
            if (now < position->second.expires_at) {
                ++position;
                continue;
            }
            expired.push_back(choice_of(position->second));
            position = pool.erase(position);
        }
    }
    std::erase_if(this->by_service, [](const auto& entry) { return entry.second.empty(); });
    this->limit_all_ejections(now);
    return expired;
}

wire::target_info_t target_pool::with_lease(time_point now, const target& tracked) const {
    wire::target_info_t info = tracked.info;
    info.lease_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(0, (tracked.expires_at - now).count()));
    info.cold_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(0, (tracked.slow_start_ends_at - now).count()));
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
        const target& tracked = entry.second;
        bool usable = now < tracked.expires_at && now >= tracked.ejected_until && !this->draining(tracked);
        return usable && (region.empty() || tracked.info.region == region);
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
        for (const auto& [id, tracked] : pool) {
            if (now < tracked.expires_at && (full || tracked.local)) {
                update.targets.push_back(std::make_unique<wire::target_info_t>(this->with_lease(now, tracked)));
            }
        }
    }
    return update;
}

void target_pool::set_drains(time_point now, const std::set<std::string>& targets) {
    this->drains = {targets.begin(), targets.end()};
    this->limit_all_ejections(now);
}

bool target_pool::should_drain(std::string_view target) const {
    return this->drains.contains(target);
}

bool target_pool::draining(const target& tracked) const {
    return tracked.info.state == wire::target_state::draining || this->drains.contains(tracked.info.id);
}

std::optional<target_choice> target_pool::pick(time_point now, std::string_view service,
                                               const std::vector<std::string>& regions,
                                               const std::vector<std::string>& excluded) {
    return this->pick_if(now, service, regions, excluded, [](const target_choice&) { return true; });
}

bool target_pool::matches(time_point now, const target& tracked, const std::vector<std::string>& regions,
                          const std::vector<std::string>& excluded) const {
    if (now >= tracked.expires_at || now < tracked.ejected_until || this->draining(tracked) ||
        !contains(regions, tracked.info.region) || contains(excluded, tracked.info.id)) {
        return false;
    }
    double slots = std::max(1.0, std::floor(tracked.info.slots * slow_start_share(now, tracked)));
    return this->outstanding(tracked.info.service, tracked.info.id) < slots;
}

std::optional<target_choice> target_pool::choose(const std::vector<candidate>& from) {
    if (from.empty()) {
        return std::nullopt;
    }
    if (this->options.method == selection_method::round_robin) {
        auto& next = this->next_index[from.front().tracked->info.service];
        return choice_of(*from[next++ % from.size()].tracked);
    }
    if (this->options.method == selection_method::full_scan) {
        auto least = std::min_element(from.begin(), from.end(), [](const candidate& left, const candidate& right) {
            return left.score < right.score;
        });
        return choice_of(*least->tracked);
    }
    std::size_t first = this->random() % from.size();
    if (from.size() == 1) {
        return choice_of(*from[first].tracked);
    }
    std::size_t second = (first + 1 + this->random() % (from.size() - 1)) % from.size();
    return choice_of(*from[from[second].score < from[first].score ? second : first].tracked);
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
    auto& tracked = position->second;
    bool failed_or_shed = observation.result != target_result::success;
    tracked.error_rate = decayed(tracked.error_rate, now - tracked.error_rate_at) * (1 - ewma_weight) +
                         (failed_or_shed ? ewma_weight : 0);
    tracked.error_rate_at = now;
    if (is_failure(observation.result)) {
        this->record_failure(now, pool->second, tracked);
        return;
    }
    tracked.consecutive_failures = 0;
    if (!failed_or_shed) {
        auto latency = static_cast<double>(observation.latency.count());
        tracked.latency_ms =
            tracked.latency_ms == 0 ? latency : tracked.latency_ms * (1 - ewma_weight) + latency * ewma_weight;
        tracked.ejections = 0;
    }
}

void target_pool::record_failure(time_point now, service_targets& pool, target& tracked) const {
    if (++tracked.consecutive_failures < ejection_failures || now < tracked.ejected_until) {
        return;
    }
    tracked.consecutive_failures = 0;
    tracked.ejected_until = now + ejection_time * (1 << std::min(tracked.ejections, max_ejection_doublings));
    ++tracked.ejections;
    this->limit_ejections(now, pool);
}

// Ends ejections early, those with the least time left first, until at most half of the targets of each region are
// ejected.
void target_pool::limit_ejections(time_point now, service_targets& pool) const {
    std::map<std::string, std::vector<target*>> ejected;
    std::map<std::string, std::size_t> eligible;
    for (auto& [id, tracked] : pool) {
        if (now >= tracked.expires_at || this->draining(tracked)) {
            continue;
        }
        ++eligible[tracked.info.region];
        if (now < tracked.ejected_until) {
            ejected[tracked.info.region].push_back(&tracked);
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

void target_pool::limit_ejections_of(time_point now, std::string_view service) {
    auto pool = this->by_service.find(service);
    if (pool == this->by_service.end()) {
        return;
    }
    bool ejected = std::any_of(pool->second.begin(), pool->second.end(),
                               [now](const auto& entry) { return now < entry.second.ejected_until; });
    if (ejected) {
        this->limit_ejections(now, pool->second);
    }
}

void target_pool::limit_all_ejections(time_point now) {
    for (auto& [service, pool] : this->by_service) {
        this->limit_ejections(now, pool);
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
    for (const auto& [id, tracked] : pool->second) {
        if (now < tracked.expires_at) {
            views.push_back({choice_of(tracked), this->outstanding(tracked.info.service, id), this->draining(tracked),
                             now < tracked.ejected_until, now < tracked.slow_start_ends_at,
                             this->score(now, tracked, latency), tracked.latency_ms});
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

double target_pool::score(time_point now, const target& tracked, double mean_latency_ms) const {
    double slots = std::max(1U, tracked.info.slots) * slow_start_share(now, tracked);
    double load = (this->outstanding(tracked.info.service, tracked.info.id) + 1.0) / slots;
    double latency = 1.0;
    if (tracked.latency_ms > 0 && mean_latency_ms > 0) {
        latency = std::clamp(tracked.latency_ms / mean_latency_ms, latency_factor_min, latency_factor_max);
    }
    double error_rate = 1 + error_rate_weight * decayed(tracked.error_rate, now - tracked.error_rate_at);
    double reported =
        1 + reported_load_weight * (std::isfinite(tracked.info.load) ? std::clamp(tracked.info.load, 0.0, 1.0) : 1.0);
    return load * latency * error_rate * reported;
}

// Share of its slots that a target may use: rises from slow_start_floor to 1 during slow_start_time.
double target_pool::slow_start_share(time_point now, const target& tracked) {
    if (now >= tracked.slow_start_ends_at) {
        return 1.0;
    }
    double left =
        static_cast<double>((tracked.slow_start_ends_at - now).count()) / static_cast<double>(slow_start_time.count());
    return slow_start_floor + (1 - slow_start_floor) * (1 - left);
}

double target_pool::mean_latency(const service_targets& pool) {
    double sum = 0;
    int count = 0;
    for (const auto& [id, tracked] : pool) {
        if (tracked.latency_ms > 0) {
            sum += tracked.latency_ms;
            ++count;
        }
    }
    return count == 0 ? 0 : sum / count;
}

target_choice target_pool::choice_of(const target& tracked) {
    const auto& info = tracked.info;
    return {info.id,   info.service, info.address,     info.region,
            info.zone, info.slots,   info.connections, info.incarnation};
}

}  // namespace persimmongrade
