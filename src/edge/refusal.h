// Refusals: the typed errors that callers see, as JSON answers and counters.

#pragma once

#include <map>
#include <string>

#include "common_generated.h"
#include "persimmongrade/clock.h"
#include "persimmongrade/http.h"
#include "persimmongrade/metrics.h"

namespace persimmongrade {

struct refusal {
    wire::refusal_reason reason = wire::refusal_reason::none;
    wire::outcome outcome = wire::outcome::unknown;  // not_run only with a proof
    std::string message;
    duration retry_after{};  // zero: no hint

    auto operator<=>(const refusal&) const = default;
};

int refusal_status(wire::refusal_reason reason);  // HTTP status
http_response refusal_response(const refusal& refused);

// Counters per refusal_reason and per retry_reason.
class refusal_counters {
public:
    explicit refusal_counters(metric_registry& metrics);

    void count(wire::refusal_reason reason);
    void count(wire::retry_reason reason);

private:
    std::map<wire::refusal_reason, prometheus::Counter*> refusals;
    std::map<wire::retry_reason, prometheus::Counter*> retries;
};

}  // namespace persimmongrade
