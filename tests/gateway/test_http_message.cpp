// Guards the parser of requests and answers: what two parsers could read differently is refused.

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <sstream>

#include "http_message.h"

using namespace persimmongrade;

namespace {

constexpr std::size_t limit = 4096;

parse_status request_status(const std::string& text) {
    message_head head;
    return parse_request_head(text, limit, head);
}

std::string chunked(const std::string& body, std::size_t part) {
    std::ostringstream text;
    for (std::size_t i = 0; i < body.size(); i += part) {
        std::string piece = body.substr(i, part);
        text << std::hex << piece.size() << "\r\n" << piece << "\r\n";
    }
    text << "0\r\n\r\n";
    return text.str();
}

}  // namespace

TEST_CASE("requests with more than one reading are malformed") {
    const std::string line = "POST /a/ HTTP/1.1\r\nHost: x\r\n";
    CHECK(request_status(line + "Content-Length: 3\r\n\r\nabc") == parse_status::complete);
    CHECK(request_status(line + "Content-Length: 3\r\nContent-Length: 4\r\n\r\n") == parse_status::malformed);
    CHECK(request_status(line + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n") == parse_status::malformed);
    CHECK(request_status(line + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n") == parse_status::malformed);
    CHECK(request_status(line + "Transfer-Encoding: gzip, chunked\r\n\r\n") == parse_status::malformed);
    CHECK(request_status(line + "Transfer-Encoding: xchunked\r\n\r\n") == parse_status::malformed);
    CHECK(request_status(line + "Content-Length: -3\r\n\r\n") == parse_status::malformed);
    CHECK(request_status(line + "Content-Length: 3x\r\n\r\n") == parse_status::malformed);
    CHECK(request_status(line + "Content-Length : 3\r\n\r\n") == parse_status::malformed);
    CHECK(request_status(line + "Content-Length: 9999999999999999999\r\n\r\n") == parse_status::malformed);
    CHECK(request_status(line + "X-A: b\r\n c\r\n\r\n") == parse_status::malformed);
    CHECK(request_status("GET /a/ HTTP/1.1\r\n\r\n") == parse_status::malformed);
    CHECK(request_status("GET /a/ HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n") == parse_status::malformed);
    CHECK(request_status("GET http://x/ HTTP/1.1\r\nHost: x\r\n\r\n") == parse_status::malformed);
    CHECK(request_status(std::string("GET /a/ HTTP/1.1\r\nHost: x\r\nA: b") + '\0' + "c\r\n\r\n") ==
          parse_status::malformed);
}

TEST_CASE("a head over its limit is too large, whether it is whole or not") {
    std::string head = "GET /a/ HTTP/1.1\r\nHost: x\r\nA: " + std::string(limit, 'a');
    CHECK(request_status(head) == parse_status::too_large);
    CHECK(request_status(head + "\r\n\r\n") == parse_status::too_large);
    CHECK(request_status("GET /a/ HTTP/1.1\r\nHost: x\r\n") == parse_status::incomplete);
}

TEST_CASE("connection headers are told from the others") {
    message_head head;
    std::string text = "GET /a/ HTTP/1.1\r\nHost: x\r\nConnection: Close, X-Own\r\nX-Own: 1\r\nX-Other: 2\r\n\r\n";
    REQUIRE(parse_request_head(text, limit, head) == parse_status::complete);
    CHECK_FALSE(head.keep_alive);
    CHECK(concerns_one_connection(head, "connection"));
    CHECK(concerns_one_connection(head, "x-own"));
    CHECK(concerns_one_connection(head, "Keep-Alive"));
    CHECK_FALSE(concerns_one_connection(head, "X-Other"));
}

TEST_CASE("answers: framing by length, chunks, or the end of the connection") {
    message_head head;
    REQUIRE(parse_response_head("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", limit, false, head) ==
            parse_status::complete);
    CHECK(head.framing == body_framing::length);
    REQUIRE(parse_response_head("HTTP/1.1 200 OK\r\n\r\n", limit, false, head) == parse_status::complete);
    CHECK(head.framing == body_framing::until_close);
    REQUIRE(parse_response_head("HTTP/1.1 204 None\r\n\r\n", limit, false, head) == parse_status::complete);
    CHECK(head.framing == body_framing::none);
    REQUIRE(parse_response_head("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", limit, true, head) ==
            parse_status::complete);
    CHECK(head.framing == body_framing::none);
    CHECK(parse_response_head("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", limit,
                              false, head) == parse_status::malformed);
    CHECK(parse_response_head("not an answer\r\n\r\n", limit, false, head) == parse_status::malformed);
}

TEST_CASE("a body comes out whole however its bytes arrive, and nothing behind it is taken") {
    rc::prop("body", [] {
        auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        bool in_chunks = *rc::gen::arbitrary<bool>();
        auto part = *rc::gen::inRange<std::size_t>(1, 50);
        const std::string behind = "GET /next HTTP/1.1\r\n";
        std::string stream = (in_chunks ? chunked(bytes, part) : bytes) + behind;
        body_framing framing = in_chunks       ? body_framing::chunked
                               : bytes.empty() ? body_framing::none
                                               : body_framing::length;
        body_reader reader(framing, bytes.size(), limit * 4);
        std::size_t taken = 0;
        parse_status status = parse_status::incomplete;
        while (status == parse_status::incomplete) {
            auto size = *rc::gen::inRange<std::size_t>(1, 40);
            std::size_t used = 0;
            status = reader.read(std::string_view(stream).substr(taken, size), used);
            taken += used;
            RC_ASSERT(taken <= stream.size());
        }
        RC_ASSERT(status == parse_status::complete);
        RC_ASSERT(reader.body() == bytes);
        RC_ASSERT(stream.substr(taken) == behind);
    });
}

TEST_CASE("a body over its limit is too large") {
    body_reader reader(body_framing::chunked, 0, 10);
    std::size_t used = 0;
    CHECK(reader.read(chunked(std::string(40, 'a'), 8), used) == parse_status::too_large);
    body_reader malformed(body_framing::chunked, 0, 10);
    CHECK(malformed.read("zz\r\n", used) == parse_status::malformed);
}
