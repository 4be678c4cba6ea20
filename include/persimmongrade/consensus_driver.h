// Runs the consensus core (consensus.h): executes its actions on synced storage, and passes messages and committed
// entries to a delegate in order. Use it to keep replicated state in a process.
//
//     consensus_driver<my_server> log(server, options, storage_options, now);
//     log.start();                                  // once, before any other event
//     log.tick(now);                                // at least every 10 ms
//     log.receive(now, sender_id, message);
//     log.propose(now, {command}, [&](std::uint64_t first_index, std::uint64_t term) { ... });
//
// After a failed write or sync, this process no longer takes part in consensus: it sends and applies nothing more, its
// leader lease expires, and the other processes elect a leader. reopen() or a restart of the process repairs the log.

#pragma once

#include <algorithm>
#include <concepts>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "persimmongrade/consensus.h"
#include "persimmongrade/log.h"
#include "persimmongrade/log_storage.h"

namespace persimmongrade {

// Callbacks of the driver. `Delegate` of consensus_driver must satisfy it.
template <typename T>
concept consensus_delegate = requires(T delegate, const std::string& to, wire::messageUnion body,
                                      const wire::log_entry_t& entry, const byte_string& bytes,
                                      leadership_change change) {
    delegate.send(to, std::move(body));
    delegate.apply_entry(entry);                             // once for each committed entry, in order
    delegate.batch_applied();                                // after the state and the entries of one actions value
    delegate.install_state(bytes);                           // replaces the applied state; empty: initial state
    { delegate.save_state() } -> std::same_as<byte_string>;  // the applied state
    delegate.members_changed();
    delegate.leadership_changed(change);
};

template <typename Delegate>
class consensus_driver {
public:
    // Opens the data directory. Throws subclasses of storage_error.
    consensus_driver(Delegate& delegate, const consensus_options& options, storage_options storage, time_point now)
        : delegate(delegate), options(options), storage_settings(std::move(storage)),
          storage(std::in_place, this->files, this->storage_settings), loaded_state(this->storage->take_state()),
          initial_snapshot(this->loaded_state.newest_snapshot),
          core(options, this->storage->identity().id, std::move(this->loaded_state), std::random_device{}(), now) {}

    // Reopens the data directory after a failure and restarts from its contents. Throws subclasses of storage_error,
    // among them identity_error when the directory is not the one opened at first; the driver then stays failed.
    void reopen(time_point now) {
        this->storage_settings.bootstrap.reset();  // a directory emptied since must not get its old identity back
        this->storage.reset();
        this->storage.emplace(this->files, this->storage_settings);
        if (this->storage->identity().id != this->core.id()) {
            this->storage.reset();
            throw identity_error("the data directory no longer belongs to " + this->core.id());
        }
        this->loaded_state = this->storage->take_state();
        this->initial_snapshot = this->loaded_state.newest_snapshot;
        this->core =
            consensus(this->options, this->core.id(), std::move(this->loaded_state), std::random_device{}(), now);
        this->start();
    }

    // Installs the stored snapshot in the delegate. Call once, before any other event.
    void start() {
        this->delegate.install_state(this->initial_snapshot->data);
        this->applied_index = this->initial_snapshot->last_index;
        this->initial_snapshot.reset();
        this->delegate.members_changed();
    }

    const std::string& id() const { return this->core.id(); }
    // Empty after a storage failure: the core keeps its state of that time, in which this process may be the leader.
    std::string leader_id() const { return this->failed() ? std::string() : this->core.leader_id(); }
    std::uint64_t term() const { return this->core.term(); }
    std::uint64_t commit_index() const { return this->core.commit_index(); }
    std::uint64_t known_commit_index() const { return this->core.known_commit_index(); }
    const wire::voter_set_t& voters() const { return this->core.voters(); }
    const std::set<std::string>& known_lost_voters() const { return this->core.known_lost_voters(); }
    bool failed() const { return !this->storage || this->storage->failed(); }
    bool is_leader() const { return !this->failed() && this->core.is_leader(); }
    bool can_serve_reads(time_point now) const { return !this->failed() && this->core.can_serve_reads(now); }
    bool knows_all_commits(time_point now) const { return !this->failed() && this->core.knows_all_commits(now); }
    bool is_member() const {
        const auto& members = this->core.voters().voters;
        return std::any_of(members.begin(), members.end(),
                           [&](const auto& member) { return member->id == this->id(); });
    }

    void tick(time_point now) {
        this->run_unless_failed([&] { this->execute(now, this->core.tick(now)); });
    }

    void receive(time_point now, const std::string& from, const wire::messageUnion& message) {
        this->run_unless_failed([&] { this->execute(now, this->core.receive(now, from, message)); });
    }

    // Calls appended(first_index, term) before any of the entries is applied. Throws not_leader_error.
    template <typename Appended>
    void propose(time_point now, std::vector<byte_string> payloads, Appended appended) {
        this->run_unless_failed([&] {
            proposal result = this->core.propose(now, std::move(payloads));
            appended(result.first_index, result.term);
            this->execute(now, std::move(result.todo));
        });
    }

    bool is_recently_active(time_point now, const std::string& member) const {
        return this->core.is_recently_active(now, member);
    }

    // Throws not_leader_error, membership_busy_error and membership_error.
    void change_voters(time_point now, const membership_change& change) {
        this->run_unless_failed([&] { this->execute(now, this->core.change_voters(now, change).todo); });
    }

    // Throws not_leader_error and transfer_error.
    void transfer_leadership(time_point now) {
        this->run_unless_failed([&] { this->execute(now, this->core.transfer_leadership(now)); });
    }

private:
    template <typename Work>
    void run_unless_failed(Work work) {
        if (this->failed()) {
            return;
        }
        try {
            work();
        } catch (const storage_error& failure) {
            log_error("storage failed; this process takes no part in consensus until it is restarted or its storage is "
                      "reopened",
                      field("reason", failure.what()));
            this->delegate.leadership_changed(leadership_change::lost);
        }
    }

    void send(std::vector<outgoing_message>& messages) {
        for (outgoing_message& message : messages) {
            this->delegate.send(message.to, std::move(message.body));
        }
    }

    void execute(time_point now, actions todo) {
        this->send(todo.early_messages);
        this->storage->persist(todo);
        this->send(todo.messages);
        this->apply(todo);
        if (todo.voters_changed) {
            this->delegate.members_changed();
        }
        if (todo.leadership != leadership_change::none) {
            this->delegate.leadership_changed(todo.leadership);
        }
        if (todo.needs_log_synced()) {
            this->execute(now, this->core.log_synced(now, todo.entries.back().index));  // sets snapshot_due again
        } else if (todo.snapshot_due) {
            this->execute(now, this->core.snapshot_taken(now, this->applied_index, this->delegate.save_state()));
        }
    }

    void apply(const actions& todo) {
        if (todo.install) {
            this->delegate.install_state(todo.install->data);
            this->applied_index = todo.install->last_index;
        }
        for (const wire::log_entry_t& entry : todo.committed) {
            this->delegate.apply_entry(entry);
            this->applied_index = entry.index;
        }
        if (todo.install || !todo.committed.empty()) {
            this->delegate.batch_applied();
        }
    }

    Delegate& delegate;
    consensus_options options;
    storage_options storage_settings;
    posix_file_system files;
    std::optional<log_storage<posix_file_system>> storage;  // empty: reopening after a failure did not succeed
    persistent_state loaded_state;                          // moved into the core when it is created
    snapshot_pointer initial_snapshot;
    consensus core;
    std::uint64_t applied_index = 0;
};

}  // namespace persimmongrade
