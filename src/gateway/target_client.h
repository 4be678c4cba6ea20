// Pooled HTTP/1.1 connections from the gateway to targets, with one request at a time on each connection.
//
//     call_id id = client.send(call, [](target_answer answer) { ... });   // the callback never runs inside send
//     client.cancel(id);                                                  // closes the connection
//
// A connection is not reused, and closed after its answer, when it shows anything unexpected: bytes that belong to no
// request, an answer to another attempt, or a write that fails after the answer. An answer to another attempt is
// skipped.
//
// An answer may come without end. Its head, its interim answers and its framing are limited, and so are the bodies that
// are buffered for all calls together.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "persimmongrade/address.h"
#include "persimmongrade/event_loop.h"
#include "persimmongrade/http_client.h"
#include "persimmongrade/http_message.h"

namespace persimmongrade {

enum class target_call_status : std::uint8_t {
    answered,     // a complete answer was received
    unreachable,  // no connection was established, so nothing was sent
    lost,         // the connection ended after bytes may have been sent, or the answer is malformed
};

struct target_call {
    std::string target;  // target id; connections are pooled by it
    ip_address address;
    std::string text;            // head and body of the request
    std::string attempt_header;  // name of the header that echoes `attempt`; an answer in which it differs is skipped;
                                 // empty: no check
    std::string attempt;
    bool is_head_request = false;
    // Do not reuse a connection that has been idle for long: the target may just have closed it.
    bool recently_used_only = false;
    std::size_t max_answer_bytes = 64U << 20U;
};

struct target_answer {
    target_call_status status = target_call_status::lost;
    message_head head;
    std::string body;
    std::string reason;    // why the call failed, for logs
    bool refused = false;  // unreachable because nothing listens at the address
    bool reused = false;   // the connection had been used for an earlier request
};

struct target_client_options {
    // Allows several round trips between regions; the retransmission of a lost SYN takes seconds.
    duration connect_timeout = ms(350);
    // Until unacknowledged data closes the connection; allows several retransmissions between regions.
    duration unacknowledged_timeout = ms(1500);
    std::size_t max_buffered_bytes = 64U << 20U;  // answer bodies of all calls; the largest one is given up above it
    duration max_idle = ms(8000);                 // a shorter time in the target's Keep-Alive header takes precedence
    std::size_t max_idle_per_target = 32;
};

class target_client {
public:
    target_client(event_loop& loop, const target_client_options& options);
    ~target_client();
    target_client(const target_client&) = delete;
    target_client& operator=(const target_client&) = delete;

    call_id send(target_call call, std::function<void(target_answer)> callback);
    void cancel(call_id id);                     // unknown ids are ignored
    void close_idle(const std::string& target);  // closes the idle connections to a target

private:
    struct impl;
    std::unique_ptr<impl> state;
};

}  // namespace persimmongrade
