#include "target_client.h"

#include <h2o.h>

#include <algorithm>
#include <charconv>
#include <unordered_map>
#include <utility>

#include "persimmongrade/listener.h"
#include "persimmongrade/retained.h"

namespace persimmongrade {

namespace {

constexpr std::size_t max_answer_head_bytes = 65536;
constexpr std::size_t max_interim_answers = 16;
constexpr duration expiry_check_interval = ms(500);
constexpr duration keep_alive_margin = ms(700);  // closes an idle connection this long before the target does
constexpr duration max_recent_idle = ms(1500);   // a connection idle for less is unlikely to be closed yet
constexpr int first_final_status = 200;

enum class connection_phase : std::uint8_t {
    connecting,
    waiting_head,
    reading_body,
    finishing_write,  // answered before the event loop reported the write of the request as complete
    ending,           // the answer and its connection ended before the write of the request was reported
    idle,
    closed,
};

}  // namespace

struct target_client::impl {
    class connection;

    event_loop& loop;
    target_client_options options;
    std::unordered_map<connection*, std::shared_ptr<connection>> connections;
    std::unordered_map<std::string, std::vector<connection*>>
        idle_connections;  // by target; the most recently used one is last
    std::unordered_map<call_id, connection*> in_flight;
    std::vector<std::pair<std::function<void(target_answer)>, target_answer>> undelivered;
    timer_id delivery_hook = 0;
    timer_id expiry_timer = 0;
    call_id next_id = 1;
    std::size_t buffered_bytes = 0;  // of answer bodies

    impl(event_loop& loop, const target_client_options& options) : loop(loop), options(options) {}

    void open(call_id id, target_call call, std::function<void(target_answer)> callback);
    bool reuse(call_id id, target_call& call, std::function<void(target_answer)>& callback);
    bool report();
    void close_expired();
    void limit_buffers();
};

class target_client::impl::connection : public std::enable_shared_from_this<connection> {
public:
    impl& owner;
    h2o_socket_t* socket = nullptr;
    connection_phase phase = connection_phase::connecting;
    time_point last_active_at;
    duration max_idle;
    timer_id connect_timer = 0;
    call_id id = 0;
    target_call call;
    std::function<void(target_answer)> callback;
    target_answer answer;
    body_reader reader;
    std::size_t buffered_bytes = 0;  // as counted in the owner's sum
    std::size_t interim_answers = 0;
    bool skipping_stale = false;  // the answer being read belongs to another attempt
    bool skipped_stale = false;
    bool written = false;
    bool reused = false;

    connection(impl& owner) : owner(owner), last_active_at(owner.loop.now()), max_idle(owner.options.max_idle) {}

    void start(call_id new_id, target_call new_call, std::function<void(target_answer)> new_callback) {
        this->id = new_id;
        this->call = std::move(new_call);
        this->callback = std::move(new_callback);
        this->answer = {};
        this->written = false;
        this->skipping_stale = false;
        this->interim_answers = 0;
        this->owner.in_flight[new_id] = this;
    }

    void count_buffered(std::size_t bytes) {
        this->owner.buffered_bytes += bytes - this->buffered_bytes;
        this->buffered_bytes = bytes;
    }

    bool connect() {
        sockaddr_storage storage{};
        socklen_t length = this->call.address.to_sockaddr(storage);
        this->socket = h2o_socket_connect(this->owner.loop.native(), reinterpret_cast<sockaddr*>(&storage), length,
                                          [](h2o_socket_t* sock, const char* failure) {
                                              auto self = static_cast<connection*>(sock->data)->shared_from_this();
                                              self->on_connected(failure);
                                          });
        if (this->socket == nullptr) {
            return false;
        }
        this->socket->data = this;
        this->connect_timer = this->owner.loop.after(this->owner.options.connect_timeout, [this] {
            this->connect_timer = 0;
            this->fail(target_call_status::unreachable, "connect timed out");
        });
        return true;
    }

    void on_connected(const char* failure) {
        this->owner.loop.cancel(std::exchange(this->connect_timer, 0));
        if (this->phase != connection_phase::connecting) {
            return;
        }
        if (failure != nullptr) {
            this->answer.refused = true;
            this->fail(target_call_status::unreachable, failure);
            return;
        }
        set_no_delay(this->socket);
        set_liveness(this->socket, this->owner.options.unacknowledged_timeout);
        h2o_socket_read_start(this->socket, [](h2o_socket_t* sock, const char* read_failure) {
            auto self = static_cast<connection*>(sock->data)->shared_from_this();
            self->on_read(read_failure);
        });
        this->write();
    }

    void write() {
        this->phase = connection_phase::waiting_head;
        this->last_active_at = this->owner.loop.now();
        h2o_iovec_t text = h2o_iovec_init(this->call.text.data(), this->call.text.size());
        h2o_socket_write(this->socket, &text, 1, [](h2o_socket_t* sock, const char* failure) {
            auto self = static_cast<connection*>(sock->data)->shared_from_this();
            self->written = true;
            if (self->phase == connection_phase::finishing_write) {
                self->return_to_pool(failure == nullptr);
            } else if (failure != nullptr) {
                self->fail(target_call_status::lost, "write failed");
            }
        });
    }

    std::string_view input() const { return {this->socket->input->bytes, this->socket->input->size}; }

    void on_read(const char* failure) {
        if (this->phase == connection_phase::idle || this->phase == connection_phase::finishing_write) {
            this->close();  // closed by the target, or sent bytes that belong to no request
            return;
        }
        if (failure == nullptr) {
            this->advance();
            return;
        }
        bool ended = failure == h2o_socket_error_closed;
        bool whole = ended && this->phase == connection_phase::reading_body && !this->skipping_stale &&
                     this->answer.head.framing == body_framing::until_close;
        if (whole) {
            this->finish_at_end();
            return;
        }
        this->fail(target_call_status::lost, ended ? "connection closed by the target" : "connection reset");
    }

    // A write that fails takes a reset from the socket, and the next read then returns an end of file instead. Both
    // happen in one poll, so that the failed write is reported before the timer runs.
    void finish_at_end() {
        if (this->written) {
            this->finish(false);
            return;
        }
        this->phase = connection_phase::ending;
        h2o_socket_read_stop(this->socket);
        this->owner.loop.after(duration::zero(), [self = this->shared_from_this()] {
            if (self->phase == connection_phase::ending) {
                self->finish(false);
            }
        });
    }

    void advance() {
        while (this->phase == connection_phase::waiting_head || this->phase == connection_phase::reading_body) {
            if (this->phase == connection_phase::waiting_head && !this->read_head()) {
                return;
            }
            std::size_t used = 0;
            parse_status status = this->reader.read(this->input(), used);
            h2o_buffer_consume(&this->socket->input, used);
            this->count_buffered(this->reader.body().size());
            if (status == parse_status::incomplete) {
                this->owner.limit_buffers();
                return;
            }
            if (status != parse_status::complete) {
                this->fail(target_call_status::lost, "answer body is malformed or too large");
                return;
            }
            if (std::exchange(this->skipping_stale, false)) {
                this->skipped_stale = true;
                this->phase = connection_phase::waiting_head;
                continue;
            }
            this->finish(true);
            return;
        }
    }

    bool read_head() {
        message_head& head = this->answer.head;
        while (true) {
            switch (parse_response_head(this->input(), max_answer_head_bytes, this->call.is_head_request, head)) {
            case parse_status::incomplete:
                return false;
            case parse_status::malformed:
            case parse_status::too_large:
                this->fail(target_call_status::lost, "answer head is malformed or too large");
                return false;
            case parse_status::complete:
                break;
            }
            h2o_buffer_consume(&this->socket->input, head.bytes);
            if (head.status >= first_final_status) {
                break;
            }
            if (++this->interim_answers > max_interim_answers) {
                this->fail(target_call_status::lost, "too many interim answers");
                return false;
            }
        }
        const std::string* attempt = nullptr;
        if (!this->call.attempt_header.empty()) {
            attempt = head.header(this->call.attempt_header);
        }
        this->skipping_stale = attempt != nullptr && *attempt != this->call.attempt;
        this->reader = body_reader(head.framing, head.content_length, this->call.max_answer_bytes);
        this->phase = connection_phase::reading_body;
        return true;
    }

    // Applies the `timeout` of the target's Keep-Alive header, after which the target closes an idle connection.
    void apply_keep_alive_timeout() {
        const std::string* text = this->answer.head.header("keep-alive");
        std::size_t place = text == nullptr ? std::string::npos : text->find("timeout=");
        if (place == std::string::npos) {
            return;
        }
        constexpr std::size_t name_size = 8;
        std::int64_t seconds = 0;
        std::from_chars(text->data() + place + name_size, text->data() + text->size(), seconds);
        constexpr std::int64_t ms_per_second = 1000;
        duration stated = ms(seconds * ms_per_second) - keep_alive_margin;
        this->max_idle = std::max(duration::zero(), std::min(this->owner.options.max_idle, stated));
    }

    void finish(bool connection_open) {
        this->apply_keep_alive_timeout();
        bool keep = connection_open && this->answer.head.keep_alive && !this->skipped_stale && this->input().empty() &&
                    this->max_idle > duration::zero();
        this->answer.status = target_call_status::answered;
        this->answer.body = std::move(this->reader.body());
        this->count_buffered(0);
        this->answer.reused = this->reused;
        this->report();
        if (!keep) {
            this->close();
        } else if (this->written) {
            this->return_to_pool(true);
        } else {
            this->phase = connection_phase::finishing_write;
        }
    }

    // Makes the connection available to the next request, after the current one has been written and answered.
    void return_to_pool(bool sound) {
        auto& idle = this->owner.idle_connections[this->call.target];
        if (!sound || idle.size() >= this->owner.options.max_idle_per_target) {
            this->close();
            return;
        }
        this->phase = connection_phase::idle;
        this->last_active_at = this->owner.loop.now();
        this->reused = true;
        this->call.text.clear();
        idle.push_back(this);
    }

    void fail(target_call_status status, const std::string& reason) {
        this->answer.status = status;
        this->answer.reason = reason;
        this->answer.reused = this->reused;
        this->report();
        this->close();
    }

    void report() {
        this->owner.in_flight.erase(this->id);
        if (this->callback) {
            this->owner.undelivered.emplace_back(std::exchange(this->callback, nullptr), std::move(this->answer));
        }
    }

    void close() {
        if (this->phase == connection_phase::closed) {
            return;
        }
        if (this->phase == connection_phase::idle) {
            std::erase(this->owner.idle_connections[this->call.target], this);
        }
        this->phase = connection_phase::closed;
        this->count_buffered(0);
        this->owner.in_flight.erase(this->id);
        this->owner.loop.cancel(std::exchange(this->connect_timer, 0));
        h2o_socket_read_stop(this->socket);
        h2o_socket_close(std::exchange(this->socket, nullptr));
        // Kept alive until the next poll, because this may run inside one of the connection's own callbacks.
        auto kept = this->shared_from_this();
        this->owner.connections.erase(this);
        this->owner.loop.after(duration::zero(), [kept] {});
    }
};

void target_client::impl::open(call_id id, target_call call, std::function<void(target_answer)> callback) {
    auto added = std::make_shared<connection>(*this);
    this->connections.emplace(added.get(), added);
    added->start(id, std::move(call), std::move(callback));
    if (!added->connect()) {
        added->answer.status = target_call_status::unreachable;
        added->answer.reason = "socket could not be opened";
        added->report();
        added->phase = connection_phase::closed;
        this->connections.erase(added.get());
    }
}

bool target_client::impl::reuse(call_id id, target_call& call, std::function<void(target_answer)>& callback) {
    auto found = this->idle_connections.find(call.target);
    if (found == this->idle_connections.end() || found->second.empty()) {
        return false;
    }
    connection* last = found->second.back();
    duration age = this->loop.now() - last->last_active_at;
    bool too_old = age >= last->max_idle || (call.recently_used_only && age >= max_recent_idle) ||
                   last->call.address != call.address;
    if (too_old) {
        return false;
    }
    found->second.pop_back();
    last->start(id, std::move(call), std::move(callback));
    last->write();
    return true;
}

bool target_client::impl::report() {
    auto reported = std::exchange(this->undelivered, {});
    for (auto& [callback, answer] : reported) {
        callback(std::move(answer));
    }
    return !reported.empty();
}

void target_client::impl::close_expired() {
    time_point now = this->loop.now();
    std::vector<connection*> old;
    for (auto& [target, idle] : this->idle_connections) {
        for (connection* open : idle) {
            if (now - open->last_active_at >= open->max_idle) {
                old.push_back(open);
            }
        }
    }
    for (connection* open : old) {
        open->close();
    }
    std::erase_if(this->idle_connections, [](const auto& entry) { return entry.second.empty(); });
}

void target_client::impl::limit_buffers() {
    while (this->buffered_bytes > this->options.max_buffered_bytes) {
        auto largest = std::max_element(this->connections.begin(), this->connections.end(), [](auto& a, auto& b) {
            return a.first->buffered_bytes < b.first->buffered_bytes;
        });
        auto kept = largest->second;
        kept->fail(target_call_status::lost, "answer is larger than the memory for answers");
    }
}

target_client::target_client(event_loop& loop, const target_client_options& options)
    : state(std::make_unique<impl>(loop, options)) {
    this->state->delivery_hook = loop.after_each_poll([client = this->state.get()] { return client->report(); });
    this->state->expiry_timer =
        loop.every(expiry_check_interval, [client = this->state.get()] { client->close_expired(); });
}

target_client::~target_client() {
    this->state->loop.cancel(this->state->delivery_hook);
    this->state->loop.cancel(this->state->expiry_timer);
    while (!this->state->connections.empty()) {
        auto open = this->state->connections.begin()->second;
        open->callback = nullptr;
        open->close();
    }
    this->state->undelivered.clear();
    retain_until_exit(std::move(this->state));
}

call_id target_client::send(target_call call, std::function<void(target_answer)> callback) {
    call_id id = this->state->next_id++;
    if (!this->state->reuse(id, call, callback)) {
        this->state->open(id, std::move(call), std::move(callback));
    }
    return id;
}

void target_client::cancel(call_id id) {
    auto found = this->state->in_flight.find(id);
    if (found != this->state->in_flight.end()) {
        auto open = found->second->shared_from_this();
        open->callback = nullptr;
        open->close();
    }
}

void target_client::close_idle(const std::string& target) {
    auto found = this->state->idle_connections.find(target);
    if (found == this->state->idle_connections.end()) {
        return;
    }
    auto idle = found->second;
    for (impl::connection* open : idle) {
        open->close();
    }
}

}  // namespace persimmongrade
