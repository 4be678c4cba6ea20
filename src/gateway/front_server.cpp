#include "front_server.h"

#include <h2o.h>
#include <sys/socket.h>

#include <unordered_map>
#include <utility>

#include "persimmongrade/event_log.h"
#include "persimmongrade/listener.h"
#include "persimmongrade/retained.h"

namespace persimmongrade {

namespace {

constexpr int status_bad_request = 400;
constexpr int status_request_timeout = 408;
constexpr int status_body_too_large = 413;
constexpr int status_head_too_large = 431;
constexpr int status_unavailable = 503;
constexpr duration timeout_check_interval = ms(250);
// Lets the client read its answer before the connection is closed, which may reset it.
constexpr duration linger_timeout = ms(1000);
constexpr std::size_t max_pipelined_bytes = 65536;  // bytes of pipelined requests that are read while one is answered
// Bodies up to this size are appended to the head, and written with it.
constexpr std::size_t max_coalesced_body_bytes = 16384;

enum class connection_phase : std::uint8_t { head, body, answering, writing, lingering, closed };

}  // namespace

struct front_server::impl {
    class connection;

    event_loop& loop;
    front_options options;
    front_handler handler;
    h2o_socket_t* listener = nullptr;
    std::unordered_map<connection*, std::shared_ptr<connection>> connections;
    std::size_t requests = 0;
    std::size_t buffered_bytes = 0;
    bool closing = false;
    timer_id timeout_timer = 0;

    impl(event_loop& loop, const front_options& options, front_handler handler)
        : loop(loop), options(options), handler(std::move(handler)) {}

    void accept(h2o_socket_t* socket);
    void enforce_timeouts();
};

class front_server::impl::connection : public std::enable_shared_from_this<connection> {
public:
    impl& owner;
    h2o_socket_t* socket;
    connection_phase phase = connection_phase::head;
    time_point last_progress_at;  // start of the phase, or arrival of the last bytes of a body
    message_head head;
    body_reader reader;
    std::size_t own_buffered_bytes = 0;
    std::uint64_t request_serial = 0;  // of the request being answered
    std::function<void()> disconnect_callback;
    bool close_after = false;
    bool reading = false;
    std::string out_head;
    std::string out_body;

    connection(impl& owner, h2o_socket_t* socket) : owner(owner), socket(socket), last_progress_at(owner.loop.now()) {
        socket->data = this;
        set_no_delay(socket);
    }

    void start_reading() {
        if (this->reading) {
            return;
        }
        this->reading = true;
        h2o_socket_read_start(this->socket, [](h2o_socket_t* sock, const char* failure) {
            auto self = static_cast<connection*>(sock->data)->shared_from_this();
            if (failure != nullptr) {
                self->close();
                return;
            }
            self->on_bytes();
        });
    }

    void stop_reading() {
        if (std::exchange(this->reading, false)) {
            h2o_socket_read_stop(this->socket);
        }
    }

    std::string_view input() const { return {this->socket->input->bytes, this->socket->input->size}; }

    void on_bytes() {
        switch (this->phase) {
        case connection_phase::head:
        case connection_phase::body:
            this->read_request();
            return;
        case connection_phase::lingering:
            h2o_buffer_consume(&this->socket->input, this->socket->input->size);
            return;
        case connection_phase::answering:
        case connection_phase::writing:
            if (this->socket->input->size > max_pipelined_bytes) {
                this->stop_reading();
            }
            return;
        case connection_phase::closed:
            return;
        }
    }

    void read_request() {
        if (this->phase == connection_phase::head) {
            if (this->input().empty()) {
                return;
            }
            if (!this->head_started) {
                this->head_started = true;
                this->last_progress_at = this->owner.loop.now();
            }
            const front_limits& limits = this->owner.options.limits;
            switch (parse_request_head(this->input(), limits.max_header_bytes, this->head)) {
            case parse_status::incomplete:
                return;
            case parse_status::malformed:
                this->reject(status_bad_request);
                return;
            case parse_status::too_large:
                this->reject(status_head_too_large);
                return;
            case parse_status::complete:
                break;
            }
            if (this->head.framing == body_framing::length && this->head.content_length > limits.max_body_bytes) {
                this->reject(status_body_too_large);
                return;
            }
            h2o_buffer_consume(&this->socket->input, this->head.bytes);
            this->reader = body_reader(this->head.framing, this->head.content_length, limits.max_body_bytes);
            this->phase = connection_phase::body;
            this->last_progress_at = this->owner.loop.now();
            const std::string* expect = this->head.header("expect");
            if (expect != nullptr && equals_ignore_case(*expect, "100-continue") && this->input().empty()) {
                static const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
                [[maybe_unused]] ssize_t sent = ::send(h2o_socket_get_fd(this->socket), interim.data(), interim.size(),
                                                       MSG_NOSIGNAL | MSG_DONTWAIT);
            }
        }
        std::size_t used = 0;
        parse_status status = this->reader.read(this->input(), used);
        if (used > 0) {
            h2o_buffer_consume(&this->socket->input, used);
            this->last_progress_at = this->owner.loop.now();
        }
        this->set_buffered_bytes(this->reader.body().size());
        if (status == parse_status::incomplete && this->owner.buffered_bytes > this->owner.options.max_buffered_bytes) {
            this->reject(status_unavailable);
        } else if (status == parse_status::malformed) {
            this->reject(status_bad_request);
        } else if (status == parse_status::too_large) {
            this->reject(status_body_too_large);
        } else if (status == parse_status::complete) {
            this->start_request();
        }
    }

    void start_request();

    void set_buffered_bytes(std::size_t bytes) {
        this->owner.buffered_bytes += bytes - this->own_buffered_bytes;
        this->own_buffered_bytes = bytes;
    }

    void reject(int status) {
        log_event("request_rejected", field("status", status), field("received_bytes", this->input().size()),
                  field("method", this->head.method), field("path", this->head.target));
        this->close_after = true;
        h2o_buffer_consume(&this->socket->input, this->socket->input->size);
        std::vector<http_header> headers;
        if (status == status_unavailable) {
            headers.push_back({"retry-after", "0.5"});
        }
        this->write({status, std::move(headers), ""});
    }

    void write(front_answer answer) {
        this->close_after = this->close_after || this->owner.closing || !this->head.keep_alive;
        std::string& text = this->out_head;
        text.clear();
        text.append("HTTP/1.1 ").append(std::to_string(answer.status)).append(" ");
        text.append(reason_phrase(answer.status)).append("\r\n");
        bool has_length = false;
        for (const http_header& header : answer.headers) {
            has_length = has_length || equals_ignore_case(header.name, "content-length");
            text.append(header.name).append(": ").append(header.value).append("\r\n");
        }
        constexpr int no_content = 204;
        constexpr int not_modified = 304;
        if (!has_length && answer.status != no_content && answer.status != not_modified) {
            text.append("Content-Length: ").append(std::to_string(answer.body.size())).append("\r\n");
        }
        text.append(this->close_after ? "Connection: close\r\n\r\n" : "\r\n");
        this->out_body = this->head.method == "HEAD" ? std::string() : std::move(answer.body);
        if (this->out_body.size() <= max_coalesced_body_bytes) {
            text.append(this->out_body);
            this->out_body.clear();
        }
        this->phase = connection_phase::writing;
        this->last_progress_at = this->owner.loop.now();
        h2o_iovec_t parts[2] = {h2o_iovec_init(text.data(), text.size()),
                                h2o_iovec_init(this->out_body.data(), this->out_body.size())};
        h2o_socket_write(this->socket, parts, this->out_body.empty() ? 1 : 2,
                         [](h2o_socket_t* sock, const char* failure) {
                             auto self = static_cast<connection*>(sock->data)->shared_from_this();
                             if (failure != nullptr) {
                                 self->close();
                                 return;
                             }
                             self->on_written();
                         });
    }

    void on_written() {
        this->last_progress_at = this->owner.loop.now();
        this->head_started = false;
        if (this->close_after) {
            this->phase = connection_phase::lingering;
            ::shutdown(h2o_socket_get_fd(this->socket), SHUT_WR);
            h2o_buffer_consume(&this->socket->input, this->socket->input->size);
            this->start_reading();
            return;
        }
        this->phase = connection_phase::head;
        this->head = {};
        this->start_reading();
        this->read_request();
    }

    void finish_request();

    void close() {
        if (std::exchange(this->phase, connection_phase::closed) == connection_phase::closed) {
            return;
        }
        auto callback = std::exchange(this->disconnect_callback, nullptr);
        this->finish_request();
        h2o_socket_t* closed = std::exchange(this->socket, nullptr);
        h2o_socket_read_stop(closed);
        h2o_socket_close(closed);
        auto kept = this->shared_from_this();
        this->owner.connections.erase(this);
        if (callback) {
            callback();
        }
    }

    bool request_open = false;
    bool head_started = false;
};

namespace {

class exchange_handle : public front_exchange {
public:
    exchange_handle(std::function<void(front_answer)> answer, std::function<void(std::function<void()>)> watch)
        : answer(std::move(answer)), watch(std::move(watch)) {}

    void respond(front_answer given) override {
        if (auto call = std::exchange(this->answer, nullptr)) {
            call(std::move(given));
        }
    }

    void on_client_disconnect(std::function<void()> callback) override { this->watch(std::move(callback)); }

private:
    std::function<void(front_answer)> answer;
    std::function<void(std::function<void()>)> watch;
};

}  // namespace

void front_server::impl::connection::finish_request() {
    if (std::exchange(this->request_open, false)) {
        --this->owner.requests;
    }
    this->set_buffered_bytes(0);
}

void front_server::impl::connection::start_request() {
    this->phase = connection_phase::answering;
    this->request_open = true;
    ++this->owner.requests;
    std::uint64_t own_serial = ++this->request_serial;
    std::weak_ptr<connection> weak = this->weak_from_this();
    auto open = [weak, own_serial]() -> std::shared_ptr<connection> {
        auto self = weak.lock();
        bool same = self && self->request_serial == own_serial && self->phase == connection_phase::answering;
        return same ? self : nullptr;
    };
    auto exchange = std::make_shared<exchange_handle>(
        [open](front_answer answer) {
            if (auto self = open()) {
                self->disconnect_callback = nullptr;
                self->finish_request();
                self->write(std::move(answer));
            }
        },
        [open](std::function<void()> callback) {
            if (auto self = open()) {
                self->disconnect_callback = std::move(callback);
            }
        });
    this->owner.handler({this->head, std::move(this->reader.body())}, exchange);
}

void front_server::impl::accept(h2o_socket_t* socket) {
    auto added = std::make_shared<connection>(*this, socket);
    this->connections.emplace(added.get(), added);
    added->start_reading();
    if (this->connections.size() > this->options.max_connections) {
        added->reject(status_unavailable);
    }
}

void front_server::impl::enforce_timeouts() {
    time_point now = this->loop.now();
    std::vector<std::shared_ptr<connection>> timed_out;
    for (const auto& [key, open] : this->connections) {
        duration age = now - open->last_progress_at;
        bool ended = false;
        if (open->phase == connection_phase::head) {
            ended =
                age > (open->head_started ? this->options.limits.header_timeout : this->options.limits.idle_timeout);
        } else if (open->phase == connection_phase::body || open->phase == connection_phase::writing) {
            ended = age > this->options.limits.idle_timeout;
        } else if (open->phase == connection_phase::lingering) {
            ended = age > linger_timeout;
        }
        if (ended) {
            timed_out.push_back(open);
        }
    }
    for (const auto& open : timed_out) {
        bool incomplete =
            open->phase == connection_phase::body || (open->phase == connection_phase::head && open->head_started);
        if (incomplete) {
            open->reject(status_request_timeout);
        } else {
            open->close();
        }
    }
}

front_server::front_server(event_loop& loop, const ip_address& address, const front_options& options,
                           front_handler handler)
    : state(std::make_unique<impl>(loop, options, std::move(handler))) {
    impl& server = *this->state;
    server.listener = open_listener(loop, address);
    server.listener->data = &server;
    h2o_socket_read_start(server.listener, [](h2o_socket_t* listener, const char* failure) {
        if (failure != nullptr) {
            return;
        }
        auto* owner = static_cast<impl*>(listener->data);
        while (h2o_socket_t* socket = h2o_evloop_socket_accept(listener)) {
            owner->accept(socket);
        }
    });
    server.timeout_timer = loop.every(timeout_check_interval, [&server] { server.enforce_timeouts(); });
}

front_server::~front_server() {
    this->state->loop.cancel(this->state->timeout_timer);
    h2o_socket_read_stop(this->state->listener);
    h2o_socket_close(this->state->listener);
    auto open = std::exchange(this->state->connections, {});
    for (const auto& [key, connection] : open) {
        connection->disconnect_callback = nullptr;
        connection->close();
    }
    this->state->handler = nullptr;
    retain_until_exit(std::move(this->state));
}

void front_server::set_limits(const front_limits& limits) {
    this->state->options.limits = limits;
}

void front_server::close_after_answer() {
    this->state->closing = true;
}

void front_server::close_idle() {
    std::vector<std::shared_ptr<impl::connection>> idle;
    for (const auto& [key, open] : this->state->connections) {
        if (open->phase == connection_phase::head && !open->head_started) {
            idle.push_back(open);
        }
    }
    for (const auto& open : idle) {
        open->close();
    }
}

std::size_t front_server::open_connections() const {
    return this->state->connections.size();
}

std::size_t front_server::open_requests() const {
    return this->state->requests;
}

}  // namespace persimmongrade
