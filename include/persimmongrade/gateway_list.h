// Which gateways a client should use, for the directory.

#pragma once

#include <string>
#include <vector>

#include "fleet_generated.h"

namespace persimmongrade {

// Addresses in the region of the client, its own zone first; in all regions when its own has none.
std::vector<std::string> nearest_gateways(const std::vector<wire::gateway_info_t>& gateways, const std::string& region,
                                          const std::string& zone);

}  // namespace persimmongrade
