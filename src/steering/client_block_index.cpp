#include "persimmongrade/client_block_index.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

namespace persimmongrade {

namespace {

// More changes than this touch most buckets and cost more than building a new table.
constexpr std::size_t changes_before_build = 10000;

const wire::client_block_columns_t no_blocks;

using columns_by_record = std::map<std::string_view, const wire::client_block_columns_t*>;

columns_by_record columns_of(const wire::configuration_t& configuration) {
    columns_by_record result;
    for (const auto& record : configuration.records) {
        result[record->name] = record->client_blocks.get();
    }
    return result;
}

std::size_t count_blocks(const wire::configuration_t& configuration) {
    std::size_t count = 0;
    for (const auto& record : configuration.records) {
        count += count_client_blocks(*record);
    }
    return count;
}

bool equal(const wire::client_block_columns_t* left, const wire::client_block_columns_t* right) {
    return left == right || (left != nullptr && right != nullptr && *left == *right);
}

}  // namespace

std::vector<client_block_change> client_block_difference(const wire::client_block_columns_t* before,
                                                         const wire::client_block_columns_t* after) {
    client_block_reader old_blocks(before == nullptr ? no_blocks : *before);
    client_block_reader new_blocks(after == nullptr ? no_blocks : *after);
    std::vector<client_block_change> changes;
    bool has_old = old_blocks.next();
    bool has_new = new_blocks.next();
    while (has_old || has_new) {
        bool removed = has_old && (!has_new || old_blocks.prefix() < new_blocks.prefix());
        bool added = has_new && (!has_old || new_blocks.prefix() < old_blocks.prefix());
        if (removed) {
            changes.push_back({old_blocks.prefix(), std::nullopt});
        } else if (new_blocks.site() != nullptr && (added || *old_blocks.site() != *new_blocks.site())) {
            changes.push_back({new_blocks.prefix(), *new_blocks.site()});
        }
        has_old = added ? has_old : old_blocks.next();
        has_new = removed ? has_new : new_blocks.next();
    }
    return changes;
}

void client_block_index::apply(std::shared_ptr<const wire::configuration_t> configuration) {
    columns_by_record before = columns_of(*this->applied);
    columns_by_record after = columns_of(*configuration);
    std::vector<client_block_change> removals;
    std::vector<client_block_change>
        additions;  // applied after the removals, because a prefix may move to another record
    for (const auto& [name, columns] : before) {
        after.try_emplace(name, nullptr);
    }
    for (const auto& [name, columns] : after) {
        auto found = before.find(name);
        const auto* old_columns = found == before.end() ? nullptr : found->second;
        if (equal(old_columns, columns)) {
            continue;
        }
        for (client_block_change& change : client_block_difference(old_columns, columns)) {
            (change.site ? additions : removals).push_back(std::move(change));
        }
    }
    // A prefix that is in two records counts once, with the site of the last record. The changes alone do not show
    // which record that is, so the table is built anew.
    bool distinct = this->blocks->size() == count_blocks(*this->applied);
    if (!distinct || removals.size() + additions.size() > changes_before_build) {
        this->build(*configuration);
    } else {
        this->blocks->apply(removals);
        this->blocks->apply(additions);
        if (this->blocks->size() != count_blocks(*configuration)) {
            this->build(*configuration);
        }
    }
    this->applied = std::move(configuration);
}

void client_block_index::build(const wire::configuration_t& configuration) {
    *this->blocks = client_block_table(configuration);
    ++this->build_count;
}

}  // namespace persimmongrade
