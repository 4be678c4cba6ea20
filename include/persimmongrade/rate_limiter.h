// Rate limiting of one share of a limit, with a bound on every window of 1 s that holds for the sum over all shares,
// also while rates move between them. Does not read a clock: the time is an argument.
//
//     token_bucket bucket(burst_fraction(smallest_floor, 1));
//     bucket.set_rate(100, now);
//     if (bucket.take(1, now)) { ... } else { retry after bucket.wait(1) }
//
// A share whose rate is r(t) admits, in every window that starts at s and has a length of at most 1 s,
//
//     at most f * r(s) + (1 - f) * (integral of r over the window),
//
// where f is the burst fraction of the resource and the integral is reduced by 1.1% to allow for clock drift. The bound
// includes no rate that the share may lose later, and f is the same on every edge; therefore the sum over all edges in
// any window of 1 s is at most the sum of the rates, also while rates move between edges. A constant rate is usable up
// to 98.9%. f is 0.05 (50 ms of the rate), unless the standing floor would then hold less than one request; see
// burst_fraction().

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "persimmongrade/clock.h"

namespace persimmongrade {

inline constexpr double default_burst_fraction = 0.05;  // 50 ms of the rate
inline constexpr double max_burst_fraction = 0.5;
// In a window of 1 s of another clock, a fast clock fills 1% more, and timestamps truncated to whole milliseconds add
// 1 ms more.
inline constexpr double fill_margin = 1 + clock_rate_margin + 0.001;
inline constexpr duration window_length = duration(1011);  // 1 s of another clock, as the longest time on this clock

// Burst fraction of a limit divided among edges: large enough that the smallest standing floor can hold one unit.
// `smallest_floor` and `unit` are in the unit of the resource.
double burst_fraction(double smallest_floor, double unit) noexcept;

// Token bucket with a bound on every window of 1 s. Amounts are in the unit of the rate (requests or bytes). Tokens are
// added at the rate less the clock margin, up to the burst size, and never exceed what the window bound allows, so that
// a share in constant use sends evenly.
class token_bucket {
public:
    explicit token_bucket(double burst_fraction = default_burst_fraction) noexcept;

    void set_rate(double per_second, time_point now);  // an increase adds no tokens, a decrease drops the excess
    void set_burst_fraction(double fraction, time_point now);  // drops tokens above the new size
    bool take(double amount, time_point now);                  // false when fewer tokens are available
    // Corrects an amount taken at `taken_at`: an excess > 0 becomes a debt that blocks until paid, an excess < 0
    // returns tokens, but not to windows that began later.
    void correct(double excess, time_point taken_at, time_point now);
    void advance(time_point now);  // adds tokens up to `now`; an earlier time has no effect

    double rate() const noexcept { return this->per_second; }  // per second
    double size() const noexcept { return this->fraction * this->per_second; }
    double tokens() const noexcept { return this->available; }  // negative: debt
    // Time until take(amount) can succeed; duration::max() when it never can.
    duration wait(double amount) const noexcept;

private:
    // Start of a window. `bound` is the amount that may be taken in the window, apart from the integral of the rate up
    // to now, plus `total_taken` at the start. The window with the lowest bound is limiting.
    struct window_start {
        time_point at{};
        double bound = 0;
    };

    void add_window(double rate);
    void charge(double amount);
    void refund(double amount, time_point taken_at);
    double window_slack() const noexcept;

    double fraction;
    double per_second = 0;
    double available = 0;
    double total_filled = 0;  // integral of the reduced rate, times (1 - f)
    double total_taken = 0;
    // Starts within window_length, with rising bounds: an earlier start with a higher bound is never limiting.
    std::deque<window_start> windows;
    time_point filled_at{};
    bool is_started = false;
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
