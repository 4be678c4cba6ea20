// Guards the target pool, the retry budget and the quarantine of requests that crash targets.

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>

#include "persimmongrade/quarantine.h"
#include "persimmongrade/retry_policy.h"
#include "persimmongrade/target_pool.h"

using namespace persimmongrade;

namespace {

const time_point start = time_point(ms(1'000'000));

wire::target_info_t info_of(int number, std::uint64_t sequence, const std::string& region = "north") {
    wire::target_info_t info;
    info.id = "t" + std::to_string(number);
    info.service = "crew";
    info.region = region;
    info.slots = 4;
    info.incarnation = 1;
    info.sequence = sequence;
    return info;
}

// Applies generated announcements, drains, failures and ticks, and checks the pool and its pick after each.
void drive_pool(target_pool& pool, int targets) {
    auto now = start;
    std::uint64_t sequence = 0;
    std::set<std::string> drains;
    for (int i = 0; i < 120; ++i) {
        now += ms(*rc::gen::inRange(0, 400));
        int number = *rc::gen::inRange(0, targets);
        auto info = info_of(number, ++sequence);
        switch (*rc::gen::weightedElement<int>({{4, 0}, {1, 1}, {1, 2}, {8, 3}, {1, 4}})) {
        case 0:
            pool.announce(now, info);
            break;
        case 1:
            info.state = wire::target_state::draining;
            pool.announce(now, info);
            break;
        case 2:
            drains = {info.id};
            pool.set_drains(now, drains);
            break;
        case 3:
            for (int failure = 0; failure < 5; ++failure) {
                pool.finished(now, "crew", info.id, {target_result::connect_failed, ms(0)});
            }
            break;
        default:
            pool.tick(now);
        }
        auto picked = pool.pick(now, "crew", {"north"});
        auto views = pool.view(now, "crew");
        auto eligible = std::count_if(views.begin(), views.end(), [](const auto& view) { return !view.draining; });
        auto ejected =
            std::count_if(views.begin(), views.end(), [](const auto& view) { return !view.draining && view.ejected; });
        RC_ASSERT(2 * ejected <= eligible);
        RC_ASSERT(pool.count_usable(now, "crew", "north") == static_cast<std::size_t>(eligible - ejected));
        if (picked) {
            auto view = std::find_if(views.begin(), views.end(),
                                     [&](const auto& other) { return other.target.id == picked->id; });
            RC_ASSERT(view != views.end());
            RC_ASSERT(!view->draining && !view->ejected && !drains.contains(picked->id));
        } else {
            RC_ASSERT(eligible == 0);
        }
    }
}

lost_request lost(std::uint64_t fingerprint, int target, const std::string& region = "north") {
    return {"crew", fingerprint, "t" + std::to_string(target), region};
}

}  // namespace

TEST_CASE("at most half of the targets are ejected and no draining one is picked", "[pool]") {
    rc::prop("ejection minimum and drains", [] {
        target_pool pool({selection_method::two_random_choices, *rc::gen::arbitrary<std::uint64_t>()});
        drive_pool(pool, *rc::gen::inRange(1, 9));
    });
}

TEST_CASE("older announcements are ignored and leases end", "[pool]") {
    target_pool pool({});
    target_pool other({});
    CHECK(pool.announce(start, info_of(1, 5)));
    CHECK_FALSE(pool.announce(start, info_of(1, 5)));
    CHECK_FALSE(pool.announce(start, info_of(1, 4)));
    auto restarted = info_of(1, 1);
    restarted.incarnation = 2;
    CHECK(pool.announce(start, restarted));
    auto delta = pool.local_update(start + ms(1000));
    REQUIRE(delta.targets.size() == 1);
    CHECK(delta.targets[0]->lease_ms == 2000);
    CHECK(pool.apply(start + ms(1000), delta).empty());
    CHECK(other.apply(start + ms(1000), delta).size() == 1);
    CHECK(other.local_update(start + ms(1000)).targets.empty());  // updates are not sent back to their source
    CHECK(other.tick(start + ms(2999)).empty());
    CHECK(other.tick(start + ms(3000)).at(0).incarnation == 2);
    CHECK_FALSE(pool.pick(start + ms(3000), "crew", {"north"}));
}

TEST_CASE("a cold target gets a rising share and observed outcomes outweigh reported load", "[pool]") {
    target_pool pool({selection_method::full_scan, 0});
    auto warm = info_of(1, 1);
    wire::target_update_t full;
    full.full = true;
    warm.lease_ms = 3000;
    warm.load = 1.0;
    full.targets.push_back(std::make_unique<wire::target_info_t>(warm));
    pool.apply(start, full);
    pool.announce(start, info_of(2, 1));
    CHECK(pool.pick(start, "crew", {"north"})->id == "t1");
    for (int i = 0; i < 3; ++i) {
        pool.finished(start, "crew", "t1", {target_result::shed, ms(0)});
        pool.finished(start, "crew", "t2", {target_result::success, ms(5)});
    }
    pool.announce(start + ms(2500), info_of(1, 2));
    pool.announce(start + ms(2500), info_of(2, 2));
    pool.finished(start + ms(2500), "crew", "t1", {target_result::success, ms(400)});
    for (int i = 0; i < 4; ++i) {
        pool.started("crew", "t1");
    }
    CHECK(pool.pick(start + ms(2500), "crew", {"north"})->id == "t2");
    pool.started("crew", "t2");  // 1 of 4 slots after a quarter of the slow start
    CHECK_FALSE(pool.pick(start + ms(2500), "crew", {"north"}));
    CHECK_FALSE(pool.pick(start + ms(2500), "crew", {"south"}));
}

TEST_CASE("retries stay within their budget, deadline and proofs", "[retry]") {
    rc::prop("budget in any ten seconds", [] {
        retry_policy policy;
        std::map<std::int64_t, std::pair<int, int>> seconds;  // successes and retries
        auto now = start;
        for (int i = 0; i < 400; ++i) {
            now += ms(*rc::gen::inRange(0, 200));
            auto& [successes, retries] = seconds[now.time_since_epoch().count() / 1000];
            if (*rc::gen::arbitrary<bool>()) {
                policy.succeeded(now);
                ++successes;
                continue;
            }
            failed_attempt failure;
            failure.idempotent = *rc::gen::arbitrary<bool>();
            failure.proved_not_run = *rc::gen::arbitrary<bool>();
            failure.answer_started = *rc::gen::inRange(0, 5) == 0;
            failure.other_target_available = *rc::gen::inRange(0, 5) != 0;
            failure.within_limits = *rc::gen::inRange(0, 5) != 0;
            failure.deadline = now + ms(*rc::gen::inRange(0, 50));
            auto decision = policy.decide(now, failure);
            retries += decision.retry ? 1 : 0;
            bool allowed = (failure.idempotent || failure.proved_not_run) && !failure.answer_started &&
                           failure.other_target_available && failure.within_limits && failure.deadline >= now + ms(5);
            RC_ASSERT(!decision.retry || allowed);
            bool proved = !failure.idempotent && failure.proved_not_run && !decision.retry;
            RC_ASSERT((decision.outcome == wire::outcome::not_run) == proved);
            int success_sum = 0;
            int retry_sum = 0;
            for (const auto& [second, counts] : seconds) {
                bool recent = second > now.time_since_epoch().count() / 1000 - retry_window_seconds;
                success_sum += recent ? counts.first : 0;
                retry_sum += recent ? counts.second : 0;
            }
            RC_ASSERT(!decision.retry || retry_sum <= 0.1 * success_sum + 10);
        }
    });
}

TEST_CASE("in overload the load sent to targets stays within 1.1 times the offered load", "[retry]") {
    rc::prop("overload", [] {
        retry_policy policy;
        int capacity = *rc::gen::inRange(20, 200);         // per second
        int offered = capacity * *rc::gen::inRange(2, 6);  // per second; the rest is shed
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        int sent = 0;
        int requests = 0;
        for (int i = 0; i < offered * 30; ++i) {
            auto now = start + ms(static_cast<std::int64_t>(i) * 1000 / offered);
            failed_attempt shed{wire::retry_reason::shed,
                                wire::refusal_reason::target_shed,
                                true,
                                true,
                                false,
                                true,
                                true,
                                now + ms(1000)};
            ++requests;
            for (bool again = true; again;) {
                ++sent;
                bool served = static_cast<int>(random() % static_cast<unsigned>(offered)) < capacity;
                if (served) {
                    policy.succeeded(now);
                }
                again = !served && policy.decide(now, shed).retry;
            }
        }
        RC_ASSERT(sent <= 1.1 * requests);
    });
}

TEST_CASE("one crashing request is quarantined after two targets, also across edges", "[quarantine]") {
    rc::prop("two confirmed crashes", [] {
        quarantine first;
        quarantine second;
        int bystanders = *rc::gen::inRange(0, 4);
        auto gap = ms(*rc::gen::inRange(0, 60000));
        for (int target = 1; target <= 2; ++target) {
            auto& edge = target == 1 ? first : second;
            auto now = start + gap * (target - 1);
            for (int other = 0; other < bystanders; ++other) {
                edge.connection_lost(now, lost(static_cast<std::uint64_t>(100 * target + other), target));
            }
            edge.connection_lost(now, lost(7, target));
            RC_ASSERT(!first.quarantined(now, "crew", 7) && !second.quarantined(now, "crew", 7));
            for (const auto& notice : edge.target_down(now + ms(20), "crew", "t" + std::to_string(target))) {
                (target == 1 ? second : first).receive(now + ms(40), notice);
            }
        }
        auto now = start + gap + ms(40);
        for (auto* edge : {&first, &second}) {
            RC_ASSERT(edge->quarantined(now, "crew", 7));
            RC_ASSERT(edge->size(now) == 1);
            RC_ASSERT(!edge->quarantined(now + quarantine_duration, "crew", 7));
        }
    });
}

// Aggregators forward notices, so that an edge can receive them over several paths and out of order.
TEST_CASE("a late notice does not restore a withdrawn quarantine", "[quarantine]") {
    quarantine edge;
    wire::quarantine_notice_t decided;
    decided.service = "crew";
    decided.fingerprint = 7;
    decided.targets = {"t1", "t2"};
    decided.expires_in_ms = 1000;
    decided.version = 1;
    auto withdrawal = decided;
    withdrawal.expires_in_ms = 0;
    CHECK(edge.receive(start, decided).changed);
    CHECK_FALSE(edge.receive(start, decided).changed);
    CHECK(edge.quarantined(start, "crew", 7));
    CHECK(edge.receive(start, withdrawal).changed);
    CHECK_FALSE(edge.receive(start, decided).changed);
    CHECK_FALSE(edge.receive(start, withdrawal).changed);
    CHECK(edge.size(start) == 0);
    decided.version = 2;
    CHECK(edge.receive(start, decided).changed);
    CHECK(edge.quarantined(start, "crew", 7));
}

// Renewals are batched before they are forwarded, so that one may arrive after the loss of a request.
TEST_CASE("an announcement made before a loss does not show that the target is up", "[quarantine]") {
    quarantine edge;
    edge.connection_lost(start, lost(7, 1));
    edge.target_alive("crew", "t1", start - ms(1));
    CHECK(edge.target_down(start + ms(20), "crew", "t1").size() == 1);
}

TEST_CASE("a broken connection or the crash of one target quarantines no request", "[quarantine]") {
    quarantine edge;
    edge.connection_lost(start, lost(7, 1));
    edge.target_alive("crew", "t1");
    edge.target_down(start + ms(100), "crew", "t1");
    for (int i = 0; i < 3; ++i) {
        edge.connection_lost(start + ms(200), lost(7, 2));
        edge.target_down(start + ms(300), "crew", "t2");
    }
    edge.connection_lost(start + ms(400), lost(7, 3));
    edge.tick(start + ms(400) + crash_confirmation_time + ms(1));
    edge.target_down(start + ms(400) + crash_confirmation_time + ms(2), "crew", "t3");
    CHECK(edge.size(start + ms(6000)) == 0);
}

TEST_CASE("the failure of a region quarantines no request", "[quarantine]") {
    rc::prop("three or more fingerprints within 2 s", [] {
        quarantine edge;
        int targets = *rc::gen::inRange(3, 12);
        auto now = start;
        for (int target = 0; target < targets; ++target) {
            for (int slot = 0; slot < 3; ++slot) {
                auto fingerprint = static_cast<std::uint64_t>(target * 3 + slot + 1);
                edge.connection_lost(now, lost(fingerprint, target));
            }
            now += ms(*rc::gen::inRange(0, 1990 / targets));
        }
        // A request of a failed target is resent to another target, which fails with the region.
        edge.connection_lost(now, lost(1, targets - 1));
        for (int target = 0; target < targets; ++target) {
            edge.target_down(now + ms(3000), "crew", "t" + std::to_string(target));
        }
        RC_ASSERT(edge.size(now + ms(3000)) == 0u);
    });
}
