#include "persimmongrade/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace persimmongrade {

namespace {

constexpr std::size_t samples_before_estimate = 8;
constexpr std::uint64_t initial_estimate_bytes = 16384;  // a larger one might fit no share and would never be corrected
constexpr double estimate_percentile = 0.9;
// A fast clock and timestamps cut to whole milliseconds fill 1% and 1 ms more in a window of 1 s of another clock.
constexpr double fill_margin = 1 + clock_rate_margin + 0.001;
constexpr double rounding_tolerance = 1e-9;  // relative; sums of many fills differ from the exact value by less

}  // namespace

double burst_fraction(double smallest_floor, double unit) noexcept {
    if (smallest_floor <= 0) {
        return largest_burst_fraction;
    }
    return std::clamp(unit / smallest_floor, default_burst_fraction, largest_burst_fraction);
}

// ---- token_bucket ----

token_bucket::token_bucket(double burst_fraction) noexcept : fraction(burst_fraction) {}

void token_bucket::advance(time_point now) noexcept {
    if (!this->started) {
        this->started = true;
        this->filled_at = now;
        return;
    }
    if (now <= this->filled_at) {
        return;
    }
    double seconds = std::chrono::duration<double>(now - this->filled_at).count();
    double fill = this->fill_rate() * seconds;
    this->available = std::min(this->size(), this->available + fill);
    this->filled_at = now;
}

void token_bucket::set_rate(double per_second, time_point now) noexcept {
    this->advance(now);
    this->per_second = std::max(0.0, per_second);
    this->available = std::min(this->available, this->size());
}

void token_bucket::set_burst_fraction(double fraction, time_point now) noexcept {
    this->advance(now);
    this->fraction = fraction;
    this->available = std::min(this->available, this->size());
}

double token_bucket::fill_rate() const noexcept {
    return (1 - this->fraction) * this->per_second / fill_margin;
}

bool token_bucket::take(double amount, time_point now) noexcept {
    this->advance(now);
    if (this->available < amount * (1 - rounding_tolerance)) {
        return false;
    }
    this->available -= amount;
    return true;
}

void token_bucket::correct(double excess, time_point now) noexcept {
    this->advance(now);
    this->available = std::min(this->size(), this->available - excess);
}

duration token_bucket::wait(double amount) const noexcept {
    double missing = amount - this->available;
    if (missing <= 0) {
        return ms(0);
    }
    double fill = this->fill_rate();
    if (amount > this->size() || fill <= 0) {
        return duration::max();
    }
    return ms(static_cast<std::int64_t>(std::ceil(missing / fill * 1000)));
}

// ---- answer_size_estimator ----

answer_size_estimator::answer_size_estimator(std::uint64_t max_bytes, std::size_t window)
    : max_bytes(max_bytes), window(std::max<std::size_t>(window, samples_before_estimate)) {}

void answer_size_estimator::observe(std::uint64_t bytes) {
    this->recent.push_back(bytes);
    if (this->recent.size() > this->window) {
        this->recent.pop_front();
    }
}

std::uint64_t answer_size_estimator::estimate() const {
    if (this->recent.size() < samples_before_estimate) {
        return std::min(initial_estimate_bytes, this->max_bytes);
    }
    std::vector<std::uint64_t> sizes(this->recent.begin(), this->recent.end());
    auto rank = static_cast<std::size_t>(std::lround(estimate_percentile * static_cast<double>(sizes.size() - 1)));
    auto position = sizes.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(sizes.begin(), position, sizes.end());
    return std::min(*position, this->max_bytes);
}

}  // namespace persimmongrade
