// Control process of a deployment whose hosts discover each other at run time. It is a member of the replicated log of
// items (service, route and other configuration), receives the reports of targets and passes them on to the gateways,
// and tells clients which gateways to use.
//
//     fleet_control control(loop, settings, metrics);
//     control.submit(batch, [](const command_result& result) { ... });   // from an operator
//     control.report(report, [](bool accepted) { ... });               // from a target
//     auto addresses = control.gateways_for("north", "north-1");       // for a client
//
// It has no HTTP interface of its own: the caller translates HTTP requests into these calls.
//
// Reports and the list of gateways travel between the control processes, and from each to the gateways that chose it as
// their source, one in their own region while there is one. Gateways ping the others seldom.
//
// The departure of a target is acknowledged once it is committed in the log: gateways must follow it from then on, also
// when the process that received it ends. They receive it with the items, and earlier as a report.
//
// It also passes on news that gateways learn from targets, quarantine notices and limits: each gateway sends its own to
// every control process, and gets those of the others from the one that sends it items.
//
// Membership. At the first start of the deployment, the processes listed as seeds are the voters of the log. Every
// other process, and one whose disk was lost, sends join requests. The leader adds it while there are fewer than 2 n +
// 1 voters, where n is the setting `lost_disks`, or in place of a voter that it no longer hears from. A process that
// lost its disk joins under a new identity, so that it never votes twice.

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
    unavailable,  // no leader, or the outcome is unknown: retry
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

    using command_callback = std::function<void(const command_result&)>;

    // Operator commands, replicated through the log. The callback runs once, at the latest when the process stops.
    void submit(wire::item_batch_t batch, command_callback callback);
    void set_zone_evacuation(const std::string& zone, bool active, command_callback callback);
    command_result read_status() const;  // `accepted` when items() holds every acknowledged change
    const item_store& items() const noexcept;

    // Target reports. A report of phase `gone` needs only the target's id. The callback runs once, at the latest after
    // departure_timeout unless the process ends. It gets false when the departure of a target cannot be recorded,
    // because there is no leader or the target is unknown: the target must then report to another process.
    using report_callback = std::function<void(bool accepted)>;
    void report(
        wire::target_report_t report, const report_callback& callback = [](bool) {});
    // HTTP address of a control process in the target's region, for its later reports. Empty: this process is as near,
    // or none there answers.
    std::string reporting_address(const std::string& region, const std::string& target) const;

    // Addresses of gateways for a client in that region and zone, nearest first; empty when none is known.
    std::vector<std::string> gateways_for(const std::string& region, const std::string& zone) const;

    void stop(std::function<void()> done);  // transfers leadership, then calls `done`

private:
    struct impl;
    std::unique_ptr<impl> state;
};

}  // namespace persimmongrade
