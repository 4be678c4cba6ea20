#include "edge_context.h"

#include <algorithm>

#include "execution.h"

namespace persimmongrade {

namespace {

constexpr std::size_t longest_queue = 1024;  // requests per service

std::vector<std::string> ids_of(const std::vector<std::unique_ptr<wire::peer_settings_t>>& peers) {
    std::vector<std::string> ids;
    std::transform(peers.begin(), peers.end(), std::back_inserter(ids), [](const auto& peer) { return peer->id; });
    return ids;
}

}  // namespace

edge_context::edge_context(event_loop& loop, const wire::edge_settings_t& settings, metric_registry& metrics,
                           std::uint64_t incarnation, std::uint64_t random_seed)
    : loop(loop), settings(settings), metrics(metrics), refusals(metrics), client(loop),
      config({settings.id, incarnation, ids_of(settings.control)}),
      index(std::make_shared<const configuration_index>(std::make_shared<const wire::configuration_t>())),
      leases(settings.id, ids_of(settings.edges)), capacity(settings.region, this->leases),
      targets({selection_method::two_random_choices, random_seed}), lookups(settings), meter(metrics, loop.now()),
      random(random_seed) {}

bool edge_context::join_queue(const std::string& service, std::weak_ptr<execution> waiting) {
    auto& queue = this->queues[service];
    std::erase_if(queue, [](const auto& entry) {
        auto held = entry.lock();
        return !held || !held->waiting();
    });
    if (queue.size() >= longest_queue) {
        return false;
    }
    queue.push_back(std::move(waiting));
    return true;
}

void edge_context::capacity_released(const std::string& service) {
    auto found = this->queues.find(service);
    if (found == this->queues.end() || found->second.empty()) {
        return;
    }
    // Taken out first: a request that tries again may release capacity itself.
    auto queue = std::move(found->second);
    found->second.clear();
    std::deque<std::weak_ptr<execution>> left;
    bool blocked = false;
    for (auto& entry : queue) {
        auto held = entry.lock();
        if (held && !blocked) {
            held->retry_admission();
        }
        if (held && held->waiting()) {
            blocked = true;
            left.push_back(std::move(entry));
        }
    }
    auto& current = this->queues[service];
    current.insert(current.begin(), left.begin(), left.end());
}

void edge_context::retry_waiting() {
    std::vector<std::string> services;
    for (const auto& [service, queue] : this->queues) {
        if (!queue.empty()) {
            services.push_back(service);
        }
    }
    for (const std::string& service : services) {
        this->capacity_released(service);
    }
}

void edge_context::refuse(http_exchange& exchange, const refusal& refused) {
    this->refusals.count(refused.reason);
    exchange.respond(refusal_response(refused));
}

}  // namespace persimmongrade
