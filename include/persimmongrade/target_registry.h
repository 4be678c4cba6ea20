// Latest report of each target. Control processes and gateways each keep a registry, and merge reports that may arrive
// duplicated, late or out of order.
//
//     target_registry targets;
//     if (targets.merge(report, now) != report_effect::none) { forward the report }
//
// The report with the newest start of the target wins, and within one start the highest sequence. Within one start, a
// target that is draining or gone does not become ready again; a target marked silent becomes usable with its next
// report. An address belongs to the target with the newest start among those that claim it.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fleet_generated.h"
#include "persimmongrade/clock.h"

namespace persimmongrade {

enum class report_effect : std::uint8_t {
    none,     // older than the known report, or a duplicate
    renewed,  // newer, but nothing that affects dispatching has changed
    changed,  // new target, new start, other phase or address, silent or no longer silent, or warm-up restarted
};

class target_registry {
public:
    struct entry {
        wire::target_report_t report;
        time_point reported_at{};  // of the newest report, by this host's clock
        time_point cold_until{};
        bool superseded = false;  // another target has taken over its address

        bool usable() const {
            return !this->superseded && !this->report.silent && this->report.phase == wire::target_phase::ready;
        }
    };

    report_effect merge(const wire::target_report_t& report, time_point now);
    report_effect merge(const wire::target_departure_t& departure, time_point now);
    // Removes targets that are not usable and whose last report is older than any report can be delayed. Returns their
    // ids.
    std::vector<std::string> expire(time_point now);

    const entry* find(const std::string& id) const;
    void each(const std::function<void(const entry&)>& visit) const;
    std::size_t size() const noexcept { return this->entries.size(); }
    // The latest report with its present age, to be sent to another process.
    wire::target_report_t report_with_age(const entry& known, time_point now) const;

private:
    void claim_address(const std::string& id);

    std::map<std::string, entry> entries;              // by target id
    std::map<std::string, std::string> address_owner;  // target id by address
};

}  // namespace persimmongrade
