// Size of a pong with the list of edges.

#include "parts.h"
#include "persimmongrade/distribution.h"
#include "persimmongrade/edge_list.h"

namespace persimmongrade {

namespace {

struct edge_list_cost {
    double whole_bytes = 0;   // pong to an edge that has just started
    double steady_bytes = 0;  // mean of later pongs, of all edges
    double leader_us = 0;     // per later ping: update of the list, answer and encoding
    double whole_leader_us = 0;
};

// Edges that ping every 250 ms. In each second one edge changes its state and `restarts` edges start anew.
struct edge_list_run {
    static constexpr std::size_t pings_per_second = 4;

    std::vector<std::string> names;
    std::size_t restarts;
    record_store store;
    distribution distributor{{}, names, store};
    std::vector<edge_list> lists = std::vector<edge_list>(names.size());
    std::vector<wire::edge_ping_t> pings = std::vector<wire::edge_ping_t>(names.size());
    edge_list_cost cost;
    double later = 0;

    edge_list_run(std::size_t edges, std::size_t restarts) : names(edge_names(edges)), restarts(restarts) {
        this->distributor.set_authority(time_point(ms(0)), 0, {true, "control-1", 1});
        for (std::size_t i = 0; i < edges; ++i) {
            wire::edge_ping_t& ping = this->pings[i];
            ping.edge = this->names[i];
            ping.incarnation = 1'700'000'000'000;
            ping.region = "region-0";
            ping.zone = "region-0-a";
            ping.http_address = "127.0.1.1:8000";
            ping.peer_address = "127.0.1.1:7000";
        }
    }

    void ping(std::size_t i, time_point now, bool steady) {
        ++this->pings[i].sequence;
        this->lists[i].name_version(this->pings[i]);
        std::vector<std::uint8_t> bytes;
        double spent = seconds([&] {
            for (auto& message : this->distributor.on_ping(now, this->pings[i], {})) {
                bytes = pack<wire::edge_pong>(*message.body.Asedge_pong());
            }
        });
        wire::edge_pong_t pong;
        flatbuffers::GetRoot<wire::edge_pong>(bytes.data())->UnPackTo(&pong);
        this->lists[i].receive(pong);
        if (pong.edges_base == 0) {
            this->cost.whole_bytes = std::max(this->cost.whole_bytes, static_cast<double>(bytes.size()));
            this->cost.whole_leader_us = std::max(this->cost.whole_leader_us, spent * 1e6);
            return;
        }
        if (!steady) {
            return;
        }
        ++this->later;
        this->cost.steady_bytes += static_cast<double>(bytes.size());
        this->cost.leader_us += spent * 1e6;
    }

    void change_edges(std::size_t second) {
        auto& state = this->pings[second % this->names.size()].state;
        state = state == wire::edge_state::serving ? wire::edge_state::stopping : wire::edge_state::serving;
        for (std::size_t k = 0; k < this->restarts; ++k) {
            std::size_t i = (second * 7 + k + 1) % this->names.size();
            ++this->pings[i].incarnation;
            this->lists[i] = edge_list();
        }
    }

    edge_list_cost measure() {
        constexpr std::size_t measured_seconds = 10;
        for (std::size_t round = 0; round < measured_seconds * pings_per_second; ++round) {
            if (round % pings_per_second == 2) {
                this->change_edges(round / pings_per_second);
            }
            for (std::size_t i = 0; i < this->names.size(); ++i) {
                std::size_t since_start = round * 250 + i * 250 / this->names.size();
                bool steady = round >= pings_per_second;  // before, the edges announce themselves one by one
                this->ping(i, time_point(ms(2000 + static_cast<std::int64_t>(since_start))), steady);
            }
        }
        this->cost.steady_bytes /= this->later;
        this->cost.leader_us /= this->later;
        return this->cost;
    }
};

}  // namespace

std::vector<table> measure_all_edge_lists() {
    table report{
        "pong without grants: edge list, pings every 250 ms, one change of state per second",
        {"edges", "restarts per s", "whole list bytes", "changes bytes", "leader us, whole", "leader us, changes"},
        {}};
    for (std::size_t edges : {7U, 100U, 650U}) {
        for (std::size_t restarts : {0U, 1U}) {
            edge_list_cost cost = edge_list_run(edges, restarts).measure();
            report.rows.push_back(
                {edges, restarts, cost.whole_bytes, cost.steady_bytes, cost.whole_leader_us, cost.leader_us});
        }
    }
    return {report};
}

}  // namespace persimmongrade
