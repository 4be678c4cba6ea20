// HTTP/1.1 connections of the gateway to targets, one request at a time on each.
//
//     call_id id = client.send(call, [](target_answer answer) { ... });   // the callback never runs inside send
//     client.cancel(id);                                                  // closes the connection
//
// A connection that shows anything unexpected is closed after its answer: bytes that belong to no request, an answer to
// another attempt, an answer before the request was written. An answer to another attempt is skipped.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http_message.h"
#include "persimmongrade/address.h"
#include "persimmongrade/event_loop.h"
#include "persimmongrade/http_client.h"

namespace persimmongrade {

enum class target_call_status : std::uint8_t {
    answered,     // a whole answer
    unreachable,  // no connection: nothing was sent
    lost,         // the connection ended after bytes may have left, or its answer is no answer
};

struct target_call {
    std::string target;  // connections are kept by target
    ip_address address;
    std::string text;            // the whole request
    std::string attempt_header;  // an answer whose header of this name differs from `attempt` is skipped; empty: none
    std::string attempt;
    bool is_head_request = false;
    bool fresh_only = false;  // no connection that was idle for long, which may just have been closed
    std::size_t max_answer_bytes = 64U << 20U;
};

struct target_answer {
    target_call_status status = target_call_status::lost;
    message_head head;
    std::string body;
    std::string reason;   // of a failure, for logs
    bool reused = false;  // the connection had served a request before
};

struct target_client_options {
    duration connect_timeout = ms(350);  // several round trips between regions; a lost opening packet takes seconds
    duration unacknowledged = ms(1500);  // several retransmissions between regions
    duration max_idle = ms(8000);        // unless the target states a shorter time
    std::size_t max_idle_per_target = 32;
};

class target_client {
public:
    target_client(event_loop& loop, const target_client_options& options);
    ~target_client();
    target_client(const target_client&) = delete;
    target_client& operator=(const target_client&) = delete;

    call_id send(target_call call, std::function<void(target_answer)> callback);
    void cancel(call_id id);                 // unknown ids are ignored
    void forget(const std::string& target);  // closes its idle connections

private:
    struct impl;
    std::unique_ptr<impl> state;
};

}  // namespace persimmongrade
