#include "persimmongrade/target_registry.h"

#include <algorithm>

namespace persimmongrade {

namespace {

constexpr duration unusable_target_retention = ms(60000);  // reports that a partition delays arrive well before
constexpr duration warm_up_restart_margin = ms(500);       // above the rounding differences of repeated reports

// Whether `report` is newer than the known report of the same target. Equal starts, phases and sequences: silence wins,
// then the later time of the report.
bool is_newer(const wire::target_report_t& report, const target_registry::entry& held, time_point reported_at) {
    const wire::target_report_t& known = held.report;
    if (report.started_at_ms != known.started_at_ms) {
        return report.started_at_ms > known.started_at_ms;
    }
    if (report.phase != known.phase) {
        return report.phase > known.phase;
    }
    if (report.sequence != known.sequence) {
        return report.sequence > known.sequence;
    }
    return report.silent != known.silent ? report.silent : reported_at > held.reported_at;
}

}  // namespace

report_effect target_registry::merge(const wire::target_report_t& report, time_point now) {
    time_point reported_at = now - ms(report.age_ms);
    auto [place, added] = this->entries.try_emplace(report.id);
    entry& held = place->second;
    if (!added && !is_newer(report, held, reported_at)) {
        return report_effect::none;
    }
    time_point cold_until = reported_at + ms(report.warm_up_left_ms);
    bool warm_up_restarted = report.warm_up_left_ms > 0 && cold_until > held.cold_until + warm_up_restart_margin;
    bool changed = added || report.started_at_ms != held.report.started_at_ms || report.phase != held.report.phase ||
                   report.silent != held.report.silent || warm_up_restarted ||
                   (!report.address.empty() && report.address != held.report.address);
    bool names_address = !report.address.empty();
    wire::target_report_t before = std::move(held.report);
    held.report = report;
    if (!names_address) {  // a departing target need not repeat its address and the fields that go with it
        held.report.service = before.service;
        held.report.address = before.address;
        held.report.region = before.region;
        held.report.zone = before.zone;
        held.report.slots = before.slots;
        held.report.software = before.software;
        held.report.started_at_ms = std::max(before.started_at_ms, report.started_at_ms);
    }
    held.reported_at = std::max(held.reported_at, reported_at);
    held.cold_until = cold_until;
    this->claim_address(report.id);
    return changed ? report_effect::changed : report_effect::renewed;
}

report_effect target_registry::merge(const wire::target_departure_t& departure, time_point now) {
    wire::target_report_t report;
    report.id = departure.id;
    report.started_at_ms = departure.started_at_ms;
    report.phase = departure.phase;
    return this->merge(report, now);
}

// A target that ended without a departure report may still be registered at an address that a new target now uses.
void target_registry::claim_address(const std::string& id) {
    entry& claimant = this->entries.at(id);
    if (claimant.report.address.empty() || claimant.report.phase == wire::target_phase::gone) {
        return;
    }
    auto [place, added] = this->address_owner.try_emplace(claimant.report.address, id);
    if (added || place->second == id) {
        claimant.superseded = false;
        return;
    }
    auto owner = this->entries.find(place->second);
    bool takes_over = owner == this->entries.end() || owner->second.report.address != claimant.report.address ||
                      owner->second.report.phase == wire::target_phase::gone ||
                      owner->second.report.started_at_ms <= claimant.report.started_at_ms;
    claimant.superseded = !takes_over;
    if (takes_over) {
        if (owner != this->entries.end() && owner->second.report.address == claimant.report.address) {
            owner->second.superseded = true;
        }
        place->second = id;
    }
}

std::vector<std::string> target_registry::expire(time_point now) {
    std::vector<std::string> dropped;
    for (auto place = this->entries.begin(); place != this->entries.end();) {
        const entry& known = place->second;
        if (known.usable() || now - known.reported_at <= unusable_target_retention) {
            ++place;
            continue;
        }
        auto owner = this->address_owner.find(known.report.address);
        if (owner != this->address_owner.end() && owner->second == place->first) {
            this->address_owner.erase(owner);
        }
        dropped.push_back(place->first);
        place = this->entries.erase(place);
    }
    return dropped;
}

const target_registry::entry* target_registry::find(const std::string& id) const {
    auto found = this->entries.find(id);
    return found == this->entries.end() ? nullptr : &found->second;
}

void target_registry::each(const std::function<void(const entry&)>& visit) const {
    for (const auto& [id, known] : this->entries) {
        visit(known);
    }
}

wire::target_report_t target_registry::report_with_age(const entry& known, time_point now) const {
    wire::target_report_t report = known.report;
    report.age_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(0, (now - known.reported_at).count()));
    return report;
}

}  // namespace persimmongrade
