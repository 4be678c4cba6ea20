#include "voter_sets.h"

#include <utility>

namespace persimmongrade {

namespace {

wire::voter_t* find_mutable(wire::voter_set_t& set, const std::string& id) {
    auto found = std::find_if(set.voters.begin(), set.voters.end(), [&](const auto& item) { return item->id == id; });
    return found == set.voters.end() ? nullptr : found->get();
}

// Voters that share no vote are removed, with the members that were to replace them: all that are left of those that
// share are lost.
void remove_lost_sharers(wire::voter_set_t& set) {
    auto shares = [](const auto& member) { return member->voting && member->shares_vote; };
    auto sharers = static_cast<std::size_t>(std::count_if(set.voters.begin(), set.voters.end(), shares));
    if (sharers > set.lost_sharers) {
        return;
    }
    std::set<std::string> removed;
    for (const auto& member : set.voters) {
        if (shares(member)) {
            removed.insert(member->id);
        }
    }
    std::erase_if(set.voters, [&](const auto& member) {
        return removed.contains(member->id) || (!member->voting && removed.contains(member->replaces));
    });
    set.lost_sharers = 0;
}

}  // namespace

bool changes_votes(const wire::voter_set_t& set, const wire::voter_set_t& next) {
    auto has_same_share = [](const wire::voter_set_t& from, const wire::voter_set_t& to) {
        return std::all_of(from.voters.begin(), from.voters.end(), [&](const auto& member) {
            const auto* other = find_member(to, member->id);
            auto share = other == nullptr ? wire::vote_share::none : share_of(to, *other, voter_set_part::current);
            return share == share_of(from, *member, voter_set_part::current);
        });
    };
    return set.lost_sharers != next.lost_sharers || !has_same_share(set, next) || !has_same_share(next, set);
}

wire::voter_set_t joint_set(const wire::voter_set_t& set, const wire::voter_set_t& next) {
    wire::voter_set_t joint = next;
    joint.joint = true;
    joint.earlier_lost_sharers = set.lost_sharers;
    for (const auto& member : set.voters) {
        wire::voter_t* present = find_mutable(joint, member->id);
        if (present == nullptr) {
            joint.voters.push_back(std::make_unique<wire::voter_t>(*member));
            present = joint.voters.back().get();
            present->voting = false;
            present->shares_vote = false;
            present->leaving = true;
        }
        present->earlier_vote = share_of(set, *member, voter_set_part::current);
    }
    return joint;
}

wire::voter_set_t completed_set(const wire::voter_set_t& joint) {
    wire::voter_set_t next = joint;
    next.joint = false;
    next.earlier_lost_sharers = 0;
    std::erase_if(next.voters, [](const auto& member) { return member->leaving; });
    for (auto& member : next.voters) {
        member->earlier_vote = wire::vote_share::none;
    }
    return next;
}

wire::voter_set_t without_member(const wire::voter_set_t& set, const std::string& id) {
    const wire::voter_t* removed = find_member(set, id);
    wire::voter_set_t result = set;
    std::erase_if(result.voters, [&](const auto& member) { return member->id == id; });
    for (auto& member : result.voters) {
        if (member->replaces == id) {
            member->replaces = removed == nullptr ? std::string() : removed->replaces;
            member->replaces_one_of = removed == nullptr ? std::vector<std::string>() : removed->replaces_one_of;
        }
    }
    remove_lost_sharers(result);
    return result;
}

wire::voter_set_t with_promoted(const wire::voter_set_t& set, const std::string& id,
                                const std::function<bool(const std::string&)>& answers) {
    wire::voter_set_t next = set;
    wire::voter_t* promoted = find_mutable(next, id);
    while (promoted != nullptr && awaits_removal(next, *promoted)) {
        next = without_member(next, std::string(promoted->replaces));
        promoted = find_mutable(next, id);
    }
    if (promoted == nullptr) {
        return next;
    }
    bool may_replace = !promoted->replaces_one_of.empty();
    std::size_t lost = 0;
    for (const std::string& candidate : std::exchange(promoted->replaces_one_of, {})) {
        wire::voter_t* member = find_mutable(next, candidate);
        if (member != nullptr && member->voting && !answers(candidate)) {
            member->shares_vote = true;
            ++lost;
        }
    }
    if (may_replace && lost == 0) {
        return without_member(next, id);
    }
    promoted->voting = true;
    next.lost_sharers += lost > 0 ? 1 : 0;
    remove_lost_sharers(next);
    return next;
}

wire::voter_set_t with_whole_vote(const wire::voter_set_t& set, const std::string& id) {
    wire::voter_set_t next = set;
    if (wire::voter_t* member = find_mutable(next, id)) {
        member->shares_vote = false;
    }
    remove_lost_sharers(next);
    return next;
}

}  // namespace persimmongrade
