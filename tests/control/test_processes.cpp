// Guards accepted changes against the loss of processes, with real daemons: nothing accepted is lost or reverted.
// The programs are in the directory named by PERSIMMONGRADE_BIN.

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include "common_generated.h"
#include "persimmongrade/http_client.h"

using namespace persimmongrade;
using nlohmann::json;

extern char** environ;

namespace {

std::string bin(const std::string& program) {
    const char* directory = std::getenv("PERSIMMONGRADE_BIN");
    return std::string(directory == nullptr ? "build/bin" : directory) + "/" + program;
}

pid_t spawn(std::vector<std::string> words) {
    std::vector<char*> arguments;
    for (std::string& word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 1, "/dev/null", O_WRONLY, 0);
    posix_spawn_file_actions_addopen(&files, 2, "/dev/null", O_WRONLY, 0);
    pid_t pid = 0;
    int failure = posix_spawn(&pid, words[0].c_str(), &files, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    REQUIRE(failure == 0);
    return pid;
}

int exit_status(pid_t pid) {
    int status = 0;
    waitpid(pid, &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

// Three control processes on one loopback address of this test process.
struct cluster {
    static constexpr int size = 3;
    static inline int next_port = 20000;

    std::string ip = "127.0.3." + std::to_string(getpid() % 200 + 20);
    int base = next_port += 10;
    std::filesystem::path directory =
        std::filesystem::temp_directory_path() /
        ("persimmongrade-control-" + std::to_string(getpid()) + "-" + std::to_string(base));
    std::vector<pid_t> pids = std::vector<pid_t>(size, 0);
    event_loop loop;
    http_client client{loop};

    cluster() {
        std::filesystem::create_directories(this->directory);
        for (int i = 0; i < size; ++i) {
            this->write_settings(i);
            this->start(i, true);
        }
    }

    ~cluster() {
        for (int i = 0; i < size; ++i) {
            this->kill(i);
        }
        std::filesystem::remove_all(this->directory);
    }

    std::string http(int i) const { return this->ip + ":" + std::to_string(this->base + i); }
    std::string peer(int i) const { return this->ip + ":" + std::to_string(this->base + size + i); }
    std::string name(int i) const { return "control-" + std::to_string(i + 1); }
    std::string file(int i) const { return this->directory / (this->name(i) + ".yaml"); }
    std::filesystem::path data(int i) const { return this->directory / this->name(i); }

    void write_settings(int i) const {
        std::ofstream out(this->file(i));
        out << "cluster: test\nid: " << this->name(i)
            << "\nregion: north\nzone: north-a\nhttp_address: " << this->http(i) << "\npeer_address: " << this->peer(i)
            << "\ndata_directory: " << this->data(i).string() << "\nsnapshot_entries: 50\ncontrol:\n";
        for (int k = 0; k < size; ++k) {
            out << "  - {id: " << this->name(k) << ", address: \"" << this->peer(k) << "\", http_address: \""
                << this->http(k) << "\", region: north, zone: north-a}\n";
        }
        out << "edges:\n  - {id: edge-1, address: \"127.0.3.1:1\", region: north, zone: north-a}\n";
    }

    void start(int i, bool bootstrap) {
        std::vector<std::string> words = {bin("persimmongrade-control"), "--config", this->file(i)};
        if (bootstrap) {
            words.emplace_back("--bootstrap");
        }
        this->pids[i] = spawn(std::move(words));
    }

    void kill(int i) {
        if (this->pids[i] != 0) {
            ::kill(this->pids[i], SIGKILL);
            exit_status(this->pids[i]);
            this->pids[i] = 0;
        }
    }

    // Status code 0 when there is no answer within the limit.
    http_response call(int i, const std::string& method, const std::string& target, const std::string& id = "",
                       const std::string& body = "", duration limit = ms(700)) {
        http_call request{ip_address::parse(this->http(i)), method, target, {}, body};
        request.reuse_connection = false;
        if (!id.empty()) {
            request.headers.push_back({"submission-id", id});
        }
        http_response response{0, {}, ""};
        bool done = false;
        call_id number = this->client.send(std::move(request), [&](http_call_result result) {
            done = true;
            if (result.status == http_call_status::ok) {
                response = std::move(result.response);
            }
            this->loop.stop();
        });
        this->loop.run_for(limit);
        if (!done) {
            this->client.cancel(number);
        }
        return response;
    }

    // Asks each process in turn until one gives an answer as leader, at most for 10 s. Resends keep the id.
    json ask(const std::string& method, const std::string& target, const std::string& id = "",
             const std::string& body = "") {
        time_point latest = this->loop.now() + ms(10000);
        for (int i = 0; this->loop.now() < latest; ++i) {
            http_response response = this->call(i % size, method, target, id, body);
            bool final_answer = response.status != 0 && response.status != 421 && response.status < 500;
            if (final_answer) {
                return json::parse(response.body);
            }
            this->loop.run_for(ms(20));
        }
        FAIL("no leader answered " << method << " " << target);
        return {};
    }

    json submit(const std::string& id, const std::string& record, int version) {
        return this->ask("POST", "/v1/records", id,
                         "schema_version: 1\nname: " + record + "\nversion: " + std::to_string(version) +
                             "\nregion_limits: {north: 900}\nservices: {}\n");
    }

    int leader() {
        std::string found = this->ask("GET", "/v1/status")["leader"];
        return found.back() - '1';
    }
};

}  // namespace

TEST_CASE("accepted submissions survive kill -9 of two leaders in turn and then of all processes") {
    cluster c;
    std::map<std::string, std::uint64_t> accepted;
    std::uint64_t last_revision = 0;
    for (int i = 0; i < 150; ++i) {
        if (i == 40 || i == 90) {
            int victim = c.leader();
            c.kill(victim);
            c.submit("during-" + std::to_string(i), "during-" + std::to_string(i), 1);
            c.start(victim, false);
        }
        std::string id = "r" + std::to_string(i);
        json answer = c.submit(id, id, 1);
        REQUIRE(answer["status"] == "accepted");
        std::uint64_t revision = answer["revision"];
        CHECK(revision > last_revision);
        last_revision = revision;
        accepted[id] = revision;
    }
    for (int i = 0; i < cluster::size; ++i) {
        c.kill(i);
    }
    for (int i = 0; i < cluster::size; ++i) {  // what only memory held is gone now
        c.start(i, false);
    }
    std::map<std::string, std::uint64_t> found;
    json listed = c.ask("GET", "/v1/records");
    for (const json& record : listed["records"]) {
        found[record["name"]] = record["revision"];
    }
    for (const auto& [id, revision] : accepted) {
        CHECK(found[id] == revision);
    }
    CHECK(c.submit("r7", "other-content", 9)["revision"] == accepted["r7"]);  // the first answer is repeated
}

TEST_CASE("a leader paused beyond its lease serves nothing as current and does not disturb its successor") {
    cluster c;
    c.submit("1", "r", 1);
    int old_leader = c.leader();
    ::kill(c.pids[old_leader], SIGSTOP);
    CHECK(c.submit("2", "r", 2)["status"] == "accepted");
    int new_leader = c.leader();
    json before = c.ask("GET", "/v1/status");
    REQUIRE(new_leader != old_leader);
    // The request waits in the paused process's socket and is read before any message of the new leader.
    http_response stale{0, {}, ""};
    http_call read{ip_address::parse(c.http(old_leader)), "GET", "/v1/records/r"};
    c.client.send(std::move(read), [&](const http_call_result& result) { stale = result.response; });
    c.loop.run_for(ms(100));
    ::kill(c.pids[old_leader], SIGCONT);
    c.loop.run_for(ms(800));
    CHECK((stale.status == 421 || stale.status == 503));
    CHECK(c.call(old_leader, "GET", "/v1/records/r").status == 421);
    json after = c.ask("GET", "/v1/status");
    CHECK(after["leader"] == before["leader"]);
    CHECK(after["term"] == before["term"]);
    CHECK(c.ask("GET", "/v1/records/r")["version"] == 2);
}

TEST_CASE("a process that lost its data folder is replaced, and a second loss costs nothing") {
    cluster c;
    for (int i = 0; i < 60; ++i) {  // beyond snapshot_entries
        c.submit("r" + std::to_string(i), "r" + std::to_string(i), 1);
    }
    int lost = (c.leader() + 1) % cluster::size;
    c.kill(lost);
    std::filesystem::remove_all(c.data(lost));
    c.start(lost, false);
    bool replaced = false;
    for (int i = 0; i < 100 && !replaced; ++i) {
        c.loop.run_for(ms(50));
        json members = c.ask("GET", "/v1/status")["members"];
        for (const json& member : members) {
            bool renewed = std::string(member["id"]).starts_with(c.name(lost) + ".") && member["voting"] == true;
            replaced = replaced || (renewed && members.size() == 3);
        }
    }
    REQUIRE(replaced);
    c.kill(c.leader());
    CHECK(c.submit("after", "after", 1)["status"] == "accepted");
    CHECK(c.ask("GET", "/v1/records")["records"].size() == 61);
}

TEST_CASE("bad input is refused with a typed error and leaves the process running") {
    cluster c;
    int leader = c.leader();
    auto error_of = [&](const std::string& method, const std::string& target, const std::string& id,
                        const std::string& body) {
        http_response response = c.call(leader, method, target, id, body);
        json parsed = json::parse(response.body, nullptr, false);
        return std::to_string(response.status) + " " + (parsed.is_object() ? parsed.value("error", "") : "");
    };
    CHECK(error_of("POST", "/v1/records", "", "schema_version: 1") == "400 bad_request");
    CHECK(error_of("POST", "/v1/records", std::string(200, 'x'), "") == "400 bad_request");
    CHECK(error_of("POST", "/v1/records", "1", "\x01{[") == "400 invalid_record");
    CHECK(error_of("POST", "/v1/drains", "2", "{\"target\":7}") == "400 bad_request");
    CHECK(error_of("POST", "/v1/members", "", "{\"id\":\"x\"}") == "400 bad_request");
    CHECK(error_of("DELETE", "/v1/records/r?version=x", "3", "") == "400 bad_request");
    CHECK(error_of("DELETE", "/v1/drains/absent", "4", "") == "404 not_found");
    CHECK(error_of("PATCH", "/v1/records", "", "") == "405 method_not_allowed");
    CHECK(error_of("GET", "/v1/nothing", "", "") == "404 not_found");
    CHECK(error_of("GET", "/v1/watch?after=-1", "", "") == "400 bad_request");
    CHECK(error_of("POST", "/v1/records", "5", std::string(2u << 20, 'x')) == "400 invalid_record");
    // The answer to an even larger body can be lost with the connection, so the counter is checked below.
    int status = c.call(leader, "POST", "/v1/records", "6", std::string(5u << 20, 'x')).status;
    CHECK((status == 413 || status == 0));
    for (const std::string& port : {c.http(leader), c.peer(leader)}) {
        sockaddr_storage address{};
        socklen_t length = ip_address::parse(port).to_sockaddr(address);
        int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        REQUIRE(::connect(socket, reinterpret_cast<sockaddr*>(&address), length) == 0);
        std::string noise(4096, '\xff');
        CHECK(::write(socket, noise.data(), noise.size()) > 0);
        ::close(socket);
    }
    c.loop.run_for(ms(100));
    std::string metrics = c.call(leader, "GET", "/metrics").body;
    CHECK(metrics.find("persimmongrade_operator_refusals_total{error=\"bad_request\"} 6") != std::string::npos);
    CHECK(metrics.find("persimmongrade_http_rejected_requests 0") == std::string::npos);
    CHECK(metrics.find("persimmongrade_peer_corrupt_frames_total 1") != std::string::npos);
}

TEST_CASE("SIGTERM hands the leadership over and exits with 0") {
    cluster c;
    c.submit("1", "r", 1);
    int leader = c.leader();
    ::kill(c.pids[leader], SIGTERM);
    CHECK(exit_status(std::exchange(c.pids[leader], 0)) == 0);
    time_point stopped = c.loop.now();
    CHECK(c.submit("2", "r", 2)["status"] == "accepted");
    CHECK(c.loop.now() - stopped < ms(400));  // an election without a transfer takes at least its timeout
}

TEST_CASE("exit codes of persimmonctl and of the settings check") {
    cluster c;
    std::string record = c.directory / "record.yaml";
    auto write = [&](int version, int limit) {
        std::ofstream(record) << "schema_version: 1\nname: r\nversion: " << version
                              << "\nregion_limits: {north: " << limit << "}\nservices: {}\n";
    };
    auto run = [&](std::vector<std::string> words) {
        words.insert(words.begin(), {bin("persimmonctl"), "--control", c.http(0), "--control", c.http(1)});
        return exit_status(spawn(std::move(words)));
    };
    write(1, 900);
    CHECK(run({"submit", record}) == 0);
    write(1, 800);
    CHECK(run({"submit", record}) == 3);
    write(2, -1);
    CHECK(run({"amend", record}) == 1);
    CHECK(run({"drain", "t1", "--wait", "--timeout-ms", "5000"}) == 0);
    CHECK(run({"get", "absent"}) == 1);
    CHECK(run({"get"}) == 2);
    CHECK(run({"submit", "/nonexistent"}) == 2);
    CHECK(run({"explain", "version_conflict"}) == 0);
    for (wire::refusal_reason reason : wire::EnumValuesrefusal_reason()) {
        const char* name = wire::EnumNamerefusal_reason(reason);
        INFO(name);
        CHECK((reason == wire::refusal_reason::none || run({"explain", name}) == 0));
    }
    std::string settings = c.directory / "ctl.yaml";
    std::ofstream(settings) << "control: [\"" << c.http(2) << "\"]\noutput: json\n";
    CHECK(exit_status(spawn({bin("persimmonctl"), "--config", settings, "status"})) == 0);
    std::ofstream(settings) << "contrl: []\n";
    CHECK(exit_status(spawn({bin("persimmonctl"), "--config", settings, "--check-config"})) == 2);
    int leader = c.leader();
    for (int i = 0; i < cluster::size; ++i) {
        if (i != leader) {
            ::kill(c.pids[i], SIGSTOP);
        }
    }
    int code = run({"undrain", "t1", "--timeout-ms", "1000"});
    CHECK((code == 4 || code == 5));  // refused, or proposed before the leader lease ended
    for (int i = 0; i < cluster::size; ++i) {
        c.kill(i);
    }
    CHECK(run({"list", "--timeout-ms", "300"}) == 4);
    std::ofstream(c.file(0), std::ios::app) << "snapshot_entires: 3\n";
    CHECK(exit_status(spawn({bin("persimmongrade-control"), "--config", c.file(0), "--check-config"})) == 2);
    CHECK(exit_status(spawn({bin("persimmongrade-control"), "--config", c.file(1), "--check-config"})) == 0);
    CHECK(exit_status(spawn({bin("persimmongrade-control"), "--help"})) == 0);
}
