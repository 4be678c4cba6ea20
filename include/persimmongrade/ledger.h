// Request ledger: at-most-once execution of non-idempotent requests, with one replica of each key in each of three
// regions. An attempt must claim its key on a majority of the replicas before the request is sent to a target.
//
// Index: 1. Values  2. Replica sets  3. Replica  4. Coordinator
//
// An edge owns one ledger_replica and one ledger_coordinator. Both are free of I/O: they return messages and outcomes,
// and the current time is an argument. The edge delivers messages addressed to itself to its own replica and
// coordinator.
//
//     auto actions = coordinator.begin(now, {request, key, "crew-dispatch", fingerprint, deadline});
//     send(actions.messages);                        // peers.send(message.to, body) for each
//     for (const auto& outcome : actions.outcomes)   // also returned by receive(), tick() and the others
//         if (outcome.verdict == ledger_verdict::dispatch) forward(outcome.request, outcome.attempt);
//     ...
//     coordinator.complete(now, attempt, answer);        // answer received in full
//     coordinator.not_dispatched(now, attempt, reason);  // it is proved that no target ran it
//     coordinator.outcome_lost(now, attempt);            // the target may have run it
//
// The outcome `not_run` is a statement about the key, not about one attempt: the same key may have been sent earlier
// and executed through another edge. Only an attempt that holds claims on a majority of the replicas can state it. An
// edge must therefore call begin() before it refuses a non-idempotent request as not_run for any reason, and must
// report `unknown` otherwise. For the same reason claim_quorum_unavailable and deadline_exceeded have the outcome
// `unknown`, and so has key_reused unless the refusing attempt holds the majority.
//
// After not_dispatched(), no request with the key that began earlier can be executed. Such a request is refused
// (claim_conflict, not_run) with a retry hint, because a resend that begins later can be executed.

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

inline constexpr duration ledger_retention = ms(20 * 60 * 1000);      // of an entry, from the time in its key
inline constexpr duration ledger_max_key_age = ms(15 * 60 * 1000);    // older keys are refused
inline constexpr duration ledger_max_key_future = ms(60 * 1000);      // keys further ahead are refused
inline constexpr duration ledger_replica_max_future = ms(90 * 1000);  // as above at replicas, plus 30 s of clock skew

// An attempt counts granted claims only for ledger_claim_window after it sent them. A restarted replica, which has lost
// its entries, waits longer than that before it copies entries from other members. A claim that it granted before the
// restart is then either held by a member that it copies from, or too old to be counted.
inline constexpr duration ledger_claim_window = ms(1000);
inline constexpr duration ledger_copy_delay = ms(1500);

// The same delay after a change of members, and for an edge from the time when the leader lists its incarnation: an
// edge that has not learned of the change may start attempts until its configuration lease (2,000 ms) ends.
inline constexpr duration ledger_change_copy_delay = ms(4000);

inline constexpr duration ledger_resend_interval = ms(200);  // of claims, completions and aborts without a reply
inline constexpr duration ledger_query_interval = ms(50);    // of attempt_query while another attempt is running
inline constexpr std::uint32_t ledger_conflict_retry_ms = 100;

// No replica set can be formed: the list of members is empty, or the edge is not in it.
class ledger_membership_error : public error {
public:
    using error::error;
};

struct ledger_member {
    std::string edge;
    std::string region;

    auto operator<=>(const ledger_member&) const = default;
};

// One execution attempt. The order decides which of two attempts that block each other yields.
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
    std::string to;  // id of the edge; may be the sender itself
    ledger_message_body body;
};

enum class ledger_verdict : std::uint8_t {
    dispatch,  // claimed on a majority: send the request to a target
    replay,    // the key was executed before: respond with `answer`
    wait,      // another attempt is running; a final outcome follows by the deadline. Needs no action
    refuse,    // respond with `reason` and `outcome`
};

// How the decision to dispatch or replay a request was reached.
enum class ledger_path : std::uint8_t {
    none,         // refused, or not decided yet
    first_round,  // dispatched: the first round of claims had a majority
    later_round,  // dispatched after another attempt was aborted or its owner was lost
    stored,       // replayed: a replica had stored the answer
    same_edge,    // replayed: joined an attempt of this edge
    other_edge,   // replayed: the edge that executed the request sent the answer
};

struct ledger_outcome {
    std::uint64_t request = 0;  // as passed to begin()
    ledger_verdict verdict = ledger_verdict::refuse;
    std::uint64_t attempt = 0;  // dispatch: pass to complete(), not_dispatched() or outcome_lost()
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

inline constexpr std::size_t ledger_replicas = 3;  // per key; fewer when there are fewer regions

// Replica set of a key, sorted by region: one edge in each of three regions, so that no region holds a majority.
// Rendezvous hashing (XXH64) selects the regions, if there are more than three, and the edge in each region.
std::vector<std::string> replica_set(std::string_view key, const std::vector<ledger_member>& members);

// Members after and before a change. `previous` is empty when no change is in progress.
//
// A change has three steps: {current: old}; then {current: new, previous: old} on every edge; and, when every edge
// reports voting(), {current: new}. Two edges may differ by one of these steps at a time, never by two.
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
    std::string edge;                 // id of this edge
    std::uint64_t incarnation = 0;    // different at each start
    std::int64_t unix_offset_ms = 0;  // Unix time in ms minus `now` in ms; constant while the process runs
    bool first_start = false;         // the deployment has never run, so nothing needs copying. Unsafe after a restart
    std::size_t page_entries = 256;
    std::size_t page_bytes = 4u << 20;
};

// Stores the entries of the keys whose replica set includes this edge.
//
// After a start the replica does not vote: it grants no claim until it has copied the entries that it shares with the
// members of other regions, or ledger_retention has passed. The exception are keys with a later time than any that it
// can have accepted before copying starts (start of copying + ledger_replica_max_future): no entry of them can have
// been lost.
class ledger_replica {
public:
    ledger_replica(time_point now, ledger_replica_options options, ledger_members members);

    // Handles a claim, completion, abort, or a sync message from edge `from`; others are ignored.
    std::vector<ledger_message> receive(time_point now, const std::string& from, const ledger_message_body& body);

    // Removes expired entries and requests pages to copy. Call every 100 ms or so.
    std::vector<ledger_message> tick(time_point now);

    void set_members(time_point now, ledger_members members);

    // Starts copying at `at` instead of after ledger_copy_delay. An edge that was moved to another address has to wait
    // until no other edge counts claims granted by the process that it replaces, which may still be running. No effect
    // on a replica that holds all its entries.
    void delay_copy_until(time_point at);

    bool voting() const noexcept;                                  // on all of its keys; reported in edge_ping
    bool can_vote_on(time_point now, std::string_view key) const;  // on this key alone
    std::size_t entry_count() const noexcept;
    std::size_t answer_bytes() const noexcept;  // size of the bodies of stored answers

private:
    using owner = std::pair<std::string, std::uint64_t>;  // of attempts: edge and its incarnation
    struct refusal {
        std::uint64_t number = 0;  // of the attempt
        time_point at;             // not before the refusal was given
    };
    struct claim {
        ledger_attempt attempt;
        std::uint64_t fingerprint = 0;
    };
    struct entry {
        std::string service;
        std::uint64_t fingerprint = 0;  // of the first claim; later claims with another fingerprint are refused
        std::int64_t key_time_ms = 0;
        std::vector<claim> claims;                            // in progress; more than one only after copying
        std::optional<ledger_attempt> aborted;                // last aborted attempt
        std::optional<claim> decided;                         // attempt that completed or whose outcome was lost
        std::shared_ptr<const wire::stored_answer_t> answer;  // null while the outcome of `decided` is uncertain
        std::map<owner, refusal> refused;                     // latest not_run refusal by each owner
    };
    struct copy_progress {
        std::uint64_t request_id = 0;   // of the requested page; 0: none
        std::uint64_t incarnation = 0;  // of the edge copied from
        std::string after_key;
        time_point retry_at;  // the page is requested then, at first or again
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
    time_point copy_not_before;  // no page is requested before
    bool is_complete;            // holds all entries of its keys
    bool was_complete;           // held all entries of the keys of the previous members
    std::uint64_t last_request_id = 0;
    std::size_t body_bytes = 0;
    std::map<std::string, entry, std::less<>> entries;
    std::map<std::string, copy_progress> copy_sources;      // by edge that entries are copied from
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
    std::uint64_t incarnation = 0;          // different at each start
    std::int64_t unix_offset_ms = 0;        // as in ledger_replica_options
    duration answer_retention = ms(10000);  // of an answer that a majority has stored, from the end of its attempt
};

// Runs on the edge that serves the request, and owns its attempts.
//
// At most one attempt per key is active on an edge. Further requests with the same key share its outcome.
class ledger_coordinator {
public:
    ledger_coordinator(ledger_coordinator_options options, ledger_members members);

    // Starts an attempt, or joins the running one. Refusals without an attempt are idempotency_key_invalid (outcome
    // none), and key_expired, key_from_future, deadline_exceeded and key_reused (outcome unknown, because another edge
    // may have accepted the key).
    ledger_actions begin(time_point now, const ledger_request& request);

    // Handles claim_reply, attempt_query and attempt_status from edge `from`; others are ignored.
    ledger_actions receive(time_point now, const std::string& from, const ledger_message_body& body);

    // Resends messages, queries the owners of other attempts and ends attempts at their deadline. Call at least every
    // 50 ms.
    ledger_actions tick(time_point now);

    // The connection to the edge was lost: claims that it granted do not count until it has replied again.
    ledger_actions peer_disconnected(time_point now, const std::string& edge);

    // Report the outcome of a dispatched attempt. No effect on an attempt that is not dispatched, or not any more.
    ledger_actions complete(time_point now, std::uint64_t attempt, wire::stored_answer_t answer);
    ledger_actions not_dispatched(time_point now, std::uint64_t attempt, wire::refusal_reason reason);
    ledger_actions outcome_lost(time_point now, std::uint64_t attempt,
                                wire::refusal_reason reason = wire::refusal_reason::outcome_unknown);

    void set_members(ledger_members members);

    // Both must be 0 before the edge stops.
    std::size_t running() const noexcept;               // attempts without an outcome
    std::size_t undelivered_outcomes() const noexcept;  // outcomes that a majority has not stored yet

private:
    struct waiter {
        std::uint64_t request = 0;
        time_point deadline;
    };
    struct vote {
        bool replied = false;
        bool granted = false;
        std::uint64_t incarnation = 0;
        std::optional<ledger_attempt> conflict;  // claim of another attempt in progress
        bool fingerprint_mismatch = false;       // of `conflict`
        std::optional<time_point>
            refused_at;  // latest not_run refusal of the key, on this edge's clock; not before it was given
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
        time_point begun_at;                // when the first request began
        time_point claim_started_at;        // when the current round of claims was sent
        std::vector<waiter> waiters;        // the first one is the request that is dispatched
        std::map<std::string, vote> votes;  // by replica
        std::vector<std::vector<std::string>> sets;
        std::optional<ledger_attempt> competitor;  // in phase waiting: the attempt that is waited for
        time_point queried_at;
        time_point last_status_at;  // last status received from the competitor
        std::set<ledger_attempt>
            lost_competitors;                  // attempts that their owner does not know, or whose owner does not reply
        std::optional<time_point> refused_at;  // latest not_run refusal of the key reported by an owner
        bool saw_conflict = false;             // another attempt's claim was seen
        bool fingerprint_mismatch = false;     // a replica saw the key with another fingerprint
        bool wait_reported = false;
        int rounds = 0;
        std::map<std::string, std::uint64_t> subscribers;  // request_id by edge to notify when the attempt ends
    };
    struct finished_attempt {
        std::string key;
        std::string service;
        std::uint64_t fingerprint = 0;
        std::int64_t key_time_ms = 0;
        wire::ledger_state state = wire::ledger_state::aborted;
        std::shared_ptr<const wire::stored_answer_t> answer;
        std::optional<time_point> refused_at;
        std::set<std::string> pending;  // replicas that have not confirmed the outcome
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
    std::map<std::uint64_t, time_point> finished_times;            // when they ended; not confirmed by all replicas
    std::map<std::uint64_t, time_point> confirmed_times;           // when they ended; confirmed by all replicas
    std::map<std::uint64_t, time_point> executed_times;            // attempts that completed or whose outcome was lost
    std::set<std::uint64_t> unconfirmed;  // attempts in finished_by_number whose outcome is still sent to replicas
};

}  // namespace persimmongrade
