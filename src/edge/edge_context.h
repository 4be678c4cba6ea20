// What the parts of one edge share.

#pragma once

#include <map>
#include <memory>
#include <string>

#include "configuration_index.h"
#include "persimmongrade/config_client.h"
#include "persimmongrade/event_loop.h"
#include "persimmongrade/http_client.h"
#include "persimmongrade/http_server.h"
#include "persimmongrade/metrics.h"
#include "persimmongrade/settings.h"
#include "refusal.h"

namespace persimmongrade {

struct known_target {
    wire::target_info_t info;
    time_point expires_at{};
    std::uint32_t outstanding = 0;  // requests of this edge
};

struct edge_context {
    event_loop& loop;
    const wire::edge_settings_t& settings;
    metric_registry& metrics;
    refusal_counters refusals;
    http_client client;
    config_client config;
    std::shared_ptr<const configuration_index> index;
    std::map<std::string, known_target> targets;
    wire::edge_state state = wire::edge_state::starting;
    bool refuse_new_work = false;  // late in a planned stop
    std::size_t running_requests = 0;

    void refuse(http_exchange& exchange, const refusal& refused) {
        this->refusals.count(refused.reason);
        exchange.respond(refusal_response(refused));
    }
};

}  // namespace persimmongrade
