// Guards the way from the id of a failed request to its cause: the lines that decided it are found among those of other
// requests, services and processes, also out of order and behind a collector's prefix.

#include <catch2/catch.hpp>

#include <algorithm>

#include "persimmongrade/event_trace.h"

using namespace persimmongrade;

namespace {

const std::vector<std::string> logs{
    "v=1 t=1000 process=gw-1 event=started version=0.1.0 seeds=3",
    "v=1 t=1000 process=gw-2 event=started version=0.1.0 seeds=3",
    "v=1 t=1500 process=gw-1 event=items_changed from=10.0.0.1:7600 index=20 before=0 items=45 evacuations=0",
    "v=1 t=2000 process=gw-1 event=items_changed from=10.0.0.1:7600 index=21 before=20 items=1 evacuations=0",
    "v=1 t=6000 process=gw-1 event=service_beliefs service=orders targets=20 waiting=0 known_ms=70",
    "v=1 t=8000 process=gw-1 event=service_beliefs service=orders targets=20 waiting=3 known_ms=70",
    "v=1 t=8000 process=gw-1 event=service_beliefs service=stock targets=9 waiting=0 known_ms=70",
    "v=1 t=8000 process=gw-2 event=service_beliefs service=orders targets=20 waiting=0 known_ms=70",
    "v=1 t=9500 process=core-1 event=target target=i-7 service=orders phase=ready silent=1 sequence=9 age_ms=5314",
    "v=1 t=9600 process=gw-1 event=control_lost control=10.0.0.2:7600 silent_ms=1010",
    "v=1 t=10000 process=gw-1 event=service_beliefs service=orders targets=14 waiting=47 known_ms=71",
    "v=1 t=10500 process=gw-1 event=request_failed id=a1 route=r-1 service=orders outcome=overload status=503 "
    "reason=\"\" target=\"\" attempts=0 waiting=47",
    "v=1 t=10600 process=gw-1 event=request_failed id=a2 route=r-1 service=orders outcome=time_over status=504 "
    "reason=\"closed \\\"early\\\"\" target=i-7 attempts=0 waiting=2",
    "v=1 t=11000 process=gw-1 event=lines_dropped name=request_failed count=12",
    "v=1 t=12000 process=gw-1 event=service_beliefs service=orders targets=20 waiting=0 known_ms=70",
    "no event at all",
};

event_trace traced(const std::string& id, std::vector<std::string> lines = logs) {
    event_trace trace(id);
    for (const std::string& line : lines) {
        trace.add(line);
    }
    return trace;
}

// "relation time" of each event.
std::vector<std::string> summary(const event_trace& trace) {
    std::vector<std::string> result;
    for (const traced_event& shown : trace.events()) {
        result.push_back(shown.relation + " " + std::to_string(shown.event.unix_ms));
    }
    return result;
}

}  // namespace

TEST_CASE("an event line is read field by field") {
    auto event =
        parse_event("  34.17 gw-1 v=1 t=12 process=gw-1 event=request id=7 reason=\"a \\\"b\\\" = c\" empty=\"\"");
    REQUIRE(event);
    CHECK(event->unix_ms == 12);
    CHECK(event->process == "gw-1");
    CHECK(event->name == "request");
    CHECK(event->field("reason") == "a \"b\" = c");
    CHECK(event->field("empty").empty());
    CHECK(event->field("absent").empty());
    CHECK(event->line.starts_with("v=1 t=12"));
    for (const char* line :
         {"", "v=1", "v=1 t=", "v=1 t=x event=a", "v=1 t=5 process=p", "t=5 event=a", "v=1 t=5 event=\""}) {
        INFO(line);
        CHECK_FALSE(parse_event(line));
    }
}

TEST_CASE("a refused request is shown with what its gateway believed") {
    event_trace trace = traced("a1");
    CHECK(summary(trace) == std::vector<std::string>{"process 1000", "items 2000", "beliefs 8000", "control 9600",
                                                     "beliefs 10000", "request 10500", "gap 11000"});
    CHECK(trace.reading().find("Requests that went first") != std::string::npos);
    CHECK(trace.reading().find("It has not run.") != std::string::npos);
}

TEST_CASE("an uncertain request is shown with what was heard of its target") {
    event_trace trace = traced("a2");
    auto lines = summary(trace);
    CHECK(std::find(lines.begin(), lines.end(), "target 9500") != lines.end());
    CHECK(trace.reading().find("It may have run.") != std::string::npos);
}

TEST_CASE("the order of the lines and a collector's prefix change nothing") {
    std::vector<std::string> lines = logs;
    std::reverse(lines.begin(), lines.end());
    for (std::string& line : lines) {
        line.insert(0, "2026-12-04T14:00:00Z host-7 ");
    }
    CHECK(summary(traced("a1", lines)) == summary(traced("a1")));
}

TEST_CASE("a request that no event names is not found") {
    event_trace trace = traced("a3");
    CHECK_FALSE(trace.found());
    CHECK(trace.events().empty());
    CHECK(trace.reading().empty());
    CHECK(trace.lines() == logs.size());
    CHECK(trace.events_read() == logs.size() - 1);
}
