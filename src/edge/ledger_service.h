// The edge's part of the request ledger: one replica and one coordinator, with their messages and timers.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "persimmongrade/event_loop.h"
#include "persimmongrade/ledger.h"
#include "persimmongrade/metrics.h"
#include "persimmongrade/settings.h"

namespace persimmongrade {

// How the service reaches the other edges.
struct ledger_peers {
    std::function<void(const std::string& edge, const ledger_message_body& body)> send;
    std::function<bool(const std::string& edge)> connected;
    std::function<std::uint64_t()> connection_changes;  // not 0; unchanged: `connected` answers as before for all edges
};

class ledger_service {
public:
    using handler = std::function<void(const ledger_outcome&)>;

    // `first_start`: the deployment never ran before, so that there is nothing to copy.
    ledger_service(event_loop& loop, const wire::edge_settings_t& settings, std::uint64_t incarnation, bool first_start,
                   metric_registry& metrics, ledger_peers peers);
    ~ledger_service();
    ledger_service(const ledger_service&) = delete;
    ledger_service& operator=(const ledger_service&) = delete;

    // The handler runs for each outcome of the request, perhaps inside begin(). After `dispatch`, the caller ends the
    // attempt with one of the three calls below; after complete() it answers the request itself.
    void begin(ledger_request request, handler on_outcome);
    void complete(std::uint64_t attempt, wire::stored_answer_t answer);
    void not_dispatched(std::uint64_t attempt, wire::refusal_reason reason);
    void outcome_lost(std::uint64_t attempt, wire::refusal_reason reason);

    void peer_replaced(const std::string& other);  // grants of its earlier incarnation no longer count
    void listed();                                 // the leader lists this incarnation to the other edges

    // False when the message is not one of the ledger.
    bool receive(const std::string& from, const wire::messageUnion& message);

    bool voting() const { return this->replica.voting(); }
    std::size_t entries() const { return this->replica.entry_count(); }
    bool idle() const { return this->coordinator.running() == 0 && this->coordinator.undelivered_outcomes() == 0; }

private:
    struct waiting_request {
        handler on_outcome;
        time_point begun_at;
    };

    void tick();
    void watch_connections();
    void perform(ledger_actions actions);
    void deliver(std::vector<ledger_message> messages);
    void deliver_here(const std::string& from, const ledger_message_body& body);
    void report(const ledger_outcome& outcome);

    event_loop& loop;
    std::string edge;
    ledger_peers peers;
    ledger_replica replica;
    ledger_coordinator coordinator;
    std::map<std::uint64_t, waiting_request> handlers;  // by request
    std::map<ledger_path, prometheus::Histogram*> decision_seconds;
    std::map<std::uint64_t, std::uint64_t> dispatched;  // request by attempt
    std::set<std::string> connected_edges;
    std::uint64_t watched_changes = 0;  // up to which connected_edges is known
    std::vector<std::string> other_edges;
    std::uint64_t last_request = 0;
    timer_id timer = 0;
};

}  // namespace persimmongrade
