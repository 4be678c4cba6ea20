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

// Contents
//   Problems and scalars - problem_collector, parse_number
//   Mappings             - mapping: reader of one YAML mapping, which reports the keys that were not read
//   Fields shared by both schema versions
//   Schema version 2, schema version 1
//   Entry point

namespace {

// ---- Problems and scalars ----

constexpr double max_limit = 1e9;  // requests per second or Mbit/s; larger values are taken for typing errors
constexpr std::uint32_t max_concurrency = 1000000;
constexpr std::uint32_t max_body_bytes = 16u << 20;  // a body must fit into one peer frame
constexpr std::uint32_t max_interval_ms = 86400000;  // one day

std::uint32_t line_of(const YAML::Node& node) {
    return static_cast<std::uint32_t>(std::max(0, node.Mark().line + 1));
}

// Position in the YAML document from which a value of the parsed record was read.
struct source_location {
    std::string path;
    std::uint32_t line = 0;
};

// Collects problems. Keeps the source location of each value, for the problems that check_record reports later.
struct problem_collector {
    std::vector<record_problem> problems;
    std::map<std::string, source_location> origins;  // by path in the parsed record

    void add(const std::string& path, const YAML::Node& node, record_problem_kind kind, std::string detail) {
        if (this->problems.size() < max_reported_problems) {
            this->problems.push_back({path, line_of(node), kind, std::move(detail)});
        }
    }

    void add_from_check(record_problem problem) {
        if (auto found = this->origins.find(problem.path); found != this->origins.end()) {
            problem.path = found->second.path;
            problem.line = found->second.line;
        }
        // Every unparsed prefix was replaced by the same placeholder, so that check_record reports duplicates of it.
        bool is_unparsed =
            std::any_of(this->problems.begin(), this->problems.end(), [&](const record_problem& reported) {
                return reported.kind == record_problem_kind::invalid_prefix && reported.path == problem.path;
            });
        if (is_unparsed) {
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

// Reader of one YAML mapping. Each accessor reports an invalid value and then leaves its output variable unchanged.
class mapping {
public:
    mapping(problem_collector& collector, const YAML::Node& node, std::string path)
        : collector(collector), node(node), path(std::move(path)) {
        if (!node.IsMap()) {
            this->collector.add(this->path, node, record_problem_kind::wrong_type, "expected a mapping");
            return;
        }
        for (const auto& pair : node) {
            std::string key = pair.first.IsScalar() ? pair.first.Scalar() : std::string("?");
            if (!this->values.emplace(key, pair.second).second) {
                this->collector.add(join_path(this->path, key), pair.first, record_problem_kind::duplicate,
                                    "the key is given twice");
            }
            this->key_nodes.emplace(key, pair.first);
        }
    }

    bool is_map() const { return this->node.IsMap(); }
    std::string path_of(const std::string& key) const { return join_path(this->path, key); }

    // Returns the value of `key`. When it is missing, returns nullopt and reports the key if it is required.
    std::optional<YAML::Node> find(const std::string& key, bool required) {
        auto found = this->values.find(key);
        if (found != this->values.end()) {
            this->read_keys.insert(key);
            return found->second;
        }
        if (required && this->is_map()) {
            this->collector.add(this->path_of(key), this->node, record_problem_kind::missing, "the key is required");
        }
        return std::nullopt;
    }

    void read(const std::string& key, bool required, std::string& value) {
        auto found = this->find(key, required);
        if (found && found->IsScalar()) {
            value = found->Scalar();
        } else if (found) {
            this->report_wrong_type(key, *found, "a string");
        }
    }

    void read(const std::string& key, bool required, bool& value) {
        auto found = this->find(key, required);
        if (!found) {
            return;
        }
        bool is_bool = found->IsScalar() && (found->Scalar() == "true" || found->Scalar() == "false");
        if (!is_bool) {
            this->report_wrong_type(key, *found, "true or false");
            return;
        }
        value = found->Scalar() == "true";
    }

    template <typename Integer>
    void read(const std::string& key, bool required, Integer& value, Integer minimum, Integer maximum) {
        auto found = this->find(key, required);
        if (!found) {
            return;
        }
        auto number = found->IsScalar() ? parse_number<std::int64_t>(found->Scalar()) : std::nullopt;
        if (!number) {
            this->report_wrong_type(key, *found, "a whole number without a unit");
            return;
        }
        if (*number < static_cast<std::int64_t>(minimum) || static_cast<std::uint64_t>(*number) > maximum) {
            this->collector.add(this->path_of(key), *found, record_problem_kind::out_of_range,
                                "must be between " + std::to_string(minimum) + " and " + std::to_string(maximum));
            return;
        }
        value = static_cast<Integer>(*number);
    }

    void read_limit(const std::string& key, double& value) {
        if (auto found = this->find(key, true)) {
            value = read_limit(this->collector, this->path_of(key), *found);
        }
    }

    // Parses a limit. When it is not a number or is too large, reports that and returns a valid limit, so that
    // check_record does not report it again.
    static double read_limit(problem_collector& collector, const std::string& path, const YAML::Node& node) {
        auto number = node.IsScalar() ? parse_number<double>(node.Scalar()) : std::nullopt;
        if (!number || !std::isfinite(*number)) {
            collector.add(path, node, record_problem_kind::wrong_type, "expected a number without a unit");
            return max_limit;
        }
        if (*number > max_limit) {
            collector.add(path, node, record_problem_kind::out_of_range,
                          "must be at most " + std::to_string(static_cast<std::int64_t>(max_limit)));
            return max_limit;
        }
        return *number;
    }

    // Calls read(node, path) for each item of the list at `key`.
    template <typename Read>
    void for_each_item(const std::string& key, bool required, std::size_t maximum, Read read) {
        auto found = this->find(key, required);
        if (!found || !this->check_size(key, *found, found->IsSequence(), "a list", maximum)) {
            return;
        }
        std::size_t index = 0;
        for (const YAML::Node& item : *found) {
            read(item, join_path(this->path_of(key), index++));
        }
    }

    // Calls read(entry_key, node, path) for each entry of the mapping at `key`.
    template <typename Read>
    void for_each_entry(const std::string& key, bool required, std::size_t maximum, Read read) {
        auto found = this->find(key, required);
        if (!found || !this->check_size(key, *found, found->IsMap(), "a mapping", maximum)) {
            return;
        }
        mapping entries(this->collector, *found, this->path_of(key));
        for (const auto& [name, value] : entries.values) {
            read(name, value, entries.path_of(name));
        }
    }

    void report_unknown_keys() const {
        for (const auto& [key, key_node] : this->key_nodes) {
            if (!this->read_keys.contains(key)) {
                this->collector.add(this->path_of(key), key_node, record_problem_kind::unknown_key,
                                    "the schema version has no such key");
            }
        }
    }

private:
    void report_wrong_type(const std::string& key, const YAML::Node& value, const std::string& expected) {
        this->collector.add(this->path_of(key), value, record_problem_kind::wrong_type, "expected " + expected);
    }

    bool check_size(const std::string& key, const YAML::Node& value, bool right_type, const std::string& expected,
                    std::size_t maximum) {
        if (!right_type) {
            this->report_wrong_type(key, value, expected);
            return false;
        }
        if (value.size() > maximum) {
            this->collector.add(this->path_of(key), value, record_problem_kind::too_large,
                                "must have at most " + std::to_string(maximum) + " entries");
            return false;
        }
        return true;
    }

    problem_collector& collector;
    YAML::Node node;
    std::string path;
    std::map<std::string, YAML::Node> values;
    std::map<std::string, YAML::Node> key_nodes;
    std::set<std::string> read_keys;
};

// ---- Fields shared by both schema versions ----

constexpr std::uint32_t policy_count = 2;

void read_without_control(mapping& reader, problem_collector& collector, wire::service_definition_t& service) {
    auto found = reader.find("without_control", false);
    if (!found) {
        return;
    }
    static const std::array<std::string, policy_count> names = {"refuse", "floor"};
    auto match = found->IsScalar() ? std::find(names.begin(), names.end(), found->Scalar()) : names.end();
    if (match == names.end()) {
        collector.add(reader.path_of("without_control"), *found, record_problem_kind::wrong_type,
                      "expected refuse or floor");
        return;
    }
    service.without_control = static_cast<wire::without_control_policy>(match - names.begin());
}

void read_service_regions(mapping& reader, problem_collector& collector, bool required,
                          const std::string& internal_path, wire::service_definition_t& service) {
    reader.for_each_item("regions", required, max_regions, [&](const YAML::Node& item, const std::string& path) {
        if (!item.IsScalar()) {
            collector.add(path, item, record_problem_kind::wrong_type, "expected a region name");
            return;
        }
        collector.set_origin(join_path(internal_path + ".regions", service.regions.size()), path, item);
        service.regions.push_back(item.Scalar());
    });
}

// Parses a prefix. Returns nullopt when it has no length, has bits set after its length, or is invalid.
std::optional<client_prefix> read_prefix(const std::string& text) {
    if (text.find('/') == std::string::npos) {
        return std::nullopt;
    }
    try {
        client_prefix prefix = parse_client_prefix(text);
        bool is_exact = parse_client_address(text.substr(0, text.find('/'))) == prefix.address;
        return is_exact ? std::optional(prefix) : std::nullopt;
    } catch (const client_block_error&) {
        return std::nullopt;
    }
}

void add_client_block(problem_collector& collector, client_block_writer& blocks, const std::string& prefix,
                      const std::string& region, const source_location& prefix_at, const source_location& region_at,
                      const YAML::Node& node) {
    // Replaces a prefix that cannot be parsed, so that check_record still checks the region of the block.
    static const client_prefix placeholder = parse_client_prefix("ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff/128");
    auto parsed = read_prefix(prefix);
    if (!parsed) {
        collector.add(prefix_at.path, node, record_problem_kind::invalid_prefix,
                      "'" + prefix + "' is not an IP prefix such as 203.0.113.0/24");
    }
    std::string internal_path = join_path("client_blocks", blocks.size());
    collector.origins[internal_path + ".prefix"] = prefix_at;
    collector.origins[internal_path + ".region"] = region_at;
    blocks.add(parsed.value_or(placeholder), region);
}

// ---- Schema version 2 ----

void set_origins(problem_collector& collector, const std::string& internal_path, const std::string& path,
                 const YAML::Node& node, std::initializer_list<const char*> fields) {
    collector.set_origin(internal_path, path, node);
    for (const char* field : fields) {
        const YAML::Node child = node.IsMap() ? node[field] : node;
        collector.set_origin(join_path(internal_path, field), join_path(path, field), child.IsDefined() ? child : node);
    }
}

void read_shift(mapping& reader, problem_collector& collector, wire::service_definition_t& service) {
    service.shift = std::make_unique<wire::shift_cap_t>();
    if (auto found = reader.find("shift", false)) {
        mapping shift(collector, *found, reader.path_of("shift"));
        shift.read("max_permille", false, service.shift->max_permille, 1u, 1000u);
        shift.read("interval_ms", false, service.shift->interval_ms, 100u, max_interval_ms);
        shift.report_unknown_keys();
    }
}

void read_service_v2(problem_collector& collector, const YAML::Node& node, const std::string& path,
                     wire::steering_record_t& record) {
    auto service = std::make_unique<wire::service_definition_t>();
    mapping reader(collector, node, path);
    set_origins(collector, path, path, node, {"name"});
    reader.read("name", true, service->name);
    reader.read("idempotent", true, service->idempotent);
    read_service_regions(reader, collector, true, path, *service);
    reader.read("slots_per_target", true, service->slots_per_target, 1u, max_concurrency);
    reader.read("connections_per_target", true, service->connections_per_target, 1u, max_concurrency);
    reader.read("max_request_bytes", false, service->max_request_bytes, 1u, max_body_bytes);
    reader.read("max_answer_bytes", false, service->max_answer_bytes, 1u, max_body_bytes);
    read_without_control(reader, collector, *service);
    read_shift(reader, collector, *service);
    reader.report_unknown_keys();
    record.services.push_back(std::move(service));
}

void read_region_v2(problem_collector& collector, const YAML::Node& node, const std::string& path,
                    wire::steering_record_t& record) {
    auto limit = std::make_unique<wire::region_limit_t>();
    mapping reader(collector, node, path);
    set_origins(collector, path, path, node, {"region", "max_requests_per_second"});
    reader.read("region", true, limit->region);
    limit->max_requests_per_second = max_limit;
    reader.read_limit("max_requests_per_second", limit->max_requests_per_second);
    reader.report_unknown_keys();
    record.regions.push_back(std::move(limit));
}

void read_link_v2(problem_collector& collector, const YAML::Node& node, const std::string& path,
                  wire::steering_record_t& record) {
    auto link = std::make_unique<wire::link_limit_t>();
    mapping reader(collector, node, path);
    set_origins(collector, path, path, node, {"from", "to", "max_mbit_per_second"});
    reader.read("from", true, link->from);
    reader.read("to", true, link->to);
    link->max_mbit_per_second = max_limit;
    reader.read_limit("max_mbit_per_second", link->max_mbit_per_second);
    reader.report_unknown_keys();
    record.links.push_back(std::move(link));
}

void read_client_block_v2(problem_collector& collector, const YAML::Node& node, const std::string& path,
                          client_block_writer& blocks) {
    std::string prefix;
    std::string region;
    mapping reader(collector, node, path);
    reader.read("prefix", true, prefix);
    reader.read("region", true, region);
    reader.report_unknown_keys();
    add_client_block(collector, blocks, prefix, region, {path + ".prefix", line_of(node)},
                     {path + ".region", line_of(node)}, node);
}

void read_v2(mapping& reader, problem_collector& collector, wire::steering_record_t& record) {
    auto each = [&](const char* key, bool required, std::size_t maximum, auto read) {
        reader.for_each_item(key, required, maximum, [&](const YAML::Node& item, const std::string& path) {
            read(collector, item, path, record);
        });
    };
    each("services", true, max_services, read_service_v2);
    each("regions", true, max_regions, read_region_v2);
    each("links", false, max_links, read_link_v2);
    client_block_writer blocks;
    reader.for_each_item(
        "client_blocks", false, max_client_blocks,
        [&](const YAML::Node& item, const std::string& path) { read_client_block_v2(collector, item, path, blocks); });
    record.client_blocks = blocks.take();
}

// ---- Schema version 1 ----

void read_region_limits_v1(mapping& reader, problem_collector& collector, wire::steering_record_t& record) {
    auto read = [&](const std::string& region, const YAML::Node& node, const std::string& path) {
        std::string internal_path = join_path("regions", record.regions.size());
        collector.set_origin(internal_path + ".region", path, node);
        collector.set_origin(internal_path + ".max_requests_per_second", path, node);
        auto limit = std::make_unique<wire::region_limit_t>();
        limit->region = region;
        limit->max_requests_per_second = mapping::read_limit(collector, path, node);
        record.regions.push_back(std::move(limit));
    };
    reader.for_each_entry("region_limits", true, max_regions, read);
}

// Splits a link name such as "north-central" into two regions. Region names may contain '-', so it splits at the first
// '-' with a declared region on each side. Without one it splits at the first '-', and check_record reports the unknown
// region.
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

void read_links_v1(mapping& reader, problem_collector& collector, wire::steering_record_t& record) {
    auto read = [&](const std::string& name, const YAML::Node& node, const std::string& path) {
        auto [from, to] = split_link_name(name, record);
        double limit = mapping::read_limit(collector, path, node);
        for (int direction = 0; direction < 2; ++direction) {
            std::string internal_path = join_path("links", record.links.size());
            for (const char* field : {"", ".from", ".to", ".max_mbit_per_second"}) {
                collector.set_origin(internal_path + field, path, node);
            }
            auto link = std::make_unique<wire::link_limit_t>();
            link->from = from;
            link->to = to;
            link->max_mbit_per_second = limit;
            record.links.push_back(std::move(link));
            std::swap(from, to);
        }
    };
    reader.for_each_entry("link_limits_mbit", false, max_links / 2, read);
}

void read_service_v1(problem_collector& collector, const std::string& name, const YAML::Node& node,
                     const std::string& path, wire::steering_record_t& record) {
    auto service = std::make_unique<wire::service_definition_t>();
    std::string internal_path = join_path("services", record.services.size());
    mapping reader(collector, node, path);
    collector.set_origin(internal_path + ".name", path, node);
    service->name = name;
    reader.read("idempotent", true, service->idempotent);
    reader.read("slots", true, service->slots_per_target, 1u, max_concurrency);
    reader.read("connections", true, service->connections_per_target, 1u, max_concurrency);
    read_without_control(reader, collector, *service);
    service->shift = std::make_unique<wire::shift_cap_t>();
    reader.read("shift_permille", false, service->shift->max_permille, 1u, 1000u);
    read_service_regions(reader, collector, false, internal_path, *service);
    reader.report_unknown_keys();
    if (service->regions.empty()) {
        std::transform(record.regions.begin(), record.regions.end(), std::back_inserter(service->regions),
                       [](const auto& limit) { return limit->region; });
    }
    record.services.push_back(std::move(service));
}

void read_v1(mapping& reader, problem_collector& collector, wire::steering_record_t& record) {
    read_region_limits_v1(reader, collector, record);
    read_links_v1(reader, collector, record);
    auto read_service = [&](const std::string& name, const YAML::Node& node, const std::string& path) {
        read_service_v1(collector, name, node, path, record);
    };
    reader.for_each_entry("services", true, max_services, read_service);
    client_block_writer blocks;
    auto read_client = [&](const std::string& prefix, const YAML::Node& node, const std::string& path) {
        std::string region = node.IsScalar() ? node.Scalar() : std::string();
        add_client_block(collector, blocks, prefix, region, {path, line_of(node)}, {path, line_of(node)}, node);
    };
    reader.for_each_entry("clients", false, max_client_blocks, read_client);
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

YAML::Node load_yaml(const std::string& yaml) {
    if (yaml.size() > max_record_bytes) {
        throw record_error({{"", 0, record_problem_kind::too_large,
                             "the record must have at most " + std::to_string(max_record_bytes) + " bytes"}});
    }
    try {
        return YAML::Load(yaml);
    } catch (const YAML::Exception& failure) {
        auto line = static_cast<std::uint32_t>(std::max(0, failure.mark.line + 1));
        throw record_error({{"", line, record_problem_kind::syntax, failure.msg}});
    }
}

wire::steering_record_t read_document(const YAML::Node& root, problem_collector& collector) {
    wire::steering_record_t record;
    mapping reader(collector, root, "");
    if (!reader.is_map()) {
        return record;
    }
    set_origins(collector, "", "", root, {"name", "version"});
    constexpr std::uint32_t max_version = std::numeric_limits<std::uint32_t>::max();
    reader.read("schema_version", true, record.schema_version, 0u, max_version);
    bool supported = record.schema_version == 1 || record.schema_version == 2;
    if (!supported) {
        if (auto found = reader.find("schema_version", false)) {
            collector.add("schema_version", *found, record_problem_kind::unsupported_schema_version,
                          "this release supports schema versions 1 and 2");
        }
        return record;  // the keys of an unknown schema version cannot be checked
    }
    reader.read("name", true, record.name);
    record.version = 1;
    reader.read<std::uint64_t>("version", true, record.version, 1, std::numeric_limits<std::int64_t>::max());
    if (record.schema_version == 1) {
        read_v1(reader, collector, record);
    } else {
        read_v2(reader, collector, record);
    }
    reader.report_unknown_keys();
    return record;
}

}  // namespace

wire::steering_record_t parse_record(const std::string& yaml) {
    problem_collector collector;
    wire::steering_record_t record;
    try {
        record = read_document(load_yaml(yaml), collector);
    } catch (const YAML::Exception& failure) {  // yaml-cpp rejected the access to a node
        collector.problems.push_back({"", static_cast<std::uint32_t>(std::max(0, failure.mark.line + 1)),
                                      record_problem_kind::syntax, failure.msg});
    }
    bool has_content = record.schema_version == 1 || record.schema_version == 2;
    if (has_content) {
        for (record_problem& problem : check_record(record)) {
            collector.add_from_check(std::move(problem));
        }
    }
    if (!collector.problems.empty()) {
        throw record_error(std::move(collector.problems));
    }
    sort_lists(record);
    return record;
}

}  // namespace persimmongrade
