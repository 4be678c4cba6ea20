#include "persimmongrade/distribution.h"

#include <algorithm>
#include <utility>

namespace persimmongrade {

namespace {

template <typename Body>
peer_message make_message(const std::string& to, Body body) {
    peer_message message;
    message.to = to;
    message.body.Set(std::move(body));
    return message;
}

}  // namespace

distribution::distribution(distribution_options options, const std::vector<std::string>& edges,
                           const record_store& store)
    : options(options), store(store) {
    for (const std::string& id : edges) {
        this->entries[id].info.id = id;
    }
}

// ---- Leadership ----

void distribution::set_authority(time_point now, std::int64_t unix_now_ms, const leader_authority& changed) {
    // A lease that lapsed and came back within one term changes nothing: no other process was leader in between.
    bool new_term = changed.serving && changed.term != this->authority.term;
    bool first_service = changed.serving && !this->published_at;
    std::uint64_t served_term = changed.serving ? changed.term : this->authority.term;
    this->authority = changed;
    this->authority.term = served_term;
    if (new_term || first_service) {
        this->take_over(now, unix_now_ms);
    }
}

void distribution::take_over(time_point now, std::int64_t unix_now_ms) {
    this->serving_since = now;
    this->unix_offset_ms = unix_now_ms - now.time_since_epoch().count();
    this->progress.clear();
    this->list_version = 0;
    this->listed.clear();
    this->next_silence = now;
    for (auto& [id, entry] : this->entries) {
        edge_entry fresh;
        fresh.info.id = id;
        fresh.lease_until = granter_expiry(now, this->options.configuration_lease);
        entry = std::move(fresh);
    }
    this->publish(now);
}

// ---- Publication and pushes ----

bool distribution::publish_due(time_point now) const {
    return this->store.revision() != this->published && now >= *this->published_at + this->options.publish_interval;
}

void distribution::publish(time_point now) {
    this->published = this->store.revision();
    this->published_at = now;
    this->changes.clear();
}

void distribution::publish_if_due(time_point now) {
    if (this->authority.serving && this->publish_due(now)) {
        this->publish(now);
    }
}

std::vector<peer_message> distribution::tick(time_point now) {
    std::vector<peer_message> messages;
    if (!this->authority.serving) {
        return messages;
    }
    this->publish_if_due(now);
    for (auto& [id, entry] : this->entries) {
        this->push_if_behind(now, entry, messages);
    }
    this->update_drains(now);
    return messages;
}

const distribution::prepared_change& distribution::change_since(std::uint64_t base) {
    auto [found, added] = this->changes.try_emplace(base);
    prepared_change& change = found->second;
    if (!added) {
        return change;
    }
    change.small = std::make_unique<wire::configuration_delta_t>(this->store.changes_since(base));
    encoded_delta encoded = encode_delta(*change.small);
    if (encoded->size() > this->options.max_push_bytes) {
        change.large = std::move(encoded);
        change.small.reset();
    }
    return change;
}

// Sends the changes that the edge lacks. One push is in flight at a time, so changes accepted meanwhile travel
// together in the next one. The content is that of the newest revision, which is published with it.
void distribution::push_if_behind(time_point now, edge_entry& entry, std::vector<peer_message>& messages) {
    bool reachable = entry.heard && now < entry.last_ping + this->options.alive_timeout;
    if (!reachable || this->continue_transfer(now, entry, messages)) {
        return;
    }
    bool behind = entry.applied < this->published || entry.needs_full;
    bool waiting = entry.sent != 0 && now < entry.sent_at + this->options.resend_after;
    if (behind && !waiting) {
        this->push(now, entry, messages);
    }
}

void distribution::push(time_point now, edge_entry& entry, std::vector<peer_message>& messages) {
    if (this->published != this->store.revision()) {
        this->publish(now);
    }
    const prepared_change& change = this->change_since(std::exchange(entry.needs_full, false) ? 0 : entry.applied);
    if (change.large) {
        transfer_id name{this->authority.term, ++this->last_transfer};
        entry.sent = 0;
        entry.transfer.emplace(this->options.transfer, name, this->published, change.large);
        this->continue_transfer(now, entry, messages);
        return;
    }
    wire::config_push_t push;
    push.term = this->authority.term;
    push.delta = std::make_unique<wire::configuration_delta_t>(*change.small);
    entry.sent = this->published;
    entry.sent_at = now;
    messages.push_back(make_message(entry.info.id, std::move(push)));
}

// Sends the parts that are due; false when no transfer is in progress, or none any more.
bool distribution::continue_transfer(time_point now, edge_entry& entry, std::vector<peer_message>& messages) {
    if (!entry.transfer) {
        return false;
    }
    bool applied = entry.applied >= entry.transfer->revision();
    if (applied || entry.transfer->has_apply_timed_out(now)) {
        entry.transfer.reset();
        return false;
    }
    for (std::uint32_t part : entry.transfer->take_due_parts(now)) {
        messages.push_back(make_message(entry.info.id, entry.transfer->message(part)));
    }
    return true;
}

std::vector<peer_message> distribution::on_ack(time_point now, const wire::config_ack_t& ack) {
    std::vector<peer_message> messages;
    auto found = this->entries.find(ack.edge);
    if (!this->authority.serving || found == this->entries.end() || !found->second.heard) {
        return messages;
    }
    edge_entry& entry = found->second;
    bool earlier_process = ack.incarnation != 0 && ack.incarnation != entry.info.incarnation;
    bool earlier_transfer = ack.transfer != 0 && (!entry.transfer || entry.transfer->number() != ack.transfer);
    if (earlier_process || earlier_transfer) {
        return messages;
    }
    entry.sent = 0;
    if (entry.transfer && ack.transfer != 0) {
        entry.transfer->acknowledge(ack.part, now);
    }
    // An edge that waits for a transfer also asks for a full copy, because it is behind. Only when it could not use
    // the parts is the transfer given up: otherwise a slow transfer would start again and again.
    bool gives_up = ack.need_full && ack.transfer != 0;
    if (gives_up) {
        entry.transfer.reset();
    }
    entry.needs_full = ack.need_full && !entry.transfer;
    if (!ack.need_full) {
        entry.applied = std::max(entry.applied, ack.revision);
    }
    this->push_if_behind(now, entry, messages);
    return messages;
}

// ---- Pings ----

std::vector<peer_message> distribution::on_ping(time_point now, const wire::edge_ping_t& ping, wire::edge_pong_t pong) {
    std::vector<peer_message> messages;
    if (!this->authority.serving) {
        wire::not_leader_t refusal;
        refusal.sequence = ping.sequence;
        refusal.leader = this->authority.leader;
        messages.push_back(make_message(ping.edge, std::move(refusal)));
        return messages;
    }
    auto found = this->entries.find(ping.edge);
    if (found == this->entries.end() || ping.incarnation < found->second.info.incarnation) {
        return messages;
    }
    edge_entry& entry = found->second;
    bool overtaken = entry.heard && ping.incarnation == entry.info.incarnation && ping.sequence <= entry.last_sequence;
    if (overtaken) {
        return messages;
    }
    this->update_entry(now, entry, ping);
    bool current = ping.applied_revision >= this->published;
    pong.sequence = ping.sequence;
    pong.leader = this->authority.leader;
    pong.term = this->authority.term;
    pong.committed_revision = this->published;
    pong.config_lease_ms = current ? static_cast<std::uint32_t>(this->options.configuration_lease.count()) : 0;
    if (current) {
        entry.lease_until = granter_expiry(now, this->options.configuration_lease);
    }
    this->add_edge_list(now, ping, pong);
    messages.push_back(make_message(ping.edge, std::move(pong)));
    this->push_if_behind(now, entry, messages);
    this->update_drains(now);
    return messages;
}

void distribution::update_entry(time_point now, edge_entry& entry, const wire::edge_ping_t& ping) {
    if (!entry.heard || ping.incarnation != entry.info.incarnation) {
        entry.applied = 0;  // a restarted edge has lost its configuration
        entry.sent = 0;
        entry.transfer.reset();
    }
    entry.heard = true;
    entry.last_ping = now;
    entry.last_sequence = ping.sequence;
    entry.applied = std::max(entry.applied, ping.applied_revision);
    entry.reported = ping.applied_revision;
    entry.info.incarnation = ping.incarnation;
    entry.info.region = ping.region;
    entry.info.zone = ping.zone;
    entry.info.http_address = ping.http_address;
    entry.info.peer_address = ping.peer_address;
    entry.info.state = ping.state;
    entry.info.ledger_voting = ping.ledger_voting;
    entry.outstanding.clear();
    for (const auto& item : ping.outstanding) {
        entry.outstanding[item->target] += item->requests;
    }
    this->list_entry(now, entry);
}

// ---- Edge list ----

// Gives the entry a new version when it differs from what the list says.
void distribution::list_entry(time_point now, edge_entry& entry) {
    wire::edge_info_t info = this->info_of(now, entry);
    info.applied_revision = 0;
    if (entry.listed_at != 0 && info == entry.listed) {
        return;
    }
    this->listed.erase(entry.listed_at);
    entry.listed = std::move(info);
    entry.listed_at = ++this->list_version;
    this->listed[entry.listed_at] = &entry;
}

// Lists edges that stopped pinging. Looks at all edges only when one of them can have become silent.
void distribution::list_silent_edges(time_point now) {
    if (now < this->next_silence) {
        return;
    }
    this->next_silence = now + this->options.alive_timeout;
    for (auto& [id, entry] : this->entries) {
        if (!entry.heard || !entry.listed.alive) {
            continue;
        }
        this->list_entry(now, entry);
        if (entry.listed.alive) {
            this->next_silence = std::min(this->next_silence, entry.last_ping + this->options.alive_timeout);
        }
    }
}

void distribution::add_edge_list(time_point now, const wire::edge_ping_t& ping, wire::edge_pong_t& pong) {
    pong.edges.clear();
    pong.edges_version = 0;
    if (!this->edge_table_known(now)) {
        return;
    }
    this->list_silent_edges(now);
    bool known = ping.edges_term == this->authority.term && ping.edges_version <= this->list_version;
    pong.edges_base = known ? ping.edges_version : 0;
    pong.edges_version = this->list_version;
    for (auto item = this->listed.upper_bound(pong.edges_base); item != this->listed.end(); ++item) {
        pong.edges.push_back(std::make_unique<wire::edge_info_t>(item->second->listed));
    }
}

// A new leader hears of the edges one by one. Until it had time to hear of all, it sends no table, and the edges keep
// the one they have instead of seeing their peers vanish.
bool distribution::edge_table_known(time_point now) const {
    return now >= this->serving_since + this->options.alive_timeout ||
           std::all_of(this->entries.begin(), this->entries.end(), [](const auto& item) { return item.second.heard; });
}

// ---- Progress ----

std::vector<wire::edge_info_t> distribution::edges(time_point now) const {
    std::vector<wire::edge_info_t> result;
    for (const auto& [id, entry] : this->entries) {
        if (!entry.heard) {
            continue;
        }
        result.push_back(this->info_of(now, entry));
    }
    return result;
}

wire::edge_info_t distribution::info_of(time_point now, const edge_entry& entry) const {
    wire::edge_info_t info = entry.info;
    info.applied_revision = entry.applied;
    info.alive = now < entry.last_ping + this->options.alive_timeout;
    return info;
}

// Whether the edge may still act on a configuration older than `revision`.
bool distribution::may_act(time_point now, const edge_entry& entry, std::uint64_t revision) const {
    return entry.applied < revision && now < entry.lease_until;
}

std::vector<std::string> distribution::not_in_force(time_point now, std::uint64_t revision) const {
    std::vector<std::string> missing;
    for (const auto& [id, entry] : this->entries) {
        if (this->may_act(now, entry, revision)) {
            missing.push_back(id);
        }
    }
    return missing;
}

// Whether the edge has, or may still start, requests on the target. Counts taken before the edge applied the drain
// prove nothing about requests started since. The counts of a silent edge without a lease are out of date.
bool distribution::has_work(time_point now, const edge_entry& entry, const std::string& target,
                            std::uint64_t revision) const {
    bool has_lease = now < entry.lease_until;
    bool alive = entry.heard && now < entry.last_ping + this->options.alive_timeout;
    if (!alive) {
        return has_lease;
    }
    bool busy = entry.outstanding.contains(target) && entry.outstanding.at(target) > 0;
    return busy || (has_lease && entry.reported < revision);
}

void distribution::update_drains(time_point now) {
    std::map<std::string, drain_status> updated;
    for (drain_status& status : this->drains(now)) {
        updated[status.target] = std::move(status);
    }
    this->progress = std::move(updated);
}

std::vector<drain_status> distribution::drains(time_point now) const {
    std::vector<drain_status> result;
    for (const auto& drain : this->store.drain_list()) {
        drain_status status;
        status.target = drain.target;
        status.revision = this->store.drain_revision(drain.target);
        status.announced_at_ms = drain.announced_at_ms;
        for (const auto& [id, entry] : this->entries) {
            auto count = entry.outstanding.find(drain.target);
            status.outstanding += count == entry.outstanding.end() ? 0 : count->second;
            if (this->has_work(now, entry, drain.target, status.revision)) {
                status.waiting_for.push_back(id);
            }
        }
        auto before = this->progress.find(drain.target);
        bool same = before != this->progress.end() && before->second.revision == status.revision;
        if (same && before->second.drain_time) {
            status.drain_time = before->second.drain_time;
        } else if (status.waiting_for.empty()) {
            std::int64_t unix_now_ms = now.time_since_epoch().count() + this->unix_offset_ms;
            status.drain_time = std::max(duration::zero(), ms(unix_now_ms - drain.announced_at_ms));
        }
        result.push_back(std::move(status));
    }
    return result;
}

}  // namespace persimmongrade
