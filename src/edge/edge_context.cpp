#include "edge_context.h"

#include <algorithm>

namespace persimmongrade {

namespace {

std::vector<std::string> ids_of(const std::vector<std::unique_ptr<wire::peer_settings_t>>& peers) {
    std::vector<std::string> ids;
    std::transform(peers.begin(), peers.end(), std::back_inserter(ids), [](const auto& peer) { return peer->id; });
    return ids;
}

}  // namespace

edge_context::edge_context(event_loop& loop, const wire::edge_settings_t& settings, metric_registry& metrics,
                           std::uint64_t incarnation)
    : loop(loop), settings(settings), metrics(metrics), refusals(metrics), client(loop),
      config({settings.id, ids_of(settings.control)}),
      index(std::make_shared<const configuration_index>(std::make_shared<const wire::configuration_t>())),
      targets({selection_method::two_random_choices, incarnation}), random(incarnation) {
    for (const auto& latency : settings.simulated_latency) {
        this->latency_ms[latency->to_region] = latency->one_way_ms;
    }
}

void edge_context::refuse(http_exchange& exchange, const refusal& refused) {
    this->refusals.count(refused.reason);
    exchange.respond(refusal_response(refused));
}

}  // namespace persimmongrade
