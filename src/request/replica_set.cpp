// Rendezvous hashing of keys to edges.

#include <xxhash.h>

#include <algorithm>

#include "persimmongrade/ledger.h"

namespace persimmongrade {

std::vector<std::string> replica_set(std::string_view key, const std::vector<ledger_member>& members) {
    struct choice {
        XXH64_hash_t weight = 0;
        const std::string* edge = nullptr;
    };
    XXH64_hash_t key_hash = XXH64(key.data(), key.size(), 0);
    std::map<std::string_view, choice> by_region;
    for (const auto& member : members) {
        choice candidate{XXH64(member.edge.data(), member.edge.size(), key_hash), &member.edge};
        auto& best = by_region[member.region];
        bool better = best.edge == nullptr || candidate.weight > best.weight ||
                      (candidate.weight == best.weight && *candidate.edge < *best.edge);
        best = better ? candidate : best;
    }
    std::vector<std::string> edges;
    for (const auto& [region, best] : by_region) {
        edges.push_back(*best.edge);
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
        for (const auto& member : *list) {
            text += member.edge + ' ' + member.region + ' ';
        }
        text += '\n';
    }
    return XXH64(text.data(), text.size(), 0);
}

}  // namespace persimmongrade
