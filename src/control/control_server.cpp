#include "persimmongrade/control_server.h"

#include <random>
#include <utility>

#include "persimmongrade/log.h"
#include "persimmongrade/random.h"
#include "server_state.h"

namespace persimmongrade {

namespace {

constexpr duration consensus_tick_interval = ms(10);
// Above the largest record, so that a record that is too large gets a typed answer. Above this bound, h2o closes the
// connection while the body is still arriving, and the caller may not receive the answer.
constexpr std::size_t max_http_body_bytes = 4 * max_record_bytes;
constexpr duration final_write_delay = ms(20);     // time to write the last answers to the sockets
constexpr duration shift_tick_interval = ms(100);  // short against the interval between shift steps (seconds)

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

}  // namespace

control_server::impl::impl(event_loop& loop, wire::control_settings_t given, const control_options& options)
    : loop(loop), settings(std::move(given)), distributor({}, edge_ids(this->settings), this->store),
      granter(edge_ids(this->settings)), shifts({}, latencies_of(this->settings)),
      log(*this, log_options(this->settings), data_options(this->settings, options), loop.now()),
      peers(loop, this->settings.cluster, this->log.id(), ip_address::parse(this->settings.peer_address), this->metrics,
            [this](const wire::envelope_t& envelope) { this->receive(envelope); }),
      http(loop, ip_address::parse(this->settings.http_address), this->http_options(options),
           [this](const http_request& request, const exchange_pointer& exchange) { this->handle(request, exchange); }),
      client(loop), parser(loop), bootstrap_confirmations(options.bootstrap_confirmations),
      submissions(this->metrics.counter("persimmongrade_submissions_total", "Submissions put into the log.")),
      bad_pings(this->metrics.counter("persimmongrade_bad_pings_total", "Pings with a missing field.")),
      rejected_requests(this->metrics.gauge("persimmongrade_http_rejected_requests",
                                            "Malformed or oversized requests refused by the HTTP layer.")),
      acceptance_seconds(this->metrics.histogram("persimmongrade_acceptance_seconds",
                                                 "Time from a submission to its answer from the log.",
                                                 {0.001, 0.005, 0.02, 0.05, 0.1, 0.5, 1, 5})),
      unknown_edge_pings(this->metrics.counter("persimmongrade_unknown_edge_pings_total",
                                               "Pings of edges that are not in the settings.")),
      revision_gauge(this->metrics.gauge("persimmongrade_revision", "Revision of the applied configuration.")),
      leader_gauge(this->metrics.gauge("persimmongrade_leader", "1 while this process serves as leader.")),
      term_gauge(this->metrics.gauge("persimmongrade_term", "Consensus term.")) {
    for (std::size_t i = 0; i < operator_error_count; ++i) {
        this->refusal_counters.push_back(
            &this->metrics.counter("persimmongrade_operator_refusals_total", "Refused operator requests.",
                                   {{"error", to_string(static_cast<operator_error>(i))}}));
    }
    for (const auto& edge : this->settings.edges) {
        this->shifts.add_caller_region(edge->region);
    }
    this->log.start();
    loop.every(consensus_tick_interval, [this] { this->log.tick(this->loop.now()); });
    loop.every(distribution_tick_interval, [this] { this->distribute(); });
    loop.every(shift_tick_interval, [this] { this->decide_shifts(); });
    loop.every(join_interval, [this] { this->send_join_request(); });
}

http_server_options control_server::impl::http_options(const control_options& given) {
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

consensus_options control_server::impl::log_options(const wire::control_settings_t& settings) {
    consensus_options options;
    options.election_timeout = ms(settings.election_timeout_ms);
    options.heartbeat_interval = ms(settings.heartbeat_ms);
    options.snapshot_threshold = settings.snapshot_entries;
    return options;
}

storage_options control_server::impl::data_options(const wire::control_settings_t& settings,
                                                   const control_options& options) {
    storage_options storage;
    storage.directory = settings.data_directory;
    storage.name = settings.id;
    storage.identity_seed = random_bits();
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

void control_server::impl::stop() {
    if (std::exchange(this->is_stopping, true)) {
        return;
    }
    log_info("planned stop: closing the listener, transferring leadership if held",
             field("leader", this->log.is_leader()));
    this->http.close_listener();
    for (watch& waiting : std::exchange(this->watches, {})) {
        this->refuse(waiting.exchange, operator_error::stopping, "the process is stopping");
    }
    try {
        this->log.transfer_leadership(this->loop.now());
    } catch (const error& reason) {  // not_leader_error, or transfer_error: no member can take over
        log_info("leadership not transferred", field("reason", reason.what()));
    }
    time_point deadline = this->loop.now() + ms(this->settings.stop_timeout_ms);
    this->loop.every(consensus_tick_interval, [this, deadline] {
        bool is_only_voter = this->log.voters().voters.size() <= 1;
        bool all_answered =
            this->proposed_entries.empty() && this->submission_queue.empty() && this->http.open_exchanges() == 0;
        bool is_done = all_answered && (is_only_voter || !this->log.is_leader());
        if ((is_done || this->loop.now() >= deadline) && !std::exchange(this->is_stopped, true)) {
            this->loop.after(final_write_delay, [this] { this->loop.stop(); });
        }
    });
}

control_server::control_server(event_loop& loop, wire::control_settings_t settings, const control_options& options)
    : state(std::make_unique<impl>(loop, std::move(settings), options)) {}

control_server::~control_server() = default;

void control_server::stop() {
    this->state->stop();
}

}  // namespace persimmongrade
