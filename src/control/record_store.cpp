#include "persimmongrade/record_store.h"

#include <algorithm>
#include <iterator>

namespace persimmongrade {

namespace {

constexpr flatbuffers::uoffset_t max_verified_depth = 64;
constexpr flatbuffers::uoffset_t max_verified_tables = 100'000'000;  // a snapshot holds every client block

wire::submission_result_t refusal(wire::submission_status status, std::string detail) {
    wire::submission_result_t result;
    result.status = status;
    result.detail = std::move(detail);
    return result;
}

std::string submission_id_of(const wire::command_bodyUnion& body) {
    switch (body.type) {
    case wire::command_body::submit_record:
        return body.Assubmit_record()->submission_id;
    case wire::command_body::withdraw_record:
        return body.Aswithdraw_record()->submission_id;
    case wire::command_body::announce_drain:
        return body.Asannounce_drain()->submission_id;
    case wire::command_body::cancel_drain:
        return body.Ascancel_drain()->submission_id;
    case wire::command_body::set_assignments:
        return body.Asset_assignments()->submission_id;
    case wire::command_body::NONE:
        break;
    }
    return {};
}

template <typename Value>
void append(std::vector<std::unique_ptr<Value>>& list, const Value& value) {
    list.push_back(std::make_unique<Value>(value));
}

// Ignores the schema version: resubmitting the same content in another schema version is not a change.
bool same_content(const wire::steering_record_t& left, wire::steering_record_t right) {
    right.schema_version = left.schema_version;
    return left == right;
}

}  // namespace

std::vector<std::uint8_t> encode_command(const wire::command_t& command) {
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::command::Pack(builder, &command));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

wire::command_t decode_command(const std::vector<std::uint8_t>& bytes) {
    flatbuffers::Verifier verifier(bytes.data(), bytes.size(), max_verified_depth, max_verified_tables);
    if (bytes.empty() || !verifier.VerifyBuffer<wire::command>(nullptr)) {
        throw command_corrupt("a log entry of " + std::to_string(bytes.size()) + " bytes is not a valid command");
    }
    wire::command_t command;
    flatbuffers::GetRoot<wire::command>(bytes.data())->UnPackTo(&command);
    return command;
}

// ---- Commands ----

wire::submission_result_t record_store::apply(const wire::command_t& command) {
    std::string id = submission_id_of(command.body);
    if (auto found = this->results_by_id.find(id); !id.empty() && found != this->results_by_id.end()) {
        return found->second;
    }
    wire::submission_result_t result = this->apply_body(command.body);
    result.submission_id = id;
    this->remember_result(result);
    return result;
}

wire::submission_result_t record_store::apply_body(const wire::command_bodyUnion& body) {
    switch (body.type) {
    case wire::command_body::submit_record:
        return this->submit(*body.Assubmit_record());
    case wire::command_body::withdraw_record:
        return this->withdraw(*body.Aswithdraw_record());
    case wire::command_body::announce_drain:
        return this->announce(*body.Asannounce_drain());
    case wire::command_body::cancel_drain:
        return this->cancel(*body.Ascancel_drain());
    case wire::command_body::set_assignments:
        return this->assign(*body.Asset_assignments());
    case wire::command_body::NONE:
        break;
    }
    return refusal(wire::submission_status::invalid, "empty command");
}

wire::submission_result_t record_store::accepted() const {
    wire::submission_result_t result;
    result.status = wire::submission_status::accepted;
    result.revision = this->current_revision;
    return result;
}

wire::submission_result_t record_store::submit(const wire::submit_record_t& command) {
    if (!command.record || command.record->name.empty()) {
        return refusal(wire::submission_status::invalid, "a record needs a name");
    }
    const wire::steering_record_t& record = *command.record;
    auto live = this->records.find(record.name);
    if (live != this->records.end() && record.version <= live->second.value.version) {
        if (same_content(live->second.value, record)) {
            wire::submission_result_t result = this->accepted();
            result.revision = live->second.revision;
            return result;
        }
        return refusal(wire::submission_status::version_conflict,
                       "version " + std::to_string(live->second.value.version) + " of '" + record.name +
                           "' is accepted; an amendment needs a higher version");
    }
    auto withdrawn_entry = this->withdrawn.find(record.name);
    if (withdrawn_entry != this->withdrawn.end() && record.version <= withdrawn_entry->second.value) {
        return refusal(wire::submission_status::version_conflict, "'" + record.name + "' was withdrawn at version " +
                                                                      std::to_string(withdrawn_entry->second.value));
    }
    std::string service;
    std::string owner = this->find_conflicting_record(record, service);
    if (!owner.empty()) {
        return refusal(wire::submission_status::invalid,
                       "service '" + service + "' is already declared by record '" + owner + "'");
    }
    this->begin_revision();
    this->records[record.name] = {record, this->current_revision};
    this->withdrawn.erase(record.name);
    this->record_change({changed_item_kind::record, record.name, ""});
    this->remove_undeclared_assignments();
    return this->accepted();
}

wire::submission_result_t record_store::withdraw(const wire::withdraw_record_t& command) {
    auto withdrawn_entry = this->withdrawn.find(command.name);
    if (withdrawn_entry != this->withdrawn.end() && withdrawn_entry->second.value == command.version) {
        wire::submission_result_t result = this->accepted();
        result.revision = withdrawn_entry->second.revision;
        return result;
    }
    auto live = this->records.find(command.name);
    if (live == this->records.end()) {
        return refusal(wire::submission_status::not_found, "there is no record '" + command.name + "'");
    }
    if (live->second.value.version != command.version) {
        return refusal(wire::submission_status::version_conflict,
                       "'" + command.name + "' is at version " + std::to_string(live->second.value.version));
    }
    this->begin_revision();
    this->records.erase(live);
    this->withdrawn[command.name] = {command.version, this->current_revision};
    this->record_change({changed_item_kind::record, command.name, ""});
    this->remove_undeclared_assignments();
    return this->accepted();
}

wire::submission_result_t record_store::announce(const wire::announce_drain_t& command) {
    if (!command.drain || command.drain->target.empty()) {
        return refusal(wire::submission_status::invalid, "a drain needs a target");
    }
    auto [found, added] = this->drains.try_emplace(command.drain->target);
    if (added) {
        this->begin_revision();
        found->second = {*command.drain, this->current_revision};
        this->record_change({changed_item_kind::drain, command.drain->target, ""});
    }
    wire::submission_result_t result = this->accepted();
    result.revision = found->second.revision;
    return result;
}

wire::submission_result_t record_store::cancel(const wire::cancel_drain_t& command) {
    if (!this->drains.contains(command.target)) {
        return refusal(wire::submission_status::not_found, "target '" + command.target + "' is not draining");
    }
    this->begin_revision();
    this->drains.erase(command.target);
    this->record_change({changed_item_kind::drain, command.target, ""});
    return this->accepted();
}

wire::submission_result_t record_store::assign(const wire::set_assignments_t& command) {
    std::map<assignment_key, wire::assignment_t> updated = this->assignments;
    for (const auto& assignment : command.assignments) {
        if (!this->is_service_declared(assignment->service)) {
            return refusal(wire::submission_status::invalid,
                           "no record declares service '" + assignment->service + "'");
        }
        assignment_key key(assignment->service, assignment->caller_region);
        if (assignment->shares.empty()) {
            updated.erase(key);
        } else {
            updated[key] = *assignment;
        }
    }
    if (updated == this->assignments) {
        return this->accepted();
    }
    this->begin_revision();
    for (const auto& assignment : command.assignments) {
        this->record_change({changed_item_kind::assignment, assignment->service, assignment->caller_region});
    }
    this->assignments = std::move(updated);
    return this->accepted();
}

// Returns the name of another live record that declares one of the record's services, and sets `service` to that
// service; empty if there is none.
std::string record_store::find_conflicting_record(const wire::steering_record_t& record, std::string& service) const {
    for (const auto& [name, live] : this->records) {
        for (const auto& declared : live.value.services) {
            bool has_same_service =
                name != record.name && std::any_of(record.services.begin(), record.services.end(),
                                                   [&](const auto& s) { return s->name == declared->name; });
            if (has_same_service) {
                service = declared->name;
                return name;
            }
        }
    }
    return {};
}

bool record_store::is_service_declared(const std::string& service) const {
    return std::any_of(this->records.begin(), this->records.end(), [&](const auto& entry) {
        const auto& services = entry.second.value.services;
        return std::any_of(services.begin(), services.end(), [&](const auto& s) { return s->name == service; });
    });
}

// Removes the assignments of services that no record declares any longer, in the revision that removed the service.
void record_store::remove_undeclared_assignments() {
    std::erase_if(this->assignments, [&](const auto& entry) {
        bool is_undeclared = !this->is_service_declared(entry.first.first);
        if (is_undeclared) {
            this->record_change({changed_item_kind::assignment, entry.first.first, entry.first.second});
        }
        return is_undeclared;
    });
}

void record_store::record_change(changed_item_key key) {
    this->history[this->current_revision].push_back(std::move(key));
    while (this->history.size() > max_kept_revisions) {
        this->history_base = this->history.begin()->first;
        this->history.erase(this->history.begin());
    }
}

void record_store::remember_result(const wire::submission_result_t& result) {
    if (result.submission_id.empty()) {
        return;
    }
    this->results_by_id[result.submission_id] = result;
    this->result_order.push_back(result.submission_id);
    if (this->result_order.size() > max_kept_submissions) {
        this->results_by_id.erase(this->result_order.front());
        this->result_order.pop_front();
    }
}

// ---- Configuration ----

const wire::steering_record_t* record_store::find_record(const std::string& name) const {
    auto found = this->records.find(name);
    return found == this->records.end() ? nullptr : &found->second.value;
}

std::uint64_t record_store::record_revision(const std::string& name) const {
    auto found = this->records.find(name);
    return found == this->records.end() ? 0 : found->second.revision;
}

std::uint64_t record_store::drain_revision(const std::string& target) const {
    auto found = this->drains.find(target);
    return found == this->drains.end() ? 0 : found->second.revision;
}

std::vector<wire::target_drain_t> record_store::drain_list() const {
    std::vector<wire::target_drain_t> list;
    for (const auto& [target, drain] : this->drains) {
        list.push_back(drain.value);
    }
    return list;
}

wire::configuration_t record_store::configuration() const {
    wire::configuration_t result;
    result.revision = this->current_revision;
    for (const auto& [name, record] : this->records) {
        append(result.records, record.value);
    }
    for (const auto& [target, drain] : this->drains) {
        append(result.drains, drain.value);
    }
    for (const auto& [key, assignment] : this->assignments) {
        append(result.assignments, assignment);
    }
    return result;
}

wire::configuration_delta_t record_store::changes_since(std::uint64_t base) const {
    wire::configuration_delta_t delta;
    delta.revision = this->current_revision;
    bool full = base == 0 || base < this->history_base || base > this->current_revision;
    if (full) {
        wire::configuration_t all = this->configuration();
        delta.full = true;
        delta.changed_records = std::move(all.records);
        delta.changed_drains = std::move(all.drains);
        delta.changed_assignments = std::move(all.assignments);
        return delta;
    }
    delta.base_revision = base;
    std::set<changed_item_key> keys;
    for (auto change = this->history.upper_bound(base); change != this->history.end(); ++change) {
        keys.insert(change->second.begin(), change->second.end());
    }
    for (const changed_item_key& key : keys) {
        this->add_to_delta(key, delta);
    }
    return delta;
}

void record_store::add_to_delta(const changed_item_key& key, wire::configuration_delta_t& delta) const {
    const auto& [kind, name, caller_region] = key;
    if (kind == changed_item_kind::record) {
        if (auto found = this->records.find(name); found != this->records.end()) {
            append(delta.changed_records, found->second.value);
        } else {
            delta.withdrawn_records.push_back(name);
        }
    } else if (kind == changed_item_kind::drain) {
        if (auto found = this->drains.find(name); found != this->drains.end()) {
            append(delta.changed_drains, found->second.value);
        } else {
            delta.cancelled_drains.push_back(name);
        }
    } else if (auto found = this->assignments.find({name, caller_region}); found != this->assignments.end()) {
        append(delta.changed_assignments, found->second);
    } else {
        wire::assignment_t removed;
        removed.service = name;
        removed.caller_region = caller_region;
        append(delta.removed_assignments, removed);
    }
}

// ---- Snapshots ----

std::vector<std::uint8_t> record_store::snapshot() const {
    wire::record_store_snapshot_t saved;
    saved.content = std::make_unique<wire::configuration_t>(this->configuration());
    for (const auto& [name, record] : this->records) {
        saved.record_revisions.push_back(record.revision);
    }
    for (const auto& [target, drain] : this->drains) {
        saved.drain_revisions.push_back(drain.revision);
    }
    for (const auto& [name, version] : this->withdrawn) {
        wire::steering_record_t last;
        last.name = name;
        last.version = version.value;
        append(saved.withdrawn_versions, last);
        saved.withdrawn_revisions.push_back(version.revision);
    }
    for (const std::string& id : this->result_order) {
        append(saved.results, this->results_by_id.at(id));
    }
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::record_store_snapshot::Pack(builder, &saved));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

record_store record_store::restore(const std::vector<std::uint8_t>& bytes) {
    record_store store;
    if (bytes.empty()) {
        return store;  // the state before the first command
    }
    flatbuffers::Verifier verifier(bytes.data(), bytes.size(), max_verified_depth, max_verified_tables);
    if (!verifier.VerifyBuffer<wire::record_store_snapshot>(nullptr)) {
        throw snapshot_corrupt("a snapshot of " + std::to_string(bytes.size()) + " bytes is corrupt");
    }
    wire::record_store_snapshot_t saved;
    flatbuffers::GetRoot<wire::record_store_snapshot>(bytes.data())->UnPackTo(&saved);
    bool is_consistent = saved.content && saved.record_revisions.size() == saved.content->records.size() &&
                         saved.drain_revisions.size() == saved.content->drains.size() &&
                         saved.withdrawn_revisions.size() == saved.withdrawn_versions.size();
    if (!is_consistent) {
        throw snapshot_corrupt("snapshot is corrupt: its lists and their revisions differ in length");
    }
    store.current_revision = saved.content->revision;
    store.history_base = store.current_revision;
    for (std::size_t i = 0; i < saved.content->records.size(); ++i) {
        store.records[saved.content->records[i]->name] = {*saved.content->records[i], saved.record_revisions[i]};
    }
    for (std::size_t i = 0; i < saved.content->drains.size(); ++i) {
        store.drains[saved.content->drains[i]->target] = {*saved.content->drains[i], saved.drain_revisions[i]};
    }
    for (const auto& assignment : saved.content->assignments) {
        store.assignments[{assignment->service, assignment->caller_region}] = *assignment;
    }
    for (std::size_t i = 0; i < saved.withdrawn_versions.size(); ++i) {
        store.withdrawn[saved.withdrawn_versions[i]->name] = {saved.withdrawn_versions[i]->version,
                                                              saved.withdrawn_revisions[i]};
    }
    for (const auto& result : saved.results) {
        store.remember_result(*result);
    }
    return store;
}

bool operator==(const record_store& left, const record_store& right) {
    return left.current_revision == right.current_revision && left.records == right.records &&
           left.withdrawn == right.withdrawn && left.drains == right.drains && left.assignments == right.assignments &&
           left.results_by_id == right.results_by_id && left.result_order == right.result_order;
}

}  // namespace persimmongrade
