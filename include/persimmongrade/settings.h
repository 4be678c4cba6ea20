// Reads YAML settings into the types generated from schema/settings.fbs.
//
//     wire::edge_settings_t settings = load_edge_settings("edge-1.yaml");
//
// An unknown key, a value of the wrong type or unit, a missing key or an address that is not a numeric IP throws
// settings_error with file, line and key.

#pragma once

#include <memory>
#include <string>
#include <vector>

#include "persimmongrade/clock.h"
#include "settings_generated.h"

namespace persimmongrade {

wire::edge_settings_t load_edge_settings(const std::string& file);
wire::control_settings_t load_control_settings(const std::string& file);
wire::target_settings_t load_target_settings(const std::string& file);
wire::fleet_settings_t load_gateway_settings(const std::string& file);
wire::fleet_settings_t load_fleet_control_settings(const std::string& file);

using latency_list = std::vector<std::unique_ptr<wire::latency_setting_t>>;

// Delay of messages to a region, for measurements on one machine; zero when it is not listed.
duration simulated_delay(const latency_list& latencies, const std::string& region);

}  // namespace persimmongrade
