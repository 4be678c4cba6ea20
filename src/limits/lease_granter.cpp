// Granting of capacity leases by the leader.

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <numeric>

#include "persimmongrade/capacity_lease.h"

namespace persimmongrade {

namespace {

constexpr std::size_t max_remembered_pongs = 16;  // 4 s at one ping per 250 ms
constexpr std::size_t max_past_limits = 64;       // past limits kept for edges that may still use their floors
constexpr double demand_headroom = 1.25;  // factor on demand, so that a grant covers rising demand until the next ping
constexpr double scarce_headroom = 1.02;  // used instead when the limit does not cover demand_headroom for all edges
constexpr double reserved_spare_fraction = 0.5;  // of the spare capacity, not granted when the whole limit is needed
constexpr duration max_level_age = ms(20);       // an outdated level affects fairness but never exceeds the limit
constexpr double unit_tolerance = 1e-9;          // of one slot
constexpr double unchanged_grant_ratio = 1.01;   // a rate that would grow by a smaller factor is renewed unchanged

// Rounds down to a float, in which messages carry rates: edges must not receive more than the granter counts.
double round_down(double amount) {
    auto rounded = static_cast<float>(amount);
    return static_cast<double>(static_cast<double>(rounded) > amount ? std::nextafter(rounded, 0.0F) : rounded);
}

}  // namespace

lease_granter::lease_granter(std::vector<std::string> edges, lease_options options)
    : options(options), edge_ids(std::move(edges)), edges(this->edge_ids.size()) {
    for (std::size_t i = 0; i < this->edge_ids.size(); ++i) {
        this->edge_index.emplace(this->edge_ids[i], i);
    }
}

std::uint64_t lease_granter::revision() const noexcept {
    return this->current.revision();
}

// ---- Revisions and terms ----

void lease_granter::apply(const wire::configuration_t& configuration, time_point now, bool skipped) {
    if (this->has_revision && configuration.revision <= this->current.revision()) {
        return;
    }
    limit_table next(configuration);
    if (!this->has_revision || skipped) {
        // While its configuration lease lasts, an edge may use floors of a revision that this process does not know.
        time_point unknown_until = granter_expiry(now, this->options.configuration_lease);
        this->no_grants_until = std::max(this->no_grants_until, unknown_until);
        this->earlier_concurrency_leases_end_at = std::max(this->earlier_concurrency_leases_end_at, unknown_until);
    }
    if (this->has_revision && !this->current.same_limits(next)) {
        this->past.push_back({this->current, now});
        if (this->past.size() > max_past_limits) {
            this->past.erase(this->past.begin());
        }
        ++this->floors_version;
    }
    if (!this->has_revision) {
        ++this->floors_version;
    }
    this->has_revision = true;
    this->current = std::move(next);
    this->rate_order.clear();
    this->rate_indices.clear();
    for (const auto& [subject, limit] : this->current.rates()) {
        this->rate_indices.emplace(subject, static_cast<std::uint16_t>(this->rate_order.size()));
        this->rate_order.push_back(subject);
    }
    this->drop_unused_past_limits(now);
}

void lease_granter::become_leader(std::uint64_t term, time_point now) {
    this->term = term;
    this->is_leader = true;
    this->no_grants_until = std::max(this->no_grants_until, granter_expiry(now, this->options.rate_lease));
    this->earlier_concurrency_leases_end_at =
        std::max(this->earlier_concurrency_leases_end_at, granter_expiry(now, this->options.concurrency_lease));
    this->accounts_by_resource.clear();
    std::fill(this->edges.begin(), this->edges.end(), edge_entry{});
    ++this->floors_version;
}

void lease_granter::step_down() noexcept {
    this->is_leader = false;
}

// ---- Floors of past revisions ----

// Tells whether the edge may still use floors of the past limits. Every configuration lease on them was granted before
// they were superseded here, by this leader or by an earlier one: an earlier leader committed the newer revision no
// later than this process applied it.
bool lease_granter::past_limits_in_use(const past_limits& past, const edge_entry& edge, time_point now) const {
    if (edge.acknowledged_revision > past.limits.revision()) {
        return false;
    }
    return past.limits.floors_outlive_configuration() ||
           now < granter_expiry(past.superseded_at, this->options.configuration_lease);
}

void lease_granter::drop_unused_past_limits(time_point now) {
    auto unused = [&](const past_limits& entry) {
        return std::none_of(this->edges.begin(), this->edges.end(),
                            [&](const edge_entry& edge) { return this->past_limits_in_use(entry, edge, now); });
    };
    if (std::erase_if(this->past, unused) > 0) {
        ++this->floors_version;
    }
}

void lease_granter::refresh_floors(const resource& subject, resource_accounts& shares) {
    if (shares.floors_version == this->floors_version) {
        return;
    }
    std::fill(shares.cached_above_floor.begin(), shares.cached_above_floor.end(), timed_amount{});
    shares.floors = this->current.floors(this->edge_ids, subject);
    for (const auto& past : this->past) {
        if (past.limits.limit(subject) == unlimited) {
            continue;  // the resource was unlimited then, which no finite floor can represent
        }
        std::vector<double> floors = past.limits.floors(this->edge_ids, subject);
        for (std::size_t i = 0; i < floors.size(); ++i) {
            if (this->edges[i].acknowledged_revision <= past.limits.revision()) {
                shares.floors[i] = std::max(shares.floors[i], floors[i]);
            }
        }
    }
    shares.floors_version = this->floors_version;
}

// ---- Answering ----

std::size_t lease_granter::index_of(std::string_view edge) const {
    auto position = this->edge_index.find(edge);
    if (position == this->edge_index.end()) {
        throw unknown_edge_error("edge \"" + std::string(edge) + "\" is not in the list of edges");
    }
    return position->second;
}

// Returns false for a ping that is a duplicate, was overtaken by a later one, or comes from an earlier incarnation.
bool lease_granter::accept_ping(std::size_t index, const wire::edge_ping_t& ping, time_point now) {
    edge_entry& edge = this->edges[index];
    if (ping.incarnation < edge.incarnation) {
        return false;
    }
    this->invalidate_above_floor(index);
    if (ping.incarnation > edge.incarnation) {
        this->orphan_grants(index, now);
        edge.incarnation = ping.incarnation;
        edge.last_sequence = 0;
        edge.known_sequence = 0;
        edge.acknowledged_revision = 0;
        edge.pongs.clear();
        ++this->floors_version;
    }
    if (ping.sequence <= edge.last_sequence) {
        return false;
    }
    edge.last_sequence = ping.sequence;
    edge.last_ping_at = now;
    edge.has_pinged = true;
    if (ping.applied_revision > edge.acknowledged_revision) {
        edge.acknowledged_revision = ping.applied_revision;
        this->floors_version += this->past.empty() ? 0 : 1;
    }
    return true;
}

// Requests in flight of an ended incarnation may still occupy slots, and no ping will report when they end.
void lease_granter::orphan_grants(std::size_t edge, time_point now) {
    for (auto& [subject, shares] : this->accounts_by_resource) {
        account& entry = shares.accounts[edge];
        for (auto& old : entry.grants) {
            old.orphaned = true;
        }
        if (entry.used > 0 && !is_rate(subject)) {
            entry.grants.push_back({std::max(0.0, entry.used - shares.floors[edge]), 0, now, true});
        }
        entry.used = 0;
        entry.wanted = 0;
        entry.held = 0;
        entry.reported_sequence = 0;
    }
}

// Returns the newest pong of this leader that the edge had applied before it sent this ping.
std::optional<lease_granter::sent_pong> lease_granter::newest_applied_pong(const edge_entry& edge,
                                                                           const wire::edge_ping_t& ping) const {
    if (ping.answered_term != this->term) {
        return std::nullopt;
    }
    for (const auto& pong : edge.pongs) {
        if (pong.sequence == ping.answered_sequence) {
            return pong;
        }
    }
    return std::nullopt;
}

// Drops grants that the edge has replaced by applying a newer pong, or that had expired before it. Requests in flight
// that were admitted under them are included in the use that the same ping reports.
void lease_granter::drop_replaced_grants(std::size_t edge, const wire::edge_ping_t& ping) {
    edge_entry& entry = this->edges[edge];
    std::optional<sent_pong> seen = this->newest_applied_pong(entry, ping);
    if (!seen) {
        return;
    }
    entry.is_use_known =
        entry.is_use_known || seen->complete || seen->sent_at >= this->earlier_concurrency_leases_end_at;
    for (auto& [subject, shares] : this->accounts_by_resource) {
        std::erase_if(shares.accounts[edge].grants, [&](const grant& old) {
            return !old.orphaned && (old.sequence < ping.answered_sequence || old.counted_until <= seen->sent_at);
        });
    }
}

void lease_granter::record_demand(std::size_t edge, const resource& subject, const wire::rate_demand& demand,
                                  const wire::edge_ping_t& ping) {
    if (this->current.limit(subject) == unlimited) {
        return;
    }
    account& entry = this->accounts_of(subject).accounts[edge];
    entry.wanted = static_cast<double>(demand.wanted());
    entry.used = static_cast<double>(demand.used());
    entry.floor_lent = demand.floor_lent();
    bool present = is_rate(subject) || entry.wanted > 0 || entry.used > 0;
    entry.reported_sequence = present ? ping.sequence : 0;
}

// In a ping with a base sequence, demands that are not listed are unchanged since the base.
void lease_granter::record_demands(std::size_t edge, const wire::edge_ping_t& ping) {
    for (auto& [subject, shares] : this->accounts_by_resource) {
        account& entry = shares.accounts[edge];
        bool unchanged = ping.base_sequence > 0 && entry.reported_sequence == ping.base_sequence;
        entry.reported_sequence = unchanged ? ping.sequence : 0;
        entry.sent_amount = ping.base_sequence > 0 ? entry.sent_amount : 0;
        entry.held = ping.base_sequence > 0 ? entry.held : 0;
    }
    for (const auto& demand : ping.demands) {
        resource subject{demand->resource->kind, demand->resource->subject};
        this->record_demand(edge, subject,
                            {0, false, static_cast<float>(demand->wanted), static_cast<float>(demand->used)}, ping);
        if (ping.base_sequence == 0 && this->accounts_by_resource.contains(subject)) {
            this->accounts_by_resource[subject].accounts[edge].held = demand->held;
        }
    }
    bool same_rate_order = ping.applied_revision == this->current.revision();
    for (const auto& demand : ping.rates) {
        if (same_rate_order && demand.index() < this->rate_order.size()) {
            this->record_demand(edge, this->rate_order[demand.index()], demand, ping);
        }
    }
    this->edges[edge].known_sequence = same_rate_order ? ping.sequence : 0;
    std::optional<sent_pong> seen = this->newest_applied_pong(this->edges[edge], ping);
    for (auto& [subject, shares] : this->accounts_by_resource) {
        account& entry = shares.accounts[edge];
        if (seen && entry.floor_lent && entry.reported_sequence == ping.sequence) {
            // The edge sent this ping after it had received that pong.
            entry.floor_lent_until =
                std::max(entry.floor_lent_until, holder_expiry(seen->sent_at, this->options.floor_loan_duration));
        }
    }
}

wire::edge_pong_t lease_granter::answer(const wire::edge_ping_t& ping, time_point now) {
    std::size_t index = this->index_of(ping.edge);
    edge_entry& edge = this->edges[index];
    wire::edge_pong_t pong;
    pong.sequence = ping.sequence;
    pong.incarnation = ping.incarnation;
    pong.term = this->term;
    pong.committed_revision = this->current.revision();
    pong.lease_ms = static_cast<std::uint32_t>(this->options.rate_lease.count());
    pong.concurrency_lease_ms = static_cast<std::uint32_t>(this->options.concurrency_lease.count());
    this->drop_unused_past_limits(now);
    pong.rates_kept = now < this->no_grants_until;
    pong.concurrency_capped = !this->is_concurrency_known(now);
    if (!this->is_leader || !this->accept_ping(index, ping, now)) {
        return pong;
    }
    bool base_known = ping.answered_term == this->term && ping.base_sequence == edge.known_sequence;
    if (ping.base_sequence > 0 && !base_known) {
        return pong;  // without `demands_known` in the pong, the next ping is complete
    }
    this->drop_replaced_grants(index, ping);
    this->record_demands(index, ping);
    pong.concurrency_capped = !this->is_concurrency_known(now);
    edge.pongs.push_back({ping.sequence, now});
    if (edge.pongs.size() > max_remembered_pongs) {
        edge.pongs.erase(edge.pongs.begin());
    }
    if (ping.applied_revision != this->current.revision()) {
        return pong;  // the edge does not know the committed configuration
    }
    pong.config_lease_ms = static_cast<std::uint32_t>(this->options.configuration_lease.count());
    pong.demands_known = true;
    pong.base_sequence = ping.base_sequence;
    edge.pongs.back().complete = true;
    this->add_grants(index, ping, pong, now);
    return pong;
}

// Lists the grants that differ from the base; grants that are not listed are renewed.
void lease_granter::add_grants(std::size_t edge, const wire::edge_ping_t& ping, wire::edge_pong_t& pong,
                               time_point now) {
    for (auto& [subject, shares] : this->accounts_by_resource) {
        account& entry = shares.accounts[edge];
        bool reported = entry.reported_sequence == ping.sequence;
        double amount = reported ? std::max(0.0, this->grant_amount(subject, shares, edge, now)) : 0;
        if (is_rate(subject)) {
            bool unchanged = entry.sent_amount <= amount && amount <= entry.sent_amount * unchanged_grant_ratio;
            amount = unchanged ? entry.sent_amount : round_down(amount);
        }
        if (amount > 0) {
            entry.grants.push_back({amount, ping.sequence, granter_expiry(now, this->lease_duration(subject))});
            shares.cached_above_floor[edge] = {};
        }
        if (amount == entry.sent_amount) {
            continue;
        }
        entry.sent_amount = amount;
        if (is_rate(subject)) {
            auto rate_index = this->rate_indices.find(subject);
            if (rate_index != this->rate_indices.end()) {
                pong.rate_grants.emplace_back(rate_index->second, static_cast<float>(amount));
            }
            continue;
        }
        auto& sent = pong.grants.emplace_back(std::make_unique<wire::lease_grant_t>());
        sent->resource = std::make_unique<wire::resource_id_t>();
        sent->resource->kind = subject.kind;
        sent->resource->subject = subject.subject;
        sent->amount = amount;
        sent->duration_ms = pong.concurrency_lease_ms;
    }
}

// ---- Amounts ----

duration lease_granter::lease_duration(const resource& subject) const {
    return is_rate(subject) ? this->options.rate_lease : this->options.concurrency_lease;
}

lease_granter::resource_accounts& lease_granter::accounts_of(const resource& subject) {
    resource_accounts& shares = this->accounts_by_resource[subject];
    if (shares.accounts.empty()) {
        shares.accounts.resize(this->edge_ids.size());
        shares.cached_above_floor.resize(this->edge_ids.size());
    }
    this->refresh_floors(subject, shares);
    return shares;
}

// Floor of an edge that counts against the limit. A lent floor counts again as soon as the edge may use it before a
// lease granted now has expired. The floor of an edge that may still use past limits always counts, because a grant
// under lower limits guarantees that all use fits them.
double lease_granter::floor_in_use(const resource_accounts& shares, std::size_t edge, time_point now) const {
    bool lent = granter_expiry(now, this->options.rate_lease) <= shares.accounts[edge].floor_lent_until;
    bool current = this->past.empty() || this->edges[edge].acknowledged_revision > this->past.back().limits.revision();
    return lent && current ? 0 : shares.floors[edge];
}

double lease_granter::floors_in_use(const resource_accounts& shares, time_point now) const {
    time_point leases_end = granter_expiry(now, this->options.rate_lease);
    double result = 0;
    for (std::size_t i = 0; i < shares.accounts.size(); ++i) {
        bool counts = shares.accounts[i].floor_lent_until < leases_end;
        result += counts ? shares.floors[i] : this->floor_in_use(shares, i, now);
    }
    return result;
}

// Amount that an edge may use or occupy above its counted floor. A slot taken just before a lease expired stays
// occupied until the edge reports otherwise, or until the longest request must have ended.
lease_granter::timed_amount lease_granter::compute_above_floor(const resource& subject, const resource_accounts& shares,
                                                               std::size_t edge, time_point now) const {
    const account& entry = shares.accounts[edge];
    duration hold = is_rate(subject) ? ms(0) : this->options.max_request_duration;
    timed_amount result{0, now, time_point::max()};
    for (const auto& granted : entry.grants) {
        if (now < granted.counted_until + hold) {
            result.amount = std::max(result.amount, granted.amount);
            result.until = std::min(result.until, granted.counted_until + hold);
        }
    }
    const edge_entry& state = this->edges[edge];
    bool reported =
        state.has_pinged && entry.reported_sequence == state.last_sequence && now < state.last_ping_at + hold;
    if (reported) {
        result.amount = std::max(result.amount, entry.used - shares.floors[edge]);
        result.until = std::min(result.until, state.last_ping_at + hold);
    }
    return result;
}

// Cached form of compute_above_floor(). Every answer adds this up over all edges for each resource, while the amount of
// an edge changes only with its own pings, with the floors, and when a grant expires. The sum itself is not cached,
// because incremental corrections would accumulate rounding errors.
double lease_granter::above_floor(const resource& subject, resource_accounts& shares, std::size_t edge,
                                  time_point now) const {
    timed_amount& cached = shares.cached_above_floor[edge];
    if (now < cached.from || now >= cached.until) {
        cached = this->compute_above_floor(subject, shares, edge, now);
    }
    return cached.amount;
}

// Must be called before any change to the inputs of above_floor(), apart from the floors.
void lease_granter::invalidate_above_floor(std::size_t edge) {
    for (auto& [subject, shares] : this->accounts_by_resource) {
        shares.cached_above_floor[edge] = {};
    }
}

// Demand of an edge above its floor; 0 for an edge that has not pinged for one lease.
double lease_granter::need(const resource& subject, const resource_accounts& shares, std::size_t edge,
                           time_point now) const {
    const account& entry = shares.accounts[edge];
    const edge_entry& state = this->edges[edge];
    if (!state.has_pinged || entry.reported_sequence != state.last_sequence ||
        now >= state.last_ping_at + this->options.rate_lease) {
        return 0;
    }
    if (!is_rate(subject)) {
        return std::max(0.0, std::ceil(entry.wanted) - this->floor_in_use(shares, edge, now));
    }
    return std::max(0.0, entry.wanted * shares.headroom * fill_margin - this->floor_in_use(shares, edge, now));
}

// Divides the amount above the floors by max-min fairness: small demands are met in full, the others get equal shares.
void lease_granter::refresh_level(const resource& subject, resource_accounts& shares, double divisible,
                                  time_point now) const {
    if (shares.level_computed_at && now >= *shares.level_computed_at &&
        now < *shares.level_computed_at + max_level_age) {
        return;
    }
    std::vector<double> needs(shares.accounts.size());
    double total = 0;
    for (double headroom : {demand_headroom, scarce_headroom}) {
        shares.headroom = headroom;
        for (std::size_t i = 0; i < needs.size(); ++i) {
            needs[i] = this->need(subject, shares, i, now);
        }
        total = std::accumulate(needs.begin(), needs.end(), 0.0);
        if (total <= divisible) {
            break;
        }
    }
    std::sort(needs.begin(), needs.end());
    shares.level = unlimited;
    // An unused limit is granted in full, as static shares would be. The more of it is in use, the more is held back
    // for demand that rises at a single edge.
    double granted_part = 1 - reserved_spare_fraction * std::min(1.0, total / std::max(divisible, 1e-9));
    shares.spare = std::max(0.0, divisible - total) * granted_part / static_cast<double>(needs.size());
    double left = divisible;
    for (std::size_t i = 0; total > divisible && i < needs.size(); ++i) {
        double equal = left / static_cast<double>(needs.size() - i);
        if (needs[i] > equal) {
            shares.level = std::max(0.0, equal);
            break;
        }
        left -= needs[i];
    }
    shares.level_computed_at = now;
}

// Allocates whole slots in rounds, one to each edge that needs more, starting at an edge that differs by resource.
// Slots that no edge needs go to the edges with demand in the same way.
double lease_granter::allocate_whole_units(const resource& subject, const resource_accounts& shares, std::size_t edge,
                                           double divisible, time_point now) const {
    std::size_t count = shares.accounts.size();
    std::vector<double> needs(count);
    for (std::size_t i = 0; i < count; ++i) {
        needs[i] = this->need(subject, shares, i, now);
    }
    std::vector<double> given(count, 0.0);
    std::size_t first = XXH64(subject.subject.data(), subject.subject.size(), 1) % count;
    auto left = static_cast<std::int64_t>(std::floor(divisible + unit_tolerance));
    for (bool spare : {false, true}) {
        for (bool progress = true; progress && left > 0;) {
            progress = false;
            for (std::size_t k = 0; k < count && left > 0; ++k) {
                std::size_t i = (first + k) % count;
                if (needs[i] > 0 && (spare || given[i] < needs[i])) {
                    given[i] += 1;
                    --left;
                    progress = true;
                }
            }
        }
    }
    return given[edge];
}

double lease_granter::allocation(const resource& subject, resource_accounts& shares, std::size_t edge, double divisible,
                                 time_point now) const {
    if (!is_rate(subject)) {
        return this->allocate_whole_units(subject, shares, edge, divisible, now);
    }
    this->refresh_level(subject, shares, divisible, now);
    double need = this->need(subject, shares, edge, now);
    return std::min(shares.level, need + shares.spare);
}

double lease_granter::grant_amount(const resource& subject, resource_accounts& shares, std::size_t edge,
                                   time_point now) {
    double limit = this->current.limit(subject);
    if (limit == unlimited || (is_rate(subject) && now < this->no_grants_until)) {
        return 0;
    }
    if (!is_rate(subject) && !this->is_concurrency_known(now)) {
        // All leases of earlier leaders were granted before this term. Together with the floors and all use they fit
        // the limit, and an edge only renews what it still holds of them. Leases of rates are not renewed, because some
        // of them depend on lent floors.
        return std::min(shares.accounts[edge].held, limit);
    }
    this->refresh_floors(subject, shares);
    duration hold = is_rate(subject) ? ms(0) : this->options.max_request_duration;
    std::erase_if(shares.accounts[edge].grants, [&](const grant& old) { return now >= old.counted_until + hold; });
    double divisible = limit - this->floors_in_use(shares, now);
    double room = divisible;
    for (std::size_t i = 0; i < shares.accounts.size(); ++i) {
        room -= i == edge ? 0 : this->above_floor(subject, shares, i, now);
    }
    double amount = std::min(this->allocation(subject, shares, edge, divisible, now), room);
    return is_rate(subject) ? amount : std::floor(amount + unit_tolerance);
}

// Slots taken under leases of an earlier leader are known once every edge has reported its use after grants of this
// leader replaced those leases, or once the longest request admitted under them must have ended.
bool lease_granter::is_concurrency_known(time_point now) const {
    if (now >= this->earlier_concurrency_leases_end_at + this->options.max_request_duration) {
        return true;
    }
    return std::all_of(this->edges.begin(), this->edges.end(),
                       [](const edge_entry& edge) { return edge.is_use_known; });
}

double lease_granter::counted_amount(const resource& subject, time_point now) {
    resource_accounts& shares = this->accounts_of(subject);
    double result = this->floors_in_use(shares, now);
    for (std::size_t i = 0; i < shares.accounts.size(); ++i) {
        result += this->above_floor(subject, shares, i, now);
    }
    return result;
}

std::vector<resource_use> lease_granter::rate_uses(time_point now) {
    std::vector<resource_use> uses;
    for (const auto& [subject, limit] : this->current.rates()) {
        resource_use use{subject, limit, 0, this->counted_amount(subject, now)};
        const resource_accounts& shares = this->accounts_by_resource[subject];
        for (std::size_t i = 0; i < shares.accounts.size(); ++i) {
            const edge_entry& edge = this->edges[i];
            bool current = edge.has_pinged && now < edge.last_ping_at + this->options.rate_lease &&
                           shares.accounts[i].reported_sequence == edge.last_sequence;
            use.used += current ? shares.accounts[i].used : 0;
        }
        uses.push_back(std::move(use));
    }
    return uses;
}

}  // namespace persimmongrade
