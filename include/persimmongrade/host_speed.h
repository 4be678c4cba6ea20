// Speed of the host that a target shares with others, estimated from what the target reports in its answers.
//
// Load pattern: hosts whose speed changes several times per second, by a factor of 2 and more, while one of many
// gateways hears of each target about once per second. A report is then right for a fraction of a second. The estimate
// starts from the last report and returns to the mean of the reports of this target, as the report grows old.
//
//     host_speed speed;
//     speed.report(2.5, now);                 // the host needs 2.5 times the usual time for its work
//     double factor = speed.factor(now);      // 2.5 now, about the target's mean a second later

#pragma once

#include <algorithm>
#include <cmath>

#include "persimmongrade/clock.h"

namespace persimmongrade {

class host_speed {
public:
    void report(double work_factor, time_point now) {
        ++this->reports;
        double weight = std::max(min_report_weight, 1 / (this->reports + prior_reports));
        this->mean += (work_factor - this->mean) * weight;
        this->last = work_factor;
        this->reported_at = now;
    }

    // Time that work takes relative to the usual time; 1 before the first report.
    double factor(time_point now) const {
        double age_ms = std::max(0.0, static_cast<double>((now - this->reported_at).count()));
        return this->mean + (this->last - this->mean) * std::exp2(-age_ms / half_life_ms);
    }

private:
    // Half of the speeds that were reported have changed after this time, when they change every 600 ms.
    static constexpr double half_life_ms = 300;
    static constexpr double min_report_weight = 0.1;  // of one report in the mean, once many were received
    static constexpr double prior_reports = 2;        // at the usual speed, which the mean starts with

    double reports = 0;
    double last = 1;
    double mean = 1;
    time_point reported_at{};
};

}  // namespace persimmongrade
