// Randomized faults against the real programs as processes of their own: five control processes, four gateways, targets
// behind a disturbing proxy, clients and an operator. Checks while it runs, from what clients and targets see:
//   - a request that must run once runs at most once, and never after it was answered 503
//   - a success carries the signature and the body of the target that ran it, and of no other request
//   - no request waits beyond its time limit
//   - what was acknowledged to the operator is read back at the end
//   - at the end, with all processes up, requests are served again
//
// PERSIMMONGRADE_SOAK_SEEDS=N runs N fresh seeds, PERSIMMONGRADE_SOAK_SEED=S one; otherwise the seeds below.

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <set>

#include "../support/fleet_deployment.h"
#include "persimmongrade/http_server.h"
#include "proxy.h"

using namespace persimmongrade;
using nlohmann::json;

namespace {

constexpr std::size_t control_count = 5;
constexpr std::size_t gateway_count = 4;
constexpr std::size_t target_count = 8;
constexpr duration heartbeat = ms(400);
constexpr duration client_limit = ms(1500);
constexpr duration faults_time = ms(9000);
constexpr duration calm_time = ms(6000);  // the settings' recovery time is longer; processes start within it

struct attempt {
    bool once = false;
    int runs = 0;
    bool refused = false;  // answered 503: must not have run, and never run
    std::string target;    // that ran it
};

class soak {
public:
    explicit soak(std::uint64_t seed)
        : random(seed), system("soak-" + std::to_string(seed), {control_count, gateway_count, heartbeat}) {
        for (std::size_t i = 0; i < target_count; ++i) {
            this->start_target(i);
        }
        this->loop.every(heartbeat, [this] { this->send_heartbeats(); });
    }

    ~soak() { this->system.keep_logs = !this->problems.empty(); }

    soak(const soak&) = delete;
    soak& operator=(const soak&) = delete;

    std::vector<std::string> run() {
        this->submit_until_accepted();
        this->loop.run_for(ms(1500));
        timer_id asking = this->loop.every(ms(12), [this] { this->ask(); });
        timer_id changing = this->loop.every(ms(700), [this] { this->change_items(); });
        timer_id breaking = this->loop.every(ms(350), [this] { this->disturb(); });
        this->loop.run_for(faults_time);
        this->loop.cancel(breaking);
        this->loop.cancel(changing);
        this->heal();
        this->loop.run_for(calm_time);
        this->served_at_end = 0;
        this->asked_at_end = 0;
        this->loop.run_for(ms(2000));
        this->loop.cancel(asking);
        this->loop.run_for(client_limit + ms(700));
        this->check_end();
        return this->problems;
    }

private:
    struct target {
        std::string id;
        ip_address own;
        ip_address proxied;
        std::unique_ptr<http_server> server;
        std::unique_ptr<disturbing_proxy> proxy;
        std::int64_t started_at = 0;
        std::uint64_t sequence = 0;
        std::size_t reports_to = 0;
        bool refuses = false;
        bool loses_answers = false;
    };

    // ---- Targets ----

    void start_target(std::size_t i) {
        auto& entry = this->targets.emplace_back();
        entry.id = "t" + std::to_string(i) + "-" + std::to_string(++this->starts);
        entry.own = {fleet_deployment::ip(3, i), 7400};
        entry.proxied = {fleet_deployment::ip(4, i), 7400};
        entry.started_at = unix_time_ms();
        entry.server = std::make_unique<http_server>(
            this->loop, entry.own, http_server_options{},
            [this, i](const http_request& request, const std::shared_ptr<http_exchange>& exchange) {
                this->serve(this->targets.at(i), request, exchange);
            });
        entry.proxy = std::make_unique<disturbing_proxy>(entry.proxied, entry.own);
    }

    void serve(target& there, const http_request& request, const std::shared_ptr<http_exchange>& exchange) {
        std::string id(request.header("attempt-id").value_or(""));
        std::string wanted(request.header("expect-instance").value_or(""));
        if (wanted != there.id) {
            exchange->respond({421, {{"instance-id", there.id}, {"attempt-id", id}}, ""});
            return;
        }
        if (there.refuses) {
            exchange->respond({503, {{"not-executed", "1"}, {"attempt-id", id}}, ""});
            return;
        }
        auto found = this->attempts.find(id);
        if (found == this->attempts.end()) {
            this->problem("a target got a request that no client sent: " + id);
            return;
        }
        attempt& known = found->second;
        ++known.runs;
        known.target = there.id;
        if (known.once && known.runs > 1) {
            this->problem("request " + id + " ran " + std::to_string(known.runs) + " times");
        }
        if (known.refused) {
            this->problem("request " + id + " ran after it had been answered 503");
        }
        if (there.loses_answers && this->chance(0.2)) {
            return;  // the connection stays silent until the gateway closes it
        }
        auto work = ms(std::uniform_int_distribution<int>(5, 60)(this->random));
        http_response answer{
            200, {{"attempt-id", id}, {"server-seal", there.id}, {"server-load", "1,0,4"}}, "body of " + id};
        this->loop.after(work, [exchange, answer] { exchange->respond(answer); });
    }

    void send_heartbeats() {
        for (target& entry : this->targets) {
            auto place = static_cast<std::size_t>(&entry - this->targets.data());
            json body = this->system.heartbeat(place, entry.proxied.to_string(), entry.started_at, ++entry.sequence);
            this->call(fleet_deployment::control_address(entry.reports_to), "PUT", "/api/instances/" + entry.id,
                       body.dump(), ms(600), [this, &entry](int status, const http_response&) {
                           entry.reports_to = status == 200 ? entry.reports_to : this->random() % control_count;
                       });
        }
    }

    // ---- Operator ----

    void submit(std::uint64_t version, std::size_t control) {
        this->system.submit(fleet_deployment::items(version), fleet_deployment::control_address(control),
                            [this, version](int status) {
                                if (status == 200) {
                                    this->acknowledged = std::max(this->acknowledged, version);
                                } else if (status >= 400 && status < 500) {
                                    this->problem("valid items were refused with " + std::to_string(status));
                                }
                            });
    }

    void change_items() { this->submit(++this->version, this->random() % control_count); }

    void submit_until_accepted() {
        for (int i = 0; i < 40 && this->acknowledged == 0; ++i) {
            this->submit(++this->version, static_cast<std::size_t>(i) % control_count);
            this->loop.run_for(ms(300));
        }
        if (this->acknowledged == 0) {
            this->problem("the first items were not accepted");
        }
    }

    // ---- Clients ----

    void call(const std::string& address, const std::string& method, const std::string& path, const std::string& body,
              duration limit, fleet_deployment::answer_function done, std::vector<http_header> headers = {}) {
        this->system.call(address, method, path, body, limit, std::move(done), std::move(headers), this->chance(0.7));
    }

    void ask() {
        std::string id = "a" + std::to_string(++this->requests);
        bool once = this->requests % 2 == 0;
        this->attempts[id].once = once;
        ++this->asked_at_end;
        std::string gateway = fleet_deployment::gateway_address(this->random() % gateway_count);
        auto sent_at = this->loop.now();
        this->call(
            gateway, once ? "POST" : "GET", once ? "/once/x" : "/safe/x", once ? "{}" : "", client_limit + ms(500),
            [this, id, sent_at](int status, const http_response& response) {
                attempt& known = this->attempts.at(id);
                auto took = this->loop.now() - sent_at;
                if (status == 200) {
                    ++this->served_at_end;
                    bool right = response.body == "body of " + id &&
                                 response.header("server-seal").value_or("") != "" && known.runs > 0;
                    if (!right) {
                        this->problem("request " + id + " got an answer that is not its own: " + response.body);
                    }
                } else if (status == 503 || status == 429 || status == 408) {
                    known.refused = true;
                    if (known.once && known.runs > 0) {
                        this->problem("request " + id + " was answered " + std::to_string(status) + " and had run");
                    }
                } else if (status == 404) {
                    this->problem("request " + id + " was answered 404 on a route that stands");
                } else if (status > 0 && took > client_limit + ms(300) && !this->any_paused()) {
                    this->problem("request " + id + " was answered after " + std::to_string(took.count()) + " ms");
                }
            },
            {{"attempt-id", id},
             {"deadline-ms", std::to_string(client_limit.count())},
             {"cookie", "Affinity-Key=" + std::to_string(this->random() % 20)}});
    }

    // ---- Faults ----

    bool chance(double share) { return std::bernoulli_distribution(share)(this->random); }
    bool any_paused() const { return this->loop.now() < this->paused_until; }

    void disturb() {
        std::size_t kind = this->random() % 9;
        bool on_control = this->chance(0.5);
        std::size_t number = this->random() % (on_control ? control_count : gateway_count);
        std::string name = (on_control ? "control-" : "gateway-") + std::to_string(number);
        auto after = ms(std::uniform_int_distribution<int>(100, 1500)(this->random));
        fleet_process& entry = this->system.process(name);
        if (kind <= 4 && !entry.running->running()) {
            return;  // it is down already, and will be started again
        }
        target& there = this->targets.at(this->random() % target_count);
        switch (kind) {
        case 0:
            entry.running->signal(SIGKILL);
            this->loop.after(after, [this, name] { this->system.restart(name); });
            break;
        case 1:
            entry.running->signal(SIGTERM);
            this->loop.after(ms(4500), [this, name] { this->system.restart(name); });
            break;
        case 2:
            entry.running->signal(SIGSTOP);
            this->paused_until = std::max(this->paused_until, this->loop.now() + after + client_limit);
            this->loop.after(after, [this, name] { this->system.process(name).running->signal(SIGCONT); });
            break;
        case 3:
            entry.running->signal(SIGHUP);
            break;
        case 4:  // at most one lost disk at a time, as the settings allow two with the one that is down
            if (on_control && this->loop.now() >= this->disk_safe_at) {
                this->disk_safe_at = this->loop.now() + ms(5000);
                entry.running->kill_now();
                std::filesystem::remove_all(this->system.directory + "/" + name);
                this->loop.after(after, [this, number] { this->system.start_control(number, false); });
            }
            break;
        case 5:
            there.refuses = true;
            this->loop.after(after, [&there] { there.refuses = false; });
            break;
        case 6:
            there.loses_answers = true;
            this->loop.after(after, [&there] { there.loses_answers = false; });
            break;
        default:
            there.proxy->set(static_cast<proxy_mode>(1 + this->random() % 4));
            this->loop.after(after, [&there] { there.proxy->set(proxy_mode::pass); });
            break;
        }
    }

    void heal() {
        this->system.continue_all();
        for (target& entry : this->targets) {
            entry.proxy->set(proxy_mode::pass);
            entry.refuses = entry.loses_answers = false;
        }
    }

    // ---- End ----

    void check_end() {
        constexpr std::size_t least_part = 4;  // a quarter
        if (this->served_at_end * least_part < this->asked_at_end) {
            this->problem("after the faults only " + std::to_string(this->served_at_end) + " of " +
                          std::to_string(this->asked_at_end) + " requests were served");
        }
        std::uint64_t read = 0;
        for (int i = 0; i < 30 && read < this->acknowledged; ++i) {
            this->call(fleet_deployment::control_address(static_cast<std::size_t>(i) % control_count), "GET",
                       "/api/config", "", ms(500), [&read](int status, const http_response& response) {
                           json body = json::parse(status == 200 ? response.body : "{}", nullptr, false);
                           if (status == 200 && !body.is_discarded()) {
                               std::string version = body["routes"]["once"]["version"];
                               read = std::max<std::uint64_t>(read, std::stoull(version.substr(1)));
                           }
                       });
            this->loop.run_for(ms(200));
        }
        if (read < this->acknowledged) {
            this->problem("version " + std::to_string(this->acknowledged) + " was acknowledged, version " +
                          std::to_string(read) + " is read back");
        }
    }

    void problem(const std::string& text) {
        constexpr std::size_t most = 20;
        if (this->problems.size() < most) {
            this->problems.push_back(text);
        }
    }

    std::mt19937_64 random;
    fleet_deployment system;
    event_loop& loop = this->system.loop;
    std::vector<target> targets = [] {
        std::vector<target> reserved;
        reserved.reserve(target_count);
        return reserved;
    }();
    std::map<std::string, attempt> attempts;
    std::vector<std::string> problems;
    std::uint64_t starts = 0;
    std::uint64_t version = 1;
    std::uint64_t acknowledged = 0;
    std::size_t requests = 0;
    std::size_t served_at_end = 0;
    std::size_t asked_at_end = 0;
    time_point paused_until{};
    time_point disk_safe_at{};
};

std::vector<std::uint64_t> seeds() {
    if (const char* one = std::getenv("PERSIMMONGRADE_SOAK_SEED")) {
        return {std::stoull(one)};
    }
    if (const char* count = std::getenv("PERSIMMONGRADE_SOAK_SEEDS")) {
        std::vector<std::uint64_t> fresh(std::stoull(count));
        for (auto& seed : fresh) {
            seed = std::random_device{}();
        }
        return fresh;
    }
    return {11};  // and each seed that ever failed, with its cause
}

}  // namespace

TEST_CASE("the promises hold while processes, connections and disks fail at random") {
    for (std::uint64_t seed : seeds()) {
        std::vector<std::string> problems = soak(seed).run();
        std::cout << "soak seed " << seed << ": " << problems.size() << " problems\n";
        for (const std::string& problem : problems) {
            std::cout << "  " << problem << "\n";
        }
        INFO("seed " << seed);
        CHECK(problems.empty());
    }
}
