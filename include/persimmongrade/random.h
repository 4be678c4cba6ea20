// Random bits from the operating system, for identities that must not collide.

#pragma once

#include <cstdint>
#include <random>

namespace persimmongrade {

inline std::uint64_t random_bits() {
    std::random_device device;
    constexpr unsigned half = 32;
    return (static_cast<std::uint64_t>(device()) << half) | device();
}

}  // namespace persimmongrade
