// Tests of fleet_control: three control processes on one event loop. The test takes the part of the targets, and of a
// gateway that only connects to the control processes.

#include "fleet_fixture.h"

using namespace persimmongrade;

namespace {

class deployment : public fleet_fixture {
public:
    deployment() {
        this->gateway = std::make_unique<stub_gateway>(this->loop, 100);
        this->loop.run_for(ms(2500));  // an election, and the first connections
    }

    std::unique_ptr<stub_gateway> gateway;
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
