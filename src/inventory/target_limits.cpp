#include "persimmongrade/target_limits.h"

#include <algorithm>
#include <cmath>

namespace persimmongrade {

namespace {

constexpr double reported_change = 0.05;  // smaller changes of a rate are not reported

wire::target_limit_t news_of(const target_limits::target_start& start, std::optional<double> rate, duration age) {
    wire::target_limit_t news;
    news.target = start.target;
    news.started_at_ms = start.started_at_ms;
    news.limited = rate.has_value();
    news.requests_per_second = rate.value_or(0);
    news.observed_ms_ago = static_cast<std::uint32_t>(std::max<std::int64_t>(0, age.count()));
    return news;
}

}  // namespace

std::optional<wire::target_limit_t> target_limits::observe(const target_start& start, std::optional<double> rate,
                                                           time_point now) {
    auto found = this->entries.find(start);
    if (found == this->entries.end()) {
        if (!rate) {
            return std::nullopt;  // nearly all answers
        }
        found = this->entries.emplace(start, entry{}).first;
    }
    entry& known = found->second;
    known.observed_at = now;
    bool same = known.rate.has_value() == rate.has_value() &&
                (!rate || std::abs(*rate - *known.rate) <= reported_change * *known.rate);
    if (same) {
        return std::nullopt;
    }
    known.rate = rate;
    return news_of(start, rate, duration::zero());
}

bool target_limits::merge(const wire::target_limit_t& news, time_point now) {
    bool valid = news.requests_per_second >= 0 && news.requests_per_second <= max_target_rate;
    time_point observed_at = now - ms(news.observed_ms_ago);
    auto [place, added] = this->entries.try_emplace({news.target, news.started_at_ms});
    entry& known = place->second;
    if (!valid || (!added && observed_at <= known.observed_at)) {
        return false;
    }
    auto rate = news.limited ? std::optional(news.requests_per_second) : std::nullopt;
    bool changed = added || rate != known.rate;
    known = {rate, observed_at};
    return changed;
}

void target_limits::forget(const std::string& target) {
    std::erase_if(this->entries, [&](const auto& entry) { return entry.first.target == target; });
}

std::optional<double> target_limits::rate(const target_start& start) const {
    if (this->entries.empty()) {
        return std::nullopt;
    }
    auto found = this->entries.find(start);
    return found == this->entries.end() ? std::nullopt : found->second.rate;
}

std::vector<std::string> target_limits::limited() const {
    std::vector<std::string> targets;
    for (const auto& [start, known] : this->entries) {
        if (known.rate) {
            targets.push_back(start.target);
        }
    }
    return targets;
}

std::vector<wire::target_limit_t> target_limits::all(time_point now) const {
    std::vector<wire::target_limit_t> news;
    for (const auto& [start, known] : this->entries) {
        news.push_back(news_of(start, known.rate, now - known.observed_at));
    }
    return news;
}

}  // namespace persimmongrade
