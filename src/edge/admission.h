// Admission of requests to targets by capacity leases: region, link, slots and connections.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "persimmongrade/capacity_lease.h"
#include "persimmongrade/http.h"
#include "persimmongrade/rate_limiter.h"
#include "persimmongrade/target_pool.h"
#include "record_generated.h"

namespace persimmongrade {

std::uint64_t message_bytes(const std::vector<http_header>& headers, std::size_t body_bytes);  // estimate on the wire

// Capacity held by one attempt.
struct admission_ticket {
    std::vector<resource_claim> held;
    std::string service;
    std::string target_region;

    bool operator==(const admission_ticket&) const = default;
};

class admission {
public:
    admission(std::string own_region, lease_holder& leases) : own_region(std::move(own_region)), leases(leases) {}

    // Whether this edge has a slot and a connection left on the target.
    bool has_slot(const target_choice& target, time_point now, floor_use use) const;

    // Reserves everything or nothing. On success `ticket` holds the claims, for release(). `repeated` is set when the
    // same request was refused before, so that it counts as demand once.
    reservation_result reserve(const wire::service_definition_t& service, const target_choice& target,
                               std::uint64_t request_bytes, time_point now, bool repeated, admission_ticket& ticket);

    // Ends an attempt. `answer_bytes` corrects the estimate; 0: unknown, the estimate stands.
    void release(const admission_ticket& ticket, std::uint64_t answer_bytes, time_point now);

private:
    answer_size_estimator& sizes(const std::string& service, std::uint64_t max_bytes);

    std::string own_region;
    lease_holder& leases;
    std::map<std::string, answer_size_estimator> estimators;  // by service
};

// Idempotent requests of a service with `without_control: floor` may use the floors without a configuration lease.
floor_use floor_use_of(const wire::service_definition_t& service);

}  // namespace persimmongrade
