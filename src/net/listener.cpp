#include "persimmongrade/listener.h"

#include <netinet/tcp.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "persimmongrade/error.h"

namespace persimmongrade {

namespace {

constexpr int listen_backlog = 1024;

[[noreturn]] void fail(int descriptor, const char* operation, const ip_address& address) {
    std::string reason = std::strerror(errno);
    if (descriptor >= 0) {
        ::close(descriptor);
    }
    throw socket_error(std::string(operation) + " " + address.to_string() + ": " + reason);
}

}  // namespace

h2o_socket_t* open_listener(event_loop& loop, const ip_address& address) {
    sockaddr_storage storage{};
    socklen_t length = address.to_sockaddr(storage);
    int descriptor = ::socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        fail(descriptor, "socket", address);
    }
    int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (::bind(descriptor, reinterpret_cast<sockaddr*>(&storage), length) != 0) {
        fail(descriptor, "bind", address);
    }
    if (::listen(descriptor, listen_backlog) != 0) {
        fail(descriptor, "listen", address);
    }
    return h2o_evloop_socket_create(loop.native(), descriptor, H2O_SOCKET_FLAG_DONT_READ);
}

void set_no_delay(h2o_socket_t* socket) {
    int on = 1;
    ::setsockopt(h2o_socket_get_fd(socket), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void keep_unsent_bytes_in_process(h2o_socket_t* socket) {
    constexpr int most_bytes = 32768;
    ::setsockopt(h2o_socket_get_fd(socket), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &most_bytes, sizeof(most_bytes));
}

void set_liveness(h2o_socket_t* socket, duration unacknowledged) {
    constexpr int idle_seconds = 1;
    constexpr int interval_seconds = 1;
    constexpr int probes = 2;
    auto unacknowledged_ms = static_cast<unsigned>(unacknowledged.count());
    int on = 1;
    int descriptor = h2o_socket_get_fd(socket);
    ::setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &idle_seconds, sizeof(idle_seconds));
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &interval_seconds, sizeof(interval_seconds));
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms, sizeof(unacknowledged_ms));
}

}  // namespace persimmongrade
