// A server that answers without end, on a thread of its own, for tests of clients.

#pragma once

#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <string_view>
#include <thread>

#include "persimmongrade/address.h"

namespace persimmongrade {

// Answers one request with a beginning and then with a piece again and again, until the client closes.
class endless_target {
public:
    endless_target(const ip_address& address, std::string beginning, std::string piece)
        : beginning(std::move(beginning)) {
        constexpr std::size_t block_bytes = 65536;
        while (this->block.size() < block_bytes) {
            this->block += piece;
        }
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int on = 1;
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_storage storage{};
        socklen_t size = address.to_sockaddr(storage);
        REQUIRE(::bind(this->listener, reinterpret_cast<sockaddr*>(&storage), size) == 0);
        REQUIRE(::listen(this->listener, 16) == 0);
        this->worker = std::thread([this] { this->run(); });
    }

    ~endless_target() {
        this->worker.join();
        ::close(this->listener);
    }

    endless_target(const endless_target&) = delete;
    endless_target& operator=(const endless_target&) = delete;

    std::atomic<std::size_t> sent = 0;

private:
    void run() {
        int descriptor = ::accept(this->listener, nullptr, nullptr);
        timeval most{5, 0};  // a test that fails must end
        ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &most, sizeof(most));
        std::string_view next = this->beginning;
        for (ssize_t size = 0; size >= 0; next = this->block) {
            size = ::send(descriptor, next.data(), next.size(), MSG_NOSIGNAL);
            this->sent += size > 0 ? static_cast<std::size_t>(size) : 0;
        }
        ::close(descriptor);
    }

    std::string beginning;
    std::string block;
    int listener = -1;
    std::thread worker;
};

}  // namespace persimmongrade
