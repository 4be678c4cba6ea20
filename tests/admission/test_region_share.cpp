// Three regions whose gateways see only utilizations, as a fluid model: requests of a region run where its share sends
// them, the remote part in proportion to the slots of the other regions.

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
            this->spread(demand);
            for (std::size_t i = 0; i < regions; ++i) {
                double remote_load = std::accumulate(this->load.begin(), this->load.end(), -this->load[i]);
                double remote_slots = std::accumulate(this->slots.begin(), this->slots.end(), -this->slots[i]);
                this->shares[i].update(this->now, this->load[i] / this->slots[i], remote_load / remote_slots);
            }
        }
    }

    double utilization(std::size_t i) const { return this->load[i] / this->slots[i]; }

    // Requests that leave a region while as many come in from others, of all requests.
    double crossing(const per_region& demand) const {
        double crossed = 0;
        for (std::size_t i = 0; i < regions; ++i) {
            double out = demand[i] * this->shares[i].value();
            double in = this->load[i] - (demand[i] - out);
            crossed += std::min(out, in);
        }
        return crossed / std::accumulate(demand.begin(), demand.end(), 0.0);
    }

    per_region slots;
    std::array<region_share, regions> shares{region_share({}), region_share({}), region_share({})};

private:
    void spread(const per_region& demand) {
        this->load = {};
        double all = std::accumulate(this->slots.begin(), this->slots.end(), 0.0);
        for (std::size_t i = 0; i < regions; ++i) {
            double remote = demand[i] * this->shares[i].value();
            this->load[i] += demand[i] - remote;
            for (std::size_t other = 0; other < regions; ++other) {
                this->load[other] += other == i ? 0 : remote * this->slots[other] / (all - this->slots[i]);
            }
        }
    }

    per_region load{};
    time_point now = time_point(ms(100000));
};

}  // namespace

// A region of few slots beside two of many, at the load of a deployment where half of a region was dark for sixteen
// seconds: all regions had pushed requests into each other, and did so for the rest of the day.
TEST_CASE("regions that are loaded alike stop sending each other requests") {
    flow_model model({132, 528, 636});
    per_region demand{250, 320, 380};
    model.run(demand, ms(10000));
    model.slots[1] = 264;
    model.run({400, 500, 600}, ms(16000));
    model.slots[1] = 528;
    model.run(demand, ms(30000));
    CHECK(model.crossing(demand) < 0.01);
    CHECK(model.utilization(0) < 1);
    CHECK(model.utilization(1) < 1);
    CHECK(model.utilization(2) < 1);
}

TEST_CASE("a region that is asked for more than it holds keeps its share while crossing traffic returns") {
    flow_model model({100, 300, 300});
    per_region demand{220, 100, 100};
    model.run(demand, ms(60000));
    CHECK(model.utilization(0) < 1);
    CHECK(model.shares[0].value() > 0.5);
    CHECK(model.shares[1].value() < 0.05);
    CHECK(model.shares[2].value() < 0.05);
}
