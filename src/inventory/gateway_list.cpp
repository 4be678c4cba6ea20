#include "persimmongrade/gateway_list.h"

namespace persimmongrade {

std::vector<std::string> nearest_gateways(const std::vector<wire::gateway_info_t>& gateways, const std::string& region,
                                          const std::string& zone) {
    std::vector<std::string> local;
    std::vector<std::string> remote;
    for (const auto& gateway : gateways) {
        auto& list = gateway.region == region ? local : remote;
        list.insert(gateway.zone == zone ? list.begin() : list.end(), gateway.address);
    }
    return local.empty() ? remote : local;
}

}  // namespace persimmongrade
