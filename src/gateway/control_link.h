// The gateway's connections to the control processes: finds them from seeds, tells them that it is there, and takes in
// items and reports of targets.
//
//     control_link link(loop, settings, metrics, items, targets, [](const control_update& news) { ... });

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
#include "persimmongrade/target_registry.h"
#include "settings_generated.h"

namespace persimmongrade {

struct control_update {
    bool items_changed = false;
    std::vector<std::string> targets;  // ids of which something new is known
};

class control_link {
public:
    // Throws socket_error when the peer address cannot be bound.
    control_link(event_loop& loop, const wire::fleet_settings_t& settings, metric_registry& metrics, item_store& items,
                 target_registry& targets, std::function<void(const control_update&)> on_news);

    void set_serving(bool serving);  // tells the control processes at once
    void set_seeds(const std::vector<std::string>& http_addresses);
    unsigned gateways_in_region() const;          // the most that any control process counts lately
    std::size_t answering(time_point now) const;  // control processes that answered lately
    // Gateways that take clients, as at least half of the control processes in touch see it.
    std::vector<wire::gateway_info_t> gateways(time_point now) const;

private:
    struct contact {
        time_point answered_at{};
        time_point connected_at{};
        std::string id;  // of the process, from its last answer
        std::uint64_t reports_number = 0;
        unsigned region_gateways = 1;
        std::uint64_t gateways_version = 0;
        std::uint64_t applied = 0;  // log index that it knows
        std::vector<wire::gateway_info_t> gateways;
        bool in_touch = false;
    };

    void ping_all();
    void choose_source(time_point now);
    void ping(const std::string& address, contact& to);
    void receive(const wire::envelope_t& envelope);
    void on_pong(const std::string& from, const wire::gateway_pong_t& pong);
    void on_reports(const std::string& from, const wire::target_reports_t& message);
    void add(const std::string& address);
    contact* contact_of(const std::string& id);

    event_loop& loop;
    wire::fleet_settings_t settings;
    item_store& items;
    target_registry& targets;
    std::function<void(const control_update&)> on_news;
    std::set<std::string> seeds;                   // peer addresses
    std::map<std::string, contact> contacts;       // by peer address
    std::map<std::string, std::string> addresses;  // peer address by process id
    bool serving = false;
    std::string source;         // peer address of the control process that sends items
    time_point behind_since{};  // since when a control process knows more; zero: none does
    timer_id first_pings = 0;
    peer_transport peers;
};

}  // namespace persimmongrade
