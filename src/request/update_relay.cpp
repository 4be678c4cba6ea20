#include "persimmongrade/update_relay.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace persimmongrade {

namespace {

// Rendezvous weight of an edge in its zone or region. Working edges precede all others.
struct candidate {
    int preference = 0;  // 2: working, 1: alive but stopping, 0: not alive in the leader's list
    XXH64_hash_t hash = 0;
    const wire::edge_info_t* edge = nullptr;

    bool operator<(const candidate& other) const {
        return std::tie(this->preference, this->hash, this->edge->id) <
               std::tie(other.preference, other.hash, other.edge->id);
    }
};

candidate make_candidate(const std::string& group, const wire::edge_info_t& edge) {
    bool working = edge.alive && edge.state != wire::edge_state::stopping;
    XXH64_hash_t group_hash = XXH64(group.data(), group.size(), 0);
    return {working ? 2 : (edge.alive ? 1 : 0), XXH64(edge.id.data(), edge.id.size(), group_hash), &edge};
}

void keep_best(std::optional<candidate>& best, const candidate& other) {
    if (!best || *best < other) {
        best = other;
    }
}

using zone_key = std::pair<std::string, std::string>;  // region, zone: zone names are unique only within a region

}  // namespace

tree_position find_tree_position(const edge_place& self, const edge_entries& edges) {
    std::map<zone_key, std::optional<candidate>> by_zone;
    for (const auto& edge : edges) {
        keep_best(by_zone[{edge->region, edge->zone}], make_candidate(edge->zone, *edge));
    }
    std::map<std::string, std::optional<candidate>> by_region;
    for (const auto& [zone, chosen] : by_zone) {
        keep_best(by_region[zone.first], make_candidate(zone.first, *chosen->edge));
    }
    tree_position position;
    auto own_zone = by_zone.find({self.region, self.zone});
    if (own_zone == by_zone.end()) {
        return position;
    }
    position.zone_aggregator = own_zone->second->edge->id;
    position.region_aggregator = by_region[self.region]->edge->id;
    if (position.zone_aggregator == self.id) {
        for (const auto& edge : edges) {
            if (edge->region == self.region && edge->zone == self.zone && edge->id != self.id) {
                position.zone_edges.push_back(edge->id);
            }
        }
    }
    if (position.region_aggregator == self.id) {
        for (const auto& [zone, chosen] : by_zone) {
            if (zone.first == self.region && zone.second != self.zone) {
                position.zone_aggregators.push_back(chosen->edge->id);
            }
        }
        for (const auto& [region, chosen] : by_region) {
            if (region != self.region) {
                position.region_aggregators.push_back(chosen->edge->id);
            }
        }
    }
    for (auto* list : {&position.zone_edges, &position.zone_aggregators, &position.region_aggregators}) {
        std::sort(list->begin(), list->end());
    }
    return position;
}

update_relay::update_relay(relay_options options, target_pool& targets, quarantine& request_quarantine)
    : options(std::move(options)), targets(targets), request_quarantine(request_quarantine),
      destinations(this->find_destinations({})) {}

bool update_relay::is_zone_aggregator() const {
    return this->own_position.zone_aggregator == this->options.self.id;
}

std::map<std::string, update_relay::destination> update_relay::find_destinations(const edge_entries& edges) const {
    std::map<std::string, destination> found;
    auto add = [&](const std::vector<std::string>& ids) {
        for (const std::string& id : ids) {
            if (id != this->options.self.id) {
                found.try_emplace(id);
            }
        }
    };
    if (this->own_position.zone_aggregator.empty()) {
        add(this->options.configured_edges);
    } else if (!this->is_zone_aggregator()) {
        add({this->own_position.zone_aggregator});
    } else {
        add({this->own_position.region_aggregator});
        add(this->own_position.zone_edges);
        add(this->own_position.zone_aggregators);
        add(this->own_position.region_aggregators);
    }
    for (const auto& edge : edges) {
        auto position = found.find(edge->id);
        if (position != found.end()) {
            position->second = {edge->incarnation, edge->alive, std::nullopt};
        }
    }
    return found;
}

relay_messages update_relay::set_edges(time_point now, const edge_entries& edges) {
    bool was_aggregator = this->is_zone_aggregator();
    this->own_position = this->options.position(this->options.self, edges);
    this->other_regions.clear();
    for (const auto& edge : edges) {
        if (edge->region != this->options.self.region) {
            this->other_regions.insert(edge->id);
        }
    }
    auto before = std::move(this->destinations);
    if (!was_aggregator && this->is_zone_aggregator()) {
        // Edges that learned of the change earlier may have sent updates that this edge did not forward. Clearing the
        // previous destinations makes each of them get the full state.
        before.clear();
    }
    this->destinations = this->find_destinations(edges);
    for (auto& [id, entry] : this->destinations) {
        auto old = before.find(id);
        bool same = old != before.end() && old->second.alive && old->second.incarnation == entry.incarnation;
        if (entry.alive) {
            entry.state_due = same ? old->second.state_due : now;
        }
        if (entry.state_due) {
            this->schedule_state(*entry.state_due);
        }
    }
    return this->tick(now);
}

// ---- Target updates ----

relay_messages update_relay::announce(time_point now, const wire::target_info_t& info) {
    if (auto change = this->targets.announce(now, info)) {
        this->request_quarantine.target_alive(info.service, info.id);
        this->batch_change(now, "", *change);
    }
    return this->flush_when_due(now);
}

relay_messages update_relay::receive(time_point now, const std::string& from, const wire::target_update_t& update) {
    for (const target_change& change : this->targets.apply(now, update)) {
        this->request_quarantine.target_alive(change.service, change.id, change.announced_at);
        if (this->is_zone_aggregator()) {
            this->batch_change(now, from, change);
        }
    }
    return this->flush_when_due(now);
}

void update_relay::batch_change(time_point now, const std::string& from, const target_change& change) {
    time_point due = change.urgent ? now : now + relay_batch_interval;
    this->flush_at = this->batched.empty() ? due : std::min(this->flush_at, due);
    this->batched[{change.service, change.id}] = from;
}

// False back to the sender, and between other regions: the region aggregator of the sender's region has already sent
// the update to the region aggregators of all regions.
bool update_relay::should_forward(const std::string& from, const std::string& to) const {
    return from != to && !(this->other_regions.contains(from) && this->other_regions.contains(to));
}

relay_messages update_relay::flush_when_due(time_point now) {
    bool due = !this->batched.empty() && now >= this->flush_at;
    return due ? this->flush(now) : relay_messages{};
}

relay_messages update_relay::flush(time_point now) {
    std::vector<std::pair<wire::target_info_t, std::string>> changes;  // with the sender
    for (const auto& [key, from] : this->batched) {
        if (auto info = this->targets.state_of(now, key.first, key.second)) {
            changes.emplace_back(std::move(*info), from);
        }
    }
    this->batched.clear();
    relay_messages messages;
    for (const auto& [to, entry] : this->destinations) {
        wire::target_update_t update;
        for (const auto& [info, from] : changes) {
            if (this->should_forward(from, to)) {
                update.targets.push_back(std::make_unique<wire::target_info_t>(info));
            }
        }
        if (!update.targets.empty()) {
            messages.push_back({to, {}});
            messages.back().message.Set(std::move(update));
        }
    }
    return messages;
}

// ---- Quarantine notices ----

// Sends to all destinations but the sender; `from` is empty for a notice issued by this edge.
void update_relay::send_notice(const wire::quarantine_notice_t& notice, const std::string& from,
                               relay_messages& messages) const {
    for (const auto& [to, entry] : this->destinations) {
        if (this->should_forward(from, to)) {
            messages.push_back({to, {}});
            messages.back().message.Set(wire::quarantine_notice_t(notice));
        }
    }
}

relay_messages update_relay::receive(time_point now, const std::string& from, const wire::quarantine_notice_t& notice) {
    notice_outcome outcome = this->request_quarantine.receive(now, notice);
    relay_messages messages = this->report(outcome.decided);
    if (outcome.changed && this->is_zone_aggregator()) {
        this->send_notice(notice, from, messages);
    }
    return messages;
}

relay_messages update_relay::report(const std::vector<wire::quarantine_notice_t>& notices) const {
    relay_messages messages;
    for (const auto& notice : notices) {
        this->send_notice(notice, "", messages);
    }
    return messages;
}

// ---- State for new destinations ----

void update_relay::send_failed(time_point now, const std::string& to) {
    auto found = this->destinations.find(to);
    if (found != this->destinations.end() && found->second.alive && !found->second.state_due) {
        found->second.state_due = now + relay_state_retry_interval;
        this->schedule_state(now + relay_state_retry_interval);
    }
}

void update_relay::schedule_state(time_point due) {
    this->first_state_due = this->first_state_due ? std::min(*this->first_state_due, due) : due;
}

void update_relay::append_state(time_point now, const std::string& to, relay_messages& messages) const {
    auto update = this->is_zone_aggregator() ? this->targets.full_update(now) : this->targets.local_update(now);
    if (!update.targets.empty()) {
        messages.push_back({to, {}});
        messages.back().message.Set(std::move(update));
    }
    for (auto& notice : this->request_quarantine.all(now)) {
        messages.push_back({to, {}});
        messages.back().message.Set(std::move(notice));
    }
}

relay_messages update_relay::tick(time_point now) {
    relay_messages messages = this->flush_when_due(now);
    if (!this->first_state_due || now < *this->first_state_due) {
        return messages;
    }
    this->first_state_due.reset();
    for (auto& [id, entry] : this->destinations) {
        if (entry.state_due && now >= *entry.state_due) {
            entry.state_due.reset();
            this->append_state(now, id, messages);
        } else if (entry.state_due) {
            this->schedule_state(*entry.state_due);
        }
    }
    return messages;
}

std::optional<time_point> update_relay::next_tick() const {
    if (this->batched.empty()) {
        return this->first_state_due;
    }
    return this->first_state_due ? std::min(*this->first_state_due, this->flush_at) : this->flush_at;
}

}  // namespace persimmongrade
