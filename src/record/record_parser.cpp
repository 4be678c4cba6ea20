#include "persimmongrade/record_parser.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>

#include "persimmongrade/client_blocks.h"

namespace persimmongrade {

// Index
//   Faults and scalars  - problem_list, parse_number
//   Mappings            - mapping: one YAML mapping whose unread keys are faults
//   Fields shared by both schema versions
//   Schema version 2, schema version 1
//   Entry point

namespace {

// ---- Faults and scalars ----

constexpr double max_limit = 1e9;  // requests per second or Mbit/s; larger values are typing errors
constexpr std::uint32_t max_concurrency = 1000000;
constexpr std::uint32_t max_body_bytes = 16u << 20;  // a body must fit one peer frame
constexpr std::uint32_t max_interval_ms = 86400000;

std::uint32_t line_of(const YAML::Node& node) {
    return static_cast<std::uint32_t>(std::max(0, node.Mark().line + 1));
}

// Where a value of the internal record was written.
struct source {
    std::string path;
    std::uint32_t line = 0;
};

// The faults found so far, and the origin of each value for the faults that check_record reports.
struct problem_list {
    std::vector<record_problem> problems;
    std::map<std::string, source> origins;  // by path in the internal record

    void add(const std::string& path, const YAML::Node& node, record_problem_kind kind, std::string detail) {
        if (this->problems.size() < max_reported_problems) {
            this->problems.push_back({path, line_of(node), kind, std::move(detail)});
        }
    }

    void add_checked(record_problem problem) {
        if (auto found = this->origins.find(problem.path); found != this->origins.end()) {
            problem.path = found->second.path;
            problem.line = found->second.line;
        }
        // All prefixes that could not be read were given the same placeholder.
        bool unreadable = std::any_of(this->problems.begin(), this->problems.end(), [&](const record_problem& known) {
            return known.kind == record_problem_kind::invalid_prefix && known.path == problem.path;
        });
        if (unreadable) {
            return;
        }
        if (this->problems.size() < max_reported_problems) {
            this->problems.push_back(std::move(problem));
        }
    }

    void set_origin(const std::string& internal_path, const std::string& path, const YAML::Node& node) {
        this->origins[internal_path] = {path, line_of(node)};
    }
};

template <typename Number>
std::optional<Number> parse_number(const std::string& text) {
    Number value{};
    auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

// ---- Mappings ----

std::string join_path(const std::string& parent, const std::string& key) {
    return parent.empty() ? key : parent + "." + key;
}

std::string join_path(const std::string& parent, std::size_t index) {
    return parent + "[" + std::to_string(index) + "]";
}

// One YAML mapping. Each accessor reports a wrong value and leaves the given variable as it was.
class mapping {
public:
    mapping(problem_list& faults, const YAML::Node& node, std::string path)
        : faults(faults), node(node), path(std::move(path)) {
        if (!node.IsMap()) {
            this->faults.add(this->path, node, record_problem_kind::wrong_type, "expected a mapping");
            return;
        }
        for (const auto& pair : node) {
            std::string key = pair.first.IsScalar() ? pair.first.Scalar() : std::string("?");
            if (!this->values.emplace(key, pair.second).second) {
                this->faults.add(join_path(this->path, key), pair.first, record_problem_kind::duplicate,
                                 "the key is given twice");
            }
            this->key_nodes.emplace(key, pair.first);
        }
    }

    bool is_map() const { return this->node.IsMap(); }
    std::string path_of(const std::string& key) const { return join_path(this->path, key); }

    // The value under `key`, or nothing (reported when the key is required).
    std::optional<YAML::Node> find(const std::string& key, bool required) {
        auto found = this->values.find(key);
        if (found != this->values.end()) {
            this->read_keys.insert(key);
            return found->second;
        }
        if (required && this->is_map()) {
            this->faults.add(this->path_of(key), this->node, record_problem_kind::missing, "the key is required");
        }
        return std::nullopt;
    }

    void read(const std::string& key, bool required, std::string& value) {
        auto found = this->find(key, required);
        if (found && found->IsScalar()) {
            value = found->Scalar();
        } else if (found) {
            this->wrong_type(key, *found, "a string");
        }
    }

    void read(const std::string& key, bool required, bool& value) {
        auto found = this->find(key, required);
        if (!found) {
            return;
        }
        bool is_bool = found->IsScalar() && (found->Scalar() == "true" || found->Scalar() == "false");
        if (!is_bool) {
            this->wrong_type(key, *found, "true or false");
            return;
        }
        value = found->Scalar() == "true";
    }

    template <typename Integer>
    void read(const std::string& key, bool required, Integer& value, Integer least, Integer most) {
        auto found = this->find(key, required);
        if (!found) {
            return;
        }
        auto number = found->IsScalar() ? parse_number<std::int64_t>(found->Scalar()) : std::nullopt;
        if (!number) {
            this->wrong_type(key, *found, "a whole number without a unit");
            return;
        }
        if (*number < static_cast<std::int64_t>(least) || static_cast<std::uint64_t>(*number) > most) {
            this->faults.add(this->path_of(key), *found, record_problem_kind::out_of_range,
                             "must be between " + std::to_string(least) + " and " + std::to_string(most));
            return;
        }
        value = static_cast<Integer>(*number);
    }

    void read_limit(const std::string& key, double& value) {
        if (auto found = this->find(key, true)) {
            value = read_limit(this->faults, this->path_of(key), *found);
        }
    }

    // A limit given by `node`; a valid stand-in when it is no number, so that the fault is reported once.
    static double read_limit(problem_list& faults, const std::string& path, const YAML::Node& node) {
        auto number = node.IsScalar() ? parse_number<double>(node.Scalar()) : std::nullopt;
        if (!number || !std::isfinite(*number)) {
            faults.add(path, node, record_problem_kind::wrong_type, "expected a number without a unit");
            return max_limit;
        }
        if (*number > max_limit) {
            faults.add(path, node, record_problem_kind::out_of_range,
                       "must be at most " + std::to_string(static_cast<std::int64_t>(max_limit)));
            return max_limit;
        }
        return *number;
    }

    // Calls read(node, path) for each item of the list under `key`.
    template <typename Read>
    void each_item(const std::string& key, bool required, std::size_t most, Read read) {
        auto found = this->find(key, required);
        if (!found || !this->check_size(key, *found, found->IsSequence(), "a list", most)) {
            return;
        }
        std::size_t index = 0;
        for (const YAML::Node& item : *found) {
            read(item, join_path(this->path_of(key), index++));
        }
    }

    // Calls read(entry key, node, path) for each entry of the mapping under `key`.
    template <typename Read>
    void each_entry(const std::string& key, bool required, std::size_t most, Read read) {
        auto found = this->find(key, required);
        if (!found || !this->check_size(key, *found, found->IsMap(), "a mapping", most)) {
            return;
        }
        mapping entries(this->faults, *found, this->path_of(key));
        for (const auto& [name, value] : entries.values) {
            read(name, value, entries.path_of(name));
        }
    }

    void reject_unread() const {
        for (const auto& [key, key_node] : this->key_nodes) {
            if (!this->read_keys.contains(key)) {
                this->faults.add(this->path_of(key), key_node, record_problem_kind::unknown_key,
                                 "the schema version has no such key");
            }
        }
    }

private:
    void wrong_type(const std::string& key, const YAML::Node& value, const std::string& expected) {
        this->faults.add(this->path_of(key), value, record_problem_kind::wrong_type, "expected " + expected);
    }

    bool check_size(const std::string& key, const YAML::Node& value, bool right_type, const std::string& expected,
                    std::size_t most) {
        if (!right_type) {
            this->wrong_type(key, value, expected);
            return false;
        }
        if (value.size() > most) {
            this->faults.add(this->path_of(key), value, record_problem_kind::too_large,
                             "at most " + std::to_string(most) + " entries");
            return false;
        }
        return true;
    }

    problem_list& faults;
    YAML::Node node;
    std::string path;
    std::map<std::string, YAML::Node> values;
    std::map<std::string, YAML::Node> key_nodes;
    std::set<std::string> read_keys;
};

// ---- Fields shared by both schema versions ----

constexpr std::uint32_t policy_count = 2;

void read_without_control(mapping& reader, problem_list& faults, wire::service_definition_t& service) {
    auto found = reader.find("without_control", false);
    if (!found) {
        return;
    }
    static const std::array<std::string, policy_count> names = {"refuse", "floor"};
    auto match = found->IsScalar() ? std::find(names.begin(), names.end(), found->Scalar()) : names.end();
    if (match == names.end()) {
        faults.add(reader.path_of("without_control"), *found, record_problem_kind::wrong_type,
                   "expected refuse or floor");
        return;
    }
    service.without_control = static_cast<wire::without_control_policy>(match - names.begin());
}

void read_service_regions(mapping& reader, problem_list& faults, bool required, const std::string& internal_path,
                          wire::service_definition_t& service) {
    reader.each_item("regions", required, max_regions, [&](const YAML::Node& item, const std::string& path) {
        if (!item.IsScalar()) {
            faults.add(path, item, record_problem_kind::wrong_type, "expected a region name");
            return;
        }
        faults.set_origin(join_path(internal_path + ".regions", service.regions.size()), path, item);
        service.regions.push_back(item.Scalar());
    });
}

// The prefix that `text` states, with a length and without bits behind it.
std::optional<client_prefix> read_prefix(const std::string& text) {
    if (text.find('/') == std::string::npos) {
        return std::nullopt;
    }
    try {
        client_prefix prefix = parse_client_prefix(text);
        bool exact = parse_client_address(text.substr(0, text.find('/'))) == prefix.address;
        return exact ? std::optional(prefix) : std::nullopt;
    } catch (const client_block_error&) {
        return std::nullopt;
    }
}

void add_client_block(problem_list& faults, client_block_writer& blocks, const std::string& prefix,
                      const std::string& region, const source& prefix_at, const source& region_at,
                      const YAML::Node& node) {
    // Stands for a prefix that cannot be read, so that the block's region is checked as well.
    static const client_prefix unreadable = parse_client_prefix("ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff/128");
    auto parsed = read_prefix(prefix);
    if (!parsed) {
        faults.add(prefix_at.path, node, record_problem_kind::invalid_prefix,
                   "'" + prefix + "' is not an IP prefix such as 203.0.113.0/24");
    }
    std::string internal_path = join_path("client_blocks", blocks.size());
    faults.origins[internal_path + ".prefix"] = prefix_at;
    faults.origins[internal_path + ".region"] = region_at;
    blocks.add(parsed.value_or(unreadable), region);
}

// ---- Schema version 2 ----

void set_origins(problem_list& faults, const std::string& internal_path, const std::string& path,
                 const YAML::Node& node, std::initializer_list<const char*> fields) {
    faults.set_origin(internal_path, path, node);
    for (const char* field : fields) {
        const YAML::Node child = node.IsMap() ? node[field] : node;
        faults.set_origin(join_path(internal_path, field), join_path(path, field), child.IsDefined() ? child : node);
    }
}

void read_shift(mapping& reader, problem_list& faults, wire::service_definition_t& service) {
    service.shift = std::make_unique<wire::shift_cap_t>();
    if (auto found = reader.find("shift", false)) {
        mapping shift(faults, *found, reader.path_of("shift"));
        shift.read("max_permille", false, service.shift->max_permille, 1u, 1000u);
        shift.read("interval_ms", false, service.shift->interval_ms, 100u, max_interval_ms);
        shift.reject_unread();
    }
}

void read_service_v2(problem_list& faults, const YAML::Node& node, const std::string& path,
                     wire::steering_record_t& record) {
    auto service = std::make_unique<wire::service_definition_t>();
    mapping reader(faults, node, path);
    set_origins(faults, path, path, node, {"name"});
    reader.read("name", true, service->name);
    reader.read("idempotent", true, service->idempotent);
    read_service_regions(reader, faults, true, path, *service);
    reader.read("slots_per_target", true, service->slots_per_target, 1u, max_concurrency);
    reader.read("connections_per_target", true, service->connections_per_target, 1u, max_concurrency);
    reader.read("max_request_bytes", false, service->max_request_bytes, 1u, max_body_bytes);
    reader.read("max_answer_bytes", false, service->max_answer_bytes, 1u, max_body_bytes);
    read_without_control(reader, faults, *service);
    read_shift(reader, faults, *service);
    reader.reject_unread();
    record.services.push_back(std::move(service));
}

void read_region_v2(problem_list& faults, const YAML::Node& node, const std::string& path,
                    wire::steering_record_t& record) {
    auto limit = std::make_unique<wire::region_limit_t>();
    mapping reader(faults, node, path);
    set_origins(faults, path, path, node, {"region", "max_requests_per_second"});
    reader.read("region", true, limit->region);
    limit->max_requests_per_second = max_limit;
    reader.read_limit("max_requests_per_second", limit->max_requests_per_second);
    reader.reject_unread();
    record.regions.push_back(std::move(limit));
}

void read_link_v2(problem_list& faults, const YAML::Node& node, const std::string& path,
                  wire::steering_record_t& record) {
    auto link = std::make_unique<wire::link_limit_t>();
    mapping reader(faults, node, path);
    set_origins(faults, path, path, node, {"from", "to", "max_mbit_per_second"});
    reader.read("from", true, link->from);
    reader.read("to", true, link->to);
    link->max_mbit_per_second = max_limit;
    reader.read_limit("max_mbit_per_second", link->max_mbit_per_second);
    reader.reject_unread();
    record.links.push_back(std::move(link));
}

void read_client_block_v2(problem_list& faults, const YAML::Node& node, const std::string& path,
                          client_block_writer& blocks) {
    std::string prefix;
    std::string region;
    mapping reader(faults, node, path);
    reader.read("prefix", true, prefix);
    reader.read("region", true, region);
    reader.reject_unread();
    add_client_block(faults, blocks, prefix, region, {path + ".prefix", line_of(node)},
                     {path + ".region", line_of(node)}, node);
}

void read_v2(mapping& reader, problem_list& faults, wire::steering_record_t& record) {
    auto each = [&](const char* key, bool required, std::size_t most, auto read) {
        reader.each_item(key, required, most,
                         [&](const YAML::Node& item, const std::string& path) { read(faults, item, path, record); });
    };
    each("services", true, max_services, read_service_v2);
    each("regions", true, max_regions, read_region_v2);
    each("links", false, max_links, read_link_v2);
    client_block_writer blocks;
    reader.each_item("client_blocks", false, max_client_blocks, [&](const YAML::Node& item, const std::string& path) {
        read_client_block_v2(faults, item, path, blocks);
    });
    record.client_blocks = blocks.take();
}

// ---- Schema version 1 ----

void read_region_limits_v1(mapping& reader, problem_list& faults, wire::steering_record_t& record) {
    auto read = [&](const std::string& region, const YAML::Node& node, const std::string& path) {
        std::string internal_path = join_path("regions", record.regions.size());
        faults.set_origin(internal_path + ".region", path, node);
        faults.set_origin(internal_path + ".max_requests_per_second", path, node);
        auto limit = std::make_unique<wire::region_limit_t>();
        limit->region = region;
        limit->max_requests_per_second = mapping::read_limit(faults, path, node);
        record.regions.push_back(std::move(limit));
    };
    reader.each_entry("region_limits", true, max_regions, read);
}

// Splits "north-central" at the '-' that leaves two declared regions, because region names may contain '-'. Without
// such a place the first '-' is taken, and check_record reports the unknown region.
std::pair<std::string, std::string> split_link_name(const std::string& name, const wire::steering_record_t& record) {
    auto known = [&](const std::string& region) {
        return std::any_of(record.regions.begin(), record.regions.end(),
                           [&](const auto& limit) { return limit->region == region; });
    };
    for (std::size_t at = name.find('-'); at != std::string::npos; at = name.find('-', at + 1)) {
        if (known(name.substr(0, at)) && known(name.substr(at + 1))) {
            return {name.substr(0, at), name.substr(at + 1)};
        }
    }
    std::size_t at = std::min(name.find('-'), name.size());
    return {name.substr(0, at), at < name.size() ? name.substr(at + 1) : std::string()};
}

void read_links_v1(mapping& reader, problem_list& faults, wire::steering_record_t& record) {
    auto read = [&](const std::string& name, const YAML::Node& node, const std::string& path) {
        auto [from, to] = split_link_name(name, record);
        double limit = mapping::read_limit(faults, path, node);
        for (int direction = 0; direction < 2; ++direction) {
            std::string internal_path = join_path("links", record.links.size());
            for (const char* field : {"", ".from", ".to", ".max_mbit_per_second"}) {
                faults.set_origin(internal_path + field, path, node);
            }
            auto link = std::make_unique<wire::link_limit_t>();
            link->from = from;
            link->to = to;
            link->max_mbit_per_second = limit;
            record.links.push_back(std::move(link));
            std::swap(from, to);
        }
    };
    reader.each_entry("link_limits_mbit", false, max_links / 2, read);
}

void read_service_v1(problem_list& faults, const std::string& name, const YAML::Node& node, const std::string& path,
                     wire::steering_record_t& record) {
    auto service = std::make_unique<wire::service_definition_t>();
    std::string internal_path = join_path("services", record.services.size());
    mapping reader(faults, node, path);
    faults.set_origin(internal_path + ".name", path, node);
    service->name = name;
    reader.read("idempotent", true, service->idempotent);
    reader.read("slots", true, service->slots_per_target, 1u, max_concurrency);
    reader.read("connections", true, service->connections_per_target, 1u, max_concurrency);
    read_without_control(reader, faults, *service);
    service->shift = std::make_unique<wire::shift_cap_t>();
    reader.read("shift_permille", false, service->shift->max_permille, 1u, 1000u);
    read_service_regions(reader, faults, false, internal_path, *service);
    reader.reject_unread();
    if (service->regions.empty()) {
        std::transform(record.regions.begin(), record.regions.end(), std::back_inserter(service->regions),
                       [](const auto& limit) { return limit->region; });
    }
    record.services.push_back(std::move(service));
}

void read_v1(mapping& reader, problem_list& faults, wire::steering_record_t& record) {
    read_region_limits_v1(reader, faults, record);
    read_links_v1(reader, faults, record);
    auto read_service = [&](const std::string& name, const YAML::Node& node, const std::string& path) {
        read_service_v1(faults, name, node, path, record);
    };
    reader.each_entry("services", true, max_services, read_service);
    client_block_writer blocks;
    auto read_client = [&](const std::string& prefix, const YAML::Node& node, const std::string& path) {
        std::string region = node.IsScalar() ? node.Scalar() : std::string();
        add_client_block(faults, blocks, prefix, region, {path, line_of(node)}, {path, line_of(node)}, node);
    };
    reader.each_entry("clients", false, max_client_blocks, read_client);
    record.client_blocks = blocks.take();
}

// ---- Entry point ----

template <typename Items, typename Key>
void sort_by(Items& items, Key key) {
    std::stable_sort(items.begin(), items.end(), [&](const auto& a, const auto& b) { return key(*a) < key(*b); });
}

std::unique_ptr<wire::client_block_columns_t> sorted_client_blocks(const wire::client_block_columns_t& columns) {
    std::map<client_prefix, std::string_view> sorted;
    for_each_client_block(columns,
                          [&](const client_prefix& prefix, const std::string* site) { sorted[prefix] = *site; });
    client_block_writer writer;
    for (const auto& [prefix, site] : sorted) {
        writer.add(prefix, site);
    }
    return writer.take();
}

void sort_lists(wire::steering_record_t& record) {
    sort_by(record.services, [](const auto& item) { return item.name; });
    for (auto& service : record.services) {
        std::sort(service->regions.begin(), service->regions.end());
    }
    sort_by(record.regions, [](const auto& item) { return item.region; });
    sort_by(record.links, [](const auto& item) { return std::pair(item.from, item.to); });
    if (record.client_blocks) {
        record.client_blocks = sorted_client_blocks(*record.client_blocks);
    }
}

YAML::Node load(const std::string& yaml) {
    if (yaml.size() > max_record_bytes) {
        throw record_error({{"", 0, record_problem_kind::too_large,
                             "a record has at most " + std::to_string(max_record_bytes) + " bytes"}});
    }
    try {
        return YAML::Load(yaml);
    } catch (const YAML::Exception& reason) {
        auto line = static_cast<std::uint32_t>(std::max(0, reason.mark.line + 1));
        throw record_error({{"", line, record_problem_kind::syntax, reason.msg}});
    }
}

wire::steering_record_t read_document(const YAML::Node& root, problem_list& faults) {
    wire::steering_record_t record;
    mapping reader(faults, root, "");
    if (!reader.is_map()) {
        return record;
    }
    set_origins(faults, "", "", root, {"name", "version"});
    constexpr std::uint32_t any = std::numeric_limits<std::uint32_t>::max();
    reader.read("schema_version", true, record.schema_version, 0u, any);
    bool supported = record.schema_version == 1 || record.schema_version == 2;
    if (!supported) {
        if (auto found = reader.find("schema_version", false)) {
            faults.add("schema_version", *found, record_problem_kind::unsupported_schema_version,
                       "this release reads schema versions 1 and 2");
        }
        return record;  // the keys of an unknown schema version cannot be judged
    }
    reader.read("name", true, record.name);
    record.version = 1;
    reader.read<std::uint64_t>("version", true, record.version, 1, std::numeric_limits<std::int64_t>::max());
    if (record.schema_version == 1) {
        read_v1(reader, faults, record);
    } else {
        read_v2(reader, faults, record);
    }
    reader.reject_unread();
    return record;
}

}  // namespace

wire::steering_record_t parse_record(const std::string& yaml) {
    problem_list faults;
    wire::steering_record_t record;
    try {
        record = read_document(load(yaml), faults);
    } catch (const YAML::Exception& reason) {  // node accesses that yaml-cpp refuses
        faults.problems.push_back({"", static_cast<std::uint32_t>(std::max(0, reason.mark.line + 1)),
                                   record_problem_kind::syntax, reason.msg});
    }
    bool has_content = record.schema_version == 1 || record.schema_version == 2;
    if (has_content) {
        for (record_problem& problem : check_record(record)) {
            faults.add_checked(std::move(problem));
        }
    }
    if (!faults.problems.empty()) {
        throw record_error(std::move(faults.problems));
    }
    sort_lists(record);
    return record;
}

}  // namespace persimmongrade
