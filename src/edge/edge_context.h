// What the parts of one edge share.

#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "admission.h"
#include "configuration_index.h"
#include "lookup_service.h"
#include "persimmongrade/config_client.h"
#include "persimmongrade/event_loop.h"
#include "persimmongrade/http_client.h"
#include "persimmongrade/http_server.h"
#include "persimmongrade/metrics.h"
#include "persimmongrade/planned_stop.h"
#include "persimmongrade/quarantine.h"
#include "persimmongrade/retry_policy.h"
#include "persimmongrade/settings.h"
#include "persimmongrade/target_pool.h"
#include "refusal.h"
#include "service_meter.h"

namespace persimmongrade {

class execution;

struct edge_context {
    edge_context(event_loop& loop, const wire::edge_settings_t& settings, metric_registry& metrics,
                 std::uint64_t incarnation, std::uint64_t random_seed);

    event_loop& loop;
    const wire::edge_settings_t& settings;
    metric_registry& metrics;
    refusal_counters refusals;
    http_client client;
    config_client config;
    std::shared_ptr<const configuration_index> index;
    lease_holder leases;
    admission capacity;
    target_pool targets;
    retry_policy retries;
    quarantine crashes;
    lookup_service lookups;
    service_meter meter;
    std::mt19937_64 random;
    wire::edge_state state = wire::edge_state::starting;
    std::optional<planned_stop> stopping;
    std::size_t running_requests = 0;
    std::map<std::string, std::deque<std::weak_ptr<execution>>> queues;

    // Sends quarantine notices to the other edges; set by the server.
    std::function<void(std::vector<wire::quarantine_notice_t>)> send_notices;
    // Reports the demand to the leader ahead of the next periodic ping; set by the server.
    std::function<void()> report_demand;

    // Queue of requests that wait for capacity, by service. False when it is full.
    bool join_queue(const std::string& service, std::weak_ptr<execution> waiting);
    void capacity_released(const std::string& service);  // lets waiting requests try again, oldest first
    void retry_waiting();                                // the same for all services

    void refuse(http_exchange& exchange, const refusal& refused);  // answers and counts
};

}  // namespace persimmongrade
