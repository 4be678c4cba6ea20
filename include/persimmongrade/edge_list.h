// An edge's copy of the leader's list of edges. Pure.
//
//     list.name_version(ping);                                  // in every ping
//     if (list.receive(pong)) { use(list.entries()); }          // pongs of the current leader only
//
// Pongs carry the entries that changed since the version that the ping named. Late and duplicate pongs of a term change
// nothing; a pong of another term replaces the list. A pong without a list leaves it as it is.

#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "messages_generated.h"

namespace persimmongrade {

class edge_list {
public:
    using entry_list = std::vector<std::unique_ptr<wire::edge_info_t>>;

    void name_version(wire::edge_ping_t& ping) const;
    bool receive(const wire::edge_pong_t& pong);  // whether the list changed

    const entry_list& entries() const noexcept { return this->items; }      // by id
    std::uint64_t term() const noexcept { return this->known_term; }        // of the leader that stated the list
    std::uint64_t version() const noexcept { return this->known_version; }  // in the term of its leader; 0: none

private:
    entry_list items;
    std::uint64_t known_term = 0;
    std::uint64_t known_version = 0;
};

}  // namespace persimmongrade
