// Guards the HTTP interface against malformed requests: typed JSON errors, counters, and a process that continues.

#include "../support/raw_connection.h"
#include "edge_fixture.h"
#include "persimmongrade/uuid.h"

using namespace persimmongrade;

namespace {

// Sends raw bytes and returns what comes back until the connection has been quiet for 100 ms.
std::string exchange_raw(edge_fixture& edge, const std::string& bytes) {
    auto caller = std::make_unique<raw_connection>(edge.http_address());
    caller->send(bytes);
    edge.loop.run_for(ms(100));
    caller->receive();
    std::string received = std::move(caller->received);
    caller.reset();
    edge.loop.run_for(ms(20));  // the edge notices the closed connection
    return received;
}

void check_error(const std::string& answer, int status, const std::string& type) {
    INFO(answer);
    CHECK(answer.starts_with("HTTP/1.1 " + std::to_string(status)));
    CHECK(answer.find("application/json") != std::string::npos);
    CHECK(answer.find(R"("error":")" + type + R"(")") != std::string::npos);
}

}  // namespace

TEST_CASE("malformed requests get typed errors and are counted") {
    edge_fixture edge;
    const std::string head = "POST /s/orders/a HTTP/1.1\r\nhost: a\r\n";
    auto refused = [&](const std::string& type) {
        return edge.metric("persimmongrade_refusals_total{reason=\"" + type + "\"}");
    };
    check_error(exchange_raw(edge, head + "content-length: abc\r\n\r\n"), 400, "bad_request");
    check_error(exchange_raw(edge, head + "content-length: -5\r\n\r\n"), 400, "bad_request");
    check_error(exchange_raw(edge, head + "transfer-encoding: chunked\r\n\r\nZZ\r\n"), 400, "bad_request");
    CHECK(refused("bad_request") == 3);
    check_error(exchange_raw(edge, head + "content-length: 99999999\r\n\r\n"), 413, "request_too_large");
    check_error(exchange_raw(edge, head + "x-long: " + std::string(30000, 'a') + "\r\ncontent-length: 0\r\n\r\n"), 413,
                "request_too_large");
    check_error(exchange_raw(edge, head + "content-length: 70000\r\n\r\n" + std::string(70000, 'b')), 413,
                "request_too_large");
    CHECK(refused("request_too_large") == 3);
    check_error(exchange_raw(edge, "FROB /s/orders/a HTTP/1.1\r\nhost: a\r\n\r\n"), 405, "method_not_allowed");
    check_error(exchange_raw(edge, "GET /v1/targets HTTP/1.1\r\nhost: a\r\n\r\n"), 405, "method_not_allowed");
    check_error(exchange_raw(edge, head + "content-length: 0\r\n\r\n"), 400, "idempotency_key_missing");
    check_error(exchange_raw(edge, head + "idempotency-key: 7\r\ncontent-length: 0\r\n\r\n"), 400,
                "idempotency_key_invalid");
    std::string key = "idempotency-key: " + make_uuid_v7(unix_time_ms()) + "\r\n";
    check_error(exchange_raw(edge, head + key + "persimmon-deadline-ms: soon\r\ncontent-length: 0\r\n\r\n"), 400,
                "bad_request");
    check_error(exchange_raw(edge, "GET /s/none/a HTTP/1.1\r\nhost: a\r\n\r\n"), 404, "unknown_service");
    check_error(exchange_raw(edge, "GET /v1/lookup?service=lookups&client=x HTTP/1.1\r\nhost: a\r\n\r\n"), 400,
                "bad_request");
    CHECK(refused("bad_request") == 5);
    check_error(exchange_raw(edge, "\x01garbage\r\n\r\n"), 400, "bad_request");
    check_error(exchange_raw(edge, head + "no colon\r\n\r\n"), 400, "bad_request");
    CHECK(refused("bad_request") == 7);
    exchange_raw(edge, head + "content-length: 50\r\n\r\nhalf a request");  // closes before it is complete
    CHECK(refused("request_incomplete") == 1);
    CHECK(edge.call("GET", "/healthz").status == 200);
}

// Guards against callers whose host died in the middle of a request, and against many of them at once.
TEST_CASE("200 incomplete requests get 408 and are counted while others are served") {
    edge_fixture edge({"north"}, true, ms(500));
    const std::string head = "POST /s/orders/a HTTP/1.1\r\nhost: a\r\n";
    std::vector<std::unique_ptr<raw_connection>> callers;
    for (int i = 0; i < 200; ++i) {
        callers.push_back(std::make_unique<raw_connection>(edge.http_address()));
        callers.back()->send(i % 2 == 0 ? head : head + "content-length: 5000\r\n\r\n" + std::string(4000, 'b'));
    }
    for (int i = 0; i < 20; ++i) {
        CHECK(edge.call("GET", "/healthz").status == 200);
        CHECK(edge.call("GET", "/v1/lookup?service=lookups").status == 200);
    }
    for (const auto& caller : callers) {
        REQUIRE(caller->wait_closed(edge.loop, ms(5000)));
        check_error(caller->received, 408, "request_incomplete");
    }
    CHECK(edge.metric("persimmongrade_refusals_total{reason=\"request_incomplete\"}") == 200);
    CHECK(edge.metric("persimmongrade_refusals_total{reason=\"idempotency_key_missing\"}") == 0);
}

TEST_CASE("malformed announcements are refused and change nothing") {
    edge_fixture edge;
    const std::string valid = R"({"id":"t1","service":"lookups","address":"127.0.0.1:9","region":"north","zone":"z",)";
    for (const std::string& body :
         {std::string("not json"), std::string("[]"), valid + R"("state":"gone"})",
          valid + R"("state":"ready","slots":-1})", valid + R"("state":"ready","load":"high"})",
          std::string(R"({"id":"t1"})"), std::string(R"({"id":7,"service":"lookups"})")}) {
        http_response response = edge.call("POST", "/v1/targets", {}, body);
        INFO(body);
        CHECK(response.status == 400);
        CHECK(response.body.find(R"("error":"bad_request")") != std::string::npos);
    }
    CHECK(edge.call("GET", "/s/lookups/a").body.find(R"("error":"no_target")") != std::string::npos);
}
