// Tests the parser of requests and answers: messages that two parsers could interpret differently are rejected.

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <sstream>

#include "persimmongrade/http_message.h"

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

TEST_CASE("ambiguous requests are malformed") {
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

TEST_CASE("a head above its limit is too large, whether it is complete or not") {
    std::string head = "GET /a/ HTTP/1.1\r\nHost: x\r\nA: " + std::string(limit, 'a');
    CHECK(request_status(head) == parse_status::too_large);
    CHECK(request_status(head + "\r\n\r\n") == parse_status::too_large);
    CHECK(request_status("GET /a/ HTTP/1.1\r\nHost: x\r\n") == parse_status::incomplete);
}

TEST_CASE("hop-by-hop headers are recognized") {
    message_head head;
    std::string text = "GET /a/ HTTP/1.1\r\nHost: x\r\nConnection: Close, X-Own\r\nX-Own: 1\r\nX-Other: 2\r\n\r\n";
    REQUIRE(parse_request_head(text, limit, head) == parse_status::complete);
    CHECK_FALSE(head.keep_alive);
    CHECK(is_hop_by_hop(head, "connection"));
    CHECK(is_hop_by_hop(head, "x-own"));
    CHECK(is_hop_by_hop(head, "Keep-Alive"));
    CHECK_FALSE(is_hop_by_hop(head, "X-Other"));
}

TEST_CASE("the framing of an answer is determined from its headers") {
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
    for (const char* line : {"Transfer-Encoding: identity", "Transfer-Encoding: gzip", "Content-Length: x",
                             "Content-Length: -2", "Content-Length : 2", "Content-Length: 2\r\n 0"}) {
        CAPTURE(line);
        CHECK(parse_response_head("HTTP/1.1 200 OK\r\nX-A: b\r\n" + std::string(line) + "\r\n\r\n", limit, false,
                                  head) == parse_status::malformed);
    }
    CHECK(parse_response_head("not an answer\r\n\r\n", limit, false, head) == parse_status::malformed);
}

// Guards against status 000, which was parsed as a final answer without a body, or skipped as an interim one.
TEST_CASE("a response status outside 100 to 599, without three digits, or 101 is malformed") {
    message_head head;
    auto status_of = [&](const std::string& status) {
        return parse_response_head("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n", limit, false, head);
    };
    for (const char* status : {"000", "001", "099", "600", "999", "101"}) {
        CAPTURE(status);
        CHECK(status_of(status) == parse_status::malformed);
    }
    for (const char* status :
         {"", "2", "20", "2000", "2x0", "x00", "20x", "-10", "+20", " 200", "2.0", "\xb2\xb0\xb0"}) {
        CAPTURE(status);
        CHECK(status_of(status) == parse_status::malformed);
    }
    for (int status = 100; status < 600; ++status) {
        if (status != 101) {
            CAPTURE(status);
            CHECK(status_of(std::to_string(status)) == parse_status::complete);
            CHECK(head.status == status);
        }
    }
}

TEST_CASE("a body is complete however its bytes arrive, and bytes after it are not consumed") {
    rc::prop("body", [] {
        auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        bool in_chunks = *rc::gen::arbitrary<bool>();
        auto part = *rc::gen::inRange<std::size_t>(1, 50);
        const std::string following_bytes = "GET /next HTTP/1.1\r\n";
        std::string stream = (in_chunks ? chunked(bytes, part) : bytes) + following_bytes;
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
        RC_ASSERT(stream.substr(taken) == following_bytes);
    });
}

TEST_CASE("a body above its limit is too large, and a malformed chunk size is malformed") {
    body_reader reader(body_framing::chunked, 0, 10);
    std::size_t used = 0;
    CHECK(reader.read(chunked(std::string(40, 'a'), 8), used) == parse_status::too_large);
    body_reader malformed(body_framing::chunked, 0, 10);
    CHECK(malformed.read("zz\r\n", used) == parse_status::malformed);
}
