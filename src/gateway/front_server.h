// HTTP/1.1 server for clients of the gateway. Limits may change while it runs, and a client that leaves is noticed at
// once, because connections are read while their request is being answered.
//
//     front_server server(loop, address, options, [](front_request request, std::shared_ptr<front_exchange> exchange) {
//         exchange->respond({.status = 200, .body = "hello"});
//     });
//
// Bodies are read whole, up to the limit. Requests of one connection are answered one after the other.

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

namespace persimmongrade {

struct front_limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 1048576;
    duration header_timeout = ms(3000);  // from the first byte of a request to the end of its header
    duration idle_timeout = ms(15000);   // without any byte, between requests or within a body

    auto operator<=>(const front_limits&) const = default;
};

struct front_options {
    front_limits limits;
    std::size_t max_connections = 2048;           // further ones are answered 503 and closed
    std::size_t max_buffered_bytes = 64U << 20U;  // request bodies of all connections; further requests get 503
};

struct front_request {
    message_head head;
    std::string body;
};

struct front_answer {
    int status = 200;
    std::vector<http_header> headers;
    std::string body;
};

class front_exchange {
public:
    virtual ~front_exchange() = default;
    virtual void respond(front_answer answer) = 0;             // only the first call has an effect
    virtual void on_gone(std::function<void()> callback) = 0;  // the client left before its answer
};

using front_handler = std::function<void(front_request, std::shared_ptr<front_exchange>)>;

class front_server {
public:
    // Throws socket_error when the address cannot be bound.
    front_server(event_loop& loop, const ip_address& address, const front_options& options, front_handler handler);
    ~front_server();
    front_server(const front_server&) = delete;
    front_server& operator=(const front_server&) = delete;

    void set_limits(const front_limits& limits);
    void close_after_answer();  // every further answer ends its connection; connections without request stay
    void close_idle();          // ends connections that hold no request
    std::size_t open_connections() const;
    std::size_t open_requests() const;

private:
    struct impl;
    std::unique_ptr<impl> state;
};

}  // namespace persimmongrade
