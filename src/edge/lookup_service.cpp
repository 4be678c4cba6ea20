#include "lookup_service.h"

#include <nlohmann/json.hpp>

namespace persimmongrade {

namespace {

std::vector<region_latency> latencies_of(const wire::edge_settings_t& settings) {
    std::vector<region_latency> latencies;
    for (const auto& latency : settings.simulated_latency) {
        latencies.push_back({settings.region, latency->to_region, latency->one_way_ms});
    }
    return latencies;
}

lookup_options options_of(const wire::edge_settings_t& settings) {
    lookup_options options;
    options.ttl_ms = settings.lookup_ttl_ms;
    options.default_region = settings.region;
    return options;
}

}  // namespace

lookup_service::lookup_service(const wire::edge_settings_t& settings)
    : own_id(settings.id), own_region(settings.region), builder(options_of(settings), latencies_of(settings)) {}

void lookup_service::apply(std::shared_ptr<const wire::configuration_t> configuration) {
    this->blocks.apply(std::move(configuration));
    this->builder.set_blocks(this->blocks.table());
}

void lookup_service::set_edges(const std::vector<std::unique_ptr<wire::edge_info_t>>& edges, bool usable_here) {
    std::vector<wire::edge_info_t> current;
    current.reserve(edges.size());
    for (const auto& edge : edges) {
        wire::edge_info_t& host = current.emplace_back(*edge);
        host.alive = host.alive && (usable_here || host.id != this->own_id);
        host.applied_revision = 0;  // does not matter here and changes often
    }
    if (current == this->hosts) {
        return;  // rebuilding the answers is costly, and the leader reports four times a second
    }
    this->builder.set_hosts(current);
    this->hosts = std::move(current);
}

std::string lookup_service::region_of(const std::string& client) const {
    try {
        return this->builder.region_of(client);
    } catch (const client_block_error&) {
        return this->own_region;
    }
}

http_response lookup_service::answer(const http_request& request) const {
    const lookup_answer& found = this->builder.answer(request.query_value("client").value_or(request.peer_ip));
    nlohmann::json hosts = nlohmann::json::array();
    for (const lookup_host& host : found.hosts) {
        hosts.push_back({{"id", host.id}, {"address", host.address}, {"region", host.region}, {"weight", host.weight}});
    }
    nlohmann::json body{{"client_region", found.client_region},
                        {"ttl_ms", found.ttl_ms},
                        {"hosts", std::move(hosts)},
                        {"capacity_after_two_losses_permille", found.capacity_after_two_losses_permille}};
    http_response response = json_response(200, body.dump());
    response.headers.push_back({"cache-control", "max-age=" + std::to_string(found.ttl_ms / 1000)});
    return response;
}

}  // namespace persimmongrade
