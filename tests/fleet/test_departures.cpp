// Tests of the acknowledgement of targets that leave: it binds the gateways, so that it may be given only when a
// majority of the control processes has stored the departure.

#include "fleet_fixture.h"

using namespace persimmongrade;

namespace {

wire::target_report_t departure_without_start(const std::string& id) {
    wire::target_report_t report;
    report.id = id;
    report.phase = wire::target_phase::gone;
    return report;
}

class departures_fixture : public fleet_fixture {
public:
    explicit departures_fixture(const fleet_fixture_options& given = {}) : fleet_fixture(given) {
        this->gateway = std::make_unique<stub_gateway>(this->loop, 100, given.control_regions.size());
        this->run_until([this] { return this->leader() != nullptr; }, ms(5000));
        this->loop.run_for(ms(1000));  // connections between all processes
    }

    // Reports until the control process acknowledges, as a target that leaves does.
    bool depart(std::size_t i, const wire::target_report_t& report, duration limit) {
        auto accepted = std::make_shared<bool>(false);  // later reports are answered after the first accepted one
        this->run_until(
            [&] {
                this->control[i]->report(report, [accepted](bool result) { *accepted = *accepted || result; });
                this->loop.run_for(ms(20));
                return *accepted;
            },
            limit);
        return *accepted;
    }

    std::unique_ptr<stub_gateway> gateway;
};

}  // namespace

// A control process that had started again did not know the targets that had reported to it. It acknowledged their
// departures, which name no start, with a start of 0, and everybody else ignored them as outdated.
TEST_CASE("a departure that a restarted control process acknowledges reaches the gateways") {
    fleet_fixture_options options;
    options.target_heartbeat = ms(60000);  // the target reports once
    for (duration pause : {ms(0), ms(100), ms(200), ms(400), ms(800)}) {
        departures_fixture system(options);
        std::size_t restarted = (system.leader_index() + 1) % system.control.size();
        system.control[restarted]->report(make_heartbeat("t", 1));
        REQUIRE(system.run_until([&] { return system.gateway->usable("t"); }, ms(1000)) < ms(1000));
        system.control[restarted].reset();
        system.loop.run_for(ms(100));
        system.start_control(restarted);
        system.loop.run_for(pause);
        REQUIRE(system.depart(restarted, departure_without_start("t"), ms(3000)));
        system.loop.run_for(ms(500));
        INFO("pause " << pause.count() << " ms");
        CHECK_FALSE(system.gateway->usable("t"));
    }
}

// A control process that is cut off keeps the id of its last leader for up to two election timeouts, and a leader goes
// on leading for as long. They acknowledged departures meanwhile, of which nobody else learned.
TEST_CASE("a control process without a majority acknowledges no departure, whether it leads or not") {
    for (std::size_t distance : {0, 1}) {
        departures_fixture system;
        std::size_t cut_off = (system.leader_index() + distance) % system.control.size();
        system.control[cut_off]->report(make_heartbeat("t", 1));
        system.loop.run_for(ms(300));
        for (std::size_t i = 0; i < system.control.size(); ++i) {
            if (i != cut_off) {
                system.control[i].reset();
            }
        }
        INFO(distance << " from the leader");
        CHECK_FALSE(system.depart(cut_off, departure_without_start("t"), ms(3000)));
    }
}

// A heartbeat that a partition had delayed brought back a target that had left, once all control processes had been
// restarted and knew it no longer.
TEST_CASE("a departure outlives a restart of all control processes and gateways") {
    fleet_fixture_options options;
    options.target_heartbeat = ms(60000);
    departures_fixture system(options);
    system.control[0]->report(make_heartbeat("t", 1));
    system.loop.run_for(ms(300));
    REQUIRE(system.depart(1, departure_without_start("t"), ms(3000)));
    system.gateway.reset();
    for (auto& process : system.control) {
        process.reset();
    }
    for (std::size_t i = 0; i < system.control.size(); ++i) {
        system.start_control(i);
    }
    system.run_until([&] { return system.leader() != nullptr; }, ms(5000));
    stub_gateway late(system.loop, 101);
    system.loop.run_for(ms(500));
    system.control[2]->report(make_heartbeat("t", 2));
    system.loop.run_for(ms(500));
    CHECK_FALSE(late.usable("t"));
    wire::target_report_t restarted = make_heartbeat("t", 1);  // under the same id
    restarted.started_at_ms = 2000;
    system.control[2]->report(restarted);
    system.loop.run_for(ms(500));
    CHECK(late.usable("t"));
}

// The operators of a deployment count departures that are never acknowledged.
TEST_CASE("departures are acknowledged by every control process, also when repeated") {
    departures_fixture system;
    for (std::size_t i = 0; i < system.control.size(); ++i) {
        std::string id = "t-" + std::to_string(i);
        wire::target_report_t report = make_heartbeat(id, 1);
        report.address = "10.0.1." + std::to_string(i + 1) + ":8000";
        system.control[(i + 1) % system.control.size()]->report(report);
        system.loop.run_for(ms(300));
        report.phase = wire::target_phase::draining;
        report.sequence = 2;
        CHECK(system.depart(i, report, ms(600)));
        CHECK(system.depart((i + 2) % system.control.size(), departure_without_start(id), ms(600)));
        CHECK(system.depart((i + 2) % system.control.size(), departure_without_start(id), ms(600)));
        system.loop.run_for(ms(200));
        CHECK_FALSE(system.gateway->usable(id));
    }
}
