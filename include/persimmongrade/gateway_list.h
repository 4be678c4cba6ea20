// The gateways that take clients: the list that control processes keep, and the copies of it that others hold.
//
//     gateway_list list;                                           // at a control process
//     list.replace(gateways);
//     ping.changes = list.changes_since(known_list, known_version);
//
//     gateway_list_copy copy;                                      // at a gateway, or at another control process
//     if (copy.apply(*pong.changes)) { use(copy.entries()); }
//
// Only changes travel: with hundreds of gateways, whole lists for each change grow with the square of their number.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet_generated.h"

namespace persimmongrade {

using gateways_by_address = std::map<std::string, wire::gateway_info_t>;

class gateway_list {
public:
    gateway_list();

    // Returns whether the list has changed.
    bool replace(gateways_by_address gateways);
    // What a copy needs that has `known_version` of `known_list`. The whole list when that is another list.
    wire::gateway_changes_t changes_since(std::uint64_t known_list, std::uint64_t known_version) const;

    const gateways_by_address& entries() const noexcept { return this->present; }
    std::uint64_t version() const noexcept { return this->current_version; }

private:
    std::uint64_t id;
    std::uint64_t current_version = 0;
    gateways_by_address present;
    std::map<std::string, std::uint64_t> changed_at;  // version by address, also of gateways that have departed
};

class gateway_list_copy {
public:
    // Returns whether the copy has changed. Changes that do not follow what is known are left out: the next request
    // names the version that is known.
    bool apply(const wire::gateway_changes_t& changes);

    const gateways_by_address& entries() const noexcept { return this->present; }
    std::uint64_t list() const noexcept { return this->known_list; }
    std::uint64_t version() const noexcept { return this->known_version; }

private:
    std::uint64_t known_list = 0;
    std::uint64_t known_version = 0;
    gateways_by_address present;
};

// Addresses of the gateways in the client's region, those in its zone first. When its region has none, addresses of the
// gateways in all regions.
std::vector<std::string> nearest_gateways(const gateways_by_address& gateways, const std::string& region,
                                          const std::string& zone);

}  // namespace persimmongrade
