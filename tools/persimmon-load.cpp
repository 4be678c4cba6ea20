// persimmon-load: open-loop load on the entry hosts, with a report and a check against the targets' journals;
// `persimmon-load bench`, which measures requests per second and latency of single paths; and `persimmon-load control`,
// which measures the control processes.

#include <signal.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "persimmongrade/command_line.h"
#include "persimmongrade/control_bench.h"
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
    add("duration-s", options::value<std::uint32_t>()->default_value(10),
        "length of the run, or of one measurement, in seconds");
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
    add("rounds", options::value<std::uint32_t>()->default_value(1),
        "bench: each runs every case for duration-s; control: ends of the leader of each kind");
    add("header", options::value<std::vector<std::string>>(), "bench: 'name: value' of each request; repeatable");
    add("pid-file", options::value<std::vector<std::string>>(),
        "control: file with the process id of each --control, in their order; for ends of processes. While FILE.hold, "
        "with this suffix in place of the file's own, exists, an ended process must not be started again");
    add("missed", options::value<std::vector<std::uint32_t>>(),
        "control: changes that a stopped process misses; repeatable; needs --pid-file");
    add("clients", options::value<std::vector<std::uint32_t>>(),
        "control: clients that submit at the same time; repeatable; default: 1, 8 and 32");
    add("sync-directory", options::value<std::string>(), "control: also measure a sync in this directory");
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

struct control_run {
    control_bench_options bench;
    std::vector<std::string> pid_files;  // empty: no process is ended
    std::vector<std::uint32_t> clients = {1, 8, 32};
    std::vector<std::uint32_t> missed;
    std::string sync_directory;  // empty: not measured
};

control_run read_control_options(const options::variables_map& values) {
    control_run result;
    result.bench.control = parse_addresses(values, "control");
    result.bench.length = ms(values["duration-s"].as<std::uint32_t>() * std::int64_t{1000});
    result.bench.outage_rounds = values["rounds"].as<std::uint32_t>();
    if (values.contains("pid-file")) {
        result.pid_files = values["pid-file"].as<std::vector<std::string>>();
    }
    if (values.contains("clients")) {
        result.clients = values["clients"].as<std::vector<std::uint32_t>>();
    }
    if (values.contains("missed")) {
        result.missed = values["missed"].as<std::vector<std::uint32_t>>();
    }
    if (values.contains("sync-directory")) {
        result.sync_directory = values["sync-directory"].as<std::string>();
    }
    bool each_has_file = result.pid_files.empty() || result.pid_files.size() == result.bench.control.size();
    bool no_clients = std::find(result.clients.begin(), result.clients.end(), 0U) != result.clients.end();
    if (result.bench.control.empty() || !each_has_file || (result.pid_files.empty() && !result.missed.empty()) ||
        no_clients) {
        throw usage_error("control needs --control, one --pid-file for each or none, --pid-file for --missed, and "
                          "--clients above 0");
    }
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

// Ends processes by their ids and lets the supervisor that wrote the files start them again.
class supervised_processes {
public:
    explicit supervised_processes(std::vector<std::string> files) : files(std::move(files)) {}

    void signal(std::size_t process, int number) {
        this->ended = this->read_id(process);
        std::ofstream(this->hold_file(process)) << "\n";
        if (::kill(this->ended, number) != 0) {
            throw control_bench_error(this->files.at(process) + ": there is no process " + std::to_string(this->ended));
        }
    }

    // Whether the process that was ended last still runs.
    bool running() const { return ::kill(this->ended, 0) == 0; }

    // Returns when the file names another process.
    void start(event_loop& loop, std::size_t process) const {
        std::filesystem::remove(this->hold_file(process));
        time_point until = loop.now() + start_limit;
        while (this->read_id(process) == this->ended) {
            if (loop.now() >= until) {
                throw control_bench_error(this->files.at(process) + ": the process was not started again");
            }
            loop.run_for(ms(1));
        }
    }

private:
    static constexpr duration start_limit = ms(20000);

    std::string hold_file(std::size_t process) const {
        return std::filesystem::path(this->files.at(process)).replace_extension(".hold").string();
    }

    pid_t read_id(std::size_t process) const {
        pid_t id = 0;
        if (!(std::ifstream(this->files.at(process)) >> id) || id <= 0) {
            throw control_bench_error(this->files.at(process) + ": holds no process id");
        }
        return id;
    }

    std::vector<std::string> files;
    pid_t ended = 0;
};

int measure_control(const control_run& given, bool json) {
    event_loop loop;
    supervised_processes processes(given.pid_files);
    control_bench measured(loop, given.bench,
                           {.signal = [&](std::size_t process, int number) { processes.signal(process, number); },
                            .running = [&](std::size_t) { return processes.running(); },
                            .start = [&](std::size_t process) { processes.start(loop, process); }});
    control_figures figures;
    if (!given.sync_directory.empty()) {
        figures.sync_ms = measure_sync(given.sync_directory);
    }
    for (std::uint32_t clients : given.clients) {
        figures.submissions.push_back(measured.measure_submissions(clients));
    }
    figures.edges = measured.count_edges();
    figures.in_force_ms = measured.measure_in_force();
    if (!given.pid_files.empty() && given.bench.outage_rounds > 0) {
        figures.outages.push_back(measured.measure_outages(outage_cause::planned_stop));
        figures.outages.push_back(measured.measure_outages(outage_cause::kill));
    }
    for (std::uint32_t changes : given.missed) {
        figures.catch_ups.push_back(measured.measure_catch_up(changes));
    }
    std::cout << (json ? render_json(figures) : render_text(figures));
    return exit_success;
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
                                        "persimmon-load control: submissions, outages and catch-up of control\n"
                                        "Exit codes: 0 no violation, 1 a violation or a failure, 2 bad usage",
                               .takes_words = true};
    describe(program.options);
    program.prepare = [](const options::variables_map& values) -> program_definition::runner {
        bool json = wants_json(values);
        if (words(values) == std::vector<std::string>{"bench"}) {
            return [given = read_bench_options(values), json] { return bench(given, json); };
        }
        if (words(values) == std::vector<std::string>{"control"}) {
            return [given = read_control_options(values), json] { return measure_control(given, json); };
        }
        if (!words(values).empty()) {
            throw usage_error("unknown command '" + words(values).front() + "'");
        }
        return [values, given = read_options(values), json] { return run(values, given, json); };
    };
    return run_program(argc, argv, program);
}
