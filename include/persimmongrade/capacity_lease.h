// Division of limits among edges: standing floors and leases that expire. Pure: time is an argument.
//
//     control, every process:  granter.apply(configuration, now) for each applied revision
//     control, new leader:     granter.become_leader(term, now) once everything committed before the term is applied
//     control, leader:         pong = granter.answer(ping, now); the caller adds `leader` and `edges`
//     edge, every 250 ms:      holder.prepare(ping, now); send
//     edge, on an answer:      holder.receive(pong, now)
//     edge, per request:       result = holder.reserve(claims, usage, now); dispatch; holder.complete(result.held, ...)

#pragma once

#include <compare>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "messages_generated.h"
#include "persimmongrade/clock.h"
#include "persimmongrade/error.h"
#include "persimmongrade/rate_limiter.h"

namespace persimmongrade {

// ---- Resources and limits ----

inline constexpr double rate_floor_fraction = 0.2;  // part of a rate limit that the standing floors divide
inline constexpr double slot_floor_fraction = 0.5;  // part of slots and connections given out as standing floors
inline constexpr double unlimited = std::numeric_limits<double>::infinity();
inline constexpr double link_burst_bytes = 65536;  // one request or answer that a standing floor should hold

// An edge id that is not in the list of edges.
class unknown_edge_error : public error {
public:
    using error::error;
};

// What a limit applies to; see `resource_kind` in schema/common.fbs for the units.
struct resource {
    wire::resource_kind kind = wire::resource_kind::region;
    std::string subject;

    friend auto operator<=>(const resource&, const resource&) = default;
};

resource region_resource(std::string_view region);
resource link_resource(std::string_view from, std::string_view to);  // one direction
resource slots_resource(std::string_view service, std::string_view target);
resource connections_resource(std::string_view service, std::string_view target);
bool is_rate(const resource& subject) noexcept;  // region and link: per second; others: concurrency

// Effective limits of one configuration: the minimum when several records limit the same region, link or service.
// Immutable.
class limit_table {
public:
    limit_table() = default;
    explicit limit_table(const wire::configuration_t& configuration);

    std::uint64_t revision() const noexcept { return this->revision_number; }
    double
    limit(const resource& subject) const;  // `unlimited` for regions and links without limit; 0 for unknown services
    double floor(std::span<const std::string> edges, std::string_view edge, const resource& subject) const;
    std::vector<double> floors(std::span<const std::string> edges, const resource& subject) const;  // as edges
    double burst(std::size_t edges, const resource& subject) const;  // burst fraction of a rate
    bool floors_outlive_configuration() const noexcept;              // a service has `without_control: floor`
    const std::map<resource, double>& rates() const noexcept { return this->rate_limits; }

    bool same_limits(const limit_table& other) const;  // equal apart from the revision

private:
    struct service_limits {
        double slots = unlimited;
        double connections = unlimited;

        friend bool operator==(const service_limits&, const service_limits&) = default;
    };

    std::uint64_t revision_number = 0;
    std::map<resource, double> rate_limits;
    std::map<std::string, service_limits, std::less<>> services;
    bool outlive = false;
};

std::map<resource, double> effective_limits(const wire::configuration_t& configuration);  // regions and links

// The standing floor of one edge: for a rate, 20% of the limit divided equally; for slots and connections, the floor
// slots (half of them) whose rendezvous hash of (target, slot index) chooses this edge.
// Throws unknown_edge_error when `edge` is not in `edges`.
double floor_share(const wire::configuration_t& configuration, std::span<const std::string> edges,
                   std::string_view edge, const resource& subject);

// ---- Options common to granter and holder ----

struct lease_options {
    duration lease = ms(1000);  // of rates
    duration configuration_lease = ms(2000);
    // Of slots and connections: they cannot be used without a configuration lease anyway. With 1 s they often ended
    // during an election, and for concurrency_hold after it only the floors were usable.
    duration concurrency_lease = ms(2000);
    duration concurrency_hold = ms(5000);  // longest time a dispatched request may occupy a slot: the largest deadline
    duration floor_loan = ms(2000);        // time for which one ping lends the standing floor of an idle rate
    duration floor_idle = ms(10000);       // time without a request after which the floor of a rate is lent

    friend bool operator==(const lease_options&, const lease_options&) = default;
};

// ---- Granter (leader) ----

// Use of one region or link by all edges, in the unit of the limit (requests or bytes per second).
struct resource_use {
    resource subject;
    double limit = 0;
    double used = 0;     // as last reported by edges heard within a lease
    double granted = 0;  // floors and leases that edges may use now

    friend bool operator==(const resource_use&, const resource_use&) = default;
};

// Answers edge pings with lease grants. One per control process; only the leader answers.
class lease_granter {
public:
    explicit lease_granter(std::vector<std::string> edges, lease_options options = {});

    // Tells of a newly applied revision, on every control process. `skipped` is true when revisions in between are
    // unknown (a snapshot was installed); the first call counts as skipped.
    void apply(const wire::configuration_t& configuration, time_point now, bool skipped = false);
    // Starts a term. Leases of an earlier leader stay valid: rates until they expire, slots and connections renewed by
    // this leader at the amount that each edge reports. Nothing beyond them is granted before all of them are known.
    void become_leader(std::uint64_t term, time_point now);
    void step_down() noexcept;
    bool leading() const noexcept { return this->is_leader; }

    // Answers a ping: sequence, term, committed_revision, config_lease_ms (0 when the edge has not applied the
    // committed revision) and grants above the floors. `leader` and `edges` are left to the caller.
    // Throws unknown_edge_error. Must be called only while leading.
    wire::edge_pong_t answer(const wire::edge_ping_t& ping, time_point now);

    std::uint64_t revision() const noexcept;
    time_point grants_start_at() const noexcept { return this->no_grants_until; }  // no new grants of rates before
    double counted(const resource& subject, time_point now);                       // floors and leases, all edges
    std::vector<resource_use> rate_uses(time_point now);                           // every limited region and link

private:
    struct grant {
        double amount = 0;
        std::uint64_t sequence = 0;  // of the ping that it answered
        time_point counted_until{};
        bool orphaned = false;  // of an earlier incarnation, whose use nobody reports
    };
    struct account {  // one edge's share of one resource
        std::vector<grant> grants;
        double wanted = 0;
        double used = 0;                      // concurrency in use, floors included, as last reported
        std::uint64_t reported_sequence = 0;  // of the ping that reported wanted and used
        double sent_amount = 0;               // granted in the pong to that ping
        double held = 0;                      // concurrency only: lease in the last complete ping
        bool floor_lent = false;              // rates only, as last reported
        time_point floor_lent_until{};        // rates only; the edge certainly does not use its floor before
    };
    struct timed_amount {  // as computed, and the times for which it holds
        double amount = 0;
        time_point from{};
        time_point until{};  // `from`: not computed
    };
    struct share_book {                    // all edges' accounts of one resource
        std::vector<account> accounts;     // indexed as `edges`
        std::vector<timed_amount> above;   // results of above_floor, indexed as `edges`
        std::vector<double> floors;        // counted floors
        std::uint64_t floors_version = 0;  // of `floors`
        double level = 0;                  // no edge gets more than this above its floor when demand exceeds the limit
        double spare = 0;                  // granted to each edge beyond its need when demand is below the limit
        double headroom = 1;               // factor on reported demand
        std::optional<time_point> level_at;
    };
    struct sent_pong {
        std::uint64_t sequence = 0;
        time_point sent_at{};
        bool complete = false;  // carried all grants of the edge
    };
    struct edge_entry {
        std::uint64_t incarnation = 0;
        std::uint64_t last_sequence = 0;
        std::uint64_t known_sequence = 0;  // of the ping up to which all demands are known; 0: none
        std::uint64_t acknowledged_revision = 0;
        time_point last_ping_at{};
        bool heard = false;            // in this term
        bool use_known = false;        // it reported its use after this leader's grants had replaced all earlier ones
        std::vector<sent_pong> pongs;  // the newest few
    };
    struct past_limits {  // limits of revisions that an edge may still use
        limit_table limits;
        time_point superseded_at{};
    };

    std::size_t index_of(std::string_view edge) const;
    bool note_ping(std::size_t index, const wire::edge_ping_t& ping, time_point now);
    void orphan_grants(std::size_t edge, time_point now);
    std::optional<sent_pong> answer_seen(const edge_entry& edge, const wire::edge_ping_t& ping) const;
    void note_demand(std::size_t edge, const resource& subject, const wire::rate_demand& demand,
                     const wire::edge_ping_t& ping);
    void note_demands(std::size_t edge, const wire::edge_ping_t& ping);
    void grant_all(std::size_t edge, const wire::edge_ping_t& ping, wire::edge_pong_t& pong, time_point now);
    void drop_replaced_grants(std::size_t edge, const wire::edge_ping_t& ping);
    share_book& book(const resource& subject);
    void refresh_floors(const resource& subject, share_book& shares);
    void forget_past(time_point now);
    bool past_counts(const past_limits& past, const edge_entry& edge, time_point now) const;
    double floor_in_use(const share_book& shares, std::size_t edge, time_point now) const;
    double floors_in_use(const share_book& shares, time_point now) const;
    timed_amount compute_above_floor(const resource& subject, const share_book& shares, std::size_t edge,
                                     time_point now) const;
    double above_floor(const resource& subject, share_book& shares, std::size_t edge, time_point now) const;
    void forget_above_floor(std::size_t edge);
    double need(const resource& subject, const share_book& shares, std::size_t edge, time_point now) const;
    void refresh_level(const resource& subject, share_book& shares, double divisible, time_point now) const;
    double whole_units(const resource& subject, const share_book& shares, std::size_t edge, double divisible,
                       time_point now) const;
    double allocation(const resource& subject, share_book& shares, std::size_t edge, double divisible,
                      time_point now) const;
    double grant_amount(const resource& subject, share_book& shares, std::size_t edge, time_point now);
    bool concurrency_known(time_point now) const;
    duration lease_of(const resource& subject) const;

    lease_options options;
    std::vector<std::string> edge_ids;
    std::vector<edge_entry> edges;  // indexed as `edge_ids`
    std::map<std::string, std::size_t, std::less<>> edge_index;
    std::map<resource, share_book> books;
    limit_table current;
    std::vector<resource> rate_order;          // limited rates of `current`; their places name them in messages
    std::map<resource, std::uint16_t> places;  // in `rate_order`
    std::vector<past_limits> past;             // oldest first
    std::uint64_t floors_version = 1;
    std::uint64_t term = 0;
    bool is_leader = false;
    bool any_revision = false;
    time_point no_grants_until{};       // rates
    time_point earlier_slots_end_at{};  // leases of slots and connections of earlier leaders
};

// ---- Holder (edge) ----

// One amount of one resource that a request needs.
struct resource_claim {
    resource subject;
    double amount = 1;
    time_point reserved_at{};  // set by `reserve`

    friend bool operator==(const resource_claim&, const resource_claim&) = default;
};

// Which shares a request may use.
enum class floor_use : std::uint8_t {
    with_configuration,     // floors and leases while the configuration lease is valid
    without_configuration,  // also the floors afterwards: idempotent requests of a service with `without_control:
                            // floor`
};

struct reservation_result {
    wire::refusal_reason refused = wire::refusal_reason::none;  // none: all claims are held
    std::optional<resource> refused_by;
    duration retry_after = ms(0);      // hint for the caller or the queue
    std::vector<resource_claim> held;  // for `complete` or `cancel`

    explicit operator bool() const noexcept { return this->refused == wire::refusal_reason::none; }
};

// The shares of one edge: floors of its applied configuration and the leases it was granted.
class lease_holder {
public:
    lease_holder(std::string edge, std::vector<std::string> edges, lease_options options = {});

    // Applies a configuration revision; older revisions are ignored. Leases of a resource whose limit fell are dropped
    // until a leader that knows the revision grants again.
    void apply(const wire::configuration_t& configuration, time_point now);
    // Reports a demand of at least `amount` with the next ping, before a request claims it. Concurrency only.
    void anticipate(const resource& subject, double amount, time_point now);
    // Sets sequence, applied_revision, demands and answered_* of a ping that is sent now to all control processes. The
    // caller has set the incarnation.
    void prepare(wire::edge_ping_t& ping, time_point now);
    void receive(const wire::edge_pong_t& pong, time_point now);  // late and duplicate answers are harmless

    bool configuration_valid(time_point now) const noexcept;
    time_point configuration_expires_at() const noexcept { return this->configuration_until; }
    std::uint64_t committed_revision() const noexcept { return this->committed; }  // highest seen in an answer
    std::uint64_t applied_revision() const noexcept { return this->limits.revision(); }

    // Amount usable at `now`: floor and unexpired lease; 0 when the configuration lease has expired unless allowed.
    double usable(const resource& subject, time_point now, floor_use use = floor_use::with_configuration) const;

    // Reserves all claims or none, to be called at the moment of dispatch. Rates are taken from token buckets,
    // concurrency is held until `complete`. A refused claim counts as demand for the next ping, unless `repeated` says
    // that the same request was already refused and counted (a request waiting in a queue).
    // Claims of one request on unlimited resources are always admitted.
    reservation_result reserve(std::span<const resource_claim> claims, time_point now,
                               floor_use use = floor_use::with_configuration, bool repeated = false);
    // Gives concurrency back, and corrects a link claim to the bytes really sent: an underestimate becomes a debt that
    // blocks until paid, an overestimate returns tokens. `actual` lists only the claims to correct.
    void complete(std::span<const resource_claim> held, time_point now, std::span<const resource_claim> actual = {});
    // As `complete`, for a request that was not dispatched. Tokens are not returned: a window that begins after the
    // reservation could otherwise carry more than the limit.
    void cancel(std::span<const resource_claim> held, time_point now);

    double in_use(const resource& subject) const;  // concurrency held now

private:
    struct lease {
        double amount = 0;
        std::uint64_t revision = 0;  // committed revision of the leader that granted it
        time_point expires_at{};
    };
    struct share {
        double floor = 0;
        double limit = 0;
        std::uint64_t lowered_at_revision = 0;  // leases granted under older revisions are not used
        lease granted;
        token_bucket bucket;  // rates only
        double in_use = 0;    // concurrency only
        double asked = 0;     // rates: claimed since `measured_at`; concurrency: refused since the last ping
        double used = 0;      // rates: admitted since `measured_at`; concurrency: highest use since the last ping
        double reported_use = 0;
        bool listed = false;         // in the last ping, or known from an earlier one
        wire::rate_demand sent;      // values that the leader knows when `listed`
        double base_amount = 0;      // granted in the last pong applied
        double largest_refused = 0;  // rates: largest claim above the size of the bucket since the last ping
        double wanted = 0;           // demand as reported, unit of the resource
        double anticipated = 0;      // concurrency only: least demand to report with the next ping
        time_point measured_at{};
        time_point claimed_at{};        // or when the share was created
        bool claimed = false;           // since it was created
        time_point floor_lent_until{};  // rates only: the floor is not used before
    };

    bool permitted(time_point now, floor_use use) const noexcept;
    share& share_of(const resource& subject, time_point now);
    void configure(const resource& subject, share& entry, time_point now);
    static double lease_amount(const share& entry, time_point now) noexcept;
    static double floor_amount(const share& entry, time_point now) noexcept;
    void list_demand(wire::edge_ping_t& ping, const resource& subject, share& entry, std::uint16_t place,
                     time_point now) const;
    bool lend_floor(const resource& subject, share& entry, time_point now) const;
    static void advance(share& entry, time_point now);
    static bool take(share& entry, const resource_claim& claim, time_point now);
    static void give_back(share& entry, const resource_claim& claim, time_point now);
    static void note_claim(share& entry, const resource_claim& claim, bool taken, bool admitted, bool repeated);
    static double measure_rate(share& entry, double fraction, time_point now);
    void measure(share& entry, const resource& subject, time_point now) const;
    void forget_idle(time_point now);

    std::string edge;
    std::vector<std::string> edges;
    lease_options options;
    limit_table limits;
    std::map<resource, share> shares;
    std::map<std::uint64_t, time_point> sent;  // times of recent pings by sequence
    std::uint64_t incarnation = 0;
    std::uint64_t next_sequence = 1;
    std::uint64_t answered_sequence = 0;
    std::uint64_t answered_term = 0;
    bool demands_known = false;  // by the leader, as of the ping that was answered last
    bool base_lost = true;       // grants were dropped since: only a complete answer can be applied
    std::uint64_t committed = 0;
    time_point configuration_until{};
    time_point floors_lent_until{};  // an earlier incarnation may have lent its floors
};

}  // namespace persimmongrade
