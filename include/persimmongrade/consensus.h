// Consensus core: the replicated log of the control processes, by the Raft algorithm with pre-votes and a leader lease.
// It does no input and output: each call returns the messages, writes and committed entries that the caller has to
// handle. Use consensus_driver.h unless storage or transport are simulated.
//
//     consensus core(options, storage.identity().id, storage.take_state(), random_seed, now);
//     state_machine.load(core.current_snapshot()->data);            // once, at start; then connect to core.voters()
//     actions todo = core.tick(now);                                // and receive, propose, ...
//     send(todo.early_messages);                                    // may be sent before the sync
//     storage.persist(todo);                                        // if it throws: send and apply nothing more
//     send(todo.messages);                                          // only after the persist has been synced
//     if (todo.install) { state_machine.load(todo.install->data); } // replaces the whole state
//     for (const auto& entry : todo.committed) { ... }              // in order, each exactly once
//     if (todo.needs_log_synced()) { todo = core.log_synced(now, todo.entries.back().index); /* repeat */ }
//     if (todo.snapshot_due) { todo = core.snapshot_taken(now, applied_index, state_machine.save()); /* repeat */ }
//
// Execute each actions value completely, in the order shown, before the next call to the core. Call `tick` at least
// every 10 ms. The clock rates of two members may differ by up to clock_rate_margin (clock.h).
//
// Membership. A voter_set lists all members. Members with voting = false receive the log and do not count towards a
// majority. A change takes effect when it is appended to the log. The leader promotes a non-voting member automatically
// once it has caught up, and in the same change removes the member that its `replaces` names. A change of votes goes
// through a joint set (Raft's joint consensus): until that is committed, it takes a quorum of the set before and one of
// the new set. At most one change is uncommitted at any time.
//
// Voters in doubt. `replaces_one_of` names voters of which one is lost, when it is not known which one. All of them
// stay members, and from the promotion on share the votes that are left (src/consensus/voter_sets.h): they count only
// as far as they could whichever of them is lost. One that answers the leader again has its whole vote back; once as
// many are left as are lost, those are removed.
//
// Lost disks. A process at the address of a voter, but with another identity, answers vote requests with the id of the
// voter: its disk is lost, so that it never votes again. An election and the commits of its term may then do with less
// than a majority, if the group has a member in each majority, and would be a majority together with the lost voters.
// Only losses known before the election count: a voter of which the loss was known can't have helped another leader
// since. Example: of A to E, A is frozen and B is gone; F replaces one of the two, so that both share one vote. C and D
// lose their disks. E and F alone may lack what A, B, C and D decided; with A they have a member in each majority, and
// whatever B does, it takes C or D.

#pragma once

#include <algorithm>
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
    duration election_timeout = ms(400);  // minimum; each timeout is random between this and twice this
    duration heartbeat_interval = ms(50);
    duration snapshot_retry_interval = ms(200);  // resend timeout of a snapshot chunk
    std::size_t snapshot_threshold = 10'000;     // applied entries after which a snapshot is due
    std::size_t retained_entries = 1'000;        // kept before a snapshot for followers that lag slightly
    std::size_t max_append_entries = 1'000;      // per append_request
    std::size_t max_append_bytes = 1u << 20;     // per append_request; a larger entry is sent alone
    std::size_t max_inflight_entries = 8'000;    // per follower: sent and not yet acknowledged
    std::size_t snapshot_chunk_bytes = 256u << 10;
};

// Survives restarts. It is synced before any message that depends on it is sent.
struct hard_state {
    std::uint64_t term = 0;
    std::string voted_for;  // empty: no vote in this term
    bool operator==(const hard_state&) const = default;
};

// State of the application after the entry at `last_index`, and the voter set as of that entry.
struct snapshot {
    std::uint64_t last_index = 0;
    std::uint64_t last_term = 0;
    wire::voter_set_t voters;
    byte_string data;  // empty at index 0: the application's initial state
    bool operator==(const snapshot&) const = default;
};
using snapshot_pointer = std::shared_ptr<const snapshot>;

// State loaded from storage at start. `entries` follow the snapshot without a gap.
struct persistent_state {
    hard_state hard;
    snapshot_pointer newest_snapshot;  // never null; on first start: index 0, with the bootstrap members or none
    std::vector<wire::log_entry_t> entries;
};

struct outgoing_message {
    std::string to;
    wire::messageUnion body;
};

enum class leadership_change : std::uint8_t { none, gained, lost };

// Work for the caller, to be executed in the order of the fields.
struct actions {
    std::vector<outgoing_message> early_messages;  // may be sent before the persist
    std::optional<hard_state> hard;                // persist
    snapshot_pointer save_snapshot;                // persist
    std::vector<wire::log_entry_t> entries;        // persist: replaces all entries from entries.front().index on
    std::uint64_t previous_term = 0;               // term of the entry before entries.front()
    std::vector<outgoing_message> messages;        // send only after everything above has been synced
    snapshot_pointer install;                      // replaces the application's state
    std::vector<wire::log_entry_t> committed;      // apply in order; includes noop and membership entries
    leadership_change leadership = leadership_change::none;  // relative to the state before the call
    bool voters_changed = false;                             // `voters()` has changed: connect or disconnect peers
    bool snapshot_due = false;                               // call snapshot_taken after applying `committed`

    bool needs_persist() const { return this->hard || this->save_snapshot || !this->entries.empty(); }
    bool needs_log_synced() const { return !this->entries.empty(); }
};

// Position at which proposed payloads were appended. A payload is committed when the entry with its index and term
// appears in actions::committed. If the committed entry at that index has another term, the payload was lost.
struct proposal {
    std::uint64_t first_index = 0;
    std::uint64_t term = 0;
    actions todo;
};

// ---- Errors ----

// This process is not the leader, or it is transferring its leadership. `leader` is empty when it is unknown.
class not_leader_error : public error {
public:
    explicit not_leader_error(std::string leader) : error("not the leader"), leader(std::move(leader)) {}
    const std::string leader;
};

// Another membership change is uncommitted, or the leader has not yet committed an entry of its term. Retry later.
class membership_busy_error : public error {
public:
    using error::error;
};

// The change adds a member that is present or has no id, names an unknown member, or would remove the last voter.
class membership_error : public error {
public:
    using error::error;
};

// The transfer target is not another voter, or no eligible voter has answered within the election timeout.
class transfer_error : public error {
public:
    using error::error;
};

// ---- Core ----

struct membership_change {
    enum class kind : std::uint8_t { add, remove };
    kind action = kind::add;
    // remove: only `id` is used. add: `replaces` may name a member to remove on promotion, or `replaces_one_of` some
    // voters of which one is lost.
    wire::voter_t member;
};

class consensus {
public:
    // Starts as a follower and refuses votes for one election timeout: a restarted process does not know when it last
    // heard from a leader, which may still hold a lease.
    consensus(consensus_options options, std::string id, persistent_state state, std::uint64_t random_seed,
              time_point now);

    // Events.
    actions tick(time_point now);
    // Ignores messages that are not for the core.
    actions receive(time_point now, const std::string& from, const wire::messageUnion& message);
    // All entries up to `index` are durable on this member.
    actions log_synced(time_point now, std::uint64_t index);
    // `data` is the application's state after the applied entry `index`, which is still in the log.
    actions snapshot_taken(time_point now, std::uint64_t index, byte_string data);

    // Requests. All throw not_leader_error.

    // The payloads of one call share one sync.
    proposal propose(time_point now, std::vector<byte_string> payloads);

    // Also throws membership_busy_error and membership_error.
    proposal change_voters(time_point now, const membership_change& change);

    // Transfers leadership to `to`, or to the voter with the longest log when `to` is empty. From this call on the
    // leader accepts no proposals and holds no lease. It steps down if no other member has become leader within one
    // election timeout. Also throws transfer_error.
    actions transfer_leadership(time_point now, const std::string& to = {});

    // State.
    const std::string& id() const { return this->own_id; }
    bool is_leader() const { return this->role == role_kind::leader; }
    bool has_leader_lease(time_point now) const;  // no other process holds a leader lease at `now`
    bool can_serve_reads(time_point now) const;   // lease held, and all earlier commits known and applied
    bool is_voter() const;  // in the newest voter set known to this member, or the one joined to it
    const std::string& leader_id() const { return this->leader; }  // empty: unknown
    std::uint64_t term() const { return this->hard.term; }
    std::uint64_t commit_index() const { return this->committed_index; }
    // Highest index that this member or a leader has committed, according to what has arrived here.
    std::uint64_t known_commit_index() const { return std::max(this->committed_index, this->leader_commit_index); }
    std::uint64_t last_index() const;
    std::uint64_t snapshot_index() const { return this->newest_snapshot->last_index; }
    const snapshot_pointer& current_snapshot() const { return this->newest_snapshot; }  // load its data at start
    const wire::voter_set_t& voters() const;  // newest, possibly not yet committed
    const std::set<std::string>& known_lost_voters() const { return this->lost_voters; }  // ids; their disks are lost
    bool membership_change_pending() const;  // uncommitted or joint set, or a promotion or removal outstanding
    // Whether everything that was committed before the present leader was elected, and since until one of its messages
    // of the last election timeout, is committed here. A process that has just started knows only its last snapshot,
    // although later entries are on its disk. Over a link that loses entries, the leader's heartbeats alone show
    // nothing.
    bool knows_all_commits(time_point now) const;

    // Leader only. Whether the member has answered a request that was sent within the last election timeout.
    bool is_recently_active(time_point now, const std::string& member) const;
    // Leader only. Last log index that the member is known to have synced; otherwise 0.
    std::uint64_t match_index(const std::string& member) const;

private:
    enum class role_kind : std::uint8_t { follower, pre_candidate, candidate, leader };

    // Replication state of one peer, kept by the leader.
    struct progress {
        std::uint64_t match = 0;                         // last index known to be synced on the peer
        std::uint64_t next = 1;                          // index of the next entry to send
        bool probing = true;                             // common prefix unknown: sending does not advance `next`
        std::optional<time_point> last_acked_send_time;  // send time of the newest request it answered
        snapshot_pointer snapshot_in_transfer;           // null: entries are sent
        std::uint64_t snapshot_offset = 0;               // next byte of the snapshot to send
        std::optional<time_point> chunk_sent_at;         // of the unanswered chunk
    };

    // A partially received snapshot.
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
    std::optional<std::uint64_t> term_at(std::uint64_t index) const;  // nullopt: outside the log
    const wire::log_entry_t& entry_at(std::uint64_t index) const;
    const wire::voter_set_t& voters_at(std::uint64_t index) const;
    void append(wire::log_entry_t entry);
    void append_new_entry(wire::entry_kind kind, byte_string payload);
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
    void reset_election_timer(time_point now);
    duration election_retry_delay();
    duration random_duration(duration limit);
    bool refuses_votes(time_point now) const;
    bool is_log_up_to_date(const wire::vote_request_t& request) const;
    bool grant_pre_vote(time_point now, const wire::vote_request_t& request);
    bool entries_are_valid(const wire::append_request_t& request) const;
    std::uint64_t find_conflict_index(std::uint64_t index) const;
    void store_entries(const wire::append_request_t& request);
    std::uint64_t store_chunk(const wire::snapshot_chunk_t& chunk);

    // Handlers.
    void on_vote_request(time_point now, const wire::vote_request_t& request);
    void on_vote_reply(time_point now, const std::string& from, const wire::vote_reply_t& reply);
    void on_append_request(time_point now, const wire::append_request_t& request);
    // Common handling of replies to the leader: steps down when the term is newer, and otherwise counts the reply for
    // the leader lease. Null unless this process is the leader, the reply is for its current term and the sender is a
    // peer.
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
    void record_ack(time_point now, progress& peer, std::uint64_t sequence);
    std::uint64_t sequence_at(time_point now) const;
    void advance_commit(time_point now);
    void advance_membership(time_point now);
    bool is_caught_up(time_point now, const std::string& member) const;
    std::optional<wire::voter_set_t> next_voters(time_point now) const;
    void change_to(time_point now, const wire::voter_set_t& next);
    void append_voters(time_point now, const wire::voter_set_t& voters);
    void update_peers();
    void continue_transfer();
    std::optional<time_point> quorum_ack_time(time_point now) const;
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
    hard_state reported_hard_state;  // as of the last actions value returned
    snapshot_pointer newest_snapshot;
    std::deque<wire::log_entry_t> log;  // entries after base_index
    std::uint64_t base_index = 0;
    std::uint64_t base_term = 0;
    std::deque<voter_set_at> voter_sets;  // never empty; ascending by index
    std::uint64_t committed_index = 0;
    std::uint64_t synced_index = 0;

    role_kind role = role_kind::follower;
    std::string leader;
    std::uint64_t leader_commit_index = 0;   // as a leader last stated
    std::optional<time_point> caught_up_at;  // follower: last message of `leader` that named no later commit
    time_point last_leader_contact;          // votes are refused for one election timeout after this
    time_point election_deadline;
    std::set<std::string> votes;
    std::set<std::string> lost_voters;              // ids of voters whose disks are known to be lost
    std::set<std::string> lost_voters_at_election;  // known before the election of this term; candidate and leader
    std::optional<incoming_snapshot> incoming;

    // Leader only.
    std::map<std::string, progress> peers;
    time_point leader_since;
    time_point next_heartbeat_at;
    std::string transfer_target;  // not empty: a transfer is in progress
    bool transfer_sent = false;
    time_point transfer_deadline;

    bool was_leader = false;  // as of the last actions value returned

    actions pending;  // collected during one call
};

}  // namespace persimmongrade
