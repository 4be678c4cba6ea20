#include "region_choice.h"

#include <algorithm>
#include <tuple>

namespace persimmongrade {

namespace {

region_order nearest_first(const wire::service_definition_t& service, const std::string& own_region,
                           const std::map<std::string, std::uint32_t>& latency_ms) {
    auto distance = [&](const std::string& region) {
        auto found = latency_ms.find(region);
        return std::tuple(region != own_region, found == latency_ms.end() ? 0 : found->second, region);
    };
    std::vector<std::string> regions = service.regions;
    std::sort(regions.begin(), regions.end(),
              [&](const auto& left, const auto& right) { return distance(left) < distance(right); });
    return {regions, regions};
}

}  // namespace

region_order choose_regions(const wire::service_definition_t& service, const wire::assignment_t* assignment,
                            const std::string& own_region, const std::map<std::string, std::uint32_t>& latency_ms,
                            std::uint32_t draw) {
    std::uint64_t total = 0;
    region_order order;
    if (assignment != nullptr) {
        for (const auto& share : assignment->shares) {
            total += share->permille;
            if (share->permille > 0) {
                order.retries.push_back(share->region);
            }
        }
    }
    if (total == 0) {
        return nearest_first(service, own_region, latency_ms);
    }
    std::uint64_t point = draw * total / 1000;
    for (const auto& share : assignment->shares) {
        if (point < share->permille) {
            order.first = {share->region};
            break;
        }
        point -= share->permille;
    }
    return order;
}

}  // namespace persimmongrade
