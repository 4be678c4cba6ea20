// Cost of a ping at the edge and at the leader.

#include <algorithm>

#include "parts.h"
#include "persimmongrade/capacity_lease.h"

namespace persimmongrade {

namespace {

constexpr std::size_t local_targets = 14;

struct lease_cost {
    double ping_bytes = 0;
    double pong_bytes = 0;
    double pong_bytes_with_edges = 0;
    double ping_us = 0;     // prepare and encode at the edge, receive the answer
    double granter_us = 0;  // decode, answer and encode at the leader, without the list of edges
};

void fill_edges(wire::edge_pong_t& pong, const std::vector<std::string>& names) {
    for (const auto& name : names) {
        auto& edge = pong.edges.emplace_back(std::make_unique<wire::edge_info_t>());
        edge->id = name;
        edge->region = "region-0";
        edge->zone = "region-0-a";
        edge->http_address = "127.0.1.1:8000";
        edge->peer_address = "127.0.1.1:7000";
        edge->alive = true;
    }
}

// `varying`: every rate changes with every ping; otherwise none does. `targets`: each edge asks for one slot and one
// connection of so many targets.
lease_cost measure_leases(std::size_t edges, std::size_t resources, bool varying, std::size_t targets) {
    constexpr int rounds = 8;
    constexpr int measured_from = 4;
    auto names = edge_names(edges);
    auto configuration = make_configuration(resources, 100.0 * static_cast<double>(edges));
    lease_granter granter(names);
    granter.apply(configuration, time_point(ms(0)));
    granter.become_leader(1, time_point(ms(0)));
    std::vector<lease_holder> holders;
    for (const auto& name : names) {
        holders.emplace_back(name, names).apply(configuration, time_point(ms(0)));
    }
    lease_cost result;
    double pings = 0;
    for (int round = 0; round < rounds; ++round) {
        time_point now(ms(3000 + round * 250));
        for (std::size_t i = 0; i < edges; ++i) {
            lease_holder& holder = holders[i];
            for (std::size_t r = 0; r < resources; ++r) {
                double amount = varying ? static_cast<double>(1 + (r + static_cast<std::size_t>(round)) % 3) : 1;
                resource_claim claim{region_resource(region_name(r)), amount};
                holder.reserve(std::span(&claim, 1), now, floor_use::without_configuration);
            }
            for (std::size_t target = 0; target < targets; ++target) {
                std::string name = "target-" + std::to_string(target);
                holder.anticipate(slots_resource(lease_service, name), 1, now);
                holder.anticipate(connections_resource(lease_service, name), 1, now);
            }
            wire::edge_ping_t ping;
            wire::edge_pong_t pong;
            std::vector<std::uint8_t> ping_bytes;
            std::vector<std::uint8_t> pong_bytes;
            double edge = seconds([&] {
                holder.prepare(ping, now);
                ping_bytes = pack<wire::edge_ping>(ping);
            });
            double leader = seconds([&] {
                wire::edge_ping_t received;
                flatbuffers::GetRoot<wire::edge_ping>(ping_bytes.data())->UnPackTo(&received);
                pong_bytes = pack<wire::edge_pong>(granter.answer(received, now));
            });
            edge += seconds([&] {
                flatbuffers::GetRoot<wire::edge_pong>(pong_bytes.data())->UnPackTo(&pong);
                holder.receive(pong, now);
            });
            if (round >= measured_from) {
                ++pings;
                result.ping_us += edge * 1e6;
                result.granter_us += leader * 1e6;
                result.ping_bytes += static_cast<double>(ping_bytes.size());
                result.pong_bytes += static_cast<double>(pong_bytes.size());
            }
            if (round == rounds - 1 && i == 0) {
                fill_edges(pong, names);
                result.pong_bytes_with_edges = static_cast<double>(pack<wire::edge_pong>(pong).size());
            }
        }
    }
    for (double* value : {&result.ping_us, &result.granter_us, &result.ping_bytes, &result.pong_bytes}) {
        *value /= pings;
    }
    return result;
}

}  // namespace

std::vector<std::string> edge_names(std::size_t count) {
    std::vector<std::string> result;
    for (std::size_t i = 0; i < count; ++i) {
        result.push_back("edge-" + std::to_string(i));
    }
    return result;
}

std::string region_name(std::size_t index) {
    return "region-" + std::to_string(index);
}

wire::configuration_t make_configuration(std::size_t resources, double rate) {
    wire::configuration_t result;
    result.revision = 1;
    auto& record = result.records.emplace_back(std::make_unique<wire::steering_record_t>());
    for (std::size_t i = 0; i < resources; ++i) {
        auto& limit = record->regions.emplace_back(std::make_unique<wire::region_limit_t>());
        limit->region = region_name(i);
        limit->max_requests_per_second = rate;
    }
    auto& service = record->services.emplace_back(std::make_unique<wire::service_definition_t>());
    service->name = lease_service;
    service->slots_per_target = 6;
    service->connections_per_target = 330;
    return result;
}

std::vector<table> measure_all_leases() {
    const std::vector<std::string> columns = {"edges",
                                              "resources",
                                              "ping bytes",
                                              "pong bytes",
                                              "pong + edge list bytes",
                                              "edge us per ping",
                                              "leader us per ping"};
    table by_edges{"leases by number of edges, 21 rate resources", columns, {}};
    table by_resources{"leases by number of resources, 7 edges", columns, {}};
    table varying{"leases, all demands change with every ping", columns, {}};
    table today{"leases of today's deployment, 14 targets in each region", columns, {}};
    auto add = [&](table& report, std::size_t edges, std::size_t resources) {
        lease_cost cost = measure_leases(edges, resources, &report == &varying, &report == &today ? local_targets : 0);
        report.rows.push_back({edges, resources, cost.ping_bytes, cost.pong_bytes, cost.pong_bytes_with_edges,
                               cost.ping_us, cost.granter_us});
    };
    for (std::size_t edges : {7U, 50U, 100U, 200U, 400U, 650U}) {
        add(by_edges, edges, 21);
    }
    for (std::size_t resources : {7U, 21U, 49U, 100U, 200U}) {
        add(by_resources, 7, resources);
    }
    add(today, 7, 9);  // 3 regions, 6 links
    add(varying, 7, 21);
    add(varying, 7, 49);
    add(varying, 650, 21);
    add(varying, 650, 49);
    table fits = make_fit_table("leases, linear fit");
    add_fits(fits, by_edges, "", 0, {4, 5, 6});
    add_fits(fits, by_resources, "", 1, {2, 3, 5, 6});
    return {by_edges, by_resources, today, varying, fits};
}

}  // namespace persimmongrade
