// Share of a service's requests that a gateway sends to targets in other regions.
//
// Load pattern: a region whose targets cannot hold the load of its own callers for a long time, and waves of traffic
// that move from region to region. The share follows the difference of utilization slowly, because every request that
// changes its region finds targets that are cold for its object and the load of a region must not swing.
//
// Regions that are loaded alike may send each other requests, left from an earlier difference. That serves nobody: each
// object is then warm at more targets than it needs. The share therefore falls, more slowly, unless a difference keeps
// it up.
//
//     region_share share({.max_shift = 0.15});
//     share.start(0.4);                               // from the slots of the regions, before any load is known
//     share.update(now, local_load, remote_load);     // at most every update_interval
//     if (share.is_remote(object_hash)) { ... }       // the same objects move first, everywhere

#pragma once

#include <cstdint>

#include "persimmongrade/clock.h"

namespace persimmongrade {

struct region_share_options {
    double max_shift = 0.15;         // share of requests that may change region from one window to the next
    duration window = ms(2000);      // of max_shift
    double high_utilization = 0.85;  // of the slots here, above which requests move away
    double low_utilization = 0.65;   // below which they come back
};

class region_share {
public:
    static constexpr duration update_interval = ms(250);

    explicit region_share(const region_share_options& options) : options(options) {}

    void start(double share) { this->share = share; }
    bool due(time_point now) const { return now - this->updated_at >= update_interval; }
    // Utilization: running and waiting requests per slot. No effect before the update is due.
    void update(time_point now, double local_utilization, double remote_utilization);
    bool is_remote(std::uint64_t hash) const;
    double value() const noexcept { return this->share; }

private:
    region_share_options options;
    double share = 0;
    time_point updated_at{};
};

}  // namespace persimmongrade
