#include "region_choice.h"

namespace persimmongrade {

region_order choose_regions(const wire::assignment_t* assignment, std::uint32_t draw) {
    region_order order;
    if (assignment == nullptr) {
        return order;
    }
    std::uint64_t total = 0;
    for (const auto& share : assignment->shares) {
        total += share->permille;
        if (share->permille > 0) {
            order.retries.push_back(share->region);
        }
    }
    std::uint64_t point = draw * total / 1000;
    for (const auto& share : assignment->shares) {
        if (point < share->permille) {
            order.first = share->region;
            break;
        }
        point -= share->permille;
    }
    return order;
}

}  // namespace persimmongrade
