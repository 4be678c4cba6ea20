#include "voter_admission.h"

#include <algorithm>
#include <utility>

namespace persimmongrade {

namespace {

constexpr duration request_expiry = ms(5000);  // many join intervals: the process has ended, or is cut off

bool is_being_replaced(const wire::voter_set_t& members, const std::string& id) {
    return std::any_of(members.voters.begin(), members.voters.end(),
                       [&](const auto& member) { return member->replaces == id; });
}

// Votes of the set once the replacements in progress are complete.
std::size_t votes_after_replacements(const wire::voter_set_t& members) {
    std::size_t votes = 0;
    for (const auto& member : members.voters) {
        bool adds_vote = member->voting || (member->replaces.empty() && member->replaces_one_of.empty());
        votes += adds_vote && !member->leaving ? 1 : 0;
    }
    return votes - std::min<std::size_t>(votes, members.lost_sharers);
}

}  // namespace

std::optional<wire::voter_t> admitted_voter(const wire::voter_set_t& members, const wire::join_request_t& request,
                                            std::size_t size, duration asked_for,
                                            const std::function<duration(const std::string& id)>& silence) {
    wire::voter_t added;
    added.id = request.id;
    added.address = request.address;
    added.voting = false;
    bool is_choice_pending = false;  // another process will replace one of several voters
    for (const auto& member : members.voters) {
        if (member->id == request.id) {
            return std::nullopt;
        }
        is_choice_pending = is_choice_pending || (!member->voting && !member->replaces_one_of.empty());
        if (member->leaving || is_being_replaced(members, member->id)) {
            continue;
        }
        if (member->address == request.address) {  // its process has lost its disk
            if (silence(member->id) <= silent_voter_timeout) {
                return std::nullopt;
            }
            added.replaces = member->id;
            return added;
        }
        if (!member->voting && silence(member->id) > lost_voter_timeout) {  // lost before it has caught up
            added.replaces = member->id;
        }
    }
    if (!added.replaces.empty() || votes_after_replacements(members) < size) {
        return added;
    }
    if (is_choice_pending) {
        return std::nullopt;
    }
    for (const auto& member : members.voters) {
        if (member->leaving || is_being_replaced(members, member->id)) {
            continue;
        }
        duration silent = silence(member->id);
        if (silent > lost_voter_timeout) {
            added.replaces_one_of.push_back(member->id);
        } else if (silent >= asked_for) {
            return std::nullopt;
        }
    }
    return may_replace_one_of(members, added.replaces_one_of) ? std::optional(added) : std::nullopt;
}

bool may_replace_one_of(const wire::voter_set_t& members, const std::vector<std::string>& voters) {
    std::size_t sharing = 0;
    std::size_t whole_votes = 0;
    for (const auto& member : members.voters) {
        if (std::find(voters.begin(), voters.end(), member->id) != voters.end()) {
            ++(member->shares_vote ? sharing : whole_votes);
        }
    }
    return whole_votes > 0 || sharing > members.lost_sharers;
}

std::optional<std::vector<std::string>>
voters_without_host(const std::vector<std::string>& voters, time_point now,
                    const std::function<const host_probe*(const std::string& id)>& probe_of) {
    std::vector<std::string> without_host;
    for (const std::string& id : voters) {
        const host_probe* probe = probe_of(id);
        if (probe == nullptr || now - probe->started_at > host_probe_lifetime) {
            return std::nullopt;
        }
        if (!probe->accepts) {
            without_host.push_back(id);
        }
    }
    return without_host;
}

duration join_requests::asked_for(const std::string& id, time_point now) {
    std::erase_if(this->requests, [&](const auto& entry) { return now - entry.second.last > request_expiry; });
    request_times& times = this->requests.try_emplace(id, request_times{now, now}).first->second;
    times.last = now;
    return now - times.first;
}

}  // namespace persimmongrade
