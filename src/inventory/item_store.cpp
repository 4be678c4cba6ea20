#include "persimmongrade/item_store.h"

#include <algorithm>
#include <limits>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace persimmongrade {

namespace {

// A target latency of a route that exceeds its timeout by a minute is a configuration error.
constexpr std::int64_t max_aim_above_timeout_ms = 60000;

std::optional<std::string> route_problem(const std::string& name, const wire::route_rule_t& route) {
    if (static_cast<std::int64_t>(route.aim_ms) - route.timeout_ms >= max_aim_above_timeout_ms) {
        return "route '" + name + "': the target latency exceeds the timeout by a minute or more";
    }
    double weights = 0;
    for (const auto& part : route.parts) {
        weights += part->weight;
    }
    if (!(weights > 0)) {
        return "route '" + name + "': the weights of its services sum to 0";
    }
    return std::nullopt;
}

// A key identifies one organisation. The text must not name the key: it is a secret.
std::optional<std::string> shared_key_problem(const std::map<item_key, const wire::item_t*>& effective,
                                              const std::map<item_key, wire::item_t>& items) {
    std::unordered_map<std::string_view, const std::string*> owners;
    auto problem = [](const std::string& one, const std::string& other) {
        return "organisations '" + one + "' and '" + other + "' have a key in common";
    };
    for (const auto& [key, item] : effective) {
        if (!item->organisation || item->removed) {
            continue;
        }
        for (const std::string& secret : item->organisation->keys) {
            auto [owner, added] = owners.emplace(secret, &item->name);
            if (!added) {
                return problem(*owner->second, item->name);
            }
        }
    }
    if (owners.empty()) {
        return std::nullopt;
    }
    for (const auto& [key, item] : items) {
        if (!item.organisation || item.removed || effective.contains(key)) {
            continue;
        }
        for (const std::string& secret : item.organisation->keys) {
            if (auto owner = owners.find(secret); owner != owners.end()) {
                return problem(item.name, *owner->second);
            }
        }
    }
    return std::nullopt;
}

// Without the document.
std::size_t estimated_bytes(const wire::item_t& item) {
    constexpr std::size_t fixed_bytes = 100;
    std::size_t bytes = fixed_bytes + item.name.size();
    auto add = [&bytes](const std::string& text) { bytes += text.size() + 8; };
    if (item.route) {
        add(item.route->host);
        add(item.route->path_prefix);
        std::for_each(item.route->regions.begin(), item.route->regions.end(), add);
        for (const auto& part : item.route->parts) {
            add(part->service);
        }
    }
    if (item.organisation) {
        std::for_each(item.organisation->keys.begin(), item.organisation->keys.end(), add);
        std::for_each(item.organisation->regions.begin(), item.organisation->regions.end(), add);
    }
    return bytes;
}

}  // namespace

// Only routes that would take effect must refer to existing services. A version that is not newer than the known one
// has no effect, so its services are not checked.
std::optional<std::string> item_store::problem(const wire::item_batch_t& batch) const {
    std::set<std::string> services;
    this->each([&](const wire::item_t& item) {
        if (item.kind == wire::item_kind::service) {
            services.insert(item.name);
        }
    });
    std::map<item_key, const wire::item_t*> effective;
    for (const auto& item : batch.items) {
        item_key key{item->kind, item->name};
        auto held = this->items.find(key);
        if (held != this->items.end() && item->version <= held->second.version) {
            continue;  // must not displace a newer version of the same item in this batch
        }
        auto [place, first] = effective.emplace(key, item.get());
        if (!first && item->version > place->second->version) {
            place->second = item.get();
        }
    }
    bool service_removed = false;
    for (const auto& [key, item] : effective) {
        if (key.first != wire::item_kind::service) {
            continue;
        }
        if (item->removed) {
            service_removed = services.erase(item->name) > 0 || service_removed;
        } else {
            services.insert(item->name);
        }
    }
    auto unknown_service = [&](const wire::item_t& item) -> std::optional<std::string> {
        for (const auto& part : item.route->parts) {
            if (!services.contains(part->service)) {
                return "route '" + item.name + "' refers to the unknown service '" + part->service + "'";
            }
        }
        return std::nullopt;
    };
    for (const auto& item : batch.items) {
        if (item->route && !item->removed) {
            if (auto reason = route_problem(item->name, *item->route)) {
                return reason;
            }
        }
    }
    for (const auto& [key, item] : effective) {
        if (item->route && !item->removed) {
            if (auto reason = unknown_service(*item)) {
                return reason;
            }
        }
    }
    if (auto reason = shared_key_problem(effective, this->items)) {
        return reason;
    }
    if (!service_removed) {
        return std::nullopt;
    }
    for (const auto& [key, item] : this->items) {  // remaining routes must keep their services
        if (item.route && !item.removed && !effective.contains(key)) {
            if (auto reason = unknown_service(item)) {
                return reason;
            }
        }
    }
    return std::nullopt;
}

bool item_store::was_accepted(std::uint64_t digest) const {
    return this->accepted.contains(digest);
}

bool item_store::put(const wire::item_t& item, std::uint64_t index) {
    auto [place, added] = this->items.try_emplace({item.kind, item.name});
    if (!added && item.version <= place->second.version) {
        return false;
    }
    place->second = item;
    place->second.changed_at = index;
    return true;
}

void item_store::record_accepted(std::uint64_t digest, std::uint64_t index) {
    this->accepted[digest] = index;
    if (this->accepted.size() > max_accepted_calls) {
        auto oldest = std::min_element(this->accepted.begin(), this->accepted.end(),
                                       [](const auto& a, const auto& b) { return a.second < b.second; });
        this->accepted.erase(oldest);
    }
}

void item_store::apply(const wire::item_batch_t& batch, std::uint64_t index) {
    for (const auto& item : batch.items) {
        this->put(*item, index);
    }
    this->record_accepted(batch.digest, index);
    this->last_index = std::max(this->last_index, index);
}

void item_store::apply(const wire::zone_evacuation_t& evacuation, std::uint64_t index) {
    wire::zone_evacuation_t& held = this->evacuations[evacuation.zone];
    held = evacuation;
    held.changed_at = index;
    this->announcement_index = std::max(this->announcement_index, index);
    this->last_index = std::max(this->last_index, index);
}

// The departure of the newest start is kept, and of that start the one of the later phase. Returns whether it is new.
bool item_store::put(const wire::target_departure_t& departure) {
    auto rank = [](const wire::target_departure_t& value) { return std::pair(value.started_at_ms, value.phase); };
    auto [place, added] = this->departures.try_emplace(departure.id, departure);
    bool is_new = added || rank(departure) > rank(place->second);
    if (is_new) {
        place->second = departure;
    }
    if (this->departures.size() > max_departures) {
        this->departures.erase(
            std::min_element(this->departures.begin(), this->departures.end(), [](const auto& a, const auto& b) {
                return std::pair(a.second.changed_at, a.first) < std::pair(b.second.changed_at, b.first);
            }));
    }
    return is_new;
}

void item_store::apply(const wire::target_departure_t& departure, std::uint64_t index) {
    wire::target_departure_t applied = departure;
    applied.changed_at = index;
    this->put(applied);
    this->announcement_index = std::max(this->announcement_index, index);
    this->last_index = std::max(this->last_index, index);
}

std::vector<std::uint8_t> item_store::snapshot() const {
    wire::fleet_state_t state;
    for (const auto& [key, item] : this->items) {
        state.items.push_back(std::make_unique<wire::item_t>(item));
    }
    for (const auto& [zone, evacuation] : this->evacuations) {
        state.evacuations.push_back(std::make_unique<wire::zone_evacuation_t>(evacuation));
    }
    for (const auto& [digest, index] : this->accepted) {
        wire::accepted_call_t call;
        call.digest = digest;
        call.changed_at = index;
        state.accepted.push_back(std::make_unique<wire::accepted_call_t>(call));
    }
    for (const auto& [id, departure] : this->departures) {
        state.departures.push_back(std::make_unique<wire::target_departure_t>(departure));
    }
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::fleet_state::Pack(builder, &state));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

// The bytes come from a snapshot file whose checksum has been verified.
void item_store::load(const std::vector<std::uint8_t>& bytes) {
    *this = item_store();
    if (bytes.empty()) {
        return;
    }
    std::unique_ptr<wire::fleet_state_t> state(flatbuffers::GetRoot<wire::fleet_state>(bytes.data())->UnPack());
    for (const auto& item : state->items) {
        this->put(*item, item->changed_at);
        this->last_index = std::max(this->last_index, item->changed_at);
    }
    for (const auto& evacuation : state->evacuations) {
        this->apply(*evacuation, evacuation->changed_at);
    }
    for (const auto& departure : state->departures) {
        this->apply(*departure, departure->changed_at);
    }
    for (const auto& call : state->accepted) {
        this->accepted[call->digest] = call->changed_at;
        this->last_index = std::max(this->last_index, call->changed_at);
    }
}

wire::items_delta_t item_store::changes_since(std::uint64_t index) const {
    wire::items_delta_t delta = this->announcements_since(index);
    delta.base = index;
    delta.upto = this->last_index;
    changed_items changed = this->changes_after(index, nullptr, std::numeric_limits<std::size_t>::max());
    for (wire::item_t& item : changed.items) {
        delta.items.push_back(std::make_unique<wire::item_t>(std::move(item)));
    }
    return delta;
}

changed_items item_store::changes_after(std::uint64_t index, const item_key* after, std::size_t max_bytes) const {
    changed_items changed;
    auto next = after == nullptr ? this->items.begin() : this->items.upper_bound(*after);
    for (; next != this->items.end(); ++next) {
        if (next->second.changed_at <= index) {
            continue;
        }
        std::size_t bytes = estimated_bytes(next->second);
        if (!changed.items.empty() && changed.bytes + bytes > max_bytes) {
            const wire::item_t& end = changed.items.back();
            changed.ends_at = item_key(end.kind, end.name);
            return changed;
        }
        changed.bytes += bytes;
        changed.items.push_back(next->second);
        changed.items.back().document.clear();
    }
    return changed;
}

wire::items_delta_t item_store::announcements_since(std::uint64_t index) const {
    wire::items_delta_t delta;
    for (const auto& [zone, evacuation] : this->evacuations) {
        if (evacuation.changed_at > index) {
            delta.evacuations.push_back(std::make_unique<wire::zone_evacuation_t>(evacuation));
        }
    }
    for (const auto& [id, departure] : this->departures) {
        if (departure.changed_at > index) {
            delta.departures.push_back(std::make_unique<wire::target_departure_t>(departure));
        }
    }
    return delta;
}

bool item_store::merge(const wire::items_delta_t& delta) {
    if (delta.base > this->last_index || delta.upto <= this->last_index) {
        return false;
    }
    this->merge_announcements(delta);
    this->merge_items(delta.items, delta.upto);
    return true;
}

bool item_store::merge_announcements(const wire::items_delta_t& delta) {
    bool is_any_new = false;
    for (const auto& evacuation : delta.evacuations) {
        auto& held = this->evacuations[evacuation->zone];
        if (evacuation->changed_at > held.changed_at) {
            held = *evacuation;
            is_any_new = true;
        }
    }
    for (const auto& departure : delta.departures) {
        is_any_new = this->put(*departure) || is_any_new;
    }
    return is_any_new;
}

void item_store::merge_items(const std::vector<std::unique_ptr<wire::item_t>>& changed, std::uint64_t upto) {
    for (const auto& item : changed) {
        this->put(*item, item->changed_at);
    }
    this->last_index = std::max(this->last_index, upto);
}

void item_store::each(const std::function<void(const wire::item_t&)>& visit) const {
    for (const auto& [key, item] : this->items) {
        if (!item.removed) {
            visit(item);
        }
    }
}

const wire::item_t* item_store::find(wire::item_kind kind, const std::string& name) const {
    auto found = this->items.find({kind, name});
    return found == this->items.end() || found->second.removed ? nullptr : &found->second;
}

bool item_store::evacuated(const std::string& zone) const {
    auto found = this->evacuations.find(zone);
    return found != this->evacuations.end() && found->second.active;
}

std::set<std::string> item_store::evacuated_zones() const {
    std::set<std::string> zones;
    for (const auto& [zone, evacuation] : this->evacuations) {
        if (evacuation.active) {
            zones.insert(zone);
        }
    }
    return zones;
}

const wire::target_departure_t* item_store::find_departure(const std::string& target) const {
    auto found = this->departures.find(target);
    return found == this->departures.end() ? nullptr : &found->second;
}

void item_store::each_departure(const std::function<void(const wire::target_departure_t&)>& visit) const {
    for (const auto& [id, departure] : this->departures) {
        visit(departure);
    }
}

}  // namespace persimmongrade
