// Selects the gateways that the directory names to a client.

#pragma once

#include <string>
#include <vector>

#include "fleet_generated.h"

namespace persimmongrade {

// Addresses of the gateways in the client's region, those in its zone first. When its region has none, addresses of the
// gateways in all regions.
std::vector<std::string> nearest_gateways(const std::vector<wire::gateway_info_t>& gateways, const std::string& region,
                                          const std::string& zone);

}  // namespace persimmongrade
