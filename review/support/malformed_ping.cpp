// Another writer sends pings whose bytes can't be read, once for each heartbeat interval. See claim.txt of the case.

#include "standins.h"

namespace {

using namespace review;

constexpr std::int64_t trouble_ms = 15000;
constexpr std::int64_t restart_ms = 300;  // until the platform starts a process again that has ended
constexpr int ends_bound = 3;             // of one process, in the rule `Fault`

int run(const std::string& record_file) {
    event_record record(record_file);
    deployment system(record, {.cores = 3, .fronts = 2});
    system.start_all();
    server desk(system, {.id = "i-desk", .service = "desk", .zone = system.zone(0), .at = system.server(0)});
    route_text route{.name = "r-desk", .prefix = "/desk/", .service = "desk"};
    bool started =
        system.order_until_acknowledged("PATCH", "/api/config", first_items({route}, {"desk"})) && system.wait_ready();
    if (!started) {
        return could_not_run;
    }
    sleep_ms(3000);

    // The platform: starts again what has ended by itself.
    std::array<int, 3> ends{};
    std::array<std::int64_t, 3> start_at{};
    auto supervise = [&](std::int64_t until) {
        while (now_ms() < until) {
            for (std::size_t i = 0; i < ends.size(); ++i) {
                std::string name = deployment::name_of("core", i);
                if (auto how = system.ended(name)) {
                    ++ends.at(i);
                    start_at.at(i) = now_ms() + restart_ms;
                    record.note(name + " ended by itself, " + *how + ": " + system.last_line(name));
                }
                if (start_at.at(i) != 0 && now_ms() >= start_at.at(i)) {
                    start_at.at(i) = 0;
                    system.restart(name);
                }
            }
            sleep_ms(10);
        }
    };

    // A sound ping in all but the path, where one byte isn't UTF-8. Without trouble, the byte is a letter.
    std::string path = with_trouble() ? "/api/instances\xe9/i-7f3a91c2" : "/api/instancese/i-7f3a91c2";
    std::string body = "{\"address\":\"" + system.server(1).text() +
                       "\",\"info\":{\"service\":\"desk\",\"version\":\"v1\",\"zone\":\"" + system.zone(0) +
                       "\",\"slots\":6},\"status\":{\"state\":\"ready\",\"sequence\":4,\"warmup-left-ms\":0}}";
    std::int64_t until = now_ms() + trouble_ms;
    while (now_ms() < until) {
        // Like any ping: at the next node when there is no acknowledgement, each node once.
        for (std::size_t i = 0; i < system.options.cores; ++i) {
            answer result = call(system.core(i), {.method = "PUT", .path = path, .body = body});
            record.note("other writer: ping at core-" + std::to_string(i) + " answered " +
                        std::to_string(result.status));
            supervise(now_ms() + 50);
        }
        supervise(now_ms() + system.options.heartbeat_ms);
    }
    int machines = 0;
    for (int count : ends) {
        machines += count >= ends_bound ? 1 : 0;
    }
    record.note("core machines whose process ended by itself three times or more: " + std::to_string(machines) +
                " of 3");
    return machines >= 2 ? rule_broken : rule_held;
}

}  // namespace

int main(int argc, char** argv) {
    return review::run_case([&] { return run(argc > 1 ? argv[1] : "record.txt"); });
}
