// Parses large records on a worker thread, so that the event loop keeps answering peers meanwhile.
//
// Parsing a record of 500 KB takes 0.2 s, and several times that on a busy machine. On the event loop this would exceed
// the election timeout of 400 ms: the leader would lose its lease, and so would each subsequent leader that receives
// the same record, until the operator stops resending it. Only the text and the parsed record pass between the threads.

#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <exception>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "persimmongrade/event_loop.h"
#include "persimmongrade/record.h"

namespace persimmongrade {

class record_parse_queue {
public:
    // Records up to this size are parsed on the event loop, which takes at most about 7 ms.
    static constexpr std::size_t max_inline_bytes = 16u << 10;
    static constexpr std::size_t max_pending = 64;  // 32 MiB of text

    struct result {
        std::unique_ptr<wire::steering_record_t> record;  // null if parsing failed
        std::exception_ptr failure;                       // a record_error
    };

    explicit record_parse_queue(event_loop& loop);
    ~record_parse_queue();  // waits for the record being parsed; queued records are dropped without a callback
    record_parse_queue(const record_parse_queue&) = delete;
    record_parse_queue& operator=(const record_parse_queue&) = delete;

    // Calls `callback` on the event loop; for a small record, before parse() returns. Returns false, without a call,
    // when `max_pending` records are queued.
    bool parse(std::string text, std::function<void(result)> callback);

private:
    struct job {
        std::string text;
        std::function<void(result)> callback;
        result outcome;
    };

    void run_worker();
    void deliver_finished();

    event_loop& loop;
    std::size_t pending_count = 0;  // callback not yet run; used on the event loop only
    timer_id delivery_timer = 0;
    std::mutex mutex;  // guards the members below
    std::condition_variable queue_changed;
    std::deque<job> queued;
    std::deque<job> finished;
    bool is_stopping = false;
    std::thread worker;
};

}  // namespace persimmongrade
