// A control process of a deployment whose hosts find each other at run time: a member of the replicated log of items,
// the meeting point of targets and gateways, and the directory of gateways for clients.
//
//     fleet_control control(loop, settings, metrics);
//     control.submit(batch, [](const command_result& result) { ... });   // from an operator
//     control.report(report, [](bool accepted) { ... });               // from a target
//     auto addresses = control.gateways_for("north", "north-1");       // for a client
//
// It has no HTTP interface of its own: the caller translates.
//
// Membership. At the first start, the processes named as seeds form the log. Every other process, and one whose disk
// was lost, asks to join. The leader adds it while there are fewer than 2 n + 1 voters for n lost disks, or in place of
// a voter that is lost. A process that lost its disk joins under a new identity, so that it never votes twice.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fleet_generated.h"
#include "persimmongrade/event_loop.h"
#include "persimmongrade/item_store.h"
#include "persimmongrade/metrics.h"
#include "settings_generated.h"

namespace persimmongrade {

enum class command_status : std::uint8_t {
    accepted,     // committed by a majority of the voters
    invalid,      // `detail` says why; nothing changed
    not_leader,   // `leader_address` is the HTTP address of the leader
    unavailable,  // no leader, or the outcome is unknown: send it again
};

struct command_result {
    command_status status = command_status::unavailable;
    std::string detail;
    std::string leader_address;
};

class fleet_control {
public:
    // Throws socket_error when an address cannot be bound, and storage_error types when the disk cannot be used.
    fleet_control(event_loop& loop, const wire::fleet_settings_t& settings, metric_registry& metrics);
    ~fleet_control();
    fleet_control(const fleet_control&) = delete;
    fleet_control& operator=(const fleet_control&) = delete;

    using order_callback = std::function<void(const command_result&)>;

    // Operators. The callback runs once, at the latest when the process stops.
    void submit(wire::item_batch_t batch, order_callback callback);
    void set_zone_evacuation(const std::string& zone, bool active, order_callback callback);
    command_result read_status() const;  // accepted: items() holds every acknowledged change
    const item_store& items() const noexcept;

    // Targets. The report names the target; phase `gone` may leave out the rest.
    bool report(wire::target_report_t report);  // false: not recorded safely, the target must ask another process

    // Clients. Addresses of gateways for a client of that place, nearest first; empty when none is known.
    std::vector<std::string> gateways_for(const std::string& region, const std::string& zone) const;

    void stop(std::function<void()> done);  // hands over leadership, then calls done

private:
    struct impl;
    std::unique_ptr<impl> state;
};

}  // namespace persimmongrade
