// A core machine is gone for good and an empty one takes its place, while another core machine stands still for some
// seconds. Later two core machines lose their disks, as many as the deployment has to bear. See claim.txt of the case.

#include "standins.h"

namespace {

using namespace review;

constexpr std::int64_t freeze_ms = 5000;
constexpr std::int64_t sync_ms = 4000;        // bound `sync-s`
constexpr std::int64_t recovery_ms = 15000;   // bound `recovery-s`
constexpr std::int64_t read_back_ms = 10000;  // `contact-ms` is 3,000 ms

int run(const std::string& record_file) {
    event_record record(record_file);
    deployment system(record, {.cores = 5, .fronts = 1, .lost_disks = 2});
    system.start_all();
    route_text route{.name = "r-desk", .prefix = "/desk/", .service = "desk"};
    bool started =
        system.order_until_acknowledged("PATCH", "/api/config", first_items({route}, {"desk"})) && system.wait_ready();
    if (!started) {
        return could_not_run;
    }
    sleep_ms(3000);

    // core-0 is replaced by the empty core-5. core-4 stands still meanwhile.
    if (with_trouble()) {
        system.signal("core-4", SIGSTOP);
    }
    sleep_ms(500);
    system.kill("core-0");
    record.note("core-0 is gone for good");
    sleep_ms(1000);
    system.start_core(5, false);
    sleep_ms(freeze_ms - 1500);
    if (with_trouble()) {
        system.signal("core-4", SIGCONT);
    }
    sleep_ms(2 * sync_ms);

    route.version = 2;
    route.timeout_ms = 1400;
    std::string change = "{\"upsert\":{\"routes\":{" + route_json(route) + "}}}";
    if (!system.order_until_acknowledged("PATCH", "/api/config", change)) {
        return could_not_run;
    }
    sleep_ms(2 * sync_ms);

    // Two of the five machines lose their disks and are back a second later.
    system.lose_disk("core-1");
    system.lose_disk("core-2");
    sleep_ms(1000);
    system.restart("core-1");
    system.restart("core-2");
    sleep_ms(recovery_ms);

    bool read_back = false;
    std::int64_t until = now_ms() + read_back_ms;
    for (std::size_t i = 1; now_ms() < until && !read_back; ++i) {
        std::size_t node = i % 6 == 0 ? 5 : i % 6;  // core-0 is gone
        answer result = system.order("GET", "/api/config", "", node);
        read_back = result.status == 200 && result.content.body.find("\"version\":\"r2\"") != std::string::npos;
        record.note("operator: GET /api/config at core-" + std::to_string(node) + " answered " +
                    std::to_string(result.status) + (read_back ? ", with the acknowledged version" : ""));
        sleep_ms(500);
    }
    record.note(read_back ? "the manifest was read back" : "the acknowledged manifest could not be read back");
    return read_back ? rule_held : rule_broken;
}

}  // namespace

int main(int argc, char** argv) {
    return review::run_case([&] { return run(argc > 1 ? argv[1] : "record.txt"); });
}
