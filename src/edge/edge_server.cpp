#include "persimmongrade/edge_server.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <optional>

#include "announcement.h"
#include "edge_context.h"
#include "forwarder.h"
#include "ledger_service.h"
#include "persimmongrade/edge_list.h"
#include "persimmongrade/event_log.h"
#include "persimmongrade/http_server.h"
#include "persimmongrade/log.h"
#include "persimmongrade/peer_transport.h"
#include "persimmongrade/update_relay.h"

namespace persimmongrade {

namespace {

constexpr duration ping_period = ms(250);
// A request may wait 100 ms for capacity, which is shorter than the ping period: without an early ping, the first
// requests of a burst are refused although capacity is free. The gap bounds the cost to the leader.
constexpr duration early_ping_gap = ms(50);
constexpr duration maintenance_period = ms(250);
constexpr duration queue_period = ms(5);  // rate limits free capacity without an event
constexpr duration stop_check_period = ms(20);
constexpr std::size_t max_header_bytes = 16384;  // names and values of one request
constexpr std::array<std::string_view, 7> known_methods{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"};

// Checks that apply to every path. Returns the refusal of a bad request.
std::optional<refusal> check_request(const http_request& request) {
    if (message_bytes(request.headers, request.path.size() + request.query.size()) > max_header_bytes) {
        return refusal{wire::refusal_reason::request_too_large, wire::outcome::none,
                       "the header exceeds " + std::to_string(max_header_bytes) + " bytes"};
    }
    bool known = std::find(known_methods.begin(), known_methods.end(), request.method) != known_methods.end();
    bool announcement = request.path == "/v1/targets";
    bool read_only = !announcement && !request.path.starts_with("/s/");
    bool allowed = known && (!announcement || request.method == "POST") &&
                   (!read_only || request.method == "GET" || request.method == "HEAD");
    if (!allowed) {
        return refusal{wire::refusal_reason::method_not_allowed, wire::outcome::none,
                       "method '" + request.method + "' is not allowed here"};
    }
    return std::nullopt;
}

// The refusal of a request that the HTTP layer rejected with a status.
refusal rejected_request(int status) {
    constexpr int incomplete = 408;
    constexpr int too_large = 413;
    if (status == incomplete) {
        return {wire::refusal_reason::request_incomplete, wire::outcome::none,
                "the request did not arrive completely in time"};
    }
    if (status == too_large) {
        return {wire::refusal_reason::request_too_large, wire::outcome::none, "the request is too large"};
    }
    return {wire::refusal_reason::bad_request, wire::outcome::none, "the request is malformed"};
}

}  // namespace

struct edge_server::impl {
    event_loop& loop;
    wire::edge_settings_t settings;
    metric_registry& metrics;
    std::uint64_t incarnation = static_cast<std::uint64_t>(unix_time_ms());
    edge_context edge;
    ledger_service ledger;
    forwarder forwarding;
    peer_transport peers;
    http_server http;
    edge_list live_edges;
    update_relay relay;
    timer_id relay_timer = 0;
    std::optional<time_point> relay_timer_at;
    std::vector<timer_id> timers;
    std::function<void()> on_stopped;
    timer_id stop_timer = 0;
    time_point last_ping_at{};
    timer_id early_ping_timer = 0;
    std::uint64_t listed_term = 0;  // of the leader whose edge list last showed this incarnation; 0: none
    std::string logged_leader;      // as last written to the event log
    bool logged_lease = false;

    impl(event_loop& loop, wire::edge_settings_t initial, metric_registry& metrics, edge_options options)
        : loop(loop), settings(std::move(initial)), metrics(metrics),
          edge(loop, this->settings, metrics, this->incarnation,
               options.random_seed == 0 ? this->incarnation : options.random_seed),
          ledger(loop, this->settings, this->incarnation, options.first_start, metrics, this->ledger_routes()),
          forwarding(this->edge, this->ledger),
          peers(loop, this->settings.cluster, this->settings.id, ip_address::parse(this->settings.peer_address),
                metrics, [this](const wire::envelope_t& envelope) { this->receive(envelope); }),
          http(loop, ip_address::parse(this->settings.http_address), this->http_options(options),
               [this](http_request request, const std::shared_ptr<http_exchange>& exchange) {
                   this->handle(std::move(request), exchange);
               }),
          relay(this->relay_settings(), this->edge.targets, this->edge.crashes) {
        this->edge.send_notices = [this](const auto& notices) { this->distribute(this->relay.report(notices)); };
        this->edge.report_demand = [this] { this->ping_early(); };
        this->peers.set_incarnation(this->incarnation);
        this->connect(this->settings.control);
        this->connect(this->settings.edges);
        this->timers.push_back(loop.every(ping_period, [this] { this->ping(); }));
        this->timers.push_back(loop.every(queue_period, [this] { this->edge.retry_waiting(); }));
        this->timers.push_back(loop.every(maintenance_period, [this] { this->maintain_targets(); }));
    }

    ~impl() {
        this->loop.cancel(this->early_ping_timer);
        this->loop.cancel(this->relay_timer);
        for (timer_id id : this->timers) {
            this->loop.cancel(id);
        }
    }

    void connect(const std::vector<std::unique_ptr<wire::peer_settings_t>>& list) {
        for (const auto& peer : list) {
            if (peer->id != this->settings.id) {
                this->peers.add_peer(peer->id, ip_address::parse(peer->address),
                                     simulated_delay(this->settings.simulated_latency, peer->region));
            }
        }
    }

    // ---- Control processes ----

    void ping_early() {
        if (this->early_ping_timer != 0) {
            return;
        }
        duration wait = std::max(duration::zero(), this->last_ping_at + early_ping_gap - this->loop.now());
        this->early_ping_timer = this->loop.after(wait, [this] {
            this->early_ping_timer = 0;
            this->ping();
        });
    }

    // Asks for one slot on each live target of the own region. An edge without floor slots on a target would otherwise
    // refuse the first requests after an idle time, until its first lease.
    void anticipate_local_requests(time_point now) {
        for (const std::string& service : this->edge.targets.services()) {
            for (const target_view& view : this->edge.targets.view(now, service)) {
                bool local = view.target.region == this->settings.region && !view.draining && !view.ejected;
                if (local) {
                    this->edge.leases.anticipate(slots_resource(service, view.target.id), 1, now);
                    this->edge.leases.anticipate(connections_resource(service, view.target.id), 1, now);
                }
            }
        }
    }

    void ping() {
        this->last_ping_at = this->loop.now();
        wire::edge_ping_t ping;
        ping.incarnation = this->incarnation;
        ping.state = this->edge.state;
        ping.region = this->settings.region;
        ping.zone = this->settings.zone;
        ping.http_address = this->settings.http_address;
        ping.peer_address = this->settings.peer_address;
        ping.ledger_voting = this->ledger.voting();
        for (wire::target_outstanding_t& entry : this->edge.targets.all_outstanding()) {
            ping.outstanding.push_back(std::make_unique<wire::target_outstanding_t>(std::move(entry)));
        }
        time_point now = this->loop.now();
        this->edge.meter.report(ping, this->edge.index->configuration(), this->edge.targets, now);
        this->anticipate_local_requests(now);
        this->edge.leases.prepare(ping, now);
        this->live_edges.name_version(ping);
        this->perform(this->edge.config.ping(now, std::move(ping)));
    }

    // The leader that this edge heard last, and whether its own right to act on the configuration is valid.
    void log_control(time_point now) {
        bool valid = this->edge.config.lease_valid(now);
        if (this->edge.config.leader() == this->logged_leader && valid == this->logged_lease) {
            return;
        }
        log_event(valid ? "control_regained" : "control_lost", field("leader", this->edge.config.leader()),
                  field("leader_before", this->logged_leader), field("lease_valid", valid),
                  field("revision", this->edge.config.revision()));
        this->logged_leader = this->edge.config.leader();
        this->logged_lease = valid;
    }

    void perform(config_actions actions) {
        for (outgoing_message& message : actions.messages) {
            this->peers.send_message(message.to, std::move(message.message));
        }
        if (actions.applied) {
            this->edge.index = std::make_shared<const configuration_index>(this->edge.config.configuration());
            this->edge.lookups.apply(this->edge.config.configuration());
            this->edge.leases.apply(this->edge.index->configuration(), this->loop.now());
            this->edge.targets.set_drains(this->loop.now(), this->edge.index->drained_targets());
            log_event("configuration_applied", field("revision", this->edge.config.revision()));
        }
        bool first_lease =
            this->edge.state == wire::edge_state::starting && this->edge.config.lease_valid(this->loop.now());
        if (first_lease) {
            this->edge.state = wire::edge_state::serving;
            this->ping();  // the other edges learn of it without waiting for the next period
        }
    }

    // ---- Peer messages ----

    void receive(const wire::envelope_t& envelope) {
        time_point now = this->loop.now();
        const wire::messageUnion& body = envelope.body;
        switch (body.type) {
        case wire::message::edge_pong: {
            wire::edge_pong_t pong(*body.Asedge_pong());
            config_actions actions = this->edge.config.receive(now, envelope.from, pong);
            if (actions.pong_accepted) {
                this->edge.leases.receive(pong, now);
                bool changed = this->live_edges.receive(pong);
                this->edge.lookups.set_edges(this->live_edges.entries(), this->ready());
                this->follow_edges();
                if (changed) {
                    this->distribute(this->relay.set_edges(now, this->live_edges.entries()));
                }
            }
            this->perform(std::move(actions));
            return;
        }
        case wire::message::not_leader:
            this->perform(this->edge.config.receive(now, envelope.from, *body.Asnot_leader()));
            return;
        case wire::message::config_push:
            this->perform(this->edge.config.receive(now, envelope.from, *body.Asconfig_push()));
            return;
        case wire::message::config_part:
            this->perform(this->edge.config.receive(now, envelope.from, *body.Asconfig_part()));
            return;
        case wire::message::target_update:
            this->receive_targets(envelope.from, *body.Astarget_update());
            return;
        case wire::message::quarantine_notice:
            this->distribute(this->relay.receive(now, envelope.from, *body.Asquarantine_notice()));
            return;
        default:
            this->ledger.receive(envelope.from, body);
            return;
        }
    }

    // Moves connections to the addresses in the edge list. An entry of an older incarnation than one known changes
    // nothing, so that a list which the leader made before it heard of a replacement does no harm.
    void follow_edges() {
        for (const auto& info : this->live_edges.entries()) {
            if (info->id == this->settings.id) {
                this->note_own_entry(*info, this->live_edges.term());
                continue;
            }
            try {
                auto address = ip_address::parse(info->peer_address);
                if (this->peers.update_peer(info->id, address, info->incarnation)) {
                    this->ledger.peer_replaced(info->id);
                }
            } catch (const address_error& reason) {
                log_warning("edge with a bad peer address", field("edge", info->id), field("reason", reason.what()));
            }
        }
    }

    // Within a configuration lease from now on, every edge that may start attempts knows this incarnation. An entry of
    // an earlier leader does not count: the current one may not have told the others.
    void note_own_entry(const wire::edge_info_t& info, std::uint64_t term) {
        if (info.incarnation == this->incarnation && term != this->listed_term) {
            this->listed_term = term;
            this->ledger.listed();
        }
    }

    ledger_peers ledger_routes() {
        auto send = [this](const std::string& to, const ledger_message_body& body) {
            std::visit([&](const auto& message) { this->peers.send(to, message); }, body);
        };
        return {send, [this](const std::string& edge_id) { return this->peers.connected(edge_id); },
                [this] { return this->peers.connection_changes(); }};
    }

    // ---- Targets ----

    void maintain_targets() {
        time_point now = this->loop.now();
        this->log_control(now);
        for (const target_choice& gone : this->edge.targets.tick(now)) {
            log_event("target_lost", field("target", gone.id), field("service", gone.service),
                      field("region", gone.region),
                      field("in_use", this->edge.targets.outstanding(gone.service, gone.id)),
                      field("silent_ms", target_lease.count()));
            this->edge.send_notices(this->edge.crashes.target_down(now, gone.service, gone.id));
        }
        this->edge.send_notices(this->edge.crashes.tick(now));
        this->edge.lookups.set_edges(this->live_edges.entries(), this->ready());  // readiness may have ended
    }

    void announce(const http_request& request, http_exchange& exchange) {
        wire::target_info_t target = parse_announcement(request.body);
        bool known = this->edge.targets.alive(this->loop.now(), target.service, target.id);
        this->distribute(this->relay.announce(this->loop.now(), target));
        if (!known) {
            this->log_target(target, this->settings.id);
        }
        exchange.respond(announcement_response(this->edge.index->drained(target.id)));
    }

    void receive_targets(const std::string& from, const wire::target_update_t& update) {
        std::vector<const wire::target_info_t*> unknown;
        for (const auto& info : update.targets) {
            if (!this->edge.targets.alive(this->loop.now(), info->service, info->id)) {
                unknown.push_back(info.get());
            }
        }
        this->distribute(this->relay.receive(this->loop.now(), from, update));
        for (const wire::target_info_t* info : unknown) {
            this->log_target(*info, from);
        }
    }

    // `told`: a target that was not alive here before.
    void log_target(const wire::target_info_t& told, const std::string& from) const {
        log_event(
            "target", field("target", told.id), field("service", told.service), field("region", told.region),
            field("address", told.address), field("phase", wire::EnumNametarget_state(told.state)),
            field("incarnation", told.incarnation), field("sequence", told.sequence), field("lease_ms", told.lease_ms),
            field("alive", this->edge.targets.alive(this->loop.now(), told.service, told.id)), field("from", from));
    }

    // ---- Distribution to other edges ----

    relay_options relay_settings() const {
        relay_options options;
        options.self = {this->settings.id, this->settings.region, this->settings.zone};
        std::transform(this->settings.edges.begin(), this->settings.edges.end(),
                       std::back_inserter(options.configured_edges), [](const auto& peer) { return peer->id; });
        return options;
    }

    void distribute(relay_messages messages) {
        time_point now = this->loop.now();
        for (relay_message& message : messages) {
            if (!this->peers.send_message(message.to, std::move(message.message))) {
                this->relay.send_failed(now, message.to);
            }
        }
        auto next = this->relay.next_tick();
        if (next == this->relay_timer_at) {
            return;
        }
        this->loop.cancel(this->relay_timer);
        this->relay_timer = 0;
        this->relay_timer_at = next;
        if (next) {
            this->relay_timer = this->loop.after(std::max(duration::zero(), *next - now), [this] {
                this->relay_timer = 0;
                this->relay_timer_at.reset();
                this->distribute(this->relay.tick(this->loop.now()));
            });
        }
    }

    // ---- HTTP ----

    http_server_options http_options(const edge_options& given) {
        http_server_options options;
        options.max_body_bytes = this->settings.max_body_bytes;
        options.request_timeout = given.request_timeout;
        options.rejection = [this](int status) {
            refusal refused = rejected_request(status);
            this->edge.refusals.count(refused.reason);
            return refusal_response(refused);
        };
        return options;
    }

    void handle(http_request request, const std::shared_ptr<http_exchange>& exchange) {
        if (auto refused = check_request(request)) {
            this->edge.refuse(*exchange, *refused);
            return;
        }
        if (request.path.starts_with("/s/")) {
            this->forwarding.handle(std::move(request), exchange);
            return;
        }
        if (request.path == "/v1/targets") {
            try {
                this->announce(request, *exchange);
            } catch (const announcement_error& reason) {
                this->edge.refuse(*exchange, {wire::refusal_reason::bad_request, wire::outcome::none, reason.what()});
            }
            return;
        }
        if (request.path == "/v1/lookup") {
            this->lookup(request, *exchange);
            return;
        }
        this->handle_status(request, *exchange);
    }

    void lookup(const http_request& request, http_exchange& exchange) {
        std::string service = request.query_value("service").value_or("");
        if (this->edge.index->service(service) == nullptr) {
            this->edge.refuse(exchange, {wire::refusal_reason::unknown_service, wire::outcome::none,
                                         "no record declares service '" + service + "'"});
            return;
        }
        try {
            exchange.respond(this->edge.lookups.answer(request));
        } catch (const client_block_error& reason) {
            this->edge.refuse(exchange, {wire::refusal_reason::bad_request, wire::outcome::none, reason.what()});
        }
    }

    void handle_status(const http_request& request, http_exchange& exchange) {
        if (request.path == "/healthz") {
            exchange.respond(json_response(200, R"({"status":"ok"})"));
        } else if (request.path == "/readyz") {
            bool ready = this->ready();
            exchange.respond(json_response(ready ? 200 : 503, ready ? R"({"ready":true})" : R"({"ready":false})"));
        } else if (request.path == "/metrics") {
            exchange.respond({200, {{"content-type", "text/plain; version=0.0.4"}}, this->metrics.text()});
        } else {
            this->edge.refuse(exchange, {wire::refusal_reason::bad_request, wire::outcome::none, "unknown path"});
        }
    }

    bool ready() const {
        return this->edge.state == wire::edge_state::serving && this->edge.config.lease_valid(this->loop.now());
    }

    // ---- Planned stop ----

    void stop(std::function<void()> callback) {
        if (this->on_stopped) {
            return;
        }
        this->on_stopped = std::move(callback);
        this->edge.state = wire::edge_state::stopping;
        this->http.close_after_answer();
        this->ping();
        this->edge.stopping.emplace(this->loop.now(),
                                    planned_stop_options{.grace = ms(this->settings.stop_timeout_ms),
                                                         .callers_stay = ms(this->settings.lookup_ttl_ms)});
        this->stop_timer = this->loop.every(stop_check_period, [this] { this->check_stopped(); });
        this->timers.push_back(this->stop_timer);
    }

    // Cached lookup answers still send callers here until they expire.
    void check_stopped() {
        time_point now = this->loop.now();
        const planned_stop& stopping = *this->edge.stopping;
        bool idle = this->edge.running_requests == 0 && this->http.open_exchanges() == 0 && this->ledger.idle();
        if (stopping.closes_idle(now)) {
            this->http.close_listener();
        }
        std::size_t open = idle ? 0 : std::max<std::size_t>(1, this->http.open_exchanges());
        if (stopping.is_over(now, open, 0)) {
            log_event("stopping", field("idle", idle), field("took_ms", stopping.age(now).count()));
            this->loop.cancel(this->stop_timer);
            this->on_stopped();
        }
    }
};

edge_server::edge_server(event_loop& loop, wire::edge_settings_t settings, metric_registry& metrics,
                         edge_options options)
    : state(std::make_unique<impl>(loop, std::move(settings), metrics, options)) {}

edge_server::~edge_server() = default;

void edge_server::stop(std::function<void()> on_stopped) {
    this->state->stop(std::move(on_stopped));
}

bool edge_server::ready() const {
    return this->state->ready();
}

}  // namespace persimmongrade
