// Guards the selection of replicas. If one region held a majority of a key's replicas, its loss would block the key or
// lose its entries. If two edges selected different replicas, the key could be executed twice.

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>

#include "persimmongrade/ledger.h"
#include "persimmongrade/uuid.h"

using namespace persimmongrade;

namespace {

std::vector<ledger_member> members_in(int regions, int edges_per_region) {
    std::vector<ledger_member> members;
    for (int region = 0; region < regions; ++region) {
        for (int edge = 0; edge < edges_per_region; ++edge) {
            std::string name(1, static_cast<char>('a' + region));
            members.push_back({name + std::to_string(edge + 1), name});
        }
    }
    return members;
}

std::string random_key(std::mt19937_64& random) {
    return make_uuid_v7(1'790'000'000'000 + static_cast<std::int64_t>(random() % 1'000'000), random);
}

std::string region_of(const std::string& edge) {
    return edge.substr(0, 1);
}

}  // namespace

TEST_CASE("the replica set is one edge in each of three regions and the same on every edge", "[ledger]") {
    rc::prop("replica sets", [] {
        auto members = members_in(*rc::gen::inRange(1, 10), *rc::gen::inRange(1, 4));
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        auto key = random_key(random);
        auto set = replica_set(key, members);
        std::set<std::string> all_regions;
        for (const auto& member : members) {
            all_regions.insert(member.region);
        }
        std::set<std::string> regions;
        for (const auto& edge : set) {
            regions.insert(region_of(edge));
        }
        RC_ASSERT(set.size() == std::min(ledger_replicas, all_regions.size()));
        RC_ASSERT(regions.size() == set.size());  // no region holds a majority of three
        auto shuffled = members;
        std::shuffle(shuffled.begin(), shuffled.end(), random);
        RC_ASSERT(replica_set(key, shuffled) == set);
        RC_ASSERT((ledger_members{shuffled, {}}.hash() == ledger_members{members, {}}.hash()));
        // The loss of a region without a replica of the key moves nothing; with one, it moves that replica only.
        auto lost = members.at(random() % members.size()).region;
        std::erase_if(members, [&](const ledger_member& member) { return member.region == lost; });
        auto left =
            std::count_if(set.begin(), set.end(), [&](const std::string& edge) { return region_of(edge) != lost; });
        RC_ASSERT((all_regions.size() < ledger_replicas || left >= 2));  // a majority
        auto rest = replica_set(key, members);
        auto kept = std::count_if(set.begin(), set.end(), [&](const std::string& edge) {
            return std::find(rest.begin(), rest.end(), edge) != rest.end();
        });
        RC_ASSERT(kept == static_cast<std::ptrdiff_t>(set.size() - regions.count(lost)));
    });
}

TEST_CASE("replica sets spread evenly over 7 regions and their edges", "[ledger]") {
    constexpr int keys = 21000;
    constexpr int expected_per_triple = keys / 35;  // sets of 3 out of 7 regions
    std::mt19937_64 random(20261204);
    auto members = members_in(7, 2);
    std::map<std::string, int> region_triples;
    std::map<std::string, int> by_edge;
    for (int i = 0; i < keys; ++i) {
        std::string region_triple;
        for (const auto& edge : replica_set(random_key(random), members)) {
            region_triple += region_of(edge);
            ++by_edge[edge];
        }
        ++region_triples[region_triple];
    }
    CHECK(region_triples.size() == 35);
    for (const auto& [region_triple, count] : region_triples) {
        INFO(region_triple);
        CHECK(std::abs(count - expected_per_triple) < expected_per_triple / 5);  // 5 standard deviations
    }
    CHECK(by_edge.size() == 14);
    for (const auto& [edge, count] : by_edge) {
        INFO(edge);
        CHECK(std::abs(count - keys * 3 / 14) < keys * 3 / 14 / 20);
    }
}

// The values come from the version before replica sets were selected among more than three regions: edges of both
// versions must agree during an upgrade.
TEST_CASE("replica sets and the hash of members in three regions are compatible with earlier versions", "[ledger]") {
    std::vector<ledger_member> members{{"a1", "a"}, {"a2", "a"}, {"a3", "a"}, {"b1", "b"},
                                       {"b2", "b"}, {"c1", "c"}, {"c2", "c"}};
    using set = std::vector<std::string>;
    CHECK(replica_set("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", members) == set{"a2", "b1", "c1"});
    CHECK(replica_set("01a0c45f-ae4a-7e64-a634-06f67926e97d", members) == set{"a1", "b2", "c2"});
    CHECK(replica_set("01a0c45f-ae4b-7000-8000-000000000001", members) == set{"a3", "b2", "c2"});
    CHECK(ledger_members{members, {}}.hash() == 12885352599938135725u);
}
