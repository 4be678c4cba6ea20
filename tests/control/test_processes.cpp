// Tests with real daemons: no accepted change is lost or reverted when processes or disks are lost. The environment
// variable PERSIMMONGRADE_BIN names the directory of the programs.

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>

#include <sys/resource.h>

#include "../support/child_process.h"
#include "common_generated.h"
#include "persimmongrade/http_client.h"

using namespace persimmongrade;
using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds exit_limit{20000};

int run_and_wait(const std::string& program, const std::vector<std::string>& arguments) {
    return child_process(program, arguments, "/dev/null").wait(exit_limit);
}

std::string small_record(const std::string& name, int version) {
    return "schema_version: 1\nname: " + name + "\nversion: " + std::to_string(version) +
           "\nregion_limits: {north: 900}\nservices: {}\n";
}

// Three control processes on one loopback address, and optionally an edge.
struct cluster {
    static constexpr int size = 3;
    static inline int next_port = 20000;

    std::string ip = "127.0.3." + std::to_string(getpid() % 200 + 20);
    int base = next_port += 10;
    std::filesystem::path directory =
        std::filesystem::temp_directory_path() /
        ("persimmongrade-control-" + std::to_string(getpid()) + "-" + std::to_string(base));
    std::map<int, child_process> processes;
    std::optional<child_process> edge;
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
        this->processes.clear();
        this->edge.reset();
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
        out << "edges:\n  - {id: edge-1, address: \"" << this->ip << ":" << this->base + 2 * size
            << "\", region: north, zone: north-a}\n";
    }

    void start(int i, bool bootstrap) {
        std::vector<std::string> words = {"--config", this->file(i)};
        if (bootstrap) {
            words.emplace_back("--bootstrap");
        }
        this->processes.insert_or_assign(i, child_process("persimmongrade-control", words, "/dev/null"));
    }

    void kill(int i) { this->processes.erase(i); }

    child_process& process(int i) { return this->processes.at(i); }

    void start_edge() {
        std::string settings = this->directory / "edge-1.yaml";
        std::ofstream out(settings);
        out << "cluster: test\nid: edge-1\nregion: north\nzone: north-a\nhttp_address: " << this->ip << ":"
            << this->base + 2 * size + 1 << "\npeer_address: " << this->ip << ":" << this->base + 2 * size
            << "\ncontrol:\n";
        for (int k = 0; k < size; ++k) {
            out << "  - {id: " << this->name(k) << ", address: \"" << this->peer(k) << "\", region: north, zone: n}\n";
        }
        out << "edges:\n  - {id: edge-1, address: \"" << this->ip << ":" << this->base + 2 * size
            << "\", region: north, zone: north-a}\n";
        out.close();
        this->edge.emplace("persimmongrade-edge", std::vector<std::string>{"--config", settings, "--bootstrap"},
                           "/dev/null");
    }

    // Restarts a follower with an empty data directory. Returns whether a new member replaced it after at most `rounds`
    // polls, 50 ms apart.
    bool replace_lost_disk(int rounds) {
        int lost = (this->leader() + 1) % size;
        this->kill(lost);
        std::filesystem::remove_all(this->data(lost));
        this->start(lost, false);
        for (int i = 0; i < rounds; ++i) {
            this->loop.run_for(ms(50));
            json members = this->ask("GET", "/v1/status")["members"];
            bool renewed = std::any_of(members.begin(), members.end(), [&](const json& member) {
                return std::string(member["id"]).starts_with(this->name(lost) + ".") && member["voting"] == true;
            });
            if (renewed && members.size() == size) {
                return true;
            }
        }
        return false;
    }

    http_call request(int i, const std::string& method, const std::string& target, const std::string& id = "",
                      const std::string& body = "") const {
        http_call request{ip_address::parse(this->http(i)), method, target, {}, body, 16u << 20};
        request.reuse_connection = false;
        if (!id.empty()) {
            request.headers.push_back({"submission-id", id});
        }
        return request;
    }

    // The counter of process `i`; 0 before the first message.
    int sent_messages(int i, const std::string& message) {
        std::string metrics = this->call(i, "GET", "/metrics").body;
        std::string counted = "persimmongrade_peer_sent_messages_total{message=\"" + message + "\"} ";
        std::size_t at = metrics.find(counted);
        return at == std::string::npos ? 0 : std::stoi(metrics.substr(at + counted.size()));
    }

    // Returns status code 0 when there is no answer within `limit`.
    http_response call(int i, const std::string& method, const std::string& target, const std::string& id = "",
                       const std::string& body = "", duration limit = ms(700)) {
        http_response response{0, {}, ""};
        bool done = false;
        call_id number = this->client.send(this->request(i, method, target, id, body), [&](http_call_result result) {
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

    // Asks each process in turn until one answers as leader, for at most 10 s. Resends have the same submission id.
    json ask(const std::string& method, const std::string& target, const std::string& id = "",
             const std::string& body = "", duration limit = ms(700)) {
        time_point latest = this->loop.now() + ms(10000);
        for (int i = 0; this->loop.now() < latest; ++i) {
            http_response response = this->call(i % size, method, target, id, body, limit);
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
        return this->ask("POST", "/v1/records", id, small_record(record, version));
    }

    int leader() {
        std::string found = this->ask("GET", "/v1/status")["leader"];
        return found.back() - '1';
    }
};

// Submits a record every 10 ms to the presumed leader, without waiting for answers, and stores which submissions were
// accepted and how the others were refused.
struct submission_stream {
    cluster& c;
    std::string prefix;
    int target = 0;
    int sent = 0;
    int open = 0;
    std::map<std::string, std::uint64_t> accepted;  // revision by id
    std::map<std::string, int> refused;             // count by error type; "no answer" without an answer
    std::set<std::string> not_run;                  // ids whose refusal has the outcome not_run
    timer_id timer;

    submission_stream(cluster& c, std::string prefix) : c(c), prefix(std::move(prefix)), target(c.leader()) {
        this->timer = c.loop.every(ms(10), [this] { this->submit(); });
    }

    ~submission_stream() { this->stop(); }

    void stop() {
        this->c.loop.cancel(this->timer);
        this->run_until([this] { return this->open == 0; });
    }

    void submit() {
        std::string id = this->prefix + std::to_string(this->sent++);
        int asked = this->target;
        http_call request = this->c.request(asked, "POST", "/v1/records", id, small_record(id, 1));
        ++this->open;
        auto done = std::make_shared<bool>(false);
        call_id number =
            this->c.client.send(std::move(request), [this, id, asked, done](const http_call_result& result) {
                *done = true;
                this->finish(id, asked, result);
            });
        this->c.loop.after(ms(1500), [this, id, asked, done, number] {
            if (!*done) {
                this->c.client.cancel(number);
                this->finish(id, asked, {http_call_status::connection_lost, {}});
            }
        });
    }

    void finish(const std::string& id, int asked, const http_call_result& result) {
        --this->open;
        json body = result.status == http_call_status::ok ? json::parse(result.response.body, nullptr, false) : json();
        if (result.status == http_call_status::ok && result.response.status == 200) {
            this->accepted[id] = body["revision"];
            return;
        }
        bool typed = body.is_object() && body.contains("error") && body.contains("outcome");
        ++this->refused[result.status != http_call_status::ok ? "no answer" : typed ? body["error"] : "untyped"];
        if (typed && body["outcome"] == "not_run") {
            this->not_run.insert(id);
        }
        if (this->target == asked) {
            std::string leader = typed ? body.value("leader", "") : "";
            this->target = leader.empty() ? (asked + 1) % cluster::size : leader.back() - '1';
        }
    }

    template <typename Condition>
    void run_until(Condition reached) {
        time_point latest = this->c.loop.now() + ms(10000);
        while (!reached() && this->c.loop.now() < latest) {
            this->c.loop.run_for(ms(20));
        }
        CHECK(reached());
    }

    // Runs until `count` more submissions are accepted.
    void run_until_accepted(std::size_t count) {
        std::size_t wanted = this->accepted.size() + count;
        this->run_until([&] { return this->accepted.size() >= wanted; });
    }

    // Checks that accepted submissions are in the cluster at their revision, that those refused as not_run are not, and
    // that a resend of each other submission is accepted.
    void check_accepted() {
        this->stop();
        std::map<std::string, std::uint64_t> held;
        json listed = this->c.ask("GET", "/v1/records");
        for (const json& record : listed["records"]) {
            held[record["name"]] = record["revision"];
        }
        std::set<std::uint64_t> revisions;
        for (const auto& [id, revision] : this->accepted) {
            INFO(id);
            CHECK(held[id] == revision);
            CHECK(revisions.insert(revision).second);
        }
        for (const std::string& id : this->not_run) {
            INFO(id);
            CHECK_FALSE(held.contains(id));
        }
        CHECK(this->refused["untyped"] == 0);
        for (int i = 0; i < this->sent; ++i) {
            std::string id = this->prefix + std::to_string(i);
            if (!this->accepted.contains(id)) {
                CHECK(this->c.submit(id, id, 1)["status"] == "accepted");
            }
        }
        CHECK(this->c.ask("GET", "/v1/records")["records"].size() == static_cast<std::size_t>(this->sent));
    }
};

// A record with IPv6 client blocks, each of which takes 20 bytes encoded. The record must be small enough for the
// leader to parse it within its heartbeat interval.
std::string large_record(int number, int blocks) {
    std::string text = "schema_version: 1\nname: large-" + std::to_string(number) +
                       "\nversion: 1\nregion_limits: {north: 900}\nservices: {}\nclients:\n";
    for (int i = 0; i < blocks; ++i) {
        text += "  \"2001:" + std::to_string(number) + ":" + std::to_string(i) + "::/48\": north\n";
    }
    return text;
}

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
    for (int i = 0; i < cluster::size; ++i) {  // state that was only in memory is lost
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
    c.process(old_leader).signal(SIGSTOP);
    CHECK(c.submit("2", "r", 2)["status"] == "accepted");
    int new_leader = c.leader();
    json before = c.ask("GET", "/v1/status");
    REQUIRE(new_leader != old_leader);
    // The request is queued in the socket of the paused process, which reads it before any message of the new leader.
    http_response stale{0, {}, ""};
    http_call read{ip_address::parse(c.http(old_leader)), "GET", "/v1/records/r"};
    c.client.send(std::move(read), [&](const http_call_result& result) { stale = result.response; });
    c.loop.run_for(ms(100));
    c.process(old_leader).signal(SIGCONT);
    c.loop.run_for(ms(800));
    CHECK((stale.status == 421 || stale.status == 503));
    CHECK(c.call(old_leader, "GET", "/v1/records/r").status == 421);
    json after = c.ask("GET", "/v1/status");
    CHECK(after["leader"] == before["leader"]);
    CHECK(after["term"] == before["term"]);
    CHECK(c.ask("GET", "/v1/records/r")["version"] == 2);
}

TEST_CASE("a process that lost its data directory is replaced, and a second loss loses no record") {
    cluster c;
    for (int i = 0; i < 60; ++i) {  // beyond snapshot_entries
        c.submit("r" + std::to_string(i), "r" + std::to_string(i), 1);
    }
    REQUIRE(c.replace_lost_disk(100));
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
    // The answer to an even larger body can be lost when the connection closes, so the counter is checked below.
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

TEST_CASE("SIGTERM transfers the leadership and exits with 0") {
    cluster c;
    c.submit("1", "r", 1);
    int leader = c.leader();
    c.process(leader).signal(SIGTERM);
    CHECK(c.process(leader).wait(exit_limit) == 0);
    time_point stopped = c.loop.now();
    CHECK(c.submit("2", "r", 2)["status"] == "accepted");
    CHECK(c.loop.now() - stopped < ms(400));  // without a transfer, an election takes at least its timeout
}

TEST_CASE("exit codes of persimmonctl and of the settings check") {
    cluster c;
    std::string record = c.directory / "record.yaml";
    auto write = [&](int version, int limit) {
        std::ofstream(record) << "schema_version: 1\nname: r\nversion: " << version
                              << "\nregion_limits: {north: " << limit << "}\nservices: {}\n";
    };
    auto run = [&](std::vector<std::string> words) {
        words.insert(words.begin(), {"--control", c.http(0), "--control", c.http(1)});
        return run_and_wait("persimmonctl", words);
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
    std::string logs = c.directory / "gateway.log";
    std::ofstream(logs) << "v=1 t=1 process=g event=request_failed id=a1 service=s outcome=overload status=503\n";
    CHECK(run({"explain", "a1", "--logs", logs}) == 0);
    CHECK(run({"explain", "a1", "--logs", c.directory}) == 0);
    CHECK(run({"explain", "a2", "--logs", logs}) == 1);
    CHECK(run({"explain", "a1", "--logs", "/nonexistent"}) == 2);
    for (wire::refusal_reason reason : wire::EnumValuesrefusal_reason()) {
        const char* name = wire::EnumNamerefusal_reason(reason);
        INFO(name);
        CHECK((reason == wire::refusal_reason::none || run({"explain", name}) == 0));
    }
    std::string settings = c.directory / "ctl.yaml";
    std::ofstream(settings) << "control: [\"" << c.http(2) << "\"]\noutput: json\n";
    CHECK(run_and_wait("persimmonctl", {"--config", settings, "status"}) == 0);
    std::ofstream(settings) << "contrl: []\n";
    CHECK(run_and_wait("persimmonctl", {"--config", settings, "--check-config"}) == 2);
    int leader = c.leader();
    for (int i = 0; i < cluster::size; ++i) {
        if (i != leader) {
            c.process(i).signal(SIGSTOP);
        }
    }
    int code = run({"undrain", "t1", "--timeout-ms", "1000"});
    CHECK((code == 4 || code == 5));  // refused, or proposed before the leader lease expired
    for (int i = 0; i < cluster::size; ++i) {
        c.kill(i);
    }
    CHECK(run({"list", "--timeout-ms", "300"}) == 4);
    std::ofstream(c.file(0), std::ios::app) << "snapshot_entires: 3\n";
    CHECK(run_and_wait("persimmongrade-control", {"--config", c.file(0), "--check-config"}) == 2);
    CHECK(run_and_wait("persimmongrade-control", {"--config", c.file(1), "--check-config"}) == 0);
    CHECK(run_and_wait("persimmongrade-control", {"--help"}) == 0);
}

TEST_CASE("two leaders killed in turn during a stream of submissions lose nothing acknowledged") {
    cluster c;
    submission_stream stream(c, "s");
    for (int round = 0; round < 2; ++round) {
        stream.run_until_accepted(50);
        int victim = c.leader();
        c.kill(victim);
        stream.run_until_accepted(50);
        c.start(victim, false);
    }
    stream.check_accepted();
}

TEST_CASE("a leader stopped beyond its lease during a stream neither accepts nor serves as current") {
    cluster c;
    submission_stream stream(c, "s");
    stream.run_until_accepted(50);
    int old_leader = c.leader();
    c.process(old_leader).signal(SIGSTOP);
    c.loop.run_for(ms(100));  // submissions are now queued in the sockets of the stopped process
    stream.run_until_accepted(50);
    REQUIRE(c.leader() != old_leader);
    json answers;
    auto send_to_stopped = [&](const std::string& name, const std::string& method, const std::string& path) {
        http_call request = c.request(old_leader, method, path, "late", small_record("late", 1));
        c.client.send(std::move(request), [&answers, name](const http_call_result& result) {
            answers[name] = result.status == http_call_status::ok ? result.response.status : 0;
        });
    };
    send_to_stopped("read", "GET", "/v1/records");
    send_to_stopped("submission", "POST", "/v1/records");
    c.loop.run_for(ms(50));
    c.process(old_leader).signal(SIGCONT);
    stream.run_until([&] { return answers.size() == 2; });
    CHECK((answers["read"] == 421 || answers["read"] == 503));
    CHECK((answers["submission"] == 421 || answers["submission"] == 503));
    stream.run_until_accepted(50);
    CHECK(c.call(c.leader(), "GET", "/v1/records/late").status == 404);
    stream.check_accepted();
}

// RLIMIT_FSIZE simulates a full disk: writes fail with EFBIG.
TEST_CASE("a disk that refuses writes on the leader loses nothing acknowledged, and the refusal is typed",
          "[known-red]") {
    cluster c;
    submission_stream stream(c, "s");
    stream.run_until_accepted(50);
    int full_disk = c.leader();
    rlimit none{0, RLIM_INFINITY};
    REQUIRE(prlimit(c.process(full_disk).id(), RLIMIT_FSIZE, &none, nullptr) == 0);
    stream.run_until_accepted(100);  // through another leader
    REQUIRE(c.process(full_disk).running());
    CHECK(c.leader() != full_disk);
    http_response refusal = c.call(full_disk, "POST", "/v1/records", "refused", small_record("refused", 1));
    CHECK(refusal.status == 503);
    CHECK(json::parse(refusal.body)["error"] == "storage_failed");
    CHECK(json::parse(refusal.body)["outcome"] == "not_run");
    rlimit unlimited{RLIM_INFINITY, RLIM_INFINITY};
    REQUIRE(prlimit(c.process(full_disk).id(), RLIMIT_FSIZE, &unlimited, nullptr) == 0);
    c.loop.run_for(ms(200));
    CHECK(c.call(full_disk, "GET", "/readyz").status == 503);  // until a restart, its log may end in a partial entry
    c.kill(full_disk);
    c.start(full_disk, false);
    stream.run_until_accepted(20);
    stream.run_until([&] { return c.call(full_disk, "GET", "/readyz").status == 200; });
    int other = c.leader();
    if (other != full_disk) {  // from now on, the majority includes the restarted process
        c.kill(other);
    } else {
        c.kill((full_disk + 1) % cluster::size);
    }
    stream.run_until_accepted(20);
    CHECK(stream.refused.contains("storage_failed"));
    stream.check_accepted();
}

TEST_CASE("a configuration above one peer frame reaches edges and a replaced control process", "[known-red]") {
    constexpr int records = 150;                    // of 120 KB each
    constexpr duration in_force_limit = ms(18000);  // docs/design.md, section 2
    cluster c;
    c.start_edge();
    json answer;
    for (int i = 0; i < records; ++i) {
        std::string id = std::to_string(i);
        answer = c.ask("POST", "/v1/records", id, large_record(i, 6000), ms(5000));
        REQUIRE(answer["status"] == "accepted");
    }
    auto in_force_by = [&](time_point latest) {
        while (c.loop.now() < latest) {
            json status = c.ask("GET", "/v1/status");
            bool applied = !status["edges"].empty() && status["edges"][0]["alive"] == true &&
                           status["edges"][0]["applied_revision"] == status["revision"];
            if (applied && status["in_force"] == true && status["revision"] == answer["revision"]) {
                return true;
            }
            c.loop.run_for(ms(50));
        }
        return false;
    };
    CHECK(in_force_by(c.loop.now() + in_force_limit));
    auto parts_sent = [&] {  // by all processes, because the leadership may change
        int sum = 0;
        for (int i = 0; i < cluster::size; ++i) {
            sum += c.sent_messages(i, "config_part");
        }
        return sum;
    };
    c.edge.reset();
    c.start_edge();  // needs a full copy now
    time_point latest = c.loop.now() + in_force_limit;
    // Until the edge has pinged, the status shows the revision that the edge had applied before its restart.
    constexpr int least_parts = 17;  // of 1 MiB
    while (parts_sent() < least_parts && c.loop.now() < latest) {
        c.loop.run_for(ms(50));
    }
    CHECK(parts_sent() >= least_parts);
    CHECK(in_force_by(latest));
    REQUIRE(c.replace_lost_disk(200));
    c.kill(c.leader());
    CHECK(c.ask("GET", "/v1/status")["revision"] == answer["revision"]);
    CHECK(in_force_by(c.loop.now() + in_force_limit));  // from a leader that has not sent this configuration before
}

// A leader that parses large records on its event loop sends no heartbeats meanwhile, and an election replaces it.
TEST_CASE("large records that arrive together are accepted without a change of leader", "[known-red]") {
    constexpr int records = 16;  // of 290 KB each
    cluster c;
    REQUIRE(c.submit("first", "first", 1)["status"] == "accepted");
    int leader = c.leader();
    json term = c.ask("GET", "/v1/status")["term"];
    int accepted = 0;
    for (int i = 0; i < records; ++i) {
        http_call request = c.request(leader, "POST", "/v1/records", std::to_string(i), large_record(i, 9900));
        c.client.send(std::move(request), [&](const http_call_result& result) {
            accepted += result.status == http_call_status::ok && result.response.status == 200 ? 1 : 0;
            if (accepted == records) {
                c.loop.stop();
            }
        });
    }
    c.loop.run_for(ms(30000));
    CHECK(accepted == records);
    CHECK(c.ask("GET", "/v1/status")["term"] == term);
    CHECK(c.leader() == leader);
}

// A process that lost its log must not vote under its old identity: it could help to elect a leader that lacks accepted
// records.
TEST_CASE("a process that lost its disk is refused a second bootstrap, and joins without it") {
    cluster c;
    REQUIRE(c.submit("a", "a", 1)["status"] == "accepted");
    int lost = (c.leader() + 1) % cluster::size;
    c.kill(lost);
    std::filesystem::remove_all(c.data(lost));
    c.start(lost, true);
    CHECK(c.process(lost).wait(exit_limit) == 1);
    CHECK_FALSE(std::filesystem::exists(c.data(lost) / "identity"));
    REQUIRE(c.replace_lost_disk(100));
    CHECK(c.ask("GET", "/v1/records")["records"].size() == 1);
}

TEST_CASE("two processes that lost their disks form no new cluster while the third is stopped") {
    cluster c;
    REQUIRE(c.submit("a", "a", 1)["status"] == "accepted");
    for (int i = 0; i < cluster::size; ++i) {
        c.kill(i);
    }
    for (int i : {0, 1}) {
        std::filesystem::remove_all(c.data(i));
        c.start(i, true);
    }
    c.loop.run_for(ms(3000));  // an election takes under 1 s
    for (int i : {0, 1}) {
        CHECK(c.call(i, "GET", "/v1/records").status == 0);
        CHECK(c.process(i).running());
    }
    c.start(2, true);  // --bootstrap has no effect on a directory that holds data
    for (int i : {0, 1}) {
        CHECK(c.process(i).wait(exit_limit) == 1);
    }
}

// Neither a process with wrong settings nor any caller of the operator port may replace a member that works.
TEST_CASE("a member that answers is not replaced by a process that claims its place") {
    cluster c;
    REQUIRE(c.submit("a", "a", 1)["status"] == "accepted");
    auto members = [&] { return c.ask("GET", "/v1/status")["members"]; };
    json before = members();
    for (int claimed = 0; claimed < cluster::size; ++claimed) {
        json body = {
            {"id", c.name(claimed) + ".00000000deadbeef"}, {"name", c.name(claimed)}, {"address", c.peer(claimed)}};
        http_response answer = c.call(c.leader(), "POST", "/v1/members", "", body.dump());
        INFO(answer.body);
        CHECK(answer.status == 503);
        CHECK(answer.body.find("can be replaced") != std::string::npos);
    }
    CHECK(members() == before);
}
