// Distribution of the configuration from the leader to the edges: pushes, configuration leases, the list of live edges,
// and the progress of revisions and drains. Performs no I/O: time is an argument, messages are returned.
//
//     distribution distributor(options, edge_ids, store);
//     send(distributor.set_authority(now, unix_now_ms, {.serving = true, .term = 7}));   // at each change and tick
//     distributor.publish_if_due(now);
//     if (distributor.published_revision() != granter.revision()) { granter.apply(store.configuration(), now); }
//     send(distributor.on_ping(now, ping, granter.answer(ping, now)));
//     send(distributor.on_ack(now, ack));
//     send(distributor.tick(now));                       // every 20 ms, and after committed commands were applied
//
// Publication. Edges see only published revisions. A change is published at once when the last publication is at
// least `publish_interval` ago, otherwise when that interval has passed. An edge gets a configuration lease only when
// it has applied the published revision. Without the interval, a fast series of changes would keep every edge one
// revision behind at each ping, and all configuration leases would expire.
//
// Edge list. The list has a version that rises with each changed entry. An edge's ping states the term and version of
// its copy, and the pong carries the entries changed since then. Entries are never removed within a term. The applied
// revision of an edge is not part of the list: edges do not use it, and each configuration change would change every
// entry.
//
// Large changes. A change whose encoding exceeds `max_push_bytes` is sent in parts (config_transfer.h). A transfer ends
// at its own revision even when newer revisions are published meanwhile; these follow in the next push.
//
// In force. A revision is in force when each edge has applied it or the edge's configuration lease has expired. A new
// leader assumes that every edge got a lease from the previous leader just before the change of leader.

#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "messages_generated.h"
#include "persimmongrade/clock.h"
#include "persimmongrade/config_transfer.h"
#include "persimmongrade/record_store.h"

namespace persimmongrade {

struct distribution_options {
    duration configuration_lease = ms(2000);  // the edge counts it from when it sent its ping
    duration alive_timeout = ms(1000);        // an edge without a ping for this long is excluded from lookups
    duration publish_interval = ms(300);      // not a divisor of the ping period (250 ms), so the ping phase varies
    duration resend_after = ms(500);          // without an acknowledgement, a push is sent again
    std::size_t max_push_bytes = 4u << 20;    // larger changes are sent in parts
    config_transfer_options transfer;

    auto operator<=>(const distribution_options&) const = default;
};

// Whether this process may answer edges as the leader. `serving`: it is the leader, its leader lease is valid, and an
// entry of its term has been committed and applied, so that its store holds every accepted command.
struct leader_authority {
    bool serving = false;
    std::string leader;  // id of the leader; empty when unknown
    std::uint64_t term = 0;

    auto operator<=>(const leader_authority&) const = default;
};

struct peer_message {
    std::string to;
    wire::messageUnion body;
};

// Progress of one drain.
struct drain_status {
    std::string target;
    std::uint64_t revision = 0;
    std::int64_t announced_at_ms = 0;  // Unix time
    // From the announcement until no edge has requests on the target; unset while draining.
    std::optional<duration> drain_time;
    std::uint32_t outstanding = 0;         // requests, as last reported
    std::vector<std::string> waiting_for;  // edges with outstanding requests, or without the drain's revision

    auto operator<=>(const drain_status&) const = default;
};

class distribution {
public:
    // `edges`: the ids of all entry hosts. `store` must outlive this object.
    distribution(distribution_options options, const std::vector<std::string>& edges, const record_store& store);

    // Events
    void set_authority(time_point now, std::int64_t unix_now_ms, const leader_authority& authority);
    void publish_if_due(time_point now);  // call before a granter answers a ping
    std::vector<peer_message> tick(time_point now);
    // `pong` carries the lease grants. When this process is not serving, the answer is not_leader. Pings from unknown
    // edges, from older incarnations, and with a sequence that is not above that of the last ping get no answer.
    std::vector<peer_message> on_ping(time_point now, const wire::edge_ping_t& ping, wire::edge_pong_t pong);
    std::vector<peer_message> on_ack(time_point now, const wire::config_ack_t& ack);

    // State; meaningful only while serving
    bool serving() const noexcept { return this->authority.serving; }
    std::uint64_t term() const noexcept { return this->authority.term; }  // last term in which this process was serving
    std::uint64_t published_revision() const noexcept { return this->published_revision_number; }
    std::vector<std::string> not_in_force(time_point now, std::uint64_t revision) const;  // edge ids; empty: in force
    std::vector<wire::edge_info_t> edges(time_point now) const;
    std::vector<drain_status> drains(time_point now) const;

private:
    struct edge_entry {
        wire::edge_info_t info;                            // as of the last ping
        std::uint64_t last_sequence = 0;                   // of the last ping
        bool has_pinged = false;                           // pinged in this term
        time_point last_ping{};                            // valid if has_pinged
        std::uint64_t acknowledged_revision = 0;           // highest revision acknowledged by this incarnation
        std::uint64_t reported_revision = 0;               // applied revision as of the last ping
        time_point lease_expires_at{};                     // end of the edge's configuration lease
        std::uint64_t pushed_revision = 0;                 // revision of the push in flight; 0: none
        time_point pushed_at{};                            // when that push was sent
        bool needs_full_copy = false;                      // the edge asked for a full copy
        std::optional<config_transfer> transfer;           // in progress; replaces a push
        std::map<std::string, std::uint32_t> outstanding;  // requests by target, as of the last ping
        wire::edge_info_t listed_info;                     // entry of the edge list
        std::uint64_t listed_version = 0;                  // version in which that entry changed; 0: not listed
    };

    // Encoded change to the published revision, shared by all edges that need it. Exactly one member is set: the large
    // one when the encoding exceeds `max_push_bytes`.
    struct prepared_change {
        std::unique_ptr<wire::configuration_delta_t> small_delta;
        encoded_delta large_delta;
    };

    void start_serving(time_point now, std::int64_t unix_now_ms);
    void update_entry(time_point now, edge_entry& entry, const wire::edge_ping_t& ping);
    bool is_publish_due(time_point now) const;
    void publish(time_point now);
    const prepared_change& prepare_change(std::uint64_t base);
    void push_if_behind(time_point now, edge_entry& entry, std::vector<peer_message>& messages);
    void push(time_point now, edge_entry& entry, std::vector<peer_message>& messages);
    bool continue_transfer(time_point now, edge_entry& entry, std::vector<peer_message>& messages);
    wire::edge_info_t info_of(time_point now, const edge_entry& entry) const;
    void update_list_entry(time_point now, edge_entry& entry);
    void update_silent_entries(time_point now);
    void add_edge_list(time_point now, const wire::edge_ping_t& ping, wire::edge_pong_t& pong);
    void update_drains(time_point now);
    bool may_use_older_revision(time_point now, const edge_entry& entry, std::uint64_t revision) const;
    bool may_have_requests(time_point now, const edge_entry& entry, const std::string& target,
                           std::uint64_t revision) const;
    bool is_edge_list_complete(time_point now) const;

    distribution_options options;
    const record_store& store;
    leader_authority authority;
    std::map<std::string, edge_entry> entries;
    time_point serving_since{};
    std::int64_t unix_offset_ms = 0;  // Unix time minus local time, measured in start_serving()
    std::uint64_t published_revision_number = 0;
    std::optional<time_point> published_at;
    std::map<std::uint64_t, prepared_change> prepared_changes;  // by base revision
    std::uint64_t last_transfer_number = 0;
    std::map<std::string, drain_status> drain_progress;             // by target
    std::uint64_t list_version = 0;                                 // version of the edge list in this term
    std::map<std::uint64_t, const edge_entry*> entries_by_version;  // by listed_version
    time_point next_silence_check_at{};                             // no edge listed as alive can become silent before
};

}  // namespace persimmongrade
