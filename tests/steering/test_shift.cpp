// Guards the shift cap, the limits of regions and the freeze on stale measurements, across changes of leader.

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <functional>
#include <random>

#include "persimmongrade/shift_controller.h"

using namespace persimmongrade;

namespace {

const std::vector<std::string> regions = {"north", "central", "south"};
const std::vector<region_latency> latencies = {
    {"north", "central", 20}, {"central", "south", 20}, {"north", "south", 40}};
const duration interval = ms(4000);
const duration ttl = ms(3000);
const double cap = 0.2;

using shares = std::map<std::string, std::uint32_t>;
using key = std::pair<std::string, std::string>;

struct recorded_move {
    time_point at{};
    double share = 0;
    double cold_share = 0;
};

// Two control processes, one edge per region, and services whose demand and capacity are set by the test.
class shift_world {
public:
    shift_world() {
        for (int i = 0; i < 2; ++i) {
            this->processes.emplace_back(shift_options{.cached_answer_lifetime = ttl}, latencies);
        }
        for (const auto& region : regions) {
            this->limit[region] = 1000;
            for (const auto& service : this->services) {
                this->demand[{service, region}] = 100;
                this->capacity[{service, region}] = 300;
            }
        }
        this->apply();
        this->processes[0].become_leader(this->now);
    }

    wire::configuration_t configuration() const {
        wire::configuration_t result;
        result.revision = this->revision;
        auto& record = result.records.emplace_back(std::make_unique<wire::steering_record_t>());
        for (const auto& name : this->services) {
            auto& service = record->services.emplace_back(std::make_unique<wire::service_definition_t>());
            service->name = name;
            service->regions = regions;
            service->shift = std::make_unique<wire::shift_cap_t>();
            service->shift->max_permille = static_cast<std::uint32_t>(cap * 1000);
            service->shift->interval_ms = static_cast<std::uint32_t>(interval.count());
        }
        for (const auto& [region, amount] : this->limit) {
            auto& entry = record->regions.emplace_back(std::make_unique<wire::region_limit_t>());
            entry->region = region;
            entry->max_requests_per_second = amount;
        }
        for (const auto& [subject, parts] : this->applied) {
            auto& entry = result.assignments.emplace_back(std::make_unique<wire::assignment_t>());
            entry->service = subject.first;
            entry->caller_region = subject.second;
            for (const auto& [region, permille] : parts) {
                auto& share = entry->shares.emplace_back(std::make_unique<wire::region_share_t>());
                share->region = region;
                share->permille = permille;
            }
        }
        return result;
    }

    void apply() {
        ++this->revision;
        for (auto& process : this->processes) {
            process.apply(this->configuration(), this->now);
        }
    }

    void measure(const std::string& service) {
        ++this->sequence;
        for (const auto& region : regions) {
            wire::service_demand_t demand_sample;
            demand_sample.service = service;
            demand_sample.caller_region = region;
            demand_sample.requests_per_second = this->demand[{service, region}];
            demand_sample.sequence = this->sequence;
            wire::region_capacity_t capacity_sample;
            capacity_sample.service = service;
            capacity_sample.region = region;
            capacity_sample.live_targets = this->capacity[{service, region}] > 0 ? 4 : 0;
            capacity_sample.cold_targets = this->cold.contains(region) ? 4 : 0;
            capacity_sample.requests_per_second = this->capacity[{service, region}];
            capacity_sample.sequence = this->sequence;
            for (auto& process : this->processes) {
                process.observe("edge-" + region, demand_sample, this->now);
                process.observe("edge-north", capacity_sample, this->now);
            }
        }
        this->measured_at[service] = this->now;
        for (const auto& region : regions) {
            this->measured_demand[{service, region}] = this->demand[{service, region}];
            this->measured_capacity[{service, region}] = this->capacity[{service, region}];
        }
    }

    // One decision of the leader and, unless it is lost, its application. Checks every property of the decision.
    void step(duration passed, bool lost = false) {
        this->now += passed;
        auto changes = this->processes[this->leader].decide(this->now);
        std::map<key, shares> next = this->applied;
        std::map<std::string, recorded_move> moved;
        for (const auto& change : changes) {
            shares parts;
            std::uint32_t sum = 0;
            for (const auto& share : change.shares) {
                parts[share->region] += share->permille;
                sum += share->permille;
            }
            RC_ASSERT(sum == 1000U);
            key subject{change.service, change.caller_region};
            next[subject] = parts;
            if (this->applied.contains(subject)) {
                RC_ASSERT(this->now - this->measured_at[change.service] <= ms(3000));
                this->add_move(moved[change.service], subject, parts);
            }
        }
        this->check_room(next);
        if (lost) {
            return;
        }
        for (auto& [service, move] : moved) {
            move.at = this->now;
            this->history[service].push_back(move);
            this->check_cap(service);
        }
        bool changed = next != this->applied;
        this->applied = std::move(next);
        if (changed) {
            this->apply();
        }
    }

    void change_leader() {
        this->processes[this->leader].step_down();
        this->leader = 1 - this->leader;
        this->processes[this->leader].become_leader(this->now);
    }

    std::uint32_t share(const std::string& caller, const std::string& region) const {
        const shares& parts = this->applied.at({"desk", caller});
        return parts.contains(region) ? parts.at(region) : 0;
    }

    double total(const std::string& service) const {
        double sum = 0;
        for (const auto& region : regions) {
            sum += this->measured_demand.at({service, region});
        }
        return sum;
    }

    std::vector<shift_controller> processes;
    std::size_t leader = 0;
    time_point now{ms(100000)};
    std::vector<std::string> services = {"desk", "till"};
    std::map<key, double> demand;
    std::map<key, double> capacity;
    std::map<std::string, double> limit;
    std::set<std::string> cold;
    std::map<key, shares> applied;

private:
    void add_move(recorded_move& move, const key& subject, const shares& parts) {
        double weight = this->measured_demand[subject] / std::max(this->total(subject.first), 1e-9);
        for (const auto& [region, permille] : parts) {
            std::uint32_t before = this->applied[subject].contains(region) ? this->applied[subject][region] : 0;
            double share = permille > before ? weight * (permille - before) / 1000 : 0;
            move.share += share;
            move.cold_share += this->cold.contains(region) ? share : 0;
        }
    }

    // Traffic moves between a decision and the expiry of cached answers, therefore the sum over one interval and one
    // lifetime bounds what moves in any interval.
    void check_cap(const std::string& service) {
        double sum = 0;
        double cold_sum = 0;
        for (const auto& move : this->history[service]) {
            if (move.at >= this->now - interval - ttl) {
                sum += move.share;
                cold_sum += move.cold_share;
            }
        }
        RC_ASSERT(sum <= cap + 1e-9);
        RC_ASSERT(this->cold.empty() || cold_sum <= cap / 4 + 1e-9);
    }

    double load(const std::map<key, shares>& from, const std::string& region, const std::string& service) const {
        double sum = 0;
        for (const auto& [subject, parts] : from) {
            auto part = parts.find(region);
            bool counts = part != parts.end() && (service.empty() || subject.first == service);
            auto amount = this->measured_demand.find(subject);
            sum += counts && amount != this->measured_demand.end() ? amount->second * part->second / 1000 : 0;
        }
        return sum;
    }

    void check_room(const std::map<key, shares>& next) const {
        for (const auto& [subject, parts] : next) {
            for (const auto& [region, permille] : parts) {
                auto before = this->applied.find(subject);
                bool raised = before != this->applied.end() &&
                              (!before->second.contains(region) || before->second.at(region) < permille);
                if (raised) {
                    RC_ASSERT(this->load(next, region, "") <= this->limit.at(region) * (1 + 1e-9));
                    double room = this->measured_capacity.at({subject.first, region});
                    RC_ASSERT(this->load(next, region, subject.first) <= room * (1 + 1e-9));
                }
            }
        }
    }

    std::uint64_t revision = 0;
    std::uint64_t sequence = 0;
    std::map<std::string, time_point> measured_at;
    std::map<key, double> measured_demand;
    std::map<key, double> measured_capacity;
    std::map<std::string, std::vector<recorded_move>> history;
};

}  // namespace

// Guards against steps above the cap, into regions without room, or on stale measurements.
TEST_CASE("every step keeps the cap, the limits and the freeze") {
    rc::prop("changing demand, capacity, limits, leaders and lost measurements", [] {
        std::mt19937_64 random(*rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
        shift_world world;
        if (random() % 2 == 0) {
            world.cold.insert(regions[random() % 3]);
        }
        for (int i = 0; i < 150; ++i) {
            const std::string& service = world.services[random() % 2];
            const std::string& region = regions[random() % 3];
            switch (random() % 12) {
            case 0:
                world.demand[{service, region}] = static_cast<double>(random() % 400);
                break;
            case 1:
                world.capacity[{service, region}] = static_cast<double>(random() % 3 * 250);
                break;
            case 2:
                world.limit[region] = static_cast<double>(100 + random() % 900);
                world.apply();
                break;
            case 3:
                world.change_leader();
                break;
            default:
                break;
            }
            for (const auto& name : world.services) {
                if (random() % 3 != 0) {
                    world.measure(name);
                }
            }
            bool lost = random() % 20 == 0;
            world.step(ms(static_cast<std::int64_t>(random() % 1500)), lost);
            if (lost) {
                world.change_leader();
            }
        }
    });
}

// Guards against caller regions that edges derive and that never get an assignment: their callers would be refused.
TEST_CASE("every caller region that an edge may derive gets a first assignment at once") {
    shift_world world;
    auto configuration = world.configuration();
    for (const char* region : {"east", "west"}) {
        auto& block = configuration.records[0]->client_blocks.emplace_back(std::make_unique<wire::client_block_t>());
        block->prefix = "203.0.113.0/24";
        block->region = region;
    }
    auto callers = [&] {
        std::set<std::string> result;
        for (const auto& assignment : world.processes[0].decide(world.now)) {
            result.insert(assignment.caller_region);
        }
        return result;
    };
    world.processes[0].add_caller_region("coast");
    ++configuration.records[0]->version;
    world.processes[0].apply(configuration, world.now);
    CHECK(callers() == std::set<std::string>{"central", "coast", "east", "north", "south", "west"});
}

// Guards against a shift that never ends, and against traffic that does not return to its own region.
TEST_CASE("traffic leaves a failed region within the cap and returns when it recovers") {
    shift_world world;
    auto run = [&](std::int64_t seconds) {
        for (std::int64_t i = 0; i < seconds; ++i) {
            world.measure("desk");
            world.measure("till");
            world.step(ms(1000));
        }
    };
    run(10);
    REQUIRE(world.share("north", "north") == 1000);
    world.capacity[{"desk", "north"}] = 0;
    run(2);
    std::uint32_t left = world.share("north", "north");
    REQUIRE(left < 1000);
    REQUIRE(left >= 400);  // a fifth of the service's traffic is 600 per mille of one of three equal caller regions
    run(20);
    REQUIRE(world.share("north", "north") == 0);
    REQUIRE(world.share("north", "central") == 1000);
    world.capacity[{"desk", "north"}] = 300;
    run(30);
    REQUIRE(world.share("north", "north") == 1000);
}

// Guards against excess that is piled on regions without room, and against a freeze that ends without measurements.
TEST_CASE("excess without room stays assigned and missing measurements freeze") {
    shift_world world;
    world.measure("desk");
    world.step(ms(1));  // first assignments, to the own regions
    for (const auto& region : regions) {
        world.capacity[{"desk", region}] = region == "north" ? 0 : 100;
    }
    for (int i = 0; i < 20; ++i) {
        world.measure("desk");
        world.step(ms(1000));
    }
    REQUIRE(world.share("north", "north") == 1000);
    REQUIRE(world.processes[0].status().at("desk").state == shift_state::no_room);
    world.capacity[{"desk", "central"}] = 900;
    for (int i = 0; i < 20; ++i) {
        world.step(ms(1000));
    }
    REQUIRE(world.share("north", "north") == 1000);
    REQUIRE(world.processes[0].status().at("desk").state == shift_state::measurements_stale);
}
