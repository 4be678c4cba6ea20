// Guards the request path of one edge against late, truncated and oversized answers, drains and expired leases.

#include "edge_fixture.h"

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
