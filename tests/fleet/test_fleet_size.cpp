// What control processes send to many gateways in several regions: how often a change travels, what a slow gateway
// gets, and what happens when the control process that passes changes on is gone.

#include <arpa/inet.h>
#include <sys/socket.h>

#include "fleet_fixture.h"
#include "persimmongrade/address.h"

using namespace persimmongrade;

namespace {

constexpr const char* received_bytes = "persimmongrade_peer_received_bytes_total";
constexpr const char* received_messages = "persimmongrade_peer_received_messages_total";
constexpr const char* sent_bytes = "persimmongrade_peer_sent_bytes_total";
constexpr std::size_t first_gateway_host = 20;
const std::vector<std::string> three_regions{"north", "central", "south"};

// Three control processes, one a region, and gateways spread over the regions.
class regions_fixture : public fleet_fixture {
public:
    explicit regions_fixture(std::size_t gateway_count) : fleet_fixture({three_regions, ms(60000)}) {
        for (std::size_t i = 0; i < gateway_count; ++i) {
            this->add_gateway();
        }
        this->loop.run_for(ms(5000));  // an election, and a source in the own region for each gateway
    }

    stub_gateway& add_gateway() {
        std::size_t i = this->gateways.size();
        this->gateways.push_back(std::make_unique<stub_gateway>(
            this->loop, first_gateway_host + i, three_regions.size(), three_regions[i % three_regions.size()]));
        this->gateways.back()->link.set_serving(true);
        return *this->gateways.back();
    }

    std::vector<double> received(const char* counter, const char* message) const {
        std::vector<double> counts;
        for (const auto& gateway : this->gateways) {
            counts.push_back(message_counter(gateway->metrics, counter, message));
        }
        return counts;
    }

    bool names(std::size_t control, const stub_gateway& gateway) const {
        for (const std::string& region : three_regions) {
            auto listed = this->control[control]->gateways_for(region, region + "-1");
            if (std::find(listed.begin(), listed.end(), gateway.address) != listed.end()) {
                return true;
            }
        }
        return false;
    }

    std::vector<std::unique_ptr<stub_gateway>> gateways;
};

wire::target_report_t target_report(std::size_t number, std::uint64_t sequence = 1) {
    wire::target_report_t report = make_heartbeat("i-target-" + std::to_string(number), sequence);
    report.address = "10.1." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":8000";
    return report;
}

// A gateway that asks for everything, and reads `bytes_per_read` every 50 ms.
class slow_gateway {
public:
    slow_gateway(event_loop& loop, const ip_address& control, std::size_t bytes_per_read)
        : loop(loop), bytes_per_read(bytes_per_read) {
        this->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int small = 32768;
        ::setsockopt(this->socket, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
        sockaddr_storage storage{};
        socklen_t size = control.to_sockaddr(storage);
        REQUIRE(::connect(this->socket, reinterpret_cast<sockaddr*>(&storage), size) == 0);
        this->pings = loop.every(ms(300), [this] { this->ping(); });
        this->reads = loop.every(ms(50), [this] { this->read(); });
    }

    ~slow_gateway() {
        this->loop.cancel(this->pings);
        this->loop.cancel(this->reads);
        ::close(this->socket);
    }

    slow_gateway(const slow_gateway&) = delete;
    slow_gateway& operator=(const slow_gateway&) = delete;

private:
    void ping() {
        wire::gateway_ping_t ping;
        ping.address = "10.0.0.9:80";
        ping.region = "north";
        ping.wants_items = true;
        wire::envelope_t envelope;
        envelope.cluster = "test";
        envelope.from = "slow gateway";
        envelope.body.Set(std::move(ping));
        std::string frame = encode_frame(envelope);
        CHECK(::send(this->socket, frame.data(), frame.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(frame.size()));
    }

    void read() {
        std::vector<char> bytes(this->bytes_per_read);
        CHECK(::recv(this->socket, bytes.data(), bytes.size(), MSG_DONTWAIT) != 0);  // 0: closed
    }

    event_loop& loop;
    std::size_t bytes_per_read;
    int socket = -1;
    timer_id pings = 0;
    timer_id reads = 0;
};

}  // namespace

// Each control process used to pass a change on to every gateway: 1,080 targets that start reached 117 gateways five
// times each, mostly across regions.
TEST_CASE("a change of a target reaches each gateway once") {
    regions_fixture system(12);
    auto before = system.received(received_messages, "target_reports");
    system.control[1]->report(target_report(1));
    system.loop.run_for(ms(400));
    auto after = system.received(received_messages, "target_reports");
    for (std::size_t i = 0; i < system.gateways.size(); ++i) {
        CAPTURE(i);
        CHECK(after[i] - before[i] == 1);
        CHECK(system.gateways[i]->usable("i-target-1"));
    }
}

// With whole lists, the bytes of a rolling restart grow with the square of the gateways.
TEST_CASE("one gateway more costs the others no more than its own entry", "[known-red]") {
    constexpr std::size_t count = 60;
    constexpr double entry_bytes = 200;
    regions_fixture system(count);
    auto idle_before = system.received(received_bytes, "gateway_pong");
    system.loop.run_for(ms(1200));
    auto idle = system.received(received_bytes, "gateway_pong");
    system.add_gateway();
    system.loop.run_for(ms(1200));
    auto after = system.received(received_bytes, "gateway_pong");
    for (std::size_t i = 0; i < count; ++i) {
        CAPTURE(i);
        double of_idle = idle[i] - idle_before[i];
        // One ping more or less may fall into the interval.
        CHECK(after[i] - idle[i] < of_idle * 1.5 + entry_bytes * 3);
    }
    CHECK(system.gateways[0]->link.gateways().size() == count + 1);
}

// Everything again, while the last copy is on its way, made a slow link slower and the queue longer. One of five
// control processes of a large deployment ended for want of memory.
TEST_CASE("a gateway that only reads slowly is not sent everything again") {
    fleet_fixture system({{"north"}, ms(60000)});
    system.loop.run_for(ms(1500));
    constexpr std::size_t target_count = 1000;
    for (std::size_t i = 0; i < target_count; ++i) {
        system.control[0]->report(target_report(i));
    }
    system.loop.run_for(ms(100));
    constexpr std::size_t bytes_per_read = 2000;  // 40 kB/s: the copy takes about 6 s
    slow_gateway slow(system.loop, ip_address::parse(host_address(0, 7100)), bytes_per_read);
    system.loop.run_for(ms(600));
    double one_copy = message_counter(*system.metrics[0], sent_bytes, "target_reports");
    REQUIRE(one_copy > 100000);
    system.loop.run_for(ms(4000));
    CHECK(message_counter(*system.metrics[0], sent_bytes, "target_reports") == one_copy);
}

TEST_CASE("gateways learn of targets through another control process when their own ends") {
    regions_fixture system(6);
    system.control[2].reset();  // that of the south
    system.loop.run_for(ms(1000));
    system.control[1]->report(target_report(1));
    auto all_know = [&] {
        return std::all_of(system.gateways.begin(), system.gateways.end(),
                           [](const auto& gateway) { return gateway->usable("i-target-1"); });
    };
    // A gateway is in touch, and must follow, three seconds after the control process has ended.
    CHECK(system.run_until(all_know, ms(5000)) < ms(2000));
}

TEST_CASE("a departure reaches all gateways at once, also those whose control process is gone") {
    regions_fixture system(6);
    system.control[1]->report(target_report(1));
    system.loop.run_for(ms(400));
    std::size_t gone = system.control[2].get() == system.leader() ? 0 : 2;  // an election takes longer than this test
    system.control[gone].reset();
    wire::target_report_t departure = target_report(1, 2);
    departure.phase = wire::target_phase::draining;
    bool accepted = false;
    system.control[1]->report(departure, [&](bool result) { accepted = result; });
    auto none_uses = [&] {
        return std::none_of(system.gateways.begin(), system.gateways.end(),
                            [](const auto& gateway) { return gateway->usable("i-target-1"); });
    };
    CHECK(system.run_until(none_uses, ms(5000)) < ms(300));
    CHECK(system.run_until([&] { return accepted; }, ms(5000)) < ms(300));
}

TEST_CASE("a control process that was away learns what it missed") {
    regions_fixture system(3);
    system.control[2].reset();
    system.control[0]->report(target_report(1));
    system.control[1]->report(target_report(2));
    system.loop.run_for(ms(1000));
    system.start_control(2);
    auto knows_targets = [&] {
        return system.metrics[2]->text().find("\npersimmongrade_targets 2") != std::string::npos;
    };
    CHECK(system.run_until(knows_targets, ms(5000)) < ms(2000));
    auto knows_gateways = [&] {
        return std::all_of(system.gateways.begin(), system.gateways.end(),
                           [&](const auto& gateway) { return system.names(2, *gateway); });
    };
    CHECK(system.run_until(knows_gateways, ms(5000)) < ms(2000));
}

// Gateways ping the control processes of other regions seldom, so that these rely on what is told to them.
TEST_CASE("control processes name the gateways of all regions, and leave out one that has ended") {
    regions_fixture system(6);
    for (std::size_t control = 0; control < three_regions.size(); ++control) {
        for (const auto& gateway : system.gateways) {
            CAPTURE(control, gateway->address);
            CHECK(system.names(control, *gateway));
        }
    }
    auto ended = std::move(system.gateways[3]);
    system.gateways.erase(system.gateways.begin() + 3);
    std::string address = ended->address;
    auto is_named = [&](std::size_t control) { return system.names(control, *ended); };
    ended->link.set_serving(false);
    auto nobody_names_it = [&] { return !is_named(0) && !is_named(1) && !is_named(2); };
    CHECK(system.run_until(nobody_names_it, ms(3000)) < ms(500));
    ended->link.set_serving(true);
    system.run_until([&] { return is_named(0) && is_named(1) && is_named(2); }, ms(3000));
    ended.reset();
    stub_gateway& other = *system.gateways[0];
    auto all_forget = [&] {
        for (std::size_t control = 0; control < three_regions.size(); ++control) {
            auto listed = system.control[control]->gateways_for("north", "north-1");
            if (std::find(listed.begin(), listed.end(), address) != listed.end()) {
                return false;
            }
        }
        return !other.link.gateways().contains(address);
    };
    CHECK(system.run_until(all_forget, ms(5000)) < ms(2500));
}

TEST_CASE("a gateway that is cut off from all control processes names no gateways, and again those that run") {
    regions_fixture system(4);
    stub_gateway& gateway = *system.gateways[0];
    REQUIRE(gateway.link.gateways().size() == 4);
    for (auto& control : system.control) {
        control.reset();
    }
    CHECK(system.run_until([&] { return gateway.link.gateways().empty(); }, ms(5000)) < ms(2000));
    system.gateways.pop_back();
    for (std::size_t i = 0; i < three_regions.size(); ++i) {
        system.start_control(i);
    }
    CHECK(system.run_until([&] { return gateway.link.gateways().size() == 3; }, ms(8000)) < ms(4000));
}

// Two thirds of all heartbeats crossed regions.
TEST_CASE("targets are sent to a control process of their region while one answers") {
    regions_fixture system(3);
    CHECK(system.control[1]->reporting_address("north", "t") == host_address(0, 7200));
    CHECK(system.control[0]->reporting_address("north", "t").empty());
    CHECK(system.control[0]->reporting_address("elsewhere", "t").empty());
    system.control[2].reset();
    system.loop.run_for(ms(1500));
    CHECK(system.control[0]->reporting_address("south", "t").empty());
}
