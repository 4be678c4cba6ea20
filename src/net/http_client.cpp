#include "persimmongrade/http_client.h"

#include <h2o.h>
#include <h2o/socketpool.h>

#include <map>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "persimmongrade/http_message.h"
#include "persimmongrade/retained.h"

namespace persimmongrade {

namespace {

constexpr std::size_t pool_capacity = 512;  // idle and busy connections per address
constexpr std::uint64_t pool_idle_timeout_ms =
    2000;                                       // below the server's keep-alive time, so that reuse rarely races it
constexpr std::uint64_t io_timeout_ms = 60000;  // without progress; callers cancel long before
constexpr std::size_t max_head_bytes = 65536;   // of an answer
constexpr std::size_t max_interim_answers = 16;
constexpr int first_final_status = 200;

void make_lower_case(std::string& text) {
    h2o_strtolower(text.data(), text.size());
}

// Appends to one string of sufficient size: this runs for each forwarded request.
std::string serialize(const http_call& call) {
    constexpr std::size_t fixed_bytes = 160;  // request line, host, connection and content-length, without the target
    constexpr std::size_t separator_bytes = 4;
    std::size_t size = fixed_bytes + call.target.size() + call.body.size();
    for (const http_header& header : call.headers) {
        size += header.name.size() + header.value.size() + separator_bytes;
    }
    std::string text;
    text.reserve(size);
    text.append(call.method).append(" ").append(call.target).append(" HTTP/1.1\r\nhost: ");
    text.append(call.host.empty() ? call.address.to_string() : call.host);
    text.append(call.reuse_connection ? "\r\nconnection: keep-alive\r\n" : "\r\nconnection: close\r\n");
    for (const http_header& header : call.headers) {
        text.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
        text.append("content-length: ").append(std::to_string(call.body.size())).append("\r\n");
    }
    return text.append("\r\n").append(call.body);
}

}  // namespace

struct http_client::impl {
    enum class call_phase : std::uint8_t { connecting, writing, reading_head, reading_body };

    struct pending_call;

    // h2o finds the call of a timeout by the address of its entry, which is the first member.
    struct io_timeout_entry {
        h2o_timeout_entry_t entry{};
        pending_call* call = nullptr;
    };

    struct pending_call {
        impl* owner = nullptr;
        call_id id = 0;
        http_call call;
        std::function<void(http_call_result)> callback;
        call_phase phase = call_phase::connecting;
        h2o_socketpool_connect_request_t* pool_request = nullptr;
        h2o_socket_t* socket = nullptr;
        io_timeout_entry timeout;
        std::string request_text;
        message_head head;
        body_reader reader;
        http_response response;
        http_call_status status = http_call_status::ok;
        std::size_t interim_answers = 0;

        std::string_view input() const { return {this->socket->input->bytes, this->socket->input->size}; }
    };

    event_loop& loop;
    h2o_multithread_queue_t* queue;
    h2o_multithread_receiver_t getaddr_receiver{};
    h2o_timeout_t io_timeout{};
    std::map<ip_address, std::unique_ptr<h2o_socketpool_t>> pools;
    std::unordered_map<call_id, std::unique_ptr<pending_call>> calls;
    std::vector<std::unique_ptr<pending_call>> finished;  // to be reported after the poll
    timer_id report_hook = 0;
    call_id next_id = 1;

    explicit impl(event_loop& loop) : loop(loop), queue(h2o_multithread_create_queue(loop.native())) {
        this->report_hook = loop.after_each_poll([this] { return this->report_finished(); });
        h2o_multithread_register_receiver(this->queue, &this->getaddr_receiver, h2o_hostinfo_getaddr_receiver);
        h2o_timeout_init(loop.native(), &this->io_timeout, io_timeout_ms);
    }

    h2o_socketpool_t* pool_for(const ip_address& address) {
        auto& pool = this->pools[address];
        if (!pool) {
            pool = std::make_unique<h2o_socketpool_t>();
            sockaddr_storage storage{};
            socklen_t length = address.to_sockaddr(storage);
            h2o_socketpool_init_by_address(pool.get(), reinterpret_cast<sockaddr*>(&storage), length, 0, pool_capacity);
            h2o_socketpool_set_timeout(pool.get(), this->loop.native(), pool_idle_timeout_ms);
        }
        return pool.get();
    }

    void start(pending_call& pending) {
        pending.timeout.call = &pending;
        pending.timeout.entry.cb = on_timeout;
        this->restart_timeout(pending);
        const http_call& call = pending.call;
        if (call.reuse_connection) {
            h2o_socketpool_connect(&pending.pool_request, this->pool_for(call.address), this->loop.native(),
                                   &this->getaddr_receiver, on_pool_connect, &pending);
            return;
        }
        sockaddr_storage storage{};
        socklen_t length = call.address.to_sockaddr(storage);
        pending.socket =
            h2o_socket_connect(this->loop.native(), reinterpret_cast<sockaddr*>(&storage), length, on_connect);
        if (pending.socket == nullptr) {
            this->finish(pending, http_call_status::connect_failed);
            return;
        }
        pending.socket->data = &pending;
    }

    void restart_timeout(pending_call& pending) {
        h2o_timeout_unlink(&pending.timeout.entry);
        h2o_timeout_link(this->loop.native(), &this->io_timeout, &pending.timeout.entry);
    }

    static void release(pending_call& pending, bool reusable) {
        h2o_timeout_unlink(&pending.timeout.entry);
        if (pending.pool_request != nullptr) {
            h2o_socketpool_cancel_connect(std::exchange(pending.pool_request, nullptr));
        }
        h2o_socket_t* socket = std::exchange(pending.socket, nullptr);
        if (socket == nullptr) {
            return;
        }
        h2o_socket_read_stop(socket);
        if (reusable) {
            h2o_socketpool_return(pending.owner->pool_for(pending.call.address), socket);
        } else {
            h2o_socket_close(socket);
        }
    }

    // Reports after the poll, so that no callback runs inside send or inside a callback of h2o.
    void finish(pending_call& pending, http_call_status status) {
        bool reusable = status == http_call_status::ok && pending.call.reuse_connection && pending.head.keep_alive &&
                        pending.input().empty();
        release(pending, reusable);
        pending.status = status;
        this->finished.push_back(std::move(this->calls.extract(pending.id).mapped()));
    }

    // A callback may cancel another finished call. Those that finish meanwhile are reported after the next poll.
    bool report_finished() {
        std::size_t count = this->finished.size();
        for (std::size_t i = 0; i < count; ++i) {
            auto pending = std::move(this->finished[i]);
            if (pending) {
                pending->callback({pending->status, std::move(pending->response)});
            }
        }
        this->finished.erase(this->finished.begin(), this->finished.begin() + static_cast<std::ptrdiff_t>(count));
        return count > 0;
    }

    static void on_pool_connect(h2o_socket_t* socket, const char* failure, void* data) {
        auto* pending = static_cast<pending_call*>(data);
        pending->pool_request = nullptr;
        if (failure != nullptr) {
            pending->owner->finish(*pending, http_call_status::connect_failed);
            return;
        }
        pending->socket = socket;
        socket->data = pending;
        pending->owner->write(*pending);
    }

    static void on_connect(h2o_socket_t* socket, const char* failure) {
        auto* pending = static_cast<pending_call*>(socket->data);
        if (failure != nullptr) {
            pending->owner->finish(*pending, http_call_status::connect_failed);
            return;
        }
        pending->owner->write(*pending);
    }

    void write(pending_call& pending) {
        pending.phase = call_phase::writing;
        this->restart_timeout(pending);
        pending.request_text = serialize(pending.call);
        h2o_iovec_t text = h2o_iovec_init(pending.request_text.data(), pending.request_text.size());
        h2o_socket_write(pending.socket, &text, 1, on_written);
    }

    // Reading starts here: a write that fails takes a reset from the socket, and a read would return an end of file.
    static void on_written(h2o_socket_t* socket, const char* failure) {
        auto* pending = static_cast<pending_call*>(socket->data);
        if (failure != nullptr) {
            pending->owner->finish(*pending, http_call_status::connection_lost);
            return;
        }
        pending->phase = call_phase::reading_head;
        pending->owner->restart_timeout(*pending);
        h2o_socket_read_start(socket, on_read);
    }

    static void on_read(h2o_socket_t* socket, const char* failure) {
        auto* pending = static_cast<pending_call*>(socket->data);
        if (failure != nullptr) {
            pending->owner->finish(*pending, pending->phase == call_phase::reading_head
                                                 ? http_call_status::connection_lost
                                                 : http_call_status::answer_truncated);
            return;
        }
        pending->owner->restart_timeout(*pending);
        if (pending->phase == call_phase::reading_head && !pending->owner->read_head(*pending)) {
            return;
        }
        pending->owner->read_body(*pending);
    }

    // True once the body can be read.
    bool read_head(pending_call& pending) {
        message_head& head = pending.head;
        while (true) {
            parse_status status =
                parse_response_head(pending.input(), max_head_bytes, pending.call.method == "HEAD", head);
            if (status == parse_status::incomplete) {
                return false;
            }
            if (status != parse_status::complete) {
                this->finish(pending, http_call_status::connection_lost);
                return false;
            }
            h2o_buffer_consume(&pending.socket->input, head.bytes);
            if (head.status >= first_final_status) {
                break;
            }
            if (++pending.interim_answers > max_interim_answers) {
                this->finish(pending, http_call_status::connection_lost);
                return false;
            }
        }
        pending.response.status = head.status;
        pending.response.headers = std::move(head.headers);
        for (http_header& header : pending.response.headers) {
            make_lower_case(header.name);
        }
        if (head.framing == body_framing::until_close) {
            // Without a length, a cut answer looks like a whole one.
            this->finish(pending, http_call_status::answer_truncated);
            return false;
        }
        pending.reader = body_reader(head.framing, head.content_length, pending.call.max_answer_bytes);
        pending.phase = call_phase::reading_body;
        return true;
    }

    void read_body(pending_call& pending) {
        std::size_t used = 0;
        parse_status status = pending.reader.read(pending.input(), used);
        h2o_buffer_consume(&pending.socket->input, used);
        switch (status) {
        case parse_status::incomplete:
            return;
        case parse_status::complete:
            pending.response.body = std::move(pending.reader.body());
            this->finish(pending, http_call_status::ok);
            return;
        case parse_status::malformed:
            this->finish(pending, http_call_status::answer_truncated);
            return;
        case parse_status::too_large:
            this->finish(pending, http_call_status::answer_too_large);
            return;
        }
    }

    static void on_timeout(h2o_timeout_entry_t* entry) {
        pending_call* pending = reinterpret_cast<io_timeout_entry*>(entry)->call;
        http_call_status status = http_call_status::connection_lost;
        if (pending->phase == call_phase::connecting) {
            status = http_call_status::connect_failed;
        } else if (pending->phase == call_phase::reading_body) {
            status = http_call_status::answer_truncated;
        }
        pending->owner->finish(*pending, status);
    }
};

http_client::http_client(event_loop& loop) : state(std::make_unique<impl>(loop)) {}

http_client::~http_client() {
    this->state->loop.cancel(this->state->report_hook);
    while (!this->state->calls.empty()) {
        this->cancel(this->state->calls.begin()->first);
    }
    // Idle pooled sockets and the getaddr receiver stay registered with the loop until the process ends.
    retain_until_exit(std::move(this->state));
}

call_id http_client::send(http_call call, std::function<void(http_call_result)> callback) {
    auto pending = std::make_unique<impl::pending_call>();
    pending->owner = this->state.get();
    pending->id = this->state->next_id++;
    pending->call = std::move(call);
    pending->callback = std::move(callback);
    call_id id = pending->id;
    impl::pending_call& started = *pending;
    this->state->calls.emplace(id, std::move(pending));
    this->state->start(started);
    return id;
}

void http_client::cancel(call_id id) {
    auto node = this->state->calls.extract(id);
    if (!node.empty()) {
        impl::release(*node.mapped(), false);
    }
    for (auto& pending : this->state->finished) {
        if (pending && pending->id == id) {
            pending.reset();
        }
    }
}

bool http_client::request_written(call_id id) const {
    auto found = this->state->calls.find(id);
    return found != this->state->calls.end() && found->second->phase != impl::call_phase::connecting;
}

}  // namespace persimmongrade
