// Faulty targets send broken answers. Real processes; the test takes the part of the targets, the clients and the
// operator.

#include <catch2/catch.hpp>

#include "../support/fleet_deployment.h"
#include "../support/scripted_target.h"

using namespace persimmongrade;

namespace {

struct client_view {
    int status = 0;
    http_response response;
};

// Sends one request, with a body that doesn't fit into the buffers of the sockets, to a gateway whose only target
// answers with this text.
client_view answer_through_gateway(const std::string& text) {
    fleet_deployment system("broken", {.controls = 3, .gateways = 1});
    nlohmann::json items = fleet_deployment::items(1);
    items["upsert"]["limits"] = {{"max-header-bytes", 16384},
                                 {"max-body-bytes", 64U << 20U},
                                 {"header-timeout-ms", 3000},
                                 {"idle-timeout-ms", 15000},
                                 {"version", "r1"}};
    REQUIRE(system.submit_until_accepted(items));
    const std::string address = fleet_deployment::ip(4, 0) + ":8000";
    scripted_target target(ip_address::parse(address), {text});
    bool announced = false;
    system.call(fleet_deployment::control_address(0), "PUT", "/api/instances/t0",
                system.heartbeat(0, address, unix_time_ms(), 1).dump(), ms(900),
                [&](int status, const http_response&) { announced = status == 200; });
    system.loop.run_for(ms(500));
    REQUIRE(announced);
    constexpr std::size_t body_bytes = 32U << 20U;
    std::optional<client_view> seen;
    system.call(
        fleet_deployment::gateway_address(0), "POST", "/once/a", std::string(body_bytes, 'u'), ms(5000),
        [&](int status, const http_response& response) {
            seen = {status, response};
            system.loop.stop();
        },
        {{"attempt-id", "a"}, {"deadline-ms", "4000"}}, false);
    system.loop.run_for(ms(6000));
    REQUIRE(seen);
    CHECK(target.requests == 1);
    return *seen;
}

const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\n";

}  // namespace

TEST_CASE("a whole answer to an upload that is still being written reaches the client") {
    auto seen = answer_through_gateway(head + "\r\nwhole" + scripted_target::half_close);
    CHECK(seen.status == 200);
    CHECK(seen.response.body == "whole");
}

// Clients got the part as a whole answer.
TEST_CASE("an answer without a length that is reset during the upload does not reach the client") {
    auto seen = answer_through_gateway(head + "\r\npart" + scripted_target::reset_later);
    CHECK(seen.status == 502);
    CHECK(seen.response.body.find("part") == std::string::npos);
}

// Operators of similar systems saw both.
TEST_CASE("an answer with status 000 or an invalid header name does not reach the client") {
    for (const std::string& text :
         {"HTTP/1.1 000 None\r\nAttempt-Id: a\r\nServer-Seal: s\r\nContent-Length: 5\r\n\r\nwrong" +
              std::string(scripted_target::reset_later),
          head + "X A: b\r\nContent-Length: 5\r\n\r\nwrong" + scripted_target::reset_later}) {
        CAPTURE(text);
        auto seen = answer_through_gateway(text);
        CHECK(seen.status == 502);
        CHECK(seen.response.body.find("wrong") == std::string::npos);
    }
}
