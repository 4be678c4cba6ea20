// Tests single decisions of the dispatcher: placement, order of waiting requests, and early refusals with randomized
// retry delays.

#include <catch2/catch.hpp>

#include <cmath>
#include <set>

#include "persimmongrade/dispatcher.h"
#include "persimmongrade/retry_budget.h"
#include "persimmongrade/weighted_split.h"

using namespace persimmongrade;

namespace {

constexpr time_point start{ms(100000)};

dispatch_target target_of(const std::string& id, const std::string& region = "north", unsigned slots = 2) {
    return {id, "s", region, slots, 1, start, {}, 0};
}

dispatch_request request_of(request_id id, std::uint64_t object = 0, unsigned priority = 1) {
    return {id, "s", object, 0, priority, start + ms(200), start + ms(1000), {}, {}};
}

std::map<std::string, unsigned> sends_by_target(const std::vector<dispatch_action>& actions) {
    std::map<std::string, unsigned> counts;
    for (const auto& action : actions) {
        ++counts[action.target];
    }
    return counts;
}

}  // namespace

TEST_CASE("requests wait at the gateway when all slots are taken, and urgent ones are sent first") {
    dispatcher placement({.region = "north"});
    placement.set_target(target_of("a"), start);
    for (request_id id = 1; id <= 10; ++id) {
        placement.add(request_of(id, 0, id == 10 ? 0 : 1), start);
    }
    auto sent = placement.poll(start);
    REQUIRE_FALSE(sent.empty());
    CHECK(sent.front().request == 10);
    CHECK(sent.size() <= 3);
    CHECK(placement.waiting() == 10 - sent.size());
    placement.finished(10, "a", dispatch_outcome::answered, target_load_report{1, 0, 2}, start + ms(50));
    CHECK(placement.poll(start + ms(50)).size() == 1);
}

TEST_CASE("a target in need gets this gateway's share of the rate that it named") {
    dispatcher placement({.region = "north"});
    dispatch_target limited = target_of("limited", "north", 8);
    limited.send_rate = rate_share{10, 5};
    placement.set_target(limited, start);
    unsigned sent = 0;
    request_id id = 0;
    for (int at = 0; at < 4000; at += 20) {
        ++id;
        dispatch_request request = request_of(id, id % 7 + 1);
        request.aim_at = start + ms(at + 200);
        request.deadline_at = start + ms(at + 1000);
        placement.add(request, start + ms(at));
        for (const dispatch_action& action : placement.poll(start + ms(at))) {
            if (!action.target.empty()) {
                ++sent;
                placement.finished(action.request, action.target, dispatch_outcome::answered, {}, start + ms(at + 1));
            }
        }
    }
    CHECK(sent >= 18);
    CHECK(sent <= 20);  // 4 s
}

TEST_CASE("a target whose rate is left to other gateways is not used") {
    dispatcher placement({.region = "north"});
    dispatch_target limited = target_of("limited");
    limited.send_rate = rate_share{1, 0};
    placement.set_target(limited, start);
    placement.add(request_of(1), start);
    auto actions = placement.poll(start);
    REQUIRE(actions.size() == 1);
    CHECK(actions[0].cause == refusal_cause::no_target);
}

// When the target crashes, it tells which of the two is to blame.
TEST_CASE("a target gets only one isolated request at a time, and others beside it") {
    dispatcher placement({.region = "north"});
    placement.set_target(target_of("a", "north", 4), start);
    dispatch_request suspect = request_of(1);
    suspect.isolated = true;
    placement.add(suspect, start);
    suspect.id = 2;
    placement.add(suspect, start);
    placement.add(request_of(3), start);
    CHECK(placement.poll(start).size() == 2);
    CHECK(placement.waiting() == 1);
    placement.finished(1, "a", dispatch_outcome::answered, {}, start + ms(50));
    auto next = placement.poll(start + ms(50));
    REQUIRE(next.size() == 1);
    CHECK(next[0].request == 2);
}

TEST_CASE("without a usable target a request is refused at once") {
    dispatcher placement({.region = "north"});
    placement.add(request_of(1), start);
    auto actions = placement.poll(start);
    REQUIRE(actions.size() == 1);
    CHECK(actions[0].cause == refusal_cause::no_target);
    CHECK(actions[0].retry_after > ms(0));
}

TEST_CASE("a target that holds requests off is not used until then, and refusals say when") {
    dispatcher placement({.region = "north"});
    placement.set_target(target_of("a"), start);
    placement.hold_off("a", start + ms(3000));
    placement.add(request_of(1), start);
    auto refused = placement.poll(start);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].cause == refusal_cause::no_target);
    CHECK(refused[0].retry_after >= ms(1500));
    dispatch_request later = request_of(2);
    later.deadline_at = start + ms(4000);
    placement.add(later, start + ms(3000));
    auto sent = placement.poll(start + ms(3000));
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].target == "a");
}

TEST_CASE("requests refused together get different retry delays") {
    dispatcher placement({.region = "north"});
    std::set<std::int64_t> times;
    constexpr request_id count = 50;
    for (request_id id = 1; id <= count; ++id) {
        placement.add(request_of(id), start);
    }
    for (const auto& action : placement.poll(start)) {
        times.insert(action.retry_after.count());
    }
    CHECK(times.size() > count / 2);
}

TEST_CASE("a waiting request is refused as soon as no answer before its deadline is possible") {
    dispatcher placement({.region = "north"});
    placement.set_target(target_of("a", "north", 1), start);
    placement.add(request_of(1), start);
    REQUIRE(placement.poll(start).size() == 1);
    placement.finished(1, "a", dispatch_outcome::answered, target_load_report{1, 9, 1}, start + ms(100));
    placement.add(request_of(2), start + ms(100));
    bool refused = false;
    for (int at = 100; at < 1000 && !refused; at += 10) {
        for (const auto& action : placement.poll(start + ms(at))) {
            if (action.request != 2) {
                continue;
            }
            if (!action.target.empty()) {
                return;  // it was sent after all
            }
            CHECK(action.cause == refusal_cause::too_late);
            CHECK(at < 1000);
            refused = true;
        }
    }
    CHECK(refused);
}

TEST_CASE("an unreachable target is not used until it reports itself ready, others are") {
    dispatcher placement({.region = "north"});
    placement.set_target(target_of("a"), start);
    placement.set_target(target_of("b"), start);
    placement.add(request_of(1, 5), start);
    auto first = placement.poll(start);
    REQUIRE(first.size() == 1);
    std::string lost = first[0].target;
    placement.finished(1, lost, dispatch_outcome::unreachable, std::nullopt, start + ms(10));
    placement.add(request_of(2, 5), start + ms(10));
    auto second = placement.poll(start + ms(10));
    REQUIRE(second.size() == 1);
    CHECK(second[0].target != lost);
    auto again = target_of(lost);
    again.heard_at = start + ms(20);
    placement.set_target(again, start + ms(20));
    placement.add(request_of(3, 5), start + ms(20));
    CHECK(placement.poll(start + ms(20)).at(0).target == lost);
}

// Guards against the same object being sent to several targets before the first answers, after the start of a
// deployment or of gateways after a power loss. An initial work estimate far below the actual work made targets look
// overdue.
TEST_CASE("before the first answers, an object stays with one target until the aim of its route has passed") {
    dispatcher placement({.region = "north"});
    for (int i = 0; i < 4; ++i) {
        placement.set_target(target_of(std::to_string(i), "north", 6), start);
    }
    std::set<std::string> used;
    for (request_id id = 1; id <= 4; ++id) {
        time_point now = start + ms(200) * static_cast<int>(id);
        dispatch_request request = request_of(id, 5);
        request.aim_at = now + ms(1000);
        request.deadline_at = now + ms(4000);
        placement.add(request, now);
        for (const auto& action : placement.poll(now)) {
            used.insert(action.target);
        }
    }
    CHECK(used.size() == 1);
}

TEST_CASE("a first answer that took no work does not set the work estimate") {
    dispatcher placement({.region = "north"});
    placement.set_target(target_of("a", "north", 6), start);
    dispatch_request request = request_of(1);
    request.aim_at = start + ms(1000);
    placement.add(request, start);
    REQUIRE(placement.poll(start).size() == 1);
    placement.finished(1, "a", dispatch_outcome::answered, std::nullopt, start + ms(1));
    CHECK(placement.estimates().at(0).unknown_ms > 250);
}

TEST_CASE("a cold target gets its quota in any second, and none from another region") {
    dispatcher placement({.region = "north"});
    auto cold = target_of("a", "north", 100);
    cold.cold_until = start + ms(10000);
    cold.cold_quota = 3;
    placement.set_target(cold, start);
    std::vector<time_point> sent;
    for (int at = 0; at < 4000; at += 10) {
        time_point now = start + ms(at);
        auto request = request_of(static_cast<request_id>(at) + 1);
        request.aim_at = now + ms(200);
        request.deadline_at = now + ms(400);
        placement.add(request, now);
        for (const auto& action : placement.poll(now)) {
            if (!action.target.empty()) {
                sent.push_back(now);
                placement.finished(action.request, "a", dispatch_outcome::answered, std::nullopt, now + ms(1));
            }
        }
    }
    REQUIRE(sent.size() >= 9);
    for (std::size_t i = 3; i < sent.size(); ++i) {
        CHECK(sent[i] - sent[i - 3] > ms(1000));
    }
    dispatcher elsewhere({.region = "south"});
    cold.cold_quota = 0;
    elsewhere.set_target(cold, start);
    elsewhere.add(request_of(1), start);
    CHECK(sends_by_target(elsewhere.poll(start)).count("a") == 0);
}

TEST_CASE("a request stays in the regions that its route allows") {
    dispatcher placement({.region = "north"});
    placement.set_target(target_of("n", "north", 50), start);
    placement.set_target(target_of("s", "south", 50), start);
    for (request_id id = 1; id <= 40; ++id) {
        auto request = request_of(id, id);
        request.regions = {"south"};
        placement.add(request, start);
    }
    auto counts = sends_by_target(placement.poll(start));
    CHECK(counts.count("n") == 0);
    CHECK(counts["s"] == 24);  // the number of requests that one poll tries to place
}

TEST_CASE("the remote share moves slowly, and starts from the slots of the regions") {
    region_share share({.max_shift = 0.15});
    share.initialize(0.5);
    double before = share.value();
    for (int at = 0; at <= 2000; at += 10) {
        share.update(start + ms(at), 3.0, 0.2);
    }
    CHECK(share.value() > before);
    CHECK(share.value() - before <= 0.15);
    dispatcher placement({.region = "north"});
    placement.set_target(target_of("n", "north", 10), start);
    placement.set_target(target_of("s1", "south", 40), start);
    placement.set_target(target_of("s2", "south", 40), start);
    placement.add(request_of(1, 1), start);
    CHECK(placement.remote_share("s") == Approx(1 - 10.0 / 45));
}

TEST_CASE("retries stay below the configured share of requests in any window") {
    retry_budget budget({.ratio = 0.2, .window = ms(10000)});
    CHECK_FALSE(budget.take(start));
    std::size_t taken = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.request_arrived(start + ms(i));
        taken += budget.take(start + ms(i)) ? 1 : 0;
    }
    CHECK(taken > 100);
    CHECK(taken <= 200);
    CHECK_FALSE(budget.take(start + ms(20000)));
}

TEST_CASE("a split route keeps its shares, also with few objects") {
    weighted_split split({90, 10});
    std::vector<double> counts(2);
    constexpr int requests = 5000;
    for (int i = 0; i < requests; ++i) {
        ++counts[split.choose(static_cast<std::uint64_t>(i % 7) * 0x9e3779b97f4a7c15ULL)];  // seven objects
    }
    CHECK(std::abs(counts[1] / requests - 0.1) < 0.05);
    weighted_split zero_weight({1, 0});
    for (int i = 0; i < 100; ++i) {
        CHECK(zero_weight.choose(static_cast<std::uint64_t>(i) << 57U) == 0);
    }
}
