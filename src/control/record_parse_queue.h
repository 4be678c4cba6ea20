// Reads large records on a second thread, so that the event loop keeps answering peers meanwhile.
//
// A record of 500 KB takes 0.2 s to read, and several times that on a busy machine. On the event loop this would exceed
// the election timeout of 400 ms: the leader would lose its lease, and so would each next leader that is sent the same
// record, until the operator gives up. Only the text and the parsed value cross between the threads.

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
    static constexpr std::size_t inline_bytes = 16u << 10;  // smaller records are read at once: at most about 7 ms
    static constexpr std::size_t max_pending = 64;          // 32 MiB of text

    struct result {
        std::unique_ptr<wire::steering_record_t> record;  // null after a failure
        std::exception_ptr failure;                       // record_error
    };

    explicit record_parse_queue(event_loop& loop);
    ~record_parse_queue();  // waits for the record being read; the others are dropped without a callback
    record_parse_queue(const record_parse_queue&) = delete;
    record_parse_queue& operator=(const record_parse_queue&) = delete;

    // Calls `done` on the event loop, before it returns for a small record. False, and no call, when too many wait.
    bool parse(std::string text, std::function<void(result)> done);

private:
    struct job {
        std::string text;
        std::function<void(result)> done;
        result outcome;
    };

    void work();
    void collect();

    event_loop& loop;
    std::size_t pending = 0;  // given to the thread, callback not yet run; used on the event loop only
    timer_id collect_timer = 0;
    std::mutex mutex;  // guards the members below
    std::condition_variable changed;
    std::deque<job> waiting;
    std::deque<job> finished;
    bool stopping = false;
    std::thread worker;
};

}  // namespace persimmongrade
