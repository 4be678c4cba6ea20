// When a gateway refuses requests because its items are older than those that it knows to be accepted.

#include "../support/raw_connection.h"
#include "fleet_fixture.h"
#include "item_lag.h"
#include "peer_socket.h"
#include "persimmongrade/gateway.h"

using namespace persimmongrade;

namespace {

constexpr duration in_force = ms(1000);

// A control process that states a log index, and sends its items only when told to.
class silent_sender {
public:
    explicit silent_sender(event_loop& loop) : loop(loop), listener(host_address(0, 7100)) {}

    void run(duration length) {
        for (time_point end = this->loop.now() + length; this->loop.now() < end; this->loop.run_for(ms(10))) {
            if (!this->connection || this->connection->ended()) {
                this->connection = this->listener.accept();
                continue;
            }
            for (const auto& envelope : this->connection->receive()) {
                if (envelope->body.Asgateway_ping() != nullptr && this->answers) {
                    this->answer();
                }
            }
            this->connection->write(max_frame_bytes);
        }
    }

    void send_items() {
        wire::items_delta_t delta;
        delta.upto = this->index;
        delta.items.push_back(std::move(service_batch("orders", this->index).items.front()));
        this->connection->send("control", std::move(delta));
    }

    std::uint64_t index = 1;
    bool answers = true;

private:
    void answer() {
        wire::gateway_pong_t pong;
        pong.address = host_address(0, 7100);
        pong.region = "north";
        pong.has_leader = true;
        pong.applied = this->index;
        this->connection->send("control", std::move(pong));
    }

    event_loop& loop;
    peer_listener listener;
    std::unique_ptr<peer_socket> connection;
};

// A gateway with one control process, and a client that asks for a route that does not exist.
struct served_gateway {
    event_loop loop;
    metric_registry metrics;
    silent_sender control{loop};
    gateway entry{loop, settings(), header_names(), metrics};

    served_gateway() {
        this->control.run(ms(400));
        this->control.send_items();
        this->control.run(ms(400));
    }

    static wire::fleet_settings_t settings() {
        wire::fleet_settings_t settings;
        settings.cluster = "test";
        settings.region = "north";
        settings.zone = "north-1";
        settings.peer_address = host_address(100, 7100);
        settings.front_address = host_address(100, 7200);
        settings.seeds = control_addresses(1);
        settings.items_in_force_ms = in_force.count();
        return settings;
    }

    static gateway_header_names header_names() {
        gateway_header_names names;
        names.attempt = "Attempt-Id";
        names.deadline_ms = "Deadline-Ms";
        names.parse_load = [](std::string_view) -> std::optional<target_load_report> { return std::nullopt; };
        return names;
    }

    int status() {
        raw_connection client(ip_address::parse(host_address(100, 7200)));
        client.send("GET /missing/ HTTP/1.1\r\nHost: example\r\nAttempt-Id: 1\r\n\r\n");
        for (int i = 0; i < 50 && client.received.size() < 12; ++i) {
            this->loop.run_for(ms(2));
            client.receive();
        }
        return client.received.size() < 12 ? 0 : std::stoi(client.received.substr(9, 3));
    }
};

}  // namespace

TEST_CASE("a gateway that lacks a change for too long refuses requests instead of using older items") {
    served_gateway system;
    CHECK(system.status() == 404);
    system.control.run(ms(1500));
    CHECK(system.status() == 404);  // the control process states no other index
    system.control.index = 2;
    system.control.run(ms(500));
    CHECK(system.status() == 404);
    system.control.run(ms(900));
    CHECK(system.status() == 503);
    system.control.send_items();
    system.control.run(ms(100));
    CHECK(system.status() == 404);
}

TEST_CASE("a gateway that was cut off refuses requests as soon as it learns of a change, until it has it") {
    served_gateway system;
    system.control.answers = false;
    system.control.run(ms(1500));
    CHECK(system.status() == 404);  // nothing newer is known
    system.control.answers = true;
    system.control.index = 2;
    system.control.run(ms(500));
    CHECK(system.status() == 503);
    system.control.send_items();
    system.control.run(ms(100));
    CHECK(system.status() == 404);
}

TEST_CASE("changes that follow one another do not make a gateway outdated while each is in force in time") {
    item_lag lag;
    time_point now{};
    for (std::uint64_t index = 1; index < 100; ++index) {
        now += ms(300);
        lag.stated(now, now, index, index - 1);  // the one before is in force, this one is not
        CHECK_FALSE(lag.is_outdated(now, in_force));
    }
    CHECK(lag.oldest()->index == 99);
    lag.stated(now + ms(900), now + ms(900), 99, 98);
    CHECK_FALSE(lag.is_outdated(now + ms(600), in_force));
    CHECK(lag.is_outdated(now + ms(900), in_force));  // accepted up to 300 ms before it was stated
    lag.applied(99);
    CHECK_FALSE(lag.is_outdated(now + ms(900), in_force));
}

TEST_CASE("the word of a control process that lags behind others does not make a change younger") {
    item_lag lag;
    time_point now{};
    lag.stated(now, now, 5, 5);
    lag.stated(now + ms(2000), now + ms(2000), 4, 5);
    lag.stated(now + ms(2100), now + ms(2100), 6, 5);
    CHECK(lag.is_outdated(now + ms(2100), in_force));
}

// A gateway that was frozen reads answers of before it first.
TEST_CASE("an answer that waited does not make a change younger") {
    item_lag lag;
    time_point now{};
    lag.stated(now, now, 5, 5);
    lag.stated(now + ms(5000), now + ms(300), 5, 5);
    lag.stated(now + ms(5010), now + ms(5005), 6, 5);
    CHECK(lag.is_outdated(now + ms(5010), in_force));
}
