// A server sends DELETE /api/instances/ID to the core machine that its pings went to, shortly after the process there
// was killed and has started again. See claim.txt of the case.

#include "standins.h"

namespace {

using namespace review;

constexpr std::int64_t drain_ms = 2000;    // bound `drain-ms`
constexpr std::int64_t contact_ms = 3000;  // bound `contact-ms`
constexpr std::int64_t stays_ms = 6500;    // of a server that leaves: "at times many seconds"

int run(const std::string& record_file) {
    event_record record(record_file);
    deployment system(record);
    system.start_all();
    server leaving(system, {.id = "i-leaving",
                            .service = "desk",
                            .zone = system.zone(1),
                            .at = system.server(0),
                            .first_core = 1,
                            .slots = 8,
                            .work_ms = 400});
    server staying(system, {.id = "i-staying",
                            .service = "desk",
                            .zone = system.zone(2),
                            .at = system.server(1),
                            .first_core = 2,
                            .slots = 8,
                            .work_ms = 400});
    bool started = system.order_until_acknowledged(
                       "PATCH", "/api/config",
                       first_items({{.name = "r-desk", .prefix = "/desk/", .service = "desk"}}, {"desk"})) &&
                   system.wait_ready();
    if (!started) {
        return could_not_run;
    }
    sleep_ms(3000);
    std::atomic<int> sent = 0;
    std::atomic<int> failed = 0;
    auto book = [&](std::size_t front) {
        std::string attempt = "attempt-" + std::to_string(++sent);
        answer result = call(system.front(front), {.method = "POST",
                                                   .path = "/desk/" + attempt,
                                                   .headers = {{"Attempt-Id", attempt}, {"Deadline-Ms", "2000"}},
                                                   .body = "booking",
                                                   .timeout_ms = 2000});
        failed += result.status == 200 ? 0 : 1;
        record.note("client: " + attempt + " at front-" + std::to_string(front) + " answered " +
                    std::to_string(result.status));
    };
    for (int i = 0; i < 10; ++i) {
        std::thread other([&] { book(0); });
        book(1);
        other.join();
    }
    if (leaving.arrivals().empty()) {
        record.note("the server that leaves got no request before");
        return could_not_run;
    }

    // No client sends a request from here until the deadline of the departure has passed.
    leaving.ping("ready");
    if (with_trouble()) {
        system.kill("core-1");
        sleep_ms(300);
        system.restart("core-1");
        sleep_ms(700);
    }
    if (leaving.leave().empty()) {
        return could_not_run;
    }
    std::int64_t acknowledged_at = now_ms();
    sleep_until(acknowledged_at + std::max(drain_ms, contact_ms) + 3000);
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < 8; ++i) {
        clients.emplace_back([&, i] { book(i % 2); });
    }
    sleep_until(acknowledged_at + stays_ms - 250);
    record.note("server i-leaving ends");
    leaving.stop();
    for (std::thread& client : clients) {
        client.join();
    }
    std::size_t late = 0;
    for (const arrival& entry : leaving.arrivals()) {
        late += entry.at > acknowledged_at + drain_ms && entry.ran ? 1 : 0;
    }
    record.note("requests that reached the server later than drain-ms after the ack: " + std::to_string(late) +
                "; requests not answered 200: " + std::to_string(failed));
    return late > 0 ? rule_broken : rule_held;
}

}  // namespace

int main(int argc, char** argv) {
    return review::run_case([&] { return run(argc > 1 ? argv[1] : "record.txt"); });
}
