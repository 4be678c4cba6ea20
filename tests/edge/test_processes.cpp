// Runs control, edges and targets as processes. The binaries are in the directory PERSIMMONGRADE_BIN.

#include <csignal>
#include <filesystem>
#include <fstream>

#include "../support/child_process.h"
#include "edge_fixture.h"
#include "persimmongrade/uuid.h"

using namespace persimmongrade;

namespace {

struct deployment {
    std::filesystem::path folder;
    event_loop loop;
    http_client client{loop};
    std::string peers;
    ip_address control_http = test_address(next_port());
    std::vector<ip_address> edges;
    std::vector<child_process> processes;

    deployment() {
        std::string pattern = (std::filesystem::temp_directory_path() / "edge-test-XXXXXX").string();
        REQUIRE(mkdtemp(pattern.data()) != nullptr);
        this->folder = pattern;
        std::filesystem::create_directory(this->folder / "control");
        ip_address control_peer = test_address(next_port());
        std::vector<ip_address> edge_peers;
        this->peers = "cluster: test\ncontrol: [" + entry("control-1", control_peer, "north") + "]\nedges: [";
        for (const std::string region : {"north", "central", "south"}) {
            edge_peers.push_back(test_address(next_port()));
            this->peers += entry("edge-" + region, edge_peers.back(), region) + ", ";
        }
        this->peers += "]\n";
        this->start("persimmongrade-control", identity("control-1", "north", this->control_http) + this->peers +
                                                  "peer_address: \"" + control_peer.to_string() +
                                                  "\"\ndata_directory: " + (this->folder / "control").string() + "\n");
        for (const std::string region : {"north", "central", "south"}) {
            this->edges.push_back(test_address(next_port()));
            this->start("persimmongrade-edge", identity("edge-" + region, region, this->edges.back()) + this->peers +
                                                   "peer_address: \"" + edge_peers[this->edges.size() - 1].to_string() +
                                                   "\"\nlookup_ttl_ms: 300\n");
        }
    }
    ~deployment() { std::filesystem::remove_all(this->folder); }

    static std::string entry(const std::string& id, const ip_address& address, const std::string& region) {
        return "{id: " + id + ", address: \"" + address.to_string() + "\", region: " + region + ", zone: z1}";
    }
    static std::string identity(const std::string& id, const std::string& region, const ip_address& http) {
        return "id: " + id + "\nregion: " + region + "\nzone: z1\nhttp_address: \"" + http.to_string() + "\"\n";
    }

    void start(const std::string& program, const std::string& settings) {
        std::string file = (this->folder / (std::to_string(this->processes.size()) + ".yaml")).string();
        std::ofstream(file) << settings;
        std::vector<std::string> arguments{"--config", file};
        if (program != "persimmon-target") {
            arguments.push_back("--bootstrap");
        }
        this->processes.emplace_back(program, arguments, file + ".log");
    }

    ip_address start_target(const std::string& id, const std::string& service) {
        ip_address address = test_address(next_port());
        this->start("persimmon-target", identity(id, "north", address) + "service: " + service +
                                            "\nslots: 12\nedges: [\"" + this->edges[0].to_string() +
                                            "\"]\njournal: " + this->journal(id) + "\n");
        return address;
    }
    std::string journal(const std::string& id) const { return (this->folder / (id + ".journal")).string(); }
    std::size_t executed(const std::string& id, const std::string& text) const {
        std::ifstream in(this->journal(id));
        std::size_t count = 0;
        for (std::string line; std::getline(in, line);) {
            count += line.find(text) != std::string::npos ? 1 : 0;
        }
        return count;
    }

    http_response call(http_call call) {
        std::optional<http_response> received;
        this->client.send(std::move(call), [&](http_call_result result) {
            received = std::move(result.response);
            received->status = result.status == http_call_status::ok ? received->status : 0;
            this->loop.stop();
        });
        this->loop.run_for(ms(12000));
        REQUIRE(received);
        return *received;
    }
    http_response until(const http_call& wanted, int status) {
        http_response response{0, {}, ""};
        for (int i = 0; i < 100 && response.status != status; ++i) {
            response = this->call(wanted);
            this->loop.run_for(ms(50));
        }
        INFO(response.body);
        REQUIRE(response.status == status);
        return response;
    }
};

const std::string record = R"(
schema_version: 2
name: bureau
version: 1
services:
  - {name: lookups, idempotent: true, regions: [north], slots_per_target: 12, connections_per_target: 330}
  - {name: orders, idempotent: false, regions: [north], slots_per_target: 12, connections_per_target: 330}
regions:
  - {region: north, max_requests_per_second: 5000}
  - {region: central, max_requests_per_second: 5000}
  - {region: south, max_requests_per_second: 5000}
links:
  - {from: central, to: north, max_mbit_per_second: 4000}
  - {from: north, to: central, max_mbit_per_second: 4000}
  - {from: south, to: north, max_mbit_per_second: 4000}
  - {from: north, to: south, max_mbit_per_second: 4000}
)";

}  // namespace

// Guards the whole path: records reach edges, requests reach targets once, crashes are contained, stops are clean.
TEST_CASE("control, three edges and four targets as processes") {
    deployment run;
    run.start_target("order-1", "orders");
    std::vector<ip_address> targets;
    for (const std::string id : {"lookup-1", "lookup-2", "lookup-3"}) {
        targets.push_back(run.start_target(id, "lookups"));
    }
    run.until({run.control_http, "POST", "/v1/records", {{"submission-id", "s1"}}, record}, 200);
    http_response answer = run.until({run.edges[1], "GET", "/s/lookups/records/7", {{"x-answer-bytes", "500"}}}, 200);
    CHECK(answer.body.size() == 500);
    CHECK(answer.body.starts_with("/records/7"));
    run.loop.run_for(ms(600));  // every edge has reported that it serves, and every other one has heard of it
    CHECK(run.until({run.edges[2], "GET", "/v1/lookup?service=lookups"}, 200).body.find("edge-north") !=
          std::string::npos);

    std::string key = make_uuid_v7(unix_time_ms());
    run.until({run.edges[0], "POST", "/s/orders/a", {{"idempotency-key", key}}, "lamp"}, 200);
    CHECK(run.call({run.edges[2], "POST", "/s/orders/a", {{"idempotency-key", key}}, "lamp"}).status == 200);
    CHECK(run.executed("order-1", key) == 1);

    for (const ip_address& target : targets) {
        CHECK(run.call({target, "POST", "/fault", {}, R"({"crash_on":"1"})"}).status == 200);
    }
    http_call crash{run.edges[0], "GET", "/s/lookups/crash", {{"x-crash", "1"}}};
    http_response refused = run.until(crash, 422);
    CHECK(refused.body.find(R"("error":"quarantined")") != std::string::npos);
    crash.address = run.edges[1];
    CHECK(run.call(crash).body.find(R"("error":"quarantined")") != std::string::npos);
    std::size_t crashes = 0;
    for (const std::string id : {"lookup-1", "lookup-2", "lookup-3"}) {
        crashes += run.executed(id, "/crash");
    }
    CHECK(crashes == 2);
    run.until({run.edges[0], "GET", "/s/lookups/a"}, 200);

    run.processes[4].signal(SIGTERM);  // order-1
    run.processes[1].signal(SIGTERM);  // edge-north
    CHECK(run.processes[1].wait(std::chrono::seconds(5)) == 0);
    CHECK(run.processes[4].wait(std::chrono::seconds(5)) == 0);
}
