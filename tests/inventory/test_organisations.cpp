// Tests organisations as items and as callers: a key belongs to one organisation whatever the order of calls, copies of
// the items know the same keys, and a caller is identified only by a key that is in force.

#include <catch2/catch.hpp>

#include "persimmongrade/organisation_table.h"

using namespace persimmongrade;

namespace {

using words = std::vector<std::string>;

// Without keys: the removal of the organisation.
std::unique_ptr<wire::item_t> item_of(const std::string& name, std::uint64_t version, std::optional<words> keys = {}) {
    auto item = std::make_unique<wire::item_t>();
    item->kind = wire::item_kind::organisation;
    item->name = name;
    item->version = version;
    item->removed = !keys;
    if (keys) {
        item->organisation = std::make_unique<wire::organisation_rule_t>();
        item->organisation->keys = *std::move(keys);
    }
    return item;
}

template <typename... Items>
wire::item_batch_t batch_of(Items... items) {
    wire::item_batch_t batch;
    (batch.items.push_back(std::move(items)), ...);
    return batch;
}

template <typename... Items>
bool refuses(const item_store& store, Items... items) {
    auto reason = store.problem(batch_of(std::move(items)...));
    CHECK((!reason || reason->find("k-") == std::string::npos));  // the text must not contain a key
    return reason.has_value();
}

std::string caller_of(const item_store& items, const std::string& authorization) {
    organisation_table table(items);
    access_decision decision = table.decide(false, authorization);
    return decision.result == access_result::identified ? decision.caller->name : "";
}

}  // namespace

// The key of two organisations would count requests against either, and give one the regions of the other.
TEST_CASE("a key of two organisations is refused, within one call and across calls in either order") {
    CHECK(refuses(item_store(), item_of("a", 1, words{"k-1", "k-2"}), item_of("b", 1, words{"k-2"})));
    for (const auto& [first, second] : {std::pair("a", "b"), std::pair("b", "a")}) {
        item_store held;
        held.apply(batch_of(item_of(first, 1, words{"k-1"})), 1);
        CHECK(refuses(held, item_of(second, 9, words{"k-0", "k-1"})));
        CHECK_FALSE(refuses(held, item_of(second, 9, words{"k-0"})));
        CHECK_FALSE(refuses(held, item_of(first, 2, words{"k-1", "k-3"})));
    }
}

// A version that is not newer takes nothing and gives nothing, so that it must neither free a key nor hide a conflict.
TEST_CASE("a key moves in the call that takes it from the first organisation, if the versions are newer") {
    item_store store;
    store.apply(batch_of(item_of("a", 4, words{"k-1"}), item_of("b", 4, words{"k-2"})), 1);
    CHECK_FALSE(refuses(store, item_of("a", 5, words{}), item_of("b", 5, words{"k-1"})));
    CHECK_FALSE(refuses(store, item_of("b", 5, words{"k-1"}), item_of("a", 5, words{"k-2"})));
    CHECK_FALSE(refuses(store, item_of("b", 5, words{"k-1"}), item_of("a", 5)));
    CHECK_FALSE(refuses(store, item_of("a", 4, words{"k-2"})));
    CHECK(refuses(store, item_of("b", 5, words{"k-1"}), item_of("a", 4, words{})));
    CHECK(refuses(store, item_of("b", 5, words{"k-1"}), item_of("a", 3)));
    CHECK(refuses(store, item_of("b", 5, words{"k-1"}), item_of("b", 4)));
    CHECK(refuses(store, item_of("b", 4), item_of("b", 5, words{"k-1"})));
    store.apply(batch_of(item_of("a", 5)), 2);
    CHECK_FALSE(refuses(store, item_of("b", 5, words{"k-1"})));
}

// A gateway or a restarted control process without the keys or the limits would refuse callers, or not limit them.
TEST_CASE("snapshots and deltas keep organisations") {
    item_store control;
    auto full = item_of("a", 4, words{"k-1", "k-2"});
    full->organisation->regions = {"north"};
    full->organisation->has_priority = true;
    full->organisation->priority = 3;
    full->organisation->rate = 12.5;
    control.apply(batch_of(std::move(full), item_of("b", 1, words{"k-3"})), 1);
    item_store restored;
    item_store gateway;
    restored.load(control.snapshot());
    REQUIRE(gateway.merge(control.changes_since(0)));
    for (const item_store* copy : {&restored, &gateway}) {
        const organisation expected{"a", 4, 3, {"north"}, 12.5, 0};
        organisation_table table(*copy);
        CHECK((table.find("a") != nullptr && *table.find("a") == expected));
        CHECK(caller_of(*copy, "Bearer k-2") == "a");
        CHECK_FALSE(table.find("b")->priority.has_value());
        CHECK(refuses(*copy, item_of("c", 1, words{"k-3"})));
    }
    control.apply(batch_of(item_of("a", 5, words{"k-3"}), item_of("b", 2)), 2);
    REQUIRE(gateway.merge(control.changes_since(1)));
    CHECK(caller_of(gateway, "Bearer k-3") == "a");
    CHECK(caller_of(gateway, "Bearer k-1").empty());
    CHECK(organisation_table(gateway).all().size() == 1);
}

// A header that is read too generously would let callers without a key in.
TEST_CASE("a caller is identified by its key alone") {
    item_store store;
    CHECK(organisation_table(store).decide(false, "Bearer k-1").result == access_result::not_required);
    store.apply(batch_of(item_of("a", 1, words{"k-1"}), item_of("none", 1, words{})), 1);
    organisation_table table(store);
    CHECK(caller_of(store, "Bearer k-1") == "a");
    CHECK(caller_of(store, "bEARER  k-1") == "a");
    CHECK(table.decide(true, "Bearer k-1").result == access_result::identified);
    for (const char* unknown : {"", "Bearer", "Bearer ", "Bearer k-2", "Bearer k-1 k-1", "Bearer k-", "Bearer K-1",
                                "Bearerk-1", "k-1", "Basic k-1", " Bearer k-1", "Bearer\tk-1"}) {
        CHECK(table.decide(false, unknown).result == access_result::unknown_key);
    }
    CHECK(table.decide(false, std::nullopt).result == access_result::unknown_key);
    CHECK(table.decide(true, std::nullopt).result == access_result::anonymous);
    CHECK(table.decide(true, "Bearer k-2").result == access_result::anonymous);
}

// An empty list allows every region, so that it must not stand for "no region in common".
TEST_CASE("a request may run in the regions that both the route and the organisation allow") {
    CHECK((common_regions({}, {}) == words{} && common_regions({"north"}, {}) == words{"north"}));
    CHECK((common_regions({}, {"south"}) == words{"south"} && common_regions({"north"}, {"south"}) == std::nullopt));
    CHECK(common_regions({"north", "east"}, {"east", "south"}) == words{"east"});
}
