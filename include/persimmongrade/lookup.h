// Builds the answers to `GET /v1/lookup`: entry hosts for a client address, nearest first. Free of I/O.
//
// The weights leave headroom for the loss of one entry host: with n usable hosts, no host is planned above (n - 1) / n
// of its capacity. A region's own hosts take as much of its demand as fits; the rest goes to the nearest regions with
// room.

#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "messages_generated.h"
#include "persimmongrade/client_block_table.h"

namespace persimmongrade {

// One-way latency between two regions, the same in both directions.
struct region_latency {
    std::string from;
    std::string to;
    std::uint32_t one_way_ms = 0;

    friend bool operator==(const region_latency&, const region_latency&) = default;
};

inline constexpr std::uint32_t unknown_latency = std::numeric_limits<std::uint32_t>::max();

// One-way latency in milliseconds: 0 within a region, at least 1 between two regions, unknown_latency if not listed.
std::uint32_t latency_between(std::span<const region_latency> latencies, const std::string& from,
                              const std::string& to);

struct lookup_options {
    std::uint32_t ttl_ms = 5000;          // how long clients may cache an answer
    double host_requests_per_second = 0;  // capacity of one entry host; 0: unknown, assumes full load
    std::string default_region;           // of clients in no block; empty: the first region by name

    friend bool operator==(const lookup_options&, const lookup_options&) = default;
};

struct lookup_host {
    std::string id;
    std::string address;  // HTTP address, "127.0.1.1:8000"
    std::string region;
    std::uint32_t weight = 0;  // per mille; 0: to be used only if the hosts before it do not answer

    friend bool operator==(const lookup_host&, const lookup_host&) = default;
};

struct lookup_answer {
    std::string client_region;
    std::uint32_t ttl_ms = 0;
    std::vector<lookup_host> hosts;  // of the client's region, then of the nearest ones; weights sum to 1000
    std::uint32_t capacity_after_two_losses_permille = 0;  // of all known entry hosts

    friend bool operator==(const lookup_answer&, const lookup_answer&) = default;
};

class lookup_builder {
public:
    lookup_builder(lookup_options options, std::vector<region_latency> latencies);

    void set_blocks(std::shared_ptr<const client_block_table> blocks);
    void
    set_hosts(std::span<const wire::edge_info_t> hosts);  // ignores hosts not alive, not serving or without address
    void set_demand(std::map<std::string, double> per_region);  // requests per second by client region; empty: unknown

    std::string region_of(std::string_view client) const;        // throws client_block_error for a malformed address
    const lookup_answer& answer(std::string_view client) const;  // as above; valid until the next set_* call
    const lookup_answer& answer_for_region(const std::string& region) const;

private:
    void rebuild();
    std::vector<std::string> by_distance(const std::string& region) const;
    std::map<std::string, double> planned_demand() const;
    std::map<std::string, std::map<std::string, double>> plan() const;
    lookup_answer build(const std::string& region, const std::map<std::string, double>& shares) const;

    lookup_options options;
    std::vector<region_latency> latencies;
    std::shared_ptr<const client_block_table> blocks;
    std::map<std::string, std::vector<lookup_host>> hosts;  // usable, by region
    std::size_t known_hosts = 0;
    std::size_t usable_hosts = 0;
    std::map<std::string, double> demand;
    std::vector<std::string> regions;
    std::map<std::string, lookup_answer> answers;  // by client region
};

}  // namespace persimmongrade
