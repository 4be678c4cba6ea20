// Measures the control processes of a deployment: acceptance of submissions, time to in force, time without a leader,
// and the catch-up of a restarted process.
//
//     control_bench bench(loop, {.control = {...}}, {.signal = ..., .start = ...});
//     control_figures figures;
//     figures.submissions.push_back(bench.measure_submissions(8));
//     figures.outages.push_back(bench.measure_outages(outage_cause::planned_stop));
//     std::cout << render_text(figures);
//
// Each submission adds a version to a record of its client, so the deployment should be one that is made for measuring.

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "persimmongrade/address.h"
#include "persimmongrade/error.h"
#include "persimmongrade/event_loop.h"

namespace persimmongrade {

// A process did not answer, did not catch up or refused a submission, so that there is no figure.
class control_bench_error : public error {
public:
    using error::error;
};

struct control_bench_options {
    std::vector<ip_address> control;  // HTTP addresses of all control processes
    duration length = ms(5000);       // of one measurement of submissions
    std::uint32_t in_force_rounds = 30;
    std::uint32_t outage_rounds = 10;
};

// How the control processes are ended and started again. `process` is an index into control_bench_options::control.
struct process_access {
    std::function<void(std::size_t process, int signal)> signal;
    std::function<bool(std::size_t process)> running;
    std::function<void(std::size_t process)> start;  // of an ended process; returns when it has been started
};

struct figure_summary {  // of times in ms
    std::size_t count = 0;
    double median = 0;
    double p99 = 0;
    double max = 0;

    auto operator<=>(const figure_summary&) const = default;
};

figure_summary summarize_times(std::vector<double> times_ms);

struct submission_figures {
    std::uint32_t clients = 0;
    double per_second = 0;
    figure_summary latency_ms;  // from sending a submission until its acceptance is received
};

enum class outage_cause : std::uint8_t { planned_stop, kill };  // SIGTERM, SIGKILL

struct outage_figures {
    outage_cause cause = outage_cause::kill;
    figure_summary until_successor_ms;  // from the signal until another process has accepted a submission
    figure_summary longest_gap_ms;      // the longest time between two accepted submissions around the signal
};

struct catch_up_figures {
    std::uint32_t missed_changes = 0;
    double caught_up_ms = 0;            // from the start of the process until it has applied the leader's revision
    std::uint64_t snapshot_chunks = 0;  // received; 0: by log
    std::uint64_t received_bytes = 0;   // from all peers, until it had caught up
};

struct control_figures {
    figure_summary sync_ms;  // write and sync of 512 bytes; count 0 when not measured
    std::vector<submission_figures> submissions;
    figure_summary in_force_ms;  // from sending a submission until it is in force on all edges
    std::size_t edges = 0;
    std::vector<outage_figures> outages;
    std::vector<catch_up_figures> catch_ups;
};

class control_bench {
public:
    control_bench(event_loop& loop, control_bench_options options, process_access processes);
    ~control_bench();
    control_bench(const control_bench&) = delete;
    control_bench& operator=(const control_bench&) = delete;

    // All throw control_bench_error.
    submission_figures measure_submissions(std::uint32_t clients);  // each client has one submission outstanding
    figure_summary measure_in_force();
    std::size_t count_edges();
    outage_figures measure_outages(outage_cause cause);
    catch_up_figures measure_catch_up(std::uint32_t missed_changes);  // of a process that does not lead

private:
    struct impl;
    std::unique_ptr<impl> state;
};

// Time of a write of 512 bytes and fdatasync, as the log does them, to a new file in `directory`.
figure_summary measure_sync(const std::string& directory);

std::string render_text(const control_figures& figures);
std::string render_json(const control_figures& figures);

}  // namespace persimmongrade
