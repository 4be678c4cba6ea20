// Clients that book over kept connections while something else happens, and the judgement of the rule LOST: "At any
// time, a machine in touch passes a request from a kept connection on to a sound upstream and closes that connection
// without an answer, more than three times."

#pragma once

#include <set>

#include "standin.h"

namespace review {

// Requests of unsafe routes: each attempt has its own id, and none is sent again after a closed connection.
class booking_clients {
public:
    booking_clients(record_file& record, const platform& system, std::size_t gateways, std::size_t clients)
        : record(record), system(system) {
        for (std::size_t g = 0; g < gateways; ++g) {
            for (std::size_t i = 0; i < clients; ++i) {
                this->threads.emplace_back([this, g, i] { this->book(g, i); });
            }
        }
    }

    ~booking_clients() { this->stop(); }
    booking_clients(const booking_clients&) = delete;
    booking_clients& operator=(const booking_clients&) = delete;

    void stop() {
        this->stopping = true;
        for (std::thread& thread : std::exchange(this->threads, {})) {
            thread.join();
        }
    }

    std::size_t answered() const { return this->answers; }

    // Attempts on kept connections that ended without an answer although one of the upstreams has run them.
    std::size_t lost(const std::vector<std::unique_ptr<upstream>>& upstreams) {
        std::set<std::string> run;
        for (const auto& server : upstreams) {
            for (const upstream::run& seen : server->runs()) {
                run.insert(seen.attempt);
            }
        }
        std::lock_guard lock(this->mutex);
        std::size_t count = 0;
        for (const std::string& attempt : this->unanswered) {
            if (run.contains(attempt)) {
                ++count;
                this->record.line("lost: booking " + attempt +
                                  " was run by an upstream, and its kept connection ended without an answer");
            }
        }
        return count;
    }

private:
    void book(std::size_t g, std::size_t i) {
        constexpr auto time_limit = milliseconds(2500);
        constexpr auto retry_pause = milliseconds(100);
        const std::string body(1200, 'b');
        auto connection = std::make_unique<http_connection>();
        bool kept = false;
        for (std::size_t n = 0; !this->stopping; ++n) {
            std::string attempt = "b" + std::to_string(g) + "-" + std::to_string(i) + "-" + std::to_string(n);
            auto started = steady::now();
            auto answer = connection->call(this->system.front(g),
                                           "POST /book/" + std::to_string(n) + " HTTP/1.1\r\nHost: jepu9.example\r\n" +
                                               "Attempt-Id: " + attempt + "\r\nDeadline-Ms: 2500\r\n",
                                           body, time_limit);
            if (answer) {
                this->answers += answer->status() == 200 ? 1 : 0;
                kept = true;
                continue;
            }
            if (kept && steady::now() - started < time_limit) {
                std::lock_guard lock(this->mutex);
                this->unanswered.push_back(attempt);
            }
            connection = std::make_unique<http_connection>();
            kept = false;
            pause(retry_pause);
        }
    }

    record_file& record;
    const platform& system;
    std::atomic<bool> stopping = false;
    std::atomic<std::size_t> answers = 0;
    std::mutex mutex;
    std::vector<std::string> unanswered;
    std::vector<std::thread> threads;
};

struct load_options {
    std::size_t gateways = 2;
    std::size_t upstreams = 12;       // half of them for bookings
    std::size_t booking_clients = 6;  // of each gateway
    std::size_t other_clients = 0;    // of each gateway
    milliseconds length{60000};
};

// Runs `other(system, gateway, client, stopping)` on a thread for each of the other clients, beside the bookings.
// `answer_bytes` is the size of the answers to requests that are no bookings.
inline int
judge_bookings(record_file& record, const load_options& options, std::size_t answer_bytes,
               const std::function<void(const platform&, std::size_t, std::size_t, const std::atomic<bool>&)>& other) {
    platform system(record, {.cores = 3, .gateways = options.gateways});
    operator_client operators(system);
    std::string routes = route_json("r-book", "/book/", "unsafe", "wuno96b", 5000, 1) + "," +
                         route_json("r-pull", "/pull/", "safe", "huvo11a", 5000, 1) + "," +
                         route_json("r-store", "/store/", "unsafe", "huvo11a", 5000, 1);
    if (!operators.order("PATCH", "/api/config", first_call(routes, {"huvo11a", "wuno96b"}), milliseconds(15000))) {
        record.line("not run: the first call was not acknowledged");
        return exit_not_run;
    }
    std::vector<std::unique_ptr<upstream>> upstreams;
    for (std::size_t i = 0; i < options.upstreams; ++i) {
        bool books = i % 2 == 0;
        upstreams.push_back(std::make_unique<upstream>(
            system, i, books ? "wuno96b" : "huvo11a",
            [books, answer_bytes](const http_message& request, const std::string&) -> upstream::answer {
                bool pulls = request.start_line.starts_with("GET ");
                return {milliseconds(books ? 300 : 20), pulls ? answer_bytes : 400};
            }));
    }
    pause(milliseconds(4000));  // until the gateways know them
    booking_clients bookings(record, system, options.gateways, options.booking_clients);
    std::atomic<bool> stopping = false;
    std::vector<std::thread> others;
    for (std::size_t g = 0; g < options.gateways; ++g) {
        for (std::size_t i = 0; i < options.other_clients; ++i) {
            others.emplace_back([&, g, i] { other(system, g, i, stopping); });
        }
    }
    auto until = steady::now() + options.length;
    while (steady::now() < until) {
        pause(milliseconds(5000));
        system.record_memory();
    }
    stopping = true;
    for (std::thread& thread : others) {
        thread.join();
    }
    bookings.stop();
    std::size_t lost = bookings.lost(upstreams);
    std::size_t looping = system.own_ends("gateway", 3);
    record.line("result: " + std::to_string(bookings.answered()) + " bookings answered, " + std::to_string(lost) +
                " run and never answered; front machines whose process has ended by itself three times: " +
                std::to_string(looping));
    constexpr std::size_t lost_bound = 3;
    if (lost <= lost_bound && bookings.answered() == 0) {
        record.line("not run: no booking was answered");
        return exit_not_run;
    }
    return lost > lost_bound ? exit_broken : exit_held;
}

inline int run_case(int argc, char** argv, const std::function<int(record_file&)>& run) {
    try {
        record_file record(argc > 1 ? argv[1] : "record.txt");
        int result = run(record);
        record.line("exit " + std::to_string(result));
        return result;
    } catch (const std::exception& failure) {
        std::fprintf(stderr, "not run: %s\n", failure.what());
        return exit_not_run;
    }
}

}  // namespace review
