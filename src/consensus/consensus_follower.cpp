// Consensus core, follower: handles entries and snapshots received from the leader.

#include "consensus_send.h"
#include "voter_sets.h"

namespace persimmongrade {

bool consensus::entries_are_valid(const wire::append_request_t& request) const {
    auto index = request.prev_log_index;
    auto term = request.prev_log_term;
    for (const auto& entry : request.entries) {
        ++index;
        if (entry->index != index || entry->term < term || entry->term > request.term) {
            return false;
        }
        bool decodable = entry->kind != wire::entry_kind::membership || decode_voters(entry->payload).has_value();
        if (!decodable) {
            return false;
        }
        term = entry->term;
    }
    return true;
}

// Index from which the leader should continue when the entry at `index` is missing in this log or has another term: the
// end of the log, or the first uncommitted entry of the conflicting term.
std::uint64_t consensus::find_conflict_index(std::uint64_t index) const {
    auto term = this->term_at(index);
    if (!term) {
        return this->last_index() + 1;
    }
    while (index > this->committed_index + 1 && this->term_at(index - 1) == term) {
        --index;
    }
    return index;
}

void consensus::store_entries(const wire::append_request_t& request) {
    for (const auto& entry : request.entries) {
        if (entry->index <= this->committed_index || this->term_at(entry->index) == entry->term) {
            continue;
        }
        if (entry->index <= this->last_index()) {
            this->truncate_from(entry->index);
        }
        this->append(*entry);
    }
}

void consensus::on_append_request(time_point now, const wire::append_request_t& request) {
    wire::append_reply_t reply;
    reply.term = this->hard.term;
    if (request.term < this->hard.term) {
        this->send(request.leader, reply);  // sequence 0: the reply carries only the newer term
        return;
    }
    bool acceptable =
        (this->role != role_kind::leader || request.term > this->hard.term) && this->entries_are_valid(request);
    if (!acceptable) {
        return;
    }
    this->accept_leader(now, request.term, request.leader);
    this->leader_commit_index = std::max(this->leader_commit_index, request.commit_index);
    reply.term = this->hard.term;
    reply.sequence = request.sequence;
    // Committed entries are known to be identical to those of the leader.
    bool matches = request.prev_log_index <= this->committed_index ||
                   this->term_at(request.prev_log_index) == request.prev_log_term;
    if (!matches) {
        reply.conflict_index = this->find_conflict_index(request.prev_log_index);
        this->send(request.leader, reply);
        return;
    }
    this->store_entries(request);
    reply.success = true;
    reply.match_index = request.prev_log_index + request.entries.size();
    this->commit_to(std::min(request.commit_index, reply.match_index));
    // A leader that has committed nothing in its term does not know yet what earlier leaders committed.
    if (this->committed_index >= request.commit_index && this->term_at(request.commit_index) == this->hard.term) {
        this->caught_up_at = now;
    }
    this->send(request.leader, reply);
}

// Appends the chunk if it is the next one, and installs the snapshot after the last chunk. Returns the offset of the
// next chunk to send.
std::uint64_t consensus::store_chunk(const wire::snapshot_chunk_t& chunk) {
    bool same = this->incoming && this->incoming->term == chunk.term &&
                this->incoming->last_index == chunk.last_index && this->incoming->last_term == chunk.last_term;
    if (!same) {
        this->incoming = incoming_snapshot{chunk.term, chunk.last_index, chunk.last_term, {}};
    }
    auto& data = this->incoming->data;
    if (chunk.offset != data.size()) {
        return data.size();
    }
    data.insert(data.end(), chunk.data.begin(), chunk.data.end());
    auto next_offset = data.size();
    if (chunk.done) {
        this->install({chunk.last_index, chunk.last_term, *chunk.voters, std::move(data)});
    }
    return next_offset;
}

void consensus::on_snapshot_chunk(time_point now, const wire::snapshot_chunk_t& chunk) {
    wire::snapshot_reply_t reply;
    reply.term = this->hard.term;
    if (chunk.term < this->hard.term) {
        this->send(chunk.leader, reply);
        return;
    }
    bool acceptable = (this->role != role_kind::leader || chunk.term > this->hard.term) && chunk.voters != nullptr;
    if (!acceptable) {
        return;
    }
    this->accept_leader(now, chunk.term, chunk.leader);
    this->leader_commit_index = std::max(this->leader_commit_index, chunk.last_index);
    reply.term = this->hard.term;
    reply.sequence = chunk.sequence;
    reply.last_index = chunk.last_index;
    if (chunk.last_index > this->committed_index) {
        reply.next_offset = this->store_chunk(chunk);
    }
    reply.done = chunk.last_index <= this->committed_index;
    if (reply.done) {
        this->incoming.reset();
    }
    this->send(chunk.leader, reply);
}

}  // namespace persimmongrade
