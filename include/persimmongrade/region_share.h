// Share of a service's requests that a gateway sends to targets in other regions.
//
// Load pattern: a region whose targets cannot serve the load of its own callers for a long time, and waves of traffic
// that move from region to region. The share follows the difference in utilization slowly, because every request that
// changes its region reaches targets that are cold for its object, and because the load of a region must not oscillate.
//
// After a difference has ended, equally loaded regions may still send requests to each other. That has no benefit: each
// object is then warm at more targets than needed. The share therefore falls, at a lower rate, unless a difference in
// utilization sustains it.
//
//     region_share share({.max_shift = 0.15});
//     share.initialize(0.4);                          // from the slots of the regions, before any load is known
//     share.update(now, local_load, remote_load);     // at most every update_interval
//     if (share.is_remote(object_hash)) { ... }       // all gateways move the same objects first

#pragma once

#include <cstdint>

#include "persimmongrade/clock.h"

namespace persimmongrade {

struct region_share_options {
    double max_shift = 0.15;         // largest share of requests that may change region from one window to the next
    duration window = ms(2000);      // length of the windows that max_shift compares
    double high_utilization = 0.85;  // of the own region, above which requests move to other regions
    double low_utilization = 0.65;   // of the own region, below which they return
};

class region_share {
public:
    static constexpr duration update_interval = ms(250);

    explicit region_share(const region_share_options& options) : options(options) {}

    void initialize(double share) { this->share = share; }
    bool update_due(time_point now) const { return now - this->updated_at >= update_interval; }
    // Utilization is the number of running and waiting requests per slot. Has no effect before an update is due.
    void update(time_point now, double local_utilization, double remote_utilization);
    bool is_remote(std::uint64_t hash) const;
    double value() const noexcept { return this->share; }

private:
    region_share_options options;
    double share = 0;
    time_point updated_at{};
};

}  // namespace persimmongrade
