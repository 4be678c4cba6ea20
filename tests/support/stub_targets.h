// Targets of the service `s` on the test's event loop, for a fleet_deployment. The handler of a target may end it like
// a crash: its connections are closed without an answer, nothing listens at its address, and no heartbeat is sent.
//
//     stub_targets targets(system, 8);
//     targets.on_request = [&](stub_target& there, const http_request& request, const auto& exchange) { ... };
//     targets.crash(there, ms(1200));   // and start again after 1,200 ms, under a new id

#pragma once

#include <sys/socket.h>

#include <cstring>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fleet_deployment.h"
#include "persimmongrade/http_server.h"

namespace persimmongrade {

struct stub_target {
    std::size_t number = 0;
    std::string id;
    std::unique_ptr<http_server> server;  // null while the target is down
    std::int64_t started_at = 0;          // Unix time in ms
    std::uint64_t sequence = 0;
    std::size_t reports_to = 0;  // control process
    bool is_ending = false;      // until its next start
};

class stub_targets {
public:
    using handler = std::function<void(stub_target&, const http_request&, const std::shared_ptr<http_exchange>&)>;

    stub_targets(fleet_deployment& system, std::size_t count, std::size_t controls = 3)
        : system(system), controls(controls), all(count) {
        for (std::size_t i = 0; i < count; ++i) {
            this->all[i].number = i;
            this->start(this->all[i]);
        }
        this->heartbeats = system.loop.every(ms(400), [this] { this->send_heartbeats(); });
    }

    ~stub_targets() { this->system.loop.cancel(this->heartbeats); }

    stub_targets(const stub_targets&) = delete;
    stub_targets& operator=(const stub_targets&) = delete;

    handler on_request;

    stub_target& at(std::size_t number) { return this->all.at(number); }

    void crash(stub_target& there, duration down) {
        if (std::exchange(there.is_ending, true)) {
            return;
        }
        // Not inside a callback of the server itself.
        this->system.loop.after(duration::zero(), [&there] {
            there.server.reset();
            shut_down_sockets(address(there));
        });
        this->system.loop.after(down, [this, &there] { this->start(there); });
    }

    // The answer of a target that ran the request.
    static http_response answer(const stub_target& there, const http_request& request) {
        return {200,
                {{"attempt-id", std::string(request.header("attempt-id").value_or(""))},
                 {"server-seal", there.id},
                 {"server-load", "1,0,4"}},
                "body"};
    }

private:
    void start(stub_target& there) {
        there.id = "t" + std::to_string(there.number) + "-" + std::to_string(++this->starts);
        there.started_at = unix_time_ms();
        there.sequence = 0;
        there.is_ending = false;
        there.server = std::make_unique<http_server>(
            this->system.loop, address(there), http_server_options{},
            [this, &there](const http_request& request, const std::shared_ptr<http_exchange>& exchange) {
                this->on_request(there, request, exchange);
            });
        this->send_heartbeat(there);
    }

    // Ends the connections that a server of this process accepted at the address. The kernel does this when a process
    // ends; an http_server leaves them open.
    static void shut_down_sockets(const ip_address& address) {
        constexpr int most_descriptors = 1024;
        sockaddr_storage wanted{};
        socklen_t wanted_size = address.to_sockaddr(wanted);
        for (int descriptor = 3; descriptor < most_descriptors; ++descriptor) {
            sockaddr_storage own{};
            socklen_t size = sizeof(own);
            bool same = ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&own), &size) == 0 &&
                        size == wanted_size && std::memcmp(&own, &wanted, size) == 0;
            if (same) {
                ::shutdown(descriptor, SHUT_RDWR);
            }
        }
    }

    static ip_address address(const stub_target& there) { return {fleet_deployment::ip(3, there.number), 7400}; }

    void send_heartbeats() {
        for (stub_target& there : this->all) {
            if (there.server) {
                this->send_heartbeat(there);
            }
        }
    }

    void send_heartbeat(stub_target& there) {
        auto body =
            this->system.heartbeat(there.number, address(there).to_string(), there.started_at, ++there.sequence);
        this->system.call(fleet_deployment::control_address(there.reports_to), "PUT", "/api/instances/" + there.id,
                          body.dump(), ms(600), [this, &there](int status, const http_response&) {
                              there.reports_to =
                                  status == 200 ? there.reports_to : (there.reports_to + 1) % this->controls;
                          });
    }

    fleet_deployment& system;
    std::size_t controls;
    std::vector<stub_target> all;
    std::uint64_t starts = 0;
    timer_id heartbeats = 0;
};

}  // namespace persimmongrade
