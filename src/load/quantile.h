// Quantiles of measured values.

#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

namespace persimmongrade {

// The value of nearest rank; 0 for no values.
inline double quantile(const std::vector<double>& sorted, double share) {
    if (sorted.empty()) {
        return 0;
    }
    auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return sorted[std::max<std::size_t>(rank, 1) - 1];
}

}  // namespace persimmongrade
