// The copy of the edge list at an edge must always equal a list that the leader sent, also when pongs are lost, delayed
// or duplicated.

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include "persimmongrade/distribution.h"
#include "persimmongrade/edge_list.h"

using namespace persimmongrade;

namespace {

// A leader, edge-1 with its copy of the list, two more edges, and a network that loses, delays and duplicates the pongs
// to edge-1.
struct simulation {
    record_store store;
    distribution distributor{{}, {"edge-1", "edge-2", "edge-3"}, store};
    time_point now{ms(50'000)};
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;
    edge_list list;
    std::vector<wire::edge_pong_t> in_flight;
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::vector<wire::edge_info_t>> sent_lists;  // by term, version

    simulation() { this->elect(); }

    void elect() { this->distributor.set_authority(this->now, 0, {true, "control-1", ++this->term}); }

    wire::edge_pong_t ping(const std::string& edge, wire::edge_state state) {
        wire::edge_ping_t ping;
        ping.edge = edge;
        ping.incarnation = 1;
        ping.sequence = ++this->sequence;
        ping.state = state;
        if (edge == "edge-1") {
            this->list.name_version(ping);
        }
        for (peer_message& message : this->distributor.on_ping(this->now, ping, {})) {
            if (auto* pong = message.body.Asedge_pong()) {
                this->sent_lists.try_emplace({pong->term, pong->edges_version}, this->distributor.edges(this->now));
                return std::move(*pong);
            }
        }
        return {};
    }

    void check_copy() const {
        if (this->list.entries().empty()) {
            return;
        }
        wire::edge_ping_t known;
        this->list.name_version(known);
        const auto& expected = this->sent_lists.at({known.edges_term, known.edges_version});
        RC_ASSERT(this->list.entries().size() == expected.size());
        for (std::size_t i = 0; i < expected.size(); ++i) {
            RC_ASSERT(*this->list.entries()[i] == expected[i]);
        }
    }
};

}  // namespace

TEST_CASE("the copy of the edge list equals a version that the leader sent") {
    std::size_t partial = 0;
    rc::prop("under loss, delay, duplication, silent edges and changes of leader", [&] {
        simulation run;
        for (int step = 0; step < 60; ++step) {
            run.now += ms(*rc::gen::inRange(1, 400));
            if (*rc::gen::inRange(0, 15) == 0) {
                run.elect();
            }
            auto state = *rc::gen::element(wire::edge_state::starting, wire::edge_state::serving);
            run.ping(*rc::gen::element(std::string("edge-2"), std::string("edge-3")), state);
            run.in_flight.push_back(run.ping("edge-1", wire::edge_state::serving));
            while (!run.in_flight.empty() && *rc::gen::inRange(0, 3) != 0) {
                std::size_t chosen = *rc::gen::inRange<std::size_t>(0, run.in_flight.size());
                wire::edge_pong_t& pong = run.in_flight[chosen];
                partial += run.list.receive(pong) && pong.edges_base > 0 ? 1 : 0;
                run.check_copy();
                if (*rc::gen::inRange(0, 4) != 0) {  // otherwise it is delivered again
                    run.in_flight.erase(run.in_flight.begin() + static_cast<std::ptrdiff_t>(chosen));
                }
            }
        }
    });
    CHECK(partial > 500);  // the property must cover partial lists
}

TEST_CASE("a pong carries only the changes since the version that the ping names") {
    simulation run;
    for (const char* edge : {"edge-2", "edge-3"}) {
        run.ping(edge, wire::edge_state::serving);
    }
    wire::edge_pong_t first = run.ping("edge-1", wire::edge_state::serving);
    CHECK(first.edges.size() == 3);
    CHECK(run.list.receive(first));
    CHECK(run.ping("edge-1", wire::edge_state::serving).edges.empty());
    run.ping("edge-3", wire::edge_state::stopping);
    wire::edge_pong_t second = run.ping("edge-1", wire::edge_state::serving);
    REQUIRE(second.edges.size() == 1);
    CHECK(second.edges[0]->id == "edge-3");
    run.elect();
    run.now += ms(2000);
    CHECK(run.ping("edge-1", wire::edge_state::serving).edges_base == 0);  // the new leader does not know the version
    CHECK_FALSE(run.list.receive(wire::edge_pong_t()));                    // without a list, the copy stays
    wire::edge_pong_t gap;
    gap.term = first.term;
    gap.edges_base = second.edges_version + 1;
    gap.edges_version = gap.edges_base + 1;
    CHECK_FALSE(run.list.receive(gap));  // changes between the copy and the base are missing
    CHECK(run.list.entries().size() == 3);
}
