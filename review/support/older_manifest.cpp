// All processes are killed at the same moment and are back within a second, after a few hundred changes of the
// manifest. One of the last changes added an `unsafe` route below the prefix of a `safe` one. See claim.txt of the
// case.

#include "standins.h"

namespace {

using namespace review;

constexpr std::size_t server_count = 3;  // one in each region
constexpr std::size_t clients_per_front = 10;
constexpr int idle_changes = 520;
constexpr std::int64_t apply_ms = 2000;  // bound `config-apply-ms`
constexpr std::int64_t work_ms = 900;    // of each request, at a server
constexpr std::int64_t first_down_ms = 200;
constexpr std::int64_t last_down_ms = 900;

int run(const std::string& record_file) {
    event_record record(record_file);
    deployment system(record);
    system.start_all();
    std::vector<std::unique_ptr<server>> servers;
    for (std::size_t i = 0; i < server_count; ++i) {
        servers.push_back(std::make_unique<server>(system, server_options{.id = "i-" + std::to_string(i),
                                                                          .service = "desk",
                                                                          .zone = system.zone(i),
                                                                          .at = system.server(i),
                                                                          .first_core = i,
                                                                          .slots = 16,
                                                                          .work_ms = work_ms}));
    }
    route_text desk{.name = "r-desk", .prefix = "/desk/", .kind = "safe", .service = "desk"};
    route_text idle{.name = "r-idle", .prefix = "/idle/", .service = "desk"};
    route_text orders{.name = "r-orders", .prefix = "/desk/orders/", .kind = "unsafe", .service = "desk"};
    bool started = system.order_until_acknowledged("PATCH", "/api/config", first_items({desk, idle}, {"desk"})) &&
                   system.wait_ready();
    if (!started) {
        return could_not_run;
    }
    sleep_ms(3000);

    auto change = [&](const route_text& route) {
        std::string body = "{\"upsert\":{\"routes\":{" + route_json(route) + "}}}";
        for (std::size_t tries = 0; tries < 30; ++tries) {
            if (system.order("PATCH", "/api/config", body, tries % system.options.cores).status == 200) {
                return true;
            }
            sleep_ms(100);
        }
        return false;
    };
    for (int i = 0; i < idle_changes; ++i) {
        ++idle.version;
        idle.timeout_ms = 1000 + i % 100;
        if (!change(idle)) {
            return could_not_run;
        }
    }
    record.note(std::to_string(idle_changes) + " changes of r-idle acknowledged");
    if (!change(orders)) {
        return could_not_run;
    }
    record.note("r-orders acknowledged: /desk/orders/ is unsafe");
    sleep_ms(apply_ms + 1000);

    std::atomic<int> sent = 0;
    auto send_until = [&](std::int64_t until) {
        std::vector<std::thread> clients;
        for (std::size_t i = 0; i < 2 * clients_per_front; ++i) {
            clients.emplace_back([&, front = i % 2] {
                while (now_ms() < until) {
                    std::string attempt = "attempt-" + std::to_string(++sent);
                    answer result =
                        call(system.front(front), {.method = "POST",
                                                   .path = "/desk/orders/" + attempt,
                                                   .headers = {{"Attempt-Id", attempt}, {"Deadline-Ms", "2000"}},
                                                   .body = "order",
                                                   .timeout_ms = 2000});
                    if (result.status != 0) {
                        record.note("client: " + attempt + " at front-" + std::to_string(front) + " answered " +
                                    std::to_string(result.status));
                    }
                    sleep_ms(30);
                }
            });
        }
        for (std::thread& client : clients) {
            client.join();
        }
    };
    std::thread traffic([&] { send_until(now_ms() + 9000); });
    sleep_ms(3000);
    if (with_trouble()) {
        for (const char* name : {"core-0", "core-1", "core-2", "front-0", "front-1"}) {
            system.kill(name);
        }
        // All are back within a second, in this order.
        sleep_ms(first_down_ms);
        for (const char* name : {"core-1", "front-0", "front-1"}) {
            system.restart(name);
        }
        sleep_ms(last_down_ms - first_down_ms);
        for (const char* name : {"core-0", "core-2"}) {
            system.restart(name);
        }
    }
    traffic.join();

    std::map<std::string, int> runs;
    for (const auto& entry : servers) {
        for (const arrival& seen : entry->arrivals()) {
            runs[seen.attempt] += seen.ran ? 1 : 0;
        }
    }
    int repeated = 0;
    for (const auto& [attempt, count] : runs) {
        if (count > 1) {
            ++repeated;
            record.note(attempt + " ran " + std::to_string(count) + " times");
        }
    }
    record.note("orders: " + std::to_string(runs.size()) + " ran, " + std::to_string(repeated) + " more than once");
    return repeated > 0 ? rule_broken : rule_held;
}

}  // namespace

int main(int argc, char** argv) {
    return review::run_case([&] { return run(argc > 1 ? argv[1] : "record.txt"); });
}
