// Guards the way from a refusal to its cause by the logs of edges alone.

#include <sstream>

#include "edge_fixture.h"
#include "persimmongrade/event_log.h"
#include "persimmongrade/event_trace.h"

using namespace persimmongrade;

// REQUIRE throughout: event_log.h brings a CHECK of glog, which would end the program.
TEST_CASE("a refusal is logged with what decided it, beside changes of targets and of control") {
    int ends[2];
    REQUIRE(::pipe(ends) == 0);
    start_event_log({.process = "edge-1", .descriptor = ends[1]});
    edge_fixture edge({"north", "central", "south"});
    counting_target lookups(edge.loop);
    edge.announce("t1", "lookups", lookups.address);
    edge.control.silent = true;
    edge.loop.run_for(ms(2200));
    edge.announce("t1", "lookups", lookups.address);
    edge.call("GET", "/s/lookups/a");
    flush_event_log();
    start_event_log({.descriptor = -1});
    ::close(ends[1]);
    std::string text(event_log_options{}.max_buffered_bytes, '\0');
    ssize_t size = ::read(ends[0], text.data(), text.size());
    ::close(ends[0]);
    REQUIRE(size > 0);
    text.resize(static_cast<std::size_t>(size));
    std::map<std::string, logged_event> last;  // by name
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (auto event = parse_event(line)) {
            last[event->name] = *event;
        }
    }
    REQUIRE(last["target"].field("target") == "t1");
    REQUIRE(last["target"].field("from") == last["target"].process);
    REQUIRE(last["control_lost"].field("lease_valid") == "0");
    const logged_event& refused = last["request_failed"];
    REQUIRE(refused.field("reason") == "configuration_lease_expired");
    REQUIRE(refused.field("outcome") == "not_run");
    REQUIRE(refused.field("service") == "lookups");
    REQUIRE(refused.field("targets") == "1");
    REQUIRE(refused.field("targets_in_region") == "1");
    REQUIRE(refused.field("lease_valid") == "0");
}
