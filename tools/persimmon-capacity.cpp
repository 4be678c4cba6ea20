// Measures how cost grows with size, and compares ways to share a limit. Index:
//   report           tables, text and JSON output, linear fit
//   client blocks    memory, build, lookups and changes of three tables
//   leases           cost of a ping at the edge and at the leader
//   edge list        size of a pong with the list of edges
//   configuration    size of a change
//   comparison       leases, static shares and shared counters in simulated time
//   shifts           refusals when a region fails, with and without planned link bytes, in simulated time
//   main             options
//
//     persimmon-capacity --part blocks --sizes 10000,100000 --output json

#include <malloc.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cmath>
#include <ctime>
#include <deque>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <numeric>
#include <random>
#include <sstream>

#include "persimmongrade/capacity_lease.h"
#include "persimmongrade/client_block_table.h"
#include "persimmongrade/distribution.h"
#include "persimmongrade/edge_list.h"
#include "persimmongrade/shift_controller.h"

namespace persimmongrade {

namespace {

// ---- Report ----

struct table {
    std::string title;
    std::vector<std::string> columns;
    std::vector<std::vector<nlohmann::json>> rows;
};

std::string to_text(const nlohmann::json& value) {
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (!value.is_number_float()) {
        return value.dump();
    }
    double number = value.get<double>();
    std::ostringstream out;
    out << std::fixed << std::setprecision(std::abs(number) >= 100 ? 0 : std::abs(number) >= 1 ? 2 : 4) << number;
    return out.str();
}

void print_text(const table& report) {
    std::cout << report.title << "\n";
    std::vector<std::size_t> widths;
    for (std::size_t i = 0; i < report.columns.size(); ++i) {
        widths.push_back(report.columns[i].size());
        for (const auto& row : report.rows) {
            widths[i] = std::max(widths[i], to_text(row[i]).size());
        }
        std::cout << std::setw(static_cast<int>(widths[i]) + 2) << report.columns[i];
    }
    for (const auto& row : report.rows) {
        std::cout << "\n";
        for (std::size_t i = 0; i < row.size(); ++i) {
            std::cout << std::setw(static_cast<int>(widths[i]) + 2) << to_text(row[i]);
        }
    }
    std::cout << "\n\n" << std::flush;
}

void print_json(const std::vector<table>& reports) {
    nlohmann::json result = nlohmann::json::array();
    for (const auto& report : reports) {
        nlohmann::json rows = nlohmann::json::array();
        for (const auto& row : report.rows) {
            nlohmann::json entry;
            for (std::size_t i = 0; i < row.size(); ++i) {
                entry[report.columns[i]] = row[i];
            }
            rows.push_back(entry);
        }
        result.push_back({{"title", report.title}, {"rows", rows}});
    }
    std::cout << result.dump(2) << "\n";
}

// Least squares line through (x, y).
struct line {
    double slope = 0;
    double intercept = 0;
    double largest_residual = 0;  // of the largest y
};

line fit(const std::vector<std::pair<double, double>>& points) {
    double n = static_cast<double>(points.size());
    double sum_x = 0, sum_y = 0, sum_xx = 0, sum_xy = 0, largest = 0;
    for (const auto& [x, y] : points) {
        sum_x += x;
        sum_y += y;
        sum_xx += x * x;
        sum_xy += x * y;
        largest = std::max(largest, std::abs(y));
    }
    line result;
    double spread = n * sum_xx - sum_x * sum_x;
    result.slope = spread == 0 ? 0 : (n * sum_xy - sum_x * sum_y) / spread;
    result.intercept = (sum_y - result.slope * sum_x) / n;
    for (const auto& [x, y] : points) {
        double residual = std::abs(y - result.intercept - result.slope * x) / std::max(largest, 1e-12);
        result.largest_residual = std::max(result.largest_residual, residual);
    }
    return result;
}

// Adds a row to `fits` for each named column against the first numeric column `x`.
void add_fits(table& fits, const table& from, const std::string& group, std::size_t x,
              const std::vector<std::size_t>& columns) {
    for (std::size_t column : columns) {
        std::vector<std::pair<double, double>> points;
        for (const auto& row : from.rows) {
            if (group.empty() || row[0] == group) {
                points.emplace_back(row[x].get<double>(), row[column].get<double>());
            }
        }
        line result = fit(points);
        fits.rows.push_back({group.empty() ? from.title : group, from.columns[column], from.columns[x],
                             result.slope * 1000, result.intercept, result.largest_residual * 100});
    }
}

table make_fit_table(const std::string& title) {
    return {title, {"of", "value", "x", "slope per 1000 x", "at x = 0", "residual % of largest"}, {}};
}

double processor_seconds() {
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / 1e9;
}

// Processor time of this process, which other load on the machine disturbs less than elapsed time.
template <typename Action>
double seconds(Action&& action) {
    double start = processor_seconds();
    action();
    return processor_seconds() - start;
}

std::size_t heap_bytes() {
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

// ---- Client blocks ----

using block_list = wire::client_block_columns_t;

constexpr std::size_t sites = 94;
constexpr std::size_t lookups = 2'000'000;
constexpr std::size_t changes = 1000;
constexpr double v6_part = 0.1;

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

std::string site_name(std::size_t index) {
    return "site-" + std::to_string(index);
}

block_list to_blocks(const std::vector<client_prefix>& prefixes) {
    client_block_writer writer;
    for (std::size_t i = 0; i < prefixes.size(); ++i) {
        writer.add(prefixes[i], site_name(i % sites));
    }
    return std::move(*writer.take());
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

// ---- Leases ----

std::vector<std::string> edge_names(std::size_t count) {
    std::vector<std::string> result;
    for (std::size_t i = 0; i < count; ++i) {
        result.push_back("edge-" + std::to_string(i));
    }
    return result;
}

std::string region_name(std::size_t index) {
    return "region-" + std::to_string(index);
}

constexpr const char* lease_service = "service";
constexpr std::size_t local_targets = 14;

wire::configuration_t make_configuration(std::size_t resources, double rate) {
    wire::configuration_t result;
    result.revision = 1;
    auto& record = result.records.emplace_back(std::make_unique<wire::steering_record_t>());
    for (std::size_t i = 0; i < resources; ++i) {
        auto& limit = record->regions.emplace_back(std::make_unique<wire::region_limit_t>());
        limit->region = region_name(i);
        limit->max_requests_per_second = rate;
    }
    auto& service = record->services.emplace_back(std::make_unique<wire::service_definition_t>());
    service->name = lease_service;
    service->slots_per_target = 6;
    service->connections_per_target = 330;
    return result;
}

template <typename Message, typename Object>
std::vector<std::uint8_t> pack(const Object& message) {
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Message::Pack(builder, &message));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

struct lease_cost {
    double ping_bytes = 0;
    double pong_bytes = 0;
    double pong_bytes_with_edges = 0;
    double ping_us = 0;     // prepare and encode at the edge, receive the answer
    double granter_us = 0;  // decode, answer and encode at the leader, without the list of edges
};

void fill_edges(wire::edge_pong_t& pong, const std::vector<std::string>& names) {
    for (const auto& name : names) {
        auto& edge = pong.edges.emplace_back(std::make_unique<wire::edge_info_t>());
        edge->id = name;
        edge->region = "region-0";
        edge->zone = "region-0-a";
        edge->http_address = "127.0.1.1:8000";
        edge->peer_address = "127.0.1.1:7000";
        edge->alive = true;
    }
}

// `varying`: every rate changes with every ping; otherwise none does. `targets`: each edge asks for one slot and one
// connection of so many targets.
lease_cost measure_leases(std::size_t edges, std::size_t resources, bool varying, std::size_t targets) {
    constexpr int rounds = 8;
    constexpr int measured_from = 4;
    auto names = edge_names(edges);
    auto configuration = make_configuration(resources, 100.0 * static_cast<double>(edges));
    lease_granter granter(names);
    granter.apply(configuration, time_point(ms(0)));
    granter.become_leader(1, time_point(ms(0)));
    std::vector<lease_holder> holders;
    for (const auto& name : names) {
        holders.emplace_back(name, names).apply(configuration, time_point(ms(0)));
    }
    lease_cost result;
    double pings = 0;
    for (int round = 0; round < rounds; ++round) {
        time_point now(ms(3000 + round * 250));
        for (std::size_t i = 0; i < edges; ++i) {
            lease_holder& holder = holders[i];
            for (std::size_t r = 0; r < resources; ++r) {
                double amount = varying ? static_cast<double>(1 + (r + static_cast<std::size_t>(round)) % 3) : 1;
                resource_claim claim{region_resource(region_name(r)), amount};
                holder.reserve(std::span(&claim, 1), now, floor_use::without_configuration);
            }
            for (std::size_t target = 0; target < targets; ++target) {
                std::string name = "target-" + std::to_string(target);
                holder.anticipate(slots_resource(lease_service, name), 1, now);
                holder.anticipate(connections_resource(lease_service, name), 1, now);
            }
            wire::edge_ping_t ping;
            wire::edge_pong_t pong;
            std::vector<std::uint8_t> ping_bytes;
            std::vector<std::uint8_t> pong_bytes;
            double edge = seconds([&] {
                holder.prepare(ping, now);
                ping_bytes = pack<wire::edge_ping>(ping);
            });
            double leader = seconds([&] {
                wire::edge_ping_t received;
                flatbuffers::GetRoot<wire::edge_ping>(ping_bytes.data())->UnPackTo(&received);
                pong_bytes = pack<wire::edge_pong>(granter.answer(received, now));
            });
            edge += seconds([&] {
                flatbuffers::GetRoot<wire::edge_pong>(pong_bytes.data())->UnPackTo(&pong);
                holder.receive(pong, now);
            });
            if (round >= measured_from) {
                ++pings;
                result.ping_us += edge * 1e6;
                result.granter_us += leader * 1e6;
                result.ping_bytes += static_cast<double>(ping_bytes.size());
                result.pong_bytes += static_cast<double>(pong_bytes.size());
            }
            if (round == rounds - 1 && i == 0) {
                fill_edges(pong, names);
                result.pong_bytes_with_edges = static_cast<double>(pack<wire::edge_pong>(pong).size());
            }
        }
    }
    for (double* value : {&result.ping_us, &result.granter_us, &result.ping_bytes, &result.pong_bytes}) {
        *value /= pings;
    }
    return result;
}

std::vector<table> measure_all_leases() {
    const std::vector<std::string> columns = {"edges",
                                              "resources",
                                              "ping bytes",
                                              "pong bytes",
                                              "pong + edge list bytes",
                                              "edge us per ping",
                                              "leader us per ping"};
    table by_edges{"leases by number of edges, 21 rate resources", columns, {}};
    table by_resources{"leases by number of resources, 7 edges", columns, {}};
    table varying{"leases, all demands change with every ping", columns, {}};
    table today{"leases of today's deployment, 14 targets in each region", columns, {}};
    auto add = [&](table& report, std::size_t edges, std::size_t resources) {
        lease_cost cost = measure_leases(edges, resources, &report == &varying, &report == &today ? local_targets : 0);
        report.rows.push_back({edges, resources, cost.ping_bytes, cost.pong_bytes, cost.pong_bytes_with_edges,
                               cost.ping_us, cost.granter_us});
    };
    for (std::size_t edges : {7U, 50U, 100U, 200U, 400U, 650U}) {
        add(by_edges, edges, 21);
    }
    for (std::size_t resources : {7U, 21U, 49U, 100U, 200U}) {
        add(by_resources, 7, resources);
    }
    add(today, 7, 9);  // 3 regions, 6 links
    add(varying, 7, 21);
    add(varying, 7, 49);
    add(varying, 650, 21);
    add(varying, 650, 49);
    table fits = make_fit_table("leases, linear fit");
    add_fits(fits, by_edges, "", 0, {4, 5, 6});
    add_fits(fits, by_resources, "", 1, {2, 3, 5, 6});
    return {by_edges, by_resources, today, varying, fits};
}

// ---- Edge list ----

struct edge_list_cost {
    double whole_bytes = 0;   // pong to an edge that has just started
    double steady_bytes = 0;  // mean of later pongs, of all edges
    double leader_us = 0;     // per later ping: update of the list, answer and encoding
    double whole_leader_us = 0;
};

// Edges that ping every 250 ms. In each second one edge changes its state and `restarts` edges start anew.
struct edge_list_run {
    static constexpr std::size_t pings_per_second = 4;

    std::vector<std::string> names;
    std::size_t restarts;
    record_store store;
    distribution distributor{{}, names, store};
    std::vector<edge_list> lists = std::vector<edge_list>(names.size());
    std::vector<wire::edge_ping_t> pings = std::vector<wire::edge_ping_t>(names.size());
    edge_list_cost cost;
    double later = 0;

    edge_list_run(std::size_t edges, std::size_t restarts) : names(edge_names(edges)), restarts(restarts) {
        this->distributor.set_authority(time_point(ms(0)), 0, {true, "control-1", 1});
        for (std::size_t i = 0; i < edges; ++i) {
            wire::edge_ping_t& ping = this->pings[i];
            ping.edge = this->names[i];
            ping.incarnation = 1'700'000'000'000;
            ping.region = "region-0";
            ping.zone = "region-0-a";
            ping.http_address = "127.0.1.1:8000";
            ping.peer_address = "127.0.1.1:7000";
        }
    }

    void ping(std::size_t i, time_point now, bool steady) {
        ++this->pings[i].sequence;
        this->lists[i].name_version(this->pings[i]);
        std::vector<std::uint8_t> bytes;
        double spent = seconds([&] {
            for (auto& message : this->distributor.on_ping(now, this->pings[i], {})) {
                bytes = pack<wire::edge_pong>(*message.body.Asedge_pong());
            }
        });
        wire::edge_pong_t pong;
        flatbuffers::GetRoot<wire::edge_pong>(bytes.data())->UnPackTo(&pong);
        this->lists[i].receive(pong);
        if (pong.edges_base == 0) {
            this->cost.whole_bytes = std::max(this->cost.whole_bytes, static_cast<double>(bytes.size()));
            this->cost.whole_leader_us = std::max(this->cost.whole_leader_us, spent * 1e6);
            return;
        }
        if (!steady) {
            return;
        }
        ++this->later;
        this->cost.steady_bytes += static_cast<double>(bytes.size());
        this->cost.leader_us += spent * 1e6;
    }

    void change_edges(std::size_t second) {
        auto& state = this->pings[second % this->names.size()].state;
        state = state == wire::edge_state::serving ? wire::edge_state::stopping : wire::edge_state::serving;
        for (std::size_t k = 0; k < this->restarts; ++k) {
            std::size_t i = (second * 7 + k + 1) % this->names.size();
            ++this->pings[i].incarnation;
            this->lists[i] = edge_list();
        }
    }

    edge_list_cost measure() {
        constexpr std::size_t measured_seconds = 10;
        for (std::size_t round = 0; round < measured_seconds * pings_per_second; ++round) {
            if (round % pings_per_second == 2) {
                this->change_edges(round / pings_per_second);
            }
            for (std::size_t i = 0; i < this->names.size(); ++i) {
                std::size_t since_start = round * 250 + i * 250 / this->names.size();
                bool steady = round >= pings_per_second;  // before, the edges announce themselves one by one
                this->ping(i, time_point(ms(2000 + static_cast<std::int64_t>(since_start))), steady);
            }
        }
        this->cost.steady_bytes /= this->later;
        this->cost.leader_us /= this->later;
        return this->cost;
    }
};

std::vector<table> measure_all_edge_lists() {
    table report{
        "pong without grants: edge list, pings every 250 ms, one change of state per second",
        {"edges", "restarts per s", "whole list bytes", "changes bytes", "leader us, whole", "leader us, changes"},
        {}};
    for (std::size_t edges : {7U, 100U, 650U}) {
        for (std::size_t restarts : {0U, 1U}) {
            edge_list_cost cost = edge_list_run(edges, restarts).measure();
            report.rows.push_back(
                {edges, restarts, cost.whole_bytes, cost.steady_bytes, cost.whole_leader_us, cost.leader_us});
        }
    }
    return {report};
}

// ---- Configuration ----

std::vector<table> measure_configuration(const std::vector<std::size_t>& sizes) {
    table assignments{"configuration delta with changed assignments of 7 regions", {"assignments", "bytes"}, {}};
    for (std::size_t count : {1U, 10U, 100U}) {
        wire::configuration_delta_t delta;
        for (std::size_t i = 0; i < count; ++i) {
            auto& entry = delta.changed_assignments.emplace_back(std::make_unique<wire::assignment_t>());
            entry->service = "service";
            entry->caller_region = region_name(i);
            for (std::size_t r = 0; r < 7; ++r) {
                auto& share = entry->shares.emplace_back(std::make_unique<wire::region_share_t>());
                share->region = region_name(r);
                share->permille = 142;
            }
        }
        assignments.rows.push_back({count, pack<wire::configuration_delta>(delta).size()});
    }
    table records{"configuration delta with one changed record", {"client blocks", "bytes", "encode ms"}, {}};
    for (std::size_t size : sizes) {
        std::mt19937_64 random(size);
        wire::configuration_delta_t delta;
        auto& record = delta.changed_records.emplace_back(std::make_unique<wire::steering_record_t>());
        record->client_blocks = std::make_unique<block_list>(to_blocks(generate_prefixes(size, random)));
        std::size_t bytes = 0;
        double encode = seconds([&] { bytes = pack<wire::configuration_delta>(delta).size(); });
        records.rows.push_back({size, bytes, encode * 1e3});
    }
    table fits = make_fit_table("configuration, linear fit");
    add_fits(fits, assignments, "", 0, {1});
    add_fits(fits, records, "", 0, {1, 2});
    return {assignments, records, fits};
}

// ---- Comparison ----

constexpr std::size_t compared_edges = 7;
constexpr double compared_limit = 2000;  // requests per second of one region
constexpr std::int64_t compared_length_ms = 60000;
constexpr std::int64_t queue_ms = 100;            // a request waits at most this long
constexpr std::int64_t compared_one_way_ms = 20;  // edge to leader

// Decides on admission at one of the edges in simulated time.
class sharing_scheme {
public:
    virtual ~sharing_scheme() = default;
    virtual void tick(std::int64_t now) = 0;
    virtual bool admit(std::size_t edge, std::int64_t now, bool repeated) = 0;
};

class static_shares : public sharing_scheme {
public:
    static_shares() : buckets(compared_edges) {
        for (auto& bucket : this->buckets) {
            bucket.set_rate(compared_limit / compared_edges, time_point(ms(0)));
        }
    }
    void tick(std::int64_t) override {}
    bool admit(std::size_t edge, std::int64_t now, bool) override {
        return this->buckets[edge].take(1, time_point(ms(now)));
    }

private:
    std::vector<token_bucket> buckets;
};

// Each edge counts in fixed windows of 1 s and sees the other edges' counts as they were `delay_ms` ago.
class shared_counters : public sharing_scheme {
public:
    explicit shared_counters(std::int64_t delay_ms) : delay_ms(delay_ms), history(compared_edges) {}
    void tick(std::int64_t now) override {
        for (auto& times : this->history) {
            while (!times.empty() && times.front() < now / 1000 * 1000) {
                times.pop_front();
            }
        }
    }
    bool admit(std::size_t edge, std::int64_t now, bool) override {
        double known = static_cast<double>(this->history[edge].size());
        for (std::size_t i = 0; i < compared_edges; ++i) {
            const auto& times = this->history[i];
            auto seen = std::upper_bound(times.begin(), times.end(), now - this->delay_ms);
            known += i == edge ? 0 : static_cast<double>(seen - times.begin());
        }
        if (known + 1 > compared_limit) {
            return false;
        }
        this->history[edge].push_back(now);
        return true;
    }

private:
    std::int64_t delay_ms;
    std::vector<std::deque<std::int64_t>> history;  // times of admissions in the current window
};

class leases : public sharing_scheme {
public:
    leases() : names(edge_names(compared_edges)), granter(this->names) {
        auto configuration = make_configuration(1, compared_limit);
        this->granter.apply(configuration, time_point(ms(0)));
        this->granter.become_leader(1, time_point(ms(0)));
        for (const auto& name : this->names) {
            this->holders.emplace_back(name, this->names).apply(configuration, time_point(ms(0)));
        }
    }
    void tick(std::int64_t now) override {
        while (!this->pings.empty() && this->pings.front().first <= now) {
            auto pong = this->granter.answer(this->pings.front().second, time_point(ms(now)));
            auto index = static_cast<std::size_t>(std::stoul(this->pings.front().second.edge.substr(5)));
            this->pings.pop_front();
            this->pongs.push_back({now + compared_one_way_ms, index, std::move(pong)});
        }
        while (!this->pongs.empty() && this->pongs.front().at <= now) {
            this->holders[this->pongs.front().edge].receive(this->pongs.front().message, time_point(ms(now)));
            this->pongs.pop_front();
        }
        for (std::size_t i = 0; i < compared_edges; ++i) {
            if ((now + static_cast<std::int64_t>(i) * 35) % 250 == 0) {
                wire::edge_ping_t ping;
                this->holders[i].prepare(ping, time_point(ms(now)));
                this->pings.emplace_back(now + compared_one_way_ms, std::move(ping));
            }
        }
    }
    bool admit(std::size_t edge, std::int64_t now, bool repeated) override {
        resource_claim claim{region_resource(region_name(0)), 1};
        return static_cast<bool>(this->holders[edge].reserve(std::span(&claim, 1), time_point(ms(now)),
                                                             floor_use::with_configuration, repeated));
    }

private:
    struct sent_pong {
        std::int64_t at;
        std::size_t edge;
        wire::edge_pong_t message;
    };
    std::vector<std::string> names;
    lease_granter granter;
    std::deque<lease_holder> holders;
    std::deque<std::pair<std::int64_t, wire::edge_ping_t>> pings;
    std::deque<sent_pong> pongs;
};

// Requests per second at one edge.
using demand_pattern = double (*)(std::size_t edge, std::int64_t now);

double skewed(std::size_t edge, double total) {
    static constexpr double parts[] = {0.4, 0.25, 0.15, 0.08, 0.06, 0.04, 0.02};
    return parts[edge] * total;
}

struct pattern {
    std::string name;
    demand_pattern demand;
};

const std::vector<pattern>& patterns() {
    static const std::vector<pattern> list = {
        {"skewed, 80% of the limit", [](std::size_t edge, std::int64_t) { return skewed(edge, 0.8 * compared_limit); }},
        {"skewed, 150% of the limit",
         [](std::size_t edge, std::int64_t) { return skewed(edge, 1.5 * compared_limit); }},
        {"hot edge moves every 5 s, 80%",
         [](std::size_t edge, std::int64_t now) {
             return skewed((edge + static_cast<std::size_t>(now / 5000)) % compared_edges, 0.8 * compared_limit);
         }},
        {"bursts of 600 ms every 2 s, 400%",
         [](std::size_t edge, std::int64_t now) {
             return now % 2000 >= 700 && now % 2000 < 1300 ? skewed(edge, 4 * compared_limit) : 0.0;
         }},
        {"two of the edges, 150% of the limit",
         [](std::size_t edge, std::int64_t) { return edge < 2 ? 0.75 * compared_limit : 0.0; }},
    };
    return list;
}

struct comparison_result {
    double offered = 0;
    double admitted = 0;
    double refused = 0;
    double worst_window = 0;  // largest number of admissions in any 1 s
    double mean_wait_ms = 0;
};

comparison_result run_comparison(sharing_scheme& scheme, demand_pattern demand) {
    constexpr std::int64_t warm_up_ms = 5000;  // a new leader grants after 2 s
    std::mt19937_64 random(20261204);
    std::vector<std::deque<std::pair<std::int64_t, bool>>> queues(compared_edges);  // arrival, already refused once
    std::deque<std::int64_t> window;
    comparison_result result;
    for (std::int64_t now = 0; now < compared_length_ms + warm_up_ms; ++now) {
        bool counted = now >= warm_up_ms;
        scheme.tick(now);
        for (std::size_t edge = 0; edge < compared_edges; ++edge) {
            double rate = demand(edge, now) / 1000;
            int arrivals = rate > 0 ? std::poisson_distribution<int>(rate)(random) : 0;
            result.offered += counted ? arrivals : 0;
            auto& queue = queues[edge];
            queue.insert(queue.end(), static_cast<std::size_t>(arrivals), {now, false});
            while (!queue.empty() && queue.front().first + queue_ms < now) {
                queue.pop_front();
                result.refused += counted ? 1 : 0;
            }
            for (auto& [arrived, refused] : queue) {
                if (!refused || &queue.front().first == &arrived) {
                    if (scheme.admit(edge, now, refused)) {
                        result.admitted += counted ? 1 : 0;
                        result.mean_wait_ms += counted ? static_cast<double>(now - arrived) : 0;
                        window.push_back(now);
                        arrived = -1;
                    }
                    refused = true;
                }
            }
            std::erase_if(queue, [](const auto& entry) { return entry.first < 0; });
        }
        while (!window.empty() && window.front() <= now - 1000) {
            window.pop_front();
        }
        result.worst_window = std::max(result.worst_window, static_cast<double>(window.size()));
    }
    result.mean_wait_ms /= std::max(1.0, result.admitted);
    return result;
}

std::vector<table> compare() {
    std::vector<table> result;
    for (const auto& shape : patterns()) {
        table report{
            "sharing a limit of 2000 requests/s among 7 edges: " + shape.name,
            {"scheme", "offered/s", "goodput/s", "refused/s", "worst 1 s window", "of limit %", "mean wait ms"},
            {}};
        auto add = [&](const std::string& scheme_name, sharing_scheme& scheme) {
            comparison_result run = run_comparison(scheme, shape.demand);
            double length = static_cast<double>(compared_length_ms) / 1000;
            report.rows.push_back({scheme_name, run.offered / length, run.admitted / length, run.refused / length,
                                   run.worst_window, run.worst_window / compared_limit * 100, run.mean_wait_ms});
        };
        leases leased;
        add("capacity leases", leased);
        static_shares fixed;
        add("static seventh", fixed);
        for (std::int64_t delay : {20, 100, 250}) {
            shared_counters counters(delay);
            add("shared counters, " + std::to_string(delay) + " ms", counters);
        }
        result.push_back(report);
    }
    return result;
}

// ---- Shifts ----

// Three regions with the links of the franchise office. The catalogue runs in every region, the furnace desk only in
// trung, so that its callers in bac always use the link between the two. The catalogue's targets in bac fail at 60 s.
constexpr std::int64_t shift_length_s = 600;
constexpr std::int64_t shift_failure_s = 60;
constexpr double usable_part = 0.95;  // of a link, by leases

struct modelled_service {
    std::string name;
    std::vector<std::string> regions;
    double request_bytes;
    double answer_bytes;
    std::map<std::string, double> demand;    // requests per second by caller region
    std::map<std::string, double> capacity;  // requests per second by region
};

struct shift_result {
    std::map<std::string, double> refused;  // by service, of the requests after the failure
    double refused_by_region = 0;           // the assigned region has no targets or too few
    double refused_by_link = 0;
    double worst_link = 0;  // largest offered part of a link's limit
};

class shift_model {
public:
    shift_model(double link_mbit, double limit_trung, bool plan_links)
        : controller({}, {{"bac", "trung", 12}, {"trung", "nam", 12}, {"bac", "nam", 12}}),
          services{{"catalogue",
                    {"bac", "trung", "nam"},
                    300,
                    12000,
                    {{"bac", 2400}, {"trung", 2400}, {"nam", 2400}},
                    {{"bac", 6000}, {"trung", 8000}, {"nam", 4800}}},
                   {"furnace", {"trung"}, 600, 20000, {{"bac", 400}}, {{"trung", 2000}}}},
          link_limit(link_mbit * 125000) {
        auto& record = this->configuration.records.emplace_back(std::make_unique<wire::steering_record_t>());
        for (const auto& service : this->services) {
            auto& entry = record->services.emplace_back(std::make_unique<wire::service_definition_t>());
            entry->name = service.name;
            entry->regions = service.regions;
        }
        auto& limit = record->regions.emplace_back(std::make_unique<wire::region_limit_t>());
        limit->region = "trung";
        limit->max_requests_per_second = limit_trung;
        for (const std::string from : {"bac", "trung", "nam"}) {
            this->controller.place_edge("edge-" + from, from);
            for (const std::string to : {"bac", "trung", "nam"}) {
                if (from != to && plan_links) {  // a controller that knows no link limit plans none
                    auto& link = record->links.emplace_back(std::make_unique<wire::link_limit_t>());
                    link->from = from;
                    link->to = to;
                    link->max_mbit_per_second = link_mbit;
                }
            }
        }
        this->apply(time_point(ms(0)));
        this->controller.become_leader(time_point(ms(0)));
    }

    shift_result run() {
        for (std::int64_t second = 0; second < shift_length_s; ++second) {
            if (second == shift_failure_s) {
                this->services[0].capacity["bac"] = 0;
            }
            time_point now(ms(second * 1000));
            this->measure(now);
            for (auto& changed : this->controller.decide(now)) {
                this->assign(std::move(changed));
            }
            this->apply(now);
            this->serve(second >= shift_failure_s);
        }
        return this->result;
    }

private:
    void measure(time_point now) {
        ++this->sequence;
        for (const auto& service : this->services) {
            for (const auto& [caller, amount] : service.demand) {
                wire::service_demand_t demand;
                demand.service = service.name;
                demand.caller_region = caller;
                demand.requests_per_second = amount;
                demand.sequence = this->sequence;
                demand.request_bytes = service.request_bytes;
                demand.answer_bytes = service.answer_bytes;
                this->controller.observe("edge-" + caller, demand, now, now);
            }
            for (const auto& [region, amount] : service.capacity) {
                wire::region_capacity_t capacity;
                capacity.service = service.name;
                capacity.region = region;
                capacity.live_targets = amount > 0 ? 6 : 0;
                capacity.requests_per_second = amount;
                capacity.sequence = this->sequence;
                this->controller.observe("edge-trung", capacity, now);
            }
        }
    }

    void assign(wire::assignment_t changed) {
        std::erase_if(this->configuration.assignments, [&](const auto& entry) {
            return entry->service == changed.service && entry->caller_region == changed.caller_region;
        });
        this->configuration.assignments.push_back(std::make_unique<wire::assignment_t>(std::move(changed)));
    }

    void apply(time_point now) {
        ++this->configuration.revision;
        this->controller.apply(this->configuration, now);
    }

    template <typename Visit>
    void each_flow(Visit visit) {
        for (const auto& entry : this->configuration.assignments) {
            auto service = std::find_if(this->services.begin(), this->services.end(),
                                        [&](const auto& candidate) { return candidate.name == entry->service; });
            auto demand = service->demand.find(entry->caller_region);
            for (const auto& share : entry->shares) {
                if (demand != service->demand.end()) {
                    visit(*service, entry->caller_region, share->region, demand->second * share->permille / 1000);
                }
            }
        }
    }

    // Targets refuse what is above a region's capacity; leases refuse the same part of every flow over a full link.
    void serve(bool counted) {
        std::map<std::pair<std::string, std::string>, double> offered;  // by service and region
        std::map<std::pair<std::string, std::string>, double> links;
        this->each_flow([&](const auto& service, const auto&, const auto& to, double amount) {
            offered[{service.name, to}] += amount;
        });
        auto within = [&](const auto& service, const auto& to, double amount) {
            auto capacity = service.capacity.find(to);
            double room = capacity == service.capacity.end() ? 0 : capacity->second;
            return amount * std::min(1.0, room / std::max(1e-9, offered[{service.name, to}]));
        };
        this->each_flow([&](const auto& service, const auto& from, const auto& to, double amount) {
            if (from != to) {
                links[{from, to}] += within(service, to, amount) * service.request_bytes;
                links[{to, from}] += within(service, to, amount) * service.answer_bytes;
            }
        });
        this->each_flow([&](const auto& service, const auto& from, const auto& to, double amount) {
            double served = within(service, to, amount);
            double part = 1;
            if (from != to) {
                double load = std::max(links[{from, to}], links[{to, from}]) / this->link_limit;
                part = std::min(1.0, usable_part / std::max(1e-9, load));
                this->result.worst_link = std::max(this->result.worst_link, load);
            }
            if (counted) {
                this->result.refused[service.name] += amount - served * part;
                this->result.refused_by_region += amount - served;
                this->result.refused_by_link += served * (1 - part);
            }
        });
    }

    shift_controller controller;
    std::vector<modelled_service> services;
    double link_limit;
    wire::configuration_t configuration;
    std::uint64_t sequence = 0;
    shift_result result;
};

std::vector<table> compare_shifts() {
    table report{"requests refused in the 540 s after a region lost its catalogue targets",
                 {"link Mbit/s", "trung limit/s", "link bytes planned", "catalogue", "furnace", "by region", "by link",
                  "worst link %"},
                 {}};
    for (auto [mbit, limit] : {std::pair(4000, 100000), std::pair(280, 100000), std::pair(280, 4000)}) {
        for (bool planned : {false, true}) {
            shift_result run = shift_model(mbit, limit, planned).run();
            report.rows.push_back({mbit, limit, planned ? "yes" : "no", run.refused["catalogue"],
                                   run.refused["furnace"], run.refused_by_region, run.refused_by_link,
                                   run.worst_link * 100});
        }
    }
    return {report};
}

// ---- Main ----

std::vector<std::size_t> parse_sizes(const std::string& text) {
    std::vector<std::size_t> result;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');) {
        std::size_t used = 0;
        unsigned long value = 0;
        try {
            value = std::stoul(part, &used);
        } catch (const std::exception&) {
            used = 0;
        }
        if (used != part.size() || value == 0) {
            throw boost::program_options::error("--sizes: \"" + part + "\" is not a positive number");
        }
        result.push_back(value);
    }
    return result;
}

std::vector<table> run_parts(const std::string& part, const std::vector<std::size_t>& sizes) {
    std::vector<table> result;
    auto append = [&](const std::string& name, auto&& measure) {
        if (part == name || part == "all") {
            auto tables = measure();
            result.insert(result.end(), tables.begin(), tables.end());
        }
    };
    append("compare", [] { return compare(); });
    append("shifts", [] { return compare_shifts(); });
    append("blocks", [&] { return measure_all_blocks(sizes); });
    append("leases", [] { return measure_all_leases(); });
    append("edges", [] { return measure_all_edge_lists(); });
    append("configuration", [&] { return measure_configuration(sizes); });
    if (result.empty()) {
        throw boost::program_options::error("--part: \"" + part + "\" is unknown");
    }
    return result;
}

int run(int argc, char** argv) {
    namespace options = boost::program_options;
    options::options_description description("Usage: persimmon-capacity [options]");
    auto add = description.add_options();
    add("help", "print this text");
    add("version", "print the version");
    add("part", options::value<std::string>()->default_value("all"),
        "all, compare, shifts, blocks, leases, edges or configuration");
    add("sizes", options::value<std::string>()->default_value("10000,100000,500000,1900000"),
        "numbers of client blocks");
    add("output", options::value<std::string>()->default_value("text"), "text or json");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    if (values.contains("help") || values.contains("version")) {
        if (values.contains("help")) {
            std::cout << description;
        } else {
            std::cout << "persimmon-capacity " PERSIMMONGRADE_VERSION "\n";
        }
        return 0;
    }
    auto output = values["output"].as<std::string>();
    if (output != "text" && output != "json") {
        throw options::error("--output: \"" + output + "\" is neither text nor json");
    }
    auto tables = run_parts(values["part"].as<std::string>(), parse_sizes(values["sizes"].as<std::string>()));
    if (output == "json") {
        print_json(tables);
    } else {
        std::for_each(tables.begin(), tables.end(), print_text);
    }
    return 0;
}

}  // namespace

}  // namespace persimmongrade

int main(int argc, char** argv) {
    try {
        return persimmongrade::run(argc, argv);
    } catch (const boost::program_options::error& failure) {
        std::cerr << "persimmon-capacity: " << failure.what() << "\n";
        return 2;
    } catch (const std::exception& failure) {
        std::cerr << "persimmon-capacity: " << failure.what() << "\n";
        return 1;
    }
}
