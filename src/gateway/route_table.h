// Routes in force at a gateway, from the items that stand. Immutable but for the counters of split routes; a new table
// replaces it as a whole when items change.

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

    // The route of `host` with the longest prefix that begins `path`; null when none does. The host is without a port.
    const route* find(std::string_view host, std::string_view path) const;

private:
    // By descending length of the prefix.
    std::map<std::string, std::vector<std::unique_ptr<route>>, std::less<>> hosts;
};

}  // namespace persimmongrade
