// Replicated log of the control processes: the decision code, without input and output.
//
//     consensus core(options, storage.identity().id, storage.take_state(), random_seed, now);
//     state_machine.load(core.current_snapshot()->data);            // at start; connect to core.voters()
//     actions todo = core.tick(now);                                // and receive, propose, ...
//     send(todo.early_messages);                                    // need no sync
//     storage.persist(todo);                                        // throws: stop; send and apply nothing more
//     send(todo.messages);                                          // only after the persist has been synced
//     if (todo.install) { state_machine.load(todo.install->data); } // replaces the whole state
//     for (const auto& entry : todo.committed) { ... }              // in order, each exactly once
//     if (todo.needs_log_synced()) { todo = core.log_synced(now, todo.entries.back().index); /* again */ }
//     if (todo.snapshot_due) { todo = core.snapshot_taken(now, applied_index, state_machine.save()); /* again */ }
//
// Each actions value must be carried out completely and in the order of the calls, before the next call.
// Call `tick` at least every 10 ms. A wrong clock rate within clock_rate_margin (clock.h) is tolerated.
//
// Membership. A voter_set lists all members; members with voting = false receive the log and do not count. A change
// takes effect when it is appended. The leader promotes a non-voting member on its own once the member has caught up;
// when the member's `replaces` names another member, the leader then removes that one. Only one change is
// uncommitted at a time, so majorities of consecutive sets overlap.

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "messages_generated.h"
#include "persimmongrade/clock.h"
#include "persimmongrade/error.h"

namespace persimmongrade {

using byte_string = std::vector<std::uint8_t>;

// ---- Values ----

struct consensus_options {
    duration election_timeout = ms(400);  // minimum; each wait is random between this and twice this
    duration heartbeat_interval = ms(50);
    duration snapshot_retry_interval = ms(200);  // an unanswered snapshot chunk is sent again after this
    std::size_t snapshot_threshold = 10'000;     // applied entries since the last snapshot that make one due
    std::size_t retained_entries = 1'000;        // kept behind a snapshot for followers slightly behind
    std::size_t max_append_entries = 1'000;      // per append_request
    std::size_t max_append_bytes = 1u << 20;     // per append_request; a single larger entry is sent alone
    std::size_t max_inflight_entries = 8'000;    // per follower, sent and not acknowledged
    std::size_t snapshot_chunk_bytes = 256u << 10;
};

// Survives restarts; synced before any message that depends on it.
struct hard_state {
    std::uint64_t term = 0;
    std::string voted_for;  // empty: no vote in this term
    bool operator==(const hard_state&) const = default;
};

// State of the application after `last_index`, and the members as of that index.
struct snapshot {
    std::uint64_t last_index = 0;
    std::uint64_t last_term = 0;
    wire::voter_set_t voters;
    byte_string data;  // empty at index 0: the application's initial state
    bool operator==(const snapshot&) const = default;
};
using snapshot_pointer = std::shared_ptr<const snapshot>;

// What the storage found at start. `entries` follow the snapshot without a gap.
struct persistent_state {
    hard_state hard;
    snapshot_pointer newest_snapshot;  // never null; index 0 with the bootstrap members (or none) at first
    std::vector<wire::log_entry_t> entries;
};

struct outgoing_message {
    std::string to;
    wire::messageUnion body;
};

enum class leadership_change : std::uint8_t { none, gained, lost };

// What the caller has to do, in the order of the members.
struct actions {
    std::vector<outgoing_message> early_messages;  // may be sent before the persist
    std::optional<hard_state> hard;                // persist
    snapshot_pointer save_snapshot;                // persist
    std::vector<wire::log_entry_t> entries;        // persist: replace all entries from entries.front().index on
    std::uint64_t previous_term = 0;               // term of the entry before entries.front()
    std::vector<outgoing_message> messages;        // send only after everything above has been synced
    snapshot_pointer install;                      // replaces the application's state
    std::vector<wire::log_entry_t> committed;      // apply in order; noop and membership entries included
    leadership_change leadership = leadership_change::none;  // relative to the state before the call
    bool voters_changed = false;                             // `voters()` differs: connect and disconnect peers
    bool snapshot_due = false;                               // call snapshot_taken after applying `committed`

    bool needs_persist() const { return this->hard || this->save_snapshot || !this->entries.empty(); }
    bool needs_log_synced() const { return !this->entries.empty(); }
};

// Where proposals were appended. They are committed when an entry with this index and term appears in
// actions::committed; an entry of another term at the index means that they were lost.
struct proposal {
    std::uint64_t first_index = 0;
    std::uint64_t term = 0;
    actions todo;
};

// ---- Errors ----

// Only the leader does this, or it is handing over its leadership. `leader` may be empty (unknown).
class not_leader_error : public error {
public:
    explicit not_leader_error(std::string leader) : error("not the leader"), leader(std::move(leader)) {}
    const std::string leader;
};

// Another membership change is uncommitted, or the leader has not yet committed an entry of its term: try again.
class membership_busy_error : public error {
public:
    using error::error;
};

// The change names an unknown or already present member, or would remove the last voter.
class membership_error : public error {
public:
    using error::error;
};

// The target of a transfer is no voter other than the leader, or no voter has answered recently.
class transfer_error : public error {
public:
    using error::error;
};

// ---- Core ----

struct membership_change {
    enum class kind : std::uint8_t { add, remove };
    kind action = kind::add;
    wire::voter_t member;  // remove: only the id is read. add: `replaces` may name the member to remove afterwards
};

class consensus {
public:
    // Starts as follower. Votes are refused for one election timeout, because a restarted process does not know
    // when it last heard from a leader.
    consensus(consensus_options options, std::string id, persistent_state state, std::uint64_t random_seed,
              time_point now);

    // Events.
    actions tick(time_point now);
    actions receive(time_point now, const std::string& from, const wire::messageUnion& message);  // others ignored
    actions log_synced(time_point now, std::uint64_t index);  // all entries up to `index` are durable here
    actions snapshot_taken(time_point now, std::uint64_t index, byte_string data);  // index: applied, in the log

    // Requests. Throw not_leader_error. All payloads of one call share one sync.
    proposal propose(time_point now, std::vector<byte_string> payloads);
    proposal change_voters(time_point now, const membership_change& change);  // membership_busy_error, membership_error

    // Hands leadership to `to`, or to the voter with the longest log when empty. The leader accepts no proposals and
    // has no lease from now on; it steps down if nobody took over within one election timeout. transfer_error.
    actions transfer_leadership(time_point now, const std::string& to = {});

    // State.
    const std::string& id() const { return this->own_id; }
    bool is_leader() const { return this->role == role_kind::leader; }
    bool has_leader_lease(time_point now) const;  // no other process is leader with a lease at `now`
    bool can_serve_reads(time_point now) const;   // lease held and all earlier commits are known and applied
    bool is_voter() const;                        // by the newest voter set known here
    const std::string& leader_id() const { return this->leader; }  // empty: unknown
    std::uint64_t term() const { return this->hard.term; }
    std::uint64_t commit_index() const { return this->committed; }
    std::uint64_t last_index() const;
    std::uint64_t snapshot_index() const { return this->newest_snapshot->last_index; }
    const snapshot_pointer& current_snapshot() const { return this->newest_snapshot; }  // load its data at start
    const wire::voter_set_t& voters() const;  // newest, possibly not yet committed
    bool membership_change_pending() const;   // uncommitted set, member not promoted or not yet removed
    bool is_recently_active(time_point now,
                            const std::string& member) const;    // leader only: answered within the election timeout
    std::uint64_t match_index(const std::string& member) const;  // leader only: acknowledged by the member; else 0

private:
    enum class role_kind : std::uint8_t { follower, pre_candidate, candidate, leader };

    // What the leader knows about another member.
    struct progress {
        std::uint64_t match = 0;               // known to be synced there
        std::uint64_t next = 1;                // first index to send
        bool probing = true;                   // the common prefix is unknown: `next` does not advance by sending
        std::optional<time_point> acked;       // send time of the newest request that it answered
        snapshot_pointer sending;              // set while a snapshot is transferred
        std::uint64_t offset = 0;              // next byte of the snapshot to send
        std::optional<time_point> chunk_sent;  // when the unanswered chunk was sent
    };

    // A snapshot that is arriving in chunks.
    struct incoming_snapshot {
        std::uint64_t term = 0;
        std::uint64_t last_index = 0;
        std::uint64_t last_term = 0;
        byte_string data;
    };

    struct voter_set_at {
        std::uint64_t index = 0;
        wire::voter_set_t voters;
    };

    // Log.
    std::uint64_t last_term() const;
    std::optional<std::uint64_t> term_at(std::uint64_t index) const;  // nothing when outside the log
    const wire::log_entry_t& entry_at(std::uint64_t index) const;
    const wire::voter_set_t& voters_at(std::uint64_t index) const;
    void append(wire::log_entry_t entry);
    void append_own(wire::entry_kind kind, byte_string payload);
    void truncate_from(std::uint64_t index);
    void compact_to(std::uint64_t index);
    void commit_to(std::uint64_t index);
    void install(snapshot value);

    // Roles.
    void become_follower(time_point now, std::uint64_t term, const std::string& leader);
    void accept_leader(time_point now, std::uint64_t term, const std::string& leader);
    void start_pre_vote(time_point now);
    void start_election(time_point now, bool transfer);
    void request_votes(time_point now, wire::vote_request_t request);
    void count_votes(time_point now);
    void become_leader(time_point now);
    void wait_for_leader(time_point now);
    duration retry_wait();
    duration random_duration(duration limit);
    bool refuses_votes(time_point now) const;
    bool log_is_current(const wire::vote_request_t& request) const;
    bool grant_pre_vote(time_point now, const wire::vote_request_t& request);
    bool entries_are_valid(const wire::append_request_t& request) const;
    std::uint64_t first_conflict(std::uint64_t index) const;
    void store_entries(const wire::append_request_t& request);
    std::uint64_t store_chunk(const wire::snapshot_chunk_t& chunk);

    // Handlers.
    void on_vote_request(time_point now, const wire::vote_request_t& request);
    void on_vote_reply(time_point now, const std::string& from, const wire::vote_reply_t& reply);
    void on_append_request(time_point now, const wire::append_request_t& request);
    // Common to replies to the leader: steps down for a newer term and counts the reply for the leader lease. Null when
    // the reply is not one to this leader's current term.
    progress* accept_reply(time_point now, const std::string& from, std::uint64_t term, std::uint64_t sequence);
    void on_append_reply(time_point now, const std::string& from, const wire::append_reply_t& reply);
    void on_snapshot_chunk(time_point now, const wire::snapshot_chunk_t& chunk);
    void on_snapshot_reply(time_point now, const std::string& from, const wire::snapshot_reply_t& reply);
    void on_timeout_now(time_point now, const std::string& from, const wire::timeout_now_t& request);

    // Leader.
    enum class send_reason : std::uint8_t { heartbeat, proposal, reply };
    void tick_leader(time_point now);
    void replicate(time_point now, send_reason reason);
    void replicate_to(time_point now, const std::string& member, progress& peer, send_reason reason);
    void send_entries(time_point now, const std::string& member, progress& peer, bool with_entries);
    void send_snapshot(time_point now, const std::string& member, progress& peer);
    void note_acked(time_point now, progress& peer, std::uint64_t sequence);
    std::uint64_t sequence_at(time_point now) const;
    void advance_commit(time_point now);
    void advance_membership(time_point now);
    bool caught_up(time_point now, const std::string& member) const;
    void append_voters(time_point now, const wire::voter_set_t& voters);
    void update_members();
    void continue_transfer();
    std::optional<time_point> quorum_acked(time_point now) const;
    bool has_committed_in_term() const;
    void require_leader() const;

    template <typename Message>
    void send(const std::string& to, Message message);
    template <typename Message>
    void send_early(const std::string& to, Message message);
    actions finish();

    consensus_options options;
    std::string own_id;
    std::mt19937_64 random;

    hard_state hard;
    hard_state reported_hard;  // as of the last actions value
    snapshot_pointer newest_snapshot;
    std::deque<wire::log_entry_t> log;  // entries after base_index
    std::uint64_t base_index = 0;
    std::uint64_t base_term = 0;
    std::deque<voter_set_at> voter_sets;  // never empty; by ascending index
    std::uint64_t committed = 0;
    std::uint64_t synced = 0;

    role_kind role = role_kind::follower;
    std::string leader;
    time_point heard_from_leader;  // votes are refused for one election timeout after this
    time_point election_due;
    std::set<std::string> votes;
    std::optional<incoming_snapshot> incoming;

    // Leader only.
    std::map<std::string, progress> members;
    time_point leader_since;
    time_point heartbeat_due;
    std::string transfer_target;  // not empty: transfer running
    bool transfer_sent = false;
    time_point transfer_due;

    bool was_leader = false;  // as of the last actions value

    actions pending;  // built up during one call
};

}  // namespace persimmongrade
