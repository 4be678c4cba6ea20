#include "persimmongrade/connect_probe.h"

#include <h2o.h>

#include <memory>

namespace persimmongrade {

namespace {

// A process that is ending may still accept: its listener is closed a moment after its connections. The connection then
// ends within this time. With 10 ms, a busy host took a crashed target for a live one, and the request was sent to a
// third one. A lost connection to a live target delays its retry by this time.
constexpr duration hold_time = ms(100);

struct probe {
    event_loop& loop;
    std::function<void(probe_result)> callback;
    h2o_socket_t* socket = nullptr;
    timer_id timer = 0;

    void hold() {
        this->loop.cancel(this->timer);
        this->timer = this->loop.after(hold_time, [this] { this->finish(probe_result::connected); });
        h2o_socket_read_start(this->socket, [](h2o_socket_t* ended, const char* failure) {
            if (failure != nullptr) {
                static_cast<probe*>(ended->data)->finish(probe_result::refused);
            }
        });
    }

    // Closes the socket on a later turn, because h2o still uses it inside its own callback.
    void finish(probe_result result) {
        this->loop.cancel(this->timer);
        if (this->socket != nullptr) {
            h2o_socket_read_stop(this->socket);
        }
        this->loop.after(duration::zero(), [owner = std::shared_ptr<probe>(this), result] {
            if (owner->socket != nullptr) {
                h2o_socket_close(owner->socket);
            }
            owner->callback(result);
        });
    }
};

}  // namespace

void probe_connection(event_loop& loop, const ip_address& address, duration timeout,
                      std::function<void(probe_result)> callback) {
    auto* started = new probe{loop, std::move(callback)};  // owned by finish(), which runs exactly once
    sockaddr_storage storage{};
    socklen_t length = address.to_sockaddr(storage);
    auto on_connect = [](h2o_socket_t* socket, const char* failure) {
        auto* self = static_cast<probe*>(socket->data);
        failure == nullptr ? self->hold() : self->finish(probe_result::refused);
    };
    started->socket = h2o_socket_connect(loop.native(), reinterpret_cast<sockaddr*>(&storage), length, on_connect);
    if (started->socket == nullptr) {
        started->finish(probe_result::refused);
        return;
    }
    started->socket->data = started;
    started->timer = loop.after(timeout, [started] { started->finish(probe_result::timed_out); });
}

}  // namespace persimmongrade
