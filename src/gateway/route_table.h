// Routes in force at a gateway, built from the items that are not removed. Immutable except for the counters of traffic
// splits; when items change, a new table replaces the whole.

#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "persimmongrade/item_store.h"
#include "persimmongrade/weighted_split.h"

namespace persimmongrade {

struct route {
    std::string name;
    std::uint64_t version = 0;
    wire::route_rule_t rule;
    mutable weighted_split split;
};

class route_table {
public:
    route_table() = default;
    explicit route_table(const item_store& items);

    // The route of `host` with the longest path prefix that matches `path`; null when none matches. A port in `host` is
    // ignored.
    const route* find(std::string_view host, std::string_view path) const;

private:
    // Routes by host, sorted by descending length of the path prefix.
    std::map<std::string, std::vector<std::unique_ptr<route>>, std::less<>> hosts;
};

}  // namespace persimmongrade
