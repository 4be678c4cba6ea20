// Faulty targets answer without end. A real gateway; the test takes the part of the targets, the clients and the
// operator.

#include <catch2/catch.hpp>

#include <fstream>

#include "../support/endless_target.h"
#include "../support/fleet_deployment.h"
#include "../support/raw_connection.h"

using namespace persimmongrade;

namespace {

constexpr std::size_t faulty_targets = 24;
#ifdef __SANITIZE_ADDRESS__
constexpr std::size_t sanitizer_mb = 384;  // freed memory that it keeps back, and its shadow memory
#else
constexpr std::size_t sanitizer_mb = 0;
#endif
constexpr std::size_t memory_mb = 256 + sanitizer_mb;  // 256: the default setting of a gateway
constexpr std::size_t mb = 1048576;

// Largest resident memory of the process so far.
std::size_t peak_bytes(pid_t process) {
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stoul(line.substr(6)) * 1024;
        }
    }
    return 0;
}

std::string target_address(std::size_t i) {
    return fleet_deployment::ip(4, i) + ":8000";
}

}  // namespace

// The machine that had called them kept all the bytes, ran out of memory, and the requests of its other clients ended
// with it.
TEST_CASE("answers without end from many targets at once stay within the memory of a gateway") {
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::vector<std::pair<std::string, std::string>> answers = {
        {head + "\r\n", "body without a length "},
        {head + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n"},
        {head, "A: b\r\n"},
    };
    for (const auto& [beginning, piece] : answers) {
        INFO(beginning << "[" << piece << "]...");
        fleet_deployment system("endless", {.controls = 3, .gateways = 1});
        REQUIRE(system.submit_until_accepted(fleet_deployment::items(1)));
        std::vector<std::unique_ptr<endless_target>> targets;
        for (std::size_t i = 0; i < faulty_targets; ++i) {
            targets.push_back(std::make_unique<endless_target>(ip_address::parse(target_address(i)), beginning, piece));
            bool accepted = false;
            system.call(fleet_deployment::control_address(0), "PUT", "/api/instances/t" + std::to_string(i),
                        system.heartbeat(0, target_address(i), unix_time_ms(), 1).dump(), ms(900),
                        [&](int status, const http_response&) { accepted = status == 200; });
            system.loop.run_for(ms(100));
            REQUIRE(accepted);
        }
        std::size_t ended = 0;
        std::size_t succeeded = 0;
        for (std::size_t i = 0; i < faulty_targets; ++i) {
            system.call(
                fleet_deployment::gateway_address(0), "POST", "/once/" + std::to_string(i), "{}", ms(4000),
                [&](int status, const http_response&) {
                    ++ended;
                    succeeded += status == 200 ? 1 : 0;
                },
                {{"attempt-id", "a" + std::to_string(i)}, {"deadline-ms", "1500"}}, false);
        }
        system.loop.run_for(ms(3000));
        std::size_t sent = 0;
        for (const auto& target : targets) {
            sent += target->sent;
        }
        CHECK(ended == faulty_targets);
        CHECK(succeeded == 0);
        CHECK(sent > 0);
        std::size_t peak = peak_bytes(system.process("gateway-0").running->id());
        INFO("peak " << peak / mb << " MB, sent " << sent / mb << " MB");
        CHECK(peak < memory_mb * mb);
        for (std::size_t i = 0; i < faulty_targets; ++i) {  // those that got no request wait for a connection
            raw_connection unused(ip_address::parse(target_address(i)));
        }
    }
}
