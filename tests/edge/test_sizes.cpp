// Guards the measurements that the leader plans shifts with: byte sizes of requests, and capacities of regions.

#include "edge_fixture.h"
#include "persimmongrade/target_pool.h"

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

// Guards against a shift that stays frozen when the only region in use loses its targets: the idle targets of the other
// regions have no latency of their own, and their capacity must be reported all the same.
TEST_CASE("capacities of idle regions are reported when the region in use loses its targets") {
    edge_fixture edge;
    ip_address address = test_address(next_port());
    http_server target(edge.loop, address, {}, [&](const http_request&, const auto& exchange) {
        edge.loop.after(ms(5), [exchange] { exchange->respond({200, {}, "done"}); });  // 0 ms count as not measured
    });
    edge.loop.run_for(target_lease);  // capacities are reported from then on
    edge.announce("t1", "lookups", address);
    CHECK(edge.call("GET", "/s/lookups/a").status == 200);
    edge.loop.run_for(ms(600));
    edge.loop.run_for(target_lease);  // t1 is gone
    edge.announce("t2", "lookups", test_address(next_port()), "ready", "south");
    edge.loop.run_for(ms(600));
    std::map<std::string, double> capacities;
    for (const auto& entry : edge.control.pings["edge-1"].capacities) {
        if (entry->service == "lookups") {
            capacities[entry->region] = entry->requests_per_second;
        }
    }
    CHECK(capacities["north"] == 0);
    CHECK(capacities["south"] > 0);
}
