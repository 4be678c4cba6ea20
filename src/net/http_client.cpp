#include "persimmongrade/http_client.h"

#include <h2o.h>
#include <h2o/http1client.h>

#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "persimmongrade/retained.h"

namespace persimmongrade {

namespace {

constexpr std::size_t pool_capacity = 512;  // idle and busy connections per address
constexpr std::uint64_t pool_idle_timeout_ms =
    2000;                                       // below the server's keep-alive time, so that reuse rarely races it
constexpr std::uint64_t io_timeout_ms = 60000;  // last resort; callers cancel long before
constexpr std::size_t max_head_bytes = 65536;   // of an answer
constexpr std::size_t max_interim_answers = 16;
constexpr duration head_check_interval = ms(5);

bool has_known_length(const h2o_header_t* headers, std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
        const h2o_iovec_t& name = *headers[i].name;
        if (h2o_lcstris(name.base, name.len, H2O_STRLIT("content-length")) ||
            h2o_lcstris(name.base, name.len, H2O_STRLIT("transfer-encoding"))) {
            return true;
        }
    }
    return false;
}

std::string lower_case(const h2o_iovec_t& text) {
    std::string result(text.base, text.len);
    h2o_strtolower(result.data(), result.size());
    return result;
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
    struct pending_call {
        impl* owner = nullptr;
        call_id id = 0;
        http_call call;
        std::function<void(http_call_result)> callback;
        h2o_http1client_t* client = nullptr;
        std::string request_text;
        h2o_iovec_t request_buffer{};
        http_response response;
        http_call_status status = http_call_status::ok;
        std::size_t interim_answers = 0;
        bool head_received = false;
        bool written = false;
    };

    event_loop& loop;
    h2o_multithread_queue_t* queue;
    h2o_multithread_receiver_t getaddr_receiver{};
    h2o_timeout_t io_timeout{};
    h2o_http1client_ctx_t context{};
    std::map<ip_address, std::unique_ptr<h2o_socketpool_t>> pools;
    std::unordered_map<call_id, std::unique_ptr<pending_call>> calls;
    std::vector<std::unique_ptr<pending_call>> finished;  // to be reported after the poll
    timer_id report_hook = 0;
    time_point heads_checked_at{};
    call_id next_id = 1;

    explicit impl(event_loop& loop) : loop(loop), queue(h2o_multithread_create_queue(loop.native())) {
        this->report_hook = loop.after_each_poll([this] {
            this->end_oversized_heads();
            return this->report_finished();
        });
        h2o_multithread_register_receiver(this->queue, &this->getaddr_receiver, h2o_hostinfo_getaddr_receiver);
        h2o_timeout_init(loop.native(), &this->io_timeout, io_timeout_ms);
        this->context.loop = loop.native();
        this->context.getaddr_receiver = &this->getaddr_receiver;
        this->context.io_timeout = &this->io_timeout;
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
        const http_call& call = pending.call;
        if (call.reuse_connection) {
            h2o_http1client_connect_with_pool(&pending.client, &pending, &this->context, this->pool_for(call.address),
                                              on_connect);
            return;
        }
        h2o_iovec_t host = h2o_iovec_init(call.address.ip.data(), call.address.ip.size());
        h2o_http1client_connect(&pending.client, &pending, &this->context, host, call.address.port, 0, on_connect);
    }

    // Reports after the poll, because h2o still uses the client inside its own callback.
    void finish(pending_call* pending, http_call_status status) {
        pending->status = status;
        this->finished.push_back(std::move(this->calls.extract(pending->id).mapped()));
    }

    // h2o buffers the head of an answer without a limit, and the target may send it without end.
    void end_oversized_heads() {
        time_point now = this->loop.now();
        if (now - this->heads_checked_at < head_check_interval) {
            return;
        }
        this->heads_checked_at = now;
        std::vector<pending_call*> oversized;
        for (const auto& [id, pending] : this->calls) {
            bool reads_head = pending->written && !pending->head_received && pending->client->sock != nullptr;
            if (reads_head && pending->client->sock->input->size > max_head_bytes) {
                oversized.push_back(pending.get());
            }
        }
        for (pending_call* pending : oversized) {
            h2o_http1client_cancel(std::exchange(pending->client, nullptr));
            this->finish(pending, http_call_status::connection_lost);
        }
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

    static h2o_http1client_head_cb on_connect(h2o_http1client_t* client, const char* failure, h2o_iovec_t** buffers,
                                              size_t* buffer_count, int* method_is_head) {
        auto* pending = static_cast<pending_call*>(client->data);
        if (failure != nullptr) {
            pending->owner->finish(pending, http_call_status::connect_failed);
            return nullptr;
        }
        client->informational_cb = on_interim_head;
        pending->written = true;
        pending->request_text = serialize(pending->call);
        pending->request_buffer = h2o_iovec_init(pending->request_text.data(), pending->request_text.size());
        *buffers = &pending->request_buffer;
        *buffer_count = 1;
        *method_is_head = pending->call.method == "HEAD";
        return on_head;
    }

    // h2o skips interim answers without a limit. A result other than 0 makes it close the connection.
    static int on_interim_head(h2o_http1client_t* client, int, int, h2o_iovec_t, h2o_header_t*, size_t) {
        auto* pending = static_cast<pending_call*>(client->data);
        if (++pending->interim_answers <= max_interim_answers) {
            return 0;
        }
        pending->owner->finish(pending, http_call_status::connection_lost);
        return -1;
    }

    static h2o_http1client_body_cb on_head(h2o_http1client_t* client, const char* failure, int, int status, h2o_iovec_t,
                                           h2o_header_t* headers, size_t header_count, int) {
        auto* pending = static_cast<pending_call*>(client->data);
        if (failure != nullptr && failure != h2o_http1client_error_is_eos) {
            pending->owner->finish(pending, http_call_status::connection_lost);
            return nullptr;
        }
        if (!is_valid_response_status(status)) {
            // Closed here, because h2o would return the connection to the pool after an answer without a body.
            h2o_socket_close(h2o_http1client_steal_socket(client));
            pending->owner->finish(pending, http_call_status::connection_lost);
            return nullptr;
        }
        pending->head_received = true;
        pending->response.status = status;
        pending->response.headers.reserve(header_count);
        for (size_t i = 0; i < header_count; ++i) {
            pending->response.headers.push_back(
                {lower_case(*headers[i].name), std::string(headers[i].value.base, headers[i].value.len)});
        }
        if (failure == h2o_http1client_error_is_eos) {
            pending->owner->finish(pending, http_call_status::ok);
            return nullptr;
        }
        if (!has_known_length(headers, header_count)) {
            // Without a length, a cut answer looks like a whole one.
            pending->owner->finish(pending, http_call_status::answer_truncated);
            return nullptr;
        }
        return on_body;
    }

    static int on_body(h2o_http1client_t* client, const char* failure) {
        auto* pending = static_cast<pending_call*>(client->data);
        if (failure != nullptr && failure != h2o_http1client_error_is_eos) {
            pending->owner->finish(pending, http_call_status::answer_truncated);
            return -1;
        }
        h2o_buffer_t* input = client->sock->input;
        if (pending->response.body.size() + input->size > pending->call.max_answer_bytes) {
            pending->owner->finish(pending, http_call_status::answer_too_large);
            return -1;
        }
        pending->response.body.append(input->bytes, input->size);
        h2o_buffer_consume(&client->sock->input, input->size);
        if (failure == h2o_http1client_error_is_eos) {
            pending->owner->finish(pending, http_call_status::ok);
        }
        return 0;
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
    if (!node.empty() && node.mapped()->client != nullptr) {
        h2o_http1client_cancel(node.mapped()->client);
    }
    for (auto& pending : this->state->finished) {
        if (pending && pending->id == id) {
            pending.reset();
        }
    }
}

bool http_client::request_written(call_id id) const {
    auto found = this->state->calls.find(id);
    return found != this->state->calls.end() && found->second->written;
}

}  // namespace persimmongrade
