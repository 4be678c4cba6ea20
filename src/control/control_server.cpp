#include "persimmongrade/control_server.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <random>
#include <utility>

#include "consensus_driver.h"
#include "operator_api.h"
#include "persimmongrade/capacity_lease.h"
#include "persimmongrade/distribution.h"
#include "persimmongrade/http_client.h"
#include "persimmongrade/http_server.h"
#include "persimmongrade/log.h"
#include "persimmongrade/metrics.h"
#include "persimmongrade/peer_transport.h"
#include "persimmongrade/record_parser.h"
#include "persimmongrade/record_store.h"
#include "persimmongrade/shift_controller.h"

// Index
//   Start         - options, membership, joining a running cluster
//   Submissions   - from an HTTP request through the log to its answer
//   Log events    - committed entries, installed snapshots, changes of leadership
//   Edges         - pings, acknowledgements, pushes
//   Shifts        - measurements, decisions
//   HTTP          - routes, reads, watches
//   Stop

namespace persimmongrade {

namespace {

constexpr duration consensus_tick = ms(10);
constexpr duration distribution_tick = ms(20);  // bounds the delay of a publication
// A follower does not know when the leader publishes a revision: at the latest this long after it was committed.
constexpr duration publication_delay = distribution_options{}.publish_interval + 2 * distribution_tick;
constexpr duration submission_timeout = ms(5000);  // then the answer is outcome_unknown
constexpr duration watch_timeout = ms(25000);      // a watch without changes is answered after this
// Above the largest record, so that a record that is too large gets a typed answer: beyond this bound, h2o closes the
// connection while the body is still arriving, and the caller may never see the answer.
constexpr std::size_t max_http_body_bytes = 4 * max_record_bytes;
constexpr std::size_t max_pending_submissions = 10000;
constexpr std::size_t max_watches = 1000;
constexpr duration last_write_time = ms(20);       // lets the last answers leave the socket before the loop ends
constexpr duration shift_tick = ms(100);           // a step moves traffic per seconds, so decisions need not be faster
constexpr duration forget_edge_after = ms(30000);  // a silent edge's measurements freeze shifts until then
constexpr duration join_interval = ms(500);        // between requests to be added, to one process after the other
constexpr std::size_t max_command_bytes = 8u << 20;  // must fit one peer frame with room to spare

using exchange_pointer = std::shared_ptr<http_exchange>;

struct submission {
    byte_string payload;
    exchange_pointer exchange;  // null for the leader's own commands
    time_point received_at{};
};

struct pending_entry {
    std::uint64_t term = 0;
    submission request;
};

struct measured_edge {
    std::uint64_t incarnation = 0;
    time_point last_ping{};
};

struct watch {
    std::uint64_t after = 0;
    exchange_pointer exchange;
    time_point expires_at{};
};

std::vector<std::string> edge_ids(const wire::control_settings_t& settings) {
    std::vector<std::string> ids;
    for (const auto& edge : settings.edges) {
        ids.push_back(edge->id);
    }
    return ids;
}

std::vector<region_latency> latencies_of(const wire::control_settings_t& settings) {
    std::vector<region_latency> latencies;
    for (const auto& entry : settings.region_latencies) {
        latencies.push_back({entry->from_region, entry->to_region, entry->one_way_ms});
    }
    return latencies;
}

template <typename Items>
nlohmann::json to_json_list(const Items& items) {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& item : items) {
        list.push_back(to_json(item));
    }
    return list;
}

std::optional<std::uint64_t> parse_count(const std::optional<std::string>& text) {
    if (!text || text->empty() || text->size() > 18 || text->find_first_not_of("0123456789") != std::string::npos) {
        return std::nullopt;
    }
    return std::stoull(*text);
}

bool starts_with(const std::string& text, const std::string& prefix, std::string& rest) {
    if (text.compare(0, prefix.size(), prefix) != 0) {
        return false;
    }
    rest = text.substr(prefix.size());
    return true;
}

}  // namespace

struct control_server::impl {
    event_loop& loop;
    wire::control_settings_t settings;
    metric_registry metrics;
    record_store store;
    distribution distributor;
    lease_granter granter;
    std::uint64_t granter_term = 0;  // in which the granter became leader
    shift_controller shifts;
    std::uint64_t shifts_revision = 0;              // applied to the shift controller
    std::map<std::string, measured_edge> measured;  // edges whose measurements the shift controller has
    consensus_driver<impl> log;
    peer_transport peers;
    http_server http;
    http_client client;                            // requests to be added to the voters
    std::map<std::string, std::string> connected;  // address by member id
    std::size_t next_to_ask = 0;
    std::deque<submission> queue;                     // accepted from HTTP, not yet proposed
    std::map<std::uint64_t, pending_entry> proposed;  // by log index
    std::vector<watch> watches;
    bool flush_scheduled = false;
    bool is_stopping = false;
    bool is_stopped = false;
    prometheus::Counter& submissions;
    std::vector<prometheus::Counter*> refusals;  // by operator_error
    prometheus::Counter& bad_pings;
    prometheus::Gauge& rejected_requests;
    prometheus::Histogram& acceptance_seconds;
    prometheus::Counter& unknown_edges;
    prometheus::Gauge& revision_gauge;
    prometheus::Gauge& leader_gauge;
    prometheus::Gauge& term_gauge;

    impl(event_loop& loop, wire::control_settings_t given, const control_options& options)
        : loop(loop), settings(std::move(given)), distributor({}, edge_ids(this->settings), this->store),
          granter(edge_ids(this->settings)), shifts({}, latencies_of(this->settings)),
          log(*this, log_options(this->settings), data_options(this->settings, options), loop.now()),
          peers(loop, this->settings.cluster, this->log.id(), ip_address::parse(this->settings.peer_address),
                this->metrics, [this](const wire::envelope_t& envelope) { this->receive(envelope); }),
          http(loop, ip_address::parse(this->settings.http_address), this->http_options(options),
               [this](const http_request& request, const exchange_pointer& exchange) {
                   this->handle(request, exchange);
               }),
          client(loop),
          submissions(this->metrics.counter("persimmongrade_submissions_total", "Submissions put into the log.")),
          bad_pings(this->metrics.counter("persimmongrade_bad_pings_total", "Pings with a missing field.")),
          rejected_requests(this->metrics.gauge("persimmongrade_http_rejected_requests",
                                                "Malformed or oversized requests refused by the HTTP layer.")),
          acceptance_seconds(this->metrics.histogram("persimmongrade_acceptance_seconds",
                                                     "Time from a submission to its answer from the log.",
                                                     {0.001, 0.005, 0.02, 0.05, 0.1, 0.5, 1, 5})),
          unknown_edges(this->metrics.counter("persimmongrade_unknown_edge_pings_total",
                                              "Pings of edges that are not in the settings.")),
          revision_gauge(this->metrics.gauge("persimmongrade_revision", "Revision of the applied configuration.")),
          leader_gauge(this->metrics.gauge("persimmongrade_leader", "1 while this process serves as leader.")),
          term_gauge(this->metrics.gauge("persimmongrade_term", "Consensus term.")) {
        for (std::size_t i = 0; i < operator_error_count; ++i) {
            this->refusals.push_back(&this->metrics.counter("persimmongrade_operator_refusals_total",
                                                            "Refused operator requests.",
                                                            {{"error", to_string(static_cast<operator_error>(i))}}));
        }
        this->log.start();
        loop.every(consensus_tick, [this] { this->log.tick(this->loop.now()); });
        loop.every(distribution_tick, [this] { this->distribute(); });
        loop.every(shift_tick, [this] { this->decide_shifts(); });
        loop.every(join_interval, [this] { this->ask_to_join(); });
    }

    http_server_options http_options(const control_options& given) {
        http_server_options options;
        options.max_body_bytes = max_http_body_bytes;
        options.request_timeout = given.request_timeout;
        options.rejection = [this](int status) {
            constexpr int incomplete = 408;
            constexpr int too_large = 413;
            auto answer = [this](operator_error type, const char* message) {
                this->count_refusal(type);
                return error_response(type, message);
            };
            if (status == incomplete) {
                return answer(operator_error::request_incomplete, "the request did not arrive completely in time");
            }
            if (status == too_large) {
                return answer(operator_error::request_too_large, "the request is too large");
            }
            return answer(operator_error::bad_request, "the request is malformed");
        };
        return options;
    }

    // ---- Start ----

    static consensus_options log_options(const wire::control_settings_t& settings) {
        consensus_options options;
        options.election_timeout = ms(settings.election_timeout_ms);
        options.heartbeat_interval = ms(settings.heartbeat_ms);
        options.snapshot_threshold = settings.snapshot_entries;
        return options;
    }

    static storage_options data_options(const wire::control_settings_t& settings, const control_options& options) {
        storage_options storage;
        storage.directory = settings.data_directory;
        storage.name = settings.id;
        std::random_device random;
        storage.identity_seed = (static_cast<std::uint64_t>(random()) << 32u) | random();
        if (options.bootstrap) {
            storage.bootstrap.emplace();
            for (const auto& peer : settings.control) {
                auto voter = std::make_unique<wire::voter_t>();
                voter->id = peer->id;
                voter->address = peer->address;
                storage.bootstrap->voters.push_back(std::move(voter));
            }
        }
        return storage;
    }

    duration delay_to(const std::string& region) const {
        for (const auto& latency : this->settings.simulated_latency) {
            if (latency->to_region == region) {
                return ms(latency->one_way_ms);
            }
        }
        return duration::zero();
    }

    const wire::peer_settings_t* control_at(const std::string& peer_address) const {
        for (const auto& peer : this->settings.control) {
            if (peer->address == peer_address) {
                return peer.get();
            }
        }
        return nullptr;
    }

    const wire::voter_t* member(const std::string& id) const {
        for (const auto& voter : this->log.voters().voters) {
            if (voter->id == id) {
                return voter.get();
            }
        }
        return nullptr;
    }

    // The name that edges and operators know a member by. The id of a member whose disk was lost differs from it.
    std::string name_of(const std::string& id) const {
        const wire::voter_t* found = this->member(id);
        const wire::peer_settings_t* peer = found == nullptr ? nullptr : this->control_at(found->address);
        return peer == nullptr ? id : peer->id;
    }

    // Connects to the members, except to one that another member at the same address replaces: messages to it would
    // reach its replacement.
    void members_changed() {
        std::map<std::string, std::string> wanted;
        for (const auto& voter : this->log.voters().voters) {
            if (voter->id != this->log.id()) {
                wanted[voter->id] = voter->address;
            }
        }
        for (const auto& voter : this->log.voters().voters) {
            wanted.erase(voter->replaces);
        }
        for (const auto& [id, address] : this->connected) {
            if (!wanted.contains(id)) {
                this->peers.remove_peer(id);
            }
        }
        for (const auto& [id, address] : wanted) {
            if (!this->connected.contains(id)) {
                const wire::peer_settings_t* peer = this->control_at(address);
                this->peers.add_peer(id, ip_address::parse(address),
                                     peer == nullptr ? duration::zero() : this->delay_to(peer->region));
            }
        }
        this->connected = std::move(wanted);
        log_info("members changed", field("members", this->log.voters().voters.size()));
    }

    // A process that is no member (its disk is new) asks the others in turn to be added. Only the leader answers.
    void ask_to_join() {
        if (this->log.is_member() || this->is_stopping || this->log.failed()) {
            return;
        }
        const auto& peer = *this->settings.control[this->next_to_ask++ % this->settings.control.size()];
        if (peer.id == this->settings.id) {
            return;
        }
        nlohmann::json body = {
            {"id", this->log.id()}, {"name", this->settings.id}, {"address", this->settings.peer_address}};
        http_call call{ip_address::parse(this->http_address_of(peer.id)), "POST", "/v1/members", {}, body.dump()};
        call.reuse_connection = false;
        log_info("asking to be added to the voters", field("peer", peer.id), field("id", this->log.id()));
        auto finished = std::make_shared<bool>(false);
        call_id id = this->client.send(std::move(call), [finished](const http_call_result&) { *finished = true; });
        this->loop.after(join_interval, [this, id, finished] {
            if (!*finished) {
                this->client.cancel(id);
            }
        });
    }

    // Adds a member that is at first non-voting; consensus promotes it once it has caught up, and then removes the
    // member of the same name.
    void post_member(const http_request& request, const exchange_pointer& exchange) {
        auto asked = parse_member(request.body);
        bool valid =
            asked && this->control_at(asked->address) != nullptr && this->control_at(asked->address)->id == asked->name;
        if (!valid) {
            this->refuse(exchange, operator_error::bad_request, "the body must name a control process of the settings");
            return;
        }
        membership_change change;
        change.member.id = asked->id;
        change.member.address = asked->address;
        change.member.voting = false;
        for (const auto& voter : this->log.voters().voters) {
            if (voter->id == asked->id) {
                exchange->respond(json_answer(200, {{"status", "member"}}));
                return;
            }
            if (voter->address == asked->address) {
                change.member.replaces = voter->id;
            }
        }
        try {
            this->log.change_voters(this->loop.now(), change);
            log_info("member added", field("id", asked->id), field("replaces", change.member.replaces));
            exchange->respond(json_answer(202, {{"status", "adding"}}));
        } catch (const error& failure) {  // not_leader_error, membership_busy_error, membership_error
            this->refuse(exchange, operator_error::unavailable, failure.what());
        }
    }

    // ---- Submissions ----

    void submit(wire::command_bodyUnion body, exchange_pointer exchange) {
        if (this->queue.size() + this->proposed.size() >= max_pending_submissions) {
            this->refuse(exchange, operator_error::unavailable, "too many submissions are pending");
            return;
        }
        wire::command_t command;
        command.body = std::move(body);
        byte_string payload = encode_command(command);
        if (payload.size() > max_command_bytes) {
            this->refuse(exchange, operator_error::bad_request, "the record is too large for one log entry");
            return;
        }
        this->queue.push_back({std::move(payload), std::move(exchange), this->loop.now()});
        if (!std::exchange(this->flush_scheduled, true)) {
            // Requests that arrive in the same turn of the loop share one append and one sync.
            this->loop.after(duration::zero(), [this] { this->flush(); });
        }
    }

    void flush() {
        this->flush_scheduled = false;
        auto batch = std::exchange(this->queue, {});
        if (!this->refresh_authority()) {
            for (submission& request : batch) {
                this->refuse_not_leader(request.exchange);
            }
            return;
        }
        std::vector<byte_string> payloads;
        payloads.reserve(batch.size());
        for (submission& request : batch) {
            payloads.push_back(std::move(request.payload));
        }
        this->submissions.Increment(static_cast<double>(batch.size()));
        try {
            this->log.propose(this->loop.now(), std::move(payloads), [&](std::uint64_t index, std::uint64_t term) {
                for (submission& request : batch) {
                    this->proposed[index++] = {term, std::move(request)};
                }
            });
        } catch (const not_leader_error&) {  // handing over the leadership
            for (submission& request : batch) {
                this->refuse_not_leader(request.exchange);
            }
        }
    }

    // A submission that was proposed may be committed by the next leader, so its outcome is unknown.
    void answer_unknown(const submission& request, const std::string& reason) {
        this->refuse(request.exchange, operator_error::outcome_unknown,
                     reason + "; resend with the same Submission-Id to learn the outcome");
    }

    void expire_submissions(time_point now) {
        std::erase_if(this->proposed, [&](auto& item) {
            bool expired = now >= item.second.request.received_at + submission_timeout;
            if (expired) {
                this->answer_unknown(item.second.request, "no majority confirmed the submission in time");
            }
            return expired;
        });
    }

    // ---- Log events ----

    void apply_entry(const wire::log_entry_t& entry) {
        auto node = this->proposed.extract(entry.index);
        if (entry.kind != wire::entry_kind::command) {
            return;
        }
        wire::command_t command = decode_command(entry.payload);
        std::uint64_t before = this->store.revision();
        wire::submission_result_t result = this->store.apply(command);
        if (this->store.revision() != before && !this->distributor.serving() && changes_limits(command)) {
            this->tell_granter(this->loop.now() + publication_delay);
        }
        if (node.empty() || !node.mapped().request.exchange) {
            return;
        }
        if (node.mapped().term != entry.term) {
            this->refuse(node.mapped().request.exchange, operator_error::unavailable,
                         "another leader replaced the submission before it was committed");
            return;
        }
        duration taken = this->loop.now() - node.mapped().request.received_at;
        this->acceptance_seconds.Observe(static_cast<double>(taken.count()) / 1000.0);
        node.mapped().request.exchange->respond(result_response(result));
    }

    static bool changes_limits(const wire::command_t& command) {
        return command.body.Assubmit_record() != nullptr || command.body.Aswithdraw_record() != nullptr;
    }

    // `superseded_at`: when the leader has at the latest stopped granting on older revisions.
    void tell_granter(time_point superseded_at, bool skipped = false) {
        this->granter.apply(this->store.configuration(), superseded_at, skipped);
    }

    void batch_applied() {
        this->revision_gauge.Set(static_cast<double>(this->store.revision()));
        this->distribute();
        this->answer_watches();
    }

    void send(const std::string& to, wire::messageUnion body) { this->peers.send_message(to, std::move(body)); }

    void install_state(const byte_string& bytes) {
        this->store = record_store::restore(bytes);
        this->tell_granter(this->loop.now() + publication_delay, true);
    }

    byte_string save_state() const { return this->store.snapshot(); }

    void leadership_changed(leadership_change change) {
        log_info("leadership changed", field("leading", change == leadership_change::gained),
                 field("term", this->log.term()));
        this->refresh_authority();
        if (change == leadership_change::gained) {
            return;
        }
        this->granter.step_down();
        this->shifts.step_down();
        this->tell_granter(this->loop.now() + publication_delay);
        auto lost = std::exchange(this->proposed, {});
        for (auto& [index, entry] : lost) {
            this->answer_unknown(entry.request, "the leader changed");
        }
        for (watch& waiting : std::exchange(this->watches, {})) {
            this->refuse_not_leader(waiting.exchange);
        }
    }

    // ---- Edges ----

    // Tells the distributor what this process may say now; returns whether it is serving.
    bool refresh_authority() {
        time_point now = this->loop.now();
        bool serving = this->log.can_serve_reads(now);
        this->distributor.set_authority(now, unix_time_ms(),
                                        {serving, this->name_of(this->log.leader_id()), this->log.term()});
        this->leader_gauge.Set(serving ? 1 : 0);
        this->term_gauge.Set(static_cast<double>(this->log.term()));
        return serving;
    }

    void distribute() {
        this->refresh_authority();
        time_point now = this->loop.now();
        this->send_all(this->distributor.tick(now));
        this->follow_publication(now);
        this->expire_submissions(now);
        this->expire_watches(now);
    }

    // Lets the granter know what the distributor has published, and the term in which it may grant.
    void follow_publication(time_point now) {
        if (!this->distributor.serving()) {
            return;
        }
        if (this->granter.revision() != this->distributor.published_revision()) {
            this->tell_granter(now);
        }
        if (this->granter_term != this->distributor.term()) {
            this->granter_term = this->distributor.term();
            this->granter.become_leader(this->granter_term, now);
            this->shifts.become_leader(now);
        }
    }

    void answer_ping(time_point now, const wire::edge_ping_t& ping) {
        wire::edge_pong_t pong;
        if (this->refresh_authority()) {
            this->distributor.publish_if_due(now);
            this->follow_publication(now);
            try {
                pong = this->granter.answer(ping, now);
            } catch (const unknown_edge_error& failure) {
                this->unknown_edges.Increment();
                return;
            }
            this->observe(now, ping);
        }
        this->send_all(this->distributor.on_ping(now, ping, std::move(pong)));
        this->follow_publication(now);
    }

    void send_all(std::vector<peer_message> messages) {
        for (peer_message& message : messages) {
            this->peers.send_message(message.to, std::move(message.body));
        }
    }

    // Tables inside a verified message may still be absent.
    static bool is_complete(const wire::edge_ping_t& ping) {
        return std::all_of(ping.demands.begin(), ping.demands.end(),
                           [](const auto& demand) { return demand->resource != nullptr; });
    }

    void receive(const wire::envelope_t& envelope) {
        time_point now = this->loop.now();
        if (const auto* ping = envelope.body.Asedge_ping()) {
            if (!is_complete(*ping)) {
                this->bad_pings.Increment();
                return;
            }
            this->answer_ping(now, *ping);
        } else if (const auto* ack = envelope.body.Asconfig_ack()) {
            this->refresh_authority();
            this->send_all(this->distributor.on_ack(now, *ack));
            this->follow_publication(now);
        } else {
            this->log.receive(now, envelope.from, envelope.body);
        }
    }

    // ---- Shifts ----

    // Edges stamp measurements with Unix time. A time in the future counts as now.
    static time_point local_time(time_point now, std::int64_t taken_at_ms) {
        std::int64_t age_ms = std::max<std::int64_t>(0, unix_time_ms() - taken_at_ms);
        return now - ms(age_ms);
    }

    void observe(time_point now, const wire::edge_ping_t& ping) {
        auto [found, added] = this->measured.try_emplace(ping.edge);
        if (ping.incarnation < found->second.incarnation) {
            return;
        }
        if (!added && ping.incarnation != found->second.incarnation) {
            this->shifts.forget(ping.edge);
        }
        found->second = {ping.incarnation, now};
        for (const auto& demand : ping.service_demands) {
            this->shifts.observe(ping.edge, *demand, local_time(now, demand->taken_at_ms));
        }
        for (const auto& capacity : ping.capacities) {
            this->shifts.observe(ping.edge, *capacity, local_time(now, capacity->taken_at_ms));
        }
    }

    void decide_shifts() {
        time_point now = this->loop.now();
        if (this->shifts_revision != this->store.revision()) {
            this->shifts_revision = this->store.revision();
            this->shifts.apply(this->store.configuration(), now);
        }
        if (!this->refresh_authority() || this->is_stopping) {
            return;
        }
        this->follow_publication(now);
        std::erase_if(this->measured, [&](const auto& item) {
            bool silent = now >= item.second.last_ping + forget_edge_after;
            if (silent) {
                this->shifts.forget(item.first);
            }
            return silent;
        });
        wire::set_assignments_t command;
        for (wire::assignment_t& assignment : this->shifts.decide(now)) {
            command.assignments.push_back(std::make_unique<wire::assignment_t>(std::move(assignment)));
        }
        if (!command.assignments.empty()) {
            wire::command_bodyUnion body;
            body.Set(std::move(command));
            this->submit(std::move(body), nullptr);
        }
    }

    nlohmann::json shift_states() const {
        static constexpr std::array names = {"settled", "moving", "cap_used", "measurements_stale", "no_room"};
        nlohmann::json list = nlohmann::json::array();
        for (const auto& [service, status] : this->shifts.status()) {
            list.push_back({{"service", service},
                            {"state", names.at(static_cast<std::size_t>(status.state))},
                            {"moved_permille", status.moved_permille}});
        }
        return list;
    }

    // ---- HTTP ----

    void count_refusal(operator_error type) { this->refusals.at(static_cast<std::size_t>(type))->Increment(); }

    void refuse(const exchange_pointer& exchange, operator_error type, const std::string& message) {
        this->count_refusal(type);
        if (exchange) {
            exchange->respond(error_response(type, message));
        }
    }

    // The HTTP address of a control process. Without one in the settings, the leader is assumed to listen on the port
    // that this process uses.
    std::string http_address_of(const std::string& id) const {
        for (const auto& peer : this->settings.control) {
            if (peer->id != id) {
                continue;
            }
            if (!peer->http_address.empty()) {
                return peer->http_address;
            }
            ip_address address = ip_address::parse(peer->address);
            address.port = ip_address::parse(this->settings.http_address).port;
            return address.to_string();
        }
        return {};
    }

    void refuse_not_leader(const exchange_pointer& exchange) {
        if (!exchange) {
            return;
        }
        std::string leader = this->name_of(this->log.leader_id());
        std::string address = this->http_address_of(leader);
        if (this->log.is_leader() || address.empty()) {
            this->refuse(exchange, operator_error::unavailable, "no leader has a majority now");
            return;
        }
        this->count_refusal(operator_error::not_leader);
        http_response response = error_response(operator_error::not_leader, "the leader is " + leader,
                                                {{"leader", leader}, {"leader_address", address}});
        response.headers.push_back({"persimmon-leader", address});
        exchange->respond(std::move(response));
    }

    void handle(const http_request& request, const exchange_pointer& exchange) {
        if (request.path == "/healthz") {
            exchange->respond({200, {}, "ok\n"});
        } else if (request.path == "/readyz") {
            bool ready = !this->log.leader_id().empty() && !this->is_stopping && !this->log.failed();
            exchange->respond({ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n"});
        } else if (request.path == "/metrics") {
            this->rejected_requests.Set(static_cast<double>(this->http.rejected_requests()));
            exchange->respond({200, {{"content-type", "text/plain; version=0.0.4"}}, this->metrics.text()});
        } else if (this->is_stopping) {
            this->refuse(exchange, operator_error::stopping, "the process is stopping");
        } else if (!this->refresh_authority()) {
            this->refuse_not_leader(exchange);
        } else {
            this->route(request, exchange);
        }
    }

    void route(const http_request& request, const exchange_pointer& exchange) {
        std::string rest;
        if (request.path == "/v1/records" && request.method == "POST") {
            this->post_record(request, exchange);
        } else if (request.path == "/v1/records" && request.method == "GET") {
            this->list_records(exchange);
        } else if (starts_with(request.path, "/v1/records/", rest) && request.method == "GET") {
            this->get_record(rest, exchange);
        } else if (starts_with(request.path, "/v1/records/", rest) && request.method == "DELETE") {
            this->delete_record(rest, request, exchange);
        } else if (request.path == "/v1/drains" && request.method == "POST") {
            this->post_drain(request, exchange);
        } else if (starts_with(request.path, "/v1/drains/", rest) && request.method == "DELETE") {
            this->delete_drain(rest, request, exchange);
        } else if (request.path == "/v1/members" && request.method == "POST") {
            this->post_member(request, exchange);
        } else if (request.path == "/v1/status" && request.method == "GET") {
            this->get_status(request, exchange);
        } else if (request.path == "/v1/watch" && request.method == "GET") {
            this->get_watch(request, exchange);
        } else if (is_known_path(request.path)) {
            this->refuse(exchange, operator_error::method_not_allowed, request.method + " " + request.path);
        } else {
            this->refuse(exchange, operator_error::not_found, "no such path: " + request.path);
        }
    }

    static bool is_known_path(const std::string& path) {
        std::string rest;
        return path == "/v1/records" || path == "/v1/drains" || path == "/v1/status" || path == "/v1/watch" ||
               path == "/v1/members" || starts_with(path, "/v1/records/", rest) ||
               starts_with(path, "/v1/drains/", rest);
    }

    // The submission id of a request, or nothing after refusing it.
    std::optional<std::string> submission_id(const http_request& request, const exchange_pointer& exchange) {
        auto id = request.header("submission-id");
        if (!id || !is_valid_submission_id(*id)) {
            this->refuse(exchange, operator_error::bad_request,
                         "the header Submission-Id is required: 1 to 128 visible ASCII characters, one per submission");
            return std::nullopt;
        }
        return std::string(*id);
    }

    void post_record(const http_request& request, const exchange_pointer& exchange) {
        auto id = this->submission_id(request, exchange);
        if (!id) {
            return;
        }
        wire::submit_record_t command;
        command.submission_id = *id;
        try {
            command.record = std::make_unique<wire::steering_record_t>(parse_record(request.body));
        } catch (const record_error& failure) {
            this->count_refusal(operator_error::invalid_record);
            exchange->respond(record_error_response(failure));
            return;
        }
        wire::command_bodyUnion body;
        body.Set(std::move(command));
        this->submit(std::move(body), exchange);
    }

    void delete_record(const std::string& name, const http_request& request, const exchange_pointer& exchange) {
        auto id = this->submission_id(request, exchange);
        auto version = parse_count(request.query_value("version"));
        if (!id) {
            return;
        }
        if (!version) {
            this->refuse(exchange, operator_error::bad_request, "the query needs version=N, the version to withdraw");
            return;
        }
        wire::withdraw_record_t command;
        command.submission_id = *id;
        command.name = name;
        command.version = *version;
        wire::command_bodyUnion body;
        body.Set(std::move(command));
        this->submit(std::move(body), exchange);
    }

    void post_drain(const http_request& request, const exchange_pointer& exchange) {
        auto id = this->submission_id(request, exchange);
        if (!id) {
            return;
        }
        auto target = parse_drain_target(request.body);
        if (!target) {
            this->refuse(exchange, operator_error::bad_request, "the body must be {\"target\":\"<target id>\"}");
            return;
        }
        wire::announce_drain_t command;
        command.submission_id = *id;
        command.drain = std::make_unique<wire::target_drain_t>();
        command.drain->target = *target;
        command.drain->announced_at_ms = unix_time_ms();
        wire::command_bodyUnion body;
        body.Set(std::move(command));
        this->submit(std::move(body), exchange);
    }

    void delete_drain(const std::string& target, const http_request& request, const exchange_pointer& exchange) {
        auto id = this->submission_id(request, exchange);
        if (!id) {
            return;
        }
        wire::cancel_drain_t command;
        command.submission_id = *id;
        command.target = target;
        wire::command_bodyUnion body;
        body.Set(std::move(command));
        this->submit(std::move(body), exchange);
    }

    nlohmann::json described(const wire::steering_record_t& record) const {
        nlohmann::json result = to_json(record);
        std::uint64_t revision = this->store.record_revision(record.name);
        result["revision"] = revision;
        result["not_in_force"] = this->distributor.not_in_force(this->loop.now(), revision);
        return result;
    }

    void list_records(const exchange_pointer& exchange) {
        nlohmann::json list = nlohmann::json::array();
        for (const auto& record : this->store.configuration().records) {
            list.push_back(this->described(*record));
        }
        exchange->respond(json_answer(200, {{"revision", this->store.revision()}, {"records", list}}));
    }

    void get_record(const std::string& name, const exchange_pointer& exchange) {
        const wire::steering_record_t* record = this->store.find_record(name);
        if (record == nullptr) {
            this->refuse(exchange, operator_error::not_found, "there is no record '" + name + "'");
            return;
        }
        exchange->respond(json_answer(200, this->described(*record)));
    }

    nlohmann::json member_list() const {
        nlohmann::json list = nlohmann::json::array();
        for (const auto& voter : this->log.voters().voters) {
            list.push_back({{"id", voter->id}, {"address", voter->address}, {"voting", voter->voting}});
        }
        return list;
    }

    nlohmann::json assignment_list() const {
        nlohmann::json list = nlohmann::json::array();
        for (const auto& assignment : this->store.configuration().assignments) {
            list.push_back(to_json(*assignment));
        }
        return list;
    }

    // With revision=N the answer says whether that revision is in force; otherwise the newest one.
    void get_status(const http_request& request, const exchange_pointer& exchange) {
        time_point now = this->loop.now();
        std::uint64_t revision = parse_count(request.query_value("revision")).value_or(this->store.revision());
        auto missing = this->distributor.not_in_force(now, revision);
        bool in_force = missing.empty() && revision <= this->store.revision();
        nlohmann::json status = {{"leader", this->name_of(this->log.leader_id())},
                                 {"members", this->member_list()},
                                 {"term", this->log.term()},
                                 {"revision", this->store.revision()},
                                 {"asked_revision", revision},
                                 {"in_force", in_force},
                                 {"not_in_force", missing},
                                 {"edges", to_json_list(this->distributor.edges(now))},
                                 {"drains", to_json_list(this->distributor.drains(now))},
                                 {"shifts", this->shift_states()},
                                 {"assignments", this->assignment_list()}};
        status["resources"] = nlohmann::json::array();
        if (this->granter.leading()) {
            status["resources"] = to_json_list(this->granter.rate_uses(now));
        }
        exchange->respond(json_answer(200, status));
    }

    // Answers as soon as the revision is above `after`, or with the unchanged revision after the timeout.
    void get_watch(const http_request& request, const exchange_pointer& exchange) {
        auto after = parse_count(request.query_value("after"));
        if (!after) {
            this->refuse(exchange, operator_error::bad_request, "the query needs after=REVISION");
            return;
        }
        if (this->watches.size() >= max_watches) {
            this->refuse(exchange, operator_error::unavailable, "too many watches are open");
            return;
        }
        this->watches.push_back({*after, exchange, this->loop.now() + watch_timeout});
        this->answer_watches();
    }

    void answer_watches() {
        std::erase_if(this->watches, [&](const watch& waiting) {
            bool changed = this->store.revision() > waiting.after;
            if (changed) {
                waiting.exchange->respond(json_answer(200, to_json(this->store.changes_since(waiting.after))));
            }
            return changed;
        });
    }

    void expire_watches(time_point now) {
        std::erase_if(this->watches, [&](const watch& waiting) {
            bool expired = now >= waiting.expires_at;
            if (expired) {
                waiting.exchange->respond(json_answer(200, {{"revision", this->store.revision()}, {"full", false}}));
            }
            return expired || waiting.exchange->closed();
        });
    }

    // ---- Stop ----

    void stop() {
        if (std::exchange(this->is_stopping, true)) {
            return;
        }
        log_info("planned stop", field("leader", this->log.is_leader()));
        this->http.close_listener();
        for (watch& waiting : std::exchange(this->watches, {})) {
            this->refuse(waiting.exchange, operator_error::stopping, "the process is stopping");
        }
        try {
            this->log.transfer_leadership(this->loop.now());
        } catch (const error& reason) {  // not_leader_error or transfer_error: there is nothing to hand over
            log_info("leadership not transferred", field("reason", reason.what()));
        }
        time_point latest = this->loop.now() + ms(this->settings.stop_timeout_ms);
        this->loop.every(consensus_tick, [this, latest] {
            bool alone = this->log.voters().voters.size() <= 1;
            bool answered = this->proposed.empty() && this->queue.empty() && this->http.open_exchanges() == 0;
            bool done = answered && (alone || !this->log.is_leader());
            if ((done || this->loop.now() >= latest) && !std::exchange(this->is_stopped, true)) {
                this->loop.after(last_write_time, [this] { this->loop.stop(); });
            }
        });
    }
};

control_server::control_server(event_loop& loop, wire::control_settings_t settings, control_options options)
    : state(std::make_unique<impl>(loop, std::move(settings), options)) {}

control_server::~control_server() = default;

void control_server::stop() {
    this->state->stop();
}

}  // namespace persimmongrade
