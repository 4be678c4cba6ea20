// Steering records: bounds, and the checks that a record must pass before it is submitted to the log. Use
// record_parser.h to read a record from YAML; it applies these checks.
//
//     std::vector<record_problem> problems = check_record(record);
//     if (!problems.empty()) { throw record_error(std::move(problems)); }
//
// A record of any schema version is represented as `wire::steering_record_t`.

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "persimmongrade/error.h"
#include "record_generated.h"

namespace persimmongrade {

// Bounds of one record. They limit the duration of the checks and the size of a configuration push.
//
// max_record_bytes bounds the YAML text: the leader takes 0.33 s to read 0.8 MB, sends no heartbeat during that time,
// and its followers elect another leader after 0.4 s.
inline constexpr std::size_t max_record_bytes = 1u << 19;
inline constexpr std::size_t max_services = 1000;
inline constexpr std::size_t max_regions = 64;
inline constexpr std::size_t max_links = 4096;           // a link in both directions counts as two
inline constexpr std::size_t max_client_blocks = 65535;  // 16-bit site indices; each may name a different site
inline constexpr std::size_t max_name_bytes = 64;
inline constexpr std::size_t max_reported_problems = 100;

// Standing floors: this share of each rate limit is divided equally among the entry hosts, of which there are
// standing_floor_edges.
inline constexpr double standing_floor_share = 0.2;
inline constexpr std::uint32_t standing_floor_edges = 7;

inline constexpr double bytes_per_megabit = 125000.0;

enum class record_problem_kind : std::uint8_t {
    syntax,                      // not YAML
    too_large,                   // the text or one of its lists exceeds its bound
    unsupported_schema_version,  // not 1 or 2
    missing,
    unknown_key,
    duplicate,  // a key, service, region, link or client block that is given twice
    wrong_type,
    out_of_range,
    invalid_name,
    invalid_prefix,  // not an IP prefix, or has bits set after its length
    unknown_region,  // a service, link or client block names a region without a region limit
    self_link,
    not_positive,  // a limit of zero or less
    below_floor,   // a limit whose standing floor per entry host carries less than one request per second
};

// A problem found in a record.
struct record_problem {
    std::string path;        // such as "services[1].slots_per_target"; empty: the document
    std::uint32_t line = 0;  // starts at 1; 0: unknown, or not read from text
    record_problem_kind kind = record_problem_kind::missing;  // machine-readable reason
    std::string detail;                                       // human-readable

    auto operator<=>(const record_problem&) const = default;
};

// Holds every problem found, up to `max_reported_problems`.
class record_error : public error {
public:
    explicit record_error(std::vector<record_problem> problems);

    const std::vector<record_problem> problems;  // never empty
};

const char* to_string(record_problem_kind kind);
std::string to_string(const record_problem& problem);  // "line 7: services[1].name: duplicate: ..."

// Valid names consist of lower-case letters, digits, '_', '-' and '.', start with a letter or digit, and have 1 to
// `max_name_bytes` bytes.
bool is_valid_name(std::string_view name);

// Checks the consistency and ranges of a parsed record. Paths are those of schema version 2; lines are 0.
std::vector<record_problem> check_record(const wire::steering_record_t& record);

// Lowest limits with which the standing floor of each entry host carries one request per second, in requests per second
// and in Mbit/s. The latter depends on the largest max_request_bytes of any service.
double min_region_limit();
double min_link_limit(const wire::steering_record_t& record);

// Limits in force: the lowest one applies when several records name the same region or link.
std::vector<wire::region_limit_t> effective_region_limits(const wire::configuration_t& configuration);
std::vector<wire::link_limit_t> effective_link_limits(const wire::configuration_t& configuration);

}  // namespace persimmongrade
