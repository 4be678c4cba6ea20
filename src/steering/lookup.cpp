#include "persimmongrade/lookup.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace persimmongrade {

namespace {

constexpr double full_permille = 1000;

// Rounds `shares`, which sum to 1, to integers that sum to 1000 (largest remainder method).
std::vector<std::uint32_t> to_permille(const std::vector<double>& shares) {
    std::vector<std::uint32_t> result;
    std::vector<std::pair<double, std::size_t>> remainders;
    std::uint32_t sum = 0;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        double exact = shares[i] * full_permille;
        result.push_back(static_cast<std::uint32_t>(exact));
        sum += result.back();
        remainders.emplace_back(result.back() - exact, i);
    }
    std::sort(remainders.begin(), remainders.end());
    for (std::size_t k = 0; sum < full_permille && !remainders.empty(); ++k, ++sum) {
        ++result[remainders[k % remainders.size()].second];
    }
    return result;
}

}  // namespace

std::uint32_t latency_between(std::span<const region_latency> latencies, const std::string& from,
                              const std::string& to) {
    if (from == to) {
        return 0;
    }
    for (const auto& entry : latencies) {
        if ((entry.from == from && entry.to == to) || (entry.from == to && entry.to == from)) {
            return std::max(1U, entry.one_way_ms);
        }
    }
    return unknown_latency;
}

lookup_builder::lookup_builder(lookup_options options, std::vector<region_latency> latencies)
    : options(std::move(options)), latencies(std::move(latencies)) {
    this->rebuild();
}

// ---- Inputs ----

void lookup_builder::set_blocks(std::shared_ptr<const client_block_table> blocks) {
    this->blocks = std::move(blocks);
    this->rebuild();
}

void lookup_builder::set_hosts(std::span<const wire::edge_info_t> hosts) {
    this->hosts.clear();
    this->known_hosts = hosts.size();
    this->usable_hosts = 0;
    for (const auto& host : hosts) {
        if (host.alive && host.state == wire::edge_state::serving && !host.http_address.empty()) {
            this->hosts[host.region].push_back({host.id, host.http_address, host.region, 0});
            ++this->usable_hosts;
        }
    }
    for (auto& [region, list] : this->hosts) {
        std::sort(list.begin(), list.end(), [](const auto& left, const auto& right) { return left.id < right.id; });
    }
    this->rebuild();
}

void lookup_builder::set_demand(std::map<std::string, double> per_region) {
    this->demand = std::move(per_region);
    this->rebuild();
}

// ---- Answers ----

std::string lookup_builder::region_of(std::string_view client) const {
    client_address address = parse_client_address(client);
    if (this->blocks) {
        if (auto site = this->blocks->find(address)) {
            return this->blocks->site_name(*site);
        }
    }
    if (!this->options.default_region.empty() || this->regions.empty()) {
        return this->options.default_region;
    }
    return this->regions.front();
}

const lookup_answer& lookup_builder::answer(std::string_view client) const {
    return this->answer_for_region(this->region_of(client));
}

// A region that is in no input has no known latency. It gets the answer built for the empty region name.
const lookup_answer& lookup_builder::answer_for_region(const std::string& region) const {
    auto position = this->answers.find(region);
    return position == this->answers.end() ? this->answers.at("") : position->second;
}

void lookup_builder::rebuild() {
    std::set<std::string> names;
    for (const auto& [region, list] : this->hosts) {
        names.insert(region);
    }
    for (const auto& entry : this->latencies) {
        names.insert({entry.from, entry.to});
    }
    for (const auto& [region, amount] : this->demand) {
        names.insert(region);
    }
    if (this->blocks) {
        names.insert(this->blocks->sites().begin(), this->blocks->sites().end());
    }
    this->regions.assign(names.begin(), names.end());
    this->answers.clear();
    auto planned = this->plan();
    for (const auto& region : this->regions) {
        this->answers[region] = this->build(region, planned[region]);
    }
    this->answers.try_emplace("", this->build("", {}));
}

// ---- Weights ----

// Regions with usable hosts, nearest first.
std::vector<std::string> lookup_builder::by_distance(const std::string& region) const {
    std::vector<std::pair<std::uint32_t, std::string>> order;
    for (const auto& [name, list] : this->hosts) {
        order.emplace_back(latency_between(this->latencies, region, name), name);
    }
    std::sort(order.begin(), order.end());
    std::vector<std::string> result;
    result.reserve(order.size());
    for (auto& [distance, name] : order) {
        result.push_back(std::move(name));
    }
    return result;
}

// Demand by region in units of the capacity of one host, scaled down to the capacity that remains after the loss of one
// host. Unknown demand is assumed to be full load in equal parts.
std::map<std::string, double> lookup_builder::planned_demand() const {
    std::map<std::string, double> result;
    double full = std::max(1.0, static_cast<double>(this->usable_hosts) - 1);
    bool known = !this->demand.empty() && this->options.host_requests_per_second > 0;
    double total = 0;
    for (const auto& region : this->regions) {
        auto measured = this->demand.find(region);
        double amount = measured == this->demand.end() ? 0 : measured->second / this->options.host_requests_per_second;
        result[region] = known ? amount : full / static_cast<double>(this->regions.size());
        total += result[region];
    }
    for (auto& [region, amount] : result) {
        amount *= total > full ? full / total : 1;
    }
    return result;
}

// Share of each client region's demand by host region: first the region's own hosts, then the nearest ones with room.
std::map<std::string, std::map<std::string, double>> lookup_builder::plan() const {
    std::map<std::string, std::map<std::string, double>> result;
    std::map<std::string, double> left = this->planned_demand();
    std::map<std::string, double> demands = left;
    std::map<std::string, double> room;
    double count = static_cast<double>(this->usable_hosts);
    for (const auto& [region, list] : this->hosts) {
        room[region] = static_cast<double>(list.size()) * (count > 1 ? (count - 1) / count : 1);
    }
    for (bool own : {true, false}) {
        for (auto& [region, amount] : left) {
            for (const auto& target : this->by_distance(region)) {
                double part = own && target != region ? 0 : std::min(amount, room[target]);
                if (part > 0) {
                    result[region][target] += part / demands[region];
                    room[target] -= part;
                    amount -= part;
                }
            }
        }
    }
    return result;
}

lookup_answer lookup_builder::build(const std::string& region, const std::map<std::string, double>& shares) const {
    lookup_answer result;
    result.client_region = region;
    result.ttl_ms = this->options.ttl_ms;
    std::vector<double> weights;
    for (const auto& target : this->by_distance(region)) {
        const auto& list = this->hosts.at(target);
        auto share = shares.find(target);
        bool nearest_only = shares.empty() && result.hosts.empty();
        double part = share != shares.end() ? share->second : nearest_only ? 1.0 : 0.0;
        for (const auto& host : list) {
            result.hosts.push_back(host);
            weights.push_back(part / static_cast<double>(list.size()));
        }
    }
    double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    for (double& weight : weights) {
        weight /= sum;
    }
    std::vector<std::uint32_t> permille = to_permille(weights);
    for (std::size_t i = 0; i < permille.size(); ++i) {
        result.hosts[i].weight = permille[i];
    }
    if (this->known_hosts > 0 && this->usable_hosts > 2) {
        result.capacity_after_two_losses_permille =
            static_cast<std::uint32_t>((this->usable_hosts - 2) * 1000 / this->known_hosts);
    }
    return result;
}

}  // namespace persimmongrade
