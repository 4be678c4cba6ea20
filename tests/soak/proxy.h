// TCP proxy on a thread of its own, between the gateways and one target, whose connections it can disturb.

#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <deque>
#include <list>
#include <string>
#include <thread>
#include <vector>

#include "persimmongrade/address.h"

namespace persimmongrade {

enum class proxy_mode : int {
    pass,
    delay,    // every piece of data arrives 150 ms late
    one_way,  // nothing comes back from the target, connections stay open
    silent,   // nothing passes in either direction, connections stay open
    reset,    // open connections are reset, new ones at once
};

class disturbing_proxy {
public:
    disturbing_proxy(const ip_address& listen, const ip_address& target) : target(target) {
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        int on = 1;
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_storage storage{};
        socklen_t size = listen.to_sockaddr(storage);
        bool bound = ::bind(this->listener, reinterpret_cast<sockaddr*>(&storage), size) == 0 &&
                     ::listen(this->listener, 256) == 0;
        if (!bound) {
            throw std::runtime_error("proxy cannot listen on " + listen.to_string());
        }
        this->worker = std::thread([this] { this->run(); });
    }

    ~disturbing_proxy() {
        this->stopping = true;
        this->worker.join();
        for (const pair& open : this->pairs) {
            ::close(open.ends[0]);
            ::close(open.ends[1]);
        }
        ::close(this->listener);
    }

    disturbing_proxy(const disturbing_proxy&) = delete;
    disturbing_proxy& operator=(const disturbing_proxy&) = delete;

    void set(proxy_mode changed) { this->mode = changed; }

private:
    using clock = std::chrono::steady_clock;

    struct piece {
        clock::time_point due;
        std::string bytes;
    };

    struct pair {
        std::array<int, 2> ends;                  // caller, target
        std::array<std::deque<piece>, 2> pieces;  // to each end
        bool ended = false;
    };

    static void reset(int descriptor) {
        linger abort{1, 0};
        ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    }

    void accept_all() {
        while (true) {
            int caller = ::accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (caller < 0) {
                return;
            }
            int other = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            sockaddr_storage storage{};
            socklen_t size = this->target.to_sockaddr(storage);
            bool connected =
                this->mode != proxy_mode::reset && ::connect(other, reinterpret_cast<sockaddr*>(&storage), size) == 0;
            if (!connected) {
                reset(caller);
                ::close(caller);
                ::close(other);
                continue;
            }
            ::fcntl(other, F_SETFL, O_NONBLOCK);
            this->pairs.push_back({{caller, other}, {}, false});
        }
    }

    // Reads from one end and queues for the other.
    void read(pair& open, std::size_t end) {
        std::array<char, 16384> buffer{};
        ssize_t size = ::recv(open.ends.at(end), buffer.data(), buffer.size(), 0);
        if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (size <= 0) {
            open.ended = true;
            return;
        }
        proxy_mode now = this->mode;
        bool dropped = now == proxy_mode::silent || (now == proxy_mode::one_way && end == 1);
        if (!dropped) {
            auto late = std::chrono::milliseconds(now == proxy_mode::delay ? 150 : 0);
            open.pieces.at(1 - end).push_back({clock::now() + late, {buffer.data(), static_cast<std::size_t>(size)}});
        }
    }

    void write(pair& open, std::size_t end) {
        auto& waiting = open.pieces.at(end);
        while (!waiting.empty() && waiting.front().due <= clock::now()) {
            std::string& bytes = waiting.front().bytes;
            ssize_t size = ::send(open.ends.at(end), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (size < 0) {
                open.ended = open.ended || (errno != EAGAIN && errno != EINTR);
                return;
            }
            bytes.erase(0, static_cast<std::size_t>(size));
            if (!bytes.empty()) {
                return;
            }
            waiting.pop_front();
        }
    }

    void run() {
        constexpr int poll_ms = 2;
        while (!this->stopping) {
            std::vector<pollfd> polled{{this->listener, POLLIN, 0}};
            for (const pair& open : this->pairs) {
                polled.push_back({open.ends[0], POLLIN, 0});
                polled.push_back({open.ends[1], POLLIN, 0});
            }
            ::poll(polled.data(), polled.size(), poll_ms);
            std::size_t place = 1;
            for (pair& open : this->pairs) {
                for (std::size_t end = 0; end < 2; ++end, ++place) {
                    if (polled[place].revents != 0) {
                        this->read(open, end);
                    }
                }
                this->write(open, 0);
                this->write(open, 1);
                if (this->mode == proxy_mode::reset) {
                    reset(open.ends[0]);
                    open.ended = true;
                }
            }
            this->pairs.remove_if([](const pair& open) {
                bool done = open.ended && open.pieces[0].empty();
                if (done) {
                    ::close(open.ends[0]);
                    ::close(open.ends[1]);
                }
                return done;
            });
            this->accept_all();
        }
    }

    ip_address target;
    int listener = -1;
    std::atomic<proxy_mode> mode = proxy_mode::pass;
    std::atomic<bool> stopping = false;
    std::list<pair> pairs;
    std::thread worker;
};

}  // namespace persimmongrade
