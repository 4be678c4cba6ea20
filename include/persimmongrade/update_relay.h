// Update relay: distributes target updates and quarantine notices among edges over a tree of aggregators. Free of I/O:
// the current time is an argument, and the messages to send are returned.
//
//     relay.set_edges(now, list.entries());         // whenever the edge list has changed
//     relay.announce(now, info);                    // POST /v1/targets
//     relay.receive(now, from, update or notice);   // from another edge
//     relay.report(notices);                        // issued by this edge's quarantine
//     relay.tick(now);                              // at next_tick()
//     for (auto& message : messages) if (!send(message)) relay.send_failed(now, message.to);
//
// In each availability zone one edge is the zone aggregator, and in each region one of the zone aggregators is also the
// region aggregator. An edge sends the announcements of its own targets to its zone aggregator. Aggregators forward
// what changed their own state. Every edge forwards a given state of a target at most once to each destination, so that
// edges with different edge lists cannot cause a loop.
//
// Lease renewals are batched for relay_batch_interval. Urgent changes (a target that is new, restarted, in another
// state, or whose lease is about to expire) and notices are sent at once.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "messages_generated.h"
#include "persimmongrade/clock.h"
#include "persimmongrade/quarantine.h"
#include "persimmongrade/target_pool.h"

namespace persimmongrade {

// An update passes through at most five edges, so that batching costs at most 250 ms of the 3 s lease.
inline constexpr duration relay_batch_interval = ms(50);
inline constexpr duration relay_state_retry_interval =
    ms(250);  // of sending the full state to an unreachable destination

struct edge_place {
    std::string id;
    std::string region;
    std::string zone;

    bool operator==(const edge_place&) const = default;
};

// Position of one edge in the tree. The lists are sorted and do not contain the edge itself.
struct tree_position {
    std::string zone_aggregator;                  // empty: not known, send to all edges in the settings
    std::string region_aggregator;                // of the own region
    std::vector<std::string> zone_edges;          // for a zone aggregator
    std::vector<std::string> zone_aggregators;    // for a region aggregator: of the other zones of its region
    std::vector<std::string> region_aggregators;  // for a region aggregator: of the other regions

    bool operator==(const tree_position&) const = default;
};

using edge_entries = std::vector<std::unique_ptr<wire::edge_info_t>>;

// Selects as aggregators the working edges (alive and not stopping) with the highest rendezvous hash. A zone without a
// working edge has an aggregator as well: stopping edges, and edges that only the leader cannot reach, still use
// targets.
tree_position find_tree_position(const edge_place& self, const edge_entries& edges);

struct relay_message {
    std::string to;
    wire::messageUnion message;
};
using relay_messages = std::vector<relay_message>;

struct relay_options {
    edge_place self;
    std::vector<std::string> configured_edges;  // destinations until the edge list is known
    std::function<tree_position(const edge_place&, const edge_entries&)> position = find_tree_position;
};

class update_relay {
public:
    // The pool and the quarantine must outlive the relay.
    update_relay(relay_options options, target_pool& targets, quarantine& request_quarantine);

    relay_messages set_edges(time_point now, const edge_entries& edges);
    relay_messages announce(time_point now, const wire::target_info_t& info);
    relay_messages receive(time_point now, const std::string& from, const wire::target_update_t& update);
    relay_messages receive(time_point now, const std::string& from, const wire::quarantine_notice_t& notice);
    relay_messages report(const std::vector<wire::quarantine_notice_t>& notices) const;
    relay_messages tick(time_point now);
    std::optional<time_point> next_tick() const;  // none: nothing is scheduled

    // The message could not be sent for want of a connection: the destination gets the full state once it is reachable.
    void send_failed(time_point now, const std::string& to);

    const tree_position& position() const noexcept { return this->own_position; }

private:
    struct destination {
        std::uint64_t incarnation = 0;
        bool alive = false;
        std::optional<time_point> state_due;  // when the full state is to be sent
    };
    using target_key = std::pair<std::string, std::string>;  // service, id

    bool is_zone_aggregator() const;
    bool should_forward(const std::string& from, const std::string& to) const;
    std::map<std::string, destination> find_destinations(const edge_entries& edges) const;
    void batch_change(time_point now, const std::string& from, const target_change& change);
    void send_notice(const wire::quarantine_notice_t& notice, const std::string& from, relay_messages& messages) const;
    void schedule_state(time_point due);
    void append_state(time_point now, const std::string& to, relay_messages& messages) const;
    relay_messages flush_when_due(time_point now);
    relay_messages flush(time_point now);

    relay_options options;
    target_pool& targets;
    quarantine& request_quarantine;
    tree_position own_position;
    std::map<std::string, destination> destinations;
    std::set<std::string> other_regions;        // listed edges in other regions
    std::map<target_key, std::string> batched;  // sender of each changed target; empty: this edge received it
    time_point flush_at{};                      // when `batched` is sent
    std::optional<time_point> first_state_due;  // earliest state_due of all destinations
};

}  // namespace persimmongrade
