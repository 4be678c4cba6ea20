#include "persimmongrade/gateway_list.h"

#include <utility>

#include "persimmongrade/random.h"

namespace persimmongrade {

gateway_list::gateway_list() : id(random_bits()) {}

bool gateway_list::replace(gateways_by_address gateways) {
    if (gateways == this->present) {
        return false;
    }
    ++this->current_version;
    for (const auto& [address, info] : this->present) {
        if (!gateways.contains(address)) {
            this->changed_at[address] = this->current_version;
        }
    }
    for (const auto& [address, info] : gateways) {
        auto before = this->present.find(address);
        if (before == this->present.end() || before->second != info) {
            this->changed_at[address] = this->current_version;
        }
    }
    this->present = std::move(gateways);
    return true;
}

wire::gateway_changes_t gateway_list::changes_since(std::uint64_t known_list, std::uint64_t known_version) const {
    wire::gateway_changes_t changes;
    changes.list = this->id;
    changes.version = this->current_version;
    changes.base = known_list == this->id && known_version <= this->current_version ? known_version : 0;
    for (const auto& [address, version] : this->changed_at) {
        if (version <= changes.base) {
            continue;
        }
        auto entry = this->present.find(address);
        if (entry != this->present.end()) {
            changes.present.push_back(std::make_unique<wire::gateway_info_t>(entry->second));
        } else if (changes.base != 0) {
            changes.departed.push_back(address);
        }
    }
    return changes;
}

bool gateway_list_copy::apply(const wire::gateway_changes_t& changes) {
    bool is_whole = changes.base == 0;
    bool is_same_list = changes.list == this->known_list;
    bool is_newer = !is_same_list || changes.version > this->known_version;
    bool follows = is_whole || (is_same_list && changes.base <= this->known_version);
    if (changes.version == 0 || !is_newer || !follows) {
        return false;
    }
    if (is_whole) {
        this->present.clear();
    }
    for (const std::string& address : changes.departed) {
        this->present.erase(address);
    }
    for (const auto& gateway : changes.present) {
        this->present[gateway->address] = *gateway;
    }
    this->known_list = changes.list;
    this->known_version = changes.version;
    return true;
}

std::vector<std::string> nearest_gateways(const gateways_by_address& gateways, const std::string& region,
                                          const std::string& zone) {
    std::vector<std::string> local;
    std::vector<std::string> remote;
    for (const auto& [address, gateway] : gateways) {
        auto& list = gateway.region == region ? local : remote;
        list.insert(gateway.zone == zone ? list.begin() : list.end(), address);
    }
    return local.empty() ? remote : local;
}

}  // namespace persimmongrade
