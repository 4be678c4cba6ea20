// Items that operators declare: routes, services and the limits for clients. The same store holds the applied state of
// the control log and the copy of each gateway.
//
//     item_store store;
//     if (auto reason = store.problem(batch)) { refuse(*reason); }
//     store.apply(batch, log_index);                  // control: a committed entry
//     auto delta = store.changes_since(known_index);  // to a gateway that knows the state of that index
//     other_store.merge(delta);                       // gateway: any order, any number of times
//
// Each item has a version of its own. The highest version wins, whether it sets or removes the item; equal and lower
// versions change nothing. Removed items are kept, so that a late older version does not bring them back.

#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet_generated.h"

namespace persimmongrade {

using item_key = std::pair<wire::item_kind, std::string>;

inline constexpr std::size_t max_accepted_calls = 4096;  // digests kept; older calls are no longer resent

class item_store {
public:
    // Control: validation and the log.
    std::optional<std::string> problem(const wire::item_batch_t& batch) const;  // why the batch is invalid
    bool was_accepted(std::uint64_t digest) const;  // the same call took effect before, and must not be refused now
    void apply(const wire::item_batch_t& batch, std::uint64_t index);
    void apply(const wire::zone_evacuation_t& evacuation, std::uint64_t index);
    std::vector<std::uint8_t> snapshot() const;
    void load(const std::vector<std::uint8_t>& bytes);  // empty: the state before the first entry

    // Gateways.
    wire::items_delta_t changes_since(std::uint64_t index) const;  // without documents: links to gateways are slow
    bool merge(const wire::items_delta_t& delta);  // false when nothing changed, or when changes before it are missing
    std::uint64_t applied() const noexcept { return this->last_index; }  // 0: nothing is known
    void set_applied(std::uint64_t index) noexcept { this->last_index = std::max(this->last_index, index); }

    // Reads.
    bool empty() const noexcept { return this->items.empty(); }
    void each(const std::function<void(const wire::item_t&)>& visit) const;  // items that stand, by kind and name
    const wire::item_t* find(wire::item_kind kind, const std::string& name) const;  // null when removed or unknown
    bool evacuated(const std::string& zone) const;
    std::set<std::string> evacuated_zones() const;

private:
    bool put(const wire::item_t& item, std::uint64_t index);
    void remember(std::uint64_t digest, std::uint64_t index);

    std::map<item_key, wire::item_t> items;
    std::map<std::string, wire::zone_evacuation_t> evacuations;  // by zone
    std::map<std::uint64_t, std::uint64_t> accepted;             // log index by digest
    std::uint64_t last_index = 0;
};

}  // namespace persimmongrade
