// Another writer leaves odd entries among those of the targets. Real control processes and a gateway must refuse them,
// go on, and follow the reports of the sound targets.

#include <catch2/catch.hpp>

#include "../support/fleet_deployment.h"
#include "../support/stub_targets.h"

using namespace persimmongrade;
using nlohmann::json;

namespace {

std::string nested(std::size_t depth, char open, char close) {
    return std::string(depth, open) + std::string(depth, close);
}

// Replaces the value of a field in a sound heartbeat with the given text.
std::string with_field(const json& heartbeat, const json::json_pointer& field, const std::string& text) {
    json changed = heartbeat;
    changed[field] = "REPLACED";
    std::string body = changed.dump();
    std::size_t at = body.find("\"REPLACED\"");
    return body.replace(at, std::string("\"REPLACED\"").size(), text);
}

}  // namespace

TEST_CASE("odd entries among those of the targets are refused, and end no process") {
    constexpr std::size_t controls = 3;
    constexpr std::size_t deep = 100000;
    fleet_deployment system("odd", {.controls = controls, .gateways = 1});
    stub_targets targets(system, 2);
    targets.on_request = [](stub_target& there, const http_request& request, const auto& exchange) {
        exchange->respond(stub_targets::answer(there, request));
    };
    REQUIRE(system.submit_until_accepted(fleet_deployment::items(2)));
    json sound = system.heartbeat(0, "127.0.0.1:7400", unix_time_ms(), 1);
    const std::vector<std::string> bodies = {
        nested(deep, '[', ']'),
        std::string(deep, '['),
        with_field(sound, json::json_pointer("/status"), nested(deep, '[', ']')),
        with_field(sound, json::json_pointer("/info/version"), nested(deep, '[', ']')),
        with_field(sound, json::json_pointer("/address"), R"("127.0.0.1:99999")"),
        with_field(sound, json::json_pointer("/address"), R"("127.0.0.1:-1")"),
        with_field(sound, json::json_pointer("/address"), R"("127.0.0.1:18446744073709551617")"),
        with_field(sound, json::json_pointer("/info/slots"), "1e400"),
        with_field(sound, json::json_pointer("/info/slots"), "99999999999999999999999999"),
        with_field(sound, json::json_pointer("/status/sequence"), "18446744073709551616"),
        with_field(sound, json::json_pointer("/status/sequence"), "-1"),
        with_field(sound, json::json_pointer("/status/warmup-left-ms"), "1e300"),
    };
    for (std::size_t i = 0; i < controls; ++i) {
        std::size_t refused = 0;
        for (const std::string& body : bodies) {
            system.call(fleet_deployment::control_address(i), "PUT", "/api/instances/odd", body, ms(1500),
                        [&](int status, const http_response&) { refused += status == 400 ? 1 : 0; });
            system.loop.run_for(ms(60));
        }
        system.loop.run_for(ms(500));
        CHECK(refused == bodies.size());
    }
    // A start later than any clock says would outweigh the reports of the target itself.
    for (const std::string born : {"9223372036854775807", "18446744073709551615", "1e18", "-5", "\"x\""}) {
        int answered = 0;
        system.call(fleet_deployment::control_address(0), "PUT", "/api/instances/" + targets.at(0).id,
                    with_field(sound, json::json_pointer("/born"), born), ms(1500),
                    [&](int status, const http_response&) { answered = status; });
        system.loop.run_for(ms(60));
        CHECK(answered == 400);
    }
    system.loop.run_for(ms(2000));
    for (const std::string name : {"control-0", "control-1", "control-2", "gateway-0"}) {
        CHECK(system.process(name).running->running());
    }
    std::size_t served = 0;
    for (int i = 0; i < 10; ++i) {
        system.call(fleet_deployment::gateway_address(0), "GET", "/safe/x", "", ms(2000),
                    [&](int status, const http_response&) { served += status == 200 ? 1 : 0; },
                    {{"attempt-id", "a" + std::to_string(i)}, {"deadline-ms", "1500"}});
        system.loop.run_for(ms(50));
    }
    system.loop.run_for(ms(500));
    CHECK(served == 10);
    // A target that ends and starts again is followed.
    stub_target& restarted = targets.at(0);
    targets.crash(restarted, ms(200));
    system.loop.run_for(ms(1500));
    std::ifstream log(system.process("gateway-0").log);
    std::string lines((std::istreambuf_iterator<char>(log)), std::istreambuf_iterator<char>());
    CHECK(lines.find("target=" + restarted.id) != std::string::npos);
    system.keep_logs = served < 10;
}

TEST_CASE("a deeply nested item of an operator is refused, and ends no process") {
    fleet_deployment system("nested", {.controls = 3, .gateways = 0});
    REQUIRE(system.submit_until_accepted(fleet_deployment::items(2)));
    json items = fleet_deployment::items(3);
    items["upsert"]["routes"]["safe"]["note"] = "REPLACED";
    std::string body = items.dump();
    constexpr std::size_t deep = 100000;
    body.replace(body.find("\"REPLACED\""), std::string("\"REPLACED\"").size(), nested(deep, '[', ']'));
    for (std::size_t i = 0; i < 3; ++i) {
        int answered = 0;
        system.call(fleet_deployment::control_address(i), "PATCH", "/api/config", body, ms(1500),
                    [&](int status, const http_response&) { answered = status; });
        system.loop.run_for(ms(700));
        CHECK(answered == 400);
        CHECK(system.process("control-" + std::to_string(i)).running->running());
    }
}
