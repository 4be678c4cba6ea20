// Guards the HTTP server against requests that stay incomplete or cannot be parsed: h2o closes such connections without
// an answer, and measures its timeout from the last answer instead of from the first byte.

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include "../support/raw_connection.h"
#include "persimmongrade/http_server.h"

using namespace persimmongrade;

namespace {

constexpr duration request_timeout = ms(400);  // answers take a few ms: the rest is allowance for a busy machine
constexpr duration idle_timeout = ms(800);

struct server_fixture {
    event_loop loop;
    ip_address address = raw_connection::own_address(8100);
    std::size_t handled = 0;
    http_server server{loop, address,
                       http_server_options{.max_body_bytes = 100000,
                                           .request_timeout = request_timeout,
                                           .idle_timeout = idle_timeout,
                                           .rejection = {}},
                       [this](const http_request& request, const auto& exchange) {
                           ++this->handled;
                           exchange->respond({200, {}, request.path + request.body});
                       }};

    ~server_fixture() { this->loop.run_for(ms(50)); }
};

const std::string whole = "GET /a HTTP/1.1\r\nhost: a\r\n\r\n";

}  // namespace

TEST_CASE("an incomplete header or body gets 408 after the timeout and is closed") {
    server_fixture run;
    for (const std::string& part :
         {std::string("G"), std::string("GET /a HTTP/1.1\r\nhost:"), std::string("POST / HTTP/1.1\r\nhost: a\r\n"),
          std::string("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf"),
          std::string("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab"), whole + "GET /b"}) {
        INFO(part);
        std::uint64_t rejected = run.server.rejected_requests();
        raw_connection caller(run.address);
        caller.send(part);
        time_point sent = run.loop.now();
        REQUIRE(caller.wait_closed(run.loop, request_timeout * 5));
        CHECK(run.loop.now() - sent >= request_timeout);
        std::string answer = caller.received;
        if (part.starts_with(whole)) {
            CHECK(answer.starts_with("HTTP/1.1 200"));
            answer.erase(0, answer.find("HTTP/1.1 4"));
        }
        CHECK(is_error(answer, 408, "request_incomplete"));
        CHECK(run.server.rejected_requests() == rejected + 1);
        CHECK(run.server.open_connections() == 0);
    }
    CHECK(run.handled == 1);
}

TEST_CASE("bytes that arrive one by one do not extend the time of a request") {
    server_fixture run;
    raw_connection caller(run.address);
    time_point start = run.loop.now();
    for (std::size_t i = 0; !caller.receive() && run.loop.now() - start < request_timeout * 5; ++i) {
        caller.send(i == 0 ? "GET /" : "a");
        run.loop.run_for(ms(20));
    }
    CHECK(is_error(caller.received, 408, "request_incomplete"));
    CHECK(run.server.open_connections() == 0);
}

TEST_CASE("the time of a request counts from its first byte, not from the previous answer") {
    server_fixture run;
    raw_connection caller(run.address);
    caller.send(whole);
    run.loop.run_for(ms(600));  // idle for longer than the timeout of a request
    caller.send("GET /late HTTP/1.1\r\n");
    run.loop.run_for(ms(200));
    caller.send("host: a\r\n\r\n");
    run.loop.run_for(ms(100));
    caller.receive();
    CHECK(caller.received.find("/late") != std::string::npos);
    REQUIRE(caller.wait_closed(run.loop, idle_timeout * 5));  // idle again
    CHECK(caller.received.find("HTTP/1.1 4") == std::string::npos);
    CHECK(run.server.rejected_requests() == 0);
}

TEST_CASE("a request that cannot be parsed gets 400 at once and is closed") {
    server_fixture run;
    std::string many_headers;
    for (int i = 0; i < 101; ++i) {
        many_headers += "x-" + std::to_string(i) + ": 1\r\n";
    }
    for (const std::string& bytes :
         {std::string("\x01garbage\r\n\r\n"), std::string("GET /a HTTP/9.x\r\n\r\n"), std::string("GET\r\n\r\n"),
          std::string("GET /a HTTP/1.1\r\nbad header\r\n\r\n"), std::string("GET /a HTTP/1.1\r\n: none\r\n\r\n"),
          std::string(200000, '\x02'), std::string("\x16\x03\x01", 3), "GET /a HTTP/1.1\r\n" + many_headers + "\r\n",
          std::string("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), whole + "\x01\r\n\r\n"}) {
        INFO(bytes.substr(0, 60));
        std::uint64_t rejected = run.server.rejected_requests();
        raw_connection caller(run.address);
        caller.send(bytes);
        REQUIRE(caller.wait_closed(run.loop, request_timeout / 2));
        std::size_t at = bytes.starts_with(whole) ? caller.received.find("HTTP/1.1 4") : 0;
        REQUIRE(at != std::string::npos);
        CHECK(is_error(caller.received.substr(at), 400, "bad_request"));
        CHECK(run.server.rejected_requests() == rejected + 1);
        CHECK(run.server.open_connections() == 0);
    }
}

TEST_CASE("a header beyond the limit gets 413 at once and is closed") {
    server_fixture run;
    raw_connection caller(run.address);
    caller.send("GET /a HTTP/1.1\r\nx-long: ");
    for (int i = 0; i < 10 && !caller.receive(); ++i) {
        caller.send(std::string(10000, 'a'));
        run.loop.run_for(ms(1));
    }
    REQUIRE(caller.wait_closed(run.loop, request_timeout / 2));
    INFO(caller.received);
    CHECK(is_error(caller.received, 413, "request_too_large"));
    CHECK(run.server.rejected_requests() == 1);
}

TEST_CASE("a caller that ends its connection is refused for part of a request only") {
    server_fixture run;
    auto refused = [&](const std::string& bytes) {
        std::uint64_t before = run.server.rejected_requests();
        raw_connection caller(run.address);
        caller.send(bytes);
        caller.end_of_stream();
        REQUIRE(caller.wait_closed(run.loop, request_timeout));
        return run.server.rejected_requests() - before;
    };
    CHECK(refused("") == 0);
    CHECK(refused(whole) == 0);
    CHECK(refused("GET /a HT") == 1);
    CHECK(refused("\x01\x02") == 1);
    raw_connection reset(run.address);
    reset.send(whole);
    run.loop.run_for(ms(50));
    reset.reset();
    run.loop.run_for(ms(50));
    CHECK(run.server.open_connections() == 0);
    CHECK(run.server.rejected_requests() == 2);
}

// Bytes after a request are held back from h2o until it has been answered.
TEST_CASE("requests sent in one piece are answered in order") {
    server_fixture run;
    raw_connection caller(run.address);
    std::string chunked = "POST /c HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n";
    std::string sized = "POST /d HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody";
    caller.send(whole + chunked + sized + "GET /e HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    REQUIRE(caller.wait_closed(run.loop, request_timeout / 2));
    std::size_t at = 0;
    for (const std::string body : {"\r\n\r\n/a", "\r\n\r\n/cxyz", "\r\n\r\n/dbody", "\r\n\r\n/e"}) {
        INFO(body);
        at = caller.received.find(body, at);
        REQUIRE(at != std::string::npos);
    }
    CHECK(run.handled == 4);
    CHECK(run.server.rejected_requests() == 0);
}

TEST_CASE("a body sent after 100 Continue is read") {
    server_fixture run;
    raw_connection caller(run.address);
    caller.send("POST /x HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\n");
    run.loop.run_for(ms(50));
    caller.receive();
    CHECK(caller.received.starts_with("HTTP/1.1 100 "));
    caller.send("body");
    run.loop.run_for(ms(50));
    caller.receive();
    CHECK(caller.received.find("/xbody") != std::string::npos);
    CHECK(run.server.rejected_requests() == 0);
}

// Guards against callers whose host died: their connections and memory must not add up or delay others.
TEST_CASE("200 incomplete requests are all ended while others are served") {
    server_fixture run;
    std::vector<std::unique_ptr<raw_connection>> slow;
    std::string half = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 90000\r\n\r\n" + std::string(45000, 'x');
    for (std::size_t i = 0; i < 200; ++i) {
        slow.push_back(std::make_unique<raw_connection>(run.address));
        slow.back()->send(i % 2 == 0 ? half : "GET /half");
        run.loop.run_for(ms(1));
    }
    time_point sent = run.loop.now();
    std::size_t served = 0;
    while (run.loop.now() - sent < request_timeout) {
        raw_connection caller(run.address);
        caller.send("GET /quick HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        REQUIRE(caller.wait_closed(run.loop, request_timeout));
        CHECK(caller.received.starts_with("HTTP/1.1 200"));
        ++served;
    }
    for (const auto& caller : slow) {
        REQUIRE(caller->wait_closed(run.loop, request_timeout * 5));
        CHECK(is_error(caller->received, 408, "request_incomplete"));
    }
    CHECK(served > 0);
    CHECK(run.handled == served);
    CHECK(run.server.rejected_requests() == 200);
    CHECK(run.server.open_connections() == 0);
}

TEST_CASE("any damaged request is answered once and its connection ended") {
    server_fixture run;
    const std::string request = "POST /a?b=c HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\nx-y: z\r\n\r\nabc";
    rc::prop("one replaced byte", [&] {
        std::string bytes = request;
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = static_cast<char>(*rc::gen::inRange(0, 256));
        raw_connection caller(run.address);
        caller.send(bytes);
        caller.end_of_stream();
        RC_ASSERT(caller.wait_closed(run.loop, request_timeout * 5));
        RC_ASSERT(caller.received.starts_with("HTTP/1.1 200") || is_error(caller.received, 400, "bad_request") ||
                  is_error(caller.received, 408, "request_incomplete"));
        RC_ASSERT(run.server.open_connections() == 0u);
    });
}

// Guards against h2o's own read callback after an answer that a timer sent: the next request on the connection would
// bypass the checks, and stay unanswered or get an answer of h2o's own.
TEST_CASE("a connection is checked as before after answers that timers sent") {
    event_loop loop;
    std::size_t handled = 0;
    http_server server(loop, raw_connection::own_address(8101),
                       http_server_options{.max_body_bytes = 1000, .rejection = {}},
                       [&](const http_request&, const auto& exchange) {
                           ++handled;
                           loop.after(ms(3), [exchange] { exchange->respond({200, {}, "body"}); });
                       });
    raw_connection caller(raw_connection::own_address(8101));
    for (std::size_t sent = 1; sent <= 20; ++sent) {
        caller.received.clear();
        caller.send(whole);
        for (time_point end = loop.now() + ms(2000); caller.received.empty() && loop.now() < end;) {
            loop.run_for(ms(1));
            REQUIRE_FALSE(caller.receive());
        }
        CHECK(caller.received.starts_with("HTTP/1.1 200"));
        REQUIRE(handled == sent);
    }
    caller.received.clear();
    caller.send("no request\r\n\r\n");
    REQUIRE(caller.wait_closed(loop, ms(2000)));
    CHECK(is_error(caller.received, 400, "bad_request"));
}
