// Guards R1 and R2 end to end: what a failed region loses moves within the cap, and the rest is refused and not sent.

#include <catch2/catch.hpp>

#include <cmath>
#include <set>

#include "deployment.h"

using namespace persimmongrade;

namespace {

constexpr double cap = 0.2;
constexpr duration interval = ms(2000);
constexpr double deviations = 4;  // of a Poisson count; a bucket exceeds it by chance once in 30,000

// Requests that targets outside north ran, by `interval` since the start of the run.
std::vector<double> moved_runs(const deployment& system, const std::string& service, std::int64_t started_at,
                               std::size_t buckets) {
    std::vector<double> result(buckets, 0);
    for (std::size_t i = 1; i <= deployment::targets_per_service; ++i) {
        std::string id = service + "-" + std::to_string(i);
        for (std::int64_t at : run_times(system.journal(id))) {
            std::int64_t bucket = (at - started_at) / interval.count();
            if (deployment::region(i) != "north" && at >= started_at && bucket < std::int64_t(buckets)) {
                result[static_cast<std::size_t>(bucket)] += 1;
            }
        }
    }
    return result;
}

}  // namespace

// Fails when the cap is ignored: all of the traffic moves within one interval.
TEST_CASE("a region that loses its targets sheds at most the cap per interval, and the rest is refused truthfully",
          "[known-red]") {
    // Every caller counts as one of north, whichever edge it uses, so that each run outside north has moved.
    deployment system("shift", {.shift = "{max_permille: 200, interval_ms: 2000}",
                                .client_blocks = "[{prefix: 127.0.0.0/8, region: north}]"});
    constexpr duration lost_at = ms(4000);
    constexpr duration length = ms(22000);
    for (const char* id : {"look-1", "look-4", "book-1", "book-4"}) {
        system.loop.after(lost_at, [&system, id] { system.process(id).kill_now(); });
    }
    auto options = system.options(length);
    options.streams = {load_stream::parse("look:300:lookup:0:512"), load_stream::parse("book:100:booking:64:512")};
    options.retries = 0;  // each send is one draw of the assignment
    options.resend_share = 0;
    std::int64_t started_at = unix_time_ms();
    auto observed = system.run_load(options);
    auto violations = system.check(observed);
    INFO(render_text(summarize(observed.records, {}, {}, observed.duration_s), violations));
    CHECK(violations.empty());

    auto buckets = static_cast<std::size_t>(length.count() / interval.count());
    for (const load_stream& stream : options.streams) {
        double offered = stream.requests_per_second * double(interval.count()) / 1000;
        auto moved = moved_runs(system, stream.service, started_at, buckets);
        for (std::size_t i = 0; i < buckets; ++i) {
            INFO(stream.service << " in interval " << i << ": " << moved[i] << " of about " << offered);
            CHECK(moved[i] >= 0);  // prints the series on a failure
            // Cached lookup answers: over an interval and a lifetime of 5 s in all the cap still counts once. Half of
            // the two buckets at the ends is outside of it.
            for (std::size_t k = i + 1; k < std::min(i + 3, buckets); ++k) {
                double chance = deviations * std::sqrt(moved[i] + moved[k]);
                CHECK(moved[k] - moved[i] <= cap * offered + chance);
            }
        }
        // Target lease 3 s, measurement window 1 s, then at the latest one interval and lifetime of 7 s until a step.
        CHECK(moved.back() >= cap * offered - deviations * std::sqrt(cap * offered));
    }
    for (const call_record& record : observed.records) {
        bool settled = record.intended_at_ms > (lost_at + ms(4000)).count();
        if (settled && record.outcome != call_outcome::ok) {
            INFO(record.service << " at " << record.intended_at_ms << " ms: " << record.error);
            REQUIRE(record.outcome == call_outcome::not_run);
        }
    }
}

// Guards against callers that are refused because nobody assigns their region: east has no edge and no latency setting.
TEST_CASE("the leader assigns a new service to every caller region within 500 ms") {
    deployment system("first");
    std::ostringstream record;
    record << "schema_version: 2\nname: other\nversion: 1\nservices:\n"
           << "  - {name: late, idempotent: true, regions: [north, south], slots_per_target: 8, "
           << "connections_per_target: 100}\nregions:\n";
    for (const char* region : {"north", "south", "east"}) {
        record << "  - {region: " << region << ", max_requests_per_second: 1000}\n";
    }
    record << "links:\n";
    for (const char* region : {"north", "south"}) {
        record << "  - {from: east, to: " << region << ", max_mbit_per_second: 4000}\n"
               << "  - {from: " << region << ", to: east, max_mbit_per_second: 4000}\n";
    }
    record << "client_blocks:\n  - {prefix: 10.0.0.0/8, region: east}\n";
    system.operate("POST", "/v1/records", record.str());
    time_point accepted_at = system.loop.now();
    const std::set<std::string> wanted{"central", "east", "north", "south"};
    std::set<std::string> callers;
    duration taken{};
    while (callers != wanted && taken <= ms(2000)) {
        auto status = system.status();
        taken = system.loop.now() - accepted_at;
        for (const auto& assignment : status.value("assignments", nlohmann::json::array())) {
            if (assignment["service"] == "late") {
                callers.insert(assignment["caller_region"].get<std::string>());
            }
        }
    }
    CHECK(callers == wanted);
    CHECK(taken <= ms(500));
}
