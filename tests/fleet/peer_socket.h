// Ends of peer connections that a test controls: what is read, when it is read, and how the connection ends.

#pragma once

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "persimmongrade/address.h"
#include "persimmongrade/peer_transport.h"

namespace persimmongrade {

class peer_socket {
public:
    // Takes over the socket.
    explicit peer_socket(int socket) : socket(socket) {
        ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) | O_NONBLOCK);
    }

    static std::unique_ptr<peer_socket> connect(const std::string& address) {
        int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_storage storage{};
        socklen_t size = ip_address::parse(address).to_sockaddr(storage);
        REQUIRE(::connect(socket, reinterpret_cast<sockaddr*>(&storage), size) == 0);
        return std::make_unique<peer_socket>(socket);
    }

    ~peer_socket() { ::close(this->socket); }
    peer_socket(const peer_socket&) = delete;
    peer_socket& operator=(const peer_socket&) = delete;

    // Resets instead of closing once the connection is destroyed: what the peer has sent is lost.
    void reset_at_end() {
        linger now{1, 0};
        ::setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }

    template <typename Body>
    void send(const std::string& from, Body body) {
        wire::envelope_t envelope;
        envelope.cluster = "test";
        envelope.from = from;
        envelope.body.Set(std::move(body));
        this->unsent += encode_frame(envelope);
    }

    // At most `limit` bytes of what send() was given.
    void write(std::size_t limit) {
        ssize_t sent = ::send(this->socket, this->unsent.data(), std::min(limit, this->unsent.size()),
                              MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0) {
            this->unsent.erase(0, static_cast<std::size_t>(sent));
            this->sent_bytes += static_cast<std::size_t>(sent);
        }
    }

    // Messages that have arrived whole.
    std::vector<std::unique_ptr<wire::envelope_t>> receive() {
        char bytes[65536];
        ssize_t got = 0;
        while ((got = ::recv(this->socket, bytes, sizeof(bytes), MSG_DONTWAIT)) > 0) {
            this->received.append(bytes, static_cast<std::size_t>(got));
        }
        this->has_ended = this->has_ended || got == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
        std::vector<std::unique_ptr<wire::envelope_t>> messages;
        while (true) {
            decoded_frame frame = decode_frame(this->received.data(), this->received.size());
            if (frame.status != frame_status::complete) {
                return messages;
            }
            this->received.erase(0, frame.consumed);
            messages.push_back(std::move(frame.envelope));
        }
    }

    bool ended() const { return this->has_ended; }
    std::size_t sent() const { return this->sent_bytes; }

private:
    int socket;
    std::string received;
    std::string unsent;
    std::size_t sent_bytes = 0;
    bool has_ended = false;
};

class peer_listener {
public:
    explicit peer_listener(const std::string& address) : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        int reuse = 1;
        ::setsockopt(this->socket, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
        sockaddr_storage storage{};
        socklen_t size = ip_address::parse(address).to_sockaddr(storage);
        REQUIRE(::bind(this->socket, reinterpret_cast<sockaddr*>(&storage), size) == 0);
        REQUIRE(::listen(this->socket, 16) == 0);
        ::fcntl(this->socket, F_SETFL, ::fcntl(this->socket, F_GETFL) | O_NONBLOCK);
    }

    ~peer_listener() { ::close(this->socket); }
    peer_listener(const peer_listener&) = delete;
    peer_listener& operator=(const peer_listener&) = delete;

    // Null when nobody connects.
    std::unique_ptr<peer_socket> accept() {
        int accepted = ::accept4(this->socket, nullptr, nullptr, SOCK_CLOEXEC);
        return accepted < 0 ? nullptr : std::make_unique<peer_socket>(accepted);
    }

private:
    int socket;
};

}  // namespace persimmongrade
