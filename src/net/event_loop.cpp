#include "persimmongrade/event_loop.h"

#include <h2o.h>
#include <signal.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <unordered_map>
#include <utility>

#include "persimmongrade/retained.h"

namespace persimmongrade {

namespace {

constexpr duration max_poll_wait = ms(100);  // bounds the delay of signal callbacks
constexpr int max_poll_rounds = 100;         // then the sockets are polled, although callbacks still start writes

std::array<std::atomic<bool>, 65> signal_pending{};

void record_signal(int number) {
    signal_pending.at(static_cast<std::size_t>(number)) = true;
}

}  // namespace

struct event_loop::impl {
    struct timer {
        duration period;  // zero for a timer that runs once
        std::function<void()> callback;
    };

    // Callbacks that may write run as an h2o timeout: h2o then runs the completions of the writes that they start
    // before its next poll. A completion that runs after that poll can leave the socket polled for writing without a
    // write, and h2o aborts the process when the socket becomes writable.
    struct turn {
        h2o_timeout_entry_t entry{};
        impl* owner = nullptr;
        void (impl::*work)() = nullptr;
    };

    h2o_evloop_t* loop = h2o_evloop_create();
    h2o_timeout_t no_delay{};
    turn timer_turn;
    turn poll_turn;
    bool stopped = false;
    // Completions of writes that were started before run() only run after the first poll, so that poll must not wait.
    // Timers and signal callbacks need no such poll: they run in a turn, which ends with these completions.
    bool work_started = true;
    bool poll_work = false;  // a poll callback has started writes
    timer_id next_id = 1;
    std::map<std::pair<time_point, timer_id>, timer> timers;
    std::unordered_map<timer_id, time_point> due_times;
    std::map<int, std::function<void()>> signal_callbacks;
    std::map<timer_id, std::function<bool()>> poll_callbacks;

    impl() {
        h2o_timeout_init(this->loop, &this->no_delay, 0);
        this->prepare(this->timer_turn, &impl::run_due_callbacks);
        this->prepare(this->poll_turn, &impl::run_poll_callbacks);
    }

    void prepare(turn& prepared, void (impl::*work)()) {
        prepared.owner = this;
        prepared.work = work;
        prepared.entry.cb = [](h2o_timeout_entry_t* entry) {
            auto& running = *reinterpret_cast<turn*>(entry);
            (running.owner->*running.work)();
        };
    }

    void run(turn& prepared) {
        h2o_timeout_link(this->loop, &this->no_delay, &prepared.entry);
        h2o_timeout_run(this->loop, &this->no_delay, h2o_now(this->loop));
    }

    void run_due_callbacks() {
        this->run_due_timers();
        this->run_signal_callbacks();
    }

    void run_poll_callbacks() {
        for (auto& [id, callback] : this->poll_callbacks) {
            this->poll_work |= callback();
        }
    }

    timer_id add(duration delay, duration period, std::function<void()> callback) {
        timer_id id = this->next_id++;
        this->schedule(id, steady_clock_ms::now() + delay, {period, std::move(callback)});
        return id;
    }

    void schedule(timer_id id, time_point due, timer entry) {
        this->timers.emplace(std::pair(due, id), std::move(entry));
        this->due_times[id] = due;
    }

    void run_due_timers() {
        time_point now = steady_clock_ms::now();
        while (!this->timers.empty() && this->timers.begin()->first.first <= now && !this->stopped) {
            auto node = this->timers.extract(this->timers.begin());
            auto [due, id] = node.key();
            this->due_times.erase(id);
            timer entry = std::move(node.mapped());
            if (entry.period == duration::zero()) {
                entry.callback();
                continue;
            }
            // A late periodic timer skips the runs it missed. The entry is scheduled first so that its callback can
            // cancel it.
            auto callback = entry.callback;
            time_point next_due = std::max(due + entry.period, now + ms(1));
            this->schedule(id, next_due, std::move(entry));
            callback();
        }
    }

    void run_signal_callbacks() {
        for (auto& [number, callback] : this->signal_callbacks) {
            if (signal_pending.at(static_cast<std::size_t>(number)).exchange(false)) {
                callback();
            }
        }
    }

    void run_once(time_point until) {
        time_point wake = std::min(until, steady_clock_ms::now() + max_poll_wait);
        if (!this->timers.empty()) {
            wake = std::min(wake, this->timers.begin()->first.first);
        }
        duration wait = std::max(duration::zero(), wake - steady_clock_ms::now());
        if (std::exchange(this->work_started, false)) {
            wait = duration::zero();
        }
        h2o_evloop_run(this->loop, static_cast<std::int32_t>(wait.count()));
        this->run(this->timer_turn);
        // After the timers, because the completion of an answer that a timer sent sets h2o's own read callback, which a
        // poll callback replaces before the next poll; and again as long as these callbacks start writes themselves.
        this->poll_work = true;
        for (int round = 0; this->poll_work && round < max_poll_rounds; ++round) {
            this->poll_work = false;
            this->run(this->poll_turn);
            this->work_started |= this->poll_work;
        }
    }
};

event_loop::event_loop() : state(std::make_unique<impl>()) {
    ::signal(SIGPIPE, SIG_IGN);
}

event_loop::~event_loop() {
    this->state->timers.clear();
    this->state->due_times.clear();
    this->state->signal_callbacks.clear();
    this->state->poll_callbacks.clear();
    retain_until_exit(std::move(this->state));
}

void event_loop::run() {
    this->state->stopped = false;
    this->state->work_started = true;
    while (!this->state->stopped) {
        this->state->run_once(time_point::max());
    }
}

void event_loop::run_for(duration length) {
    time_point until = steady_clock_ms::now() + length;
    this->state->work_started = true;
    this->state->stopped = false;
    this->state->work_started = true;
    while (!this->state->stopped && steady_clock_ms::now() < until) {
        this->state->run_once(until);
    }
}

void event_loop::stop() {
    this->state->stopped = true;
}

timer_id event_loop::after(duration delay, std::function<void()> callback) {
    return this->state->add(delay, duration::zero(), std::move(callback));
}

timer_id event_loop::every(duration period, std::function<void()> callback) {
    return this->state->add(period, period, std::move(callback));
}

timer_id event_loop::after_each_poll(std::function<bool()> callback) {
    timer_id id = this->state->next_id++;
    this->state->poll_callbacks.emplace(id, std::move(callback));
    return id;
}

void event_loop::cancel(timer_id id) {
    if (id == 0) {
        return;
    }
    this->state->poll_callbacks.erase(id);
    auto found = this->state->due_times.find(id);
    if (found == this->state->due_times.end()) {
        return;
    }
    this->state->timers.erase(std::pair(found->second, id));
    this->state->due_times.erase(found);
}

void event_loop::on_signal(int number, std::function<void()> callback) {
    this->state->signal_callbacks[number] = std::move(callback);
    struct sigaction action {};
    action.sa_handler = record_signal;
    sigaction(number, &action, nullptr);
}

st_h2o_evloop_t* event_loop::native() const noexcept {
    return this->state->loop;
}

}  // namespace persimmongrade
