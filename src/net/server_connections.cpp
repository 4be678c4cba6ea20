#include "server_connections.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace persimmongrade {

namespace {

constexpr int status_bad_request = 400;
constexpr int status_request_timeout = 408;
constexpr int status_too_large = 413;
constexpr std::int64_t checks_per_timeout = 40;  // 250 ms at 10 s
constexpr duration shortest_check_period = ms(5);
constexpr std::size_t max_discarded_bytes = 1048576;

// Closing a socket with unread bytes resets the connection, which can destroy an answer before the caller has read it.
void discard_input(int descriptor) {
    std::array<char, 16384> bytes;  // not initialized: it is only written
    for (std::size_t total = 0; total < max_discarded_bytes;) {
        ssize_t size = ::recv(descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (size <= 0) {
            return;
        }
        total += static_cast<std::size_t>(size);
    }
}

const char* reason_phrase(int status) {
    switch (status) {
    case status_request_timeout:
        return "Request Timeout";
    case status_too_large:
        return "Payload Too Large";
    default:
        return "Bad Request";
    }
}

std::string serialize(const http_response& response) {
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " " + reason_phrase(response.status) +
                       "\r\nconnection: close\r\n";
    for (const http_header& header : response.headers) {
        text += header.name + ": " + header.value + "\r\n";
    }
    return text + "content-length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
}

}  // namespace

// ---- One connection ----

server_connection& server_connection::of(const h2o_req_t* request) {
    h2o_socket_t* socket = request->conn->callbacks->get_socket(request->conn);
    return *static_cast<server_connection*>(socket->on_close.data);
}

const std::string& server_connection::peer_ip() {
    sockaddr_storage address{};
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (this->peer.empty() && h2o_socket_getpeername(this->socket, generic) != 0) {
        std::array<char, NI_MAXHOST> text;  // not initialized: it is only written
        socklen_t length = address.ss_family == AF_INET ? sizeof(sockaddr_in) : sizeof(sockaddr_in6);
        std::size_t size = h2o_socket_getnumerichost(generic, length, text.data());
        if (size != SIZE_MAX) {
            this->peer.assign(text.data(), size);
        }
    }
    return this->peer;
}

// Keeps the bytes after the request from h2o, which would parse them as soon as the answer is sent.
void server_connection::begin_answer(const h2o_req_t* request) {
    this->answering = true;
    h2o_buffer_t* input = this->socket->input;
    std::size_t request_bytes = this->scanner.header_bytes();
    if (request->entity.base != nullptr) {
        request_bytes = static_cast<std::size_t>(request->entity.base + request->entity.len - input->bytes);
    }
    if (request_bytes < input->size) {
        this->next_bytes.assign(input->bytes + request_bytes, input->size - request_bytes);
        input->size = request_bytes;
    }
}

void server_connection::end_answer() {
    this->answering = false;
    this->header_passed = false;
    this->scanner = {};
    this->waiting_since = time_point{};
    this->owner->answered.push_back(this);
}

// ---- All connections ----

server_connections::server_connections(event_loop& loop, const connection_limits& limits,
                                       std::function<http_response(int status)> reject)
    : loop(loop), limits(limits), reject(std::move(reject)) {
    duration shortest = std::min(limits.request_timeout, limits.idle_timeout);
    duration period = std::max(shortest_check_period, duration(shortest.count() / checks_per_timeout));
    this->check_timer = loop.every(period, [this] { this->check(); });
    this->restore_hook = loop.after_each_poll([this] { return this->restore(); });
}

server_connections::~server_connections() {
    this->stop_checks();
}

void server_connections::stop_checks() {
    this->loop.cancel(std::exchange(this->check_timer, 0));
    this->loop.cancel(std::exchange(this->restore_hook, 0));
}

void server_connections::add(h2o_accept_ctx_t* context, h2o_socket_t* socket) {
    auto connection = std::make_unique<server_connection>();
    connection->owner = this;
    connection->socket = socket;
    socket->on_close.cb = on_close;
    socket->on_close.data = connection.get();
    h2o_accept(context, socket);
    connection->forward = socket->_cb.read;  // h2o has no function that returns it
    h2o_socket_read_start(socket, on_read);
    const server_connection* key = connection.get();
    this->open.emplace(key, std::move(connection));
}

void server_connections::on_read(h2o_socket_t* socket, const char* failure) {
    auto* connection = static_cast<server_connection*>(socket->on_close.data);
    connection->owner->receive(*connection, failure);
}

void server_connections::receive(server_connection& connection, const char* failure) {
    const h2o_buffer_t* input = connection.socket->input;
    if (failure != nullptr && input->size > 0) {
        this->refuse(connection, status_request_timeout);  // the caller may have closed its sending side only
        return;
    }
    if (failure != nullptr || connection.header_passed) {
        connection.forward(connection.socket, failure);
        return;
    }
    switch (connection.scanner.scan({input->bytes, input->size})) {
    case scan_status::incomplete:
        return;
    case scan_status::complete:
        connection.header_passed = true;
        connection.forward(connection.socket, nullptr);
        return;
    case scan_status::malformed:
        this->refuse(connection, status_bad_request);
        return;
    case scan_status::too_large:
        this->refuse(connection, status_too_large);
        return;
    }
}

// Answers and closes. h2o closes the connection when its read callback reports a failure.
void server_connections::refuse(server_connection& connection, int status) {
    std::string text = serialize(this->reject(status));
    int descriptor = h2o_socket_get_fd(connection.socket);
    // A caller that does not take these few hundred bytes at once gets only the closed connection.
    [[maybe_unused]] ssize_t sent = ::send(descriptor, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    discard_input(descriptor);
    connection.forward(connection.socket, h2o_socket_error_closed);
}

bool server_connections::restore() {
    bool passed_on = false;
    while (!this->answered.empty()) {  // closing a connection takes it out of the list
        server_connection* connection = this->answered.back();
        this->answered.pop_back();
        h2o_socket_t* socket = connection->socket;
        if (connection->answering || socket->_cb.read != connection->forward) {
            continue;
        }
        h2o_socket_read_start(socket, on_read);
        if (connection->next_bytes.empty()) {
            continue;
        }
        std::string bytes = std::exchange(connection->next_bytes, {});
        h2o_iovec_t space = h2o_buffer_reserve(&socket->input, bytes.size());
        std::memcpy(space.base, bytes.data(), bytes.size());
        socket->input->size += bytes.size();
        passed_on = true;
        this->receive(*connection, nullptr);
    }
    return passed_on;
}

void server_connections::check() {
    time_point now = this->loop.now();
    std::vector<server_connection*> late;
    for (auto& [key, connection] : this->open) {
        if (connection->answering) {
            continue;
        }
        // h2o keeps a request in this buffer until it has been answered.
        bool incomplete = connection->socket->input->size > 0;
        if (connection->waiting_since == time_point{} || incomplete != connection->incomplete) {
            connection->waiting_since = now;
            connection->incomplete = incomplete;
        }
        if (now - connection->waiting_since >=
            (incomplete ? this->limits.request_timeout : this->limits.idle_timeout)) {
            late.push_back(connection.get());
        }
    }
    for (server_connection* connection : late) {
        if (connection->incomplete) {
            this->refuse(*connection, status_request_timeout);
        } else {
            connection->forward(connection->socket, h2o_socket_error_closed);
        }
    }
}

void server_connections::on_close(void* data) {
    auto* connection = static_cast<server_connection*>(data);
    server_connections& owner = *connection->owner;
    std::erase(owner.answered, connection);
    owner.open.erase(connection);
}

}  // namespace persimmongrade
