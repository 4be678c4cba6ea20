// Guards R1 and R4 before a service's first assignment: no traffic may reach a region that the shift cap has not
// admitted, and the refusal says truthfully that nothing ran.

#include <nlohmann/json.hpp>

#include "edge_fixture.h"
#include "persimmongrade/uuid.h"

using namespace persimmongrade;

namespace {

void require_not_ready(const http_response& refused) {
    INFO(refused.body);
    CHECK(refused.status == 503);
    auto body = nlohmann::json::parse(refused.body);
    CHECK(body["error"] == "not_ready");
    CHECK(body["outcome"] == "not_run");
    CHECK(body.value("retry_after_ms", 0) > 0);
    CHECK(refused.header("retry-after").has_value());
}

}  // namespace

// Guards against a fallback to the nearest region: when that region loses its targets before the first assignment, all
// of its traffic would move to the next region at once, whatever the cap is.
TEST_CASE("traffic without an assignment does not follow live targets from region to region") {
    edge_fixture edge({"north", "central", "south"}, false);
    counting_target near(edge.loop, "done");
    counting_target far(edge.loop, "done");
    edge.announce("near", "lookups", near.address, "ready", "north");
    edge.announce("far", "lookups", far.address, "ready", "south");
    for (int i = 0; i < 10; ++i) {
        edge.call("GET", "/s/lookups/a");
    }
    edge.announce("near", "lookups", near.address, "draining", "north");  // the nearest region loses its only target
    for (int i = 0; i < 10; ++i) {
        edge.call("GET", "/s/lookups/a");
    }
    CHECK(far.executed == 0);
}

TEST_CASE("a service without an assignment for the caller's region refuses with not_ready until it has one") {
    edge_fixture edge({"north", "central", "south"}, false);
    counting_target lookups(edge.loop, "done");
    counting_target orders(edge.loop, "done");
    edge.announce("t1", "lookups", lookups.address);
    edge.announce("t2", "orders", orders.address);
    edge.control.assign("lookups", "south", "north");  // of another caller region
    edge.control.assign("orders", "south", "north");
    edge.loop.run_for(ms(400));
    std::string key = make_uuid_v7(unix_time_ms());
    require_not_ready(edge.call("GET", "/s/lookups/a"));
    require_not_ready(edge.call("POST", "/s/orders/a", {{"idempotency-key", key}}, "lamp"));
    CHECK(lookups.executed + orders.executed == 0);
    CHECK(edge.metric("persimmongrade_refusals_total{reason=\"not_ready\"}") == 2);
    edge.control.assign("lookups", "north", "north");
    edge.control.assign("orders", "north", "north");
    edge.loop.run_for(ms(400));
    CHECK(edge.call("GET", "/s/lookups/a").body == "done");
    // The refusal left the key free to run.
    CHECK(edge.call("POST", "/s/orders/a", {{"idempotency-key", key}}, "lamp").body == "done");
    CHECK(lookups.executed + orders.executed == 2);
}
