// A faulty target writes an earlier refusal once more on a kept connection, before its answer to the request that it
// runs.

#include <catch2/catch.hpp>

#include <poll.h>

#include <atomic>
#include <mutex>
#include <set>
#include <thread>

#include "../support/fleet_deployment.h"

using namespace persimmongrade;

namespace {

std::string header_of(const std::string& request, const std::string& name) {
    std::size_t at = request.find("\r\n" + name + ": ");
    std::size_t from = at + name.size() + 4;
    return at == std::string::npos ? "" : request.substr(from, request.find("\r\n", from) - from);
}

// Refuses the first request of each connection, and runs the others after it has written that refusal again, with or
// without the id of the refused request.
class repeating_target {
public:
    repeating_target(const ip_address& address, bool with_id) : with_id(with_id) {
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int on = 1;  // other tests of this process have used the address
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_storage storage{};
        socklen_t size = address.to_sockaddr(storage);
        REQUIRE(::bind(this->listener, reinterpret_cast<sockaddr*>(&storage), size) == 0);
        REQUIRE(::listen(this->listener, 16) == 0);
        this->worker = std::thread([this] {
            while (!this->stopping) {
                this->serve();
            }
        });
    }

    ~repeating_target() {
        this->stopping = true;
        this->worker.join();
        ::close(this->listener);
    }

    repeating_target(const repeating_target&) = delete;
    repeating_target& operator=(const repeating_target&) = delete;

    bool has_run(const std::string& id) {
        std::lock_guard guard(this->mutex);
        return this->runs.contains(id);
    }
    std::size_t run_count() {
        std::lock_guard guard(this->mutex);
        return this->runs.size();
    }

private:
    bool readable(int descriptor) const {
        pollfd polled{descriptor, POLLIN, 0};
        return ::poll(&polled, 1, 5) > 0;
    }

    void serve() {
        if (!this->readable(this->listener)) {
            return;
        }
        int descriptor = ::accept(this->listener, nullptr, nullptr);
        std::string refused;
        std::string received;
        while (!this->stopping) {
            if (!this->readable(descriptor)) {
                continue;
            }
            std::array<char, 4096> bytes{};
            ssize_t size = ::recv(descriptor, bytes.data(), bytes.size(), 0);
            if (size <= 0) {
                break;
            }
            received.append(bytes.data(), static_cast<std::size_t>(size));
            if (!received.ends_with("{}")) {
                continue;  // the body of each request
            }
            std::string id = header_of(received, "attempt-id");
            received.clear();
            std::string answer;
            if (refused.empty()) {
                refused = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nAttempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
                answer = refused;
            } else {
                std::lock_guard guard(this->mutex);
                this->runs.insert(id);
                answer = this->with_id ? refused : "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                answer += "HTTP/1.1 200 OK\r\nServer-Seal: x\r\nAttempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
            }
            [[maybe_unused]] ssize_t sent = ::send(descriptor, answer.data(), answer.size(), MSG_NOSIGNAL);
        }
        ::close(descriptor);
    }

    bool with_id;
    int listener = -1;
    std::atomic<bool> stopping = false;
    std::mutex mutex;
    std::set<std::string> runs;  // ids
    std::thread worker;
};

}  // namespace

// A refusal promises that the request has not run, and the client may send it again.
TEST_CASE("a refusal that a target repeats is not taken for the answer to the next request") {
    for (bool with_id : {true, false}) {
        fleet_deployment system(std::string("refusal-") + (with_id ? "id" : "none"), {.controls = 3, .gateways = 1});
        ip_address address{fleet_deployment::ip(3, 0), 7400};
        repeating_target target(address, with_id);
        REQUIRE(system.submit_until_accepted(fleet_deployment::items(2)));
        system.call(fleet_deployment::control_address(0), "PUT", "/api/instances/t",
                    system.heartbeat(0, address.to_string(), unix_time_ms(), 1).dump(), ms(600),
                    [](int, const http_response&) {});
        system.loop.run_for(ms(300));
        std::size_t answered = 0;
        for (int i = 0; i < 8; ++i) {
            std::string id = "a" + std::to_string(i);
            system.call(
                fleet_deployment::gateway_address(0), "POST", "/once/x", "{}", ms(2000),
                [&, id](int status, const http_response&) {
                    ++answered;
                    INFO("request " << id << " was answered " << status);
                    CHECK_FALSE((status == 503 && target.has_run(id)));
                },
                {{"attempt-id", id}, {"deadline-ms", "1500"}}, false);
            system.loop.run_for(ms(150));
        }
        CHECK(answered == 8);
        CHECK(target.run_count() >= 3);
    }
}
