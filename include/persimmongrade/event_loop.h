// One event loop on one thread. Sockets, timers and signals of a process all run on it.
//
//     event_loop loop;
//     loop.after(ms(100), [] { ... });
//     loop.on_signal(SIGTERM, [&] { loop.stop(); });
//     loop.run();

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "persimmongrade/clock.h"

struct st_h2o_evloop_t;

namespace persimmongrade {

using timer_id = std::uint64_t;  // 0 is never a valid id

class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    // Running
    void run();                     // until stop() is called
    void run_for(duration length);  // for tests and tools; returns early after stop()
    void stop();

    // Timers
    time_point now() const noexcept { return steady_clock_ms::now(); }
    timer_id after(duration delay, std::function<void()> callback);   // runs once
    timer_id every(duration period, std::function<void()> callback);  // first run after one period
    void cancel(timer_id id);                                         // unknown ids are ignored

    // Runs after the socket events of each poll, and adds no callback itself. Returns whether it started writes.
    timer_id after_each_poll(std::function<bool()> callback);

    // Signals: the callback runs on the loop, at most 100 ms after delivery
    void on_signal(int number, std::function<void()> callback);

    st_h2o_evloop_t* native() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> state;
};

// Timers of one owner. They end with it, so that its callbacks never outlive it.
class owned_timers {
public:
    explicit owned_timers(event_loop& loop) : loop(loop) {}
    ~owned_timers() {
        for (timer_id id : this->ids) {
            this->loop.cancel(id);
        }
    }
    owned_timers(const owned_timers&) = delete;
    owned_timers& operator=(const owned_timers&) = delete;

    timer_id every(duration period, std::function<void()> callback) {
        return this->ids.emplace_back(this->loop.every(period, std::move(callback)));
    }

private:
    event_loop& loop;
    std::vector<timer_id> ids;
};

}  // namespace persimmongrade
