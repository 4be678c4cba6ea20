// Guards the shift cap, the limits of regions and the freeze on stale measurements, across changes of leader.

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <functional>
#include <random>

#include "persimmongrade/client_blocks.h"
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

struct message_sizes {
    double request = 0;
    double answer = 0;
};

constexpr message_sizes largest{2000, 6000};  // allowed by the records
constexpr duration size_age_limit = ms(30000);

// Simulation of two control processes and one edge per region. Tests set the demand and capacity of the services.
class shift_world {
public:
    explicit shift_world(shift_options options = {.cached_answer_lifetime = ttl},
                         std::vector<std::string> names = {"desk", "till"})
        : services(std::move(names)) {
        for (int i = 0; i < 2; ++i) {
            this->processes.emplace_back(options, latencies);
            for (const auto& region : regions) {
                this->processes.back().set_edge_region("edge-" + region, region);
            }
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
            service->max_request_bytes = static_cast<std::uint32_t>(largest.request);
            service->max_answer_bytes = static_cast<std::uint32_t>(largest.answer);
            service->shift = std::make_unique<wire::shift_cap_t>();
            service->shift->max_permille = static_cast<std::uint32_t>(cap * 1000);
            service->shift->interval_ms = static_cast<std::uint32_t>(interval.count());
        }
        for (const auto& [region, amount] : this->limit) {
            auto& entry = record->regions.emplace_back(std::make_unique<wire::region_limit_t>());
            entry->region = region;
            entry->max_requests_per_second = amount;
        }
        for (const auto& [link, bytes] : this->link_limit) {
            auto& entry = record->links.emplace_back(std::make_unique<wire::link_limit_t>());
            entry->from = link.first;
            entry->to = link.second;
            entry->max_mbit_per_second = bytes / 125000;
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

    // Share of a caller region's requests that enters through the edge of a region: all through its own region, except
    // for a share of `detour` through the next region.
    double entry_part(const std::string& caller, const std::string& entry) const {
        auto found = this->detour.find(caller);
        double elsewhere = found == this->detour.end() ? 0 : found->second;
        std::size_t own = static_cast<std::size_t>(std::find(regions.begin(), regions.end(), caller) - regions.begin());
        return entry == caller ? 1 - elsewhere : entry == regions[(own + 1) % regions.size()] ? elsewhere : 0;
    }

    void measure_demand(const std::string& service, const std::string& caller) {
        for (const auto& entry : regions) {
            double part = this->entry_part(caller, entry);
            if (part <= 0) {
                continue;
            }
            wire::service_demand_t sample;
            sample.service = service;
            sample.caller_region = caller;
            sample.requests_per_second = this->demand[{service, caller}] * part;
            sample.sequence = this->sequence;
            sample.request_bytes = this->sizes[service].request;
            sample.answer_bytes = this->sizes[service].answer;
            std::optional<time_point> sizes_at;
            if (this->sizes_at.contains(service)) {
                sizes_at = this->sizes_at[service];
            }
            for (auto& process : this->processes) {
                process.observe("edge-" + entry, sample, this->now, sizes_at);
            }
        }
    }

    void measure(const std::string& service) {
        ++this->sequence;
        if (!this->without_sizes.contains(service)) {
            this->sizes_at[service] = this->now;
            this->sizes[service] = this->next_sizes[service];
        }
        for (const auto& region : regions) {
            this->measure_demand(service, region);
            wire::region_capacity_t capacity_sample;
            capacity_sample.service = service;
            capacity_sample.region = region;
            capacity_sample.live_targets = this->capacity[{service, region}] > 0 ? 4 : 0;
            capacity_sample.cold_targets = this->cold.contains(region) ? 4 : 0;
            capacity_sample.requests_per_second = this->capacity[{service, region}];
            capacity_sample.sequence = this->sequence;
            for (auto& process : this->processes) {
                process.observe("edge-north", capacity_sample, this->now);
            }
        }
        this->measured_at[service] = this->now;
        for (const auto& region : regions) {
            this->measured_demand[{service, region}] = this->demand[{service, region}];
            this->measured_capacity[{service, region}] = this->capacity[{service, region}];
        }
    }

    // Lets the leader decide once, checks every property of the decision and, unless it is lost, applies it.
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
        this->check_links(next);
        if (lost) {
            return;
        }
        this->note_left_links(next);
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

    // One step after up to 1.5 s in which some services are not measured, and some decisions are lost with their
    // leader.
    void step_with_faults(std::mt19937_64& random) {
        for (const auto& name : this->services) {
            if (random() % 3 != 0) {
                this->measure(name);
            }
        }
        bool lost = random() % 20 == 0;
        this->step(ms(static_cast<std::int64_t>(random() % 1500)), lost);
        if (lost) {
            this->change_leader();
        }
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
    std::map<key, double> link_limit;                 // bytes per second, by from and to
    std::map<std::string, message_sizes> next_sizes;  // by service, of the next measurement
    std::set<std::string> without_sizes;              // services without new measurements of sizes
    std::map<std::string, double> detour;             // by caller region
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

    // Traffic moves between a decision and the expiry of cached answers. The sum over one interval plus one lifetime
    // therefore bounds the traffic that moves in any interval.
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

    // Sizes that a step has to use: without fresh measurements, the largest that the record allows.
    message_sizes size_of(const std::string& service) const {
        auto measured = this->sizes_at.find(service);
        bool fresh = measured != this->sizes_at.end() && this->now - measured->second <= size_age_limit;
        return fresh ? this->sizes.at(service) : largest;
    }

    // Bytes per second over each limited link caused by one share of an assignment.
    std::map<key, double> link_bytes(const key& subject, const std::string& target, std::uint32_t permille) const {
        std::map<key, double> result;
        message_sizes size = this->size_of(subject.first);
        auto amount = this->measured_demand.find(subject);
        if (amount == this->measured_demand.end()) {
            return result;
        }
        for (const auto& entry : regions) {
            double rate = amount->second * permille / 1000 * this->entry_part(subject.second, entry);
            if (entry != target && this->link_limit.contains({entry, target})) {
                result[{entry, target}] += rate * size.request;
            }
            if (entry != target && this->link_limit.contains({target, entry})) {
                result[{target, entry}] += rate * size.answer;
            }
        }
        return result;
    }

    bool over_limited_link(const std::string& caller, const std::string& target) const {
        return std::any_of(regions.begin(), regions.end(), [&](const auto& entry) {
            return entry != target && this->entry_part(caller, entry) > 0 &&
                   (this->link_limit.contains({entry, target}) || this->link_limit.contains({target, entry}));
        });
    }

    // Traffic that still goes over a link because of cached answers counts until these have expired.
    void check_links(const std::map<key, shares>& next) const {
        std::map<key, double> loads;
        for (const auto& [at, links] : this->residual_links) {
            for (const auto& [link, bytes] : links) {
                loads[link] += this->now < at + ttl ? bytes : 0;
            }
        }
        for (const auto& [subject, parts] : next) {
            for (const auto& [region, permille] : parts) {
                for (const auto& [link, bytes] : this->link_bytes(subject, region, permille)) {
                    loads[link] += bytes;
                }
            }
        }
        for (const auto& [subject, parts] : next) {
            auto before = this->applied.find(subject);
            for (const auto& [region, permille] : parts) {
                bool raised = before != this->applied.end() &&
                              (!before->second.contains(region) || before->second.at(region) < permille);
                if (!raised || !this->over_limited_link(subject.second, region)) {
                    continue;
                }
                for (const auto& [link, bytes] : this->link_bytes(subject, region, permille)) {
                    RC_ASSERT((bytes <= 0 || loads[link] <= this->link_limit.at(link) * (1 + 1e-9)));
                }
            }
        }
    }

    void note_left_links(const std::map<key, shares>& next) {
        std::map<key, double> left;
        for (const auto& [subject, parts] : this->applied) {
            for (const auto& [region, permille] : parts) {
                const shares& after = next.at(subject);
                std::uint32_t kept = after.contains(region) ? std::min(permille, after.at(region)) : 0;
                for (const auto& [link, bytes] : this->link_bytes(subject, region, permille - kept)) {
                    left[link] += bytes;
                }
            }
        }
        this->residual_links.emplace_back(this->now, std::move(left));
    }

    std::uint64_t revision = 0;
    std::uint64_t sequence = 0;
    std::map<std::string, message_sizes> sizes;  // last measured
    std::map<std::string, time_point> sizes_at;
    std::vector<std::pair<time_point, std::map<key, double>>> residual_links;
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
            world.step_with_faults(random);
        }
    });
}

// Guards against steps that overload a link or a region, alone or combined, and against a shift over a limited link
// that is based on old sizes. Steps use all of a limit (fill_ratio 1), so that a load that is not counted exceeds it.
TEST_CASE("every step keeps the limits of links and regions of several services") {
    rc::prop("changing demand, capacity, sizes, limits of links and regions, leaders and lost measurements", [] {
        std::mt19937_64 random(*rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
        shift_world world({.cached_answer_lifetime = ttl, .overload_ratio = 1, .fill_ratio = 1},
                          {"desk", "lookup", "till"});
        auto any = [&](const auto& list) { return list[random() % list.size()]; };
        auto link = [&] {
            std::size_t from = random() % 3;
            return key{regions[from], regions[(from + 1 + random() % 2) % 3]};
        };
        for (const auto& service : world.services) {
            world.next_sizes[service] = {static_cast<double>(random() % 2000), static_cast<double>(random() % 4000)};
        }
        for (int i = 0; i < 150; ++i) {
            std::string service = any(world.services);
            std::string region = any(regions);
            switch (random() % 14) {
            case 0:
                world.demand[{service, region}] = static_cast<double>(random() % 400);
                break;
            case 1:
            case 2:
                world.capacity[{service, region}] = static_cast<double>(random() % 3 * 250);
                break;
            case 3:
                world.limit[region] = static_cast<double>(100 + random() % 900);
                world.apply();
                break;
            case 4:
                world.change_leader();
                break;
            case 5:
                world.link_limit[link()] = static_cast<double>(random() % 400000);
                world.apply();
                break;
            case 6:
                world.link_limit.erase(link());
                world.apply();
                break;
            case 7:
                world.next_sizes[service] = {static_cast<double>(random() % 2000),
                                             static_cast<double>(random() % 4000)};
                break;
            case 8:
                random() % 4 == 0 ? void(world.without_sizes.insert(service)) : world.without_sizes.clear();
                break;
            default:
                break;
            }
            if (i == 0) {
                world.detour[region] = 0.3;
            }
            world.step_with_faults(random);
        }
    });
}

// Guards against a link that is overloaded because sizes are missing or stale, and against a shift that waits forever
// for sizes, because all callers are in the region that lost its targets and no request is answered there.
TEST_CASE("a shift keeps within the capacity of a link, and uses the record's largest sizes without fresh ones") {
    shift_world world;
    world.next_sizes["desk"] = {1000, 3000};
    world.link_limit[{"central", "north"}] = 150000;  // responses of 40 requests/s at 80% of the limit
    world.link_limit[{"north", "south"}] = 0;
    world.apply();
    world.without_sizes = {"desk"};
    auto run = [&](int seconds) {
        for (int i = 0; i < seconds; ++i) {
            world.measure("desk");
            world.step(ms(1000));
        }
    };
    run(10);
    world.capacity[{"desk", "north"}] = 0;
    run(20);
    CHECK(world.share("north", "central") == 200);
    CHECK(world.share("north", "north") == 800);
    CHECK(world.processes[0].status().at("desk").state == shift_state::no_room);
    world.without_sizes.clear();
    run(40);
    CHECK(world.share("north", "central") == 400);
    CHECK(world.share("north", "north") == 600);
    CHECK(world.processes[0].status().at("desk").state == shift_state::no_room);
    world.without_sizes = {"desk"};
    run(31);  // the sizes are too old from now on
    world.link_limit[{"central", "north"}] = 300000;
    world.apply();
    run(30);
    CHECK(world.share("north", "central") == 400);
    CHECK(world.processes[0].status().at("desk").state == shift_state::no_room);
    world.without_sizes.clear();
    run(30);
    CHECK(world.share("north", "central") == 800);
}

// Guards against caller regions that edges derive but that never get an assignment: their callers would be refused.
TEST_CASE("every caller region that an edge may derive gets a first assignment at once") {
    shift_world world;
    auto configuration = world.configuration();
    client_block_writer blocks;
    blocks.add(parse_client_prefix("203.0.113.0/24"), "east");
    blocks.add(parse_client_prefix("198.51.100.0/24"), "west");
    configuration.records[0]->client_blocks = blocks.take();
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

// Guards against excess traffic that is moved to regions without room, and against steps without measurements.
TEST_CASE("excess traffic without room stays assigned and nothing moves without measurements") {
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
