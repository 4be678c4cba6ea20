// Replays the load patterns that the decisions answer, beside a round robin and the least loaded target, in one run.

#include <catch2/catch.hpp>

#include <iostream>

#include "replay.h"

using namespace persimmongrade;

namespace {

struct comparison {
    replay_result decisions;
    replay_result round_robin;
    replay_result least_loaded;
};

comparison compare(const std::string& name, const std::string& pattern) {
    comparison all;
    constexpr std::uint64_t seed = 7;
    auto run = [&](const char* policy_name, replay_policy policy) {
        replay_result result = replay(pattern, policy, seed).run();
        std::cout << name << " " << policy_name << ": asked " << result.asked << " in_aim " << result.in_aim << " late "
                  << result.late << " refused " << result.refused << " refused_late " << result.refused_late
                  << " failed " << result.failed << " worth " << result.worth() << " worst_window "
                  << result.worst_window << " urgent_in_aim " << result.urgent_share() << "\n";
        return result;
    };
    all.decisions = run("decisions", replay_policy::decisions);
    all.round_robin = run("round_robin", replay_policy::round_robin);
    all.least_loaded = run("least_loaded", replay_policy::least_loaded);
    return all;
}

void check_not_worse(const comparison& all) {
    CHECK(all.decisions.worth() >= all.round_robin.worth());
    CHECK(all.decisions.worth() >= all.least_loaded.worth());
    CHECK(all.decisions.asked ==
          all.decisions.in_aim + all.decisions.late + all.decisions.refused + all.decisions.failed);
}

const std::string catalogue = "gateways 3\ntargets 8 6\nwork 284 85\nobjects 130\naim 200 1500\n";

}  // namespace

TEST_CASE("objects are sent where they are warm") {
    auto all = compare("many objects", catalogue + "rate 0 10000 300\n");
    check_not_worse(all);
    // Cold work alone exceeds the aim, so that only a target that has the object can answer in time.
    CHECK(all.decisions.in_aim > 2 * all.round_robin.in_aim);
}

TEST_CASE("a burst of twice the capacity for five seconds") {
    auto all = compare("burst", catalogue + "rate 0 4000 300\nrate 4000 9000 1100\nrate 9000 14000 300\n");
    check_not_worse(all);
    CHECK(all.decisions.worst_window >= all.round_robin.worst_window);
}

TEST_CASE("a burst of the less urgent kind leaves the urgent kind whole") {
    auto all =
        compare("burst of the less urgent", catalogue + "rate 0 4000 300\nrate 4000 9000 1100\nurgent 0 9000 60\n");
    check_not_worse(all);
    double others = static_cast<double>(all.decisions.in_aim) / static_cast<double>(all.decisions.asked);
    CHECK(all.decisions.urgent_share() >= others);
}

TEST_CASE("everything is cold at the start, on many gateways and targets") {
    check_not_worse(compare("cold start", "gateways 11\ntargets 36 6\nwork 1600 480\nobjects 290\naim 1000 4000\n"
                                          "rate 0 12000 250\n"));
}

TEST_CASE("slow targets are avoided before they answer") {
    auto all = compare("slow targets", catalogue + "rate 0 12000 250\nslow 2 12 4000 9000\n");
    check_not_worse(all);
}

TEST_CASE("silent targets are avoided before the first deadline has passed") {
    auto all = compare("silent targets", catalogue + "rate 0 12000 250\ndark 2 4000 9000\n");
    check_not_worse(all);
}

TEST_CASE("targets that fail part of their requests are avoided") {
    check_not_worse(compare("grey targets", catalogue + "rate 0 12000 250\ngrey 2 0.5 4000 9000\n"));
}

TEST_CASE("half of the targets leave at once") {
    check_not_worse(compare("lost zone", catalogue + "rate 0 12000 250\nleave 4 5000\n"));
}

TEST_CASE("more is asked than can be served for a long time: refusals are early") {
    auto all = compare("overload", catalogue + "rate 0 12000 1500\n");
    check_not_worse(all);
    CHECK(all.decisions.refused > 0);
    CHECK(all.decisions.refused_late * 2 < all.decisions.refused);
}
