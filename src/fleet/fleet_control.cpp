// Contents: state and start; log membership; messages; operator commands and committed entries; other control
// processes; gateways; reports; news; targets; public interface.

#include "persimmongrade/fleet_control.h"

#include <algorithm>
#include <deque>
#include <map>
#include <utility>

#include "departure_queue.h"
#include "host_probes.h"
#include "persimmongrade/address.h"
#include "persimmongrade/consensus_driver.h"
#include "persimmongrade/event_log.h"
#include "persimmongrade/gateway_list.h"
#include "persimmongrade/item_transfer.h"
#include "persimmongrade/member_links.h"
#include "persimmongrade/organisation_table.h"
#include "persimmongrade/peer_transport.h"
#include "persimmongrade/quarantine.h"
#include "persimmongrade/random.h"
#include "persimmongrade/rate_credits.h"
#include "persimmongrade/report_stream.h"
#include "persimmongrade/target_limits.h"
#include "persimmongrade/target_registry.h"
#include "voter_admission.h"

namespace persimmongrade {

namespace {

constexpr duration consensus_tick_interval = ms(10);
constexpr duration election_timeout = ms(500);  // ten round trips between regions, plus a slow disk sync
constexpr duration leader_heartbeat_interval = ms(100);
// A snapshot of a few hundred items loads faster than the log entries that it replaces.
constexpr std::size_t snapshot_entry_threshold = 500;
constexpr duration join_interval = ms(300);
constexpr duration leaderless_join_delay = ms(1500);  // longer than an election
constexpr duration timeout_check_interval = ms(100);
constexpr duration report_batch_interval = ms(25);      // batches the reports of targets that start together
constexpr duration gateway_ping_timeout = ms(1200);     // four missed pings
constexpr duration gateway_session_expiry = ms(10000);  // until then, counted when gateways divide shared limits
constexpr duration member_ping_interval = ms(300);
constexpr duration member_timeout = ms(1000);  // without a ping: targets are not sent there, reports go around it
// The gateways that a control process named, after its last ping. They need a second to turn to another one.
constexpr duration member_gateways_expiry = ms(2500);
constexpr duration gateway_lag_logged = ms(1000);  // items that a gateway has not applied for this long are logged
constexpr duration storage_retry_interval = ms(300);
constexpr duration command_timeout = ms(3000);
constexpr std::size_t max_targets_per_message = 200;
constexpr std::size_t max_logged_targets = 8;  // of one message, by themselves
constexpr std::size_t bytes_per_mb = 1048576;
constexpr double target_silence_intervals = 3.5;  // heartbeat intervals without a report until a target is silent

std::string comma_separated(const std::vector<std::string>& words) {
    std::string text;
    for (const std::string& word : words) {
        text += (text.empty() ? "" : ",") + word;
    }
    return text;
}

byte_string encode_command(const wire::fleet_command_t& command) {
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::fleet_command::Pack(builder, &command));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

}  // namespace

// ---- State ----

struct fleet_control::impl {
    struct pending_command {
        wire::fleet_command_t command;
        command_callback callback;
        time_point received_at{};
    };

    struct gateway_session {
        wire::gateway_ping_t last_ping;
        time_point last_ping_at{};
        item_stream items;
        report_stream reports;
        std::uint64_t lag_index = 0;             // not applied by the gateway ...
        std::optional<time_point> behind_since;  // ... and known here since then
        bool behind_logged = false;
        std::uint64_t connection = 0;  // its number when the last ping came
        bool knows_news = true;        // nothing was lost with a connection, or for want of one
        bool is_new = true;

        bool wants_reports() const { return this->last_ping.wants_items; }
    };

    // Another control process.
    struct member_session {
        time_point last_ping_at{};
        std::string region;
        std::string http_address;
        report_stream reports;  // to it
        received_reports reports_from;
        std::uint64_t connection = 0;  // its number when the last ping came
        gateway_list_copy gateways;    // that ping it
        std::uint64_t known_list = 0;  // of this process's own gateways, as the member knows them
        std::uint64_t known_version = 0;
    };

    enum class report_scope : std::uint8_t {
        members,   // only who receives the target's reports has changed
        everyone,  // gateways need it, too
    };

    event_loop& loop;
    wire::fleet_settings_t settings;
    std::uint16_t peer_port;
    std::uint16_t http_port;
    host_probes voter_hosts;  // as the leader
    item_store items;
    item_parts item_messages;
    target_registry targets;
    departure_requests departures_asked{random_bits()};
    departure_batches departures_to_record;  // as the leader
    quarantine crashes;
    target_limits limits;
    rate_credit_granter credits;
    bool limits_are_current = false;  // as the leader: every entry of earlier terms has been applied
    consensus_driver<impl> log;
    peer_transport peers;
    member_addresses connected_members;
    std::set<std::string> join_candidates;         // peer addresses of processes that may know the leader
    std::deque<pending_command> pending_commands;  // in order of arrival; only the first one can be in the log
    std::optional<std::pair<std::uint64_t, std::uint64_t>> proposed_entry;  // index and term of the first command
    std::map<std::string, gateway_session> gateway_sessions;                // by gateway id
    std::map<std::string, member_session> member_sessions;                  // by member id
    std::map<std::string, time_point> last_report_at;    // by id of the targets that report to this process
    std::map<std::string, report_scope> unsent_targets;  // whose report goes into the next message
    gateway_list own_gateways;                           // that accept clients and ping this process often
    gateway_list serving_gateways;                       // of all control processes
    std::uint64_t logged_gateways_version = 0;
    std::map<std::string, time_point>
        member_heard_at;                   // last sign of life of each member; cleared at the start of a term as leader
    time_point leads_since{};              // as the leader
    join_requests join_requests_received;  // as the leader
    std::size_t logged_lost_voters = 0;
    std::optional<time_point> commits_missing_since;  // entries that the leader has committed are not committed here
    bool commits_missing_logged = false;
    time_point has_leader_at{};  // last time that a leader was known
    bool is_stopping = false;
    bool had_leader = false;
    prometheus::Counter& commands_accepted;
    prometheus::Counter& commands_refused;
    prometheus::Counter& items_resent;
    prometheus::Counter& sends_deferred;
    prometheus::Counter& reports_received;
    prometheus::Counter& reports_refused;
    prometheus::Gauge& leader_gauge;
    prometheus::Gauge& applied_gauge;
    prometheus::Gauge& targets_gauge;
    prometheus::Gauge& gateways_gauge;
    owned_timers timers;
    timer_id propose_timer = 0;

    impl(event_loop& loop, const wire::fleet_settings_t& given, metric_registry& metrics)
        : loop(loop), settings(given), peer_port(ip_address::parse(given.peer_address).port),
          http_port(ip_address::parse(given.control_http_address).port), voter_hosts(loop),
          log(*this, log_options(), this->log_storage_options(), loop.now()),
          peers(
              loop, settings.cluster, this->log.id(), ip_address::parse(settings.peer_address), metrics,
              [this](const wire::envelope_t& envelope) { this->receive(envelope); }, quick_peers),
          commands_accepted(
              metrics.counter("persimmongrade_orders_total", "Orders of operators.", {{"outcome", "accepted"}})),
          commands_refused(
              metrics.counter("persimmongrade_orders_total", "Orders of operators.", {{"outcome", "refused"}})),
          items_resent(metrics.counter("persimmongrade_items_resent_total",
                                       "Changes of items sent again to a gateway that had not applied them.")),
          sends_deferred(metrics.counter("persimmongrade_deferred_sends_total",
                                         "Items and reports not sent because the receiver's queue was full.")),
          reports_received(
              metrics.counter("persimmongrade_target_reports_total", "Reports of targets.", {{"outcome", "accepted"}})),
          reports_refused(
              metrics.counter("persimmongrade_target_reports_total", "Reports of targets.", {{"outcome", "refused"}})),
          leader_gauge(metrics.gauge("persimmongrade_leader", "1 while this process leads the log.")),
          applied_gauge(metrics.gauge("persimmongrade_applied_index", "Log index of the applied items.")),
          targets_gauge(metrics.gauge("persimmongrade_targets", "Targets known.")),
          gateways_gauge(metrics.gauge("persimmongrade_gateways", "Gateways heard recently.")), timers(loop) {
        for (const std::string& seed : this->settings.seeds) {
            this->join_candidates.insert(with_port(seed, this->peer_port));
        }
        this->has_leader_at = loop.now();
        this->log.start();
        this->timers.every(consensus_tick_interval, [this] { this->tick(); });
        this->timers.every(join_interval, [this] { this->send_join_requests(); });
        this->timers.every(timeout_check_interval, [this] { this->check_timeouts(); });
        this->timers.every(report_batch_interval, [this] { this->send_pending_reports(); });
        this->timers.every(member_ping_interval, [this] { this->ping_members(); });
        this->timers.every(storage_retry_interval, [this] { this->reopen_failed_log(); });
    }

    ~impl() { this->loop.cancel(this->propose_timer); }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    static consensus_options log_options() {
        consensus_options options;
        options.election_timeout = election_timeout;
        options.heartbeat_interval = leader_heartbeat_interval;
        options.snapshot_threshold = snapshot_entry_threshold;
        options.retained_entries = snapshot_entry_threshold / 2;
        return options;
    }

    storage_options log_storage_options() const {
        storage_options storage;
        storage.directory = this->settings.data_directory;
        storage.name = this->settings.peer_address;
        storage.identity_seed = random_bits();
        const auto& seeds = this->settings.seeds;
        bool is_seed = std::find(seeds.begin(), seeds.end(), this->settings.control_http_address) != seeds.end();
        if (this->settings.bootstrap && is_seed) {
            storage.bootstrap.emplace();
            for (const std::string& seed : seeds) {
                auto voter = std::make_unique<wire::voter_t>();
                voter->address = with_port(seed, this->peer_port);
                voter->id = voter->address;
                storage.bootstrap->voters.push_back(std::move(voter));
            }
        }
        return storage;
    }

    // After a failed write, the end of the log is unknown. Reopening the data directory repairs it.
    void reopen_failed_log() {
        if (!this->log.failed()) {
            return;
        }
        try {
            this->log.reopen(this->loop.now());
            log_event("storage_regained", field("directory", this->settings.data_directory));
        } catch (const storage_error& failure) {
            log_event("storage_unusable", field("reason", failure.what()));
        }
    }

    void tick() {
        this->log.tick(this->loop.now());
        bool has_leader = !this->log.leader_id().empty();
        if (has_leader) {
            this->has_leader_at = this->loop.now();
        }
        if (has_leader != this->had_leader) {
            this->had_leader = has_leader;
            log_event(has_leader ? "leader_known" : "leader_lost", field("leader", this->log.leader_id()),
                      field("term", this->log.term()));
        }
        this->log_lost_voters();
        this->log_missing_commits();
        this->departures_asked.refuse_overdue(this->loop.now(), this->log.leader_id());
        this->send_departure_requests();
        while (!this->pending_commands.empty() &&
               this->loop.now() - this->pending_commands.front().received_at > command_timeout) {
            this->finish_front_command({command_status::unavailable, "the log did not commit the command in time", {}});
            this->proposed_entry.reset();
        }
    }

    // ---- Log membership ----

    std::vector<std::string> peer_addresses() const {
        std::set<std::string> addresses;
        for (const auto& voter : this->log.voters().voters) {
            addresses.insert(voter->address);
        }
        return {addresses.begin(), addresses.end()};
    }

    void log_lost_voters() {
        const auto& lost = this->log.known_lost_voters();
        if (this->logged_lost_voters != lost.size()) {
            this->logged_lost_voters = lost.size();
            log_event("voters_lost", field("ids", comma_separated({lost.begin(), lost.end()})));
        }
    }

    void log_missing_commits() {
        bool is_missing = this->log.known_commit_index() > this->log.commit_index();
        if (!is_missing) {
            if (std::exchange(this->commits_missing_logged, false)) {
                log_event("commits_caught_up", field("committed", this->log.commit_index()));
            }
            this->commits_missing_since.reset();
            return;
        }
        if (!this->commits_missing_since) {
            this->commits_missing_since = this->loop.now();
        }
        if (!this->commits_missing_logged && this->loop.now() - *this->commits_missing_since > election_timeout) {
            this->commits_missing_logged = true;
            log_event("commits_missing", field("committed", this->log.commit_index()),
                      field("committed_by_leader", this->log.known_commit_index()),
                      field("leader", this->log.leader_id()));
        }
    }

    void members_changed() {
        member_addresses others = other_members(this->log.voters(), this->log.id());
        std::erase_if(others, [this](const auto& entry) { return entry.second == this->settings.peer_address; });
        for (const auto& [id, address] : others) {
            this->join_candidates.insert(address);
        }
        std::erase_if(this->member_sessions, [&](const auto& entry) { return !others.contains(entry.first); });
        update_member_connections(this->peers, this->connected_members, std::move(others),
                                  [this](const std::string& id, const std::string& address) {
                                      this->peers.add_peer(id, ip_address::parse(address));
                                  });
        const wire::voter_set_t& set = this->log.voters();
        std::vector<std::string> names;
        for (const auto& voter : set.voters) {
            const char* role = voter->leaving       ? "(leaving)"
                               : !voter->voting     ? "(learning)"
                               : voter->shares_vote ? "(sharing)"
                                                    : "";
            names.push_back(voter->id + role);
        }
        log_event("members_changed", field("members", comma_separated(names)), field("joint", set.joint),
                  field("lost_sharers", set.lost_sharers), field("term", this->log.term()));
    }

    static std::string join_peer_id(const std::string& address) { return "ask " + address; }

    // A member may have been replaced while it was away. Its own log still names it then, and nobody tells it: the
    // leader sends only to members.
    bool may_be_member() const {
        return this->log.is_member() && this->loop.now() - this->has_leader_at <= leaderless_join_delay;
    }

    void send_join_requests() {
        if (this->may_be_member() || this->is_stopping || this->log.failed()) {
            for (const std::string& address : this->join_candidates) {
                this->peers.remove_peer(join_peer_id(address));
            }
            return;
        }
        for (const std::string& address : this->join_candidates) {
            if (address == this->settings.peer_address) {
                continue;
            }
            this->peers.add_peer(join_peer_id(address), ip_address::parse(address));
            wire::join_request_t request;
            request.id = this->log.id();
            request.address = this->settings.peer_address;
            this->peers.send(join_peer_id(address), request);
        }
    }

    // Last sign of life of the voter: a message to the log or to this process, or a gateway's ping that names it as
    // reached. Without one since this process became the leader, the time at which it did.
    time_point voter_heard_at(const std::string& id) const {
        auto known = this->member_heard_at.find(id);
        time_point heard = known == this->member_heard_at.end() ? this->leads_since : known->second;
        auto session = this->member_sessions.find(id);
        return session == this->member_sessions.end() ? heard : std::max(heard, session->second.last_ping_at);
    }

    std::vector<std::string> silent_voters() {
        std::vector<std::string> silent;
        time_point now = this->loop.now();
        for (const auto& voter : this->log.voters().voters) {
            if (voter->id != this->log.id() && now - this->voter_heard_at(voter->id) > silent_voter_timeout) {
                silent.push_back(voter->id);
            }
        }
        return silent;
    }

    // Before a voter has been silent for so long that it may be replaced, so that the results are at hand then.
    void probe_silent_voters() {
        for (const auto& voter : this->log.voters().voters) {
            bool is_silent = this->loop.now() - this->voter_heard_at(voter->id) > silent_voter_timeout;
            if (is_silent && voter->id != this->log.id()) {
                this->voter_hosts.start(voter->id, ip_address::parse(voter->address));
            }
        }
    }

    // Leaves out the silent voters whose hosts run. False as long as that is not known, or when none is left.
    bool choose_replaced(wire::voter_t& admitted) const {
        auto& candidates = admitted.replaces_one_of;
        if (candidates.empty()) {
            return true;
        }
        auto without_host = voters_without_host(candidates, this->loop.now(),
                                                [this](const std::string& id) { return this->voter_hosts.find(id); });
        if (!without_host || !may_replace_one_of(this->log.voters(), *without_host)) {
            return false;
        }
        candidates = std::move(*without_host);
        return true;
    }

    void handle_join_request(const std::string& from, const wire::join_request_t& request) {
        wire::join_reply_t reply;
        reply.members = this->peer_addresses();
        this->peers.send(from, reply);
        if (!this->log.is_leader() || this->is_stopping) {
            return;
        }
        time_point now = this->loop.now();
        auto silence = [&](const std::string& id) {
            return id == this->log.id() ? duration::zero() : now - this->voter_heard_at(id);
        };
        this->probe_silent_voters();
        duration asked_for = this->join_requests_received.asked_for(request.id, now);
        auto admitted =
            admitted_voter(this->log.voters(), request, 2 * this->settings.lost_disks + 1, asked_for, silence);
        if (!admitted) {
            return;
        }
        if (!this->choose_replaced(*admitted)) {
            return;  // the process asks again
        }
        membership_change change;
        change.member = *admitted;
        try {
            this->log.change_voters(now, change);
            this->member_heard_at[request.id] = now;
            log_event("member_added", field("id", request.id), field("replaces", change.member.replaces),
                      field("replaces_one_of", comma_separated(change.member.replaces_one_of)));
        } catch (const error& failure) {  // for example another change in progress: the process asks again
            log_event("member_not_added", field("id", request.id), field("reason", failure.what()));
        }
    }

    // ---- Messages ----

    void send(const std::string& to, wire::messageUnion body) { this->peers.send_message(to, std::move(body)); }

    void receive(const wire::envelope_t& envelope) {
        if (const auto* ping = envelope.body.Asgateway_ping()) {
            this->on_gateway_ping(envelope.from, *ping);
        } else if (const auto* ack = envelope.body.Asitems_ack()) {
            this->on_items_ack(envelope.from, *ack);
        } else if (const auto* ping = envelope.body.Asmember_ping()) {
            this->on_member_ping(envelope.from, *ping);
        } else if (const auto* reports = envelope.body.Astarget_reports()) {
            this->on_reports(envelope.from, *reports);
        } else if (const auto* notice = envelope.body.Asquarantine_notice()) {
            this->on_notice(envelope.from, *notice);
        } else if (const auto* limit = envelope.body.Astarget_limit()) {
            if (this->limits.merge(*limit, this->loop.now())) {
                this->forward(envelope.from, *limit);
            }
        } else if (const auto* request = envelope.body.Asdeparture_request()) {
            this->on_departure_request(envelope.from, *request);
        } else if (const auto* reply = envelope.body.Asdeparture_reply()) {
            this->departures_asked.answer(reply->number, reply->recorded);
        } else if (const auto* request = envelope.body.Ascredit_request()) {
            this->on_credit_request(envelope.from, *request);
        } else if (const auto* request = envelope.body.Asjoin_request()) {
            this->handle_join_request(envelope.from, *request);
        } else if (const auto* reply = envelope.body.Asjoin_reply()) {
            this->join_candidates.insert(reply->members.begin(), reply->members.end());
        } else {
            this->member_heard_at[envelope.from] = this->loop.now();
            this->log.receive(this->loop.now(), envelope.from, envelope.body);
        }
    }

    // ---- Operator commands and committed entries ----

    std::string leader_peer_address() const {
        for (const auto& voter : this->log.voters().voters) {
            if (voter->id == this->log.leader_id()) {
                return voter->address;
            }
        }
        return {};
    }

    std::string leader_http_address() const {
        std::string address = this->leader_peer_address();
        return address.empty() ? address : with_port(address, this->http_port);
    }

    std::optional<command_result> not_leader_refusal() const {
        if (this->log.is_leader() && !this->is_stopping) {
            return std::nullopt;
        }
        std::string leader = this->leader_http_address();
        bool is_leader_known = !leader.empty() && leader != this->settings.control_http_address;
        return command_result{is_leader_known ? command_status::not_leader : command_status::unavailable,
                              is_leader_known ? "" : "no leader is known to this process", leader};
    }

    void enqueue(pending_command received) {
        if (auto refused = this->not_leader_refusal()) {
            received.callback(*refused);
            return;
        }
        received.received_at = this->loop.now();
        this->pending_commands.push_back(std::move(received));
        this->propose_next();
    }

    void finish_front_command(const command_result& result) {
        pending_command finished = std::move(this->pending_commands.front());
        this->pending_commands.pop_front();
        (result.status == command_status::accepted ? this->commands_accepted : this->commands_refused).Increment();
        const auto& command = finished.command;
        log_event("order", field("kind", command.batch ? "items" : "evacuation"),
                  field("items", command.batch ? command.batch->items.size() : 0),
                  field("zone", command.evacuation ? command.evacuation->zone : "-"),
                  field("outcome", static_cast<int>(result.status)), field("detail", result.detail),
                  field("applied", this->items.applied()), field("term", this->log.term()),
                  field("took_ms", (this->loop.now() - finished.received_at).count()));
        finished.callback(result);
    }

    // Commands are validated and proposed one at a time, so that each is validated against the state that it changes.
    void propose_next() {
        while (!this->pending_commands.empty() && !this->proposed_entry) {
            if (auto refused = this->not_leader_refusal()) {
                this->finish_front_command(*refused);
                continue;
            }
            if (!this->log.can_serve_reads(this->loop.now())) {
                return;  // earlier commits are not applied yet; check_timeouts() retries
            }
            const pending_command& next = this->pending_commands.front();
            if (const auto& batch = next.command.batch) {
                auto problem = this->items.was_accepted(batch->digest) ? std::nullopt : this->items.problem(*batch);
                if (problem) {
                    this->finish_front_command({command_status::invalid, *problem, {}});
                    continue;
                }
            }
            try {
                this->log.propose(
                    this->loop.now(), {encode_command(next.command)},
                    [this](std::uint64_t index, std::uint64_t term) { this->proposed_entry = std::pair(index, term); });
            } catch (const error& failure) {  // leadership is being transferred
                this->finish_front_command({command_status::unavailable, failure.what(), {}});
            }
        }
    }

    void apply_entry(const wire::log_entry_t& entry) {
        if (entry.kind == wire::entry_kind::command) {
            std::unique_ptr<wire::fleet_command_t> command(
                flatbuffers::GetRoot<wire::fleet_command>(entry.payload.data())->UnPack());
            if (command->batch) {
                this->items.apply(*command->batch, entry.index);
            }
            if (command->evacuation) {
                this->items.apply(*command->evacuation, entry.index);
            }
            for (const auto& departure : command->departures) {
                this->items.apply(*departure, entry.index);
                this->merge_departure(*departure);
            }
        }
        this->answer_departures(this->departures_to_record.committed(entry.index, entry.term), true);
        if (!this->proposed_entry || entry.index < this->proposed_entry->first) {
            return;
        }
        bool is_own_entry = entry.index == this->proposed_entry->first && entry.term == this->proposed_entry->second;
        this->proposed_entry.reset();
        if (!this->pending_commands.empty()) {
            this->finish_front_command(
                is_own_entry ? command_result{command_status::accepted, {}, {}}
                             : command_result{command_status::unavailable, "this process is no longer the leader", {}});
        }
    }

    void batch_applied() {
        this->credits.set_limits(this->organisation_limits(), this->loop.now());
        if (this->log.is_leader() && !this->limits_are_current) {
            // Gateways may hold credits for limits that a leader learns from entries of earlier terms.
            this->credits.become_leader(this->log.term(), this->loop.now());
            this->limits_are_current = this->log.knows_all_commits(this->loop.now());
        }
        for (auto& [id, session] : this->gateway_sessions) {
            this->send_items(id, session);
        }
        this->loop.cancel(this->propose_timer);
        this->propose_timer = this->loop.after(duration::zero(), [this] {
            this->propose_next();
            this->propose_departures();
        });
    }

    void install_state(const byte_string& bytes) {
        this->items.load(bytes);
        this->credits.set_limits(this->organisation_limits(), this->loop.now());
        this->items.each_departure([this](const auto& departure) { this->merge_departure(departure); });
    }
    byte_string save_state() const { return this->items.snapshot(); }

    void leadership_changed(leadership_change change) {
        this->leader_gauge.Set(change == leadership_change::gained ? 1 : 0);
        log_event("leadership", field("gained", change == leadership_change::gained), field("id", this->log.id()),
                  field("term", this->log.term()));
        if (change == leadership_change::gained) {
            this->member_heard_at.clear();
            this->leads_since = this->loop.now();
            this->join_requests_received.clear();
            this->voter_hosts.clear();
            this->credits.become_leader(this->log.term(), this->loop.now());
            this->limits_are_current = false;
            return;
        }
        this->proposed_entry.reset();
        this->answer_departures(this->departures_to_record.abandon(), false);
        while (!this->pending_commands.empty()) {
            this->finish_front_command({command_status::unavailable, "this process is no longer the leader", {}});
        }
    }

    // ---- Rates of organisations ----

    rate_limits organisation_limits() const {
        return limits_of_organisations(this->items, {ms(this->settings.limit_window_ms), this->settings.limit_overshoot,
                                                     this->settings.limit_slack});
    }

    // Only a leader that a majority has confirmed answers: another one may have been elected.
    void on_credit_request(const std::string& from, const wire::credit_request_t& request) {
        if (this->log.is_leader() && this->log.can_serve_reads(this->loop.now())) {
            this->peers.send(from, this->credits.answer(from, request, this->loop.now()));
        }
    }

    // ---- Departures ----

    void send_departure_requests() {
        std::string leader = this->log.leader_id();
        for (auto& request : this->departures_asked.unsent(leader)) {
            if (leader == this->log.id()) {
                this->on_departure_request(leader, request);
            } else {
                this->peers.send(leader, std::move(request));
            }
        }
    }

    void answer_departures(const std::vector<departure_batches::asker>& askers, bool recorded) {
        for (const auto& [id, number] : askers) {
            if (id == this->log.id()) {
                this->departures_asked.answer(number, recorded);
            } else {
                wire::departure_reply_t reply;
                reply.number = number;
                reply.recorded = recorded;
                this->peers.send(id, reply);
            }
        }
    }

    // A departure that names no start is that of the newest start that is known, here or to the process that asks.
    void on_departure_request(const std::string& from, const wire::departure_request_t& request) {
        wire::target_departure_t departure;
        departure.id = request.target;
        departure.phase = request.phase;
        departure.started_at_ms = request.started_at_ms;
        const wire::target_departure_t* recorded = this->items.find_departure(request.target);
        if (departure.started_at_ms == 0) {
            departure.started_at_ms = std::max({request.known_start_ms, this->known_start_ms(request.target),
                                                recorded == nullptr ? 0 : recorded->started_at_ms});
        }
        departure_batches::asker asker{from, request.number};
        bool can_record = this->log.is_leader() && !this->is_stopping && departure.started_at_ms != 0;
        bool is_recorded = recorded != nullptr && recorded->started_at_ms >= departure.started_at_ms;
        if (!can_record || is_recorded) {
            this->answer_departures({asker}, can_record && is_recorded);
            return;
        }
        this->departures_to_record.add(asker, std::move(departure));
        this->propose_departures();
    }

    void propose_departures() {
        std::vector<wire::target_departure_t> next = this->departures_to_record.next();
        if (next.empty()) {
            return;
        }
        wire::fleet_command_t command;
        for (const auto& departure : next) {
            command.departures.push_back(std::make_unique<wire::target_departure_t>(departure));
        }
        try {
            this->log.propose(
                this->loop.now(), {encode_command(command)},
                [this](std::uint64_t index, std::uint64_t term) { this->departures_to_record.proposed(index, term); });
        } catch (const error& failure) {  // leadership is being transferred
            log_event("departures_refused", field("departures", next.size()), field("reason", failure.what()));
            this->answer_departures(this->departures_to_record.abandon(), false);
        }
    }

    void merge_departure(const wire::target_departure_t& departure) {
        if (this->targets.merge(departure, this->loop.now()) == report_effect::changed) {
            this->log_target(*this->targets.find(departure.id), "log");
        }
    }

    // ---- Other control processes ----

    void ping_members() {
        for (const auto& [id, address] : this->connected_members) {
            member_session& member = this->member_sessions[id];
            wire::member_ping_t ping;
            ping.region = this->settings.region;
            ping.http_address = this->settings.control_http_address;
            ping.reports_number = member.reports_from.number();
            ping.gateways_list = member.gateways.list();
            ping.gateways_version = member.gateways.version();
            ping.gateways = std::make_unique<wire::gateway_changes_t>(
                this->own_gateways.changes_since(member.known_list, member.known_version));
            this->peers.send(id, std::move(ping));
        }
    }

    void on_member_ping(const std::string& from, const wire::member_ping_t& ping) {
        if (!this->connected_members.contains(from)) {
            return;  // not yet, or no longer, a member as far as this process knows
        }
        time_point now = this->loop.now();
        member_session& member = this->member_sessions[from];
        member.last_ping_at = now;
        member.region = ping.region;
        member.http_address = ping.http_address;
        member.known_list = ping.gateways_list;
        member.known_version = ping.gateways_version;
        if (ping.gateways && member.gateways.apply(*ping.gateways)) {
            this->update_serving_gateways();
        }
        std::uint64_t connection = this->peers.connection_number(from);
        if (std::exchange(member.connection, connection) != connection) {
            member.reports.reconnected();
        }
        if (member.reports.must_resend(now, ping.reports_number, this->peers.queued_bytes(from))) {
            this->send_own_reports(from, member.reports);
        }
    }

    bool hears(const member_session& member) const {
        return member.last_ping_at != time_point{} && this->loop.now() - member.last_ping_at <= member_timeout;
    }

    // Whether reports that this process sends to the other control processes reach all gateways.
    bool hears_all_members() const {
        return !this->connected_members.empty() &&
               std::all_of(this->connected_members.begin(), this->connected_members.end(), [this](const auto& entry) {
                   auto member = this->member_sessions.find(entry.first);
                   return member != this->member_sessions.end() && this->hears(member->second);
               });
    }

    // ---- Gateways ----

    void on_gateway_ping(const std::string& from, const wire::gateway_ping_t& ping) {
        time_point now = this->loop.now();
        gateway_session& session = this->gateway_sessions[from];
        bool was_serving = session.last_ping.serving;
        bool had_wanted_items = session.last_ping.wants_items;
        session.last_ping = ping;
        session.last_ping_at = now;
        if (session.is_new || was_serving != ping.serving) {
            log_event("gateway", field("id", from), field("address", ping.address), field("serving", ping.serving),
                      field("applied", ping.applied));
        }
        if (was_serving != ping.serving) {
            this->update_serving_gateways();
        }
        for (const std::string& id : ping.reached) {
            this->member_heard_at[id] = now;
        }
        std::uint64_t connection = this->peers.connection_number(from);
        bool is_reconnected = std::exchange(session.connection, connection) != connection && !session.is_new;
        session.knows_news = session.knows_news && !(is_reconnected && ping.wants_items);
        // Before the items, without which a gateway that has just started sends no request to targets.
        bool wants_news = ping.wants_news || !session.knows_news;
        if (wants_news) {
            this->send_all_news(from, session);
        }
        this->send_pong(from, ping, wants_news && session.knows_news);
        if (is_reconnected) {
            session.reports.reconnected();
        }
        wire::items_ack_t ack;
        ack.applied = ping.applied;
        session.items.set_takes_parts(ping.items != nullptr);
        this->acknowledge_items(from, session, ping.items ? *ping.items : ack);
        if (!had_wanted_items) {
            session.reports.restart();
        }
        if (ping.wants_items && session.reports.must_resend(now, ping.reports_number, this->peers.queued_bytes(from))) {
            this->send_all_reports(from, session.reports);
        }
        session.is_new = false;
    }

    void on_items_ack(const std::string& from, const wire::items_ack_t& ack) {
        auto session = this->gateway_sessions.find(from);
        if (session != this->gateway_sessions.end()) {
            session->second.last_ping.applied = ack.applied;
            this->acknowledge_items(from, session->second, ack);
        }
    }

    void acknowledge_items(const std::string& from, gateway_session& session, const wire::items_ack_t& ack) {
        std::uint64_t losses = session.items.losses();
        std::uint64_t sent = session.items.expected().applied;
        session.items.acknowledge(progress_of(ack), ack.number, this->peers.connection_number(from));
        if (session.items.losses() != losses) {
            this->items_resent.Increment();
            log_event("items_resent", field("id", from), field("applied", ack.applied), field("sent", sent));
        }
        this->note_items_lag(from, session);
        this->send_items(from, session);
    }

    // One line when a gateway begins to lag, and one when it has caught up.
    void note_items_lag(const std::string& id, gateway_session& session) {
        time_point now = this->loop.now();
        if (session.last_ping.applied >= session.lag_index) {
            if (std::exchange(session.behind_logged, false)) {
                log_event("gateway_caught_up", field("id", id), field("applied", session.last_ping.applied),
                          field("took_ms", (now - *session.behind_since).count()));
            }
            session.behind_since.reset();
        }
        if (session.last_ping.applied >= this->items.applied()) {
            return;
        }
        if (!session.behind_since) {
            session.behind_since = now;
            session.lag_index = this->items.applied();
        }
        if (!session.behind_logged && now - *session.behind_since > gateway_lag_logged) {
            session.behind_logged = true;
            log_event("gateway_behind", field("id", id), field("applied", session.last_ping.applied),
                      field("known", this->items.applied()), field("sent", session.items.expected().applied),
                      field("wants_items", session.last_ping.wants_items),
                      field("queued_bytes", this->peers.queued_bytes(id)));
        }
    }

    void send_pong(const std::string& from, const wire::gateway_ping_t& ping, bool sent_news) {
        wire::gateway_pong_t pong;
        pong.address = this->settings.peer_address;
        pong.region = this->settings.region;
        pong.members = this->peer_addresses();
        pong.has_leader = this->log.knows_all_commits(this->loop.now());
        pong.region_gateways = static_cast<std::uint32_t>(
            std::count_if(this->gateway_sessions.begin(), this->gateway_sessions.end(),
                          [&](const auto& entry) { return entry.second.last_ping.region == ping.region; }));
        pong.applied = this->items.applied();
        pong.sent_news = sent_news;
        if (this->log.is_leader()) {
            pong.silent = this->silent_voters();
        }
        pong.leader = this->leader_peer_address();
        pong.gateways_version = this->serving_gateways.version();
        if (ping.takes_changes && ping.wants_items) {
            pong.changes = std::make_unique<wire::gateway_changes_t>(
                this->serving_gateways.changes_since(ping.gateways_list, ping.gateways_version));
        } else if (!ping.takes_changes && ping.gateways_version != pong.gateways_version) {
            for (const auto& [address, gateway] : this->serving_gateways.entries()) {
                pong.gateways.push_back(std::make_unique<wire::gateway_info_t>(gateway));
            }
        }
        this->peers.send(from, pong);
    }

    // A fair part of the memory that queues may take: slow gateways must not fill it. They get the rest later.
    bool has_room(const std::string& id) const {
        std::size_t receivers = this->gateway_sessions.size() + this->connected_members.size();
        return this->peers.queued_bytes(id) <=
               this->settings.memory_mb * bytes_per_mb / 4 / std::max<std::size_t>(1, receivers);
    }

    // After a start, the items are those of a snapshot, until a leader tells what was committed later.
    void send_items(const std::string& id, gateway_session& session) {
        if (!session.last_ping.wants_items || !this->log.knows_all_commits(this->loop.now())) {
            return;
        }
        while (auto request = session.items.next(this->items, this->peers.connection_number(id))) {
            wire::items_delta_t message = this->item_messages.make(this->items, *request);
            message.number = session.items.next_number();
            if (!this->peers.send(id, message)) {
                this->sends_deferred.Increment();
                return;
            }
            session.items.sent(*request, message);
        }
    }

    // ---- Reports ----
    //
    // A target reports to one control process, which sends what changes to the others. Each sends what changes there to
    // the gateways whose source it is, so that a change crosses to another region once for each control process there.

    using report_list = std::vector<wire::target_report_t>;

    enum class copy_part : std::uint8_t { none, first, further };  // of everything

    void send_reports(const std::string& id, std::uint64_t number, const report_list& reports, copy_part part) {
        if (!this->has_room(id)) {
            this->sends_deferred.Increment();
            return;  // the receiver misses this number, and gets everything once its queue is empty
        }
        wire::target_reports_t message;
        message.number = number;
        message.full = part != copy_part::none;
        message.continues = part == copy_part::further;
        for (const auto& report : reports) {
            message.reports.push_back(std::make_unique<wire::target_report_t>(report));
        }
        this->peers.send(id, std::move(message));
    }

    void send_full_reports(const std::string& id, report_stream& stream, const report_list& reports) {
        for (std::size_t i = 0; i == 0 || i < reports.size(); i += max_targets_per_message) {
            auto first = reports.begin() + static_cast<std::ptrdiff_t>(i);
            auto last =
                reports.begin() + static_cast<std::ptrdiff_t>(std::min(reports.size(), i + max_targets_per_message));
            this->send_reports(id, stream.next(), {first, last}, i == 0 ? copy_part::first : copy_part::further);
        }
    }

    void send_all_reports(const std::string& id, report_stream& stream) {
        report_list reports;
        this->targets.each([&](const target_registry::entry& target) {
            reports.push_back(this->targets.report_with_age(target, this->loop.now()));
        });
        this->send_full_reports(id, stream, reports);
    }

    // To another control process: the targets that report here, and all that are not usable.
    void send_own_reports(const std::string& id, report_stream& stream) {
        report_list reports;
        this->targets.each([&](const target_registry::entry& target) {
            if (!target.usable() || this->last_report_at.contains(target.report.id)) {
                reports.push_back(this->targets.report_with_age(target, this->loop.now()));
            }
        });
        this->send_full_reports(id, stream, reports);
    }

    void send_pending_reports() {
        if (this->unsent_targets.empty()) {
            return;
        }
        report_list for_members;
        report_list for_gateways;
        report_list own_departures;
        for (const auto& [id, scope] : std::exchange(this->unsent_targets, {})) {
            const auto* target = this->targets.find(id);
            if (target == nullptr) {
                continue;
            }
            wire::target_report_t report = this->targets.report_with_age(*target, this->loop.now());
            bool is_own = this->last_report_at.contains(id);
            bool is_departure = report.phase != wire::target_phase::ready;
            if (is_own || is_departure) {
                for_members.push_back(report);
            }
            if (is_own && is_departure) {
                own_departures.push_back(report);
            }
            if (scope == report_scope::everyone) {
                for_gateways.push_back(std::move(report));
            }
        }
        if (!for_members.empty()) {
            for (const auto& [id, address] : this->connected_members) {
                this->send_reports(id, this->member_sessions[id].reports.next(), for_members, copy_part::none);
            }
        }
        // Departures bind once they are acknowledged, whatever happens to the control process that would pass them on.
        const report_list& for_others = this->hears_all_members() ? own_departures : for_gateways;
        for (auto& [id, session] : this->gateway_sessions) {
            if (session.wants_reports() && !for_gateways.empty()) {
                this->send_reports(id, session.reports.next(), for_gateways, copy_part::none);
            } else if (!session.wants_reports() && !for_others.empty()) {
                this->send_reports(id, 0, for_others, copy_part::none);
            }
        }
    }

    void on_reports(const std::string& from, const wire::target_reports_t& message) {
        auto member = this->member_sessions.find(from);
        if (member != this->member_sessions.end()) {
            member->second.reports_from.receive(message);
        }
        std::size_t changed = 0;
        for (const auto& report : message.reports) {
            changed += this->merge_report(*report, message.reports.size() <= max_logged_targets) ? 1 : 0;
        }
        if (message.reports.size() > max_logged_targets && changed > 0) {
            log_event("targets", field("changed", changed), field("reports", message.reports.size()),
                      field("full", message.full), field("from", from), field("known", this->targets.size()));
        }
    }

    // ---- News: quarantine notices and limits of targets ----

    void on_notice(const std::string& from, const wire::quarantine_notice_t& notice) {
        notice_outcome outcome = this->crashes.receive(this->loop.now(), notice);
        if (outcome.changed) {
            this->forward(from, notice);
        }
        for (const auto& decided : outcome.decided) {
            this->forward({}, decided);
        }
    }

    // Gateways send their news to every control process, and get those of others from one of them.
    template <typename News>
    void forward(const std::string& from, const News& news) {
        for (const auto& [id, address] : this->connected_members) {
            if (id != from) {
                this->peers.send(id, news);
            }
        }
        for (auto& [id, session] : this->gateway_sessions) {
            if (id != from && session.last_ping.wants_items) {
                session.knows_news = this->peers.send(id, news) && session.knows_news;
            }
        }
    }

    void send_all_news(const std::string& id, gateway_session& session) {
        session.knows_news = true;
        for (const auto& notice : this->crashes.all(this->loop.now())) {
            session.knows_news = this->peers.send(id, notice) && session.knows_news;
        }
        for (const auto& limit : this->limits.all(this->loop.now())) {
            session.knows_news = this->peers.send(id, limit) && session.knows_news;
        }
    }

    // Rebuilds the list that clients get, from the gateways whose recent pings say that they accept clients, and from
    // those that other control processes hear. What a gateway says here counts more, also when it pings seldom.
    void update_serving_gateways() {
        time_point now = this->loop.now();
        std::map<std::string, const gateway_session*> newest;  // by address: each start has a session of its own
        for (const auto& [id, session] : this->gateway_sessions) {
            const gateway_session*& known = newest[session.last_ping.address];
            if (known == nullptr || known->last_ping_at < session.last_ping_at) {
                known = &session;
            }
        }
        gateways_by_address own;
        for (const auto& [address, session] : newest) {
            const wire::gateway_ping_t& ping = session->last_ping;
            if (ping.serving && !ping.far && now - session->last_ping_at <= gateway_ping_timeout) {
                wire::gateway_info_t info;
                info.address = ping.address;
                info.region = ping.region;
                info.zone = ping.zone;
                own.emplace(address, std::move(info));
            }
        }
        gateways_by_address serving = own;
        for (const auto& [id, member] : this->member_sessions) {
            if (now - member.last_ping_at > member_gateways_expiry) {
                continue;
            }
            for (const auto& [address, info] : member.gateways.entries()) {
                auto session = newest.find(address);
                if (session == newest.end() || session->second->last_ping.serving) {
                    serving.emplace(address, info);
                }
            }
        }
        this->own_gateways.replace(std::move(own));
        this->serving_gateways.replace(std::move(serving));
    }

    void log_gateways() {
        if (this->logged_gateways_version != this->serving_gateways.version()) {
            this->logged_gateways_version = this->serving_gateways.version();
            log_event("gateways", field("serving", this->serving_gateways.entries().size()),
                      field("heard", this->own_gateways.entries().size()),
                      field("version", this->logged_gateways_version));
        }
    }

    void check_timeouts() {
        time_point now = this->loop.now();
        std::erase_if(this->gateway_sessions, [&](const auto& entry) {
            bool has_expired = now - entry.second.last_ping_at > gateway_session_expiry;
            if (has_expired) {
                log_event("gateway_forgotten", field("id", entry.first));
            }
            return has_expired;
        });
        this->update_serving_gateways();
        this->log_gateways();
        this->mark_silent_targets(now);
        for (const auto& withdrawn : this->crashes.tick(now)) {
            this->forward({}, withdrawn);
        }
        for (const std::string& id : this->targets.expire(now)) {
            this->limits.forget(id);
            log_event("target_forgotten", field("target", id));
        }
        this->propose_next();
        this->applied_gauge.Set(static_cast<double>(this->items.applied()));
        this->targets_gauge.Set(static_cast<double>(this->targets.size()));
        this->gateways_gauge.Set(static_cast<double>(this->gateway_sessions.size()));
    }

    // ---- Targets ----

    void log_target(const target_registry::entry& target, const char* source) const {
        const wire::target_report_t& report = target.report;
        log_event("target", field("target", report.id), field("service", report.service),
                  field("address", report.address), field("phase", wire::EnumNametarget_phase(report.phase)),
                  field("silent", report.silent), field("superseded", target.superseded),
                  field("started_at", report.started_at_ms), field("sequence", report.sequence),
                  field("warm_up_left_ms", report.warm_up_left_ms), field("source", source));
    }

    // Merges a report that another control process forwarded. Normally the target now reports to that process. It can
    // also be an outdated report, when that process was suspended and then read reports that were queued in its
    // sockets. This process then sends its newer report to that process and to the gateways. Nothing else would correct
    // them, because a report that changes nothing is not forwarded. Returns whether something changed.
    bool merge_report(const wire::target_report_t& report, bool log) {
        report_effect effect = this->targets.merge(report, this->loop.now());
        if (effect != report_effect::none) {
            this->last_report_at.erase(report.id);
        } else if (this->last_report_at.contains(report.id)) {
            const wire::target_report_t& held = this->targets.find(report.id)->report;
            bool is_outdated =
                std::pair(report.started_at_ms, report.sequence) < std::pair(held.started_at_ms, held.sequence);
            if (is_outdated) {
                log_event("report_outdated", field("target", report.id), field("sequence", report.sequence),
                          field("held_sequence", held.sequence), field("silent", report.silent));
                this->unsent_targets[report.id] = report_scope::everyone;
            }
        }
        if (effect == report_effect::changed) {
            if (log) {
                this->log_target(*this->targets.find(report.id), "control");
            }
            this->unsent_targets[report.id] = report_scope::everyone;
        }
        return effect == report_effect::changed;
    }

    void mark_silent_targets(time_point now) {
        auto timeout = ms(static_cast<std::int64_t>(this->settings.heartbeat_ms * target_silence_intervals));
        for (auto entry = this->last_report_at.begin(); entry != this->last_report_at.end();) {
            if (now - entry->second <= timeout) {
                ++entry;
                continue;
            }
            const auto* target = this->targets.find(entry->first);
            if (target != nullptr && target->usable()) {
                wire::target_report_t silent = this->targets.report_with_age(*target, now);
                silent.silent = true;
                this->targets.merge(silent, now);
                this->log_target(*target, "silence");
                this->unsent_targets[entry->first] = report_scope::everyone;
                ++entry;
                continue;
            }
            entry = this->last_report_at.erase(entry);
        }
    }

    // 0: not known.
    std::int64_t known_start_ms(const std::string& id) const {
        const auto* target = this->targets.find(id);
        return target == nullptr ? 0 : target->report.started_at_ms;
    }

    void report(wire::target_report_t report, const report_callback& callback) {
        bool is_leaving = report.phase != wire::target_phase::ready;
        if (is_leaving) {
            this->departures_asked.add(this->loop.now(), report, this->known_start_ms(report.id),
                                       [this, callback](bool recorded) {
                                           (recorded ? this->reports_received : this->reports_refused).Increment();
                                           callback(recorded);
                                       });
        }
        const auto* target = this->targets.find(report.id);
        if (report.started_at_ms == 0 && target != nullptr) {
            report.started_at_ms = target->report.started_at_ms;
            if (report.phase == wire::target_phase::gone) {
                report.sequence = std::max(report.sequence, target->report.sequence + 1);
            }
        }
        if (!is_leaving || report.started_at_ms != 0) {
            this->record_report(report);
        }
        if (!is_leaving) {
            this->reports_received.Increment();
            callback(true);
            return;
        }
        this->send_pending_reports();  // gateways need not wait for the log
        this->departures_asked.refuse_overdue(this->loop.now(), this->log.leader_id());
        this->send_departure_requests();
    }

    void record_report(const wire::target_report_t& report) {
        time_point now = this->loop.now();
        std::string id = report.id;
        report_effect effect = this->targets.merge(report, now);
        bool is_first_report_here = this->last_report_at.insert_or_assign(id, now).second;
        if (effect == report_effect::changed) {
            this->log_target(*this->targets.find(id), "target");
        }
        if (effect == report_effect::changed) {
            this->unsent_targets[id] = report_scope::everyone;
        } else if (effect == report_effect::renewed && is_first_report_here) {
            this->unsent_targets.try_emplace(id, report_scope::members);
        }
    }
};

// ---- Public interface ----

fleet_control::fleet_control(event_loop& loop, const wire::fleet_settings_t& settings, metric_registry& metrics)
    : state(std::make_unique<impl>(loop, settings, metrics)) {}

fleet_control::~fleet_control() = default;

void fleet_control::submit(wire::item_batch_t batch, command_callback callback) {
    impl::pending_command received;
    received.command.batch = std::make_unique<wire::item_batch_t>(std::move(batch));
    received.callback = std::move(callback);
    this->state->enqueue(std::move(received));
}

void fleet_control::set_zone_evacuation(const std::string& zone, bool active, command_callback callback) {
    impl::pending_command received;
    received.command.evacuation = std::make_unique<wire::zone_evacuation_t>();
    received.command.evacuation->zone = zone;
    received.command.evacuation->active = active;
    received.callback = std::move(callback);
    this->state->enqueue(std::move(received));
}

command_result fleet_control::read_status() const {
    if (auto refused = this->state->not_leader_refusal()) {
        return *refused;
    }
    if (!this->state->log.can_serve_reads(this->state->loop.now())) {
        return {command_status::unavailable, "the leader has not yet confirmed its leadership with a majority", {}};
    }
    return {command_status::accepted, {}, {}};
}

const item_store& fleet_control::items() const noexcept {
    return this->state->items;
}

void fleet_control::report(wire::target_report_t report, const report_callback& callback) {
    this->state->report(std::move(report), callback);
}

std::vector<std::string> fleet_control::gateways_for(const std::string& region, const std::string& zone) const {
    return nearest_gateways(this->state->serving_gateways.entries(), region, zone);
}

std::string fleet_control::reporting_address(const std::string& region, const std::string& target) const {
    const impl& control = *this->state;
    std::vector<std::string> near;
    for (const auto& [id, member] : control.member_sessions) {
        if (member.region == region && control.hears(member)) {
            near.push_back(member.http_address);
        }
    }
    if (region == control.settings.region || near.empty()) {
        return {};
    }
    std::sort(near.begin(), near.end());
    return near[std::hash<std::string>()(target) % near.size()];
}

void fleet_control::stop(std::function<void()> done) {
    impl& control = *this->state;
    if (std::exchange(control.is_stopping, true)) {
        return;
    }
    log_event("stopping", field("leader", control.log.is_leader()));
    while (!control.pending_commands.empty() && !control.proposed_entry) {
        control.finish_front_command({command_status::unavailable, "this control process is stopping", {}});
    }
    try {
        control.log.transfer_leadership(control.loop.now());
    } catch (const error& reason) {  // this process is not the leader, or no member can take over
        log_event("leadership_kept", field("reason", reason.what()));
    }
    constexpr duration transfer_time = ms(800);  // for an election and the answers that wait for it
    control.loop.after(transfer_time, std::move(done));
}

}  // namespace persimmongrade
