// What the parts of one edge share.

#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>

#include "configuration_index.h"
#include "persimmongrade/config_client.h"
#include "persimmongrade/event_loop.h"
#include "persimmongrade/http_client.h"
#include "persimmongrade/http_server.h"
#include "persimmongrade/metrics.h"
#include "persimmongrade/quarantine.h"
#include "persimmongrade/retry_policy.h"
#include "persimmongrade/settings.h"
#include "persimmongrade/target_pool.h"
#include "refusal.h"

namespace persimmongrade {

struct edge_context {
    edge_context(event_loop& loop, const wire::edge_settings_t& settings, metric_registry& metrics,
                 std::uint64_t incarnation);

    event_loop& loop;
    const wire::edge_settings_t& settings;
    metric_registry& metrics;
    refusal_counters refusals;
    http_client client;
    config_client config;
    std::shared_ptr<const configuration_index> index;
    target_pool targets;
    retry_policy retries;
    quarantine crashes;
    std::map<std::string, std::uint32_t> latency_ms;  // one way, by region
    std::mt19937_64 random;
    wire::edge_state state = wire::edge_state::starting;
    bool refuse_new_work = false;  // late in a planned stop
    std::size_t running_requests = 0;

    // Sends quarantine notices to the other edges; set by the server.
    std::function<void(std::vector<wire::quarantine_notice_t>)> send_notices;

    void refuse(http_exchange& exchange, const refusal& refused);  // answers and counts
};

}  // namespace persimmongrade
