// The edge's side of configuration distribution: pings, configuration lease and applied configuration. Pure: time is
// an argument, and actions are returned.
//
//     every ping period:  actions = client.ping(now, content)     // content: demand and state of this edge
//     on a message:       actions = client.receive(now, from, pong | not_leader | push)
//     per request:        if (!client.lease_valid(now)) refuse
//
// Pings go to the leader; while it is unknown or silent they go to all control processes. The configuration lease is
// counted from when the ping was sent and extended only when the applied revision is at least the committed revision
// that the leader stated, so that an edge with a valid lease has applied everything that was accepted before that ping.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "messages_generated.h"
#include "persimmongrade/clock.h"
#include "persimmongrade/config_transfer.h"

namespace persimmongrade {

struct config_client_options {
    std::string edge;
    std::uint64_t incarnation = 0;
    std::vector<std::string> control;          // ids of all control processes
    duration leader_silence = ms(350);         // after that the other control processes are pinged as well
    duration full_copy_after = ms(600);        // behind the committed revision for that long: asks for a full copy
    duration longest_config_lease = ms(2000);  // longer leases in a pong are cut to this

    friend bool operator==(const config_client_options&, const config_client_options&) = default;
};

struct outgoing_message {
    std::string to;
    wire::messageUnion message;
};

struct config_actions {
    std::vector<outgoing_message> messages;
    bool applied = false;        // configuration() changed
    bool pong_accepted = false;  // the pong came from the current leader and answers a ping of this client
};

class config_client {
public:
    explicit config_client(config_client_options options);

    // Sets edge, applied revision and, when it is 0, the sequence of the ping. Sequences must rise.
    config_actions ping(time_point now, wire::edge_ping_t content);

    config_actions receive(time_point now, const std::string& from, const wire::edge_pong_t& pong);
    config_actions receive(time_point now, const std::string& from, const wire::not_leader_t& answer);
    config_actions receive(time_point now, const std::string& from, const wire::config_push_t& push);
    config_actions receive(time_point now, const std::string& from, const wire::config_part_t& part);

    bool lease_valid(time_point now) const noexcept { return now < this->lease_expires_at; }
    time_point lease_expiry() const noexcept { return this->lease_expires_at; }
    std::uint64_t revision() const noexcept { return this->current->revision; }
    const std::string& leader() const noexcept { return this->leader_id; }  // empty while unknown
    const std::shared_ptr<const wire::configuration_t>& configuration() const noexcept { return this->current; }

private:
    // What a pong promised, while the configuration is still behind.
    struct pending_extension {
        time_point expires_at{};
        std::uint64_t committed_revision = 0;
    };

    void extend(const pending_extension& extension);
    bool is_control(const std::string& id) const;
    config_actions apply(const std::string& from, const wire::configuration_delta_t& delta);
    config_actions acknowledge(const std::string& to, bool need_full) const;
    config_actions acknowledge(const std::string& to, const wire::config_part_t& part, bool need_full) const;
    void request_full_copy_when_behind(time_point now, config_actions& actions);

    config_client_options options;
    std::shared_ptr<const wire::configuration_t> current;
    std::string leader_id;
    std::uint64_t leader_term = 0;
    time_point leader_heard_at{};
    std::uint64_t last_sequence = 0;
    std::map<std::uint64_t, time_point> sent_at;  // of pings that may still be answered, by sequence
    time_point lease_expires_at{};
    std::optional<pending_extension> pending;
    std::uint64_t committed = 0;  // highest committed revision stated by a leader
    std::optional<time_point> behind_since;
    config_assembler assembler;
};

// Returns the configuration that results from a change. The base revision is not checked.
wire::configuration_t apply_delta(const wire::configuration_t& base, const wire::configuration_delta_t& delta);

}  // namespace persimmongrade
