// Case 7: a core machine is replaced while another one is frozen; before that one wakes, two others lose their disks.
// With TROUBLE=0 no machine is frozen.

#include "../support-2/standin.h"

namespace {

using namespace review;

constexpr auto frozen_time = milliseconds(7200);
constexpr auto replacement_delay = milliseconds(1000);
constexpr auto sync_time = milliseconds(4000);  // bound `sync-s`, after which the new machine no longer counts as lost
constexpr auto down_time = milliseconds(1000);
constexpr auto recovery_time = milliseconds(15000);  // bound `recovery-s`
constexpr auto contact_time = milliseconds(3000);    // bound `contact-ms`

// The core machine that answers itself, without a redirection.
std::optional<std::size_t> find_leader(const platform& system) {
    for (std::size_t i = 0; i < system.cores(); ++i) {
        http_connection connection;
        auto answer =
            connection.call(system.control(i), "GET /api/config HTTP/1.1\r\nHost: " + system.control(i).text() + "\r\n",
                            "", milliseconds(1000));
        if (answer && answer->status() == 200) {
            return i;
        }
    }
    return std::nullopt;
}

std::string change(int version) {
    return "{\"upsert\":{\"routes\":{" + route_json("r-a", "/lepu270/", "safe", "huvo11a", 1500 + version, version) +
           "}}}";
}

int run(record_file& record) {
    platform system(record, {.cores = 5, .gateways = 2});
    operator_client operators(system);
    std::string first = first_call(route_json("r-a", "/lepu270/", "safe", "huvo11a", 1500, 1), {"huvo11a"});
    if (!operators.order("PATCH", "/api/config", first, milliseconds(15000))) {
        record.line("not run: the first call was not acknowledged");
        return exit_not_run;
    }
    pause(milliseconds(8000));  // all core machines are members, as when traffic starts
    auto leader = find_leader(system);
    if (!leader) {
        record.line("not run: no leader");
        return exit_not_run;
    }
    std::vector<std::string> others;
    for (std::size_t i = 0; i < system.cores(); ++i) {
        if (i != *leader) {
            others.push_back("core-" + std::to_string(i));
        }
    }
    record.line("leader: core-" + std::to_string(*leader));
    auto woken_at = steady::now() + frozen_time;
    if (has_trouble()) {
        system.send_signal(others[0], SIGSTOP);
    }
    pause(milliseconds(200));
    system.remove(others[1]);
    pause(replacement_delay);
    system.add_core(system.cores());
    auto synced_at = steady::now() + sync_time;
    pause(milliseconds(2500));
    if (!operators.order("PATCH", "/api/config", change(2), milliseconds(4000))) {
        record.line("not run: the change was not acknowledged");
        return exit_not_run;
    }
    record.line("operator: version r2 is acknowledged");
    std::this_thread::sleep_until(synced_at + milliseconds(100));
    system.lose_disk(others[2], down_time);
    system.lose_disk(others[3], down_time);
    std::this_thread::sleep_until(woken_at);
    if (has_trouble()) {
        system.send_signal(others[0], SIGCONT);
    }
    auto until = steady::now() + recovery_time + contact_time;
    bool read_back = false;
    while (!read_back && steady::now() < until) {
        auto answer = operators.order("GET", "/api/config", "", milliseconds(3000));
        record.line("operator: reads back: " +
                    (answer ? answer->body : "no answer, last status " + std::to_string(operators.last_status)));
        read_back = answer && answer->body.find("\"version\":\"r2\"") != std::string::npos;
    }
    record.line(std::string("result: version r2 was acknowledged and ") +
                (read_back ? "is read back" : "can't be read back after recovery-s and contact-ms"));
    return read_back ? exit_held : exit_broken;
}

}  // namespace

int main(int argc, char** argv) {
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
