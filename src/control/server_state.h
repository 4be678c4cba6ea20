// State of the control daemon, shared by the files that implement it. All of it is used on one event loop and thread.
//
//   control_server.cpp   - start, timers, planned stop
//   membership.cpp       - log membership, joining a running cluster
//   submissions.cpp      - submissions from the request through the log to the answer; committed entries, leadership
//   edge_sessions.cpp    - pings, acknowledgements, pushes
//   shift_driver.cpp     - measurements, shift decisions
//   operator_routes.cpp  - HTTP routes, requests that change records and drains
//   operator_reads.cpp   - reads and watches

#pragma once

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "operator_api.h"
#include "persimmongrade/capacity_lease.h"
#include "persimmongrade/consensus_driver.h"
#include "persimmongrade/control_server.h"
#include "persimmongrade/distribution.h"
#include "persimmongrade/http_client.h"
#include "persimmongrade/http_server.h"
#include "persimmongrade/member_links.h"
#include "persimmongrade/metrics.h"
#include "persimmongrade/peer_transport.h"
#include "persimmongrade/record_store.h"
#include "persimmongrade/shift_controller.h"
#include "record_parse_queue.h"

namespace persimmongrade {

inline constexpr duration distribution_tick_interval = ms(20);  // upper bound of the delay of a publication
inline constexpr duration join_interval = ms(500);              // between join requests, to one process after another

using exchange_pointer = std::shared_ptr<http_exchange>;

// Parses a number of a query; nullopt unless the text is 1 to 18 digits.
std::optional<std::uint64_t> parse_number(const std::optional<std::string>& text);

struct control_server::impl {
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

    event_loop& loop;
    wire::control_settings_t settings;
    metric_registry metrics;
    record_store store;
    distribution distributor;
    lease_granter granter;
    std::uint64_t granter_term = 0;  // term in which the granter became leader
    shift_controller shifts;
    std::uint64_t shifts_revision = 0;                    // revision that the shift controller has applied
    std::map<std::string, measured_edge> measured_edges;  // by id of edges with measurements in the shift controller
    consensus_driver<impl> log;
    peer_transport peers;
    http_server http;
    http_client client;  // sends join requests
    record_parse_queue parser;
    member_addresses connected;
    std::size_t next_join_candidate = 0;
    std::deque<submission> submission_queue;                  // received, not yet proposed
    std::map<std::uint64_t, pending_entry> proposed_entries;  // by log index
    std::vector<watch> watches;
    bootstrap_registry bootstrap_confirmations;
    bool is_flush_scheduled = false;
    bool is_stopping = false;
    bool is_stopped = false;
    prometheus::Counter& submissions;
    std::vector<prometheus::Counter*> refusal_counters;  // indexed by operator_error
    prometheus::Counter& bad_pings;
    prometheus::Gauge& rejected_requests;
    prometheus::Histogram& acceptance_seconds;
    prometheus::Counter& unknown_edge_pings;
    prometheus::Gauge& revision_gauge;
    prometheus::Gauge& leader_gauge;
    prometheus::Gauge& term_gauge;

    // ---- Start and stop (control_server.cpp) ----
    impl(event_loop& loop, wire::control_settings_t given, const control_options& options);
    http_server_options http_options(const control_options& given);
    static consensus_options log_options(const wire::control_settings_t& settings);
    static storage_options data_options(const wire::control_settings_t& settings, const control_options& options);
    void stop();

    // ---- Log membership (membership.cpp) ----
    void answer_bootstrap(const std::string& from, const wire::bootstrap_request_t& request);
    const wire::peer_settings_t* find_control_by_address(const std::string& peer_address) const;
    const wire::voter_t* find_member(const std::string& id) const;
    std::string name_of(const std::string& id) const;
    void members_changed();
    void send_join_request();
    void post_member(const http_request& request, const exchange_pointer& exchange);
    std::string http_address_of(const std::string& id) const;

    // ---- Submissions and log events (submissions.cpp) ----
    void submit(wire::command_bodyUnion body, exchange_pointer exchange);
    void flush();
    void respond_outcome_unknown(const submission& request, const std::string& reason);
    void expire_submissions(time_point now);
    void apply_entry(const wire::log_entry_t& entry);
    static bool changes_limits(const wire::command_t& command);
    void apply_to_granter(time_point superseded_at, bool skipped = false);
    void batch_applied();
    void install_state(const byte_string& bytes);
    void leadership_changed(leadership_change change);
    byte_string save_state() const { return this->store.snapshot(); }
    void send(const std::string& to, wire::messageUnion body) { this->peers.send_message(to, std::move(body)); }

    // ---- Edges (edge_sessions.cpp) ----
    bool refresh_authority();
    void distribute();
    void sync_granter(time_point now);
    void answer_ping(time_point now, const wire::edge_ping_t& ping);
    void send_all(std::vector<peer_message> messages);
    static bool is_complete(const wire::edge_ping_t& ping);
    void receive(const wire::envelope_t& envelope);

    // ---- Shifts (shift_driver.cpp) ----
    static time_point local_time(time_point now, std::int64_t taken_at_ms);
    void record_measurements(time_point now, const wire::edge_ping_t& ping);
    void decide_shifts();
    nlohmann::json shift_states() const;

    // ---- Operator routes and submissions over HTTP (operator_routes.cpp) ----
    void count_refusal(operator_error type) { this->refusal_counters.at(static_cast<std::size_t>(type))->Increment(); }
    void refuse(const exchange_pointer& exchange, operator_error type, const std::string& message);
    void refuse_not_leader(const exchange_pointer& exchange);
    void handle(const http_request& request, const exchange_pointer& exchange);
    void route(const http_request& request, const exchange_pointer& exchange);
    static bool is_known_path(const std::string& path);
    std::optional<std::string> read_submission_id(const http_request& request, const exchange_pointer& exchange);
    void post_record(const http_request& request, const exchange_pointer& exchange);
    void submit_parsed(const std::string& id, record_parse_queue::result result, const exchange_pointer& exchange);
    void delete_record(const std::string& name, const http_request& request, const exchange_pointer& exchange);
    void post_drain(const http_request& request, const exchange_pointer& exchange);
    void delete_drain(const std::string& target, const http_request& request, const exchange_pointer& exchange);

    // ---- Operator reads (operator_reads.cpp) ----
    nlohmann::json record_to_json(const wire::steering_record_t& record) const;
    void list_records(const exchange_pointer& exchange);
    void get_record(const std::string& name, const exchange_pointer& exchange);
    nlohmann::json member_list() const;
    nlohmann::json assignment_list() const;
    void get_status(const http_request& request, const exchange_pointer& exchange);
    void get_watch(const http_request& request, const exchange_pointer& exchange);
    void answer_watches();
    void expire_watches(time_point now);
};

}  // namespace persimmongrade
