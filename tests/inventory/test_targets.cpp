// Tests the registry of targets when reports are duplicated, late, out of order, or from another start of the target.

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include "persimmongrade/target_registry.h"

using namespace persimmongrade;

namespace {

wire::target_report_t report_of(const std::string& id, std::int64_t started, std::uint64_t sequence,
                                wire::target_phase phase = wire::target_phase::ready,
                                const std::string& address = "10.0.0.1:80") {
    wire::target_report_t report;
    report.id = id;
    report.service = "s";
    report.address = address;
    report.region = "north";
    report.zone = "north-1";
    report.slots = 4;
    report.phase = phase;
    report.sequence = sequence;
    report.started_at_ms = started;
    return report;
}

constexpr time_point start{ms(100000)};

}  // namespace

TEST_CASE("a report that is older than the known one is ignored") {
    target_registry targets;
    CHECK(targets.merge(report_of("a", 1, 5), start) == report_effect::changed);
    CHECK(targets.merge(report_of("a", 1, 4), start + ms(10)) == report_effect::none);
    CHECK(targets.merge(report_of("a", 1, 6), start + ms(20)) == report_effect::renewed);
    CHECK(targets.merge(report_of("a", 1, 7, wire::target_phase::draining), start) == report_effect::changed);
    CHECK(targets.merge(report_of("a", 1, 8), start + ms(30)) ==
          report_effect::none);  // a draining target does not become ready again without a new start
    CHECK_FALSE(targets.find("a")->usable());
}

TEST_CASE("a new start under the same id replaces the target, and its sequence starts again") {
    target_registry targets;
    targets.merge(report_of("a", 1, 900, wire::target_phase::gone), start);
    auto again = report_of("a", 2, 1);
    again.warm_up_left_ms = 3000;
    CHECK(targets.merge(again, start + ms(10)) == report_effect::changed);
    CHECK(targets.find("a")->usable());
    CHECK(targets.find("a")->cold_until == start + ms(3010));
    CHECK(targets.merge(report_of("a", 1, 901), start + ms(20)) == report_effect::none);
}

TEST_CASE("an address belongs to the target with the newest start that claims it") {
    target_registry targets;
    targets.merge(report_of("old", 1, 5), start);
    targets.merge(report_of("new", 2, 1), start + ms(10));
    CHECK_FALSE(targets.find("old")->usable());
    CHECK(targets.find("new")->usable());
    targets.merge(report_of("old", 1, 6), start + ms(20));  // delayed by a partition
    CHECK_FALSE(targets.find("old")->usable());
    CHECK(targets.find("new")->usable());
}

TEST_CASE("a silent target becomes usable with its next report, not with an older one") {
    target_registry targets;
    targets.merge(report_of("a", 1, 5), start);
    auto silent = report_of("a", 1, 5);
    silent.silent = true;
    CHECK(targets.merge(silent, start + ms(10)) == report_effect::changed);
    CHECK_FALSE(targets.find("a")->usable());
    CHECK(targets.merge(report_of("a", 1, 5), start + ms(20)) == report_effect::none);
    CHECK(targets.merge(report_of("a", 1, 6), start + ms(30)) == report_effect::changed);
    CHECK(targets.find("a")->usable());
}

TEST_CASE("a target whose warm-up restarted is reported as changed") {
    target_registry targets;
    targets.merge(report_of("a", 1, 5), start);
    auto cold = report_of("a", 1, 6);
    cold.warm_up_left_ms = 3000;
    CHECK(targets.merge(cold, start + ms(1500)) == report_effect::changed);
    cold.sequence = 7;
    cold.warm_up_left_ms = 1500;
    CHECK(targets.merge(cold, start + ms(3000)) == report_effect::renewed);
}

TEST_CASE("targets that are gone are kept for the retention period, usable ones do not expire") {
    target_registry targets;
    targets.merge(report_of("a", 1, 5), start);
    targets.merge(report_of("b", 1, 5, wire::target_phase::gone, "10.0.0.2:80"), start);
    CHECK(targets.expire(start + ms(50000)).empty());
    CHECK(targets.merge(report_of("b", 1, 6, wire::target_phase::ready, "10.0.0.2:80"), start + ms(1200)) ==
          report_effect::none);
    CHECK(targets.expire(start + ms(70000)) == std::vector<std::string>{"b"});
    CHECK(targets.find("a")->usable());
}

TEST_CASE("the merged state does not depend on the order of reports") {
    rc::prop("merge", [] {
        std::vector<wire::target_report_t> reports;
        auto count = *rc::gen::inRange(1, 25);
        for (int i = 0; i < count; ++i) {
            auto phase = static_cast<wire::target_phase>(*rc::gen::inRange(0, 3));
            reports.push_back(report_of("a", *rc::gen::inRange(1, 4), static_cast<std::uint64_t>(i), phase));
        }
        target_registry in_order;
        for (const auto& report : reports) {
            in_order.merge(report, start);
        }
        auto shuffled = reports;
        for (std::size_t i = shuffled.size(); i > 1; --i) {
            std::swap(shuffled[i - 1], shuffled[*rc::gen::inRange<std::size_t>(0, i)]);
        }
        target_registry out_of_order;
        for (const auto& report : shuffled) {
            out_of_order.merge(report, start);
        }
        RC_ASSERT(in_order.find("a")->report.started_at_ms == out_of_order.find("a")->report.started_at_ms);
        RC_ASSERT(in_order.find("a")->report.phase == out_of_order.find("a")->report.phase);
        RC_ASSERT(in_order.find("a")->usable() == out_of_order.find("a")->usable());
    });
}
