// Request rates that targets in need name in their answers: how many requests per second a target takes from all
// gateways together, for as long as its answers say so. Gateways and control processes each keep what is known, and
// exchange it.
//
//     if (auto news = limits.observe({target, started_at_ms}, rate, now)) { send(*news); }   // from an answer
//     if (limits.merge(news, now)) { forward(news); }                                        // from another process
//     limits.rate({target, started_at_ms})                                                   // requests per second
//
// The newest answer decides, whichever gateway received it. A limit belongs to one start of a target.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "messages_generated.h"
#include "persimmongrade/clock.h"

namespace persimmongrade {

inline constexpr double max_target_rate = 1e6;  // requests per second; a higher one is no limit

class target_limits {
public:
    struct target_start {
        std::string target;
        std::int64_t started_at_ms = 0;  // Unix time

        friend auto operator<=>(const target_start&, const target_start&) = default;
    };

    // An answer names `rate`, or no limit. Returns what others have to know: a limit began, ended, or changed by more
    // than a twentieth.
    std::optional<wire::target_limit_t> observe(const target_start& start, std::optional<double> rate, time_point now);
    bool merge(const wire::target_limit_t& news, time_point now);  // false: older than what is known, or the same
    void forget(const std::string& target);                        // of all its starts

    std::optional<double> rate(const target_start& start) const;
    std::vector<std::string> limited() const;                     // ids of the targets with a limit
    std::vector<wire::target_limit_t> all(time_point now) const;  // for a process that has just connected

private:
    struct entry {
        std::optional<double> rate;  // none: the limit has ended
        time_point observed_at{};
    };

    std::map<target_start, entry> entries;
};

}  // namespace persimmongrade
