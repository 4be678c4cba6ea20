#include "persimmongrade/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace persimmongrade {

namespace {

constexpr std::size_t samples_before_estimate = 8;
// A larger initial estimate might fit no share, so that no answer would ever correct it.
constexpr std::uint64_t initial_estimate_bytes = 16384;
constexpr double estimate_percentile = 0.9;
constexpr double rounding_tolerance = 1e-9;  // relative; the error of summing many fills is smaller

}  // namespace

double burst_fraction(double smallest_floor, double unit) noexcept {
    if (smallest_floor <= 0) {
        return max_burst_fraction;
    }
    return std::clamp(unit / smallest_floor, default_burst_fraction, max_burst_fraction);
}

// ---- token_bucket ----

token_bucket::token_bucket(double burst_fraction) noexcept : fraction(burst_fraction) {}

void token_bucket::advance(time_point now) {
    if (!this->is_started) {
        this->is_started = true;
        this->filled_at = now;
        return;
    }
    if (now <= this->filled_at) {
        return;
    }
    double fill = this->per_second / fill_margin * std::chrono::duration<double>(now - this->filled_at).count();
    this->total_filled += (1 - this->fraction) * fill;
    this->filled_at = now;
    while (!this->windows.empty() && this->windows.front().at <= now - window_length) {
        this->windows.pop_front();
    }
    this->available = std::min({this->size(), this->available + fill, this->window_slack()});
}

// Returns the amount that all windows containing `filled_at` still allow, apart from a window that starts now.
double token_bucket::window_slack() const noexcept {
    if (this->windows.empty()) {
        return this->size();
    }
    return this->windows.front().bound + this->total_filled - this->total_taken;
}

// Records a window that starts now. Between two changes the bound falls with a later start, so that only windows that
// start immediately before a rate increase or at a use of the bucket can be limiting.
void token_bucket::add_window(double rate) {
    double bound = this->fraction * rate - this->total_filled + this->total_taken;
    while (!this->windows.empty() && this->windows.back().bound >= bound) {
        this->windows.pop_back();
    }
    this->windows.push_back({this->filled_at, bound});
}

void token_bucket::set_rate(double per_second, time_point now) {
    this->advance(now);
    double raised_from = this->per_second;
    this->per_second = std::max(0.0, per_second);
    if (this->per_second > raised_from) {
        this->add_window(raised_from);
    }
    this->available = std::min(this->available, this->size());
}

void token_bucket::set_burst_fraction(double fraction, time_point now) {
    this->advance(now);
    if (fraction == this->fraction) {
        return;
    }
    // The bounds of the open windows were computed with the previous fraction.
    for (auto& entry : this->windows) {
        entry.bound = std::min(entry.bound, this->total_taken - this->total_filled);
    }
    this->fraction = fraction;
    this->available = std::min(this->available, this->size());
}

bool token_bucket::take(double amount, time_point now) {
    this->advance(now);
    if (this->available < amount * (1 - rounding_tolerance)) {
        return false;
    }
    this->charge(amount);
    return true;
}

void token_bucket::correct(double excess, time_point taken_at, time_point now) {
    this->advance(now);
    if (excess > 0) {
        this->charge(excess);
    } else {
        this->refund(-excess, taken_at);
    }
}

void token_bucket::charge(double amount) {
    this->add_window(this->per_second);
    this->total_taken += amount;
    this->available = std::min(this->available - amount, this->window_slack());
}

// Windows that start after `taken_at` do not contain the returned amount and gain nothing.
void token_bucket::refund(double amount, time_point taken_at) {
    this->total_taken -= amount;
    auto after = std::find_if(this->windows.begin(), this->windows.end(),
                              [&](const window_start& entry) { return entry.at > taken_at; });
    for (auto entry = after; entry != this->windows.end(); ++entry) {
        entry->bound -= amount;
    }
    if (after != this->windows.end()) {
        auto limits = std::find_if(this->windows.begin(), after,
                                   [&](const window_start& entry) { return entry.bound >= after->bound; });
        this->windows.erase(limits, after);
    }
    this->available = std::min({this->size(), this->available + amount, this->window_slack()});
}

duration token_bucket::wait(double amount) const noexcept {
    double missing = amount - this->available;
    if (missing <= 0) {
        return ms(0);
    }
    double fill = (1 - this->fraction) * this->per_second / fill_margin;
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
