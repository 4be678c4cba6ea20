// Carries out the actions of the consensus core: synced storage, messages, and committed entries in order.
//
// A write or sync that fails ends the participation of this process: it sends and applies nothing more, its leader
// lease runs out, and the other processes elect a leader. reopen() or a restart of the process repairs the log.

#pragma once

#include <algorithm>
#include <concepts>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "persimmongrade/consensus.h"
#include "persimmongrade/log.h"
#include "persimmongrade/log_storage.h"

namespace persimmongrade {

// What the driver calls on its owner.
template <typename T>
concept log_host = requires(T host, const std::string& to, wire::messageUnion body, const wire::log_entry_t& entry,
                            const byte_string& bytes, leadership_change change) {
    host.send(to, std::move(body));
    host.apply_entry(entry);                             // each committed entry once, in order
    host.batch_applied();                                // after a run of apply_entry
    host.install_state(bytes);                           // replaces the applied state
    { host.save_state() } -> std::same_as<byte_string>;  // the applied state
    host.members_changed();
    host.leadership_changed(change);
};

template <typename Host>
class consensus_driver {
public:
    // Opens the data directory; throws storage_error types.
    consensus_driver(Host& host, const consensus_options& options, storage_options storage, time_point now)
        : host(host), options(options), location(std::move(storage)),
          storage(std::in_place, this->files, this->location), loaded(this->storage->take_state()),
          initial(this->loaded.newest_snapshot),
          core(options, this->storage->identity().id, std::move(this->loaded), std::random_device{}(), now) {}

    // Opens the data directory again after a failure and starts from what it holds. Throws storage_error types, among
    // them identity_error when the directory is not the one that was opened first; the process then stays out.
    void reopen(time_point now) {
        this->location.bootstrap.reset();  // a directory that was emptied meanwhile must not get its old identity
        this->storage.reset();
        this->storage.emplace(this->files, this->location);
        if (this->storage->identity().id != this->core.id()) {
            this->storage.reset();
            throw identity_error("the data directory no longer belongs to " + this->core.id());
        }
        this->loaded = this->storage->take_state();
        this->initial = this->loaded.newest_snapshot;
        this->core = consensus(this->options, this->core.id(), std::move(this->loaded), std::random_device{}(), now);
        this->start();
    }

    // Hands the stored snapshot to the host. Call once, before any other event.
    void start() {
        this->host.install_state(this->initial->data);
        this->applied_index = this->initial->last_index;
        this->initial.reset();
        this->host.members_changed();
    }

    const std::string& id() const { return this->core.id(); }
    // Empty after a storage failure: the core still holds what it knew then, perhaps that this process is the leader.
    std::string leader_id() const { return this->failed() ? std::string() : this->core.leader_id(); }
    std::uint64_t term() const { return this->core.term(); }
    std::uint64_t commit_index() const { return this->core.commit_index(); }
    const wire::voter_set_t& voters() const { return this->core.voters(); }
    bool failed() const { return !this->storage || this->storage->failed(); }
    bool is_leader() const { return !this->failed() && this->core.is_leader(); }
    bool can_serve_reads(time_point now) const { return !this->failed() && this->core.can_serve_reads(now); }
    bool is_member() const {
        const auto& members = this->core.voters().voters;
        return std::any_of(members.begin(), members.end(),
                           [&](const auto& member) { return member->id == this->id(); });
    }

    void tick(time_point now) {
        this->guarded([&] { this->carry_out(now, this->core.tick(now)); });
    }

    void receive(time_point now, const std::string& from, const wire::messageUnion& message) {
        this->guarded([&] { this->carry_out(now, this->core.receive(now, from, message)); });
    }

    // Calls appended(first index, term) before any entry is applied. Throws not_leader_error.
    template <typename Appended>
    void propose(time_point now, std::vector<byte_string> payloads, Appended appended) {
        this->guarded([&] {
            proposal made = this->core.propose(now, std::move(payloads));
            appended(made.first_index, made.term);
            this->carry_out(now, std::move(made.todo));
        });
    }

    // Throws not_leader_error, membership_busy_error and membership_error.
    bool is_recently_active(time_point now, const std::string& member) const {
        return this->core.is_recently_active(now, member);
    }

    void change_voters(time_point now, const membership_change& change) {
        this->guarded([&] { this->carry_out(now, this->core.change_voters(now, change).todo); });
    }

    // Throws not_leader_error and transfer_error.
    void transfer_leadership(time_point now) {
        this->guarded([&] { this->carry_out(now, this->core.transfer_leadership(now)); });
    }

private:
    template <typename Work>
    void guarded(Work work) {
        if (this->failed()) {
            return;
        }
        try {
            work();
        } catch (const storage_error& failure) {
            log_error("storage failed; this process takes no further part until it is restarted",
                      field("reason", failure.what()));
            this->host.leadership_changed(leadership_change::lost);
        }
    }

    void send(std::vector<outgoing_message>& messages) {
        for (outgoing_message& message : messages) {
            this->host.send(message.to, std::move(message.body));
        }
    }

    void carry_out(time_point now, actions todo) {
        this->send(todo.early_messages);
        this->storage->persist(todo);
        this->send(todo.messages);
        this->apply(todo);
        if (todo.voters_changed) {
            this->host.members_changed();
        }
        if (todo.leadership != leadership_change::none) {
            this->host.leadership_changed(todo.leadership);
        }
        if (todo.needs_log_synced()) {
            this->carry_out(now,
                            this->core.log_synced(now, todo.entries.back().index));  // reports a due snapshot again
        } else if (todo.snapshot_due) {
            this->carry_out(now, this->core.snapshot_taken(now, this->applied_index, this->host.save_state()));
        }
    }

    void apply(const actions& todo) {
        if (todo.install) {
            this->host.install_state(todo.install->data);
            this->applied_index = todo.install->last_index;
        }
        for (const wire::log_entry_t& entry : todo.committed) {
            this->host.apply_entry(entry);
            this->applied_index = entry.index;
        }
        if (todo.install || !todo.committed.empty()) {
            this->host.batch_applied();
        }
    }

    Host& host;
    consensus_options options;
    storage_options location;
    posix_file_system files;
    std::optional<log_storage<posix_file_system>> storage;  // empty while a failed one cannot be opened again
    persistent_state loaded;                                // moved into the core
    snapshot_pointer initial;
    consensus core;
    std::uint64_t applied_index = 0;
};

}  // namespace persimmongrade
