// Guards the quarantine where several processes each see a part of what happens: losses are reported in any order,
// sound requests are lost beside the one that crashes targets, and processes start late.

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <random>

#include "persimmongrade/quarantine.h"

using namespace persimmongrade;

namespace {

const time_point start = time_point(ms(1'000'000));
constexpr duration contact_time = ms(3000);  // from the third crash until no process may send the request any more

// Processes that send each other their notices, which arrive after 10 to 60 ms, in any order.
class group {
public:
    group(std::size_t size, std::uint64_t seed) : members(size), random(seed) {}

    std::vector<quarantine> members;
    time_point now = start;

    // A target ends; each of the requests was in flight there, sent by the given member.
    void crash(int target, const std::vector<std::pair<std::size_t, std::uint64_t>>& lost) {
        std::string id = "t" + std::to_string(target);
        for (const auto& [member, fingerprint] : lost) {
            this->members[member].connection_lost(this->now, {"crew", fingerprint, id, "north"});
        }
        this->run_for(ms(5));
        for (std::size_t member = 0; member < this->members.size(); ++member) {
            this->send(member, this->members[member].target_down(this->now, "crew", id));
        }
    }

    void send(std::size_t from, const std::vector<wire::quarantine_notice_t>& notices) {
        for (const auto& notice : notices) {
            for (std::size_t to = 0; to < this->members.size(); ++to) {
                if (to != from) {
                    auto delay = ms(std::uniform_int_distribution<int>(10, 60)(this->random));
                    this->in_transit.push_back({this->now + delay, to, notice});
                }
            }
        }
    }

    void run_for(duration time) {
        for (time_point end = this->now + time; this->now < end; this->now += ms(1)) {
            for (std::size_t i = 0; i < this->in_transit.size();) {
                if (this->in_transit[i].due > this->now) {
                    ++i;
                    continue;
                }
                transit arrived = this->in_transit[i];
                this->in_transit.erase(this->in_transit.begin() + static_cast<std::ptrdiff_t>(i));
                this->send(arrived.to, this->members[arrived.to].receive(this->now, arrived.notice).decided);
            }
        }
    }

    bool all_refuse(std::uint64_t fingerprint) const {
        return std::all_of(this->members.begin(), this->members.end(), [&](const quarantine& member) {
            return member.quarantined(this->now, "crew", fingerprint);
        });
    }

    bool any_refuses(std::uint64_t fingerprint) const {
        return std::any_of(this->members.begin(), this->members.end(), [&](const quarantine& member) {
            return member.quarantined(this->now, "crew", fingerprint);
        });
    }

private:
    struct transit {
        time_point due;
        std::size_t to;
        wire::quarantine_notice_t notice;
    };
    std::vector<transit> in_transit;
    std::mt19937_64 random;
};

}  // namespace

// Each process that had sent the request once saw sound requests lost with three targets of one region, took this for a
// failure of the region, and never counted its own crash.
TEST_CASE("a request that crashes a target at each of several processes is quarantined", "[quarantine]") {
    rc::prop("crashes seen by different processes in quick succession", [] {
        constexpr std::size_t size = 4;
        group processes(size, *rc::gen::arbitrary<std::uint64_t>());
        auto gap = ms(*rc::gen::inRange(20, 800));
        std::uint64_t sound = 100;
        int target = 0;
        time_point third{};
        while (!processes.all_refuse(7)) {
            std::vector<std::pair<std::size_t, std::uint64_t>> lost{{static_cast<std::size_t>(target) % size, 7}};
            for (std::size_t member = 0; member < size; ++member) {
                lost.emplace_back(member, ++sound);
            }
            third = target == 2 ? processes.now : third;
            processes.crash(target, lost);
            processes.run_for(gap);
            RC_ASSERT(++target <= 3 || processes.now < third + contact_time);
        }
    });
}

TEST_CASE("two requests that crash targets at the same time are both quarantined", "[quarantine]") {
    group processes(3, 1);
    for (int round = 0; processes.now < start + contact_time; ++round) {
        auto sound = 100 + 2 * static_cast<std::uint64_t>(round);
        if (!processes.all_refuse(7)) {
            processes.crash(2 * round, {{0, 7}, {1, sound}});
        }
        if (!processes.all_refuse(8)) {
            processes.crash(2 * round + 1, {{1, 8}, {2, sound + 1}});
        }
        processes.run_for(ms(300));
    }
    CHECK(processes.all_refuse(7));
    CHECK(processes.all_refuse(8));
    CHECK_FALSE(processes.any_refuses(100));
}

// A popular request is in flight at every target that crashes, whoever is to blame.
TEST_CASE("an answer clears a request at all processes", "[quarantine]") {
    group processes(3, 1);
    for (int target = 0; target < 4; ++target) {
        processes.crash(target, {{0, 7}});
        processes.run_for(ms(3000));
        processes.send(1, processes.members[1].answered(processes.now, "crew", 7));
        processes.run_for(ms(100));
    }
    CHECK_FALSE(processes.any_refuses(7));
    CHECK_FALSE(processes.members[2].crashed_target("crew", 7));
}

TEST_CASE("an answer to a request in flight ends its quarantine at all processes", "[quarantine]") {
    group processes(3, 1);
    processes.crash(1, {{0, 7}});
    processes.crash(2, {{0, 7}});
    processes.run_for(ms(100));
    REQUIRE(processes.all_refuse(7));
    processes.send(2, processes.members[2].answered(processes.now, "crew", 7));
    processes.run_for(ms(100));
    CHECK_FALSE(processes.any_refuses(7));
}

TEST_CASE("a process that was cut off learns that a quarantine has ended", "[quarantine]") {
    group processes(2, 1);
    processes.crash(1, {{0, 7}});
    processes.crash(2, {{0, 7}});
    processes.run_for(ms(100));
    REQUIRE(processes.all_refuse(7));
    processes.members[0].answered(processes.now, "crew", 7);  // its notices are lost
    REQUIRE(processes.members[1].quarantined(processes.now, "crew", 7));
    for (const auto& notice : processes.members[0].all(processes.now)) {
        processes.members[1].receive(processes.now, notice);
    }
    CHECK_FALSE(processes.any_refuses(7));
}

TEST_CASE("a process that starts later learns of crashes that are not yet a quarantine", "[quarantine]") {
    group processes(1, 1);
    processes.crash(1, {{0, 7}});
    quarantine late;
    for (const auto& notice : processes.members[0].all(processes.now)) {
        late.receive(processes.now, notice);
    }
    late.connection_lost(processes.now, {"crew", 7, "t2", "north"});
    late.target_down(processes.now + ms(10), "crew", "t2");
    CHECK(late.quarantined(processes.now + ms(10), "crew", 7));
}

// Guards against notices that travel among the processes for ever. A loss that is reported while many requests are in
// flight at a target reaches a process over several paths; on a slow one it arrives after the answer that cleared it,
// and looks younger than that. Each process passed both on, again and again, which filled links of 2.8 Mbit/s.
TEST_CASE("a crash that an answer has cleared stays cleared when its notice arrives again later", "[quarantine]") {
    quarantine first;
    quarantine second;
    first.connection_lost(start, {"crew", 7, "t1@5", "north"});
    auto lost = first.target_down(start + ms(5), "crew", "t1@5");
    REQUIRE(lost.size() == 1);
    REQUIRE(second.receive(start + ms(50), lost.front()).changed);
    auto answered = first.answered(start + ms(60), "crew", 7);
    REQUIRE(answered.size() == 1);
    REQUIRE(second.receive(start + ms(100), answered.front()).changed);
    CHECK_FALSE(second.receive(start + ms(900), lost.front()).changed);
    CHECK_FALSE(second.receive(start + ms(950), answered.front()).changed);
    CHECK_FALSE(second.crashed_target("crew", 7));
    auto other_start = lost.front();
    other_start.targets.front() = "t1@9";  // the same request at a later start of the target
    CHECK(second.receive(start + ms(1000), other_start).changed);
}
