#include "persimmongrade/gateway_list.h"

namespace persimmongrade {

std::vector<std::string> nearest_gateways(const std::vector<wire::gateway_info_t>& gateways, const std::string& region,
                                          const std::string& zone) {
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const auto& gateway : gateways) {
        auto& list = gateway.region == region ? near : far;
        list.insert(gateway.zone == zone ? list.begin() : list.end(), gateway.address);
    }
    return near.empty() ? far : near;
}

}  // namespace persimmongrade
