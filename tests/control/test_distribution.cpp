// Tests of distribution on a simulated clock: configuration leases, pushes, and the progress of revisions and drains.

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include "persimmongrade/distribution.h"

using namespace persimmongrade;

namespace {

constexpr std::int64_t unix_start_ms = 1'700'000'000'000;

wire::edge_ping_t make_ping(const std::string& edge, std::uint64_t applied, std::uint32_t outstanding = 0) {
    wire::edge_ping_t ping;
    ping.edge = edge;
    ping.incarnation = 1;
    static std::uint64_t sequence = 0;
    ping.sequence = ++sequence;
    ping.applied_revision = applied;
    if (outstanding > 0) {
        ping.outstanding.push_back(std::make_unique<wire::target_outstanding_t>());
        ping.outstanding[0]->target = "t1";
        ping.outstanding[0]->requests = outstanding;
    }
    return ping;
}

// The distributor with two edges on a simulated clock, and the messages that the last event returned.
struct fixture {
    record_store store;
    distribution distributor{{}, {"edge-1", "edge-2"}, store};
    time_point now = time_point(ms(50'000));
    std::vector<peer_message> sent;

    void lead(std::uint64_t term, bool serving = true) {
        std::int64_t unix_ms = unix_start_ms + now.time_since_epoch().count();
        this->distributor.set_authority(this->now, unix_ms, {serving, "control-1", term});
    }

    std::uint64_t change(const std::string& target) {
        wire::announce_drain_t body;
        body.drain = std::make_unique<wire::target_drain_t>();
        body.drain->target = target;
        body.drain->announced_at_ms = unix_start_ms + now.time_since_epoch().count();
        wire::command_t command;
        command.body.Set(std::move(body));
        return this->store.apply(command).revision;
    }

    void cancel(const std::string& target) {
        wire::cancel_drain_t body;
        body.target = target;
        wire::command_t command;
        command.body.Set(std::move(body));
        this->store.apply(command);
    }

    void tick() { this->sent = this->distributor.tick(this->now); }

    // Returns the length of the granted configuration lease in ms; -1 when there is no pong.
    std::int64_t ping(const std::string& edge, std::uint64_t applied, std::uint32_t outstanding = 0) {
        this->sent = this->distributor.on_ping(this->now, make_ping(edge, applied, outstanding), {});
        for (const auto& message : this->sent) {
            if (const auto* pong = message.body.Asedge_pong()) {
                return pong->config_lease_ms;
            }
        }
        return -1;
    }

    const wire::configuration_delta_t* pushed_to(const std::string& edge) const {
        for (const auto& message : this->sent) {
            if (message.to == edge && message.body.Asconfig_push() != nullptr) {
                return message.body.Asconfig_push()->delta.get();
            }
        }
        return nullptr;
    }

    void ack(const std::string& edge, std::uint64_t revision, bool need_full = false) {
        wire::config_ack_t message;
        message.edge = edge;
        message.revision = revision;
        message.need_full = need_full;
        this->sent = this->distributor.on_ack(this->now, message);
    }
};

}  // namespace

TEST_CASE("only a serving leader answers pings with a pong") {
    fixture f;
    CHECK(f.ping("edge-1", 0) == -1);
    REQUIRE(f.sent.size() == 1);
    REQUIRE(f.sent[0].body.Asnot_leader() != nullptr);
    CHECK(f.sent[0].body.Asnot_leader()->sequence > 0);
    f.lead(1);
    CHECK(f.ping("edge-1", 0) == 2000);
    f.lead(1, false);
    CHECK(f.ping("edge-1", 0) == -1);
    f.lead(1);
    CHECK(f.ping("stranger", 0) == -1);
    CHECK(f.sent.empty());
}

TEST_CASE("an edge behind the published revision gets a push and no lease") {
    fixture f;
    f.change("t1");
    f.lead(1);
    CHECK(f.ping("edge-1", 0) == 0);
    REQUIRE(f.pushed_to("edge-1") != nullptr);
    CHECK(f.pushed_to("edge-1")->full);
    f.now += ms(100);
    CHECK(f.ping("edge-1", 0) == 0);
    CHECK(f.pushed_to("edge-1") == nullptr);  // one push in flight
    f.now += ms(500);
    f.ping("edge-1", 0);
    CHECK(f.pushed_to("edge-1") != nullptr);  // sent again
    f.ack("edge-1", 1);
    CHECK(f.ping("edge-1", 1) == 2000);

    f.change("t2");
    f.tick();
    REQUIRE(f.pushed_to("edge-1") != nullptr);
    CHECK_FALSE(f.pushed_to("edge-1")->full);
    CHECK(f.pushed_to("edge-1")->base_revision == 1);
    f.ack("edge-1", 1, true);
    REQUIRE(f.pushed_to("edge-1") != nullptr);
    CHECK(f.pushed_to("edge-1")->full);
}

TEST_CASE("a restarted edge gets a full copy and an older incarnation no answer") {
    fixture f;
    f.change("t1");
    f.lead(1);
    f.ping("edge-1", 1);
    auto restarted = make_ping("edge-1", 0);
    restarted.incarnation = 2;
    f.sent = f.distributor.on_ping(f.now, restarted, {});
    REQUIRE(f.pushed_to("edge-1") != nullptr);
    CHECK(f.pushed_to("edge-1")->full);
    CHECK(f.ping("edge-1", 1) == -1);
    f.sent = f.distributor.on_ping(f.now, restarted, {});  // a duplicate
    CHECK(f.sent.empty());
}

TEST_CASE("a revision is in force when each edge has applied it or lost its lease") {
    fixture f;
    f.lead(1);
    // Both edges may hold a configuration lease from the previous leader.
    std::uint64_t revision = f.change("t1");
    f.now += ms(1999);
    f.ping("edge-1", revision);
    CHECK(f.distributor.not_in_force(f.now, revision) == std::vector<std::string>{"edge-2"});
    f.now = time_point(ms(50'000)) + ms(2030);  // 2000 ms and the clock margin of 1% + 10 ms
    CHECK(f.distributor.not_in_force(f.now, revision).empty());
}

TEST_CASE("a new leader sends no edge list before it can have received pings from all edges") {
    fixture f;
    f.lead(1);
    f.ping("edge-1", 0);
    CHECK(f.sent[0].body.Asedge_pong()->edges.empty());
    f.ping("edge-2", 0);
    CHECK(f.sent[0].body.Asedge_pong()->edges.size() == 2);
    f.now += ms(1000);
    f.ping("edge-1", 0);
    const auto* pong = f.sent[0].body.Asedge_pong();
    REQUIRE(pong->edges.size() == 2);
    CHECK(pong->edges[0]->alive);
    CHECK_FALSE(pong->edges[1]->alive);  // edge-2 has been silent for 1,000 ms
}

TEST_CASE("a drain lasts until all edges applied it and report no request") {
    fixture f;
    f.lead(1);
    f.ping("edge-1", 0, 3);
    f.ping("edge-2", 0);
    std::uint64_t revision = f.change("t1");
    f.now += ms(400);
    f.tick();
    f.ack("edge-1", revision);
    f.ack("edge-2", revision);
    CHECK(f.distributor.drains(f.now)[0].waiting_for.size() == 2);  // the last reported counts are older than the drain
    f.ping("edge-1", revision, 2);
    f.ping("edge-2", revision);
    auto running = f.distributor.drains(f.now)[0];
    CHECK(running.waiting_for == std::vector<std::string>{"edge-1"});
    CHECK(running.outstanding == 2);
    CHECK_FALSE(running.drain_time);
    f.now += ms(300);
    f.ping("edge-1", revision);
    f.now += ms(900);
    CHECK(f.distributor.drains(f.now)[0].drain_time == ms(700));
}

// Without the publication interval, an edge with a one-way delay of 40 ms would lack the newest revision at every ping,
// and its lease would expire.
TEST_CASE("a fast series of changes lets no lease expire") {
    rc::prop("edges with any delay up to 60 ms keep their lease under 100 changes per second", []() {
        fixture f;
        f.lead(1);
        auto delay = *rc::gen::inRange(1, 61);
        auto phase = *rc::gen::inRange(0, 250);
        std::uint64_t applied = 0;
        std::uint64_t arriving = 0;
        time_point arrives_at{};
        time_point lease_until = f.now + ms(2000);
        auto deliver = [&] {
            if (const auto* push = f.pushed_to("edge-1")) {
                arriving = push->revision;
                arrives_at = f.now + ms(delay);
            }
            f.sent.clear();
        };
        for (int step = 1; step < 6000; ++step) {
            f.now += ms(1);
            if (step % 10 == 0) {
                step % 20 == 0 ? f.cancel("t") : (void)f.change("t");  // each of them raises the revision
                f.tick();
                deliver();
            }
            if (arriving > 0 && f.now == arrives_at) {
                applied = arriving;
            }
            if (arriving > 0 && f.now == arrives_at + ms(delay)) {
                arriving = 0;
                f.ack("edge-1", applied);
                deliver();
            }
            if (step % 250 == phase) {
                lease_until = f.ping("edge-1", applied) > 0 ? f.now + ms(1900) : lease_until;
                deliver();
            }
            RC_ASSERT(f.now < lease_until);
        }
    });
}
