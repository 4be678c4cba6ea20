// Guards the request path of one edge against late, truncated and oversized answers, drains and expired leases.

#include "edge_fixture.h"
#include "persimmongrade/uuid.h"

using namespace persimmongrade;

TEST_CASE("a request reaches a target and its whole answer comes back") {
    edge_fixture edge;
    ip_address address = test_address(next_port());
    http_request seen;
    http_server target(edge.loop, address, {}, [&](const http_request& request, const auto& exchange) {
        seen = request;
        exchange->respond({201, {{"x-target", "t1"}}, "whole answer"});
    });
    edge.announce("t1", "lookups", address);
    http_response response = edge.call("POST", "/s/lookups/a/b?c=d", {{"x-note", "n"}}, "content");
    CHECK(response.status == 201);
    CHECK(response.body == "whole answer");
    CHECK(response.header("x-target") == "t1");
    CHECK(seen.path == "/a/b");
    CHECK(seen.query == "c=d");
    CHECK(seen.body == "content");
    CHECK(seen.header("x-note") == "n");
    CHECK(std::stoi(std::string(seen.header("persimmon-deadline-ms").value_or("0"))) > 1000);
}

namespace {

// A fake target that counts what it executes and answers with the count.
struct counting_target {
    ip_address address = test_address(next_port());
    std::uint32_t executed = 0;
    http_server server;

    explicit counting_target(event_loop& loop)
        : server(loop, address, {}, [this](const http_request&, const auto& exchange) {
              exchange->respond({200, {}, "booking " + std::to_string(++this->executed)});
          }) {}
};

}  // namespace

// Guards R5: a resend through another edge must not run the request again.
TEST_CASE("a resend with the same key through another edge replays the stored answer") {
    edge_fixture edge({"north", "central", "south"});
    counting_target target(edge.loop);
    edge.announce("t1", "orders", target.address);
    std::string key = make_uuid_v7(unix_time_ms());
    http_response first = edge.call("POST", "/s/orders/book", {{"idempotency-key", key}}, "lamp 5");
    CHECK(first.status == 200);
    CHECK(first.body == "booking 1");
    http_response second = edge.call("POST", "/s/orders/book", {{"idempotency-key", key}}, "lamp 5", 1);
    CHECK(second.status == 200);
    CHECK(second.body == "booking 1");
    CHECK(second.header("persimmon-replayed") == "1");
    CHECK(target.executed == 1);
    http_response reused = edge.call("POST", "/s/orders/book", {{"idempotency-key", key}}, "lamp 6", 2);
    CHECK(reused.body.find("key_reused") != std::string::npos);
    CHECK(target.executed == 1);
}
