#include "route_table.h"

#include <algorithm>

namespace persimmongrade {

route_table::route_table(const item_store& items) {
    items.each([this](const wire::item_t& item) {
        if (item.kind != wire::item_kind::route) {
            return;
        }
        std::vector<double> weights;
        for (const auto& part : item.route->parts) {
            weights.push_back(part->weight);
        }
        auto added = std::make_unique<route>(route{item.name, item.version, *item.route, weighted_split(weights)});
        this->hosts[item.route->host].push_back(std::move(added));
    });
    for (auto& [host, routes] : this->hosts) {
        std::stable_sort(routes.begin(), routes.end(), [](const auto& a, const auto& b) {
            return a->rule.path_prefix.size() > b->rule.path_prefix.size();
        });
    }
}

const route* route_table::find(std::string_view host, std::string_view path) const {
    std::size_t colon = host.rfind(':');
    auto found = this->hosts.find(host.substr(0, colon));
    if (found == this->hosts.end()) {
        return nullptr;
    }
    for (const auto& candidate : found->second) {
        if (path.starts_with(candidate->rule.path_prefix)) {
            return candidate.get();
        }
    }
    return nullptr;
}

}  // namespace persimmongrade
