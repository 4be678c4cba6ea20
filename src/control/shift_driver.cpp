#include "server_state.h"

#include <algorithm>
#include <array>
#include <utility>

namespace persimmongrade {

namespace {

constexpr duration measurements_expiry = ms(30000);  // until then, old measurements of a silent edge suspend shifts

}  // namespace

// Converts the Unix time of a measurement to local time. A time in the future counts as now.
time_point control_server::impl::local_time(time_point now, std::int64_t taken_at_ms) {
    std::int64_t age_ms = std::max<std::int64_t>(0, unix_time_ms() - taken_at_ms);
    return now - ms(age_ms);
}

void control_server::impl::record_measurements(time_point now, const wire::edge_ping_t& ping) {
    auto [found, added] = this->measured_edges.try_emplace(ping.edge);
    if (ping.incarnation < found->second.incarnation) {
        return;
    }
    if (!added && ping.incarnation != found->second.incarnation) {
        this->shifts.remove_edge(ping.edge);
    }
    found->second = {ping.incarnation, now};
    this->shifts.set_edge_region(ping.edge, ping.region);
    for (const auto& demand : ping.service_demands) {
        std::optional<time_point> sizes_taken_at;
        if (demand->sizes_taken_at_ms > 0) {
            sizes_taken_at = local_time(now, demand->sizes_taken_at_ms);
        }
        this->shifts.observe(ping.edge, *demand, local_time(now, demand->taken_at_ms), sizes_taken_at);
    }
    for (const auto& capacity : ping.capacities) {
        this->shifts.observe(ping.edge, *capacity, local_time(now, capacity->taken_at_ms));
    }
}

void control_server::impl::decide_shifts() {
    time_point now = this->loop.now();
    if (this->shifts_revision != this->store.revision()) {
        this->shifts_revision = this->store.revision();
        this->shifts.apply(this->store.configuration(), now);
    }
    if (!this->refresh_authority() || this->is_stopping) {
        return;
    }
    this->sync_granter(now);
    std::erase_if(this->measured_edges, [&](const auto& item) {
        bool has_expired = now >= item.second.last_ping + measurements_expiry;
        if (has_expired) {
            this->shifts.remove_edge(item.first);
        }
        return has_expired;
    });
    wire::set_assignments_t command;
    for (wire::assignment_t& assignment : this->shifts.decide(now)) {
        command.assignments.push_back(std::make_unique<wire::assignment_t>(std::move(assignment)));
    }
    if (!command.assignments.empty()) {
        wire::command_bodyUnion body;
        body.Set(std::move(command));
        this->submit(std::move(body), nullptr);
    }
}

nlohmann::json control_server::impl::shift_states() const {
    static constexpr std::array names = {"settled", "moving", "cap_used", "measurements_stale", "no_room"};
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [service, status] : this->shifts.status()) {
        list.push_back({{"service", service},
                        {"state", names.at(static_cast<std::size_t>(status.state))},
                        {"moved_permille", status.moved_permille}});
    }
    return list;
}

}  // namespace persimmongrade
