// HTTP/1.1 client on the event loop, with one request in flight per connection.
//
//     call_id id = client.send(call, [](http_call_result result) { ... });
//     client.cancel(id);  // closes the connection; the callback does not run
//
// The client sets no deadline: the caller cancels. Interim answers are skipped. A cancelled, malformed, cut, oversized
// or late call closes its connection, so that no answer can reach another request.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "persimmongrade/address.h"
#include "persimmongrade/event_loop.h"
#include "persimmongrade/http.h"

namespace persimmongrade {

enum class http_call_status : std::uint8_t {
    ok,                // a whole answer arrived
    connect_failed,    // no byte of the request was written
    connection_lost,   // the request may have been written; no valid answer head arrived
    answer_truncated,  // the answer ended early, or its end cannot be told
    answer_too_large,
};

struct http_call {
    ip_address address;
    std::string method = "GET";
    std::string target = "/";          // path and query
    std::vector<http_header> headers;  // without Host, Content-Length and Connection
    std::string body;
    std::size_t max_answer_bytes = 1048576;
    bool reuse_connection = true;  // a reused connection may just have been closed by the peer
    std::string host = {};         // of the Host header; empty: the address

    auto operator<=>(const http_call&) const = default;
};

struct http_call_result {
    http_call_status status = http_call_status::ok;
    http_response response;  // complete only with status ok

    auto operator<=>(const http_call_result&) const = default;
};

using call_id = std::uint64_t;  // 0 is never a valid id

class http_client {
public:
    explicit http_client(event_loop& loop);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    call_id send(http_call call,
                 std::function<void(http_call_result)> callback);  // the callback never runs inside send
    void cancel(call_id id);                                       // unknown ids are ignored
    bool request_written(call_id id) const;  // true once the connection is up and bytes may have left

private:
    struct impl;
    std::unique_ptr<impl> state;
};

}  // namespace persimmongrade
