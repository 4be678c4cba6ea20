// What targets say in their answers beside the answer: that they leave, and for how long they want nothing. Real
// control processes and gateways; the test takes the part of the targets, the clients and the operator.

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

#include "../support/fleet_deployment.h"
#include "../support/stub_targets.h"

using namespace persimmongrade;

namespace {

class signalling_deployment {
public:
    signalling_deployment(const std::string& name, std::size_t gateways, std::size_t target_count)
        : system(name, {.controls = 3, .gateways = gateways}), targets(system, target_count), gateways(gateways) {
        this->targets.on_request = [this](stub_target& there, const http_request& request,
                                          const std::shared_ptr<http_exchange>& exchange) {
            this->arrivals.push_back({this->system.loop.now(), there.number});
            http_response answer = stub_targets::answer(there, request);
            this->change_answer(there, answer);
            this->system.loop.after(ms(20), [exchange, answer] { exchange->respond(answer); });
        };
        REQUIRE(this->system.submit_until_accepted(fleet_deployment::items(2)));
        this->system.loop.every(ms(15), [this] { this->send(); });
        this->system.loop.run_for(ms(1000));
    }

    // Arrivals at a target in a span of time.
    std::size_t arrived(std::size_t target, time_point from, time_point until) const {
        return static_cast<std::size_t>(
            std::count_if(this->arrivals.begin(), this->arrivals.end(), [&](const auto& entry) {
                return entry.second == target && entry.first > from && entry.first < until;
            }));
    }

    std::function<void(const stub_target&, http_response&)> change_answer = [](const stub_target&, http_response&) {};
    std::vector<std::pair<time_point, std::size_t>> arrivals;
    std::size_t asked = 0;
    std::size_t served = 0;
    fleet_deployment system;

private:
    void send() {
        bool once = this->random() % 2 == 0;
        ++this->asked;
        this->system.call(
            fleet_deployment::gateway_address(this->random() % this->gateways), once ? "POST" : "GET",
            (once ? "/once/" : "/safe/") + std::to_string(this->random() % 30), once ? "{}" : "", ms(2000),
            [this](int status, const http_response&) { this->served += status == 200 ? 1 : 0; },
            {{"attempt-id", "a" + std::to_string(this->asked)}, {"deadline-ms", "1500"}}, false);
    }

    stub_targets targets;
    std::size_t gateways;
    std::mt19937_64 random{1};
};

}  // namespace

// The platform's drain-ms: no gateway that has passed on such an answer sends the target a request later than this.
TEST_CASE("a target that says in its answers that it leaves gets no more requests") {
    constexpr duration drain_time = ms(2000);
    signalling_deployment play("leaving", 2, 4);
    time_point said_at{};
    play.change_answer = [&](const stub_target& there, http_response& answer) {
        if (there.number == 0) {
            said_at = said_at == time_point{} ? play.system.loop.now() : said_at;
            answer.headers.push_back({"server-leaving", "1"});
        }
    };
    play.system.loop.run_for(ms(5000));
    REQUIRE(said_at != time_point{});
    CHECK(play.arrived(0, said_at + drain_time, play.system.loop.now()) == 0);
    CHECK(play.served + 20 > play.asked);
}

TEST_CASE("a target that answers 503 with Retry-After gets nothing from that gateway for so long") {
    constexpr duration retry_after = ms(2000);
    constexpr duration grace = ms(500);       // after which the platform counts
    constexpr std::size_t most_arrivals = 2;  // that the platform allows
    signalling_deployment play("retry-after", 1, 1);
    std::vector<time_point> refused_at;
    play.change_answer = [&](const stub_target& there, http_response& answer) {
        if (there.number == 0) {
            refused_at.push_back(play.system.loop.now() + ms(20));
            answer.status = 503;
            answer.headers.push_back({"not-executed", "1"});
            answer.headers.push_back({"retry-after", "2"});
        }
    };
    play.system.loop.run_for(ms(6000));
    REQUIRE_FALSE(refused_at.empty());
    std::size_t most = 0;
    for (time_point at : refused_at) {
        most = std::max(most, play.arrived(0, at + grace, at + retry_after));
    }
    CHECK(most <= most_arrivals);
    CHECK(refused_at.size() > 1);  // it is tried again afterwards
}
