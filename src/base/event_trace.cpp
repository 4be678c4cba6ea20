#include "persimmongrade/event_trace.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <set>

namespace persimmongrade {

namespace {

constexpr std::string_view event_start = "v=1 t=";
constexpr std::int64_t nearby_ms = 5000;   // changes of dependencies that may explain a request
constexpr std::int64_t target_ms = 10000;  // several heartbeats of a target
constexpr std::int64_t gap_ms = 2000;      // dropped lines are reported up to a second later
constexpr std::size_t last_beliefs = 2;    // the last two show a change
constexpr std::size_t last_of_target = 4;

// Events that are kept although they do not name the request.
constexpr std::array<std::string_view, 17> context_events{
    "service_beliefs",       "target",        "target_unreachable", "target_forgotten",
    "target_lost",           "items_changed", "control_lost",       "control_regained",
    "configuration_applied", "started",       "stopping",           "settings_reloaded",
    "leader_known",          "leader_lost",   "storage_unusable",   "storage_regained",
    "lines_dropped"};

struct outcome_reading {
    std::string_view outcome;
    std::string_view text;
};

constexpr outcome_reading readings[] = {
    {"answered", "The target's answer was passed on."},
    {"no_items", "The gateway knew no items: see when it started and which control processes answered it (control)."},
    {"no_route", "No route in force matches host and path: see the items in force (items)."},
    {"no_target", "No target of the service was usable: see what was last heard of its targets (beliefs, target)."},
    {"overload", "Requests that went first would have used all the time: compare usable targets, utilization and work "
                 "in the last two lines of beliefs."},
    {"waited_too_long", "It waited until no answer in time was possible: compare waited_ms with left_ms and see the "
                        "beliefs."},
    {"retry_budget", "A target had refused it (reason), and other requests had used the retries."},
    {"no_further_attempt", "A target failed or lost it (reason), and it must not be sent again."},
    {"time_over", "Its time ended. waited_ms near 0 and a target: the target took longer than predicted_ms. No target: "
                  "it waited."},
    {"target_forgotten", "Its target left between decision and sending."},
    {"client_left", "The client closed its connection."},
    {"not_run", "Refused by an edge: `persimmonctl explain` knows the reason."},
    {"unknown", "An edge cannot tell the outcome: `persimmonctl explain` knows the reason."},
};

std::optional<std::int64_t> parse_number(std::string_view text) {
    std::int64_t value = 0;
    auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    bool whole = failure == std::errc() && end == text.data() + text.size() && !text.empty();
    return whole ? std::optional(value) : std::nullopt;
}

// Takes a value, as log_quote() writes it, off the front of `rest`.
std::string take_value(std::string_view& rest) {
    std::string value;
    if (rest.empty() || rest.front() != '"') {
        std::size_t end = std::min(rest.find(' '), rest.size());
        value = rest.substr(0, end);
        rest.remove_prefix(end);
        return value;
    }
    std::size_t i = 1;
    for (; i < rest.size() && rest[i] != '"'; ++i) {
        i += rest[i] == '\\' && i + 1 < rest.size() ? 1 : 0;
        value += rest[i];
    }
    rest.remove_prefix(std::min(i + 1, rest.size()));
    return value;
}

}  // namespace

std::string_view logged_event::field(std::string_view key) const {
    auto found = this->fields.find(key);
    return found == this->fields.end() ? std::string_view() : std::string_view(found->second);
}

std::optional<logged_event> parse_event(std::string_view line) {
    std::size_t start = line.find(event_start);
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view rest = line.substr(start);
    logged_event event;
    event.line = rest;
    while (!rest.empty()) {
        std::size_t equals = rest.find('=');
        std::size_t space = rest.find(' ');
        if (equals == std::string_view::npos || space < equals) {
            rest.remove_prefix(std::min(space == std::string_view::npos ? rest.size() : space + 1, rest.size()));
            continue;  // no field
        }
        std::string key(rest.substr(0, equals));
        rest.remove_prefix(equals + 1);
        std::string value = take_value(rest);
        rest.remove_prefix(rest.empty() ? 0 : 1);
        event.fields.insert_or_assign(std::move(key), std::move(value));
    }
    auto time = parse_number(event.field("t"));
    if (!time || event.field("event").empty()) {
        return std::nullopt;
    }
    event.unix_ms = *time;
    event.process = event.field("process");
    event.name = event.field("event");
    for (const char* key : {"v", "t", "process", "event"}) {
        event.fields.erase(key);
    }
    return event;
}

void event_trace::add(std::string_view line) {
    ++this->line_count;
    auto event = parse_event(line);
    if (!event) {
        return;
    }
    ++this->event_count;
    if (event->name.starts_with("request") && event->field("id") == this->id) {
        this->ends.push_back(std::move(*event));
    } else if (std::find(context_events.begin(), context_events.end(), event->name) != context_events.end()) {
        this->context.push_back(std::move(*event));
    }
}

std::vector<traced_event> event_trace::events() const {
    std::vector<const logged_event*> by_time;
    for (const logged_event& event : this->context) {
        by_time.push_back(&event);
    }
    std::stable_sort(by_time.begin(), by_time.end(),
                     [](const auto* a, const auto* b) { return a->unix_ms < b->unix_ms; });
    std::vector<traced_event> shown;
    std::set<const logged_event*> taken;
    auto take = [&](const logged_event& event, const char* relation) {
        if (taken.insert(&event).second) {
            shown.push_back({event, relation});
        }
    };
    // The last `count` events before the end of the request, and not older than `age_ms`, that match.
    auto take_last = [&](const logged_event& end, std::size_t count, std::int64_t age_ms, const char* relation,
                         auto&& matches) {
        for (auto place = by_time.rbegin(); place != by_time.rend() && count > 0; ++place) {
            const logged_event& event = **place;
            bool within = event.unix_ms <= end.unix_ms && end.unix_ms - event.unix_ms <= age_ms;
            if (within && matches(event)) {
                take(event, relation);
                --count;
            }
        }
    };
    constexpr std::size_t all = static_cast<std::size_t>(-1);
    for (const logged_event& end : this->ends) {
        auto here = [&](const logged_event& event) { return event.process == end.process; };
        take(end, "request");
        take_last(end, last_beliefs, target_ms, "beliefs", [&](const logged_event& event) {
            return here(event) && event.name == "service_beliefs" && event.field("service") == end.field("service");
        });
        take_last(end, 1, end.unix_ms, "items", [&](const logged_event& event) {
            return here(event) && (event.name == "items_changed" || event.name == "configuration_applied");
        });
        take_last(end, 1, end.unix_ms, "process", [&](const logged_event& event) {
            return here(event) && (event.name == "started" || event.name == "stopping");
        });
        take_last(end, all, nearby_ms, "control", [&](const logged_event& event) {
            bool of_gateway =
                event.name == "control_lost" || event.name == "control_regained" || event.name == "settings_reloaded";
            bool of_control = event.name == "leader_known" || event.name == "leader_lost" ||
                              event.name == "storage_unusable" || event.name == "storage_regained";
            return of_control || (here(event) && of_gateway);
        });
        if (!end.field("target").empty()) {
            take_last(end, last_of_target, target_ms, "target",
                      [&](const logged_event& event) { return event.field("target") == end.field("target"); });
        }
        for (const logged_event* event : by_time) {
            if (here(*event) && event->name == "lines_dropped" && std::abs(event->unix_ms - end.unix_ms) <= gap_ms) {
                take(*event, "gap");
            }
        }
    }
    std::stable_sort(shown.begin(), shown.end(),
                     [](const auto& a, const auto& b) { return a.event.unix_ms < b.event.unix_ms; });
    return shown;
}

std::string event_trace::reading() const {
    std::string text;
    for (const logged_event& end : this->ends) {
        std::string_view outcome = end.field("outcome");
        const auto* known = std::find_if(std::begin(readings), std::end(readings),
                                         [&](const outcome_reading& entry) { return entry.outcome == outcome; });
        text.append(end.process).append(": ");
        if (end.name == "request_rejected") {
            text.append("The request was malformed, too large or incomplete; no target saw it.\n");
            continue;
        }
        text.append(known == std::end(readings) ? "Unknown outcome." : known->text);
        bool sent = end.field("attempts") != "0" || !end.field("target").empty();
        if (end.field("status") == "503" || outcome == "not_run") {
            text.append(" It has not run.");
        } else if (sent && outcome != "answered") {
            text.append(" It may have run.");
        }
        text.append("\n");
    }
    return text;
}

}  // namespace persimmongrade
