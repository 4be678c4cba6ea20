// Transfer of large configurations in parts: an edge never applies parts of different revisions together, never returns
// to an older revision, and always reaches the newest one.

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include "persimmongrade/config_client.h"
#include "persimmongrade/distribution.h"

using namespace persimmongrade;

namespace {

// Two control processes with the same log, one edge, and a network that loses, delays, duplicates and reorders
// messages. The size limits are small, so that most changes are sent in parts.
struct simulation {
    struct in_flight {
        time_point arrives;
        std::string from;
        std::string to;
        wire::messageUnion body;
    };

    static distribution_options small_parts() {
        distribution_options options;
        options.max_push_bytes = 300;
        options.transfer.part_bytes = 150;
        return options;
    }

    record_store store;
    std::map<std::string, distribution> control;
    std::string leader = "control-1";
    std::uint64_t term = 0;
    std::uint64_t incarnation = 0;
    std::unique_ptr<config_client> client;
    std::map<std::uint64_t, wire::configuration_t> committed;  // by revision
    time_point now{ms(50'000)};
    std::vector<in_flight> network;
    bool faults = true;
    int parts_received = 0;
    int parts_applied = 0;

    simulation() {
        for (const char* id : {"control-1", "control-2"}) {
            this->control.try_emplace(id, small_parts(), std::vector<std::string>{"edge-1"}, this->store);
        }
        this->committed[0] = wire::configuration_t();
        this->elect();
        this->start_edge();
    }

    void elect() {
        ++this->term;
        for (auto& [id, distributor] : this->control) {
            distributor.set_authority(this->now, 0, {id == this->leader, this->leader, this->term});
        }
    }

    void start_edge() {
        ++this->incarnation;
        this->client = std::make_unique<config_client>(
            config_client_options{"edge-1", this->incarnation, {"control-1", "control-2"}});
    }

    void commit() {
        wire::command_t command;
        std::string target = "target-" + std::to_string(*rc::gen::inRange(0, 12)) + std::string(40, 'x');
        if (*rc::gen::inRange(0, 3) == 0) {
            wire::cancel_drain_t body;
            body.target = target;
            command.body.Set(std::move(body));
        } else {
            wire::announce_drain_t body;
            body.drain = std::make_unique<wire::target_drain_t>();
            body.drain->target = target;
            command.body.Set(std::move(body));
        }
        this->store.apply(command);
        this->committed[this->store.revision()] = this->store.configuration();
    }

    void transmit(const std::string& from, const std::string& to, const wire::messageUnion& body) {
        int copies = this->faults ? *rc::gen::element(0, 1, 1, 1, 2) : 1;
        for (int i = 0; i < copies; ++i) {
            duration delay = ms(this->faults ? *rc::gen::inRange(1, 300) : 20);
            this->network.push_back({this->now + delay, from, to, body});
        }
    }

    void transmit_all(const std::string& from, const std::vector<peer_message>& messages) {
        for (const peer_message& message : messages) {
            this->transmit(from, message.to, message.body);
        }
    }

    void send_actions(const config_actions& actions) {
        for (const outgoing_message& message : actions.messages) {
            this->transmit("edge-1", message.to, message.message);
        }
    }

    void edge_receives(const in_flight& arrived) {
        std::uint64_t before = this->client->revision();
        config_actions actions;
        if (const auto* pong = arrived.body.Asedge_pong()) {
            actions = this->client->receive(this->now, arrived.from, *pong);
        } else if (const auto* refusal = arrived.body.Asnot_leader()) {
            actions = this->client->receive(this->now, arrived.from, *refusal);
        } else if (const auto* push = arrived.body.Asconfig_push()) {
            actions = this->client->receive(this->now, arrived.from, *push);
        } else {
            ++this->parts_received;
            actions = this->client->receive(this->now, arrived.from, *arrived.body.Asconfig_part());
            this->parts_applied += actions.applied ? 1 : 0;
        }
        RC_ASSERT(this->client->revision() >= before);
        wire::configuration_t applied(*this->client->configuration());
        std::sort(applied.drains.begin(), applied.drains.end(),
                  [](const auto& left, const auto& right) { return left->target < right->target; });
        RC_ASSERT(applied == this->committed.at(applied.revision));
        this->send_actions(actions);
    }

    void control_receives(const in_flight& arrived) {
        distribution& distributor = this->control.at(arrived.to);
        if (const auto* ping = arrived.body.Asedge_ping()) {
            wire::edge_pong_t pong;
            pong.incarnation = ping->incarnation;  // the granter sets it in the daemon
            this->transmit_all(arrived.to, distributor.on_ping(this->now, *ping, std::move(pong)));
        } else {
            this->transmit_all(arrived.to, distributor.on_ack(this->now, *arrived.body.Asconfig_ack()));
        }
    }

    void step() {
        this->now += ms(10);
        if (this->now.time_since_epoch().count() % 250 == 0) {
            this->send_actions(this->client->ping(this->now, {}));
        }
        for (auto& [id, distributor] : this->control) {
            this->transmit_all(id, distributor.tick(this->now));
        }
        auto late = std::stable_partition(this->network.begin(), this->network.end(),
                                          [this](const auto& message) { return message.arrives <= this->now; });
        std::vector<in_flight> due(std::make_move_iterator(this->network.begin()), std::make_move_iterator(late));
        this->network.erase(this->network.begin(), late);
        for (const in_flight& message : due) {
            message.to == "edge-1" ? this->edge_receives(message) : this->control_receives(message);
        }
    }
};

}  // namespace

TEST_CASE("an edge applies only committed configurations and reaches the newest") {
    int parts_applied = 0;
    rc::prop("with lost, repeated and reordered parts, newer revisions, changes of leader and restarts", [&] {
        simulation run;
        for (int i = 0; i < 30; ++i) {
            run.commit();
        }
        for (int step = 0; step < 600; ++step) {
            switch (*rc::gen::inRange(0, 60)) {
            case 0:
                run.commit();
                break;
            case 1:
                run.leader = *rc::gen::element(std::string("control-1"), std::string("control-2"));
                run.elect();
                break;
            case 2:
                run.start_edge();
                break;
            default:
                break;
            }
            run.step();
        }
        run.faults = false;
        for (int step = 0; step < 500; ++step) {  // 5 s: above the longest resend interval of a part
            run.step();
        }
        RC_ASSERT(run.client->revision() == run.store.revision());
        RC_ASSERT(run.client->lease_valid(run.now));
        parts_applied += run.parts_applied;
    });
    CHECK(parts_applied > 100);
}

TEST_CASE("at most two parts are in flight, and a slow transfer is not started again") {
    simulation run;
    run.faults = false;
    for (int i = 0; i < 90; ++i) {
        wire::announce_drain_t body;
        body.drain = std::make_unique<wire::target_drain_t>();
        body.drain->target = "t" + std::to_string(i) + std::string(60, 'x');
        wire::command_t command;
        command.body.Set(std::move(body));
        run.store.apply(command);
        run.committed[run.store.revision()] = run.store.configuration();
    }
    run.elect();
    std::size_t most = 0;
    std::uint64_t transfers = 0;
    for (int step = 0; step < 700; ++step) {  // at 20 ms each way and two parts in flight, the transfer takes about 1 s
        run.step();
        std::size_t parts = 0;
        for (const auto& message : run.network) {
            if (const auto* part = message.body.Asconfig_part()) {
                ++parts;
                transfers = std::max(transfers, part->transfer);
            }
        }
        most = std::max(most, parts);
    }
    CHECK(run.parts_received > 40);
    CHECK(most == 2);
    CHECK(transfers == 1);
    CHECK(run.client->revision() == 90);
}

TEST_CASE("parts of another content, damaged parts and parts out of range are not applied") {
    wire::configuration_delta_t delta;
    delta.full = true;
    delta.revision = 5;
    delta.changed_drains.push_back(std::make_unique<wire::target_drain_t>());
    delta.changed_drains[0]->target = std::string(100, 'x');
    config_transfer_options options;
    options.part_bytes = 50;
    config_transfer first(options, {1, 1}, 5, encode_delta(delta));
    delta.changed_drains[0]->target = std::string(100, 'y');
    config_transfer second(options, {1, 2}, 5, encode_delta(delta));
    config_assembler assembler;
    CHECK(assembler.receive(first.message(0)) == part_outcome::stored);
    CHECK(assembler.receive(second.message(1)) == part_outcome::stored);
    CHECK(assembler.receive(first.message(1)) == part_outcome::ignored);
    CHECK(assembler.receive(second.message(1)) == part_outcome::duplicate);
    wire::config_part_t corrupt = second.message(0);
    corrupt.data[0] ^= 1;
    CHECK(assembler.receive(corrupt) == part_outcome::stored);
    wire::config_part_t invalid = second.message(2);
    invalid.part = invalid.parts;
    CHECK(assembler.receive(invalid) == part_outcome::ignored);
    invalid.parts = max_config_parts + 1;
    CHECK(assembler.receive(invalid) == part_outcome::ignored);
    part_outcome last = part_outcome::stored;
    for (std::uint32_t i = 2; i < second.message(0).parts; ++i) {
        last = assembler.receive(second.message(i));
    }
    CHECK(last == part_outcome::corrupt);
    CHECK(assembler.receive(second.message(0)) == part_outcome::corrupt);  // repeated when the answer was lost
}
