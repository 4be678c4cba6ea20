// Functions on wire::voter_set_t: lookup, majority, and the encoding used in membership entries and snapshots.

#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "persimmongrade/consensus.h"

namespace persimmongrade {

inline const wire::voter_t* find_member(const wire::voter_set_t& set, const std::string& id) {
    auto found = std::find_if(set.voters.begin(), set.voters.end(), [&](const auto& item) { return item->id == id; });
    return found == set.voters.end() ? nullptr : found->get();
}

inline bool is_voting(const wire::voter_set_t& set, const std::string& id) {
    const auto* member = find_member(set, id);
    return member != nullptr && member->voting;
}

inline std::size_t voter_count(const wire::voter_set_t& set) {
    return static_cast<std::size_t>(
        std::count_if(set.voters.begin(), set.voters.end(), [](const auto& item) { return item->voting; }));
}

inline std::size_t majority_of(const wire::voter_set_t& set) {
    return voter_count(set) / 2 + 1;
}

// Whether the member that `member` replaces is still in the set.
inline bool awaits_removal(const wire::voter_set_t& set, const wire::voter_t& member) {
    return !member.replaces.empty() && find_member(set, member.replaces) != nullptr;
}

// The set without the member `id`. A member that replaces it replaces next what it was to replace itself: a replacement
// may be lost before it has caught up.
inline wire::voter_set_t without_member(const wire::voter_set_t& set, const std::string& id) {
    wire::voter_set_t result;
    const wire::voter_t* removed = find_member(set, id);
    for (const auto& item : set.voters) {
        if (item->id == id) {
            continue;
        }
        result.voters.push_back(std::make_unique<wire::voter_t>(*item));
        if (item->replaces == id) {
            result.voters.back()->replaces = removed == nullptr ? std::string() : removed->replaces;
        }
    }
    return result;
}

inline byte_string encode_voters(const wire::voter_set_t& set) {
    flatbuffers::FlatBufferBuilder builder(256);
    builder.Finish(wire::voter_set::Pack(builder, &set));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

// Returns nullopt when the bytes are not a valid voter_set. Copies the bytes first, because FlatBuffers needs aligned
// input.
inline std::optional<wire::voter_set_t> decode_voters(const std::uint8_t* bytes, std::size_t size) {
    byte_string aligned(bytes, bytes + size);
    flatbuffers::Verifier verifier(aligned.data(), aligned.size());
    if (!verifier.VerifyBuffer<wire::voter_set>(nullptr)) {
        return std::nullopt;
    }
    wire::voter_set_t set;
    flatbuffers::GetRoot<wire::voter_set>(aligned.data())->UnPackTo(&set);
    return set;
}

inline std::optional<wire::voter_set_t> decode_voters(const byte_string& bytes) {
    return decode_voters(bytes.data(), bytes.size());
}

}  // namespace persimmongrade
