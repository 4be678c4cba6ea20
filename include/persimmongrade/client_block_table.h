// Client block table: longest-prefix match of client addresses (IPv4 and IPv6) to sites. A site is a region, or a site
// of the large deployment, and is represented by a small integer. A change rebuilds only the buckets that its prefix
// covers.
//
//     client_block_table table(blocks, revision);
//     auto site = table.find("203.0.113.9");
//     if (site) region = table.site_name(*site);

#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "persimmongrade/client_blocks.h"

namespace persimmongrade {

// The base revision of a delta is not the revision of the table.
class client_block_revision_error : public error {
public:
    using error::error;
};

struct client_block_change {
    client_prefix prefix;
    std::optional<std::string> site;  // empty: the block is removed

    friend bool operator==(const client_block_change&, const client_block_change&) = default;
};

struct client_block_delta {
    std::uint64_t base_revision = 0;
    std::uint64_t revision = 0;
    std::vector<client_block_change> changes;

    friend bool operator==(const client_block_delta&, const client_block_delta&) = default;
};

// Serialization as the message `client_block_changes` of schema/record.fbs. Decoding verifies the message.
std::vector<std::uint8_t> encode(const client_block_delta& delta);  // about 8 bytes per IPv4 change and site name
client_block_delta decode_client_block_delta(std::span<const std::uint8_t> bytes);  // throws client_block_error

class client_block_table {
public:
    client_block_table() = default;
    // If a prefix occurs more than once, the last one counts. Throws client_block_error.
    explicit client_block_table(const wire::client_block_columns_t& blocks, std::uint64_t revision = 0);
    // All client blocks of all records, in the order of the records.
    explicit client_block_table(const wire::configuration_t& configuration);

    std::optional<site_index> find(const client_address& address) const noexcept;
    std::optional<site_index> find(std::string_view address) const;  // throws client_block_error
    const std::string& site_name(site_index site) const { return this->site_names.at(site); }
    std::span<const std::string> sites() const noexcept { return this->site_names; }

    void apply(const client_block_delta& delta);  // throws client_block_revision_error
    void apply(const client_block_change& change) { this->apply(std::span(&change, 1)); }
    void apply(std::span<const client_block_change> changes);  // in this order; each bucket is rebuilt once

    std::uint64_t revision() const noexcept { return this->revision_number; }
    std::size_t size() const noexcept { return this->count; }  // blocks
    std::size_t memory_bytes() const noexcept;

private:
    static constexpr site_index no_site = 0xffff;
    static constexpr std::size_t largest_distance = 0xffff;

    // A prefix longer than the prefix of its bucket. Blocks are sorted by (start, length), and `parent` is the distance
    // back to the enclosing block. A distance that does not fit in 16 bits points to a block within the same parent
    // instead, whose own distance leads further back.
    template <typename Key>
    struct block {
        Key start{};
        site_index site = no_site;
        std::uint16_t parent = 0;  // 0: none in this bucket
        std::uint8_t length = 0;   // in bits of the key
    };
    using v4_key = std::uint16_t;                 // low 16 bits
    using v6_key = std::array<std::uint32_t, 3>;  // low 96 bits
    template <typename Key>
    using bucket = std::vector<block<Key>>;
    using short_map = std::map<std::pair<std::uint8_t, std::uint32_t>, site_index>;  // by (length, top bits)
    using linked_counts =
        std::unordered_map<std::uint32_t, std::size_t>;  // by top bits; unmerged changes follow that many linked blocks

    static bool contains(const block<v4_key>& candidate, const v4_key& key) noexcept;
    static bool contains(const block<v6_key>& candidate, const v6_key& key) noexcept;
    template <typename Key>
    static bool before(const block<Key>& left, const block<Key>& right) noexcept;
    template <typename Key>
    static site_index search(const bucket<Key>& blocks, const Key& key) noexcept;
    template <typename Key>
    static void link_parents(bucket<Key>& blocks);
    template <typename Key>
    static void merge_changes(bucket<Key>& blocks, std::size_t linked);
    template <typename Key>
    static void add_change(bucket<Key>& blocks, const block<Key>& entry, std::uint32_t top,
                           linked_counts& changed_buckets);
    static int change(short_map& blocks, std::uint8_t length, std::uint32_t top, site_index site);

    site_index site_index_of(std::string_view site);
    void insert_unlinked(const client_prefix& prefix, site_index site);
    void finish_build();
    void add(const wire::client_block_columns_t& blocks);
    void add_change_v4(const client_prefix& prefix, site_index site, linked_counts& changed_buckets);
    void add_change_v6(const client_prefix& prefix, site_index site, linked_counts& changed_buckets);
    site_index find_short_v6(std::uint32_t top) const noexcept;
    void refresh_defaults(std::uint32_t first, std::uint32_t last);
    void allocate_v4();

    std::uint64_t revision_number = 0;
    std::size_t count = 0;
    std::vector<std::string> site_names;
    std::map<std::string, site_index, std::less<>> site_ids;
    std::vector<bucket<v4_key>> v4;      // by the top 16 bits; no buckets before the first IPv4 block
    std::vector<site_index> v4_default;  // by the top 16 bits: site of the longest prefix of at most 16 bits
    short_map v4_short;                  // prefixes of at most 16 bits
    std::unordered_map<std::uint32_t, bucket<v6_key>> v6;  // by the top 32 bits
    short_map v6_short;                                    // prefixes of at most 32 bits
    std::array<std::uint32_t, 33> v6_short_count{};        // by length; lengths without prefixes are skipped
};

}  // namespace persimmongrade
