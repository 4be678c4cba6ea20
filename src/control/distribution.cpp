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

void distribution::set_authority(time_point now, std::int64_t unix_now_ms, const leader_authority& new_authority) {
    // A leader lease that expired and was regained in the same term needs no restart: no other process was leader in
    // between.
    bool is_new_term = new_authority.serving && new_authority.term != this->authority.term;
    bool is_first_service = new_authority.serving && !this->published_at;
    std::uint64_t served_term = new_authority.serving ? new_authority.term : this->authority.term;
    this->authority = new_authority;
    this->authority.term = served_term;
    if (is_new_term || is_first_service) {
        this->start_serving(now, unix_now_ms);
    }
}

void distribution::start_serving(time_point now, std::int64_t unix_now_ms) {
    this->serving_since = now;
    this->unix_offset_ms = unix_now_ms - now.time_since_epoch().count();
    this->drain_progress.clear();
    this->list_version = 0;
    this->entries_by_version.clear();
    this->next_silence_check_at = now;
    for (auto& [id, entry] : this->entries) {
        edge_entry fresh;
        fresh.info.id = id;
        fresh.lease_expires_at = granter_expiry(now, this->options.configuration_lease);
        entry = std::move(fresh);
    }
    this->publish(now);
}

// ---- Publication and pushes ----

bool distribution::is_publish_due(time_point now) const {
    return this->store.revision() != this->published_revision_number &&
           now >= *this->published_at + this->options.publish_interval;
}

void distribution::publish(time_point now) {
    this->published_revision_number = this->store.revision();
    this->published_at = now;
    this->prepared_changes.clear();
}

void distribution::publish_if_due(time_point now) {
    if (this->authority.serving && this->is_publish_due(now)) {
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

const distribution::prepared_change& distribution::prepare_change(std::uint64_t base) {
    auto [found, added] = this->prepared_changes.try_emplace(base);
    prepared_change& change = found->second;
    if (!added) {
        return change;
    }
    change.small_delta = std::make_unique<wire::configuration_delta_t>(this->store.changes_since(base));
    encoded_delta encoded = encode_delta(*change.small_delta);
    if (encoded->size() > this->options.max_push_bytes) {
        change.large_delta = std::move(encoded);
        change.small_delta.reset();
    }
    return change;
}

// Sends the changes that the edge lacks. Only one push is in flight at a time; changes accepted meanwhile are sent
// together in the next push. A push has the content of the newest revision and publishes it.
void distribution::push_if_behind(time_point now, edge_entry& entry, std::vector<peer_message>& messages) {
    bool is_reachable = entry.has_pinged && now < entry.last_ping + this->options.alive_timeout;
    if (!is_reachable || this->continue_transfer(now, entry, messages)) {
        return;
    }
    bool is_behind = entry.acknowledged_revision < this->published_revision_number || entry.needs_full_copy;
    bool is_push_in_flight = entry.pushed_revision != 0 && now < entry.pushed_at + this->options.resend_after;
    if (is_behind && !is_push_in_flight) {
        this->push(now, entry, messages);
    }
}

void distribution::push(time_point now, edge_entry& entry, std::vector<peer_message>& messages) {
    if (this->published_revision_number != this->store.revision()) {
        this->publish(now);
    }
    const prepared_change& change =
        this->prepare_change(std::exchange(entry.needs_full_copy, false) ? 0 : entry.acknowledged_revision);
    if (change.large_delta) {
        transfer_id name{this->authority.term, ++this->last_transfer_number};
        entry.pushed_revision = 0;
        entry.transfer.emplace(this->options.transfer, name, this->published_revision_number, change.large_delta);
        this->continue_transfer(now, entry, messages);
        return;
    }
    wire::config_push_t push;
    push.term = this->authority.term;
    push.delta = std::make_unique<wire::configuration_delta_t>(*change.small_delta);
    entry.pushed_revision = this->published_revision_number;
    entry.pushed_at = now;
    messages.push_back(make_message(entry.info.id, std::move(push)));
}

// Sends the parts that are due. Returns false when no transfer is in progress or it has ended.
bool distribution::continue_transfer(time_point now, edge_entry& entry, std::vector<peer_message>& messages) {
    if (!entry.transfer) {
        return false;
    }
    bool is_applied = entry.acknowledged_revision >= entry.transfer->revision();
    if (is_applied || entry.transfer->has_apply_timed_out(now)) {
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
    if (!this->authority.serving || found == this->entries.end() || !found->second.has_pinged) {
        return messages;
    }
    edge_entry& entry = found->second;
    bool is_older_incarnation = ack.incarnation != 0 && ack.incarnation != entry.info.incarnation;
    bool is_older_transfer = ack.transfer != 0 && (!entry.transfer || entry.transfer->number() != ack.transfer);
    if (is_older_incarnation || is_older_transfer) {
        return messages;
    }
    entry.pushed_revision = 0;
    if (entry.transfer && ack.transfer != 0) {
        entry.transfer->acknowledge(ack.part, now);
    }
    // An edge that waits for a transfer also requests a full copy, because it is behind. The transfer is aborted only
    // when the edge could not use its parts; otherwise a slow transfer would be restarted again and again.
    bool is_transfer_rejected = ack.need_full && ack.transfer != 0;
    if (is_transfer_rejected) {
        entry.transfer.reset();
    }
    entry.needs_full_copy = ack.need_full && !entry.transfer;
    if (!ack.need_full) {
        entry.acknowledged_revision = std::max(entry.acknowledged_revision, ack.revision);
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
    bool is_overtaken =
        entry.has_pinged && ping.incarnation == entry.info.incarnation && ping.sequence <= entry.last_sequence;
    if (is_overtaken) {
        return messages;
    }
    this->update_entry(now, entry, ping);
    bool is_current = ping.applied_revision >= this->published_revision_number;
    pong.sequence = ping.sequence;
    pong.leader = this->authority.leader;
    pong.term = this->authority.term;
    pong.committed_revision = this->published_revision_number;
    pong.config_lease_ms = is_current ? static_cast<std::uint32_t>(this->options.configuration_lease.count()) : 0;
    if (is_current) {
        entry.lease_expires_at = granter_expiry(now, this->options.configuration_lease);
    }
    this->add_edge_list(now, ping, pong);
    messages.push_back(make_message(ping.edge, std::move(pong)));
    this->push_if_behind(now, entry, messages);
    this->update_drains(now);
    return messages;
}

void distribution::update_entry(time_point now, edge_entry& entry, const wire::edge_ping_t& ping) {
    if (!entry.has_pinged || ping.incarnation != entry.info.incarnation) {
        entry.acknowledged_revision = 0;  // a restarted edge has lost its configuration
        entry.pushed_revision = 0;
        entry.transfer.reset();
    }
    entry.has_pinged = true;
    entry.last_ping = now;
    entry.last_sequence = ping.sequence;
    entry.acknowledged_revision = std::max(entry.acknowledged_revision, ping.applied_revision);
    entry.reported_revision = ping.applied_revision;
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
    this->update_list_entry(now, entry);
}

// ---- Edge list ----

// Updates the entry in the list, with a new version, when it has changed.
void distribution::update_list_entry(time_point now, edge_entry& entry) {
    wire::edge_info_t info = this->info_of(now, entry);
    info.applied_revision = 0;
    if (entry.listed_version != 0 && info == entry.listed_info) {
        return;
    }
    this->entries_by_version.erase(entry.listed_version);
    entry.listed_info = std::move(info);
    entry.listed_version = ++this->list_version;
    this->entries_by_version[entry.listed_version] = &entry;
}

// Updates the list entries of edges that stopped pinging. Checks all edges only when one can have become silent.
void distribution::update_silent_entries(time_point now) {
    if (now < this->next_silence_check_at) {
        return;
    }
    this->next_silence_check_at = now + this->options.alive_timeout;
    for (auto& [id, entry] : this->entries) {
        if (!entry.has_pinged || !entry.listed_info.alive) {
            continue;
        }
        this->update_list_entry(now, entry);
        if (entry.listed_info.alive) {
            this->next_silence_check_at =
                std::min(this->next_silence_check_at, entry.last_ping + this->options.alive_timeout);
        }
    }
}

void distribution::add_edge_list(time_point now, const wire::edge_ping_t& ping, wire::edge_pong_t& pong) {
    pong.edges.clear();
    pong.edges_version = 0;
    if (!this->is_edge_list_complete(now)) {
        return;
    }
    this->update_silent_entries(now);
    bool is_version_known = ping.edges_term == this->authority.term && ping.edges_version <= this->list_version;
    pong.edges_base = is_version_known ? ping.edges_version : 0;
    pong.edges_version = this->list_version;
    for (auto item = this->entries_by_version.upper_bound(pong.edges_base); item != this->entries_by_version.end();
         ++item) {
        pong.edges.push_back(std::make_unique<wire::edge_info_t>(item->second->listed_info));
    }
}

// A new leader receives the first pings of the edges one by one. Until all have pinged or `alive_timeout` has passed,
// it sends no list, and the edges keep their copy: an incomplete list would make them drop live peers.
bool distribution::is_edge_list_complete(time_point now) const {
    return now >= this->serving_since + this->options.alive_timeout ||
           std::all_of(this->entries.begin(), this->entries.end(),
                       [](const auto& item) { return item.second.has_pinged; });
}

// ---- Progress ----

std::vector<wire::edge_info_t> distribution::edges(time_point now) const {
    std::vector<wire::edge_info_t> result;
    for (const auto& [id, entry] : this->entries) {
        if (!entry.has_pinged) {
            continue;
        }
        result.push_back(this->info_of(now, entry));
    }
    return result;
}

wire::edge_info_t distribution::info_of(time_point now, const edge_entry& entry) const {
    wire::edge_info_t info = entry.info;
    info.applied_revision = entry.acknowledged_revision;
    info.alive = now < entry.last_ping + this->options.alive_timeout;
    return info;
}

// Whether the edge may still use a configuration older than `revision`.
bool distribution::may_use_older_revision(time_point now, const edge_entry& entry, std::uint64_t revision) const {
    return entry.acknowledged_revision < revision && now < entry.lease_expires_at;
}

std::vector<std::string> distribution::not_in_force(time_point now, std::uint64_t revision) const {
    std::vector<std::string> missing;
    for (const auto& [id, entry] : this->entries) {
        if (this->may_use_older_revision(now, entry, revision)) {
            missing.push_back(id);
        }
    }
    return missing;
}

// Whether the edge has, or may still start, requests on the target. Counts taken before the edge applied the drain do
// not include requests started since. The counts of a silent edge are outdated: only its lease decides.
bool distribution::may_have_requests(time_point now, const edge_entry& entry, const std::string& target,
                                     std::uint64_t revision) const {
    bool has_lease = now < entry.lease_expires_at;
    bool is_alive = entry.has_pinged && now < entry.last_ping + this->options.alive_timeout;
    if (!is_alive) {
        return has_lease;
    }
    bool has_requests = entry.outstanding.contains(target) && entry.outstanding.at(target) > 0;
    return has_requests || (has_lease && entry.reported_revision < revision);
}

void distribution::update_drains(time_point now) {
    std::map<std::string, drain_status> updated;
    for (drain_status& status : this->drains(now)) {
        updated[status.target] = std::move(status);
    }
    this->drain_progress = std::move(updated);
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
            if (this->may_have_requests(now, entry, drain.target, status.revision)) {
                status.waiting_for.push_back(id);
            }
        }
        auto before = this->drain_progress.find(drain.target);
        bool is_same_drain = before != this->drain_progress.end() && before->second.revision == status.revision;
        if (is_same_drain && before->second.drain_time) {
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
