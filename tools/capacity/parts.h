// The parts of persimmon-capacity, and the workloads that several of them use.

#pragma once

#include <cstddef>
#include <random>
#include <string>
#include <vector>

#include "persimmongrade/client_blocks.h"
#include "report.h"

namespace persimmongrade {

std::vector<table> measure_all_blocks(const std::vector<std::size_t>& sizes);     // memory, build, lookups, changes
std::vector<table> measure_all_leases();                                          // a ping at the edge and the leader
std::vector<table> measure_all_edge_lists();                                      // a pong with the list of edges
std::vector<table> measure_all_target_updates();                                  // between edges
std::vector<table> measure_configuration(const std::vector<std::size_t>& sizes);  // size of a change
std::vector<table> compare();         // leases, static shares and shared counters in simulated time
std::vector<table> compare_shifts();  // a failed region with and without planned link bytes, in simulated time

// Distinct prefixes with lengths as in public routing tables.
std::vector<client_prefix> generate_prefixes(std::size_t count, std::mt19937_64& random);
wire::client_block_columns_t to_blocks(const std::vector<client_prefix>& prefixes);  // in 94 sites

inline constexpr const char* lease_service = "service";
std::vector<std::string> edge_names(std::size_t count);
std::string region_name(std::size_t index);
wire::configuration_t make_configuration(std::size_t resources, double rate);  // limits of regions and links

}  // namespace persimmongrade
