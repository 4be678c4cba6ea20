// A planned stop of a gateway, in calm: requests that come late in its grace time end with an answer. Real control
// processes and gateways; the test takes the part of the targets, the clients and the operator.

#include <catch2/catch.hpp>

#include <map>

#include "../support/fleet_deployment.h"
#include "../support/stub_targets.h"

using namespace persimmongrade;

namespace {

constexpr duration grace = ms(4000);  // stop_timeout_ms of the deployment
constexpr duration run_time = ms(900);

struct outcome {
    int status = -2;  // -2: none yet, -1: none in time, 0: the connection ended
    std::size_t runs = 0;
    bool offered_a_time = false;  // Retry-After
};

}  // namespace

TEST_CASE("a gateway that stops cuts no request, however late it comes", "[known-red]") {
    fleet_deployment system("planned-stop", {.controls = 3, .gateways = 1});
    stub_targets targets(system, 4);
    std::map<std::string, outcome> outcomes;
    targets.on_request = [&](stub_target& there, const http_request& request,
                             const std::shared_ptr<http_exchange>& exchange) {
        ++outcomes[std::string(request.header("attempt-id").value_or(""))].runs;
        system.loop.after(run_time,
                          [exchange, answer = stub_targets::answer(there, request)] { exchange->respond(answer); });
    };
    REQUIRE(system.submit_until_accepted(fleet_deployment::items(2)));
    system.loop.run_for(ms(1000));
    std::size_t asked = 0;
    timer_id asking = system.loop.every(ms(100), [&] {
        if (!system.process("gateway-0").running->running()) {
            return;  // a refused connection promises nothing, and cuts nothing
        }
        bool once = ++asked % 2 == 0;
        std::string id = "a" + std::to_string(asked);
        outcomes[id];
        system.call(
            fleet_deployment::gateway_address(0), once ? "POST" : "GET", once ? "/once/x" : "/safe/x", once ? "{}" : "",
            ms(3000),
            [&outcomes, id](int status, const http_response& answer) {
                outcomes[id].status = status;
                outcomes[id].offered_a_time = answer.header("retry-after").has_value();
            },
            {{"attempt-id", id}, {"deadline-ms", "1500"}}, false);
    });
    system.loop.run_for(ms(500));
    system.process("gateway-0").running->signal(SIGTERM);
    system.loop.run_for(grace - ms(500));
    system.loop.cancel(asking);
    system.loop.run_for(ms(3500));
    std::size_t served = 0;
    std::size_t cut = 0;
    for (const auto& [id, seen] : outcomes) {
        CAPTURE(id, seen.status, seen.runs);
        served += seen.status == 200 ? 1 : 0;
        cut += seen.runs > 0 && seen.status <= 0 ? 1 : 0;
        CHECK(seen.status > 0);
        if (seen.status == 503) {
            CHECK(seen.runs == 0);
            CHECK(seen.offered_a_time);
        }
    }
    CHECK(cut == 0);
    CHECK(served >= 15);  // what came before the last deadline that lies in the grace time
}
