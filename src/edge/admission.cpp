#include "admission.h"

namespace persimmongrade {

namespace {

constexpr std::uint64_t start_line_bytes = 64;       // request or status line, length and connection headers
constexpr std::uint64_t header_separator_bytes = 4;  // ": " and line end

}  // namespace

std::uint64_t message_bytes(const std::vector<http_header>& headers, std::size_t body_bytes) {
    std::uint64_t bytes = start_line_bytes + body_bytes;
    for (const http_header& header : headers) {
        bytes += header.name.size() + header.value.size() + header_separator_bytes;
    }
    return bytes;
}

floor_use floor_use_of(const wire::service_definition_t& service) {
    bool floor = service.idempotent && service.without_control == wire::without_control_policy::floor;
    return floor ? floor_use::without_configuration : floor_use::with_configuration;
}

bool admission::has_slot(const target_choice& target, time_point now, floor_use use) const {
    auto has_one = [&](const resource& subject) {
        return this->leases.in_use(subject) + 1 <= this->leases.usable(subject, now, use);
    };
    return has_one(slots_resource(target.service, target.id)) &&
           has_one(connections_resource(target.service, target.id));
}

reservation_result admission::reserve(const wire::service_definition_t& service, const target_choice& target,
                                      std::uint64_t request_bytes, time_point now, bool repeated,
                                      admission_ticket& ticket) {
    constexpr std::size_t most_claims = 5;
    std::vector<resource_claim> claims;  // an initializer list would copy each of them
    claims.reserve(most_claims);
    claims.push_back({region_resource(target.region), 1});
    claims.push_back({slots_resource(service.name, target.id), 1});
    claims.push_back({connections_resource(service.name, target.id), 1});
    if (target.region != this->own_region) {
        auto answer_bytes = static_cast<double>(this->sizes(service.name, service.max_answer_bytes).estimate());
        claims.push_back({link_resource(this->own_region, target.region), static_cast<double>(request_bytes)});
        claims.push_back({link_resource(target.region, this->own_region), answer_bytes});
    }
    reservation_result result = this->leases.reserve(claims, now, floor_use_of(service), repeated);
    if (result) {
        ticket = {std::move(result.held), service.name, target.region};
    }
    return result;
}

void admission::release(const admission_ticket& ticket, std::uint64_t answer_bytes, time_point now) {
    std::vector<resource_claim> actual;
    auto estimator = this->estimators.find(ticket.service);
    bool crossed_link = estimator != this->estimators.end() && ticket.target_region != this->own_region;
    if (answer_bytes > 0 && crossed_link) {
        estimator->second.observe(answer_bytes);
        actual.push_back({link_resource(ticket.target_region, this->own_region), static_cast<double>(answer_bytes)});
    }
    this->leases.complete(ticket.held, now, actual);
}

answer_size_estimator& admission::sizes(const std::string& service, std::uint64_t max_bytes) {
    auto [position, added] = this->estimators.try_emplace(service, max_bytes);
    if (!added && position->second.maximum() != max_bytes) {
        position->second = answer_size_estimator(max_bytes);
    }
    return position->second;
}

}  // namespace persimmongrade
