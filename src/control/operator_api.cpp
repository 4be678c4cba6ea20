#include "operator_api.h"

#include <algorithm>
#include <array>

#include "persimmongrade/client_blocks.h"

namespace persimmongrade {

namespace {

using nlohmann::json;
using persimmongrade::to_json;

// HTTP answer for one error type. `outcome` says whether the submission was run.
struct error_definition {
    operator_error type;
    const char* name;
    int status;
    const char* outcome;
    bool is_retryable;  // the same submission may succeed later
};

constexpr std::array<error_definition, operator_error_count> error_definitions = {{
    {operator_error::bad_request, "bad_request", 400, "not_run", false},
    {operator_error::invalid_record, "invalid_record", 400, "not_run", false},
    {operator_error::version_conflict, "version_conflict", 409, "not_run", false},
    {operator_error::not_found, "not_found", 404, "not_run", false},
    {operator_error::method_not_allowed, "method_not_allowed", 405, "not_run", false},
    {operator_error::not_leader, "not_leader", 421, "not_run", true},
    {operator_error::unavailable, "unavailable", 503, "not_run", true},
    {operator_error::stopping, "stopping", 503, "not_run", true},
    {operator_error::outcome_unknown, "outcome_unknown", 504, "unknown", true},
    {operator_error::internal_error, "internal_error", 500, "unknown", false},
    {operator_error::request_incomplete, "request_incomplete", 408, "not_run", true},
    {operator_error::request_too_large, "request_too_large", 413, "not_run", false},
    {operator_error::record_too_large, "record_too_large", 413, "not_run", false},
    {operator_error::storage_failed, "storage_failed", 503, "not_run", true},
}};

const error_definition& definition_of(operator_error type) {
    return error_definitions.at(static_cast<std::size_t>(type));
}

json to_json(const wire::region_limit_t& limit) {
    return {{"region", limit.region}, {"max_requests_per_second", limit.max_requests_per_second}};
}

json to_json(const wire::link_limit_t& link) {
    return {{"from", link.from}, {"to", link.to}, {"max_mbit_per_second", link.max_mbit_per_second}};
}

json to_json(const wire::client_block_columns_t& blocks) {
    json list = json::array();
    for_each_client_block(blocks, [&](const client_prefix& prefix, const std::string* site) {
        list.push_back({{"prefix", to_string(prefix)}, {"region", site == nullptr ? "" : *site}});
    });
    return list;
}

json to_json(const wire::service_definition_t& service) {
    json result = {{"name", service.name},
                   {"idempotent", service.idempotent},
                   {"regions", service.regions},
                   {"slots_per_target", service.slots_per_target},
                   {"connections_per_target", service.connections_per_target},
                   {"max_request_bytes", service.max_request_bytes},
                   {"max_answer_bytes", service.max_answer_bytes},
                   {"without_control", wire::EnumNamewithout_control_policy(service.without_control)}};
    if (service.shift) {
        result["shift"] = {{"max_permille", service.shift->max_permille}, {"interval_ms", service.shift->interval_ms}};
    }
    return result;
}

template <typename Items>
json to_json_list(const Items& items) {
    json list = json::array();
    for (const auto& item : items) {
        list.push_back(to_json(*item));
    }
    return list;
}

}  // namespace

const char* to_string(operator_error type) {
    return definition_of(type).name;
}

http_response json_answer(int status, const json& body) {
    return json_response(status, body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n");
}

http_response error_response(operator_error type, const std::string& message, const json& extra) {
    const error_definition& definition = definition_of(type);
    json body = {{"error", definition.name},
                 {"outcome", definition.outcome},
                 {"message", message},
                 {"retry_after_ms", definition.is_retryable ? retry_hint.count() : 0}};
    body.update(extra);
    return json_answer(definition.status, body);
}

http_response record_error_response(const record_error& failure) {
    json problems = json::array();
    for (const record_problem& problem : failure.problems) {
        problems.push_back({{"path", problem.path},
                            {"line", problem.line},
                            {"reason", to_string(problem.kind)},
                            {"detail", problem.detail}});
    }
    return error_response(operator_error::invalid_record,
                          std::to_string(failure.problems.size()) + " problem(s): " + to_string(failure.problems[0]),
                          {{"problems", problems}});
}

http_response result_response(const wire::submission_result_t& result) {
    json details = {{"submission_id", result.submission_id}};
    switch (result.status) {
    case wire::submission_status::accepted:
        details["status"] = "accepted";
        details["revision"] = result.revision;
        return json_answer(200, details);
    case wire::submission_status::version_conflict:
        return error_response(operator_error::version_conflict, result.detail, details);
    case wire::submission_status::not_found:
        return error_response(operator_error::not_found, result.detail, details);
    case wire::submission_status::invalid:
        break;
    }
    return error_response(operator_error::invalid_record, result.detail, details);
}

json to_json(const wire::steering_record_t& record) {
    return {{"name", record.name},
            {"version", record.version},
            {"schema_version", record.schema_version},
            {"services", to_json_list(record.services)},
            {"regions", to_json_list(record.regions)},
            {"links", to_json_list(record.links)},
            {"client_blocks", record.client_blocks ? to_json(*record.client_blocks) : json::array()}};
}

json to_json(const wire::edge_info_t& edge) {
    return {{"id", edge.id},
            {"region", edge.region},
            {"zone", edge.zone},
            {"http_address", edge.http_address},
            {"state", wire::EnumNameedge_state(edge.state)},
            {"alive", edge.alive},
            {"applied_revision", edge.applied_revision},
            {"ledger_voting", edge.ledger_voting}};
}

json to_json(const drain_status& drain) {
    json result = {{"target", drain.target},
                   {"revision", drain.revision},
                   {"announced_at_ms", drain.announced_at_ms},
                   {"state", drain.drain_time ? "idle" : "draining"},
                   {"outstanding", drain.outstanding},
                   {"waiting_for", drain.waiting_for}};
    if (drain.drain_time) {
        result["drain_time_ms"] = drain.drain_time->count();
    }
    return result;
}

json to_json(const resource_use& use) {
    return {{"kind", wire::EnumNameresource_kind(use.subject.kind)},
            {"subject", use.subject.subject},
            {"limit", use.limit},
            {"used", use.used},
            {"granted", use.granted}};
}

json to_json(const wire::assignment_t& assignment) {
    json shares = json::object();
    for (const auto& share : assignment.shares) {
        shares[share->region] = share->permille;
    }
    return {{"service", assignment.service}, {"caller_region", assignment.caller_region}, {"permille", shares}};
}

json to_json(const wire::configuration_delta_t& delta) {
    json records = json::array();
    for (const auto& record : delta.changed_records) {
        records.push_back({{"name", record->name}, {"version", record->version}});
    }
    json drains = json::array();
    for (const auto& drain : delta.changed_drains) {
        drains.push_back(drain->target);
    }
    return {{"revision", delta.revision},
            {"full", delta.full},
            {"records", records},
            {"withdrawn", delta.withdrawn_records},
            {"drains", drains},
            {"cancelled_drains", delta.cancelled_drains},
            {"assignments", to_json_list(delta.changed_assignments)}};
}

std::optional<std::string> parse_drain_target(const std::string& body) {
    json parsed = json::parse(body, nullptr, false);
    bool is_well_formed = parsed.is_object() && parsed.size() == 1 && parsed.contains("target") &&
                          parsed["target"].is_string() && is_valid_name(parsed["target"].get<std::string>());
    if (!is_well_formed) {
        return std::nullopt;
    }
    return parsed["target"].get<std::string>();
}

std::optional<member_request> parse_member(const std::string& body) {
    json parsed = json::parse(body, nullptr, false);
    for (const char* key : {"id", "name", "address"}) {
        if (!parsed.is_object() || !parsed.contains(key) || !parsed[key].is_string()) {
            return std::nullopt;
        }
    }
    member_request request{parsed["id"], parsed["name"], parsed["address"]};
    bool has_name_prefix =
        request.id.size() > request.name.size() && request.id.compare(0, request.name.size(), request.name) == 0;
    return has_name_prefix ? std::optional(request) : std::nullopt;
}

bool is_valid_submission_id(std::string_view id) {
    return !id.empty() && id.size() <= max_submission_id_bytes &&
           std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

}  // namespace persimmongrade
