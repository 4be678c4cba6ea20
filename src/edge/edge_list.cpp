#include "persimmongrade/edge_list.h"

#include <algorithm>

namespace persimmongrade {

void edge_list::name_version(wire::edge_ping_t& ping) const {
    ping.edges_term = this->known_term;
    ping.edges_version = this->known_version;
}

bool edge_list::receive(const wire::edge_pong_t& pong) {
    // A leader of an earlier release sends the whole list without a version.
    bool unversioned = pong.edges_version == 0 && !pong.edges.empty();
    bool same_term = pong.term == this->known_term;
    bool newer = pong.term > this->known_term || (same_term && pong.edges_version > this->known_version);
    if (!unversioned && (pong.edges_version == 0 || !newer)) {
        return false;
    }
    bool whole = pong.edges_base == 0;
    bool follows = same_term && pong.edges_base <= this->known_version;
    if (!whole && !follows) {
        return false;  // the next ping names the version that is known here
    }
    if (whole) {
        this->items.clear();
    }
    for (const auto& changed : pong.edges) {
        auto found = std::lower_bound(this->items.begin(), this->items.end(), changed->id,
                                      [](const auto& item, const std::string& id) { return item->id < id; });
        auto copy = std::make_unique<wire::edge_info_t>(*changed);
        if (found != this->items.end() && (*found)->id == changed->id) {
            *found = std::move(copy);
        } else {
            this->items.insert(found, std::move(copy));
        }
    }
    this->known_term = pong.term;
    this->known_version = pong.edges_version;
    return true;
}

}  // namespace persimmongrade
