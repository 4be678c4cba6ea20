#include "persimmongrade/clock.h"

namespace persimmongrade {

time_point steady_clock_ms::now() noexcept {
    auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(since_start));
}

std::int64_t unix_time_ms() noexcept {
    auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<duration>(since_epoch).count();
}

}  // namespace persimmongrade
