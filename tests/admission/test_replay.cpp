// Compares the dispatcher with round robin and least-loaded placement on the load patterns that it is designed for.

#include <catch2/catch.hpp>

#include <iostream>

#include "replay.h"

using namespace persimmongrade;

namespace {

struct comparison {
    replay_result dispatcher;
    replay_result round_robin;
    replay_result least_loaded;
};

comparison compare(const std::string& name, const std::string& pattern) {
    comparison all;
    constexpr std::uint64_t seed = 7;
    auto run = [&](const char* policy_name, replay_policy policy) {
        replay_result result = replay(pattern, policy, seed).run();
        std::cout << name << " " << policy_name << ": asked " << result.requests << " in_aim " << result.in_aim
                  << " late " << result.late << " refused " << result.refused << " refused_late " << result.refused_late
                  << " failed " << result.failed << " worth " << result.worth() << " worst_window "
                  << result.worst_window << " urgent_in_aim " << result.urgent_share() << "\n";
        return result;
    };
    all.dispatcher = run("decisions", replay_policy::dispatcher);
    all.round_robin = run("round_robin", replay_policy::round_robin);
    all.least_loaded = run("least_loaded", replay_policy::least_loaded);
    return all;
}

void check_not_worse(const comparison& all) {
    CHECK(all.dispatcher.worth() >= all.round_robin.worth());
    CHECK(all.dispatcher.worth() >= all.least_loaded.worth());
    CHECK(all.dispatcher.requests ==
          all.dispatcher.in_aim + all.dispatcher.late + all.dispatcher.refused + all.dispatcher.failed);
}

const std::string base_pattern = "gateways 3\ntargets 8 6\nwork 284 85\nobjects 130\naim 200 1500\n";

}  // namespace

TEST_CASE("requests are sent to targets that have their object cached") {
    auto all = compare("many objects", base_pattern + "rate 0 10000 300\n");
    check_not_worse(all);
    // Cold work alone exceeds the aim, therefore only a target that has the object cached can answer within it.
    CHECK(all.dispatcher.in_aim > 2 * all.round_robin.in_aim);
}

TEST_CASE("a burst of twice the capacity for five seconds is served no worse than by simple policies") {
    auto all = compare("burst", base_pattern + "rate 0 4000 300\nrate 4000 9000 1100\nrate 9000 14000 300\n");
    check_not_worse(all);
    CHECK(all.dispatcher.worst_window >= all.round_robin.worst_window);
}

TEST_CASE("a burst of low-priority requests does not displace urgent ones") {
    auto all =
        compare("burst of the less urgent", base_pattern + "rate 0 4000 300\nrate 4000 9000 1100\nurgent 0 9000 60\n");
    check_not_worse(all);
    double others = static_cast<double>(all.dispatcher.in_aim) / static_cast<double>(all.dispatcher.requests);
    CHECK(all.dispatcher.urgent_share() >= others);
}

TEST_CASE("a cold start of many gateways and targets is not slower than simple policies") {
    check_not_worse(compare("cold start", "gateways 11\ntargets 36 6\nwork 1600 480\nobjects 290\naim 1000 4000\n"
                                          "rate 0 12000 250\n"));
}

TEST_CASE("slow targets are avoided before they answer") {
    auto all = compare("slow targets", base_pattern + "rate 0 12000 250\nslow 2 12 4000 9000\n");
    check_not_worse(all);
}

TEST_CASE("silent targets are avoided before the first deadline has passed") {
    auto all = compare("silent targets", base_pattern + "rate 0 12000 250\ndark 2 4000 9000\n");
    check_not_worse(all);
}

TEST_CASE("targets that fail part of their requests are avoided") {
    check_not_worse(compare("grey targets", base_pattern + "rate 0 12000 250\ngrey 2 0.5 4000 9000\n"));
}

TEST_CASE("requests are answered after half of the targets are removed at once") {
    check_not_worse(compare("lost zone", base_pattern + "rate 0 12000 250\nleave 4 5000\n"));
}

TEST_CASE("under sustained overload requests are refused early") {
    auto all = compare("overload", base_pattern + "rate 0 12000 1500\n");
    check_not_worse(all);
    CHECK(all.dispatcher.refused > 0);
    CHECK(all.dispatcher.refused_late * 2 < all.dispatcher.refused);
}
