// Guards callers against the loss of a whole region or availability zone, and against its return. The targets' journals
// are compared with what callers were told.

#include <catch2/catch.hpp>

#include <algorithm>

#include "deployment.h"

using namespace persimmongrade;

namespace {

// Everything that a loss may disturb has ended after this time: an election under 1 s, exclusion of the lost edges from
// lookups after 1 s without a ping, lookup answers cached for 1 s, and the leases of the old leader (1 s); one ping
// period each for edges to learn of the first and the last.
constexpr duration recovery = ms(4500);

std::string join(const std::vector<std::string>& lines) {
    std::string text;
    for (const std::string& line : lines) {
        text += line + "\n";
    }
    return text;
}

void kill_all(deployment& system, const std::string& place) {
    for (const std::string& id : system.processes_in(place)) {
        system.process(id).kill_now();
    }
}

// Two sends of one key at once may both be told claim_conflict, which is no matter of lost hosts.
load_options regional_load(const deployment& system, duration length) {
    auto options = system.options(length);
    options.resend_share = 0;
    return options;
}

// Number of the region of the control leader, from 1.
std::size_t leader_region(deployment& system) {
    std::string leader = system.status().value("leader", "");
    REQUIRE(leader.starts_with("control-"));
    return std::stoul(leader.substr(8));
}

// Asks the surviving edges for lookups at `at` and collects the lost hosts that their responses still name.
void collect_lost_hosts(deployment& system, const std::string& place, duration at, std::size_t& answers,
                        std::vector<std::string>& found) {
    auto lost = system.processes_in(place);
    system.loop.after(at, [&system, &answers, &found, lost] {
        for (std::size_t i = 1; i <= deployment::edge_count; ++i) {
            if (std::find(lost.begin(), lost.end(), "edge-" + std::to_string(i)) != lost.end()) {
                continue;
            }
            http_call call{ip_address::parse(system.address("edge", i, 8000)), "GET", "/v1/lookup?service=look"};
            call.reuse_connection = false;
            system.client.send(call, [&answers, &found, lost](const http_call_result& result) {
                ++answers;
                for (const std::string& id : lost) {
                    if (result.response.body.find('"' + id + '"') != std::string::npos) {
                        found.push_back(id);
                    }
                }
            });
        }
    });
}

}  // namespace

// Fails when two of a key's three ledger replicas may be in one region. The leader is lost as well.
TEST_CASE("promises hold when a whole region is lost during lookups and bookings, and when it returns", "[known-red]") {
    deployment system("region");
    std::size_t lost = leader_region(system);
    std::string place = deployment::region(lost);
    std::size_t answers = 0;
    std::vector<std::string> lost_hosts;
    constexpr duration lost_at = ms(2000);
    constexpr duration back_at = ms(9000);
    constexpr duration length = ms(16000);
    system.loop.after(lost_at, [&] { kill_all(system, place); });
    collect_lost_hosts(system, place, lost_at + recovery, answers, lost_hosts);
    system.loop.after(back_at, [&] {
        system.start_control(lost, false);
        for (std::size_t i = lost; i <= deployment::edge_count; i += 3) {
            system.start_edge(i, false);
        }
        for (std::size_t i = lost; i <= deployment::targets_per_service; i += 3) {
            system.start_target("look", i);
            system.start_target("book", i);
        }
    });
    auto observed = system.run_load(regional_load(system, length));
    CHECK(answers >= 4);
    CHECK(lost_hosts == std::vector<std::string>{});
    auto violations = system.check(observed);
    INFO(render_text(summarize(observed.records, {}, {}, observed.duration_s), violations));
    CHECK(violations.empty());
    auto without_region = failures(observed, lost_at + recovery, back_at);
    INFO(join(without_region));
    CHECK(without_region.empty());
    auto returned = failures(observed, back_at + recovery, length);
    INFO(join(returned));
    CHECK(returned.empty());
    system.wait_until_serving();  // through the returned edges as well
}

// Fails when lookups keep lost edges.
TEST_CASE("promises hold when an availability zone is lost", "[known-red]") {
    deployment system("zone", {.two_zones = true});
    // The leader stays and has heard the lost edges before.
    std::string place = deployment::region(leader_region(system) + 1) + "-a";
    std::size_t answers = 0;
    std::vector<std::string> lost_hosts;
    constexpr duration lost_at = ms(1000);
    constexpr duration length = ms(8500);
    CHECK(system.processes_in("north-a") ==
          std::vector<std::string>{"control-1", "edge-1", "edge-7", "look-1", "book-1"});
    system.loop.after(lost_at, [&] { kill_all(system, place); });
    collect_lost_hosts(system, place, lost_at + recovery, answers, lost_hosts);
    auto observed = system.run_load(regional_load(system, length));
    CHECK(answers >= 5);
    CHECK(lost_hosts == std::vector<std::string>{});
    auto violations = system.check(observed);
    INFO(render_text(summarize(observed.records, {}, {}, observed.duration_s), violations));
    CHECK(violations.empty());
    auto without_zone = failures(observed, lost_at + recovery, length);
    INFO(join(without_zone));
    CHECK(without_zone.empty());
}
