// Use of capacity leases by an edge.

#include <algorithm>
#include <cmath>

#include "persimmongrade/capacity_lease.h"

namespace persimmongrade {

namespace {

constexpr duration ping_time_retention = ms(5000);    // a pong to an older ping carries nothing that is still valid
constexpr duration idle_share_retention = ms(60000);  // drops shares of targets that are gone
constexpr double demand_decay = 0.3;           // factor per ping; ended demand falls below 1% after four pings (1 s)
constexpr double steady_rate_tolerance = 0.3;  // relative; a rate that deviates less is smoothed over about 1 s
constexpr duration min_measurement_time = ms(200);  // shorter than the ping interval
constexpr double min_sample_s = 0.1;
constexpr double unchanged_rate_tolerance = 0.02;    // relative; a smaller change in a rate is not reported
constexpr double negligible_demand_fraction = 0.01;  // relative to the floor
// The bucket requested for one large claim is slightly larger than the claim.
constexpr double bucket_size_margin = 1.01;
constexpr duration concurrency_retry = ms(20);  // hint only: it is not known when a slot becomes free

bool nearly_equal(float value, float other, double tolerance) {
    return std::abs(value - other) <= tolerance * std::max(value, other);
}

wire::refusal_reason refusal_reason_for(const resource& subject) {
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
        this->floors_lent_until = granter_expiry(now, this->options.floor_loan_duration);
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

// A rate is measured over at least min_measurement_time. A ping before that can only raise it, because the few requests
// that arrive in a shorter time vary too much in number. The granter counts a demand that fluctuates randomly at its
// largest value until the next ping, and the excess over the mean is lost to the other edges. Small deviations are
// therefore smoothed over about 1 s.
double lease_holder::measure_rate(share& entry, double fraction, time_point now) {
    double seconds = std::max(min_sample_s, std::chrono::duration<double>(now - entry.measured_at).count());
    double demand = entry.unreported_demand / seconds;
    entry.reported_use = entry.used / seconds;
    bool complete = now >= entry.measured_at + min_measurement_time;
    if (!complete) {
        demand = std::max(demand, entry.wanted);
    } else if (std::abs(demand - entry.wanted) <= steady_rate_tolerance * entry.wanted) {
        demand = entry.wanted + std::min(1.0, seconds) * (demand - entry.wanted);
    }
    demand = std::max(demand, entry.largest_refused * bucket_size_margin / fraction);
    entry.largest_refused = 0;
    if (!complete) {
        return demand;
    }
    bool ended = entry.unreported_demand == 0 &&
                 entry.wanted * demand_decay < std::max(entry.floor, 1.0) * negligible_demand_fraction;
    entry.unreported_demand = 0;
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
    double demand = std::max(std::max(entry.used, entry.in_use) + entry.unreported_demand, entry.anticipated);
    entry.wanted = std::min(entry.limit, std::max(demand, entry.wanted * demand_decay));
    if (demand == 0 && entry.wanted < std::max(entry.floor, 1.0) * negligible_demand_fraction) {
        entry.wanted = 0;
    }
    entry.unreported_demand = 0;
    entry.anticipated = 0;
    entry.used = entry.in_use;
    entry.reported_use = entry.in_use;
}

// Lends out the floor of a rate that no request has claimed for floor_idle_time, so that other edges can lease it. The
// floor is usable again when the loan ends; until then the edge depends on leases.
bool lease_holder::lend_floor(const resource& subject, share& entry, time_point now) const {
    bool idle = !entry.ever_claimed || now >= entry.claimed_at + this->options.floor_idle_time;
    if (!is_rate(subject) || !idle) {
        return false;
    }
    advance(entry, now);
    entry.floor_lent_until = std::max(entry.floor_lent_until, granter_expiry(now, this->options.floor_loan_duration));
    entry.bucket.set_rate(lease_amount(entry, now), now);
    return true;
}

void lease_holder::drop_idle_shares(time_point now) {
    std::erase_if(this->shares, [&](const auto& item) {
        return !is_rate(item.first) && item.second.in_use == 0 && !item.second.is_reported &&
               item.second.base_amount == 0 && now >= item.second.claimed_at + idle_share_retention;
    });
    std::erase_if(this->ping_times, [&](const auto& item) { return now >= item.second + ping_time_retention; });
}

void lease_holder::anticipate(const resource& subject, double amount, time_point now) {
    share& entry = this->share_of(subject, now);
    entry.anticipated = amount;
    entry.claimed_at = now;
}

void lease_holder::prepare(wire::edge_ping_t& ping, time_point now) {
    this->drop_idle_shares(now);
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
    std::uint16_t rate_index = 0;
    for (auto& [subject, entry] : this->shares) {
        if (entry.limit == unlimited) {
            continue;
        }
        this->measure(entry, subject, now);
        this->list_demand(ping, subject, entry, is_rate(subject) ? rate_index++ : std::uint16_t{0}, now);
    }
    this->ping_times[ping.sequence] = now;
}

// Adds the demand to the ping unless the leader knows it already.
void lease_holder::list_demand(wire::edge_ping_t& ping, const resource& subject, share& entry, std::uint16_t rate_index,
                               time_point now) const {
    bool rate = is_rate(subject);
    wire::rate_demand demand(rate_index, this->lend_floor(subject, entry, now), static_cast<float>(entry.wanted),
                             static_cast<float>(entry.reported_use));
    bool present = rate || entry.wanted > 0 || entry.in_use > 0;  // an idle rate also gets a part of the spare capacity
    double tolerance = rate ? unchanged_rate_tolerance : 0;
    bool known = ping.base_sequence > 0 && entry.is_reported == present &&
                 (!present || (demand.floor_lent() == entry.reported_demand.floor_lent() &&
                               nearly_equal(demand.wanted(), entry.reported_demand.wanted(), tolerance) &&
                               nearly_equal(demand.used(), entry.reported_demand.used(), tolerance)));
    bool ended = ping.base_sequence > 0 && entry.is_reported && !present;
    if (known || (!present && !ended)) {
        entry.is_reported = present;
        return;
    }
    entry.is_reported = present;
    entry.reported_demand = demand;
    if (rate) {
        ping.rates.push_back(demand);
        return;
    }
    auto& is_reported = ping.demands.emplace_back(std::make_unique<wire::resource_demand_t>());
    is_reported->resource = std::make_unique<wire::resource_id_t>();
    is_reported->resource->kind = subject.kind;
    is_reported->resource->subject = subject.subject;
    is_reported->wanted = entry.wanted;
    is_reported->used = entry.reported_use;
    // A lease granted under an older revision may exceed the limits of this one.
    bool renewable = ping.base_sequence == 0 && entry.granted.revision == this->limits.revision();
    is_reported->held = renewable ? lease_amount(entry, now) : 0;
}

void lease_holder::receive(const wire::edge_pong_t& pong, time_point now) {
    auto position = this->ping_times.find(pong.sequence);
    if (position == this->ping_times.end() || pong.incarnation != this->incarnation) {
        return;
    }
    time_point sent_at = position->second;
    this->committed = std::max(this->committed, pong.committed_revision);
    if (pong.config_lease_ms > 0 && pong.committed_revision <= this->limits.revision()) {
        duration length = std::min(ms(pong.config_lease_ms), this->options.configuration_lease);
        this->configuration_lease_expires_at =
            std::max(this->configuration_lease_expires_at, holder_expiry(sent_at, length));
    }
    if (pong.term < this->answered_term ||
        (pong.term == this->answered_term && pong.sequence <= this->answered_sequence)) {
        return;
    }
    if (pong.base_sequence > 0 && (pong.base_sequence != this->answered_sequence || this->base_lost)) {
        return;  // the pong on which it is based was lost; the next ping is complete
    }
    this->answered_term = pong.term;
    this->answered_sequence = pong.sequence;
    this->demands_known = pong.demands_known;
    this->base_lost = pong.committed_revision != this->limits.revision();  // the indices of rates differ
    std::map<resource, double> changed;
    for (const auto& grant : pong.grants) {
        changed[{grant->resource->kind, grant->resource->subject}] = grant->amount;
    }
    std::uint16_t rate_index = 0;
    std::map<std::uint16_t, double> changed_rates;
    for (const auto& grant : pong.rate_grants) {
        changed_rates[grant.index()] = this->base_lost ? 0 : static_cast<double>(grant.amount());
    }
    duration rate_length = std::min(ms(pong.lease_ms), this->options.rate_lease);
    duration concurrency_length = std::min(ms(pong.concurrency_lease_ms), this->options.concurrency_lease);
    for (auto& [subject, entry] : this->shares) {
        if (entry.limit == unlimited) {
            continue;
        }
        advance(entry, now);
        double amount = pong.base_sequence > 0 ? entry.base_amount : 0;  // a pong replaces all earlier leases
        if (is_rate(subject)) {
            auto grant = changed_rates.find(rate_index++);
            amount = grant != changed_rates.end() ? grant->second : amount;
        } else if (auto grant = changed.find(subject); grant != changed.end()) {
            amount = grant->second;
        }
        entry.base_amount = amount;
        bool kept = is_rate(subject) ? pong.rates_kept : pong.concurrency_capped && !pong.demands_known;
        if (kept && amount == 0) {
            continue;  // a lease of an earlier leader stays valid until it expires
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
    return now < this->configuration_lease_expires_at;
}

// Nothing may be used without a configuration, because no limit is known.
bool lease_holder::is_permitted(time_point now, floor_use use) const noexcept {
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
    if (!this->is_permitted(now, use)) {
        return 0;
    }
    bool valid = this->configuration_valid(now);
    auto position = this->shares.find(subject);
    if (position == this->shares.end()) {
        return this->limits.floor(this->edges, this->edge, subject);
    }
    return floor_amount(position->second, now) + (valid ? lease_amount(position->second, now) : 0);
}

// Fills the bucket up to `now`, piecewise at the rate of each interval, because leases and floor loans end between
// calls.
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

void lease_holder::release(share& entry, const resource_claim& claim, time_point now) {
    if (entry.limit != unlimited && is_rate(claim.subject)) {
        entry.bucket.correct(-claim.amount, now, now);
    }
    if (!is_rate(claim.subject)) {
        entry.in_use = std::max(0.0, entry.in_use - claim.amount);
    }
}

// Demand counts on every claimed resource, also when another resource refused the request. `taken` tells whether this
// resource granted the claim.
void lease_holder::record_claim(share& entry, const resource_claim& claim, bool taken, bool admitted, bool repeated) {
    if (!is_rate(claim.subject)) {
        entry.used = std::max(entry.used, entry.in_use);
        entry.unreported_demand += taken || repeated ? 0 : claim.amount;
        return;
    }
    entry.unreported_demand += repeated ? 0 : claim.amount;
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
            entry.ever_claimed = true;
        }
    }
    if (!this->is_permitted(now, use)) {
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
        result.refused = refusal_reason_for(claim.subject);
        result.refused_by = claim.subject;
        result.retry_after = std::min(is_rate(claim.subject) ? entry.bucket.wait(claim.amount) : concurrency_retry,
                                      this->options.rate_lease);
    }
    for (const auto& claim : claims) {
        bool taken = result.refused_by != claim.subject;
        record_claim(this->share_of(claim.subject, now), claim, taken, static_cast<bool>(result), repeated);
    }
    if (!result) {
        for (const auto& claim : result.held) {
            release(this->share_of(claim.subject, now), claim, now);
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
            release(entry, claim, now);
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
