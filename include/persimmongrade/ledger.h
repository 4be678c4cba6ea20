// Request ledger: at-most-once execution of non-idempotent requests.
//
// Index: 1. Values  2. Replica sets  3. Replica  4. Coordinator
//
// An edge owns one ledger_replica and one ledger_coordinator. Both are pure: they return messages and outcomes, and
// read no clock. Messages addressed to the edge itself are delivered to its own replica or coordinator.
//
//     auto actions = coordinator.begin(now, {request, key, "crew-dispatch", fingerprint, deadline});
//     send(actions.messages);                        // peers.send(message.to, body) for each
//     for (const auto& outcome : actions.outcomes)   // also returned by receive(), tick() and the others
//         if (outcome.verdict == ledger_verdict::dispatch) forward(outcome.request, outcome.attempt);
//     ...
//     coordinator.complete(now, attempt, answer);        // answer received in full
//     coordinator.not_dispatched(now, attempt, reason);  // proved that no target ran it
//     coordinator.outcome_lost(now, attempt);            // the target may have run it
//
// Outcomes. `not_run` is a statement about the key, not about one attempt: an earlier send of the same key may have
// run through another edge. Only an attempt that holds a majority of the replicas can state it, so an edge must call
// begin() before it refuses a non-idempotent request as not_run for any reason, and must report `unknown` otherwise.
// For the same reason claim_quorum_unavailable and deadline_exceeded come with `unknown`, and so does key_reused unless
// the refusing attempt holds the majority.
//
// After not_dispatched() no request that began earlier can run: its refusal (claim_conflict, not_run) carries a retry
// hint, since a resend that begins later can.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "messages_generated.h"
#include "persimmongrade/clock.h"
#include "persimmongrade/error.h"

namespace persimmongrade {

// ---- 1. Values ----

inline constexpr duration ledger_retention = ms(20 * 60 * 1000);      // entries, from the time in the key
inline constexpr duration ledger_max_key_age = ms(15 * 60 * 1000);    // older keys are refused
inline constexpr duration ledger_max_key_future = ms(60 * 1000);      // keys further in the future are refused
inline constexpr duration ledger_replica_max_future = ms(90 * 1000);  // the same at replicas, with 30 s of clock skew

// An attempt counts claims only for this long after it sent them. A replica that lost its memory waits longer than
// that before it copies, so that a claim it granted and forgot is either held by a member it copies from or can no
// longer be counted.
inline constexpr duration ledger_claim_window = ms(1000);
inline constexpr duration ledger_copy_delay = ms(1500);

// The same after a change of members, and of an edge from when the leader lists its incarnation: an edge that does not
// know of the change may start attempts until its configuration lease (2,000 ms) ends.
inline constexpr duration ledger_change_copy_delay = ms(4000);

inline constexpr duration ledger_resend_interval = ms(200);  // claims, completions and aborts without a reply
inline constexpr duration ledger_query_interval = ms(50);    // attempt_query while another attempt runs
inline constexpr std::uint32_t ledger_conflict_retry_ms = 100;

// The replica set cannot be formed: there are no members, or the edge is not one.
class ledger_membership_error : public error {
public:
    using error::error;
};

struct ledger_member {
    std::string edge;
    std::string region;

    auto operator<=>(const ledger_member&) const = default;
};

// One execution attempt. Ordered, so that of two attempts that block each other one always yields.
struct ledger_attempt {
    std::string edge;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;

    auto operator<=>(const ledger_attempt&) const = default;
};

using ledger_message_body =
    std::variant<wire::claim_request_t, wire::claim_reply_t, wire::complete_request_t, wire::abort_request_t,
                 wire::attempt_query_t, wire::attempt_status_t, wire::ledger_sync_request_t, wire::ledger_sync_reply_t>;

struct ledger_message {
    std::string to;  // edge id; may be the own one
    ledger_message_body body;
};

enum class ledger_verdict : std::uint8_t {
    dispatch,  // claimed on a majority: send to a target
    replay,    // the key was run before: respond with `answer`
    wait,      // another attempt runs; a final outcome follows by the deadline. Informative
    refuse,    // respond with `reason` and `outcome`
};

// How a request came to be dispatched or replayed.
enum class ledger_path : std::uint8_t {
    none,         // refused, or not decided
    first_round,  // dispatched: the first claims had a majority
    later_round,  // dispatched after another attempt was aborted or its owner lost
    stored,       // replayed: a replica had the answer
    same_edge,    // replayed: joined an attempt of this edge
    other_edge,   // replayed: the edge that ran the request sent the answer
};

struct ledger_outcome {
    std::uint64_t request = 0;  // as passed to begin()
    ledger_verdict verdict = ledger_verdict::refuse;
    std::uint64_t attempt = 0;                            // dispatch: pass to complete() and the others
    std::shared_ptr<const wire::stored_answer_t> answer;  // replay
    wire::refusal_reason reason = wire::refusal_reason::none;
    wire::outcome outcome = wire::outcome::none;
    std::uint32_t retry_after_ms = 0;  // 0: no hint
    ledger_path path = ledger_path::none;
};

struct ledger_actions {
    std::vector<ledger_message> messages;
    std::vector<ledger_outcome> outcomes;
};

// ---- 2. Replica sets ----

inline constexpr std::size_t ledger_replicas = 3;  // of a key, fewer when there are fewer regions

// Members of the replica set of a key, in order of region: one edge in each of three regions, so that no region holds a
// majority. Rendezvous hashes (XXH64) choose the regions, if there are more than three, and the edge in each.
std::vector<std::string> replica_set(std::string_view key, const std::vector<ledger_member>& members);

// Members before and after a change. `previous` is empty when no change is in progress.
//
// A change goes: members {old}; {new, previous old} on every edge; when every edge reports voting(), {new}. Two edges
// may differ by one of these steps at a time, never by two.
struct ledger_members {
    std::vector<ledger_member> current;
    std::vector<ledger_member> previous;

    std::vector<std::vector<std::string>> sets_of(std::string_view key) const;  // one or two sets
    std::set<std::string> all_of(std::string_view key) const;                   // their union
    std::uint64_t hash() const;                                                 // equal for equal sets of every key

    bool operator==(const ledger_members&) const = default;
};

// ---- 3. Replica ----

struct ledger_replica_options {
    std::string edge;                 // own id
    std::uint64_t incarnation = 0;    // differs at each start
    std::int64_t unix_offset_ms = 0;  // Unix time in ms minus `now` in ms; constant for the life of the process
    bool first_start = false;  // the deployment never ran before: there is nothing to copy. Unsafe after a restart
    std::size_t page_entries = 256;
    std::size_t page_bytes = 4u << 20;
};

// Holds the entries of the keys whose replica set includes this edge.
//
// Not voting: after a start the replica grants no claim until it has copied the entries it shares with the members of
// other regions, or the retention has passed. A key whose time is later than any that it can have accepted before the
// start (start + ledger_replica_max_future) is the exception: nothing about it can have been lost.
class ledger_replica {
public:
    ledger_replica(time_point now, ledger_replica_options options, ledger_members members);

    // Handles a claim, completion, abort, or a sync message from edge `from`; others are ignored.
    std::vector<ledger_message> receive(time_point now, const std::string& from, const ledger_message_body& body);

    // Removes expired entries and requests pages to copy. Call every 100 ms or so.
    std::vector<ledger_message> tick(time_point now);

    void set_members(time_point now, ledger_members members);

    // Starts copying at this time and not after ledger_copy_delay. An edge that was replaced at another address has to
    // wait until no other edge counts grants of the process it replaces, which may still run. No effect when complete.
    void delay_copy_until(time_point at);

    bool voting() const noexcept;                                  // on all keys; reported in edge_ping
    bool can_vote_on(time_point now, std::string_view key) const;  // on this key
    std::size_t entry_count() const noexcept;
    std::size_t answer_bytes() const noexcept;  // held in bodies of stored answers

private:
    using owner = std::pair<std::string, std::uint64_t>;  // edge and its incarnation
    struct refusal {
        std::uint64_t number = 0;  // of the attempt
        time_point at;             // never too early
    };
    struct claim {
        ledger_attempt attempt;
        std::uint64_t fingerprint = 0;
    };
    struct entry {
        std::string service;
        std::uint64_t fingerprint = 0;  // of the first claim seen; a later one with another is refused
        std::int64_t key_time_ms = 0;
        std::vector<claim> claims;                            // live; more than one only after copying
        std::optional<ledger_attempt> aborted;                // last aborted attempt
        std::optional<claim> decided;                         // attempt that completed or whose outcome is lost
        std::shared_ptr<const wire::stored_answer_t> answer;  // null while `decided` is uncertain
        std::map<owner, refusal> refused;                     // last not_run refusal by each owner of attempts
    };
    struct copy_progress {
        std::uint64_t request_id = 0;   // of the page asked for; 0: none
        std::uint64_t incarnation = 0;  // of the edge copied from
        std::string after_key;
        time_point retry_at;  // when the page is asked for (again)
        bool done = false;
    };

    std::vector<ledger_message> on_claim(time_point now, const std::string& from, const wire::claim_request_t& request);
    std::vector<ledger_message> on_complete(time_point now, const std::string& from,
                                            const wire::complete_request_t& request);
    std::vector<ledger_message> on_abort(time_point now, const std::string& from, const wire::abort_request_t& request);
    std::vector<ledger_message> on_sync_request(time_point now, const wire::ledger_sync_request_t& request) const;
    std::vector<ledger_message> on_sync_reply(time_point now, const wire::ledger_sync_reply_t& reply);
    bool accepts_key_time(time_point now, std::int64_t key_time_ms) const noexcept;
    entry* find_or_add(time_point now, const std::string& key);
    static wire::claim_result decide_claim(const claim& wanted, const entry& found);
    void decide(entry& found, const claim& attempt, std::shared_ptr<const wire::stored_answer_t> answer);
    static void record_refusal(time_point now, entry& found, const ledger_attempt& by, std::int64_t ms_ago);
    static void attach_latest_refusal(time_point now, const entry& value, const ledger_attempt& reader,
                                      wire::ledger_entry_t& shown);
    void merge(time_point now, const wire::ledger_entry_t& incoming);
    void reset_copy_progress();
    void request_page(time_point now, const std::string& peer, copy_progress& progress,
                      std::vector<ledger_message>& out);
    static std::vector<wire::ledger_entry_t> to_wire(const std::string& key, const entry& value);
    static std::vector<wire::ledger_entry_t> copies_of(time_point now, const std::string& key, const entry& value);
    void expire(time_point now);
    std::int64_t unix_ms(time_point now) const noexcept;

    ledger_replica_options options;
    ledger_members members;
    time_point started_at;
    time_point copy_not_before;  // no page is requested earlier
    bool is_complete;            // holds all entries of its keys
    bool was_complete;           // held all entries of the keys of the previous members
    std::uint64_t last_request_id = 0;
    std::size_t body_bytes = 0;
    std::map<std::string, entry, std::less<>> entries;
    std::map<std::string, copy_progress> copy_sources;      // by edge to copy from
    std::set<std::pair<std::int64_t, std::string>> expiry;  // key time, key
};

// ---- 4. Coordinator ----

struct ledger_request {
    std::uint64_t request = 0;  // chosen by the edge, unique in this process
    std::string key;            // canonical UUID version 7
    std::string service;
    std::uint64_t fingerprint = 0;
    time_point deadline;
};

struct ledger_coordinator_options {
    std::string edge;
    std::uint64_t incarnation = 0;          // differs at each start
    std::int64_t unix_offset_ms = 0;        // as for the replica
    duration answer_retention = ms(10000);  // at most this long after a majority stored it
};

// Runs on the edge that serves the request and owns its attempts.
//
// At most one attempt per key is active here. Further requests with the key share its outcome.
class ledger_coordinator {
public:
    ledger_coordinator(ledger_coordinator_options options, ledger_members members);

    // Starts an attempt, or joins the running one. Refuses at once: idempotency_key_invalid (outcome none),
    // key_expired, key_from_future and key_reused (unknown: another edge may have accepted the key).
    ledger_actions begin(time_point now, const ledger_request& request);

    // Handles claim_reply, attempt_query and attempt_status from edge `from`; others are ignored.
    ledger_actions receive(time_point now, const std::string& from, const ledger_message_body& body);

    // Resends, queries owners of other attempts, ends attempts at their deadline. Call at least every 50 ms.
    ledger_actions tick(time_point now);

    // The connection to the edge was lost: its claims no longer count until it has replied again.
    ledger_actions peer_disconnected(time_point now, const std::string& edge);

    // Outcome of a dispatched attempt. A call for an attempt that is not dispatched (any more) has no effect.
    ledger_actions complete(time_point now, std::uint64_t attempt, wire::stored_answer_t answer);
    ledger_actions not_dispatched(time_point now, std::uint64_t attempt, wire::refusal_reason reason);
    ledger_actions outcome_lost(time_point now, std::uint64_t attempt,
                                wire::refusal_reason reason = wire::refusal_reason::outcome_unknown);

    void set_members(ledger_members members);

    std::size_t running() const noexcept;               // attempts without an outcome; wait for 0 before stopping
    std::size_t undelivered_outcomes() const noexcept;  // outcomes not yet stored by a majority; the same

private:
    struct waiter {
        std::uint64_t request = 0;
        time_point deadline;
    };
    struct vote {
        bool replied = false;
        bool granted = false;
        std::uint64_t incarnation = 0;
        std::optional<ledger_attempt> conflict;  // live claim of another attempt
        bool fingerprint_mismatch = false;       // of the conflict
        std::optional<time_point> refused_at;    // latest not_run refusal of the key, in own time, never too early
        time_point sent_at;
    };
    enum class phase : std::uint8_t { claiming, waiting, dispatched };
    struct active_attempt {
        std::string key;
        std::string service;
        std::uint64_t fingerprint = 0;
        std::int64_t key_time_ms = 0;
        std::uint64_t number = 0;
        phase state = phase::claiming;
        time_point begun_at;                // of the first request
        time_point claim_started_at;        // start of the current attempt
        std::vector<waiter> waiters;        // the first one is dispatched
        std::map<std::string, vote> votes;  // by replica
        std::vector<std::vector<std::string>> sets;
        std::optional<ledger_attempt> competitor;  // waiting: the attempt waited for
        time_point queried_at;
        time_point last_status_at;                  // last status of the rival
        std::set<ledger_attempt> lost_competitors;  // attempts whose owner does not know or does not reply
        std::optional<time_point> refused_at;       // latest not_run refusal of the key that an owner reported
        bool saw_conflict = false;                  // another attempt's claim was seen
        bool fingerprint_mismatch = false;          // a replica saw the key with another fingerprint
        bool wait_reported = false;
        int rounds = 0;
        std::map<std::string, std::uint64_t> subscribers;  // edges to tell when the attempt ends, with their request_id
    };
    struct finished_attempt {
        std::string key;
        std::string service;
        std::uint64_t fingerprint = 0;
        std::int64_t key_time_ms = 0;
        wire::ledger_state state = wire::ledger_state::aborted;
        std::shared_ptr<const wire::stored_answer_t> answer;
        std::optional<time_point> refused_at;
        std::set<std::string> pending;  // replicas that have not confirmed
        std::size_t replicas = 0;
        time_point finished_at;
        time_point sent_at;
    };

    void on_claim_reply(time_point now, const std::string& from, const wire::claim_reply_t& reply, ledger_actions& out);
    bool end_if_decided(time_point now, const active_attempt& attempt, const wire::ledger_entry_t& entry,
                        ledger_actions& out);
    void record_conflict(time_point now, active_attempt& attempt, vote& from, const wire::ledger_entry_t& entry,
                         ledger_actions& out) const;
    void refuse_reused(time_point now, const active_attempt& attempt, ledger_actions& out);
    void on_query(time_point now, const std::string& from, const wire::attempt_query_t& query, ledger_actions& out);
    wire::attempt_status_t status_of(time_point now, std::uint64_t request_id, const std::string& key,
                                     const ledger_attempt& wanted) const;
    void on_status(time_point now, const std::string& from, const wire::attempt_status_t& status, ledger_actions& out);
    bool should_yield(time_point now, const active_attempt& attempt, const ledger_attempt& competitor) const;
    void on_confirmation(const std::string& replica, std::uint64_t number);
    void on_competitor_aborted(time_point now, active_attempt& attempt, const wire::attempt_status_t& status,
                               ledger_actions& out);
    void on_competitor_lost(time_point now, active_attempt& attempt, const ledger_attempt& competitor,
                            ledger_actions& out);
    void count_votes(time_point now, active_attempt& attempt, ledger_actions& out);
    void dispatch_or_refuse(time_point now, active_attempt& attempt, ledger_actions& out);
    void start_round(time_point now, active_attempt& attempt, ledger_actions& out);
    void send_claim(time_point now, const active_attempt& attempt, const std::string& replica, vote& to,
                    ledger_actions& out) const;
    void query(time_point now, active_attempt& attempt, const std::set<ledger_attempt>& competitors,
               ledger_actions& out) const;
    void yield_to(time_point now, active_attempt& attempt, const ledger_attempt& competitor, ledger_actions& out);
    void end_attempt(time_point now, const active_attempt& attempt, wire::ledger_state state,
                     std::shared_ptr<const wire::stored_answer_t> answer, bool refused, ledger_actions& out);
    void send_finished(time_point now, std::uint64_t number, finished_attempt& record, ledger_actions& out) const;
    void refuse_all(const active_attempt& attempt, wire::refusal_reason reason, wire::outcome outcome,
                    ledger_actions& out);
    void replay_all(const active_attempt& attempt, const std::shared_ptr<const wire::stored_answer_t>& answer,
                    ledger_path path, ledger_actions& out);
    void tick_active(time_point now, const std::string& key, ledger_actions& out);
    void tick_claiming(time_point now, active_attempt& attempt, ledger_actions& out);
    bool expire_waiters(time_point now, active_attempt& attempt, ledger_actions& out);
    void tick_finished(time_point now, ledger_actions& out);
    active_attempt* find_dispatched(std::uint64_t attempt);
    std::optional<time_point> latest_refusal_time(time_point now, const ledger_attempt& by, std::int64_t ms_ago) const;
    ledger_attempt id_of(std::uint64_t number) const;

    ledger_coordinator_options options;
    ledger_members members;
    std::uint64_t last_number = 0;
    std::map<std::string, active_attempt> active_by_key;
    std::map<std::uint64_t, std::string> dispatched_keys;          // by attempt number
    std::map<std::uint64_t, finished_attempt> finished_by_number;  // see tick_finished()
    std::map<std::uint64_t, time_point> finished_times;            // not confirmed by all replicas
    std::map<std::uint64_t, time_point> confirmed_times;           // confirmed by all replicas
    std::map<std::uint64_t, time_point> executed_times;            // attempts that completed or whose outcome is lost
    std::set<std::uint64_t> unconfirmed;  // numbers in finished_by_number with pending replicas
};

}  // namespace persimmongrade
