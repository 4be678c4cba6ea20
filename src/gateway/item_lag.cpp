#include "item_lag.h"

#include <algorithm>

namespace persimmongrade {

void item_lag::stated(time_point now, time_point stated_at, std::uint64_t index, std::uint64_t applied_here) {
    if (index > this->newest) {
        this->newest = index;
        this->changes.push_back({index, now, this->newest_stated_at.value_or(now)});
    }
    // A process that lags behind others says nothing of what was accepted meanwhile.
    if (index >= this->newest) {
        this->newest_stated_at = std::max(stated_at, this->newest_stated_at.value_or(stated_at));
    }
    this->applied(applied_here);
}

void item_lag::applied(std::uint64_t index) {
    while (!this->changes.empty() && this->changes.front().index <= index) {
        this->changes.pop_front();
    }
}

std::optional<item_lag::missing> item_lag::oldest() const {
    return this->changes.empty() ? std::nullopt : std::optional(this->changes.front());
}

bool item_lag::is_outdated(time_point now, duration limit) const {
    return !this->changes.empty() && now - this->changes.front().accepted_at > limit;
}

}  // namespace persimmongrade
