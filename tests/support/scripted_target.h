// A server with given answers, on a thread of its own, for tests of clients.

#pragma once

#include <catch2/catch.hpp>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "persimmongrade/address.h"

namespace persimmongrade {

// Answers each request, on any connection, with the next of the given texts, as soon as its head is received. The
// ending of a text ends the connection; requests after the last text get `close_now`.
class scripted_target {
public:
    static constexpr const char* close_now = "<close>";
    static constexpr const char* reset_now = "<reset>";
    static constexpr const char* reset_later = "<reset later>";  // after the client has read the text
    static constexpr const char* half_close = "<half close>";    // and read the rest of the request

    scripted_target(const ip_address& address, std::vector<std::string> answers) : answers(std::move(answers)) {
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int on = 1;
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_storage storage{};
        socklen_t size = address.to_sockaddr(storage);
        REQUIRE(::bind(this->listener, reinterpret_cast<sockaddr*>(&storage), size) == 0);
        REQUIRE(::listen(this->listener, 16) == 0);
        this->worker = std::thread([this] { this->run(); });
    }

    ~scripted_target() {
        this->stopping = true;
        this->worker.join();
        ::close(this->listener);
    }

    scripted_target(const scripted_target&) = delete;
    scripted_target& operator=(const scripted_target&) = delete;

    std::atomic<int> connections = 0;
    std::atomic<int> requests = 0;

private:
    static void abort_on_close(int descriptor) {
        linger abort{1, 0};
        ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    }

    // Returns whether the text had an ending.
    bool end(int descriptor, const std::string& ending) const {
        if (ending == reset_now) {
            abort_on_close(descriptor);
        } else if (ending == reset_later) {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            abort_on_close(descriptor);
        } else if (ending == half_close) {
            ::shutdown(descriptor, SHUT_WR);
            std::array<char, 65536> bytes;  // not initialized: it is only written
            while (!this->stopping &&
                   (!this->readable(descriptor) || ::recv(descriptor, bytes.data(), bytes.size(), 0) > 0)) {
            }
        }
        return !ending.empty();
    }

    bool readable(int descriptor) const {
        pollfd polled{descriptor, POLLIN, 0};
        return ::poll(&polled, 1, 5) > 0;
    }

    void run() {
        std::size_t next = 0;
        while (!this->stopping) {
            if (!this->readable(this->listener)) {
                continue;
            }
            int descriptor = ::accept(this->listener, nullptr, nullptr);
            ++this->connections;
            std::string received;
            bool open = true;
            while (open && !this->stopping) {
                if (!this->readable(descriptor)) {
                    continue;
                }
                std::array<char, 4096> bytes{};
                ssize_t size = ::recv(descriptor, bytes.data(), bytes.size(), 0);
                if (size <= 0) {
                    break;
                }
                received.append(bytes.data(), static_cast<std::size_t>(size));
                if (received.find("\r\n\r\n") == std::string::npos) {
                    continue;
                }
                received.clear();
                ++this->requests;
                std::string answer = next < this->answers.size() ? this->answers[next++] : close_now;
                std::size_t ending = answer.find('<');
                std::string text = answer.substr(0, ending);
                [[maybe_unused]] ssize_t sent = ::send(descriptor, text.data(), text.size(), MSG_NOSIGNAL);
                open = !this->end(descriptor, ending == std::string::npos ? "" : answer.substr(ending));
            }
            ::close(descriptor);
        }
    }

    std::vector<std::string> answers;
    int listener = -1;
    std::atomic<bool> stopping = false;
    std::thread worker;
};

}  // namespace persimmongrade
