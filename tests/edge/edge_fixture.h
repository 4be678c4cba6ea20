// An edge_server on one event loop with a fake control process, for tests. Addresses are of this process's own, so that
// test programs can run at the same time.

#pragma once

#include <catch2/catch.hpp>

#include <unistd.h>

#include "persimmongrade/capacity_lease.h"
#include "persimmongrade/edge_server.h"
#include "persimmongrade/http_client.h"
#include "persimmongrade/http_server.h"
#include "persimmongrade/peer_transport.h"

namespace persimmongrade {

inline ip_address test_address(std::uint16_t port) {
    int process = getpid();
    return {"127.10." + std::to_string(process / 200 % 200) + "." + std::to_string(process % 200 + 20), port};
}

inline std::uint16_t next_port() {
    static std::uint16_t port = 8000;
    return port++;
}

inline std::unique_ptr<wire::peer_settings_t> peer(const std::string& id, const ip_address& address,
                                                   const std::string& region) {
    auto settings = std::make_unique<wire::peer_settings_t>();
    settings->id = id;
    settings->address = address.to_string();
    settings->region = region;
    settings->zone = region + "-1";
    return settings;
}

// A fake target that counts what it executes and answers with the count, or with `answer` when it is given.
struct counting_target {
    ip_address address = test_address(next_port());
    std::uint32_t executed = 0;
    http_server server;

    explicit counting_target(event_loop& loop, const std::string& answer = "")
        : server(loop, address, {}, [this, answer](const http_request&, const auto& exchange) {
              ++this->executed;
              exchange->respond({200, {}, answer.empty() ? "booking " + std::to_string(this->executed) : answer});
          }) {}
};

// Answers every ping as the leader, unless silent, and pushes its configuration to edges that are behind.
struct fake_control {
    event_loop& loop;
    ip_address address = test_address(next_port());
    metric_registry metrics;
    wire::configuration_t configuration;
    bool silent = false;
    std::map<std::string, wire::edge_ping_t> pings;  // last of each edge
    std::optional<lease_granter> granter;            // set once the edges are known
    peer_transport peers;

    explicit fake_control(event_loop& loop)
        : loop(loop), peers(loop, "test", "control-1", address, this->metrics,
                            [this](const wire::envelope_t& envelope) { this->receive(envelope); }) {}

    void receive(const wire::envelope_t& envelope) {
        if (envelope.body.type != wire::message::edge_ping || this->silent) {
            return;
        }
        const wire::edge_ping_t& ping = *envelope.body.Asedge_ping();
        if (ping.incarnation < this->pings[ping.edge].incarnation) {
            return;  // as the leader does
        }
        this->pings[ping.edge] = ping;
        if (ping.applied_revision < this->configuration.revision) {
            this->push(ping.edge);
        }
        wire::edge_pong_t pong = this->granter->answer(ping, this->loop.now());
        pong.leader = "control-1";
        for (const auto& [id, known] : this->pings) {
            auto info = std::make_unique<wire::edge_info_t>();
            info->id = id;
            info->region = known.region;
            info->zone = known.zone;
            info->http_address = known.http_address;
            info->peer_address = known.peer_address;
            info->state = known.state;
            info->incarnation = known.incarnation;
            info->ledger_voting = known.ledger_voting;
            info->alive = true;
            pong.edges.push_back(std::move(info));
        }
        this->peers.send(ping.edge, std::move(pong));
    }

    void lead(std::vector<std::string> edge_ids) {
        this->granter.emplace(std::move(edge_ids));
        this->granter->apply(this->configuration, this->loop.now());
        this->granter->become_leader(1, this->loop.now());
    }

    // Commits what changed in the configuration.
    void commit() {
        ++this->configuration.revision;
        if (this->granter) {
            this->granter->apply(this->configuration, this->loop.now());
        }
    }

    void push(const std::string& edge) {
        wire::config_push_t push;
        push.delta = std::make_unique<wire::configuration_delta_t>();
        push.delta->full = true;
        push.delta->revision = this->configuration.revision;
        wire::configuration_t copy(this->configuration);
        push.delta->changed_records = std::move(copy.records);
        push.delta->changed_drains = std::move(copy.drains);
        push.delta->changed_assignments = std::move(copy.assignments);
        this->peers.send(edge, std::move(push));
    }

    void add_service(const std::string& name, bool idempotent) {
        auto service = std::make_unique<wire::service_definition_t>();
        service->name = name;
        service->idempotent = idempotent;
        service->regions = {"north", "central", "south"};
        service->slots_per_target = 64;  // so that every edge has floor slots
        service->connections_per_target = 100;
        service->max_answer_bytes = 10000;
        if (this->configuration.records.empty()) {
            this->configuration.records.push_back(std::make_unique<wire::steering_record_t>());
            this->configuration.records.front()->name = "bureau";
        }
        this->configuration.records.front()->services.push_back(std::move(service));
        this->commit();
    }

    // Assigns all of the service's traffic from one caller region to one target region.
    void assign(const std::string& service, const std::string& caller_region, const std::string& region) {
        auto entry = std::make_unique<wire::assignment_t>();
        entry->service = service;
        entry->caller_region = caller_region;
        auto& share = entry->shares.emplace_back(std::make_unique<wire::region_share_t>());
        share->region = region;
        share->permille = 1000;
        this->configuration.assignments.push_back(std::move(entry));
        this->commit();
    }

    void drain(const std::string& target) {
        auto drain = std::make_unique<wire::target_drain_t>();
        drain->target = target;
        this->configuration.drains.push_back(std::move(drain));
        this->commit();
    }
};

struct edge_fixture {
    event_loop loop;
    fake_control control{loop};
    http_client client{loop};
    std::vector<std::unique_ptr<wire::edge_settings_t>> settings;
    std::vector<std::unique_ptr<metric_registry>> metrics;
    std::vector<std::unique_ptr<edge_server>> edges;
    duration request_timeout;

    // Starts `regions.size()` edges, one per region, and waits until all are ready. All traffic is assigned to north,
    // unless `assigned` is false.
    explicit edge_fixture(const std::vector<std::string>& regions = {"north"}, bool assigned = true,
                          duration request_timeout = ms(10000))
        : request_timeout(request_timeout) {
        this->control.add_service("lookups", true);
        this->control.add_service("orders", false);
        for (std::size_t i = 0; assigned && i < regions.size(); ++i) {
            this->control.assign("lookups", regions[i], "north");
            this->control.assign("orders", regions[i], "north");
        }
        std::vector<std::unique_ptr<wire::peer_settings_t>> list;
        for (std::size_t i = 0; i < regions.size(); ++i) {
            list.push_back(peer("edge-" + std::to_string(i + 1), test_address(next_port()), regions[i]));
        }
        std::vector<std::string> ids;
        std::transform(list.begin(), list.end(), std::back_inserter(ids), [](const auto& edge) { return edge->id; });
        this->control.lead(ids);
        for (const auto& self : list) {
            auto entry = std::make_unique<wire::edge_settings_t>();
            entry->cluster = "test";
            entry->id = self->id;
            entry->region = self->region;
            entry->zone = self->zone;
            entry->http_address = test_address(next_port()).to_string();
            entry->peer_address = self->address;
            entry->lookup_ttl_ms = 800;
            entry->stop_timeout_ms = 3000;
            entry->control.push_back(peer("control-1", this->control.address, "north"));
            for (const auto& other : list) {
                entry->edges.push_back(std::make_unique<wire::peer_settings_t>(*other));
            }
            this->start(std::move(entry), true);
        }
        this->wait_until([&] {
            return std::all_of(this->edges.begin(), this->edges.end(), [](const auto& edge) { return edge->ready(); });
        });
    }

    void start(std::unique_ptr<wire::edge_settings_t> entry, bool first_start) {
        this->metrics.push_back(std::make_unique<metric_registry>());
        this->edges.push_back(
            std::make_unique<edge_server>(this->loop, *entry, *this->metrics.back(),
                                          edge_options{first_start, this->edges.size() + 1, this->request_timeout}));
        this->settings.push_back(std::move(entry));
    }

    // Starts a process with the id of an edge at other addresses, and waits until it votes in the ledger. The other
    // edges keep their settings.
    void replace(std::size_t edge) {
        auto entry = std::make_unique<wire::edge_settings_t>(*this->settings[edge]);
        std::string id = entry->id;
        entry->http_address = test_address(next_port()).to_string();
        entry->peer_address = test_address(next_port()).to_string();
        this->start(std::move(entry), false);
        this->wait_until([&] { return this->edges.back()->ready(); });
        this->wait_until([&] { return this->control.pings[id].ledger_voting; }, ms(10000));
    }

    template <typename Condition>
    void wait_until(Condition condition, duration longest = ms(5000)) {
        time_point until = this->loop.now() + longest;
        while (!condition() && this->loop.now() < until) {
            this->loop.run_for(ms(5));
        }
        REQUIRE(condition());
    }

    ip_address http_address(std::size_t edge = 0) const {
        return ip_address::parse(this->settings[edge]->http_address);
    }

    // The status is 0 when no whole answer arrived.
    http_response call(const std::string& method, const std::string& target, std::vector<http_header> headers = {},
                       std::string body = "", std::size_t edge = 0) {
        std::optional<http_response> received;
        http_call call{this->http_address(edge), method, target, std::move(headers), std::move(body)};
        this->client.send(std::move(call), [&](http_call_result result) {
            received = std::move(result.response);
            received->status = result.status == http_call_status::ok ? received->status : 0;
        });
        this->wait_until([&] { return received.has_value(); }, ms(12000));
        return *received;
    }

    void announce(const std::string& id, const std::string& service, const ip_address& address,
                  const std::string& state = "ready", const std::string& region = "north", std::size_t edge = 0) {
        static int sequence = 0;
        std::string body = R"({"id":")" + id + R"(","service":")" + service + R"(","address":")" + address.to_string() +
                           R"(","region":")" + region + R"(","zone":"z","slots":64,"connections":100,"state":")" +
                           state + R"(","sequence":)" + std::to_string(++sequence) + "}";
        CHECK(this->call("POST", "/v1/targets", {}, body, edge).status == 200);
        this->loop.run_for(ms(30));  // reaches the other edges
    }

    double metric(const std::string& line_start, std::size_t edge = 0) {
        std::string text = this->metrics[edge]->text();
        std::size_t at = text.find(line_start);
        return at == std::string::npos ? 0.0 : std::stod(text.substr(text.find(' ', at)));
    }
};

}  // namespace persimmongrade
