// Guards the byte sizes that the leader plans link loads with: means of answered requests, with the time of the last.

#include "edge_fixture.h"

using namespace persimmongrade;

TEST_CASE("a ping carries the mean bytes per request, and their age once no request is answered") {
    constexpr duration window = ms(1000);  // of the edge's demand measurements
    edge_fixture edge;
    ip_address address = test_address(next_port());
    http_server target(edge.loop, address, {}, [](const http_request& request, const auto& exchange) {
        exchange->respond({200, {}, std::string(request.path == "/long" ? 9000 : 3000, 'x')});
    });
    edge.announce("t1", "lookups", address);
    auto demand = [&]() -> const wire::service_demand_t* {
        for (const auto& entry : edge.control.pings["edge-1"].service_demands) {
            if (entry->service == "lookups") {
                return entry.get();
            }
        }
        return nullptr;
    };
    auto measured = [&] { return demand() != nullptr && demand()->sizes_taken_at_ms > 0; };
    CHECK_FALSE(measured());
    for (int i = 0; i < 5; ++i) {
        CHECK(edge.call("POST", "/s/lookups/short", {}, std::string(1000, 'a')).status == 200);
        CHECK(edge.call("POST", "/s/lookups/long", {}, std::string(1000, 'a')).status == 200);
    }
    edge.wait_until(measured);
    edge.loop.run_for(window + ms(600));  // the calls may have fallen into two windows
    constexpr double header_bytes = 400;  // largest size of the headers in this test
    CHECK(demand()->request_bytes >= 1000);
    CHECK(demand()->request_bytes <= 1000 + header_bytes);
    CHECK(demand()->answer_bytes > 3000);
    CHECK(demand()->answer_bytes <= 9000 + header_bytes);
    std::int64_t sizes_at = demand()->sizes_taken_at_ms;
    std::int64_t taken_at = demand()->taken_at_ms;
    edge.loop.run_for(window + ms(600));
    CHECK(demand()->sizes_taken_at_ms == sizes_at);
    CHECK(demand()->taken_at_ms > taken_at);
}
