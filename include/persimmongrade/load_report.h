// What a load run observed, the check of its outcomes against the targets' journals, and the report.
//
//     outcome_check check = check_outcomes(records, read_journals({"t1.journal", "t2.journal"}));
//     std::cout << render_text(summarize(options, records, samples), check);

#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "persimmongrade/error.h"

namespace persimmongrade {

// What a caller was told in the end.
enum class call_outcome : std::uint8_t {
    ok,        // a whole answer that belongs to the request
    not_run,   // a refusal that says the request was not run
    unknown,   // the request may have run
    wrong,     // an answer of another request, or a body that is not whole
    cancelled  // the caller gave up
};

const char* to_string(call_outcome outcome);

// One request as its caller saw it, resends included.
struct call_record {
    std::string service;
    std::string id;  // idempotency key, or a unique path for idempotent requests
    bool idempotent = true;
    std::int64_t intended_at_ms = 0;  // since the start of the run
    double latency_ms = 0;            // from the intended start to the last answer
    call_outcome outcome = call_outcome::ok;
    std::string error;            // error type of the last refusal, empty when ok
    std::uint32_t sends = 1;      // requests sent, resends included
    bool answers_differ = false;  // resends of one key got different whole answers
    bool told_ok = false;         // at least one send was answered with success

    auto operator<=>(const call_record&) const = default;
};

// Use of one limited resource at one moment, as control reports it.
struct resource_sample {
    std::int64_t at_ms = 0;  // since the start of the run
    std::string kind;        // "region" or "link"
    std::string subject;
    double limit = 0;  // requests per second, or bytes per second
    double used = 0;

    auto operator<=>(const resource_sample&) const = default;
};

struct drain_sample {
    std::string target;
    std::int64_t drain_time_ms = -1;  // -1 while work is outstanding

    auto operator<=>(const drain_sample&) const = default;
};

// ---- Check against the targets' journals ----

class journal_error : public error {
public:
    using error::error;
};

// Executions by idempotency key or path. Each journal line is "key method path start_ms"; key is "-" when absent.
// Throws journal_error when a file cannot be read or a line is malformed.
std::map<std::string, std::uint32_t> read_journals(const std::vector<std::string>& files);

enum class violation_kind : std::uint8_t {
    run_twice,      // a non-idempotent request ran more than once
    false_refusal,  // the caller was told not_run, and the request ran
    lost,           // the caller was told ok, and no target ran the request
    wrong_answer,   // not whole, not the caller's own, or different on a resend
};

const char* to_string(violation_kind kind);

struct violation {
    violation_kind kind = violation_kind::run_twice;
    std::string service;
    std::string id;
    std::uint32_t runs = 0;

    auto operator<=>(const violation&) const = default;
};

std::vector<violation> check_outcomes(const std::vector<call_record>& records,
                                      const std::map<std::string, std::uint32_t>& runs);

// ---- Summary and rendering ----

struct latency_summary {
    std::size_t count = 0;
    double p50_ms = 0;
    double p99_ms = 0;
    double max_ms = 0;

    auto operator<=>(const latency_summary&) const = default;
};

struct second_summary {
    std::int64_t second = 0;
    latency_summary latency;
    std::size_t ok = 0;
    std::size_t refused = 0;

    auto operator<=>(const second_summary&) const = default;
};

struct resource_summary {
    std::string kind;
    std::string subject;
    double limit = 0;
    double peak_used = 0;
    double least_headroom = 0;  // fraction of the limit left at the peak; negative when exceeded

    auto operator<=>(const resource_summary&) const = default;
};

struct load_summary {
    double duration_s = 0;
    std::map<std::string, latency_summary> latency_by_service;  // answered with success
    std::map<std::string, std::size_t> outcomes;                // by outcome name
    std::map<std::string, std::size_t> errors;                  // by error type
    std::size_t resends = 0;
    std::vector<second_summary> seconds;
    std::vector<resource_summary> resources;
    std::vector<resource_sample> resource_samples;
    std::vector<drain_sample> drains;
};

load_summary summarize(const std::vector<call_record>& records, const std::vector<resource_sample>& samples,
                       const std::vector<drain_sample>& drains, double duration_s);

std::string render_text(const load_summary& summary, const std::vector<violation>& violations);
std::string render_json(const load_summary& summary, const std::vector<violation>& violations);
std::string render_html(const load_summary& summary, const std::vector<violation>& violations);

}  // namespace persimmongrade
