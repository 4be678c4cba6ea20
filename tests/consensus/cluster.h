// A simulated cluster of consensus members in one process, with simulated time, clocks, network and disks. The safety
// properties are checked at every step; `safety_violation` is thrown when one does not hold.

#pragma once

#include <xxhash.h>

#include <array>
#include <cstring>
#include <map>
#include <stdexcept>

#include "memory_file_system.h"

namespace persimmongrade {

struct safety_violation : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline void check_that(bool holds, const std::string& text) {
    if (!holds) {
        throw safety_violation(text);
    }
}

// Application state: the index of the last applied entry and a digest over all applied entries.
struct application {
    std::uint64_t index = 0;
    std::uint64_t digest = 0;
    bool operator==(const application&) const = default;

    application after(const wire::log_entry_t& entry) const {
        std::array<std::uint64_t, 3> head{this->digest, entry.term, static_cast<std::uint64_t>(entry.kind)};
        auto seed = XXH64(head.data(), sizeof head, entry.index);
        return {entry.index, XXH64(entry.payload.data(), entry.payload.size(), seed)};
    }

    byte_string save() const {
        byte_string bytes(100);  // sent in several snapshot chunks
        std::memcpy(bytes.data(), this, sizeof *this);
        return bytes;
    }

    static application load(const byte_string& bytes) {
        application loaded;
        if (!bytes.empty()) {
            check_that(bytes.size() == 100, "the size of a snapshot has changed");
            std::memcpy(&loaded, bytes.data(), sizeof loaded);
        }
        return loaded;
    }
};

class cluster {
public:
    struct node {
        std::string name;
        std::string id;  // changes when the disk is lost
        double clock_rate = 1.0;
        std::int64_t clock_offset_ms = 0;
        std::int64_t paused_until = 0;
        bool bootstrap = true;
        memory_file_system files;
        std::unique_ptr<log_storage<memory_file_system>> storage;  // null while the process is down
        std::unique_ptr<consensus> core;
        application state;
    };

    int loss_permille = 0;
    int duplicate_permille = 0;
    std::int64_t max_delay_ms = 5;
    std::size_t max_append_entries;
    std::vector<node> nodes;
    std::int64_t now = 0;
    std::size_t installed_snapshots = 0;  // snapshots that a leader sent
    std::size_t completed_replacements = 0;

    cluster(std::size_t size, std::uint64_t seed) : nodes(size), random(seed) {
        this->nodes.reserve(max_nodes);  // the storage of a node refers to its files
        this->max_append_entries = 1 + this->random_below(6);
        for (std::size_t i = 0; i < size; ++i) {
            auto& added = this->nodes[i];
            added.name = "n" + std::to_string(i);
            added.clock_rate = 0.995 + static_cast<double>(this->random_below(3)) * 0.005;
            added.clock_offset_ms = static_cast<std::int64_t>(this->random_below(1'000'000));
            this->initial_voters.voters.push_back(std::make_unique<wire::voter_t>());
            this->initial_voters.voters.back()->id = added.name;
            this->initial_voters.voters.back()->address = added.name;
        }
        for (auto& added : this->nodes) {
            this->start(added);
        }
    }

    std::uint64_t random_below(std::uint64_t limit) { return this->random() % limit; }

    time_point local_time(const node& at) const {
        return time_point(
            ms(at.clock_offset_ms + static_cast<std::int64_t>(static_cast<double>(this->now) * at.clock_rate)));
    }

    // ---- Faults ----

    void start(node& member) {
        storage_options options{"d", member.name, {}, this->random(), 600};
        if (member.bootstrap) {
            options.bootstrap = this->initial_voters;
        }
        member.storage = std::make_unique<log_storage<memory_file_system>>(member.files, options);
        member.id = member.storage->identity().id;
        auto loaded = member.storage->take_state();
        member.state = application::load(loaded.newest_snapshot->data);
        this->check_prefix(member.state);
        consensus_options limits;
        limits.snapshot_threshold = 12;
        limits.retained_entries = 4;
        limits.snapshot_chunk_bytes = 40;
        limits.max_append_entries = this->max_append_entries;
        limits.max_inflight_entries = 20;
        member.core =
            std::make_unique<consensus>(limits, member.id, std::move(loaded), this->random(), this->local_time(member));
    }

    void crash(node& member) {
        if (member.core) {
            member.core.reset();
            member.storage.reset();
            member.files.crash(this->random);
        }
    }

    void restart(node& member) {
        if (member.core) {
            return;
        }
        try {
            this->start(member);
        } catch (const simulated_crash&) {
            member.files.crash(this->random);
        } catch (const file_error&) {
            member.files.crash(this->random);
        }
    }

    // Restarts a voter with an empty disk, unless there is no other leader or a replacement is in progress.
    void lose_disk(node& member) {
        auto* leader = this->current_leader();
        bool complete = leader != nullptr && leader != &member && this->replaced_id.empty() &&
                        !leader->core->membership_change_pending();
        if (!complete) {
            return;
        }
        this->crash(member);
        member.files = {};
        member.bootstrap = false;
        this->replaced_id = member.id;
        this->start(member);
        this->replacement_id = member.id;
    }

    void set_link(std::size_t a, std::size_t b, bool up) {
        this->blocked_links[{this->nodes[a].name, this->nodes[b].name}] = !up;
        this->blocked_links[{this->nodes[b].name, this->nodes[a].name}] = !up;
    }

    void isolate(std::size_t index) {
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            this->set_link(index, i, i == index);
        }
    }

    // Partitions the network into two groups: bit i of `side` is the group of member i.
    void partition(std::size_t side) {
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            for (std::size_t j = 0; j < i; ++j) {
                this->set_link(i, j, ((side >> i) & 1) == ((side >> j) & 1));
            }
        }
    }

    void heal_network() {
        this->blocked_links.clear();
        this->loss_permille = 0;
        this->duplicate_permille = 0;
    }

    // Isolates the leader until the others have elected a new one. `delay` ms later reconnects it and isolates the new
    // leader: the old leader's entries return while few members hold those of the new leader.
    void swap_leaders(std::int64_t delay) {
        this->blocked_links.clear();
        auto* old_leader = this->newest_leader();
        if (old_leader == nullptr) {
            return;
        }
        this->isolate(static_cast<std::size_t>(old_leader - this->nodes.data()));
        this->propose(1 + this->random_below(3));  // reaches no other member
        constexpr std::int64_t limit = 1'500;      // ms; the others may be unable to elect a leader
        auto* leader = this->newest_leader();
        for (auto end = this->now + limit; this->now < end && (leader == nullptr || leader == old_leader);) {
            this->run_for(1);
            leader = this->newest_leader();
        }
        this->run_for(delay);
        this->blocked_links.clear();
        if (leader != nullptr && leader != old_leader) {
            this->isolate(static_cast<std::size_t>(leader - this->nodes.data()));
        }
    }

    // ---- Requests ----

    // A member that holds the leader lease and can serve reads, or null.
    node* current_leader() {
        for (auto& member : this->nodes) {
            if (member.core && member.core->can_serve_reads(this->local_time(member))) {
                return &member;
            }
        }
        return nullptr;
    }

    // The leader of the newest term, with or without a lease, or null.
    node* newest_leader() {
        node* newest = nullptr;
        for (auto& member : this->nodes) {
            bool leads = member.core && member.core->is_leader();
            if (leads && (newest == nullptr || member.core->term() > newest->core->term())) {
                newest = &member;
            }
        }
        return newest;
    }

    void propose(std::size_t count) {
        for (auto& member : this->nodes) {
            if (member.core && member.core->is_leader() && !this->paused(member)) {
                std::vector<byte_string> payloads;
                for (std::size_t i = 0; i < count; ++i) {
                    payloads.emplace_back(8 + this->random_below(8), static_cast<std::uint8_t>(this->random()));
                }
                this->try_request(
                    member, [&] { return member.core->propose(this->local_time(member), std::move(payloads)).todo; });
            }
        }
    }

    void transfer() {
        if (auto* leader = this->current_leader(); leader != nullptr && !this->paused(*leader)) {
            this->try_request(*leader, [&] { return leader->core->transfer_leadership(this->local_time(*leader)); });
        }
    }

    // ---- Time ----

    void run_for(std::int64_t length) {
        for (auto end = this->now + length; this->now < end; ++this->now) {
            this->deliver_due();
            for (std::size_t i = 0; i < this->nodes.size(); ++i) {
                auto& member = this->nodes[i];
                if ((this->now + static_cast<std::int64_t>(i)) % 10 == 0 && member.core && !this->paused(member)) {
                    this->execute(member, member.core->tick(this->local_time(member)));
                }
            }
            this->deliver_due();  // replies without network delay arrive in the same millisecond
            this->check_leases();
            this->continue_replacement();
        }
    }

    // Checks that every member applies a new proposal after all faults have ended.
    void check_progress() {
        this->heal_network();
        for (auto& member : this->nodes) {
            member.paused_until = 0;
            member.files.clear_faults();
            this->restart(member);
        }
        constexpr std::int64_t limit = 15'000;  // ms; several elections and a replacement
        auto end = this->now + limit;
        while (this->now < end && (this->current_leader() == nullptr || !this->replaced_id.empty())) {
            this->run_for(20);
        }
        auto before = this->history.size();
        this->propose(1);
        while (this->now < end && !(this->history.size() > before && this->all_equal())) {
            this->run_for(20);
        }
        check_that(this->history.size() > before, "no progress after all faults were healed");
        check_that(this->replaced_id.empty(), "the replacement of a voter did not complete");
        check_that(this->all_equal(), "members did not reach the same state");
    }

    std::size_t committed_entries() const { return this->history.size(); }

    bool paused(const node& member) const { return this->now < member.paused_until; }

    bool has_whole_state(const node& member) const { return member.core && member.state.index == this->history.size(); }

    template <typename Request>
    void try_request(node& member, const Request& request) {
        try {
            this->execute(member, request());
        } catch (const not_leader_error&) {
        } catch (const membership_busy_error&) {
        } catch (const transfer_error&) {
        }
    }

    // A process with an empty disk and an address of its own, which no voter set contains.
    node& add_node() {
        check_that(this->nodes.size() < max_nodes, "there are too many nodes");
        node& added = this->nodes.emplace_back();
        added.name = "n" + std::to_string(this->nodes.size() - 1);
        added.bootstrap = false;
        this->start(added);
        return added;
    }

private:
    static constexpr std::size_t max_nodes = 10;  // names have one digit

    struct packet {
        std::string from;
        outgoing_message message;
    };

    bool all_equal() const {
        return std::all_of(this->nodes.begin(), this->nodes.end(),
                           [this](const node& member) { return this->has_whole_state(member); });
    }

    // Executes an actions value as consensus_driver does. Any storage failure ends the process.
    void execute(node& member, actions todo) {
        try {
            while (true) {
                auto synced = todo.entries.empty() ? 0 : todo.entries.back().index;
                this->send(member, todo.early_messages);
                member.storage->persist(todo);
                this->send(member, todo.messages);
                this->apply(member, todo);
                if (todo.leadership == leadership_change::gained) {
                    auto [known, added] = this->leaders.emplace(member.core->term(), member.id);
                    check_that(added || known->second == member.id, "two leaders in one term");
                }
                if (synced > 0) {
                    todo = member.core->log_synced(this->local_time(member), synced);
                } else if (todo.snapshot_due) {
                    todo =
                        member.core->snapshot_taken(this->local_time(member), member.state.index, member.state.save());
                } else {
                    break;
                }
            }
        } catch (const simulated_crash&) {
            this->crash(member);
        } catch (const file_error&) {
            this->crash(member);
        }
    }

    void apply(node& member, const actions& todo) {
        if (todo.install) {
            check_that(todo.install->last_index > member.state.index,
                       "a snapshot older than the applied state was installed");
            member.state = application::load(todo.install->data);
            ++this->installed_snapshots;
            check_that(member.state.index == todo.install->last_index, "the snapshot belongs to another index");
            this->check_prefix(member.state);
        }
        for (const auto& entry : todo.committed) {
            check_that(entry.index == member.state.index + 1, "entries are not applied in order");
            member.state = member.state.after(entry);
            if (entry.index == this->history.size() + 1) {
                this->history.push_back(member.state.digest);
            }
            this->check_prefix(member.state);
        }
    }

    // Checks that committed entries never change: every applied state equals the first state seen at its index.
    void check_prefix(const application& state) {
        check_that(state.index <= this->history.size(), "a state was applied that is beyond the committed log");
        check_that(state.index == 0 || this->history[state.index - 1] == state.digest, "a committed entry changed");
    }

    void check_leases() {
        std::string lease_holder;
        for (const auto& member : this->nodes) {
            if (member.core && member.core->has_leader_lease(this->local_time(member))) {
                check_that(lease_holder.empty(), "two leaders hold a lease: " + lease_holder + " and " + member.id);
                lease_holder = member.id;
                bool stale =
                    member.core->can_serve_reads(this->local_time(member)) && member.state.index < this->history.size();
                check_that(!stale, "a leader with a lease has not applied a committed entry");
            }
        }
    }

    void send(const node& from, const std::vector<outgoing_message>& messages) {
        for (const auto& message : messages) {
            int copies = 1 + (static_cast<int>(this->random_below(1000)) < this->duplicate_permille ? 1 : 0);
            for (int i = 0; i < copies; ++i) {
                auto delay =
                    static_cast<std::int64_t>(this->random_below(static_cast<std::uint64_t>(this->max_delay_ms) + 1));
                if (static_cast<int>(this->random_below(1000)) >= this->loss_permille) {
                    this->packets.emplace(this->now + delay, packet{from.id, message});
                }
            }
        }
    }

    // Packets to the id of a lost disk reach the process that has its address now.
    void deliver_due() {
        constexpr int limit = 100'000;  // guards against an endless exchange without network delay
        for (int count = 0; !this->packets.empty() && this->packets.begin()->first <= this->now; ++count) {
            check_that(count < limit, "more than 100000 messages were delivered in one time step");
            auto next = std::move(this->packets.begin()->second);
            this->packets.erase(this->packets.begin());
            auto to = std::find_if(this->nodes.begin(), this->nodes.end(),
                                   [&](const node& member) { return member.name == next.message.to.substr(0, 2); });
            bool reachable =
                to != this->nodes.end() && to->core && !this->blocked_links[{next.from.substr(0, 2), to->name}];
            if (reachable && this->paused(*to)) {
                this->packets.emplace(to->paused_until, std::move(next));  // waits in the socket buffer
            } else if (reachable) {
                this->execute(*to, to->core->receive(this->local_time(*to), next.from, next.message.body));
            }
        }
    }

    // The operator's part of a replacement: requests the change from the leader until it is complete.
    void continue_replacement() {
        if (this->replaced_id.empty() || this->now % 50 != 0) {
            return;
        }
        auto* leader = this->current_leader();
        if (leader == nullptr || this->paused(*leader)) {
            return;
        }
        const auto& set = leader->core->voters().voters;
        bool added = std::any_of(set.begin(), set.end(), [&](const auto& v) { return v->id == this->replacement_id; });
        if (!added) {
            membership_change change;
            change.member.id = this->replacement_id;
            change.member.address = this->replacement_id.substr(0, 2);
            change.member.replaces = this->replaced_id;
            this->try_request(*leader,
                              [&] { return leader->core->change_voters(this->local_time(*leader), change).todo; });
        } else if (!leader->core->membership_change_pending()) {
            this->replaced_id.clear();
            ++this->completed_replacements;
        }
    }

    std::mt19937_64 random;
    wire::voter_set_t initial_voters;
    std::multimap<std::int64_t, packet> packets;
    std::map<std::pair<std::string, std::string>, bool> blocked_links;
    std::map<std::uint64_t, std::string> leaders;  // by term
    std::vector<std::uint64_t> history;            // digest after each committed entry
    std::string replaced_id;  // id of the member that lost its disk; empty: no replacement in progress
    std::string replacement_id;
};

}  // namespace persimmongrade
