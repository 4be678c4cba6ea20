// Keeps the client block table of an edge at the newest configuration. Only blocks that differ are changed: building
// the table for 1.9 million blocks takes 1.3 s, during which an edge with one thread would answer nothing.
//
//     client_block_index blocks;
//     blocks.apply(configuration);  // each newer one
//     builder.set_blocks(blocks.table());

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "persimmongrade/client_block_table.h"

namespace persimmongrade {

class client_block_index {
public:
    // Throws client_block_error for columns that do not fit together, and then changes nothing.
    void apply(std::shared_ptr<const wire::configuration_t> configuration);

    std::shared_ptr<const client_block_table> table() const noexcept { return this->blocks; }  // changed by apply()
    std::uint64_t builds() const noexcept { return this->build_count; }  // of the whole table since the start

private:
    void build(const wire::configuration_t& configuration);

    std::shared_ptr<const wire::configuration_t> applied = std::make_shared<const wire::configuration_t>();
    std::shared_ptr<client_block_table> blocks = std::make_shared<client_block_table>();
    std::uint64_t build_count = 0;
};

// Blocks that differ, with the site of `after`; both are sorted by prefix. Either may be null. Throws
// client_block_error.
std::vector<client_block_change> client_block_difference(const wire::client_block_columns_t* before,
                                                         const wire::client_block_columns_t* after);

}  // namespace persimmongrade
