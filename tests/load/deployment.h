// A small deployment of real processes for tests: 3 control processes, 7 edges in 3 regions, and targets.

#pragma once

#include <catch2/catch.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include "../support/child_process.h"
#include "persimmongrade/http_client.h"
#include "persimmongrade/load_generator.h"
#include "persimmongrade/load_report.h"

namespace persimmongrade {

// Largest wait for a process or a configuration before a test fails.
inline constexpr duration deployment_timeout = ms(20000);

class deployment {
public:
    static constexpr std::size_t control_count = 3;
    static constexpr std::size_t edge_count = 7;
    static constexpr std::size_t targets_per_service = 6;

    event_loop loop;
    http_client client{loop};
    std::map<std::string, child_process> processes;
    std::filesystem::path directory;

    explicit deployment(const std::string& name) {
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
        text << "id: " << id << "\nservice: " << service << "\nregion: " << region(i) << "\nzone: " << region(i)
             << "-a\nhttp_address: \"" << this->target_address(service, i) << "\"\nedges: [";
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
        while (this->loop.now() < until) {
            for (std::size_t i = 1; i <= control_count; ++i) {
                auto result = this->call(this->address("control", i, 8100), method, target, body,
                                         {{"submission-id", submission}});
                if (result.status == http_call_status::ok && result.response.status < 300) {
                    return;
                }
            }
            this->loop.run_for(ms(50));
        }
        FAIL("no control process accepted " << method << " " << target);
    }

    // Submits the steering record of both services with the given version and region limit.
    void submit(int version, int region_limit) {
        std::ostringstream record;
        record << "schema_version: 2\nname: test\nversion: " << version << "\nservices:\n";
        for (const char* service : {"look", "book"}) {
            record << "  - name: " << service
                   << "\n    idempotent: " << (std::string(service) == "look" ? "true" : "false")
                   << "\n    regions: [north, central, south]\n    slots_per_target: 8\n"
                   << "    connections_per_target: 100\n";
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
        this->operate("POST", "/v1/records", record.str());
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

private:
    std::string net;
    int first_host = 0;

    static std::string make_key(std::mt19937_64& random);

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
             << "\nzone: " << region(number) << "-a\nhttp_address: \""
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
                 << "\", region: " << region(i) << ", zone: " << region(i) << "-a}\n";
        }
    }
};

}  // namespace persimmongrade
