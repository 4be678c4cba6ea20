// Bodies of the operators' HTTP interface: JSON encoding of records, drains and answers, and typed errors.

#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

#include "messages_generated.h"
#include "persimmongrade/capacity_lease.h"
#include "persimmongrade/distribution.h"
#include "persimmongrade/http.h"
#include "persimmongrade/record.h"

namespace persimmongrade {

inline constexpr std::size_t max_submission_id_bytes = 128;
inline constexpr duration retry_hint = ms(200);  // an election usually ends within one or two such intervals

// Values of the "error" field in refusals to operators. `persimmonctl explain` describes each.
enum class operator_error : std::uint8_t {
    bad_request,
    invalid_record,
    version_conflict,
    not_found,
    method_not_allowed,
    not_leader,
    unavailable,
    stopping,
    outcome_unknown,
    internal_error,
    request_incomplete,
    request_too_large,
    record_too_large,
    storage_failed,
};
inline constexpr std::size_t operator_error_count = 14;

// Limit of one log entry: an encoded command must fit into a peer frame of 16 MiB with a margin.
inline constexpr std::size_t max_command_bytes = 8u << 20;

const char* to_string(operator_error type);

// Answer {"error", "outcome", "message", "retry_after_ms"} with the HTTP status of the type. `extra` is merged into it.
http_response error_response(operator_error type, const std::string& message,
                             const nlohmann::json& extra = nlohmann::json::object());
http_response record_error_response(const record_error& failure);
http_response result_response(const wire::submission_result_t& result);

nlohmann::json to_json(const wire::steering_record_t& record);
nlohmann::json to_json(const wire::edge_info_t& edge);
nlohmann::json to_json(const drain_status& drain);
nlohmann::json to_json(const resource_use& use);
nlohmann::json to_json(const wire::assignment_t& assignment);
nlohmann::json to_json(const wire::configuration_delta_t& delta);  // names of records and drains, not their content

// The target of a drain announcement {"target": "..."}; nullopt for any other body.
std::optional<std::string> parse_drain_target(const std::string& body);

// Request of a control process to become a member of the log.
struct member_request {
    std::string id;       // unique per data directory; starts with `name`
    std::string name;     // id in the settings
    std::string address;  // peer address

    auto operator<=>(const member_request&) const = default;
};
std::optional<member_request> parse_member(const std::string& body);

// Visible ASCII of at most `max_submission_id_bytes`.
bool is_valid_submission_id(std::string_view id);

// JSON answer. Invalid UTF-8 is replaced.
http_response json_answer(int status, const nlohmann::json& body);

}  // namespace persimmongrade
