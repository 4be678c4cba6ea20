// State of the control daemon, shared by the files that implement it: one struct, one event loop, one thread.
//
//   control_server.cpp   - start, timers, planned stop
//   membership.cpp       - members of the log, joining a running cluster
//   submissions.cpp      - from an accepted request through the log to its answer; committed entries, leadership
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

inline constexpr duration distribution_tick = ms(20);  // bounds the delay of a publication
inline constexpr duration join_interval = ms(500);     // between requests to be added, to one process after the other

using exchange_pointer = std::shared_ptr<http_exchange>;

// A number in a query; nothing when the text is anything but 1 to 18 digits.
std::optional<std::uint64_t> parse_count(const std::optional<std::string>& text);

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
    std::uint64_t granter_term = 0;  // in which the granter became leader
    shift_controller shifts;
    std::uint64_t shifts_revision = 0;              // applied to the shift controller
    std::map<std::string, measured_edge> measured;  // edges whose measurements the shift controller has
    consensus_driver<impl> log;
    peer_transport peers;
    http_server http;
    http_client client;  // requests to be added to the voters
    record_parse_queue parser;
    member_addresses connected;
    std::size_t next_to_ask = 0;
    std::deque<submission> queue;                     // accepted from HTTP, not yet proposed
    std::map<std::uint64_t, pending_entry> proposed;  // by log index
    std::vector<watch> watches;
    bootstrap_registry bootstrap_confirmations;
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

    // ---- Start and stop (control_server.cpp) ----
    impl(event_loop& loop, wire::control_settings_t given, const control_options& options);
    http_server_options http_options(const control_options& given);
    static consensus_options log_options(const wire::control_settings_t& settings);
    static storage_options data_options(const wire::control_settings_t& settings, const control_options& options);
    void stop();

    // ---- Members of the log (membership.cpp) ----
    void answer_bootstrap(const std::string& from, const wire::bootstrap_request_t& request);
    const wire::peer_settings_t* control_at(const std::string& peer_address) const;
    const wire::voter_t* member(const std::string& id) const;
    std::string name_of(const std::string& id) const;
    void members_changed();
    void ask_to_join();
    void post_member(const http_request& request, const exchange_pointer& exchange);
    std::string http_address_of(const std::string& id) const;

    // ---- Submissions and log events (submissions.cpp) ----
    void submit(wire::command_bodyUnion body, exchange_pointer exchange);
    void flush();
    void answer_unknown(const submission& request, const std::string& reason);
    void expire_submissions(time_point now);
    void apply_entry(const wire::log_entry_t& entry);
    static bool changes_limits(const wire::command_t& command);
    void tell_granter(time_point superseded_at, bool skipped = false);
    void batch_applied();
    void install_state(const byte_string& bytes);
    void leadership_changed(leadership_change change);
    byte_string save_state() const { return this->store.snapshot(); }
    void send(const std::string& to, wire::messageUnion body) { this->peers.send_message(to, std::move(body)); }

    // ---- Edges (edge_sessions.cpp) ----
    bool refresh_authority();
    void distribute();
    void follow_publication(time_point now);
    void answer_ping(time_point now, const wire::edge_ping_t& ping);
    void send_all(std::vector<peer_message> messages);
    static bool is_complete(const wire::edge_ping_t& ping);
    void receive(const wire::envelope_t& envelope);

    // ---- Shifts (shift_driver.cpp) ----
    static time_point local_time(time_point now, std::int64_t taken_at_ms);
    void observe(time_point now, const wire::edge_ping_t& ping);
    void decide_shifts();
    nlohmann::json shift_states() const;

    // ---- Operator routes and submissions over HTTP (operator_routes.cpp) ----
    void count_refusal(operator_error type) { this->refusals.at(static_cast<std::size_t>(type))->Increment(); }
    void refuse(const exchange_pointer& exchange, operator_error type, const std::string& message);
    void refuse_not_leader(const exchange_pointer& exchange);
    void handle(const http_request& request, const exchange_pointer& exchange);
    void route(const http_request& request, const exchange_pointer& exchange);
    static bool is_known_path(const std::string& path);
    std::optional<std::string> submission_id(const http_request& request, const exchange_pointer& exchange);
    void post_record(const http_request& request, const exchange_pointer& exchange);
    void submit_parsed(const std::string& id, record_parse_queue::result result, const exchange_pointer& exchange);
    void delete_record(const std::string& name, const http_request& request, const exchange_pointer& exchange);
    void post_drain(const http_request& request, const exchange_pointer& exchange);
    void delete_drain(const std::string& target, const http_request& request, const exchange_pointer& exchange);

    // ---- Operator reads (operator_reads.cpp) ----
    nlohmann::json described(const wire::steering_record_t& record) const;
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
