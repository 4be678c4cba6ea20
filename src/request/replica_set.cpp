// Ledger replica sets: rendezvous hashing of keys to regions and edges.

#include <xxhash.h>

#include <algorithm>
#include <optional>

#include "persimmongrade/ledger.h"

namespace persimmongrade {

namespace {

// Regions are selected with another hash seed than edges, so that an edge with the name of its region does not bias the
// selection.
constexpr XXH64_hash_t region_seed = 1;

struct weighted {
    XXH64_hash_t weight = 0;
    std::string_view name;

    // Highest weight first; equal weights are ordered by name.
    bool operator<(const weighted& other) const {
        return this->weight != other.weight ? this->weight > other.weight : this->name < other.name;
    }
};

weighted weigh(std::string_view name, XXH64_hash_t key_hash) {
    return {XXH64(name.data(), name.size(), key_hash), name};
}

// Regions that hold replicas of the key, sorted by name.
std::vector<std::string_view> regions_of(std::string_view key, const std::vector<ledger_member>& members) {
    std::set<std::string_view> all;
    for (const auto& member : members) {
        all.insert(member.region);
    }
    if (all.size() <= ledger_replicas) {
        return {all.begin(), all.end()};
    }
    XXH64_hash_t key_hash = XXH64(key.data(), key.size(), region_seed);
    std::vector<weighted> candidates;
    candidates.reserve(all.size());
    for (std::string_view region : all) {
        candidates.push_back(weigh(region, key_hash));
    }
    std::partial_sort(candidates.begin(), candidates.begin() + ledger_replicas, candidates.end());
    std::vector<std::string_view> chosen;
    for (std::size_t i = 0; i < ledger_replicas; ++i) {
        chosen.push_back(candidates[i].name);
    }
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

}  // namespace

std::vector<std::string> replica_set(std::string_view key, const std::vector<ledger_member>& members) {
    XXH64_hash_t key_hash = XXH64(key.data(), key.size(), 0);
    std::vector<std::string> edges;
    for (std::string_view region : regions_of(key, members)) {
        std::optional<weighted> best;
        for (const auto& member : members) {
            if (member.region == region) {
                auto candidate = weigh(member.edge, key_hash);
                best = best && *best < candidate ? best : candidate;
            }
        }
        edges.emplace_back(best->name);
    }
    return edges;
}

std::vector<std::vector<std::string>> ledger_members::sets_of(std::string_view key) const {
    std::vector<std::vector<std::string>> sets{replica_set(key, this->current)};
    if (!this->previous.empty()) {
        auto before = replica_set(key, this->previous);
        if (before != sets.front()) {
            sets.push_back(std::move(before));
        }
    }
    return sets;
}

std::set<std::string> ledger_members::all_of(std::string_view key) const {
    std::set<std::string> edges;
    for (const auto& set : this->sets_of(key)) {
        edges.insert(set.begin(), set.end());
    }
    return edges;
}

std::uint64_t ledger_members::hash() const {
    std::string text;
    for (const auto* list : {&this->current, &this->previous}) {
        std::set<std::pair<std::string_view, std::string_view>> sorted;  // independent of the order in the settings
        std::set<std::string_view> regions;
        for (const auto& member : *list) {
            sorted.emplace(member.edge, member.region);
            regions.insert(member.region);
        }
        for (const auto& [edge, region] : sorted) {
            text += std::string(edge) + ' ' + std::string(region) + ' ';
        }
        // Differs between versions: an edge that keeps one replica in every region must not serve entries to an edge
        // that keeps three replicas.
        text += regions.size() > ledger_replicas ? "3 regions\n" : "\n";
    }
    return XXH64(text.data(), text.size(), 0);
}

}  // namespace persimmongrade
