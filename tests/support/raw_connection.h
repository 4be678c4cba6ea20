// A TCP connection that sends arbitrary bytes, for tests of malformed and incomplete requests.

#pragma once

#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <string>
#include <string_view>

#include "persimmongrade/address.h"
#include "persimmongrade/event_loop.h"

namespace persimmongrade {

// Whether all that came back is one error of this type, and nothing of h2o's own.
inline bool is_error(const std::string& answer, int status, const std::string& type) {
    std::size_t type_at = answer.find("content-type: application/json");
    return answer.starts_with("HTTP/1.1 " + std::to_string(status) + " ") && type_at < answer.find("\r\n\r\n") &&
           answer.find("HTTP/1.1", 1) == std::string::npos &&
           answer.find(R"("error":")" + type + R"(")") != std::string::npos;
}

class raw_connection {
public:
    std::string received;

    explicit raw_connection(const ip_address& address) {
        sockaddr_storage storage{};
        socklen_t length = address.to_sockaddr(storage);
        this->descriptor = ::socket(storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
        REQUIRE(::connect(this->descriptor, reinterpret_cast<sockaddr*>(&storage), length) == 0);
    }
    ~raw_connection() { ::close(this->descriptor); }
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;

    // A loopback address of this process's own, so that test programs can run at the same time.
    static ip_address own_address(std::uint16_t port) {
        int process = getpid();
        return {"127.9." + std::to_string(process / 200 % 200) + "." + std::to_string(process % 200 + 20), port};
    }

    // The server may close first, so a failure is not an error of the test.
    void send(std::string_view bytes) const {
        [[maybe_unused]] ssize_t size = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    void end_of_stream() const { ::shutdown(this->descriptor, SHUT_WR); }
    void reset() const {
        linger now{1, 0};
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        ::shutdown(this->descriptor, SHUT_RDWR);
    }

    // Takes what has arrived. True when the server has closed the connection.
    bool receive() {
        std::array<char, 16384> bytes;
        while (true) {
            ssize_t size = ::recv(this->descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
            if (size <= 0) {
                return size == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
            }
            this->received.append(bytes.data(), static_cast<std::size_t>(size));
        }
    }

    bool wait_closed(event_loop& loop, duration longest) {
        for (time_point end = loop.now() + longest; !this->receive();) {
            if (loop.now() >= end) {
                return false;
            }
            loop.run_for(ms(2));
        }
        loop.run_for(ms(5));  // the server still releases the connection
        return true;
    }

private:
    int descriptor = -1;
};

}  // namespace persimmongrade
