#include "control_link.h"

#include <unistd.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "persimmongrade/event_log.h"

namespace persimmongrade {

namespace {

constexpr duration near_ping_interval = ms(300);
constexpr duration far_ping_interval = ms(2400);       // to control processes that others are nearer to
constexpr duration credit_request_interval = ms(250);  // credits of a busy organisation last for about two seconds
constexpr duration initial_ping_interval = ms(60);     // until a control process answers, which then sends items
constexpr duration source_timeout = ms(500);           // two missed answers: changes must be in force within 2 s
constexpr duration max_answer_age = ms(700);           // of a control process that becomes the source
constexpr duration max_source_lag = ms(900);           // several hundred items are transferred faster over 5 Mbit/s
constexpr duration source_return_delay = ms(3000);     // to one of the own region, after it answers again
constexpr duration gateways_hold = ms(700);  // control processes tell a new source of their gateways meanwhile
// Three missed answers: the connection may be dead without having been reset.
constexpr duration control_timeout = ms(1000);
constexpr std::size_t max_logged_targets = 8;      // of one message, by themselves
constexpr duration gateway_count_hold = ms(2000);  // several pings of every gateway to a control process that started
// A control process that left the consensus group is dropped after this time without an answer.
constexpr duration departed_member_retention = ms(15000);

std::string gateway_id(const wire::fleet_settings_t& settings) {
    // Unique for each start, so that control processes do not apply state of an earlier start to this one.
    return "gateway " + settings.front_address + " " + std::to_string(unix_time_ms()) + "." +
           std::to_string(::getpid());
}

const char* name_of(items_outcome outcome) {
    switch (outcome) {
    case items_outcome::applied:
        return "applied";
    case items_outcome::stored:
        return "stored";
    case items_outcome::known:
        return "known";
    case items_outcome::lacks_earlier:
        return "lacks_earlier";
    case items_outcome::unreadable:
        return "unreadable";
    }
    return "";
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
      limits(state.limits), credits(state.credits), on_update(std::move(on_update)), received_items(this->items),
      metrics(metrics), peers(
                            loop, given.cluster, gateway_id(given), ip_address::parse(given.peer_address), metrics,
                            [this](const wire::envelope_t& envelope) { this->receive(envelope); }, quick_peers),
      timers(loop) {
    this->set_seeds(given.seeds);
    this->timers.every(near_ping_interval, [this] { this->ping_peers(ping_scope::due); });
    this->timers.every(credit_request_interval, [this] { this->request_credits(); });
    this->initial_ping_timer = this->timers.every(initial_ping_interval, [this] {
        if (this->source.empty()) {
            this->ping_peers(ping_scope::due);
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
        this->ping_peers(ping_scope::all);
    }
}

std::size_t control_link::reachable_count(time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(this->control_peers.begin(), this->control_peers.end(), [&](const auto& entry) {
            return entry.second.is_reachable && !this->is_silent(now, entry.first, entry.second, control_timeout);
        }));
}

bool control_link::items_are_outdated(time_point now) const {
    return this->lag.is_outdated(now, ms(this->settings.items_in_force_ms));
}

void control_link::log_outdated_items(time_point now) {
    bool is_outdated = this->items_are_outdated(now);
    if (std::exchange(this->outdated_logged, is_outdated) != is_outdated) {
        auto missing = this->lag.oldest();
        log_event(is_outdated ? "items_outdated" : "items_current", field("applied", this->items.applied()),
                  field("missing", missing ? missing->index : 0));
    }
}

// ---- Source ----

// An answer may wait behind items that arrive slowly: a connection over which bytes arrive is not silent.
bool control_link::is_silent(time_point now, const std::string& address, const control_peer& peer,
                             duration timeout) const {
    return peer.unanswered_since != time_point{} &&
           now - std::max(peer.unanswered_since, this->peers.received(address).last_at) > timeout;
}

// Whether another control process has a leader while the source has none: it may be cut off from the majority. It sends
// no items then, so that a gateway that lacks some does not wait.
bool control_link::lacks_a_leader(time_point now, const control_peer& current) {
    bool is_leader_known_elsewhere =
        std::any_of(this->control_peers.begin(), this->control_peers.end(),
                    [](const auto& entry) { return entry.second.is_reachable && entry.second.has_leader; });
    if (current.has_leader || !is_leader_known_elsewhere) {
        this->source_leaderless_since = time_point{};
        return false;
    }
    if (this->source_leaderless_since == time_point{}) {
        this->source_leaderless_since = now;
    }
    bool lacks_items = this->items.empty() || this->lag.oldest();
    return lacks_items || now - this->source_leaderless_since > max_source_lag;
}

// Whether the source answers, but sends nothing of a change that is known for too long. Answers come after what was
// sent before them.
bool control_link::fails_to_send(const control_peer& current) const {
    auto missing = this->lag.oldest();
    return missing &&
           current.answered_at - std::max({missing->known_at, this->source_selected_at, this->items_progress_at}) >
               max_source_lag;
}

bool control_link::is_better_source(const control_peer& other, const control_peer& chosen) const {
    auto rank = [this](const control_peer& peer) {
        return std::tuple(peer.has_leader, peer.applied, peer.region == this->settings.region);
    };
    return rank(other) > rank(chosen);
}

// All control processes replicate the same items, and tell each other of targets and gateways. Only one of them, the
// source, sends these here, because links are slow. The source is replaced when it does not answer, when it fails to
// send changes that others have applied, and when one in the own region has come back.
void control_link::select_source(time_point now) {
    auto current = this->control_peers.find(this->source);
    bool is_lost =
        current == this->control_peers.end() || this->is_silent(now, current->first, current->second, source_timeout);
    bool is_behind = !is_lost && (this->lacks_a_leader(now, current->second) || this->fails_to_send(current->second));
    bool is_remote = !is_lost && current->second.region != this->settings.region;
    if (!is_lost && !is_behind && !is_remote) {
        return;
    }
    const std::string* best = nullptr;
    for (const auto& [address, peer] : this->control_peers) {
        bool can_replace = address != this->source && peer.is_reachable && now - peer.answered_at <= max_answer_age;
        if (!is_lost && !is_behind) {  // for the sake of the region only
            can_replace = can_replace && peer.region == this->settings.region && peer.has_leader &&
                          peer.applied >= this->items.applied() && now - peer.reachable_since > source_return_delay;
        }
        if (can_replace && (best == nullptr || this->is_better_source(peer, this->control_peers.at(*best)))) {
            best = &address;
        }
    }
    if (best != nullptr) {
        log_event("items_source", field("before", this->source), field("control", *best), field("silent", is_lost),
                  field("behind", is_behind), field("applied", this->items.applied()),
                  field("known_there", this->control_peers.at(*best).applied),
                  field("received_bytes", this->received_since_answer(this->source)));
        this->set_source(*best);
    }
}

void control_link::set_source(const std::string& address) {
    std::string before = std::exchange(this->source, address);
    this->source_selected_at = this->loop.now();
    this->source_leaderless_since = time_point{};
    this->news_received = false;
    this->ping(address, this->control_peers.at(address), true);
    auto former = this->control_peers.find(before);
    if (former != this->control_peers.end()) {  // stops sending at once, not with the next ping
        this->ping(before, former->second, this->is_near(before, former->second, false));
    }
}

// ---- Pings ----

void control_link::ping(const std::string& address, control_peer& to, bool near) {
    time_point now = this->loop.now();
    this->note_connection(address, to);
    wire::gateway_ping_t message;
    message.address = this->settings.front_address;
    message.region = this->settings.region;
    message.zone = this->settings.zone;
    message.serving = this->serving;
    message.applied = this->items.applied();
    message.items = std::make_unique<wire::items_ack_t>(ack_of(this->received_items.held(), to.items_number));
    message.reports_number = to.reports.number();
    message.takes_changes = true;
    message.gateways_list = to.gateways.list();
    message.gateways_version = to.gateways.version();
    message.wants_items = address == this->source;
    message.wants_news = message.wants_items && !this->news_received;
    message.far = !near;
    for (const std::string& id : to.silent) {
        if (this->answers(now, id)) {
            message.reached.push_back(id);
        }
    }
    to.pinged_at = now;
    if (to.unanswered_since == time_point{}) {
        to.unanswered_since = now;
    }
    this->peers.send(address, message);
}

bool control_link::must_ping_all_often(time_point now) const {
    auto current = this->control_peers.find(this->source);
    bool has_source = current != this->control_peers.end() &&
                      !this->is_silent(now, current->first, current->second, source_timeout) &&
                      current->second.has_leader;
    bool has_region = std::any_of(this->control_peers.begin(), this->control_peers.end(), [&](const auto& entry) {
        return entry.second.is_reachable && entry.second.region == this->settings.region;
    });
    return !has_source || !has_region;
}

bool control_link::is_asked_about(const control_peer& peer) const {
    return std::any_of(this->control_peers.begin(), this->control_peers.end(), [&](const auto& entry) {
        const std::vector<std::string>& silent = entry.second.silent;
        return entry.second.is_reachable && std::find(silent.begin(), silent.end(), peer.id) != silent.end();
    });
}

bool control_link::is_near(const std::string& address, const control_peer& peer, bool all_near) const {
    return all_near || address == this->source || peer.region.empty() || peer.region == this->settings.region;
}

void control_link::drop_connection_if_silent(time_point now, const std::string& address, control_peer& peer) {
    if (!this->is_silent(now, address, peer, control_timeout)) {
        return;
    }
    if (peer.is_reachable) {
        peer.is_reachable = false;
        log_event("control_lost", field("control", address), field("silent_ms", (now - peer.answered_at).count()),
                  field("received_bytes", this->received_since_answer(address)));
    }
    if (now - peer.connected_at > control_timeout) {
        peer.connected_at = now;
        this->peers.remove_peer(address);
        this->peers.add_peer(address, ip_address::parse(address));
    }
}

void control_link::ping_peers(ping_scope scope) {
    time_point now = this->loop.now();
    this->log_outdated_items(now);
    this->select_source(now);
    if (this->reachable_count(now) == 0) {
        this->known_gateways.clear();  // clients then ask another process, which is told of gateways that have ended
    }
    bool all_near = this->must_ping_all_often(now);
    std::vector<std::string> departed;
    for (auto& [address, peer] : this->control_peers) {
        this->drop_connection_if_silent(now, address, peer);
        if (now - peer.answered_at > departed_member_retention && !this->seeds.contains(address) &&
            this->reachable_count(now) > 0) {
            departed.push_back(address);
            continue;
        }
        bool near = this->is_near(address, peer, all_near);
        bool is_due =
            near || !peer.is_reachable || this->is_asked_about(peer) || now - peer.pinged_at >= far_ping_interval;
        if (scope == ping_scope::all || is_due) {
            this->ping(address, peer, near);
        }
    }
    for (const std::string& address : departed) {
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

bool control_link::answers(time_point now, const std::string& id) {
    const control_peer* known = this->find_control_peer(id);
    return known != nullptr && known->is_reachable && now - known->answered_at <= max_answer_age;
}

void control_link::receive(const wire::envelope_t& envelope) {
    if (const auto* pong = envelope.body.Asgateway_pong()) {
        this->on_pong(envelope.from, *pong);
    } else if (const auto* delta = envelope.body.Asitems_delta()) {
        this->on_items(envelope.from, *delta);
    } else if (const auto* reports = envelope.body.Astarget_reports()) {
        this->on_reports(envelope.from, *reports);
    } else if (const auto* notice = envelope.body.Asquarantine_notice()) {
        notice_outcome outcome = this->crashes.receive(this->loop.now(), *notice);
        if (outcome.changed) {
            log_notice(*notice, envelope.from);
        }
        this->send_notices(outcome.decided);
    } else if (const auto* grants = envelope.body.Ascredit_grants()) {
        this->credits.receive(*grants, this->loop.now());
        if (grants->wants_all) {
            this->request_credits();
        } else {
            this->on_update({.credits_changed = true});
        }
    } else if (const auto* limit = envelope.body.Astarget_limit()) {
        if (this->limits.merge(*limit, this->loop.now())) {
            log_limit(*limit, envelope.from);
            this->on_update({.targets = {limit->target}});
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

void control_link::request_credits() {
    if (!this->credits.empty() && !this->leader.empty()) {
        this->peers.send(this->leader, this->credits.request(this->loop.now()));
    }
}

// What does not reach a control process is sent with everything else when it answers again.
template <typename News>
void control_link::send_news(const News& news) {
    for (auto& [address, known] : this->control_peers) {
        known.knows_news = this->peers.send(address, news) && known.knows_news;
    }
}

void control_link::note_connection(const std::string& address, control_peer& to) {
    std::uint64_t current = this->peers.connection_number(address);
    if (std::exchange(to.connection, current) != current) {
        to.knows_news = false;
        to.items_number = 0;  // a process that starts again under its id numbers its messages anew
        this->news_received = this->news_received && address != this->source;
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
    this->note_connection(pong.address, known);
    // The answer may have waited in a socket. It was made after the ping at the earliest.
    time_point stated_at = known.unanswered_since == time_point{} ? known.answered_at : known.unanswered_since;
    known.answered_at = now;
    known.received_at_answer = this->peers.received(pong.address).bytes;
    known.unanswered_since = time_point{};
    known.region_gateways = std::max(1U, pong.region_gateways);
    this->count_gateways(now);
    known.region = pong.region;
    known.applied = pong.applied;
    known.has_leader = pong.has_leader;
    if (pong.has_leader) {
        this->lag.stated(now, stated_at, pong.applied, this->items.applied());
    }
    known.silent = pong.silent;
    if (pong.has_leader && !pong.leader.empty()) {
        this->leader = pong.leader;
    }
    if (known.id != from || !known.is_reachable) {
        known.knows_news = false;
        this->news_received = this->news_received && pong.address != this->source;
    }
    if (known.id != from) {  // first answer, or another process has taken over the address
        this->address_by_id.erase(known.id);
        known.id = from;
        known.reports = {};
        this->address_by_id[from] = pong.address;
    }
    if (!known.is_reachable) {
        known.is_reachable = true;
        known.reachable_since = now;
        log_event("control_regained", field("control", pong.address), field("id", from),
                  field("has_leader", pong.has_leader));
    }
    if (this->source.empty()) {
        this->set_source(pong.address);
    } else if (this->must_ping_all_often(now)) {
        this->select_source(now);
    }
    this->update_gateways(now, pong);
    if (!known.knows_news) {
        this->send_all_news(pong.address, known);
    }
    this->news_received = this->news_received || (pong.sent_news && pong.address == this->source);
    for (const std::string& member : pong.members) {
        this->add_control_peer(member);
    }
}

// A process that has just become the source may not yet know of the gateways that ping others.
void control_link::update_gateways(time_point now, const wire::gateway_pong_t& pong) {
    gateway_list_copy& copy = this->control_peers.at(pong.address).gateways;
    if (pong.changes) {
        copy.apply(*pong.changes);
    }
    bool is_complete = this->known_gateways.empty() || now - this->source_selected_at >= gateways_hold;
    if (pong.address == this->source && is_complete && copy.version() != 0) {
        this->known_gateways = copy.entries();
    }
}

std::uint64_t control_link::received_since_answer(const std::string& address) const {
    auto known = this->control_peers.find(address);
    if (known == this->control_peers.end()) {
        return 0;
    }
    std::uint64_t bytes = this->peers.received(address).bytes;  // starts again with each connection
    return bytes - std::min(bytes, known->second.received_at_answer);
}

// The control process sends the next part then.
void control_link::acknowledge_items(const std::string& from, std::uint64_t number) {
    control_peer* known = this->find_control_peer(from);
    if (known == nullptr || number == 0) {
        return;
    }
    known->items_number = number;
    this->peers.send(this->address_by_id.at(from), ack_of(this->received_items.held(), known->items_number));
}

void control_link::on_items(const std::string& from, const wire::items_delta_t& delta) {
    std::uint64_t before = this->items.applied();
    items_result result = this->received_items.receive(delta);
    items_outcome outcome = result.outcome;
    this->metrics
        .counter("persimmongrade_items_deltas_total", "Messages with changes of items, received.",
                 {{"outcome", name_of(outcome)}})
        .Increment();
    bool is_refused = outcome == items_outcome::lacks_earlier || outcome == items_outcome::unreadable;
    if (is_refused && !this->lacks_earlier_items) {
        log_event("items_refused", field("from", from), field("base", delta.base), field("upto", delta.upto),
                  field("applied", before), field("outcome", name_of(outcome)));
    }
    this->lacks_earlier_items = is_refused;
    if (outcome != items_outcome::unreadable) {  // which would be sent again without end
        this->acknowledge_items(from, delta.number);
    }
    if (outcome == items_outcome::applied || outcome == items_outcome::stored) {
        this->items_progress_at = this->loop.now();
    }
    if (outcome == items_outcome::applied || result.has_announced) {
        this->put_in_force(from, before, result.applied_items, delta);
    }
}

void control_link::put_in_force(const std::string& from, std::uint64_t before, std::size_t item_count,
                                const wire::items_delta_t& delta) {
    this->lag.applied(this->items.applied());
    log_event("items_changed", field("from", from), field("index", this->items.applied()), field("before", before),
              field("items", item_count), field("evacuations", delta.evacuations.size()),
              field("departures", delta.departures.size()));
    control_update update;
    update.items_changed = item_count > 0 || !delta.evacuations.empty();
    for (const auto& departure : delta.departures) {
        if (this->targets.merge(*departure, this->loop.now()) != report_effect::none) {
            update.targets.push_back(departure->id);
        }
    }
    if (update.items_changed || !update.targets.empty()) {
        this->on_update(update);
    }
}

void control_link::on_reports(const std::string& from, const wire::target_reports_t& message) {
    if (control_peer* known = this->find_control_peer(from)) {
        known->reports.receive(message);
    }
    control_update update;
    time_point now = this->loop.now();
    std::size_t changed = 0;
    for (const auto& report : message.reports) {
        report_effect effect = this->targets.merge(*report, now);
        if (effect != report_effect::none) {
            update.targets.push_back(report->id);
        }
        changed += effect == report_effect::changed ? 1 : 0;
        if (effect == report_effect::changed && message.reports.size() <= max_logged_targets) {
            log_event("target", field("target", report->id), field("service", report->service),
                      field("address", report->address), field("phase", wire::EnumNametarget_phase(report->phase)),
                      field("silent", report->silent), field("started_at", report->started_at_ms),
                      field("sequence", report->sequence), field("warm_up_left_ms", report->warm_up_left_ms),
                      field("age_ms", report->age_ms));
        }
    }
    if (changed > 0 && message.reports.size() > max_logged_targets) {
        log_event("targets", field("changed", changed), field("reports", message.reports.size()),
                  field("full", message.full), field("from", from), field("known", this->targets.size()));
    }
    if (!update.targets.empty()) {
        this->on_update(update);
    }
}

}  // namespace persimmongrade
