// Guards the settings reader, address parser, log format and lease margins.

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "persimmongrade/address.h"
#include "persimmongrade/clock.h"
#include "persimmongrade/error.h"
#include "persimmongrade/log.h"
#include "persimmongrade/settings.h"

using namespace persimmongrade;

namespace {

const std::string valid_target_settings = "id: t1\n"
                                          "service: fixture\n"
                                          "region: north\n"
                                          "zone: north-a\n"
                                          "http_address: 127.0.2.1:9000\n"
                                          "edges: [\"127.0.1.1:8080\"]\n";

std::string write_file(const std::string& content) {
    auto directory = std::filesystem::temp_directory_path();
    std::string name = directory / ("persimmongrade-settings-" + std::to_string(getpid()) + ".yaml");
    std::ofstream(name, std::ios::trunc) << content;
    return name;
}

settings_error load_failure(const std::string& content) {
    try {
        load_target_settings(write_file(content));
    } catch (const settings_error& failure) {
        return failure;
    }
    throw std::logic_error("settings were accepted");
}

}  // namespace

TEST_CASE("valid target settings are read") {
    auto settings = load_target_settings(write_file(valid_target_settings + "slots: 7\n"));
    CHECK(settings.id == "t1");
    CHECK(settings.slots == 7);
    CHECK(settings.edges.size() == 1);
}

TEST_CASE("a settings error names line and key") {
    SECTION("unknown key") {
        auto failure = load_failure(valid_target_settings + "slot: 7\n");
        CHECK(failure.key == "slot");
        CHECK(failure.location.ends_with(":7"));
    }
    SECTION("value with a unit") {
        CHECK(load_failure(valid_target_settings + "service_time_ms: 5ms\n").key == "service_time_ms");
    }
    SECTION("host name instead of an IP number") {
        CHECK(load_failure("id: t1\nservice: s\nregion: r\nzone: z\nhttp_address: localhost:80\nedges: []\n").key ==
              "http_address");
    }
    SECTION("missing key") {
        CHECK(load_failure("id: t1\n").key == "region");
    }
    SECTION("not a mapping") {
        CHECK(load_failure("- a\n").key == "settings");
    }
}

TEST_CASE("arbitrary bytes never crash the settings reader") {
    rc::prop("settings are accepted or rejected with settings_error", [](const std::string& content) {
        try {
            load_target_settings(write_file(content));
        } catch (const settings_error&) {
            RC_SUCCEED();
        }
    });
}

TEST_CASE("addresses round-trip and reject names") {
    CHECK(ip_address::parse("127.0.0.1:80").to_string() == "127.0.0.1:80");
    CHECK(ip_address::parse("[::1]:80").to_string() == "[::1]:80");
    for (const char* bad : {"", "127.0.0.1", "host:80", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:8x"}) {
        CHECK_THROWS_AS(ip_address::parse(bad), address_error);
    }
}

TEST_CASE("log values with spaces are quoted") {
    CHECK(log_line("edge started", field("id", "e 1"), field("n", 3)) == "msg=\"edge started\" id=\"e 1\" n=3");
}

TEST_CASE("a holder always stops before the granter frees a lease") {
    rc::prop("holder expiry on a clock up to 1% slow precedes granter expiry", []() {
        auto length = *rc::gen::inRange<std::int64_t>(30, 100000);
        auto rate = *rc::gen::inRange(-100, 101);  // holder's clock rate error, in 1/100 percent
        auto holder_local = holder_expiry(time_point(), ms(length)) - time_point();
        double real_holder_end = static_cast<double>(holder_local.count()) / (1.0 + rate / 10000.0);
        double granter_end = static_cast<double>((granter_expiry(time_point(), ms(length)) - time_point()).count());
        RC_ASSERT(real_holder_end < granter_end);
    });
}
