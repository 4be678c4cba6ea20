// Control processes and gateways of the platform as real processes, for tests that take the part of the targets, the
// clients and the operator.
//
//     fleet_deployment system("soak-11", {.controls = 5, .gateways = 4});
//     system.submit_until_accepted(items);
//     system.call(system.gateway_address(0), "GET", "/safe/x", "", ms(1500), [](int status, const auto&) { ... });
//     system.process("gateway-0").running->signal(SIGKILL);
//     system.restart("gateway-0");
//
// Hosts alternate between the regions north and south, which have two availability zones each.

#pragma once

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "child_process.h"
#include "persimmongrade/event_loop.h"
#include "persimmongrade/http_client.h"

namespace persimmongrade {

struct fleet_deployment_options {
    std::size_t controls = 3;
    std::size_t gateways = 4;
    duration heartbeat = ms(400);  // of targets
};

struct fleet_process {
    std::string program;
    std::string settings;  // file
    std::string log;       // file
    std::optional<child_process> running;
};

class fleet_deployment {
public:
    using answer_function = std::function<void(int status, const http_response& response)>;

    fleet_deployment(const std::string& name, const fleet_deployment_options& options)
        : directory("/tmp/persimmongrade-" + name + "-" + std::to_string(::getpid())), options(options), client(loop) {
        std::filesystem::create_directories(this->directory);
        for (std::size_t i = 0; i < options.controls; ++i) {
            this->start_control(i, true);
        }
        for (std::size_t i = 0; i < options.gateways; ++i) {
            this->start_gateway(i);
        }
    }

    ~fleet_deployment() {
        this->processes.clear();
        if (this->keep_logs) {
            std::cout << "logs are kept in " << this->directory << "\n";
        } else {
            std::filesystem::remove_all(this->directory);
        }
    }

    fleet_deployment(const fleet_deployment&) = delete;
    fleet_deployment& operator=(const fleet_deployment&) = delete;

    std::string directory;
    bool keep_logs = false;  // set when the test failed
    event_loop loop;

    // ---- Places ----

    static std::string ip(std::size_t group, std::size_t number) {
        return "127." + std::to_string(60 + ::getpid() % 100) + "." + std::to_string(group) + "." +
               std::to_string(number + 1);
    }
    static std::string control_address(std::size_t i) { return ip(1, i) + ":7200"; }
    static std::string gateway_address(std::size_t i) { return ip(2, i) + ":7300"; }
    static std::string region(std::size_t i) { return i % 2 == 0 ? "north" : "south"; }
    static std::string zone(std::size_t i) { return region(i) + (i % 4 < 2 ? "-1" : "-2"); }

    // ---- Processes ----

    void start_control(std::size_t i, bool bootstrap) {
        std::string name = "control-" + std::to_string(i);
        std::string file = this->directory + "/" + name + ".yaml";
        this->write_settings(file, 1, i,
                             "control_http_address: \"" + control_address(i) +
                                 "\"\nlost_disks: " + std::to_string(this->options.controls / 2) +
                                 "\nbootstrap: " + (bootstrap ? "true" : "false") +
                                 "\ndata_directory: " + this->directory + "/" + name + "\n");
        this->start(name, "persimmongrade-fleet", file);
    }

    void start_gateway(std::size_t i) {
        std::string name = "gateway-" + std::to_string(i);
        std::string file = this->directory + "/" + name + ".yaml";
        this->write_settings(
            file, 2, i, "front_address: \"" + gateway_address(i) + "\"\nready_address: \"" + ip(2, i) + ":7301\"\n");
        this->start(name, "persimmongrade-gateway", file);
    }

    void restart(const std::string& name) {
        fleet_process& entry = this->processes.at(name);
        entry.running.emplace(entry.program, std::vector<std::string>{"--config", entry.settings}, entry.log);
    }

    fleet_process& process(const std::string& name) { return this->processes.at(name); }

    void continue_all() {
        for (auto& [name, entry] : this->processes) {
            if (entry.running) {
                entry.running->signal(SIGCONT);
            }
        }
    }

    // ---- Calls ----

    // `done` gets the status, 0 when the connection failed, or -1 after `limit`.
    void call(const std::string& address, const std::string& method, const std::string& path, const std::string& body,
              duration limit, answer_function done, std::vector<http_header> headers = {}, bool reuse = true) {
        http_call call;
        call.address = ip_address::parse(address);
        call.method = method;
        call.target = path;
        call.host = "a.example";
        call.headers = std::move(headers);
        call.body = body;
        call.reuse_connection = reuse;
        auto ended = std::make_shared<bool>(false);
        call_id id = this->client.send(std::move(call), [ended, done](const http_call_result& result) {
            if (!std::exchange(*ended, true)) {
                done(result.status == http_call_status::ok ? result.response.status : 0, result.response);
            }
        });
        this->loop.after(limit, [this, ended, id, done] {
            if (!std::exchange(*ended, true)) {
                this->client.cancel(id);
                done(-1, {});
            }
        });
    }

    // Sends items to a control process, and to the leader that it names. `done` gets the last status.
    void submit(const nlohmann::json& items, const std::string& address, const std::function<void(int)>& done,
                int redirects = 2) {
        this->call(address, "PATCH", "/api/config", items.dump(), ms(1500),
                   [this, items, done, redirects](int status, const http_response& response) {
                       if (status == 307 && redirects > 0) {
                           this->submit(items, host_of(response), done, redirects - 1);
                       } else {
                           done(status);
                       }
                   });
    }

    bool submit_until_accepted(const nlohmann::json& items) {
        constexpr int most_tries = 40;
        bool accepted = false;
        for (int i = 0; i < most_tries && !accepted; ++i) {
            this->submit(items, control_address(static_cast<std::size_t>(i) % this->options.controls),
                         [&accepted](int status) { accepted = accepted || status == 200; });
            this->loop.run_for(ms(300));
        }
        this->loop.run_for(ms(1500));  // the last calls end, and gateways apply the items
        return accepted;
    }

    // Heartbeat of a target whose zone is that of host `i`.
    nlohmann::json heartbeat(std::size_t i, const std::string& address, std::int64_t started_at,
                             std::uint64_t sequence) const {
        return {{"address", address},
                {"born", started_at},
                {"info", {{"service", "s"}, {"version", "v1"}, {"zone", zone(i)}, {"slots", 4}}},
                {"status", {{"state", "ready"}, {"sequence", sequence}, {"warmup-left-ms", 0}}}};
    }

    // Two routes, /once/ and /safe/, to the service s.
    static nlohmann::json items(std::uint64_t version) {
        nlohmann::json route = {{"host", "a.example"},
                                {"path-prefix", "/once/"},
                                {"route-type", "unsafe"},
                                {"timeout-ms", 1500},
                                {"target-latency-ms", 200},
                                {"priority", 0},
                                {"service", "s"},
                                {"max-attempts", 2},
                                {"sticky", true},
                                {"allowed-regions", nlohmann::json::array()},
                                {"version", "r" + std::to_string(version)}};
        nlohmann::json safe = route;
        safe["path-prefix"] = "/safe/";
        safe["route-type"] = "safe";
        return {
            {"upsert",
             {{"routes", {{"once", route}, {"safe", safe}}},
              {"services",
               {{"s", {{"max-connections", 300}, {"warmup-s", 0.0}, {"warmup-per-s", 50.0}, {"version", "r1"}}}}}}}};
    }

private:
    static std::string host_of(const http_response& response) {
        std::string location(response.header("location").value_or("http://127.0.0.1:1/"));
        std::string rest = location.substr(7);
        return rest.substr(0, rest.find('/'));
    }

    void write_settings(const std::string& file, std::size_t group, std::size_t i, const std::string& own) const {
        std::ofstream out(file);
        out << "cluster: soak\nnode: " << (group == 1 ? "control-" : "gateway-") << i << "\nregion: " << region(i)
            << "\nzone: " << zone(i) << "\npeer_address: \"" << ip(group, i) << ":7100\"\nmetrics_address: \""
            << ip(group, i) << ":7101\"\nentry_http_address: \"" << ip(group, i) << ":7201\"\nseeds: ["
            << control_address(0) << "," << control_address(1) << "," << control_address(2) << "]\nzones:\n";
        for (std::size_t z = 0; z < 4; ++z) {
            out << "  - {zone: " << zone(z) << ", region: " << region(z) << "}\n";
        }
        out << "heartbeat_ms: " << this->options.heartbeat.count() << "\nstop_timeout_ms: 4000\n" << own;
    }

    void start(const std::string& name, const std::string& program, const std::string& settings) {
        fleet_process& entry = this->processes[name];
        entry = {program, settings, this->directory + "/" + name + ".log", std::nullopt};
        entry.running.emplace(program, std::vector<std::string>{"--config", settings}, entry.log);
    }

    fleet_deployment_options options;
    http_client client;
    std::map<std::string, fleet_process> processes;
};

}  // namespace persimmongrade
