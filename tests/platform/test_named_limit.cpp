// Targets in need name in their answers how many requests per second they take from all gateways together. Real control
// processes and gateways; the test takes the part of the targets, the clients and the operator.

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

#include "../support/fleet_deployment.h"
#include "../support/stub_targets.h"

using namespace persimmongrade;

namespace {

constexpr std::size_t target_count = 8;
constexpr std::size_t gateway_count = 4;
constexpr std::size_t limited_targets = 4;
constexpr double limit = 3;  // requests per second; each target gets about 12 without a limit
// What the platform promises: from this time after the first answer with a limit, in each window at most the factor
// times what the limit allows, and the slack.
constexpr duration contact_time = ms(3000);
constexpr duration window = ms(4000);
constexpr double most_factor = 1.5;
constexpr double slack = 5;

class limited_deployment {
public:
    explicit limited_deployment(std::uint64_t seed)
        : random(seed), system("limit-" + std::to_string(seed), {.controls = 3, .gateways = gateway_count}),
          targets(system, target_count), arrivals(target_count) {
        this->targets.on_request = [this](stub_target& there, const http_request& request,
                                          const std::shared_ptr<http_exchange>& exchange) {
            this->serve(there, request, exchange);
        };
        REQUIRE(this->system.submit_until_accepted(fleet_deployment::items(2)));
        this->system.loop.every(ms(10), [this] { this->send(); });
        this->system.loop.run_for(ms(1500));
    }

    ~limited_deployment() { this->system.keep_logs = this->failed; }

    limited_deployment(const limited_deployment&) = delete;
    limited_deployment& operator=(const limited_deployment&) = delete;

    void name_limits(bool named) {
        this->limited = named;
        this->named_at = this->system.loop.now();
    }

    // Largest number of requests that a limited target got in one window since the promise holds.
    std::size_t most_in_window() {
        std::size_t most = 0;
        for (std::size_t i = 0; i < limited_targets; ++i) {
            const auto& times = this->arrivals[i];
            auto first = std::lower_bound(times.begin(), times.end(), this->named_at + contact_time);
            for (auto from = first; from != times.end(); ++from) {
                auto until = std::lower_bound(from, times.end(), *from + window);
                most = std::max(most, static_cast<std::size_t>(until - from));
            }
        }
        this->failed = this->failed || static_cast<double>(most) > allowed();
        return most;
    }

    static double allowed() { return most_factor * limit * static_cast<double>(window.count()) / 1000 + slack; }

    // Requests of a limited target in the next `time`, of each the mean.
    double mean_arrivals(duration time) {
        std::size_t before = this->limited_arrivals();
        this->system.loop.run_for(time);
        return static_cast<double>(this->limited_arrivals() - before) / limited_targets;
    }

    std::size_t asked = 0;
    std::size_t served = 0;
    std::mt19937_64 random;
    fleet_deployment system;

private:
    std::size_t limited_arrivals() const {
        std::size_t sum = 0;
        for (std::size_t i = 0; i < limited_targets; ++i) {
            sum += this->arrivals[i].size();
        }
        return sum;
    }

    void serve(stub_target& there, const http_request& request, const std::shared_ptr<http_exchange>& exchange) {
        this->arrivals[there.number].push_back(this->system.loop.now());
        http_response answer = stub_targets::answer(there, request);
        if (this->limited && there.number < limited_targets) {
            answer.headers.push_back({"server-limit", std::to_string(limit)});
        }
        auto work = ms(std::uniform_int_distribution<int>(5, 60)(this->random));
        this->system.loop.after(work, [exchange, answer] { exchange->respond(answer); });
    }

    void send() {
        bool once = this->random() % 2 == 0;
        std::string object = std::to_string(this->random() % 60);
        ++this->asked;
        this->system.call(
            fleet_deployment::gateway_address(this->random() % gateway_count), once ? "POST" : "GET",
            (once ? "/once/" : "/safe/") + object, once ? "{}" : "", ms(2000),
            [this](int status, const http_response&) { this->served += status == 200 ? 1 : 0; },
            {{"attempt-id", "a" + std::to_string(this->asked)},
             {"deadline-ms", "1500"},
             {"cookie", "Affinity-Key=" + object}},
            false);
    }

    stub_targets targets;
    std::vector<std::vector<time_point>> arrivals;  // by target, in order of time
    bool limited = false;
    time_point named_at{};
    bool failed = false;
};

}  // namespace

// Gateways did not read the limit, and a target got as much as before.
TEST_CASE("all gateways together keep to the limit that a target names") {
    limited_deployment play(1);
    play.name_limits(true);
    play.system.loop.run_for(ms(4000));
    play.system.start_gateway(gateway_count);
    std::size_t asked = play.asked;
    std::size_t served = play.served;
    play.system.loop.run_for(ms(8000));
    INFO("allowed " << limited_deployment::allowed());
    CHECK(static_cast<double>(play.most_in_window()) <= limited_deployment::allowed());
    // The other targets have room for what these do not take.
    CHECK(static_cast<double>(play.served - served) > 0.9 * static_cast<double>(play.asked - asked));
    play.name_limits(false);
    play.system.loop.run_for(contact_time);
    CHECK(play.mean_arrivals(ms(3000)) > limit * 3 * most_factor);
}
