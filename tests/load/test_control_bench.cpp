// Guards the measurement of control processes: that it counts accepted submissions only, ends the leader and no other
// process, and takes a restarted process as caught up only when it has every change.

#include <catch2/catch.hpp>

#include "deployment.h"
#include "persimmongrade/control_bench.h"

using namespace persimmongrade;

TEST_CASE("times are summarized by median, 99% and maximum") {
    std::vector<double> times;
    for (int i = 100; i > 0; --i) {
        times.push_back(i);
    }
    CHECK(summarize_times(times) == figure_summary{100, 50.5, 99, 100});
    CHECK(summarize_times({3, 1, 2}) == figure_summary{3, 2, 3, 3});
    CHECK(summarize_times({}).count == 0);
    control_figures figures;
    figures.catch_ups.push_back({100, 12.5, 3, 4000});
    CHECK(render_text(figures) ==
          "| missed changes | caught up after ms | snapshot chunks | received bytes |\n|---|---|---|---|\n"
          "| 100 | 12.50 | 3 | 4000 |\n");
    CHECK(nlohmann::json::parse(render_json(figures))["catch_ups"][0]["snapshot_chunks"] == 3);
}

TEST_CASE("control processes are measured, ended and started again") {
    deployment system("control-bench");
    auto id = [](std::size_t process) { return "control-" + std::to_string(process + 1); };
    process_access access{
        .signal = [&](std::size_t process, int number) { system.process(id(process)).signal(number); },
        .running = [&](std::size_t process) { return system.process(id(process)).running(); },
        .start =
            [&](std::size_t process) {
                REQUIRE(system.process(id(process)).wait(std::chrono::milliseconds(5000)) != -1000);
                system.start_control(process + 1, false);
            }};
    control_bench_options options{.length = ms(300), .in_force_rounds = 2, .outage_rounds = 1};
    for (std::size_t i = 1; i <= deployment::control_count; ++i) {
        options.control.push_back(ip_address::parse(system.address("control", i, 8100)));
    }
    control_bench bench(system.loop, options, access);
    // Every submission is a version of a record of its client. The leader's own changes add revisions, but no versions.
    auto submissions = [&] {
        std::string leader = system.status().value("leader", "0");
        auto address = system.address("control", static_cast<std::size_t>(leader.back() - '0'), 8100);
        std::uint64_t versions = 0;
        auto answer = nlohmann::json::parse(system.call(address, "GET", "/v1/records").response.body);
        for (const auto& record : answer["records"]) {
            bool measured = record["name"].get<std::string>().starts_with("measure-");
            versions += measured ? record["version"].get<std::uint64_t>() : 0;
        }
        return versions;
    };

    CHECK(bench.count_edges() == deployment::edge_count);
    submission_figures submitted = bench.measure_submissions(4);
    CHECK(submitted.latency_ms.count >= 4);
    CHECK(submissions() == submitted.latency_ms.count);
    CHECK(bench.measure_in_force().count == 2);

    // A follower waits at least for the election timeout of 400 ms since the last heartbeat, which is sent every 50 ms.
    outage_figures killed = bench.measure_outages(outage_cause::kill);
    CHECK(killed.until_successor_ms.median > 300);
    CHECK(killed.longest_gap_ms.median > 300);
    std::string leader = system.status().value("leader", "");
    CHECK(bench.measure_outages(outage_cause::planned_stop).until_successor_ms.count == 1);
    CHECK(system.status().value("leader", "") != leader);

    std::uint64_t before = submissions();
    catch_up_figures by_log = bench.measure_catch_up(30);
    CHECK(submissions() == before + 30);
    CHECK(by_log.snapshot_chunks == 0);
    CHECK(by_log.received_bytes > 30 * 100);  // it missed them all: a process that stops must not count as stopped yet
    catch_up_figures by_snapshot = bench.measure_catch_up(2500);  // snapshot_entries is 1000
    CHECK(by_snapshot.snapshot_chunks > 0);
    CHECK(by_snapshot.received_bytes > by_log.received_bytes);
}

TEST_CASE("a measurement without a control process is refused") {
    event_loop loop;
    CHECK_THROWS_AS(control_bench(loop, {}, {}), control_bench_error);
}
