#include "voter_admission.h"

#include <algorithm>

namespace persimmongrade {

namespace {

bool is_being_replaced(const wire::voter_set_t& members, const std::string& id) {
    return std::any_of(members.voters.begin(), members.voters.end(),
                       [&](const auto& member) { return member->replaces == id; });
}

}  // namespace

std::optional<wire::voter_t> admitted_voter(const wire::voter_set_t& members, const wire::join_request_t& request,
                                            std::size_t size,
                                            const std::function<duration(const std::string& id)>& silence) {
    wire::voter_t added;
    added.id = request.id;
    added.address = request.address;
    added.voting = false;
    std::size_t remaining = 0;  // once replacements in progress are complete
    std::string lost;
    duration longest = lost_voter_timeout;
    for (const auto& member : members.voters) {
        if (member->id == request.id) {
            return std::nullopt;
        }
        if (is_being_replaced(members, member->id)) {
            continue;
        }
        ++remaining;
        if (member->address == request.address) {
            added.replaces = member->id;  // its process has lost its disk
        }
        duration silent = silence(member->id);
        if (silent > longest) {
            lost = member->id;
            longest = silent;
        }
    }
    if (added.replaces.empty() && remaining >= size) {
        if (lost.empty()) {
            return std::nullopt;
        }
        added.replaces = lost;
    }
    return added;
}

}  // namespace persimmongrade
