// Guards the request path of edges: whole answers of the right request only, drains, expired leases, retries,
// at-most-once execution and the planned stop.

#include "../support/raw_connection.h"
#include "../support/scripted_target.h"
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
    CHECK(edge.metric("persimmongrade_ledger_decision_seconds_count{path=\"first_round\"}", 0) == 1);
    CHECK(edge.metric("persimmongrade_ledger_decision_seconds_count{path=\"stored\"}", 1) == 1);
    http_response reused = edge.call("POST", "/s/orders/book", {{"idempotency-key", key}}, "lamp 6", 2);
    CHECK(reused.body.find("key_reused") != std::string::npos);
    CHECK(target.executed == 1);
}

// Guards R3: an answer that arrives after its request was given up must not become the answer of the next one.
TEST_CASE("a late answer never reaches another request") {
    edge_fixture edge;
    ip_address address = test_address(next_port());
    std::vector<std::shared_ptr<http_exchange>> held;
    http_server target(edge.loop, address, {}, [&](const http_request& request, const auto& exchange) {
        held.push_back(exchange);
        if (request.path == "/second") {
            held.front()->respond({200, {}, "first"});
            exchange->respond({200, {}, "second"});
        }
    });
    edge.announce("t1", "lookups", address);
    http_response first = edge.call("GET", "/s/lookups/first", {{"persimmon-deadline-ms", "100"}});
    CHECK(first.status == 504);
    CHECK(first.body.find("deadline_exceeded") != std::string::npos);
    for (int i = 0; i < 3; ++i) {
        CHECK(edge.call("GET", "/s/lookups/second").body == "second");
    }
}

TEST_CASE("truncated and oversized answers are typed errors") {
    edge_fixture edge;
    ip_address address = test_address(next_port());
    http_server target(edge.loop, address, {}, [&](const http_request& request, const auto& exchange) {
        bool truncate = request.path == "/truncated";
        std::string length = std::to_string(truncate ? 200 : 20000);
        exchange->respond({200, {{"content-length", length}}, std::string(truncate ? 100 : 20000, 'x')});
    });
    edge.announce("t1", "lookups", address);
    http_response truncated = edge.call("GET", "/s/lookups/truncated");
    CHECK(truncated.status == 502);
    CHECK(truncated.body.find(R"("error":"answer_truncated")") != std::string::npos);
    http_response oversized = edge.call("GET", "/s/lookups/oversized");
    CHECK(oversized.status == 502);
    CHECK(oversized.body.find(R"("error":"answer_too_large")") != std::string::npos);
    CHECK(edge.metric("persimmongrade_refusals_total{reason=\"answer_truncated\"}") == 1);
    CHECK(edge.metric("persimmongrade_refusals_total{reason=\"answer_too_large\"}") == 1);
}

// Guards R6 and R7: a drain stops new work and cuts no request in flight.
TEST_CASE("a drained target finishes its request and receives no new work") {
    edge_fixture edge;
    ip_address address = test_address(next_port());
    std::vector<std::shared_ptr<http_exchange>> held;
    http_server target(edge.loop, address, {},
                       [&](const http_request&, const auto& exchange) { held.push_back(exchange); });
    edge.announce("t1", "lookups", address);
    std::optional<http_call_result> in_flight;
    edge.client.send({edge.http_address(), "GET", "/s/lookups/a"},
                     [&](http_call_result result) { in_flight = result; });
    edge.wait_until([&] { return held.size() == 1; });
    edge.control.drain("t1");
    edge.loop.run_for(ms(400));
    CHECK(edge.call("GET", "/s/lookups/b").body.find(R"("error":"no_target")") != std::string::npos);
    CHECK(held.size() == 1);
    held.front()->respond({200, {}, "whole"});
    edge.wait_until([&] { return in_flight.has_value(); });
    CHECK(in_flight->response.body == "whole");
}

// Guards R4 and R6: without a configuration lease nothing is sent, and the refusal says so.
TEST_CASE("an expired configuration lease refuses with not_run") {
    edge_fixture edge({"north", "central", "south"});
    counting_target lookups(edge.loop);
    counting_target orders(edge.loop);
    edge.announce("t1", "lookups", lookups.address);
    edge.announce("t2", "orders", orders.address);
    edge.control.silent = true;
    edge.loop.run_for(ms(2100));
    edge.announce("t1", "lookups", lookups.address);
    edge.announce("t2", "orders", orders.address);
    std::string key = make_uuid_v7(unix_time_ms());
    for (const http_response& refused :
         {edge.call("GET", "/s/lookups/a"), edge.call("POST", "/s/orders/a", {{"idempotency-key", key}}, "lamp")}) {
        CHECK(refused.status == 503);
        CHECK(refused.body.find(R"("error":"configuration_lease_expired")") != std::string::npos);
        CHECK(refused.body.find(R"("outcome":"not_run")") != std::string::npos);
    }
    CHECK(lookups.executed + orders.executed == 0);
    CHECK(edge.call("GET", "/readyz").status == 503);
    edge.control.silent = false;
    edge.wait_until([&] { return edge.edges[0]->ready(); });
    CHECK(edge.call("POST", "/s/orders/a", {{"idempotency-key", key}}, "lamp").body == "booking 1");
}

// Guards against a refusal with shift_limit, at once, of requests whose region has targets that are only busy for a
// moment: one that has just started takes few requests of each edge at a time. After the start of a deployment a fifth
// of the bookings was refused for half a second.
TEST_CASE("a request waits while all targets of its region are busy") {
    edge_fixture edge({"north", "central", "south"});
    ip_address address = test_address(next_port());
    std::vector<std::shared_ptr<http_exchange>> held;
    http_server target(edge.loop, address, {},
                       [&](const http_request&, const auto& exchange) { held.push_back(exchange); });
    counting_target elsewhere(edge.loop);
    edge.announce("t1", "lookups", address, "ready", "north");
    edge.announce("t2", "lookups", elsewhere.address, "ready", "south");
    constexpr std::size_t sent = 20;
    std::vector<http_response> answers;
    for (std::size_t i = 0; i < sent; ++i) {
        edge.client.send({edge.http_address(), "GET", "/s/lookups/a"},
                         [&](const http_call_result& result) { answers.push_back(result.response); });
    }
    edge.loop.run_for(ms(50));
    std::size_t busy = held.size();
    REQUIRE(busy > 0);
    REQUIRE(busy < sent);
    CHECK(answers.empty());
    held[0]->respond({200, {}, "first"});
    edge.wait_until([&] { return held.size() == busy + 1; });  // one that waited
    edge.loop.run_for(ms(200));                                // the others have waited as long as a request may
    REQUIRE(answers.size() == sent - busy);
    CHECK(answers[0].body == "first");
    for (std::size_t i = 1; i < answers.size(); ++i) {
        CHECK(answers[i].status == 503);
        CHECK(answers[i].body.find(R"("error":"slots_exhausted")") != std::string::npos);
        CHECK(answers[i].body.find(R"("outcome":"not_run")") != std::string::npos);
        CHECK(answers[i].header("retry-after").has_value());
    }
    CHECK(elsewhere.executed == 0);
}

// Guards R4: only a claim proves not_run. While a record changes, one edge may run a key without a claim, or hold one
// that the other edge does not ask for.
TEST_CASE("a refusal without a claim makes no statement about the key") {
    edge_fixture edge({"north", "central", "south"});
    counting_target target(edge.loop);
    edge.announce("t1", "orders", target.address);
    auto book = [&](const std::string& key, std::size_t through) {
        return edge.call("POST", "/s/orders/a", {{"idempotency-key", key}}, "lamp", through).body;
    };
    auto set_idempotent = [&](bool idempotent) {
        edge.control.configuration.records.front()->services.back()->idempotent = idempotent;
        edge.control.commit();
        edge.loop.run_for(ms(400));
    };
    std::string key = make_uuid_v7(unix_time_ms());
    CHECK(book(key, 0) == "booking 1");
    set_idempotent(true);
    CHECK(book("order-17", 0) == "booking 2");
    edge.control.drain("t1");
    edge.loop.run_for(ms(400));
    std::string refused = book(key, 1);
    CHECK(refused.find(R"("error":"no_target")") != std::string::npos);
    CHECK(refused.find("not_run") == std::string::npos);
    set_idempotent(false);
    refused = book("order-17", 1);
    CHECK(refused.find(R"("error":"idempotency_key_invalid")") != std::string::npos);
    CHECK(refused.find("not_run") == std::string::npos);
    for (const char* header : {"persimmon-deadline-ms", "x-long"}) {
        std::string value = header[0] == 'x' ? std::string(20000, 'a') : "soon";
        refused = edge.call("POST", "/s/orders/a", {{"idempotency-key", key}, {header, value}}, "lamp", 1).body;
        CHECK(refused.find(R"("outcome":"none")") != std::string::npos);
    }
    for (const std::string& path : {std::string("/s/none/a"), std::string("/s/orders/a")}) {
        std::string body = path == "/s/none/a" ? "lamp" : std::string(70000, 'a');
        refused = edge.call("POST", path, {{"idempotency-key", key}}, body, 1).body;
        CHECK(refused.find(R"("outcome":"none")") != std::string::npos);
    }
}

// Guards R5: only an attempt that provably did not run is repeated for a non-idempotent request.
TEST_CASE("a shed or unconnected attempt moves to another target, a lost one does not") {
    edge_fixture edge({"north", "central", "south"});
    counting_target good(edge.loop);
    ip_address address = test_address(next_port());
    http_server shedding(edge.loop, address, {}, [](const http_request&, const auto& exchange) {
        exchange->respond({503, {{"persimmon-not-run", "1"}}, ""});
    });
    // A target announced later is colder and is chosen after the others, so that the first booking meets both faulty
    // targets whatever the edge's random choices are.
    edge.announce("shedding", "orders", address);
    edge.announce("absent", "orders", test_address(next_port()));
    edge.announce("good", "orders", good.address);
    std::uint32_t answered = 0;
    for (int i = 0; i < 8; ++i) {
        std::string key = make_uuid_v7(unix_time_ms());
        http_response response = edge.call("POST", "/s/orders/a", {{"idempotency-key", key}}, std::to_string(i));
        bool booked = response.status == 200;
        CHECK((booked || response.body.find(R"("outcome":"not_run")") != std::string::npos));
        CHECK((booked || i > 0));
        answered += booked ? 1 : 0;
    }
    CHECK(good.executed == answered);
    CHECK(edge.metric("persimmongrade_retries_total{reason=\"connect_failed\"}") > 0);
    CHECK(edge.metric("persimmongrade_retries_total{reason=\"shed\"}") > 0);
}

// Guards against a status such as 000 reaching the client: the target's answer was passed on.
TEST_CASE("an answer with an invalid status is repeated for an idempotent service, and ends a booking with 502") {
    for (const char* status : {"000", "099", "101", "600", "999", "2x0"}) {
        CAPTURE(status);
        edge_fixture edge({"north", "central", "south"});
        const std::string answer = std::string("HTTP/1.1 ") + status + " X\r\nContent-Length: 0\r\n\r\n";
        ip_address lookup_address = test_address(next_port());
        scripted_target lookup(lookup_address, std::vector<std::string>(20, answer));
        counting_target good(edge.loop);
        // The target announced first is chosen first.
        edge.announce("invalid", "lookups", lookup_address);
        edge.announce("good", "lookups", good.address);
        for (int i = 0; i < 6; ++i) {
            CHECK(edge.call("GET", "/s/lookups/a").status == 200);
        }
        CHECK(good.executed == 6);
        CHECK(lookup.requests > 0);
        ip_address booking_address = test_address(next_port());
        scripted_target booking(booking_address, {answer, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"});
        edge.announce("booking", "orders", booking_address);
        std::string key = make_uuid_v7(unix_time_ms());
        http_response booked = edge.call("POST", "/s/orders/a", {{"idempotency-key", key}}, "lamp");
        CHECK(booked.status == 502);
        CHECK(booked.body.find(R"("outcome":"unknown")") != std::string::npos);
        CHECK(booking.requests == 1);
    }
}

// Clients got the folded line as one without a name, and a part of an answer as whole. An invalid length ended the
// edge.
TEST_CASE("a broken answer is repeated for an idempotent service, and ends a booking with 502") {
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::vector<std::string> answers = {
        head + "X-A: b\r\n folded\r\nContent-Length: 5\r\n\r\nwrong",
        head + "X A: b\r\nContent-Length: 5\r\n\r\nwrong",
        head + "Transfer-Encoding: identity\r\n\r\nwrong" + scripted_target::reset_later,
        head + "\r\nwrong" + scripted_target::reset_later,
        head + "Content-Length: x\r\n\r\nwrong",
    };
    for (const std::string& answer : answers) {
        CAPTURE(answer);
        edge_fixture edge({"north", "central", "south"});
        ip_address lookup_address = test_address(next_port());
        scripted_target lookup(lookup_address, std::vector<std::string>(20, answer));
        counting_target good(edge.loop);
        // The target announced first is chosen first.
        edge.announce("broken", "lookups", lookup_address);
        edge.announce("good", "lookups", good.address);
        for (int i = 0; i < 6; ++i) {
            http_response found = edge.call("GET", "/s/lookups/a");
            CHECK(found.status == 200);
            CHECK(found.body.starts_with("booking"));  // of the good target
        }
        CHECK(good.executed == 6);
        CHECK(lookup.requests > 0);
        ip_address booking_address = test_address(next_port());
        scripted_target booking(booking_address, {answer, head + "Content-Length: 0\r\n\r\n"});
        edge.announce("booking", "orders", booking_address);
        counting_target other(edge.loop);
        edge.announce("other", "orders", other.address);
        std::string key = make_uuid_v7(unix_time_ms());
        http_response booked = edge.call("POST", "/s/orders/a", {{"idempotency-key", key}}, "lamp");
        CHECK(booked.status == 502);
        CHECK(booked.body.find(R"("outcome":"unknown")") != std::string::npos);
        CHECK(booking.requests == 1);
        CHECK(other.executed == 0);
    }
}

TEST_CASE("a lost result is reported as unknown and never run again; a late one is replayed") {
    edge_fixture edge({"north", "central", "south"});
    ip_address address = test_address(next_port());
    std::vector<std::shared_ptr<http_exchange>> held;
    http_server target(edge.loop, address, {},
                       [&](const http_request&, const auto& exchange) { held.push_back(exchange); });
    edge.announce("t1", "orders", address);
    auto book = [&](const std::string& key) {
        return edge.call("POST", "/s/orders/a", {{"idempotency-key", key}, {"persimmon-deadline-ms", "200"}}, "lamp",
                         1);
    };
    std::string late = make_uuid_v7(unix_time_ms());
    CHECK(book(late).body.find(R"("outcome":"unknown")") != std::string::npos);
    REQUIRE(held.size() == 1);
    held[0]->respond({200, {}, "late booking"});
    edge.loop.run_for(ms(100));
    CHECK(book(late).body == "late booking");
    std::string lost = make_uuid_v7(unix_time_ms());
    CHECK(book(lost).body.find(R"("outcome":"unknown")") != std::string::npos);
    edge.loop.run_for(ms(1200));
    edge.announce("t1", "orders", address);
    CHECK(book(lost).body.find(R"("error":"outcome_unknown")") != std::string::npos);
    CHECK(held.size() == 2);
}

TEST_CASE("a caller that goes away cancels its call to the target") {
    edge_fixture edge;
    ip_address address = test_address(next_port());
    std::shared_ptr<http_exchange> held;
    http_server target(edge.loop, address, {}, [&](const http_request&, const auto& exchange) {
        held = exchange;
        exchange->on_close([] {});
    });
    edge.announce("t1", "lookups", address);
    call_id id = edge.client.send({edge.http_address(), "GET", "/s/lookups/a"}, [](const http_call_result&) {});
    edge.wait_until([&] { return held != nullptr; });
    edge.client.cancel(id);
    edge.wait_until([&] { return held->closed(); }, ms(300));
}

// Reported by operators of similar systems: requests that came late in the grace were cut at its end without an answer.
TEST_CASE("an edge that stops takes no request that cannot end in its grace time") {
    edge_fixture edge({"north", "central"});
    ip_address address = test_address(next_port());
    std::vector<std::shared_ptr<http_exchange>> held;
    http_server target(edge.loop, address, {},
                       [&](const http_request&, const auto& exchange) { held.push_back(exchange); });
    edge.announce("t1", "lookups", address);
    std::vector<std::unique_ptr<raw_connection>> callers;
    for (int i = 0; i < 3; ++i) {
        callers.push_back(std::make_unique<raw_connection>(edge.http_address()));
    }
    auto ask = [&](std::size_t caller, const std::string& deadline_ms) {
        callers[caller]->send("GET /s/lookups/a HTTP/1.1\r\nHost: x\r\nPersimmon-Deadline-Ms: " + deadline_ms +
                              "\r\n\r\n");
        edge.loop.run_for(ms(50));
        callers[caller]->receive();
    };
    ask(0, "2500");
    REQUIRE(held.size() == 1);
    edge.edges[0]->stop([] {});
    edge.loop.run_for(ms(1500));  // of 3000
    ask(1, "500");
    CHECK(held.size() == 2);
    ask(2, "2000");
    CHECK(held.size() == 2);
    CHECK(is_error(callers[2]->received, 503, "stopping"));
    for (const auto& exchange : held) {
        exchange->respond({200, {}, "whole"});
    }
    edge.loop.run_for(ms(100));
    for (std::size_t caller : {0, 1}) {
        callers[caller]->receive();
        CHECK(callers[caller]->received.find("whole") != std::string::npos);
    }
}

// Guards R7: a planned stop answers what is in flight, and new callers are sent elsewhere first.
TEST_CASE("a planned stop leaves the lookups, finishes its requests and calls back") {
    edge_fixture edge({"north", "central"});
    ip_address address = test_address(next_port());
    std::shared_ptr<http_exchange> held;
    http_server target(edge.loop, address, {}, [&](const http_request&, const auto& exchange) { held = exchange; });
    edge.announce("t1", "lookups", address);
    std::optional<http_call_result> in_flight;
    edge.client.send({edge.http_address(), "GET", "/s/lookups/a"},
                     [&](http_call_result result) { in_flight = result; });
    edge.wait_until([&] { return held != nullptr; });
    bool stopped = false;
    edge.edges[0]->stop([&] { stopped = true; });
    edge.loop.run_for(ms(550));
    CHECK_FALSE(stopped);
    for (std::size_t i : {0, 1}) {
        http_response lookup = edge.call("GET", "/v1/lookup?service=lookups&client=203.0.113.9", {}, "", i);
        CHECK(lookup.body.find("edge-1") == std::string::npos);
        CHECK(lookup.body.find("edge-2") != std::string::npos);
    }
    held->respond({200, {}, "whole"});
    edge.wait_until([&] { return in_flight.has_value() && stopped; });
    CHECK(in_flight->response.body == "whole");
}
