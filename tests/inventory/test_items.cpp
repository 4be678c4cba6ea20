// Tests the store of items: the highest version wins in any order, invalid batches are detected, and an accepted call
// is recognized when it is resent.

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include "persimmongrade/item_store.h"

using namespace persimmongrade;

namespace {

std::unique_ptr<wire::item_t> service_item(const std::string& name, std::uint64_t version) {
    auto item = std::make_unique<wire::item_t>();
    item->kind = wire::item_kind::service;
    item->name = name;
    item->version = version;
    item->service = std::make_unique<wire::service_rule_t>();
    item->document = name + std::to_string(version);
    return item;
}

std::unique_ptr<wire::item_t> route_item(const std::string& name, std::uint64_t version, const std::string& service,
                                         double weight = 1, std::uint32_t aim_ms = 200) {
    auto item = std::make_unique<wire::item_t>();
    item->kind = wire::item_kind::route;
    item->name = name;
    item->version = version;
    item->route = std::make_unique<wire::route_rule_t>();
    item->route->timeout_ms = 1500;
    item->route->aim_ms = aim_ms;
    auto part = std::make_unique<wire::route_part_t>();
    part->service = service;
    part->weight = weight;
    item->route->parts.push_back(std::move(part));
    item->document = name + std::to_string(version);
    return item;
}

std::unique_ptr<wire::item_t> removed(wire::item_kind kind, const std::string& name, std::uint64_t version) {
    auto item = std::make_unique<wire::item_t>();
    item->kind = kind;
    item->name = name;
    item->version = version;
    item->removed = true;
    return item;
}

template <typename... Items>
wire::item_batch_t batch_of(std::uint64_t digest, Items... items) {
    wire::item_batch_t batch;
    batch.digest = digest;
    (batch.items.push_back(std::move(items)), ...);
    return batch;
}

std::uint64_t version_of(const item_store& store, const std::string& route) {
    const auto* item = store.find(wire::item_kind::route, route);
    return item == nullptr ? 0 : item->version;
}

}  // namespace

TEST_CASE("the highest version wins, equal and lower versions are ignored") {
    item_store store;
    store.apply(batch_of(1, service_item("s", 1), route_item("r", 5, "s")), 1);
    store.apply(batch_of(2, route_item("r", 4, "s")), 2);
    CHECK(version_of(store, "r") == 5);
    auto same = route_item("r", 5, "s");
    same->document = "other content";
    store.apply(batch_of(3, std::move(same)), 3);
    CHECK(store.find(wire::item_kind::route, "r")->document == "r5");
    store.apply(batch_of(4, removed(wire::item_kind::route, "r", 7)), 4);
    CHECK(store.find(wire::item_kind::route, "r") == nullptr);
    store.apply(batch_of(5, route_item("r", 6, "s")), 5);
    CHECK(store.find(wire::item_kind::route, "r") ==
          nullptr);  // a tombstone: an older version that arrives late does not restore the item
    store.apply(batch_of(6, route_item("r", 8, "s")), 6);
    CHECK(version_of(store, "r") == 8);
}

TEST_CASE("invalid batches are detected") {
    item_store store;
    store.apply(batch_of(1, service_item("s", 1), service_item("t", 1), route_item("r", 5, "s")), 1);
    CHECK(store.problem(batch_of(2, route_item("q", 1, "unknown"))).has_value());
    CHECK(store.problem(batch_of(2, route_item("q", 1, "s", 0))).has_value());
    CHECK(store.problem(batch_of(2, route_item("q", 1, "s", 1, 61500))).has_value());
    CHECK_FALSE(store.problem(batch_of(2, route_item("q", 1, "s", 1, 61499))).has_value());
    CHECK(store.problem(batch_of(2, removed(wire::item_kind::service, "s", 2))).has_value());  // route r refers to it
    CHECK_FALSE(store.problem(batch_of(2, removed(wire::item_kind::service, "t", 2))).has_value());
    CHECK_FALSE(store.problem(batch_of(2, route_item("q", 1, "new"), service_item("new", 1))).has_value());
    // A version that is not newer has no effect, so its services are not checked.
    CHECK_FALSE(store.problem(batch_of(2, route_item("r", 4, "unknown"))).has_value());
}

TEST_CASE("a service may be removed together with the last route that refers to it") {
    item_store store;
    store.apply(batch_of(1, service_item("s", 1), route_item("r", 1, "s")), 1);
    CHECK_FALSE(
        store.problem(batch_of(2, removed(wire::item_kind::service, "s", 2), removed(wire::item_kind::route, "r", 2)))
            .has_value());
}

TEST_CASE("accepted calls and evacuations survive a snapshot") {
    item_store store;
    store.apply(batch_of(17, service_item("s", 1), route_item("r", 5, "s")), 3);
    store.apply(batch_of(18, removed(wire::item_kind::route, "r", 6)), 4);
    wire::zone_evacuation_t evacuation;
    evacuation.zone = "north-1";
    evacuation.active = true;
    store.apply(evacuation, 5);
    item_store loaded;
    loaded.load(store.snapshot());
    CHECK(loaded.was_accepted(17));
    CHECK(loaded.was_accepted(18));
    CHECK_FALSE(loaded.was_accepted(19));
    CHECK(loaded.evacuated("north-1"));
    CHECK(loaded.applied() == 5);
    loaded.apply(batch_of(20, route_item("r", 5, "s")), 6);
    CHECK(version_of(loaded, "r") == 0);
    evacuation.active = false;
    loaded.apply(evacuation, 7);
    CHECK_FALSE(loaded.evacuated("north-1"));
}

TEST_CASE("documents are not sent to gateways, but kept in snapshots") {
    item_store control;
    control.apply(batch_of(1, service_item("s", 1)), 1);
    item_store gateway;
    REQUIRE(gateway.merge(control.changes_since(0)));
    CHECK(gateway.find(wire::item_kind::service, "s")->document.empty());
    CHECK(control.find(wire::item_kind::service, "s")->document == "s1");
    item_store restored;
    restored.load(control.snapshot());
    CHECK(restored.find(wire::item_kind::service, "s")->document == "s1");
}

TEST_CASE("a delta whose base has not been applied is not merged") {
    item_store control;
    item_store gateway;
    control.apply(batch_of(1, service_item("s", 1)), 1);
    control.apply(batch_of(2, route_item("r", 1, "s")), 2);
    CHECK_FALSE(gateway.merge(control.changes_since(1)));
    CHECK(gateway.merge(control.changes_since(0)));
    CHECK(gateway.applied() == 2);
    CHECK_FALSE(gateway.merge(control.changes_since(0)));  // duplicate
}

TEST_CASE("copies that merge deltas in any order converge to the state of the log") {
    rc::prop("merge", [] {
        item_store control;
        std::vector<wire::items_delta_t> deltas;
        control.apply(batch_of(1, service_item("s", 1)), 1);
        auto steps = *rc::gen::inRange(1, 30);
        for (int i = 0; i < steps; ++i) {
            std::string name = "r" + std::to_string(*rc::gen::inRange(0, 4));
            auto version = static_cast<std::uint64_t>(*rc::gen::inRange(1, 12));
            auto index = static_cast<std::uint64_t>(i + 2);
            bool removes = *rc::gen::arbitrary<bool>();
            control.apply(removes ? batch_of(index, removed(wire::item_kind::route, name, version))
                                  : batch_of(index, route_item(name, version, "s")),
                          index);
            deltas.push_back(control.changes_since(static_cast<std::uint64_t>(*rc::gen::inRange(0, i + 2))));
        }
        deltas.push_back(control.changes_since(0));
        item_store gateway;
        std::uint64_t before = 0;
        auto rounds = *rc::gen::inRange(1, 60);
        for (int i = 0; i < rounds; ++i) {
            gateway.merge(deltas[*rc::gen::inRange<std::size_t>(0, deltas.size())]);
            RC_ASSERT(gateway.applied() >= before);
            before = gateway.applied();
        }
        gateway.merge(deltas.back());
        RC_ASSERT(gateway.applied() == control.applied());
        for (int i = 0; i < 4; ++i) {
            std::string name = "r" + std::to_string(i);
            RC_ASSERT(version_of(gateway, name) == version_of(control, name));
        }
    });
}
