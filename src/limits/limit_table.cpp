// Effective limits of a configuration and the standing floors that granter and holders derive from them.

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <numeric>

#include "persimmongrade/capacity_lease.h"

namespace persimmongrade {

namespace {

constexpr double bytes_per_mbit = 125000;

void apply_minimum(std::map<resource, double>& limits, resource subject, double value) {
    auto [position, inserted] = limits.try_emplace(std::move(subject), std::max(0.0, value));
    if (!inserted) {
        position->second = std::min(position->second, std::max(0.0, value));
    }
}

std::string_view service_of(const resource& subject) {
    std::string_view text = subject.subject;
    return text.substr(0, text.find('/'));
}

// Returns the index of the edge with the highest rendezvous hash of (resource, slot, edge).
std::size_t rendezvous_winner(const std::vector<std::uint64_t>& edge_hashes, std::uint64_t seed, std::uint64_t slot) {
    std::size_t winner = 0;
    std::uint64_t best = 0;
    for (std::size_t i = 0; i < edge_hashes.size(); ++i) {
        std::uint64_t words[2] = {edge_hashes[i], slot};
        std::uint64_t hash = XXH64(words, sizeof(words), seed);
        if (i == 0 || hash > best) {
            best = hash;
            winner = i;
        }
    }
    return winner;
}

std::vector<double> concurrency_floors(std::span<const std::string> edges, const resource& subject, double limit) {
    std::vector<double> result(edges.size(), 0.0);
    std::vector<std::uint64_t> hashes;
    hashes.reserve(edges.size());
    for (const auto& edge : edges) {
        hashes.push_back(XXH64(edge.data(), edge.size(), 0));
    }
    std::uint64_t seed = XXH64(subject.subject.data(), subject.subject.size(), static_cast<unsigned>(subject.kind));
    auto slots = static_cast<std::uint64_t>(std::floor(limit * slot_floor_fraction));
    for (std::uint64_t slot = 0; slot < slots; ++slot) {
        result[rendezvous_winner(hashes, seed, slot)] += 1;
    }
    return result;
}

}  // namespace

// ---- Resources ----

resource region_resource(std::string_view region) {
    return {wire::resource_kind::region, std::string(region)};
}

resource link_resource(std::string_view from, std::string_view to) {
    return {wire::resource_kind::link, std::string(from) + ">" + std::string(to)};
}

resource slots_resource(std::string_view service, std::string_view target) {
    return {wire::resource_kind::slots, std::string(service) + "/" + std::string(target)};
}

resource connections_resource(std::string_view service, std::string_view target) {
    return {wire::resource_kind::connections, std::string(service) + "/" + std::string(target)};
}

bool is_rate(const resource& subject) noexcept {
    return subject.kind == wire::resource_kind::region || subject.kind == wire::resource_kind::link;
}

// ---- limit_table ----

limit_table::limit_table(const wire::configuration_t& configuration)
    : revision_number(configuration.revision), rate_limits(effective_limits(configuration)) {
    for (const auto& record : configuration.records) {
        for (const auto& service : record->services) {
            service_limits& entry = this->services[service->name];
            entry.slots = std::min(entry.slots, static_cast<double>(service->slots_per_target));
            entry.connections = std::min(entry.connections, static_cast<double>(service->connections_per_target));
            this->floors_outlive =
                this->floors_outlive || service->without_control == wire::without_control_policy::floor;
        }
    }
}

double limit_table::limit(const resource& subject) const {
    if (is_rate(subject)) {
        auto position = this->rate_limits.find(subject);
        return position == this->rate_limits.end() ? unlimited : position->second;
    }
    auto position = this->services.find(service_of(subject));
    if (position == this->services.end()) {
        return 0;
    }
    bool slots = subject.kind == wire::resource_kind::slots;
    return slots ? position->second.slots : position->second.connections;
}

std::vector<double> limit_table::floors(std::span<const std::string> edges, const resource& subject) const {
    double limit = this->limit(subject);
    if (limit == unlimited) {
        return std::vector<double>(edges.size(), unlimited);
    }
    if (is_rate(subject)) {
        return std::vector<double>(edges.size(), limit * rate_floor_fraction / static_cast<double>(edges.size()));
    }
    return concurrency_floors(edges, subject, limit);
}

double limit_table::floor(std::span<const std::string> edges, std::string_view edge, const resource& subject) const {
    auto position = std::find(edges.begin(), edges.end(), edge);
    if (position == edges.end()) {
        throw unknown_edge_error("edge \"" + std::string(edge) + "\" is not in the list of edges");
    }
    return this->floors(edges, subject).at(static_cast<std::size_t>(position - edges.begin()));
}

double limit_table::burst(std::size_t edges, const resource& subject) const {
    double limit = this->limit(subject);
    if (limit == unlimited || edges == 0) {
        return default_burst_fraction;
    }
    double unit = subject.kind == wire::resource_kind::link ? link_burst_bytes : 1;
    return burst_fraction(limit * rate_floor_fraction / static_cast<double>(edges), unit);
}

bool limit_table::floors_outlive_configuration() const noexcept {
    return this->floors_outlive;
}

bool limit_table::same_limits(const limit_table& other) const {
    return this->rate_limits == other.rate_limits && this->services == other.services &&
           this->floors_outlive == other.floors_outlive;
}

std::map<resource, double> effective_limits(const wire::configuration_t& configuration) {
    std::map<resource, double> result;
    for (const auto& record : configuration.records) {
        for (const auto& region : record->regions) {
            apply_minimum(result, region_resource(region->region), region->max_requests_per_second);
        }
        for (const auto& link : record->links) {
            apply_minimum(result, link_resource(link->from, link->to), link->max_mbit_per_second * bytes_per_mbit);
        }
    }
    return result;
}

double floor_share(const wire::configuration_t& configuration, std::span<const std::string> edges,
                   std::string_view edge, const resource& subject) {
    return limit_table(configuration).floor(edges, edge, subject);
}

}  // namespace persimmongrade
