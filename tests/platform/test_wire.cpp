// Tests the conversion of the platform's messages: items are returned as they were submitted, and malformed messages
// are rejected with the field's path.

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "wire.h"

using namespace persimmongrade;
using namespace persimmongrade::platform;

namespace {

const std::string first_call = R"({"upsert":{"routes":{"r-1":{"host":"a.example","path-prefix":"/x/",
"route-type":"safe","timeout-ms":1500,"target-latency-ms":200,"priority":2,"traffic-split":[{"service":"s1","weight":90},
{"service":"s2","weight":10}],"max-attempts":2,"sticky":true,"allowed-regions":["north"],"version":"r7","note":[1.50]}},
"services":{"s1":{"health-path":"/health","max-connections":390,"warmup-s":3.0,"warmup-per-s":17.0,"version":"r7"},
"s2":{"health-path":"/health","max-connections":390,"warmup-s":0.5,"warmup-per-s":17.0,"version":"r7"}},
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000,
"version":"r7"}},"remove":{"routes":[{"name":"r-old","version":"r9"}]}})";

std::string with(const std::string& from, const std::string& to) {
    std::string text = first_call;
    std::size_t place = text.find(from);
    REQUIRE(place != std::string::npos);
    return text.replace(place, from.size(), to);
}

const std::string heartbeat = R"({"address":"10.128.0.9:8080","born":1700000000123,"info":{"service":"s1",
"version":"v1","zone":"north-1","slots":6},"status":{"state":"ready","sequence":4,"warmup-left-ms":250}})";

std::string heartbeat_with(const std::string& from, const std::string& to) {
    std::string text = heartbeat;
    std::size_t place = text.find(from);
    REQUIRE(place != std::string::npos);
    return text.replace(place, from.size(), to);
}

const std::string full_organisation = R"({"upsert":{"tenants":{"acme":{"api-keys":["key-1","key-2"],"priority":3,
"rate-per-s":12.5,"burst":40,"allowed-regions":["north"],"version":"r3","note":[1.50]}}}})";

std::string organisation_call_with(const std::string& field, const nlohmann::json& value) {
    auto call = nlohmann::json::parse(full_organisation);
    call["upsert"]["tenants"]["acme"][field] = value;
    return call.dump();
}

// Text of the error with which a call is refused; empty when it is accepted.
std::string refusal_of(const std::string& call) {
    try {
        parse_items(call);
        return "";
    } catch (const message_error& reason) {
        return reason.what();
    }
}

}  // namespace

TEST_CASE("items are decoded into the internal types") {
    auto batch = parse_items(first_call);
    REQUIRE(batch.items.size() == 5);
    item_store store;
    CHECK_FALSE(store.problem(batch).has_value());
    store.apply(batch, 1);
    const auto* route = store.find(wire::item_kind::route, "r-1");
    REQUIRE(route != nullptr);
    CHECK(route->version == 7);
    CHECK(route->route->kind == wire::request_kind::repeatable);
    CHECK(route->route->timeout_ms == 1500);
    CHECK(route->route->aim_ms == 200);
    CHECK(route->route->parts.size() == 2);
    CHECK(route->route->parts[1]->weight == 10);
    CHECK(route->route->regions == std::vector<std::string>{"north"});
    CHECK(store.find(wire::item_kind::service, "s2")->service->warm_up_ms == 500);
    CHECK(store.find(wire::item_kind::limits, "limits")->limits->max_body_bytes == 67108864);
}

TEST_CASE("items are returned as they were submitted") {
    item_store store;
    store.apply(parse_items(first_call), 1);
    auto sent = nlohmann::json::parse(first_call)["upsert"];
    CHECK(nlohmann::json::parse(render_items(store)) == sent);
}

// A field that is dropped or misread would leave an organisation without its keys, regions or limit.
TEST_CASE("organisations are decoded, and returned as they were submitted") {
    auto batch = parse_items(full_organisation);
    REQUIRE(batch.items.size() == 1);
    CHECK((batch.items[0]->name == "acme" && batch.items[0]->version == 3));
    const wire::organisation_rule_t& rule = *batch.items[0]->organisation;
    CHECK(rule.keys == std::vector<std::string>{"key-1", "key-2"});
    CHECK(rule.regions == std::vector<std::string>{"north"});
    CHECK((rule.has_priority && rule.priority == 3 && rule.rate == 12.5 && rule.burst == 40));
    item_store store;
    store.apply(batch, 1);
    CHECK(nlohmann::json::parse(render_items(store))["tenants"] ==
          nlohmann::json::parse(full_organisation)["upsert"]["tenants"]);
    store.apply(parse_items(R"({"remove":{"tenants":[{"name":"acme","version":"r4"}]}})"), 2);
    CHECK(store.find(wire::item_kind::organisation, "acme") == nullptr);
    CHECK_FALSE(nlohmann::json::parse(render_items(store)).contains("tenants"));
}

// An organisation without a priority must not get priority 0, the most urgent.
TEST_CASE("fields that an organisation omits or sets to null have defaults") {
    for (const auto& item :
         parse_items(R"({"upsert":{"tenants":{"a":{"api-keys":[],"version":"r1"},"b":{"priority":null,
"rate-per-s":null,"burst":null,"allowed-regions":null,"api-keys":[],"version":"r1"}}}})")
             .items) {
        const wire::organisation_rule_t& rule = *item->organisation;
        CHECK((rule.keys.empty() && rule.regions.empty() && !rule.has_priority && rule.rate == 0 && rule.burst == 0));
    }
    CHECK_FALSE(parse_items(first_call).items.at(2)->route->is_public);
    CHECK(parse_items(with(R"("sticky":true)", R"("public":true)")).items.at(2)->route->is_public);
}

// An error text is sent to the caller and logged, so that it must not contain the secret that it is about.
TEST_CASE("malformed organisations are rejected, and no error text contains a key") {
    using nlohmann::json;
    const std::string secret = "key-1";
    std::vector<std::pair<std::string, json>> bad_fields = {
        {"rate-per-s", -0.1}, {"rate-per-s", 1.1e9}, {"rate-per-s", "5"},         {"burst", -1},
        {"burst", 1e300},     {"burst", true},       {"allowed-regions", "west"}, {"allowed-regions", {1}},
        {"priority", -1},     {"priority", "1"},     {"priority", 4294967296},    {"version", 3}};
    for (const char* keys :
         {"null", "7", R"("key-1")", R"({"key-1":1})", R"(["key-1",7])", R"(["key-1",["key-1"]])", R"(["key-1",""])",
          R"(["key-1","key-1"])", R"(["key-1 x"])", R"(["key-1\u0001"])", R"(["key-1\u007f"])", R"(["key-1\u00e9"])",
          R"(["key-1\r\nTenant: x"])", R"(["key-1\u0000"])"}) {
        bad_fields.emplace_back("api-keys", json::parse(keys));
    }
    bad_fields.emplace_back("api-keys", json::array({secret + std::string(1020, 'x')}));
    std::vector<std::string> many(1, secret);
    for (int i = 0; i < 10000; ++i) {
        many.push_back(secret + "-" + std::to_string(i));
    }
    bad_fields.emplace_back("api-keys", many);
    for (const auto& [field, value] : bad_fields) {
        std::string reason = refusal_of(organisation_call_with(field, value));
        INFO(field << ": " << reason);
        CHECK(reason.starts_with("organisation 'acme'." + field));
        CHECK(reason.find(secret) == std::string::npos);
    }
    many.pop_back();
    CHECK(refusal_of(organisation_call_with("api-keys", many)).empty());
    CHECK(refusal_of(organisation_call_with("api-keys", json::array({std::string(1024, 'x'), "!~"}))).empty());
    CHECK(refusal_of(organisation_call_with("rate-per-s", 1e9)).empty());
    for (const char* call : {R"({"upsert":{"tenants":["key-1"]}})", R"({"upsert":{"tenants":{"a":"key-1"}}})",
                             R"({"upsert":{"tenants":{"a b":{"api-keys":["key-1"],"version":"r1"}}}})",
                             R"({"upsert":{"tenants":{"":{"api-keys":["key-1"],"version":"r1"}}}})",
                             R"({"upsert":{"tenants":{"a":{"api-keys":["key-1",1e999],"version":"r1"}}}})",
                             R"({"remove":{"tenants":{"a":"key-1"}}})", R"({"remove":{"tenants":["key-1"]}})"}) {
        CHECK_FALSE(refusal_of(call).empty());
        CHECK(refusal_of(call).find(secret) == std::string::npos);
    }
}

TEST_CASE("a malformed call is rejected, with the path of the field") {
    CHECK_THROWS_AS(parse_items(first_call.substr(0, first_call.size() - 9)), message_error);
    CHECK_THROWS_AS(parse_items("[]"), message_error);
    CHECK_THROWS_AS(parse_items(with(R"("route-type":"safe")", R"("route-type":"odd")")), message_error);
    CHECK_THROWS_AS(parse_items(with(R"("timeout-ms":1500,)", "")), message_error);
    CHECK_THROWS_AS(parse_items(with(R"("timeout-ms":1500)", R"("timeout-ms":"1500")")), message_error);
    CHECK_THROWS_AS(parse_items(with(R"("timeout-ms":1500)", R"("timeout-ms":-1)")), message_error);
    CHECK_THROWS_AS(parse_items(with(R"("path-prefix":"/x/")", R"("path-prefix":"/x")")), message_error);
    CHECK_THROWS_AS(parse_items(with(R"("version":"r7","note")", R"("version":"7","note")")), message_error);
    CHECK_THROWS_AS(parse_items(with(R"("version":"r7","note")", R"("version":"r7x","note")")), message_error);
    CHECK_THROWS_AS(parse_items(with(R"({"service":"s1","weight":90})", R"("s1")")), message_error);
    try {
        parse_items(with(R"("host":"a.example")", R"("host":7)"));
        FAIL("accepted");
    } catch (const message_error& reason) {
        CHECK(reason.field == "route 'r-1'.host");
    }
}

TEST_CASE("the store rejects weights that sum to 0 and unknown services") {
    item_store store;
    CHECK(store
              .problem(parse_items(with(R"("weight":90},
{"service":"s2","weight":10})",
                                        R"("weight":0},
{"service":"s2","weight":0})")))
              .has_value());
    CHECK(store.problem(parse_items(with(R"("service":"s2","weight")", R"("service":"s9","weight")"))).has_value());
}

TEST_CASE("a heartbeat is decoded, and a malformed one is rejected") {
    auto report = parse_heartbeat("i-1", heartbeat);
    CHECK(report.id == "i-1");
    CHECK(report.service == "s1");
    CHECK(report.slots == 6);
    CHECK(report.sequence == 4);
    CHECK(report.warm_up_left_ms == 250);
    CHECK(report.started_at_ms == 1700000000123);
    CHECK(report.phase == wire::target_phase::ready);
    CHECK(parse_heartbeat("i-1", heartbeat_with("ready", "draining")).phase == wire::target_phase::draining);
    CHECK_THROWS_AS(parse_heartbeat("i-1", heartbeat_with("ready", "resting")), message_error);
    CHECK_THROWS_AS(parse_heartbeat("i-1", heartbeat_with(R"("slots":6)", R"("slots":"6")")), message_error);
    CHECK_THROWS_AS(parse_heartbeat("i-1", heartbeat_with(R"("slots":6)", R"("slots":0)")), message_error);
    CHECK_THROWS_AS(parse_heartbeat("i-1", heartbeat_with(R"("sequence":4,)", "")), message_error);
    CHECK_THROWS_AS(parse_heartbeat("i-1", heartbeat_with("10.128.0.9:8080", "nowhere")), error);
    CHECK_THROWS_AS(parse_heartbeat("i-1", heartbeat.substr(0, 40)), message_error);
    CHECK_THROWS_AS(parse_heartbeat("i-1", R"({"address":"1.2.3.4:5","info":[],"status":{}})"), message_error);
}

TEST_CASE("a departure needs no body") {
    CHECK(parse_departure("i-1", "").phase == wire::target_phase::gone);
    CHECK(parse_departure("i-1", R"({"born":5})").started_at_ms == 5);
    CHECK_THROWS_AS(parse_departure("i-1", "{"), message_error);
}

// A load header that is refused leaves the gateway without knowledge of the other gateways' requests at the target.
TEST_CASE("the load header contains three or four numbers") {
    auto load = header_names().parse_load("3,1,8");
    REQUIRE(load.has_value());
    CHECK(load->running == 3);
    CHECK(load->waiting == 1);
    CHECK(load->slots == 8);
    CHECK_FALSE(load->work_factor.has_value());
    auto shared = header_names().parse_load("3,1,8,250");
    REQUIRE(shared.has_value());
    CHECK(shared->running == 3);
    CHECK(shared->slots == 8);
    CHECK(shared->work_factor == 2.5);
    for (const char* bad : {"", "3", "3,1", "3,1,8,", "3,1,8,0", "3,1,8,x", "3,1,8,-1", "3,1,8,100001", "3,1,8,9,1",
                            "3,1,x", "a,b,c", "3, 1, 8", "3,1,8,4294967296"}) {
        CHECK_FALSE(header_names().parse_load(bad).has_value());
    }
}
