// Consensus core, leader: replication, commit and lease, membership, and leadership transfer.

#include <algorithm>
#include <functional>

#include "consensus_send.h"
#include "voter_sets.h"

namespace persimmongrade {

namespace {

// A member that lags behind the commit index by at most this many entries counts as caught up: under steady load there
// is always a small lag.
constexpr std::uint64_t max_promotion_lag_entries = 8;

// Highest sequence number that is converted back to a time, so that a corrupt value cannot overflow the clock.
constexpr std::uint64_t max_sequence_ms = 1ull << 50;

std::size_t estimated_entry_bytes(const wire::log_entry_t& entry) {
    return entry.payload.size() + 64;  // 64 bytes: upper estimate of the encoding overhead
}

}  // namespace

// ---- Replication ----

// Sequence number of a request: its send time in milliseconds since this leadership began, plus 1. A reply repeats it
// and so tells when its request was sent.
std::uint64_t consensus::sequence_at(time_point now) const {
    return static_cast<std::uint64_t>((now - this->leader_since).count()) + 1;
}

void consensus::record_ack(time_point now, progress& peer, std::uint64_t sequence) {
    if (sequence == 0 || sequence > max_sequence_ms) {
        return;
    }
    auto sent = this->leader_since + duration(static_cast<std::int64_t>(sequence - 1));
    if (sent <= now && (!peer.last_acked_send_time || sent > *peer.last_acked_send_time)) {
        peer.last_acked_send_time = sent;
    }
}

void consensus::tick_leader(time_point now) {
    auto timeout = this->options.election_timeout;
    auto acked = this->quorum_ack_time(now);
    bool isolated = now >= this->leader_since + timeout && (!acked || now >= *acked + timeout);
    bool transfer_failed = !this->transfer_target.empty() && now >= this->transfer_deadline;
    // A timeout_now that arrives late in this term can still start an election that ignores the lease, so the leader
    // steps down after a failed transfer.
    if (isolated || transfer_failed) {
        this->become_follower(now, this->hard.term, {});
        return;
    }
    if (now >= this->next_heartbeat_at) {
        this->next_heartbeat_at = now + this->options.heartbeat_interval;
        this->replicate(now, send_reason::heartbeat);
    }
    this->advance_membership(now);
}

void consensus::replicate(time_point now, send_reason reason) {
    for (auto& [member, peer] : this->peers) {
        this->replicate_to(now, member, peer, reason);
    }
}

void consensus::replicate_to(time_point now, const std::string& member, progress& peer, send_reason reason) {
    if (!peer.snapshot_in_transfer && peer.next <= this->base_index) {
        peer.snapshot_in_transfer = this->newest_snapshot;
        peer.snapshot_offset = 0;
        peer.chunk_sent_at.reset();
    }
    if (peer.snapshot_in_transfer) {
        if (reason != send_reason::proposal) {
            this->send_snapshot(now, member, peer);
        }
        return;
    }
    if (peer.probing) {
        // Probes are empty until the member answers, so that no entries are sent to an unreachable member.
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
    request.commit_index = this->committed_index;
    request.sequence = this->sequence_at(now);
    bool room = peer.probing || peer.next - peer.match <= this->options.max_inflight_entries;
    auto index = peer.next;
    std::size_t bytes = 0;
    while (with_entries && room && index <= this->last_index() &&
           request.entries.size() < this->options.max_append_entries) {
        const auto& entry = this->entry_at(index);
        bytes += estimated_entry_bytes(entry);
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

// Sends the next chunk, or an empty one as a heartbeat while a chunk is unanswered.
void consensus::send_snapshot(time_point now, const std::string& member, progress& peer) {
    const auto& source = *peer.snapshot_in_transfer;
    wire::snapshot_chunk_t chunk;
    chunk.term = this->hard.term;
    chunk.leader = this->own_id;
    chunk.last_index = source.last_index;
    chunk.last_term = source.last_term;
    chunk.voters = std::make_unique<wire::voter_set_t>(source.voters);
    chunk.offset = peer.snapshot_offset;
    chunk.sequence = this->sequence_at(now);
    if (!peer.chunk_sent_at || now >= *peer.chunk_sent_at + this->options.snapshot_retry_interval) {
        auto size = std::min(this->options.snapshot_chunk_bytes, source.data.size() - peer.snapshot_offset);
        const auto* begin = source.data.data() + peer.snapshot_offset;
        chunk.data.assign(begin, begin + size);
        chunk.done = peer.snapshot_offset + size == source.data.size();
        peer.chunk_sent_at = now;
    }
    this->send_early(member, std::move(chunk));
}

consensus::progress* consensus::accept_reply(time_point now, const std::string& from, std::uint64_t term,
                                             std::uint64_t sequence) {
    if (term > this->hard.term) {
        this->become_follower(now, term, {});
        return nullptr;
    }
    auto found = this->peers.find(from);
    bool current = this->role == role_kind::leader && term == this->hard.term && sequence > 0;
    if (!current || found == this->peers.end()) {
        return nullptr;
    }
    this->record_ack(now, found->second, sequence);
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
    } else if (auto retry = std::max(reply.conflict_index, peer.match + 1);
               !peer.snapshot_in_transfer && retry < peer.next) {
        // The follower's conflict index skips a whole term and may lie before entries that are known to match.
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
    if (!peer.snapshot_in_transfer || reply.last_index != peer.snapshot_in_transfer->last_index) {
        return;
    }
    if (reply.done) {
        peer.match = std::max(peer.match, reply.last_index);
        peer.next = peer.match + 1;
        peer.probing = false;
        peer.snapshot_in_transfer.reset();
        this->replicate_to(now, from, peer, send_reason::reply);
        this->advance_commit(now);  // may change the members: `peer` is not used after this
        return;
    }
    if (reply.next_offset == peer.snapshot_offset && peer.chunk_sent_at) {
        return;  // reply to a heartbeat; the chunk itself is still unanswered
    }
    peer.snapshot_offset = reply.next_offset <= peer.snapshot_in_transfer->data.size() ? reply.next_offset : 0;
    peer.chunk_sent_at.reset();
    this->replicate_to(now, from, peer, send_reason::reply);
}

// ---- Commit and lease ----

void consensus::advance_commit(time_point now) {
    auto match_of = [this](const wire::voter_t& member) { return std::optional(this->match_index(member.id)); };
    std::uint64_t index = quorum_value(this->voters(), this->lost_voters_at_election, match_of).value_or(0);
    // A later leader can still replace an entry of an earlier term that a majority holds, so only entries of the
    // current term are committed by counting.
    if (index <= this->committed_index || this->term_at(index) != this->hard.term) {
        return;
    }
    this->commit_to(index);
    bool removed = this->voter_sets.back().index <= this->committed_index && !this->is_voter();
    if (removed) {
        this->replicate(now, send_reason::heartbeat);  // peers learn the commit index before this leader steps down
        this->become_follower(now, this->hard.term, {});
        return;
    }
    this->advance_membership(now);
}

// Latest time such that a quorum of the voters has answered a request sent at that time or later.
std::optional<time_point> consensus::quorum_ack_time(time_point now) const {
    auto acked_at = [&](const wire::voter_t& member) {
        auto peer = this->peers.find(member.id);
        auto answered = peer == this->peers.end() ? std::nullopt : peer->second.last_acked_send_time;
        return member.id == this->own_id ? std::optional(now) : answered;
    };
    return quorum_value(this->voters(), this->lost_voters_at_election, acked_at);
}

// A voter refuses other candidates for one election timeout after a request arrived. The lease is counted from the time
// at which the request was sent, and is shortened by the clock margins (clock.h).
bool consensus::has_leader_lease(time_point now) const {
    if (this->role != role_kind::leader || !this->transfer_target.empty()) {
        return false;
    }
    auto acked = this->quorum_ack_time(now);
    return acked && now < holder_expiry(*acked, this->options.election_timeout);
}

bool consensus::has_committed_in_term() const {
    return this->term_at(this->committed_index) == this->hard.term;
}

bool consensus::knows_all_commits(time_point now) const {
    if (this->role == role_kind::leader) {
        return this->has_committed_in_term();
    }
    return this->caught_up_at && now <= *this->caught_up_at + this->options.election_timeout;
}

bool consensus::can_serve_reads(time_point now) const {
    return this->has_leader_lease(now) && this->has_committed_in_term();
}

std::uint64_t consensus::match_index(const std::string& member) const {
    if (this->is_leader() && member == this->own_id) {
        return this->synced_index;
    }
    auto found = this->peers.find(member);
    return found == this->peers.end() ? 0 : found->second.match;
}

// ---- Membership ----

bool consensus::membership_change_pending() const {
    const auto& set = this->voters();
    return this->voter_sets.back().index > this->committed_index || set.joint ||
           std::any_of(set.voters.begin(), set.voters.end(),
                       [&](const auto& member) { return !member->voting || awaits_removal(set, *member); });
}

bool consensus::is_recently_active(time_point now, const std::string& member) const {
    auto found = this->peers.find(member);
    return found != this->peers.end() && found->second.last_acked_send_time &&
           now < *found->second.last_acked_send_time + this->options.election_timeout;
}

bool consensus::is_caught_up(time_point now, const std::string& member) const {
    std::uint64_t match = this->match_index(member);
    return this->is_recently_active(now, member) && match > 0 &&
           match + max_promotion_lag_entries >= this->committed_index;
}

// The set after the next automatic change of votes, if one is due: a voter that shares votes answers again, a member is
// promoted, or a member that has been replaced is removed.
std::optional<wire::voter_set_t> consensus::next_voters(time_point now) const {
    const wire::voter_set_t& set = this->voters();
    auto answers = [&](const std::string& id) { return id == this->own_id || this->is_recently_active(now, id); };
    for (const auto& member : set.voters) {
        if (member->voting && member->shares_vote && answers(member->id)) {
            return with_whole_vote(set, member->id);
        }
    }
    for (const auto& member : set.voters) {
        bool is_due = member->voting ? awaits_removal(set, *member) : this->is_caught_up(now, member->id);
        if (is_due) {
            return with_promoted(set, member->id, answers);
        }
    }
    return std::nullopt;
}

// Appends the next automatic membership change, if any.
void consensus::advance_membership(time_point now) {
    bool can_change = this->is_leader() && this->transfer_target.empty() && this->has_committed_in_term() &&
                      this->voter_sets.back().index <= this->committed_index;
    if (!can_change) {
        return;
    }
    if (this->voters().joint) {
        this->append_voters(now, completed_set(this->voters()));
    } else if (auto next = this->next_voters(now)) {
        this->change_to(now, *next);
    }
}

void consensus::change_to(time_point now, const wire::voter_set_t& next) {
    const wire::voter_set_t& set = this->voters();
    this->append_voters(now, changes_votes(set, next) ? joint_set(set, next) : next);
}

void consensus::append_voters(time_point now, const wire::voter_set_t& voters) {
    this->append_new_entry(wire::entry_kind::membership, encode_voters(voters));
    this->update_peers();
    this->replicate(now, send_reason::proposal);
}

// Updates `peers` to the other members of the newest voter set; the state of members that remain is kept.
void consensus::update_peers() {
    std::map<std::string, progress> updated;
    for (const auto& member : this->voters().voters) {
        if (member->id == this->own_id) {
            continue;
        }
        auto known = this->peers.find(member->id);
        auto& peer = updated[member->id];
        if (known != this->peers.end()) {
            peer = known->second;
        } else {
            peer.next = this->last_index() + 1;
        }
    }
    this->peers = std::move(updated);
}

// ---- Transfer ----

void consensus::continue_transfer() {
    auto target = this->peers.find(this->transfer_target);
    bool ready = !this->transfer_sent && target != this->peers.end() && target->second.match == this->last_index();
    if (!ready) {
        return;
    }
    wire::timeout_now_t request;
    request.term = this->hard.term;
    request.leader = this->own_id;
    this->send(this->transfer_target, request);
    this->transfer_sent = true;
}

}  // namespace persimmongrade
