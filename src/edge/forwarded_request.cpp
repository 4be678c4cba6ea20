#include "forwarded_request.h"

#include <algorithm>
#include <array>

namespace persimmongrade {

namespace {

// Headers that concern one connection only, or that the edge sets itself.
constexpr std::array hop_headers{
    "connection", "keep-alive",     "proxy-connection", "transfer-encoding",     "te",     "trailer", "upgrade",
    "host",       "content-length", "expect",           "persimmon-deadline-ms", "server", "date"};

std::vector<http_header> end_to_end_headers(const std::vector<http_header>& headers) {
    std::vector<http_header> kept;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept), [](const http_header& header) {
        return std::find(hop_headers.begin(), hop_headers.end(), header.name) == hop_headers.end();
    });
    return kept;
}

}  // namespace

forwarded_request::forwarded_request(edge_context& edge, std::shared_ptr<const configuration_index> index,
                                     const wire::service_definition_t& service, http_request request,
                                     std::shared_ptr<http_exchange> exchange, duration deadline)
    : edge(edge), index(std::move(index)), service(service), request(std::move(request)), exchange(std::move(exchange)),
      started_at(edge.loop.now()), deadline(started_at + deadline) {
    ++this->edge.running_requests;
}

forwarded_request::~forwarded_request() {
    --this->edge.running_requests;
}

void forwarded_request::start() {
    auto self = this->shared_from_this();
    this->deadline_timer = this->edge.loop.after(this->deadline - this->started_at, [self] { self->expire(); });
    this->exchange->on_close([self] { self->abandon(); });
    if (!this->edge.config.lease_valid(this->edge.loop.now())) {
        this->refuse(wire::refusal_reason::configuration_lease_expired, wire::outcome::not_run,
                     "the edge cannot prove that its configuration is current");
        return;
    }
    known_target* target = this->choose_target();
    if (target == nullptr) {
        this->refuse(wire::refusal_reason::no_target, wire::outcome::not_run,
                     "no live target of service '" + this->service.name + "'");
        return;
    }
    this->dispatch(*target);
}

known_target* forwarded_request::choose_target() {
    known_target* best = nullptr;
    for (auto& [id, entry] : this->edge.targets) {
        bool usable = entry.info.service == this->service.name && entry.expires_at > this->edge.loop.now() &&
                      entry.info.state == wire::target_state::ready && !this->index->drained(id);
        if (usable && (best == nullptr || entry.outstanding < best->outstanding)) {
            best = &entry;
        }
    }
    return best;
}

void forwarded_request::dispatch(known_target& target) {
    this->target_id = target.info.id;
    ++target.outstanding;
    http_call call;
    call.address = ip_address::parse(target.info.address);
    call.method = this->request.method;
    call.target = this->request.path + (this->request.query.empty() ? "" : "?" + this->request.query);
    call.headers = end_to_end_headers(this->request.headers);
    auto remaining = this->deadline - this->edge.loop.now();
    call.headers.push_back({"persimmon-deadline-ms", std::to_string(remaining.count())});
    call.body = this->request.body;
    call.max_answer_bytes = this->service.max_answer_bytes;
    call.reuse_connection = this->service.idempotent;
    auto self = this->shared_from_this();
    this->running_call =
        this->edge.client.send(std::move(call), [self](http_call_result result) { self->receive(std::move(result)); });
}

void forwarded_request::receive(http_call_result result) {
    this->running_call = 0;
    this->release_target();
    switch (result.status) {
    case http_call_status::ok:
        this->answer(std::move(result.response));
        return;
    case http_call_status::connect_failed:
        this->refuse(wire::refusal_reason::target_connect_failed, wire::outcome::not_run,
                     "no connection to the target");
        return;
    case http_call_status::connection_lost:
        this->refuse(wire::refusal_reason::target_connection_lost, wire::outcome::unknown,
                     "the connection to the target was lost");
        return;
    case http_call_status::answer_truncated:
        this->refuse(wire::refusal_reason::answer_truncated, wire::outcome::unknown, "the answer was cut short");
        return;
    case http_call_status::answer_too_large:
        this->refuse(wire::refusal_reason::answer_too_large, wire::outcome::unknown,
                     "the answer exceeds " + std::to_string(this->service.max_answer_bytes) + " bytes");
        return;
    }
}

void forwarded_request::answer(http_response response) {
    response.headers = end_to_end_headers(response.headers);
    this->exchange->respond(std::move(response));
    this->finish();
}

void forwarded_request::refuse(wire::refusal_reason reason, wire::outcome outcome, std::string message) {
    this->edge.refuse(*this->exchange, {reason, outcome, std::move(message)});
    this->finish();
}

void forwarded_request::expire() {
    bool dispatched = this->running_call != 0;
    this->refuse(wire::refusal_reason::deadline_exceeded, dispatched ? wire::outcome::unknown : wire::outcome::not_run,
                 "the deadline passed before an answer arrived");
}

// The caller went away.
void forwarded_request::abandon() {
    this->finish();
}

void forwarded_request::release_target() {
    auto found = this->edge.targets.find(this->target_id);
    if (found != this->edge.targets.end()) {
        --found->second.outstanding;
    }
    this->target_id.clear();
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
        this->release_target();
    }
    // The exchange holds a close callback that holds this object.
    this->exchange->on_close(nullptr);
}

}  // namespace persimmongrade
