// A request whose run ends its target comes again with other ids at any gateway, beside sound requests. Real control
// processes and gateways; the test takes the part of the targets, the clients and the operator.

#include <catch2/catch.hpp>

#include <random>
#include <set>

#include "../support/fleet_deployment.h"
#include "../support/stub_targets.h"

using namespace persimmongrade;

namespace {

constexpr std::size_t target_count = 8;
constexpr std::size_t gateway_count = 4;
constexpr std::size_t sound_paths = 30;
constexpr duration restart_time = ms(1200);  // of a target that ended
// What the platform promises: in this time after the third target has ended, the news has reached every gateway in
// touch, and not more than three runs follow.
constexpr duration contact_time = ms(3000);
constexpr std::size_t most_late_runs = 3;
constexpr const char* crashing_path = "/safe/crash";

class crashing_request {
public:
    explicit crashing_request(std::uint64_t seed)
        : random(seed), system("crash-" + std::to_string(seed), {.controls = 3, .gateways = gateway_count}),
          targets(system, target_count) {
        this->targets.on_request = [this](stub_target& there, const http_request& request,
                                          const std::shared_ptr<http_exchange>& exchange) {
            this->serve(there, request, exchange);
        };
        REQUIRE(this->system.submit_until_accepted(fleet_deployment::items(2)));
        this->system.loop.every(ms(12), [this] { this->send_sound(); });
        this->system.loop.run_for(ms(1000));
    }

    ~crashing_request() { this->system.keep_logs = this->failed; }

    crashing_request(const crashing_request&) = delete;
    crashing_request& operator=(const crashing_request&) = delete;

    // Sends the request that crashes its targets to the given gateways in turn.
    void send_crashing(duration time, const std::vector<std::size_t>& gateways) {
        std::size_t next = 0;
        timer_id sending = this->system.loop.every(
            ms(100), [&] { this->send(crashing_path, gateways[next++ % gateways.size()], false, [](int) {}); });
        this->system.loop.run_for(time);
        this->system.loop.cancel(sending);
    }

    // Runs that began later than contact_time after the third target had ended.
    std::size_t late_runs() {
        std::size_t late = 0;
        for (time_point run : this->crashes) {
            late += this->crashes.size() > 3 && run > this->crashes[2] + contact_time ? 1 : 0;
        }
        this->failed = this->failed || late > most_late_runs;
        return late;
    }

    // Share of the sound requests sent in the given time that are answered with success.
    double served_share(duration time) {
        this->asked = 0;
        this->served = 0;
        this->system.loop.run_for(time);
        std::size_t sent = this->asked;
        std::size_t answered = this->served;
        double share = static_cast<double>(answered) / static_cast<double>(sent);
        this->failed = this->failed || share < 0.9;
        return share;
    }

    std::vector<time_point> crashes;
    std::mt19937_64 random;
    fleet_deployment system;

private:
    void serve(stub_target& there, const http_request& request, const std::shared_ptr<http_exchange>& exchange) {
        if (request.header("expect-instance").value_or("") != there.id) {
            exchange->respond({421, {{"attempt-id", std::string(request.header("attempt-id").value_or(""))}}, ""});
            return;
        }
        if (request.path == crashing_path) {
            this->crashes.push_back(this->system.loop.now());
            this->targets.crash(there, restart_time);
            return;
        }
        auto work = ms(std::uniform_int_distribution<int>(5, 60)(this->random));
        this->system.loop.after(
            work, [exchange, answer = stub_targets::answer(there, request)] { exchange->respond(answer); });
    }

    void send_sound() {
        std::string name = "p" + std::to_string(this->random() % sound_paths);
        bool once = this->random() % 2 == 0;
        ++this->asked;
        this->send((once ? "/once/" : "/safe/") + name, this->random() % gateway_count, once,
                   [this](int status) { this->served += status == 200 ? 1 : 0; });
    }

    void send(const std::string& path, std::size_t gateway, bool once, const std::function<void(int)>& done) {
        this->system.call(
            fleet_deployment::gateway_address(gateway), once ? "POST" : "GET", path, once ? "{}" : "", ms(2000),
            [done](int status, const http_response&) { done(status); },
            {{"attempt-id", "a" + std::to_string(++this->requests)},
             {"deadline-ms", "1500"},
             {"cookie", "Affinity-Key=" + std::to_string(std::hash<std::string>()(path) % sound_paths)}},
            false);
    }

    stub_targets targets;
    std::size_t requests = 0;
    std::size_t asked = 0;
    std::size_t served = 0;
    bool failed = false;
};

std::vector<std::size_t> all_gateways() {
    return {0, 1, 2, 3};
}

}  // namespace

// Gateways knew nothing of requests that end targets: such a request was sent on as often as it came, at the cost of a
// target each time.
TEST_CASE("a request that has ended three targets is not sent to targets any more") {
    for (std::uint64_t seed : {1, 2}) {
        crashing_request play(seed);
        play.send_crashing(ms(7000), all_gateways());
        INFO("seed " << seed << ", ended " << play.crashes.size() << " targets");
        CHECK(play.crashes.size() >= 2);
        CHECK(play.late_runs() <= most_late_runs);
        play.system.loop.run_for(restart_time);
        CHECK(play.served_share(ms(2000)) > 0.9);
    }
}

// What one gateway has learned must reach those that were paused, restarted or added since, also after a restart of the
// control processes that pass it on.
TEST_CASE("a request that ends targets is known to gateways that were away, and to new ones") {
    crashing_request play(3);
    play.system.process("gateway-3").running->signal(SIGSTOP);
    play.send_crashing(ms(1500), {0, 1});
    play.system.process("gateway-2").running->kill_now();
    play.system.process("control-0").running->kill_now();
    play.system.loop.run_for(ms(500));
    play.system.restart("control-0");
    play.system.process("gateway-3").running->signal(SIGCONT);
    play.system.restart("gateway-2");
    play.system.start_gateway(gateway_count);
    play.system.loop.run_for(contact_time);
    play.send_crashing(ms(4000), {2, 3, gateway_count});
    INFO("ended " << play.crashes.size() << " targets");
    CHECK(play.crashes.size() >= 2);
    CHECK(play.late_runs() <= most_late_runs);
    play.system.loop.run_for(restart_time);
    CHECK(play.served_share(ms(2000)) > 0.9);
}
