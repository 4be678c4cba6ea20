// Consensus core: construction and events, log, and requests. See also consensus_election.cpp, consensus_follower.cpp
// and consensus_leader.cpp.

#include "persimmongrade/consensus.h"

#include <algorithm>

#include "voter_sets.h"

namespace persimmongrade {

// ---- Construction and events ----

consensus::consensus(consensus_options options, std::string id, persistent_state state, std::uint64_t random_seed,
                     time_point now)
    : options(options), own_id(std::move(id)), random(random_seed), hard(std::move(state.hard)),
      reported_hard_state(this->hard), newest_snapshot(std::move(state.newest_snapshot)),
      base_index(this->newest_snapshot->last_index), base_term(this->newest_snapshot->last_term),
      committed_index(this->newest_snapshot->last_index), last_leader_contact(now) {
    this->voter_sets.push_back({this->base_index, this->newest_snapshot->voters});
    for (auto& entry : state.entries) {
        this->append(std::move(entry));
    }
    this->synced_index = this->last_index();
    this->pending = {};
    this->reset_election_timer(now);
}

actions consensus::tick(time_point now) {
    if (this->role == role_kind::leader) {
        this->tick_leader(now);
    } else if (now >= this->election_deadline) {
        this->start_pre_vote(now);
    }
    return this->finish();
}

actions consensus::receive(time_point now, const std::string& from, const wire::messageUnion& message) {
    if (from == this->own_id) {
        return this->finish();
    }
    if (const auto* vote = message.Asvote_request(); vote != nullptr && vote->candidate == from) {
        this->on_vote_request(now, *vote);
    } else if (const auto* reply = message.Asvote_reply()) {
        this->on_vote_reply(now, from, *reply);
    } else if (const auto* append = message.Asappend_request(); append != nullptr && append->leader == from) {
        this->on_append_request(now, *append);
    } else if (const auto* appended = message.Asappend_reply()) {
        this->on_append_reply(now, from, *appended);
    } else if (const auto* chunk = message.Assnapshot_chunk(); chunk != nullptr && chunk->leader == from) {
        this->on_snapshot_chunk(now, *chunk);
    } else if (const auto* received = message.Assnapshot_reply()) {
        this->on_snapshot_reply(now, from, *received);
    } else if (const auto* timeout = message.Astimeout_now()) {
        this->on_timeout_now(now, from, *timeout);
    }
    return this->finish();
}

actions consensus::log_synced(time_point now, std::uint64_t index) {
    this->synced_index = std::max(this->synced_index, std::min(index, this->last_index()));
    if (this->role == role_kind::leader) {
        this->advance_commit(now);
    }
    return this->finish();
}

actions consensus::snapshot_taken(time_point, std::uint64_t index, byte_string data) {
    bool usable =
        index > this->newest_snapshot->last_index && index <= this->committed_index && index >= this->base_index;
    if (usable) {
        snapshot value{index, *this->term_at(index), this->voters_at(index), std::move(data)};
        this->newest_snapshot = std::make_shared<const snapshot>(std::move(value));
        this->pending.save_snapshot = this->newest_snapshot;
        auto retained = static_cast<std::uint64_t>(this->options.retained_entries);
        this->compact_to(index > retained ? index - retained : 0);
    }
    return this->finish();
}

actions consensus::finish() {
    if (this->hard != this->reported_hard_state) {
        this->pending.hard = this->hard;
        this->reported_hard_state = this->hard;
    }
    if (this->is_leader() != this->was_leader) {
        this->pending.leadership = this->is_leader() ? leadership_change::gained : leadership_change::lost;
        this->was_leader = this->is_leader();
    }
    this->pending.snapshot_due =
        this->committed_index - this->newest_snapshot->last_index >= this->options.snapshot_threshold;
    return std::exchange(this->pending, {});
}

// ---- Log ----

std::uint64_t consensus::last_index() const {
    return this->base_index + this->log.size();
}

std::uint64_t consensus::last_term() const {
    return this->log.empty() ? this->base_term : this->log.back().term;
}

std::optional<std::uint64_t> consensus::term_at(std::uint64_t index) const {
    if (index == this->base_index) {
        return this->base_term;
    }
    if (index < this->base_index || index > this->last_index()) {
        return std::nullopt;
    }
    return this->entry_at(index).term;
}

const wire::log_entry_t& consensus::entry_at(std::uint64_t index) const {
    return this->log[index - this->base_index - 1];
}

const wire::voter_set_t& consensus::voters() const {
    return this->voter_sets.back().voters;
}

const wire::voter_set_t& consensus::voters_at(std::uint64_t index) const {
    auto newest = std::find_if(this->voter_sets.rbegin(), this->voter_sets.rend(),
                               [&](const voter_set_at& set) { return set.index <= index; });
    return newest->voters;
}

bool consensus::is_voter() const {
    return is_voting(this->voters(), this->own_id);
}

void consensus::append(wire::log_entry_t entry) {
    if (entry.kind == wire::entry_kind::membership) {
        auto voters = decode_voters(entry.payload);
        if (!voters) {
            throw membership_error("entry " + std::to_string(entry.index) + " does not contain a valid voter set");
        }
        this->voter_sets.push_back({entry.index, std::move(*voters)});
        this->pending.voters_changed = true;
    }
    if (this->pending.entries.empty()) {
        this->pending.previous_term = this->last_term();
    }
    this->pending.entries.push_back(entry);
    this->log.push_back(std::move(entry));
}

void consensus::append_new_entry(wire::entry_kind kind, byte_string payload) {
    wire::log_entry_t entry;
    entry.term = this->hard.term;
    entry.index = this->last_index() + 1;
    entry.kind = kind;
    entry.payload = std::move(payload);
    this->append(std::move(entry));
}

void consensus::truncate_from(std::uint64_t index) {
    this->log.resize(index - this->base_index - 1);
    this->synced_index = std::min(this->synced_index, index - 1);
    while (this->voter_sets.size() > 1 && this->voter_sets.back().index >= index) {
        this->voter_sets.pop_back();
        this->pending.voters_changed = true;
    }
}

// Discards the entries up to and including `index` from memory.
void consensus::compact_to(std::uint64_t index) {
    if (index <= this->base_index) {
        return;
    }
    auto term = *this->term_at(index);
    auto dropped = static_cast<std::ptrdiff_t>(index - this->base_index);
    this->log.erase(this->log.begin(), this->log.begin() + dropped);
    this->base_index = index;
    this->base_term = term;
    while (this->voter_sets.size() > 1 && this->voter_sets[1].index <= index) {
        this->voter_sets.pop_front();
    }
}

void consensus::commit_to(std::uint64_t index) {
    while (this->committed_index < index) {
        ++this->committed_index;
        this->pending.committed.push_back(this->entry_at(this->committed_index));
    }
}

// Replaces the state by a received snapshot. Entries after the snapshot are kept only if the log contains its last
// entry.
void consensus::install(snapshot value) {
    if (this->term_at(value.last_index) == value.last_term) {
        this->compact_to(value.last_index);
    } else {
        this->log.clear();
        this->voter_sets.clear();
        this->base_index = value.last_index;
        this->base_term = value.last_term;
    }
    while (!this->voter_sets.empty() && this->voter_sets.front().index <= value.last_index) {
        this->voter_sets.pop_front();
    }
    this->voter_sets.push_front({value.last_index, value.voters});
    this->committed_index = value.last_index;
    this->synced_index = std::max(this->synced_index, value.last_index);
    this->newest_snapshot = std::make_shared<const snapshot>(std::move(value));
    this->pending.save_snapshot = this->newest_snapshot;
    this->pending.install = this->newest_snapshot;
    this->pending.voters_changed = true;
}

// ---- Requests ----

void consensus::require_leader() const {
    if (!this->is_leader()) {
        throw not_leader_error(this->leader);
    }
    if (!this->transfer_target.empty()) {
        throw not_leader_error(this->transfer_target);
    }
}

proposal consensus::propose(time_point now, std::vector<byte_string> payloads) {
    this->require_leader();
    proposal result{this->last_index() + 1, this->hard.term, {}};
    for (auto& payload : payloads) {
        this->append_new_entry(wire::entry_kind::command, std::move(payload));
    }
    this->replicate(now, send_reason::proposal);
    result.todo = this->finish();
    return result;
}

proposal consensus::change_voters(time_point now, const membership_change& change) {
    this->require_leader();
    bool is_busy = this->voter_sets.back().index > this->committed_index || this->voters().joint;
    if (is_busy || !this->has_committed_in_term()) {
        throw membership_busy_error("another membership change or the first entry of this term is uncommitted");
    }
    const auto& id = change.member.id;
    wire::voter_set_t next = this->voters();
    const auto* present = find_member(next, id);
    if (change.action == membership_change::kind::add) {
        const auto& replaces = change.member.replaces;
        if (id.empty() || present != nullptr) {
            throw membership_error("member " + id + " is already present or has no id");
        }
        if (!replaces.empty() && find_member(next, replaces) == nullptr) {
            throw membership_error("replaced member " + replaces + " is unknown");
        }
        for (const std::string& candidate : change.member.replaces_one_of) {
            if (!is_voting(next, candidate)) {
                throw membership_error("voter " + candidate + ", which may be replaced, is unknown");
            }
        }
        next.voters.push_back(std::make_unique<wire::voter_t>(change.member));
        next.voters.back()->voting = false;
    } else {
        if (present == nullptr) {
            throw membership_error("member " + id + " is unknown");
        }
        next = without_member(next, id);
        if (total_votes(next) == 0) {
            throw membership_error("member " + id + " is the last voter");
        }
    }
    proposal result{this->last_index() + 1, this->hard.term, {}};
    this->change_to(now, next);
    result.todo = this->finish();
    return result;
}

actions consensus::transfer_leadership(time_point now, const std::string& to) {
    this->require_leader();
    std::string target;
    std::uint64_t best = 0;
    for (const auto& [member, peer] : this->peers) {
        bool eligible =
            this->is_recently_active(now, member) && is_voting(this->voters(), member) && (to.empty() || member == to);
        if (eligible && (target.empty() || peer.match > best)) {
            target = member;
            best = peer.match;
        }
    }
    if (target.empty()) {
        throw transfer_error("no voter that could take over has answered recently");
    }
    this->transfer_target = target;
    this->transfer_sent = false;
    this->transfer_deadline = now + this->options.election_timeout;
    this->continue_transfer();
    return this->finish();
}

}  // namespace persimmongrade
