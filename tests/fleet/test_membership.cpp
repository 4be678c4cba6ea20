// Tests of the voters of the replicated log, in a deployment with five control processes that bears the loss of two
// disks at once.

#include <sys/socket.h>

#include <array>

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

    void check_read_back(const std::string& name) {
        this->run_until([this] { return this->leader() != nullptr; }, ms(15000));
        REQUIRE(this->leader() != nullptr);
        CHECK(this->leader()->items().find(wire::item_kind::service, name) != nullptr);
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
    system.check_read_back("second");
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
    system.check_read_back("second");
}

namespace {

// Stands for a host without power or a suspended one: nothing is refused, and no connection comes about.
class silent_host {
public:
    explicit silent_host(std::size_t host) {
        sockaddr_storage address{};
        socklen_t size = ip_address::parse(host_address(host, 7100)).to_sockaddr(address);
        const auto* native = reinterpret_cast<const sockaddr*>(&address);
        int reuse = 1;
        REQUIRE(::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse) == 0);
        REQUIRE(::bind(this->listener, native, size) == 0);
        REQUIRE(::listen(this->listener, 0) == 0);
        for (int& waiting : this->waiting) {  // fill the queue of connections that wait for accept()
            waiting = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            ::connect(waiting, native, size);
        }
    }

    ~silent_host() {
        for (int waiting : this->waiting) {
            ::close(waiting);
        }
        ::close(this->listener);
    }

    silent_host(const silent_host&) = delete;
    silent_host& operator=(const silent_host&) = delete;

private:
    int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::array<int, 4> waiting{};
};

// Stands for a frozen process, whose host still accepts connections.
class frozen_control {
public:
    frozen_control(event_loop& loop, std::size_t host)
        : address(host_address(host, 7100)), peers(
                                                 loop, "test", this->address, ip_address::parse(this->address),
                                                 this->metrics, [](const wire::envelope_t&) {}, quick_peers) {}

private:
    std::string address;
    metric_registry metrics;
    peer_transport peers;
};

}  // namespace

// The leader replaced a frozen voter instead of the one that was gone, as it had been silent for longer. Two disks that
// were lost before it woke ended the quorum for good. On loopback the ports of a host that is gone reset connections,
// and those of a frozen process accept them; hosts without power and suspended ones answer nothing.
TEST_CASE("a frozen voter beside one that is gone is not lost with two other disks") {
    bool hosts_answer = GENERATE(true, false);
    bool is_leader_frozen = !hosts_answer;
    INFO("hosts answer: " << hosts_answer << ", the leader is frozen: " << is_leader_frozen);
    membership_fixture system;
    REQUIRE(system.submit("first", 1));
    system.loop.run_for(ms(1000));
    std::size_t leader = system.leader_index();
    REQUIRE(leader < 5);
    auto other = [&](std::size_t n) { return (leader + n) % 5; };
    std::size_t frozen = is_leader_frozen ? leader : other(1);
    std::size_t gone = other(2);
    std::unique_ptr<frozen_control> frozen_process;
    std::unique_ptr<silent_host> frozen_host;
    std::unique_ptr<silent_host> gone_host;
    system.control[frozen].reset();
    if (hosts_answer) {
        frozen_process = std::make_unique<frozen_control>(system.loop, frozen);
    } else {
        frozen_host = std::make_unique<silent_host>(frozen);
    }
    system.loop.run_for(ms(200));
    system.lose_disk(gone);
    if (!hosts_answer) {
        gone_host = std::make_unique<silent_host>(gone);
    }
    system.loop.run_for(ms(1000));
    system.add_control();
    system.loop.run_for(sync_time);
    REQUIRE(system.submit("second", 2));
    std::size_t first_lost = other(3);
    std::size_t second_lost = other(4);
    system.lose_disk(first_lost);
    system.lose_disk(second_lost);
    system.loop.run_for(ms(1000));
    system.start_control(first_lost, false);
    system.start_control(second_lost, false);
    system.loop.run_for(ms(1000));
    frozen_process.reset();
    frozen_host.reset();
    system.start_control(frozen);
    system.check_read_back("second");
}

// Lost disks whose hosts are replaced, too, leave nobody at the voters' addresses who proves the loss. The frozen voter
// must have kept its whole vote.
TEST_CASE("a frozen voter whose host accepts connections counts after two hosts more were replaced") {
    membership_fixture system;
    REQUIRE(system.submit("first", 1));
    system.loop.run_for(ms(1000));
    std::size_t leader = system.leader_index();
    REQUIRE(leader < 5);
    auto other = [&](std::size_t n) { return (leader + n) % 5; };
    system.control[other(1)].reset();
    auto frozen = std::make_unique<frozen_control>(system.loop, other(1));
    system.loop.run_for(ms(200));
    system.lose_disk(other(2));
    system.loop.run_for(ms(1000));
    system.add_control();
    system.loop.run_for(sync_time);
    REQUIRE(system.submit("second", 2));
    system.lose_disk(other(3));
    system.lose_disk(other(4));
    system.loop.run_for(ms(1000));
    system.add_control();
    system.add_control();
    system.loop.run_for(ms(1000));
    frozen.reset();
    system.start_control(other(1));
    system.check_read_back("second");
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

TEST_CASE("a process that joins replaces only a voter that is known to be lost") {
    std::map<std::string, duration> silence{{"a", ms(0)}, {"b", ms(9000)}, {"c", ms(100)}};
    duration asked_for = ms(300);
    std::size_t size = 3;
    auto admit = [&](const wire::voter_set_t& members, const wire::join_request_t& request) {
        return admitted_voter(members, request, size, asked_for, [&](const std::string& id) { return silence[id]; });
    };
    using names = std::vector<std::string>;
    CHECK(admit(three_voters(), join_request("x"))->replaces_one_of == names{"b"});
    CHECK_FALSE(admit(three_voters(), join_request("b")).has_value());  // a member already
    auto other_disk = join_request("a.1");
    other_disk.address = "a:1";
    CHECK_FALSE(admit(three_voters(), other_disk).has_value());  // the voter at its address answers
    silence["a"] = silent_voter_timeout + ms(1);
    CHECK(admit(three_voters(), other_disk)->replaces == "a");
    silence["a"] = ms(0);
    silence["b"] = lost_voter_timeout;
    asked_for = ms(2000);
    CHECK_FALSE(admit(three_voters(), join_request("x")).has_value());
    size = 5;
    auto added = admit(three_voters(), join_request("x"));
    CHECK(added->replaces.empty());
    CHECK(added->replaces_one_of.empty());
}

// The voter that had been silent for longest was replaced: a frozen one, in place of the one that was gone.
TEST_CASE("the age of silence does not tell which of two silent voters is replaced") {
    std::map<std::string, duration> silence{{"a", ms(0)}, {"b", ms(9000)}, {"c", ms(1200)}};
    auto admit = [&](duration asked_for) {
        return admitted_voter(three_voters(), join_request("x"), 3, asked_for,
                              [&](const std::string& id) { return silence[id]; });
    };
    CHECK_FALSE(admit(ms(300)).has_value());  // c was not heard since: x may be its successor
    using names = std::vector<std::string>;
    CHECK(admit(ms(1300))->replaces_one_of == names{"b"});
    silence["c"] = lost_voter_timeout + ms(1);
    CHECK(admit(ms(300))->replaces_one_of == names{"b", "c"});
}

// Two processes that joined while two voters were lost both replaced the same one, or one replaced the other.
TEST_CASE("a voter that is being replaced is not replaced by another process too") {
    std::map<std::string, duration> silence{{"a", ms(0)}, {"b", ms(9000)}, {"c", ms(2000)}, {"x", ms(0)}};
    auto admit = [&](const wire::voter_set_t& members, const wire::join_request_t& request) {
        return admitted_voter(members, request, 3, ms(300), [&](const std::string& id) { return silence[id]; });
    };
    using names = std::vector<std::string>;
    wire::voter_set_t members = three_voters();
    add_replacement(members, "x", "b");
    CHECK(admit(members, join_request("y"))->replaces_one_of == names{"c"});
    silence["c"] = ms(0);
    CHECK_FALSE(admit(members, join_request("y")).has_value());
    silence["x"] = ms(2000);  // lost before it has caught up
    CHECK(admit(members, join_request("y"))->replaces == "x");
}

// Two processes that joined while two voters were silent both took the vote of the same one.
TEST_CASE("of several silent voters one process after the other replaces one") {
    std::map<std::string, duration> silence{{"a", ms(0)}, {"b", ms(9000)}, {"c", ms(2000)}, {"x", ms(0)}};
    auto admit = [&](const wire::voter_set_t& members, const std::string& id) {
        return admitted_voter(members, join_request(id), 3, ms(300),
                              [&](const std::string& member) { return silence[member]; });
    };
    wire::voter_set_t members = three_voters();
    add_replacement(members, "x", "");
    members.voters.back()->replaces_one_of = {"b", "c"};
    CHECK_FALSE(admit(members, "y").has_value());
    members.voters[1]->shares_vote = true;  // b and c, once x votes
    members.voters[2]->shares_vote = true;
    members.voters[3]->voting = true;
    members.voters[3]->replaces_one_of.clear();
    members.lost_sharers = 1;
    CHECK(admit(members, "y")->replaces_one_of == std::vector<std::string>{"b", "c"});
    silence["x"] = ms(9000);
    CHECK(admit(members, "y")->replaces_one_of == std::vector<std::string>{"b", "c", "x"});
    silence["x"] = ms(0);
    add_replacement(members, "z", "");
    members.voters.back()->voting = true;
    members.lost_sharers = 2;  // x and z have replaced them
    CHECK_FALSE(admit(members, "y").has_value());
}

// The hosts of frozen processes still accept connections.
TEST_CASE("a voter whose host accepts connections is not replaced") {
    auto now = time_point(ms(5000));
    std::map<std::string, host_probe> probes{{"b", {now, true}}, {"c", {now - ms(10), false}}};
    auto without_host = [&] {
        return voters_without_host({"b", "c"}, now, [&](const std::string& id) {
            auto found = probes.find(id);
            return found == probes.end() ? nullptr : &found->second;
        });
    };
    using names = std::vector<std::string>;
    CHECK(without_host() == names{"c"});
    probes["c"].accepts = true;
    CHECK(without_host() == names{});
    probes["b"].accepts = probes["c"].accepts = false;
    CHECK(without_host() == names{"b", "c"});
    probes["b"] = {now - host_probe_lifetime - ms(1), true};  // it may have been lost since
    CHECK_FALSE(without_host().has_value());
    probes.erase("b");
    CHECK_FALSE(without_host().has_value());
}

TEST_CASE("voters that share votes are replaced only as far as votes are left") {
    wire::voter_set_t members = three_voters();
    members.voters[1]->shares_vote = members.voters[2]->shares_vote = true;  // b and c
    members.lost_sharers = 1;
    CHECK(may_replace_one_of(members, {"b", "c"}));
    CHECK_FALSE(may_replace_one_of(members, {"b"}));  // c runs, so b has been replaced
    CHECK(may_replace_one_of(members, {"a", "b"}));
    CHECK_FALSE(may_replace_one_of(members, {}));
}

TEST_CASE("a process counts as asking as long as it asks often") {
    join_requests requests;
    CHECK(requests.asked_for("x", time_point(ms(1000))) == ms(0));
    CHECK(requests.asked_for("x", time_point(ms(1300))) == ms(300));
    CHECK(requests.asked_for("y", time_point(ms(1400))) == ms(0));
    CHECK(requests.asked_for("x", time_point(ms(1600))) == ms(600));
    CHECK(requests.asked_for("x", time_point(ms(9000))) == ms(0));  // another start, or long cut off
}
