#include "persimmongrade/organisation_table.h"

#include <algorithm>

namespace persimmongrade {

namespace {

constexpr std::string_view scheme = "bearer";

// The key in `Bearer KEY`; empty for another scheme.
std::string_view key_of(std::string_view authorization) {
    std::size_t space = authorization.find(' ');
    std::string_view given = authorization.substr(0, space);
    bool same = space != std::string_view::npos && given.size() == scheme.size() &&
                std::equal(given.begin(), given.end(), scheme.begin(),
                           [](char a, char b) { return (a >= 'A' && a <= 'Z' ? a - 'A' + 'a' : a) == b; });
    if (!same) {
        return {};
    }
    std::string_view key = authorization.substr(space);
    key.remove_prefix(std::min(key.find_first_not_of(' '), key.size()));
    return key;
}

}  // namespace

organisation_table::organisation_table(const item_store& items) {
    items.each([this](const wire::item_t& item) {
        if (!item.organisation) {
            return;
        }
        const wire::organisation_rule_t& rule = *item.organisation;
        auto added = std::make_unique<const organisation>(
            organisation{item.name, item.version, rule.has_priority ? std::optional(rule.priority) : std::nullopt,
                         rule.regions, rule.rate, rule.burst});
        for (const std::string& key : rule.keys) {
            this->by_key.emplace(key, added.get());
        }
        this->by_name.emplace(item.name, std::move(added));
    });
}

const organisation* organisation_table::find(const std::string& name) const {
    auto found = this->by_name.find(name);
    return found == this->by_name.end() ? nullptr : found->second.get();
}

access_decision organisation_table::decide(bool route_is_public,
                                           const std::optional<std::string_view>& authorization) const {
    if (this->empty()) {
        return {access_result::not_required, nullptr};
    }
    std::string_view key = authorization ? key_of(*authorization) : std::string_view();
    auto found = key.empty() ? this->by_key.end() : this->by_key.find(key);
    if (found != this->by_key.end()) {
        return {access_result::identified, found->second};
    }
    return {route_is_public ? access_result::anonymous : access_result::unknown_key, nullptr};
}

std::optional<std::vector<std::string>> common_regions(const std::vector<std::string>& of_route,
                                                       const std::vector<std::string>& of_organisation) {
    if (of_route.empty() || of_organisation.empty()) {
        return of_route.empty() ? of_organisation : of_route;
    }
    std::vector<std::string> common;
    std::copy_if(of_route.begin(), of_route.end(), std::back_inserter(common), [&](const std::string& region) {
        return std::find(of_organisation.begin(), of_organisation.end(), region) != of_organisation.end();
    });
    return common.empty() ? std::nullopt : std::optional(common);
}

rate_limits limits_of_organisations(const item_store& items, const rate_tolerance& tolerance) {
    rate_limits limits;
    items.each([&](const wire::item_t& item) {
        if (item.organisation && item.organisation->rate > 0) {
            limits.emplace(item.name, limit_of(item.organisation->rate, item.organisation->burst, tolerance));
        }
    });
    return limits;
}

}  // namespace persimmongrade
