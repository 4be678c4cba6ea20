// Decides whether a failed request may be sent again, to another target.
//
//     policy.succeeded(now);                       // for each request answered by a target
//     auto decision = policy.decide(now, failure);
//     if (decision.retry) { ... }                  // the budget is already charged

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "common_generated.h"
#include "persimmongrade/clock.h"

namespace persimmongrade {

inline constexpr double retry_budget_share = 0.1;         // retries per recent success
inline constexpr double retry_budget_per_second = 1.0;    // retries per second in addition
inline constexpr std::int64_t retry_window_seconds = 10;  // "recent"
inline constexpr duration retry_min_remaining = ms(5);    // below, a retry cannot be answered in time

struct failed_attempt {
    wire::retry_reason reason = wire::retry_reason::connect_failed;
    wire::refusal_reason refusal = wire::refusal_reason::target_error;  // reported when it is not retried
    bool idempotent = false;
    bool proved_not_run = false;          // connect failed before any byte was written, or the target said so
    bool answer_started = false;          // answer bytes went to the caller
    bool other_target_available = false;  // a target that this request has not tried is available
    bool within_limits = false;           // leases cover another attempt
    time_point deadline;
};

struct retry_decision {
    bool retry = false;
    wire::retry_reason reason = wire::retry_reason::connect_failed;  // retry: counter label
    wire::refusal_reason refusal = wire::refusal_reason::none;       // no retry: reported to the caller
    wire::outcome outcome = wire::outcome::none;  // of a non-idempotent request; none for idempotent ones

    bool operator==(const retry_decision&) const = default;
};

// A retry is granted only while the retries of the last 10 s (whole seconds), it included, are at most 10% of the
// successes of the same time plus 1 per second.
class retry_policy {
public:
    void succeeded(time_point now);  // a target answered a first or later attempt
    retry_decision decide(time_point now, const failed_attempt& failure);
    double budget(time_point now);  // retries that could be granted now

private:
    struct second {
        std::int64_t number = -1;  // seconds of steady_clock_ms
        std::uint64_t successes = 0;
        std::uint64_t retries = 0;
    };

    second& current(time_point now);

    std::array<second, static_cast<std::size_t>(retry_window_seconds)> seconds;
};

}  // namespace persimmongrade
