#include "persimmongrade/event_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <limits>
#include <map>
#include <optional>
#include <utility>

namespace persimmongrade {

namespace {

constexpr std::size_t atomic_write_bytes = 4096;  // a pipe that is writable takes this many without blocking
constexpr duration rate_period = ms(1000);

struct event_count {
    std::size_t lines = 0;
    std::size_t dropped = 0;
};

struct event_log_state {
    event_log_options options;
    std::string buffer;
    std::map<std::string, event_count, std::less<>> counts;  // of the current period
    time_point period_start{};
    std::size_t unwritten = 0;  // lines that did not fit into the buffer
};

std::optional<event_log_state>& current() {
    static std::optional<event_log_state> state;
    return state;
}

std::string prefix(const event_log_state& state) {
    std::string text = "v=1 t=" + std::to_string(unix_time_ms());
    if (!state.options.process.empty()) {
        text += " process=" + state.options.process;
    }
    return text + " event=";
}

void append_line(event_log_state& state, const std::string& line) {
    if (state.buffer.size() + line.size() > state.options.max_buffered_bytes) {
        ++state.unwritten;
        return;
    }
    state.buffer += prefix(state) + line + "\n";
}

void start_period(event_log_state& state, time_point now) {
    state.period_start = now;
    auto counts = std::exchange(state.counts, {});
    for (const auto& [name, count] : counts) {
        if (count.dropped > 0) {
            append_line(state, "lines_dropped name=" + name + " count=" + std::to_string(count.dropped));
        }
    }
    if (state.unwritten > 0) {
        std::size_t lost = std::exchange(state.unwritten, 0);
        append_line(state, "lines_dropped name=slow_reader count=" + std::to_string(lost));
    }
}

}  // namespace

void start_event_log(const event_log_options& options) {
    current() = event_log_state{options, {}, {}, steady_clock_ms::now(), 0};
}

bool event_log_accepts(std::string_view event) {
    auto& state = current();
    if (!state) {
        return false;
    }
    time_point now = steady_clock_ms::now();
    if (now - state->period_start >= rate_period) {
        start_period(*state, now);
    }
    auto found = state->counts.find(event);
    if (found == state->counts.end()) {
        found = state->counts.emplace(std::string(event), event_count{}).first;
    }
    if (found->second.lines >= state->options.max_lines_per_second) {
        ++found->second.dropped;
        return false;
    }
    ++found->second.lines;
    return true;
}

void write_event(const std::string& line) {
    if (auto& state = current()) {
        append_line(*state, line);
    }
}

void flush_event_log() {
    auto& state = current();
    if (!state) {
        return;
    }
    std::size_t written = 0;
    while (written < state->buffer.size()) {
        pollfd output{state->options.descriptor, POLLOUT, 0};
        if (::poll(&output, 1, 0) <= 0 || (output.revents & POLLOUT) == 0) {
            break;
        }
        std::size_t part = std::min(atomic_write_bytes, state->buffer.size() - written);
        ssize_t size = ::write(state->options.descriptor, state->buffer.data() + written, part);
        if (size < 0 && errno == EINTR) {
            continue;
        }
        if (size <= 0) {  // nobody reads any more: what waits is dropped when the buffer is full
            break;
        }
        written += static_cast<std::size_t>(size);
    }
    state->buffer.erase(0, written);
}

}  // namespace persimmongrade
