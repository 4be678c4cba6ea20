// Voter sets: quorums, and the changes from one set to the next. Free of I/O.
//
// Votes. A voter has a whole vote, or shares votes with others: when a process replaces one of several voters of which
// one is lost, and it is not known which, all of them stay. Of n voters that share, `lost_sharers` are lost, and the
// others have n - lost_sharers votes. k of them that act have max(0, k - lost_sharers) votes, so that two groups
// without a common member never have more votes than there are.
//
// Quorums. A majority of the votes is a quorum. So is a group that would have a majority together with voters whose
// disks are known to be lost, if the others have none without it: it has a member in each majority, and the lost voters
// cannot act in another group. The loss must be known before the election in whose term the quorum counts
// (consensus.h).
//
// Changes. Each change of votes goes through a joint set, which needs quorums of the set before and of the new one.
// Once the joint set is committed, the leader appends the new set alone. Members that only the set before contains are
// `leaving` until then.

#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "persimmongrade/consensus.h"

namespace persimmongrade {

// Voters whose disks are known to be lost, by id. Such a voter never acts again.
using lost_voter_set = std::set<std::string>;

inline const wire::voter_t* find_member(const wire::voter_set_t& set, const std::string& id) {
    auto found = std::find_if(set.voters.begin(), set.voters.end(), [&](const auto& item) { return item->id == id; });
    return found == set.voters.end() ? nullptr : found->get();
}

// ---- Votes and quorums ----

// Of a joint set: the new set, or the one before.
enum class voter_set_part : std::uint8_t { current, earlier };

inline wire::vote_share share_of(const wire::voter_set_t& set, const wire::voter_t& member, voter_set_part part) {
    if (set.joint && part == voter_set_part::earlier) {
        return member.earlier_vote;
    }
    if (!member.voting) {
        return wire::vote_share::none;
    }
    return member.shares_vote ? wire::vote_share::shared : wire::vote_share::whole;
}

// Votes of the members for which `acts` holds.
template <typename Predicate>
std::size_t count_votes(const wire::voter_set_t& set, voter_set_part part, const Predicate& acts) {
    std::size_t whole = 0;
    std::size_t shared = 0;
    for (const auto& member : set.voters) {
        if (acts(*member)) {
            auto share = share_of(set, *member, part);
            whole += share == wire::vote_share::whole ? 1 : 0;
            shared += share == wire::vote_share::shared ? 1 : 0;
        }
    }
    bool is_earlier = set.joint && part == voter_set_part::earlier;
    std::size_t lost = is_earlier ? set.earlier_lost_sharers : set.lost_sharers;
    return whole + (shared > lost ? shared - lost : 0);
}

inline std::size_t total_votes(const wire::voter_set_t& set) {
    return count_votes(set, voter_set_part::current, [](const auto&) { return true; });
}

// Whether the members for which `acts` holds are a quorum of the set, and of the set before if it is joint.
template <typename Predicate>
bool is_quorum(const wire::voter_set_t& set, const lost_voter_set& lost, const Predicate& acts) {
    auto is_quorum_of = [&](voter_set_part part) {
        std::size_t total = count_votes(set, part, [](const auto&) { return true; });
        auto is_majority = [&](const auto& group) { return 2 * count_votes(set, part, group) > total; };
        return is_majority(acts) ||
               (is_majority([&](const auto& member) { return acts(member) || lost.contains(member.id); }) &&
                !is_majority([&](const auto& member) { return !acts(member); }));
    };
    return is_quorum_of(voter_set_part::current) && (!set.joint || is_quorum_of(voter_set_part::earlier));
}

// The highest value that all members of some quorum reach. `value_of` gives an optional value of a member, which does
// not reach any when empty. Empty when no quorum has values.
template <typename ValueOf>
auto quorum_value(const wire::voter_set_t& set, const lost_voter_set& lost, const ValueOf& value_of) {
    using optional_value = std::invoke_result_t<const ValueOf&, const wire::voter_t&>;
    std::vector<std::pair<optional_value, const wire::voter_t*>> members;
    for (const auto& member : set.voters) {
        if (auto value = value_of(*member)) {
            members.emplace_back(value, member.get());
        }
    }
    std::sort(members.begin(), members.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    for (auto end = members.begin(); end != members.end(); ++end) {
        auto acts = [&](const wire::voter_t& member) {
            return std::any_of(members.begin(), end + 1, [&](const auto& item) { return item.second == &member; });
        };
        if (is_quorum(set, lost, acts)) {
            return end->first;
        }
    }
    return optional_value();
}

// Has a vote in the set, or in the one before if it is joint.
inline bool is_voting(const wire::voter_set_t& set, const std::string& id) {
    const auto* member = find_member(set, id);
    return member != nullptr && (member->voting || (set.joint && member->earlier_vote != wire::vote_share::none));
}

// ---- Changes ----

// Whether the member that `member` replaces is still in the set.
inline bool awaits_removal(const wire::voter_set_t& set, const wire::voter_t& member) {
    return !member.replaces.empty() && find_member(set, member.replaces) != nullptr;
}

// Whether a member has another vote in `next` than in `set`.
bool changes_votes(const wire::voter_set_t& set, const wire::voter_set_t& next);

// The joint set from `set`, which is not joint, to `next`.
wire::voter_set_t joint_set(const wire::voter_set_t& set, const wire::voter_set_t& next);

// The new set of a joint set.
wire::voter_set_t completed_set(const wire::voter_set_t& joint);

// The set without the member `id`. A member that replaces it replaces next what it was to replace itself: a replacement
// may be lost before it has caught up.
wire::voter_set_t without_member(const wire::voter_set_t& set, const std::string& id);

// The set in which the member `id` votes, in place of what it replaces. `answers` tells which members are known to run:
// those are not lost. When all that it may replace run, it is not needed, and is no longer in the set.
wire::voter_set_t with_promoted(const wire::voter_set_t& set, const std::string& id,
                                const std::function<bool(const std::string&)>& answers);

// The set in which the member `id`, which shares votes and is known to run, has a whole vote.
wire::voter_set_t with_whole_vote(const wire::voter_set_t& set, const std::string& id);

// ---- Encoding in membership entries and snapshots ----

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
