// Control processes and gateways on one event loop, without targets and clients: the test calls the control processes
// in their place.

#pragma once

#include <catch2/catch.hpp>

#include <stdlib.h>
#include <unistd.h>

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control_link.h"
#include "persimmongrade/fleet_control.h"
#include "persimmongrade/item_store.h"
#include "persimmongrade/target_registry.h"

namespace persimmongrade {

inline constexpr duration heartbeat = ms(200);  // of targets; a target is silent after 3.5 intervals without a report

// Host 0 is the first control process. Each test program has addresses of its own.
inline std::string host_address(std::size_t host, int port) {
    int process = ::getpid();
    return "127.12." + std::to_string(process % 250) + "." + std::to_string(host + 1) + ":" + std::to_string(port);
}

inline std::vector<std::string> control_addresses(std::size_t count) {
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < count; ++i) {
        addresses.push_back(host_address(i, 7200));
    }
    return addresses;
}

inline wire::target_report_t make_heartbeat(const std::string& id, std::uint64_t sequence) {
    wire::target_report_t report;
    report.id = id;
    report.service = "orders";
    report.address = "10.0.0.1:8000";
    report.region = "north";
    report.zone = "north-1";
    report.slots = 4;
    report.phase = wire::target_phase::ready;
    report.sequence = sequence;
    report.started_at_ms = 1000;
    return report;
}

// Declares the service `name`; the version is also the digest of the call.
inline wire::item_batch_t service_batch(const std::string& name, std::uint64_t version) {
    wire::item_batch_t batch;
    batch.digest = version;
    auto item = std::make_unique<wire::item_t>();
    item->kind = wire::item_kind::service;
    item->name = name;
    item->version = version;
    item->service = std::make_unique<wire::service_rule_t>();
    batch.items.push_back(std::move(item));
    return batch;
}

// Value of a counter for one message type, for example of "persimmongrade_peer_received_bytes_total".
inline double message_counter(const metric_registry& metrics, const std::string& name, const std::string& message) {
    std::string text = metrics.text();
    std::string line = "\n" + name + "{message=\"" + message + "\"} ";
    std::size_t found = text.find(line);
    return found == std::string::npos ? 0 : std::stod(text.substr(found + line.size()));
}

// Gateway reduced to its connections to the control processes. `host` is the last part of its IP address, minus one.
class stub_gateway {
public:
    stub_gateway(event_loop& loop, std::size_t host, std::size_t control_count = 3, const std::string& region = "north")
        : address(host_address(host, 7200)),
          link(loop, gateway_settings(host, control_count, region), this->metrics,
               {this->items, this->targets, this->crashes, this->limits, this->credits}, [](const control_update&) {}) {
    }

    bool usable(const std::string& id) const {
        const auto* known = this->targets.find(id);
        return known != nullptr && known->usable();
    }

    std::string address;
    item_store items;
    quarantine crashes;
    target_limits limits;
    rate_credit_holder credits{1};
    metric_registry metrics;
    target_registry targets;
    control_link link;

private:
    static wire::fleet_settings_t gateway_settings(std::size_t host, std::size_t control_count,
                                                   const std::string& region) {
        wire::fleet_settings_t settings;
        settings.cluster = "test";
        settings.region = region;
        settings.zone = region + "-1";
        settings.peer_address = host_address(host, 7100);
        settings.front_address = host_address(host, 7200);
        settings.seeds = control_addresses(control_count);
        return settings;
    }
};

struct fleet_fixture_options {
    std::vector<std::string> control_regions{"north", "north", "north"};
    duration target_heartbeat = heartbeat;
    std::uint32_t lost_disks = 1;  // at once, that the deployment bears
};

class fleet_fixture {
public:
    explicit fleet_fixture(fleet_fixture_options given = {}) : options(std::move(given)) {
        char name[] = "/tmp/persimmongrade-fleet-XXXXXX";
        this->directory = ::mkdtemp(name);
        for (std::size_t i = 0; i < this->options.control_regions.size(); ++i) {
            this->metrics.push_back(std::make_unique<metric_registry>());
            this->control.emplace_back();
            this->start_control(i);
        }
    }

    ~fleet_fixture() {
        this->control.clear();
        std::filesystem::remove_all(this->directory);
    }

    fleet_fixture(const fleet_fixture&) = delete;
    fleet_fixture& operator=(const fleet_fixture&) = delete;

    // A control process with an empty disk beyond those of the first start. Returns its number.
    std::size_t add_control() {
        this->metrics.emplace_back();
        this->control.emplace_back();
        this->start_control(this->control.size() - 1, false);
        return this->control.size() - 1;
    }

    // Stops the process and removes what it has stored.
    void lose_disk(std::size_t i) {
        this->control[i].reset();
        std::filesystem::remove_all(this->directory + "/control-" + std::to_string(i));
    }

    void start_control(std::size_t i, bool bootstrap = true) {
        wire::fleet_settings_t settings;
        settings.cluster = "test";
        settings.node = "control-" + std::to_string(i);
        settings.region = this->options.control_regions[i % this->options.control_regions.size()];
        settings.zone = settings.region + "-1";
        settings.peer_address = host_address(i, 7100);
        settings.control_http_address = host_address(i, 7200);
        settings.heartbeat_ms = static_cast<std::uint32_t>(this->options.target_heartbeat.count());
        settings.bootstrap = bootstrap;
        settings.lost_disks = this->options.lost_disks;
        settings.data_directory = this->directory + "/" + settings.node;
        settings.seeds = control_addresses(this->options.control_regions.size());
        this->metrics[i] = std::make_unique<metric_registry>();
        this->control[i] = std::make_unique<fleet_control>(this->loop, settings, *this->metrics[i]);
    }

    // The control process that can accept operator commands; null when there is none.
    fleet_control* leader() const {
        for (const auto& process : this->control) {
            if (process && process->read_status().status == command_status::accepted) {
                return process.get();
            }
        }
        return nullptr;
    }

    std::size_t leader_index() const {
        for (std::size_t i = 0; i < this->control.size(); ++i) {
            if (this->control[i] && this->control[i].get() == this->leader()) {
                return i;
            }
        }
        return this->control.size();
    }

    // Runs until the condition holds, at most for `limit`. Returns how long it took.
    template <typename Condition>
    duration run_until(Condition condition, duration limit) {
        time_point began = this->loop.now();
        while (!condition() && this->loop.now() - began < limit) {
            this->loop.run_for(ms(10));
        }
        return this->loop.now() - began;
    }

    event_loop loop;
    std::vector<std::unique_ptr<metric_registry>> metrics;
    std::vector<std::unique_ptr<fleet_control>> control;
    std::string directory;

private:
    fleet_fixture_options options;
};

}  // namespace persimmongrade
