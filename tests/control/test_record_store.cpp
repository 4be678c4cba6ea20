// Tests of record_store: one accepted content per version, repeated answers, determinism, snapshots and deltas.

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include "../../src/control/operator_api.h"
#include "persimmongrade/client_blocks.h"
#include "persimmongrade/record.h"
#include "persimmongrade/record_store.h"

using namespace persimmongrade;
using status = wire::submission_status;

namespace {

template <typename Body>
wire::command_t make_command(Body body) {
    wire::command_t command;
    command.body.Set(std::move(body));
    return command;
}

// `content` distinguishes records of equal name and version.
wire::command_t submit(const std::string& id, const std::string& name, std::uint64_t version, std::uint32_t content,
                       const std::string& service = "") {
    wire::submit_record_t body;
    body.submission_id = id;
    body.record = std::make_unique<wire::steering_record_t>();
    body.record->name = name;
    body.record->version = version;
    body.record->services.push_back(std::make_unique<wire::service_definition_t>());
    body.record->services[0]->name = service.empty() ? "service-of-" + name : service;
    body.record->services[0]->slots_per_target = content;
    return make_command(std::move(body));
}

wire::command_t withdraw(const std::string& id, const std::string& name, std::uint64_t version) {
    wire::withdraw_record_t body;
    body.submission_id = id;
    body.name = name;
    body.version = version;
    return make_command(std::move(body));
}

wire::command_t drain(const std::string& id, const std::string& target, bool begin) {
    if (!begin) {
        wire::cancel_drain_t body;
        body.submission_id = id;
        body.target = target;
        return make_command(std::move(body));
    }
    wire::announce_drain_t body;
    body.submission_id = id;
    body.drain = std::make_unique<wire::target_drain_t>();
    body.drain->target = target;
    return make_command(std::move(body));
}

wire::command_t assign(const std::string& service, const std::string& caller, std::uint32_t permille) {
    wire::set_assignments_t body;
    body.assignments.push_back(std::make_unique<wire::assignment_t>());
    body.assignments[0]->service = service;
    body.assignments[0]->caller_region = caller;
    if (permille > 0) {
        body.assignments[0]->shares.push_back(std::make_unique<wire::region_share_t>());
        body.assignments[0]->shares[0]->permille = permille;
    }
    return make_command(std::move(body));
}

// A random command. There are few names and submission ids, so that commands conflict and are repeated.
wire::command_t random_command() {
    std::string id = "id-" + std::to_string(*rc::gen::inRange(0, 200));
    std::string name(1, static_cast<char>('a' + *rc::gen::inRange(0, 3)));
    auto version = *rc::gen::inRange<std::uint64_t>(1, 6);
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
    case 1:
        return submit(id, name, version, *rc::gen::inRange(0, 3));
    case 2:
        return submit(id, name, version, 1, "shared");
    case 3:
        return withdraw(id, name, version);
    case 4:
        return drain(id, name, *rc::gen::arbitrary<bool>());
    default:
        return assign("service-of-" + name, "north", *rc::gen::inRange(0, 3));
    }
}

std::vector<wire::command_t> random_commands() {
    std::vector<wire::command_t> commands(*rc::gen::inRange<std::size_t>(0, 60));
    for (auto& command : commands) {
        command = random_command();
    }
    return commands;
}

// Applies a delta to `base` as an edge does.
wire::configuration_t apply_delta(const wire::configuration_t& base, const wire::configuration_delta_t& delta) {
    std::map<std::string, wire::steering_record_t> records;
    std::map<std::string, wire::target_drain_t> drains;
    std::map<std::pair<std::string, std::string>, wire::assignment_t> assignments;
    auto add = [&](const auto& r, const auto& d, const auto& a) {
        for (const auto& item : r) {
            records[item->name] = *item;
        }
        for (const auto& item : d) {
            drains[item->target] = *item;
        }
        for (const auto& item : a) {
            assignments[{item->service, item->caller_region}] = *item;
        }
    };
    if (!delta.full) {
        add(base.records, base.drains, base.assignments);
    }
    add(delta.changed_records, delta.changed_drains, delta.changed_assignments);
    for (const auto& name : delta.withdrawn_records) {
        records.erase(name);
    }
    for (const auto& target : delta.cancelled_drains) {
        drains.erase(target);
    }
    for (const auto& item : delta.removed_assignments) {
        assignments.erase({item->service, item->caller_region});
    }
    wire::configuration_t result;
    result.revision = delta.revision;
    for (const auto& [key, item] : records) {
        result.records.push_back(std::make_unique<wire::steering_record_t>(item));
    }
    for (const auto& [key, item] : drains) {
        result.drains.push_back(std::make_unique<wire::target_drain_t>(item));
    }
    for (const auto& [key, item] : assignments) {
        result.assignments.push_back(std::make_unique<wire::assignment_t>(item));
    }
    return result;
}

}  // namespace

TEST_CASE("version rules") {
    record_store store;
    CHECK(store.apply(submit("1", "r", 2, 1)).status == status::accepted);
    SECTION("the same content again is accepted at its old revision") {
        store.apply(submit("2", "other", 1, 1));
        auto again = store.apply(submit("3", "r", 2, 1));
        CHECK(again.status == status::accepted);
        CHECK(again.revision == 1);
        CHECK(store.revision() == 2);
    }
    SECTION("an older version and other content of the same version conflict") {
        CHECK(store.apply(submit("2", "r", 1, 1)).status == status::version_conflict);
        CHECK(store.apply(submit("3", "r", 2, 9)).status == status::version_conflict);
    }
    SECTION("a withdrawn name keeps its last version") {
        CHECK(store.apply(withdraw("2", "r", 1)).status == status::version_conflict);
        CHECK(store.apply(withdraw("3", "r", 2)).status == status::accepted);
        CHECK(store.find_record("r") == nullptr);
        CHECK(store.apply(submit("4", "r", 2, 1)).status == status::version_conflict);
        CHECK(store.apply(withdraw("5", "r", 2)).revision == 2);
        CHECK(store.apply(submit("6", "r", 3, 1)).status == status::accepted);
        CHECK(store.apply(withdraw("7", "absent", 1)).status == status::not_found);
    }
    SECTION("a service belongs to one record") {
        CHECK(store.apply(submit("2", "other", 1, 1, "service-of-r")).status == status::invalid);
    }
    SECTION("assignments vanish with their service") {
        store.apply(assign("service-of-r", "north", 5));
        CHECK(store.configuration().assignments.size() == 1);
        store.apply(withdraw("2", "r", 2));
        CHECK(store.configuration().assignments.empty());
        CHECK(store.apply(assign("service-of-r", "north", 5)).status == status::invalid);
    }
}

TEST_CASE("of concurrent submissions of one version, exactly one content is accepted") {
    rc::prop("one content is accepted, all others conflict", []() {
        record_store store;
        auto submitters = *rc::gen::inRange<std::uint32_t>(2, 10);
        store.apply(submit("base", "r", 1, 0));
        std::uint32_t accepted_count = 0;
        for (std::uint32_t i = 0; i < submitters; ++i) {
            auto result = store.apply(submit("racer-" + std::to_string(i), "r", 2, i + 1));
            accepted_count += result.status == status::accepted ? 1 : 0;
            RC_ASSERT(result.status == status::accepted || result.status == status::version_conflict);
        }
        RC_ASSERT(accepted_count == 1u);
        RC_ASSERT(store.find_record("r")->services[0]->slots_per_target == 1u);
        RC_ASSERT(store.revision() == 2u);
    });
}

TEST_CASE("a resend repeats the first answer and changes nothing") {
    rc::prop("any command, any number of commands later", []() {
        record_store store;
        std::map<std::string, wire::submission_result_t> first;
        for (const auto& command : random_commands()) {
            auto before = store;
            auto result = store.apply(command);
            if (result.submission_id.empty()) {
                continue;
            }
            auto [found, added] = first.emplace(result.submission_id, result);
            RC_ASSERT(found->second == result);
            RC_ASSERT(added || store == before);
        }
    });
    record_store store;
    auto answer = store.apply(submit("first", "r", 1, 1));
    for (std::size_t i = 1; i < max_kept_submissions; ++i) {
        store.apply(withdraw("filler-" + std::to_string(i), "absent", 1));
    }
    CHECK(store.apply(submit("first", "r", 5, 5)) == answer);
    store.apply(withdraw("last filler", "absent", 1));
    CHECK(store.apply(submit("first", "r", 5, 5)).revision == 2);  // the oldest answer is no longer kept
}

TEST_CASE("the same commands give the same state, with or without a snapshot in between") {
    rc::prop("restore(snapshot) equals the original and gives the same answers", []() {
        auto commands = random_commands();
        auto cut = *rc::gen::inRange<std::size_t>(0, commands.size() + 1);
        record_store original;
        record_store copy;
        for (std::size_t i = 0; i < commands.size(); ++i) {
            if (i == cut) {
                copy = record_store::restore(original.snapshot());
                RC_ASSERT(copy == original);
            }
            auto sent = decode_command(encode_command(commands[i]));
            auto result = original.apply(commands[i]);
            if (i >= cut) {
                RC_ASSERT(copy.apply(sent) == result);
            }
        }
        RC_ASSERT(cut >= commands.size() || copy == original);
        RC_ASSERT(record_store::restore(original.snapshot()).snapshot() == original.snapshot());
    });
}

TEST_CASE("a delta from any revision leads to the current configuration") {
    rc::prop("patched base equals the current configuration", []() {
        record_store store;
        std::map<std::uint64_t, wire::configuration_t> seen;
        for (const auto& command : random_commands()) {
            store.apply(command);
            seen[store.revision()] = store.configuration();
        }
        for (const auto& [revision, configuration] : seen) {
            auto delta = store.changes_since(revision);
            RC_ASSERT(delta.full == (revision == 0));
            RC_ASSERT(apply_delta(configuration, delta) == store.configuration());
        }
        auto restored = record_store::restore(store.snapshot());
        RC_ASSERT(apply_delta({}, restored.changes_since(1)) == store.configuration() || store.revision() <= 1);
    });
}

TEST_CASE("damaged commands and snapshots are typed errors") {
    rc::prop("arbitrary bytes", [](const std::vector<std::uint8_t>& bytes) {
        try {
            decode_command(bytes);
        } catch (const command_corrupt&) {
        }
        try {
            record_store::restore(bytes);
        } catch (const snapshot_corrupt&) {
        }
    });
    CHECK_THROWS_AS(decode_command({}), command_corrupt);
    CHECK_THROWS_AS(record_store::restore({1, 2, 3}), snapshot_corrupt);
}

// A record that passes validation must not be refused because its log entry is too large.
TEST_CASE("the largest record that the bounds allow fits one log entry") {
    auto name = [](const char* kind, std::size_t number) {
        std::string text = kind + std::to_string(number);
        return text + std::string(max_name_bytes - text.size(), '-');
    };
    wire::submit_record_t body;
    body.submission_id = std::string(128, 'i');
    body.record = std::make_unique<wire::steering_record_t>();
    body.record->name = name("record", 1);
    for (std::size_t i = 0; i < max_regions; ++i) {
        auto& limit = body.record->regions.emplace_back(std::make_unique<wire::region_limit_t>());
        limit->region = name("region", i);
        limit->max_requests_per_second = 1e9;
    }
    for (std::size_t i = 0; i < max_services; ++i) {
        auto& service = body.record->services.emplace_back(std::make_unique<wire::service_definition_t>());
        service->name = name("service", i);
        service->shift = std::make_unique<wire::shift_cap_t>();
        service->max_request_bytes = service->max_answer_bytes = service->slots_per_target = 1000000;
        service->connections_per_target = 1000000;
        for (const auto& limit : body.record->regions) {
            service->regions.push_back(limit->region);
        }
    }
    for (std::size_t i = 0; i < max_links; ++i) {
        auto& link = body.record->links.emplace_back(std::make_unique<wire::link_limit_t>());
        link->from = name("region", i / max_regions);
        link->to = name("region", i % max_regions);
        link->max_mbit_per_second = 1e9;
    }
    client_block_writer blocks;
    for (std::size_t i = 0; i < max_client_blocks; ++i) {
        blocks.add(parse_client_prefix("2001:db8::/48"), name("region", i % max_regions));
    }
    body.record->client_blocks = blocks.take();
    CHECK(encode_command(make_command(std::move(body))).size() <= max_command_bytes);
}
