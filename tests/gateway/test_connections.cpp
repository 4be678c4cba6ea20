// Tests both sides of a gateway over real sockets: the answers to malformed, pipelined or abandoned requests of
// clients, and the handling of target answers that are truncated, malformed, duplicated or belong to another request.

#include <catch2/catch.hpp>

#include <sstream>

#include "../support/endless_target.h"
#include "../support/invalid_headers.h"
#include "../support/raw_connection.h"
#include "../support/scripted_target.h"
#include "front_server.h"
#include "target_client.h"

using namespace persimmongrade;

namespace {

std::string answer_text(const std::string& attempt, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nAttempt: " + attempt + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

target_call call_to(const ip_address& address, const std::string& attempt) {
    target_call call;
    call.target = "t";
    call.address = address;
    call.text = "GET / HTTP/1.1\r\nHost: x\r\nAttempt: " + attempt + "\r\n\r\n";
    call.attempt_header = "attempt";
    call.attempt = attempt;
    return call;
}

// A call whose request doesn't fit into the buffers of the sockets.
target_call upload_to(const ip_address& address, const std::string& attempt) {
    constexpr std::size_t body_bytes = 32U << 20U;
    target_call call = call_to(address, attempt);
    call.text = "POST / HTTP/1.1\r\nHost: x\r\nAttempt: " + attempt +
                "\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'u');
    return call;
}

target_answer ask(event_loop& loop, target_client& client, target_call call) {
    std::optional<target_answer> got;
    client.send(std::move(call), [&](target_answer answer) {
        got = std::move(answer);
        loop.stop();
    });
    loop.run_for(ms(2000));
    REQUIRE(got.has_value());
    return std::move(*got);
}

target_answer ask(event_loop& loop, target_client& client, const ip_address& address, const std::string& attempt) {
    return ask(loop, client, call_to(address, attempt));
}

}  // namespace

// ---- Connections to targets ----

TEST_CASE("a connection is reused only when no bytes follow its answer") {
    event_loop loop;
    ip_address address = raw_connection::own_address(8601);
    scripted_target target(address, {answer_text("a", "one"), answer_text("b", "two"),
                                     answer_text("c", "three") + "more", answer_text("d", "four")});
    target_client client(loop, {});
    CHECK(ask(loop, client, address, "a").body == "one");
    CHECK(ask(loop, client, address, "b").body == "two");
    CHECK(target.connections == 1);
    auto third = ask(loop, client, address, "c");
    CHECK(third.reused);
    CHECK(third.body == "three");
    CHECK_FALSE(ask(loop, client, address, "d").reused);
    CHECK(target.connections == 2);
}

TEST_CASE("an answer to another attempt is skipped, and its connection is not reused") {
    event_loop loop;
    ip_address address = raw_connection::own_address(8602);
    scripted_target target(address,
                           {answer_text("old", "not mine") + answer_text("a", "mine"), answer_text("b", "two")});
    target_client client(loop, {});
    auto first = ask(loop, client, address, "a");
    CHECK(first.status == target_call_status::answered);
    CHECK(first.body == "mine");
    CHECK(ask(loop, client, address, "b").body == "two");
    CHECK(target.connections == 2);
}

TEST_CASE("truncated, reset and malformed answers are reported as lost") {
    event_loop loop;
    std::uint16_t port = 8610;
    for (const std::string& broken :
         {std::string("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfive<close>"), std::string("<close>"),
          std::string("<reset>"), std::string("HTTP/1.1 200 OK\r\n\r\nno length<reset>"),
          std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n<close>"),
          std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"),
          std::string("\x01\x02 noise\r\n\r\n"),
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc")}) {
        ip_address address = raw_connection::own_address(port++);
        scripted_target target(address, {broken});
        target_client client(loop, {});
        CHECK(ask(loop, client, address, "a").status == target_call_status::lost);
    }
}

// Guards against status 000 reaching a client, or being skipped as an interim answer.
TEST_CASE("an answer with an invalid status is reported as lost, and its connection is not reused") {
    auto status = GENERATE(as<std::string>(), "000", "001", "099", "600", "999", "2x0", "-10", "20", "2000", "101");
    const std::string head = "HTTP/1.1 " + status + " X\r\nAttempt: a\r\n";
    const std::vector<std::string> answers = {
        head + "Content-Length: 0\r\n\r\n",
        head + "Content-Length: 2\r\n\r\nab",
        head + "\r\n" + scripted_target::close_now,
        head + "\r\n" + answer_text("a", "next"),
        "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 0\r\n\r\n",
    };
    std::size_t i = GENERATE(range(0, 5));
    CAPTURE(answers[i]);
    event_loop loop;
    ip_address address = raw_connection::own_address(8660);
    scripted_target target(address, {answers[i], answer_text("a", "whole")});
    target_client client(loop, {});
    CHECK(ask(loop, client, address, "a").status == target_call_status::lost);
    CHECK(ask(loop, client, address, "a").body == "whole");
    CHECK(target.connections == 2);
}

TEST_CASE("interim answers other than 101 are skipped, and the lowest and highest status are answered") {
    event_loop loop;
    std::uint16_t port = 8680;
    for (const char* status : {"100", "102", "103", "199"}) {
        CAPTURE(status);
        ip_address address = raw_connection::own_address(port++);
        scripted_target target(address, {std::string("HTTP/1.1 ") + status + " X\r\n\r\n" + answer_text("a", "final"),
                                         "HTTP/1.1 599 X\r\nAttempt: a\r\nContent-Length: 4\r\n\r\nlast"});
        target_client client(loop, {});
        CHECK(ask(loop, client, address, "a").body == "final");
        auto highest = ask(loop, client, address, "a");
        CHECK(highest.status == target_call_status::answered);
        CHECK(highest.head.status == 599);
        CHECK(target.connections == 1);
    }
}

// Reported by operators of similar systems: clients got a 200 with an empty or short body, framed as whole.
TEST_CASE("an answer that ends early, at any byte, by a close or a reset, is never taken for a whole one") {
    struct framing {
        std::string head;
        std::string body;
        bool ends_with_close = false;  // once the head is whole, a close ends the answer properly
    };
    const std::string status = "HTTP/1.1 200 OK\r\nAttempt: a\r\n";
    const std::vector<framing> framings = {
        {status + "Content-Length: 5\r\n\r\n", "hello"},
        {status + "Transfer-Encoding: chunked\r\n\r\n", "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"},
        {status + "\r\n", "hello", true},
        {"HTTP/1.1 100 Continue\r\n\r\n" + status + "Content-Length: 5\r\n\r\n", "hello"},
    };
    event_loop loop;
    std::uint16_t port = 8700;
    for (const framing& kind : framings) {
        const std::string whole = kind.head + kind.body;
        for (const char* ending : {scripted_target::close_now, scripted_target::reset_now}) {
            bool closes_properly = kind.ends_with_close && ending == scripted_target::close_now;
            std::size_t cuts = closes_properly ? kind.head.size() : whole.size();
            std::vector<std::string> answers;
            for (std::size_t cut = 0; cut < cuts; ++cut) {
                answers.push_back(whole.substr(0, cut) + ending);
            }
            ip_address address = raw_connection::own_address(port++);
            scripted_target target(address, answers);
            target_client client(loop, {});
            for (std::size_t cut = 0; cut < cuts; ++cut) {
                CAPTURE(kind.head, ending, cut);
                CHECK(ask(loop, client, address, "a").status == target_call_status::lost);
            }
        }
    }
}

// Clients got the part that had arrived as a whole answer: the failed write takes the reset from the socket, and the
// read after it returns an end of file.
TEST_CASE("an answer that is reset while its request is being written is lost") {
    event_loop loop;
    std::uint16_t port = 8720;
    const std::string head = "HTTP/1.1 200 OK\r\nAttempt: a\r\n";
    for (const std::string& part :
         {std::string(), head, head + "\r\n", head + "\r\npart", head + "Content-Length: 5\r\n\r\npart",
          head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"}) {
        CAPTURE(part);
        ip_address address = raw_connection::own_address(port++);
        scripted_target target(address, {part + scripted_target::reset_later, answer_text("a", "kept"),
                                         part + scripted_target::reset_later, answer_text("a", "whole")});
        target_client client(loop, {});
        CHECK(ask(loop, client, upload_to(address, "a")).status == target_call_status::lost);
        CHECK(ask(loop, client, address, "a").body == "kept");
        target_answer second = ask(loop, client, upload_to(address, "a"));
        CHECK(second.reused);
        CHECK(second.status == target_call_status::lost);
        CHECK(ask(loop, client, address, "a").body == "whole");
        CHECK(target.connections == 3);
    }
}

TEST_CASE("an answer that ends before its request is written is answered when it is whole") {
    event_loop loop;
    std::uint16_t port = 8730;
    const std::string head = "HTTP/1.1 200 OK\r\nAttempt: a\r\n";
    for (const std::string& text : {head + "\r\nwhole", head + "Content-Length: 5\r\n\r\nwhole",
                                    head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"}) {
        CAPTURE(text);
        ip_address address = raw_connection::own_address(port++);
        scripted_target target(address, {text + scripted_target::half_close});
        target_client client(loop, {});
        auto answer = ask(loop, client, upload_to(address, "a"));
        CHECK(answer.status == target_call_status::answered);
        CHECK(answer.body == "whole");
    }
}

// Guards against such a line reaching a client, and against framing headers that are not recognized.
TEST_CASE("an answer with an invalid header name is reported as lost, and its connection is not reused") {
    const std::string line = GENERATE(from_range(invalid_header_lines()));
    const std::string head = "HTTP/1.1 200 OK\r\nAttempt: a\r\n";
    const std::vector<std::string> answers = {
        head + line + "\r\nContent-Length: 5\r\n\r\nwrong",
        head + "Content-Length: 5\r\n" + line + "\r\n\r\nwrong",
        "HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n" + scripted_target::close_now,
        "HTTP/1.1 100 Continue\r\n" + line + "\r\n\r\n" + answer_text("a", "wrong"),
    };
    std::size_t i = GENERATE(range(0, 4));
    CAPTURE(answers[i]);
    event_loop loop;
    ip_address address = raw_connection::own_address(8740);
    scripted_target target(address, {answers[i], answer_text("a", "whole")});
    target_client client(loop, {});
    CHECK(ask(loop, client, address, "a").status == target_call_status::lost);
    CHECK(ask(loop, client, address, "a").body == "whole");
    CHECK(target.connections == 2);
}

TEST_CASE("an answer without end is given up, in its head, its framing or its body") {
    event_loop loop;
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> answers = {
        {"HTTP/1.1 200 ", "O"},
        {head + "X: ", "x"},
        {head, "A: b\r\n"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {head + "\r\n", "body without a length "},
        {chunked, "5\r\nhello\r\n"},
        {chunked + "5;", "extension"},
        {chunked, "0000000000000000"},
        {chunked + "0\r\n", "Trailer: x\r\n"},
    };
    target_client_options options;
    options.max_buffered_bytes = 1U << 20U;
    std::uint16_t port = 8650;
    for (const auto& [beginning, piece] : answers) {
        INFO(beginning << "[" << piece << "]...");
        ip_address address = raw_connection::own_address(port++);
        endless_target target(address, beginning, piece);
        target_client client(loop, options);
        CHECK(ask(loop, client, address, "a").status == target_call_status::lost);
        loop.run_for(ms(50));
        constexpr std::size_t socket_buffers = 16U << 20U;
        CHECK(target.sent < options.max_buffered_bytes + socket_buffers);
    }
}

TEST_CASE("an answer without a length ends with its connection, and an interim answer is skipped") {
    event_loop loop;
    ip_address address = raw_connection::own_address(8620);
    scripted_target target(address, {"HTTP/1.1 200 OK\r\n\r\nall of it<close>",
                                     "HTTP/1.1 100 Continue\r\n\r\n" + answer_text("b", "final")});
    target_client client(loop, {});
    auto first = ask(loop, client, address, "a");
    CHECK(first.status == target_call_status::answered);
    CHECK(first.body == "all of it");
    CHECK(ask(loop, client, address, "b").body == "final");
}

TEST_CASE("a refused connection is reported as unreachable") {
    event_loop loop;
    target_client client(loop, {});
    CHECK(ask(loop, client, raw_connection::own_address(8621), "a").status == target_call_status::unreachable);
}

TEST_CASE("a cancelled call closes its connection and does not run its callback") {
    event_loop loop;
    ip_address address = raw_connection::own_address(8622);
    scripted_target target(address, {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", answer_text("b", "two")});
    target_client client(loop, {});
    bool answered = false;
    call_id id = client.send(call_to(address, "a"), [&](const target_answer&) { answered = true; });
    loop.run_for(ms(100));
    client.cancel(id);
    CHECK(ask(loop, client, address, "b").body == "two");
    CHECK_FALSE(answered);
    CHECK(target.connections == 2);
}

// ---- Connections of clients ----

namespace {

struct front {
    event_loop loop;
    int handled = 0;
    bool answers = true;
    std::shared_ptr<front_exchange> held;
    int disconnects = 0;
    front_server server;

    front(std::uint16_t port, const front_options& options)
        : server(this->loop, raw_connection::own_address(port), options,
                 [this](front_request request, std::shared_ptr<front_exchange> exchange) {
                     ++this->handled;
                     if (this->answers) {
                         exchange->respond({200, {}, request.head.target + ":" + request.body});
                         return;
                     }
                     this->held = std::move(exchange);
                     this->held->on_client_disconnect([this] { ++this->disconnects; });
                 }) {}
};

front_options small_limits() {
    front_options options;
    options.limits = {1024, 100, ms(200), ms(400)};
    return options;
}

}  // namespace

TEST_CASE("pipelined requests are answered in order, with bodies in any framing") {
    front entry(8630, small_limits());
    raw_connection client(raw_connection::own_address(8630));
    client.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"
                "POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
                "GET /c HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    REQUIRE(client.wait_closed(entry.loop, ms(2000)));
    CHECK(entry.handled == 3);
    std::size_t a = client.received.find("/a:hi");
    std::size_t b = client.received.find("/b:abc");
    std::size_t c = client.received.find("/c:");
    CHECK(a < b);
    CHECK(b < c);
    CHECK(c != std::string::npos);
}

TEST_CASE("malformed, oversized and incomplete requests are rejected, and close the connection") {
    front entry(8631, small_limits());
    auto answer_to = [&](const std::string& text) {
        raw_connection client(raw_connection::own_address(8631));
        client.send(text);
        REQUIRE(client.wait_closed(entry.loop, ms(2000)));
        return client.received.substr(0, 12);
    };
    CHECK(answer_to("GET /a HTTP/1.1\r\n\r\n") == "HTTP/1.1 400");
    CHECK(answer_to("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n") ==
          "HTTP/1.1 400");
    CHECK(answer_to("GET /a HTTP/1.1\r\nHost: x\r\nA: " + std::string(2000, 'a') + "\r\n\r\n") == "HTTP/1.1 431");
    CHECK(answer_to("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n") == "HTTP/1.1 413");
    CHECK(answer_to("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n70\r\n" +
                    std::string(112, 'b')) == "HTTP/1.1 413");
    CHECK(answer_to("GET /a HTTP/1.1\r\nHo") == "HTTP/1.1 408");
    CHECK(answer_to("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nab") == "HTTP/1.1 408");
    CHECK(entry.handled == 0);
}

TEST_CASE("a disconnected client is detected while its request is open") {
    front entry(8632, small_limits());
    entry.answers = false;
    {
        raw_connection client(raw_connection::own_address(8632));
        client.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
        entry.loop.run_for(ms(50));
        CHECK(entry.handled == 1);
        CHECK(entry.disconnects == 0);
    }
    entry.loop.run_for(ms(50));
    CHECK(entry.disconnects == 1);
    entry.held->respond({200, {}, "too late"});  // has no effect
    entry.loop.run_for(ms(20));
    CHECK(entry.server.open_requests() == 0);
}

TEST_CASE("a stop answers open requests with Connection: close, and closes idle connections") {
    front entry(8633, small_limits());
    entry.answers = false;
    raw_connection busy(raw_connection::own_address(8633));
    raw_connection idle(raw_connection::own_address(8633));
    busy.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    entry.loop.run_for(ms(50));
    entry.server.close_after_answer();
    entry.server.close_idle();
    CHECK(idle.wait_closed(entry.loop, ms(1000)));
    CHECK_FALSE(busy.receive());
    entry.held->respond({200, {}, "done"});
    CHECK(busy.wait_closed(entry.loop, ms(1500)));
    CHECK(busy.received.find("Connection: close") != std::string::npos);
    CHECK(busy.received.ends_with("done"));
}

TEST_CASE("changed limits apply to the next request") {
    front entry(8634, small_limits());
    entry.server.set_limits({1024, 4, ms(200), ms(400)});
    raw_connection client(raw_connection::own_address(8634));
    client.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n");
    REQUIRE(client.wait_closed(entry.loop, ms(2000)));
    CHECK(client.received.starts_with("HTTP/1.1 413"));
}

TEST_CASE("connections above the limit get 503 with a Retry-After header") {
    front_options options = small_limits();
    options.max_connections = 1;
    front entry(8635, options);
    raw_connection first(raw_connection::own_address(8635));
    entry.loop.run_for(ms(20));
    raw_connection second(raw_connection::own_address(8635));
    REQUIRE(second.wait_closed(entry.loop, ms(2000)));
    CHECK(second.received.starts_with("HTTP/1.1 503"));
    CHECK(second.received.find("retry-after") != std::string::npos);
}
