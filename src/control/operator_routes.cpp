#include "server_state.h"

#include <utility>

#include "persimmongrade/record_parser.h"

namespace persimmongrade {

namespace {

bool strip_prefix(const std::string& text, const std::string& prefix, std::string& rest) {
    if (text.compare(0, prefix.size(), prefix) != 0) {
        return false;
    }
    rest = text.substr(prefix.size());
    return true;
}

}  // namespace

void control_server::impl::refuse(const exchange_pointer& exchange, operator_error type, const std::string& message) {
    this->count_refusal(type);
    if (exchange) {
        exchange->respond(error_response(type, message));
    }
}

void control_server::impl::refuse_not_leader(const exchange_pointer& exchange) {
    if (!exchange) {
        return;
    }
    if (this->log.failed()) {
        this->refuse(exchange, operator_error::storage_failed,
                     "this process cannot write its log; ask another one, and restart it when its disk accepts writes");
        return;
    }
    std::string leader = this->name_of(this->log.leader_id());
    std::string address = this->http_address_of(leader);
    if (this->log.is_leader() || address.empty()) {
        this->refuse(exchange, operator_error::unavailable, "no leader has a majority now");
        return;
    }
    this->count_refusal(operator_error::not_leader);
    http_response response = error_response(operator_error::not_leader, "the leader is " + leader,
                                            {{"leader", leader}, {"leader_address", address}});
    response.headers.push_back({"persimmon-leader", address});
    exchange->respond(std::move(response));
}

void control_server::impl::handle(const http_request& request, const exchange_pointer& exchange) {
    if (request.path == "/healthz") {
        exchange->respond({200, {}, "ok\n"});
    } else if (request.path == "/readyz") {
        bool ready = !this->log.leader_id().empty() && !this->is_stopping && !this->log.failed();
        exchange->respond({ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n"});
    } else if (request.path == "/metrics") {
        this->rejected_requests.Set(static_cast<double>(this->http.rejected_requests()));
        exchange->respond({200, {{"content-type", "text/plain; version=0.0.4"}}, this->metrics.text()});
    } else if (this->is_stopping) {
        this->refuse(exchange, operator_error::stopping, "the process is stopping");
    } else if (!this->refresh_authority()) {
        this->refuse_not_leader(exchange);
    } else {
        this->route(request, exchange);
    }
}

void control_server::impl::route(const http_request& request, const exchange_pointer& exchange) {
    std::string rest;
    if (request.path == "/v1/records" && request.method == "POST") {
        this->post_record(request, exchange);
    } else if (request.path == "/v1/records" && request.method == "GET") {
        this->list_records(exchange);
    } else if (strip_prefix(request.path, "/v1/records/", rest) && request.method == "GET") {
        this->get_record(rest, exchange);
    } else if (strip_prefix(request.path, "/v1/records/", rest) && request.method == "DELETE") {
        this->delete_record(rest, request, exchange);
    } else if (request.path == "/v1/drains" && request.method == "POST") {
        this->post_drain(request, exchange);
    } else if (strip_prefix(request.path, "/v1/drains/", rest) && request.method == "DELETE") {
        this->delete_drain(rest, request, exchange);
    } else if (request.path == "/v1/members" && request.method == "POST") {
        this->post_member(request, exchange);
    } else if (request.path == "/v1/status" && request.method == "GET") {
        this->get_status(request, exchange);
    } else if (request.path == "/v1/watch" && request.method == "GET") {
        this->get_watch(request, exchange);
    } else if (is_known_path(request.path)) {
        this->refuse(exchange, operator_error::method_not_allowed, request.method + " " + request.path);
    } else {
        this->refuse(exchange, operator_error::not_found, "no such path: " + request.path);
    }
}

bool control_server::impl::is_known_path(const std::string& path) {
    std::string rest;
    return path == "/v1/records" || path == "/v1/drains" || path == "/v1/status" || path == "/v1/watch" ||
           path == "/v1/members" || strip_prefix(path, "/v1/records/", rest) || strip_prefix(path, "/v1/drains/", rest);
}

// The submission id of a request. Without a valid one, refuses the request and returns nullopt.
std::optional<std::string> control_server::impl::read_submission_id(const http_request& request,
                                                                    const exchange_pointer& exchange) {
    auto id = request.header("submission-id");
    if (!id || !is_valid_submission_id(*id)) {
        this->refuse(exchange, operator_error::bad_request,
                     "the header Submission-Id is required: 1 to 128 visible ASCII characters, one per submission");
        return std::nullopt;
    }
    return std::string(*id);
}

void control_server::impl::post_record(const http_request& request, const exchange_pointer& exchange) {
    auto id = this->read_submission_id(request, exchange);
    if (!id) {
        return;
    }
    bool is_queued = this->parser.parse(request.body, [this, id, exchange](record_parse_queue::result result) {
        this->submit_parsed(*id, std::move(result), exchange);
    });
    if (!is_queued) {
        this->refuse(exchange, operator_error::unavailable, "too many large records are waiting to be parsed");
    }
}

void control_server::impl::submit_parsed(const std::string& id, record_parse_queue::result result,
                                         const exchange_pointer& exchange) {
    if (result.failure) {
        try {
            std::rethrow_exception(result.failure);
        } catch (const record_error& failure) {
            this->count_refusal(operator_error::invalid_record);
            exchange->respond(record_error_response(failure));
        }
        return;
    }
    wire::submit_record_t command;
    command.submission_id = id;
    command.record = std::move(result.record);
    wire::command_bodyUnion body;
    body.Set(std::move(command));
    this->submit(std::move(body), exchange);
}

void control_server::impl::delete_record(const std::string& name, const http_request& request,
                                         const exchange_pointer& exchange) {
    auto id = this->read_submission_id(request, exchange);
    auto version = parse_number(request.query_value("version"));
    if (!id) {
        return;
    }
    if (!version) {
        this->refuse(exchange, operator_error::bad_request, "the query needs version=N, the version to withdraw");
        return;
    }
    wire::withdraw_record_t command;
    command.submission_id = *id;
    command.name = name;
    command.version = *version;
    wire::command_bodyUnion body;
    body.Set(std::move(command));
    this->submit(std::move(body), exchange);
}

void control_server::impl::post_drain(const http_request& request, const exchange_pointer& exchange) {
    auto id = this->read_submission_id(request, exchange);
    if (!id) {
        return;
    }
    auto target = parse_drain_target(request.body);
    if (!target) {
        this->refuse(exchange, operator_error::bad_request, "the body must be {\"target\":\"<target id>\"}");
        return;
    }
    wire::announce_drain_t command;
    command.submission_id = *id;
    command.drain = std::make_unique<wire::target_drain_t>();
    command.drain->target = *target;
    command.drain->announced_at_ms = unix_time_ms();
    wire::command_bodyUnion body;
    body.Set(std::move(command));
    this->submit(std::move(body), exchange);
}

void control_server::impl::delete_drain(const std::string& target, const http_request& request,
                                        const exchange_pointer& exchange) {
    auto id = this->read_submission_id(request, exchange);
    if (!id) {
        return;
    }
    wire::cancel_drain_t command;
    command.submission_id = *id;
    command.target = target;
    wire::command_bodyUnion body;
    body.Set(std::move(command));
    this->submit(std::move(body), exchange);
}

}  // namespace persimmongrade
