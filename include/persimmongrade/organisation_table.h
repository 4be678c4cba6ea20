// Organisations in force at a gateway, built from the items that are not removed. Immutable; when items change, a new
// table replaces the whole.
//
//     organisation_table organisations(items);
//     access_decision decision = organisations.decide(route_is_public, authorization);
//     if (decision.result == access_result::unknown_key) { refuse with 401 }
//
// A key is found in constant time, whatever the number of organisations.

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "persimmongrade/item_store.h"
#include "persimmongrade/rate_credits.h"

namespace persimmongrade {

struct organisation {
    std::string name;
    std::uint64_t version = 0;
    std::optional<unsigned> priority;  // replaces that of the route
    std::vector<std::string> regions;  // where its requests may run; empty: anywhere
    double rate = 0;                   // requests per second over all gateways; 0: no limit
    double burst = 0;                  // requests beyond the rate

    bool operator==(const organisation&) const = default;
};

enum class access_result : std::uint8_t {
    not_required,  // there are no organisations
    anonymous,     // the route is public, and the request has no known key
    identified,
    unknown_key,  // or none, or a header that cannot be read
};

struct access_decision {
    access_result result = access_result::not_required;
    const organisation* caller = nullptr;  // set when identified
};

class organisation_table {
public:
    organisation_table() = default;
    explicit organisation_table(const item_store& items);

    bool empty() const noexcept { return this->by_name.empty(); }
    const organisation* find(const std::string& name) const;  // null when there is none
    // `authorization`: value of the header of this name; none when the request has none, or several.
    access_decision decide(bool route_is_public, const std::optional<std::string_view>& authorization) const;
    const std::map<std::string, std::unique_ptr<const organisation>>& all() const noexcept { return this->by_name; }

private:
    struct key_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view key) const { return std::hash<std::string_view>()(key); }
    };

    std::map<std::string, std::unique_ptr<const organisation>> by_name;
    std::unordered_map<std::string, const organisation*, key_hash, std::equal_to<>> by_key;
};

// Regions in which a request may run that a route and an organisation each restrict; empty lists restrict nothing.
// None: the two have no region in common.
std::optional<std::vector<std::string>> common_regions(const std::vector<std::string>& of_route,
                                                       const std::vector<std::string>& of_organisation);

// Limits of the organisations that have a rate. Control processes and gateways derive the same ones.
rate_limits limits_of_organisations(const item_store& items, const rate_tolerance& tolerance);

}  // namespace persimmongrade
