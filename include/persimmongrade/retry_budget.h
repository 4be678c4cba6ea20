// Bounds the retries of one service at one gateway to a share of its requests. The sum over all gateways then keeps the
// same share without any message between them, also while they cannot reach each other.
//
// Load pattern: a fault makes many requests fail at once, and their retries would double the load on what is left.

#pragma once

#include "persimmongrade/sliding_window.h"

namespace persimmongrade {

struct retry_budget_options {
    double ratio = 0.2;           // retries per request
    duration window = ms(10000);  // over which both are counted
};

class retry_budget {
public:
    explicit retry_budget(const retry_budget_options& options)
        : options(options), requests(options.window), retries(options.window) {}

    void request_arrived(time_point now) { this->requests.add(now); }

    bool take(time_point now) {
        double allowed = this->options.ratio * safety * static_cast<double>(this->requests.count(now));
        if (static_cast<double>(this->retries.count(now)) + 1 > allowed) {
            return false;
        }
        this->retries.add(now);
        return true;
    }

private:
    // Requests fade out of the window before the retries that they allowed.
    static constexpr double safety = 0.75;

    retry_budget_options options;
    sliding_window requests;
    sliding_window retries;
};

}  // namespace persimmongrade
