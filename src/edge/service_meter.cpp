#include "service_meter.h"

#include <algorithm>

namespace persimmongrade {

namespace {

constexpr double ms_per_second = 1000.0;

prometheus::Histogram::BucketBoundaries latency_bounds() {
    return {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};  // seconds
}

}  // namespace

void service_meter::offered(const std::string& service, const std::string& caller_region) {
    ++this->demands[{service, caller_region}].count;
}

void service_meter::ended(const std::string& service, duration latency) {
    auto [found, added] = this->latencies.try_emplace(service, nullptr);
    if (added) {
        found->second = &this->metrics.histogram("persimmongrade_request_seconds", "Time from a request to its answer.",
                                                 latency_bounds(), {{"service", service}});
    }
    found->second->Observe(static_cast<double>(latency.count()) / ms_per_second);
}

void service_meter::answered(const std::string& service, std::uint64_t request_bytes, std::uint64_t answer_bytes) {
    sizes& entry = this->transfers[service];
    entry.requests += 1;
    entry.request_bytes += static_cast<double>(request_bytes);
    entry.answer_bytes += static_cast<double>(answer_bytes);
    entry.changed = true;
}

void service_meter::close_window(time_point now) {
    duration elapsed = now - this->window_started;
    if (elapsed < demand_window) {
        return;
    }
    for (auto& [key, entry] : this->demands) {
        entry.per_second = static_cast<double>(entry.count) * ms_per_second / static_cast<double>(elapsed.count());
        entry.count = 0;
    }
    this->window_started = now;
    this->measured_at_ms = unix_time_ms();
    for (auto& [service, entry] : this->transfers) {
        if (!std::exchange(entry.changed, false)) {
            continue;
        }
        entry.mean_request_bytes = entry.request_bytes / entry.requests;
        entry.mean_answer_bytes = entry.answer_bytes / entry.requests;
        entry.measured_at_ms = this->measured_at_ms;
        entry.requests /= 2;
        entry.request_bytes /= 2;
        entry.answer_bytes /= 2;
    }
    ++this->sequence;
}

void service_meter::report(wire::edge_ping_t& ping, const wire::configuration_t& configuration,
                           const target_pool& targets, time_point now) {
    this->close_window(now);
    for (const auto& [key, entry] : this->demands) {
        auto& demand = ping.service_demands.emplace_back(std::make_unique<wire::service_demand_t>());
        demand->service = key.first;
        demand->caller_region = key.second;
        demand->requests_per_second = entry.per_second;
        demand->taken_at_ms = this->measured_at_ms;
        demand->sequence = this->sequence;
        if (auto size = this->transfers.find(key.first); size != this->transfers.end()) {
            demand->request_bytes = size->second.mean_request_bytes;
            demand->answer_bytes = size->second.mean_answer_bytes;
            demand->sizes_taken_at_ms = size->second.measured_at_ms;
        }
    }
    if (now < this->started_at + target_lease) {
        return;  // announcements may not have arrived yet
    }
    for (const auto& record : configuration.records) {
        for (const auto& service : record->services) {
            this->report_capacities(ping, *service, targets.view(now, service->name));
        }
    }
}

// Reports every region of the service, also one without live targets. A target whose latency was never observed counts
// as the mean of the others, or as the last known mean when no live target has been observed: a region that loses all
// its targets may have been the only one in use, and a missing report of the others would freeze the shift to them. A
// region is left out while no latency of the service was ever known.
void service_meter::report_capacities(wire::edge_ping_t& ping, const wire::service_definition_t& service,
                                      const std::vector<target_view>& views) {
    double latency_sum = 0;
    double known = 0;
    for (const target_view& view : views) {
        latency_sum += view.latency_ms;
        known += view.latency_ms > 0 ? 1 : 0;
    }
    double& mean_latency = this->mean_latencies[service.name];
    mean_latency = known > 0 ? latency_sum / known : mean_latency;
    for (const std::string& region : service.regions) {
        auto capacity = std::make_unique<wire::region_capacity_t>();
        for (const target_view& view : views) {
            if (view.target.region != region || view.draining || view.ejected) {
                continue;
            }
            ++capacity->live_targets;
            capacity->cold_targets += view.cold ? 1 : 0;
            double latency = view.latency_ms > 0 ? view.latency_ms : mean_latency;
            capacity->requests_per_second += view.target.slots * ms_per_second / std::max(1.0, latency);
        }
        if (capacity->live_targets > 0 && mean_latency <= 0) {
            continue;
        }
        capacity->service = service.name;
        capacity->region = region;
        capacity->taken_at_ms = this->measured_at_ms;
        capacity->sequence = this->sequence;
        ping.capacities.push_back(std::move(capacity));
    }
}

}  // namespace persimmongrade
