#include "once_request.h"

namespace persimmongrade {

namespace {

std::string describe(wire::refusal_reason reason) {
    using enum wire::refusal_reason;
    switch (reason) {
    case key_expired:
        return "the idempotency key is too old for its result to be known";
    case key_from_future:
        return "the time in the idempotency key is in the future";
    case key_reused:
        return "the idempotency key was used with other content";
    case claim_quorum_unavailable:
        return "no majority of ledger replicas can be reached";
    case claim_conflict:
        return "another attempt held the idempotency key";
    case outcome_unknown:
        return "the request may have run, and its result is lost; it is never run again";
    case deadline_exceeded:
        return "the deadline passed before an answer arrived";
    default:
        return wire::EnumNamerefusal_reason(reason);
    }
}

}  // namespace

wire::stored_answer_t to_stored(const http_response& response) {
    wire::stored_answer_t answer;
    answer.status = static_cast<std::uint32_t>(response.status);
    for (const http_header& header : response.headers) {
        auto& stored = answer.headers.emplace_back(std::make_unique<wire::header_t>());
        stored->name = header.name;
        stored->value = header.value;
    }
    answer.body.assign(response.body.begin(), response.body.end());
    return answer;
}

http_response from_stored(const wire::stored_answer_t& answer) {
    http_response response;
    response.status = static_cast<int>(answer.status);
    for (const auto& header : answer.headers) {
        response.headers.push_back({header->name, header->value});
    }
    response.body.assign(answer.body.begin(), answer.body.end());
    return response;
}

once_request::once_request(edge_context& edge, ledger_service& ledger, execution_order order,
                           std::shared_ptr<http_exchange> exchange, std::string key)
    : edge(edge), ledger(ledger), order(std::move(order)), exchange(std::move(exchange)), key(std::move(key)),
      started_at(edge.loop.now()) {}

void once_request::start() {
    auto self = this->shared_from_this();
    this->exchange->on_close([self] { self->caller_gone = true; });
    ledger_request request;
    request.key = this->key;
    request.service = this->order.service->name;
    request.fingerprint = this->order.fingerprint;
    request.deadline = this->order.deadline;
    this->ledger.begin(std::move(request), [self](const ledger_outcome& outcome) { self->receive(outcome); });
}

void once_request::receive(const ledger_outcome& outcome) {
    switch (outcome.verdict) {
    case ledger_verdict::dispatch:
        this->dispatch(outcome.attempt);
        return;
    case ledger_verdict::wait:
        return;
    case ledger_verdict::replay: {
        http_response response = from_stored(*outcome.answer);
        response.headers.push_back({"persimmon-replayed", "1"});
        this->exchange->respond(std::move(response));
        this->close();
        return;
    }
    case ledger_verdict::refuse:
        refusal refused{outcome.reason, outcome.outcome, describe(outcome.reason), ms(outcome.retry_after_ms)};
        if (this->execution_refusal.reason == outcome.reason) {
            refused.message = this->execution_refusal.message;
            refused.retry_after = this->execution_refusal.retry_after;
        }
        this->refuse(refused);
        return;
    }
}

void once_request::dispatch(std::uint64_t attempt) {
    if (this->caller_gone) {
        this->ledger.not_dispatched(attempt, wire::refusal_reason::deadline_exceeded);
        return;
    }
    auto self = this->shared_from_this();
    duration remaining = this->order.deadline - this->edge.loop.now();
    this->deadline_timer = this->edge.loop.after(remaining, [self] {
        constexpr auto reason = wire::refusal_reason::deadline_exceeded;
        self->refuse({reason, wire::outcome::unknown, describe(reason)});
    });
    execution_order copy = this->order;
    copy.late_result_time = late_result_time;
    auto run = std::make_shared<execution>(this->edge, std::move(copy), [self, attempt](execution_result result) {
        self->executed(attempt, std::move(result));
    });
    run->start();
}

void once_request::executed(std::uint64_t attempt, execution_result result) {
    this->edge.loop.cancel(this->deadline_timer);
    if (result.response) {
        wire::stored_answer_t stored = to_stored(*result.response);
        this->exchange->respond(std::move(*result.response));  // storing the result does not delay it
        this->ledger.complete(attempt, std::move(stored));
        this->close();
        return;
    }
    this->execution_refusal = result.refused;
    if (result.refused.outcome == wire::outcome::not_run) {
        this->ledger.not_dispatched(attempt, result.refused.reason);
    } else {
        this->ledger.outcome_lost(attempt, result.refused.reason);
    }
}

void once_request::refuse(const refusal& refused) {
    if (!this->exchange->closed()) {
        this->edge.refuse(*this->exchange, refused);
    }
    this->close();
}

void once_request::close() {
    if (!this->closed) {
        this->closed = true;
        this->edge.meter.ended(this->order.service->name, this->edge.loop.now() - this->started_at);
    }
    this->exchange->on_close(nullptr);  // the callback holds this object
}

}  // namespace persimmongrade
