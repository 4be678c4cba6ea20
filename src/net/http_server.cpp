#include "persimmongrade/http_server.h"

#include <h2o.h>
#include <h2o/http1.h>

#include <cerrno>
#include <charconv>
#include <utility>

#include "persimmongrade/error.h"
#include "persimmongrade/listener.h"
#include "persimmongrade/retained.h"
#include "server_connections.h"

namespace persimmongrade {

namespace {

constexpr duration close_check_period = ms(20);
constexpr std::string_view content_length = "content-length";
constexpr int status_request_timeout = 408;
constexpr int status_too_large = 413;
constexpr int status_caller_closed = 499;  // never reaches a caller
// h2o measures its own timeout from the last answer, so it would cut a request that starts late. It only backs up ours.
constexpr duration h2o_timeout_margin = ms(5000);

std::string to_string(const h2o_iovec_t& text) {
    return {text.base, text.len};
}

// The length that the handler states in a content-length header, or else the size of the body.
std::size_t declared_length(const http_response& response) {
    std::size_t length = response.body.size();
    if (auto text = response.header(content_length)) {
        std::from_chars(text->data(), text->data() + text->size(), length);
    }
    return length;
}

class server_exchange;

// What the exchanges of one server share.
struct exchange_table {
    h2o_req_t* answered = nullptr;  // the request that respond() is sending right now
    std::size_t open_count = 0;
    std::vector<std::weak_ptr<server_exchange>> watched;  // exchanges with a close callback
};

class server_exchange : public http_exchange, public std::enable_shared_from_this<server_exchange> {
public:
    server_exchange(h2o_req_t* request, exchange_table& table) : request(request), table(table) {
        ++this->table.open_count;
    }

    void respond(http_response response) override {
        if (this->request == nullptr) {
            return;
        }
        // The callback often owns what owns this exchange. It is released when this function returns.
        auto released = std::exchange(this->close_callback, nullptr);
        h2o_req_t* req = this->request;
        this->detach();
        req->res.status = response.status;
        req->res.reason = response.status < 400 ? "OK" : "Error";
        req->res.content_length = declared_length(response);
        if (req->res.content_length != response.body.size() && to_string(req->method) != "HEAD") {
            req->http1_is_persistent = 0;  // the closed connection shows the caller where the body ends
        }
        for (const http_header& header : response.headers) {
            if (header.name == content_length) {
                continue;
            }
            h2o_iovec_t name = h2o_strdup(&req->pool, header.name.data(), header.name.size());
            h2o_iovec_t value = h2o_strdup(&req->pool, header.value.data(), header.value.size());
            h2o_add_header_by_str(&req->pool, &req->res.headers, name.base, name.len, 1, nullptr, value.base,
                                  value.len);
        }
        this->table.answered = req;
        h2o_send_inline(req, response.body.data(), response.body.size());
        this->table.answered = nullptr;
    }

    bool closed() const override { return this->request == nullptr; }

    void on_close(std::function<void()> callback) override {
        this->close_callback = std::move(callback);
        if (this->close_callback) {
            this->table.watched.push_back(this->weak_from_this());
        }
    }

    // h2o stops reading a connection while its request is being answered, so a caller that goes away is seen only by
    // peeking at the socket.
    bool peer_has_closed() const {
        h2o_socket_t* socket = this->request->conn->callbacks->get_socket(this->request->conn);
        char byte = 0;
        ssize_t size = ::recv(h2o_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    }

    // Reports the closed connection, and answers so that h2o finds it closed and frees the request.
    void abandon() {
        auto callback = std::move(this->close_callback);
        this->respond({status_caller_closed, {}, ""});
        if (callback) {
            callback();
        }
    }

    // h2o disposed of the request: the caller closed its connection or the answer has been sent.
    void request_disposed() {
        if (this->request == nullptr) {
            return;
        }
        this->detach();
        if (auto callback = std::move(this->close_callback)) {
            callback();
        }
    }

private:
    void detach() {
        this->request = nullptr;
        --this->table.open_count;
    }

    h2o_req_t* request;
    exchange_table& table;
    std::function<void()> close_callback;
};

http_request read_request(h2o_req_t* req) {
    http_request request;
    request.method = to_string(req->method);
    std::string target = to_string(req->path);
    std::size_t path_length = req->query_at == SIZE_MAX ? target.size() : req->query_at;
    request.path = target.substr(0, path_length);
    request.query = path_length < target.size() ? target.substr(path_length + 1) : std::string();
    request.headers.reserve(req->headers.size + 1);
    for (std::size_t i = 0; i < req->headers.size; ++i) {
        const h2o_header_t& header = req->headers.entries[i];
        request.headers.push_back({to_string(*header.name), to_string(header.value)});
    }
    // h2o takes these two out of the header list.
    request.headers.push_back({"host", to_string(req->authority)});
    if (req->entity.base != nullptr) {
        request.body = to_string(req->entity);
    }
    request.peer_ip = server_connection::of(req).peer_ip();
    return request;
}

const char* rejection_type(int status) {
    switch (status) {
    case status_request_timeout:
        return "request_incomplete";
    case status_too_large:
        return "request_too_large";
    default:
        return "bad_request";
    }
}

http_response default_rejection(int status) {
    return json_response(status, std::string(R"({"error":")") + rejection_type(status) + R"(","outcome":"none",)" +
                                     R"("message":"the request is malformed, incomplete or too large"})");
}

// Tells the connection when h2o disposes of the request: it has been answered or its connection ends.
void watch_request(h2o_req_t* req) {
    server_connection& connection = server_connection::of(req);
    connection.begin_answer(req);
    struct watch {
        server_connection& connection;
    };
    void* slot = h2o_mem_alloc_shared(&req->pool, sizeof(watch),
                                      [](void* memory) { static_cast<watch*>(memory)->connection.end_answer(); });
    new (slot) watch{connection};
}

// Replaces the body of an answer that h2o made itself.
struct rejection_stream {
    h2o_ostream_t super;
    h2o_iovec_t body;

    static void send(h2o_ostream_t* self, h2o_req_t* req, h2o_iovec_t*, size_t, h2o_send_state_t) {
        auto* stream = reinterpret_cast<rejection_stream*>(self);
        h2o_ostream_send_next(self, req, &stream->body, 1, H2O_SEND_STATE_FINAL);
    }
};

}  // namespace

struct http_server::impl {
    struct handler_object {
        h2o_handler_t super;
        impl* owner;
    };

    struct filter_object {
        h2o_filter_t super;
        impl* owner;
    };

    h2o_globalconf_t config{};
    h2o_context_t context{};
    h2o_accept_ctx_t accept_context{};
    h2o_socket_t* listener = nullptr;
    http_handler handler;
    std::function<http_response(int status)> rejection = default_rejection;
    std::uint64_t rejected = 0;
    exchange_table table;
    std::unique_ptr<server_connections> connections;
    event_loop* loop = nullptr;
    timer_id close_check_timer = 0;

    void check_closed() {
        auto watched = std::move(this->table.watched);
        this->table.watched.clear();
        for (std::weak_ptr<server_exchange>& entry : watched) {
            auto exchange = entry.lock();
            if (!exchange || exchange->closed()) {
                continue;
            }
            if (exchange->peer_has_closed()) {
                exchange->abandon();
                continue;
            }
            this->table.watched.push_back(std::move(entry));
        }
    }

    static int on_request(h2o_handler_t* self, h2o_req_t* req) {
        impl* owner = reinterpret_cast<handler_object*>(self)->owner;
        watch_request(req);
        auto exchange = std::make_shared<server_exchange>(req, owner->table);
        using holder = std::shared_ptr<server_exchange>;
        void* slot = h2o_mem_alloc_shared(&req->pool, sizeof(holder), [](void* memory) {
            auto* held = static_cast<holder*>(memory);
            (*held)->request_disposed();
            held->~holder();
        });
        new (slot) holder(exchange);
        owner->handler(read_request(req), exchange);
        return 0;
    }

    static void on_answer(h2o_filter_t* self, h2o_req_t* req, h2o_ostream_t** slot) {
        impl* owner = reinterpret_cast<filter_object*>(self)->owner;
        if (owner->table.answered != req) {
            watch_request(req);
            http_response response = owner->reject(req->res.status);
            auto* stream = reinterpret_cast<rejection_stream*>(h2o_add_ostream(req, sizeof(rejection_stream), slot));
            stream->super.do_send = rejection_stream::send;
            stream->body = h2o_strdup(&req->pool, response.body.data(), response.body.size());
            req->res.content_length = response.body.size();
            h2o_set_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, H2O_STRLIT("application/json"), 1);
            slot = &stream->super.next;
        }
        h2o_setup_next_ostream(req, slot);
    }

    http_response reject(int status) {
        ++this->rejected;
        return this->rejection(status);
    }

    void add_filter(h2o_pathconf_t* path) {
        auto* object = reinterpret_cast<filter_object*>(h2o_create_filter(path, sizeof(filter_object)));
        object->super.on_setup_ostream = on_answer;
        object->owner = this;
    }

    static void on_accept(h2o_socket_t* listener, const char* failure) {
        if (failure != nullptr) {
            return;
        }
        auto* owner = static_cast<impl*>(listener->data);
        while (h2o_socket_t* connection = h2o_evloop_socket_accept(listener)) {
            owner->connections->add(&owner->accept_context, connection);
        }
    }
};

http_server::http_server(event_loop& loop, const ip_address& address, const http_server_options& options,
                         http_handler handler)
    : state(std::make_unique<impl>()) {
    impl& server = *this->state;
    server.listener = open_listener(loop, address);  // first, since it may throw
    server.handler = std::move(handler);
    h2o_config_init(&server.config);
    server.config.max_request_entity_size = options.max_body_bytes;
    duration longest_wait = options.idle_timeout + options.request_timeout + h2o_timeout_margin;
    server.config.http1.req_timeout = static_cast<std::uint64_t>(longest_wait.count());
    server.config.http1.upgrade_to_http2 = 0;
    server.config.server_name = h2o_iovec_init(H2O_STRLIT("persimmongrade"));
    h2o_hostconf_t* host = h2o_config_register_host(&server.config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
    auto* object = reinterpret_cast<impl::handler_object*>(h2o_create_handler(path, sizeof(impl::handler_object)));
    object->super.on_req = impl::on_request;
    object->owner = &server;
    server.add_filter(path);
    server.add_filter(&host->fallback_path);
    if (options.rejection) {
        server.rejection = options.rejection;
    }
    h2o_context_init(&server.context, loop.native(), &server.config);
    server.connections =
        std::make_unique<server_connections>(loop, connection_limits{options.request_timeout, options.idle_timeout},
                                             [&server](int status) { return server.reject(status); });
    server.accept_context.ctx = &server.context;
    server.accept_context.hosts = server.config.hosts;
    server.listener->data = &server;
    h2o_socket_read_start(server.listener, impl::on_accept);
    server.loop = &loop;
    server.close_check_timer = loop.every(close_check_period, [&server] { server.check_closed(); });
}

http_server::~http_server() {
    this->close_listener();
    this->state->loop->cancel(this->state->close_check_timer);
    this->state->connections->stop_checks();
    this->state->rejection = default_rejection;  // the owner's may refer to what ends with it
    // Open connections still point at the context, and h2o 2.2.5 offers no way to close them all, so the state of a
    // server that ends before its process is kept.
    retain_until_exit(std::move(this->state));
}

void http_server::close_after_answer() {
    h2o_context_request_shutdown(&this->state->context);
}

void http_server::close_listener() {
    if (this->state->listener != nullptr) {
        h2o_socket_close(this->state->listener);
        this->state->listener = nullptr;
        this->close_after_answer();
    }
}

std::size_t http_server::open_exchanges() const {
    return this->state->table.open_count;
}

std::size_t http_server::open_connections() const {
    return this->state->connections->size();
}

std::uint64_t http_server::rejected_requests() const {
    return this->state->rejected;
}

}  // namespace persimmongrade
