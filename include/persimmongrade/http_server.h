// HTTP/1.1 server on the event loop. The handler may answer at once or later, through the exchange.
//
//     http_server server(loop, ip_address::parse("127.0.1.1:8080"), {}, [](http_request request, auto exchange) {
//         exchange->respond({200, {}, "hello"});
//     });
//
// Bodies are read whole before the handler runs and sent whole, with Content-Length. A handler that states another
// content-length than the size of its body produces a truncated answer and a closed connection.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "persimmongrade/address.h"
#include "persimmongrade/event_loop.h"
#include "persimmongrade/http.h"

namespace persimmongrade {

struct http_server_options {
    std::size_t max_body_bytes = 1048576;
    duration request_timeout = ms(10000);  // from the first byte of a request to its last, then 408
    duration idle_timeout = ms(10000);     // a connection without any byte of a request is closed
    // Makes the answer to a request that the HTTP layer rejects itself, from its status: 400 (unparsable), 408
    // (incomplete), 413 (too large) and others. The body replaces the one of h2o. Empty: a generic JSON error.
    std::function<http_response(int status)> rejection;
};

// One request being answered. Only the first call of respond() has an effect.
class http_exchange {
public:
    virtual ~http_exchange() = default;

    virtual void respond(http_response response) = 0;
    virtual bool closed() const = 0;                            // the caller went away or was answered
    virtual void on_close(std::function<void()> callback) = 0;  // runs when the caller goes away before an answer
};

using http_handler = std::function<void(http_request, std::shared_ptr<http_exchange>)>;

class http_server {
public:
    // Throws socket_error when the address cannot be bound.
    http_server(event_loop& loop, const ip_address& address, const http_server_options& options, http_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    void close_after_answer();           // ends connections after their next answer; new connections are still accepted
    void close_listener();               // accepts no new connections; open ones are told to close after their request
    std::size_t open_exchanges() const;  // requests not yet answered
    std::size_t open_connections() const;
    std::uint64_t rejected_requests() const;  // malformed, incomplete or oversized; answered by the HTTP layer itself

private:
    struct impl;
    std::unique_ptr<impl> state;
};

}  // namespace persimmongrade
