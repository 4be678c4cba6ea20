#include "persimmongrade/settings.h"

#include <yaml-cpp/yaml.h>

#include <set>

#include "persimmongrade/address.h"
#include "persimmongrade/error.h"

namespace persimmongrade {

namespace {

std::string location_of(const std::string& file, const YAML::Node& node) {
    return file + ":" + std::to_string(node.Mark().line + 1);
}

// Reads the keys of one YAML mapping and remembers them, so that `finish` can reject the rest.
class mapping_reader {
public:
    mapping_reader(std::string file, const YAML::Node& node, std::string path)
        : file(std::move(file)), node(node), path(std::move(path)) {
        if (!this->node.IsMap()) {
            throw settings_error(location_of(this->file, this->node), this->path.empty() ? "settings" : this->path,
                                 "expected a mapping");
        }
    }

    void require(const std::string& key, std::string& value) {
        YAML::Node child = this->required(key);
        if (!child.IsScalar() || child.Scalar().empty()) {
            this->fail(child, key, "expected a non-empty string");
        }
        value = child.Scalar();
    }

    void require_address(const std::string& key, std::string& value) {
        this->require(key, value);
        this->check_address(this->node[key], key, value);
    }

    void optional(const std::string& key, std::string& value) {
        if (this->find(key)) {
            this->require(key, value);
        }
    }

    void optional_address(const std::string& key, std::string& value) {
        if (this->find(key)) {
            this->require_address(key, value);
        }
    }

    void optional(const std::string& key, std::uint32_t& value, std::uint32_t least, std::uint32_t most) {
        YAML::Node child = this->find(key);
        if (!child) {
            return;
        }
        std::int64_t number = 0;
        if (!child.IsScalar() || !YAML::convert<std::int64_t>::decode(child, number)) {
            this->fail(child, key, "expected a whole number without a unit");
        }
        if (number < least || number > most) {
            this->fail(child, key, "must be between " + std::to_string(least) + " and " + std::to_string(most));
        }
        value = static_cast<std::uint32_t>(number);
    }

    void optional(const std::string& key, double& value, double least, double most) {
        YAML::Node child = this->find(key);
        if (!child) {
            return;
        }
        double number = 0;
        if (!child.IsScalar() || !YAML::convert<double>::decode(child, number)) {
            this->fail(child, key, "expected a number without a unit");
        }
        if (!(number >= least && number <= most)) {
            this->fail(child, key, "must be between " + std::to_string(least) + " and " + std::to_string(most));
        }
        value = number;
    }

    void optional(const std::string& key, bool& value) {
        YAML::Node child = this->find(key);
        if (child && (!child.IsScalar() || !YAML::convert<bool>::decode(child, value))) {
            this->fail(child, key, "expected true or false");
        }
    }

    void require_addresses(const std::string& key, std::vector<std::string>& values) {
        YAML::Node child = this->required(key);
        if (!child.IsSequence() || child.size() == 0) {
            this->fail(child, key, "expected a non-empty list");
        }
        for (const YAML::Node& item : child) {
            if (!item.IsScalar()) {
                this->fail(item, key, "expected an address");
            }
            this->check_address(item, key, item.Scalar());
            values.push_back(item.Scalar());
        }
    }

    // Calls read(mapping_reader&) for each mapping in the list under `key`.
    template <typename Read>
    void each(const std::string& key, bool needed, Read read) {
        YAML::Node child = needed ? this->required(key) : this->find(key);
        if (!child) {
            return;
        }
        if (!child.IsSequence() || (needed && child.size() == 0)) {
            this->fail(child, key, "expected a non-empty list");
        }
        for (std::size_t i = 0; i < child.size(); ++i) {
            mapping_reader item(this->file, child[i], this->full_key(key) + "[" + std::to_string(i) + "]");
            read(item);
            item.finish();
        }
    }

    void finish() const {
        for (const auto& pair : this->node) {
            std::string key = pair.first.Scalar();
            if (!this->known.contains(key)) {
                throw settings_error(location_of(this->file, pair.first), this->full_key(key), "unknown key");
            }
        }
    }

    [[noreturn]] void fail(const YAML::Node& at, const std::string& key, const std::string& reason) const {
        throw settings_error(location_of(this->file, at), this->full_key(key), reason);
    }

private:
    YAML::Node find(const std::string& key) {
        this->known.insert(key);
        const YAML::Node& view = this->node;
        YAML::Node child = view[key];
        return child;
    }

    YAML::Node required(const std::string& key) {
        YAML::Node child = this->find(key);
        if (!child) {
            this->fail(this->node, key, "missing");
        }
        return child;
    }

    void check_address(const YAML::Node& at, const std::string& key, const std::string& value) const {
        try {
            ip_address::parse(value);
        } catch (const address_error& reason) {
            this->fail(at, key, reason.what());
        }
    }

    std::string full_key(const std::string& key) const { return this->path.empty() ? key : this->path + "." + key; }

    std::string file;
    YAML::Node node;
    std::string path;
    std::set<std::string> known;
};

YAML::Node load_file(const std::string& file) {
    try {
        YAML::Node root = YAML::LoadFile(file);
        return root;
    } catch (const YAML::BadFile&) {
        throw settings_error(file + ":0", "settings", "cannot be opened");
    } catch (const YAML::Exception& reason) {
        throw settings_error(file + ":" + std::to_string(reason.mark.line + 1), "settings", reason.msg);
    }
}

void read_peers(mapping_reader& reader, const std::string& key,
                std::vector<std::unique_ptr<wire::peer_settings_t>>& peers) {
    std::set<std::string> ids;
    reader.each(key, true, [&](mapping_reader& item) {
        auto peer = std::make_unique<wire::peer_settings_t>();
        item.require("id", peer->id);
        item.require_address("address", peer->address);
        item.require("region", peer->region);
        item.require("zone", peer->zone);
        item.optional_address("http_address", peer->http_address);
        peers.push_back(std::move(peer));
    });
    for (const auto& peer : peers) {
        if (!ids.insert(peer->id).second) {
            throw settings_error("settings", key, "id '" + peer->id + "' appears twice");
        }
    }
}

void read_latencies(mapping_reader& reader, std::vector<std::unique_ptr<wire::latency_setting_t>>& latencies) {
    reader.each("simulated_latency", false, [&](mapping_reader& item) {
        auto latency = std::make_unique<wire::latency_setting_t>();
        item.require("to_region", latency->to_region);
        item.optional("one_way_ms", latency->one_way_ms, 0, 1000);
        latencies.push_back(std::move(latency));
    });
}

void read_region_latencies(mapping_reader& reader,
                           std::vector<std::unique_ptr<wire::region_latency_setting_t>>& latencies) {
    reader.each("region_latencies", false, [&](mapping_reader& item) {
        auto latency = std::make_unique<wire::region_latency_setting_t>();
        item.require("from_region", latency->from_region);
        item.require("to_region", latency->to_region);
        item.optional("one_way_ms", latency->one_way_ms, 0, 1000);
        latencies.push_back(std::move(latency));
    });
}

template <typename Settings>
void read_identity(mapping_reader& reader, Settings& settings) {
    reader.require("id", settings.id);
    reader.require("region", settings.region);
    reader.require("zone", settings.zone);
    reader.require_address("http_address", settings.http_address);
}

template <typename Settings>
void read_cluster(mapping_reader& reader, Settings& settings) {
    reader.require("cluster", settings.cluster);
    reader.require_address("peer_address", settings.peer_address);
    read_peers(reader, "control", settings.control);
    read_peers(reader, "edges", settings.edges);
    read_latencies(reader, settings.simulated_latency);
    reader.optional("stop_timeout_ms", settings.stop_timeout_ms, 100, 600000);
}

}  // namespace

wire::edge_settings_t load_edge_settings(const std::string& file) {
    wire::edge_settings_t settings;
    mapping_reader reader(file, load_file(file), "");
    read_identity(reader, settings);
    read_cluster(reader, settings);
    reader.optional("lookup_ttl_ms", settings.lookup_ttl_ms, 100, 3600000);
    reader.optional("max_body_bytes", settings.max_body_bytes, 1024, 16777216);
    reader.finish();
    return settings;
}

wire::control_settings_t load_control_settings(const std::string& file) {
    wire::control_settings_t settings;
    mapping_reader reader(file, load_file(file), "");
    read_identity(reader, settings);
    read_cluster(reader, settings);
    reader.require("data_directory", settings.data_directory);
    reader.optional("election_timeout_ms", settings.election_timeout_ms, 50, 60000);
    reader.optional("heartbeat_ms", settings.heartbeat_ms, 10, 10000);
    reader.optional("snapshot_entries", settings.snapshot_entries, 10, 1000000);
    read_region_latencies(reader, settings.region_latencies);
    reader.finish();
    if (settings.heartbeat_ms * 3 > settings.election_timeout_ms) {
        throw settings_error(file + ":0", "heartbeat_ms", "must be at most a third of election_timeout_ms");
    }
    return settings;
}

wire::target_settings_t load_target_settings(const std::string& file) {
    wire::target_settings_t settings;
    mapping_reader reader(file, load_file(file), "");
    read_identity(reader, settings);
    reader.require("service", settings.service);
    reader.require_addresses("edges", settings.edges);
    reader.optional("slots", settings.slots, 1, 100000);
    reader.optional("connections", settings.connections, 1, 100000);
    reader.optional("service_time_ms", settings.service_time_ms, 0, 60000);
    reader.optional("journal", settings.journal);
    reader.finish();
    return settings;
}

namespace {

void read_fleet_bounds(mapping_reader& reader, wire::fleet_settings_t& settings) {
    reader.optional("heartbeat_ms", settings.heartbeat_ms, 100, 60000);
    reader.optional("stop_timeout_ms", settings.stop_timeout_ms, 500, 600000);
    reader.optional("retry_ratio", settings.retry_ratio, 0, 10);
    reader.optional("retry_window_ms", settings.retry_window_ms, 100, 600000);
    reader.optional("max_shift", settings.max_shift, 0, 1);
    reader.optional("memory_mb", settings.memory_mb, 32, 1048576);
    reader.optional("descriptors", settings.descriptors, 64, 10000000);
    reader.optional("limit_window_ms", settings.limit_window_ms, 100, 600000);
    reader.optional("limit_overshoot", settings.limit_overshoot, 0, 10);
    reader.optional("limit_slack", settings.limit_slack, 0, 1000000);
    reader.optional("items_in_force_ms", settings.items_in_force_ms, 100, 600000);
}

wire::fleet_settings_t read_fleet(const std::string& file, mapping_reader& reader) {
    wire::fleet_settings_t settings;
    reader.require("cluster", settings.cluster);
    reader.require("node", settings.node);
    reader.require("region", settings.region);
    reader.require("zone", settings.zone);
    reader.require_address("peer_address", settings.peer_address);
    reader.require_address("metrics_address", settings.metrics_address);
    reader.require_address("entry_http_address", settings.entry_http_address);
    reader.require_addresses("seeds", settings.seeds);
    bool own_zone = false;
    reader.each("zones", true, [&](mapping_reader& item) {
        auto zone = std::make_unique<wire::zone_setting_t>();
        item.require("zone", zone->zone);
        item.require("region", zone->region);
        own_zone = own_zone || (zone->zone == settings.zone && zone->region == settings.region);
        settings.zones.push_back(std::move(zone));
    });
    if (!own_zone) {
        throw settings_error(file + ":0", "zones", "must list zone '" + settings.zone + "' with its region");
    }
    read_fleet_bounds(reader, settings);
    return settings;
}

}  // namespace

wire::fleet_settings_t load_gateway_settings(const std::string& file) {
    mapping_reader reader(file, load_file(file), "");
    wire::fleet_settings_t settings = read_fleet(file, reader);
    reader.require_address("front_address", settings.front_address);
    reader.require_address("ready_address", settings.ready_address);
    reader.finish();
    return settings;
}

wire::fleet_settings_t load_fleet_control_settings(const std::string& file) {
    mapping_reader reader(file, load_file(file), "");
    wire::fleet_settings_t settings = read_fleet(file, reader);
    reader.require_address("control_http_address", settings.control_http_address);
    reader.require("data_directory", settings.data_directory);
    reader.optional("bootstrap", settings.bootstrap);
    reader.optional("lost_disks", settings.lost_disks, 0, 10);
    reader.finish();
    return settings;
}

duration simulated_delay(const latency_list& latencies, const std::string& region) {
    for (const auto& latency : latencies) {
        if (latency->to_region == region) {
            return ms(latency->one_way_ms);
        }
    }
    return duration::zero();
}

}  // namespace persimmongrade
