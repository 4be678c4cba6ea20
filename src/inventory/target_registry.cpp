#include "persimmongrade/target_registry.h"

#include <algorithm>

namespace persimmongrade {

namespace {

constexpr duration unusable_retention = ms(60000);  // reports delayed by a partition arrive well before
constexpr duration cold_again_margin = ms(500);     // beyond the rounding of repeated reports

// Whether `report` says more than `held`, which is of the same target.
bool is_newer(const wire::target_report_t& report, const target_registry::entry& held, time_point heard_at) {
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
    return report.silent != known.silent ? report.silent : heard_at > held.heard_at;
}

}  // namespace

report_effect target_registry::merge(const wire::target_report_t& report, time_point now) {
    time_point heard_at = now - ms(report.age_ms);
    auto [place, added] = this->entries.try_emplace(report.id);
    entry& held = place->second;
    if (!added && !is_newer(report, held, heard_at)) {
        return report_effect::none;
    }
    time_point cold_until = heard_at + ms(report.warm_up_left_ms);
    bool cold_again = report.warm_up_left_ms > 0 && cold_until > held.cold_until + cold_again_margin;
    bool changed = added || report.started_at_ms != held.report.started_at_ms || report.phase != held.report.phase ||
                   report.silent != held.report.silent || cold_again ||
                   (!report.address.empty() && report.address != held.report.address);
    bool names_address = !report.address.empty();
    wire::target_report_t before = std::move(held.report);
    held.report = report;
    if (!names_address) {  // a target that leaves need not repeat the rest
        held.report.service = before.service;
        held.report.address = before.address;
        held.report.region = before.region;
        held.report.zone = before.zone;
        held.report.slots = before.slots;
        held.report.software = before.software;
        held.report.started_at_ms = std::max(before.started_at_ms, report.started_at_ms);
    }
    held.heard_at = std::max(held.heard_at, heard_at);
    held.cold_until = cold_until;
    this->claim_address(report.id);
    return changed ? report_effect::changed : report_effect::renewed;
}

// A target that ended without a word may still be listed at an address that was given away.
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
        if (known.usable() || now - known.heard_at <= unusable_retention) {
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
    report.age_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(0, (now - known.heard_at).count()));
    return report;
}

}  // namespace persimmongrade
