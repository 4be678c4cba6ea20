// Tests pipelined requests of one client connection: which run side by side, the order of their answers, and what
// ends the connection.

#include <catch2/catch.hpp>

#include <map>

#include "../support/raw_connection.h"
#include "front_server.h"

using namespace persimmongrade;

namespace {

// Holds each request until the test answers it. GET and HEAD may overlap, except below /once.
struct pipelined_front {
    event_loop loop;
    ip_address address;
    std::vector<std::string> started;  // paths, in the order in which they were passed on
    std::map<std::string, std::shared_ptr<front_exchange>> held;
    std::vector<std::string> disconnected;
    bool responding = false;
    bool disconnected_while_responding = false;
    front_server server;

    raw_connection client;

    pipelined_front(std::uint16_t port, const std::string& text, const front_options& options = small_limits())
        : address(raw_connection::own_address(port)),
          server(this->loop, this->address, options,
                 [this](front_request request, std::shared_ptr<front_exchange> exchange) {
                     std::string path = request.head.target;
                     this->started.push_back(path);
                     exchange->on_client_disconnect([this, path] {
                         this->disconnected.push_back(path);
                         this->disconnected_while_responding |= this->responding;
                     });
                     this->held[path] = std::move(exchange);
                 }),
          client(this->address) {
        this->client.send(text);
        this->run();
    }

    static front_options small_limits() {
        front_options options;
        options.limits = {1024, 100, ms(200), ms(400)};
        options.may_overlap = [](const message_head& head) {
            return (head.method == "GET" || head.method == "HEAD") && !head.target.starts_with("/once");
        };
        return options;
    }

    void run(duration time = ms(50)) { this->loop.run_for(time); }

    void answer(const std::string& path, front_answer given) {
        this->responding = true;
        this->held.at(path)->respond(std::move(given));
        this->responding = false;
        this->run();
    }
    void answer(const std::string& path) { this->answer(path, {200, {}, "<" + path + ">"}); }
};

std::string request(const std::string& path, const std::string& method = "GET", const std::string& header = "") {
    return method + " " + path + " HTTP/1.1\r\nHost: x\r\n" + header + "\r\n";
}

using paths = std::vector<std::string>;

}  // namespace

// Guards against answers in the order in which they are ready: the client would match them to other requests.
TEST_CASE("overlapping requests run side by side, and their answers keep the order of the requests") {
    pipelined_front entry(8800, request("/a") + request("/b", "HEAD") + request("/c"));
    raw_connection& client = entry.client;
    CHECK(entry.started == paths{"/a", "/b", "/c"});
    entry.answer("/c");
    entry.answer("/b");
    client.receive();
    CHECK(client.received.empty());
    entry.answer("/a");
    client.receive();
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
    CHECK(client.received == head + "</a>" + head + head + "</c>");
    CHECK(entry.server.open_requests() == 0);
}

// Guards against running a request that its client sends again after a closing answer before it.
TEST_CASE("a request that may not overlap waits for the answers before it") {
    const std::string post = request("/post", "POST", "Content-Length: 2\r\n") + "hi";
    pipelined_front entry(8801, request("/a") + request("/once") + post + request("/late"));
    raw_connection& client = entry.client;
    entry.run(ms(500));  // beyond the time limits of a head, which don't run during the wait
    CHECK(entry.started == paths{"/a"});
    entry.answer("/a");
    CHECK(entry.started == paths{"/a", "/once"});
    entry.answer("/once");
    CHECK(entry.started == paths{"/a", "/once", "/post"});
    entry.answer("/post");
    entry.answer("/late");
    CHECK_FALSE(client.receive());
    CHECK(client.received.find("</once>") < client.received.find("</post>"));
    CHECK(client.received.ends_with("</late>"));
}

// Guards against a read that misses the change before it: only safe requests run side by side (RFC 9112, 9.3.2).
TEST_CASE("no request runs beside one with an unsafe method") {
    pipelined_front entry(8802, request("/post", "POST") + request("/a"));
    CHECK(entry.started == paths{"/post"});
    entry.answer("/post");
    CHECK(entry.started == paths{"/post", "/a"});
}

// Guards against running a request that its client counts as not read, and sends again.
TEST_CASE("a request behind Connection: close is not passed on") {
    pipelined_front entry(8803, request("/a") + request("/b", "GET", "Connection: close\r\n") + request("/c"));
    CHECK(entry.started == paths{"/a", "/b"});
    entry.answer("/b");
    entry.answer("/a");
    CHECK(entry.client.wait_closed(entry.loop, ms(1500)));
    CHECK(entry.client.received.ends_with("</b>"));
    CHECK(entry.started.size() == 2);
}

// Guards against a 400 that the client takes for the answer to an earlier request.
TEST_CASE("a malformed request gets its 400 after the answers to the open requests") {
    pipelined_front entry(8804, request("/a") + request("/b") + "GET /c HTTP/1.1\r\n\r\n" + request("/d"));
    raw_connection& client = entry.client;
    entry.answer("/b");
    client.receive();
    CHECK(client.received.empty());
    entry.answer("/a");
    CHECK(client.wait_closed(entry.loop, ms(1500)));
    std::size_t rejected = client.received.find("HTTP/1.1 400");
    CHECK(rejected != std::string::npos);
    CHECK(client.received.find("</a>") < client.received.find("</b>"));
    CHECK(client.received.find("</b>") < rejected);
    CHECK(entry.started == paths{"/a", "/b"});
}

// Guards against work for clients that are gone: a connection whose reading has stopped does not report its end.
TEST_CASE("a client that leaves cancels all its open requests, also while it is not read") {
    std::size_t unread = GENERATE(0U, 100000U);  // above 65,536 bytes the connection is not read
    pipelined_front entry(8805, request("/a") + request("/b") + request("/once") + std::string(unread, 'x'));
    CHECK(entry.started == paths{"/a", "/b"});
    CHECK(entry.disconnected.empty());
    entry.client.end_of_stream();
    entry.run(ms(350));
    CHECK(entry.disconnected == paths{"/a", "/b"});
    CHECK(entry.server.open_requests() == 0);
    CHECK(entry.server.open_connections() == 0);
    entry.answer("/a");  // has no effect
}

// Guards against a stop that is delayed by further requests, or cuts off those that are open.
TEST_CASE("during a stop the last open request closes, and none is started beside it") {
    pipelined_front entry(8806, request("/a") + request("/b"));
    raw_connection& client = entry.client;
    entry.server.close_after_answer();
    client.send(request("/c"));
    entry.run();
    entry.answer("/a");
    CHECK_FALSE(client.receive());
    CHECK(client.received.find("Connection: close") == std::string::npos);
    entry.answer("/b");
    CHECK(client.wait_closed(entry.loop, ms(1500)));
    CHECK(client.received.ends_with("Connection: close\r\n\r\n</b>"));
    CHECK(entry.started == paths{"/a", "/b"});
}

// Guards against a head that never times out because it once waited for room.
TEST_CASE("at most 32 requests are open, and an incomplete one behind them times out after its wait") {
    std::string text;
    for (int i = 0; i < 33; ++i) {
        text += request("/" + std::to_string(i));
    }
    pipelined_front entry(8807, text + "GET /incomplete HTTP/1.1\r\nA: ");
    CHECK(entry.started.size() == 32);
    entry.answer("/5");
    CHECK(entry.started.size() == 32);
    entry.answer("/0");
    CHECK(entry.started.size() == 33);
    for (int i = 1; i < 33; ++i) {
        entry.held.at("/" + std::to_string(i))->respond({200, {}, "x"});
    }
    CHECK(entry.client.wait_closed(entry.loop, ms(2000)));
    CHECK(entry.client.received.find("HTTP/1.1 408") != std::string::npos);
}

// Guards against an answer that keeps the time limit of a slowly sent head from running out.
TEST_CASE("the time limit of a head is not extended by the answers before it") {
    std::string text;
    for (int i = 0; i < 12; ++i) {
        text += request("/" + std::to_string(i));
    }
    pipelined_front entry(8808, text + "GET /incomplete HTTP/1.1\r\nA: ");
    for (int i = 0; i < 12; ++i) {  // one each 50 ms: 600 ms, for a limit of 200 ms checked each 250 ms
        entry.run();
        REQUIRE(entry.started.size() == 12);
        entry.client.send("x");
        entry.held.at("/" + std::to_string(i))->respond({200, {}, ""});
    }
    CHECK(entry.client.wait_closed(entry.loop, ms(100)));
    CHECK(entry.client.received.find("HTTP/1.1 408") != std::string::npos);
}

// Guards against memory filled by slow clients, and against callbacks that run inside a handler's call of respond().
TEST_CASE("a client that does not read is closed above the buffer limit, while others go on") {
    front_options options = pipelined_front::small_limits();
    options.limits.idle_timeout = ms(5000);
    options.max_buffered_bytes = 12U << 20U;
    pipelined_front entry(8809, request("/s1") + request("/s2") + request("/s3") + request("/s4"), options);
    raw_connection other(entry.address);
    other.send(request("/o1") + request("/o2"));
    entry.run();
    REQUIRE(entry.started.size() == 6);
    entry.answer("/o2");
    for (const char* path : {"/s2", "/s3", "/s1"}) {
        entry.answer(path, {200, {}, std::string(5U << 20U, 'a')});
    }
    CHECK(entry.server.open_connections() == 1);
    CHECK(entry.disconnected == paths{"/s4"});
    CHECK_FALSE(entry.disconnected_while_responding);
    entry.answer("/o1");
    CHECK_FALSE(other.receive());
    CHECK(other.received.ends_with("</o2>"));
}

// Guards against bytes that the client takes for the next answer.
TEST_CASE("answers without a body are written without one") {
    pipelined_front entry(8810, request("/a") + request("/b"));
    entry.answer("/a", {204, {}, "dropped"});
    entry.answer("/b");
    entry.client.receive();
    CHECK(entry.client.received.find("dropped") == std::string::npos);
    CHECK(entry.client.received.ends_with("</b>"));
}

// Guards against a head that is never read completely: no answer is due after which reading would go on.
TEST_CASE("a header that is larger than the bytes that may wait is read when its limit allows it") {
    front_options options = pipelined_front::small_limits();
    options.limits.max_header_bytes = 200000;
    const std::string text = request("/a", "GET", "A: " + std::string(150000, 'a') + "\r\n");
    pipelined_front entry(8811, text.substr(0, 100000), options);
    entry.client.send(text.substr(100000));
    entry.run();
    CHECK(entry.started == paths{"/a"});
}
