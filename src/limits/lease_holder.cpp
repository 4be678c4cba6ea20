// Edge's side of capacity leases.

#include <algorithm>
#include <cmath>

#include "persimmongrade/capacity_lease.h"

namespace persimmongrade {

namespace {

constexpr duration sent_kept = ms(5000);         // an answer to an older ping carries nothing that is still valid
constexpr duration idle_share_kept = ms(60000);  // targets that left
constexpr double demand_decay = 0.3;             // per ping; demand that ended is below 1% after four pings (1 s)
constexpr double steady_deviation = 0.3;         // relative; a rate that deviates less is averaged over about 1 s
constexpr duration measured_time = ms(200);      // below the period of pings
constexpr double shortest_sample_s = 0.1;
constexpr double unchanged_rate = 0.02;         // relative; a smaller change of a rate is not reported
constexpr double negligible_demand = 0.01;      // of the floor
constexpr double size_margin = 1.01;            // a bucket for one large claim is asked slightly larger than the claim
constexpr duration concurrency_retry = ms(20);  // hint; when a slot becomes free is not known

bool close(float value, float other, double tolerance) {
    return std::abs(value - other) <= tolerance * std::max(value, other);
}

wire::refusal_reason reason_for(const resource& subject) {
    switch (subject.kind) {
    case wire::resource_kind::region:
        return wire::refusal_reason::region_limit;
    case wire::resource_kind::link:
        return wire::refusal_reason::link_limit;
    case wire::resource_kind::slots:
        return wire::refusal_reason::slots_exhausted;
    case wire::resource_kind::connections:
        break;
    }
    return wire::refusal_reason::connections_exhausted;
}

}  // namespace

lease_holder::lease_holder(std::string edge, std::vector<std::string> edges, lease_options options)
    : edge(std::move(edge)), edges(std::move(edges)), options(options) {}

// ---- Configuration ----

void lease_holder::configure(const resource& subject, share& entry, time_point now) {
    entry.limit = this->limits.limit(subject);
    entry.floor = this->limits.floor(this->edges, this->edge, subject);
    if (is_rate(subject) && entry.limit != unlimited) {
        entry.bucket.set_burst_fraction(this->limits.burst(this->edges.size(), subject), now);
        entry.bucket.set_rate(floor_amount(entry, now) + lease_amount(entry, now), now);
    }
}

lease_holder::share& lease_holder::share_of(const resource& subject, time_point now) {
    auto [position, inserted] = this->shares.try_emplace(subject);
    if (inserted) {
        position->second.measured_at = now;
        position->second.claimed_at = now;
        position->second.floor_lent_until = is_rate(subject) ? this->floors_lent_until : time_point{};
        this->configure(subject, position->second, now);
    }
    return position->second;
}

void lease_holder::apply(const wire::configuration_t& configuration, time_point now) {
    if (configuration.revision <= this->limits.revision()) {
        return;
    }
    if (this->limits.revision() == 0) {
        this->floors_lent_until = granter_expiry(now, this->options.floor_loan);
        for (auto& [subject, entry] : this->shares) {
            entry.floor_lent_until = is_rate(subject) ? this->floors_lent_until : time_point{};
        }
    }
    this->base_lost = true;
    this->limits = limit_table(configuration);
    for (const auto& [subject, limit] : this->limits.rates()) {
        this->share_of(subject, now);
    }
    for (auto& [subject, entry] : this->shares) {
        advance(entry, now);
        if (this->limits.limit(subject) < entry.limit) {
            entry.lowered_at_revision = configuration.revision;
            entry.granted = lease{};
        }
        this->configure(subject, entry, now);
    }
}

// ---- Pings ----

// A rate is measured over at least `measured_time`; an early ping in between can only raise it, because few requests
// arrive in so short a time and their number varies much. The grant of a demand that varies by chance is counted at its
// largest value until the next ping, and what it exceeds the mean by is lost to the other edges. Therefore small
// deviations are averaged over about 1 s.
double lease_holder::measure_rate(share& entry, double fraction, time_point now) {
    double seconds = std::max(shortest_sample_s, std::chrono::duration<double>(now - entry.measured_at).count());
    double demand = entry.asked / seconds;
    entry.reported_use = entry.used / seconds;
    bool complete = now >= entry.measured_at + measured_time;
    if (!complete) {
        demand = std::max(demand, entry.wanted);
    } else if (std::abs(demand - entry.wanted) <= steady_deviation * entry.wanted) {
        demand = entry.wanted + std::min(1.0, seconds) * (demand - entry.wanted);
    }
    demand = std::max(demand, entry.largest_refused * size_margin / fraction);
    entry.largest_refused = 0;
    if (!complete) {
        return demand;
    }
    bool ended = entry.asked == 0 && entry.wanted * demand_decay < std::max(entry.floor, 1.0) * negligible_demand;
    entry.asked = 0;
    entry.used = 0;
    entry.measured_at = now;
    return ended ? 0 : std::max(demand, entry.wanted * demand_decay);
}

void lease_holder::measure(share& entry, const resource& subject, time_point now) const {
    if (is_rate(subject)) {
        double fraction = this->limits.burst(this->edges.size(), subject);
        entry.wanted = std::min(entry.limit, measure_rate(entry, fraction, now));
        return;
    }
    double demand = std::max(std::max(entry.used, entry.in_use) + entry.asked, entry.anticipated);
    entry.wanted = std::min(entry.limit, std::max(demand, entry.wanted * demand_decay));
    if (demand == 0 && entry.wanted < std::max(entry.floor, 1.0) * negligible_demand) {
        entry.wanted = 0;
    }
    entry.asked = 0;
    entry.anticipated = 0;
    entry.used = entry.in_use;
    entry.reported_use = entry.in_use;
}

// Lends the floor of a rate that no request claimed for a while, so that other edges can lease it. The floor comes back
// when the loan ends; until then the edge depends on leases.
bool lease_holder::lend_floor(const resource& subject, share& entry, time_point now) const {
    bool idle = !entry.claimed || now >= entry.claimed_at + this->options.floor_idle;
    if (!is_rate(subject) || !idle) {
        return false;
    }
    advance(entry, now);
    entry.floor_lent_until = std::max(entry.floor_lent_until, granter_expiry(now, this->options.floor_loan));
    entry.bucket.set_rate(lease_amount(entry, now), now);
    return true;
}

void lease_holder::forget_idle(time_point now) {
    std::erase_if(this->shares, [&](const auto& item) {
        return !is_rate(item.first) && item.second.in_use == 0 && !item.second.listed && item.second.base_amount == 0 &&
               now >= item.second.claimed_at + idle_share_kept;
    });
    std::erase_if(this->sent, [&](const auto& item) { return now >= item.second + sent_kept; });
}

void lease_holder::anticipate(const resource& subject, double amount, time_point now) {
    share& entry = this->share_of(subject, now);
    entry.anticipated = amount;
    entry.claimed_at = now;
}

void lease_holder::prepare(wire::edge_ping_t& ping, time_point now) {
    this->forget_idle(now);
    this->incarnation = ping.incarnation;
    ping.edge = this->edge;
    ping.sequence = this->next_sequence++;
    ping.applied_revision = this->limits.revision();
    ping.answered_sequence = this->answered_sequence;
    ping.answered_term = this->answered_term;
    bool previous_answered = this->answered_sequence + 1 == ping.sequence && this->demands_known;
    ping.base_sequence = previous_answered && !this->base_lost ? this->answered_sequence : 0;
    ping.demands.clear();
    ping.rates.clear();
    std::uint16_t place = 0;
    for (auto& [subject, entry] : this->shares) {
        if (entry.limit == unlimited) {
            continue;
        }
        this->measure(entry, subject, now);
        this->list_demand(ping, subject, entry, is_rate(subject) ? place++ : std::uint16_t{0}, now);
    }
    this->sent[ping.sequence] = now;
}

// Adds a demand that the leader does not know.
void lease_holder::list_demand(wire::edge_ping_t& ping, const resource& subject, share& entry, std::uint16_t place,
                               time_point now) const {
    bool rate = is_rate(subject);
    wire::rate_demand demand(place, this->lend_floor(subject, entry, now), static_cast<float>(entry.wanted),
                             static_cast<float>(entry.reported_use));
    bool present = rate || entry.wanted > 0 || entry.in_use > 0;  // an idle rate gets a part of the spare
    double tolerance = rate ? unchanged_rate : 0;
    bool known = ping.base_sequence > 0 && entry.listed == present &&
                 (!present || (demand.floor_lent() == entry.sent.floor_lent() &&
                               close(demand.wanted(), entry.sent.wanted(), tolerance) &&
                               close(demand.used(), entry.sent.used(), tolerance)));
    bool ended = ping.base_sequence > 0 && entry.listed && !present;
    if (known || (!present && !ended)) {
        entry.listed = present;
        return;
    }
    entry.listed = present;
    entry.sent = demand;
    if (rate) {
        ping.rates.push_back(demand);
        return;
    }
    auto& listed = ping.demands.emplace_back(std::make_unique<wire::resource_demand_t>());
    listed->resource = std::make_unique<wire::resource_id_t>();
    listed->resource->kind = subject.kind;
    listed->resource->subject = subject.subject;
    listed->wanted = entry.wanted;
    listed->used = entry.reported_use;
    // A lease of an older revision may exceed what fits the limits of this one.
    bool renewable = ping.base_sequence == 0 && entry.granted.revision == this->limits.revision();
    listed->held = renewable ? lease_amount(entry, now) : 0;
}

void lease_holder::receive(const wire::edge_pong_t& pong, time_point now) {
    auto position = this->sent.find(pong.sequence);
    if (position == this->sent.end() || pong.incarnation != this->incarnation) {
        return;
    }
    time_point sent_at = position->second;
    this->committed = std::max(this->committed, pong.committed_revision);
    if (pong.config_lease_ms > 0 && pong.committed_revision <= this->limits.revision()) {
        duration length = std::min(ms(pong.config_lease_ms), this->options.configuration_lease);
        this->configuration_until = std::max(this->configuration_until, holder_expiry(sent_at, length));
    }
    if (pong.term < this->answered_term ||
        (pong.term == this->answered_term && pong.sequence <= this->answered_sequence)) {
        return;
    }
    if (pong.base_sequence > 0 && (pong.base_sequence != this->answered_sequence || this->base_lost)) {
        return;  // the answer that it changes was lost; the next ping is complete
    }
    this->answered_term = pong.term;
    this->answered_sequence = pong.sequence;
    this->demands_known = pong.demands_known;
    this->base_lost = pong.committed_revision != this->limits.revision();  // places of rates differ
    std::map<resource, double> changed;
    for (const auto& grant : pong.grants) {
        changed[{grant->resource->kind, grant->resource->subject}] = grant->amount;
    }
    std::uint16_t place = 0;
    std::map<std::uint16_t, double> changed_rates;
    for (const auto& grant : pong.rate_grants) {
        changed_rates[grant.index()] = this->base_lost ? 0 : static_cast<double>(grant.amount());
    }
    duration rate_length = std::min(ms(pong.lease_ms), this->options.lease);
    duration concurrency_length = std::min(ms(pong.concurrency_lease_ms), this->options.concurrency_lease);
    for (auto& [subject, entry] : this->shares) {
        if (entry.limit == unlimited) {
            continue;
        }
        advance(entry, now);
        double amount = pong.base_sequence > 0 ? entry.base_amount : 0;  // an answer replaces all earlier leases
        if (is_rate(subject)) {
            auto grant = changed_rates.find(place++);
            amount = grant != changed_rates.end() ? grant->second : amount;
        } else if (auto grant = changed.find(subject); grant != changed.end()) {
            amount = grant->second;
        }
        entry.base_amount = amount;
        bool kept = is_rate(subject) ? pong.rates_kept : pong.concurrency_capped && !pong.demands_known;
        if (kept && amount == 0) {
            continue;  // a lease of an earlier leader is valid until it expires
        }
        if (!is_rate(subject) && pong.concurrency_capped) {
            amount = std::min(amount, lease_amount(entry, now));
        }
        duration length = is_rate(subject) ? rate_length : concurrency_length;
        bool usable = amount > 0 && pong.committed_revision >= entry.lowered_at_revision;
        entry.granted = usable ? lease{amount, pong.committed_revision, holder_expiry(sent_at, length)} : lease{};
        if (is_rate(subject)) {
            entry.bucket.set_rate(floor_amount(entry, now) + lease_amount(entry, now), now);
        }
    }
}

// ---- Use ----

bool lease_holder::configuration_valid(time_point now) const noexcept {
    return now < this->configuration_until;
}

// Without any configuration no limit is known, therefore nothing may be used.
bool lease_holder::permitted(time_point now, floor_use use) const noexcept {
    bool without = use == floor_use::without_configuration && this->limits.revision() > 0;
    return without || this->configuration_valid(now);
}

double lease_holder::lease_amount(const share& entry, time_point now) noexcept {
    return now < entry.granted.expires_at ? entry.granted.amount : 0;
}

double lease_holder::floor_amount(const share& entry, time_point now) noexcept {
    return now < entry.floor_lent_until ? 0 : entry.floor;
}

double lease_holder::usable(const resource& subject, time_point now, floor_use use) const {
    if (!this->permitted(now, use)) {
        return 0;
    }
    bool valid = this->configuration_valid(now);
    auto position = this->shares.find(subject);
    if (position == this->shares.end()) {
        return this->limits.floor(this->edges, this->edge, subject);
    }
    return floor_amount(position->second, now) + (valid ? lease_amount(position->second, now) : 0);
}

// Fills the bucket at the rate of each period up to now: leases and loans of the floor end between calls.
void lease_holder::advance(share& entry, time_point now) {
    if (entry.limit == unlimited) {
        return;
    }
    auto [first, second] = std::minmax(entry.floor_lent_until, entry.granted.expires_at);
    for (time_point end : {first, second}) {
        if (end != time_point{} && end <= now) {
            entry.bucket.set_rate(floor_amount(entry, end) + lease_amount(entry, end), end);
        }
    }
    if (entry.floor_lent_until <= now) {
        entry.floor_lent_until = time_point{};
    }
    if (entry.granted.expires_at <= now) {
        entry.granted = lease{};
    }
    entry.bucket.advance(now);
}

bool lease_holder::take(share& entry, const resource_claim& claim, time_point now) {
    advance(entry, now);
    if (entry.limit == unlimited) {
        return true;
    }
    if (is_rate(claim.subject)) {
        return entry.bucket.take(claim.amount, now);
    }
    if (entry.in_use + claim.amount > floor_amount(entry, now) + lease_amount(entry, now)) {
        return false;
    }
    entry.in_use += claim.amount;
    return true;
}

void lease_holder::give_back(share& entry, const resource_claim& claim, time_point now) {
    if (entry.limit != unlimited && is_rate(claim.subject)) {
        entry.bucket.correct(-claim.amount, now, now);
    }
    if (!is_rate(claim.subject)) {
        entry.in_use = std::max(0.0, entry.in_use - claim.amount);
    }
}

// Demand counts on every claimed resource, also when another one refused the request; `taken` is the answer of this
// one.
void lease_holder::note_claim(share& entry, const resource_claim& claim, bool taken, bool admitted, bool repeated) {
    if (!is_rate(claim.subject)) {
        entry.used = std::max(entry.used, entry.in_use);
        entry.asked += taken || repeated ? 0 : claim.amount;
        return;
    }
    entry.asked += repeated ? 0 : claim.amount;
    entry.used += admitted ? claim.amount : 0;
    if (!taken && claim.amount > entry.bucket.size()) {
        entry.largest_refused = std::max(entry.largest_refused, claim.amount);
    }
}

reservation_result lease_holder::reserve(std::span<const resource_claim> claims, time_point now, floor_use use,
                                         bool repeated) {
    reservation_result result;
    if (this->limits.revision() > 0) {
        for (const auto& claim : claims) {
            share& entry = this->share_of(claim.subject, now);
            entry.claimed_at = now;
            entry.claimed = true;
        }
    }
    if (!this->permitted(now, use)) {
        result.refused = wire::refusal_reason::configuration_lease_expired;
        return result;
    }
    for (const auto& claim : claims) {
        share& entry = this->share_of(claim.subject, now);
        if (!result) {
            continue;
        }
        if (take(entry, claim, now)) {
            result.held.push_back({claim.subject, claim.amount, now});
            continue;
        }
        result.refused = reason_for(claim.subject);
        result.refused_by = claim.subject;
        result.retry_after =
            std::min(is_rate(claim.subject) ? entry.bucket.wait(claim.amount) : concurrency_retry, this->options.lease);
    }
    for (const auto& claim : claims) {
        bool taken = result.refused_by != claim.subject;
        note_claim(this->share_of(claim.subject, now), claim, taken, static_cast<bool>(result), repeated);
    }
    if (!result) {
        for (const auto& claim : result.held) {
            give_back(this->share_of(claim.subject, now), claim, now);
        }
        result.held.clear();
    }
    return result;
}

void lease_holder::complete(std::span<const resource_claim> held, time_point now,
                            std::span<const resource_claim> actual) {
    for (const auto& claim : held) {
        share& entry = this->share_of(claim.subject, now);
        if (!is_rate(claim.subject)) {
            give_back(entry, claim, now);
        }
        for (const auto& sent : actual) {
            if (sent.subject == claim.subject && is_rate(claim.subject) && entry.limit != unlimited) {
                advance(entry, now);
                entry.bucket.correct(sent.amount - claim.amount, claim.reserved_at, now);
            }
        }
    }
}

void lease_holder::cancel(std::span<const resource_claim> held, time_point now) {
    this->complete(held, now);
}

double lease_holder::in_use(const resource& subject) const {
    auto position = this->shares.find(subject);
    return position == this->shares.end() ? 0 : position->second.in_use;
}

}  // namespace persimmongrade
