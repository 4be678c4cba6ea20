// Structured log lines on standard output: one for each decision that touches a request or changes what the process
// believes. The format is one line of named fields, docs/OPERATIONS.md lists the events.
//
//     v=1 t=1796380000123 event=request id=9c41 route=r-7 target=i-3 outcome=answered took_ms=87
//
//     start_event_log({.process = "gateway-north-1"});
//     log_event("target_lost", field("target", id), field("age_ms", age));
//     flush_event_log();   // from a timer, every flush_interval; and at the end
//
// The volume is bounded: at most max_lines_per_second of each event, the rest is counted and reported with the event
// `lines_dropped`. Writing never blocks: lines that a slow reader does not take are dropped and counted as well.

#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "persimmongrade/clock.h"
#include "persimmongrade/log.h"

namespace persimmongrade {

struct event_log_options {
    std::string process;                      // name in each line; empty: none
    std::size_t max_lines_per_second = 50;    // of one event
    std::size_t max_buffered_bytes = 262144;  // waiting for a slow reader
    int descriptor = 1;                       // standard output
};

inline constexpr duration event_log_flush_interval = ms(200);

void start_event_log(const event_log_options& options);  // before it, events are dropped
bool event_log_accepts(std::string_view event);          // counts a line as dropped when not
void write_event(const std::string& line);
void flush_event_log();

template <typename... Fields>
void log_event(std::string_view event, const Fields&... fields) {
    if (!event_log_accepts(event)) {
        return;
    }
    std::string line(event);
    ((line.append(" ").append(fields.key).append("=").append(log_value(fields.value))), ...);
    write_event(line);
}

}  // namespace persimmongrade
