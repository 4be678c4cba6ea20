// Transfer of items from several control processes to a gateway, with connections that end, changes of the sender and
// senders that lag; and the time and the bytes of large changes over a slow link.

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <deque>

#include "persimmongrade/compression.h"
#include "persimmongrade/item_transfer.h"

using namespace persimmongrade;

namespace {

std::unique_ptr<wire::item_t> route_item(const std::string& name, std::uint64_t version, bool removed = false) {
    auto item = std::make_unique<wire::item_t>();
    item->kind = wire::item_kind::route;
    item->name = name;
    item->version = version;
    item->removed = removed;
    if (!removed) {
        item->route = std::make_unique<wire::route_rule_t>();
        item->route->host = name + ".example";
        item->route->path_prefix = "/" + name + "/";
        item->route->timeout_ms = 1500;
        auto part = std::make_unique<wire::route_part_t>();
        part->service = "orders";
        part->weight = 1;
        item->route->parts.push_back(std::move(part));
    }
    return item;
}

std::string random_name(std::uint64_t number) {
    std::uint64_t bits = (number + 1) * 0x9E3779B97F4A7C15ull;
    std::string name = "r-";
    for (int i = 0; i < 7; ++i, bits /= 36) {
        name += "0123456789abcdefghijklmnopqrstuvwxyz"[bits % 36];
    }
    return name;
}

wire::item_batch_t routes(std::size_t first, std::size_t count, std::uint64_t version) {
    wire::item_batch_t batch;
    for (std::size_t i = first; i < first + count; ++i) {
        batch.items.push_back(route_item(random_name(i), version));
    }
    return batch;
}

wire::zone_evacuation_t evacuation_of(const std::string& zone, bool active) {
    wire::zone_evacuation_t evacuation;
    evacuation.zone = zone;
    evacuation.active = active;
    return evacuation;
}

// One entry of the log.
struct entry {
    wire::item_batch_t batch;
    std::optional<wire::zone_evacuation_t> evacuation;

    void apply_to(item_store& store, std::uint64_t index) const {
        if (this->evacuation) {
            store.apply(*this->evacuation, index);
        } else {
            store.apply(this->batch, index);
        }
    }
};

constexpr std::size_t control_count = 3;

// Control processes with copies of one log, and a gateway. A connection delivers in order, until it ends.
class simulation {
public:
    void commit(entry added) {
        this->log.push_back(std::move(added));
        this->states.push_back(this->states.empty() ? item_store() : this->states.back());
        this->log.back().apply_to(this->states.back(), this->log.size());
    }

    void replicate(std::size_t i) {
        if (this->control[i].applied < this->log.size()) {
            std::uint64_t index = ++this->control[i].applied;
            this->log[index - 1].apply_to(this->control[i].store, index);
        }
    }

    void send(std::size_t i) {
        control_process& from = this->control[i];
        while (auto request = from.stream.next(from.store, from.connection)) {
            wire::items_delta_t message = from.parts.make(from.store, *request);
            message.number = from.stream.next_number();
            from.stream.sent(*request, message);
            from.on_the_way.push_back(std::move(message));
            ++this->sent_messages;
        }
    }

    // One message reaches the gateway. Returns false when there is none.
    bool deliver(std::size_t i) {
        control_process& from = this->control[i];
        if (from.on_the_way.empty()) {
            return false;
        }
        wire::items_delta_t message = std::move(from.on_the_way.front());
        from.on_the_way.pop_front();
        items_result result = this->receiver.receive(message);
        from.received_number = message.number;
        this->useless_messages += result.outcome == items_outcome::known && !result.has_announced ? 1 : 0;
        this->useless_messages += result.outcome == items_outcome::lacks_earlier ? 1 : 0;
        REQUIRE(result.outcome != items_outcome::unreadable);
        return true;
    }

    void state(std::size_t i) {
        control_process& to = this->control[i];
        wire::items_ack_t ack = ack_of(this->receiver.held(), to.received_number);
        to.stream.acknowledge(progress_of(ack), ack.number, to.connection);
    }

    void end_connection(std::size_t i) {
        this->control[i].on_the_way.clear();
        this->control[i].received_number = 0;
        ++this->control[i].connection;
    }

    void restart(std::size_t i) {
        this->end_connection(i);
        this->control[i].stream = {};
        this->control[i].parts = item_parts(400);
    }

    // What the gateway says that it has applied is in force there.
    bool is_truthful() const {
        std::uint64_t applied = this->gateway.applied();
        if (applied == 0) {
            return true;
        }
        const item_store& then = this->states[applied - 1];
        bool holds_all = true;
        then.each([&](const wire::item_t& item) {
            const wire::item_t* held = this->gateway.find(item.kind, item.name);
            // Absent only when a later entry has removed it.
            holds_all = holds_all && (held == nullptr ? this->newest().find(item.kind, item.name) == nullptr ||
                                                            this->is_removed_after(item, applied)
                                                      : held->version >= item.version);
        });
        this->gateway.each([&](const wire::item_t& item) {
            bool was_removed = then.find(item.kind, item.name) == nullptr && this->was_known(item.name, applied);
            holds_all = holds_all && !(was_removed && item.changed_at <= applied);
        });
        return holds_all;
    }

    bool is_complete() const {
        bool same = this->gateway.applied() == this->newest().applied() &&
                    this->gateway.evacuated_zones() == this->newest().evacuated_zones();
        this->newest().each([&](const wire::item_t& item) {
            const wire::item_t* held = this->gateway.find(item.kind, item.name);
            same = same && held != nullptr && held->version == item.version;
        });
        this->gateway.each(
            [&](const wire::item_t& item) { same = same && this->newest().find(item.kind, item.name) != nullptr; });
        return same;
    }

    const item_store& newest() const { return this->states.back(); }

    struct control_process {
        item_store store;
        std::uint64_t applied = 0;
        item_stream stream;
        item_parts parts{400};  // two or three items
        std::uint64_t connection = 1;
        std::uint64_t received_number = 0;  // by the gateway
        std::deque<wire::items_delta_t> on_the_way;
    };

    std::array<control_process, control_count> control;
    item_store gateway;
    item_receiver receiver{gateway};
    int sent_messages = 0;
    int useless_messages = 0;
    std::vector<entry> log;

private:
    bool is_removed_after(const wire::item_t& item, std::uint64_t index) const {
        return std::any_of(this->states.begin() + static_cast<std::ptrdiff_t>(index), this->states.end(),
                           [&](const item_store& later) { return later.find(item.kind, item.name) == nullptr; });
    }

    bool was_known(const std::string& name, std::uint64_t index) const {
        return std::any_of(
            this->states.begin(), this->states.begin() + static_cast<std::ptrdiff_t>(index),
            [&](const item_store& state) { return state.find(wire::item_kind::route, name) != nullptr; });
    }

    std::vector<item_store> states;  // after each entry
};

entry random_entry(std::uint64_t version) {
    if (*rc::gen::inRange(0, 8) == 0) {
        return {{}, evacuation_of("north-" + std::to_string(*rc::gen::inRange(0, 3)), *rc::gen::arbitrary<bool>())};
    }
    entry result;
    auto count = *rc::gen::inRange(1, 12);
    for (int i = 0; i < count; ++i) {
        bool removed = *rc::gen::inRange(0, 5) == 0;
        result.batch.items.push_back(route_item("r" + std::to_string(*rc::gen::inRange(0, 30)),
                                                version + static_cast<std::uint64_t>(i), removed));
    }
    result.batch.digest = version;
    return result;
}

// A control process, a link and a gateway in steps of one millisecond.
struct transfer_figures {
    std::int64_t took_ms = 0;
    std::size_t bytes = 0;
    std::size_t longest_queue = 0;  // bytes that an answer to a ping would wait behind
};

transfer_figures transfer(const item_store& store, std::size_t bytes_per_second, std::int64_t one_way_ms) {
    item_stream stream;
    item_parts parts;
    item_store gateway;
    item_receiver receiver(gateway);
    transfer_figures figures;
    struct sending {
        wire::items_delta_t message;
        double bytes_left;
    };
    std::deque<sending> queue;
    std::deque<std::pair<std::int64_t, wire::items_delta_t>> arriving;
    std::deque<std::pair<std::int64_t, wire::items_ack_t>> acks;
    std::uint64_t received = 0;
    for (std::int64_t now = 0; gateway.applied() < store.applied() && now < 60'000; ++now) {
        while (auto request = stream.next(store, 1)) {
            wire::items_delta_t message = parts.make(store, *request);
            message.number = stream.next_number();
            stream.sent(*request, message);
            flatbuffers::FlatBufferBuilder builder;
            builder.Finish(wire::items_delta::Pack(builder, &message));
            figures.bytes += builder.GetSize();
            queue.push_back({std::move(message), static_cast<double>(builder.GetSize())});
        }
        double waiting = 0;
        for (const sending& entry : queue) {
            waiting += entry.bytes_left;
        }
        figures.longest_queue = std::max(figures.longest_queue, static_cast<std::size_t>(waiting));
        double room = static_cast<double>(bytes_per_second) / 1000;
        while (!queue.empty() && room > 0) {
            double sent = std::min(room, queue.front().bytes_left);
            room -= sent;
            queue.front().bytes_left -= sent;
            if (queue.front().bytes_left <= 0) {
                arriving.emplace_back(now + one_way_ms, std::move(queue.front().message));
                queue.pop_front();
            }
        }
        while (!arriving.empty() && arriving.front().first <= now) {
            receiver.receive(arriving.front().second);
            received = arriving.front().second.number;
            acks.emplace_back(now + one_way_ms, ack_of(receiver.held(), received));
            arriving.pop_front();
        }
        while (!acks.empty() && acks.front().first <= now) {
            stream.acknowledge(progress_of(acks.front().second), acks.front().second.number, 1);
            acks.pop_front();
        }
        figures.took_ms = now;
    }
    REQUIRE(gateway.applied() == store.applied());
    return figures;
}

}  // namespace

TEST_CASE("a gateway that says what it has applied has it in force, and gets everything once connections last") {
    rc::prop("transfer", [] {
        simulation system;
        std::uint64_t version = 0;
        auto steps = *rc::gen::inRange(10, 150);
        std::size_t source = 0;
        std::uint64_t applied = 0;
        for (int step = 0; step < steps; ++step) {
            std::size_t i = *rc::gen::inRange<std::size_t>(0, control_count);
            switch (*rc::gen::inRange(0, 11)) {
            case 0:
                system.commit(random_entry(version += 20));
                break;
            case 1:
            case 2:
                system.replicate(i);
                break;
            case 3:
                system.end_connection(i);
                break;
            case 4:
                source = i;
                break;
            case 10:
                system.restart(i);
                break;
            case 5:
                system.state(i);  // a ping
                break;
            default:
                system.send(source);
                if (system.deliver(i)) {
                    system.state(i);
                }
            }
            RC_ASSERT(system.gateway.applied() >= applied);
            RC_ASSERT(system.is_truthful());
            applied = system.gateway.applied();
        }
        system.commit(random_entry(version += 20));
        for (std::size_t i = 0; i < control_count; ++i) {
            while (system.control[i].applied < system.log.size()) {
                system.replicate(i);
            }
        }
        system.state(source);
        for (int round = 0; round < 200 && !system.is_complete(); ++round) {
            system.send(source);
            while (system.deliver(source)) {
            }
            system.state(source);
        }
        RC_ASSERT(system.is_complete());
    });
}

TEST_CASE("another control process goes on where the last one ended, and nothing is sent twice") {
    simulation system;
    system.commit({routes(0, 100, 1), std::nullopt});
    for (std::size_t i = 0; i < control_count; ++i) {
        system.replicate(i);
    }
    int delivered = 0;
    for (std::size_t source = 0; !system.is_complete(); source = (source + 1) % control_count) {
        system.state(source);
        system.send(source);
        for (int parts = 0; parts < 3 && system.deliver(source); ++parts) {
            system.state(source);
            ++delivered;
        }
        system.end_connection(source);  // what is on the way is lost
        REQUIRE(delivered < 100);
    }
    CHECK(system.useless_messages == 0);
}

TEST_CASE("an evacuation overtakes a large transfer") {
    simulation system;
    system.commit({routes(0, 2000, 1), std::nullopt});
    system.replicate(0);
    system.send(0);
    REQUIRE(system.deliver(0));
    system.state(0);
    system.commit({{}, evacuation_of("north-1", true)});
    system.replicate(0);
    system.send(0);
    int messages = 1;
    for (; !system.gateway.evacuated("north-1") && system.deliver(0); ++messages) {
        system.state(0);
    }
    CHECK(system.gateway.evacuated("north-1"));
    CHECK(system.gateway.applied() == 0);
    // What was on the way when it was accepted, and no more.
    CHECK(messages <= static_cast<int>(max_unconfirmed_items_bytes / 200));
}

// On the users' deployment a gateway has 4.7 Mbit/s or more, for its callers as well.
TEST_CASE(
    "a change of 4,000 routes reaches a gateway over 5 Mbit/s in less than the time in which it must be in force") {
    item_store store;
    store.apply(routes(0, 4000, 1), 1);
    constexpr std::size_t link = 5'000'000 / 8;
    transfer_figures idle = transfer(store, link, 13);
    transfer_figures busy = transfer(store, link / 4, 13);
    std::size_t plain = 0;
    {
        wire::items_delta_t whole = store.changes_since(0);
        flatbuffers::FlatBufferBuilder builder;
        builder.Finish(wire::items_delta::Pack(builder, &whole));
        plain = builder.GetSize();
    }
    INFO("bytes " << idle.bytes << " of " << plain << ", ms " << idle.took_ms << ", on a quarter of the link "
                  << busy.took_ms << ", longest queue " << busy.longest_queue);
    CHECK(idle.took_ms < 1000);
    CHECK(busy.took_ms < 2000);
    CHECK(busy.longest_queue <= 2 * max_unconfirmed_items_bytes);
}

TEST_CASE("what is not compressed data is refused") {
    std::vector<std::uint8_t> bytes(1000, 7);
    auto packed = compress(bytes);
    CHECK(packed.size() < bytes.size());
    CHECK(decompress(packed, bytes.size()) == bytes);
    CHECK_FALSE(decompress(packed, bytes.size() - 1));
    CHECK_FALSE(decompress(packed, bytes.size() + 1));
    packed.resize(packed.size() / 2);
    CHECK_FALSE(decompress(packed, bytes.size()));
    CHECK_FALSE(decompress({}, 10));
}
