// Contents: attempts; results of a call; ends.

#include "execution.h"

#include <algorithm>

#include "forwarded_headers.h"
#include "persimmongrade/address.h"
#include "persimmongrade/connect_probe.h"
#include "persimmongrade/event_log.h"

namespace persimmongrade {

namespace {

constexpr std::int64_t attempt_share_divisor = 2;  // an attempt may be replaced after half of the remaining time
constexpr duration probe_timeout = ms(250);  // includes the time in which a busy host closes an ended process's sockets
constexpr duration busy_targets_retry = ms(20);  // hint; when a target becomes free is not known
constexpr int first_server_error = 500;
constexpr std::uint32_t weight_scale = 1000;
// The leader makes a first assignment within this time after it has accepted the record.
constexpr duration first_assignment_delay = ms(500);

bool states_not_run(const http_response& response) {
    return response.status == refusal_status(wire::refusal_reason::target_shed) &&
           response.header("persimmon-not-run") == "1";
}

}  // namespace

execution::execution(edge_context& edge, execution_order order, callback on_done)
    : edge(edge), order(std::move(order)), on_done(std::move(on_done)),
      regions(choose_regions(this->order.index->assignment(this->order.service->name, this->order.caller_region),
                             static_cast<std::uint32_t>(edge.random() % weight_scale))) {
    ++this->edge.running_requests;
}

execution::~execution() {
    --this->edge.running_requests;
}

void execution::start() {
    auto self = this->shared_from_this();
    duration remaining = this->order.deadline - this->edge.loop.now();
    this->deadline_timer = this->edge.loop.after(remaining, [self] { self->deadline_passed(); });
    this->attempt();
}

void execution::cancel() {
    this->stop_everything();
}

// ---- Attempts ----

void execution::attempt() {
    time_point now = this->edge.loop.now();
    if (this->edge.crashes.quarantined(now, this->order.service->name, this->order.fingerprint)) {
        this->refuse(wire::refusal_reason::quarantined, wire::outcome::not_run,
                     "the request ended two targets and is refused for 10 minutes");
        return;
    }
    // Checked at the moment of dispatch, so that a paused process cannot send on an expired lease.
    if (!this->lease_covers_dispatch()) {
        this->refuse(wire::refusal_reason::configuration_lease_expired, wire::outcome::not_run,
                     "the edge cannot prove that its configuration is current");
        return;
    }
    // The nearest region is no substitute: if it lost its targets before the first assignment, its traffic would move
    // to another region outside the shift cap.
    if (this->regions.first.empty()) {
        this->refuse(wire::refusal_reason::not_ready, wire::outcome::not_run,
                     "service '" + this->order.service->name + "' has no assignment for callers of region '" +
                         this->order.caller_region + "' yet",
                     first_assignment_delay);
        return;
    }
    auto chosen = this->choose_target(true);
    chosen = chosen ? chosen : this->choose_target(false);
    if (!chosen && this->only_busy_targets()) {
        reservation_result busy;
        busy.refused = wire::refusal_reason::slots_exhausted;
        busy.retry_after = busy_targets_retry;
        this->wait_for_capacity(busy);
        return;
    }
    if (!chosen) {
        this->refuse_without_target();
        return;
    }
    std::uint64_t bytes = message_bytes(this->order.request.headers, this->order.request.body.size());
    auto reserved = this->edge.capacity.reserve(*this->order.service, *chosen, bytes, now,
                                                this->waiting_until.has_value(), this->ticket);
    if (!reserved) {
        this->wait_for_capacity(reserved);
        return;
    }
    this->dispatch(std::move(*chosen));
}

bool execution::lease_covers_dispatch() const {
    return this->edge.config.lease_valid(this->edge.loop.now()) ||
           floor_use_of(*this->order.service) == floor_use::without_configuration;
}

std::optional<target_choice> execution::choose_target(bool with_slot) {
    time_point now = this->edge.loop.now();
    floor_use use = floor_use_of(*this->order.service);
    auto usable = [&](const target_choice& choice) {
        return !with_slot || this->edge.capacity.has_slot(choice, now, use);
    };
    const std::string& service = this->order.service->name;
    if (!this->tried.empty()) {
        return this->edge.targets.pick_if(now, service, this->regions.retries, this->tried, usable);
    }
    return this->edge.targets.pick_if(now, service, {this->regions.first}, this->tried, usable);
}

// Targets of the assigned region may take further requests, but each has as many of this edge as it bears now.
bool execution::only_busy_targets() const {
    return this->tried.empty() &&
           this->edge.targets.count_usable(this->edge.loop.now(), this->order.service->name, this->regions.first) > 0;
}

void execution::refuse_without_target() {
    // Regions without a share in the assignment count as well: a live target there shows that the shift cap refuses.
    bool elsewhere =
        this->edge.targets
            .pick(this->edge.loop.now(), this->order.service->name, this->order.service->regions, this->tried)
            .has_value();
    if (elsewhere) {
        this->refuse(wire::refusal_reason::shift_limit, wire::outcome::not_run,
                     "the assigned region has no live target, and the shift cap leaves no share elsewhere",
                     longest_wait_for_capacity);
        return;
    }
    this->refuse(wire::refusal_reason::no_target, wire::outcome::not_run,
                 "no live target of service '" + this->order.service->name + "'");
}

// Waits at most 100 ms in all, within the deadline.
void execution::wait_for_capacity(const reservation_result& refused) {
    time_point now = this->edge.loop.now();
    bool first = !this->waiting_until.has_value();
    if (first) {
        this->waiting_until = std::min(now + longest_wait_for_capacity, this->order.deadline - retry_min_remaining);
        first = this->edge.join_queue(this->order.service->name, this->weak_from_this());
        this->edge.report_demand();
    }
    bool queued = first || this->wait_timer != 0;
    if (!queued || now >= *this->waiting_until) {
        std::string subject = refused.refused_by ? " of '" + refused.refused_by->subject + "'" : "";
        this->refuse(refused.refused, wire::outcome::not_run, "no capacity is left" + subject, refused.retry_after);
        return;
    }
    if (first) {
        auto self = this->shared_from_this();
        this->wait_timer = this->edge.loop.after(*this->waiting_until - now, [self] { self->retry_admission(); });
    }
}

void execution::retry_admission() {
    if (this->waiting()) {
        this->attempt();
    }
}

void execution::dispatch(target_choice chosen) {
    this->edge.loop.cancel(this->wait_timer);
    this->wait_timer = 0;
    this->target = std::move(chosen);
    this->tried.push_back(this->target->id);
    this->dispatched_at = this->edge.loop.now();
    this->edge.targets.started(this->target->service, this->target->id);
    auto self = this->shared_from_this();
    this->running_call = this->edge.client.send(this->call_for(*this->target),
                                                [self](http_call_result result) { self->receive(std::move(result)); });
    if (this->order.service->idempotent) {
        duration patience = (this->order.deadline - this->dispatched_at) / attempt_share_divisor;
        this->attempt_timer = this->edge.loop.after(patience, [self] { self->attempt_timed_out(); });
    }
}

http_call execution::call_for(const target_choice& chosen) const {
    const http_request& request = this->order.request;
    http_call call;
    call.address = ip_address::parse(chosen.address);
    call.method = request.method;
    call.target = request.query.empty() ? request.path : request.path + "?" + request.query;
    call.headers = end_to_end_headers(request.headers, 1);
    duration remaining = std::max(ms(1), this->order.deadline - this->dispatched_at);
    call.headers.push_back({"persimmon-deadline-ms", std::to_string(remaining.count())});
    call.body = request.body;
    call.max_answer_bytes = this->order.service->max_answer_bytes;
    // A reused connection may just have been closed by the target. A non-idempotent request needs a connection of its
    // own, so that a failed connect proves that no byte was sent.
    call.reuse_connection = this->order.service->idempotent;
    return call;
}

// Replaces a slow attempt when a retry is granted; otherwise the attempt keeps running until the deadline.
void execution::attempt_timed_out() {
    this->attempt_timer = 0;
    retry_decision decision;
    constexpr auto otherwise = wire::refusal_reason::deadline_exceeded;
    if (this->running_call != 0 && this->retry(wire::retry_reason::target_timeout, otherwise, false, decision)) {
        this->edge.client.cancel(this->running_call);
        this->running_call = 0;
        this->release(target_result::timeout);
        this->attempt();
    }
}

// ---- Results of a call ----

void execution::receive(http_call_result result) {
    this->running_call = 0;
    using enum wire::refusal_reason;
    constexpr auto unknown = wire::outcome::unknown;
    switch (result.status) {
    case http_call_status::ok:
        this->receive_answer(std::move(result.response));
        return;
    case http_call_status::connect_failed:
        this->note_absent_target(*this->target);
        this->release(target_result::connect_failed);
        this->fail(wire::retry_reason::connect_failed,
                   {target_connect_failed, wire::outcome::not_run, "the target refused the connection"}, true);
        return;
    case http_call_status::connection_lost:
        this->connection_ended(target_result::connection_lost, wire::retry_reason::connection_lost,
                               {target_connection_lost, unknown, "the connection to the target was lost"});
        return;
    case http_call_status::answer_truncated:
        this->connection_ended(target_result::error, wire::retry_reason::target_error,
                               {answer_truncated, unknown, "the answer was cut short"});
        return;
    case http_call_status::answer_too_large:
        this->release(target_result::success, this->order.service->max_answer_bytes);
        this->refuse(answer_too_large, unknown,
                     "the answer exceeds " + std::to_string(this->order.service->max_answer_bytes) + " bytes");
        return;
    }
}

void execution::receive_answer(http_response response) {
    std::uint64_t bytes = message_bytes(response.headers, response.body.size());
    this->edge.crashes.target_alive(this->target->service, this->target->id);
    if (states_not_run(response)) {
        this->release(target_result::shed, bytes);
        this->fail(wire::retry_reason::shed,
                   {wire::refusal_reason::target_shed, wire::outcome::not_run, "the target is full"}, true);
        return;
    }
    bool server_error = response.status >= first_server_error;
    if (!server_error) {
        this->edge.send_notices(
            this->edge.crashes.answered(this->edge.loop.now(), this->target->service, this->order.fingerprint));
    }
    this->release(server_error ? target_result::error : target_result::success, bytes);
    retry_decision decision;
    bool replaced = server_error && this->order.service->idempotent &&
                    this->retry(wire::retry_reason::target_error, wire::refusal_reason::target_error, false, decision);
    if (replaced) {
        this->attempt();
        return;
    }
    this->edge.retries.succeeded(this->edge.loop.now());
    response.headers = end_to_end_headers(std::move(response.headers));
    this->end({std::move(response), {}});
}

void execution::fail(wire::retry_reason reason, const refusal& refused, bool proved_not_run) {
    retry_decision decision;
    if (this->retry(reason, refused.reason, proved_not_run, decision)) {
        this->attempt();
        return;
    }
    this->refuse(decision.refusal, refused.outcome, refused.message);
}

bool execution::retry(wire::retry_reason reason, wire::refusal_reason otherwise, bool proved_not_run,
                      retry_decision& decision) {
    failed_attempt failure;
    failure.reason = reason;
    failure.refusal = otherwise;
    failure.idempotent = this->order.service->idempotent;
    failure.proved_not_run = proved_not_run;
    failure.other_target_available = this->choose_target(false).has_value();
    failure.within_limits = this->choose_target(true).has_value();
    failure.deadline = this->order.deadline;
    decision = this->edge.retries.decide(this->edge.loop.now(), failure);
    if (decision.retry) {
        this->edge.refusals.count(decision.reason);
    }
    return decision.retry;
}

void execution::release(target_result result, std::uint64_t answer_bytes) {
    if (!this->target) {
        return;
    }
    bool proved_not_run = result == target_result::connect_failed || result == target_result::shed;
    this->may_have_run = this->may_have_run || !proved_not_run;
    this->edge.loop.cancel(this->attempt_timer);
    time_point now = this->edge.loop.now();
    this->edge.targets.finished(now, this->target->service, this->target->id, {result, now - this->dispatched_at});
    this->edge.capacity.release(this->ticket, answer_bytes, now);
    if (answer_bytes > 0) {
        std::uint64_t request_bytes = message_bytes(this->order.request.headers, this->order.request.body.size());
        this->edge.meter.answered(this->order.service->name, request_bytes, answer_bytes);
    }
    this->target.reset();
    this->edge.capacity_released(this->order.service->name);
}

// A request that ends its target must not be sent to the next one unnoticed, so a probe confirms first whether the
// target is gone.
void execution::connection_ended(target_result result, wire::retry_reason reason, const refusal& refused) {
    target_choice lost = *this->target;
    this->edge.crashes.connection_lost(this->edge.loop.now(),
                                       {lost.service, this->order.fingerprint, lost.id, lost.region});
    this->release(result);
    auto self = this->shared_from_this();
    probe_connection(this->edge.loop, ip_address::parse(lost.address), probe_timeout,
                     [self, lost, reason, refused](probe_result probed) {
                         if (probed == probe_result::refused) {
                             self->note_absent_target(lost);
                         }
                         if (!self->ended) {
                             self->fail(reason, refused, false);
                         }
                     });
}

void execution::note_absent_target(const target_choice& absent) {
    this->edge.send_notices(this->edge.crashes.target_down(this->edge.loop.now(), absent.service, absent.id));
}

// ---- Ends ----

void execution::deadline_passed() {
    bool dispatched = this->running_call != 0;
    if (dispatched && !this->late && this->order.late_result_time > duration::zero()) {
        this->late = true;
        auto self = this->shared_from_this();
        this->deadline_timer = this->edge.loop.after(this->order.late_result_time, [self] { self->deadline_passed(); });
        return;
    }
    if (dispatched) {
        this->edge.client.cancel(this->running_call);
        this->running_call = 0;
        this->release(target_result::timeout);
    }
    this->refuse(wire::refusal_reason::deadline_exceeded, dispatched ? wire::outcome::unknown : wire::outcome::not_run,
                 "the deadline passed before an answer arrived");
}

void execution::refuse(wire::refusal_reason reason, wire::outcome outcome, std::string message, duration retry_after) {
    if (this->may_have_run && outcome == wire::outcome::not_run) {
        outcome = wire::outcome::unknown;  // an earlier attempt was dispatched
    }
    this->log_refusal(reason, outcome);
    this->end({std::nullopt, {reason, outcome, std::move(message), retry_after}});
}

void execution::log_refusal(wire::refusal_reason reason, wire::outcome outcome) const {
    time_point now = this->edge.loop.now();
    const std::string& service = this->order.service->name;
    bool waited = this->waiting_until.has_value();
    log_event("request_failed", field("id", this->order.request.header("idempotency-key").value_or("-")),
              field("service", service), field("outcome", wire::EnumNameoutcome(outcome)),
              field("reason", wire::EnumNamerefusal_reason(reason)), field("caller_region", this->order.caller_region),
              field("region", this->regions.first), field("target", this->tried.empty() ? "" : this->tried.back()),
              field("attempts", this->tried.size()), field("waited", waited),
              field("left_ms", (this->order.deadline - now).count()),
              field("targets", this->edge.targets.count_usable(now, service)),
              field("targets_in_region", this->edge.targets.count_usable(now, service, this->regions.first)),
              field("revision", this->edge.config.revision()),
              field("lease_valid", this->edge.config.lease_valid(now)));
}

void execution::end(execution_result result) {
    if (this->ended) {
        return;
    }
    auto self = this->shared_from_this();  // the callback may drop the last other reference
    callback done = std::move(this->on_done);
    this->stop_everything();
    done(std::move(result));
}

void execution::stop_everything() {
    if (this->ended) {
        return;
    }
    this->ended = true;
    auto self = this->shared_from_this();
    this->edge.loop.cancel(this->deadline_timer);
    this->edge.loop.cancel(this->wait_timer);
    this->wait_timer = 0;
    if (this->running_call != 0) {
        this->edge.client.cancel(this->running_call);
        this->running_call = 0;
    }
    this->release(target_result::cancelled);
}

}  // namespace persimmongrade
