// Contents: state; updates from control processes; requests from clients; calls to targets and their answers;
// completion of requests; stop.

#include "persimmongrade/gateway.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <random>
#include <unordered_map>
#include <utility>

#include "control_link.h"
#include "front_server.h"
#include "persimmongrade/connect_probe.h"
#include "persimmongrade/event_log.h"
#include "persimmongrade/gateway_list.h"
#include "persimmongrade/organisation_table.h"
#include "persimmongrade/planned_stop.h"
#include "persimmongrade/quarantine.h"
#include "persimmongrade/retry_budget.h"
#include "persimmongrade/target_limits.h"
#include "route_table.h"
#include "target_client.h"

namespace persimmongrade {

namespace {

constexpr int status_multiple_choices = 300;
constexpr int status_unauthorized = 401;
constexpr int status_forbidden = 403;
constexpr int status_not_found = 404;
constexpr int status_misdirected = 421;
constexpr int status_too_many_requests = 429;
constexpr int status_server_error = 500;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_timeout = 504;

constexpr duration dispatch_poll_interval = ms(8);  // while requests wait: load reports lose weight with age
constexpr duration answer_margin = ms(8);           // an answer must reach the client before the client's deadline
constexpr duration state_refresh_interval = ms(500);
constexpr duration estimates_log_interval = ms(2000);  // a few lines per second of all gateways, for 3 services
constexpr duration credit_wait = ms(150);              // round trip between regions, and the work of a busy leader
constexpr duration credit_request_delay = ms(4);
constexpr duration load_refused_log_interval = ms(10000);  // every answer may carry such a report
constexpr duration default_retry_after = ms(300);  // before items are received, and when the dispatcher states none
constexpr double hedge_factor = 3;  // multiple of the predicted time after which a hedge is sent to a second target
constexpr double min_hedge_delay_ms = 120;  // shorter waits are within the variation of service time and network delay
constexpr duration late_completion_grace = ms(400);  // for a target to finish after the route's deadline
constexpr std::uint64_t max_client_timeout_ms = 3600000;
constexpr unsigned max_not_run_sends = 6;  // to targets that did not run the request; not counted as attempts
constexpr unsigned success_log_interval = 64;
constexpr duration probe_timeout = ms(250);  // a round trip between regions, and the end of a crashed process's sockets
constexpr const char* authorization_header = "authorization";
const std::vector<std::string> no_regions;
constexpr double cold_rate_fraction = 0.8;     // of the rate that a cold target bears: counts are spread over links
constexpr duration max_hold_off = ms(600000);  // of a target's Retry-After
constexpr double ms_per_second = 1000;
constexpr double min_limited_rate = 0.5;      // requests per second; their answers tell when a target's limit has ended
constexpr double spare_limited_requests = 4;  // at once, beyond twice the rate, whatever limit a target names
constexpr duration client_departure_time = ms(2500);  // until clients have queried the directory again
constexpr duration stop_check_interval = ms(50);
constexpr duration elsewhere_retry_after = ms(20);     // another gateway can serve the request at once
constexpr std::size_t descriptors_per_connection = 3;  // one of the client, and its share of connections to targets
constexpr std::size_t bytes_per_mb = 1048576;

std::uint64_t hash_of(std::string_view text, std::uint64_t seed) {
    return XXH64(text.data(), text.size(), seed);
}

std::optional<std::uint64_t> parse_unsigned(const std::string* text) {
    std::uint64_t value = 0;
    if (text == nullptr) {
        return std::nullopt;
    }
    auto [end, failure] = std::from_chars(text->data(), text->data() + text->size(), value);
    bool whole = failure == std::errc() && end == text->data() + text->size() && !text->empty();
    return whole ? std::optional(value) : std::nullopt;
}

std::optional<double> parse_decimal(const std::string& text) {
    double value = 0;
    auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    bool whole = failure == std::errc() && end == text.data() + text.size();
    return whole && value >= 0 && value <= max_target_rate ? std::optional(value) : std::nullopt;
}

std::string_view cookie_value(const message_head& head, std::string_view name) {
    for (const http_header& header : head.headers) {
        if (!equals_ignore_case(header.name, "cookie")) {
            continue;
        }
        std::string_view rest = header.value;
        while (!rest.empty()) {
            std::size_t end = std::min(rest.find(';'), rest.size());
            std::string_view pair = rest.substr(0, end);
            pair.remove_prefix(std::min(pair.find_first_not_of(' '), pair.size()));
            if (pair.size() > name.size() && pair.starts_with(name) && pair[name.size()] == '=') {
                return pair.substr(name.size() + 1);
            }
            rest.remove_prefix(std::min(end + 1, rest.size()));
        }
    }
    return {};
}

std::string seconds_text(duration time) {
    constexpr std::int64_t whole = 1000;  // ms
    std::string fraction = std::to_string(time.count() % whole);
    return std::to_string(time.count() / whole) + "." + std::string(3 - fraction.size(), '0') + fraction;
}

}  // namespace

// ---- State ----

struct gateway::impl {
    struct in_flight_call {
        call_id call = 0;
        std::string target;
        time_point sent_at{};
        std::int64_t target_started_at_ms = 0;

        // One start of the target. A target that starts again under the same id counts as another one.
        std::string run() const { return this->target + "@" + std::to_string(this->target_started_at_ms); }
    };

    struct request {
        request_id id = 0;
        std::shared_ptr<front_exchange> exchange;
        front_request received;
        std::string attempt;
        std::string route;
        std::uint64_t route_version = 0;
        std::string service;
        std::string organisation;  // of the caller; empty: not identified
        bool route_is_public = false;
        bool is_revoked = false;    // its key was taken away while it was at a target: no further target gets it
        bool holds_credit = false;  // of its organisation's rate, until it is sent
        timer_id credit_timer = 0;  // set while it waits for one
        bool repeatable = false;
        unsigned max_attempts = 1;
        dispatch_request dispatch;
        time_point received_at{};
        time_point first_sent_at{};
        time_point client_deadline{};
        time_point deadline{};  // of the client or of the route, whichever is earlier
        timer_id deadline_timer = 0;
        unsigned attempts = 0;                        // targets that may have run the request
        unsigned not_run_sends = 0;                   // targets that did not run it
        std::vector<in_flight_call> in_flight_calls;  // two while a hedge is sent beside an overdue call
        timer_id hedge_timer = 0;
        // With 504 at the deadline; a target still finishes, to have the object cached for its next request.
        bool client_answered = false;
        std::string target;  // most recent one
        double predicted_ms = 0;
        std::optional<front_answer> failure;  // of a target, returned when no further attempt succeeds
        std::string last_reason;

        // Without headers: clients draw ids and deadlines anew for each attempt.
        std::uint64_t fingerprint() const {
            const message_head& head = this->received.head;
            const std::string* host = head.header("host");
            return content_fingerprint(head.method + " " + (host == nullptr ? "" : *host) + head.target + "\n",
                                       this->received.body);
        }
    };

    event_loop& loop;
    wire::fleet_settings_t settings;
    gateway_header_names header_names;
    item_store items;
    target_registry targets;
    quarantine crashes;
    target_limits limits;
    route_table routes;
    organisation_table organisations;
    rate_credit_holder credits{std::random_device{}()};
    std::vector<request_id> waiting_for_credit;
    timer_id credit_request_timer = 0;
    dispatcher request_dispatcher;
    target_client target_connections;
    control_link control;
    front_server front;
    std::unordered_map<request_id, std::unique_ptr<request>> requests;
    std::map<std::string, retry_budget> retry_budgets;      // by service
    gateways_by_address serving_gateways;                   // that take clients, as of the last refresh
    std::map<std::string, time_point> evacuation_ended_at;  // by zone
    std::set<std::string> evacuated;
    request_id next_id = 1;
    std::uint64_t successes = 0;
    timer_id poll_timer = 0;
    std::optional<planned_stop> stopping;
    metric_registry& metrics;
    std::map<std::string, prometheus::Counter*> outcomes;
    prometheus::Histogram& answer_seconds;
    prometheus::Histogram& wait_seconds;
    prometheus::Counter& retries;
    prometheus::Counter& loads_refused;
    time_point next_load_refused_log_at{};
    prometheus::Gauge& waiting_gauge;
    prometheus::Gauge& index_gauge;
    prometheus::Gauge& targets_gauge;
    prometheus::Gauge& control_gauge;
    prometheus::Gauge& connections_gauge;
    prometheus::Gauge& quarantine_gauge;

    impl(event_loop& loop, const wire::fleet_settings_t& given, const gateway_header_names& header_names,
         metric_registry& metrics)
        : loop(loop), settings(given), header_names(header_names),
          request_dispatcher(
              {.region = given.region, .shift = {.max_shift = given.max_shift}, .random_seed = std::random_device{}()}),
          target_connections(loop, {.max_buffered_bytes = given.memory_mb * bytes_per_mb / 4}),
          control(loop, given, metrics, {this->items, this->targets, this->crashes, this->limits, this->credits},
                  [this](const control_update& update) { this->on_control_update(update); }),
          front(loop, ip_address::parse(given.front_address), front_options_of(given),
                [this](front_request received, std::shared_ptr<front_exchange> exchange) {
                    this->on_request(std::move(received), std::move(exchange));
                }),
          metrics(metrics),
          answer_seconds(metrics.histogram("persimmongrade_answer_seconds", "Time from a request to its answer.",
                                           {0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1, 2, 5, 10})),
          wait_seconds(metrics.histogram("persimmongrade_wait_seconds", "Time from a request to its first target.",
                                         {0.001, 0.01, 0.05, 0.1, 0.2, 0.5, 1, 5})),
          retries(metrics.counter("persimmongrade_retries_total", "Requests sent to a further target.")),
          loads_refused(
              metrics.counter("persimmongrade_load_reports_refused_total", "Load reports that could not be read.")),
          waiting_gauge(metrics.gauge("persimmongrade_waiting", "Requests that wait for a target.")),
          index_gauge(metrics.gauge("persimmongrade_applied_index", "Log index of the items in force.")),
          targets_gauge(metrics.gauge("persimmongrade_targets", "Targets known.")),
          control_gauge(metrics.gauge("persimmongrade_control_in_touch", "Control processes that answer.")),
          connections_gauge(metrics.gauge("persimmongrade_client_connections", "Open connections of clients.")),
          quarantine_gauge(
              metrics.gauge("persimmongrade_quarantined", "Requests refused because they crash targets.")) {
        loop.every(state_refresh_interval, [this] { this->refresh_state(); });
        loop.every(estimates_log_interval, [this] { this->log_estimates(); });
    }

    front_options front_options_of(const wire::fleet_settings_t& settings) {
        front_options options;
        options.may_overlap = [this](const message_head& head) { return this->may_run_twice(head); };
        options.max_connections = settings.descriptors / descriptors_per_connection;
        // Answers get as much. The remaining memory is for connections and buffers.
        options.max_buffered_bytes = settings.memory_mb * bytes_per_mb / 4;
        return options;
    }

    bool may_run_twice(const message_head& head) const {
        const struct route* found = this->route_of(head);
        bool is_read = head.method == "GET" || head.method == "HEAD";
        return is_read && found != nullptr && found->rule.kind == wire::request_kind::repeatable;
    }

    const struct route* route_of(const message_head& head) const {
        const std::string* host = head.header("host");
        std::string_view path = std::string_view(head.target).substr(0, head.target.find('?'));
        return this->routes.find(host == nullptr ? std::string_view() : *host, path);
    }

    // ---- Callers ----

    access_decision access_of(const message_head& head, bool route_is_public) const {
        std::optional<std::string_view> authorization;
        for (const http_header& header : head.headers) {
            if (equals_ignore_case(header.name, authorization_header)) {
                if (authorization) {
                    return this->organisations.decide(route_is_public, std::nullopt);  // ambiguous
                }
                authorization = header.value;
            }
        }
        return this->organisations.decide(route_is_public, authorization);
    }

    // Requests whose key is taken away, or moved to another organisation, must not be sent any more: those that wait
    // end now, and those at a target end with its answer, or with 401 where they would be sent again.
    void end_revoked_requests() {
        std::vector<request_id> revoked;
        for (const auto& [id, entry] : this->requests) {
            if (entry->client_answered || entry->organisation.empty()) {
                continue;
            }
            access_decision access = this->access_of(entry->received.head, entry->route_is_public);
            if (access.caller != nullptr && access.caller->name == entry->organisation) {
                continue;
            }
            if (entry->in_flight_calls.empty()) {
                revoked.push_back(id);
            } else {
                entry->is_revoked = true;
                this->loop.cancel(std::exchange(entry->hedge_timer, 0));
                this->request_dispatcher.cancel(id);  // a hedge that waits for a target
            }
        }
        for (request_id id : revoked) {
            auto found = this->requests.find(id);
            if (found != this->requests.end()) {
                this->reject_unauthorized(*found->second);
            }
        }
    }

    void reject_unauthorized(request& entry) {
        this->end(entry, {status_unauthorized, {{"WWW-Authenticate", "Bearer"}}, ""}, "unknown_key");
    }

    // ---- Updates from control processes ----

    void on_control_update(const control_update& update) {
        if (update.items_changed) {
            this->items_changed();
        }
        if (update.credits_changed) {
            this->retry_waiting_for_credit();
        }
        for (const std::string& id : update.targets) {
            this->update_target(id);
        }
        this->run_dispatcher();
    }

    void items_changed() {
        this->routes = route_table(this->items);
        this->organisations = organisation_table(this->items);
        bool had_limits = !this->credits.empty();
        this->credits.set_limits(
            limits_of_organisations(this->items, {ms(this->settings.limit_window_ms), this->settings.limit_overshoot,
                                                  this->settings.limit_slack}),
            this->loop.now());
        if (!had_limits) {
            this->control.request_credits();
        }
        this->request_dispatcher.set_callers_have_ranks(!this->organisations.empty());
        this->end_revoked_requests();
        this->items.each([this](const wire::item_t& item) {
            if (item.kind == wire::item_kind::limits) {
                this->front.set_limits({item.limits->max_header_bytes, item.limits->max_body_bytes,
                                        ms(item.limits->header_timeout_ms), ms(item.limits->idle_timeout_ms)});
            }
        });
        std::set<std::string> now_evacuated = this->items.evacuated_zones();
        for (const std::string& zone : this->evacuated) {
            if (!now_evacuated.contains(zone)) {
                this->evacuation_ended_at[zone] = this->loop.now();
            }
        }
        this->evacuated = std::move(now_evacuated);
        this->update_all_targets();
        this->control.set_serving(this->ready());
    }

    void update_all_targets() {
        this->targets.each([this](const target_registry::entry& known) { this->update_target(known.report.id); });
    }

    unsigned cold_quota(const wire::target_report_t& report, const wire::service_rule_t& rule) const {
        if (report.region != this->settings.region) {
            return 0;  // the cold rate is shared by the gateways of the target's own region
        }
        unsigned gateways = this->control.gateways_in_region();
        double own = rule.warm_up_rate * cold_rate_fraction / gateways;
        if (own >= 1) {
            return static_cast<unsigned>(own);
        }
        std::uint64_t turn = hash_of(report.id, hash_of(this->settings.front_address, 0)) % gateways;
        return static_cast<double>(turn) < rule.warm_up_rate * cold_rate_fraction / 2 ? 1 : 0;
    }

    // Share of this gateway in the rate that the target named. The gateways of the target's region divide it; where
    // there are none, all do. When they are many and the rate is low, a few of them get all of it: each may send one
    // request at any moment, and these must not exceed the rate together.
    std::optional<rate_share> send_rate(const wire::target_report_t& report) const {
        auto named = this->limits.rate({report.id, report.started_at_ms});
        if (!named) {
            return std::nullopt;
        }
        bool own_region = report.region == this->settings.region;
        bool region_has_gateways =
            own_region || std::any_of(this->serving_gateways.begin(), this->serving_gateways.end(),
                                      [&](const auto& entry) { return entry.second.region == report.region; });
        std::vector<std::string> sharing;
        for (const auto& [address, gateway] : this->serving_gateways) {
            if (!region_has_gateways || gateway.region == report.region) {
                sharing.push_back(address);
            }
        }
        double rate = std::max(*named, min_limited_rate);
        if (!own_region && (region_has_gateways || sharing.empty())) {
            return rate_share{rate, 0};
        }
        std::size_t count = own_region ? this->control.gateways_in_region() : sharing.size();
        auto most_senders = static_cast<std::size_t>(2 * rate) + spare_limited_requests;
        if (count <= most_senders) {
            return rate_share{rate, rate / static_cast<double>(count)};
        }
        auto rank_of = [&](const std::string& address) { return hash_of(report.id, hash_of(address, 0)); };
        std::uint64_t own = rank_of(this->settings.front_address);
        auto ahead = std::count_if(sharing.begin(), sharing.end(),
                                   [&](const std::string& address) { return rank_of(address) > own; });
        bool selected = static_cast<std::size_t>(ahead) < most_senders;
        return rate_share{rate, selected ? rate / static_cast<double>(most_senders) : 0};
    }

    void update_target(const std::string& id) {
        const auto* known = this->targets.find(id);
        const wire::item_t* service =
            known == nullptr ? nullptr : this->items.find(wire::item_kind::service, known->report.service);
        bool used = service != nullptr && known->usable() && !this->evacuated.contains(known->report.zone);
        if (!used) {
            this->request_dispatcher.remove_target(id);
            this->target_connections.close_idle(id);
            return;
        }
        time_point cold_until = known->cold_until;
        auto evacuation_end = this->evacuation_ended_at.find(known->report.zone);
        if (evacuation_end !=
            this->evacuation_ended_at.end()) {  // targets got no requests during the evacuation, so they warm up again
            cold_until = std::max(cold_until, evacuation_end->second + ms(service->service->warm_up_ms));
        }
        this->request_dispatcher.set_target(
            {id, known->report.service, known->report.region, std::max(1U, known->report.slots),
             known->report.started_at_ms, known->reported_at, cold_until,
             this->cold_quota(known->report, *service->service), this->send_rate(known->report)},
            this->loop.now());
    }

    void refresh_state() {
        time_point now = this->loop.now();
        this->request_dispatcher.set_region_gateway_count(this->control.gateways_in_region());
        this->control.send_notices(this->crashes.tick(now));
        this->quarantine_gauge.Set(static_cast<double>(this->crashes.size(now)));
        std::size_t reachable_count = this->control.reachable_count(now);
        for (const std::string& id : this->targets.expire(now)) {
            log_event("target_forgotten", field("target", id));
            this->request_dispatcher.remove_target(id);
            this->limits.forget(id);
        }
        this->serving_gateways = this->control.gateways();
        for (const std::string& id : this->limits.limited()) {
            this->update_target(id);  // the number of gateways may have changed
        }
        this->control.set_serving(this->ready());
        this->waiting_gauge.Set(static_cast<double>(this->request_dispatcher.waiting()));
        this->index_gauge.Set(static_cast<double>(this->items.applied()));
        this->targets_gauge.Set(static_cast<double>(this->targets.size()));
        this->control_gauge.Set(static_cast<double>(reachable_count));
        this->connections_gauge.Set(static_cast<double>(this->front.open_connections()));
    }

    void log_estimates() const {
        for (const service_estimates& held : this->request_dispatcher.estimates()) {
            if (held.targets == 0) {
                continue;
            }
            log_event("service_beliefs", field("service", held.service), field("targets", held.targets),
                      field("waiting", held.waiting), field("remote_share", held.remote_share),
                      field("local_utilization", held.local_utilization),
                      field("remote_utilization", held.remote_utilization), field("known_ms", held.known_ms),
                      field("likely_ms", held.likely_ms), field("unknown_ms", held.unknown_ms),
                      field("items_index", this->items.applied()));
        }
    }

    bool ready() const { return !this->items.empty() && !this->stopping; }

    // ---- Requests from clients ----

    retry_budget& budget(const std::string& service) {
        auto found = this->retry_budgets.find(service);
        if (found == this->retry_budgets.end()) {
            retry_budget_options options;
            options.ratio = this->settings.retry_ratio;
            options.window = ms(this->settings.retry_window_ms);
            found = this->retry_budgets.emplace(service, retry_budget(options)).first;
        }
        return found->second;
    }

    void on_request(front_request received, std::shared_ptr<front_exchange> exchange) {
        time_point now = this->loop.now();
        auto added = std::make_unique<request>();
        request& entry = *added;
        entry.id = this->next_id++;
        entry.exchange = std::move(exchange);
        entry.received = std::move(received);
        entry.received_at = now;
        const message_head& head = entry.received.head;
        if (const std::string* attempt = head.header(this->header_names.attempt)) {
            entry.attempt = *attempt;
        }
        this->requests.emplace(entry.id, std::move(added));
        if (this->items.empty()) {
            this->reject_unavailable(entry, "no_items", default_retry_after);
            return;
        }
        if (this->control.items_are_outdated(now)) {
            this->reject_unavailable(entry, "outdated_items", default_retry_after);
            return;
        }
        const struct route* found = this->route_of(head);
        if (found == nullptr) {
            this->end(entry, {status_not_found, {}, ""}, "no_route");
            return;
        }
        const wire::route_rule_t& rule = found->rule;
        entry.route = found->name;
        entry.route_version = found->version;
        entry.route_is_public = rule.is_public;
        access_decision access = this->access_of(head, rule.is_public);
        if (access.result == access_result::unknown_key) {
            this->reject_unauthorized(entry);
            return;
        }
        const organisation* caller = access.caller;
        entry.organisation = caller == nullptr ? std::string() : caller->name;
        auto regions = common_regions(rule.regions, caller == nullptr ? no_regions : caller->regions);
        if (!regions) {
            this->end(entry, {status_forbidden, {}, ""}, "no_common_region");
            return;
        }
        std::string_view cookie = cookie_value(head, this->header_names.affinity_cookie);
        std::uint64_t object = cookie.empty() ? 0 : hash_of(cookie, hash_of(found->name, 0));
        std::uint64_t spread = object != 0 ? hash_of(cookie, 1) : hash_of(entry.attempt, entry.id);
        entry.service = rule.parts[found->split.choose(spread)]->service;
        entry.repeatable = rule.kind == wire::request_kind::repeatable;
        entry.max_attempts = std::max(1U, rule.max_attempts);
        auto client_timeout_ms = parse_unsigned(head.header(this->header_names.deadline_ms));
        duration timeout = ms(rule.timeout_ms);
        duration client_timeout = ms(static_cast<std::int64_t>(
            std::min<std::uint64_t>(client_timeout_ms.value_or(rule.timeout_ms), max_client_timeout_ms)));
        entry.client_deadline = now + client_timeout;
        entry.deadline = now + std::max(ms(1), std::min(timeout, client_timeout - answer_margin));
        if (this->stopping && !this->stopping->can_end(entry.deadline)) {
            this->reject_unavailable(entry, "stopping", elsewhere_retry_after);
            return;
        }
        entry.dispatch = {entry.id,
                          entry.service,
                          rule.sticky ? object : 0,
                          hash_of(found->name, 0),
                          caller != nullptr ? caller->priority.value_or(rule.priority) : rule.priority,
                          now + ms(rule.aim_ms),
                          entry.deadline,
                          *std::move(regions),
                          {}};
        entry.deadline_timer = this->loop.after(entry.deadline - now, [this, id = entry.id] { this->on_deadline(id); });
        entry.exchange->on_client_disconnect([this, id = entry.id] { this->on_client_disconnect(id); });
        this->budget(entry.service).request_arrived(now);
        duration quarantine_left = this->quarantine_left(entry, now);
        if (quarantine_left > duration::zero()) {
            this->reject_unavailable(entry, "quarantined", quarantine_left);
            return;
        }
        if (!entry.organisation.empty()) {
            switch (this->credits.reserve(entry.organisation, now)) {
            case credit_result::reserved:
                entry.holds_credit = true;
                break;
            case credit_result::ask:
                this->wait_for_credit(entry);
                return;
            case credit_result::refused:
                this->reject_rate_limited(entry);
                return;
            }
        }
        this->dispatch(entry);
    }

    void dispatch(request& entry) {
        entry.dispatch.isolated =
            !this->crashes.empty() && this->crashes.crashed_target(entry.service, entry.fingerprint());
        this->request_dispatcher.add(entry.dispatch, this->loop.now());
        this->run_dispatcher();
    }

    // ---- Rates of organisations ----

    void reject_rate_limited(request& entry) {
        duration retry_after = this->credits.retry_after(entry.organisation, this->loop.now());
        this->end(entry, {status_too_many_requests, {{"Retry-After", seconds_text(retry_after)}}, ""}, "rate_limit");
    }

    // One round trip to the leader; its answer has the credit, or says that the limit is used up.
    void wait_for_credit(request& entry) {
        this->credits.wait(entry.organisation);
        entry.credit_timer = this->loop.after(credit_wait, [this, id = entry.id] {
            auto found = this->requests.find(id);
            if (found != this->requests.end()) {
                found->second->credit_timer = 0;
                this->credits.stop_waiting(found->second->organisation);
                this->reject_rate_limited(*found->second);
            }
        });
        this->waiting_for_credit.push_back(entry.id);
        if (this->credit_request_timer == 0) {  // those that arrive together ask together
            this->credit_request_timer = this->loop.after(credit_request_delay, [this] {
                this->credit_request_timer = 0;
                this->control.request_credits();
            });
        }
    }

    void stop_waiting_for_credit(request& entry) {
        if (entry.credit_timer != 0) {
            this->loop.cancel(std::exchange(entry.credit_timer, 0));
            this->credits.stop_waiting(entry.organisation);
        }
    }

    void retry_waiting_for_credit() {
        for (request_id id : std::exchange(this->waiting_for_credit, {})) {
            auto found = this->requests.find(id);
            if (found == this->requests.end() || found->second->credit_timer == 0) {
                continue;
            }
            request& entry = *found->second;
            credit_result result = this->credits.reserve(entry.organisation, this->loop.now());
            if (result == credit_result::ask) {
                this->waiting_for_credit.push_back(id);  // the answer was to an earlier request
                continue;
            }
            this->stop_waiting_for_credit(entry);
            if (result == credit_result::reserved) {
                entry.holds_credit = true;
                this->dispatch(entry);
            } else {
                this->reject_rate_limited(entry);
            }
        }
    }

    duration quarantine_left(const request& entry, time_point now) const {
        return this->crashes.empty() ? duration::zero()
                                     : this->crashes.time_left(now, entry.service, entry.fingerprint());
    }

    // ---- Calls to targets ----

    void run_dispatcher() {
        time_point now = this->loop.now();
        for (const dispatch_action& action : this->request_dispatcher.poll(now)) {
            auto found = this->requests.find(action.request);
            if (found == this->requests.end()) {
                continue;
            }
            if (action.target.empty()) {
                this->on_refused(*found->second, action);
            } else {
                this->send(*found->second, action, now);
            }
        }
        if (this->request_dispatcher.waiting() > 0 && this->poll_timer == 0) {
            this->poll_timer = this->loop.after(dispatch_poll_interval, [this] {
                this->poll_timer = 0;
                this->run_dispatcher();
            });
        }
    }

    std::string request_text(const request& entry, const std::string& target, time_point now) const {
        const message_head& head = entry.received.head;
        // Also after the last organisation has been removed: a key must not reach a target.
        bool names_caller = !this->organisations.empty() || !entry.organisation.empty();
        constexpr std::size_t added_bytes = 160;
        std::string text;
        text.reserve(head.bytes + entry.received.body.size() + added_bytes);
        text.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
        for (const http_header& header : head.headers) {
            bool replaced = equals_ignore_case(header.name, this->header_names.deadline_ms) ||
                            equals_ignore_case(header.name, this->header_names.expected_target) ||
                            equals_ignore_case(header.name, "content-length") ||
                            equals_ignore_case(header.name, "expect");
            replaced = replaced || (names_caller && (equals_ignore_case(header.name, authorization_header) ||
                                                     equals_ignore_case(header.name, this->header_names.organisation)));
            if (!replaced && !is_hop_by_hop(head, header.name)) {
                text.append(header.name).append(": ").append(header.value).append("\r\n");
            }
        }
        text.append(this->header_names.deadline_ms).append(": ");
        time_point until =
            entry.repeatable ? std::min(entry.client_deadline, entry.deadline + late_completion_grace) : entry.deadline;
        text.append(std::to_string(std::max<std::int64_t>(1, (until - now).count()))).append("\r\n");
        text.append(this->header_names.expected_target).append(": ").append(target).append("\r\n");
        if (!entry.organisation.empty()) {
            text.append(this->header_names.organisation).append(": ").append(entry.organisation).append("\r\n");
        }
        bool states_length =
            !entry.received.body.empty() || head.method == "POST" || head.method == "PUT" || head.method == "PATCH";
        if (states_length) {
            text.append("Content-Length: ").append(std::to_string(entry.received.body.size())).append("\r\n");
        }
        return text.append("\r\n").append(entry.received.body);
    }

    void send(request& entry, const dispatch_action& action, time_point now) {
        const auto* known = this->targets.find(action.target);
        if (known == nullptr) {  // expired since the dispatch decision
            this->request_dispatcher.finished(entry.id, action.target, dispatch_outcome::cancelled, std::nullopt, now);
            this->fail_request(entry, "target_forgotten", default_retry_after);
            return;
        }
        duration quarantine_left = this->quarantine_left(entry, now);
        if (quarantine_left > duration::zero()) {  // since it was added
            this->request_dispatcher.finished(entry.id, action.target, dispatch_outcome::cancelled, std::nullopt, now);
            this->fail_request(entry, "quarantined", quarantine_left);
            return;
        }
        if (std::exchange(entry.holds_credit, false)) {
            this->credits.spend(entry.organisation);
        }
        if (entry.dispatch.excluded.empty()) {
            entry.first_sent_at = now;
            this->wait_seconds.Observe(static_cast<double>((now - entry.received_at).count()) / 1000.0);
        }
        entry.target = action.target;
        entry.predicted_ms = action.predicted_ms;
        entry.dispatch.excluded.push_back(action.target);
        target_call call;
        call.target = action.target;
        call.address = ip_address::parse(known->report.address);
        call.text = this->request_text(entry, action.target, now);
        call.attempt_header = this->header_names.attempt;
        call.attempt = entry.attempt;
        call.is_head_request = entry.received.head.method == "HEAD";
        call.recently_used_only = !entry.repeatable;
        call_id sent = this->target_connections.send(
            std::move(call), [this, id = entry.id, target = action.target](target_answer answer) {
                this->on_answer(id, target, std::move(answer));
            });
        entry.in_flight_calls.push_back({sent, action.target, now, known->report.started_at_ms});
        this->loop.cancel(std::exchange(entry.hedge_timer, 0));
        bool may_hedge = entry.repeatable && !entry.dispatch.isolated;
        if (may_hedge && entry.attempts + entry.in_flight_calls.size() < entry.max_attempts) {
            auto wait = ms(std::llround(std::max(min_hedge_delay_ms, hedge_factor * action.predicted_ms)));
            entry.hedge_timer = this->loop.after(wait, [this, id = entry.id] { this->send_hedge(id); });
        }
    }

    // Sends the request to a second target while the first one is overdue. The first answer counts.
    void send_hedge(request_id id) {
        auto found = this->requests.find(id);
        if (found == this->requests.end()) {
            return;
        }
        request& entry = *found->second;
        entry.hedge_timer = 0;
        time_point now = this->loop.now();
        bool useful = !entry.in_flight_calls.empty() && now + ms(std::llround(min_hedge_delay_ms)) < entry.deadline;
        if (useful && this->budget(entry.service).take(now)) {
            this->retries.Increment();
            dispatch_request hedge_dispatch = entry.dispatch;
            hedge_dispatch.drop_if_late = true;
            this->request_dispatcher.add(hedge_dispatch, now);
            this->run_dispatcher();
        }
    }

    void on_answer(request_id id, const std::string& target, target_answer answer) {
        auto found = this->requests.find(id);
        if (found == this->requests.end()) {
            return;  // the request has ended
        }
        request& entry = *found->second;
        auto ended_call = std::find_if(entry.in_flight_calls.begin(), entry.in_flight_calls.end(),
                                       [&](const in_flight_call& open) { return open.target == target; });
        if (ended_call == entry.in_flight_calls.end()) {
            return;
        }
        const in_flight_call call = std::move(*ended_call);
        entry.in_flight_calls.erase(ended_call);
        entry.target = target;
        time_point now = this->loop.now();
        const message_head& head = answer.head;
        std::optional<target_load_report> load;
        const std::string* load_text =
            answer.status == target_call_status::answered ? head.header(this->header_names.load) : nullptr;
        if (load_text != nullptr) {
            load = this->header_names.parse_load(*load_text);
            if (!load) {
                this->on_load_refused(target, *load_text);
            }
        }
        dispatch_outcome result = this->classify_answer(entry, answer);
        if (result == dispatch_outcome::lost && answer.status == target_call_status::answered) {
            answer.reason = "answer without signature or id";
        }
        this->request_dispatcher.finished(id, entry.target, result, load, now);
        if (answer.status == target_call_status::answered && result != dispatch_outcome::lost) {
            this->note_limit(call, result, head);
            this->note_leaving(call, head);
            this->note_retry_after(call, head);
        }
        if (result == dispatch_outcome::lost) {
            this->note_lost(entry, call, answer);
        } else if (!this->crashes.empty()) {
            this->note_target_state(entry, call, result, answer);
        }
        if (entry.client_answered) {
            if (entry.in_flight_calls.empty()) {
                this->loop.cancel(entry.deadline_timer);
                this->requests.erase(id);
            }
            this->run_dispatcher();
            return;
        }
        switch (result) {
        case dispatch_outcome::answered:
            this->end(entry, this->to_client_answer(std::move(answer)), "answered");
            break;
        case dispatch_outcome::failed:
            ++entry.attempts;
            entry.last_reason = "target_failed";
            entry.failure = this->to_client_answer(std::move(answer));
            this->retry_request(entry, true);
            break;
        case dispatch_outcome::lost:
            ++entry.attempts;
            entry.last_reason = answer.reason;
            this->retry_lost(entry);
            break;
        case dispatch_outcome::not_run:
            ++entry.not_run_sends;
            entry.last_reason = "target_refused_" + std::to_string(head.status);
            if (head.status == status_misdirected) {
                this->request_dispatcher.remove_target(entry.target);  // another target has taken over the address
            }
            this->retry_request(entry, true);
            break;
        case dispatch_outcome::unreachable:
        case dispatch_outcome::cancelled:
            ++entry.not_run_sends;
            entry.last_reason = answer.reason;
            log_event("target_unreachable", field("target", entry.target), field("reason", answer.reason));
            this->retry_request(entry, false);
            break;
        }
        this->run_dispatcher();
    }

    // Without load reports, placement guesses the load of other gateways, so that a new format must not go unnoticed.
    void on_load_refused(const std::string& target, const std::string& text) {
        this->loads_refused.Increment();
        time_point now = this->loop.now();
        if (now < this->next_load_refused_log_at) {
            return;
        }
        this->next_load_refused_log_at = now + load_refused_log_interval;
        constexpr std::size_t max_logged_bytes = 64;
        log_event("load_report_refused", field("target", target), field("value", text.substr(0, max_logged_bytes)));
    }

    dispatch_outcome classify_answer(const request& entry, const target_answer& answer) const {
        if (answer.status == target_call_status::unreachable) {
            return dispatch_outcome::unreachable;
        }
        if (answer.status == target_call_status::lost) {
            return dispatch_outcome::lost;
        }
        const message_head& head = answer.head;
        if (head.status == status_misdirected || head.header(this->header_names.not_run) != nullptr) {
            // On a connection that has been used, a refusal without an id may be an earlier one, written again.
            bool is_own = entry.attempt.empty() || !answer.reused || head.header(this->header_names.attempt) != nullptr;
            return is_own ? dispatch_outcome::not_run : dispatch_outcome::lost;
        }
        bool success = head.status < status_multiple_choices;
        if (success && head.header(this->header_names.signature) == nullptr) {
            return dispatch_outcome::lost;  // not sent by a target, since the signature is missing
        }
        return head.status >= status_server_error ? dispatch_outcome::failed : dispatch_outcome::answered;
    }

    front_answer to_client_answer(target_answer answer) const {
        front_answer given;
        given.status = answer.head.status;
        given.body = std::move(answer.body);
        for (http_header& header : answer.head.headers) {
            bool dropped = equals_ignore_case(header.name, "content-length") ||
                           equals_ignore_case(header.name, this->header_names.load) ||
                           is_hop_by_hop(answer.head, header.name);
            if (!dropped) {
                given.headers.push_back(std::move(header));
            }
        }
        return given;
    }

    // ---- What answers say about their targets ----

    // Refusals need not repeat the limit, so that its absence there does not end it.
    void note_limit(const in_flight_call& call, dispatch_outcome result, const message_head& head) {
        const std::string* text = head.header(this->header_names.rate_limit);
        auto rate = text == nullptr ? std::nullopt : parse_decimal(*text);
        if (!rate && result == dispatch_outcome::not_run) {
            return;
        }
        if (auto news = this->limits.observe({call.target, call.target_started_at_ms}, rate, this->loop.now())) {
            this->control.send_limit(*news);
            this->update_target(call.target);
        }
    }

    // Takes the target for draining, as if it had reported it. Its later reports of the same start don't change this.
    void note_leaving(const in_flight_call& call, const message_head& head) {
        const auto* known = this->targets.find(call.target);
        bool is_news = head.header(this->header_names.leaving) != nullptr && known != nullptr && known->usable() &&
                       known->report.started_at_ms == call.target_started_at_ms;
        if (!is_news) {
            return;
        }
        wire::target_report_t report = this->targets.report_with_age(*known, this->loop.now());
        report.phase = wire::target_phase::draining;
        log_event("target_leaving", field("target", call.target), field("started_at", call.target_started_at_ms));
        this->targets.merge(report, this->loop.now());
        this->update_target(call.target);
        this->control.send_report(report);
    }

    // A target that refuses with a time wants nothing from this gateway before.
    void note_retry_after(const in_flight_call& call, const message_head& head) {
        const std::string* text = head.status == status_unavailable ? head.header("retry-after") : nullptr;
        auto seconds = text == nullptr ? std::nullopt : parse_decimal(*text);
        if (!seconds || *seconds <= 0) {
            return;
        }
        auto time = std::min(max_hold_off, ms(std::llround(*seconds * ms_per_second)));
        log_event("target_holds_off", field("target", call.target), field("for_ms", time.count()));
        this->request_dispatcher.hold_off(call.target, this->loop.now() + time);
    }

    // ---- Requests that crash targets ----

    // The connection ended while the target may have run the request. A probe tells whether the target has crashed.
    void note_lost(const request& entry, const in_flight_call& call, const target_answer& answer) {
        const auto* known = this->targets.find(call.target);
        std::uint64_t fingerprint = entry.fingerprint();
        log_event("request_lost", field("id", entry.attempt), field("fingerprint", fingerprint),
                  field("service", entry.service), field("target", call.target),
                  field("started_at", call.target_started_at_ms), field("reason", answer.reason),
                  field("sent_ms_ago", (this->loop.now() - call.sent_at).count()), field("attempts", entry.attempts));
        if (known == nullptr) {
            return;
        }
        this->crashes.connection_lost(this->loop.now(), {entry.service, fingerprint, call.run(), known->report.region});
        if (known->report.started_at_ms != call.target_started_at_ms) {
            this->note_crash(entry.service, call.run());
            return;
        }
        probe_connection(this->loop, ip_address::parse(known->report.address), probe_timeout,
                         [this, service = entry.service, run = call.run()](probe_result result) {
                             if (result == probe_result::refused) {
                                 this->note_crash(service, run);
                             }
                         });
    }

    void note_crash(const std::string& service, const std::string& run) {
        this->control.send_notices(this->crashes.target_down(this->loop.now(), service, run));
    }

    // What any other end of a call says about the suspected requests. Not called while there are none.
    void note_target_state(const request& entry, const in_flight_call& call, dispatch_outcome result,
                           const target_answer& answer) {
        if (result == dispatch_outcome::unreachable) {
            if (answer.refused) {
                this->note_crash(entry.service, call.run());
            }
            return;
        }
        this->crashes.target_alive(entry.service, call.run(), call.sent_at);
        if (result == dispatch_outcome::answered) {
            this->control.send_notices(this->crashes.answered(this->loop.now(), entry.service, entry.fingerprint()));
        }
    }

    // Sends a request whose connection was lost to another target, apart from others that were lost. Before it goes to
    // a third one, the probes of the first two have ended.
    void retry_lost(request& entry) {
        entry.dispatch.isolated = true;
        if (entry.attempts < quarantine_crash_threshold || entry.attempts >= entry.max_attempts) {
            this->retry_request(entry, true);
            return;
        }
        this->loop.after(probe_timeout, [this, id = entry.id] {
            auto found = this->requests.find(id);
            if (found != this->requests.end()) {
                this->retry_request(*found->second, true);
                this->run_dispatcher();
            }
        });
    }

    // ---- Retries ----

    // `reached_target`: the last target received the request, so that a further one counts against the retry budget.
    void retry_request(request& entry, bool reached_target) {
        time_point now = this->loop.now();
        if (!entry.in_flight_calls.empty()) {
            return;  // the hedge or the first call may still answer
        }
        bool may_have_run = entry.attempts > 0;
        bool allowed = (entry.repeatable || !may_have_run) && entry.attempts < entry.max_attempts &&
                       entry.not_run_sends < max_not_run_sends && now < entry.deadline;
        if (allowed && entry.is_revoked) {
            this->reject_unauthorized(entry);
            return;
        }
        if (allowed && (!reached_target || this->budget(entry.service).take(now))) {
            this->retries.Increment();
            this->request_dispatcher.add(entry.dispatch, now);
            return;
        }
        this->fail_request(entry, allowed ? "retry_budget" : "no_further_attempt", default_retry_after);
    }

    // ---- Completion of requests ----

    void on_refused(request& entry, const dispatch_action& action) {
        const char* cause = action.cause == refusal_cause::no_target  ? "no_target"
                            : action.cause == refusal_cause::overload ? "overload"
                                                                      : "waited_too_long";
        this->fail_request(entry, cause, action.retry_after);
    }

    // Ends the request without a successful answer, unless a call that is in flight may still answer it.
    void fail_request(request& entry, const std::string& cause, duration retry_after) {
        if (!entry.in_flight_calls.empty()) {
            return;
        }
        if (entry.failure) {
            this->end(entry, std::move(*entry.failure), cause);
        } else if (entry.attempts > 0) {
            this->end(entry, {status_bad_gateway, {}, ""}, cause);
        } else {
            this->reject_unavailable(entry, cause, retry_after);
        }
    }

    void reject_unavailable(request& entry, const std::string& cause, duration retry_after) {
        this->end(entry, {status_unavailable, {{"Retry-After", seconds_text(retry_after)}}, ""}, cause);
    }

    void on_deadline(request_id id) {
        auto found = this->requests.find(id);
        if (found == this->requests.end()) {
            return;
        }
        request& entry = *found->second;
        entry.deadline_timer = 0;
        if (entry.client_answered) {
            this->cancel_flights(entry);
            this->requests.erase(id);
            this->run_dispatcher();
            return;
        }
        if (entry.repeatable && !entry.in_flight_calls.empty()) {
            this->answer_before_target(entry);
            return;
        }
        if (entry.in_flight_calls.empty() && entry.attempts == 0) {
            this->reject_unavailable(entry, "waited_too_long", default_retry_after);
        } else if (entry.failure && entry.in_flight_calls.empty()) {
            this->end(entry, std::move(*entry.failure), "time_over");
        } else {
            this->end(entry, {status_timeout, {}, ""}, "time_over");
        }
        this->run_dispatcher();
    }

    // Answers the client with 504 at the deadline, but lets the target finish within `late_completion_grace`: it then
    // has the object cached when the client retries.
    void answer_before_target(request& entry) {
        this->record(entry, status_timeout, "time_over", this->loop.now());
        this->loop.cancel(std::exchange(entry.hedge_timer, 0));
        this->request_dispatcher.cancel(entry.id);
        entry.client_answered = true;
        entry.deadline_timer =
            this->loop.after(late_completion_grace, [this, id = entry.id] { this->on_deadline(id); });
        std::exchange(entry.exchange, nullptr)->respond({status_timeout, {}, ""});
    }

    void cancel_flights(const request& entry) {
        for (const in_flight_call& open : entry.in_flight_calls) {
            this->target_connections.cancel(open.call);
            this->request_dispatcher.finished(entry.id, open.target, dispatch_outcome::cancelled, std::nullopt,
                                              this->loop.now());
        }
    }

    void on_client_disconnect(request_id id) {
        auto found = this->requests.find(id);
        if (found != this->requests.end()) {
            this->remove_request(*found->second, 0, "client_left");
            this->run_dispatcher();
        }
    }

    void end(request& entry, front_answer answer, const std::string& outcome) {
        auto exchange = entry.exchange;
        int status = answer.status;
        this->remove_request(entry, status, outcome);
        exchange->respond(std::move(answer));
    }

    // Removes the request from all tables and cancels its calls in flight. `entry` is invalid afterwards.
    void remove_request(request& entry, int status, const std::string& outcome) {
        time_point now = this->loop.now();
        this->loop.cancel(entry.deadline_timer);
        this->loop.cancel(entry.hedge_timer);
        this->request_dispatcher.cancel(entry.id);
        this->cancel_flights(entry);
        this->stop_waiting_for_credit(entry);
        if (std::exchange(entry.holds_credit, false)) {
            this->credits.release(entry.organisation);
        }
        this->record(entry, status, outcome, now);
        this->requests.erase(entry.id);
    }

    void record(const request& entry, int status, const std::string& outcome, time_point now) {
        auto found = this->outcomes.find(outcome);
        if (found == this->outcomes.end()) {
            found = this->outcomes
                        .emplace(outcome, &this->metrics.counter("persimmongrade_requests_total",
                                                                 "Requests by outcome.", {{"outcome", outcome}}))
                        .first;
        }
        found->second->Increment();
        this->answer_seconds.Observe(static_cast<double>((now - entry.received_at).count()) / 1000.0);
        bool success = outcome == "answered" && status < status_multiple_choices;
        if (success && ++this->successes % success_log_interval != 0) {
            return;
        }
        const auto* known = this->targets.find(entry.target);
        log_event(
            success ? "request" : "request_failed", field("id", entry.attempt), field("route", entry.route),
            field("route_version", entry.route_version), field("service", entry.service),
            field("organisation", entry.organisation), field("outcome", outcome), field("status", status),
            field("reason", entry.last_reason), field("target", entry.target), field("attempts", entry.attempts),
            field("not_run", entry.not_run_sends), field("took_ms", (now - entry.received_at).count()),
            field("waited_ms", entry.dispatch.excluded.empty() ? (now - entry.received_at).count()
                                                               : (entry.first_sent_at - entry.received_at).count()),
            field("predicted_ms", std::llround(entry.predicted_ms)), field("left_ms", (entry.deadline - now).count()),
            field("waiting", this->request_dispatcher.waiting()), field("items_index", this->items.applied()),
            field("target_age_ms", known == nullptr ? -1 : (now - known->reported_at).count()),
            field("remote_share", this->request_dispatcher.remote_share(entry.service)));
    }

    // ---- Stop ----

    // Tells the truth about what is open when the time is over: not run, or perhaps run.
    void end_all_requests() {
        std::vector<request_id> open;
        for (const auto& [id, entry] : this->requests) {
            open.push_back(id);
        }
        for (request_id id : open) {
            auto found = this->requests.find(id);
            if (found == this->requests.end()) {
                continue;
            }
            request& entry = *found->second;
            if (entry.client_answered) {
                this->cancel_flights(entry);
                this->loop.cancel(entry.deadline_timer);
                this->requests.erase(found);
            } else if (entry.attempts == 0 && entry.in_flight_calls.empty()) {
                this->reject_unavailable(entry, "stopping", elsewhere_retry_after);
            } else {
                this->end(entry, {status_timeout, {}, ""}, "stopping");
            }
        }
    }

    void check_stop(const std::function<void()>& done) {
        time_point now = this->loop.now();
        if (this->stopping->closes_idle(now)) {
            this->front.close_idle();
        }
        if (this->stopping->ends_requests(now)) {
            this->end_all_requests();
        }
        if (this->stopping->is_over(now, this->requests.size(), this->front.open_connections())) {
            log_event("stopped", field("open_requests", this->requests.size()),
                      field("open_connections", this->front.open_connections()),
                      field("took_ms", this->stopping->age(now).count()));
            done();
            return;
        }
        this->loop.after(stop_check_interval, [this, done] { this->check_stop(done); });
    }
};

// ---- Public interface ----

gateway::gateway(event_loop& loop, const wire::fleet_settings_t& settings, const gateway_header_names& header_names,
                 metric_registry& metrics)
    : state(std::make_unique<impl>(loop, settings, header_names, metrics)) {}

gateway::~gateway() = default;

bool gateway::ready() const {
    return this->state->ready();
}

std::vector<std::string> gateway::gateways_for(const std::string& region, const std::string& zone) const {
    return nearest_gateways(this->state->control.gateways(), region, zone);
}

void gateway::reload(const wire::fleet_settings_t& settings) {
    impl& entry = *this->state;
    log_event("settings_reloaded", field("seeds_before", entry.settings.seeds.size()),
              field("seeds", settings.seeds.size()), field("retry_ratio", settings.retry_ratio));
    entry.settings.seeds = settings.seeds;
    entry.settings.heartbeat_ms = settings.heartbeat_ms;
    entry.settings.stop_timeout_ms = settings.stop_timeout_ms;
    entry.settings.retry_ratio = settings.retry_ratio;
    entry.settings.retry_window_ms = settings.retry_window_ms;
    entry.control.set_seeds(settings.seeds);
}

void gateway::stop(const std::function<void()>& done) {
    impl& entry = *this->state;
    if (entry.stopping) {
        return;
    }
    entry.stopping.emplace(entry.loop.now(), planned_stop_options{.grace = ms(entry.settings.stop_timeout_ms),
                                                                  .callers_stay = client_departure_time});
    log_event("stopping", field("open_requests", entry.requests.size()),
              field("open_connections", entry.front.open_connections()));
    entry.control.set_serving(false);
    entry.front.close_after_answer();
    entry.check_stop(done);
}

}  // namespace persimmongrade
