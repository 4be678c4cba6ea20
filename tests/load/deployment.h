// A small deployment of real processes for tests: 3 control processes, 7 edges in 3 regions, and targets.

#pragma once

#include <catch2/catch.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "../support/child_process.h"
#include "persimmongrade/http_client.h"
#include "persimmongrade/load_generator.h"
#include "persimmongrade/load_report.h"

namespace persimmongrade {

// Largest wait for a process or a configuration before a test fails.
inline constexpr duration deployment_timeout = ms(20000);

struct deployment_options {
    bool two_zones = false;     // per region: of every six hosts of a kind the last three are in zone b
    std::string shift;          // cap of both services, such as "{max_permille: 200, interval_ms: 2000}"
    std::string client_blocks;  // list of the record, such as "[{prefix: 127.0.0.0/8, region: north}]"
};

class deployment {
public:
    static constexpr std::size_t control_count = 3;
    static constexpr std::size_t edge_count = 7;
    static constexpr std::size_t targets_per_service = 6;

    event_loop loop;
    http_client client{loop};
    std::map<std::string, child_process> processes;
    std::filesystem::path directory;

    explicit deployment(const std::string& name, deployment_options given = {}) : layout(std::move(given)) {
        static int count = 0;
        int process = getpid();
        this->net = "127." + std::to_string(40 + process % 100) + "." + std::to_string(process / 100 % 250) + ".";
        this->first_host = static_cast<int>(30 * (count++ % 7));
        this->directory = std::filesystem::temp_directory_path() / ("persimmongrade-" + name + std::to_string(process));
        std::filesystem::create_directories(this->directory);
        for (std::size_t i = 1; i <= control_count; ++i) {
            this->start_control(i, true);
        }
        for (std::size_t i = 1; i <= edge_count; ++i) {
            this->start_edge(i, true);
        }
        for (const char* service : {"look", "book"}) {
            for (std::size_t i = 1; i <= targets_per_service; ++i) {
                this->start_target(service, i);
            }
        }
        this->submit(1, 100000);
        this->wait_until_serving();
    }

    ~deployment() {
        this->processes.clear();
        std::filesystem::remove_all(this->directory);
    }

    // ---- Processes ----

    void start_control(std::size_t i, bool bootstrap) {
        std::string id = "control-" + std::to_string(i);
        this->write(id, this->common("control", i) + "data_directory: " + (this->directory / id).string() + "\n");
        this->start_with_bootstrap(id, "persimmongrade-control", bootstrap);
    }

    // `bootstrap`: the first start of the deployment, with nothing for the ledger to copy. Never for a restart.
    void start_edge(std::size_t i, bool bootstrap) {
        std::string id = "edge-" + std::to_string(i);
        this->write(id, this->common("edge", i) + "stop_timeout_ms: 15000\nlookup_ttl_ms: 1000\n");
        this->start_with_bootstrap(id, "persimmongrade-edge", bootstrap);
    }

    // Starts a process with the id of edge `i` on another host. No other process's settings change.
    void replace_edge(std::size_t i, std::size_t host) {
        std::string id = "edge-" + std::to_string(i);
        this->write(id, this->common("edge", i, host) + "stop_timeout_ms: 15000\nlookup_ttl_ms: 1000\n");
        this->start_with_bootstrap(id, "persimmongrade-edge", false);
    }

    void start_target(const std::string& service, std::size_t i) {
        std::string id = service + "-" + std::to_string(i);
        std::ostringstream text;
        text << "id: " << id << "\nservice: " << service << "\nregion: " << region(i) << "\nzone: " << this->zone(i)
             << "\nhttp_address: \"" << this->target_address(service, i) << "\"\nedges: [";
        for (std::size_t edge = 1; edge <= edge_count; ++edge) {
            text << (edge == 1 ? "" : ", ") << '"' << this->address("edge", (edge + i - 2) % edge_count + 1, 8000)
                 << '"';
        }
        text << "]\nslots: 8\nconnections: 100\nservice_time_ms: 5\njournal: " << this->journal(id) << "\n";
        this->write(id, text.str());
        std::ofstream(this->journal(id), std::ios::app);
        this->start(id, "persimmon-target", {"--config", this->settings_file(id)});
    }

    child_process& process(const std::string& id) { return this->processes.at(id); }

    // ---- Operators and callers ----

    http_call_result call(const std::string& address, const std::string& method, const std::string& target,
                          const std::string& body = "", std::vector<http_header> headers = {}) {
        http_call request;
        request.address = ip_address::parse(address);
        request.method = method;
        request.target = target;
        request.body = body;
        request.headers = std::move(headers);
        request.reuse_connection = false;
        http_call_result received{http_call_status::connection_lost, {}};
        bool done = false;
        call_id id = this->client.send(request, [&](const http_call_result& result) {
            received = result;
            done = true;
            this->loop.stop();
        });
        this->loop.run_for(ms(3000));
        if (!done) {
            this->client.cancel(id);
        }
        return received;
    }

    // Sends an operator's request to each control process until one accepts it.
    void operate(const std::string& method, const std::string& target, const std::string& body) {
        static int number = 0;
        std::string submission = "test-" + std::to_string(getpid()) + "-" + std::to_string(number++);
        time_point until = this->loop.now() + deployment_timeout;
        std::string answer;
        while (this->loop.now() < until) {
            for (std::size_t i = 1; i <= control_count; ++i) {
                auto result = this->call(this->address("control", i, 8100), method, target, body,
                                         {{"submission-id", submission}});
                if (result.status == http_call_status::ok && result.response.status < 300) {
                    return;
                }
                answer = result.response.status == 421 ? answer : result.response.body;
            }
            this->loop.run_for(ms(50));
        }
        FAIL("no control process accepted " << method << " " << target << ": " << answer);
    }

    // Submits the steering record of both services with the given version and region limit.
    void submit(int version, int region_limit) {
        std::ostringstream record;
        record << "schema_version: 2\nname: test\nversion: " << version << "\nservices:\n";
        for (const char* service : {"look", "book"}) {
            record << "  - name: " << service
                   << "\n    idempotent: " << (std::string(service) == "look" ? "true" : "false")
                   << "\n    regions: [north, central, south]\n    slots_per_target: 8\n"
                   << "    connections_per_target: 100\n"
                   << (this->layout.shift.empty() ? "" : "    shift: " + this->layout.shift + "\n");
        }
        record << "regions:\n";
        for (std::size_t i = 1; i <= 3; ++i) {
            record << "  - {region: " << region(i) << ", max_requests_per_second: " << region_limit << "}\n";
        }
        record << "links:\n";
        for (std::size_t from = 1; from <= 3; ++from) {
            for (std::size_t to = 1; to <= 3; ++to) {
                if (from != to) {
                    record << "  - {from: " << region(from) << ", to: " << region(to)
                           << ", max_mbit_per_second: 4000}\n";
                }
            }
        }
        if (!this->layout.client_blocks.empty()) {
            record << "client_blocks: " << this->layout.client_blocks << "\n";
        }
        this->operate("POST", "/v1/records", record.str());
    }

    // The leader's status; an empty object when no leader answers.
    nlohmann::json status() {
        for (std::size_t i = 1; i <= control_count; ++i) {
            auto result = this->call(this->address("control", i, 8100), "GET", "/v1/status");
            auto body = nlohmann::json::parse(result.response.body, nullptr, false);
            if (result.status == http_call_status::ok && result.response.status == 200 && body.is_object()) {
                return body;
            }
        }
        return nlohmann::json::object();
    }

    void set_fault(const std::string& service, std::size_t i, const std::string& json) {
        auto result = this->call(this->target_address(service, i), "POST", "/fault", json);
        REQUIRE(result.status == http_call_status::ok);
        REQUIRE(result.response.status == 200);
    }

    // Waits until a booking and a lookup succeed through every edge.
    void wait_until_serving() {
        time_point until = this->loop.now() + deployment_timeout;
        std::mt19937_64 random(static_cast<std::uint64_t>(unix_time_ms()));
        for (std::size_t i = 1; i <= edge_count; ++i) {
            bool serving = false;
            while (!serving && this->loop.now() < until) {
                auto booking = this->call(this->address("edge", i, 8000), "POST", "/s/book/warm", "",
                                          {{"idempotency-key", make_key(random)}});
                auto lookup = this->call(this->address("edge", i, 8000), "GET", "/s/look/warm");
                serving = booking.response.status == 200 && lookup.response.status == 200 &&
                          booking.status == http_call_status::ok && lookup.status == http_call_status::ok;
                this->loop.run_for(ms(50));
            }
            INFO("edge " << i);
            REQUIRE(serving);
        }
    }

    load_options options(duration length) const {
        load_options result;
        for (std::size_t i = 1; i <= edge_count; ++i) {
            result.edges.push_back(ip_address::parse(this->address("edge", i, 8000)));
        }
        result.streams = {load_stream::parse("look:100:lookup:0:512"), load_stream::parse("book:100:booking:64:512")};
        result.length = length;
        result.seed = static_cast<std::uint64_t>(this->first_host + 1);
        result.retries = 3;
        result.resend_share = 0.1;
        result.progress = false;
        return result;
    }

    // Runs load on the deployment's loop; `events` are timers set by the caller beforehand.
    load_observations run_load(const load_options& options) {
        load_generator generator(this->loop, options);
        return generator.run();
    }

    std::vector<violation> check(const load_observations& observed) const {
        return check_outcomes(observed.records, read_journals(this->journals()));
    }

    // ---- Names ----

    static std::string region(std::size_t i) {
        static const char* const names[] = {"north", "central", "south"};
        return names[(i - 1) % 3];
    }

    std::string zone(std::size_t i) const {
        bool second = this->layout.two_zones && (i - 1) / 3 % 2 == 1;
        return region(i) + (second ? "-b" : "-a");
    }

    // Ids of all processes of a region or zone: control processes, edges and targets.
    std::vector<std::string> processes_in(const std::string& place) const {
        std::vector<std::string> ids;
        auto add = [&](const std::string& label, std::size_t count) {
            for (std::size_t i = 1; i <= count; ++i) {
                if (region(i) == place || this->zone(i) == place) {
                    ids.push_back(label + "-" + std::to_string(i));
                }
            }
        };
        add("control", control_count);
        add("edge", edge_count);
        add("look", targets_per_service);
        add("book", targets_per_service);
        return ids;
    }

    std::string address(const std::string& label, std::size_t i, int port) const {
        int offset = label == "control" ? 0 : 10;
        return this->net + std::to_string(this->first_host + offset + static_cast<int>(i)) + ":" + std::to_string(port);
    }

    std::string target_address(const std::string& service, std::size_t i) const {
        int port = (service == "look" ? 9000 : 9100) + static_cast<int>(i);
        return this->net + std::to_string(this->first_host + 20) + ":" + std::to_string(port);
    }

    std::string journal(const std::string& id) const { return (this->directory / (id + ".journal")).string(); }

    std::vector<std::string> journals() const {
        std::vector<std::string> files;
        for (const char* service : {"look", "book"}) {
            for (std::size_t i = 1; i <= targets_per_service; ++i) {
                files.push_back(this->journal(std::string(service) + "-" + std::to_string(i)));
            }
        }
        return files;
    }

    static std::string make_key(std::mt19937_64& random);

private:
    deployment_options layout;
    std::string net;
    int first_host = 0;

    std::string settings_file(const std::string& id) const { return (this->directory / (id + ".yaml")).string(); }

    void write(const std::string& id, const std::string& text) const { std::ofstream(this->settings_file(id)) << text; }

    void start(const std::string& id, const std::string& program, const std::vector<std::string>& arguments) {
        this->processes.insert_or_assign(id,
                                         child_process(program, arguments, (this->directory / (id + ".log")).string()));
    }

    void start_with_bootstrap(const std::string& id, const std::string& program, bool bootstrap) {
        std::vector<std::string> arguments{"--config", this->settings_file(id)};
        if (bootstrap) {
            arguments.emplace_back("--bootstrap");
        }
        this->start(id, program, arguments);
    }

    std::string common(const std::string& label, std::size_t number) const {
        return this->common(label, number, number);
    }

    std::string common(const std::string& label, std::size_t number, std::size_t host) const {
        std::ostringstream text;
        bool control = label == "control";
        text << "cluster: test\nid: " << label << "-" << number << "\nregion: " << region(number)
             << "\nzone: " << this->zone(number) << "\nhttp_address: \""
             << this->address(label, host, control ? 8100 : 8000) << "\"\npeer_address: \""
             << this->address(label, host, control ? 7100 : 7000) << "\"\n";
        this->peers(text, "control", control_count, 7100);
        this->peers(text, "edge", edge_count, 7000);
        return text.str();
    }

    void peers(std::ostringstream& text, const std::string& label, std::size_t count, int port) const {
        text << (label == "edge" ? "edges" : label) << ":\n";
        for (std::size_t i = 1; i <= count; ++i) {
            text << "  - {id: " << label << "-" << i << ", address: \"" << this->address(label, i, port)
                 << "\", region: " << region(i) << ", zone: " << this->zone(i) << "}\n";
        }
    }
};

// ---- Checks ----

inline std::size_t count_outcome(const load_observations& observed, call_outcome outcome) {
    std::size_t count = 0;
    for (const call_record& record : observed.records) {
        count += record.outcome == outcome ? 1 : 0;
    }
    return count;
}

inline void require_promises(const deployment& system, const load_observations& observed, double least_ok_share) {
    auto violations = system.check(observed);
    INFO(render_text(summarize(observed.records, {}, {}, observed.duration_s), violations));
    CHECK(violations.empty());
    double ok_share =
        static_cast<double>(count_outcome(observed, call_outcome::ok)) / static_cast<double>(observed.records.size());
    CHECK(ok_share >= least_ok_share);
}

// Start times of the runs in a journal, Unix milliseconds.
inline std::vector<std::int64_t> run_times(const std::string& journal) {
    std::vector<std::int64_t> times;
    std::ifstream input(journal);
    std::string key;
    std::string method;
    std::string path;
    std::int64_t start = 0;
    while (input >> key >> method >> path >> start) {
        times.push_back(start);
    }
    return times;
}

// Requests that were intended from `from` to `to` (since the start of the run) and not answered with success, in words.
inline std::vector<std::string> failures(const load_observations& observed, duration from, duration to) {
    std::vector<std::string> found;
    for (const call_record& record : observed.records) {
        bool within = record.intended_at_ms >= from.count() && record.intended_at_ms < to.count();
        if (within && record.outcome != call_outcome::ok) {
            found.push_back(std::to_string(record.intended_at_ms) + " ms " + record.service + " " + record.error);
        }
    }
    return found;
}

}  // namespace persimmongrade
