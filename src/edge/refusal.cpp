#include "refusal.h"

#include <nlohmann/json.hpp>

namespace persimmongrade {

namespace {

constexpr std::int64_t ms_per_second = 1000;

}  // namespace

int refusal_status(wire::refusal_reason reason) {
    using enum wire::refusal_reason;
    switch (reason) {
    case bad_request:
    case idempotency_key_missing:
    case idempotency_key_invalid:
    case key_from_future:
        return 400;
    case unknown_service:
        return 404;
    case method_not_allowed:
        return 405;
    case request_incomplete:
        return 408;
    case claim_conflict:
        return 409;
    case key_expired:
        return 410;
    case request_too_large:
        return 413;
    case key_reused:
    case quarantined:
        return 422;
    case internal_error:
        return 500;
    case target_connect_failed:
    case target_connection_lost:
    case target_error:
    case answer_truncated:
    case answer_too_large:
        return 502;
    case deadline_exceeded:
    case outcome_unknown:
        return 504;
    default:
        return 503;
    }
}

http_response refusal_response(const refusal& refused) {
    nlohmann::json body{{"error", wire::EnumNamerefusal_reason(refused.reason)},
                        {"outcome", wire::EnumNameoutcome(refused.outcome)},
                        {"message", refused.message}};
    if (refused.retry_after > duration::zero()) {
        body["retry_after_ms"] = refused.retry_after.count();
    }
    auto text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    http_response response = json_response(refusal_status(refused.reason), std::move(text));
    if (refused.retry_after > duration::zero()) {
        std::int64_t seconds = (refused.retry_after.count() + ms_per_second - 1) / ms_per_second;
        response.headers.push_back({"retry-after", std::to_string(seconds)});
    }
    return response;
}

refusal_counters::refusal_counters(metric_registry& metrics) {
    for (wire::refusal_reason reason : wire::EnumValuesrefusal_reason()) {
        this->refusals[reason] = &metrics.counter("persimmongrade_refusals_total", "Refused requests.",
                                                  {{"reason", wire::EnumNamerefusal_reason(reason)}});
    }
    for (wire::retry_reason reason : wire::EnumValuesretry_reason()) {
        this->retries[reason] = &metrics.counter("persimmongrade_retries_total", "Attempts after the first.",
                                                 {{"reason", wire::EnumNameretry_reason(reason)}});
    }
}

void refusal_counters::count(wire::refusal_reason reason) {
    this->refusals.at(reason)->Increment();
}

void refusal_counters::count(wire::retry_reason reason) {
    this->retries.at(reason)->Increment();
}

}  // namespace persimmongrade
