// Memory, build, lookups and changes of three tables of client blocks.

#include <algorithm>
#include <array>
#include <cstring>
#include <iostream>
#include <unordered_map>

#include "parts.h"
#include "persimmongrade/client_block_table.h"

namespace persimmongrade {

namespace {

using block_list = wire::client_block_columns_t;

constexpr std::size_t sites = 94;
constexpr std::size_t lookups = 2'000'000;
constexpr std::size_t changes = 1000;
constexpr double v6_part = 0.1;

std::string site_name(std::size_t index) {
    return "site-" + std::to_string(index);
}

site_index site_number(const std::string& name) {
    return static_cast<site_index>(std::stoul(name.substr(name.find('-') + 1)));
}

client_address masked(client_address address, unsigned length) {
    for (std::size_t i = 0; i < address.bytes.size(); ++i) {
        int keep = std::clamp(static_cast<int>(length) - static_cast<int>(i) * 8, 0, 8);
        address.bytes[i] = static_cast<std::uint8_t>(address.bytes[i] & (0xff00 >> keep));
    }
    return address;
}

// A table from client address to site that can be built, searched and changed.
template <typename T>
concept block_table = requires(T value, const block_list& blocks, const client_address& address,
                               const client_block_change& change) {
    T(blocks);
    { value.find(address) } -> std::convertible_to<std::optional<site_index>>;
    value.apply(change);
};

// Alternative: one hash table per prefix length, searched from the longest.
class length_maps {
public:
    explicit length_maps(const block_list& blocks) {
        for_each_client_block(blocks, [this](const client_prefix& prefix, const std::string* site) {
            this->apply({prefix, *site});
        });
    }

    std::optional<site_index> find(const client_address& address) const {
        for (int length = address.v6 ? 128 : 32; length >= 0; --length) {
            const auto& map = this->maps[address.v6 ? 1 : 0][static_cast<std::size_t>(length)];
            if (map.empty()) {
                continue;
            }
            auto position = map.find(masked(address, static_cast<unsigned>(length)));
            if (position != map.end()) {
                return position->second;
            }
        }
        return std::nullopt;
    }

    void apply(const client_block_change& change) {
        auto& map = this->maps[change.prefix.address.v6 ? 1 : 0][change.prefix.length];
        if (change.site) {
            map[change.prefix.address] = site_number(*change.site);
        } else {
            map.erase(change.prefix.address);
        }
    }

private:
    struct address_hash {
        std::size_t operator()(const client_address& address) const noexcept {
            std::uint64_t words[2];
            std::memcpy(words, address.bytes.data(), sizeof(words));
            return (words[0] * 0x9e3779b97f4a7c15ULL) ^ (words[1] * 0xc2b2ae3d27d4eb4fULL) >> 7;
        }
    };
    std::array<std::array<std::unordered_map<client_address, site_index, address_hash>, 129>, 2> maps;
};

// Alternative: disjoint ranges in one sorted vector for each address family, searched by bisection. A change sweeps
// over all prefixes of the family again.
class sorted_ranges {
public:
    explicit sorted_ranges(const block_list& blocks) {
        for_each_client_block(blocks, [this](const client_prefix& prefix, const std::string* site) {
            this->prefixes[prefix.address.v6 ? 1 : 0].emplace_back(prefix, site_number(*site));
        });
        for (bool v6 : {false, true}) {
            std::sort(this->prefixes[v6].begin(), this->prefixes[v6].end());
            this->sweep(v6);
        }
    }

    std::optional<site_index> find(const client_address& address) const {
        return address.v6 ? search(this->v6, address.bytes) : search(this->v4, v4_key(address));
    }

    void apply(const client_block_change& change) {
        bool v6 = change.prefix.address.v6;
        auto& list = this->prefixes[v6];
        auto position = std::lower_bound(list.begin(), list.end(), std::pair(change.prefix, site_index{0}));
        bool found = position != list.end() && position->first == change.prefix;
        if (!change.site) {
            if (found) {
                list.erase(position);
            }
        } else if (found) {
            position->second = site_number(*change.site);
        } else {
            list.insert(position, {change.prefix, site_number(*change.site)});
        }
        this->sweep(v6);
    }

private:
    static constexpr site_index none = 0xffff;
    using v6_key = std::array<std::uint8_t, 16>;
    template <typename Key>
    using range_list = std::vector<std::pair<Key, site_index>>;

    static std::uint32_t v4_key(const client_address& address) {
        return std::uint32_t{address.bytes[0]} << 24 | std::uint32_t{address.bytes[1]} << 16 |
               std::uint32_t{address.bytes[2]} << 8 | address.bytes[3];
    }

    template <typename Key>
    static std::optional<site_index> search(const range_list<Key>& ranges, const Key& key) {
        auto after = std::upper_bound(ranges.begin(), ranges.end(), key,
                                      [](const Key& value, const auto& entry) { return value < entry.first; });
        if (after == ranges.begin() || std::prev(after)->second == none) {
            return std::nullopt;
        }
        return std::prev(after)->second;
    }

    // The address after the prefix; false when the prefix reaches the end of the address space.
    static bool end_of(const client_prefix& prefix, client_address& end) {
        end = prefix.address;
        if (prefix.length == 0) {
            return false;
        }
        unsigned carry = 0x80U >> (prefix.length - 1) % 8;
        for (int i = (prefix.length - 1) / 8; i >= 0 && carry > 0; --i) {
            unsigned sum = end.bytes[static_cast<std::size_t>(i)] + carry;
            end.bytes[static_cast<std::size_t>(i)] = static_cast<std::uint8_t>(sum);
            carry = sum >> 8;
        }
        return carry == 0;
    }

    void add_range(bool v6, const client_address& start, site_index site) {
        auto add = [&](auto& ranges, const auto& key) {
            if (!ranges.empty() && ranges.back().first == key) {
                ranges.back().second = site;
            } else if (ranges.empty() || ranges.back().second != site) {
                ranges.emplace_back(key, site);
            }
        };
        if (v6) {
            add(this->v6, start.bytes);
        } else {
            add(this->v4, v4_key(start));
        }
    }

    void sweep(bool v6) {
        this->v4.erase(v6 ? this->v4.end() : this->v4.begin(), this->v4.end());
        this->v6.erase(v6 ? this->v6.begin() : this->v6.end(), this->v6.end());
        struct open_block {
            bool bounded;
            client_address end;
            site_index site;
        };
        std::vector<open_block> open;
        auto close_until = [&](const client_address* start) {
            while (!open.empty() && open.back().bounded && (!start || open.back().end <= *start)) {
                client_address end = open.back().end;
                open.pop_back();
                this->add_range(v6, end, open.empty() ? none : open.back().site);
            }
        };
        for (const auto& [prefix, site] : this->prefixes[v6]) {
            close_until(&prefix.address);
            this->add_range(v6, prefix.address, site);
            open_block block{false, {}, site};
            block.bounded = end_of(prefix, block.end);
            open.push_back(block);
        }
        close_until(nullptr);
    }

    std::array<std::vector<std::pair<client_prefix, site_index>>, 2> prefixes;
    range_list<std::uint32_t> v4;
    range_list<v6_key> v6;
};

struct block_workload {
    block_list blocks;
    std::vector<client_address> addresses;
    std::vector<client_block_change> changes;
};

block_workload make_workload(std::size_t size) {
    std::mt19937_64 random(size);
    auto prefixes = generate_prefixes(size + changes / 2, random);
    std::vector<client_prefix> added(prefixes.begin() + static_cast<std::ptrdiff_t>(size), prefixes.end());
    prefixes.resize(size);
    block_workload result{to_blocks(prefixes), {}, {}};
    for (std::size_t i = 0; i < lookups; ++i) {
        const client_prefix& prefix = prefixes[random() % size];
        client_address address = prefix.address;
        std::uint64_t bits = random();
        for (std::size_t byte = (prefix.length + 7U) / 8; byte < (address.v6 ? 16U : 4U); ++byte) {
            address.bytes[byte] = static_cast<std::uint8_t>(bits >> byte % 8 * 8);
        }
        result.addresses.push_back(address);
    }
    for (std::size_t i = 0; i < added.size(); ++i) {
        result.changes.push_back({added[i], site_name(i % sites)});
        result.changes.push_back({prefixes[random() % size], std::nullopt});
    }
    return result;
}

// Measures one kind of table; returns the sum of all found sites, which must be the same for every kind.
template <block_table Table>
std::uint64_t measure_blocks(const std::string& name, const block_workload& work, std::size_t change_count,
                             table& report) {
    std::size_t before = heap_bytes();
    std::unique_ptr<Table> blocks;
    double build = seconds([&] { blocks = std::make_unique<Table>(work.blocks); });
    std::size_t memory = heap_bytes() - before;
    std::uint64_t sum = 0;
    double search = seconds([&] {
        for (const auto& address : work.addresses) {
            auto site = blocks->find(address);
            sum += site ? *site + 1U : 0U;
        }
    });
    double apply = seconds([&] {
        for (std::size_t i = 0; i < change_count; ++i) {
            blocks->apply(work.changes[i]);
        }
    });
    report.rows.push_back({name, work.blocks.versions.size(), static_cast<double>(memory) / 1e6, build * 1e3,
                           static_cast<double>(lookups) / search / 1e6,
                           apply / static_cast<double>(change_count) * 1e6});
    return sum;
}

class measurement_error : public error {
public:
    using error::error;
};

}  // namespace

// Distinct prefixes with lengths as in public routing tables: most IPv4 ones /24 and /22 to /20, IPv6 /48 and /32.
std::vector<client_prefix> generate_prefixes(std::size_t count, std::mt19937_64& random) {
    static constexpr std::uint8_t v4_lengths[] = {24, 24, 24, 24, 24, 24, 23, 22, 22, 21, 20, 19, 18, 17, 16, 14};
    static constexpr std::uint8_t v6_lengths[] = {48, 48, 48, 48, 44, 40, 36, 32};
    std::vector<client_prefix> result;
    while (result.size() < count) {
        for (std::size_t i = result.size(); i < count + count / 50 + 1; ++i) {
            client_prefix prefix;
            prefix.address.v6 = static_cast<double>(random() % 1000) < v6_part * 1000;
            prefix.length = prefix.address.v6 ? v6_lengths[random() % 8] : v4_lengths[random() % 16];
            for (int byte = 0; byte < (prefix.length + 7) / 8; ++byte) {
                prefix.address.bytes[static_cast<std::size_t>(byte)] = static_cast<std::uint8_t>(random());
            }
            prefix.address.bytes[0] = prefix.address.v6 ? 0x20 : static_cast<std::uint8_t>(1 + random() % 222);
            result.push_back(parse_client_prefix(to_string(prefix)));
        }
        std::sort(result.begin(), result.end());
        result.erase(std::unique(result.begin(), result.end()), result.end());
    }
    std::shuffle(result.begin(), result.end(), random);
    result.resize(count);
    return result;
}

block_list to_blocks(const std::vector<client_prefix>& prefixes) {
    client_block_writer writer;
    for (std::size_t i = 0; i < prefixes.size(); ++i) {
        writer.add(prefixes[i], site_name(i % sites));
    }
    return std::move(*writer.take());
}

std::vector<table> measure_all_blocks(const std::vector<std::size_t>& sizes) {
    table report{"client blocks, 94 sites, 10% IPv6, one core",
                 {"table", "blocks", "memory MB", "build ms", "million lookups/s", "us per change"},
                 {}};
    table fits = make_fit_table("client blocks, linear fit");
    for (std::size_t size : sizes) {
        block_workload work = make_workload(size);
        std::uint64_t own = measure_blocks<client_block_table>("buckets", work, changes, report);
        std::uint64_t maps = measure_blocks<length_maps>("hash per length", work, changes, report);
        std::uint64_t ranges = measure_blocks<sorted_ranges>("sorted ranges", work, 10, report);
        if (own != maps || own != ranges) {
            throw measurement_error("the tables disagree at " + std::to_string(size) + " blocks");
        }
    }
    for (const char* name : {"buckets", "hash per length", "sorted ranges"}) {
        add_fits(fits, report, name, 1, {2, 3, 5});
    }
    table deltas{"client block delta, bytes", {"changes", "bytes"}, {}};
    block_workload work = make_workload(1000);
    for (std::size_t count : {1U, 10U, 100U, 1000U}) {
        client_block_delta delta{1, 2, {work.changes.begin(), work.changes.begin() + count}};
        deltas.rows.push_back({count, encode(delta).size()});
    }
    add_fits(fits, deltas, "", 0, {1});
    return {report, deltas, fits};
}

}  // namespace persimmongrade
