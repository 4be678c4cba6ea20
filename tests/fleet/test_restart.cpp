// Tests of what gateways get from control processes that have just started.

#include "fleet_fixture.h"

using namespace persimmongrade;

namespace {

// Enough that the last changes are in the log only, and not in the snapshot that a process loads at its start.
constexpr std::uint64_t change_count = 520;

class restart_fixture : public fleet_fixture {
public:
    restart_fixture() {
        this->run_until([this] { return this->leader() != nullptr; }, ms(5000));
        std::uint64_t accepted = 0;
        for (std::uint64_t version = 1; version <= change_count; ++version) {
            this->leader()->submit(service_batch("orders", version), [&](const command_result& result) {
                accepted += result.status == command_status::accepted ? 1 : 0;
            });
        }
        this->leader()->submit(service_batch("added", 1), [&](const command_result& result) {
            accepted += result.status == command_status::accepted ? 1 : 0;
        });
        this->run_until([&] { return accepted == change_count + 1; }, ms(20000));
        REQUIRE(accepted == change_count + 1);
    }
};

bool knows_added(const stub_gateway& gateway) {
    return gateway.items.find(wire::item_kind::service, "added") != nullptr;
}

}  // namespace

// After a restart of all, gateways served the manifest of the last snapshot for about a second: requests of a newer
// route that may run once matched a route whose requests are sent to a second target, and ran twice.
TEST_CASE("a gateway gets no items of a control process that does not know yet what was committed") {
    restart_fixture system;
    for (auto& process : system.control) {
        process.reset();
    }
    system.start_control(0);
    stub_gateway gateway(system.loop, 100);
    system.loop.run_for(ms(1500));
    CHECK(gateway.items.empty());
    system.start_control(1);
    system.run_until([&] { return !gateway.items.empty(); }, ms(5000));
    CHECK(knows_added(gateway));
    CHECK(gateway.items.find(wire::item_kind::service, "orders")->version == change_count);
}

// The leader goes on, so that the process that starts knows a leader before it has the entries of the log.
TEST_CASE("a gateway gets no older items of a control process that starts beside a leader") {
    restart_fixture system;
    for (int round = 0; round < 5; ++round) {
        std::size_t other = system.control[0].get() == system.leader() ? 1 : 0;
        system.control[other].reset();
        system.loop.run_for(ms(200));
        system.start_control(other);
        stub_gateway gateway(system.loop, 100 + static_cast<std::size_t>(round));
        system.run_until([&] { return !gateway.items.empty(); }, ms(5000));
        CHECK(knows_added(gateway));
    }
}
