// Decides what a process that serves callers still does during a planned stop. Free of I/O.
//
//     planned_stop stop(now, {.grace = ms(6000), .callers_stay = ms(2500)});
//     if (!stop.can_end(deadline)) { refuse the request at once: another process serves it }
//     if (stop.ends_requests(now)) { answer what is still open }
//
// A request that is passed on late in the grace would be cut without an answer when the process is killed. So a request
// is taken only when its deadline lies before the end; until the deadline it gets the target's answer or 504.

#pragma once

#include <cstddef>

#include "persimmongrade/clock.h"

namespace persimmongrade {

struct planned_stop_options {
    duration grace;         // until the process is killed
    duration callers_stay;  // until callers have been told to go elsewhere
};

class planned_stop {
public:
    planned_stop(time_point began, const planned_stop_options& options)
        : began_at(began), callers_gone_at(began + options.callers_stay), kill_at(began + options.grace) {}

    bool can_end(time_point deadline) const { return deadline <= this->kill_at - last_answer_margin; }
    bool closes_idle(time_point now) const { return now >= this->callers_gone_at; }
    bool ends_requests(time_point now) const { return now >= this->kill_at - last_answer_margin; }
    bool is_over(time_point now, std::size_t open_requests, std::size_t open_connections) const {
        bool quiet = this->closes_idle(now) && open_requests == 0 && open_connections == 0;
        return quiet || now >= this->kill_at - exit_margin;
    }
    duration age(time_point now) const { return now - this->began_at; }

private:
    static constexpr duration last_answer_margin = ms(400);  // for the last answers to reach their callers
    static constexpr duration exit_margin = ms(150);

    time_point began_at;
    time_point callers_gone_at;
    time_point kill_at;
};

}  // namespace persimmongrade
