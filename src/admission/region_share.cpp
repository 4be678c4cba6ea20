#include "persimmongrade/region_share.h"

#include <algorithm>

#include "hash_fraction.h"

namespace persimmongrade {

namespace {

constexpr double max_shift_fraction = 0.6;  // of the permitted change, because several services and gateways add up
constexpr double min_utilization_difference = 0.1;  // below which moving a request has no benefit
constexpr double return_step_fraction = 0.25;  // of a step, by which the share falls while no difference sustains it

}  // namespace

void region_share::update(time_point now, double local_utilization, double remote_utilization) {
    if (!this->update_due(now)) {
        return;
    }
    this->updated_at = now;
    double step = this->options.max_shift * max_shift_fraction * static_cast<double>(update_interval.count()) /
                  static_cast<double>(this->options.window.count());
    if (local_utilization > this->options.high_utilization &&
        local_utilization > remote_utilization + min_utilization_difference) {
        this->share = std::min(1.0, this->share + step);
    } else if (local_utilization < this->options.low_utilization ||
               remote_utilization > local_utilization + min_utilization_difference) {
        this->share = std::max(0.0, this->share - step);
    } else if (local_utilization < remote_utilization + min_utilization_difference / 2) {
        this->share = std::max(0.0, this->share - step * return_step_fraction);
    }
}

bool region_share::is_remote(std::uint64_t hash) const {
    return hash_fraction(hash) < this->share;
}

}  // namespace persimmongrade
