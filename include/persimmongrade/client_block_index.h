// Client block index: keeps the client block table of an edge up to date with the newest configuration. Normally it
// changes only the blocks that differ, because building the table for 1.9 million blocks takes 1.3 s, during which an
// edge with one thread answers no request.
//
//     client_block_index blocks;
//     blocks.apply(configuration);  // for each newer configuration
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
    // Throws client_block_error for inconsistent columns, and leaves the table unchanged.
    void apply(std::shared_ptr<const wire::configuration_t> configuration);

    std::shared_ptr<const client_block_table> table() const noexcept {
        return this->blocks;
    }                                                                    // changed in place by apply()
    std::uint64_t builds() const noexcept { return this->build_count; }  // full builds since the start

private:
    void build(const wire::configuration_t& configuration);

    std::shared_ptr<const wire::configuration_t> applied = std::make_shared<const wire::configuration_t>();
    std::shared_ptr<client_block_table> blocks = std::make_shared<client_block_table>();
    std::uint64_t build_count = 0;
};

// Returns the blocks that differ, with their site in `after`. Both arguments are sorted by prefix, and may be null.
// Throws client_block_error.
std::vector<client_block_change> client_block_difference(const wire::client_block_columns_t* before,
                                                         const wire::client_block_columns_t* after);

}  // namespace persimmongrade
