// Rate limiting of one share of a limit. Pure: time is an argument.
//
// A share with rate r is filled at (1 - f) * r, less 1.1% for clock rates, and holds at most f * r, where f is the
// burst fraction of the resource. f is the same on every edge, therefore the sum over all edges in any window of 1 s is
// at most the sum of the rates, also while rates move between edges. f is 0.05 (50 ms of the rate) unless the standing
// floor would then hold less than one request, see `burst_fraction`.

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "persimmongrade/clock.h"

namespace persimmongrade {

inline constexpr double default_burst_fraction = 0.05;  // 50 ms of the rate; the fill is the remaining 95%
inline constexpr double largest_burst_fraction = 0.5;

// Burst fraction of a limit divided among edges: large enough that the smallest standing floor can hold one unit.
// `smallest_floor` and `unit` are in the unit of the resource.
double burst_fraction(double smallest_floor, double unit) noexcept;

// Token bucket. Amounts are in the unit of the rate (requests or bytes).
class token_bucket {
public:
    explicit token_bucket(double burst_fraction = default_burst_fraction) noexcept;

    void set_rate(double per_second, time_point now) noexcept;  // a raise adds no tokens, a cut drops the excess
    void set_burst_fraction(double fraction, time_point now) noexcept;  // drops tokens above the new size
    bool take(double amount, time_point now) noexcept;                  // false when fewer tokens are there
    void correct(double excess, time_point now) noexcept;               // > 0: debt that blocks; < 0: returns tokens
    void advance(time_point now) noexcept;                              // fills up to `now`; earlier times do nothing

    double rate() const noexcept { return this->per_second; }  // per second
    double size() const noexcept { return this->fraction * this->per_second; }
    double tokens() const noexcept { return this->available; }  // negative: debt
    duration wait(double amount) const noexcept;                // until `take(amount)` can succeed; max when never

private:
    double fill_rate() const noexcept;

    double fraction;
    double per_second = 0;
    double available = 0;
    time_point filled_at{};
    bool started = false;
};

// Estimates the size of the next answer of one service from its recent sizes, in bytes.
class answer_size_estimator {
public:
    explicit answer_size_estimator(std::uint64_t max_bytes, std::size_t window = 64);

    void observe(std::uint64_t bytes);
    std::uint64_t
    estimate() const;  // 90th percentile of the recent sizes, at most the maximum; 16 KiB until 8 were seen
    std::uint64_t maximum() const noexcept { return this->max_bytes; }

private:
    std::uint64_t max_bytes;
    std::size_t window;
    std::deque<std::uint64_t> recent;
};

}  // namespace persimmongrade
