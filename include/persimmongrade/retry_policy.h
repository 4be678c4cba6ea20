// Retry policy: decides whether a failed request may be sent again, to another target. Retries are limited by a budget.
//
//     policy.succeeded(now);                       // for each request that a target answered
//     auto decision = policy.decide(now, failure);
//     if (decision.retry) { ... }                  // the retry is already counted in the budget

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "common_generated.h"
#include "persimmongrade/clock.h"

namespace persimmongrade {

inline constexpr double retry_budget_share = 0.1;         // retries per success in the window
inline constexpr double retry_budget_per_second = 1.0;    // further retries, independent of successes
inline constexpr std::int64_t retry_window_seconds = 10;  // length of the window
inline constexpr duration retry_min_remaining = ms(5);    // with less time left, a retry cannot be answered in time

struct failed_attempt {
    wire::retry_reason reason = wire::retry_reason::connect_failed;
    wire::refusal_reason refusal = wire::refusal_reason::target_error;  // reported if the request is not retried
    bool idempotent = false;
    bool proved_not_run = false;          // the connect failed before any byte was sent, or the target states it
    bool answer_started = false;          // part of the answer was sent to the caller
    bool other_target_available = false;  // a target that the request was not sent to is available
    bool within_limits = false;           // leased capacity covers another attempt
    time_point deadline;
};

struct retry_decision {
    bool retry = false;
    wire::retry_reason reason = wire::retry_reason::connect_failed;  // label of the retry counter
    wire::refusal_reason refusal = wire::refusal_reason::none;       // reported to the caller if there is no retry
    wire::outcome outcome = wire::outcome::none;  // of a non-idempotent request; none for idempotent ones

    bool operator==(const retry_decision&) const = default;
};

// Grants a retry only while the retries of the last 10 s (in whole seconds), including it, are at most 10% of the
// successes in the same time plus 1 per second.
class retry_policy {
public:
    void succeeded(time_point now);  // a target answered a first or later attempt
    retry_decision decide(time_point now, const failed_attempt& failure);
    double budget(time_point now);  // retries that can be granted now

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
