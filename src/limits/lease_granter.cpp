// Leader's side of capacity leases.

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <numeric>

#include "persimmongrade/capacity_lease.h"

namespace persimmongrade {

namespace {

constexpr std::size_t remembered_pongs = 16;   // 4 s at one ping per 250 ms
constexpr std::size_t remembered_limits = 64;  // distinct limit sets kept for edges that may still use their floors
constexpr double demand_headroom = 1.25;       // a share follows rising demand for one ping interval
constexpr double scarce_headroom = 1.02;       // when the limit does not cover the wider headroom
constexpr double spare_part_kept = 0.5;        // of the spare, when all of the limit is needed
constexpr duration level_age = ms(20);         // fairness, not safety, depends on the age of the level
constexpr double unit_tolerance = 1e-9;        // of one slot
constexpr double unchanged_grant = 1.01;       // a rate that could grow by less is renewed as it is

// Messages carry rates as float; the sum of what edges receive must not exceed what is counted.
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
    if (this->any_revision && configuration.revision <= this->current.revision()) {
        return;
    }
    limit_table next(configuration);
    if (!this->any_revision || skipped) {
        // An edge may use floors of a revision that this process does not know while its configuration lease lasts.
        time_point unknown_until = granter_expiry(now, this->options.configuration_lease);
        this->no_grants_until = std::max(this->no_grants_until, unknown_until);
        this->earlier_slots_end_at = std::max(this->earlier_slots_end_at, unknown_until);
    }
    if (this->any_revision && !this->current.same_limits(next)) {
        this->past.push_back({this->current, now});
        if (this->past.size() > remembered_limits) {
            this->past.erase(this->past.begin());
        }
        ++this->floors_version;
    }
    if (!this->any_revision) {
        ++this->floors_version;
    }
    this->any_revision = true;
    this->current = std::move(next);
    this->rate_order.clear();
    this->places.clear();
    for (const auto& [subject, limit] : this->current.rates()) {
        this->places.emplace(subject, static_cast<std::uint16_t>(this->rate_order.size()));
        this->rate_order.push_back(subject);
    }
    this->forget_past(now);
}

void lease_granter::become_leader(std::uint64_t term, time_point now) {
    this->term = term;
    this->is_leader = true;
    this->no_grants_until = std::max(this->no_grants_until, granter_expiry(now, this->options.lease));
    this->earlier_slots_end_at =
        std::max(this->earlier_slots_end_at, granter_expiry(now, this->options.concurrency_lease));
    this->books.clear();
    std::fill(this->edges.begin(), this->edges.end(), edge_entry{});
    ++this->floors_version;
}

void lease_granter::step_down() noexcept {
    this->is_leader = false;
}

// ---- Floors of past revisions ----

// Every configuration lease on these limits was granted before they were superseded here, by this leader or by an
// earlier one, which committed the newer revision no later than this process applied it.
bool lease_granter::past_counts(const past_limits& past, const edge_entry& edge, time_point now) const {
    if (edge.acknowledged_revision > past.limits.revision()) {
        return false;
    }
    return past.limits.floors_outlive_configuration() ||
           now < granter_expiry(past.superseded_at, this->options.configuration_lease);
}

void lease_granter::forget_past(time_point now) {
    auto unused = [&](const past_limits& entry) {
        return std::none_of(this->edges.begin(), this->edges.end(),
                            [&](const edge_entry& edge) { return this->past_counts(entry, edge, now); });
    };
    if (std::erase_if(this->past, unused) > 0) {
        ++this->floors_version;
    }
}

void lease_granter::refresh_floors(const resource& subject, share_book& shares) {
    if (shares.floors_version == this->floors_version) {
        return;
    }
    std::fill(shares.above.begin(), shares.above.end(), timed_amount{});
    shares.floors = this->current.floors(this->edge_ids, subject);
    for (const auto& past : this->past) {
        if (past.limits.limit(subject) == unlimited) {
            continue;  // nothing was limited then, and no finite floor describes it
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

// False for a ping that is a duplicate, was overtaken, or comes from an earlier incarnation.
bool lease_granter::note_ping(std::size_t index, const wire::edge_ping_t& ping, time_point now) {
    edge_entry& edge = this->edges[index];
    if (ping.incarnation < edge.incarnation) {
        return false;
    }
    this->forget_above_floor(index);
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
    edge.heard = true;
    if (ping.applied_revision > edge.acknowledged_revision) {
        edge.acknowledged_revision = ping.applied_revision;
        this->floors_version += this->past.empty() ? 0 : 1;
    }
    return true;
}

// What an incarnation that ended had in flight may still occupy slots, and no ping will report its end.
void lease_granter::orphan_grants(std::size_t edge, time_point now) {
    for (auto& [subject, shares] : this->books) {
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

// The newest answer of this leader that the edge had applied before it sent this ping.
std::optional<lease_granter::sent_pong> lease_granter::answer_seen(const edge_entry& edge,
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

// The edge has applied a newer answer, which replaced these grants, or had seen them expire; what it still has in
// flight because of them is in the use that the same ping reports.
void lease_granter::drop_replaced_grants(std::size_t edge, const wire::edge_ping_t& ping) {
    edge_entry& entry = this->edges[edge];
    std::optional<sent_pong> seen = this->answer_seen(entry, ping);
    if (!seen) {
        return;
    }
    entry.use_known = entry.use_known || seen->complete || seen->sent_at >= this->earlier_slots_end_at;
    for (auto& [subject, shares] : this->books) {
        std::erase_if(shares.accounts[edge].grants, [&](const grant& old) {
            return !old.orphaned && (old.sequence < ping.answered_sequence || old.counted_until <= seen->sent_at);
        });
    }
}

void lease_granter::note_demand(std::size_t edge, const resource& subject, const wire::rate_demand& demand,
                                const wire::edge_ping_t& ping) {
    if (this->current.limit(subject) == unlimited) {
        return;
    }
    account& entry = this->book(subject).accounts[edge];
    entry.wanted = static_cast<double>(demand.wanted());
    entry.used = static_cast<double>(demand.used());
    entry.floor_lent = demand.floor_lent();
    bool present = is_rate(subject) || entry.wanted > 0 || entry.used > 0;
    entry.reported_sequence = present ? ping.sequence : 0;
}

// Demands that a ping with a base does not list are as they were in the base.
void lease_granter::note_demands(std::size_t edge, const wire::edge_ping_t& ping) {
    for (auto& [subject, shares] : this->books) {
        account& entry = shares.accounts[edge];
        bool unchanged = ping.base_sequence > 0 && entry.reported_sequence == ping.base_sequence;
        entry.reported_sequence = unchanged ? ping.sequence : 0;
        entry.sent_amount = ping.base_sequence > 0 ? entry.sent_amount : 0;
        entry.held = ping.base_sequence > 0 ? entry.held : 0;
    }
    for (const auto& demand : ping.demands) {
        resource subject{demand->resource->kind, demand->resource->subject};
        this->note_demand(edge, subject,
                          {0, false, static_cast<float>(demand->wanted), static_cast<float>(demand->used)}, ping);
        if (ping.base_sequence == 0 && this->books.contains(subject)) {
            this->books[subject].accounts[edge].held = demand->held;
        }
    }
    bool same_places = ping.applied_revision == this->current.revision();
    for (const auto& demand : ping.rates) {
        if (same_places && demand.index() < this->rate_order.size()) {
            this->note_demand(edge, this->rate_order[demand.index()], demand, ping);
        }
    }
    this->edges[edge].known_sequence = same_places ? ping.sequence : 0;
    std::optional<sent_pong> seen = this->answer_seen(this->edges[edge], ping);
    for (auto& [subject, shares] : this->books) {
        account& entry = shares.accounts[edge];
        if (seen && entry.floor_lent && entry.reported_sequence == ping.sequence) {
            // The edge sent the ping after it received that answer.
            entry.floor_lent_until =
                std::max(entry.floor_lent_until, holder_expiry(seen->sent_at, this->options.floor_loan));
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
    pong.lease_ms = static_cast<std::uint32_t>(this->options.lease.count());
    pong.concurrency_lease_ms = static_cast<std::uint32_t>(this->options.concurrency_lease.count());
    this->forget_past(now);
    pong.rates_kept = now < this->no_grants_until;
    pong.concurrency_capped = !this->concurrency_known(now);
    if (!this->is_leader || !this->note_ping(index, ping, now)) {
        return pong;
    }
    bool base_known = ping.answered_term == this->term && ping.base_sequence == edge.known_sequence;
    if (ping.base_sequence > 0 && !base_known) {
        return pong;  // the next ping is complete, because this answer does not say that the demands are known
    }
    this->drop_replaced_grants(index, ping);
    this->note_demands(index, ping);
    pong.concurrency_capped = !this->concurrency_known(now);
    edge.pongs.push_back({ping.sequence, now});
    if (edge.pongs.size() > remembered_pongs) {
        edge.pongs.erase(edge.pongs.begin());
    }
    if (ping.applied_revision != this->current.revision()) {
        return pong;  // the edge does not know the committed configuration
    }
    pong.config_lease_ms = static_cast<std::uint32_t>(this->options.configuration_lease.count());
    pong.demands_known = true;
    pong.base_sequence = ping.base_sequence;
    edge.pongs.back().complete = true;
    this->grant_all(index, ping, pong, now);
    return pong;
}

// Lists the grants that differ from those of the base; the others are renewed.
void lease_granter::grant_all(std::size_t edge, const wire::edge_ping_t& ping, wire::edge_pong_t& pong,
                              time_point now) {
    for (auto& [subject, shares] : this->books) {
        account& entry = shares.accounts[edge];
        bool reported = entry.reported_sequence == ping.sequence;
        double amount = reported ? std::max(0.0, this->grant_amount(subject, shares, edge, now)) : 0;
        if (is_rate(subject)) {
            bool unchanged = entry.sent_amount <= amount && amount <= entry.sent_amount * unchanged_grant;
            amount = unchanged ? entry.sent_amount : round_down(amount);
        }
        if (amount > 0) {
            entry.grants.push_back({amount, ping.sequence, granter_expiry(now, this->lease_of(subject))});
            shares.above[edge] = {};
        }
        if (amount == entry.sent_amount) {
            continue;
        }
        entry.sent_amount = amount;
        if (is_rate(subject)) {
            auto place = this->places.find(subject);
            if (place != this->places.end()) {
                pong.rate_grants.emplace_back(place->second, static_cast<float>(amount));
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

duration lease_granter::lease_of(const resource& subject) const {
    return is_rate(subject) ? this->options.lease : this->options.concurrency_lease;
}

lease_granter::share_book& lease_granter::book(const resource& subject) {
    share_book& shares = this->books[subject];
    if (shares.accounts.empty()) {
        shares.accounts.resize(this->edge_ids.size());
        shares.above.resize(this->edge_ids.size());
    }
    this->refresh_floors(subject, shares);
    return shares;
}

// A lent floor counts again as soon as it may be in use before a lease that is granted now has ended. The floor of an
// edge that may still use past limits always counts: a grant under lower limits promises that everything fits them.
double lease_granter::floor_in_use(const share_book& shares, std::size_t edge, time_point now) const {
    bool lent = granter_expiry(now, this->options.lease) <= shares.accounts[edge].floor_lent_until;
    bool current = this->past.empty() || this->edges[edge].acknowledged_revision > this->past.back().limits.revision();
    return lent && current ? 0 : shares.floors[edge];
}

double lease_granter::floors_in_use(const share_book& shares, time_point now) const {
    time_point leases_end = granter_expiry(now, this->options.lease);
    double result = 0;
    for (std::size_t i = 0; i < shares.accounts.size(); ++i) {
        bool counts = shares.accounts[i].floor_lent_until < leases_end;
        result += counts ? shares.floors[i] : this->floor_in_use(shares, i, now);
    }
    return result;
}

// What an edge may use or occupy above its counted floor. A slot taken just before a lease expired stays occupied until
// the edge reports otherwise, or until the longest request must have ended.
lease_granter::timed_amount lease_granter::compute_above_floor(const resource& subject, const share_book& shares,
                                                               std::size_t edge, time_point now) const {
    const account& entry = shares.accounts[edge];
    duration hold = is_rate(subject) ? ms(0) : this->options.concurrency_hold;
    timed_amount result{0, now, time_point::max()};
    for (const auto& granted : entry.grants) {
        if (now < granted.counted_until + hold) {
            result.amount = std::max(result.amount, granted.amount);
            result.until = std::min(result.until, granted.counted_until + hold);
        }
    }
    const edge_entry& state = this->edges[edge];
    bool reported = state.heard && entry.reported_sequence == state.last_sequence && now < state.last_ping_at + hold;
    if (reported) {
        result.amount = std::max(result.amount, entry.used - shares.floors[edge]);
        result.until = std::min(result.until, state.last_ping_at + hold);
    }
    return result;
}

// Every answer adds this up over all edges for each resource, while it changes only with a ping of its own edge, with
// the floors and with the end of a grant. The sum itself is not kept: repeated corrections would collect rounding
// errors.
double lease_granter::above_floor(const resource& subject, share_book& shares, std::size_t edge, time_point now) const {
    timed_amount& known = shares.above[edge];
    if (now < known.from || now >= known.until) {
        known = this->compute_above_floor(subject, shares, edge, now);
    }
    return known.amount;
}

// To be called before anything changes that above_floor depends on, apart from the floors.
void lease_granter::forget_above_floor(std::size_t edge) {
    for (auto& [subject, shares] : this->books) {
        shares.above[edge] = {};
    }
}

// Demand of an edge above its floor; 0 for an edge that has not pinged for one lease.
double lease_granter::need(const resource& subject, const share_book& shares, std::size_t edge, time_point now) const {
    const account& entry = shares.accounts[edge];
    const edge_entry& state = this->edges[edge];
    if (!state.heard || entry.reported_sequence != state.last_sequence ||
        now >= state.last_ping_at + this->options.lease) {
        return 0;
    }
    if (!is_rate(subject)) {
        return std::max(0.0, std::ceil(entry.wanted) - this->floor_in_use(shares, edge, now));
    }
    return std::max(0.0, entry.wanted * shares.headroom * fill_margin - this->floor_in_use(shares, edge, now));
}

// Divides the amount above the floors so that small demands are met and the others get equal shares (max-min).
void lease_granter::refresh_level(const resource& subject, share_book& shares, double divisible, time_point now) const {
    if (shares.level_at && now >= *shares.level_at && now < *shares.level_at + level_age) {
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
    // An unused limit is granted in full, as static shares would; the more of it is in use, the more is kept free for
    // demand that rises at one edge.
    double granted_part = 1 - spare_part_kept * std::min(1.0, total / std::max(divisible, 1e-9));
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
    shares.level_at = now;
}

// Whole slots: one at a time to each edge that needs more, in an order of its own for each resource; what no edge needs
// goes to the edges with demand in the same way.
double lease_granter::whole_units(const resource& subject, const share_book& shares, std::size_t edge, double divisible,
                                  time_point now) const {
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

double lease_granter::allocation(const resource& subject, share_book& shares, std::size_t edge, double divisible,
                                 time_point now) const {
    if (!is_rate(subject)) {
        return this->whole_units(subject, shares, edge, divisible, now);
    }
    this->refresh_level(subject, shares, divisible, now);
    double need = this->need(subject, shares, edge, now);
    return std::min(shares.level, need + shares.spare);
}

double lease_granter::grant_amount(const resource& subject, share_book& shares, std::size_t edge, time_point now) {
    double limit = this->current.limit(subject);
    if (limit == unlimited || (is_rate(subject) && now < this->no_grants_until)) {
        return 0;
    }
    if (!is_rate(subject) && !this->concurrency_known(now)) {
        // All leases of earlier leaders were granted before this term and fit the limit together with the floors and
        // with all use, and the edges only renew what they still hold of them. Leases of rates are not renewed, because
        // some of them depend on lent floors.
        return std::min(shares.accounts[edge].held, limit);
    }
    this->refresh_floors(subject, shares);
    duration hold = is_rate(subject) ? ms(0) : this->options.concurrency_hold;
    std::erase_if(shares.accounts[edge].grants, [&](const grant& old) { return now >= old.counted_until + hold; });
    double divisible = limit - this->floors_in_use(shares, now);
    double room = divisible;
    for (std::size_t i = 0; i < shares.accounts.size(); ++i) {
        room -= i == edge ? 0 : this->above_floor(subject, shares, i, now);
    }
    double amount = std::min(this->allocation(subject, shares, edge, divisible, now), room);
    return is_rate(subject) ? amount : std::floor(amount + unit_tolerance);
}

// Slots taken under an earlier leader are known once every edge has reported its use after grants of this leader had
// replaced all those leases.
bool lease_granter::concurrency_known(time_point now) const {
    if (now >= this->earlier_slots_end_at + this->options.concurrency_hold) {
        return true;
    }
    return std::all_of(this->edges.begin(), this->edges.end(), [](const edge_entry& edge) { return edge.use_known; });
}

double lease_granter::counted(const resource& subject, time_point now) {
    share_book& shares = this->book(subject);
    double result = this->floors_in_use(shares, now);
    for (std::size_t i = 0; i < shares.accounts.size(); ++i) {
        result += this->above_floor(subject, shares, i, now);
    }
    return result;
}

std::vector<resource_use> lease_granter::rate_uses(time_point now) {
    std::vector<resource_use> uses;
    for (const auto& [subject, limit] : this->current.rates()) {
        resource_use use{subject, limit, 0, this->counted(subject, now)};
        const share_book& shares = this->books[subject];
        for (std::size_t i = 0; i < shares.accounts.size(); ++i) {
            const edge_entry& edge = this->edges[i];
            bool current = edge.heard && now < edge.last_ping_at + this->options.lease &&
                           shares.accounts[i].reported_sequence == edge.last_sequence;
            use.used += current ? shares.accounts[i].used : 0;
        }
        uses.push_back(std::move(use));
    }
    return uses;
}

}  // namespace persimmongrade
