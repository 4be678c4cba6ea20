// How long a gateway has lacked changes that control processes have stated. Free of I/O.
//
//     lag.stated(now, pinged_at, pong.applied, store.applied());   // the answer of a control process that has a leader
//     lag.applied(store.applied());                     // changes are in force here
//     if (lag.is_outdated(now, limit)) { refuse(); }

#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "persimmongrade/clock.h"

namespace persimmongrade {

class item_lag {
public:
    struct missing {
        std::uint64_t index = 0;   // log index of the change
        time_point known_at{};     // when a control process first stated it
        time_point accepted_at{};  // earliest time at which it can have been accepted

        bool operator==(const missing&) const = default;
    };

    // A statement that was made after `stated_at` and has arrived now.
    void stated(time_point now, time_point stated_at, std::uint64_t index, std::uint64_t applied_here);
    void applied(std::uint64_t index);
    std::optional<missing> oldest() const;
    // Whether a change is known that is not in force here, and may have been accepted longer ago than `limit`.
    bool is_outdated(time_point now, duration limit) const;

private:
    std::uint64_t newest = 0;
    std::optional<time_point> newest_stated_at;  // last statement that named no newer change
    std::deque<missing> changes;                 // not in force here, by index
};

}  // namespace persimmongrade
