// persimmon-load: open-loop load on the entry hosts, with a report and a check against the targets' journals; and
// `persimmon-load bench`, which measures requests per second and latency of single paths.

#include <algorithm>
#include <fstream>
#include <iostream>

#include "persimmongrade/command_line.h"
#include "persimmongrade/http_bench.h"
#include "persimmongrade/load_generator.h"
#include "persimmongrade/load_report.h"

namespace options = boost::program_options;
using namespace persimmongrade;

namespace {

constexpr int exit_violation = 1;

void describe(options::options_description& description) {
    auto add = description.add_options();
    add("edge", options::value<std::vector<std::string>>(), "HTTP address of an entry host; repeatable");
    add("control", options::value<std::vector<std::string>>(), "HTTP address of a control process; repeatable");
    add("stream", options::value<std::vector<std::string>>(),
        "service:rate:lookup|booking[:request_bytes:answer_bytes]; repeatable");
    add("client", options::value<std::vector<std::string>>(), "caller address given to lookups; repeatable");
    add("duration-s", options::value<std::uint32_t>()->default_value(10), "length of the run in seconds");
    add("deadline-ms", options::value<std::uint32_t>()->default_value(2000), "deadline of each request");
    add("retries", options::value<std::uint32_t>()->default_value(2), "resends through other edges");
    add("resend-share", options::value<double>()->default_value(0), "share of bookings sent twice, 0 to 1");
    add("cancel-share", options::value<double>()->default_value(0), "share of requests given up early, 0 to 1");
    add("seed", options::value<std::uint64_t>()->default_value(1), "seed of arrivals and choices");
    add("journal", options::value<std::vector<std::string>>(), "journal file of a target; repeatable");
    add("output", options::value<std::string>()->default_value("text"), "text or json");
    add("html", options::value<std::string>(), "also write an HTML report to this file");
    add("quiet", "no progress lines");
    add("case", options::value<std::vector<std::string>>(), "bench: name=IP:port/path; repeatable");
    add("connections", options::value<std::uint32_t>()->default_value(1), "bench: connections of each case");
    add("rate", options::value<double>()->default_value(0), "bench: requests per second; 0: keep connections busy");
    add("rounds", options::value<std::uint32_t>()->default_value(1), "bench: each runs every case for duration-s");
    add("header", options::value<std::vector<std::string>>(), "bench: 'name: value' of each request; repeatable");
    add("reference", options::value<std::string>()->default_value(""), "bench: case of the ratios; default: the last");
}

std::vector<ip_address> parse_addresses(const options::variables_map& values, const std::string& name) {
    std::vector<ip_address> addresses;
    if (values.contains(name)) {
        for (const std::string& text : values[name].as<std::vector<std::string>>()) {
            addresses.push_back(ip_address::parse(text));
        }
    }
    return addresses;
}

double parse_share(const options::variables_map& values, const std::string& name) {
    double share = values[name].as<double>();
    if (share < 0 || share > 1) {
        throw load_options_error("--" + name + " must be between 0 and 1");
    }
    return share;
}

load_options read_options(const options::variables_map& values) {
    load_options result;
    result.edges = parse_addresses(values, "edge");
    result.control = parse_addresses(values, "control");
    if (result.edges.empty() || !values.contains("stream")) {
        throw load_options_error("--edge and --stream are required");
    }
    for (const std::string& text : values["stream"].as<std::vector<std::string>>()) {
        result.streams.push_back(load_stream::parse(text));
    }
    if (values.contains("client")) {
        result.client_ips = values["client"].as<std::vector<std::string>>();
    }
    result.length = ms(values["duration-s"].as<std::uint32_t>() * std::int64_t{1000});
    result.deadline = ms(values["deadline-ms"].as<std::uint32_t>());
    result.retries = values["retries"].as<std::uint32_t>();
    result.resend_share = parse_share(values, "resend-share");
    result.cancel_share = parse_share(values, "cancel-share");
    result.seed = values["seed"].as<std::uint64_t>();
    result.progress = !values.contains("quiet");
    return result;
}

bench_options read_bench_options(const options::variables_map& values) {
    if (!values.contains("case")) {
        throw usage_error("bench needs --case");
    }
    bench_options result;
    for (const std::string& text : values["case"].as<std::vector<std::string>>()) {
        result.cases.push_back(bench_case::parse(text));
    }
    if (values.contains("header")) {
        result.headers = values["header"].as<std::vector<std::string>>();
    }
    result.connections = values["connections"].as<std::uint32_t>();
    result.rate = values["rate"].as<double>();
    result.length = ms(values["duration-s"].as<std::uint32_t>() * std::int64_t{1000});
    result.rounds = values["rounds"].as<std::uint32_t>();
    result.reference = values["reference"].as<std::string>();
    return result;
}

bool wants_json(const options::variables_map& values) {
    std::string output = values["output"].as<std::string>();
    if (output != "text" && output != "json") {
        throw usage_error("--output must be text or json");
    }
    return output == "json";
}

// Fails when a request was not answered with 200: the figures would be those of refusals.
int bench(const bench_options& given, bool json) {
    std::vector<bench_result> results = run_bench(given);
    std::cout << (json ? render_json(results) : render_text(results));
    bool clean = std::all_of(results.begin(), results.end(),
                             [](const bench_result& one) { return one.errors == 0 && one.requests > 0; });
    return clean ? exit_success : exit_failure;
}

int run(const options::variables_map& values, const load_options& given, bool json) {
    event_loop loop;
    load_generator generator(loop, given);
    load_observations observed = generator.run();
    std::vector<violation> violations;
    if (values.contains("journal")) {
        auto runs = read_journals(values["journal"].as<std::vector<std::string>>());
        violations = check_outcomes(observed.records, runs);
    }
    load_summary summary = summarize(observed.records, observed.samples, observed.drains, observed.duration_s);
    std::cout << (json ? render_json(summary, violations) : render_text(summary, violations));
    if (values.contains("html")) {
        std::ofstream(values["html"].as<std::string>()) << render_html(summary, violations);
    }
    return violations.empty() ? exit_success : exit_violation;
}

}  // namespace

int main(int argc, char** argv) {
    program_definition program{.name = "persimmon-load",
                               .usage = "persimmon-load: open-loop load on the entry hosts\n"
                                        "persimmon-load bench: requests per second and latency of single paths\n"
                                        "Exit codes: 0 no violation, 1 a violation or a failure, 2 bad usage",
                               .takes_words = true};
    describe(program.options);
    program.prepare = [](const options::variables_map& values) -> program_definition::runner {
        bool json = wants_json(values);
        if (words(values) == std::vector<std::string>{"bench"}) {
            return [given = read_bench_options(values), json] { return bench(given, json); };
        }
        if (!words(values).empty()) {
            throw usage_error("unknown command '" + words(values).front() + "'");
        }
        return [values, given = read_options(values), json] { return run(values, given, json); };
    };
    return run_program(argc, argv, program);
}
