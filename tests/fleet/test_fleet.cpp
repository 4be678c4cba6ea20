// Tests of fleet_control: three control processes on one event loop. The test takes the part of the targets, and of a
// gateway that only connects to the control processes.

#include <catch2/catch.hpp>

#include <stdlib.h>
#include <unistd.h>

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "control_link.h"
#include "persimmongrade/fleet_control.h"
#include "persimmongrade/item_store.h"
#include "persimmongrade/target_registry.h"

using namespace persimmongrade;

namespace {

constexpr std::size_t control_count = 3;
constexpr duration heartbeat = ms(200);  // of targets; a target is silent after 3.5 intervals without a report

std::string address(std::size_t host, int port) {
    int process = ::getpid();
    return "127.12." + std::to_string(process % 250) + "." + std::to_string(host + 1) + ":" + std::to_string(port);
}

std::vector<std::string> control_addresses() {
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < control_count; ++i) {
        addresses.push_back(address(i, 7200));
    }
    return addresses;
}

wire::target_report_t make_heartbeat(const std::string& id, std::uint64_t sequence) {
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

// Gateway reduced to its connections to the control processes. `host` is the last part of its IP address, minus one.
class stub_gateway {
public:
    stub_gateway(event_loop& loop, std::size_t host)
        : link(loop, gateway_settings(host), this->metrics, {this->items, this->targets, this->crashes, this->limits},
               [](const control_update&) {}) {}

    bool usable(const std::string& id) const {
        const auto* known = this->targets.find(id);
        return known != nullptr && known->usable();
    }

    item_store items;
    quarantine crashes;
    target_limits limits;

private:
    static wire::fleet_settings_t gateway_settings(std::size_t host) {
        wire::fleet_settings_t settings;
        settings.cluster = "test";
        settings.region = "north";
        settings.zone = "north-1";
        settings.peer_address = address(host, 7100);
        settings.front_address = address(host, 7200);
        settings.seeds = control_addresses();
        return settings;
    }

    metric_registry metrics;
    target_registry targets;

public:
    control_link link;
};

class deployment {
public:
    deployment() {
        char name[] = "/tmp/persimmongrade-fleet-XXXXXX";
        this->directory = ::mkdtemp(name);
        for (std::size_t i = 0; i < control_count; ++i) {
            wire::fleet_settings_t settings;
            settings.cluster = "test";
            settings.node = "control-" + std::to_string(i);
            settings.region = "north";
            settings.zone = "north-1";
            settings.peer_address = address(i, 7100);
            settings.control_http_address = address(i, 7200);
            settings.heartbeat_ms = static_cast<std::uint32_t>(heartbeat.count());
            settings.bootstrap = true;
            settings.data_directory = this->directory + "/" + settings.node;
            settings.seeds = control_addresses();
            this->metrics.push_back(std::make_unique<metric_registry>());
            this->control.push_back(std::make_unique<fleet_control>(this->loop, settings, *this->metrics.back()));
        }
        this->gateway = std::make_unique<stub_gateway>(this->loop, 100);
        this->loop.run_for(ms(2500));  // an election, and the first connections
    }

    ~deployment() {
        this->control.clear();
        std::filesystem::remove_all(this->directory);
    }

    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    event_loop loop;
    std::vector<std::unique_ptr<metric_registry>> metrics;
    std::vector<std::unique_ptr<fleet_control>> control;
    std::unique_ptr<stub_gateway> gateway;
    std::string directory;
};

}  // namespace

// A control process that was suspended first reads the heartbeats queued in its sockets, although those targets now
// report to another process. When it treated the targets as its own, it missed their next reports and told all gateways
// that they were silent: 30% of the targets of a deployment stayed unused.
TEST_CASE("old heartbeats at a control process that was frozen do not take a target out of use") {
    deployment system;
    std::uint64_t sequence = 9;
    system.control[1]->report(make_heartbeat("t", sequence));
    system.loop.run_for(ms(300));
    REQUIRE(system.gateway->usable("t"));
    sequence = 13;
    system.control[1]->report(make_heartbeat("t", sequence));
    system.loop.run_for(ms(100));
    system.control[0]->report(make_heartbeat("t", 11));  // queued in a socket for two heartbeat intervals
    std::size_t unusable_intervals = 0;
    for (int i = 0; i < 10; ++i) {
        system.loop.run_for(heartbeat);
        system.control[1]->report(make_heartbeat("t", ++sequence));
        unusable_intervals += system.gateway->usable("t") ? 0 : 1;
    }
    CHECK(unusable_intervals == 0);
}

TEST_CASE("gateways learn that a target is silent after missed reports, and usable with its next report") {
    deployment system;
    system.control[1]->report(make_heartbeat("t", 1));
    system.loop.run_for(ms(300));
    REQUIRE(system.gateway->usable("t"));
    system.loop.run_for(heartbeat * 6);
    CHECK_FALSE(system.gateway->usable("t"));
    system.control[2]->report(make_heartbeat("t", 2));
    system.loop.run_for(ms(300));
    CHECK(system.gateway->usable("t"));
}

// A gateway that was connected gets a notice from its source, one that starts later gets all of them before its items.
TEST_CASE("a quarantine that one gateway decides reaches the others, and those started later") {
    deployment system;
    stub_gateway other(system.loop, 101);
    system.loop.run_for(ms(500));
    time_point now = system.loop.now();
    for (const std::string target : {"t1", "t2"}) {
        system.gateway->crashes.connection_lost(now, {"orders", 7, target, "north"});
        system.gateway->link.send_notices(system.gateway->crashes.target_down(now, "orders", target));
    }
    system.loop.run_for(ms(100));
    CHECK(other.crashes.quarantined(system.loop.now(), "orders", 7));
    stub_gateway late(system.loop, 102);
    system.loop.run_for(ms(500));
    CHECK(late.crashes.quarantined(system.loop.now(), "orders", 7));
}

TEST_CASE("a limit that one gateway learned reaches the others, and those started later") {
    deployment system;
    stub_gateway other(system.loop, 101);
    system.loop.run_for(ms(500));
    auto news = system.gateway->limits.observe({"t", 5}, 10, system.loop.now());
    REQUIRE(news.has_value());
    system.gateway->link.send_limit(*news);
    system.loop.run_for(ms(100));
    CHECK(other.limits.rate({"t", 5}) == 10);
    stub_gateway late(system.loop, 102);
    system.loop.run_for(ms(500));
    CHECK(late.limits.rate({"t", 5}) == 10);
}

// A gateway refuses every request until it has received items.
TEST_CASE("a gateway started next to running control processes receives items within 250 ms") {
    deployment system;
    wire::item_batch_t batch;
    batch.digest = 1;
    auto item = std::make_unique<wire::item_t>();
    item->kind = wire::item_kind::service;
    item->name = "orders";
    item->version = 1;
    item->service = std::make_unique<wire::service_rule_t>();
    batch.items.push_back(std::move(item));
    std::size_t accepted = 0;
    for (auto& control : system.control) {
        control->submit(batch, [&](const command_result& result) {
            accepted += result.status == command_status::accepted ? 1 : 0;
        });
    }
    system.loop.run_for(ms(500));
    REQUIRE(accepted == 1);  // only the leader accepts
    stub_gateway new_gateway(system.loop, 101);
    time_point started_at = system.loop.now();
    while (new_gateway.items.empty() && system.loop.now() - started_at < ms(2000)) {
        system.loop.run_for(ms(5));
    }
    CHECK(system.loop.now() - started_at < ms(250));
}
