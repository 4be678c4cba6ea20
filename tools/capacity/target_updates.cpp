// Messages and bytes of target updates between edges: over the tree of aggregators, and from every edge to every other.

#include <map>

#include "parts.h"
#include "persimmongrade/peer_transport.h"
#include "persimmongrade/update_relay.h"

namespace persimmongrade {

namespace {

struct edge_traffic {
    std::size_t sent_messages = 0;
    std::size_t sent_bytes = 0;
    std::size_t received_bytes = 0;
    std::set<std::string> sent_to;
};

struct update_node {
    target_pool pool{{}};
    quarantine crashes;
    update_relay relay;
    edge_traffic traffic;

    update_node(edge_place place, const std::vector<std::string>& names)
        : relay({std::move(place), names}, this->pool, this->crashes) {}
};

// Edges with targets that announce themselves every second, at times spread over the second. Messages arrive at once,
// so that the time between hops is only that for which the relay collects renewals.
struct update_run {
    static constexpr std::int64_t announce_ms = 1000;
    static constexpr std::int64_t measured_seconds = 2;

    std::vector<std::string> names;
    std::size_t targets_per_edge;
    std::vector<std::unique_ptr<update_node>> nodes;
    std::map<std::string, std::size_t> by_name;
    time_point now{ms(1'000'000)};
    std::vector<std::pair<std::size_t, relay_message>> queue;  // with the sender

    // 7 edges are in 3 regions of one zone, more edges in 7 regions with 15 zones. Without the tree, the edges have no
    // edge list and send to every edge of the settings.
    update_run(std::size_t edges, std::size_t targets_per_edge, bool tree)
        : names(edge_names(edges)), targets_per_edge(targets_per_edge) {
        bool small = edges <= 7;
        edge_entries list;
        for (std::size_t i = 0; i < edges; ++i) {
            std::size_t zone = i % (small ? 3 : 15);
            auto info = std::make_unique<wire::edge_info_t>();
            info->id = this->names[i];
            info->region = region_name(zone % (small ? 3 : 7));
            info->zone = info->region + "-" + std::to_string(zone);
            info->alive = true;
            this->nodes.push_back(
                std::make_unique<update_node>(edge_place{info->id, info->region, info->zone}, this->names));
            this->by_name[info->id] = i;
            list.push_back(std::move(info));
        }
        for (auto& node : this->nodes) {
            if (tree) {
                node->relay.set_edges(this->now, list);
            }
        }
    }

    void send(std::size_t from, relay_messages messages) {
        for (auto& message : messages) {
            this->queue.emplace_back(from, std::move(message));
        }
    }

    void deliver_all() {
        while (!this->queue.empty()) {
            auto messages = std::move(this->queue);
            this->queue.clear();
            for (auto& [from, message] : messages) {
                this->deliver(from, message);
            }
        }
    }

    void deliver(std::size_t from, relay_message& message) {
        wire::envelope_t envelope;
        envelope.cluster = "bureau";
        envelope.from = this->names[from];
        envelope.incarnation = 1'700'000'000'000;
        envelope.body = std::move(message.message);
        std::size_t bytes = encode_frame(envelope).size();
        edge_traffic& sender = this->nodes[from]->traffic;
        ++sender.sent_messages;
        sender.sent_bytes += bytes;
        sender.sent_to.insert(message.to);
        std::size_t to = this->by_name.at(message.to);
        this->nodes[to]->traffic.received_bytes += bytes;
        this->send(to, this->nodes[to]->relay.receive(this->now, envelope.from, *envelope.body.Astarget_update()));
    }

    void announce(std::size_t edge, std::size_t number) {
        wire::target_info_t info;
        info.id = "target-" + std::to_string(edge) + "-" + std::to_string(number);
        // Few targets for each service: the pool checks all targets of a service at each update.
        info.service = lease_service + std::to_string(edge % 25);
        info.address = "127.0.2.1:9000";
        info.region = "region-0";
        info.zone = "region-0-a";
        info.slots = 4;
        info.connections = 330;
        info.load = 0.5;
        info.incarnation = 1'700'000'000'000;
        info.taken_at_ms = info.sequence = static_cast<std::uint64_t>(this->now.time_since_epoch().count());
        info.lease_ms = static_cast<std::uint32_t>(target_lease.count());
        this->send(edge, this->nodes[edge]->relay.announce(this->now, info));
    }

    void run(std::int64_t seconds) {
        std::size_t targets = this->names.size() * this->targets_per_edge;
        for (time_point end = this->now + ms(seconds * announce_ms); this->now < end; this->now += ms(1)) {
            auto passed = static_cast<std::size_t>(this->now.time_since_epoch().count() % announce_ms);
            // Target i announces at i * 1000 / targets ms; neighbours in this order are at different edges.
            for (std::size_t i = (passed * targets + announce_ms - 1) / announce_ms;
                 i < ((passed + 1) * targets + announce_ms - 1) / announce_ms; ++i) {
                this->announce(i % this->names.size(), i / this->names.size());
            }
            for (std::size_t i = 0; i < this->nodes.size() && passed % 5 == 0; ++i) {
                auto next = this->nodes[i]->relay.next_tick();
                if (next && *next <= this->now) {
                    this->send(i, this->nodes[i]->relay.tick(this->now));
                }
            }
            this->deliver_all();
        }
    }

    std::vector<nlohmann::json> measure(const std::string& method) {
        this->run(2);  // every target is known and announces renewals only
        for (auto& node : this->nodes) {
            node->traffic = {};
        }
        double seconds_used = seconds([&] { this->run(measured_seconds); });
        edge_traffic sum;
        edge_traffic most;
        std::size_t links = 0;
        std::size_t most_links = 0;
        for (const auto& node : this->nodes) {
            const edge_traffic& one = node->traffic;
            sum.sent_messages += one.sent_messages;
            sum.sent_bytes += one.sent_bytes;
            most.sent_messages = std::max(most.sent_messages, one.sent_messages);
            most.sent_bytes = std::max(most.sent_bytes, one.sent_bytes);
            most.received_bytes = std::max(most.received_bytes, one.received_bytes);
            links += one.sent_to.size();
            most_links = std::max(most_links, one.sent_to.size());
        }
        auto edges = static_cast<double>(this->names.size());
        double announcements = edges * static_cast<double>(this->targets_per_edge) * measured_seconds;
        auto per_second = [](std::size_t count) { return static_cast<double>(count) / measured_seconds; };
        return {this->names.size(),
                this->targets_per_edge,
                method,
                static_cast<double>(sum.sent_messages) / announcements,
                static_cast<double>(sum.sent_bytes) / announcements,
                per_second(sum.sent_bytes) / edges / 1000,
                per_second(most.sent_messages),
                per_second(most.sent_bytes) / 1000,
                per_second(most.received_bytes) / 1000,
                static_cast<double>(links) / edges,
                most_links,
                seconds_used * 1e6 / announcements};
    }
};

}  // namespace

std::vector<table> measure_all_target_updates() {
    table report{"target updates between edges, each target announces every second",
                 {"edges", "targets per edge", "method", "messages per announcement", "bytes per announcement",
                  "mean kB/s sent", "most messages/s sent", "most kB/s sent", "most kB/s received",
                  "mean peers sent to", "most peers sent to", "us per announcement, all edges"},
                 {}};
    for (std::size_t edges : {7U, 100U, 650U}) {
        for (std::size_t targets : {1U, 4U}) {
            if (edges * targets > 1000) {
                continue;  // each edge's copy of all targets would need more than 1 GB in this one process
            }
            report.rows.push_back(update_run(edges, targets, false).measure("all to all"));
            report.rows.push_back(update_run(edges, targets, true).measure("tree"));
        }
    }
    return {report};
}

}  // namespace persimmongrade
