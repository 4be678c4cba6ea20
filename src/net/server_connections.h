// The connections of an HTTP server, and the errors that h2o 2.2.5 does not answer as this system needs: it answers a
// request that it cannot parse with a plain text, closes the connection of an incomplete one without a word, and
// measures its timeout from the last answer instead of from the first byte. Its interface has no hook for either.
//
// Each connection therefore puts its own callback in front of h2o's read callback. h2o sees a header when it is
// complete and well formed, and sees the bytes after a request only when that request has been answered. h2o sets its
// own callback again after each answer; restore() replaces it before the next poll.

#pragma once

#include <h2o.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "persimmongrade/event_loop.h"
#include "persimmongrade/http.h"
#include "request_scanner.h"

namespace persimmongrade {

struct connection_limits {
    duration request_timeout;  // from the first byte of a request to its last
    duration idle_timeout;     // without any byte of a request
};

class server_connections;

// One connection. Owned by server_connections until h2o closes the socket.
struct server_connection {
    server_connections* owner = nullptr;
    h2o_socket_t* socket = nullptr;
    h2o_socket_cb forward = nullptr;  // h2o's read callback
    request_scanner scanner;
    bool header_passed = false;  // h2o has the header and reads the body
    bool answering = false;      // the request is complete or rejected, and its answer is not sent yet
    time_point waiting_since{};  // first byte of the request or start of the idle time; zero: not noted yet
    bool incomplete = false;     // at waiting_since
    std::string peer;
    std::string next_bytes;  // arrived after the request that is being answered

    static server_connection& of(const h2o_req_t* request);
    const std::string& peer_ip();  // formatted once, since h2o needs a system call and sprintf for it
    void begin_answer(const h2o_req_t* request);
    void end_answer();
};

class server_connections {
public:
    // `reject` counts a request that was refused with the given status, and returns its answer.
    server_connections(event_loop& loop, const connection_limits& limits,
                       std::function<http_response(int status)> reject);
    ~server_connections();
    server_connections(const server_connections&) = delete;
    server_connections& operator=(const server_connections&) = delete;

    void add(h2o_accept_ctx_t* context, h2o_socket_t* socket);
    void stop_checks();  // the owner ends while connections are open
    std::size_t size() const { return this->open.size(); }

private:
    friend struct server_connection;

    void check();    // ends the connections that are over a limit
    bool restore();  // true when it passed bytes on to h2o
    void receive(server_connection& connection, const char* failure);
    void refuse(server_connection& connection, int status);
    static void on_read(h2o_socket_t* socket, const char* failure);
    static void on_close(void* data);

    event_loop& loop;
    connection_limits limits;
    std::function<http_response(int status)> reject;
    std::unordered_map<const server_connection*, std::unique_ptr<server_connection>> open;
    std::vector<server_connection*> answered;  // since the last restore()
    timer_id check_timer = 0;
    timer_id restore_hook = 0;
};

}  // namespace persimmongrade
