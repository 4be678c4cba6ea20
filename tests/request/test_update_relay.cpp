// Guards the distribution of target updates and quarantine notices over the tree of aggregators: every edge learns of
// every announced target and every quarantine, and no update loops. RC_PARAMS="seed=N" sets the seed.

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <random>

#include "persimmongrade/update_relay.h"

using namespace persimmongrade;

namespace {

using position_rule = std::function<tree_position(const edge_place&, const edge_entries&)>;

struct topology {
    std::size_t regions = 0;
    std::size_t zones = 0;  // per region
    std::size_t edges = 0;  // per zone
    std::size_t targets = 0;
    std::uint64_t seed = 0;
};

struct node {
    edge_place location;
    std::uint64_t incarnation = 1;
    bool up = true;
    target_pool pool{{}};
    quarantine request_quarantine;
    update_relay relay;

    node(edge_place location, std::uint64_t incarnation, const std::vector<std::string>& all, const position_rule& rule)
        : location(location), incarnation(incarnation),
          relay({location, all, rule}, this->pool, this->request_quarantine) {}
};

// Edges on a simulated network. The last violation is stored in `problem` instead of failing the test, so that tests
// can show that faulty variants are detected.
struct simulation {
    topology size;
    position_rule rule;
    std::mt19937_64 random;
    time_point now{ms(1'000'000)};
    std::vector<std::string> ids;
    std::map<std::string, std::unique_ptr<node>> nodes;
    std::multimap<time_point, std::tuple<std::string, std::string, wire::messageUnion>> in_flight;  // from, to, body
    std::vector<std::string> announced_to;                              // edge that each target announces itself to
    std::map<std::pair<std::string, std::uint64_t>, std::size_t> sent;  // by target and sequence, without full updates
    std::size_t notices_sent = 0;
    unsigned loss_percent = 0;
    std::int64_t max_delay = 20;
    std::string problem;

    simulation(topology size, position_rule rule) : size(size), rule(std::move(rule)), random(size.seed) {
        std::vector<edge_place> places;
        for (std::size_t i = 0; i < size.regions * size.zones * size.edges; ++i) {
            std::size_t region = i / (size.zones * size.edges);
            places.push_back({"edge-" + std::to_string(i), "r" + std::to_string(region),
                              "z" + std::to_string(i / size.edges % size.zones)});
            this->ids.push_back(places.back().id);
        }
        for (const auto& location : places) {
            this->nodes[location.id] = std::make_unique<node>(location, 1, this->ids, this->rule);
        }
        for (std::size_t i = 0; i < size.targets; ++i) {
            this->announced_to.push_back(this->ids[this->random() % this->ids.size()]);
        }
    }

    bool chance(unsigned percent) { return this->random() % 100 < percent; }
    node& any_node() { return *this->nodes[this->ids[this->random() % this->ids.size()]]; }
    std::size_t up_count() const {
        return static_cast<std::size_t>(
            std::count_if(this->nodes.begin(), this->nodes.end(), [](const auto& entry) { return entry.second->up; }));
    }

    void send(const std::string& from, relay_messages messages) {
        for (auto& message : messages) {
            if (message.message.type == wire::message::target_update) {
                const auto& update = *message.message.Astarget_update();
                for (const auto& target : update.targets) {
                    this->sent[{target->id, target->sequence}] += update.full ? 0 : 1;
                }
            } else {
                ++this->notices_sent;
            }
            auto delay = ms(static_cast<std::int64_t>(this->random()) % (this->max_delay + 1));
            if (!this->chance(this->loss_percent)) {
                this->in_flight.emplace(this->now + std::max(delay, ms(1)),
                                        std::tuple(from, message.to, std::move(message.message)));
            }
        }
    }

    // Lists edges that are down as not alive; the state of each edge is wrong with the given probability.
    void update_list(node& at, unsigned wrong_percent) {
        edge_entries list;
        for (const auto& [id, other] : this->nodes) {
            auto info = std::make_unique<wire::edge_info_t>();
            info->id = id;
            info->region = other->location.region;
            info->zone = other->location.zone;
            info->incarnation = other->incarnation;
            info->alive = other->up != this->chance(wrong_percent);
            list.push_back(std::move(info));
        }
        this->send(at.location.id, at.relay.set_edges(this->now, list));
    }
    void update_lists(unsigned wrong_percent) {
        for (auto& [id, at] : this->nodes) {
            if (at->up && (wrong_percent == 0 || this->chance(50))) {
                this->update_list(*at, wrong_percent);
            }
        }
    }

    void restart(node& chosen) {
        edge_place location = chosen.location;
        std::uint64_t incarnation = chosen.incarnation + 1;
        this->nodes[location.id] = std::make_unique<node>(location, incarnation, this->ids, this->rule);
    }

    void announce(std::size_t target) {
        std::string& at = this->announced_to[target];
        while (!this->nodes[at]->up) {
            at = this->any_node().location.id;
        }
        wire::target_info_t info;
        info.id = "t" + std::to_string(target);
        info.service = "crew";
        info.sequence = static_cast<std::uint64_t>(this->now.time_since_epoch().count());
        this->send(at, this->nodes[at]->relay.announce(this->now, info));
    }

    void run(duration length, bool check = false) {
        for (time_point end = this->now + length; this->now < end; this->now += ms(1)) {
            while (!this->in_flight.empty() && this->in_flight.begin()->first <= this->now) {
                auto [from, to, body] = std::move(this->in_flight.extract(this->in_flight.begin()).mapped());
                node& at = *this->nodes[to];
                if (at.up && body.type == wire::message::target_update) {
                    this->send(to, at.relay.receive(this->now, from, *body.Astarget_update()));
                } else if (at.up) {
                    this->send(to, at.relay.receive(this->now, from, *body.Asquarantine_notice()));
                }
            }
            for (std::size_t i = 0; i < this->size.targets; ++i) {
                if (this->now.time_since_epoch().count() % 1000 == static_cast<std::int64_t>(i * 137 % 1000)) {
                    this->announce(i);
                }
            }
            for (auto& [id, at] : this->nodes) {
                if (at->up && at->relay.next_tick() && *at->relay.next_tick() <= this->now) {
                    this->send(id, at->relay.tick(this->now));
                }
                if (check && at->up && at->pool.view(this->now, "crew").size() != this->size.targets) {
                    this->problem = id + " does not know every target";
                }
            }
        }
    }

    // Records a problem if any target state was sent more than `most` times.
    void check_sent(std::size_t most) {
        for (const auto& [state, count] : this->sent) {
            if (count > most) {
                this->problem = state.first + " was sent " + std::to_string(count) + " times";
            }
        }
        this->sent.clear();
    }
};

// Runs a history with lost and reordered messages, restarts and differing edge lists, after which the lists agree.
std::string run_history(const topology& size, const position_rule& rule = find_tree_position) {
    simulation run(size, rule);
    std::size_t edges = run.ids.size();
    run.update_lists(0);
    run.max_delay = 300;
    run.loss_percent = static_cast<unsigned>(run.random() % 40);
    for (std::size_t step = 0; step < 10; ++step) {
        node& chosen = run.any_node();
        if (chosen.up && run.up_count() > 1 && run.chance(50)) {
            chosen.up = false;
        } else if (!chosen.up) {
            run.restart(chosen);
        }
        run.update_lists(20);
        run.run(ms(400));
    }
    run.check_sent(edges * edges);
    run.loss_percent = 0;
    run.max_delay = 20;
    run.run(ms(300));  // until messages with long delays have arrived
    run.update_lists(0);
    run.run(ms(1400));  // every target announces itself, and its update passes through five edges
    run.sent.clear();
    run.run(ms(3500), true);
    run.check_sent(edges - 1);  // each other edge gets each update once

    // A quarantine: its notice reaches every edge, and no notice loops.
    node& decider = *run.nodes[run.announced_to[0]];
    for (const std::string target : {"a", "b"}) {
        decider.request_quarantine.connection_lost(run.now, {"crew", 7, target, "r0"});
        run.send(decider.location.id,
                 decider.relay.report(decider.request_quarantine.target_down(run.now, "crew", target)));
    }
    run.run(ms(300), true);
    std::size_t notices = run.notices_sent;
    run.run(ms(300), true);
    for (const auto& [id, at] : run.nodes) {
        if (at->up && !at->request_quarantine.quarantined(run.now, "crew", 7)) {
            run.problem = id + " does not know the quarantine";
        }
        if (!at->up) {
            run.restart(*at);
        }
    }
    if (notices != run.notices_sent) {
        run.problem = "notices loop";
    }
    run.update_lists(0);  // restarted edges are new destinations and get the full state
    run.run(ms(200));
    run.run(ms(100), true);
    for (const auto& [id, at] : run.nodes) {
        if (!at->request_quarantine.quarantined(run.now, "crew", 7)) {
            run.problem = id + " was not told of the quarantine after its start";
        }
    }
    return run.problem;
}

topology any_topology(std::size_t least_edges) {
    return {*rc::gen::inRange<std::size_t>(1, 4), *rc::gen::inRange<std::size_t>(1, 4),
            *rc::gen::inRange<std::size_t>(least_edges, 4), *rc::gen::inRange<std::size_t>(1, 6),
            *rc::gen::arbitrary<std::uint64_t>()};
}

}  // namespace

TEST_CASE("every edge knows every target and quarantine once the lists agree", "[relay]") {
    rc::prop("generated histories", [] {
        auto problem = run_history(any_topology(1));
        RC_ASSERT(problem == "");
    });
}

TEST_CASE("the checks detect aggregators that do not forward and edges that send to every edge", "[relay]") {
    auto without_forwarding = [](const edge_place& self, const edge_entries& edges) {
        tree_position position = find_tree_position(self, edges);
        bool aggregator = position.zone_aggregator == self.id;
        return aggregator ? tree_position{self.id, self.id} : position;
    };
    auto to_everyone = [](const edge_place& self, const edge_entries& edges) {
        tree_position position{self.id, self.id};
        for (const auto& edge : edges) {
            position.zone_edges.push_back(edge->id);
        }
        return position;
    };
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CHECK(run_history({3, 2, 2, 3, seed}) == "");
        CHECK(run_history({3, 2, 2, 3, seed}, without_forwarding) != "");
        CHECK(run_history({3, 2, 2, 3, seed}, to_everyone) != "");
    }
}

// The leader lists an edge as not alive 1 s after its last ping, and edges learn that with their next pong.
TEST_CASE("no lease expires when an aggregator is lost", "[relay]") {
    rc::prop("any edge stops without notice", [] {
        simulation run(any_topology(2), find_tree_position);
        run.update_lists(0);
        run.run(ms(2500 + *rc::gen::inRange(0, 1000)));
        node& any = run.any_node();
        bool region = *rc::gen::arbitrary<bool>();
        auto position = any.relay.position();
        node& lost = *run.nodes[region ? position.region_aggregator : position.zone_aggregator];
        lost.up = false;
        run.run(ms(1000), true);
        std::map<std::string, std::int64_t> learned;
        for (const auto& [id, at] : run.nodes) {
            learned[id] = *rc::gen::inRange(0, 250);
        }
        for (std::int64_t passed = 0; passed < 250; ++passed) {
            for (const auto& [id, at] : run.nodes) {
                if (at->up && learned[id] == passed) {
                    run.update_list(*at, 0);
                }
            }
            run.run(ms(1), true);
        }
        run.run(ms(4000), true);
        RC_ASSERT(run.problem == "");
    });
}
