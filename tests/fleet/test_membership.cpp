// Tests of the voters of the replicated log, in a deployment with five control processes that bears the loss of two
// disks at once.

#include "fleet_fixture.h"
#include "voter_admission.h"

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
        auto accepted = std::make_shared<bool>(false);  // later attempts are answered after the first accepted one
        this->run_until(
            [&] {
                if (fleet_control* process = this->leader()) {
                    process->submit(service_batch(name, version), [accepted](const command_result& result) {
                        *accepted = *accepted || result.status == command_status::accepted;
                    });
                }
                return *accepted;
            },
            ms(5000));
        return *accepted;
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

namespace {

// Stands for a control process that is cut off from the others: it answers gateways only.
class isolated_control {
public:
    isolated_control(event_loop& loop, std::size_t host)
        : address(host_address(host, 7100)),
          peers(
              loop, "test", this->address, ip_address::parse(this->address), this->metrics,
              [this](const wire::envelope_t& envelope) { this->receive(envelope); }, quick_peers) {}

private:
    void receive(const wire::envelope_t& envelope) {
        if (envelope.body.Asgateway_ping() != nullptr) {
            wire::gateway_pong_t pong;
            pong.address = this->address;
            this->peers.send(envelope.from, pong);
        }
    }

    std::string address;
    metric_registry metrics;
    peer_transport peers;
};

}  // namespace

// The leader replaced a voter that was cut off instead of the one that was gone. The loss of two more disks while it
// was still away ended the quorum for good, although three of five disks were left.
TEST_CASE("a voter that gateways reach is not the one that is replaced") {
    membership_fixture system;
    std::vector<std::unique_ptr<stub_gateway>> gateways;
    for (const char* region : {"north", "central", "south"}) {
        gateways.push_back(std::make_unique<stub_gateway>(system.loop, 100 + gateways.size(), 5, region));
    }
    system.loop.run_for(ms(1000));
    REQUIRE(system.submit("first", 1));
    std::size_t leader = system.leader_index();
    auto follower = [&](std::size_t n) { return (leader + n) % 5; };
    system.control[follower(1)].reset();
    auto cut_off = std::make_unique<isolated_control>(system.loop, follower(1));
    system.loop.run_for(ms(600));
    system.lose_disk(follower(2));  // for good
    system.loop.run_for(ms(1000));
    system.add_control();
    system.loop.run_for(sync_time);
    REQUIRE(system.submit("second", 2));
    system.lose_disk(follower(3));
    system.lose_disk(follower(4));
    system.loop.run_for(ms(1000));
    system.start_control(follower(3), false);
    system.start_control(follower(4), false);
    cut_off.reset();
    system.start_control(follower(1));
    system.run_until([&] { return system.leader() != nullptr; }, ms(15000));
    REQUIRE(system.leader() != nullptr);
    CHECK(system.leader()->items().find(wire::item_kind::service, "second") != nullptr);
}

namespace {

wire::voter_set_t three_voters() {
    wire::voter_set_t members;
    for (const std::string id : {"a", "b", "c"}) {
        members.voters.push_back(std::make_unique<wire::voter_t>());
        members.voters.back()->id = id;
        members.voters.back()->address = id + ":1";
        members.voters.back()->voting = true;
    }
    return members;
}

void add_replacement(wire::voter_set_t& members, const std::string& id, const std::string& replaces) {
    members.voters.push_back(std::make_unique<wire::voter_t>());
    members.voters.back()->id = id;
    members.voters.back()->address = id + ":1";
    members.voters.back()->replaces = replaces;
    members.voters.back()->voting = false;
}

wire::join_request_t join_request(const std::string& id) {
    wire::join_request_t request;
    request.id = id;
    request.address = id + ":1";
    return request;
}

}  // namespace

TEST_CASE("a process that joins replaces the voter that has been silent for longest") {
    std::map<std::string, duration> silence{{"a", ms(0)}, {"b", ms(9000)}, {"c", ms(2000)}};
    auto admit = [&](const wire::voter_set_t& members, const wire::join_request_t& request) {
        return admitted_voter(members, request, 3, [&](const std::string& id) { return silence[id]; });
    };
    CHECK(admit(three_voters(), join_request("x"))->replaces == "b");
    CHECK_FALSE(admit(three_voters(), join_request("b")).has_value());  // a member already
    auto other_disk = join_request("a.1");
    other_disk.address = "a:1";
    CHECK(admit(three_voters(), other_disk)->replaces == "a");
    silence["b"] = lost_voter_timeout;
    silence["c"] = ms(0);
    CHECK_FALSE(admit(three_voters(), join_request("x")).has_value());
    CHECK(admitted_voter(three_voters(), join_request("x"), 5, [](const std::string&) {
              return ms(0);
          })->replaces.empty());
}

// Two processes that joined while two voters were lost both replaced the same one, or one replaced the other.
TEST_CASE("a voter that is being replaced is not replaced by another process too") {
    std::map<std::string, duration> silence{{"a", ms(0)}, {"b", ms(9000)}, {"c", ms(2000)}, {"x", ms(0)}};
    auto admit = [&](const wire::voter_set_t& members, const wire::join_request_t& request) {
        return admitted_voter(members, request, 3, [&](const std::string& id) { return silence[id]; });
    };
    wire::voter_set_t members = three_voters();
    add_replacement(members, "x", "b");
    CHECK(admit(members, join_request("y"))->replaces == "c");
    silence["c"] = ms(0);
    CHECK_FALSE(admit(members, join_request("y")).has_value());
    silence["x"] = ms(2000);  // lost before it has caught up
    CHECK(admit(members, join_request("y"))->replaces == "x");
}
