#include "control_link.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

#include "persimmongrade/event_log.h"

namespace persimmongrade {

namespace {

constexpr duration ping_interval = ms(300);
constexpr duration first_ping_interval = ms(60);  // until items are known: no request can be served before
constexpr duration source_silence = ms(700);      // two missed answers: changes must be in force within two seconds
constexpr duration source_lag = ms(900);          // several hundred items take less over a link of 5 Mbit/s
constexpr duration silence = ms(1000);            // three missed answers: the connection may be dead without a reset
constexpr duration member_memory = ms(15000);     // a control process that left the log is dropped after this

std::string gateway_id(const wire::fleet_settings_t& settings) {
    // Unique for each start, so that control processes keep nothing of an earlier one.
    return "gateway " + settings.front_address + " " + std::to_string(unix_time_ms()) + "." +
           std::to_string(::getpid());
}

}  // namespace

control_link::control_link(event_loop& loop, const wire::fleet_settings_t& given, metric_registry& metrics,
                           item_store& items, target_registry& targets,
                           std::function<void(const control_update&)> on_news)
    : loop(loop), settings(given), items(items), targets(targets), on_news(std::move(on_news)),
      peers(
          loop, given.cluster, gateway_id(given), ip_address::parse(given.peer_address), metrics,
          [this](const wire::envelope_t& envelope) { this->receive(envelope); }, quick_peers) {
    this->set_seeds(given.seeds);
    loop.every(ping_interval, [this] { this->ping_all(); });
    this->first_pings = loop.every(first_ping_interval, [this] {
        if (this->items.empty()) {
            this->ping_all();
        } else {
            this->loop.cancel(std::exchange(this->first_pings, 0));
        }
    });
}

void control_link::set_seeds(const std::vector<std::string>& http_addresses) {
    this->seeds.clear();
    for (const std::string& address : http_addresses) {
        this->seeds.insert(with_port(address, ip_address::parse(this->settings.peer_address).port));
    }
    for (const std::string& address : this->seeds) {
        this->add(address);
    }
}

void control_link::add(const std::string& address) {
    auto [place, added] = this->contacts.try_emplace(address);
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

unsigned control_link::gateways_in_region() const {
    unsigned most = 1;
    for (const auto& [address, known] : this->contacts) {
        most = std::max(most, known.region_gateways);
    }
    return most;
}

std::size_t control_link::answering(time_point now) const {
    return static_cast<std::size_t>(std::count_if(this->contacts.begin(), this->contacts.end(), [&](const auto& entry) {
        return entry.second.in_touch && now - entry.second.answered_at <= silence;
    }));
}

// All control processes hold the same items; one sends them, since links are slow. Another one takes its place when it
// is silent, or when it does not send what others know.
void control_link::choose_source(time_point now) {
    bool others_know_more = std::any_of(this->contacts.begin(), this->contacts.end(), [&](const auto& entry) {
        return entry.second.in_touch && entry.second.applied > this->items.applied();
    });
    if (!others_know_more) {
        this->behind_since = time_point{};
    } else if (this->behind_since == time_point{}) {
        this->behind_since = now;
    }
    auto current = this->contacts.find(this->source);
    bool silent = current == this->contacts.end() || now - current->second.answered_at > source_silence;
    bool behind = this->behind_since != time_point{} && now - this->behind_since > source_lag;
    if (!silent && !behind) {
        return;
    }
    const std::string before = this->source;
    std::uint64_t most = 0;
    for (const auto& [address, known] : this->contacts) {
        bool better = known.in_touch && address != before && now - known.answered_at <= source_silence &&
                      (this->source == before || known.applied > most);
        if (better) {
            this->source = address;
            most = known.applied;
        }
    }
    if (this->source != before) {
        this->behind_since = time_point{};
        log_event("items_source", field("before", before), field("control", this->source), field("silent", silent),
                  field("behind", behind), field("applied", this->items.applied()), field("known_there", most));
    }
}

std::vector<wire::gateway_info_t> control_link::gateways(time_point now) const {
    std::map<std::string, std::pair<std::size_t, const wire::gateway_info_t*>> votes;  // by address
    std::size_t voters = 0;
    for (const auto& [address, known] : this->contacts) {
        if (!known.in_touch || now - known.answered_at > silence) {
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

void control_link::ping(const std::string& address, contact& to) {
    wire::gateway_ping_t message;
    message.address = this->settings.front_address;
    message.region = this->settings.region;
    message.zone = this->settings.zone;
    message.serving = this->serving;
    message.applied = this->items.applied();
    message.reports_number = to.reports_number;
    message.gateways_version = to.gateways_version;
    message.wants_items = address == this->source;
    this->peers.send(address, message);
}

void control_link::ping_all() {
    time_point now = this->loop.now();
    std::vector<std::string> dropped;
    this->choose_source(now);
    for (auto& [address, known] : this->contacts) {
        bool silent = now - known.answered_at > silence;
        if (silent && known.in_touch) {
            known.in_touch = false;
            log_event("control_lost", field("control", address), field("silent_ms", (now - known.answered_at).count()));
        }
        if (silent && now - known.connected_at > silence) {
            known.connected_at = now;
            this->peers.remove_peer(address);
            this->peers.add_peer(address, ip_address::parse(address));
        }
        if (now - known.answered_at > member_memory && !this->seeds.contains(address) && this->answering(now) > 0) {
            dropped.push_back(address);
        }
        this->ping(address, known);
    }
    for (const std::string& address : dropped) {
        this->peers.remove_peer(address);
        this->contacts.erase(address);
    }
}

control_link::contact* control_link::contact_of(const std::string& id) {
    auto address = this->addresses.find(id);
    auto found = address == this->addresses.end() ? this->contacts.end() : this->contacts.find(address->second);
    return found == this->contacts.end() || found->second.id != id ? nullptr : &found->second;
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
            this->on_news({true, {}});
        }
    } else if (const auto* reports = envelope.body.Astarget_reports()) {
        this->on_reports(envelope.from, *reports);
    }
}

void control_link::on_pong(const std::string& from, const wire::gateway_pong_t& pong) {
    this->add(pong.address);
    contact& known = this->contacts.at(pong.address);
    time_point now = this->loop.now();
    known.answered_at = now;
    known.region_gateways = std::max(1U, pong.region_gateways);
    known.applied = pong.applied;
    if (this->source.empty()) {
        this->source = pong.address;
        this->ping(pong.address, known);
    }
    if (known.id != from) {  // the first answer, or another process at this address
        this->addresses.erase(known.id);
        known.id = from;
        known.reports_number = 0;
        known.gateways_version = 0;
        this->addresses[from] = pong.address;
    }
    if (pong.gateways_version != known.gateways_version) {
        known.gateways_version = pong.gateways_version;
        known.gateways.clear();
        for (const auto& gateway : pong.gateways) {
            known.gateways.push_back(*gateway);
        }
    }
    if (!known.in_touch) {
        known.in_touch = true;
        log_event("control_regained", field("control", pong.address), field("id", from),
                  field("has_leader", pong.has_leader));
    }
    for (const std::string& member : pong.members) {
        this->add(member);
    }
}

void control_link::on_reports(const std::string& from, const wire::target_reports_t& message) {
    if (contact* known = this->contact_of(from)) {
        if (message.full || message.number == known->reports_number + 1) {
            known->reports_number = message.number;
        }
    }
    control_update news;
    time_point now = this->loop.now();
    for (const auto& report : message.reports) {
        report_effect effect = this->targets.merge(*report, now);
        if (effect != report_effect::none) {
            news.targets.push_back(report->id);
        }
        if (effect == report_effect::changed) {
            log_event("target", field("target", report->id), field("service", report->service),
                      field("address", report->address), field("phase", wire::EnumNametarget_phase(report->phase)),
                      field("silent", report->silent), field("started_at", report->started_at_ms),
                      field("sequence", report->sequence), field("warm_up_left_ms", report->warm_up_left_ms),
                      field("age_ms", report->age_ms));
        }
    }
    if (!news.targets.empty()) {
        this->on_news(news);
    }
}

}  // namespace persimmongrade
