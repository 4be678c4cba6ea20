// Departures of targets that are not yet committed in the log, and are acknowledged then. Free of I/O. The control
// process that receives a departure sends a request to the leader (departure_requests). The leader proposes all
// departures that wait as one log entry, one entry at a time (departure_batches).

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet_generated.h"
#include "persimmongrade/clock.h"

namespace persimmongrade {

// Targets call another control process after a second without an answer.
inline constexpr duration departure_timeout = ms(800);

// Departures reported to this process that the leader has not answered yet.
//
//     departure_requests requests(random_bits());
//     requests.add(now, report, known_start_ms, [](bool recorded) { ... });
//     requests.refuse_overdue(now, leader);
//     for (auto& request : requests.unsent(leader)) { send it to `leader` }
//     requests.answer(number, recorded);    // the leader's answer
class departure_requests {
public:
    using answer_function = std::function<void(bool recorded)>;

    // Requests are numbered from `first_number` on. It must differ at each start of the process: a late answer to a
    // request of an earlier start must acknowledge nothing.
    explicit departure_requests(std::uint64_t first_number) : next_number(first_number) {}

    // `known_start_ms` is the start of the target as known here, 0 when it is not known.
    void add(time_point now, const wire::target_report_t& report, std::int64_t known_start_ms, answer_function answer);
    // Requests that `leader` has not been sent, for example because it has just been elected. They count as sent.
    std::vector<wire::departure_request_t> unsent(const std::string& leader);
    void answer(std::uint64_t number, bool recorded);
    // Without a leader nothing can be recorded: `leader` is empty then, and all are refused at once.
    void refuse_overdue(time_point now, const std::string& leader);

private:
    struct waiting_request {
        wire::departure_request_t request;
        time_point received_at{};
        std::string sent_to;
        answer_function answer;
    };

    std::vector<waiting_request> waiting;
    std::uint64_t next_number;
};

// Departures that the leader has received and not committed yet.
class departure_batches {
public:
    struct asker {
        std::string id;  // of the control process
        std::uint64_t number = 0;
        bool operator==(const asker&) const = default;
    };

    void add(const asker& from, wire::target_departure_t departure);
    // What the next entry holds; empty while an entry is in flight or nothing waits.
    std::vector<wire::target_departure_t> next() const;
    void proposed(std::uint64_t index, std::uint64_t term);
    // Call for each committed log entry. Returns the requests whose departures it contains.
    std::vector<asker> committed(std::uint64_t index, std::uint64_t term);
    // This process is no longer the leader. Returns everyone who waits: whether the entry in flight is committed is not
    // known.
    std::vector<asker> abandon();

private:
    struct waiting_departure {
        asker from;
        wire::target_departure_t departure;
        bool in_flight = false;
    };

    std::vector<waiting_departure> waiting;
    std::optional<std::pair<std::uint64_t, std::uint64_t>> in_flight;  // index and term
};

}  // namespace persimmongrade
