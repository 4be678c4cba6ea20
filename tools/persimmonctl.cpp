// persimmonctl: the operators' command line. See docs/design.md, section 3.
//
// Index
//   Exit codes and options
//   Caller        - one HTTP request at a time, other control processes on failure, the leader on 421
//   Output
//   Commands
//   Entry point

#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <random>
#include <sstream>

#include "persimmongrade/command_line.h"
#include "persimmongrade/event_trace.h"
#include "persimmongrade/http_client.h"

namespace {

namespace po = boost::program_options;
using namespace persimmongrade;
using nlohmann::json;

// ---- Exit codes and options ----

enum class exit_code : std::uint8_t { done = 0, refused = 1, usage = 2, conflict = 3, unavailable = 4, unknown = 5 };

constexpr duration retry_pause = ms(100);    // between rounds over the control processes
constexpr duration call_timeout = ms(2000);  // of one request to one process; then the next one is asked
constexpr duration poll_interval = ms(100);  // of --wait
constexpr duration watch_call_timeout = ms(30000);
constexpr std::size_t max_answer_bytes = 64u << 20;

struct options {
    std::vector<ip_address> control;
    bool as_json = false;
    bool wait = false;
    duration timeout{};
    std::vector<std::string> words;  // command and its arguments
    std::string submission_id;
    std::uint64_t version = 0;  // of withdraw; 0: the current one
    std::uint64_t after = 0;    // of watch
    std::string logs;           // of explain: where the event logs are
};

const char* const usage_text =
    "Usage: persimmonctl --control ADDR [--control ADDR ...] COMMAND\n"
    "  submit FILE          submit a new record (YAML; - reads standard input)\n"
    "  amend FILE           submit a higher version of a record\n"
    "  withdraw NAME        withdraw a record (--version-number N: only that version)\n"
    "  get NAME             show one record\n"
    "  list                 show all records\n"
    "  drain TARGET         announce a planned drain\n"
    "  undrain TARGET       cancel a drain\n"
    "  status               show leader, edges, drains and what is in force\n"
    "  watch                follow changes of the configuration\n"
    "  explain ERROR        describe an error type; needs no --control\n"
    "  explain ID --logs PATH  follow a request over event logs (a file, a folder of files, - for standard input)\n"
    "Keys of the settings file: the options, for example control, output and timeout_ms\n"
    "Exit codes: 0 done, 1 refused, 2 bad usage or input, 3 conflict, 4 unavailable, 5 outcome unknown\n";

// A random id; resends within one call of the program use the same one.
std::string make_submission_id() {
    std::random_device random;
    std::ostringstream text;
    text << std::hex << "ctl-";
    for (int i = 0; i < 4; ++i) {
        text << random();
    }
    return text.str();
}

// ---- Caller ----

// The answer of a control process, or nothing when none answered in time.
struct call_outcome {
    bool answered = false;
    bool maybe_run = false;  // a request may have been read although no answer came
    http_response response;

    auto operator<=>(const call_outcome&) const = default;
};

class control_caller {
public:
    control_caller(std::vector<ip_address> addresses, duration timeout)
        : client(this->loop), addresses(std::move(addresses)), deadline(this->loop.now() + timeout) {}

    time_point now() const { return this->loop.now(); }
    bool expired() const { return this->loop.now() >= this->deadline; }
    void extend(duration length) { this->deadline = this->loop.now() + length; }
    void pause(duration length) { this->loop.run_for(length); }

    // Sends the request until a process gives a final answer or the time is over. Safe for changes because a resend
    // carries the same submission id.
    call_outcome call(const http_call& request, duration limit = call_timeout) {
        call_outcome outcome;
        while (!this->expired()) {
            call_outcome attempt = this->call_once(request, limit);
            outcome.maybe_run = outcome.maybe_run || attempt.maybe_run;
            if (attempt.answered) {
                outcome.answered = true;
                outcome.response = std::move(attempt.response);
                if (!this->should_try_again(outcome)) {
                    return outcome;
                }
            } else {
                this->next_address();
            }
        }
        return outcome;
    }

private:
    call_outcome call_once(http_call request, duration limit) {
        request.address = this->addresses[this->current];
        request.max_answer_bytes = max_answer_bytes;
        request.reuse_connection = false;
        call_outcome outcome;
        bool finished = false;
        call_id id = this->client.send(std::move(request), [&](http_call_result result) {
            finished = true;
            outcome.answered = result.status == http_call_status::ok;
            outcome.maybe_run = !outcome.answered && result.status != http_call_status::connect_failed;
            outcome.response = std::move(result.response);
            this->loop.stop();
        });
        time_point until = std::min(this->deadline, this->loop.now() + limit);
        while (!finished && this->loop.now() < until) {
            this->loop.run_for(until - this->loop.now());
        }
        if (!finished) {
            outcome.maybe_run = this->client.request_written(id);
            this->client.cancel(id);
        }
        return outcome;
    }

    // 421 leads to the leader; 503 and 504 may pass at another process or later.
    bool should_try_again(call_outcome& outcome) {
        int status = outcome.response.status;
        if (status == 421) {
            this->follow_leader(outcome.response);
            return true;
        }
        if (status == 503 || status == 504) {
            outcome.maybe_run = outcome.maybe_run || status == 504;
            this->next_address();
            return true;
        }
        return false;
    }

    void follow_leader(const http_response& response) {
        try {
            ip_address leader = ip_address::parse(std::string(response.header("persimmon-leader").value_or("")));
            auto known = std::find(this->addresses.begin(), this->addresses.end(), leader);
            this->current = static_cast<std::size_t>(known - this->addresses.begin());
            if (known == this->addresses.end()) {
                this->addresses.push_back(leader);
            }
            if (++this->hops % max_hops == 0) {  // two processes that name each other during an election
                this->loop.run_for(retry_pause);
            }
        } catch (const address_error&) {
            this->next_address();
        }
    }

    void next_address() {
        this->current = (this->current + 1) % this->addresses.size();
        this->loop.run_for(retry_pause);
    }

    static constexpr std::size_t max_hops = 3;

    event_loop loop;
    http_client client;
    std::vector<ip_address> addresses;
    std::size_t current = 0;
    std::size_t hops = 0;
    time_point deadline;
};

// ---- Output ----

json body_of(const call_outcome& outcome) {
    json body = json::parse(outcome.response.body, nullptr, false);
    return body.is_object() ? body : json::object();
}

// One line for each member of the answer; lists one item per line.
void print_text(const json& body) {
    for (const auto& [key, value] : body.items()) {
        bool list_of_objects = value.is_array() && !value.empty() && value.front().is_object();
        if (!list_of_objects) {
            std::cout << key << ": " << (value.is_string() ? value.get<std::string>() : value.dump()) << "\n";
            continue;
        }
        std::cout << key << ":\n";
        for (const json& item : value) {
            std::cout << "  -";
            for (const auto& [name, field] : item.items()) {
                std::cout << " " << name << "=" << (field.is_string() ? field.get<std::string>() : field.dump());
            }
            std::cout << "\n";
        }
    }
}

void print(const options& given, const json& body) {
    if (given.as_json) {
        std::cout << body.dump() << std::endl;
    } else {
        print_text(body);
        std::cout << std::flush;
    }
}

exit_code code_of(const call_outcome& outcome) {
    switch (outcome.response.status) {
    case 200:
    case 202:
        return exit_code::done;
    case 400:
        return body_of(outcome).value("error", "") == "bad_request" ? exit_code::usage : exit_code::refused;
    case 409:
        return exit_code::conflict;
    case 421:
    case 503:
        return outcome.maybe_run ? exit_code::unknown : exit_code::unavailable;
    case 504:
        return exit_code::unknown;
    default:
        return exit_code::refused;
    }
}

exit_code report(const options& given, const call_outcome& outcome) {
    if (!outcome.answered) {
        const char* error = outcome.maybe_run ? "outcome_unknown" : "unavailable";
        print(given, {{"error", error},
                      {"outcome", outcome.maybe_run ? "unknown" : "not_run"},
                      {"message", "no control process gave an answer in time"},
                      {"submission_id", given.submission_id}});
        return outcome.maybe_run ? exit_code::unknown : exit_code::unavailable;
    }
    print(given, body_of(outcome));
    return code_of(outcome);
}

// ---- Commands ----

std::string read_input(const std::string& name) {
    std::ifstream file(name);
    std::istream& input = name == "-" ? std::cin : file;
    std::ostringstream text;
    if (!input || !(text << input.rdbuf())) {
        throw usage_error(name + ": cannot be read or is empty");
    }
    return text.str();
}

// Names and ids hold no character that a path must escape; others are refused here.
std::string path_part(const std::string& text) {
    auto plain = [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; };
    if (text.empty() || !std::all_of(text.begin(), text.end(), plain)) {
        throw usage_error("'" + text + "' is no name: letters, digits, '-', '_' and '.'");
    }
    return text;
}

// Polls until the revision is in force on every edge. Prints the edges where it is not when the time is over.
exit_code wait_in_force(const options& given, control_caller& caller, std::uint64_t revision) {
    http_call request;
    request.target = "/v1/status?revision=" + std::to_string(revision);
    json last = json::object();
    while (!caller.expired()) {
        call_outcome outcome = caller.call(request);
        last = outcome.answered ? body_of(outcome) : last;
        if (outcome.answered && last.value("in_force", false)) {
            print(given, {{"status", "accepted"},
                          {"submission_id", given.submission_id},
                          {"revision", revision},
                          {"in_force", true}});
            return exit_code::done;
        }
        caller.pause(poll_interval);
    }
    print(given, {{"error", "not_in_force"},
                  {"outcome", "none"},
                  {"message", "accepted, but not yet in force on the listed edges"},
                  {"submission_id", given.submission_id},
                  {"revision", revision},
                  {"in_force", false},
                  {"not_in_force", last.value("not_in_force", json::array())}});
    return exit_code::unknown;
}

exit_code change(const options& given, control_caller& caller, http_call request) {
    request.headers.push_back({"submission-id", given.submission_id});
    call_outcome outcome = caller.call(request);
    if (!given.wait || !outcome.answered || code_of(outcome) != exit_code::done) {
        return report(given, outcome);
    }
    return wait_in_force(given, caller, body_of(outcome).value("revision", std::uint64_t{0}));
}

// An amendment is a submission with a higher version; the record store decides by the version.
exit_code submit(const options& given, control_caller& caller, const std::string& argument) {
    http_call request;
    request.method = "POST";
    request.target = "/v1/records";
    request.headers.push_back({"content-type", "application/yaml"});
    request.body = read_input(argument);
    return change(given, caller, std::move(request));
}

exit_code withdraw(const options& given, control_caller& caller, const std::string& argument) {
    std::uint64_t version = given.version;
    std::string path = "/v1/records/" + path_part(argument);
    if (version == 0) {
        http_call read;
        read.target = path;
        call_outcome current = caller.call(read);
        if (!current.answered || current.response.status != 200) {
            return report(given, current);
        }
        version = body_of(current).value("version", std::uint64_t{0});
    }
    http_call request;
    request.method = "DELETE";
    request.target = path + "?version=" + std::to_string(version);
    return change(given, caller, std::move(request));
}

exit_code drain(const options& given, control_caller& caller, const std::string& argument) {
    http_call request;
    request.method = "POST";
    request.target = "/v1/drains";
    request.body = json{{"target", path_part(argument)}}.dump();
    return change(given, caller, std::move(request));
}

exit_code undrain(const options& given, control_caller& caller, const std::string& argument) {
    http_call request;
    request.method = "DELETE";
    request.target = "/v1/drains/" + path_part(argument);
    return change(given, caller, std::move(request));
}

exit_code read(const options& given, control_caller& caller, const std::string& target) {
    http_call request;
    request.target = target;
    return report(given, caller.call(request));
}

// Prints each change until the program is interrupted or no leader answers within the time limit.
exit_code watch(const options& given, control_caller& caller) {
    std::uint64_t after = given.after;
    while (true) {
        caller.extend(watch_call_timeout + given.timeout);
        http_call request;
        request.target = "/v1/watch?after=" + std::to_string(after);
        call_outcome outcome = caller.call(request, watch_call_timeout);
        if (!outcome.answered || outcome.response.status != 200) {
            return report(given, outcome);
        }
        json body = body_of(outcome);
        std::uint64_t revision = body.value("revision", after);
        if (revision > after) {
            print(given, body);
        }
        after = std::max(after, revision);
    }
}

struct explanation {
    const char* error;
    const char* text;
};

constexpr explanation explanations[] = {
    {"bad_request", "The request is malformed: a header, the query or the body. Nothing was changed."},
    {"invalid_record", "The record has faults, listed under \"problems\" with path, line and reason, or declares a "
                       "service of another record. Nothing was changed."},
    {"record_too_large", "The record exceeds 8 MiB in the replicated log. Split it into several records. Nothing was "
                         "changed."},
    {"storage_failed",
     "The control process cannot write its log and takes no part until it is restarted. Free its disk "
     "and restart it; meanwhile the others go on. Nothing was changed."},
    {"version_conflict", "Another content is accepted at this version or a higher one. Read the record with `get`, "
                         "merge, and amend with a higher version. Nothing was changed."},
    {"not_found", "There is no such record, drain or path. Nothing was changed."},
    {"method_not_allowed", "The path exists, the method does not. Nothing was changed."},
    {"not_leader", "The process is not the leader; the answer names the leader. persimmonctl follows by itself."},
    {"unavailable", "No leader has a majority of the control processes now, or too much is pending. Nothing was "
                    "changed; try again."},
    {"stopping", "The process is about to stop. Nothing was changed; ask another one."},
    {"outcome_unknown", "The change was proposed and no answer came in time. It may be accepted later. Resend with "
                        "the same --submission-id to learn the outcome."},
    {"not_in_force", "The change is accepted and cannot revert, but the listed edges may still act on the old "
                     "configuration for at most about 2 s, or longer if they stay connected and cannot apply it."},
    {"internal_error", "A fault of the control process. Look at its log."},
    // Refusals to callers, by the edges
    {"unknown_service", "No accepted record declares the service. Submit one."},
    {"idempotency_key_missing", "The service is not idempotent: each request needs an Idempotency-Key header."},
    {"idempotency_key_invalid", "The Idempotency-Key is not a UUID version 7."},
    {"key_expired", "The key is older than 15 minutes, so that its result may be forgotten. It may have run."},
    {"key_from_future", "The key's time is more than 1 minute ahead. An edge whose clock differs may have "
                        "accepted it. Check the clocks."},
    {"key_reused", "The key was used with another method, path or body, which may have run. Each booking needs a "
                   "key of its own."},
    {"region_limit", "The region's limit is used up, or the edge holds too small a share of it. Wait, or raise "
                     "max_requests_per_second in the record."},
    {"link_limit", "A link between regions is at its limit. Wait, or raise max_mbit_per_second in the record."},
    {"shift_limit", "The assigned region has no live target, and the shift cap leaves no share elsewhere yet."},
    {"slots_exhausted", "Every slot leased to the edge, or every target of the region, is busy. Add targets, or send "
                        "again after the hint."},
    {"connections_exhausted", "Every connection leased to the edge is busy. Add targets."},
    {"no_target", "No live target announces itself for the service in an allowed region."},
    {"configuration_lease_expired", "The edge has not reached the leader for 2 s and cannot know of drains and lowered "
                                    "limits. Check the control processes and the network."},
    {"not_ready", "The edge has no configuration yet. Ask another entry host."},
    {"deadline_exceeded", "The caller's deadline passed. The outcome field says whether the request may have run."},
    {"retry_budget_exhausted", "Too many requests fail at present, so that the edge adds no retries."},
    {"claim_quorum_unavailable", "Two of the three ledger replicas of the key are unreachable or still copying."},
    {"claim_conflict", "The same key is being sent through several edges. Send it again after the hint."},
    {"quarantined", "The request ended two targets and is refused for 10 minutes. Look for its fault."},
    {"target_connect_failed", "The target refused the connection. The request was not run."},
    {"target_connection_lost", "The connection to the target was lost. The request may have run."},
    {"target_shed", "The target refused the request before running it."},
    {"target_error", "The target answered with an error."},
    {"answer_truncated", "The target's answer ended early and was not passed on. The request may have run."},
    {"answer_too_large", "The target's answer exceeds max_answer_bytes of the record."},
    {"request_too_large", "The body exceeds max_request_bytes of the record."},
    {"request_incomplete", "A part of the request did not arrive within 10 s. It was not run."},
    // Faults of records
    {"syntax", "The record is not YAML."},
    {"too_large", "The record's text, or a list in it, exceeds its bound."},
    {"unsupported_schema_version", "The record's schema_version is neither 1 nor 2."},
    {"missing", "A required key is absent."},
    {"unknown_key", "The schema version has no such key."},
    {"duplicate", "A key, service, region, link or client block is given twice."},
    {"wrong_type", "The value is of another type, or a number has a unit."},
    {"out_of_range", "The number is below or above its bounds."},
    {"invalid_name", "Names have 1 to 64 lower-case letters, digits, '-', '_' and '.'."},
    {"invalid_prefix", "A client block is an IP prefix without bits behind its length, such as 203.0.113.0/24."},
    {"unknown_region", "A service, link or client block names a region that has no region limit in the record."},
    {"self_link", "A link leads from a region to itself."},
    {"not_positive", "Limits are above zero."},
    {"below_floor", "The limit is so low that the standing floor of one entry host (20% of the limit, divided by 7) "
                    "cannot carry one request per second."},
};

exit_code explain(const options& given, const std::string& error) {
    for (const explanation& entry : explanations) {
        if (error == entry.error) {
            print(given, {{"error", entry.error}, {"explanation", entry.text}});
            return exit_code::done;
        }
    }
    throw usage_error("unknown error type '" + error + "'");
}

// Calls use(line) for each line of a file, of every file of a folder, or of standard input.
template <typename Use>
void for_each_line(const std::string& path, Use use) {
    std::string line;
    if (path == "-") {
        while (std::getline(std::cin, line)) {
            use(line);
        }
        return;
    }
    std::vector<std::filesystem::path> files;
    if (std::filesystem::is_directory(path)) {
        for (const auto& entry : std::filesystem::directory_iterator(path)) {
            if (entry.is_regular_file()) {
                files.push_back(entry.path());
            }
        }
    } else {
        files.emplace_back(path);
    }
    for (const auto& file : files) {
        std::ifstream in(file);
        if (!in) {
            throw usage_error("cannot read " + file.string());
        }
        while (std::getline(in, line)) {
            use(line);
        }
    }
}

exit_code explain_request(const options& given, const std::string& id) {
    event_trace trace(id);
    for_each_line(given.logs, [&](const std::string& line) { trace.add(line); });
    if (!trace.found()) {
        std::cerr << "persimmonctl: no event names request " << id << " (" << trace.lines() << " lines, "
                  << trace.events_read() << " events). Of successes, one in 64 is logged.\n";
        return exit_code::refused;
    }
    json events = json::array();
    for (const traced_event& shown : trace.events()) {
        events.push_back({{"relation", shown.relation}, {"line", shown.event.line}});
        if (!given.as_json) {
            std::cout << shown.relation << "\t" << shown.event.line << "\n";
        }
    }
    if (given.as_json) {
        std::cout << json({{"events", events}, {"reading", trace.reading()}}).dump() << std::endl;
    } else {
        std::cout << trace.reading() << std::flush;
    }
    return exit_code::done;
}

// ---- Entry point ----

exit_code run_with_argument(const options& given, control_caller& caller, const std::string& command,
                            const std::string& argument) {
    if (command == "submit" || command == "amend") {
        return submit(given, caller, argument);
    }
    if (command == "withdraw") {
        return withdraw(given, caller, argument);
    }
    if (command == "get") {
        return read(given, caller, "/v1/records/" + path_part(argument));
    }
    if (command == "drain") {
        return drain(given, caller, argument);
    }
    if (command == "undrain") {
        return undrain(given, caller, argument);
    }
    throw usage_error("unknown command, or an argument too many: " + command + "\n" + usage_text);
}

exit_code run(const options& given) {
    if (given.words.empty() || given.words.size() > 2) {
        throw usage_error(usage_text);
    }
    const std::string& command = given.words[0];
    if (command == "explain" && given.words.size() == 2) {
        return given.logs.empty() ? explain(given, given.words[1]) : explain_request(given, given.words[1]);
    }
    if (given.control.empty()) {
        throw usage_error("--control is required");
    }
    control_caller caller(given.control, given.timeout);
    if (given.words.size() == 2) {
        return run_with_argument(given, caller, command, given.words[1]);
    }
    if (command == "list") {
        return read(given, caller, "/v1/records");
    }
    if (command == "status") {
        return read(given, caller, "/v1/status");
    }
    if (command == "watch") {
        return watch(given, caller);
    }
    throw usage_error("unknown command, or an argument is missing: " + command + "\n" + usage_text);
}

options read_options(const po::variables_map& values) {
    options given;
    if (values.contains("control")) {
        for (const std::string& address : values["control"].as<std::vector<std::string>>()) {
            given.control.push_back(ip_address::parse(address));
        }
    }
    std::string output = values["output"].as<std::string>();
    if (output != "text" && output != "json") {
        throw usage_error("--output is text or json");
    }
    given.as_json = output == "json";
    given.wait = values.contains("wait");
    given.timeout = ms(values["timeout-ms"].as<std::uint32_t>());
    given.version = values["version-number"].as<std::uint64_t>();
    given.after = values["after"].as<std::uint64_t>();
    given.logs = values["logs"].as<std::string>();
    given.submission_id =
        values.contains("submission-id") ? values["submission-id"].as<std::string>() : make_submission_id();
    given.words = words(values);
    return given;
}

}  // namespace

int main(int argc, char** argv) {
    program_definition program{.name = "persimmonctl",
                               .usage = usage_text,
                               .takes_words = true,
                               .failure_code = static_cast<int>(exit_code::unavailable)};
    auto add = program.options.add_options();
    add("control", po::value<std::vector<std::string>>(), "operator address of a control process; repeatable");
    add("output", po::value<std::string>()->default_value("text"), "text or json");
    add("wait", "return when the change is in force on every edge");
    add("timeout-ms", po::value<std::uint32_t>()->default_value(10000), "time for the whole call, --wait included");
    add("version-number", po::value<std::uint64_t>()->default_value(0), "withdraw: only this version of the record");
    add("after", po::value<std::uint64_t>()->default_value(0), "watch: changes after this revision");
    add("logs", po::value<std::string>()->default_value(""), "explain: event logs of all processes");
    add("submission-id", po::value<std::string>(), "id of an earlier call whose outcome is unknown; default: random");
    program.prepare = [](const auto& values) {
        options given = read_options(values);
        return [given] { return static_cast<int>(run(given)); };
    };
    return run_program(argc, argv, program);
}
