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
constexpr duration sweep_period = ms(500);
constexpr duration idle_margin = ms(700);  // before the time at which the target closes an idle connection
constexpr duration fresh_age = ms(1500);   // a connection idle for less has hardly been closed by its target
constexpr int first_final_status = 200;

enum class link_phase : std::uint8_t {
    connecting,
    waiting_head,
    reading_body,
    settling,  // answered before the loop reported that the request was written
    idle,
    closed,
};

}  // namespace

struct target_client::impl {
    class link;

    event_loop& loop;
    target_client_options options;
    std::unordered_map<link*, std::shared_ptr<link>> links;
    std::unordered_map<std::string, std::vector<link*>> idle_links;  // by target; the last one was used last
    std::unordered_map<call_id, link*> busy;
    std::vector<std::pair<std::function<void(target_answer)>, target_answer>> finished;
    timer_id report_hook = 0;
    timer_id sweep_timer = 0;
    call_id next_id = 1;

    impl(event_loop& loop, const target_client_options& options) : loop(loop), options(options) {}

    void open(call_id id, target_call call, std::function<void(target_answer)> callback);
    bool reuse(call_id id, target_call& call, std::function<void(target_answer)>& callback);
    bool report();
    void sweep();
};

class target_client::impl::link : public std::enable_shared_from_this<link> {
public:
    impl& owner;
    h2o_socket_t* socket = nullptr;
    link_phase phase = link_phase::connecting;
    time_point since;
    duration max_idle;
    timer_id connect_timer = 0;
    call_id id = 0;
    target_call call;
    std::function<void(target_answer)> callback;
    target_answer answer;
    body_reader reader;
    bool skipping = false;  // an answer to another attempt
    bool skipped_any = false;
    bool written = false;
    bool reused = false;

    link(impl& owner) : owner(owner), since(owner.loop.now()), max_idle(owner.options.max_idle) {}

    void start(call_id new_id, target_call new_call, std::function<void(target_answer)> new_callback) {
        this->id = new_id;
        this->call = std::move(new_call);
        this->callback = std::move(new_callback);
        this->answer = {};
        this->written = false;
        this->skipping = false;
        this->owner.busy[new_id] = this;
    }

    bool connect() {
        sockaddr_storage storage{};
        socklen_t length = this->call.address.to_sockaddr(storage);
        this->socket = h2o_socket_connect(this->owner.loop.native(), reinterpret_cast<sockaddr*>(&storage), length,
                                          [](h2o_socket_t* sock, const char* failure) {
                                              auto self = static_cast<link*>(sock->data)->shared_from_this();
                                              self->on_connected(failure);
                                          });
        if (this->socket == nullptr) {
            return false;
        }
        this->socket->data = this;
        this->connect_timer = this->owner.loop.after(this->owner.options.connect_timeout, [this] {
            this->connect_timer = 0;
            this->fail(target_call_status::unreachable, "no connection in time");
        });
        return true;
    }

    void on_connected(const char* failure) {
        this->owner.loop.cancel(std::exchange(this->connect_timer, 0));
        if (this->phase != link_phase::connecting) {
            return;
        }
        if (failure != nullptr) {
            this->fail(target_call_status::unreachable, failure);
            return;
        }
        set_no_delay(this->socket);
        set_liveness(this->socket, this->owner.options.unacknowledged);
        h2o_socket_read_start(this->socket, [](h2o_socket_t* sock, const char* read_failure) {
            auto self = static_cast<link*>(sock->data)->shared_from_this();
            self->on_read(read_failure);
        });
        this->write();
    }

    void write() {
        this->phase = link_phase::waiting_head;
        this->since = this->owner.loop.now();
        h2o_iovec_t text = h2o_iovec_init(this->call.text.data(), this->call.text.size());
        h2o_socket_write(this->socket, &text, 1, [](h2o_socket_t* sock, const char* failure) {
            auto self = static_cast<link*>(sock->data)->shared_from_this();
            self->written = true;
            if (self->phase == link_phase::settling) {
                self->settle(failure == nullptr);
            } else if (failure != nullptr) {
                self->fail(target_call_status::lost, "write failed");
            }
        });
    }

    std::string_view input() const { return {this->socket->input->bytes, this->socket->input->size}; }

    void on_read(const char* failure) {
        if (this->phase == link_phase::idle || this->phase == link_phase::settling) {
            this->close();  // closed by the target, or bytes that belong to no request
            return;
        }
        if (failure == nullptr) {
            this->advance();
            return;
        }
        bool ended = failure == h2o_socket_error_closed;
        bool whole = ended && this->phase == link_phase::reading_body && !this->skipping &&
                     this->answer.head.framing == body_framing::until_close;
        if (whole) {
            this->finish(false);
            return;
        }
        this->fail(target_call_status::lost, ended ? "connection closed by the target" : "connection reset");
    }

    void advance() {
        while (this->phase == link_phase::waiting_head || this->phase == link_phase::reading_body) {
            if (this->phase == link_phase::waiting_head && !this->read_head()) {
                return;
            }
            std::size_t used = 0;
            parse_status status = this->reader.read(this->input(), used);
            h2o_buffer_consume(&this->socket->input, used);
            if (status == parse_status::incomplete) {
                return;
            }
            if (status != parse_status::complete) {
                this->fail(target_call_status::lost, "answer body is malformed or too large");
                return;
            }
            if (std::exchange(this->skipping, false)) {
                this->skipped_any = true;
                this->phase = link_phase::waiting_head;
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
        }
        const std::string* attempt = nullptr;
        if (!this->call.attempt_header.empty()) {
            attempt = head.header(this->call.attempt_header);
        }
        this->skipping = attempt != nullptr && *attempt != this->call.attempt;
        this->reader = body_reader(head.framing, head.content_length, this->call.max_answer_bytes);
        this->phase = link_phase::reading_body;
        return true;
    }

    // The target's own statement of how long it keeps an idle connection.
    void read_idle_time() {
        const std::string* text = this->answer.head.header("keep-alive");
        std::size_t place = text == nullptr ? std::string::npos : text->find("timeout=");
        if (place == std::string::npos) {
            return;
        }
        constexpr std::size_t name_size = 8;
        std::int64_t seconds = 0;
        std::from_chars(text->data() + place + name_size, text->data() + text->size(), seconds);
        constexpr std::int64_t ms_per_second = 1000;
        duration stated = ms(seconds * ms_per_second) - idle_margin;
        this->max_idle = std::max(duration::zero(), std::min(this->owner.options.max_idle, stated));
    }

    void finish(bool connection_open) {
        this->read_idle_time();
        bool keep = connection_open && this->answer.head.keep_alive && !this->skipped_any && this->input().empty() &&
                    this->max_idle > duration::zero();
        this->answer.status = target_call_status::answered;
        this->answer.body = std::move(this->reader.body());
        this->answer.reused = this->reused;
        this->report();
        if (!keep) {
            this->close();
        } else if (this->written) {
            this->settle(true);
        } else {
            this->phase = link_phase::settling;
        }
    }

    // The request is written and answered: the connection may serve the next one.
    void settle(bool sound) {
        auto& idle = this->owner.idle_links[this->call.target];
        if (!sound || idle.size() >= this->owner.options.max_idle_per_target) {
            this->close();
            return;
        }
        this->phase = link_phase::idle;
        this->since = this->owner.loop.now();
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
        this->owner.busy.erase(this->id);
        if (this->callback) {
            this->owner.finished.emplace_back(std::exchange(this->callback, nullptr), std::move(this->answer));
        }
    }

    void close() {
        if (this->phase == link_phase::closed) {
            return;
        }
        if (this->phase == link_phase::idle) {
            std::erase(this->owner.idle_links[this->call.target], this);
        }
        this->phase = link_phase::closed;
        this->owner.busy.erase(this->id);
        this->owner.loop.cancel(std::exchange(this->connect_timer, 0));
        h2o_socket_read_stop(this->socket);
        h2o_socket_close(std::exchange(this->socket, nullptr));
        // Kept until the next poll: this may run inside one of the connection's own callbacks.
        auto kept = this->shared_from_this();
        this->owner.links.erase(this);
        this->owner.loop.after(duration::zero(), [kept] {});
    }
};

void target_client::impl::open(call_id id, target_call call, std::function<void(target_answer)> callback) {
    auto added = std::make_shared<link>(*this);
    this->links.emplace(added.get(), added);
    added->start(id, std::move(call), std::move(callback));
    if (!added->connect()) {
        added->answer.status = target_call_status::unreachable;
        added->answer.reason = "no socket";
        added->report();
        added->phase = link_phase::closed;
        this->links.erase(added.get());
    }
}

bool target_client::impl::reuse(call_id id, target_call& call, std::function<void(target_answer)>& callback) {
    auto found = this->idle_links.find(call.target);
    if (found == this->idle_links.end() || found->second.empty()) {
        return false;
    }
    link* last = found->second.back();
    duration age = this->loop.now() - last->since;
    bool too_old = age >= last->max_idle || (call.fresh_only && age >= fresh_age) || last->call.address != call.address;
    if (too_old) {
        return false;
    }
    found->second.pop_back();
    last->start(id, std::move(call), std::move(callback));
    last->write();
    return true;
}

bool target_client::impl::report() {
    auto reported = std::exchange(this->finished, {});
    for (auto& [callback, answer] : reported) {
        callback(std::move(answer));
    }
    return !reported.empty();
}

void target_client::impl::sweep() {
    time_point now = this->loop.now();
    std::vector<link*> old;
    for (auto& [target, idle] : this->idle_links) {
        for (link* open : idle) {
            if (now - open->since >= open->max_idle) {
                old.push_back(open);
            }
        }
    }
    for (link* open : old) {
        open->close();
    }
    std::erase_if(this->idle_links, [](const auto& entry) { return entry.second.empty(); });
}

target_client::target_client(event_loop& loop, const target_client_options& options)
    : state(std::make_unique<impl>(loop, options)) {
    this->state->report_hook = loop.after_each_poll([client = this->state.get()] { return client->report(); });
    this->state->sweep_timer = loop.every(sweep_period, [client = this->state.get()] { client->sweep(); });
}

target_client::~target_client() {
    this->state->loop.cancel(this->state->report_hook);
    this->state->loop.cancel(this->state->sweep_timer);
    while (!this->state->links.empty()) {
        auto open = this->state->links.begin()->second;
        open->callback = nullptr;
        open->close();
    }
    this->state->finished.clear();
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
    auto found = this->state->busy.find(id);
    if (found != this->state->busy.end()) {
        auto open = found->second->shared_from_this();
        open->callback = nullptr;
        open->close();
    }
}

void target_client::forget(const std::string& target) {
    auto found = this->state->idle_links.find(target);
    if (found == this->state->idle_links.end()) {
        return;
    }
    auto idle = found->second;
    for (impl::link* open : idle) {
        open->close();
    }
}

}  // namespace persimmongrade
