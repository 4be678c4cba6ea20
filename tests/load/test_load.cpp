// Guards the outcome check of the load tool: a doubled run, a false refusal, a lost request and a wrong answer must be
// reported, and nothing else.

#include <catch2/catch.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "persimmongrade/http_server.h"
#include "persimmongrade/load_generator.h"
#include "persimmongrade/load_report.h"

using namespace persimmongrade;

namespace {

call_record booking(const std::string& key, call_outcome outcome) {
    call_record record;
    record.service = "crew";
    record.id = key;
    record.idempotent = false;
    record.outcome = outcome;
    record.told_ok = outcome == call_outcome::ok;
    return record;
}

std::string journal_file(const std::string& content) {
    auto path = std::filesystem::temp_directory_path() / ("persimmon-load-test-" + std::to_string(getpid()));
    std::ofstream(path, std::ios::trunc) << content;
    return path;
}

}  // namespace

TEST_CASE("a doubled run is reported") {
    auto found = check_outcomes({booking("k1", call_outcome::ok)}, {{"k1", 2}});
    CHECK(found == std::vector<violation>{{violation_kind::run_twice, "crew", "k1", 2}});
}

TEST_CASE("a false refusal is reported") {
    auto found = check_outcomes({booking("k1", call_outcome::not_run)}, {{"k1", 1}});
    CHECK(found == std::vector<violation>{{violation_kind::false_refusal, "crew", "k1", 1}});
}

TEST_CASE("a lost request is reported") {
    auto found = check_outcomes({booking("k1", call_outcome::ok)}, {});
    CHECK(found == std::vector<violation>{{violation_kind::lost, "crew", "k1", 0}});
}

TEST_CASE("an answer of another request is reported") {
    CHECK(check_outcomes({booking("k1", call_outcome::wrong)}, {{"k1", 1}}).size() == 1);
    auto differing = booking("k1", call_outcome::ok);
    differing.answers_differ = true;
    CHECK(check_outcomes({differing}, {{"k1", 1}}).size() == 1);
}

TEST_CASE("correct outcomes are not reported") {
    CHECK(check_outcomes({booking("a", call_outcome::ok), booking("b", call_outcome::not_run),
                          booking("c", call_outcome::unknown), booking("d", call_outcome::unknown)},
                         {{"a", 1}, {"c", 1}})
              .empty());
}

TEST_CASE("idempotent requests may run more than once") {
    auto lookup = booking("/item/1", call_outcome::ok);
    lookup.idempotent = true;
    CHECK(check_outcomes({lookup}, {{"/item/1", 3}}).empty());
}

TEST_CASE("journals are counted by key, and by path without a key") {
    auto runs = read_journals({journal_file("k1 POST /a 5\n- GET /b 6\nk1 POST /a 7\n")});
    CHECK(runs == std::map<std::string, std::uint32_t>{{"/b", 1}, {"k1", 2}});
    CHECK_THROWS_AS(read_journals({journal_file("k1 POST\n")}), journal_error);
    CHECK_THROWS_AS(read_journals({"/nonexistent/journal"}), journal_error);
}

TEST_CASE("the summary has quantiles and the least headroom") {
    std::vector<call_record> records;
    for (int i = 1; i <= 100; ++i) {
        auto record = booking("k" + std::to_string(i), call_outcome::ok);
        record.latency_ms = i;
        records.push_back(record);
    }
    auto summary = summarize(records, {{0, "link", "a>b", 100, 40}, {1, "link", "a>b", 100, 90}}, {}, 1);
    CHECK(summary.latency_by_service["crew"].p50_ms == 50);
    CHECK(summary.latency_by_service["crew"].p99_ms == 99);
    CHECK(summary.resources.at(0).least_headroom == Approx(0.1));
    CHECK(nlohmann::json::parse(render_json(summary, {}))["latency"]["crew"]["count"] == 100);
    CHECK(render_html(summary, {}).find("<polyline") != std::string::npos);
}

// Guards against timers and callbacks of a generator that is gone, while its loop goes on: they used freed memory.
TEST_CASE("a generator that is gone asks for no more lookups") {
    event_loop loop;
    int process = getpid();
    ip_address address{"127.41." + std::to_string(process / 200 % 200) + "." + std::to_string(process % 200 + 20),
                       8000};
    std::size_t lookups = 0;
    http_server edge(loop, address, {}, [&](const http_request& request, const auto& exchange) {
        bool first = request.path == "/v1/lookup" && ++lookups == 1;
        nlohmann::json host{{"address", address.to_string()}, {"weight", 1000}};
        nlohmann::json answer{{"hosts", nlohmann::json::array({host})}, {"ttl_ms", 0}};
        exchange->respond({first ? 200 : 503, {}, first ? answer.dump() : "{}"});
    });
    load_options options;
    options.edges = {address};
    options.streams = {load_stream::parse("look:100:lookup")};
    options.length = ms(300);
    options.retries = 0;
    options.progress = false;
    load_generator(loop, options).run();
    loop.run_for(ms(50));  // lookups that were sent before have arrived
    std::size_t before = lookups;
    REQUIRE(before > 1);
    loop.run_for(ms(500));
    CHECK(lookups == before);
}
