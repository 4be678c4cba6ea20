// Addresses and prefixes of clients, and blocks of them by column (`client_block_columns` of schema/record.fbs).
//
//     client_block_writer writer;
//     writer.add(parse_client_prefix("203.0.113.0/24"), "north");
//     record.client_blocks = writer.take();
//     for_each_client_block(*record.client_blocks, [](const client_prefix& prefix, const std::string* site) { ... });

#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "persimmongrade/error.h"
#include "record_generated.h"

namespace persimmongrade {

using site_index = std::uint16_t;

inline constexpr site_index removed_site = 0xffff;  // in a change: the block is removed

// A prefix or address that cannot be parsed, or more than 65,535 sites.
class client_block_error : public error {
public:
    using error::error;
};

// A numeric IPv4 or IPv6 address; an IPv4 address is in the first 4 bytes. IPv4-mapped IPv6 counts as IPv4.
struct client_address {
    std::array<std::uint8_t, 16> bytes{};
    bool v6 = false;

    friend auto operator<=>(const client_address&, const client_address&) = default;
};

client_address parse_client_address(std::string_view text);  // throws client_block_error

// A block of addresses; bits after `length` are zero.
struct client_prefix {
    client_address address;
    std::uint8_t length = 0;  // bits: 0 to 32 or 128

    friend auto operator<=>(const client_prefix&, const client_prefix&) = default;
};

client_prefix parse_client_prefix(std::string_view text);  // throws client_block_error; clears bits after the length

std::string to_string(const client_address& address);
std::string to_string(const client_prefix& prefix);  // "203.0.113.0/24"

// Collects blocks in the given order.
class client_block_writer {
public:
    void add(const client_prefix& prefix, std::string_view site);  // throws client_block_error: more than 65,535 sites
    void remove(const client_prefix& prefix);                      // an entry of a change
    std::size_t size() const noexcept { return this->columns ? this->columns->versions.size() : 0; }
    std::unique_ptr<wire::client_block_columns_t> take();  // null without blocks; the writer is empty after it

private:
    void add_entry(const client_prefix& prefix, site_index site);

    std::unique_ptr<wire::client_block_columns_t> columns;
    std::map<std::string, site_index, std::less<>> site_ids;
};

// Reads block after block.
class client_block_reader {
public:
    explicit client_block_reader(const wire::client_block_columns_t& columns);  // throws client_block_error

    bool next();  // moves to the next block; false after the last one. Throws client_block_error
    const client_prefix& prefix() const noexcept { return this->current; }
    const std::string* site() const noexcept { return this->current_site; }  // null: the block is removed

private:
    const wire::client_block_columns_t& columns;
    std::size_t index = 0;   // of the next block
    std::size_t offset = 0;  // of its address
    client_prefix current;
    const std::string* current_site = nullptr;
};

std::size_t count_client_blocks(const wire::steering_record_t& record) noexcept;

// Calls visit(prefix, site) for each block. Throws client_block_error when the columns do not fit together.
template <typename Visit>
void for_each_client_block(const wire::client_block_columns_t& columns, Visit visit) {
    for (client_block_reader reader(columns); reader.next();) {
        visit(reader.prefix(), reader.site());
    }
}

}  // namespace persimmongrade
