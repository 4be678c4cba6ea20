// Guards the configuration client: revisions never go back, and no lease outlasts what the leader has committed.

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include "persimmongrade/config_client.h"

using namespace persimmongrade;

namespace {

wire::config_push_t push_of(std::uint64_t base, std::uint64_t revision, bool full) {
    wire::config_push_t push;
    push.delta = std::make_unique<wire::configuration_delta_t>();
    push.delta->base_revision = base;
    push.delta->revision = revision;
    push.delta->full = full;
    // Each revision adds one drain, so that the number of drains shows whether a change was left out.
    for (std::uint64_t i = full ? 1 : base + 1; i <= revision; ++i) {
        push.delta->changed_drains.push_back(std::make_unique<wire::target_drain_t>());
        push.delta->changed_drains.back()->target = "t" + std::to_string(i);
    }
    return push;
}

// A leader and a network that loses, delays, duplicates and reorders messages.
struct world {
    struct in_flight {
        time_point arrives;
        wire::messageUnion message;
    };

    config_client client{{"edge-1", 5, {"control-1"}}};
    time_point now{ms(100000)};
    std::uint64_t committed = 0;
    std::vector<std::pair<time_point, std::uint64_t>> commits{{time_point(), 0}};  // revision from a time on
    std::vector<in_flight> to_edge;
    std::vector<in_flight> to_control;

    static void transfer(std::vector<in_flight>& link, time_point now, wire::messageUnion message) {
        int copies = *rc::gen::inRange(0, 3);  // 0: lost, 2: duplicated
        for (int i = 0; i < copies; ++i) {
            link.push_back({now + ms(*rc::gen::inRange(0, 600)), message});
        }
    }

    template <typename Body>
    void reply(Body body) {
        wire::messageUnion message;
        message.Set(std::move(body));
        transfer(this->to_edge, this->now, std::move(message));
    }

    void perform(config_actions actions) {
        for (outgoing_message& message : actions.messages) {
            transfer(this->to_control, this->now, std::move(message.message));
        }
    }

    void control_receives(const wire::messageUnion& message) {
        if (const auto* ping = message.Asedge_ping()) {
            wire::edge_pong_t pong;
            pong.sequence = ping->sequence;
            pong.incarnation = ping->incarnation;
            pong.term = 1;
            pong.committed_revision = this->committed;
            pong.config_lease_ms = 2000;
            this->reply(std::move(pong));
            if (ping->applied_revision < this->committed) {
                std::uint64_t base = *rc::gen::element(ping->applied_revision, this->committed - 1);
                this->reply(push_of(base, this->committed, false));
            }
        } else if (const auto* ack = message.Asconfig_ack(); ack->need_full) {
            this->reply(push_of(0, this->committed, true));
        }
    }

    void edge_receives(const wire::messageUnion& message) {
        std::uint64_t before = this->client.revision();
        if (const auto* pong = message.Asedge_pong()) {
            this->perform(this->client.receive(this->now, "control-1", *pong));
        } else {
            this->perform(this->client.receive(this->now, "control-1", *message.Asconfig_push()));
        }
        RC_ASSERT(this->client.revision() >= before);
        RC_ASSERT(this->client.configuration()->drains.size() == this->client.revision());
    }

    template <typename Receive>
    void deliver(std::vector<in_flight>& link, Receive receive) {
        std::vector<in_flight> due;
        std::erase_if(link, [&](const in_flight& entry) {
            bool arrived = entry.arrives <= this->now;
            if (arrived) {
                due.push_back(entry);
            }
            return arrived;
        });
        for (const in_flight& entry : due) {
            receive(entry.message);
        }
    }

    // Everything committed 2 s ago or earlier is applied while the lease is valid.
    void check_lease() const {
        std::uint64_t due = 0;
        for (const auto& [at, revision] : this->commits) {
            due = at + ms(2000) <= this->now ? revision : due;
        }
        RC_ASSERT(!this->client.lease_valid(this->now) || this->client.revision() >= due);
    }

    void step() {
        this->now += ms(50);
        if (*rc::gen::inRange(0, 8) == 0) {
            this->commits.emplace_back(this->now, ++this->committed);
        }
        if (this->now.time_since_epoch().count() % 250 == 0) {
            this->perform(this->client.ping(this->now, {}));
        }
        this->deliver(this->to_control, [this](const auto& message) { this->control_receives(message); });
        this->deliver(this->to_edge, [this](const auto& message) { this->edge_receives(message); });
        this->check_lease();
    }
};

}  // namespace

TEST_CASE("generated loss, delay, duplication and reordering") {
    std::uint64_t steps_with_lease = 0;
    rc::prop("revisions never go back and a valid lease covers what was committed 2 s ago", [&] {
        world run;
        for (int i = 0; i < 200; ++i) {
            run.step();
            steps_with_lease += run.client.lease_valid(run.now) ? 1 : 0;
        }
    });
    CHECK(steps_with_lease > 1000);  // the property must not hold merely because no lease was ever given
}

TEST_CASE("the client finds a new leader after a hint and after silence") {
    config_client client({"edge-1", 5, {"c1", "c2", "c3"}});
    time_point now{ms(1000)};
    CHECK(client.ping(now, {}).messages.size() == 3);
    wire::edge_pong_t pong;
    pong.sequence = 1;
    pong.incarnation = 5;
    pong.config_lease_ms = 2000;
    CHECK(client.receive(now, "c2", pong).pong_accepted);
    CHECK(client.leader() == "c2");
    auto messages = client.ping(now + ms(250), {}).messages;
    REQUIRE(messages.size() == 1);
    CHECK(messages.front().to == "c2");
    wire::not_leader_t hint;
    hint.leader = "c3";
    client.receive(now + ms(260), "c2", hint);
    CHECK(client.leader() == "c3");
    CHECK(client.ping(now + ms(700), {}).messages.size() == 3);
    CHECK(client.lease_valid(now + ms(1960)));
    CHECK_FALSE(client.lease_valid(now + ms(1971)));  // 2,000 ms less 1% and 10 ms
}

TEST_CASE("a pong to an earlier incarnation or from an older term gives no lease") {
    config_client client({"edge-1", 5, {"c1"}});
    time_point now{ms(1000)};
    client.ping(now, {});
    wire::edge_pong_t pong;
    pong.sequence = 1;
    pong.incarnation = 4;
    pong.config_lease_ms = 2000;
    pong.term = 7;
    CHECK_FALSE(client.receive(now, "c1", pong).pong_accepted);
    pong.incarnation = 5;
    CHECK(client.receive(now, "c1", pong).pong_accepted);
    pong.term = 6;
    CHECK_FALSE(client.receive(now, "c1", pong).pong_accepted);
}
