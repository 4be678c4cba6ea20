// Tests the remote shares of three regions in a fluid model: each region sees only utilizations, its share of requests
// runs in the other regions in proportion to their slots, and the rest runs locally.

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <numeric>

#include "persimmongrade/region_share.h"

using namespace persimmongrade;

namespace {

constexpr std::size_t regions = 3;
using per_region = std::array<double, regions>;

class flow_model {
public:
    explicit flow_model(const per_region& slots) : slots(slots) {}

    void run(const per_region& demand, duration length) {
        for (duration passed{}; passed < length; passed += region_share::update_interval) {
            this->now += region_share::update_interval;
            this->distribute(demand);
            for (std::size_t i = 0; i < regions; ++i) {
                double remote_load = std::accumulate(this->load.begin(), this->load.end(), -this->load[i]);
                double remote_slots = std::accumulate(this->slots.begin(), this->slots.end(), -this->slots[i]);
                this->shares[i].update(this->now, this->load[i] / this->slots[i], remote_load / remote_slots);
            }
        }
    }

    double utilization(std::size_t i) const { return this->load[i] / this->slots[i]; }

    // Share of all requests that leave a region while as many enter it from other regions.
    double mutual_traffic(const per_region& demand) const {
        double exchanged = 0;
        for (std::size_t i = 0; i < regions; ++i) {
            double out = demand[i] * this->shares[i].value();
            double in = this->load[i] - (demand[i] - out);
            exchanged += std::min(out, in);
        }
        return exchanged / std::accumulate(demand.begin(), demand.end(), 0.0);
    }

    per_region slots;
    std::array<region_share, regions> shares{region_share({}), region_share({}), region_share({})};

private:
    void distribute(const per_region& demand) {
        this->load = {};
        double all = std::accumulate(this->slots.begin(), this->slots.end(), 0.0);
        for (std::size_t i = 0; i < regions; ++i) {
            double sent_away = demand[i] * this->shares[i].value();
            this->load[i] += demand[i] - sent_away;
            for (std::size_t other = 0; other < regions; ++other) {
                this->load[other] += other == i ? 0 : sent_away * this->slots[other] / (all - this->slots[i]);
            }
        }
    }

    per_region load{};
    time_point now = time_point(ms(100000));
};

}  // namespace

// Guards against regions that keep sending requests to each other after a fault has ended. It occurred in a deployment
// of one region with few slots and two with many, after half of a region had failed for 16 s: the exchange that began
// during the fault lasted for the rest of the day.
TEST_CASE("equally loaded regions stop sending requests to each other") {
    flow_model model({132, 528, 636});
    per_region demand{250, 320, 380};
    model.run(demand, ms(10000));
    model.slots[1] = 264;
    model.run({400, 500, 600}, ms(16000));
    model.slots[1] = 528;
    model.run(demand, ms(30000));
    CHECK(model.mutual_traffic(demand) < 0.01);
    CHECK(model.utilization(0) < 1);
    CHECK(model.utilization(1) < 1);
    CHECK(model.utilization(2) < 1);
}

TEST_CASE("an overloaded region keeps its remote share while requests between the others return") {
    flow_model model({100, 300, 300});
    per_region demand{220, 100, 100};
    model.run(demand, ms(60000));
    CHECK(model.utilization(0) < 1);
    CHECK(model.shares[0].value() > 0.5);
    CHECK(model.shares[1].value() < 0.05);
    CHECK(model.shares[2].value() < 0.05);
}
