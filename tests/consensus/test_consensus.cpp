// Tests of single mechanisms of the consensus core, which the generated histories (test_histories.cpp) check only
// indirectly.

#include <catch2/catch.hpp>

#include "cluster.h"
#include "voter_sets.h"

using namespace persimmongrade;

namespace {

std::size_t index_of(const cluster& members, const cluster::node* node) {
    return static_cast<std::size_t>(node - members.nodes.data());
}

cluster::node* wait_for_leader(cluster& members, std::int64_t limit = 5'000) {
    for (auto end = members.now + limit; members.now < end && members.current_leader() == nullptr;) {
        members.run_for(10);
    }
    REQUIRE(members.current_leader() != nullptr);
    return members.current_leader();
}

}  // namespace

TEST_CASE("an isolated leader steps down and does not raise the term when it returns") {
    cluster members(3, 7);
    auto* old_leader = wait_for_leader(members);
    members.isolate(index_of(members, old_leader));
    members.run_for(410);
    CHECK_FALSE(old_leader->core->has_leader_lease(members.local_time(*old_leader)));
    members.run_for(3'000);
    CHECK_FALSE(old_leader->core->is_leader());
    CHECK_THROWS_AS(old_leader->core->propose(members.local_time(*old_leader), {{1}}), not_leader_error);
    auto* leader = wait_for_leader(members);
    auto term = leader->core->term();
    members.heal_network();
    members.run_for(2'000);
    CHECK(members.current_leader() == leader);
    CHECK(leader->core->term() == term);
    CHECK(old_leader->core->term() == term);
}

TEST_CASE("a restarted voter does not help to depose a leader that may hold a lease") {
    for (std::uint64_t seed = 0; seed < 30; ++seed) {
        cluster members(3, seed);
        members.max_delay_ms = 0;
        auto leader = index_of(members, wait_for_leader(members));
        members.set_link(leader, (leader + 1) % 3, false);  // the other member requests votes repeatedly
        members.run_for(900);
        auto& restarted = members.nodes[(leader + 2) % 3];
        for (int i = 0; i < 40; ++i) {
            members.crash(restarted);
            members.restart(restarted);
            members.run_for(47);  // throws if two leaders hold a lease
        }
        CHECK(members.current_leader() != nullptr);
    }
}

TEST_CASE("a failed leader is replaced within one second") {
    std::int64_t longest = 0;
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        cluster members(seed % 2 == 0 ? 3 : 5, seed);
        members.max_delay_ms = 20;
        auto* leader = wait_for_leader(members);
        members.run_for(static_cast<std::int64_t>(seed));
        auto failed_at = members.now;
        members.crash(*leader);
        wait_for_leader(members);
        longest = std::max(longest, members.now - failed_at);
    }
    INFO("longest " << longest << " ms");
    CHECK(longest < 1'000);
}

TEST_CASE("a transfer moves leadership without waiting for an election timeout") {
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        cluster members(5, seed);
        auto* leader = wait_for_leader(members);
        members.propose(3);
        members.transfer();
        CHECK_FALSE(leader->core->has_leader_lease(members.local_time(*leader)));
        CHECK_THROWS_AS(leader->core->propose(members.local_time(*leader), {{1}}), not_leader_error);
        members.run_for(100);
        CHECK(members.current_leader() != nullptr);
        CHECK(members.current_leader() != leader);
    }
}

TEST_CASE("membership changes that would be unsafe are refused") {
    cluster members(3, 3);
    auto* leader = wait_for_leader(members);
    auto now = members.local_time(*leader);
    auto change = [&](membership_change::kind kind, const std::string& id, const std::string& replaces = {}) {
        membership_change request{kind, {}};
        request.member.id = id;
        request.member.replaces = replaces;
        return leader->core->change_voters(now, request);
    };
    using kind = membership_change::kind;
    CHECK_THROWS_AS(change(kind::add, "n1"), membership_error);
    CHECK_THROWS_AS(change(kind::add, ""), membership_error);
    CHECK_THROWS_AS(change(kind::add, "x", "y"), membership_error);
    CHECK_THROWS_AS(change(kind::remove, "x"), membership_error);
    auto first = change(kind::add, "n3");
    CHECK(leader->core->voters().voters.size() == 4);
    CHECK_FALSE(leader->core->voters().voters.back()->voting);
    CHECK_THROWS_AS(change(kind::remove, "n1"), membership_busy_error);
    auto* other = &members.nodes[(index_of(members, leader) + 1) % 3];
    CHECK_THROWS_AS(other->core->change_voters(members.local_time(*other), {}), not_leader_error);
}

// A replacement lost its disk before it had caught up. The dead voter that it was to replace stayed in the set, which
// had one voter more from then on, and bore fewer losses.
TEST_CASE("a member that replaces a replacement takes over what that was to replace") {
    wire::voter_set_t set;
    auto add = [&](const std::string& id, const std::string& replaces, bool voting) {
        set.voters.push_back(std::make_unique<wire::voter_t>());
        set.voters.back()->id = id;
        set.voters.back()->replaces = replaces;
        set.voters.back()->voting = voting;
    };
    add("gone", "", true);
    add("a", "", true);
    add("b", "", true);
    add("lost", "gone", false);
    add("second", "lost", true);
    wire::voter_set_t next = without_member(set, "lost");
    REQUIRE(awaits_removal(next, *find_member(next, "second")));
    next = without_member(next, "gone");
    CHECK(total_votes(next) == 3);
    CHECK_FALSE(awaits_removal(next, *find_member(next, "second")));
}

TEST_CASE("the replacement of a voter completes after a change of leader") {
    cluster members(3, 11);
    auto* leader = wait_for_leader(members);
    members.propose(30);
    members.run_for(300);
    auto lost = (index_of(members, leader) + 1) % 3;
    members.lose_disk(members.nodes[lost]);
    CHECK_FALSE(members.nodes[lost].core->is_voter());
    CHECK(members.nodes[lost].id != members.nodes[lost].name);
    members.isolate(lost);  // is added but cannot catch up
    members.run_for(200);
    CHECK(leader->core->membership_change_pending());
    CHECK_FALSE(leader->core->voters().voters.back()->voting);
    members.crash(*leader);
    members.restart(*leader);
    members.heal_network();
    wait_for_leader(members);
    members.run_for(1'500);
    CHECK(members.nodes[lost].core->is_voter());
    CHECK_FALSE(wait_for_leader(members)->core->membership_change_pending());
    CHECK(wait_for_leader(members)->core->voters().voters.size() == 3);
    members.check_progress();
}

// The leader's heartbeats arrived, its entries did not: the member went on to pass on what it had as the newest.
TEST_CASE("a member that lacks entries that its leader has committed does not count as up to date for long") {
    cluster members(3, 11);
    auto* leader = wait_for_leader(members);
    members.propose(3);
    members.run_for(500);
    auto follower_index = (index_of(members, leader) + 1) % 3;
    auto& follower = members.nodes[follower_index];
    REQUIRE(follower.core->knows_all_commits(members.local_time(follower)));
    members.isolate(follower_index);
    wire::append_request_t heartbeat;
    heartbeat.term = follower.core->term();
    heartbeat.leader = leader->id;
    heartbeat.prev_log_index = follower.core->last_index() + 5;
    heartbeat.prev_log_term = heartbeat.term;
    heartbeat.commit_index = heartbeat.prev_log_index;
    heartbeat.sequence = 1;
    for (int i = 0; i < 10; ++i) {
        members.run_for(100);
        wire::messageUnion message;
        message.Set(wire::append_request_t(heartbeat));
        follower.core->receive(members.local_time(follower), leader->id, message);
    }
    CHECK(follower.core->leader_id() == leader->id);
    CHECK_FALSE(follower.core->knows_all_commits(members.local_time(follower)));
    members.heal_network();
    members.run_for(1'000);
    CHECK(follower.core->knows_all_commits(members.local_time(follower)));
}
