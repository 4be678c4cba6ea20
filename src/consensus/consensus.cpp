// Contents: construction and events; log; roles; votes; follower (append, snapshot); leader (replication, commit,
// lease, membership, transfer); requests.

#include "persimmongrade/consensus.h"

#include <algorithm>
#include <functional>

#include "voter_sets.h"

namespace persimmongrade {

namespace {

// A member this close behind the commit index counts as caught up: under steady load it always lags a little.
constexpr std::uint64_t promotion_lag_entries = 8;

// Highest sequence value that is converted back to a time, so that a damaged value cannot overflow the clock.
constexpr std::uint64_t max_sequence_ms = 1ull << 50;

std::size_t entry_bytes(const wire::log_entry_t& entry) {
    return entry.payload.size() + 64;  // 64: upper estimate of the encoding around the payload
}

}  // namespace

// ---- Construction and events ----

consensus::consensus(consensus_options options, std::string id, persistent_state state, std::uint64_t random_seed,
                     time_point now)
    : options(options), own_id(std::move(id)), random(random_seed), hard(std::move(state.hard)),
      reported_hard(this->hard), newest_snapshot(std::move(state.newest_snapshot)),
      base_index(this->newest_snapshot->last_index), base_term(this->newest_snapshot->last_term),
      committed(this->newest_snapshot->last_index), heard_from_leader(now) {
    this->voter_sets.push_back({this->base_index, this->newest_snapshot->voters});
    for (auto& entry : state.entries) {
        this->append(std::move(entry));
    }
    this->synced = this->last_index();
    this->pending = {};
    this->wait_for_leader(now);
}

actions consensus::tick(time_point now) {
    if (this->role == role_kind::leader) {
        this->tick_leader(now);
    } else if (now >= this->election_due) {
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
    this->synced = std::max(this->synced, std::min(index, this->last_index()));
    if (this->role == role_kind::leader) {
        this->advance_commit(now);
    }
    return this->finish();
}

actions consensus::snapshot_taken(time_point, std::uint64_t index, byte_string data) {
    bool usable = index > this->newest_snapshot->last_index && index <= this->committed && index >= this->base_index;
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
    if (this->hard != this->reported_hard) {
        this->pending.hard = this->hard;
        this->reported_hard = this->hard;
    }
    if (this->is_leader() != this->was_leader) {
        this->pending.leadership = this->is_leader() ? leadership_change::gained : leadership_change::lost;
        this->was_leader = this->is_leader();
    }
    this->pending.snapshot_due =
        this->committed - this->newest_snapshot->last_index >= this->options.snapshot_threshold;
    return std::exchange(this->pending, {});
}

template <typename Message>
void consensus::send(const std::string& to, Message message) {
    auto& slot = this->pending.messages.emplace_back();
    slot.to = to;
    slot.body.Set(std::move(message));
}

// Replication may overlap with the leader's own sync, because the leader counts itself only after log_synced. A term
// that has not been persisted must not become visible, though.
template <typename Message>
void consensus::send_early(const std::string& to, Message message) {
    if (this->hard != this->reported_hard) {
        this->send(to, std::move(message));
        return;
    }
    auto& slot = this->pending.early_messages.emplace_back();
    slot.to = to;
    slot.body.Set(std::move(message));
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
            throw membership_error("entry " + std::to_string(entry.index) + " holds no valid voter set");
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

void consensus::append_own(wire::entry_kind kind, byte_string payload) {
    wire::log_entry_t entry;
    entry.term = this->hard.term;
    entry.index = this->last_index() + 1;
    entry.kind = kind;
    entry.payload = std::move(payload);
    this->append(std::move(entry));
}

void consensus::truncate_from(std::uint64_t index) {
    this->log.resize(index - this->base_index - 1);
    this->synced = std::min(this->synced, index - 1);
    while (this->voter_sets.size() > 1 && this->voter_sets.back().index >= index) {
        this->voter_sets.pop_back();
        this->pending.voters_changed = true;
    }
}

// Drops entries up to and including `index` from memory.
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
    while (this->committed < index) {
        ++this->committed;
        this->pending.committed.push_back(this->entry_at(this->committed));
    }
}

// Replaces the state by a received snapshot. Entries after it are kept only when the log contains its last entry.
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
    this->committed = value.last_index;
    this->synced = std::max(this->synced, value.last_index);
    this->newest_snapshot = std::make_shared<const snapshot>(std::move(value));
    this->pending.save_snapshot = this->newest_snapshot;
    this->pending.install = this->newest_snapshot;
    this->pending.voters_changed = true;
}

// ---- Roles ----

duration consensus::random_duration(duration limit) {
    return duration(std::uniform_int_distribution<std::int64_t>(0, limit.count())(this->random));
}

void consensus::wait_for_leader(time_point now) {
    this->election_due = now + this->options.election_timeout + this->random_duration(this->options.election_timeout);
}

// Until an unanswered or split election is repeated: longer than the round trip between regions, and short enough that
// one repetition still ends within a second after a leader's death.
duration consensus::retry_wait() {
    auto wait = this->options.election_timeout / 4;
    return wait + this->random_duration(wait);
}

void consensus::become_follower(time_point now, std::uint64_t term, const std::string& leader) {
    if (term > this->hard.term) {
        this->hard = {term, {}};
        this->incoming.reset();
    }
    if (this->role != role_kind::follower) {
        this->wait_for_leader(now);
    }
    this->role = role_kind::follower;
    this->leader = leader;
    this->votes.clear();
    this->members.clear();
    this->transfer_target.clear();
}

// A valid message from the leader of `term` arrived.
void consensus::accept_leader(time_point now, std::uint64_t term, const std::string& leader) {
    if (term > this->hard.term || this->role != role_kind::follower || this->leader != leader) {
        this->become_follower(now, term, leader);
    }
    this->heard_from_leader = now;
    this->wait_for_leader(now);
}

// Asks whether an election could be won, without raising the term. Repeated quickly: other voters may still be within
// the election timeout of a leader that has just died.
void consensus::start_pre_vote(time_point now) {
    if (!this->is_voter()) {
        this->wait_for_leader(now);
        return;
    }
    this->become_follower(now, this->hard.term, {});
    this->role = role_kind::pre_candidate;
    this->election_due = now + this->retry_wait();
    this->votes.insert(this->own_id);
    wire::vote_request_t request;
    request.term = this->hard.term + 1;
    request.candidate = this->own_id;
    request.last_log_index = this->last_index();
    request.last_log_term = this->last_term();
    request.pre_vote = true;
    for (const auto& member : this->voters().voters) {
        if (member->voting && member->id != this->own_id) {
            this->send(member->id, request);
        }
    }
    this->count_votes(now);
}

void consensus::start_election(time_point now, bool transfer) {
    this->become_follower(now, this->hard.term + 1, {});
    this->role = role_kind::candidate;
    this->hard.voted_for = this->own_id;
    this->election_due = now + this->retry_wait();
    this->votes.insert(this->own_id);
    wire::vote_request_t request;
    request.term = this->hard.term;
    request.candidate = this->own_id;
    request.last_log_index = this->last_index();
    request.last_log_term = this->last_term();
    request.transfer = transfer;
    for (const auto& member : this->voters().voters) {
        if (member->voting && member->id != this->own_id) {
            this->send(member->id, request);
        }
    }
    this->count_votes(now);
}

void consensus::count_votes(time_point now) {
    auto granted = static_cast<std::size_t>(std::count_if(
        this->votes.begin(), this->votes.end(), [&](const auto& id) { return is_voting(this->voters(), id); }));
    if (granted < majority_of(this->voters())) {
        return;
    }
    if (this->role == role_kind::pre_candidate) {
        this->start_election(now, false);
    } else if (this->role == role_kind::candidate) {
        this->become_leader(now);
    }
}

void consensus::become_leader(time_point now) {
    this->role = role_kind::leader;
    this->leader = this->own_id;
    this->leader_since = now;
    this->heartbeat_due = now + this->options.heartbeat_interval;
    this->update_members();
    this->append_own(wire::entry_kind::noop, {});  // entries of earlier terms are committed only through this one
    this->replicate(now, send_reason::reply);
}

// ---- Votes ----

// Whether a live leader may hold a lease that this process has to protect. A new leader protects itself for as long
// as the first replies may take.
bool consensus::refuses_votes(time_point now) const {
    if (this->role != role_kind::leader) {
        return now < this->heard_from_leader + this->options.election_timeout;
    }
    return this->has_leader_lease(now) ||
           (this->transfer_target.empty() && now < this->leader_since + this->options.election_timeout);
}

bool consensus::log_is_current(const wire::vote_request_t& request) const {
    return request.last_log_term > this->last_term() ||
           (request.last_log_term == this->last_term() && request.last_log_index >= this->last_index());
}

// Of two members that ask at the same time with equal logs, the one with the lower id goes on and the other waits:
// otherwise both would become candidates and split the votes.
bool consensus::grant_pre_vote(time_point now, const wire::vote_request_t& request) {
    bool eligible = request.term > this->hard.term && this->log_is_current(request);
    bool tie = this->role == role_kind::pre_candidate && request.last_log_index == this->last_index() &&
               request.last_log_term == this->last_term();
    if (!eligible || (tie && this->own_id < request.candidate)) {
        return false;
    }
    if (this->role == role_kind::pre_candidate) {
        this->become_follower(now, this->hard.term, {});
        this->election_due = now;
    }
    if (this->role == role_kind::follower) {
        this->election_due = std::max(this->election_due, now + this->retry_wait());
    }
    return true;
}

void consensus::on_vote_request(time_point now, const wire::vote_request_t& request) {
    wire::vote_reply_t reply;
    reply.pre_vote = request.pre_vote;
    bool refused = request.term < this->hard.term || (!request.transfer && this->refuses_votes(now));
    if (refused) {
        reply.term = this->hard.term;
    } else if (request.pre_vote) {
        reply.granted = this->grant_pre_vote(now, request);
        reply.term = reply.granted ? request.term : this->hard.term;
    } else {
        if (request.term > this->hard.term) {
            this->become_follower(now, request.term, {});
        }
        bool free = this->hard.voted_for.empty() || this->hard.voted_for == request.candidate;
        reply.granted = free && this->leader.empty() && this->log_is_current(request);
        reply.term = this->hard.term;
        if (reply.granted) {
            this->become_follower(now, request.term, {});
            this->hard.voted_for = request.candidate;
            this->wait_for_leader(now);
        }
    }
    this->send(request.candidate, reply);
}

void consensus::on_vote_reply(time_point now, const std::string& from, const wire::vote_reply_t& reply) {
    bool pre_vote_granted = reply.pre_vote && reply.granted;
    if (reply.term > this->hard.term && !pre_vote_granted) {
        this->become_follower(now, reply.term, {});
        return;
    }
    bool counts = reply.pre_vote ? this->role == role_kind::pre_candidate && reply.term == this->hard.term + 1
                                 : this->role == role_kind::candidate && reply.term == this->hard.term;
    if (counts && reply.granted) {
        this->votes.insert(from);
        this->count_votes(now);
    }
}

void consensus::on_timeout_now(time_point now, const std::string& from, const wire::timeout_now_t& request) {
    bool valid = request.term == this->hard.term && this->role == role_kind::follower && this->leader == from;
    if (valid && this->is_voter()) {
        this->start_election(now, true);
    }
}

// ---- Follower ----

bool consensus::entries_are_valid(const wire::append_request_t& request) const {
    auto index = request.prev_log_index;
    auto term = request.prev_log_term;
    for (const auto& entry : request.entries) {
        ++index;
        if (entry->index != index || entry->term < term || entry->term > request.term) {
            return false;
        }
        bool decodable = entry->kind != wire::entry_kind::membership || decode_voters(entry->payload).has_value();
        if (!decodable) {
            return false;
        }
        term = entry->term;
    }
    return true;
}

// Where the leader should continue when its entry at `index` is missing here or has another term: the end of the log,
// or the first entry of the conflicting term.
std::uint64_t consensus::first_conflict(std::uint64_t index) const {
    auto term = this->term_at(index);
    if (!term) {
        return this->last_index() + 1;
    }
    while (index > this->committed + 1 && this->term_at(index - 1) == term) {
        --index;
    }
    return index;
}

void consensus::store_entries(const wire::append_request_t& request) {
    for (const auto& entry : request.entries) {
        if (entry->index <= this->committed || this->term_at(entry->index) == entry->term) {
            continue;
        }
        if (entry->index <= this->last_index()) {
            this->truncate_from(entry->index);
        }
        this->append(*entry);
    }
}

void consensus::on_append_request(time_point now, const wire::append_request_t& request) {
    wire::append_reply_t reply;
    reply.term = this->hard.term;
    if (request.term < this->hard.term) {
        this->send(request.leader, reply);  // sequence 0: tells the sender the newer term and nothing else
        return;
    }
    bool acceptable =
        (this->role != role_kind::leader || request.term > this->hard.term) && this->entries_are_valid(request);
    if (!acceptable) {
        return;
    }
    this->accept_leader(now, request.term, request.leader);
    reply.term = this->hard.term;
    reply.sequence = request.sequence;
    // Entries up to the commit index are known to be equal to the leader's.
    bool matches =
        request.prev_log_index <= this->committed || this->term_at(request.prev_log_index) == request.prev_log_term;
    if (!matches) {
        reply.conflict_index = this->first_conflict(request.prev_log_index);
        this->send(request.leader, reply);
        return;
    }
    this->store_entries(request);
    reply.success = true;
    reply.match_index = request.prev_log_index + request.entries.size();
    this->commit_to(std::min(request.commit_index, reply.match_index));
    this->send(request.leader, reply);
}

// Adds the chunk if it is the next one, installs the snapshot after the last one, and returns the wanted offset.
std::uint64_t consensus::store_chunk(const wire::snapshot_chunk_t& chunk) {
    bool same = this->incoming && this->incoming->term == chunk.term &&
                this->incoming->last_index == chunk.last_index && this->incoming->last_term == chunk.last_term;
    if (!same) {
        this->incoming = incoming_snapshot{chunk.term, chunk.last_index, chunk.last_term, {}};
    }
    auto& data = this->incoming->data;
    if (chunk.offset != data.size()) {
        return data.size();
    }
    data.insert(data.end(), chunk.data.begin(), chunk.data.end());
    auto next_offset = data.size();
    if (chunk.done) {
        this->install({chunk.last_index, chunk.last_term, *chunk.voters, std::move(data)});
    }
    return next_offset;
}

void consensus::on_snapshot_chunk(time_point now, const wire::snapshot_chunk_t& chunk) {
    wire::snapshot_reply_t reply;
    reply.term = this->hard.term;
    if (chunk.term < this->hard.term) {
        this->send(chunk.leader, reply);
        return;
    }
    bool acceptable = (this->role != role_kind::leader || chunk.term > this->hard.term) && chunk.voters != nullptr;
    if (!acceptable) {
        return;
    }
    this->accept_leader(now, chunk.term, chunk.leader);
    reply.term = this->hard.term;
    reply.sequence = chunk.sequence;
    reply.last_index = chunk.last_index;
    if (chunk.last_index > this->committed) {
        reply.next_offset = this->store_chunk(chunk);
    }
    reply.done = chunk.last_index <= this->committed;
    if (reply.done) {
        this->incoming.reset();
    }
    this->send(chunk.leader, reply);
}

// ---- Leader: replication ----

// Requests carry their send time in milliseconds of this leadership, so that a reply tells when its request was sent.
std::uint64_t consensus::sequence_at(time_point now) const {
    return static_cast<std::uint64_t>((now - this->leader_since).count()) + 1;
}

void consensus::note_acked(time_point now, progress& peer, std::uint64_t sequence) {
    if (sequence == 0 || sequence > max_sequence_ms) {
        return;
    }
    auto sent = this->leader_since + duration(static_cast<std::int64_t>(sequence - 1));
    if (sent <= now && (!peer.acked || sent > *peer.acked)) {
        peer.acked = sent;
    }
}

void consensus::tick_leader(time_point now) {
    auto timeout = this->options.election_timeout;
    auto acked = this->quorum_acked(now);
    bool isolated = now >= this->leader_since + timeout && (!acked || now >= *acked + timeout);
    bool transfer_failed = !this->transfer_target.empty() && now >= this->transfer_due;
    // A late timeout_now of this term could still start an election that ignores the lease, so a failed transfer ends
    // the leadership.
    if (isolated || transfer_failed) {
        this->become_follower(now, this->hard.term, {});
        return;
    }
    if (now >= this->heartbeat_due) {
        this->heartbeat_due = now + this->options.heartbeat_interval;
        this->replicate(now, send_reason::heartbeat);
    }
    this->advance_membership(now);
}

void consensus::replicate(time_point now, send_reason reason) {
    for (auto& [member, peer] : this->members) {
        this->replicate_to(now, member, peer, reason);
    }
}

void consensus::replicate_to(time_point now, const std::string& member, progress& peer, send_reason reason) {
    if (!peer.sending && peer.next <= this->base_index) {
        peer.sending = this->newest_snapshot;
        peer.offset = 0;
        peer.chunk_sent.reset();
    }
    if (peer.sending) {
        if (reason != send_reason::proposal) {
            this->send_snapshot(now, member, peer);
        }
        return;
    }
    if (peer.probing) {
        // An unreachable member gets empty probes; entries follow once it has answered.
        if (reason != send_reason::proposal) {
            this->send_entries(now, member, peer, reason == send_reason::reply);
        }
        return;
    }
    if (reason == send_reason::heartbeat) {
        this->send_entries(now, member, peer, true);
    }
    while (peer.next <= this->last_index() && peer.next - peer.match <= this->options.max_inflight_entries) {
        this->send_entries(now, member, peer, true);
    }
}

void consensus::send_entries(time_point now, const std::string& member, progress& peer, bool with_entries) {
    wire::append_request_t request;
    request.term = this->hard.term;
    request.leader = this->own_id;
    request.prev_log_index = peer.next - 1;
    request.prev_log_term = *this->term_at(peer.next - 1);
    request.commit_index = this->committed;
    request.sequence = this->sequence_at(now);
    bool room = peer.probing || peer.next - peer.match <= this->options.max_inflight_entries;
    auto index = peer.next;
    std::size_t bytes = 0;
    while (with_entries && room && index <= this->last_index() &&
           request.entries.size() < this->options.max_append_entries) {
        const auto& entry = this->entry_at(index);
        bytes += entry_bytes(entry);
        if (bytes > this->options.max_append_bytes && !request.entries.empty()) {
            break;
        }
        request.entries.push_back(std::make_unique<wire::log_entry_t>(entry));
        ++index;
    }
    if (!peer.probing) {
        peer.next = index;
    }
    this->send_early(member, std::move(request));
}

// Sends the next chunk, or without data (as a heartbeat) while a chunk is unanswered.
void consensus::send_snapshot(time_point now, const std::string& member, progress& peer) {
    const auto& source = *peer.sending;
    wire::snapshot_chunk_t chunk;
    chunk.term = this->hard.term;
    chunk.leader = this->own_id;
    chunk.last_index = source.last_index;
    chunk.last_term = source.last_term;
    chunk.voters = std::make_unique<wire::voter_set_t>(source.voters);
    chunk.offset = peer.offset;
    chunk.sequence = this->sequence_at(now);
    if (!peer.chunk_sent || now >= *peer.chunk_sent + this->options.snapshot_retry_interval) {
        auto size = std::min(this->options.snapshot_chunk_bytes, source.data.size() - peer.offset);
        const auto* begin = source.data.data() + peer.offset;
        chunk.data.assign(begin, begin + size);
        chunk.done = peer.offset + size == source.data.size();
        peer.chunk_sent = now;
    }
    this->send_early(member, std::move(chunk));
}

consensus::progress* consensus::accept_reply(time_point now, const std::string& from, std::uint64_t term,
                                             std::uint64_t sequence) {
    if (term > this->hard.term) {
        this->become_follower(now, term, {});
        return nullptr;
    }
    auto found = this->members.find(from);
    bool current = this->role == role_kind::leader && term == this->hard.term && sequence > 0;
    if (!current || found == this->members.end()) {
        return nullptr;
    }
    this->note_acked(now, found->second, sequence);
    return &found->second;
}

void consensus::on_append_reply(time_point now, const std::string& from, const wire::append_reply_t& reply) {
    progress* acked = this->accept_reply(now, from, reply.term, reply.sequence);
    if (acked == nullptr) {
        return;
    }
    progress& peer = *acked;
    if (reply.success) {
        peer.probing = false;
        peer.match = std::max(peer.match, std::min(reply.match_index, this->last_index()));
        peer.next = std::max(peer.next, peer.match + 1);
        this->replicate_to(now, from, peer, send_reason::proposal);
        this->advance_commit(now);  // may change the members: `peer` is not used after this
    } else if (auto retry = std::max(reply.conflict_index, peer.match + 1); !peer.sending && retry < peer.next) {
        // The follower skips a whole term, which can reach back before entries that are known to match.
        peer.probing = true;
        peer.next = retry;
        this->replicate_to(now, from, peer, send_reason::reply);
    }
    this->continue_transfer();
}

void consensus::on_snapshot_reply(time_point now, const std::string& from, const wire::snapshot_reply_t& reply) {
    progress* acked = this->accept_reply(now, from, reply.term, reply.sequence);
    if (acked == nullptr) {
        return;
    }
    progress& peer = *acked;
    if (!peer.sending || reply.last_index != peer.sending->last_index) {
        return;
    }
    if (reply.done) {
        peer.match = std::max(peer.match, reply.last_index);
        peer.next = peer.match + 1;
        peer.probing = false;
        peer.sending.reset();
        this->replicate_to(now, from, peer, send_reason::reply);
        this->advance_commit(now);  // may change the members: `peer` is not used after this
        return;
    }
    if (reply.next_offset == peer.offset && peer.chunk_sent) {
        return;  // answer to a heartbeat; the chunk itself is still unanswered
    }
    peer.offset = reply.next_offset <= peer.sending->data.size() ? reply.next_offset : 0;
    peer.chunk_sent.reset();
    this->replicate_to(now, from, peer, send_reason::reply);
}

// ---- Leader: commit and lease ----

void consensus::advance_commit(time_point now) {
    std::vector<std::uint64_t> matches;
    for (const auto& member : this->voters().voters) {
        if (member->voting) {
            matches.push_back(this->match_index(member->id));
        }
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    auto index = matches[majority_of(this->voters()) - 1];
    // An older entry on a majority can still be replaced by a later leader; only entries of this term are counted.
    if (index <= this->committed || this->term_at(index) != this->hard.term) {
        return;
    }
    this->commit_to(index);
    bool removed = this->voter_sets.back().index <= this->committed && !this->is_voter();
    if (removed) {
        this->replicate(now, send_reason::heartbeat);  // the others learn the commit before this one stops leading
        this->become_follower(now, this->hard.term, {});
        return;
    }
    this->advance_membership(now);
}

// Send time of the newest round of requests that a majority has answered.
std::optional<time_point> consensus::quorum_acked(time_point now) const {
    std::vector<time_point> times;
    for (const auto& member : this->voters().voters) {
        if (!member->voting) {
            continue;
        }
        if (member->id == this->own_id) {
            times.push_back(now);
        } else if (auto peer = this->members.find(member->id); peer != this->members.end() && peer->second.acked) {
            times.push_back(*peer->second.acked);
        }
    }
    auto majority = majority_of(this->voters());
    if (times.size() < majority) {
        return std::nullopt;
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[majority - 1];
}

// Voters that answered a request refuse other candidates for one election timeout after it arrived; the lease ends
// earlier by the clock margin.
bool consensus::has_leader_lease(time_point now) const {
    if (this->role != role_kind::leader || !this->transfer_target.empty()) {
        return false;
    }
    auto acked = this->quorum_acked(now);
    return acked && now < holder_expiry(*acked, this->options.election_timeout);
}

bool consensus::has_committed_in_term() const {
    return this->term_at(this->committed) == this->hard.term;
}

bool consensus::can_serve_reads(time_point now) const {
    return this->has_leader_lease(now) && this->has_committed_in_term();
}

std::uint64_t consensus::match_index(const std::string& member) const {
    if (this->is_leader() && member == this->own_id) {
        return this->synced;
    }
    auto found = this->members.find(member);
    return found == this->members.end() ? 0 : found->second.match;
}

// ---- Leader: membership ----

bool consensus::membership_change_pending() const {
    const auto& set = this->voters();
    return this->voter_sets.back().index > this->committed ||
           std::any_of(set.voters.begin(), set.voters.end(),
                       [&](const auto& member) { return !member->voting || awaits_removal(set, *member); });
}

bool consensus::caught_up(time_point now, const std::string& member) const {
    auto found = this->members.find(member);
    if (found == this->members.end()) {
        return false;
    }
    const auto& peer = found->second;
    bool live = peer.acked && now < *peer.acked + this->options.election_timeout;
    return live && peer.match > 0 && peer.match + promotion_lag_entries >= this->committed;
}

// Appends the next automatic change, if any: a promotion, or the removal of a member that has been replaced.
void consensus::advance_membership(time_point now) {
    bool free = this->is_leader() && this->transfer_target.empty() && this->has_committed_in_term() &&
                this->voter_sets.back().index <= this->committed;
    if (!free) {
        return;
    }
    wire::voter_set_t next = this->voters();
    for (auto& member : next.voters) {
        if (!member->voting && this->caught_up(now, member->id)) {
            member->voting = true;
            this->append_voters(now, next);
            return;
        }
    }
    for (const auto& member : next.voters) {
        if (member->voting && awaits_removal(next, *member)) {
            this->append_voters(now, without_member(next, member->replaces));
            return;
        }
    }
}

void consensus::append_voters(time_point now, const wire::voter_set_t& voters) {
    this->append_own(wire::entry_kind::membership, encode_voters(voters));
    this->update_members();
    this->replicate(now, send_reason::proposal);
}

// Makes `members` hold exactly the other members of the newest set.
void consensus::update_members() {
    std::map<std::string, progress> updated;
    for (const auto& member : this->voters().voters) {
        if (member->id == this->own_id) {
            continue;
        }
        auto known = this->members.find(member->id);
        auto& peer = updated[member->id];
        if (known != this->members.end()) {
            peer = known->second;
        } else {
            peer.next = this->last_index() + 1;
        }
    }
    this->members = std::move(updated);
}

// ---- Leader: transfer ----

void consensus::continue_transfer() {
    auto target = this->members.find(this->transfer_target);
    bool ready = !this->transfer_sent && target != this->members.end() && target->second.match == this->last_index();
    if (!ready) {
        return;
    }
    wire::timeout_now_t request;
    request.term = this->hard.term;
    request.leader = this->own_id;
    this->send(this->transfer_target, request);
    this->transfer_sent = true;
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
        this->append_own(wire::entry_kind::command, std::move(payload));
    }
    this->replicate(now, send_reason::proposal);
    result.todo = this->finish();
    return result;
}

proposal consensus::change_voters(time_point now, const membership_change& change) {
    this->require_leader();
    if (this->voter_sets.back().index > this->committed || !this->has_committed_in_term()) {
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
        next.voters.push_back(std::make_unique<wire::voter_t>(change.member));
        next.voters.back()->voting = false;
    } else {
        if (present == nullptr) {
            throw membership_error("member " + id + " is unknown");
        }
        next = without_member(next, id);
        if (voter_count(next) == 0) {
            throw membership_error("member " + id + " is the last voter");
        }
    }
    proposal result{this->last_index() + 1, this->hard.term, {}};
    this->append_voters(now, next);
    result.todo = this->finish();
    return result;
}

actions consensus::transfer_leadership(time_point now, const std::string& to) {
    this->require_leader();
    std::string target;
    std::uint64_t best = 0;
    for (const auto& [member, peer] : this->members) {
        bool live = peer.acked && now < *peer.acked + this->options.election_timeout;
        bool eligible = live && is_voting(this->voters(), member) && (to.empty() || member == to);
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
    this->transfer_due = now + this->options.election_timeout;
    this->continue_transfer();
    return this->finish();
}

}  // namespace persimmongrade
