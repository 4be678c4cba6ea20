// Store of the configuration items that operators declare: routes, services, organisations and the limits for clients;
// and of the evacuations and departures that bind gateways. Control processes use it for the state that is applied from
// the replicated log, gateways for their copy of that state.
//
//     item_store store;
//     if (auto reason = store.problem(batch)) { refuse(*reason); }
//     store.apply(batch, log_index);                  // control process: a committed entry
//     auto delta = store.changes_since(known_index);  // for a gateway that has the state of that index
//     other_store.merge(delta);                       // gateway: deltas may be reordered and duplicated
//
// Each item has its own version. The highest version wins, whether it sets or removes the item; equal and lower
// versions are ignored. Removed items are kept as tombstones, so that an older version that arrives late does not
// restore them.

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

inline constexpr std::size_t max_accepted_calls = 4096;  // kept digests; older calls are no longer resent
// Kept departures: more than leave within a minute, and small enough for a slow link to a gateway that starts.
inline constexpr std::size_t max_departures = 512;

// Items that have changed, in the order of their keys.
struct changed_items {
    std::vector<wire::item_t> items;  // without documents
    std::size_t bytes = 0;            // estimated size
    std::optional<item_key> ends_at;  // the last item; empty: no further item has changed
};

class item_store {
public:
    // Control processes: validation and the replicated log.

    // The reason why the batch is invalid; empty when it is valid.
    std::optional<std::string> problem(const wire::item_batch_t& batch) const;
    bool was_accepted(std::uint64_t digest) const;  // the same call has been applied; a resend must not be refused
    void apply(const wire::item_batch_t& batch, std::uint64_t index);
    void apply(const wire::zone_evacuation_t& evacuation, std::uint64_t index);
    void apply(const wire::target_departure_t& departure, std::uint64_t index);
    std::vector<std::uint8_t> snapshot() const;
    void load(const std::vector<std::uint8_t>& bytes);  // replaces the state; empty: the state before the first entry

    // Gateways: copies of the state.

    // Does not contain the documents of items, because links to gateways are slow.
    wire::items_delta_t changes_since(std::uint64_t index) const;
    // Items changed after the log index, those with greater keys than `after` only (null: all), up to `max_bytes` and
    // at least one.
    changed_items changes_after(std::uint64_t index, const item_key* after, std::size_t max_bytes) const;
    wire::items_delta_t announcements_since(std::uint64_t index) const;                    // evacuations and departures
    std::uint64_t last_announcement() const noexcept { return this->announcement_index; }  // log index
    // Returns whether anything is new. Evacuations and departures do not depend on what came before them.
    bool merge_announcements(const wire::items_delta_t& delta);
    // All that changed between the applied index and `upto`.
    void merge_items(const std::vector<std::unique_ptr<wire::item_t>>& changed, std::uint64_t upto);
    // Returns false when the delta is not newer, or when its base is beyond the applied index, so that changes are
    // missing.
    bool merge(const wire::items_delta_t& delta);
    std::uint64_t applied() const noexcept { return this->last_index; }  // log index; 0: the state is empty
    void set_applied(std::uint64_t index) noexcept { this->last_index = std::max(this->last_index, index); }

    // Reads. Removed items are not found.

    bool empty() const noexcept { return this->items.empty(); }
    void each(const std::function<void(const wire::item_t&)>& visit) const;         // in the order of kind and name
    const wire::item_t* find(wire::item_kind kind, const std::string& name) const;  // null when there is none
    bool evacuated(const std::string& zone) const;
    std::set<std::string> evacuated_zones() const;
    const wire::target_departure_t* find_departure(const std::string& target) const;  // null when there is none
    void each_departure(const std::function<void(const wire::target_departure_t&)>& visit) const;

private:
    bool put(const wire::item_t& item, std::uint64_t index);
    void record_accepted(std::uint64_t digest, std::uint64_t index);
    bool put(const wire::target_departure_t& departure);

    std::map<item_key, wire::item_t> items;
    std::map<std::string, wire::zone_evacuation_t> evacuations;  // by zone
    std::map<std::string, wire::target_departure_t> departures;  // by target
    std::map<std::uint64_t, std::uint64_t> accepted;             // log index by digest of the call
    std::uint64_t last_index = 0;
    std::uint64_t announcement_index = 0;  // of the last evacuation or departure
};

}  // namespace persimmongrade
