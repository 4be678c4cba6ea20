// The gateway's connections to the control processes. Discovers the processes from the seeds, announces the gateway by
// periodic pings, and merges the items, target reports and quarantine notices that it receives into the item store, the
// target registry and the quarantine.
//
//     control_link link(loop, settings, metrics, items, targets, crashes, [](const control_update& update) { ... });
//     link.send_notices(crashes.target_down(now, service, target));
//
// Notices go to every control process. Each passes new ones on to the others, and to the gateways whose source it is. A
// process that was not connected gets all notices when it answers again, which takes at most control_timeout and a ping
// interval after the connection works.

#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "persimmongrade/event_loop.h"
#include "persimmongrade/item_store.h"
#include "persimmongrade/metrics.h"
#include "persimmongrade/peer_transport.h"
#include "persimmongrade/quarantine.h"
#include "persimmongrade/target_registry.h"
#include "settings_generated.h"

namespace persimmongrade {

struct control_update {
    bool items_changed = false;
    std::vector<std::string> targets;  // ids of targets with a newer report
};

class control_link {
public:
    // Throws socket_error when the peer address cannot be bound.
    control_link(event_loop& loop, const wire::fleet_settings_t& settings, metric_registry& metrics, item_store& items,
                 target_registry& targets, quarantine& crashes, std::function<void(const control_update&)> on_update);

    void set_serving(bool serving);  // whether the gateway takes clients; a change is announced at once
    void send_notices(const std::vector<wire::quarantine_notice_t>& notices);
    void set_seeds(const std::vector<std::string>& http_addresses);
    unsigned gateways_in_region() const;  // largest count that a control process last reported; at least 1
    std::size_t reachable_count(time_point now) const;  // control processes that answered within the last second
    // Gateways that take clients, according to at least half of the reachable control processes.
    std::vector<wire::gateway_info_t> gateways(time_point now) const;

private:
    struct control_peer {
        time_point answered_at{};
        time_point connected_at{};
        std::string id;  // process id of its last answer; each start has its own
        std::uint64_t reports_number = 0;
        unsigned region_gateways = 1;
        std::uint64_t gateways_version = 0;
        std::uint64_t applied = 0;  // log index that it has applied
        std::vector<wire::gateway_info_t> gateways;
        bool is_reachable = false;
        bool knows_notices = false;  // was sent all that this gateway knows
    };

    void ping_all();
    void select_source(time_point now);
    void ping(const std::string& address, control_peer& to);
    void receive(const wire::envelope_t& envelope);
    void send_notice(const std::string& address, control_peer& to, const wire::quarantine_notice_t& notice);
    void on_pong(const std::string& from, const wire::gateway_pong_t& pong);
    void on_reports(const std::string& from, const wire::target_reports_t& message);
    void add_control_peer(const std::string& address);
    control_peer* find_control_peer(const std::string& id);

    event_loop& loop;
    wire::fleet_settings_t settings;
    item_store& items;
    target_registry& targets;
    quarantine& crashes;
    std::function<void(const control_update&)> on_update;
    std::set<std::string> seeds;                        // peer addresses
    std::map<std::string, control_peer> control_peers;  // by peer address
    std::map<std::string, std::string> address_by_id;   // peer address by process id
    bool serving = false;
    std::string source;                 // peer address of the control process that is asked for items and notices
    bool notices_received = false;      // the source has sent all that it knows
    time_point source_lagging_since{};  // when another control process got ahead of the applied items; zero: none is
    timer_id initial_ping_timer = 0;
    peer_transport peers;
};

}  // namespace persimmongrade
