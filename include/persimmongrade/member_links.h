// Maintains the connections to the other members of the replicated log when its voter set changes.
//
//     auto members = other_members(log.voters(), log.id());
//     update_member_connections(peers, connected, std::move(members), [&](const auto& id, const auto& address) {
//         peers.add_peer(id, ip_address::parse(address));
//     });

#pragma once

#include <map>
#include <string>
#include <utility>

#include "messages_generated.h"
#include "persimmongrade/peer_transport.h"

namespace persimmongrade {

using member_addresses = std::map<std::string, std::string>;  // peer address by member id

// Members of the voter set except `own_id` and except those whose replacement has the same peer address, which would
// receive their messages. Any other member that is being replaced counts, and may come back, until it is removed.
inline member_addresses other_members(const wire::voter_set_t& set, const std::string& own_id) {
    member_addresses others;
    for (const auto& voter : set.voters) {
        if (voter->id != own_id) {
            others[voter->id] = voter->address;
        }
    }
    for (const auto& voter : set.voters) {
        auto replaced = others.find(voter->replaces);
        if (replaced != others.end() && replaced->second == voter->address) {
            others.erase(replaced);
        }
    }
    return others;
}

// Calls add(id, address) for each new member, and removes the connections of former members.
template <typename Add>
void update_member_connections(peer_transport& peers, member_addresses& connected, member_addresses members, Add add) {
    for (const auto& [id, address] : connected) {
        if (!members.contains(id)) {
            peers.remove_peer(id);
        }
    }
    for (const auto& [id, address] : members) {
        if (!connected.contains(id)) {
            add(id, address);
        }
    }
    connected = std::move(members);
}

}  // namespace persimmongrade
