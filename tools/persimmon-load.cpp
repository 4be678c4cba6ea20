// persimmon-load: open-loop load on the entry hosts, with a report and a check against the targets' journals.

#include <fstream>
#include <iostream>

#include "persimmongrade/command_line.h"
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
    std::string output = values["output"].as<std::string>();
    if (output != "text" && output != "json") {
        throw load_options_error("--output must be text or json");
    }
    return result;
}

int run(const options::variables_map& values, const load_options& given) {
    event_loop loop;
    load_generator generator(loop, given);
    load_observations observed = generator.run();
    std::vector<violation> violations;
    if (values.contains("journal")) {
        auto runs = read_journals(values["journal"].as<std::vector<std::string>>());
        violations = check_outcomes(observed.records, runs);
    }
    load_summary summary = summarize(observed.records, observed.samples, observed.drains, observed.duration_s);
    bool json = values["output"].as<std::string>() == "json";
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
                                        "Exit codes: 0 no violation, 1 a violation or a failure, 2 bad usage"};
    describe(program.options);
    program.prepare = [](const options::variables_map& values) {
        load_options given = read_options(values);
        return [values, given] { return run(values, given); };
    };
    return run_program(argc, argv, program);
}
