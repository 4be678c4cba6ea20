// Divides limits among edges by standing floors, which every edge derives from the configuration, and by leases above
// the floors, which the leader grants and which expire. Performs no input or output: messages and the time are
// arguments.
//
//     control, every process:  granter.apply(configuration, now) for each applied revision
//     control, new leader:     granter.become_leader(term, now) once everything committed before the term is applied
//     control, leader:         pong = granter.answer(ping, now); the caller adds `leader` and `edges`
//     edge, every 250 ms:      holder.prepare(ping, now); send
//     edge, on an answer:      holder.receive(pong, now)
//     edge, per request:       result = holder.reserve(claims, now, use); dispatch; holder.complete(result.held, ...)

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

inline constexpr double rate_floor_fraction = 0.2;  // fraction of a rate limit that is divided into standing floors
inline constexpr double slot_floor_fraction = 0.5;  // fraction of slots and connections given out as standing floors
inline constexpr double unlimited = std::numeric_limits<double>::infinity();
inline constexpr double link_burst_bytes = 65536;  // size of one request or answer that a standing floor should hold

// Thrown for an edge id that is not in the list of edges.
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
// True for region and link (amount per second), false for slots and connections.
bool is_rate(const resource& subject) noexcept;

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
    std::vector<double> floors(std::span<const std::string> edges,
                               const resource& subject) const;       // in the order of `edges`
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
    bool floors_outlive = false;
};

std::map<resource, double> effective_limits(const wire::configuration_t& configuration);  // regions and links

// The standing floor of one edge: for a rate, 20% of the limit divided equally; for slots and connections, the floor
// slots (half of them) whose rendezvous hash of (target, slot index) chooses this edge.
// Throws unknown_edge_error when `edge` is not in `edges`.
double floor_share(const wire::configuration_t& configuration, std::span<const std::string> edges,
                   std::string_view edge, const resource& subject);

// ---- Options common to granter and holder ----

struct lease_options {
    duration rate_lease = ms(1000);  // of rates (regions and links)
    duration configuration_lease = ms(2000);
    // Of slots and connections. It may equal configuration_lease, without which they cannot be used anyway. With 1 s,
    // leases often expired during an election, after which only the floors were usable for max_request_duration.
    duration concurrency_lease = ms(2000);
    // Longest time a dispatched request may occupy a slot: the largest deadline.
    duration max_request_duration = ms(5000);
    duration floor_loan_duration = ms(2000);  // time for which one ping lends out the standing floor of an idle rate
    duration floor_idle_time = ms(10000);     // time without a request after which the floor of a rate is lent out

    friend bool operator==(const lease_options&, const lease_options&) = default;
};

// ---- Granter (leader) ----

// Use of one region or link by all edges, in the unit of the limit (requests or bytes per second).
struct resource_use {
    resource subject;
    double limit = 0;
    double used = 0;     // as last reported by edges that pinged within one rate lease
    double granted = 0;  // floors and leases that edges may use now

    friend bool operator==(const resource_use&, const resource_use&) = default;
};

// Answers edge pings with lease grants. One per control process; only the leader answers.
class lease_granter {
public:
    explicit lease_granter(std::vector<std::string> edges, lease_options options = {});

    // Applies a newly committed revision; called on every control process. `skipped` is true when revisions in between
    // are unknown because a snapshot was installed; the first call counts as skipped.
    void apply(const wire::configuration_t& configuration, time_point now, bool skipped = false);
    // Starts a term. Leases of an earlier leader stay valid: those of rates until they expire, those of slots and
    // connections are renewed by this leader with the amount that each edge reports. Nothing beyond them is granted
    // before all of them are known.
    void become_leader(std::uint64_t term, time_point now);
    void step_down() noexcept;
    bool leading() const noexcept { return this->is_leader; }

    // Answers a ping: sequence, term, committed_revision, config_lease_ms (0 when the edge has not applied the
    // committed revision) and grants above the floors. `leader` and `edges` are left to the caller.
    // Throws unknown_edge_error. Must be called only while leading.
    wire::edge_pong_t answer(const wire::edge_ping_t& ping, time_point now);

    std::uint64_t revision() const noexcept;
    // No rate is granted before this time.
    time_point grants_start_at() const noexcept { return this->no_grants_until; }
    double counted_amount(const resource& subject, time_point now);  // sum of floors and leases over all edges
    std::vector<resource_use> rate_uses(time_point now);             // for every limited region and link

private:
    struct grant {
        double amount = 0;
        std::uint64_t sequence = 0;  // of the ping that this grant answered
        time_point counted_until{};  // granter's expiry of the lease
        bool orphaned = false;       // granted to an earlier incarnation of the edge, whose use is no longer reported
    };
    struct account {  // state of one edge for one resource
        std::vector<grant> grants;
        double wanted = 0;
        double used = 0;                      // concurrency in use, floors included, as last reported
        std::uint64_t reported_sequence = 0;  // of the ping that reported wanted and used
        double sent_amount = 0;               // amount granted in the pong to that ping
        double held = 0;                      // concurrency only: lease in the last complete ping
        bool floor_lent = false;              // rates only: the edge lends out its floor, as last reported
        time_point floor_lent_until{};        // rates only: the edge is guaranteed not to use its floor before
    };
    struct timed_amount {  // a cached result and the interval in which it is valid
        double amount = 0;
        time_point from{};
        time_point until{};  // equal to `from`: not computed
    };
    struct resource_accounts {                         // all edges' accounts of one resource
        std::vector<account> accounts;                 // indexed as `edges`
        std::vector<timed_amount> cached_above_floor;  // cached results of above_floor(), indexed as `edges`
        std::vector<double> floors;                    // floors that count against the limit, indexed as `edges`
        std::uint64_t floors_version = 0;              // version of `floors`
        double level = 0;     // cap on the amount above the floor of each edge when demand exceeds the limit
        double spare = 0;     // granted to each edge beyond its need when demand is below the limit
        double headroom = 1;  // factor on reported demand
        std::optional<time_point> level_computed_at;
    };
    struct sent_pong {
        std::uint64_t sequence = 0;
        time_point sent_at{};
        bool complete = false;  // the pong carried all grants of the edge
    };
    struct edge_entry {
        std::uint64_t incarnation = 0;
        std::uint64_t last_sequence = 0;
        std::uint64_t known_sequence = 0;  // of the ping up to which all its demands are known; 0: none
        std::uint64_t acknowledged_revision = 0;
        time_point last_ping_at{};
        bool has_pinged = false;       // it has pinged in this term
        bool is_use_known = false;     // it has reported its use since this leader's grants replaced all earlier ones
        std::vector<sent_pong> pongs;  // the most recent ones, oldest first
    };
    struct past_limits {  // limits of an earlier revision that an edge may still use
        limit_table limits;
        time_point superseded_at{};
    };

    std::size_t index_of(std::string_view edge) const;
    bool accept_ping(std::size_t index, const wire::edge_ping_t& ping, time_point now);
    void orphan_grants(std::size_t edge, time_point now);
    std::optional<sent_pong> newest_applied_pong(const edge_entry& edge, const wire::edge_ping_t& ping) const;
    void record_demand(std::size_t edge, const resource& subject, const wire::rate_demand& demand,
                       const wire::edge_ping_t& ping);
    void record_demands(std::size_t edge, const wire::edge_ping_t& ping);
    void add_grants(std::size_t edge, const wire::edge_ping_t& ping, wire::edge_pong_t& pong, time_point now);
    void drop_replaced_grants(std::size_t edge, const wire::edge_ping_t& ping);
    resource_accounts& accounts_of(const resource& subject);
    void refresh_floors(const resource& subject, resource_accounts& shares);
    void drop_unused_past_limits(time_point now);
    bool past_limits_in_use(const past_limits& past, const edge_entry& edge, time_point now) const;
    double floor_in_use(const resource_accounts& shares, std::size_t edge, time_point now) const;
    double floors_in_use(const resource_accounts& shares, time_point now) const;
    timed_amount compute_above_floor(const resource& subject, const resource_accounts& shares, std::size_t edge,
                                     time_point now) const;
    double above_floor(const resource& subject, resource_accounts& shares, std::size_t edge, time_point now) const;
    void invalidate_above_floor(std::size_t edge);
    double need(const resource& subject, const resource_accounts& shares, std::size_t edge, time_point now) const;
    void refresh_level(const resource& subject, resource_accounts& shares, double divisible, time_point now) const;
    double allocate_whole_units(const resource& subject, const resource_accounts& shares, std::size_t edge,
                                double divisible, time_point now) const;
    double allocation(const resource& subject, resource_accounts& shares, std::size_t edge, double divisible,
                      time_point now) const;
    double grant_amount(const resource& subject, resource_accounts& shares, std::size_t edge, time_point now);
    bool is_concurrency_known(time_point now) const;
    duration lease_duration(const resource& subject) const;

    lease_options options;
    std::vector<std::string> edge_ids;
    std::vector<edge_entry> edges;  // indexed as `edge_ids`
    std::map<std::string, std::size_t, std::less<>> edge_index;
    std::map<resource, resource_accounts> accounts_by_resource;
    limit_table current;
    std::vector<resource> rate_order;                // limited rates of `current`; messages refer to them by index
    std::map<resource, std::uint16_t> rate_indices;  // indices into `rate_order`
    std::vector<past_limits> past;                   // oldest first
    std::uint64_t floors_version = 1;
    std::uint64_t term = 0;
    bool is_leader = false;
    bool has_revision = false;
    time_point no_grants_until{};                    // rates
    time_point earlier_concurrency_leases_end_at{};  // end of slot and connection leases granted by earlier leaders
};

// ---- Holder (edge) ----

// One amount of one resource that a request needs.
struct resource_claim {
    resource subject;
    double amount = 1;
    time_point reserved_at{};  // set by reserve()

    friend bool operator==(const resource_claim&, const resource_claim&) = default;
};

// The capacity that a request may use.
enum class floor_use : std::uint8_t {
    with_configuration,     // floors and leases while the configuration lease is valid
    without_configuration,  // also the floors afterwards: idempotent requests of a service with `without_control:
                            // floor`
};

struct reservation_result {
    wire::refusal_reason refused = wire::refusal_reason::none;  // none: all claims are held
    std::optional<resource> refused_by;
    duration retry_after = ms(0);      // hint: time after which to try again
    std::vector<resource_claim> held;  // pass to complete() or cancel()

    explicit operator bool() const noexcept { return this->refused == wire::refusal_reason::none; }
};

// The capacity of one edge: the floors of its applied configuration and the leases it was granted.
class lease_holder {
public:
    lease_holder(std::string edge, std::vector<std::string> edges, lease_options options = {});

    // Applies a configuration revision; older revisions are ignored. Leases of a resource whose limit fell are dropped
    // until a leader that knows the revision grants again.
    void apply(const wire::configuration_t& configuration, time_point now);
    // Reports a demand of at least `amount` with the next ping, before a request claims it. Concurrency only.
    void anticipate(const resource& subject, double amount, time_point now);
    // Fills in sequence, applied_revision, demands and answered_* of a ping that is sent now to all control processes.
    // The caller must have set the incarnation.
    void prepare(wire::edge_ping_t& ping, time_point now);
    void receive(const wire::edge_pong_t& pong, time_point now);  // late and duplicate pongs are harmless

    bool configuration_valid(time_point now) const noexcept;
    time_point configuration_expires_at() const noexcept { return this->configuration_lease_expires_at; }
    std::uint64_t committed_revision() const noexcept { return this->committed; }  // highest revision seen in a pong
    std::uint64_t applied_revision() const noexcept { return this->limits.revision(); }

    // Amount usable at `now`: floor plus unexpired lease. After the configuration lease has expired, 0 or, as `use`
    // permits, the floor alone.
    double usable(const resource& subject, time_point now, floor_use use = floor_use::with_configuration) const;

    // Reserves all claims or none. To be called immediately before dispatch. Rates are taken from token buckets;
    // concurrency is held until complete(). A refused claim counts as demand in the next ping, unless `repeated` is
    // set: the same request was refused and counted before, and has waited in a queue since. Claims of one request on
    // unlimited resources are always admitted.
    reservation_result reserve(std::span<const resource_claim> claims, time_point now,
                               floor_use use = floor_use::with_configuration, bool repeated = false);
    // Releases concurrency, and corrects a link claim to the bytes actually sent: an underestimate becomes a debt that
    // blocks further claims until paid, an overestimate returns tokens. `actual` lists only the claims to correct.
    void complete(std::span<const resource_claim> held, time_point now, std::span<const resource_claim> actual = {});
    // Like complete(), for a request that was not dispatched. Tokens are not returned: a window that begins after the
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
        std::uint64_t lowered_at_revision = 0;  // last one that lowered the limit; older leases are not used
        lease granted;
        token_bucket bucket;  // rates only
        double in_use = 0;    // concurrency only
        // Rates: amount claimed since `measured_at`. Concurrency: amount refused since the last ping.
        double unreported_demand = 0;
        // Rates: amount admitted since `measured_at`. Concurrency: peak use since the last ping.
        double used = 0;
        double reported_use = 0;
        bool is_reported = false;           // its demand is in the last ping or known to the leader from an earlier one
        wire::rate_demand reported_demand;  // demand that the leader knows, when `is_reported`
        double base_amount = 0;             // amount granted as of the last pong applied
        double largest_refused = 0;         // rates: largest refused claim above the bucket size since the last ping
        double wanted = 0;                  // demand as reported, in the unit of the resource
        double anticipated = 0;             // concurrency only: least demand to report with the next ping
        time_point measured_at{};
        time_point claimed_at{};        // last claim, or creation of the share
        bool ever_claimed = false;      // by a request, since the share was created
        time_point floor_lent_until{};  // rates only: the floor must not be used before
    };

    bool is_permitted(time_point now, floor_use use) const noexcept;
    share& share_of(const resource& subject, time_point now);
    void configure(const resource& subject, share& entry, time_point now);
    static double lease_amount(const share& entry, time_point now) noexcept;
    static double floor_amount(const share& entry, time_point now) noexcept;
    void list_demand(wire::edge_ping_t& ping, const resource& subject, share& entry, std::uint16_t rate_index,
                     time_point now) const;
    bool lend_floor(const resource& subject, share& entry, time_point now) const;
    static void advance(share& entry, time_point now);
    static bool take(share& entry, const resource_claim& claim, time_point now);
    static void release(share& entry, const resource_claim& claim, time_point now);
    static void record_claim(share& entry, const resource_claim& claim, bool taken, bool admitted, bool repeated);
    static double measure_rate(share& entry, double fraction, time_point now);
    void measure(share& entry, const resource& subject, time_point now) const;
    void drop_idle_shares(time_point now);

    std::string edge;
    std::vector<std::string> edges;
    lease_options options;
    limit_table limits;
    std::map<resource, share> shares;
    std::map<std::uint64_t, time_point> ping_times;  // send times of recent pings by sequence
    std::uint64_t incarnation = 0;
    std::uint64_t next_sequence = 1;
    std::uint64_t answered_sequence = 0;
    std::uint64_t answered_term = 0;
    bool demands_known = false;  // the leader knows all demands, as of the ping that was answered last
    bool base_lost = true;       // grants were dropped since the last pong: only a complete pong can be applied
    std::uint64_t committed = 0;
    time_point configuration_lease_expires_at{};
    time_point floors_lent_until{};  // an earlier incarnation may have lent out its floors until then
};

}  // namespace persimmongrade
