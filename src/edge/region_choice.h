// Order in which the target regions of a request are tried. Pure.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "record_generated.h"

namespace persimmongrade {

struct region_order {
    std::vector<std::string> first;    // regions for the first attempt, in order of preference
    std::vector<std::string> retries;  // regions in which later attempts are allowed

    bool operator==(const region_order&) const = default;
};

// With an assignment, the first attempt goes to one region drawn by weight and to no other, because a request that
// moves elsewhere would be a shift beyond the cap; `draw` is uniform in 0 to 999. Without one, the regions of the
// service are tried from the nearest: `latency_ms` lists one-way latencies from `own_region`.
region_order choose_regions(const wire::service_definition_t& service, const wire::assignment_t* assignment,
                            const std::string& own_region, const std::map<std::string, std::uint32_t>& latency_ms,
                            std::uint32_t draw);

}  // namespace persimmongrade
