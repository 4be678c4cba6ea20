// Guards the replacement of an entry host by one with the same id and another address while real processes serve
// bookings: the other edges find it without a change of their settings, and its ledger replica counts again.

#include "deployment.h"

#include <nlohmann/json.hpp>

#include <algorithm>

using namespace persimmongrade;

namespace {

bool says_voting(const http_call_result& result, const std::string& edge) {
    auto status = nlohmann::json::parse(result.response.body, nullptr, false);
    if (result.status != http_call_status::ok || !status.is_object() || !status.contains("edges")) {
        return false;
    }
    return std::any_of(status["edges"].begin(), status["edges"].end(),
                       [&](const auto& entry) { return entry["id"] == edge && entry["ledger_voting"] == true; });
}

// Asks every control process; only the leader knows the edges.
void ask_control(deployment& system, const std::function<void(const http_call_result&)>& callback) {
    for (std::size_t i = 1; i <= deployment::control_count; ++i) {
        system.client.send({ip_address::parse(system.address("control", i, 8100)), "GET", "/v1/status"}, callback);
    }
}

// Share of the bookings of a part of the run that succeeded.
double booked_share(const load_observations& observed, std::int64_t from_ms, std::int64_t until_ms) {
    double bookings = 0;
    double booked = 0;
    for (const call_record& record : observed.records) {
        if (!record.idempotent && record.intended_at_ms >= from_ms && record.intended_at_ms < until_ms) {
            bookings += 1;
            booked += record.outcome == call_outcome::ok ? 1 : 0;
        }
    }
    return booked / std::max(1.0, bookings);
}

}  // namespace

TEST_CASE("an edge killed during bookings is replaced at another address, and then a second edge is killed",
          "[known-red]") {
    constexpr std::int64_t load_ms = 18000;
    constexpr std::int64_t latest_vote_ms = 13000;  // 10 s after the start of the replacement
    constexpr std::int64_t settled_ms = 1500;       // callers have moved to other entry hosts
    constexpr std::size_t new_host = deployment::edge_count + 1;
    deployment system("edge-replaced");
    time_point started = system.loop.now();
    std::int64_t voted_at_ms = 0;
    auto elapsed_ms = [&] { return (system.loop.now() - started).count(); };
    system.loop.after(ms(1500), [&] { system.process("edge-2").kill_now(); });
    system.loop.after(ms(3000), [&] { system.replace_edge(2, new_host); });
    timer_id poll = 0;
    system.loop.after(ms(3500), [&] {
        poll = system.loop.every(ms(200), [&] {
            ask_control(system, [&](const http_call_result& result) {
                if (voted_at_ms == 0 && says_voting(result, "edge-2")) {
                    voted_at_ms = elapsed_ms();
                    system.process("edge-3").kill_now();
                }
            });
        });
    });
    auto options = system.options(ms(load_ms));
    options.edges = {ip_address::parse(system.address("edge", 1, 8000)),
                     ip_address::parse(system.address("edge", 4, 8000))};  // for lookups: these stay
    auto observed = system.run_load(options);
    system.loop.cancel(poll);
    auto violations = system.check(observed);
    INFO(render_text(summarize(observed.records, {}, {}, observed.duration_s), violations));
    CHECK(violations.empty());
    REQUIRE(voted_at_ms > 0);
    CHECK(voted_at_ms <= latest_vote_ms);
    CHECK(booked_share(observed, 0, voted_at_ms) >= 0.9);
    // A quarter of the keys have both edges as replicas. Without the replacement's vote all of them are refused.
    CHECK(booked_share(observed, voted_at_ms + settled_ms, load_ms) >= 0.95);
}
