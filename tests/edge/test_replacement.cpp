// Guards the replacement of a host under the same id at another address: the other edges must find it without a change
// of their settings, and the process it replaces must not be taken for it.

#include "edge_fixture.h"
#include "persimmongrade/uuid.h"

using namespace persimmongrade;

namespace {

struct booking_fixture {
    edge_fixture edge{{"north", "central", "south"}};
    ip_address address = test_address(next_port());
    std::uint32_t executed = 0;
    http_server target{edge.loop, address, {}, [this](const http_request&, const auto& exchange) {
                           exchange->respond({200, {}, "booking " + std::to_string(++this->executed)});
                       }};

    std::string book(const std::string& key, std::size_t through) {
        this->edge.announce("t1", "orders", this->address, "ready", "north", through);
        return this->edge.call("POST", "/s/orders/a", {{"idempotency-key", key}}, "lamp", through).body;
    }
};

}  // namespace

// Each replacement reaches the first edge by its own settings, but the two can only learn of each other.
TEST_CASE("edges replaced at other addresses find each other and vote, so that the loss of the third blocks nothing") {
    booking_fixture system;
    std::string old_key = make_uuid_v7(unix_time_ms());
    CHECK(system.book(old_key, 0) == "booking 1");
    for (std::size_t replaced : {1, 2}) {
        system.edge.edges[replaced].reset();
        system.edge.replace(replaced);
    }
    system.edge.edges[0].reset();
    CHECK(system.book(make_uuid_v7(unix_time_ms()), 3) == "booking 2");
    CHECK(system.book(old_key, 4) == "booking 1");
    CHECK(system.executed == 2);
}

TEST_CASE("a process that was replaced and still runs is not taken for its replacement") {
    booking_fixture system;
    system.edge.replace(1);
    std::string refused = system.book(make_uuid_v7(unix_time_ms()), 1);  // its claims are dropped by both others
    CHECK(refused.find(R"("outcome":"unknown")") != std::string::npos);
    CHECK(system.executed == 0);
    CHECK(system.edge.metric("\npersimmongrade_peer_stale_messages_total", 0) > 0);
    CHECK(system.edge.metric("\npersimmongrade_peer_stale_messages_total", 2) > 0);
    system.edge.edges[2].reset();
    std::string key = make_uuid_v7(unix_time_ms());
    CHECK(system.book(key, 0) == "booking 1");
    CHECK(system.book(key, 3) == "booking 1");
    CHECK(system.executed == 1);
}
