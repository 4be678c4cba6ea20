// Contents: sync; one control process; submissions; in force; outages; catch-up; output.

#include "persimmongrade/control_bench.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

#include "persimmongrade/http_client.h"
#include "quantile.h"

namespace persimmongrade {

namespace {

using precise_clock = std::chrono::steady_clock;  // latencies are below one tick of steady_clock_ms
using precise_time = precise_clock::time_point;

constexpr std::size_t sync_rounds = 300;
constexpr std::size_t sync_bytes = 512;
constexpr duration answer_limit = ms(10000);  // a control process answers a submission within 5 s
constexpr duration leader_limit = ms(20000);  // without a leader for this long, a measurement has failed
constexpr duration catch_up_limit = ms(60000);
constexpr duration retry_pause = ms(20);
constexpr duration poll_period = ms(2);     // of a value that is waited for
constexpr duration probe_period = ms(5);    // of submissions around the end of a leader
constexpr duration probe_lead = ms(500);    // probes before the signal
constexpr duration probe_trail = ms(500);   // probes after the first acceptance by a successor
constexpr duration settle_time = ms(2000);  // after a restart; longer than the longest lease and two publications
constexpr std::uint32_t fill_clients = 32;  // of the changes that a stopped process misses

double ms_since(precise_time begin) {
    return std::chrono::duration<double, std::milli>(precise_clock::now() - begin).count();
}

std::string record_text(const std::string& name, std::uint64_t version) {
    return "schema_version: 2\nname: " + name + "\nversion: " + std::to_string(version) +
           "\nservices: []\nregions:\n  - {region: measure, max_requests_per_second: " +
           std::to_string(1000 + version % 1000) + "}\n";
}

// The sum of a counter or gauge over all labels that contain `label`.
double metric(const std::string& text, const std::string& name, const std::string& label = "") {
    std::istringstream lines(text);
    double sum = 0;
    for (std::string line; std::getline(lines, line);) {
        bool same = line.starts_with(name + " ") || line.starts_with(name + "{");
        if (same && line.find(label) != std::string::npos) {
            sum += std::stod(line.substr(line.rfind(' ') + 1));
        }
    }
    return sum;
}

}  // namespace

figure_summary summarize_times(std::vector<double> times_ms) {
    figure_summary summary;
    summary.count = times_ms.size();
    if (times_ms.empty()) {
        return summary;
    }
    std::sort(times_ms.begin(), times_ms.end());
    std::size_t middle = times_ms.size() / 2;
    bool odd = times_ms.size() % 2 == 1;
    summary.median = odd ? times_ms[middle] : (times_ms[middle - 1] + times_ms[middle]) / 2;
    summary.p99 = quantile(times_ms, 0.99);
    summary.max = times_ms.back();
    return summary;
}

// ---- Sync ----

figure_summary measure_sync(const std::string& directory) {
    std::string path = directory + "/sync-" + std::to_string(getpid());
    int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
    if (file < 0) {
        throw control_bench_error(path + ": " + std::strerror(errno));
    }
    std::array<char, sync_bytes> block{};
    std::vector<double> times;
    bool done = true;
    while (done && times.size() < sync_rounds) {
        precise_time begin = precise_clock::now();
        done =
            ::write(file, block.data(), block.size()) == static_cast<ssize_t>(block.size()) && ::fdatasync(file) == 0;
        times.push_back(ms_since(begin));
    }
    int code = errno;
    ::close(file);
    ::unlink(path.c_str());
    if (!done) {
        throw control_bench_error(path + ": " + std::strerror(code));
    }
    return summarize_times(std::move(times));
}

struct control_bench::impl {
    event_loop& loop;
    control_bench_options options;
    process_access processes;
    http_client client;
    std::string run_id = std::to_string(unix_time_ms());  // makes record names and submission ids new
    std::uint64_t next_submission = 0;
    std::uint64_t next_record = 0;

    impl(event_loop& loop, control_bench_options options, process_access processes)
        : loop(loop), options(std::move(options)), processes(std::move(processes)), client(loop) {
        if (this->options.control.empty()) {
            throw control_bench_error("no address of a control process is given");
        }
    }

    // ---- One control process ----

    // The body of an answer with status 200; nothing otherwise.
    std::optional<std::string> get(std::size_t process, const std::string& target) {
        http_call call;
        call.address = this->options.control[process];
        call.target = target;
        call.reuse_connection = false;
        std::optional<std::string> body;
        bool done = false;
        call_id id = this->client.send(std::move(call), [&](const http_call_result& result) {
            done = true;
            if (result.status == http_call_status::ok && result.response.status == 200) {
                body = result.response.body;
            }
            this->loop.stop();
        });
        this->loop.run_for(answer_limit);
        if (!done) {
            this->client.cancel(id);
        }
        return body;
    }

    // Only the leader answers a request for the status.
    std::size_t find_leader() {
        time_point until = this->loop.now() + leader_limit;
        while (this->loop.now() < until) {
            for (std::size_t i = 0; i < this->options.control.size(); ++i) {
                if (this->get(i, "/v1/status")) {
                    return i;
                }
            }
            this->loop.run_for(retry_pause);
        }
        throw control_bench_error("no control process leads");
    }

    std::uint64_t revision_of(std::size_t process) {
        auto text = this->get(process, "/metrics");
        return text ? static_cast<std::uint64_t>(metric(*text, "persimmongrade_revision")) : 0;
    }

    void wait_for_revision(std::size_t process, std::uint64_t revision) {
        time_point until = this->loop.now() + catch_up_limit;
        while (this->revision_of(process) < revision) {
            if (this->loop.now() >= until) {
                throw control_bench_error(this->options.control[process].to_string() + " has not caught up");
            }
            this->loop.run_for(poll_period);
        }
    }

    std::string new_record() { return "measure-" + this->run_id + "-" + std::to_string(++this->next_record); }

    http_call submission(std::size_t process, const std::string& record, std::uint64_t version) {
        http_call call;
        call.address = this->options.control[process];
        call.method = "POST";
        call.target = "/v1/records";
        call.headers = {{"submission-id", this->run_id + "-" + std::to_string(++this->next_submission)}};
        call.body = record_text(record, version);
        return call;
    }

    // ---- Submissions ----

    struct closed_loop {
        std::size_t leader = 0;
        std::uint64_t most = 0;  // submissions to send; 0: until `until`
        precise_time until;
        std::uint64_t sent = 0;
        std::size_t active = 0;
        std::vector<double> times_ms;
        std::string failure;
    };

    void send_next(closed_loop& run, const std::string& record, std::uint64_t version) {
        bool more = run.most > 0 ? run.sent < run.most : precise_clock::now() < run.until;
        if (!more || !run.failure.empty()) {
            if (--run.active == 0) {
                this->loop.stop();
            }
            return;
        }
        ++run.sent;
        precise_time begin = precise_clock::now();
        this->client.send(this->submission(run.leader, record, version),
                          [this, &run, record, version, begin](const http_call_result& result) {
                              run.times_ms.push_back(ms_since(begin));
                              if (result.status != http_call_status::ok || result.response.status != 200) {
                                  run.failure = "a submission was not accepted: " + result.response.body;
                              }
                              this->send_next(run, record, version + 1);
                          });
    }

    // Returns the elapsed seconds. The leader must not change meanwhile.
    double run_closed_loop(closed_loop& run, std::uint32_t clients) {
        precise_time begin = precise_clock::now();
        run.active = clients;
        for (std::uint32_t i = 0; i < clients; ++i) {
            this->send_next(run, this->new_record(), 1);
        }
        while (run.active > 0) {
            this->loop.run_for(answer_limit);
        }
        if (!run.failure.empty()) {
            throw control_bench_error(run.failure);
        }
        return ms_since(begin) / 1000;
    }

    // ---- Outages ----

    struct probe_run {
        std::string record;
        std::uint64_t version = 0;
        std::vector<bool> outstanding;  // by process
        std::size_t leader = 0;         // the process that gets the signal
        std::optional<precise_time> signalled;
        precise_time last_accepted;
        double longest_gap_ms = 0;
        std::optional<double> until_successor_ms;
    };

    // Every process gets its own version, so that each probe is a change of its own. A version that is no longer
    // higher is answered by the leader, too, but as a conflict: those answers do not count.
    void send_probes(probe_run& run, std::vector<call_id>& calls) {
        for (std::size_t i = 0; i < this->options.control.size(); ++i) {
            if (run.outstanding[i]) {
                continue;
            }
            run.outstanding[i] = true;
            http_call call = this->submission(i, run.record, ++run.version);
            call.reuse_connection = false;
            calls[i] = this->client.send(std::move(call), [&run, i](const http_call_result& result) {
                run.outstanding[i] = false;
                if (result.status == http_call_status::ok && result.response.status == 200) {
                    note_acceptance(run, i);
                }
            });
        }
    }

    static void note_acceptance(probe_run& run, std::size_t process) {
        if (run.signalled) {
            run.longest_gap_ms = std::max(run.longest_gap_ms, ms_since(run.last_accepted));
        }
        run.last_accepted = precise_clock::now();
        if (run.signalled && process != run.leader && !run.until_successor_ms) {
            run.until_successor_ms = ms_since(*run.signalled);
        }
    }

    probe_run probe_outage(int signal) {
        probe_run run;
        run.record = this->new_record();
        run.leader = this->find_leader();
        run.outstanding.assign(this->options.control.size(), false);
        run.last_accepted = precise_clock::now();
        std::vector<call_id> calls(this->options.control.size(), 0);
        timer_id probes = this->loop.every(probe_period, [&] { this->send_probes(run, calls); });
        this->loop.run_for(probe_lead);
        run.signalled = precise_clock::now();
        this->processes.signal(run.leader, signal);
        time_point until = this->loop.now() + leader_limit;
        while (!run.until_successor_ms && this->loop.now() < until) {
            this->loop.run_for(retry_pause);
        }
        this->loop.run_for(probe_trail);
        this->loop.cancel(probes);
        for (call_id id : calls) {
            this->client.cancel(id);
        }
        if (!run.until_successor_ms) {
            throw control_bench_error("no other process has become leader");
        }
        return run;
    }

    // ---- Catch-up ----

    void restart(std::size_t process) {
        this->processes.start(process);
        this->wait_for_revision(process, this->revision_of(this->find_leader()));
        this->loop.run_for(settle_time);
    }
};

control_bench::control_bench(event_loop& loop, control_bench_options options, process_access processes)
    : state(std::make_unique<impl>(loop, std::move(options), std::move(processes))) {}

control_bench::~control_bench() = default;

submission_figures control_bench::measure_submissions(std::uint32_t clients) {
    impl::closed_loop run;
    run.leader = this->state->find_leader();
    run.until = precise_clock::now() + std::chrono::milliseconds(this->state->options.length.count());
    double seconds = this->state->run_closed_loop(run, clients);
    double rate = static_cast<double>(run.times_ms.size()) / seconds;
    return {clients, rate, summarize_times(std::move(run.times_ms))};
}

// The status is asked without a pause between two answers, so that the figure is late by one answer at most.
figure_summary control_bench::measure_in_force() {
    impl& bench = *this->state;
    std::size_t leader = bench.find_leader();
    std::string record = bench.new_record();
    std::vector<double> times;
    for (std::uint32_t round = 1; round <= bench.options.in_force_rounds; ++round) {
        bench.loop.run_for(settle_time / 4);  // the publications of the round before are over
        precise_time begin = precise_clock::now();
        std::uint64_t revision = 0;
        bench.client.send(bench.submission(leader, record, round), [&](const http_call_result& result) {
            auto answer = nlohmann::json::parse(result.response.body, nullptr, false);
            revision = answer.is_object() ? answer.value("revision", std::uint64_t{0}) : 0;
            bench.loop.stop();
        });
        bench.loop.run_for(answer_limit);
        bool in_force = false;
        while (revision > 0 && !in_force && ms_since(begin) < static_cast<double>(leader_limit.count())) {
            auto body = bench.get(leader, "/v1/status?revision=" + std::to_string(revision));
            auto status = nlohmann::json::parse(body.value_or(""), nullptr, false);
            in_force = status.is_object() && status.value("in_force", false);
        }
        if (!in_force) {
            throw control_bench_error("a submission did not come into force");
        }
        times.push_back(ms_since(begin));
    }
    return summarize_times(std::move(times));
}

std::size_t control_bench::count_edges() {
    auto body = this->state->get(this->state->find_leader(), "/v1/status");
    auto status = nlohmann::json::parse(body.value_or(""), nullptr, false);
    return status.is_object() ? status.value("edges", nlohmann::json::array()).size() : 0;
}

outage_figures control_bench::measure_outages(outage_cause cause) {
    std::vector<double> successor;
    std::vector<double> gaps;
    for (std::uint32_t round = 0; round < this->state->options.outage_rounds; ++round) {
        impl::probe_run run = this->state->probe_outage(cause == outage_cause::kill ? SIGKILL : SIGTERM);
        successor.push_back(*run.until_successor_ms);
        gaps.push_back(run.longest_gap_ms);
        this->state->restart(run.leader);
    }
    return {cause, summarize_times(std::move(successor)), summarize_times(std::move(gaps))};
}

catch_up_figures control_bench::measure_catch_up(std::uint32_t missed_changes) {
    impl& bench = *this->state;
    std::size_t leader = bench.find_leader();
    std::size_t process = (leader + 1) % bench.options.control.size();
    bench.processes.signal(process, SIGTERM);
    // Until it has ended it still receives changes, although it no longer answers HTTP requests.
    time_point until = bench.loop.now() + leader_limit;
    while (bench.processes.running(process)) {
        if (bench.loop.now() >= until) {
            throw control_bench_error(bench.options.control[process].to_string() + " has not stopped");
        }
        bench.loop.run_for(retry_pause);
    }
    if (missed_changes > 0) {
        impl::closed_loop run;
        run.leader = leader;
        run.most = missed_changes;
        bench.run_closed_loop(run, std::min(fill_clients, missed_changes));
    }
    std::uint64_t revision = bench.revision_of(leader);
    bench.processes.start(process);
    precise_time begin = precise_clock::now();
    bench.wait_for_revision(process, revision);
    catch_up_figures figures{missed_changes, ms_since(begin)};
    std::string text = bench.get(process, "/metrics").value_or("");
    figures.snapshot_chunks =
        static_cast<std::uint64_t>(metric(text, "persimmongrade_peer_received_messages_total", "\"snapshot_chunk\""));
    figures.received_bytes = static_cast<std::uint64_t>(metric(text, "persimmongrade_peer_received_bytes_total"));
    bench.loop.run_for(settle_time);
    return figures;
}

// ---- Output ----

namespace {

const char* to_string(outage_cause cause) {
    return cause == outage_cause::kill ? "kill -9" : "SIGTERM";
}

nlohmann::json to_json(const figure_summary& summary) {
    return {{"count", summary.count}, {"median", summary.median}, {"p99", summary.p99}, {"max", summary.max}};
}

std::ostream& operator<<(std::ostream& out, const figure_summary& summary) {
    return out << summary.median << " | " << summary.p99 << " | " << summary.max << " | " << summary.count << " |\n";
}

}  // namespace

std::string render_text(const control_figures& figures) {
    std::ostringstream out;
    out << std::fixed << std::setprecision(2);
    if (figures.sync_ms.count > 0) {
        out << "| ms | median | p99 | max | count |\n|---|---|---|---|---|\n| write of 512 bytes and sync | "
            << figures.sync_ms << "\n";
    }
    if (!figures.submissions.empty()) {
        out << "| clients | submissions/s | accepted after, ms: p50 | p99 | max | count |\n|---|---|---|---|---|---|\n";
        for (const submission_figures& one : figures.submissions) {
            out << "| " << one.clients << " | " << std::setprecision(0) << one.per_second << std::setprecision(2)
                << " | " << one.latency_ms;
        }
        out << "\n";
    }
    if (figures.in_force_ms.count > 0) {
        out << "| ms | median | p99 | max | count |\n|---|---|---|---|---|\n| in force on " << figures.edges
            << " edges | " << figures.in_force_ms << "\n";
    }
    if (!figures.outages.empty()) {
        out << "| end of the leader, ms | median | p99 | max | count |\n|---|---|---|---|---|\n";
        for (const outage_figures& one : figures.outages) {
            out << "| " << to_string(one.cause) << ": signal to acceptance by a successor | " << one.until_successor_ms
                << "| " << to_string(one.cause) << ": longest time between two acceptances | " << one.longest_gap_ms;
        }
        out << "\n";
    }
    if (!figures.catch_ups.empty()) {
        out << "| missed changes | caught up after ms | snapshot chunks | received bytes |\n|---|---|---|---|\n";
        for (const catch_up_figures& one : figures.catch_ups) {
            out << "| " << one.missed_changes << " | " << one.caught_up_ms << " | " << one.snapshot_chunks << " | "
                << one.received_bytes << " |\n";
        }
    }
    return out.str();
}

std::string render_json(const control_figures& figures) {
    nlohmann::json root;
    root["sync_ms"] = to_json(figures.sync_ms);
    root["submissions"] = nlohmann::json::array();
    for (const submission_figures& one : figures.submissions) {
        root["submissions"].push_back(
            {{"clients", one.clients}, {"per_second", one.per_second}, {"latency_ms", to_json(one.latency_ms)}});
    }
    root["edges"] = figures.edges;
    root["in_force_ms"] = to_json(figures.in_force_ms);
    root["outages"] = nlohmann::json::array();
    for (const outage_figures& one : figures.outages) {
        root["outages"].push_back({{"cause", to_string(one.cause)},
                                   {"until_successor_ms", to_json(one.until_successor_ms)},
                                   {"longest_gap_ms", to_json(one.longest_gap_ms)}});
    }
    root["catch_ups"] = nlohmann::json::array();
    for (const catch_up_figures& one : figures.catch_ups) {
        root["catch_ups"].push_back({{"missed_changes", one.missed_changes},
                                     {"caught_up_ms", one.caught_up_ms},
                                     {"snapshot_chunks", one.snapshot_chunks},
                                     {"received_bytes", one.received_bytes}});
    }
    return root.dump(2) + "\n";
}

}  // namespace persimmongrade
