// Contents: headers; attempts; target state; ends.

#include "forwarded_request.h"

#include <algorithm>
#include <array>

#include "persimmongrade/address.h"

namespace persimmongrade {

namespace {

constexpr std::int64_t attempt_share_divisor = 2;  // an attempt may be replaced after half of the remaining time
constexpr int first_server_error = 500;

// ---- Headers ----

// Headers that concern one connection only, or that the edge sets itself.
constexpr std::array hop_headers{"connection",
                                 "content-length",
                                 "date",
                                 "expect",
                                 "host",
                                 "keep-alive",
                                 "persimmon-deadline-ms",
                                 "proxy-connection",
                                 "server",
                                 "te",
                                 "trailer",
                                 "transfer-encoding",
                                 "upgrade"};

std::vector<http_header> end_to_end_headers(const std::vector<http_header>& headers) {
    std::vector<http_header> kept;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept), [](const http_header& header) {
        return std::find(hop_headers.begin(), hop_headers.end(), header.name) == hop_headers.end();
    });
    return kept;
}

bool states_not_run(const http_response& response) {
    return response.status == refusal_status(wire::refusal_reason::target_shed) &&
           response.header("persimmon-not-run") == "1";
}

}  // namespace

forwarded_request::forwarded_request(edge_context& edge, forward_order order)
    : edge(edge), order(std::move(order)),
      regions(choose_regions(*this->order.service,
                             this->order.index->assignment(this->order.service->name, this->order.caller_region),
                             edge.settings.region, edge.latency_ms, static_cast<std::uint32_t>(edge.random() % 1000))),
      started_at(edge.loop.now()), deadline(started_at + this->order.deadline) {
    ++this->edge.running_requests;
}

forwarded_request::~forwarded_request() {
    --this->edge.running_requests;
}

void forwarded_request::start() {
    auto self = this->shared_from_this();
    this->deadline_timer = this->edge.loop.after(this->order.deadline, [self] { self->expire(); });
    this->order.exchange->on_close([self] { self->abandon(); });
    this->attempt();
}

// ---- Attempts ----

void forwarded_request::attempt() {
    time_point now = this->edge.loop.now();
    if (this->edge.crashes.quarantined(now, this->order.service->name, this->order.fingerprint)) {
        this->refuse({wire::refusal_reason::quarantined, wire::outcome::not_run,
                      "the request ended two targets and is refused for 10 minutes"});
        return;
    }
    // Checked at the moment of dispatch, so that a pause of the process cannot send on an expired lease.
    if (!this->edge.config.lease_valid(now)) {
        this->refuse({wire::refusal_reason::configuration_lease_expired, wire::outcome::not_run,
                      "the edge cannot prove that its configuration is current"});
        return;
    }
    auto chosen = this->choose_target();
    if (!chosen) {
        this->refuse({wire::refusal_reason::no_target, wire::outcome::not_run,
                      "no live target of service '" + this->order.service->name + "'"});
        return;
    }
    this->dispatch(std::move(*chosen));
}

std::optional<target_choice> forwarded_request::choose_target() {
    time_point now = this->edge.loop.now();
    const std::string& service = this->order.service->name;
    if (!this->tried.empty()) {
        return this->edge.targets.pick(now, service, this->regions.retries, this->tried);
    }
    for (const std::string& region : this->regions.first) {
        if (auto chosen = this->edge.targets.pick(now, service, {region})) {
            return chosen;
        }
    }
    return std::nullopt;
}

void forwarded_request::dispatch(target_choice chosen) {
    this->target = std::move(chosen);
    this->tried.push_back(this->target->id);
    this->dispatched_at = this->edge.loop.now();
    this->edge.targets.started(this->target->service, this->target->id);
    auto self = this->shared_from_this();
    this->running_call = this->edge.client.send(this->call_for(*this->target),
                                                [self](http_call_result result) { self->receive(std::move(result)); });
    if (this->order.service->idempotent) {
        duration patience = (this->deadline - this->dispatched_at) / attempt_share_divisor;
        this->attempt_timer = this->edge.loop.after(patience, [self] { self->attempt_timed_out(); });
    }
}

http_call forwarded_request::call_for(const target_choice& chosen) const {
    const http_request& request = this->order.request;
    http_call call;
    call.address = ip_address::parse(chosen.address);
    call.method = request.method;
    call.target = request.query.empty() ? request.path : request.path + "?" + request.query;
    call.headers = end_to_end_headers(request.headers);
    duration remaining = std::max(ms(1), this->deadline - this->edge.loop.now());
    call.headers.push_back({"persimmon-deadline-ms", std::to_string(remaining.count())});
    call.body = request.body;
    call.max_answer_bytes = this->order.service->max_answer_bytes;
    // A reused connection may just have been closed by the target. A non-idempotent request needs a connection of its
    // own, so that a failed connect proves that no byte was sent.
    call.reuse_connection = this->order.service->idempotent;
    return call;
}

void forwarded_request::receive(http_call_result result) {
    this->running_call = 0;
    using enum wire::refusal_reason;
    constexpr auto unknown = wire::outcome::unknown;
    switch (result.status) {
    case http_call_status::ok:
        if (states_not_run(result.response)) {
            this->report(target_result::shed);
            this->fail(wire::retry_reason::shed, {target_shed, wire::outcome::not_run, "the target is full"}, true);
            return;
        }
        if (result.response.status >= first_server_error && this->order.service->idempotent) {
            this->report(target_result::error);
            retry_decision decision;
            if (this->may_retry(wire::retry_reason::target_error, {target_error}, false, decision)) {
                this->attempt();
                return;
            }
        }
        this->answer(std::move(result.response));
        return;
    case http_call_status::connect_failed:
        this->note_absent_target();
        this->report(target_result::connect_failed);
        this->fail(wire::retry_reason::connect_failed,
                   {target_connect_failed, wire::outcome::not_run, "the target refused the connection"}, true);
        return;
    case http_call_status::connection_lost:
        this->note_lost_connection();
        this->report(target_result::connection_lost);
        this->fail(wire::retry_reason::connection_lost,
                   {target_connection_lost, unknown, "the connection to the target was lost"}, false);
        return;
    case http_call_status::answer_truncated:
        this->note_lost_connection();
        this->report(target_result::error);
        this->fail(wire::retry_reason::target_error, {answer_truncated, unknown, "the answer was cut short"}, false);
        return;
    case http_call_status::answer_too_large:
        this->report(target_result::success);
        this->refuse({answer_too_large, unknown,
                      "the answer exceeds " + std::to_string(this->order.service->max_answer_bytes) + " bytes"});
        return;
    }
}

bool forwarded_request::may_retry(wire::retry_reason reason, const refusal& refused, bool proved_not_run,
                                  retry_decision& decision) {
    time_point now = this->edge.loop.now();
    failed_attempt failure;
    failure.reason = reason;
    failure.refusal = refused.reason;
    failure.idempotent = this->order.service->idempotent;
    failure.proved_not_run = proved_not_run;
    failure.other_target = this->choose_target().has_value();
    failure.within_limits = true;
    failure.deadline = this->deadline;
    decision = this->edge.retries.decide(now, failure);
    if (decision.retry) {
        this->edge.refusals.count(decision.reason);
    }
    return decision.retry;
}

void forwarded_request::fail(wire::retry_reason reason, const refusal& refused, bool proved_not_run) {
    retry_decision decision;
    if (this->may_retry(reason, refused, proved_not_run, decision)) {
        this->attempt();
        return;
    }
    refusal final_refusal = refused;
    final_refusal.reason = decision.refusal;
    this->refuse(final_refusal);
}

// Replaces a slow attempt when a retry is granted; otherwise the attempt keeps running until the deadline.
void forwarded_request::attempt_timed_out() {
    this->attempt_timer = 0;
    retry_decision decision;
    bool running = this->running_call != 0;
    if (running && this->may_retry(wire::retry_reason::target_timeout, {wire::refusal_reason::deadline_exceeded}, false,
                                   decision)) {
        this->edge.client.cancel(this->running_call);
        this->running_call = 0;
        this->report(target_result::timeout);
        this->attempt();
    }
}

// ---- Target state ----

void forwarded_request::report(target_result result) {
    if (!this->target) {
        return;
    }
    this->edge.loop.cancel(this->attempt_timer);
    time_point now = this->edge.loop.now();
    this->edge.targets.finished(now, this->target->service, this->target->id, {result, now - this->dispatched_at});
    this->target.reset();
}

void forwarded_request::note_lost_connection() {
    const std::string& service = this->order.service->name;
    this->edge.send_notices(this->edge.crashes.connection_lost(
        this->edge.loop.now(), {service, this->order.fingerprint, this->target->id, this->target->region}));
}

void forwarded_request::note_absent_target() {
    this->edge.send_notices(
        this->edge.crashes.target_gone(this->edge.loop.now(), this->target->service, this->target->id));
}

// ---- Ends ----

void forwarded_request::answer(http_response response) {
    if (this->target) {
        this->edge.crashes.target_alive(this->target->service, this->target->id);
        this->report(target_result::success);
    }
    this->edge.retries.succeeded(this->edge.loop.now());
    response.headers = end_to_end_headers(response.headers);
    this->order.exchange->respond(std::move(response));
    this->finish();
}

void forwarded_request::refuse(const refusal& refused) {
    this->edge.refuse(*this->order.exchange, refused);
    this->finish();
}

void forwarded_request::expire() {
    bool dispatched = this->running_call != 0;
    if (dispatched) {
        this->edge.client.cancel(this->running_call);
        this->running_call = 0;
        this->report(target_result::timeout);
    }
    this->refuse({wire::refusal_reason::deadline_exceeded, dispatched ? wire::outcome::unknown : wire::outcome::not_run,
                  "the deadline passed before an answer arrived"});
}

// The caller went away.
void forwarded_request::abandon() {
    this->finish();
}

void forwarded_request::finish() {
    if (this->finished) {
        return;
    }
    this->finished = true;
    this->edge.loop.cancel(this->deadline_timer);
    if (this->running_call != 0) {
        this->edge.client.cancel(this->running_call);
        this->running_call = 0;
    }
    this->report(target_result::cancelled);
    this->order.exchange->on_close(nullptr);  // the callback holds this object
}

}  // namespace persimmongrade
