// Maps a hash to a fraction, to select a share of all requests identically at every gateway.

#pragma once

#include <cstdint>

namespace persimmongrade {

// Position of a hash in [0, 1].
inline double hash_fraction(std::uint64_t hash) {
    constexpr double range = 18446744073709551616.0;  // 2^64
    return static_cast<double>(hash) / range;
}

}  // namespace persimmongrade
