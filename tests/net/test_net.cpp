// Guards HTTP exchanges, the frame codec and peer connections on one real event loop over loopback.

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <unistd.h>

#include <array>

#include "../support/endless_target.h"
#include "../support/invalid_headers.h"
#include "../support/scripted_target.h"
#include "persimmongrade/error.h"
#include "persimmongrade/http_client.h"
#include "persimmongrade/http_server.h"
#include "persimmongrade/peer_transport.h"

using namespace persimmongrade;

namespace {

// A loopback address of this process's own, so that test programs can run at the same time.
ip_address test_address(std::uint16_t port) {
    int host = getpid() % 200 + 20;
    return {"127.9." + std::to_string(getpid() / 200 % 200) + "." + std::to_string(host), port};
}

http_call_result call_and_wait(event_loop& loop, http_client& client, const http_call& call) {
    http_call_result received;
    bool done = false;
    client.send(call, [&](http_call_result result) {
        received = std::move(result);
        done = true;
        loop.stop();
    });
    loop.run_for(ms(3000));
    REQUIRE(done);
    return received;
}

wire::envelope_t sample_envelope(std::uint64_t revision) {
    wire::envelope_t envelope;
    envelope.cluster = "test";
    envelope.from = "edge-1";
    wire::config_ack_t ack;
    ack.edge = "edge-1";
    ack.revision = revision;
    envelope.body.Set(std::move(ack));
    return envelope;
}

}  // namespace

TEST_CASE("a request reaches the handler and its answer comes back whole") {
    event_loop loop;
    http_server server(loop, test_address(8001), {}, [](const http_request& request, const auto& exchange) {
        exchange->respond({201, {{"x-path", request.path}}, request.query_value("n").value_or("") + request.body});
    });
    http_client client(loop);
    for (bool reuse : {false, true, true}) {
        http_call call{test_address(8001), "POST", "/a/b?n=x%20y", {}, std::string(100000, 'z')};
        call.reuse_connection = reuse;
        auto result = call_and_wait(loop, client, call);
        CHECK(result.status == http_call_status::ok);
        CHECK(result.response.status == 201);
        CHECK(result.response.header("x-path") == "/a/b");
        CHECK(result.response.body == "x y" + std::string(100000, 'z'));
    }
}

// Guards against a second poll after each timer, which doubled the processor time of idle processes.
TEST_CASE("a timer takes one turn of the loop") {
    event_loop loop;
    int runs = 0;
    int turns = 0;
    loop.after_each_poll([&] {
        ++turns;
        return false;
    });
    loop.every(ms(5), [&] { ++runs; });
    loop.run_for(ms(500));
    CHECK(runs > 10);
    CHECK(turns <= runs + 10);  // the first poll, and one for each wait that ends just before a timer is due
}

// Guards against waiting for a poll timeout of 100 ms between a request that is sent from a callback and its answer.
TEST_CASE("requests sent from a callback of the client are answered without delay") {
    event_loop loop;
    http_server server(loop, test_address(8010), {}, [](const http_request&, const auto& exchange) {
        exchange->respond({200, {}, "x"});
    });
    http_client client(loop);
    int answered = 0;
    std::function<void()> send = [&] {
        client.send({test_address(8010)}, [&](const http_call_result&) { ++answered < 20 ? send() : loop.stop(); });
    };
    send();
    loop.run_for(ms(1000));  // 20 requests took 2,000 ms with the fault
    CHECK(answered == 20);
}

TEST_CASE("a refused connection is reported as connect_failed") {
    event_loop loop;
    http_client client(loop);
    CHECK(call_and_wait(loop, client, {test_address(8002)}).status == http_call_status::connect_failed);
}

TEST_CASE("an answer above the maximum is refused") {
    event_loop loop;
    http_server server(loop, test_address(8003), {}, [](const http_request&, const auto& exchange) {
        exchange->respond({200, {}, std::string(5000, 'x')});
    });
    http_client client(loop);
    http_call call{test_address(8003)};
    call.max_answer_bytes = 4000;
    CHECK(call_and_wait(loop, client, call).status == http_call_status::answer_too_large);
}

TEST_CASE("an answer whose head or body has no end is given up") {
    event_loop loop;
    http_client client(loop);
    const std::string head = "HTTP/1.1 200 OK\r\n";
    std::uint16_t port = 8060;
    for (const std::string& beginning :
         {head + "X: ", head, head + "Content-Length: 999999999\r\n\r\n", head + "\r\n"}) {
        INFO(beginning);
        endless_target target(test_address(port), beginning, beginning == head ? "A: b\r\n" : "x");
        http_call call{test_address(port++)};
        CHECK(call_and_wait(loop, client, call).status != http_call_status::ok);
        loop.run_for(ms(50));
        constexpr std::size_t most_bytes = 32U << 20U;  // of a read and the sockets
        CHECK(target.sent < most_bytes);
    }
}

// Guards against status 000 or 101 reaching a caller, which an edge would pass on to its client.
TEST_CASE("an answer with an invalid status ends its call as lost, and its connection is not reused") {
    auto status = GENERATE(as<std::string>(), "000", "001", "099", "600", "999", "2x0", "-10", "20", "2000", "101");
    const std::string head = "HTTP/1.1 " + status + " X\r\n";
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    const std::vector<std::string> answers = {
        head + "Content-Length: 0\r\n\r\n",
        head + "Content-Length: 2\r\n\r\nab",
        head + "\r\n" + scripted_target::close_now,
        head + "\r\n" + whole,
        "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 0\r\n\r\n",
    };
    std::size_t i = GENERATE(range(0, 5));
    CAPTURE(answers[i]);
    event_loop loop;
    ip_address address = test_address(8070);
    scripted_target target(address, {answers[i], whole});
    http_client client(loop);
    auto result = call_and_wait(loop, client, {address});
    CHECK(result.status == http_call_status::connection_lost);
    CHECK(result.response.headers.empty());
    CHECK(call_and_wait(loop, client, {address}).response.body == "whole");
    CHECK(target.connections == 2);
}

TEST_CASE("an answer that is reset while its request is being written is not ok") {
    event_loop loop;
    std::uint16_t port = 8120;
    const std::string head = "HTTP/1.1 200 OK\r\n";
    for (const std::string& part :
         {std::string(), head, head + "\r\n", head + "\r\npart", head + "Content-Length: 5\r\n\r\npart",
          head + "Transfer-Encoding: identity\r\n\r\npart", head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"}) {
        CAPTURE(part);
        ip_address address = test_address(port++);
        scripted_target target(address, {part + scripted_target::reset_later});
        http_client client(loop);
        constexpr std::size_t body_bytes = 32U << 20U;  // doesn't fit into the buffers of the sockets
        http_call call{address, "POST", "/", {}, std::string(body_bytes, 'u')};
        CHECK(call_and_wait(loop, client, call).status != http_call_status::ok);
    }
}

// Callers got a part of an answer as whole, and an invalid framing ended the process.
TEST_CASE("an answer whose end can't be told is not ok") {
    event_loop loop;
    std::uint16_t port = 8130;
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::vector<std::string> framings = {
        "",
        "Transfer-Encoding: identity\r\n",
        "Content-Length: 5\r\nTransfer-Encoding: identity\r\n",
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip\r\n",
        "Content-Length: x\r\n",
        "Content-Length: -4\r\n",
        "Content-Length: 4\r\nContent-Length: 3\r\n",
        "Content-Length: 99999999999999999999\r\n",
    };
    for (const std::string& framing : framings) {
        for (const char* ending :
             {scripted_target::close_now, scripted_target::reset_now, scripted_target::reset_later}) {
            CAPTURE(framing, ending);
            ip_address address = test_address(port++);
            scripted_target target(address, {head + framing + "\r\npart" + ending});
            http_client client(loop);
            CHECK(call_and_wait(loop, client, {address}).status != http_call_status::ok);
        }
    }
}

// Guards against such a line reaching a caller, and against framing headers that are not recognized.
TEST_CASE("an answer with an invalid header name ends its call as lost, and its connection is not reused") {
    const std::string line = GENERATE(from_range(invalid_header_lines()));
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    const std::vector<std::string> answers = {
        head + "X-A: b\r\n" + line + "\r\nContent-Length: 5\r\n\r\nwrong",
        head + "Content-Length: 5\r\n" + line + "\r\n\r\nwrong",
        head + line + "\r\n\r\n" + scripted_target::close_now,
        "HTTP/1.1 100 Continue\r\n" + line + "\r\n\r\n" + whole,
    };
    std::size_t i = GENERATE(range(0, 4));
    CAPTURE(answers[i]);
    event_loop loop;
    ip_address address = test_address(8150);
    scripted_target target(address, {answers[i], whole});
    http_client client(loop);
    auto result = call_and_wait(loop, client, {address});
    CHECK(result.status == http_call_status::connection_lost);
    CHECK(result.response.headers.empty());
    CHECK(call_and_wait(loop, client, {address}).response.body == "whole");
    CHECK(target.connections == 2);
}

TEST_CASE("interim answers other than 101 are skipped, and the highest status is answered") {
    event_loop loop;
    std::uint16_t port = 8090;
    for (const char* status : {"100", "102", "103", "199"}) {
        CAPTURE(status);
        ip_address address = test_address(port++);
        scripted_target target(address, {std::string("HTTP/1.1 ") + status +
                                         " X\r\n\r\nHTTP/1.1 599 X\r\nContent-Length: 5\r\n\r\nfinal"});
        http_client client(loop);
        auto result = call_and_wait(loop, client, {address});
        CHECK(result.status == http_call_status::ok);
        CHECK(result.response.status == 599);
        CHECK(result.response.body == "final");
    }
}

// Guards against reading interim answers until the caller cancels: h2o skips them without a limit.
TEST_CASE("interim answers without end are given up") {
    event_loop loop;
    http_client client(loop);
    endless_target target(test_address(8095), "", "HTTP/1.1 100 Continue\r\n\r\n");
    CHECK(call_and_wait(loop, client, {test_address(8095)}).status == http_call_status::connection_lost);
}

TEST_CASE("a cancelled call never reports and tells the server") {
    event_loop loop;
    bool closed = false;
    std::shared_ptr<http_exchange> held;
    http_server server(loop, test_address(8004), {}, [&](const http_request&, const auto& exchange) {
        held = exchange;
        exchange->on_close([&] { closed = true; });
    });
    http_client client(loop);
    bool reported = false;
    call_id id = client.send({test_address(8004)}, [&](const http_call_result&) { reported = true; });
    loop.run_for(ms(50));
    REQUIRE(held);
    client.cancel(id);
    loop.run_for(ms(50));
    CHECK(closed);
    CHECK(held->closed());
    CHECK_FALSE(reported);
    held->respond({200, {}, "late"});
}

// Guards against a report to a caller that has already given up: the answer was there, and not yet reported.
TEST_CASE("a call cancelled between its answer and its report never reports") {
    event_loop loop;
    std::vector<std::shared_ptr<http_exchange>> held;
    http_server server(loop, test_address(8011), {},
                       [&](const http_request&, const auto& exchange) { held.push_back(exchange); });
    http_client client(loop);
    std::array<call_id, 2> calls{};
    int reports = 0;
    for (std::size_t i = 0; i < calls.size(); ++i) {
        calls.at(i) = client.send({test_address(8011)}, [&, i](const http_call_result&) {
            ++reports;
            client.cancel(calls.at(1 - i));
        });
    }
    loop.run_for(ms(50));
    REQUIRE(held.size() == 2);
    for (const auto& exchange : held) {
        exchange->respond({200, {}, "x"});  // both answers arrive in one poll
    }
    loop.run_for(ms(50));
    CHECK(reports == 1);
}

// Guards against a leak per request: a close callback that owns the exchange must be released by the answer.
TEST_CASE("an answer releases the close callback") {
    event_loop loop;
    std::weak_ptr<http_exchange> watched;
    http_server server(loop, test_address(8009), {}, [&](const http_request&, const auto& exchange) {
        watched = exchange;
        exchange->on_close([exchange] {});
        exchange->respond({200, {}, "done"});
    });
    http_client client(loop);
    http_call call{test_address(8009)};
    call.reuse_connection = false;
    CHECK(call_and_wait(loop, client, call).status == http_call_status::ok);
    loop.run_for(ms(50));
    CHECK(watched.expired());
}

TEST_CASE("an address in use is a socket_error") {
    event_loop loop;
    auto handler = [](const http_request&, const auto&) {};
    http_server first(loop, test_address(8005), {}, handler);
    CHECK_THROWS_AS(http_server(loop, test_address(8005), {}, handler), socket_error);
}

TEST_CASE("frames round-trip and any damage is detected") {
    rc::prop("one changed byte is corrupt or incomplete", [](std::uint64_t revision) {
        std::string frame = encode_frame(sample_envelope(revision));
        auto intact = decode_frame(frame.data(), frame.size());
        RC_ASSERT(intact.status == frame_status::complete);
        RC_ASSERT(intact.envelope->body.Asconfig_ack()->revision == revision);
        auto position = *rc::gen::inRange<std::size_t>(0, frame.size());
        frame[position] = static_cast<char>(frame[position] ^ *rc::gen::inRange(1, 256));
        RC_ASSERT(decode_frame(frame.data(), frame.size()).status != frame_status::complete);
    });
    rc::prop("arbitrary bytes never crash the decoder",
             [](const std::string& bytes) { decode_frame(bytes.data(), bytes.size()); });
}

TEST_CASE("peers exchange messages and reconnect after the other side restarts") {
    event_loop loop;
    metric_registry metrics_a;
    metric_registry metrics_b;
    std::uint64_t received = 0;
    std::uint64_t answered = 0;
    peer_transport a(loop, "test", "a", test_address(8006), metrics_a,
                     [&](const wire::envelope_t& envelope) { answered = envelope.body.Asconfig_ack()->revision; });
    a.add_peer("b", test_address(8007));
    for (std::uint64_t round = 1; round <= 2; ++round) {
        peer_transport* self = nullptr;
        peer_transport b(loop, "test", "b", test_address(8007), metrics_b, [&](const wire::envelope_t& envelope) {
            received = envelope.body.Asconfig_ack()->revision;
            self->send(envelope.from, wire::config_ack_t(*envelope.body.Asconfig_ack()));  // over a's connection
        });
        self = &b;
        loop.run_for(ms(700));
        REQUIRE(a.connected("b"));
        wire::config_ack_t ack;
        ack.revision = round;
        CHECK(a.send("b", std::move(ack)));
        loop.run_for(ms(50));
        CHECK(received == round);
        CHECK(answered == round);
    }
    loop.run_for(ms(50));
    CHECK_FALSE(a.send("b", wire::config_ack_t{}));
}

// Guards against taking a replaced process, which still runs, for its replacement under the same id.
TEST_CASE("messages go to and come from the newest incarnation of a peer only") {
    event_loop loop;
    metric_registry metrics;
    std::uint64_t received = 0;
    std::map<std::uint64_t, std::uint64_t> reached;  // last message to each incarnation of b
    peer_transport a(loop, "test", "a", test_address(8011), metrics,
                     [&](const wire::envelope_t& envelope) { received = envelope.body.Asconfig_ack()->revision; });
    a.add_peer("b", test_address(8012));
    auto start = [&](std::uint16_t port, std::uint64_t incarnation) {
        auto b = std::make_unique<peer_transport>(loop, "test", "b", test_address(port), metrics,
                                                  [&reached, incarnation](const wire::envelope_t& envelope) {
                                                      reached[incarnation] = envelope.body.Asconfig_ack()->revision;
                                                  });
        b->set_incarnation(incarnation);
        b->add_peer("a", test_address(8011));
        return b;
    };
    auto send = [&](peer_transport& from, const std::string& to, std::uint64_t revision) {
        wire::config_ack_t ack;
        ack.revision = revision;
        from.send(to, std::move(ack));
        loop.run_for(ms(50));
    };
    auto old_process = start(8012, 5);
    loop.run_for(ms(700));
    send(*old_process, "a", 1);
    CHECK(received == 1);
    auto new_process = start(8013, 6);
    loop.run_for(ms(100));
    send(*new_process, "a", 2);
    CHECK(received == 2);
    send(*old_process, "a", 3);
    CHECK(received == 2);
    send(a, "b", 4);  // over the connection of the new process, since a's own one leads to the old address
    CHECK(reached[6] == 4);
    CHECK_FALSE(a.update_peer("b", test_address(8012), 5));  // an old list
    send(a, "b", 5);
    CHECK(reached[6] == 5);
    a.update_peer("b", test_address(8013), 6);
    new_process->remove_peer("a");
    loop.run_for(ms(200));
    send(a, "b", 6);
    CHECK(reached[6] == 6);
    CHECK(reached[5] == 0);
}

// Guards against a caller that follows its peers by this count and misses that one was connected, lost or replaced.
TEST_CASE("every change of a peer's connection raises the count of changes") {
    event_loop loop;
    metric_registry metrics;
    auto ignore = [](const wire::envelope_t&) {};
    peer_transport a(loop, "test", "a", test_address(8014), metrics, ignore);
    bool was_connected = false;
    std::uint64_t counted = 0;
    int seen = 0;
    int missed = 0;
    auto run_for = [&](int milliseconds) {
        for (int i = 0; i < milliseconds; ++i) {
            loop.run_for(ms(1));
            bool changed = a.connected("b") != std::exchange(was_connected, a.connected("b"));
            bool told = a.connection_changes() != std::exchange(counted, a.connection_changes());
            seen += changed ? 1 : 0;
            missed += changed && !told ? 1 : 0;
        }
    };
    auto start = [&](std::uint16_t port, std::uint64_t incarnation) {
        auto b = std::make_unique<peer_transport>(loop, "test", "b", test_address(port), metrics, ignore);
        b->set_incarnation(incarnation);
        b->add_peer("a", test_address(8014));
        return b;
    };
    auto old_process = start(8015, 5);
    run_for(50);
    CHECK_FALSE(was_connected);  // nothing tells a who connected
    old_process->send("a", wire::config_ack_t{});
    run_for(50);
    CHECK(was_connected);
    a.add_peer("b", test_address(8015));
    CHECK_FALSE(a.update_peer("b", test_address(8015), 5));
    run_for(50);
    old_process->remove_peer("a");  // the connection of a remains
    run_for(50);
    CHECK(was_connected);
    a.send("b", wire::config_ack_t{});  // tells the old process whose connection it is
    run_for(50);
    old_process->send("a", wire::config_ack_t{});  // its incarnation becomes known on that connection
    run_for(50);
    std::uint64_t before = a.connection_changes();
    for (int i = 0; i < 20; ++i) {
        CHECK(a.send("b", wire::config_ack_t{}));
        old_process->send("a", wire::config_ack_t{});
        run_for(5);
    }
    CHECK(a.connection_changes() == before);
    old_process.reset();
    run_for(50);
    CHECK_FALSE(was_connected);
    auto new_process = start(8016, 6);
    run_for(50);
    new_process->send("a", wire::config_ack_t{});
    run_for(50);
    CHECK(was_connected);
    CHECK(a.update_peer("b", test_address(8017), 7));  // nobody listens there, and incarnation 6 counts no longer
    run_for(1);
    CHECK_FALSE(was_connected);
    CHECK(a.update_peer("b", test_address(8016), 8));
    run_for(700);
    CHECK(was_connected);
    a.remove_peer("b");
    run_for(50);
    CHECK_FALSE(was_connected);
    CHECK(seen == 6);
    CHECK(missed == 0);
}

// A peer that reads only what the test reads. Closes its sockets at its end.
class raw_listener {
public:
    explicit raw_listener(const ip_address& address) {
        sockaddr_storage storage{};
        socklen_t length = address.to_sockaddr(storage);
        REQUIRE(::bind(this->listener, reinterpret_cast<sockaddr*>(&storage), length) == 0);
        REQUIRE(::listen(this->listener, 1) == 0);
    }

    ~raw_listener() {
        ::close(this->accepted);
        ::close(this->listener);
    }

    raw_listener(const raw_listener&) = delete;
    raw_listener& operator=(const raw_listener&) = delete;

    int accept() {
        this->accepted = ::accept(this->listener, nullptr, nullptr);
        REQUIRE(this->accepted >= 0);
        return this->accepted;
    }

private:
    int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    int accepted = -1;
};

// Guards against taking a busy reader for a dead one: a process that reads a large configuration leaves its buffers
// full for seconds. The connection ended after 1.5 s, so that such a configuration never arrived.
TEST_CASE("a peer that does not read for seconds keeps its connection") {
    constexpr std::size_t parts = 16;
    constexpr std::size_t part_bytes = 1'000'000;
    event_loop loop;
    metric_registry metrics;
    peer_transport a(loop, "test", "a", test_address(8022), metrics, [](const wire::envelope_t&) {});
    raw_listener b(test_address(8023));
    a.add_peer("b", test_address(8023));
    loop.run_for(ms(50));
    int reader = b.accept();
    for (std::size_t i = 0; i < parts; ++i) {
        wire::config_part_t part;
        part.data.assign(part_bytes, 'x');
        REQUIRE(a.send("b", std::move(part)));
    }
    loop.run_for(ms(4000));
    std::vector<char> buffer(1'000'000);
    std::size_t received = 0;
    for (int step = 0; step < 2000 && received < parts * part_bytes; ++step) {
        loop.run_for(ms(1));
        ssize_t count = ::recv(reader, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count == 0 || (count < 0 && errno != EAGAIN)) {
            break;
        }
        received += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    CHECK(received >= parts * part_bytes);
    CHECK(a.connected("b"));
}

// A write from a timer right after a completed partial write left h2o polling a socket without a write: it aborted the
// process ("write_pending") when the socket became writable again. Seen on a leader that sent 18 MB to a new member.
// The reader takes small steps, so that the partial write ends while the socket is still too full to count as writable.
TEST_CASE("writes from timers to a slow reader do not abort the process") {
    event_loop loop;
    metric_registry metrics;
    peer_transport a(loop, "test", "a", test_address(8020), metrics, [](const wire::envelope_t&) {});
    raw_listener b(test_address(8021));
    a.add_peer("b", test_address(8021));
    loop.run_for(ms(50));
    int reader = b.accept();
    std::size_t sent = 0;
    loop.every(ms(10), [&] {
        wire::config_part_t part;
        part.data.assign(sent % 20 == 0 ? 8'000'000 : 200, 'x');
        sent += a.send("b", std::move(part)) ? 1 : 0;
    });
    std::vector<char> buffer(100'000);
    for (int step = 0; step < 600; ++step) {
        loop.run_for(ms(2));
        CHECK(::recv(reader, buffer.data(), buffer.size(), MSG_DONTWAIT) != 0);
    }
    std::string text = metrics.text();
    CHECK(text.find("persimmongrade_peer_sent_messages_total{message=\"config_part\"} " + std::to_string(sent) +
                    "\n") != std::string::npos);
    CHECK(text.find("persimmongrade_peer_sent_bytes_total{message=\"config_part\"} ") != std::string::npos);
    CHECK(text.find("process_cpu_seconds_total 0\n") == std::string::npos);
    CHECK(text.find("process_cpu_seconds_total ") != std::string::npos);
}
