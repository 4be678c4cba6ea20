#include "persimmongrade/client_block_table.h"

#include <algorithm>

namespace persimmongrade {

namespace {

constexpr std::size_t v4_buckets = 65536;
constexpr std::uint8_t v4_bucket_bits = 16;
constexpr std::uint8_t v6_bucket_bits = 32;

std::uint32_t word(const client_address& address, std::size_t index) noexcept {
    const auto* bytes = address.bytes.data() + index * 4;
    return std::uint32_t{bytes[0]} << 24 | std::uint32_t{bytes[1]} << 16 | std::uint32_t{bytes[2]} << 8 | bytes[3];
}

std::uint32_t mask_high_bits(std::uint32_t value, unsigned bits) noexcept {
    return bits == 0 ? 0 : value & (0xffffffffU << (32 - bits));
}

}  // namespace

// ---- Deltas ----

std::vector<std::uint8_t> encode(const client_block_delta& delta) {
    client_block_writer writer;
    for (const auto& change : delta.changes) {
        if (change.site) {
            writer.add(change.prefix, *change.site);
        } else {
            writer.remove(change.prefix);
        }
    }
    wire::client_block_changes_t message;
    message.base_revision = delta.base_revision;
    message.revision = delta.revision;
    message.blocks = writer.take();
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::client_block_changes::Pack(builder, &message));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

client_block_delta decode_client_block_delta(std::span<const std::uint8_t> bytes) {
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!verifier.VerifyBuffer<wire::client_block_changes>(nullptr)) {
        throw client_block_error("client block changes: malformed message");
    }
    wire::client_block_changes_t message;
    flatbuffers::GetRoot<wire::client_block_changes>(bytes.data())->UnPackTo(&message);
    client_block_delta result{message.base_revision, message.revision, {}};
    if (message.blocks == nullptr) {
        return result;
    }
    for_each_client_block(*message.blocks, [&](const client_prefix& prefix, const std::string* site) {
        result.changes.push_back({prefix, site == nullptr ? std::nullopt : std::optional(*site)});
    });
    return result;
}

// ---- Buckets ----

bool client_block_table::contains(const block<v4_key>& candidate, const v4_key& key) noexcept {
    return (candidate.start ^ key) >> (v4_bucket_bits - candidate.length) == 0;
}

bool client_block_table::contains(const block<v6_key>& candidate, const v6_key& key) noexcept {
    unsigned left = candidate.length;
    for (std::size_t i = 0; left > 0; ++i) {
        unsigned bits = std::min(left, 32U);
        if (mask_high_bits(candidate.start[i] ^ key[i], bits) != 0) {
            return false;
        }
        left -= bits;
    }
    return true;
}

template <typename Key>
bool client_block_table::before(const block<Key>& left, const block<Key>& right) noexcept {
    return left.start != right.start ? left.start < right.start : left.length < right.length;
}

// Any block that contains the key starts at or before the key, and encloses the last block that starts there. The
// search therefore begins at that last block and follows the parents.
template <typename Key>
site_index client_block_table::search(const bucket<Key>& blocks, const Key& key) noexcept {
    auto after = std::upper_bound(blocks.begin(), blocks.end(), key,
                                  [](const Key& value, const block<Key>& entry) { return value < entry.start; });
    auto index = static_cast<std::size_t>(after - blocks.begin());
    if (index == 0) {
        return no_site;
    }
    --index;
    while (!contains(blocks[index], key)) {
        std::uint16_t parent = blocks[index].parent;
        if (parent == 0) {
            return no_site;
        }
        index -= parent;
    }
    return blocks[index].site;
}

template <typename Key>
void client_block_table::link_parents(bucket<Key>& blocks) {
    std::vector<std::size_t> enclosing;
    for (std::size_t i = 0; i < blocks.size(); ++i) {
        while (!enclosing.empty() && !contains(blocks[enclosing.back()], blocks[i].start)) {
            enclosing.pop_back();
        }
        std::size_t distance = enclosing.empty() ? 0 : i - enclosing.back();
        blocks[i].parent = static_cast<std::uint16_t>(std::min(distance, largest_distance));
        enclosing.push_back(i);
    }
}

// Merges the changes, which follow the first `linked` blocks, into these blocks. Of equal prefixes, the last one is
// kept; it is removed if it has no site.
template <typename Key>
void client_block_table::merge_changes(bucket<Key>& blocks, std::size_t linked) {
    auto first_change = blocks.begin() + static_cast<std::ptrdiff_t>(linked);
    std::stable_sort(first_change, blocks.end(), before<Key>);
    std::inplace_merge(blocks.begin(), first_change, blocks.end(), before<Key>);
    auto same = [](const block<Key>& left, const block<Key>& right) {
        return left.start == right.start && left.length == right.length;
    };
    auto kept = std::unique(blocks.rbegin(), blocks.rend(), same);
    blocks.erase(blocks.begin(), kept.base());
    std::erase_if(blocks, [](const block<Key>& entry) { return entry.site == no_site; });
    link_parents(blocks);
}

// Writes a new site of a known prefix in place, since the order stays the same. Other changes are appended for
// merge_changes(), and so are all later changes of the bucket, because one of them may be of the same prefix.
template <typename Key>
void client_block_table::add_change(bucket<Key>& blocks, const block<Key>& entry, std::uint32_t top,
                                    linked_counts& changed_buckets) {
    if (!changed_buckets.contains(top)) {
        auto position = std::lower_bound(blocks.begin(), blocks.end(), entry, before<Key>);
        bool found = position != blocks.end() && position->start == entry.start && position->length == entry.length;
        if (found && entry.site != no_site) {
            position->site = entry.site;
            return;
        }
        if (!found && entry.site == no_site) {
            return;
        }
        changed_buckets.emplace(top, blocks.size());
    }
    blocks.push_back(entry);
}

int client_block_table::change(short_map& blocks, std::uint8_t length, std::uint32_t top, site_index site) {
    if (site == no_site) {
        return -static_cast<int>(blocks.erase({length, top}));
    }
    return blocks.insert_or_assign({length, top}, site).second ? 1 : 0;
}

// ---- Building ----

client_block_table::client_block_table(const wire::client_block_columns_t& blocks, std::uint64_t revision)
    : revision_number(revision) {
    this->add(blocks);
    this->finish_build();
}

client_block_table::client_block_table(const wire::configuration_t& configuration)
    : revision_number(configuration.revision) {
    for (const auto& record : configuration.records) {
        if (record->client_blocks) {
            this->add(*record->client_blocks);
        }
    }
    this->finish_build();
}

void client_block_table::add(const wire::client_block_columns_t& blocks) {
    for_each_client_block(blocks, [this](const client_prefix& prefix, const std::string* site) {
        if (site != nullptr) {
            this->insert_unlinked(prefix, this->site_index_of(*site));
        }
    });
}

site_index client_block_table::site_index_of(std::string_view site) {
    auto position = this->site_ids.find(site);
    if (position != this->site_ids.end()) {
        return position->second;
    }
    if (this->site_names.size() >= no_site) {
        throw client_block_error("more than 65,535 sites");
    }
    auto index = static_cast<site_index>(this->site_names.size());
    this->site_names.emplace_back(site);
    this->site_ids.emplace(site, index);
    return index;
}

void client_block_table::allocate_v4() {
    if (this->v4.empty()) {
        this->v4.resize(v4_buckets);
        this->v4_default.assign(v4_buckets, no_site);
    }
}

void client_block_table::insert_unlinked(const client_prefix& prefix, site_index site) {
    std::uint32_t first = word(prefix.address, 0);
    if (!prefix.address.v6) {
        this->allocate_v4();
        if (prefix.length <= v4_bucket_bits) {
            this->v4_short[{prefix.length, first >> 16}] = site;
            return;
        }
        auto length = static_cast<std::uint8_t>(prefix.length - v4_bucket_bits);
        this->v4[first >> 16].push_back({static_cast<v4_key>(first), site, 0, length});
        return;
    }
    if (prefix.length <= v6_bucket_bits) {
        this->v6_short[{prefix.length, first}] = site;
        return;
    }
    v6_key key{word(prefix.address, 1), word(prefix.address, 2), word(prefix.address, 3)};
    this->v6[first].push_back({key, site, 0, static_cast<std::uint8_t>(prefix.length - v6_bucket_bits)});
}

void client_block_table::finish_build() {
    this->count = this->v4_short.size() + this->v6_short.size();
    for (auto& blocks : this->v4) {
        merge_changes(blocks, 0);
        blocks.shrink_to_fit();
        this->count += blocks.size();
    }
    for (auto& [top, blocks] : this->v6) {
        merge_changes(blocks, 0);
        blocks.shrink_to_fit();
        this->count += blocks.size();
    }
    for (const auto& [key, site] : this->v6_short) {
        ++this->v6_short_count[key.first];
    }
    if (!this->v4.empty()) {
        this->refresh_defaults(0, v4_buckets - 1);
    }
}

// Recalculates the default sites of the buckets `first` to `last` from the prefixes of at most 16 bits. Longer prefixes
// are written later and replace shorter ones.
void client_block_table::refresh_defaults(std::uint32_t first, std::uint32_t last) {
    std::fill(this->v4_default.begin() + first, this->v4_default.begin() + last + 1, no_site);
    for (std::uint8_t length = 0; length <= v4_bucket_bits; ++length) {
        std::uint32_t span = 0xffffU >> length;  // number of buckets of one prefix, minus one
        auto entry = this->v4_short.lower_bound({length, first & ~span});
        for (; entry != this->v4_short.end() && entry->first.first == length && entry->first.second <= last; ++entry) {
            std::uint32_t begin = std::max(first, entry->first.second);
            std::uint32_t end = std::min(last, entry->first.second + span);
            std::fill(this->v4_default.begin() + begin, this->v4_default.begin() + end + 1, entry->second);
        }
    }
}

// ---- Lookup ----

std::optional<site_index> client_block_table::find(const client_address& address) const noexcept {
    std::uint32_t first = word(address, 0);
    site_index site = no_site;
    if (!address.v6) {
        if (this->v4.empty()) {
            return std::nullopt;
        }
        site = search(this->v4[first >> 16], static_cast<v4_key>(first));
        site = site == no_site ? this->v4_default[first >> 16] : site;
    } else {
        auto blocks = this->v6.find(first);
        if (blocks != this->v6.end()) {
            site = search(blocks->second, v6_key{word(address, 1), word(address, 2), word(address, 3)});
        }
        site = site == no_site ? this->find_short_v6(first) : site;
    }
    return site == no_site ? std::nullopt : std::optional(site);
}

std::optional<site_index> client_block_table::find(std::string_view address) const {
    return this->find(parse_client_address(address));
}

site_index client_block_table::find_short_v6(std::uint32_t top) const noexcept {
    for (int length = v6_bucket_bits; length >= 0; --length) {
        if (this->v6_short_count[static_cast<std::size_t>(length)] == 0) {
            continue;
        }
        auto bits = static_cast<std::uint8_t>(length);
        auto position = this->v6_short.find({bits, mask_high_bits(top, bits)});
        if (position != this->v6_short.end()) {
            return position->second;
        }
    }
    return no_site;
}

// ---- Changes ----

void client_block_table::add_change_v4(const client_prefix& prefix, site_index site, linked_counts& changed_buckets) {
    this->allocate_v4();
    std::uint32_t first = word(prefix.address, 0);
    if (prefix.length > v4_bucket_bits) {
        auto length = static_cast<std::uint8_t>(prefix.length - v4_bucket_bits);
        block<v4_key> entry{static_cast<v4_key>(first), site, 0, length};
        add_change(this->v4[first >> 16], entry, first >> 16, changed_buckets);
        return;
    }
    this->count += static_cast<std::size_t>(change(this->v4_short, prefix.length, first >> 16, site));
    this->refresh_defaults(first >> 16, (first >> 16) + (0xffffU >> prefix.length));
}

void client_block_table::add_change_v6(const client_prefix& prefix, site_index site, linked_counts& changed_buckets) {
    std::uint32_t first = word(prefix.address, 0);
    if (prefix.length <= v6_bucket_bits) {
        int difference = change(this->v6_short, prefix.length, first, site);
        this->v6_short_count[prefix.length] += static_cast<std::uint32_t>(difference);
        this->count += static_cast<std::size_t>(difference);
        return;
    }
    if (site == no_site && !this->v6.contains(first)) {
        return;
    }
    v6_key key{word(prefix.address, 1), word(prefix.address, 2), word(prefix.address, 3)};
    auto length = static_cast<std::uint8_t>(prefix.length - v6_bucket_bits);
    add_change(this->v6[first], block<v6_key>{key, site, 0, length}, first, changed_buckets);
}

void client_block_table::apply(std::span<const client_block_change> changes) {
    linked_counts touched_v4;
    linked_counts touched_v6;
    for (const auto& change : changes) {
        site_index site = change.site ? this->site_index_of(*change.site) : no_site;
        if (change.prefix.address.v6) {
            this->add_change_v6(change.prefix, site, touched_v6);
        } else {
            this->add_change_v4(change.prefix, site, touched_v4);
        }
    }
    for (const auto& [top, linked] : touched_v4) {
        merge_changes(this->v4[top], linked);
        this->count += this->v4[top].size() - linked;  // a decrease wraps around modulo 2^n, as intended
    }
    for (const auto& [top, linked] : touched_v6) {
        bucket<v6_key>& blocks = this->v6[top];
        merge_changes(blocks, linked);
        this->count += blocks.size() - linked;
        if (blocks.empty()) {
            this->v6.erase(top);
        }
    }
}

void client_block_table::apply(const client_block_delta& delta) {
    if (delta.base_revision != this->revision_number) {
        throw client_block_revision_error("client block table is at revision " + std::to_string(this->revision_number) +
                                          ", but the delta has base revision " + std::to_string(delta.base_revision));
    }
    this->apply(delta.changes);
    this->revision_number = delta.revision;
}

// Tree and hash nodes are estimated to need 48 and 32 bytes in addition to their content.
std::size_t client_block_table::memory_bytes() const noexcept {
    constexpr std::size_t tree_node = 48;
    constexpr std::size_t hash_node = 32;
    std::size_t result =
        sizeof(*this) + this->v4.capacity() * sizeof(bucket<v4_key>) + this->v4_default.capacity() * sizeof(site_index);
    for (const auto& blocks : this->v4) {
        result += blocks.capacity() * sizeof(block<v4_key>);
    }
    for (const auto& [top, blocks] : this->v6) {
        result += hash_node + sizeof(bucket<v6_key>) + blocks.capacity() * sizeof(block<v6_key>);
    }
    return result + (this->v4_short.size() + this->v6_short.size()) * tree_node;
}

}  // namespace persimmongrade
