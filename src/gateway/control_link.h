// The gateway's connections to the control processes. Discovers the processes from the seeds, announces the gateway by
// periodic pings, and merges what it receives into the given state.
//
//     control_link link(loop, settings, metrics, state, [](const control_update& update) { ... });
//     link.send_notices(state.crashes.target_down(now, service, target));
//
// One control process, the source, sends items, reports of targets and the list of gateways; it is one of the own
// region while that has one. The gateway pings the control processes of its region and its source often, and the others
// seldom, or all of them often while it looks for a source or none of its region answers.
//
// Notices and limits go to every control process. Each passes news on to the others, and to the gateways whose source
// it is. What was sent over a connection that has ended may be lost, so everything goes over the next one again.
//
// The leader of the control processes asks about those that it does not hear. Pings tell it which of them answer this
// gateway, so that it does not replace one that is only cut off.

#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "item_lag.h"
#include "persimmongrade/event_loop.h"
#include "persimmongrade/gateway_list.h"
#include "persimmongrade/item_store.h"
#include "persimmongrade/item_transfer.h"
#include "persimmongrade/metrics.h"
#include "persimmongrade/peer_transport.h"
#include "persimmongrade/quarantine.h"
#include "persimmongrade/rate_credits.h"
#include "persimmongrade/report_stream.h"
#include "persimmongrade/target_limits.h"
#include "persimmongrade/target_registry.h"
#include "settings_generated.h"

namespace persimmongrade {

// What gateways and control processes tell each other. The references must outlive the link.
struct shared_state {
    item_store& items;
    target_registry& targets;
    quarantine& crashes;
    target_limits& limits;
    rate_credit_holder& credits;
};

struct control_update {
    bool items_changed = false;
    bool credits_changed = false;
    std::vector<std::string> targets;  // ids of targets with a newer report or limit
};

class control_link {
public:
    // Throws socket_error when the peer address cannot be bound.
    control_link(event_loop& loop, const wire::fleet_settings_t& settings, metric_registry& metrics,
                 const shared_state& state, std::function<void(const control_update&)> on_update);

    void set_serving(bool serving);  // whether the gateway takes clients; a change is announced at once
    void send_notices(const std::vector<wire::quarantine_notice_t>& notices);
    void send_report(const wire::target_report_t& report);
    void send_limit(const wire::target_limit_t& limit);
    void request_credits();  // also done several times per second, while there are limits
    void set_seeds(const std::vector<std::string>& http_addresses);
    // Largest count that a control process reported within gateway_count_hold; at least 1.
    unsigned gateways_in_region() const noexcept { return this->counted_gateways; }
    std::size_t reachable_count(time_point now) const;  // control processes that answered the last pings
    // Whether a change is known to be accepted, possibly longer ago than items_in_force_ms, that is not in force here.
    // A gateway that is cut off from all control processes knows of no change.
    bool items_are_outdated(time_point now) const;
    // Gateways that take clients, in all regions, according to the source. None while no control process answers.
    const gateways_by_address& gateways() const noexcept { return this->known_gateways; }

private:
    struct control_peer {
        time_point answered_at{};
        time_point pinged_at{};
        time_point unanswered_since{};  // first ping after the last answer; zero: answered
        time_point connected_at{};
        time_point reachable_since{};
        std::string id;      // process id of its last answer; each start has its own
        std::string region;  // empty: not known
        received_reports reports;
        std::uint64_t items_number = 0;  // last message with items over the present connection
        unsigned region_gateways = 1;
        std::uint64_t applied = 0;  // log index that it has applied
        bool has_leader = false;
        gateway_list_copy gateways;
        std::vector<std::string> silent;       // process ids that it does not hear, and asks about
        std::uint64_t connection = 0;          // number of the present one, as last looked at
        std::uint64_t received_at_answer = 0;  // bytes over its connection until its last answer
        bool is_reachable = false;
        bool knows_news = false;  // was sent all notices and limits that this gateway knows
    };

    enum class ping_scope : std::uint8_t { due, all };

    void ping_peers(ping_scope scope);
    bool is_near(const std::string& address, const control_peer& peer, bool all_near) const;
    bool must_ping_all_often(time_point now) const;
    bool is_asked_about(const control_peer& peer) const;
    bool is_silent(time_point now, const std::string& address, const control_peer& peer, duration timeout) const;
    void drop_connection_if_silent(time_point now, const std::string& address, control_peer& peer);
    bool lacks_a_leader(time_point now, const control_peer& current);
    bool fails_to_send(const control_peer& current) const;
    bool is_better_source(const control_peer& other, const control_peer& chosen) const;
    void select_source(time_point now);
    void set_source(const std::string& address);
    void ping(const std::string& address, control_peer& to, bool near);
    void receive(const wire::envelope_t& envelope);
    template <typename News>
    void send_news(const News& news);
    void note_connection(const std::string& address, control_peer& to);
    void send_all_news(const std::string& address, control_peer& to);
    void count_gateways(time_point now);
    void on_pong(const std::string& from, const wire::gateway_pong_t& pong);
    void update_gateways(time_point now, const wire::gateway_pong_t& pong);
    std::uint64_t received_since_answer(const std::string& address) const;
    void log_outdated_items(time_point now);
    void acknowledge_items(const std::string& from, std::uint64_t number);
    void on_items(const std::string& from, const wire::items_delta_t& delta);
    void put_in_force(const std::string& from, std::uint64_t before, std::size_t item_count,
                      const wire::items_delta_t& delta);
    void on_reports(const std::string& from, const wire::target_reports_t& message);
    void add_control_peer(const std::string& address);
    control_peer* find_control_peer(const std::string& id);
    bool answers(time_point now, const std::string& id);

    event_loop& loop;
    wire::fleet_settings_t settings;
    item_store& items;
    target_registry& targets;
    quarantine& crashes;
    target_limits& limits;
    rate_credit_holder& credits;
    std::function<void(const control_update&)> on_update;
    std::set<std::string> seeds;                        // peer addresses
    std::map<std::string, control_peer> control_peers;  // by peer address
    std::map<std::string, std::string> address_by_id;   // peer address by process id
    bool serving = false;
    std::string source;  // peer address of a control process
    std::string leader;  // peer address of the leader of the control processes, as last told
    time_point source_selected_at{};
    gateways_by_address known_gateways;
    bool news_received = false;  // the source has sent all that it knows
    unsigned counted_gateways = 1;
    time_point fewer_gateways_since{};     // zero: as many as counted
    time_point source_leaderless_since{};  // while others have a leader; zero: they have not, or it has one
    item_receiver received_items;
    item_lag lag;
    bool outdated_logged = false;
    time_point items_progress_at{};  // last message that brought items
    timer_id initial_ping_timer = 0;
    bool lacks_earlier_items = false;  // the last change of items was refused for that reason
    metric_registry& metrics;
    peer_transport peers;
    owned_timers timers;
};

}  // namespace persimmongrade
