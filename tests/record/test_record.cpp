// Guards the YAML schemas: both versions give the same record, and every problem is reported with its path, line and
// kind.

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "persimmongrade/record_parser.h"

using namespace persimmongrade;
using kind = record_problem_kind;

namespace {

std::string read_file(const std::string& name) {
    std::ifstream file(name);
    REQUIRE(file);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<record_problem> problems_of(const std::string& yaml) {
    try {
        parse_record(yaml);
    } catch (const record_error& failure) {
        return failure.problems;
    }
    return {};
}

// The line of the first problem with this path and kind, or 0 when there is none.
std::uint32_t line_of(const std::vector<record_problem>& problems, const std::string& path, kind expected) {
    auto matches = [&](const record_problem& problem) { return problem.path == path && problem.kind == expected; };
    auto found = std::find_if(problems.begin(), problems.end(), matches);
    return found == problems.end() ? 0 : found->line;
}

const std::string invalid_record_v2 = "schema_version: 2\n"                                        // 1
                                      "name: Bad Name\n"                                           // 2
                                      "version: 0\n"                                               // 3
                                      "services:\n"                                                // 4
                                      "  - name: fixture\n"                                        // 5
                                      "    idempotent: maybe\n"                                    // 6
                                      "    regions: [north, east, north]\n"                        // 7
                                      "    slots_per_target: 6x\n"                                 // 8
                                      "    connections_per_target: 0\n"                            // 9
                                      "    without_control: hope\n"                                // 10
                                      "  - name: fixture\n"                                        // 11
                                      "    idempotent: true\n"                                     // 12
                                      "    regions: [north]\n"                                     // 13
                                      "    slots: 6\n"                                             // 14
                                      "    connections_per_target: 1\n"                            // 15
                                      "regions:\n"                                                 // 16
                                      "  - {region: north, max_requests_per_second: 10}\n"         // 17
                                      "  - {region: south, max_requests_per_second: -1}\n"         // 18
                                      "links:\n"                                                   // 19
                                      "  - {from: north, to: north, max_mbit_per_second: 4000}\n"  // 20
                                      "  - {from: north, to: south, max_mbit_per_second: 1}\n"     // 21
                                      "  - {from: north, to: south, max_mbit_per_second: 0}\n"     // 22
                                      "client_blocks:\n"                                           // 23
                                      "  - {prefix: 10.0.0.1/24, region: north}\n";                // 24

}  // namespace

TEST_CASE("the example records are valid and both schema versions of an example give the same record") {
    auto version_2 = parse_record(read_file("examples/bureau.yaml"));
    auto version_1 = parse_record(read_file("examples/bureau-v1.yaml"));
    CHECK(version_2.services.size() == 3);
    CHECK(version_2.links.size() == 6);
    version_1.schema_version = version_2.schema_version;
    CHECK(version_1 == version_2);
    CHECK(parse_record(read_file("examples/hong-lam.yaml")).services.size() == 3);
}

TEST_CASE("all problems of a record are reported at once with path, line and kind") {
    auto problems = problems_of(invalid_record_v2);
    CHECK(line_of(problems, "version", kind::out_of_range) == 3);
    CHECK(line_of(problems, "services[0].idempotent", kind::wrong_type) == 6);
    CHECK(line_of(problems, "services[0].slots_per_target", kind::wrong_type) == 8);
    CHECK(line_of(problems, "services[0].connections_per_target", kind::out_of_range) == 9);
    CHECK(line_of(problems, "services[0].without_control", kind::wrong_type) == 10);
    CHECK(line_of(problems, "services[1].slots_per_target", kind::missing) == 11);
    CHECK(line_of(problems, "services[1].slots", kind::unknown_key) == 14);
    CHECK(line_of(problems, "services[0].regions[1]", kind::unknown_region) == 7);
    CHECK(line_of(problems, "services[0].regions[2]", kind::duplicate) == 7);
    CHECK(line_of(problems, "services[1].name", kind::duplicate) == 11);
    CHECK(line_of(problems, "regions[0].max_requests_per_second", kind::below_floor) == 17);
    CHECK(line_of(problems, "regions[1].max_requests_per_second", kind::not_positive) == 18);
    CHECK(line_of(problems, "links[0].to", kind::self_link) == 20);
    CHECK(line_of(problems, "links[1].max_mbit_per_second", kind::below_floor) == 21);
    CHECK(line_of(problems, "links[2].max_mbit_per_second", kind::not_positive) == 22);
    CHECK(line_of(problems, "links[2]", kind::duplicate) == 22);
    CHECK(line_of(problems, "client_blocks[0].prefix", kind::invalid_prefix) == 24);
    CHECK(line_of(problems, "name", kind::invalid_name) == 2);
    CHECK(problems.size() == 18);
}

// Guards against an unparsed prefix that hides the other problems of its block, or that is reported twice.
TEST_CASE("every problem of a client block is reported once") {
    auto problems = problems_of("schema_version: 2\nname: r\nversion: 1\nservices: []\n"
                                "regions: [{region: north, max_requests_per_second: 900}]\nclient_blocks:\n"
                                "  - {prefix: 10.0.0.1/24, region: north}\n"
                                "  - {prefix: 10.0.0.0, region: east}\n"
                                "  - {prefix: 10.0.0.0/8, region: north}\n"
                                "  - {prefix: 010.0.0.0/8, region: north}\n"
                                "  - {prefix: 10.0.0.0/8, region: north}\n");
    CHECK(line_of(problems, "client_blocks[0].prefix", kind::invalid_prefix) == 7);
    CHECK(line_of(problems, "client_blocks[1].prefix", kind::invalid_prefix) == 8);
    CHECK(line_of(problems, "client_blocks[1].region", kind::unknown_region) == 8);
    CHECK(line_of(problems, "client_blocks[3].prefix", kind::invalid_prefix) == 10);
    CHECK(line_of(problems, "client_blocks[4].prefix", kind::duplicate) == 11);
    CHECK(problems.size() == 5);
}

// Guards against a version conflict when the same content is submitted in another order or spelling.
TEST_CASE("client blocks are normalized in order and spelling") {
    std::string head = "schema_version: 2\nname: r\nversion: 1\nservices: []\n"
                       "regions: [{region: north, max_requests_per_second: 900}]\nclient_blocks:\n";
    std::string ipv4_block = "  - {prefix: 10.0.0.0/8, region: north}\n";
    auto record = parse_record(head + ipv4_block + "  - {prefix: 2001:DB8::/32, region: north}\n");
    CHECK(record == parse_record(head + "  - {prefix: \"2001:db8:0::/32\", region: north}\n" + ipv4_block));
    CHECK(record.client_blocks->versions.size() == 2);
    CHECK_FALSE(parse_record(head.substr(0, head.find("client_blocks"))).client_blocks);
}

TEST_CASE("problems of a schema version 1 record have the paths of that schema version") {
    auto problems = problems_of("schema_version: 1\nname: r\nversion: 1\n"
                                "region_limits: {north: 900, south: 1}\n"
                                "link_limits_mbit: {north-east: 4000}\n"
                                "services:\n  till: {idempotent: false, slots: 0, connections: 1}\n");
    CHECK(line_of(problems, "region_limits.south", kind::below_floor) == 4);
    CHECK(line_of(problems, "link_limits_mbit.north-east", kind::unknown_region) == 5);
    CHECK(line_of(problems, "services.till.slots", kind::out_of_range) == 7);
}

TEST_CASE("an unknown schema version is refused without checking the other keys") {
    for (const char* version : {"0", "3", "4294967295"}) {
        auto problems = problems_of(std::string("schema_version: ") + version + "\nnovelty: 1\n");
        REQUIRE(problems.size() == 1);
        CHECK(problems[0].kind == kind::unsupported_schema_version);
    }
    CHECK(line_of(problems_of("name: r\n"), "schema_version", kind::missing) == 1);
}

TEST_CASE("region names with a dash are found in the link names of schema version 1") {
    auto record = parse_record("schema_version: 1\nname: r\nversion: 1\nservices: {}\n"
                               "region_limits: {a-b: 900, c: 900}\nlink_limits_mbit: {a-b-c: 4000}\n");
    REQUIRE(record.links.size() == 2);
    CHECK(record.links[0]->from == "a-b");
    CHECK(record.links[0]->to == "c");
}

TEST_CASE("the lowest limit applies when several records limit one region") {
    wire::configuration_t configuration;
    for (double limit : {900.0, 500.0, 700.0}) {
        auto record = std::make_unique<wire::steering_record_t>();
        record->regions.push_back(std::make_unique<wire::region_limit_t>());
        record->regions[0]->region = "north";
        record->regions[0]->max_requests_per_second = limit;
        configuration.records.push_back(std::move(record));
    }
    auto limits = effective_region_limits(configuration);
    REQUIRE(limits.size() == 1);
    CHECK(limits[0].max_requests_per_second == 500.0);
}

TEST_CASE("arbitrary bytes give a record or a record_error") {
    auto check_parse = [](const std::string& text) {
        try {
            parse_record(text);
        } catch (const record_error& failure) {
            RC_ASSERT(!failure.problems.empty());
            RC_ASSERT(failure.problems.size() <= max_reported_problems + 1);
        }
    };
    rc::prop("arbitrary bytes", check_parse);
    std::string valid = read_file("examples/bureau.yaml");
    std::string short_form = read_file("examples/bureau-v1.yaml");
    rc::prop("a valid record with a corrupted section", [&](bool is_short_form, const std::string& inserted) {
        std::string text = is_short_form ? short_form : valid;
        auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        text.replace(at, *rc::gen::inRange<std::size_t>(0, 40), inserted);
        check_parse(text);
    });
    std::string nested_lists(10000, '[');
    check_parse("services: " + nested_lists);
    check_parse("{a: " + std::string(max_record_bytes, 'x') + "}");
    check_parse("schema_version: 2\nname: &a [*a]\nversion: 1\nservices: *a\nregions: *a\n");
}
