// Time in milliseconds. Decision code never reads a clock: it takes `time_point` as an argument.
//
//     time_point now = steady_clock_ms::now();
//     if (now >= lease_expires_at) { ... }

#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>

namespace persimmongrade {

// Monotonic clock with millisecond ticks; satisfies the standard Clock requirements.
struct steady_clock_ms {
    using duration = std::chrono::duration<std::int64_t, std::milli>;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<steady_clock_ms, duration>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;  // does not advance while the host is suspended
};

using duration = steady_clock_ms::duration;      // milliseconds
using time_point = steady_clock_ms::time_point;  // local to one process; never sent to another

// A source of time that a component reads through its constructor argument.
template <typename T>
concept clock_source = requires(T clock) {
    { clock.now() } -> std::same_as<time_point>;
};

// Wall-clock time in milliseconds since the Unix epoch, for values that leave the process.
std::int64_t unix_time_ms() noexcept;

constexpr duration ms(std::int64_t count) noexcept {
    return duration(count);
}

// Largest relative difference between the clock rates of two hosts, and a fixed allowance for timer granularity.
// Lease holders shorten and granters lengthen every lease by this margin.
inline constexpr double clock_rate_margin = 0.01;
inline constexpr duration clock_fixed_margin = duration(10);

// Time until which a holder may use a lease that it requested at `requested_at`.
constexpr time_point holder_expiry(time_point requested_at, duration length) noexcept {
    auto shortened = static_cast<std::int64_t>(static_cast<double>(length.count()) * (1.0 - clock_rate_margin));
    return requested_at + duration(shortened) - clock_fixed_margin;
}

// Time until which a granter must count a lease that it granted at `granted_at`.
constexpr time_point granter_expiry(time_point granted_at, duration length) noexcept {
    auto lengthened = static_cast<std::int64_t>(static_cast<double>(length.count()) * (1.0 + clock_rate_margin));
    return granted_at + duration(lengthened) + clock_fixed_margin;
}

}  // namespace persimmongrade
