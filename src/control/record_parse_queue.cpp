#include "record_parse_queue.h"

#include <utility>

#include "persimmongrade/record_parser.h"

namespace persimmongrade {

namespace {

constexpr duration delivery_interval = ms(5);  // upper bound of the delay that it adds to the answer to a large record

record_parse_queue::result parse_text(const std::string& text) {
    try {
        return {std::make_unique<wire::steering_record_t>(parse_record(text)), nullptr};
    } catch (...) {  // rethrown on the event loop
        return {nullptr, std::current_exception()};
    }
}

}  // namespace

record_parse_queue::record_parse_queue(event_loop& loop) : loop(loop), worker([this] { this->run_worker(); }) {}

record_parse_queue::~record_parse_queue() {
    this->loop.cancel(this->delivery_timer);
    {
        std::lock_guard lock(this->mutex);
        this->is_stopping = true;
    }
    this->queue_changed.notify_one();
    this->worker.join();
}

bool record_parse_queue::parse(std::string text, std::function<void(result)> callback) {
    if (text.size() <= max_inline_bytes) {
        callback(parse_text(text));
        return true;
    }
    if (this->pending_count >= max_pending) {
        return false;
    }
    ++this->pending_count;
    {
        std::lock_guard lock(this->mutex);
        this->queued.push_back({std::move(text), std::move(callback), {}});
    }
    this->queue_changed.notify_one();
    if (this->delivery_timer == 0) {
        this->delivery_timer = this->loop.every(delivery_interval, [this] { this->deliver_finished(); });
    }
    return true;
}

void record_parse_queue::run_worker() {
    std::unique_lock lock(this->mutex);
    while (true) {
        this->queue_changed.wait(lock, [this] { return this->is_stopping || !this->queued.empty(); });
        if (this->is_stopping) {
            return;
        }
        job next = std::move(this->queued.front());
        this->queued.pop_front();
        lock.unlock();
        next.outcome = parse_text(next.text);
        lock.lock();
        this->finished.push_back(std::move(next));
    }
}

void record_parse_queue::deliver_finished() {
    std::deque<job> ready;
    {
        std::lock_guard lock(this->mutex);
        ready.swap(this->finished);
    }
    this->pending_count -= ready.size();
    if (this->pending_count == 0) {
        this->loop.cancel(std::exchange(this->delivery_timer, 0));
    }
    for (job& done : ready) {
        done.callback(std::move(done.outcome));
    }
}

}  // namespace persimmongrade
