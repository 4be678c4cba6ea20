#include "persimmongrade/retry_policy.h"

#include <algorithm>

namespace persimmongrade {

namespace {

retry_decision refuse(const failed_attempt& failure, wire::refusal_reason refusal) {
    wire::outcome outcome = wire::outcome::none;
    if (!failure.idempotent) {
        outcome = failure.proved_not_run ? wire::outcome::not_run : wire::outcome::unknown;
    }
    return {false, failure.reason, refusal, outcome};
}

}  // namespace

void retry_policy::succeeded(time_point now) {
    ++this->current(now).successes;
}

retry_decision retry_policy::decide(time_point now, const failed_attempt& failure) {
    if (failure.answer_started || (!failure.idempotent && !failure.proved_not_run)) {
        return refuse(failure, failure.refusal);
    }
    if (now + retry_min_remaining > failure.deadline) {
        return refuse(failure, wire::refusal_reason::deadline_exceeded);
    }
    if (!failure.other_target_available || !failure.within_limits) {
        return refuse(failure, failure.refusal);
    }
    if (this->budget(now) < 1.0) {
        return refuse(failure, wire::refusal_reason::retry_budget_exhausted);
    }
    ++this->current(now).retries;
    return {true, failure.reason, wire::refusal_reason::none, wire::outcome::none};
}

double retry_policy::budget(time_point now) {
    this->current(now);
    std::uint64_t successes = 0;
    std::uint64_t retries = 0;
    for (const auto& entry : this->seconds) {
        successes += entry.successes;
        retries += entry.retries;
    }
    double allowed = retry_budget_share * static_cast<double>(successes) +
                     retry_budget_per_second * static_cast<double>(retry_window_seconds);
    return std::max(0.0, allowed - static_cast<double>(retries));
}

// Counters of the current second. Resets the counters of seconds that have left the window.
retry_policy::second& retry_policy::current(time_point now) {
    std::int64_t number = now.time_since_epoch().count() / 1000;
    for (auto& entry : this->seconds) {
        if (entry.number <= number - retry_window_seconds || entry.number > number) {
            entry = {};
        }
    }
    auto& found = this->seconds[static_cast<std::size_t>(number % retry_window_seconds)];
    found.number = number;
    return found;
}

}  // namespace persimmongrade
