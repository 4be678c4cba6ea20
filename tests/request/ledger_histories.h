// Simulation of 7 edges in 3 or 5 regions, with a faulty network and a target that records each execution.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "persimmongrade/ledger.h"
#include "persimmongrade/uuid.h"

namespace persimmongrade::test {

inline constexpr std::int64_t unix_start_ms = 1'790'000'000'000;
inline const std::vector<ledger_member> edges_in_3_regions = {{"a1", "a"}, {"a2", "a"}, {"a3", "a"}, {"b1", "b"},
                                                              {"b2", "b"}, {"c1", "c"}, {"c2", "c"}};
inline const std::vector<ledger_member> edges_in_5_regions = {{"a1", "a"}, {"a2", "a"}, {"d1", "d"}, {"b1", "b"},
                                                              {"b2", "b"}, {"c1", "c"}, {"e1", "e"}};
inline constexpr std::size_t added_edge = 2;  // added by a change of members; with 5 regions, it adds a region as well

// One step of a generated history. `pick` selects an edge, a replica of the key or a kind of fault.
struct step {
    enum class kind : std::uint8_t {
        send,
        send_other,
        kill,
        kill_replica,
        kill_owner,
        kill_after_repair,
        partition,
        change
    };
    kind operation = kind::send;
    int after_ms = 0;  // after the previous step
    int key = 0;
    int pick = 0;
    int length_ms = 0;
};

struct history {
    std::uint64_t seed = 0;
    int loss_percent = 0;
    int duplicate_percent = 0;
    int late_percent = 0;  // messages delayed by up to late_ms
    int late_ms = 1;
    int failing_percent = 0;  // of dispatches: refused before execution, or their answer is lost
    int keys = 1;
    int regions = 3;
    std::vector<step> steps;
};

struct sent_request {
    std::string key;
    std::uint64_t fingerprint = 0;
    std::size_t edge = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t begun = 0;  // order of events
    time_point begun_at;
    bool dispatched = false;
    bool after_healing = false;
    std::optional<ledger_outcome> final;
    std::uint64_t ended = 0;  // order of events
};

struct target_run {
    std::string key;
    std::uint64_t fingerprint = 0;
    std::uint64_t request = 0;
};

struct totals {
    std::uint64_t runs = 0, replays = 0, waits = 0, not_run = 0, unknown = 0, reused = 0, refused_after_not_run = 0,
                  copies = 0;
};

class simulation {
public:
    explicit simulation(const history& plan);

    void run();  // all steps, then recovery from all faults, then new keys through every edge
    std::optional<std::string> violation() const;
    totals counts;

private:
    struct edge {
        std::uint64_t incarnation = 0;  // 0: not running
        std::int64_t skew_ms = 0;
        int membership = 0;
        bool copied = false;
        std::unique_ptr<ledger_replica> replica;
        std::unique_ptr<ledger_coordinator> coordinator;
    };
    struct event {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const event& other) const {
            return std::pair(this->at, this->order) > std::pair(other.at, other.order);
        }
    };

    void at(duration delay, std::function<void()> action);
    void run_until(time_point end, duration tick);
    void tick_all();
    void apply(const step& next);
    void start(std::size_t index, bool first);
    void kill(std::size_t index, duration down);
    void repair_then_kill(std::size_t first, std::size_t second, int tries);
    void change_members();
    void finish_change();
    void set_membership(std::size_t index, int membership);
    void send_request(const std::string& key, std::uint64_t fingerprint, std::size_t index);
    void send(std::size_t from, std::vector<ledger_message> messages);
    void deliver(std::size_t from, std::size_t to, const ledger_message_body& body);
    void handle(std::size_t index, ledger_actions actions);
    void handle_outcome(std::size_t index, const ledger_outcome& outcome);
    void run_on_target(std::size_t index, std::uint64_t request, std::uint64_t attempt);
    void send_new_keys();
    bool alive(std::size_t index, std::uint64_t incarnation) const;
    std::size_t index_of(const std::string& name) const;
    std::string key_of(int number);
    std::size_t replica_of(int key, int pick);
    std::int64_t random_below(std::int64_t below) { return static_cast<std::int64_t>(this->random() % below); }
    ledger_members members_at(int membership) const;
    static std::string answer_of(const std::string& key, std::uint64_t fingerprint, std::size_t run);

    const history& plan;
    const std::vector<ledger_member>& all_edges;
    std::mt19937_64 random;
    time_point now = time_point(ms(1'000'000));
    std::uint64_t order = 0;
    std::priority_queue<event> events;
    std::vector<edge> edges;
    int membership = 0;               // step of the change: 0 without the added edge, 1 old and new members, 2 with it
    std::vector<int> partition_side;  // edges on different sides cannot communicate
    bool healed = false;
    bool killed = false;  // any edge was killed at any time
    std::size_t last_owner = 0;
    std::uint64_t last_incarnation = 0;
    std::map<int, std::string> keys;
    std::map<std::uint64_t, sent_request> requests;
    std::vector<target_run> runs;
    std::set<std::uint64_t> expected_dispatches;  // requests with new keys, sent after recovery
    std::optional<std::string> failure;
};

}  // namespace persimmongrade::test
