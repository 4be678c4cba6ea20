#include "record_parse_queue.h"

#include <utility>

#include "persimmongrade/record_parser.h"

namespace persimmongrade {

namespace {

constexpr duration collect_interval = ms(5);  // added to the time to acceptance of a large record at most

record_parse_queue::result read(const std::string& text) {
    try {
        return {std::make_unique<wire::steering_record_t>(parse_record(text)), nullptr};
    } catch (...) {  // rethrown on the event loop
        return {nullptr, std::current_exception()};
    }
}

}  // namespace

record_parse_queue::record_parse_queue(event_loop& loop) : loop(loop), worker([this] { this->work(); }) {}

record_parse_queue::~record_parse_queue() {
    this->loop.cancel(this->collect_timer);
    {
        std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_one();
    this->worker.join();
}

bool record_parse_queue::parse(std::string text, std::function<void(result)> done) {
    if (text.size() <= inline_bytes) {
        done(read(text));
        return true;
    }
    if (this->pending >= max_pending) {
        return false;
    }
    ++this->pending;
    {
        std::lock_guard lock(this->mutex);
        this->waiting.push_back({std::move(text), std::move(done), {}});
    }
    this->changed.notify_one();
    if (this->collect_timer == 0) {
        this->collect_timer = this->loop.every(collect_interval, [this] { this->collect(); });
    }
    return true;
}

void record_parse_queue::work() {
    std::unique_lock lock(this->mutex);
    while (true) {
        this->changed.wait(lock, [this] { return this->stopping || !this->waiting.empty(); });
        if (this->stopping) {
            return;
        }
        job next = std::move(this->waiting.front());
        this->waiting.pop_front();
        lock.unlock();
        next.outcome = read(next.text);
        lock.lock();
        this->finished.push_back(std::move(next));
    }
}

void record_parse_queue::collect() {
    std::deque<job> ready;
    {
        std::lock_guard lock(this->mutex);
        ready.swap(this->finished);
    }
    this->pending -= ready.size();
    if (this->pending == 0) {
        this->loop.cancel(std::exchange(this->collect_timer, 0));
    }
    for (job& done : ready) {
        done.done(std::move(done.outcome));
    }
}

}  // namespace persimmongrade
