// Contents: state and start; members of the log; orders and committed entries; gateways; targets; public interface.

#include "persimmongrade/fleet_control.h"

#include <algorithm>
#include <deque>
#include <map>
#include <utility>

#include "persimmongrade/address.h"
#include "persimmongrade/consensus_driver.h"
#include "persimmongrade/event_log.h"
#include "persimmongrade/gateway_list.h"
#include "persimmongrade/member_links.h"
#include "persimmongrade/peer_transport.h"
#include "persimmongrade/random.h"
#include "persimmongrade/target_registry.h"

namespace persimmongrade {

namespace {

constexpr duration consensus_tick = ms(10);
constexpr duration election_timeout = ms(500);  // ten times the round trip between regions, and a slow sync
constexpr duration leader_heartbeat = ms(100);
constexpr std::size_t snapshot_entries = 500;  // a state of a few hundred items is quicker to load than the entries
constexpr duration join_interval = ms(300);
constexpr duration lost_voter_age = ms(1500);  // silence after which a waiting process may take a voter's place
constexpr duration session_tick = ms(100);
constexpr duration announce_delay = ms(25);     // gathers the reports of many targets that start together
constexpr duration gateway_silence = ms(1200);  // four missed pings
constexpr duration gateway_memory = ms(10000);  // gateways counted for shares of what all of them may use
constexpr duration resend_after = ms(400);
constexpr duration items_resend_after = ms(2000);  // many items take that long over a slow link
constexpr duration storage_retry_interval = ms(300);
constexpr duration order_timeout = ms(3000);
constexpr std::size_t max_targets_per_message = 200;
constexpr double target_silence_beats = 3.5;  // missed reports after which a target counts as silent

byte_string encode_command(const wire::fleet_command_t& command) {
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::fleet_command::Pack(builder, &command));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

}  // namespace

// ---- State ----

struct fleet_control::impl {
    struct order {
        wire::fleet_command_t command;
        order_callback callback;
        time_point received_at{};
    };

    struct session {  // of a gateway
        wire::gateway_ping_t ping;
        time_point heard_at{};
        std::uint64_t items_sent = 0;  // log index
        time_point items_sent_at{};
        std::uint64_t reports_sent = 0;
        time_point reports_sent_at{};
        bool new_session = true;
    };

    event_loop& loop;
    wire::fleet_settings_t settings;
    std::uint16_t peer_port;
    std::uint16_t http_port;
    item_store items;
    target_registry targets;
    consensus_driver<impl> log;
    peer_transport peers;
    member_addresses connected;
    std::set<std::string> asked;  // peer addresses of processes that may know the leader
    std::deque<order> waiting;    // one is in the log at a time, so that each is checked against
    std::optional<std::pair<std::uint64_t, std::uint64_t>> proposed;  // the state before it: index and term
    std::map<std::string, session> sessions;                          // by gateway id
    std::map<std::string, time_point> reporting;                      // last report, by id of targets that report here
    std::set<std::string> announced;                                  // target ids to be sent with the next message
    std::vector<wire::gateway_info_t> gateways;                       // that take clients now
    std::uint64_t gateways_version = 0;
    std::map<std::string, time_point> heard_members;
    bool is_stopping = false;
    bool had_leader = false;
    prometheus::Counter& orders_accepted;
    prometheus::Counter& orders_refused;
    prometheus::Counter& reports_received;
    prometheus::Counter& reports_refused;
    prometheus::Gauge& leader_gauge;
    prometheus::Gauge& applied_gauge;
    prometheus::Gauge& targets_gauge;
    prometheus::Gauge& gateways_gauge;

    impl(event_loop& loop, const wire::fleet_settings_t& given, metric_registry& metrics)
        : loop(loop), settings(given), peer_port(ip_address::parse(given.peer_address).port),
          http_port(ip_address::parse(given.control_http_address).port),
          log(*this, log_options(), this->data_options(), loop.now()),
          peers(
              loop, settings.cluster, this->log.id(), ip_address::parse(settings.peer_address), metrics,
              [this](const wire::envelope_t& envelope) { this->receive(envelope); }, quick_peers),
          orders_accepted(
              metrics.counter("persimmongrade_orders_total", "Orders of operators.", {{"outcome", "accepted"}})),
          orders_refused(
              metrics.counter("persimmongrade_orders_total", "Orders of operators.", {{"outcome", "refused"}})),
          reports_received(
              metrics.counter("persimmongrade_target_reports_total", "Reports of targets.", {{"outcome", "accepted"}})),
          reports_refused(
              metrics.counter("persimmongrade_target_reports_total", "Reports of targets.", {{"outcome", "refused"}})),
          leader_gauge(metrics.gauge("persimmongrade_leader", "1 while this process leads the log.")),
          applied_gauge(metrics.gauge("persimmongrade_applied_index", "Log index of the applied items.")),
          targets_gauge(metrics.gauge("persimmongrade_targets", "Targets known.")),
          gateways_gauge(metrics.gauge("persimmongrade_gateways", "Gateways heard recently.")) {
        for (const std::string& seed : this->settings.seeds) {
            this->asked.insert(with_port(seed, this->peer_port));
        }
        this->log.start();
        loop.every(consensus_tick, [this] { this->tick(); });
        loop.every(join_interval, [this] { this->ask_to_join(); });
        loop.every(session_tick, [this] { this->check_sessions(); });
        loop.every(announce_delay, [this] { this->send_announced(); });
        loop.every(storage_retry_interval, [this] { this->reopen_failed_log(); });
    }

    static consensus_options log_options() {
        consensus_options options;
        options.election_timeout = election_timeout;
        options.heartbeat_interval = leader_heartbeat;
        options.snapshot_threshold = snapshot_entries;
        options.retained_entries = snapshot_entries / 2;
        return options;
    }

    storage_options data_options() const {
        storage_options storage;
        storage.directory = this->settings.data_directory;
        storage.name = this->settings.peer_address;
        storage.identity_seed = random_bits();
        const auto& seeds = this->settings.seeds;
        bool founder = std::find(seeds.begin(), seeds.end(), this->settings.control_http_address) != seeds.end();
        if (this->settings.bootstrap && founder) {
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

    // A write that failed leaves the end of the log unknown; opening the directory again repairs it.
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
        if (has_leader != this->had_leader) {
            this->had_leader = has_leader;
            log_event(has_leader ? "leader_known" : "leader_lost", field("leader", this->log.leader_id()),
                      field("term", this->log.term()));
        }
        while (!this->waiting.empty() && this->loop.now() - this->waiting.front().received_at > order_timeout) {
            this->answer_front({command_status::unavailable, "the log did not commit in time", {}});
            this->proposed.reset();
        }
    }

    // ---- Members of the log ----

    std::vector<std::string> peer_addresses() const {
        std::set<std::string> addresses;
        for (const auto& voter : this->log.voters().voters) {
            addresses.insert(voter->address);
        }
        return {addresses.begin(), addresses.end()};
    }

    void members_changed() {
        member_addresses others = other_members(this->log.voters(), this->log.id());
        std::erase_if(others, [this](const auto& entry) { return entry.second == this->settings.peer_address; });
        for (const auto& [id, address] : others) {
            this->asked.insert(address);
        }
        follow_members(this->peers, this->connected, std::move(others),
                       [this](const std::string& id, const std::string& address) {
                           this->peers.add_peer(id, ip_address::parse(address));
                       });
        std::string names;
        for (const auto& voter : this->log.voters().voters) {
            names += (names.empty() ? "" : ",") + voter->id + (voter->voting ? "" : "(learning)");
        }
        log_event("members_changed", field("members", names), field("term", this->log.term()));
    }

    static std::string asked_peer(const std::string& address) { return "ask " + address; }

    void ask_to_join() {
        if (this->log.is_member() || this->is_stopping || this->log.failed()) {
            for (const std::string& address : this->asked) {
                this->peers.remove_peer(asked_peer(address));
            }
            return;
        }
        for (const std::string& address : this->asked) {
            if (address == this->settings.peer_address) {
                continue;
            }
            this->peers.add_peer(asked_peer(address), ip_address::parse(address));
            wire::join_request_t request;
            request.id = this->log.id();
            request.address = this->settings.peer_address;
            this->peers.send(asked_peer(address), request);
        }
    }

    void answer_join(const std::string& from, const wire::join_request_t& request) {
        wire::join_reply_t reply;
        reply.members = this->peer_addresses();
        this->peers.send(from, reply);
        if (!this->log.is_leader() || this->is_stopping) {
            return;
        }
        membership_change change;
        change.member.id = request.id;
        change.member.address = request.address;
        change.member.voting = false;
        std::size_t voters = 0;
        std::string lost;
        time_point now = this->loop.now();
        for (const auto& voter : this->log.voters().voters) {
            if (voter->id == request.id) {
                return;
            }
            ++voters;
            if (voter->address == request.address) {
                change.member.replaces = voter->id;
            }
            time_point heard = this->heard_members.try_emplace(voter->id, now).first->second;
            if (voter->id != this->log.id() && now - heard > lost_voter_age) {
                lost = voter->id;
            }
        }
        if (change.member.replaces.empty() && voters >= 2 * this->settings.lost_disks + 1) {
            if (lost.empty()) {
                return;  // all voters are there
            }
            change.member.replaces = lost;
        }
        try {
            this->log.change_voters(now, change);
            log_event("member_added", field("id", request.id), field("replaces", change.member.replaces),
                      field("voters", voters));
        } catch (const error& failure) {  // another change is under way: the process asks again
            log_event("member_not_added", field("id", request.id), field("reason", failure.what()));
        }
    }

    // ---- Messages ----

    void send(const std::string& to, wire::messageUnion body) { this->peers.send_message(to, std::move(body)); }

    void receive(const wire::envelope_t& envelope) {
        if (const auto* ping = envelope.body.Asgateway_ping()) {
            this->on_ping(envelope.from, *ping);
        } else if (const auto* reports = envelope.body.Astarget_reports()) {
            for (const auto& report : reports->reports) {
                this->merge_report(*report);
            }
        } else if (const auto* request = envelope.body.Asjoin_request()) {
            this->answer_join(envelope.from, *request);
        } else if (const auto* reply = envelope.body.Asjoin_reply()) {
            this->asked.insert(reply->members.begin(), reply->members.end());
        } else {
            this->heard_members[envelope.from] = this->loop.now();
            this->log.receive(this->loop.now(), envelope.from, envelope.body);
        }
    }

    // ---- Orders and committed entries ----

    std::string leader_http_address() const {
        for (const auto& voter : this->log.voters().voters) {
            if (voter->id == this->log.leader_id()) {
                return with_port(voter->address, this->http_port);
            }
        }
        return {};
    }

    std::optional<command_result> not_leading() const {
        if (this->log.is_leader() && !this->is_stopping) {
            return std::nullopt;
        }
        std::string leader = this->leader_http_address();
        bool known = !leader.empty() && leader != this->settings.control_http_address;
        return command_result{known ? command_status::not_leader : command_status::unavailable,
                              known ? "" : "no leader is known", leader};
    }

    void enqueue(order received) {
        if (auto refused = this->not_leading()) {
            received.callback(*refused);
            return;
        }
        received.received_at = this->loop.now();
        this->waiting.push_back(std::move(received));
        this->propose_next();
    }

    void answer_front(const command_result& result) {
        order finished = std::move(this->waiting.front());
        this->waiting.pop_front();
        (result.status == command_status::accepted ? this->orders_accepted : this->orders_refused).Increment();
        const auto& command = finished.command;
        log_event("order", field("kind", command.batch ? "items" : "evacuation"),
                  field("items", command.batch ? command.batch->items.size() : 0),
                  field("zone", command.evacuation ? command.evacuation->zone : "-"),
                  field("outcome", static_cast<int>(result.status)), field("detail", result.detail),
                  field("applied", this->items.applied()), field("term", this->log.term()),
                  field("took_ms", (this->loop.now() - finished.received_at).count()));
        finished.callback(result);
    }

    // Orders are checked and proposed one after the other, so that each is checked against what it will change.
    void propose_next() {
        while (!this->waiting.empty() && !this->proposed) {
            if (auto refused = this->not_leading()) {
                this->answer_front(*refused);
                continue;
            }
            if (!this->log.can_serve_reads(this->loop.now())) {
                return;  // earlier commits are not applied yet: tick() asks again
            }
            const order& next = this->waiting.front();
            if (const auto& batch = next.command.batch) {
                auto problem = this->items.was_accepted(batch->digest) ? std::nullopt : this->items.problem(*batch);
                if (problem) {
                    this->answer_front({command_status::invalid, *problem, {}});
                    continue;
                }
            }
            try {
                this->log.propose(
                    this->loop.now(), {encode_command(next.command)},
                    [this](std::uint64_t index, std::uint64_t term) { this->proposed = std::pair(index, term); });
            } catch (const error& failure) {  // leadership is being handed over
                this->answer_front({command_status::unavailable, failure.what(), {}});
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
        }
        if (!this->proposed || entry.index < this->proposed->first) {
            return;
        }
        bool same = entry.index == this->proposed->first && entry.term == this->proposed->second;
        this->proposed.reset();
        if (!this->waiting.empty()) {
            this->answer_front(same ? command_result{command_status::accepted, {}, {}}
                                    : command_result{command_status::unavailable, "leadership was lost", {}});
        }
    }

    void batch_applied() {
        for (auto& [id, known] : this->sessions) {
            this->send_items(id, known);
        }
        if (!this->proposed) {
            this->loop.after(duration::zero(), [this] { this->propose_next(); });
        }
    }

    void install_state(const byte_string& bytes) { this->items.load(bytes); }
    byte_string save_state() const { return this->items.snapshot(); }

    void leadership_changed(leadership_change change) {
        this->leader_gauge.Set(change == leadership_change::gained ? 1 : 0);
        log_event("leadership", field("gained", change == leadership_change::gained), field("id", this->log.id()),
                  field("term", this->log.term()));
        if (change == leadership_change::gained) {
            this->heard_members.clear();
            return;
        }
        this->proposed.reset();
        while (!this->waiting.empty()) {
            this->answer_front({command_status::unavailable, "leadership was lost", {}});
        }
    }

    // ---- Gateways ----

    void on_ping(const std::string& from, const wire::gateway_ping_t& ping) {
        time_point now = this->loop.now();
        session& known = this->sessions[from];
        bool was_serving = known.ping.serving;
        bool wanted_items = known.ping.wants_items;
        known.ping = ping;
        known.heard_at = now;
        if (known.new_session || was_serving != ping.serving) {
            log_event("gateway", field("id", from), field("address", ping.address), field("serving", ping.serving),
                      field("applied", ping.applied));
        }
        if (was_serving != ping.serving) {
            this->update_gateways();
        }
        this->answer_ping(from, ping);
        bool lost_items = ping.applied < known.items_sent && now - known.items_sent_at > items_resend_after;
        if (lost_items || !wanted_items || known.items_sent < ping.applied) {
            known.items_sent = ping.applied;
        }
        this->send_items(from, known);
        bool lost_reports = ping.reports_number < known.reports_sent && now - known.reports_sent_at > resend_after;
        if (known.new_session || lost_reports || ping.reports_number > known.reports_sent) {
            known.reports_sent = std::max(known.reports_sent, ping.reports_number);
            this->send_all_reports(from, known);
        }
        known.new_session = false;
    }

    void answer_ping(const std::string& from, const wire::gateway_ping_t& ping) {
        wire::gateway_pong_t pong;
        pong.address = this->settings.peer_address;
        pong.members = this->peer_addresses();
        pong.has_leader = !this->log.leader_id().empty();
        pong.region_gateways = static_cast<std::uint32_t>(
            std::count_if(this->sessions.begin(), this->sessions.end(),
                          [&](const auto& entry) { return entry.second.ping.region == ping.region; }));
        pong.applied = this->items.applied();
        pong.gateways_version = this->gateways_version;
        if (ping.gateways_version != this->gateways_version) {
            for (const auto& gateway : this->gateways) {
                pong.gateways.push_back(std::make_unique<wire::gateway_info_t>(gateway));
            }
        }
        this->peers.send(from, pong);
    }

    void send_items(const std::string& id, session& known) {
        if (!known.ping.wants_items || known.items_sent >= this->items.applied()) {
            return;
        }
        auto delta = this->items.changes_since(known.items_sent);
        if (this->peers.send(id, std::move(delta))) {
            known.items_sent = this->items.applied();
            known.items_sent_at = this->loop.now();
        }
    }

    void send_reports(const std::string& id, session& known, const std::vector<wire::target_report_t>& reports,
                      bool full) {
        wire::target_reports_t message;
        message.number = ++known.reports_sent;
        message.full = full;
        for (const auto& report : reports) {
            message.reports.push_back(std::make_unique<wire::target_report_t>(report));
        }
        known.reports_sent_at = this->loop.now();
        this->peers.send(id, std::move(message));
    }

    // Every target reports to one control process, so that a gateway learns each of them once.
    void send_all_reports(const std::string& id, session& known) {
        std::vector<wire::target_report_t> reports;
        this->targets.each([&](const target_registry::entry& target) {
            if (!target.usable() || this->reporting.contains(target.report.id)) {
                reports.push_back(this->targets.report_with_age(target, this->loop.now()));
            }
        });
        for (std::size_t i = 0; i == 0 || i < reports.size(); i += max_targets_per_message) {
            auto first = reports.begin() + static_cast<std::ptrdiff_t>(i);
            auto last =
                reports.begin() + static_cast<std::ptrdiff_t>(std::min(reports.size(), i + max_targets_per_message));
            this->send_reports(id, known, {first, last}, true);
        }
    }

    void send_announced() {
        if (this->announced.empty()) {
            return;
        }
        std::vector<wire::target_report_t> reports;
        for (const std::string& id : std::exchange(this->announced, {})) {
            if (const auto* known = this->targets.find(id)) {
                reports.push_back(this->targets.report_with_age(*known, this->loop.now()));
            }
        }
        for (auto& [id, known] : this->sessions) {
            this->send_reports(id, known, reports, false);
        }
        for (const auto& [id, address] : this->connected) {
            wire::target_reports_t message;
            for (const auto& report : reports) {
                if (this->reporting.contains(report.id) || report.phase != wire::target_phase::ready) {
                    message.reports.push_back(std::make_unique<wire::target_report_t>(report));
                }
            }
            this->peers.send(id, std::move(message));
        }
    }

    // The list for the directory, from gateways that said lately that they take clients.
    void update_gateways() {
        time_point now = this->loop.now();
        std::vector<wire::gateway_info_t> serving;
        for (const auto& [id, known] : this->sessions) {
            if (known.ping.serving && now - known.heard_at <= gateway_silence) {
                wire::gateway_info_t info;
                info.address = known.ping.address;
                info.region = known.ping.region;
                info.zone = known.ping.zone;
                serving.push_back(info);
            }
        }
        if (serving != this->gateways) {
            this->gateways = std::move(serving);
            ++this->gateways_version;
            log_event("gateways", field("serving", this->gateways.size()), field("version", this->gateways_version));
        }
    }

    void check_sessions() {
        time_point now = this->loop.now();
        std::erase_if(this->sessions, [&](const auto& entry) {
            bool silent = now - entry.second.heard_at > gateway_memory;
            if (silent) {
                log_event("gateway_forgotten", field("id", entry.first));
            }
            return silent;
        });
        this->update_gateways();
        this->find_silent_targets(now);
        for (const std::string& id : this->targets.expire(now)) {
            log_event("target_forgotten", field("target", id));
        }
        this->propose_next();
        this->applied_gauge.Set(static_cast<double>(this->items.applied()));
        this->targets_gauge.Set(static_cast<double>(this->targets.size()));
        this->gateways_gauge.Set(static_cast<double>(this->sessions.size()));
    }

    // ---- Targets ----

    void log_target(const target_registry::entry& known, const char* source) const {
        const wire::target_report_t& report = known.report;
        log_event("target", field("target", report.id), field("service", report.service),
                  field("address", report.address), field("phase", wire::EnumNametarget_phase(report.phase)),
                  field("silent", report.silent), field("superseded", known.superseded),
                  field("started_at", report.started_at_ms), field("sequence", report.sequence),
                  field("warm_up_left_ms", report.warm_up_left_ms), field("source", source));
    }

    // From another control process, to which the target reports now, unless that process was frozen and has read
    // reports that waited in its sockets. It and the gateways are then told what is known here, since nothing else
    // would correct them: a report that changes nothing is not passed on.
    void merge_report(const wire::target_report_t& report) {
        report_effect effect = this->targets.merge(report, this->loop.now());
        if (effect != report_effect::none) {
            this->reporting.erase(report.id);
        } else if (this->reporting.contains(report.id)) {
            const wire::target_report_t& held = this->targets.find(report.id)->report;
            bool outdated =
                std::pair(report.started_at_ms, report.sequence) < std::pair(held.started_at_ms, held.sequence);
            if (outdated) {
                log_event("report_outdated", field("target", report.id), field("sequence", report.sequence),
                          field("held_sequence", held.sequence), field("silent", report.silent));
                this->announced.insert(report.id);
            }
        }
        if (effect == report_effect::changed) {
            this->log_target(*this->targets.find(report.id), "control");
            this->announced.insert(report.id);
        }
    }

    void find_silent_targets(time_point now) {
        auto limit = ms(static_cast<std::int64_t>(this->settings.heartbeat_ms * target_silence_beats));
        for (auto place = this->reporting.begin(); place != this->reporting.end();) {
            if (now - place->second <= limit) {
                ++place;
                continue;
            }
            const auto* known = this->targets.find(place->first);
            if (known != nullptr && known->usable()) {
                wire::target_report_t silent = this->targets.report_with_age(*known, now);
                silent.silent = true;
                this->targets.merge(silent, now);
                this->log_target(*known, "silence");
                this->announced.insert(place->first);
                ++place;
                continue;
            }
            place = this->reporting.erase(place);
        }
    }

    bool report(wire::target_report_t report) {
        // A change that stays within a minority would not reach every gateway.
        bool leaves = report.phase != wire::target_phase::ready;
        const auto* known = this->targets.find(report.id);
        if (report.started_at_ms == 0 && known != nullptr) {
            report.started_at_ms = known->report.started_at_ms;
            if (report.phase == wire::target_phase::gone) {
                report.sequence = std::max(report.sequence, known->report.sequence + 1);
            }
        }
        time_point now = this->loop.now();
        std::string id = report.id;
        report_effect effect = this->targets.merge(report, now);
        bool reported_elsewhere = this->reporting.insert_or_assign(id, now).second;
        if (effect == report_effect::changed) {
            this->log_target(*this->targets.find(id), "target");
        }
        if (effect == report_effect::changed || (effect == report_effect::renewed && reported_elsewhere)) {
            this->announced.insert(id);
        }
        if (leaves) {
            this->send_announced();  // before the acknowledgement
        }
        bool recorded = !leaves || !this->log.leader_id().empty();
        (recorded ? this->reports_received : this->reports_refused).Increment();
        return recorded;
    }
};

// ---- Public interface ----

fleet_control::fleet_control(event_loop& loop, const wire::fleet_settings_t& settings, metric_registry& metrics)
    : state(std::make_unique<impl>(loop, settings, metrics)) {}

fleet_control::~fleet_control() = default;

void fleet_control::submit(wire::item_batch_t batch, order_callback callback) {
    impl::order received;
    received.command.batch = std::make_unique<wire::item_batch_t>(std::move(batch));
    received.callback = std::move(callback);
    this->state->enqueue(std::move(received));
}

void fleet_control::set_zone_evacuation(const std::string& zone, bool active, order_callback callback) {
    impl::order received;
    received.command.evacuation = std::make_unique<wire::zone_evacuation_t>();
    received.command.evacuation->zone = zone;
    received.command.evacuation->active = active;
    received.callback = std::move(callback);
    this->state->enqueue(std::move(received));
}

command_result fleet_control::read_status() const {
    if (auto refused = this->state->not_leading()) {
        return *refused;
    }
    if (!this->state->log.can_serve_reads(this->state->loop.now())) {
        return {command_status::unavailable, "the leader has not confirmed its leadership yet", {}};
    }
    return {command_status::accepted, {}, {}};
}

const item_store& fleet_control::items() const noexcept {
    return this->state->items;
}

bool fleet_control::report(wire::target_report_t report) {
    return this->state->report(std::move(report));
}

std::vector<std::string> fleet_control::gateways_for(const std::string& region, const std::string& zone) const {
    return nearest_gateways(this->state->gateways, region, zone);
}

void fleet_control::stop(std::function<void()> done) {
    impl& control = *this->state;
    if (std::exchange(control.is_stopping, true)) {
        return;
    }
    log_event("stopping", field("leader", control.log.is_leader()));
    while (!control.waiting.empty() && !control.proposed) {
        control.answer_front({command_status::unavailable, "the process is stopping", {}});
    }
    try {
        control.log.transfer_leadership(control.loop.now());
    } catch (const error& reason) {  // nothing to hand over, or nobody to take it
        log_event("leadership_kept", field("reason", reason.what()));
    }
    constexpr duration handover = ms(800);  // an election and the answers that wait for it
    control.loop.after(handover, std::move(done));
}

}  // namespace persimmongrade
