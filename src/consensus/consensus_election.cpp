// Consensus core: roles, elections and votes.

#include <algorithm>

#include "consensus_send.h"
#include "voter_sets.h"

namespace persimmongrade {

// ---- Roles ----

duration consensus::random_duration(duration limit) {
    return duration(std::uniform_int_distribution<std::int64_t>(0, limit.count())(this->random));
}

void consensus::reset_election_timer(time_point now) {
    this->election_deadline =
        now + this->options.election_timeout + this->random_duration(this->options.election_timeout);
}

// Delay before an election that had no answers or a split vote is repeated. It is longer than the round trip between
// regions, and short enough that a second attempt still ends within one second after the leader has failed.
duration consensus::election_retry_delay() {
    auto wait = this->options.election_timeout / 4;
    return wait + this->random_duration(wait);
}

void consensus::become_follower(time_point now, std::uint64_t term, const std::string& leader) {
    if (term > this->hard.term) {
        this->hard = {term, {}};
        this->incoming.reset();
    }
    if (this->role != role_kind::follower) {
        this->reset_election_timer(now);
    }
    this->role = role_kind::follower;
    this->leader = leader;
    this->caught_up_at.reset();
    this->votes.clear();
    this->peers.clear();
    this->transfer_target.clear();
}

// Called for each valid message from the leader of `term`.
void consensus::accept_leader(time_point now, std::uint64_t term, const std::string& leader) {
    if (term > this->hard.term || this->role != role_kind::follower || this->leader != leader) {
        this->become_follower(now, term, leader);
    }
    this->last_leader_contact = now;
    this->reset_election_timer(now);
}

// Asks the voters whether they would grant their vote, without raising the term. An unsuccessful pre-vote is repeated
// after the short retry delay, because other voters may still be within the election timeout of a leader that has just
// failed.
void consensus::start_pre_vote(time_point now) {
    if (!this->is_voter()) {
        this->reset_election_timer(now);
        return;
    }
    this->become_follower(now, this->hard.term, {});
    this->role = role_kind::pre_candidate;
    wire::vote_request_t request;
    request.term = this->hard.term + 1;
    request.pre_vote = true;
    this->request_votes(now, std::move(request));
}

void consensus::start_election(time_point now, bool transfer) {
    this->become_follower(now, this->hard.term + 1, {});
    this->role = role_kind::candidate;
    this->lost_voters_at_election = this->lost_voters;
    this->hard.voted_for = this->own_id;
    wire::vote_request_t request;
    request.term = this->hard.term;
    request.transfer = transfer;
    this->request_votes(now, std::move(request));
}

// Counts this process's own vote and requests those of the other voters.
void consensus::request_votes(time_point now, wire::vote_request_t request) {
    this->votes.insert(this->own_id);
    this->election_deadline = now + this->election_retry_delay();
    request.candidate = this->own_id;
    request.last_log_index = this->last_index();
    request.last_log_term = this->last_term();
    const wire::voter_set_t& set = this->voters();
    for (const auto& member : set.voters) {
        if (member->id == this->own_id || !is_voting(set, member->id)) {
            continue;
        }
        request.asked = member->id;
        this->send(member->id, request);
        for (const auto& other : set.voters) {
            // There may be no connection to a member whose address its replacement has.
            if (other->replaces == member->id && other->address == member->address) {
                this->send(other->id, request);
            }
        }
    }
    this->count_votes(now);
}

void consensus::count_votes(time_point now) {
    const auto& lost = this->role == role_kind::candidate ? this->lost_voters_at_election : this->lost_voters;
    auto has_granted = [this](const wire::voter_t& member) { return this->votes.contains(member.id); };
    if (!is_quorum(this->voters(), lost, has_granted)) {
        return;
    }
    if (this->role == role_kind::pre_candidate) {
        this->start_election(now, false);
    } else if (this->role == role_kind::candidate) {
        this->become_leader(now);
    }
}

void consensus::become_leader(time_point now) {
    this->role = role_kind::leader;
    this->leader = this->own_id;
    this->leader_since = now;
    this->next_heartbeat_at = now + this->options.heartbeat_interval;
    this->update_peers();
    // Entries of earlier terms are committed only together with this one.
    this->append_new_entry(wire::entry_kind::noop, {});
    this->replicate(now, send_reason::reply);
}

// ---- Votes ----

// Whether a leader may hold a lease, so that a vote for another candidate could give two leaders a lease. A follower
// refuses votes for one election timeout after it last heard from the leader. A leader refuses them while it holds the
// lease and, until the first replies can have arrived, for one election timeout after its election.
bool consensus::refuses_votes(time_point now) const {
    if (this->role != role_kind::leader) {
        return now < this->last_leader_contact + this->options.election_timeout;
    }
    return this->has_leader_lease(now) ||
           (this->transfer_target.empty() && now < this->leader_since + this->options.election_timeout);
}

bool consensus::is_log_up_to_date(const wire::vote_request_t& request) const {
    return request.last_log_term > this->last_term() ||
           (request.last_log_term == this->last_term() && request.last_log_index >= this->last_index());
}

// When two members with equal logs request pre-votes at the same time, the one with the lower id continues and the
// other one waits. Otherwise both would become candidates and split the votes.
bool consensus::grant_pre_vote(time_point now, const wire::vote_request_t& request) {
    bool eligible = request.term > this->hard.term && this->is_log_up_to_date(request);
    bool tie = this->role == role_kind::pre_candidate && request.last_log_index == this->last_index() &&
               request.last_log_term == this->last_term();
    if (!eligible || (tie && this->own_id < request.candidate)) {
        return false;
    }
    if (this->role == role_kind::pre_candidate) {
        this->become_follower(now, this->hard.term, {});
        this->election_deadline = now;
    }
    if (this->role == role_kind::follower) {
        this->election_deadline = std::max(this->election_deadline, now + this->election_retry_delay());
    }
    return true;
}

void consensus::on_vote_request(time_point now, const wire::vote_request_t& request) {
    wire::vote_reply_t reply;
    reply.pre_vote = request.pre_vote;
    bool is_for_another = !request.asked.empty() && request.asked != this->own_id;
    if (is_for_another) {
        // An address never has two processes at a time, and the candidate knew the voter when it sent this: the voter
        // has ended, and this process has started at its address without its disk.
        reply.lost = request.asked;
        this->send(request.candidate, reply);
        return;
    }
    bool refused = request.term < this->hard.term || (!request.transfer && this->refuses_votes(now));
    if (refused) {
        reply.term = this->hard.term;
    } else if (request.pre_vote) {
        reply.granted = this->grant_pre_vote(now, request);
        reply.term = reply.granted ? request.term : this->hard.term;
    } else {
        if (request.term > this->hard.term) {
            this->become_follower(now, request.term, {});
        }
        bool can_vote = this->hard.voted_for.empty() || this->hard.voted_for == request.candidate;
        reply.granted = can_vote && this->leader.empty() && this->is_log_up_to_date(request);
        reply.term = this->hard.term;
        if (reply.granted) {
            this->become_follower(now, request.term, {});
            this->hard.voted_for = request.candidate;
            this->reset_election_timer(now);
        }
    }
    this->send(request.candidate, reply);
}

void consensus::on_vote_reply(time_point now, const std::string& from, const wire::vote_reply_t& reply) {
    if (!reply.lost.empty()) {
        if (reply.lost != this->own_id && is_voting(this->voters(), reply.lost)) {
            this->lost_voters.insert(reply.lost);
        }
        return;
    }
    bool pre_vote_granted = reply.pre_vote && reply.granted;
    if (reply.term > this->hard.term && !pre_vote_granted) {
        this->become_follower(now, reply.term, {});
        return;
    }
    bool counts = reply.pre_vote ? this->role == role_kind::pre_candidate && reply.term == this->hard.term + 1
                                 : this->role == role_kind::candidate && reply.term == this->hard.term;
    if (counts && reply.granted) {
        this->votes.insert(from);
        this->count_votes(now);
    }
}

void consensus::on_timeout_now(time_point now, const std::string& from, const wire::timeout_now_t& request) {
    bool valid = request.term == this->hard.term && this->role == role_kind::follower && this->leader == from;
    if (valid && this->is_voter()) {
        this->start_election(now, true);
    }
}

}  // namespace persimmongrade
