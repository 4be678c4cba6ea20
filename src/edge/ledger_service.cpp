#include "ledger_service.h"

#include <utility>

namespace persimmongrade {

namespace {

constexpr double ms_per_second = 1000;
constexpr duration tick_period = ms(20);  // bounds the delay of refusals at a deadline

ledger_members members_of(const wire::edge_settings_t& settings) {
    ledger_members members;
    for (const auto& peer : settings.edges) {
        members.current.push_back({peer->id, peer->region});
    }
    return members;
}

std::int64_t unix_offset(time_point now) {
    return unix_time_ms() - now.time_since_epoch().count();
}

// Bounds in seconds. A claim takes one round trip between regions, 24 and 40 ms in the deployments of today.
const prometheus::Histogram::BucketBoundaries decision_bounds{0.005, 0.03, 0.05, 0.07, 0.1, 0.2, 0.5, 1};

const std::map<ledger_path, const char*> path_names{{ledger_path::first_round, "first_round"},
                                                    {ledger_path::later_round, "later_round"},
                                                    {ledger_path::stored, "stored"},
                                                    {ledger_path::same_edge, "same_edge"},
                                                    {ledger_path::other_edge, "other_edge"}};

template <typename Body>
std::optional<ledger_message_body> copy_body(const Body* body) {
    return body == nullptr ? std::nullopt : std::optional<ledger_message_body>(*body);
}

std::optional<ledger_message_body> ledger_body(const wire::messageUnion& message) {
    switch (message.type) {
    case wire::message::claim_request:
        return copy_body(message.Asclaim_request());
    case wire::message::claim_reply:
        return copy_body(message.Asclaim_reply());
    case wire::message::complete_request:
        return copy_body(message.Ascomplete_request());
    case wire::message::abort_request:
        return copy_body(message.Asabort_request());
    case wire::message::attempt_query:
        return copy_body(message.Asattempt_query());
    case wire::message::attempt_status:
        return copy_body(message.Asattempt_status());
    case wire::message::ledger_sync_request:
        return copy_body(message.Asledger_sync_request());
    case wire::message::ledger_sync_reply:
        return copy_body(message.Asledger_sync_reply());
    default:
        return std::nullopt;
    }
}

}  // namespace

ledger_service::ledger_service(event_loop& loop, const wire::edge_settings_t& settings, std::uint64_t incarnation,
                               bool first_start, metric_registry& metrics, ledger_peers peers)
    : loop(loop), edge(settings.id), peers(std::move(peers)),
      replica(loop.now(), {settings.id, incarnation, unix_offset(loop.now()), first_start}, members_of(settings)),
      coordinator({settings.id, incarnation, unix_offset(loop.now())}, members_of(settings)) {
    for (const auto& peer : settings.edges) {
        if (peer->id != this->edge) {
            this->other_edges.push_back(peer->id);
        }
    }
    for (const auto& [path, name] : path_names) {
        this->decision_seconds[path] =
            &metrics.histogram("persimmongrade_ledger_decision_seconds",
                               "Time from a non-idempotent request to its dispatch or replay, by path.",
                               decision_bounds, {{"path", name}});
    }
    this->replica.delay_copy_until(loop.now() + ledger_retention);  // until listed()
    this->timer = loop.every(tick_period, [this] { this->tick(); });
}

ledger_service::~ledger_service() {
    this->loop.cancel(this->timer);
}

void ledger_service::begin(ledger_request request, handler on_outcome) {
    request.request = ++this->last_request;
    this->handlers[request.request] = {std::move(on_outcome), this->loop.now()};
    this->perform(this->coordinator.begin(this->loop.now(), request));
}

void ledger_service::complete(std::uint64_t attempt, wire::stored_answer_t answer) {
    auto request = this->dispatched.extract(attempt);
    if (!request.empty()) {
        this->handlers.erase(request.mapped());
    }
    this->perform(this->coordinator.complete(this->loop.now(), attempt, std::move(answer)));
}

void ledger_service::not_dispatched(std::uint64_t attempt, wire::refusal_reason reason) {
    this->dispatched.erase(attempt);
    this->perform(this->coordinator.not_dispatched(this->loop.now(), attempt, reason));
}

void ledger_service::outcome_lost(std::uint64_t attempt, wire::refusal_reason reason) {
    this->dispatched.erase(attempt);
    this->perform(this->coordinator.outcome_lost(this->loop.now(), attempt, reason));
}

void ledger_service::peer_replaced(const std::string& other) {
    this->perform(this->coordinator.peer_disconnected(this->loop.now(), other));
}

void ledger_service::listed() {
    this->replica.delay_copy_until(this->loop.now() + ledger_change_copy_delay);
}

bool ledger_service::receive(const std::string& from, const wire::messageUnion& message) {
    auto body = ledger_body(message);
    if (body) {
        this->deliver_here(from, *body);
    }
    return body.has_value();
}

void ledger_service::tick() {
    this->watch_connections();
    this->deliver(this->replica.tick(this->loop.now()));
    this->perform(this->coordinator.tick(this->loop.now()));
}

void ledger_service::watch_connections() {
    std::uint64_t changes = this->peers.connection_changes();
    if (changes == std::exchange(this->watched_changes, changes)) {
        return;
    }
    for (const std::string& other : this->other_edges) {
        bool connected = this->peers.connected(other);
        bool was_connected = this->connected_edges.contains(other);
        if (connected) {
            this->connected_edges.insert(other);
        } else if (was_connected) {
            this->connected_edges.erase(other);
            this->perform(this->coordinator.peer_disconnected(this->loop.now(), other));
        }
    }
}

void ledger_service::perform(ledger_actions actions) {
    this->deliver(std::move(actions.messages));
    for (const ledger_outcome& outcome : actions.outcomes) {
        this->report(outcome);
    }
}

void ledger_service::deliver(std::vector<ledger_message> messages) {
    for (ledger_message& message : messages) {
        if (message.to != this->edge) {
            this->peers.send(message.to, message.body);
            continue;
        }
        // On a later turn: the sender may not expect an answer while it still handles its own event.
        this->loop.after(duration::zero(),
                         [this, body = std::move(message.body)] { this->deliver_here(this->edge, body); });
    }
}

void ledger_service::deliver_here(const std::string& from, const ledger_message_body& body) {
    this->deliver(this->replica.receive(this->loop.now(), from, body));
    this->perform(this->coordinator.receive(this->loop.now(), from, body));
}

void ledger_service::report(const ledger_outcome& outcome) {
    auto found = this->handlers.find(outcome.request);
    if (found == this->handlers.end()) {
        return;
    }
    handler on_outcome = found->second.on_outcome;
    if (outcome.path != ledger_path::none) {
        duration taken = this->loop.now() - found->second.begun_at;
        this->decision_seconds.at(outcome.path)->Observe(static_cast<double>(taken.count()) / ms_per_second);
    }
    if (outcome.verdict == ledger_verdict::dispatch) {
        this->dispatched[outcome.attempt] = outcome.request;
    }
    if (outcome.verdict == ledger_verdict::replay || outcome.verdict == ledger_verdict::refuse) {
        this->handlers.erase(found);
    }
    on_outcome(outcome);
}

}  // namespace persimmongrade
