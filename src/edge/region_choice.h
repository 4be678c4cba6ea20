// Order in which the target regions of a request are tried. Pure.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "record_generated.h"

namespace persimmongrade {

struct region_order {
    std::string first;                 // region of the first attempt; empty: no assignment, the request is refused
    std::vector<std::string> retries;  // regions in which later attempts are allowed

    bool operator==(const region_order&) const = default;
};

// The first attempt goes to one region drawn by weight and to no other, because a request that moves elsewhere would be
// a shift beyond the cap; `draw` is uniform in 0 to 999. `assignment` may be null.
region_order choose_regions(const wire::assignment_t* assignment, std::uint32_t draw);

}  // namespace persimmongrade
