// Deterministic state machine: applies the committed commands of the control log.
//
//     record_store store;
//     wire::submission_result_t answer = store.apply(decode_command(entry.payload));
//     byte_string saved = store.snapshot();
//     record_store copy = record_store::restore(saved);   // copy == store
//
// The same commands in the same order give the same state and the same answers on every control process. The result
// depends on nothing else: not on a clock, on settings, or on checks that a later release may change.
//
// Revisions start at 0 (empty configuration). Each command that changes the configuration raises the revision by one.
//
// Versions. A record name is live, withdrawn or unknown.
//   submit     accepted when the version is above that of the live or withdrawn record. The same version with the same
//              content is accepted again at its old revision. Anything else is version_conflict
//   withdraw   accepted when the version equals that of the live record. A repeated withdrawal is accepted at its old
//              revision
//   A service can be declared by only one live record; a second declaration is invalid.

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "persimmongrade/error.h"
#include "record_generated.h"

namespace persimmongrade {

inline constexpr std::size_t max_kept_submissions = 10'000;  // whose answer is repeated when they are resent
inline constexpr std::size_t max_kept_revisions = 4'096;     // base revisions for which changes_since() is not full

// The bytes are not a valid command, or not a valid snapshot.
class command_corrupt : public error {
public:
    using error::error;
};
class snapshot_corrupt : public error {
public:
    using error::error;
};

std::vector<std::uint8_t> encode_command(const wire::command_t& command);
wire::command_t decode_command(const std::vector<std::uint8_t>& bytes);  // any bytes; throws command_corrupt

class record_store {
public:
    // Applies one committed command and returns its answer. A command with a known submission id changes nothing and
    // gets the first answer again. Commands with an empty id (the leader's own) are not remembered.
    wire::submission_result_t apply(const wire::command_t& command);

    // Configuration
    std::uint64_t revision() const noexcept { return this->current_revision; }
    const wire::steering_record_t* find_record(const std::string& name) const;  // live record; null when there is none
    std::uint64_t record_revision(const std::string& name) const;   // at which it was accepted; 0: no live record
    std::uint64_t drain_revision(const std::string& target) const;  // 0: the target is not draining
    std::vector<wire::target_drain_t> drain_list() const;
    wire::configuration_t configuration() const;
    // The changes after `base`; the full configuration when `base` is too old, unknown or 0.
    wire::configuration_delta_t changes_since(std::uint64_t base) const;

    // Snapshots
    std::vector<std::uint8_t> snapshot() const;
    static record_store restore(const std::vector<std::uint8_t>& bytes);  // any bytes; throws snapshot_corrupt

    // Compares everything that a snapshot contains.
    friend bool operator==(const record_store& left, const record_store& right);

private:
    template <typename Value>
    struct versioned {
        Value value;
        std::uint64_t revision = 0;  // of the last change

        friend bool operator==(const versioned&, const versioned&) = default;
    };
    enum class changed_item_kind : std::uint8_t { record, drain, assignment };
    // Kind; record name, target or service; caller region of an assignment.
    using changed_item_key = std::tuple<changed_item_kind, std::string, std::string>;
    using assignment_key = std::pair<std::string, std::string>;  // service, caller region

    wire::submission_result_t apply_body(const wire::command_bodyUnion& body);
    wire::submission_result_t submit(const wire::submit_record_t& command);
    wire::submission_result_t withdraw(const wire::withdraw_record_t& command);
    wire::submission_result_t announce(const wire::announce_drain_t& command);
    wire::submission_result_t cancel(const wire::cancel_drain_t& command);
    wire::submission_result_t assign(const wire::set_assignments_t& command);
    wire::submission_result_t accepted() const;
    std::string find_conflicting_record(const wire::steering_record_t& record, std::string& service) const;
    bool is_service_declared(const std::string& service) const;
    void remove_undeclared_assignments();
    void begin_revision() { ++this->current_revision; }
    void record_change(changed_item_key key);
    void remember_result(const wire::submission_result_t& result);
    void add_to_delta(const changed_item_key& key, wire::configuration_delta_t& delta) const;

    std::uint64_t current_revision = 0;
    std::map<std::string, versioned<wire::steering_record_t>> records;
    std::map<std::string, versioned<std::uint64_t>> withdrawn;  // last version, by record name
    std::map<std::string, versioned<wire::target_drain_t>> drains;
    std::map<assignment_key, wire::assignment_t> assignments;
    std::map<std::string, wire::submission_result_t> results_by_id;  // by submission id
    std::deque<std::string> result_order;                            // oldest first
    std::map<std::uint64_t, std::vector<changed_item_key>> history;  // items changed by each recent revision
    std::uint64_t history_base = 0;                                  // `history` holds every revision above this one
};

}  // namespace persimmongrade
