// All processes are killed at the same moment and are back within a second, after a few hundred changes of the
// manifest. One of the last changes restricted a route to one region. See claim.txt of the case.

#include "standins.h"

namespace {

using namespace review;

constexpr std::size_t server_count = 3;  // one in each region
constexpr int idle_changes = 520;
constexpr std::int64_t apply_ms = 2000;  // bound `config-apply-ms`
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
                                                                          .first_core = i % system.options.cores,
                                                                          .slots = 8,
                                                                          .work_ms = 20}));
    }
    route_text desk{.name = "r-desk", .prefix = "/desk/", .service = "desk"};
    route_text idle{.name = "r-idle", .prefix = "/idle/", .service = "desk"};
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
    desk.version = 2;
    desk.allowed_regions = "\"" + system.region(0) + "\"";
    if (!change(desk)) {
        return could_not_run;
    }
    std::int64_t acknowledged_at = now_ms();
    record.note("r-desk r2 acknowledged: allowed-regions is " + system.region(0));
    sleep_ms(apply_ms + 1000);

    std::atomic<int> sent = 0;
    auto send_until = [&](std::int64_t until) {
        std::vector<std::thread> clients;
        for (std::size_t front = 0; front < 2; ++front) {
            clients.emplace_back([&, front] {
                while (now_ms() < until) {
                    std::string attempt = "attempt-" + std::to_string(++sent);
                    answer result =
                        call(system.front(front), {.method = "POST",
                                                   .path = "/desk/" + attempt,
                                                   .headers = {{"Attempt-Id", attempt}, {"Deadline-Ms", "1500"}},
                                                   .body = "booking",
                                                   .timeout_ms = 1500});
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
    send_until(now_ms() + 1000);
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
    send_until(now_ms() + 5000);

    std::size_t wrong = 0;
    for (std::size_t i = 0; i < server_count; ++i) {
        bool allowed = system.region(i) == system.region(0);
        for (const arrival& entry : servers[i]->arrivals()) {
            wrong += !allowed && entry.at > acknowledged_at + apply_ms && entry.ran ? 1 : 0;
        }
    }
    record.note("requests of r-desk that ran outside " + system.region(0) +
                ", later than config-apply-ms after the ack: " + std::to_string(wrong));
    return wrong > 0 ? rule_broken : rule_held;
}

}  // namespace

int main(int argc, char** argv) {
    return review::run_case([&] { return run(argc > 1 ? argv[1] : "record.txt"); });
}
