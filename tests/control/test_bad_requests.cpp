// Malformed and incomplete requests at the operator port get typed errors, are counted, and do not end the process.

#include <catch2/catch.hpp>

#include <filesystem>

#include "../support/raw_connection.h"
#include "persimmongrade/control_server.h"
#include "persimmongrade/event_loop.h"

using namespace persimmongrade;

namespace {

std::unique_ptr<wire::peer_settings_t> member(const std::string& id, const ip_address& address) {
    auto peer = std::make_unique<wire::peer_settings_t>();
    peer->id = id;
    peer->address = address.to_string();
    peer->region = "north";
    peer->zone = "north-a";
    return peer;
}

wire::control_settings_t settings_in(const std::filesystem::path& directory) {
    wire::control_settings_t settings;
    settings.cluster = "test";
    settings.id = "control-1";
    settings.region = "north";
    settings.zone = "north-a";
    settings.http_address = raw_connection::own_address(8201).to_string();
    settings.peer_address = raw_connection::own_address(8202).to_string();
    settings.data_directory = directory / "data";
    settings.control.push_back(member("control-1", raw_connection::own_address(8202)));
    settings.edges.push_back(member("edge-1", raw_connection::own_address(8203)));
    return settings;
}

}  // namespace

TEST_CASE("unparsable and incomplete operator requests get typed errors and are counted") {
    std::string pattern = (std::filesystem::temp_directory_path() / "control-test-XXXXXX").string();
    REQUIRE(mkdtemp(pattern.data()) != nullptr);
    std::filesystem::path directory = pattern;
    event_loop loop;
    control_server server(loop, settings_in(directory), {.bootstrap = true, .request_timeout = ms(300)});
    auto answer_to = [&](const std::string& bytes) {
        raw_connection caller(raw_connection::own_address(8201));
        caller.send(bytes);
        REQUIRE(caller.wait_closed(loop, ms(3000)));
        return caller.received;
    };
    const std::string head = "POST /v1/records HTTP/1.1\r\nhost: a\r\nsubmission-id: 1\r\n";
    CHECK(is_error(answer_to("\x01\x02\r\n\r\n"), 400, "bad_request"));
    CHECK(is_error(answer_to(head), 408, "request_incomplete"));
    CHECK(is_error(answer_to(head + "content-length: 99\r\n\r\nschema_version: 2"), 408, "request_incomplete"));
    std::string metrics = answer_to("GET /metrics HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    CHECK(metrics.find("persimmongrade_operator_refusals_total{error=\"bad_request\"} 1\n") != std::string::npos);
    CHECK(metrics.find("persimmongrade_operator_refusals_total{error=\"request_incomplete\"} 2\n") !=
          std::string::npos);
    server.stop();
    loop.run_for(ms(500));
    std::filesystem::remove_all(directory);
}
