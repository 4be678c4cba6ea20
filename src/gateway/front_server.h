// HTTP/1.1 server for clients of the gateway. Limits can be changed while it runs. A disconnected client is detected at
// once, because connections are read while their request is being answered.
//
//     front_server server(loop, address, options, [](front_request request, std::shared_ptr<front_exchange> exchange) {
//         exchange->respond({.status = 200, .body = "hello"});
//     });
//
// Bodies are buffered completely, up to the limit. A pipelined request is handled beside those before it when it may
// run twice (`may_overlap`) and their methods are safe, and otherwise after their answers. Answers are written in the
// order of the requests. Load pattern: clients that send a group of requests at once, whose time limits run from then
// on.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "persimmongrade/address.h"
#include "persimmongrade/event_loop.h"
#include "persimmongrade/http_message.h"

namespace persimmongrade {

struct front_limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 1048576;
    duration header_timeout = ms(3000);  // from the first byte of a request to the end of its header
    duration idle_timeout = ms(15000);   // between requests, between bytes of a body, or to write an answer

    auto operator<=>(const front_limits&) const = default;
};

struct front_options {
    front_limits limits;
    std::size_t max_connections = 2048;  // connections above it are answered with 503 and closed
    // Request bodies and answers of all connections. Above it requests get 503, and the client that most answers are
    // held for is closed.
    std::size_t max_buffered_bytes = 64U << 20U;
    // Whether a request may be handled before its client has the answers to those before it. Empty: none may.
    std::function<bool(const message_head&)> may_overlap = {};
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
    virtual void respond(front_answer answer) = 0;  // only the first call has an effect
    // `callback` is called when the client disconnects before its answer, never inside of a call of respond().
    virtual void on_client_disconnect(std::function<void()> callback) = 0;
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
    void close_after_answer();  // closes each connection after its last open request; idle ones stay open
    void close_idle();          // closes connections without a request
    std::size_t open_connections() const;
    std::size_t open_requests() const;

private:
    struct impl;
    std::unique_ptr<impl> state;
};

}  // namespace persimmongrade
