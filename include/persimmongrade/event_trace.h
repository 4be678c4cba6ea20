// Follows one request over the event logs of several processes, from its id to what decided it (docs/OPERATIONS.md).
//
//     event_trace trace("34d19f0e6693b665");
//     while (std::getline(input, line)) trace.add(line);   // of all logs, in any order
//     for (const traced_event& shown : trace.events()) std::cout << shown.relation << " " << shown.event.line << "\n";
//     std::cout << trace.reading();
//
// Lines that are no events are counted and left out; text before an event, such as a time put there by a collector, is
// dropped. Of events that do not name the request, those are kept that change or show beliefs: memory follows their
// number, at most some tens a second of each process.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmongrade {

struct logged_event {
    std::int64_t unix_ms = 0;
    std::string process;
    std::string name;
    std::map<std::string, std::string, std::less<>> fields;  // beside the three above
    std::string line;                                        // as written

    std::string_view field(std::string_view key) const;  // empty: absent

    friend bool operator==(const logged_event&, const logged_event&) = default;
};

std::optional<logged_event> parse_event(std::string_view line);  // nothing when the line holds no event

struct traced_event {
    logged_event event;
    std::string relation;  // to the request: "request", "beliefs", "items", "target", "control", "process", "gap"

    friend bool operator==(const traced_event&, const traced_event&) = default;
};

class event_trace {
public:
    explicit event_trace(std::string id) : id(std::move(id)) {}

    void add(std::string_view line);

    bool found() const noexcept { return !this->ends.empty(); }
    std::size_t lines() const noexcept { return this->line_count; }
    std::size_t events_read() const noexcept { return this->event_count; }

    std::vector<traced_event> events() const;  // by time; each once
    std::string reading() const;               // what the ends of the request mean; empty when it was not found

private:
    std::string id;
    std::size_t line_count = 0;
    std::size_t event_count = 0;
    std::vector<logged_event> ends;  // lines that name the request
    std::vector<logged_event> context;
};

}  // namespace persimmongrade
