// Limits the retries of one service at one gateway to a share of its requests in a sliding window. Each gateway keeps
// the share by itself, so all gateways together keep it too, without coordination and during network partitions.
//
// Prevents retry storms: a fault makes many requests fail at once, and their retries would double the load on the
// remaining targets.
//
//     retry_budget budget({.ratio = 0.2});
//     budget.request_arrived(now);             // for every request
//     if (budget.take(now)) { send a retry }   // false: the budget is exhausted

#pragma once

#include "persimmongrade/sliding_window.h"

namespace persimmongrade {

struct retry_budget_options {
    double ratio = 0.2;           // retries per request
    duration window = ms(10000);  // sliding window in which requests and retries are counted
};

class retry_budget {
public:
    explicit retry_budget(const retry_budget_options& options)
        : options(options), requests(options.window), retries(options.window) {}

    void request_arrived(time_point now) { this->requests.add(now); }

    bool take(time_point now) {
        double allowed = this->options.ratio * granted_fraction * static_cast<double>(this->requests.count(now));
        if (static_cast<double>(this->retries.count(now)) + 1 > allowed) {
            return false;
        }
        this->retries.add(now);
        return true;
    }

private:
    // Fraction of the ratio that is granted. Requests leave the window before the retries that they allowed, so the
    // full ratio would be exceeded.
    static constexpr double granted_fraction = 0.75;

    retry_budget_options options;
    sliding_window requests;
    sliding_window retries;
};

}  // namespace persimmongrade
