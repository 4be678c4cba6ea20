// What targets last said of themselves. Control processes and gateways both keep one and merge reports that may arrive
// twice, late or out of order.
//
//     target_registry targets;
//     if (targets.merge(report, now) != report_effect::none) { tell the others }
//
// The newest start of a target counts, and of one start the highest sequence. Within one start, a target that drains or
// is gone stays so; a silent one is back with its next report. An address belongs to the target with the newest start
// that claims it.

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
    none,     // older than what is known
    renewed,  // nothing that decides about placement changed
    changed,  // new target, new start, other phase or address, silent, cold again
};

class target_registry {
public:
    struct entry {
        wire::target_report_t report;
        time_point heard_at{};  // of the newest report, on this host's clock
        time_point cold_until{};
        bool superseded = false;  // another target has its address now

        bool usable() const {
            return !this->superseded && !this->report.silent && this->report.phase == wire::target_phase::ready;
        }
    };

    report_effect merge(const wire::target_report_t& report, time_point now);
    // Drops targets that have not been usable for longer than a report can be late. Returns their ids.
    std::vector<std::string> expire(time_point now);

    const entry* find(const std::string& id) const;
    void each(const std::function<void(const entry&)>& visit) const;
    std::size_t size() const noexcept { return this->entries.size(); }
    wire::target_report_t report_with_age(const entry& known, time_point now) const;  // to be sent to another process

private:
    void claim_address(const std::string& id);

    std::map<std::string, entry> entries;              // by target id
    std::map<std::string, std::string> address_owner;  // target id by address
};

}  // namespace persimmongrade
