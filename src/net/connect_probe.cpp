#include "persimmongrade/connect_probe.h"

#include <h2o.h>

#include <memory>

namespace persimmongrade {

namespace {

struct probe {
    event_loop& loop;
    std::function<void(probe_result)> callback;
    h2o_socket_t* socket = nullptr;
    timer_id timer = 0;

    // Closes the socket on a later turn, because h2o still uses it inside its own callback.
    void finish(probe_result result) {
        this->loop.cancel(this->timer);
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
        static_cast<probe*>(socket->data)->finish(failure == nullptr ? probe_result::connected : probe_result::refused);
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
