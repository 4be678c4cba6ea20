// What gateways and control processes learn although messages are lost with a connection, or take long over a slow one.

#include "fleet_fixture.h"
#include "peer_socket.h"

using namespace persimmongrade;

namespace {

constexpr duration ping_interval = ms(300);

// A gateway whose connection the test opens, leaves unread and resets.
class cut_gateway {
public:
    cut_gateway(fleet_fixture& system, std::string id) : system(system), id(std::move(id)) { this->connect(); }

    void connect() {
        this->connection = peer_socket::connect(host_address(0, 7100));
        this->next_ping_at = this->system.loop.now();
    }

    // What has not been read is lost.
    void reset() {
        this->connection->reset_at_end();
        this->connection.reset();
    }

    void ping(bool wants_news = false) {
        wire::gateway_ping_t ping;
        ping.address = "10.0.0.9:80";
        ping.region = "north";
        ping.applied = this->items.applied();
        ping.wants_items = true;
        ping.wants_news = wants_news;
        this->connection->send(this->id, ping);
        this->connection->write(max_frame_bytes);
        this->next_ping_at = this->system.loop.now() + ping_interval;
    }

    // Reads what has arrived, and pings when that is due.
    void poll() {
        if (this->system.loop.now() >= this->next_ping_at) {
            this->ping();
        }
        for (const auto& envelope : this->connection->receive()) {
            if (const auto* delta = envelope->body.Asitems_delta()) {
                this->items.merge(*delta);
            } else if (const auto* limit = envelope->body.Astarget_limit()) {
                this->limited_targets.push_back(limit->target);
            }
        }
    }

    item_store items;
    std::vector<std::string> limited_targets;
    std::unique_ptr<peer_socket> connection;

private:
    fleet_fixture& system;
    std::string id;
    time_point next_ping_at{};
};

class single_control : public fleet_fixture {
public:
    single_control() : fleet_fixture({{"north"}}) {
        this->run_until([this] { return this->leader() != nullptr; }, ms(5000));
    }

    void submit(std::uint64_t version) {
        bool is_accepted = false;
        this->control[0]->submit(service_batch("orders", version), [&](const command_result& result) {
            is_accepted = result.status == command_status::accepted;
        });
        this->run_until([&] { return is_accepted; }, ms(2000));
        REQUIRE(is_accepted);
    }
};

std::uint64_t version_of_orders(const item_store& items) {
    const wire::item_t* held = items.find(wire::item_kind::service, "orders");
    return held == nullptr ? 0 : held->version;
}

wire::target_limit_t limit_of(const std::string& target) {
    wire::target_limit_t limit;
    limit.target = target;
    limit.started_at_ms = 1000;
    limit.limited = true;
    limit.requests_per_second = 10;
    return limit;
}

// Control processes that take `bytes_per_second` to send, and whose answers to pings wait behind their items.
class slow_control {
public:
    slow_control(event_loop& loop, std::size_t host, std::size_t count, const wire::items_delta_t& items,
                 std::size_t bytes_per_second)
        : loop(loop), host(host), count(count), items(items), bytes_per_poll(bytes_per_second / 100),
          listener(host_address(host, 7100)), timer(loop.every(ms(10), [this] { this->poll(); })) {}

    ~slow_control() { this->loop.cancel(this->timer); }
    slow_control(const slow_control&) = delete;
    slow_control& operator=(const slow_control&) = delete;

    int copies_sent = 0;

private:
    struct session {
        std::unique_ptr<peer_socket> connection;
        bool has_items = false;
    };

    void poll() {
        while (auto accepted = this->listener.accept()) {
            this->sessions.push_back({std::move(accepted)});
        }
        for (session& entry : this->sessions) {
            for (const auto& envelope : entry.connection->receive()) {
                if (const auto* ping = envelope->body.Asgateway_ping()) {
                    this->answer(entry, *ping);
                }
            }
            entry.connection->write(this->bytes_per_poll);
        }
        std::erase_if(this->sessions, [](const session& entry) { return entry.connection->ended(); });
    }

    void answer(session& entry, const wire::gateway_ping_t& ping) {
        std::string id = "slow control " + std::to_string(this->host);
        if (ping.wants_items && ping.applied < this->items.upto && !std::exchange(entry.has_items, true)) {
            entry.connection->send(id, this->items);
            ++this->copies_sent;
        }
        wire::gateway_pong_t pong;
        pong.address = host_address(this->host, 7100);
        for (std::size_t i = 0; i < this->count; ++i) {
            pong.members.push_back(host_address(i, 7100));
        }
        pong.has_leader = true;
        pong.region = "north";
        pong.applied = this->items.upto;
        entry.connection->send(id, std::move(pong));
    }

    event_loop& loop;
    std::size_t host;
    std::size_t count;
    const wire::items_delta_t& items;
    std::size_t bytes_per_poll;
    peer_listener listener;
    std::vector<session> sessions;
    timer_id timer;
};

wire::items_delta_t many_services(std::size_t count, std::uint64_t index) {
    wire::items_delta_t delta;
    delta.upto = index;
    for (std::size_t i = 0; i < count; ++i) {
        delta.items.push_back(
            std::move(service_batch("service-" + std::to_string(i) + std::string(150, 'x'), 1).items.front()));
        delta.items.back()->changed_at = index;
    }
    return delta;
}

}  // namespace

// A control process counted what it had queued as received, and each further change put off the repetition.
TEST_CASE("changes lost with a connection reach the gateway while further changes follow") {
    single_control system;
    cut_gateway gateway(system, "gateway a");
    system.submit(1);
    system.run_until([&] { return gateway.poll(), version_of_orders(gateway.items) == 1; }, ms(2000));
    REQUIRE(version_of_orders(gateway.items) == 1);
    system.submit(2);  // sent over the connection, and never read
    system.loop.run_for(ms(100));
    gateway.reset();
    gateway.connect();
    time_point began = system.loop.now();
    std::uint64_t version = 2;
    while (version_of_orders(gateway.items) < 2 && system.loop.now() - began < ms(4000)) {
        system.submit(++version);
        system.run_until([&] { return gateway.poll(), false; }, ms(250));
    }
    CHECK(version_of_orders(gateway.items) >= 2);
    CHECK(system.loop.now() - began < ms(1000));
}

// The answers to pings came behind all items, after the time in which a control process counts as silent.
TEST_CASE("a gateway waits for items that still arrive, however long they take") {
    event_loop loop;
    wire::items_delta_t items = many_services(5000, 7);
    slow_control first(loop, 0, 2, items, 400'000);
    slow_control second(loop, 1, 2, items, 400'000);
    stub_gateway gateway(loop, 100, 2);
    time_point began = loop.now();
    while (gateway.items.applied() < 7 && loop.now() - began < ms(10'000)) {
        loop.run_for(ms(10));
    }
    CHECK(gateway.items.applied() == 7);
    CHECK(first.copies_sent + second.copies_sent == 1);
}

// Neither end noticed: the connection was back before the time in which a process counts as silent.
TEST_CASE("a limit sent over a connection that is reset reaches the gateway over the next one") {
    single_control system;
    cut_gateway gateway(system, "gateway a");
    cut_gateway other(system, "gateway b");
    gateway.ping(true);
    system.run_until([&] { return gateway.poll(), other.poll(), false; }, ms(500));
    other.connection->send("gateway b", limit_of("i-1"));
    other.connection->write(max_frame_bytes);
    system.loop.run_for(ms(100));
    gateway.reset();
    gateway.connect();
    system.run_until([&] { return gateway.poll(), !gateway.limited_targets.empty(); }, ms(1500));
    CHECK(gateway.limited_targets == std::vector<std::string>{"i-1"});
}

TEST_CASE("a limit that a gateway sent over a connection that is reset reaches the control process") {
    event_loop loop;
    peer_listener control(host_address(0, 7100));
    stub_gateway gateway(loop, 100, 1);
    std::unique_ptr<peer_socket> connection;
    std::vector<std::string> limits;
    auto poll = [&](duration length) {
        for (time_point end = loop.now() + length; loop.now() < end; loop.run_for(ms(10))) {
            if (!connection) {
                connection = control.accept();
                continue;
            }
            for (const auto& envelope : connection->receive()) {
                if (const auto* limit = envelope->body.Astarget_limit()) {
                    limits.push_back(limit->target);
                } else if (envelope->body.Asgateway_ping() != nullptr) {
                    wire::gateway_pong_t pong;
                    pong.address = host_address(0, 7100);
                    pong.region = "north";
                    pong.has_leader = true;
                    connection->send("control", std::move(pong));
                    connection->write(max_frame_bytes);
                }
            }
        }
    };
    poll(ms(800));
    REQUIRE(connection);
    gateway.limits.merge(limit_of("i-1"), loop.now());
    gateway.link.send_limit(limit_of("i-1"));
    loop.run_for(ms(50));
    connection->reset_at_end();
    connection.reset();
    poll(ms(1500));
    CHECK(limits == std::vector<std::string>{"i-1"});
}

// Its messages are numbered from 1 again, and the gateway stated the last number of the start before.
TEST_CASE("a control process that starts again under its id sends each part once") {
    single_control system;
    stub_gateway gateway(system.loop, 100, 1);
    for (std::uint64_t version = 1; version <= 40; ++version) {
        system.submit(version);
        system.run_until([&] { return version_of_orders(gateway.items) == version; }, ms(2000));
    }
    system.control[0].reset();
    system.start_control(0);
    system.run_until([&] { return system.leader() != nullptr; }, ms(5000));
    system.loop.run_for(ms(500));
    wire::item_batch_t large;
    large.digest = 1000;
    for (int i = 0; i < 6000; ++i) {
        large.items.push_back(
            std::move(service_batch("service-" + std::to_string(i) + std::string(150, 'x'), 1).items.front()));
    }
    system.leader()->submit(std::move(large), [](const command_result&) {});
    std::string last = "service-5999" + std::string(150, 'x');
    system.run_until([&] { return gateway.items.find(wire::item_kind::service, last) != nullptr; }, ms(5000));
    CHECK(gateway.items.find(wire::item_kind::service, last) != nullptr);
    std::string metrics = gateway.metrics.text();
    CHECK(metrics.find("items_deltas_total{outcome=\"stored\"}") != std::string::npos);
    CHECK(metrics.find("items_deltas_total{outcome=\"known\"}") == std::string::npos);
    CHECK(metrics.find("items_deltas_total{outcome=\"lacks_earlier\"}") == std::string::npos);
}
