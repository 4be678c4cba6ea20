#include "departure_queue.h"

#include <algorithm>

namespace persimmongrade {

// ---- departure_requests ----

void departure_requests::add(time_point now, const wire::target_report_t& report, std::int64_t known_start_ms,
                             answer_function answer) {
    wire::departure_request_t request;
    request.number = this->next_number++;
    request.target = report.id;
    request.phase = report.phase;
    request.started_at_ms = report.started_at_ms;
    request.known_start_ms = known_start_ms;
    this->waiting.push_back({std::move(request), now, {}, std::move(answer)});
}

std::vector<wire::departure_request_t> departure_requests::unsent(const std::string& leader) {
    std::vector<wire::departure_request_t> requests;
    for (waiting_request& held : this->waiting) {
        if (held.sent_to != leader) {
            held.sent_to = leader;
            requests.push_back(held.request);
        }
    }
    return requests;
}

void departure_requests::answer(std::uint64_t number, bool recorded) {
    auto found = std::find_if(this->waiting.begin(), this->waiting.end(),
                              [&](const waiting_request& held) { return held.request.number == number; });
    if (found == this->waiting.end()) {
        return;  // overdue
    }
    answer_function answer = std::move(found->answer);
    this->waiting.erase(found);
    answer(recorded);
}

void departure_requests::refuse_overdue(time_point now, const std::string& leader) {
    std::vector<std::uint64_t> overdue;
    for (const waiting_request& held : this->waiting) {
        if (leader.empty() || now - held.received_at >= departure_timeout) {
            overdue.push_back(held.request.number);
        }
    }
    for (std::uint64_t number : overdue) {
        this->answer(number, false);
    }
}

// ---- departure_batches ----

void departure_batches::add(const asker& from, wire::target_departure_t departure) {
    this->waiting.push_back({from, std::move(departure)});
}

std::vector<wire::target_departure_t> departure_batches::next() const {
    std::vector<wire::target_departure_t> departures;
    if (this->in_flight) {
        return departures;
    }
    for (const waiting_departure& held : this->waiting) {
        departures.push_back(held.departure);
    }
    return departures;
}

void departure_batches::proposed(std::uint64_t index, std::uint64_t term) {
    this->in_flight = std::pair(index, term);
    for (waiting_departure& held : this->waiting) {
        held.in_flight = true;
    }
}

std::vector<departure_batches::asker> departure_batches::committed(std::uint64_t index, std::uint64_t term) {
    std::vector<asker> answered;
    if (this->in_flight != std::pair(index, term)) {
        return answered;
    }
    this->in_flight.reset();
    std::erase_if(this->waiting, [&](const waiting_departure& held) {
        if (held.in_flight) {
            answered.push_back(held.from);
        }
        return held.in_flight;
    });
    return answered;
}

std::vector<departure_batches::asker> departure_batches::abandon() {
    std::vector<asker> refused;
    for (const waiting_departure& held : std::exchange(this->waiting, {})) {
        refused.push_back(held.from);
    }
    this->in_flight.reset();
    return refused;
}

}  // namespace persimmongrade
