#include "control_link.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

#include "persimmongrade/event_log.h"

namespace persimmongrade {

namespace {

constexpr duration ping_interval = ms(300);
constexpr duration initial_ping_interval = ms(60);  // until items are received: requests cannot be served before
constexpr duration source_timeout = ms(700);        // two missed answers: changes must be in force within 2 s
constexpr duration max_source_lag = ms(900);        // several hundred items are transferred faster over a 5 Mbit/s link
// Three missed answers: the connection may be dead without having been reset.
constexpr duration control_timeout = ms(1000);
constexpr duration gateway_count_hold = ms(2000);  // several pings of every gateway to a control process that started
// A control process that left the consensus group is dropped after this time without an answer.
constexpr duration departed_member_retention = ms(15000);

std::string gateway_id(const wire::fleet_settings_t& settings) {
    // Unique for each start, so that control processes do not apply state of an earlier start to this one.
    return "gateway " + settings.front_address + " " + std::to_string(unix_time_ms()) + "." +
           std::to_string(::getpid());
}

void log_notice(const wire::quarantine_notice_t& notice, const std::string& from) {
    std::string targets;
    for (const std::string& target : notice.targets) {
        targets += (targets.empty() ? "" : ",") + target;
    }
    log_event("quarantine", field("service", notice.service), field("fingerprint", notice.fingerprint),
              field("targets", targets), field("version", notice.version), field("expires_in_ms", notice.expires_in_ms),
              field("from", from));
}

void log_limit(const wire::target_limit_t& limit, const std::string& from) {
    log_event("target_limit", field("target", limit.target), field("started_at", limit.started_at_ms),
              field("limited", limit.limited), field("requests_per_second", limit.requests_per_second),
              field("observed_ms_ago", limit.observed_ms_ago), field("from", from));
}

}  // namespace

control_link::control_link(event_loop& loop, const wire::fleet_settings_t& given, metric_registry& metrics,
                           const shared_state& state, std::function<void(const control_update&)> on_update)
    : loop(loop), settings(given), items(state.items), targets(state.targets), crashes(state.crashes),
      limits(state.limits), on_update(std::move(on_update)),
      peers(
          loop, given.cluster, gateway_id(given), ip_address::parse(given.peer_address), metrics,
          [this](const wire::envelope_t& envelope) { this->receive(envelope); }, quick_peers) {
    this->set_seeds(given.seeds);
    loop.every(ping_interval, [this] { this->ping_all(); });
    this->initial_ping_timer = loop.every(initial_ping_interval, [this] {
        if (this->items.empty()) {
            this->ping_all();
        } else {
            this->loop.cancel(std::exchange(this->initial_ping_timer, 0));
        }
    });
}

void control_link::set_seeds(const std::vector<std::string>& http_addresses) {
    this->seeds.clear();
    for (const std::string& address : http_addresses) {
        this->seeds.insert(with_port(address, ip_address::parse(this->settings.peer_address).port));
    }
    for (const std::string& address : this->seeds) {
        this->add_control_peer(address);
    }
}

void control_link::add_control_peer(const std::string& address) {
    auto [place, added] = this->control_peers.try_emplace(address);
    if (added) {
        place->second.answered_at = this->loop.now();
        place->second.connected_at = this->loop.now();
        this->peers.add_peer(address, ip_address::parse(address));
    }
}

void control_link::set_serving(bool now_serving) {
    if (this->serving != now_serving) {
        this->serving = now_serving;
        this->ping_all();
    }
}

std::size_t control_link::reachable_count(time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(this->control_peers.begin(), this->control_peers.end(), [&](const auto& entry) {
            return entry.second.is_reachable && now - entry.second.answered_at <= control_timeout;
        }));
}

// All control processes replicate the same items. Only one of them, the source, sends items, because links are slow.
// The source is replaced when it does not answer, or when it fails to send changes that others have applied.
void control_link::select_source(time_point now) {
    bool others_are_ahead = std::any_of(this->control_peers.begin(), this->control_peers.end(), [&](const auto& entry) {
        return entry.second.is_reachable && entry.second.applied > this->items.applied();
    });
    if (!others_are_ahead) {
        this->source_lagging_since = time_point{};
    } else if (this->source_lagging_since == time_point{}) {
        this->source_lagging_since = now;
    }
    auto current = this->control_peers.find(this->source);
    bool silent = current == this->control_peers.end() || now - current->second.answered_at > source_timeout;
    bool lagging = this->source_lagging_since != time_point{} && now - this->source_lagging_since > max_source_lag;
    if (!silent && !lagging) {
        return;
    }
    const std::string before = this->source;
    std::uint64_t most = 0;
    for (const auto& [address, known] : this->control_peers) {
        bool better = known.is_reachable && address != before && now - known.answered_at <= source_timeout &&
                      (this->source == before || known.applied > most);
        if (better) {
            this->source = address;
            most = known.applied;
        }
    }
    if (this->source != before) {
        this->source_lagging_since = time_point{};
        this->news_received = false;
        log_event("items_source", field("before", before), field("control", this->source), field("silent", silent),
                  field("behind", lagging), field("applied", this->items.applied()), field("known_there", most));
    }
}

std::vector<wire::gateway_info_t> control_link::gateways(time_point now) const {
    std::map<std::string, std::pair<std::size_t, const wire::gateway_info_t*>> votes;  // by address
    std::size_t voters = 0;
    for (const auto& [address, known] : this->control_peers) {
        if (!known.is_reachable || now - known.answered_at > control_timeout) {
            continue;
        }
        ++voters;
        for (const auto& gateway : known.gateways) {
            auto& vote = votes[gateway.address];
            ++vote.first;
            vote.second = &gateway;
        }
    }
    std::vector<wire::gateway_info_t> agreed;
    for (const auto& [address, vote] : votes) {
        if (vote.first * 2 >= voters) {
            agreed.push_back(*vote.second);
        }
    }
    return agreed;
}

void control_link::ping(const std::string& address, control_peer& to) {
    wire::gateway_ping_t message;
    message.address = this->settings.front_address;
    message.region = this->settings.region;
    message.zone = this->settings.zone;
    message.serving = this->serving;
    message.applied = this->items.applied();
    message.reports_number = to.reports_number;
    message.gateways_version = to.gateways_version;
    message.wants_items = address == this->source;
    message.wants_news = message.wants_items && !this->news_received;
    this->peers.send(address, message);
}

void control_link::ping_all() {
    time_point now = this->loop.now();
    std::vector<std::string> dropped;
    this->select_source(now);
    for (auto& [address, known] : this->control_peers) {
        bool silent = now - known.answered_at > control_timeout;
        if (silent && known.is_reachable) {
            known.is_reachable = false;
            log_event("control_lost", field("control", address), field("silent_ms", (now - known.answered_at).count()));
        }
        if (silent && now - known.connected_at > control_timeout) {
            known.connected_at = now;
            this->peers.remove_peer(address);
            this->peers.add_peer(address, ip_address::parse(address));
        }
        if (now - known.answered_at > departed_member_retention && !this->seeds.contains(address) &&
            this->reachable_count(now) > 0) {
            dropped.push_back(address);
        }
        this->ping(address, known);
    }
    for (const std::string& address : dropped) {
        this->peers.remove_peer(address);
        this->control_peers.erase(address);
    }
}

control_link::control_peer* control_link::find_control_peer(const std::string& id) {
    auto address = this->address_by_id.find(id);
    auto found =
        address == this->address_by_id.end() ? this->control_peers.end() : this->control_peers.find(address->second);
    return found == this->control_peers.end() || found->second.id != id ? nullptr : &found->second;
}

void control_link::receive(const wire::envelope_t& envelope) {
    if (const auto* pong = envelope.body.Asgateway_pong()) {
        this->on_pong(envelope.from, *pong);
    } else if (const auto* delta = envelope.body.Asitems_delta()) {
        std::uint64_t before = this->items.applied();
        if (this->items.merge(*delta)) {
            log_event("items_changed", field("from", envelope.from), field("index", this->items.applied()),
                      field("before", before), field("items", delta->items.size()),
                      field("evacuations", delta->evacuations.size()));
            this->on_update({true, {}});
        }
    } else if (const auto* reports = envelope.body.Astarget_reports()) {
        this->on_reports(envelope.from, *reports);
    } else if (const auto* notice = envelope.body.Asquarantine_notice()) {
        notice_outcome outcome = this->crashes.receive(this->loop.now(), *notice);
        if (outcome.changed) {
            log_notice(*notice, envelope.from);
        }
        this->send_notices(outcome.decided);
    } else if (const auto* limit = envelope.body.Astarget_limit()) {
        if (this->limits.merge(*limit, this->loop.now())) {
            log_limit(*limit, envelope.from);
            this->on_update({false, {limit->target}});
        }
    }
}

void control_link::send_notices(const std::vector<wire::quarantine_notice_t>& notices) {
    for (const auto& notice : notices) {
        log_notice(notice, "own");
        this->send_news(notice);
    }
}

// Reports that control processes merge like those of each other, and pass on when they change something.
void control_link::send_report(const wire::target_report_t& report) {
    for (const auto& [address, known] : this->control_peers) {
        wire::target_reports_t message;
        message.reports.push_back(std::make_unique<wire::target_report_t>(report));
        this->peers.send(address, std::move(message));
    }
}

void control_link::send_limit(const wire::target_limit_t& limit) {
    log_limit(limit, "own");
    this->send_news(limit);
}

// What does not reach a control process is sent with everything else when it answers again.
template <typename News>
void control_link::send_news(const News& news) {
    for (auto& [address, known] : this->control_peers) {
        known.knows_news = this->peers.send(address, news) && known.knows_news;
    }
}

void control_link::send_all_news(const std::string& address, control_peer& to) {
    to.knows_news = true;
    for (const auto& notice : this->crashes.all(this->loop.now())) {
        to.knows_news = this->peers.send(address, notice) && to.knows_news;
    }
    for (const auto& limit : this->limits.all(this->loop.now())) {
        to.knows_news = this->peers.send(address, limit) && to.knows_news;
    }
}

// Shared limits are divided by this count. A control process that has started counts only those that have pinged it
// since, so that a smaller count holds once it has lasted.
void control_link::count_gateways(time_point now) {
    unsigned most = 1;
    for (const auto& [address, known] : this->control_peers) {
        most = std::max(most, known.region_gateways);
    }
    bool is_fewer = most < this->counted_gateways;
    if (is_fewer && this->fewer_gateways_since == time_point{}) {
        this->fewer_gateways_since = now;
    }
    if (!is_fewer || now - this->fewer_gateways_since >= gateway_count_hold) {
        this->counted_gateways = most;
        this->fewer_gateways_since = time_point{};
    }
}

void control_link::on_pong(const std::string& from, const wire::gateway_pong_t& pong) {
    this->add_control_peer(pong.address);
    control_peer& known = this->control_peers.at(pong.address);
    time_point now = this->loop.now();
    known.answered_at = now;
    known.region_gateways = std::max(1U, pong.region_gateways);
    this->count_gateways(now);
    known.applied = pong.applied;
    if (this->source.empty()) {
        this->source = pong.address;
        this->ping(pong.address, known);
    }
    if (known.id != from || !known.is_reachable) {
        known.knows_news = false;
        this->news_received = this->news_received && pong.address != this->source;
    }
    if (known.id != from) {  // first answer, or another process has taken over the address
        this->address_by_id.erase(known.id);
        known.id = from;
        known.reports_number = 0;
        known.gateways_version = 0;
        this->address_by_id[from] = pong.address;
    }
    if (pong.gateways_version != known.gateways_version) {
        known.gateways_version = pong.gateways_version;
        known.gateways.clear();
        for (const auto& gateway : pong.gateways) {
            known.gateways.push_back(*gateway);
        }
    }
    if (!known.knows_news) {
        this->send_all_news(pong.address, known);
    }
    this->news_received = this->news_received || (pong.sent_news && pong.address == this->source);
    if (!known.is_reachable) {
        known.is_reachable = true;
        log_event("control_regained", field("control", pong.address), field("id", from),
                  field("has_leader", pong.has_leader));
    }
    for (const std::string& member : pong.members) {
        this->add_control_peer(member);
    }
}

void control_link::on_reports(const std::string& from, const wire::target_reports_t& message) {
    if (control_peer* known = this->find_control_peer(from)) {
        if (message.full || message.number == known->reports_number + 1) {
            known->reports_number = message.number;
        }
    }
    control_update update;
    time_point now = this->loop.now();
    for (const auto& report : message.reports) {
        report_effect effect = this->targets.merge(*report, now);
        if (effect != report_effect::none) {
            update.targets.push_back(report->id);
        }
        if (effect == report_effect::changed) {
            log_event("target", field("target", report->id), field("service", report->service),
                      field("address", report->address), field("phase", wire::EnumNametarget_phase(report->phase)),
                      field("silent", report->silent), field("started_at", report->started_at_ms),
                      field("sequence", report->sequence), field("warm_up_left_ms", report->warm_up_left_ms),
                      field("age_ms", report->age_ms));
        }
    }
    if (!update.targets.empty()) {
        this->on_update(update);
    }
}

}  // namespace persimmongrade
