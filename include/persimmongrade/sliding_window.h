// Counts the events within the last `length` of time.
//
//     sliding_window sends(ms(1000));
//     if (sends.count(now) < quota) { sends.add(now); }

#pragma once

#include <cstddef>
#include <deque>

#include "persimmongrade/clock.h"

namespace persimmongrade {

class sliding_window {
public:
    explicit sliding_window(duration length) : length(length) {}

    void add(time_point now) { this->events.push_back(now); }

    std::size_t count(time_point now) {
        while (!this->events.empty() && this->events.front() + this->length <= now) {
            this->events.pop_front();
        }
        return this->events.size();
    }

private:
    duration length;
    std::deque<time_point> events;
};

}  // namespace persimmongrade
