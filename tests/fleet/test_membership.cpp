// Tests of the voters of the replicated log, in a deployment with five control processes that bears the loss of two
// disks at once.

#include "fleet_fixture.h"

using namespace persimmongrade;

namespace {

constexpr duration sync_time = ms(4000);  // after which a machine that came back counts as sound

fleet_fixture_options five_processes() {
    fleet_fixture_options options;
    options.control_regions = {"north", "north", "central", "central", "south"};
    options.lost_disks = 2;
    return options;
}

class membership_fixture : public fleet_fixture {
public:
    membership_fixture() : fleet_fixture(five_processes()) {
        this->run_until([this] { return this->leader() != nullptr; }, ms(5000));
    }

    bool submit(const std::string& name, std::uint64_t version) {
        bool accepted = false;
        this->run_until(
            [&] {
                if (fleet_control* process = this->leader()) {
                    process->submit(service_batch(name, version), [&](const command_result& result) {
                        accepted = accepted || result.status == command_status::accepted;
                    });
                }
                return accepted;
            },
            ms(5000));
        return accepted;
    }
};

}  // namespace

// The leader replaced a voter that was only cut off instead of the one that was gone. The voter that came back still
// took itself for a member, never asked to join again, and the loss of two disks later ended the quorum for good.
TEST_CASE("a voter that was replaced while it was away takes the place of the one that is gone") {
    membership_fixture system;
    REQUIRE(system.submit("first", 1));
    system.control[4].reset();  // away, with its disk
    system.loop.run_for(ms(600));
    system.lose_disk(0);  // for good
    system.loop.run_for(ms(1000));
    system.add_control();
    system.loop.run_for(ms(4000));
    system.start_control(4);
    system.loop.run_for(sync_time);
    REQUIRE(system.submit("second", 2));
    for (std::size_t i : {1, 2}) {
        system.lose_disk(i);
    }
    system.loop.run_for(ms(1000));
    for (std::size_t i : {1, 2}) {
        system.start_control(i, false);
    }
    system.run_until([&] { return system.leader() != nullptr; }, ms(15000));
    REQUIRE(system.leader() != nullptr);
    CHECK(system.leader()->items().find(wire::item_kind::service, "second") != nullptr);
}
