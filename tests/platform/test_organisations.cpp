// Keys of organisations with real control processes and gateways; the test takes the part of the targets, the clients
// and the operator.

#include <catch2/catch.hpp>

#include "../support/fleet_deployment.h"
#include "../support/stub_targets.h"

using namespace persimmongrade;

namespace {

nlohmann::json organisation(const std::string& version, const std::vector<std::string>& keys,
                            const std::string& name = "acme") {
    return {{"upsert", {{"tenants", {{name, {{"api-keys", keys}, {"version", version}}}}}}}};
}

}  // namespace

// Targets trust the header `Tenant`, and must never see a key. A key that is taken away must not be of use at any
// gateway, nor to a request that a target refuses afterwards without having run it.
TEST_CASE("a key identifies its organisation until it is taken away, and is never logged") {
    constexpr std::size_t controls = 3;
    constexpr std::size_t gateways = 2;
    constexpr duration apply_time = ms(2500);  // the platform's config-apply-ms
    const http_header first{"Authorization", "Bearer first-secret"};
    const http_header second{"authorization", "bearer second-secret"};
    fleet_deployment system("organisations", {.controls = controls, .gateways = gateways});
    stub_targets targets(system, 4);
    std::size_t held = 0;
    std::size_t served = 0;
    targets.on_request = [&](stub_target& there, const http_request& request, const auto& exchange) {
        std::string names;
        for (const http_header& header : request.headers) {
            names += header.name == "tenant" ? "<" + header.value + ">" : "";
        }
        CHECK(names == (request.path == "/open/none" ? "" : "<acme>"));
        CHECK_FALSE(request.header("authorization").has_value());
        CHECK(request.path != "/safe/refused");
        http_response answer = stub_targets::answer(there, request);
        if (request.path == "/once/held" && ++held == 1) {
            answer.status = 503;
            answer.headers.push_back({"not-executed", "1"});
            system.loop.after(ms(4000), [exchange, answer] { exchange->respond(answer); });
            return;
        }
        ++served;
        exchange->respond(answer);
    };
    auto send = [&](std::size_t gateway, const std::string& path, std::vector<http_header> headers) {
        int status = -2;
        headers.push_back({"attempt-id", "a"});
        system.call(
            fleet_deployment::gateway_address(gateway), "GET", path, "", ms(2000),
            [&status](int given, const http_response&) { status = given; }, std::move(headers), false);
        while (status == -2) {
            system.loop.run_for(ms(5));
        }
        return status;
    };
    auto submit = [&](const nlohmann::json& change) {  // every 500 ms, until it is accepted or refused
        auto answer = std::make_shared<int>(0);
        for (std::size_t i = 0; i < 1000 && *answer != 200 && *answer != 400; ++i) {
            if (i % 100 == 0) {
                system.submit(change, fleet_deployment::control_address(i / 100 % controls),
                              [answer](int status) { *answer = status; });
            }
            system.loop.run_for(ms(5));
        }
        return *answer;
    };
    auto items = fleet_deployment::items(2);
    nlohmann::json& routes = items["upsert"]["routes"];
    routes["once"]["timeout-ms"] = 8000;
    routes["open"] = routes["safe"];
    routes["open"]["path-prefix"] = "/open/";
    routes["open"]["public"] = true;
    items["upsert"]["tenants"] = organisation("r2", {"first-secret", "second-secret"})["upsert"]["tenants"];
    REQUIRE(system.submit_until_accepted(items));
    system.loop.run_for(ms(1000));
    for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
        for (int i = 0; i < 30; ++i) {  // the retry budget allows one of these to be repeated
            CHECK(send(gateway, "/safe/own", {first}) == 200);
        }
        CHECK(send(gateway, "/safe/own", {{"Tenant", "forged"}, second, {"tenant", "other"}}) == 200);
        CHECK(send(gateway, "/open/own", {first}) == 200);
        CHECK(send(gateway, "/open/none", {{"TENANT", "forged"}}) == 200);
        CHECK(send(gateway, "/open/none", {{"Authorization", "Bearer unknown"}}) == 200);
        CHECK(send(gateway, "/safe/refused", {}) == 401);
        CHECK(send(gateway, "/safe/refused", {{"Authorization", "Bearer unknown"}}) == 401);
        CHECK(send(gateway, "/safe/refused", {first, second}) == 401);
    }
    CHECK(served >= 34 * gateways);
    CHECK(submit(organisation("r1", {"first-secret"}, "rival")) == 400);
    CHECK(submit(organisation("r9", {"a-secret", "a-secret"})) == 400);
    int held_status = -2;
    system.call(
        fleet_deployment::gateway_address(0), "POST", "/once/held", "{}", ms(7500),
        [&](int status, const http_response&) { held_status = status; }, {first, {"attempt-id", "held"}}, false);
    system.loop.run_for(ms(300));
    REQUIRE(held == 1);
    REQUIRE(submit(organisation("r3", {"second-secret"})) == 200);
    time_point accepted_at = system.loop.now();
    for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
        while (send(gateway, "/safe/own", {first}) != 401 && system.loop.now() - accepted_at < apply_time) {
            system.loop.run_for(ms(10));
        }
        CHECK(system.loop.now() - accepted_at < apply_time);
        CHECK(send(gateway, "/safe/refused", {first}) == 401);
        CHECK(send(gateway, "/safe/own", {second}) == 200);
    }
    system.loop.run_for(ms(5000));
    CHECK(held_status == 401);
    CHECK(held == 1);
    for (std::size_t i = 0; i < controls + gateways; ++i) {
        std::string name = i < controls ? "control-" + std::to_string(i) : "gateway-" + std::to_string(i - controls);
        std::ifstream log(system.process(name).log);
        std::string text{std::istreambuf_iterator<char>(log), {}};
        CHECK_FALSE(text.empty());
        CHECK(text.find("-secret") == std::string::npos);
    }
}
