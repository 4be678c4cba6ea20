#include "front_server.h"

#include <h2o.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

#include "persimmongrade/event_log.h"
#include "persimmongrade/listener.h"
#include "persimmongrade/retained.h"

namespace persimmongrade {

namespace {

constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;
constexpr int status_bad_request = 400;
constexpr int status_request_timeout = 408;
constexpr int status_body_too_large = 413;
constexpr int status_head_too_large = 431;
constexpr int status_unavailable = 503;
constexpr duration timeout_check_interval = ms(250);
// Lets the client read its answer before the connection is closed, which may reset it.
constexpr duration linger_timeout = ms(1000);
constexpr std::size_t max_pipelined_bytes = 65536;  // of requests that wait for the answers before them
constexpr std::size_t max_open_requests = 32;       // of one connection, whose answers are due in order
// Bodies up to this size are appended to the head, and written with it.
constexpr std::size_t max_coalesced_body_bytes = 16384;

// What is read from a connection next. Answers are written at the same time.
enum class read_phase : std::uint8_t {
    head,
    body,
    stopped,    // no further request is read: the last answer closes the connection
    lingering,  // the last answer has been written
    closed,
};

bool is_safe_method(const std::string& method) {
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

}  // namespace

struct front_server::impl {
    class connection;

    event_loop& loop;
    front_options options;
    front_handler handler;
    h2o_socket_t* listener = nullptr;
    std::unordered_map<connection*, std::shared_ptr<connection>> connections;
    std::size_t requests = 0;
    std::size_t buffered_bytes = 0;  // request bodies until their answer, and answers until they are written
    bool closing = false;
    timer_id timeout_timer = 0;
    timer_id buffer_timer = 0;  // set while the buffers are to be checked

    impl(event_loop& loop, const front_options& options, front_handler handler)
        : loop(loop), options(options), handler(std::move(handler)) {}

    void accept(h2o_socket_t* socket);
    void enforce_timeouts();
    void schedule_buffer_check();
    void limit_buffers();
};

class front_server::impl::connection : public std::enable_shared_from_this<connection> {
public:
    // A request that was read, in the order in which answers are due.
    struct open_request {
        std::uint64_t serial = 0;
        bool is_head_request = false;
        bool is_safe = true;  // its method changes nothing at the target
        bool closes = false;  // the connection ends after its answer
        std::size_t buffered_bytes = 0;
        std::function<void()> disconnect_callback;
        std::optional<front_answer> answer;  // waits for the answers before it
    };

    impl& owner;
    h2o_socket_t* socket;
    read_phase phase = read_phase::head;
    time_point last_progress_at;  // start of the phase, or arrival of the last bytes of a body
    message_head head;            // of the request that is read
    body_reader reader;
    std::size_t reading_bytes = 0;  // of its body
    bool head_started = false;
    bool awaits_turn = false;  // the next request, or the rest of it, is not read before an answer was written
    bool reading = false;
    std::uint64_t last_serial = 0;
    std::deque<open_request> open_requests;
    bool writing = false;  // the answer to the first open request
    time_point write_started_at{};
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
            self->read_requests();
        });
    }

    void stop_reading() {
        if (std::exchange(this->reading, false)) {
            h2o_socket_read_stop(this->socket);
        }
    }

    std::string_view input() const { return {this->socket->input->bytes, this->socket->input->size}; }

    // ---- Requests ----

    void read_requests() {
        bool more = true;
        while (more && (this->phase == read_phase::head || this->phase == read_phase::body)) {
            more = this->phase == read_phase::head ? this->read_head() : this->read_body();
        }
        if (this->phase == read_phase::lingering) {
            h2o_buffer_consume(&this->socket->input, this->socket->input->size);
        } else if (!this->open_requests.empty() && this->input().size() > max_pipelined_bytes) {
            this->stop_reading();  // until an answer has been written
            this->awaits_turn = true;
        }
    }

    // Returns false when the head must wait, for bytes or for its turn.
    bool read_head() {
        bool has_room = this->open_requests.size() < max_open_requests;
        if (this->input().empty() || !has_room || (this->owner.closing && !this->open_requests.empty())) {
            this->awaits_turn = !this->input().empty();
            return false;
        }
        this->awaits_turn = false;
        if (!this->head_started) {
            this->head_started = true;
            this->last_progress_at = this->owner.loop.now();
        }
        const front_limits& limits = this->owner.options.limits;
        switch (parse_request_head(this->input(), limits.max_header_bytes, this->head)) {
        case parse_status::incomplete:
            return false;
        case parse_status::malformed:
            this->reject(status_bad_request);
            return false;
        case parse_status::too_large:
            this->reject(status_head_too_large);
            return false;
        case parse_status::complete:
            break;
        }
        this->awaits_turn = !this->open_requests.empty() && !this->may_overlap();
        if (this->awaits_turn) {
            return false;
        }
        if (this->head.framing == body_framing::length && this->head.content_length > limits.max_body_bytes) {
            this->reject(status_body_too_large);
            return false;
        }
        h2o_buffer_consume(&this->socket->input, this->head.bytes);
        this->reader = body_reader(this->head.framing, this->head.content_length, limits.max_body_bytes);
        this->phase = read_phase::body;
        this->last_progress_at = this->owner.loop.now();
        const std::string* expect = this->head.header("expect");
        if (expect != nullptr && equals_ignore_case(*expect, "100-continue") && this->input().empty()) {
            static const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
            [[maybe_unused]] ssize_t sent =
                ::send(h2o_socket_get_fd(this->socket), interim.data(), interim.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        }
        return true;
    }

    // A request behind an answer that closes the connection counts as not read, and its client sends it again. Only
    // requests that may run twice are therefore passed on before their turn. They wait for the end of an unsafe
    // request, whose effect the client expects them to see (RFC 9112, section 9.3.2).
    bool may_overlap() const {
        bool unsafe_open = std::any_of(this->open_requests.begin(), this->open_requests.end(),
                                       [](const open_request& open) { return !open.is_safe && !open.answer; });
        return !unsafe_open && this->head.framing == body_framing::none && this->head.header("expect") == nullptr &&
               this->owner.options.may_overlap && this->owner.options.may_overlap(this->head);
    }

    bool read_body() {
        std::size_t used = 0;
        parse_status status = this->reader.read(this->input(), used);
        if (used > 0) {
            h2o_buffer_consume(&this->socket->input, used);
            this->last_progress_at = this->owner.loop.now();
        }
        this->count_buffered(this->reading_bytes, this->reader.body().size());
        if (status == parse_status::complete) {
            this->start_request();
            return true;
        }
        if (status == parse_status::malformed) {
            this->reject(status_bad_request);
        } else if (status == parse_status::too_large) {
            this->reject(status_body_too_large);
        } else if (this->owner.buffered_bytes > this->owner.options.max_buffered_bytes) {
            this->reject(status_unavailable);
        }
        return false;
    }

    void start_request();

    void count_buffered(std::size_t& counted, std::size_t bytes) {
        this->owner.buffered_bytes += bytes - counted;
        counted = bytes;
    }

    open_request* find_unanswered(std::uint64_t serial) {
        auto found = std::find_if(this->open_requests.begin(), this->open_requests.end(),
                                  [&](const open_request& open) { return open.serial == serial && !open.answer; });
        return found == this->open_requests.end() ? nullptr : &*found;
    }

    std::size_t answer_bytes() const {
        std::size_t bytes = 0;
        for (const open_request& open : this->open_requests) {
            bytes += open.answer ? open.buffered_bytes : 0;
        }
        return bytes;
    }

    // ---- Answers ----

    void set_answer(open_request& open, front_answer answer) {
        --this->owner.requests;
        open.disconnect_callback = nullptr;
        this->count_buffered(open.buffered_bytes, answer.body.size());
        open.answer = std::move(answer);
        this->write_next();
        this->owner.schedule_buffer_check();
    }

    // Answers what was read before, then with this status, and closes the connection.
    void reject(int status) {
        log_event("request_rejected", field("status", status), field("received_bytes", this->input().size()),
                  field("method", this->head.method), field("path", this->head.target));
        this->phase = read_phase::stopped;
        this->count_buffered(this->reading_bytes, 0);
        h2o_buffer_consume(&this->socket->input, this->socket->input->size);
        front_answer answer{status, {}, ""};
        if (status == status_unavailable) {
            answer.headers.push_back({"retry-after", "0.5"});
        }
        open_request& rejected = this->open_requests.emplace_back();
        rejected.serial = ++this->last_serial;
        rejected.is_head_request = this->head.method == "HEAD";
        rejected.closes = true;
        rejected.answer = std::move(answer);
        this->write_next();
    }

    void write_next() {
        if (this->writing || this->open_requests.empty() || !this->open_requests.front().answer) {
            return;
        }
        open_request& first = this->open_requests.front();
        front_answer answer = std::move(*first.answer);
        first.closes = first.closes || (this->owner.closing && this->open_requests.size() == 1);
        if (first.closes) {
            this->phase = read_phase::stopped;
        }
        std::string& text = this->out_head;
        text.clear();
        text.append("HTTP/1.1 ").append(std::to_string(answer.status)).append(" ");
        text.append(reason_phrase(answer.status)).append("\r\n");
        bool has_length = false;
        for (const http_header& header : answer.headers) {
            has_length = has_length || equals_ignore_case(header.name, "content-length");
            text.append(header.name).append(": ").append(header.value).append("\r\n");
        }
        bool is_bodiless = answer.status == status_no_content || answer.status == status_not_modified;
        if (!has_length && !is_bodiless) {
            text.append("Content-Length: ").append(std::to_string(answer.body.size())).append("\r\n");
        }
        text.append(first.closes ? "Connection: close\r\n\r\n" : "\r\n");
        this->out_body = first.is_head_request || is_bodiless ? std::string() : std::move(answer.body);
        if (this->out_body.size() <= max_coalesced_body_bytes) {
            text.append(this->out_body);
            this->out_body.clear();
        }
        this->writing = true;
        this->write_started_at = this->owner.loop.now();
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
        this->writing = false;
        open_request written = std::move(this->open_requests.front());
        this->open_requests.pop_front();
        this->count_buffered(written.buffered_bytes, 0);
        // The time limit of a head that is being received runs on.
        if (written.closes || !this->head_started || this->awaits_turn) {
            this->last_progress_at = this->owner.loop.now();
        }
        if (written.closes) {
            this->phase = read_phase::lingering;
            ::shutdown(h2o_socket_get_fd(this->socket), SHUT_WR);
            h2o_buffer_consume(&this->socket->input, this->socket->input->size);
            this->start_reading();
            return;
        }
        this->write_next();
        this->start_reading();
        this->read_requests();
    }

    bool write_stalled(time_point now) const {
        return this->writing && now - this->write_started_at > this->owner.options.limits.idle_timeout;
    }

    // ---- End ----

    // While a connection is not read, its loss is not reported by the loop.
    bool is_lost_unread() const {
        pollfd polled{h2o_socket_get_fd(this->socket), POLLRDHUP, 0};
        return !this->reading && ::poll(&polled, 1, 0) > 0;
    }

    bool is_idle() const {
        return this->phase == read_phase::head && !this->head_started && this->open_requests.empty();
    }

    void close() {
        if (std::exchange(this->phase, read_phase::closed) == read_phase::closed) {
            return;
        }
        std::vector<std::function<void()>> callbacks;
        for (open_request& open : this->open_requests) {
            this->count_buffered(open.buffered_bytes, 0);
            this->owner.requests -= open.answer ? 0 : 1;
            if (open.disconnect_callback) {
                callbacks.push_back(std::move(open.disconnect_callback));
            }
        }
        this->open_requests.clear();
        this->count_buffered(this->reading_bytes, 0);
        h2o_socket_t* closed = std::exchange(this->socket, nullptr);
        h2o_socket_read_stop(closed);
        h2o_socket_close(closed);
        auto kept = this->shared_from_this();
        this->owner.connections.erase(this);
        for (const auto& callback : callbacks) {
            callback();
        }
    }
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

void front_server::impl::connection::start_request() {
    open_request& added = this->open_requests.emplace_back();
    added.serial = ++this->last_serial;
    added.is_head_request = this->head.method == "HEAD";
    added.is_safe = is_safe_method(this->head.method);
    added.closes = !this->head.keep_alive;
    added.buffered_bytes = std::exchange(this->reading_bytes, 0);
    ++this->owner.requests;
    this->phase = added.closes ? read_phase::stopped : read_phase::head;
    this->head_started = false;
    std::weak_ptr<connection> weak = this->weak_from_this();
    auto exchange = std::make_shared<exchange_handle>(
        [weak, serial = added.serial](front_answer answer) {
            auto self = weak.lock();
            if (open_request* open = self ? self->find_unanswered(serial) : nullptr) {
                self->set_answer(*open, std::move(answer));
            }
        },
        [weak, serial = added.serial](std::function<void()> callback) {
            auto self = weak.lock();
            if (open_request* open = self ? self->find_unanswered(serial) : nullptr) {
                open->disconnect_callback = std::move(callback);
            }
        });
    this->owner.handler({std::exchange(this->head, {}), std::move(this->reader.body())}, exchange);
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
    std::vector<std::shared_ptr<connection>> lost;
    for (const auto& [key, open] : this->connections) {
        if (open->is_lost_unread()) {
            lost.push_back(open);
            continue;
        }
        duration age = now - open->last_progress_at;
        bool ended = open->write_stalled(now);
        if (open->phase == read_phase::head && open->head_started) {
            ended = ended || (!open->awaits_turn && age > this->options.limits.header_timeout);
        } else if (open->phase == read_phase::head) {
            ended = ended || (open->is_idle() && age > this->options.limits.idle_timeout);
        } else if (open->phase == read_phase::body) {
            ended = ended || age > this->options.limits.idle_timeout;
        } else if (open->phase == read_phase::lingering) {
            ended = age > linger_timeout;
        }
        if (ended) {
            timed_out.push_back(open);
        }
    }
    for (const auto& open : timed_out) {
        bool incomplete = open->phase == read_phase::body || (open->phase == read_phase::head && open->head_started);
        if (incomplete && !open->write_stalled(now)) {
            open->reject(status_request_timeout);
        } else {
            open->close();
        }
    }
    for (const auto& open : lost) {
        open->close();
    }
}

// Closing a connection calls its callbacks, which must not happen inside of a call of respond().
void front_server::impl::schedule_buffer_check() {
    if (this->buffered_bytes > this->options.max_buffered_bytes && this->buffer_timer == 0) {
        this->buffer_timer = this->loop.after(duration::zero(), [this] {
            this->buffer_timer = 0;
            this->limit_buffers();
        });
    }
}

// Clients that read slowly must not fill the memory: the one that most is held for is given up.
void front_server::impl::limit_buffers() {
    while (this->buffered_bytes > this->options.max_buffered_bytes) {
        std::shared_ptr<connection> largest;
        std::size_t most = 0;
        for (const auto& [key, open] : this->connections) {
            if (std::size_t bytes = open->answer_bytes(); bytes > most) {
                most = bytes;
                largest = open;
            }
        }
        if (!largest) {
            return;  // request bodies; they are refused when they are read
        }
        log_event("slow_client_closed", field("held_bytes", most), field("buffered_bytes", this->buffered_bytes));
        largest->close();
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
    this->state->loop.cancel(this->state->buffer_timer);
    h2o_socket_read_stop(this->state->listener);
    h2o_socket_close(this->state->listener);
    auto open = std::exchange(this->state->connections, {});
    for (const auto& [key, connection] : open) {
        for (auto& request : connection->open_requests) {
            request.disconnect_callback = nullptr;
        }
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
        if (open->is_idle()) {
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
