// Ledger coordinator: attempts of the requests that this edge serves.
//
// Index: 1. Requests  2. Rounds of claims  3. Attempts of other edges  4. Outcomes  5. Time

#include <algorithm>

#include "ledger_wire.h"
#include "persimmongrade/ledger.h"
#include "persimmongrade/uuid.h"

namespace persimmongrade {

namespace {

// The owner of a competing attempt that does not reply for this long is treated as lost: the key is claimed again where
// possible.
constexpr duration competitor_reply_timeout = ms(400);
// Two attempts that hold one replica each may both wait for the third. After this time, which is longer than a round
// trip between regions, one of them yields although the third replica has not replied.
constexpr duration split_claim_timeout = ms(100);
// Replicas that have not confirmed an outcome within delivery_backoff_after get it less often.
constexpr duration delivery_backoff_after = ms(5000);
constexpr duration delivery_backoff_interval = ms(2000);

std::size_t quorum_of(const std::vector<std::string>& set) {
    return set.size() / 2 + 1;
}

ledger_outcome refusal_of(std::uint64_t request, wire::refusal_reason reason, wire::outcome outcome) {
    ledger_outcome refused;
    refused.request = request;
    refused.reason = reason;
    refused.outcome = outcome;
    refused.retry_after_ms = outcome == wire::outcome::not_run && reason == wire::refusal_reason::claim_conflict
                                 ? ledger_conflict_retry_ms
                                 : 0;
    return refused;
}

}  // namespace

// ---- 1. Requests ----

ledger_coordinator::ledger_coordinator(ledger_coordinator_options options, ledger_members members)
    : options(std::move(options)), members(std::move(members)) {
    if (this->members.current.empty()) {
        throw ledger_membership_error("ledger member list is empty");
    }
}

void ledger_coordinator::set_members(ledger_members members) {
    if (members.current.empty()) {
        throw ledger_membership_error("ledger member list is empty");
    }
    this->members = std::move(members);
}

ledger_actions ledger_coordinator::begin(time_point now, const ledger_request& request) {
    ledger_actions out;
    auto refuse = [&](wire::refusal_reason reason, wire::outcome outcome) {
        out.outcomes.push_back(refusal_of(request.request, reason, outcome));
        return out;
    };
    std::int64_t key_time = 0;
    try {
        key_time = uuid_v7_time_ms(request.key);
    } catch (const uuid_error&) {
        return refuse(wire::refusal_reason::idempotency_key_invalid, wire::outcome::none);
    }
    std::int64_t age = now.time_since_epoch().count() + this->options.unix_offset_ms - key_time;
    if (age > ledger_max_key_age.count()) {
        return refuse(wire::refusal_reason::key_expired, wire::outcome::unknown);
    }
    if (age < -ledger_max_key_future.count()) {
        return refuse(wire::refusal_reason::key_from_future, wire::outcome::unknown);
    }
    if (now >= request.deadline) {
        return refuse(wire::refusal_reason::deadline_exceeded, wire::outcome::unknown);
    }
    auto [position, added] = this->active_by_key.try_emplace(request.key);
    auto& attempt = position->second;
    if (!added && (attempt.fingerprint != request.fingerprint || attempt.service != request.service)) {
        return refuse(wire::refusal_reason::key_reused, wire::outcome::unknown);
    }
    attempt.waiters.push_back({request.request, request.deadline});
    if (!added) {
        out.outcomes.push_back({request.request, ledger_verdict::wait});
        return out;
    }
    attempt.key = request.key;
    attempt.service = request.service;
    attempt.fingerprint = request.fingerprint;
    attempt.key_time_ms = key_time;
    attempt.begun_at = now;
    this->start_round(now, attempt, out);
    return out;
}

ledger_actions ledger_coordinator::receive(time_point now, const std::string& from, const ledger_message_body& body) {
    ledger_actions out;
    if (const auto* reply = std::get_if<wire::claim_reply_t>(&body)) {
        this->on_claim_reply(now, from, *reply, out);
    } else if (const auto* query_body = std::get_if<wire::attempt_query_t>(&body)) {
        this->on_query(now, from, *query_body, out);
    } else if (const auto* status = std::get_if<wire::attempt_status_t>(&body)) {
        this->on_status(now, from, *status, out);
    }
    return out;
}

std::size_t ledger_coordinator::running() const noexcept {
    return this->active_by_key.size();
}

std::size_t ledger_coordinator::undelivered_outcomes() const noexcept {
    return static_cast<std::size_t>(
        std::count_if(this->unconfirmed.begin(), this->unconfirmed.end(), [this](std::uint64_t number) {
            const auto& record = this->finished_by_number.at(number);
            return record.replicas - record.pending.size() < record.replicas / 2 + 1;
        }));
}

ledger_attempt ledger_coordinator::id_of(std::uint64_t number) const {
    return {this->options.edge, this->options.incarnation, number};
}

// ---- 2. Rounds of claims ----

// Each round is an attempt with a new number, so that replies to an earlier round do not count.
void ledger_coordinator::start_round(time_point now, active_attempt& attempt, ledger_actions& out) {
    attempt.number = ++this->last_number;
    attempt.state = phase::claiming;
    attempt.claim_started_at = now;
    attempt.competitor.reset();
    attempt.saw_conflict = false;
    attempt.fingerprint_mismatch = false;
    attempt.sets = this->members.sets_of(attempt.key);
    attempt.votes.clear();
    attempt.subscribers.clear();
    ++attempt.rounds;
    for (const auto& set : attempt.sets) {
        for (const auto& replica : set) {
            auto [vote, added] = attempt.votes.try_emplace(replica);
            if (added) {
                this->send_claim(now, attempt, replica, vote->second, out);
            }
        }
    }
}

void ledger_coordinator::send_claim(time_point now, const active_attempt& attempt, const std::string& replica, vote& to,
                                    ledger_actions& out) const {
    wire::claim_request_t request;
    request.request_id = attempt.number;
    request.entry = std::make_unique<wire::ledger_entry_t>();
    request.entry->key = attempt.key;
    request.entry->service = attempt.service;
    request.entry->fingerprint = attempt.fingerprint;
    request.entry->key_time_ms = attempt.key_time_ms;
    request.entry->attempt = to_wire(this->id_of(attempt.number));
    to.sent_at = now;
    out.messages.push_back({replica, std::move(request)});
}

void ledger_coordinator::on_claim_reply(time_point now, const std::string& from, const wire::claim_reply_t& reply,
                                        ledger_actions& out) {
    auto position = this->active_by_key.find(reply.key);
    if (position == this->active_by_key.end()) {
        return;
    }
    auto& attempt = position->second;
    auto found = attempt.votes.find(from);
    bool current = reply.attempt != nullptr && from_wire(*reply.attempt) == this->id_of(attempt.number);
    if (!current || attempt.state != phase::claiming || found == attempt.votes.end() ||
        now - attempt.claim_started_at > ledger_claim_window) {
        return;
    }
    auto& from_vote = found->second;
    if (from_vote.replied && reply.incarnation < from_vote.incarnation) {
        return;  // from before a restart of the replica, which has lost the claim
    }
    if (from_vote.replied && from_vote.incarnation != reply.incarnation) {
        from_vote.granted = false;
    }
    if (from_vote.granted) {
        return;
    }
    from_vote.replied = true;
    from_vote.incarnation = reply.incarnation;
    from_vote.conflict.reset();
    const auto* entry = reply.entry.get();
    if (entry != nullptr && entry->attempt != nullptr) {
        if (this->end_if_decided(now, attempt, *entry, out)) {
            return;
        }
        this->record_conflict(now, attempt, from_vote, *entry, out);
        if (entry->refused_by != nullptr && entry->refused_ms_ago >= 0) {
            from_vote.refused_at = this->latest_refusal_time(now, from_wire(*entry->refused_by), entry->refused_ms_ago);
        }
    }
    if (reply.result == wire::claim_result::granted) {
        from_vote.granted = true;
        attempt.fingerprint_mismatch =
            attempt.fingerprint_mismatch || (entry != nullptr && entry->fingerprint != attempt.fingerprint);
    }
    this->count_votes(now, attempt, out);
}

// Ends the attempt if the replica's entry shows that the key was decided before: replays the stored answer, or refuses
// the request with the outcome unknown. Returns true if the attempt ended.
bool ledger_coordinator::end_if_decided(time_point now, const active_attempt& attempt,
                                        const wire::ledger_entry_t& entry, ledger_actions& out) {
    if (entry.state != wire::ledger_state::completed && entry.state != wire::ledger_state::uncertain) {
        return false;
    }
    if (entry.fingerprint != attempt.fingerprint) {
        this->refuse_reused(now, attempt, out);
        return true;
    }
    this->end_attempt(now, attempt, wire::ledger_state::aborted, nullptr, false, out);
    if (entry.answer == nullptr) {
        this->refuse_all(attempt, wire::refusal_reason::outcome_unknown, wire::outcome::unknown, out);
    } else {
        this->replay_all(attempt, std::make_shared<wire::stored_answer_t>(*entry.answer), ledger_path::stored, out);
    }
    return true;
}

// Records that another attempt holds the key at this replica, and asks its owner whether it is running.
void ledger_coordinator::record_conflict(time_point now, active_attempt& attempt, vote& from,
                                         const wire::ledger_entry_t& entry, ledger_actions& out) const {
    auto other = from_wire(*entry.attempt);
    if (entry.state != wire::ledger_state::claimed || other == this->id_of(attempt.number)) {
        return;
    }
    attempt.saw_conflict = true;
    from.conflict = other;
    from.fingerprint_mismatch = entry.fingerprint != attempt.fingerprint;
    if (!attempt.lost_competitors.contains(other)) {
        this->query(now, attempt, {other}, out);
    }
}

// The outcome is `unknown`, because `not_run` is a statement about the key, and the request with the other content may
// have been executed.
void ledger_coordinator::refuse_reused(time_point now, const active_attempt& attempt, ledger_actions& out) {
    this->end_attempt(now, attempt, wire::ledger_state::aborted, nullptr, false, out);
    this->refuse_all(attempt, wire::refusal_reason::key_reused, wire::outcome::unknown, out);
}

void ledger_coordinator::count_votes(time_point now, active_attempt& attempt, ledger_actions& out) {
    if (attempt.state != phase::claiming) {
        return;
    }
    bool claimed = true;
    bool possible = true;  // the replies still awaited can complete a majority
    for (const auto& set : attempt.sets) {
        std::size_t granted = 0;
        std::size_t lost = 0;
        for (const auto& replica : set) {
            const auto& vote = attempt.votes.at(replica);
            granted += vote.granted ? 1 : 0;
            lost += vote.conflict && attempt.lost_competitors.contains(*vote.conflict) ? 1 : 0;
        }
        claimed = claimed && granted >= quorum_of(set);
        possible = possible && set.size() - lost >= quorum_of(set);
    }
    if (claimed) {
        this->dispatch_or_refuse(now, attempt, out);
    } else if (!possible) {
        this->end_attempt(now, attempt, wire::ledger_state::aborted, nullptr, false, out);
        this->refuse_all(attempt, wire::refusal_reason::outcome_unknown, wire::outcome::unknown, out);
    }
}

// A majority of grants proves that the key has not been executed and that no other attempt can execute it.
void ledger_coordinator::dispatch_or_refuse(time_point now, active_attempt& attempt, ledger_actions& out) {
    auto refused_at = attempt.refused_at;
    for (const auto& [replica, vote] : attempt.votes) {
        refused_at = vote.granted ? std::max(refused_at, vote.refused_at) : refused_at;
    }
    // A caller got a not_run refusal of this key after this request began; executing it now would make that false.
    bool reported_not_run = refused_at && *refused_at >= attempt.begun_at;
    if (reported_not_run || attempt.fingerprint_mismatch) {
        auto reason = reported_not_run ? wire::refusal_reason::claim_conflict : wire::refusal_reason::key_reused;
        this->end_attempt(now, attempt, wire::ledger_state::aborted, nullptr, true, out);
        this->refuse_all(attempt, reason, wire::outcome::not_run, out);
        return;
    }
    attempt.state = phase::dispatched;
    this->dispatched_keys[attempt.number] = attempt.key;
    ledger_outcome outcome{attempt.waiters.front().request, ledger_verdict::dispatch};
    outcome.attempt = attempt.number;
    outcome.path = attempt.rounds == 1 ? ledger_path::first_round : ledger_path::later_round;
    out.outcomes.push_back(std::move(outcome));
}

// Latest time, on this edge's clock, at which the refusal can have been given. None for refusals by this edge: they
// were given before the active attempt on the key began.
std::optional<time_point> ledger_coordinator::latest_refusal_time(time_point now, const ledger_attempt& by,
                                                                  std::int64_t ms_ago) const {
    if (by.edge == this->options.edge && by.incarnation == this->options.incarnation) {
        return std::nullopt;
    }
    auto shortest = static_cast<std::int64_t>(static_cast<double>(ms_ago) * (1.0 - clock_rate_margin));
    return now - ms(std::max<std::int64_t>(0, shortest - clock_fixed_margin.count()));
}

ledger_actions ledger_coordinator::peer_disconnected(time_point /*now*/, const std::string& edge) {
    for (auto& [key, attempt] : this->active_by_key) {
        auto found = attempt.votes.find(edge);
        if (attempt.state == phase::claiming && found != attempt.votes.end()) {
            found->second = {};  // tick() sends the claim again
        }
    }
    return {};
}

// ---- 3. Attempts of other edges ----

void ledger_coordinator::query(time_point now, active_attempt& attempt, const std::set<ledger_attempt>& competitors,
                               ledger_actions& out) const {
    attempt.queried_at = now;
    for (const auto& competitor : competitors) {
        wire::attempt_query_t message;
        message.request_id = attempt.number;
        message.key = attempt.key;
        message.attempt = to_wire(competitor);
        out.messages.push_back({competitor.edge, std::move(message)});
    }
}

void ledger_coordinator::on_query(time_point now, const std::string& from, const wire::attempt_query_t& query,
                                  ledger_actions& out) {
    if (query.attempt == nullptr) {
        return;
    }
    auto wanted = from_wire(*query.attempt);
    const std::string& asker = query.asker.empty() ? from : query.asker;
    out.messages.push_back({asker, this->status_of(now, query.request_id, query.key, wanted)});
    auto running = this->active_by_key.find(query.key);
    bool runs = running != this->active_by_key.end() && running->second.state != phase::waiting &&
                wanted == this->id_of(running->second.number);
    if (runs) {
        running->second.subscribers[asker] = query.request_id;
    }
}

wire::attempt_status_t ledger_coordinator::status_of(time_point now, std::uint64_t request_id, const std::string& key,
                                                     const ledger_attempt& wanted) const {
    wire::attempt_status_t status;
    status.request_id = request_id;
    status.key = key;
    status.attempt = std::make_unique<wire::attempt_id_t>(*to_wire(wanted));
    status.state = wire::attempt_state::unknown;
    bool own = wanted == this->id_of(wanted.number);
    auto running = this->active_by_key.find(key);
    auto ended = this->finished_by_number.find(wanted.number);
    if (own && ended != this->finished_by_number.end() && ended->second.key == key) {
        const auto& record = ended->second;
        if (record.state == wire::ledger_state::completed) {
            status.state = wire::attempt_state::completed;
            status.answer = copy_of(record.answer);
        } else if (record.state == wire::ledger_state::aborted) {
            status.state = wire::attempt_state::aborted;
            status.refused_ms_ago = record.refused_at ? (now - *record.refused_at).count() : -1;
        }
    } else if (own && running != this->active_by_key.end() && running->second.number == wanted.number &&
               running->second.state != phase::waiting) {
        status.state = wire::attempt_state::running;
        status.dispatched = running->second.state == phase::dispatched;
    } else if (own && wanted.number <= this->last_number && !this->executed_times.contains(wanted.number)) {
        // A removed record was confirmed as aborted; its refusal, if it had one, is at least this old.
        status.state = wire::attempt_state::aborted;
        status.refused_ms_ago = this->options.answer_retention.count();
    }
    return status;
}

void ledger_coordinator::on_status(time_point now, const std::string& from, const wire::attempt_status_t& status,
                                   ledger_actions& out) {
    if (status.attempt == nullptr) {
        return;
    }
    auto competitor = from_wire(*status.attempt);
    if (status.request_id == 0) {
        if (competitor == this->id_of(competitor.number)) {
            this->on_confirmation(from, competitor.number);
        }
        return;
    }
    auto position = this->active_by_key.find(status.key);
    if (position == this->active_by_key.end() || competitor.edge != from) {
        return;
    }
    auto& attempt = position->second;
    bool expected = attempt.state == phase::waiting && attempt.competitor == competitor;
    bool fingerprint_mismatch = false;
    for (const auto& [replica, vote] : attempt.votes) {
        expected = expected || (attempt.state == phase::claiming && vote.conflict == competitor);
        fingerprint_mismatch = fingerprint_mismatch || (vote.conflict == competitor && vote.fingerprint_mismatch);
    }
    if (!expected) {
        return;
    }
    attempt.last_status_at = now;
    if (fingerprint_mismatch && status.state != wire::attempt_state::aborted) {
        this->refuse_reused(now, attempt, out);
    } else if (status.state == wire::attempt_state::completed && status.answer != nullptr) {
        this->end_attempt(now, attempt, wire::ledger_state::aborted, nullptr, false, out);
        this->replay_all(attempt, std::make_shared<wire::stored_answer_t>(*status.answer), ledger_path::other_edge,
                         out);
    } else if (status.state == wire::attempt_state::aborted) {
        this->on_competitor_aborted(now, attempt, status, out);
    } else if (status.state != wire::attempt_state::running) {
        this->on_competitor_lost(now, attempt, competitor,
                                 out);  // a completed attempt without answer is stored on a majority
    } else if (attempt.state == phase::claiming &&
               (status.dispatched || this->should_yield(now, attempt, competitor))) {
        this->yield_to(now, attempt, competitor, out);
    }
}

// Of two attempts that block each other, the later in order yields. An attempt that is not blocked yet may still get a
// majority, and releasing its claims would cost the other attempt a second round trip.
bool ledger_coordinator::should_yield(time_point now, const active_attempt& attempt,
                                      const ledger_attempt& competitor) const {
    bool blocked = now - attempt.claim_started_at >= split_claim_timeout;
    for (const auto& set : attempt.sets) {
        auto held = static_cast<std::size_t>(std::count_if(set.begin(), set.end(), [&](const auto& replica) {
            const auto& vote = attempt.votes.at(replica);
            return vote.conflict && !vote.granted;
        }));
        blocked = blocked || set.size() - held < quorum_of(set);
    }
    return blocked && competitor < this->id_of(attempt.number);
}

// The owner states that its attempt was not executed and never will be, so its claims may be replaced.
void ledger_coordinator::on_competitor_aborted(time_point now, active_attempt& attempt,
                                               const wire::attempt_status_t& status, ledger_actions& out) {
    auto competitor = from_wire(*status.attempt);
    if (status.refused_ms_ago >= 0) {
        // An empty std::optional is less than any time.
        attempt.refused_at =
            std::max(attempt.refused_at, this->latest_refusal_time(now, competitor, status.refused_ms_ago));
    }
    for (auto& [replica, vote] : attempt.votes) {
        if (attempt.state == phase::claiming && vote.conflict != competitor) {
            continue;
        }
        wire::abort_request_t abort;
        abort.key = attempt.key;
        abort.attempt = to_wire(competitor);
        abort.refused_ms_ago = status.refused_ms_ago;
        out.messages.push_back({replica, std::move(abort)});
        if (attempt.state == phase::claiming) {
            vote.conflict.reset();
            this->send_claim(now, attempt, replica, vote, out);
        }
    }
    if (attempt.state == phase::waiting) {
        this->start_round(now, attempt, out);
    }
}

void ledger_coordinator::on_competitor_lost(time_point now, active_attempt& attempt, const ledger_attempt& competitor,
                                            ledger_actions& out) {
    attempt.lost_competitors.insert(competitor);
    if (attempt.state == phase::waiting) {
        this->start_round(now, attempt, out);
    } else {
        this->count_votes(now, attempt, out);
    }
}

// Releases this attempt's claims so that the competitor can get a majority, and waits for its outcome.
void ledger_coordinator::yield_to(time_point now, active_attempt& attempt, const ledger_attempt& competitor,
                                  ledger_actions& out) {
    this->end_attempt(now, attempt, wire::ledger_state::aborted, nullptr, false, out);
    attempt.state = phase::waiting;
    attempt.competitor = competitor;
    attempt.last_status_at = now;
    if (!attempt.wait_reported) {
        out.outcomes.push_back({attempt.waiters.front().request, ledger_verdict::wait});
        attempt.wait_reported = true;
    }
}

// ---- 4. Outcomes ----

ledger_coordinator::active_attempt* ledger_coordinator::find_dispatched(std::uint64_t attempt) {
    auto key = this->dispatched_keys.find(attempt);
    return key == this->dispatched_keys.end() ? nullptr : &this->active_by_key.at(key->second);
}

ledger_actions ledger_coordinator::complete(time_point now, std::uint64_t attempt, wire::stored_answer_t answer) {
    ledger_actions out;
    auto* found = this->find_dispatched(attempt);
    if (found == nullptr) {
        return out;
    }
    auto stored = std::make_shared<const wire::stored_answer_t>(std::move(answer));
    this->end_attempt(now, *found, wire::ledger_state::completed, stored, false, out);
    found->waiters.erase(found->waiters.begin());  // the edge itself answers the dispatched request
    this->replay_all(*found, stored, ledger_path::same_edge, out);
    return out;
}

ledger_actions ledger_coordinator::not_dispatched(time_point now, std::uint64_t attempt, wire::refusal_reason reason) {
    ledger_actions out;
    if (auto* found = this->find_dispatched(attempt)) {
        this->end_attempt(now, *found, wire::ledger_state::aborted, nullptr, true, out);
        this->refuse_all(*found, reason, wire::outcome::not_run, out);
    }
    return out;
}

ledger_actions ledger_coordinator::outcome_lost(time_point now, std::uint64_t attempt, wire::refusal_reason reason) {
    ledger_actions out;
    if (auto* found = this->find_dispatched(attempt)) {
        this->end_attempt(now, *found, wire::ledger_state::uncertain, nullptr, false, out);
        this->refuse_all(*found, reason, wire::outcome::unknown, out);
    }
    return out;
}

// Ends the current attempt and notifies every replica that was sent a claim, since a claim may still be in flight.
void ledger_coordinator::end_attempt(time_point now, const active_attempt& attempt, wire::ledger_state state,
                                     std::shared_ptr<const wire::stored_answer_t> answer, bool refused,
                                     ledger_actions& out) {
    if (attempt.state == phase::waiting) {
        return;  // yield_to() has released its claims
    }
    this->dispatched_keys.erase(attempt.number);
    finished_attempt record;
    record.key = attempt.key;
    record.service = attempt.service;
    record.fingerprint = attempt.fingerprint;
    record.key_time_ms = attempt.key_time_ms;
    record.state = state;
    record.answer = std::move(answer);
    record.refused_at = refused ? std::optional(now) : std::nullopt;
    for (const auto& [replica, vote] : attempt.votes) {
        record.pending.insert(replica);
    }
    record.replicas = record.pending.size();
    record.finished_at = now;
    this->send_finished(now, attempt.number, record, out);
    this->unconfirmed.insert(attempt.number);
    this->finished_times[attempt.number] = now;
    if (state != wire::ledger_state::aborted) {
        this->executed_times[attempt.number] = now;
    }
    this->finished_by_number.insert_or_assign(attempt.number, std::move(record));
    for (const auto& [asker, request_id] : attempt.subscribers) {
        out.messages.push_back({asker, this->status_of(now, request_id, attempt.key, this->id_of(attempt.number))});
    }
}

void ledger_coordinator::send_finished(time_point now, std::uint64_t number, finished_attempt& record,
                                       ledger_actions& out) const {
    record.sent_at = now;
    for (const auto& replica : record.pending) {
        if (record.state == wire::ledger_state::aborted) {
            wire::abort_request_t abort;
            abort.key = record.key;
            abort.attempt = to_wire(this->id_of(number));
            abort.refused_ms_ago = record.refused_at ? (now - *record.refused_at).count() : -1;
            out.messages.push_back({replica, std::move(abort)});
            continue;
        }
        wire::complete_request_t completion;
        completion.key = record.key;
        completion.attempt = to_wire(this->id_of(number));
        completion.state = record.state;
        completion.answer = copy_of(record.answer);
        completion.service = record.service;
        completion.fingerprint = record.fingerprint;
        out.messages.push_back({replica, std::move(completion)});
    }
}

void ledger_coordinator::on_confirmation(const std::string& replica, std::uint64_t number) {
    auto found = this->finished_by_number.find(number);
    if (found == this->finished_by_number.end()) {
        return;
    }
    found->second.pending.erase(replica);
    if (found->second.pending.empty()) {
        found->second.answer.reset();
        this->unconfirmed.erase(number);
        this->confirmed_times.try_emplace(number, found->second.finished_at);
        this->finished_times.erase(number);
    }
}

void ledger_coordinator::refuse_all(const active_attempt& attempt, wire::refusal_reason reason, wire::outcome outcome,
                                    ledger_actions& out) {
    for (const auto& waiter : attempt.waiters) {
        out.outcomes.push_back(refusal_of(waiter.request, reason, outcome));
    }
    this->active_by_key.erase(std::string(attempt.key));
}

void ledger_coordinator::replay_all(const active_attempt& attempt,
                                    const std::shared_ptr<const wire::stored_answer_t>& answer, ledger_path path,
                                    ledger_actions& out) {
    for (const auto& waiter : attempt.waiters) {
        ledger_outcome outcome{waiter.request, ledger_verdict::replay};
        outcome.answer = answer;
        outcome.path = path;
        out.outcomes.push_back(std::move(outcome));
    }
    this->active_by_key.erase(std::string(attempt.key));
}

// ---- 5. Time ----

ledger_actions ledger_coordinator::tick(time_point now) {
    ledger_actions out;
    std::vector<std::string> keys;
    keys.reserve(this->active_by_key.size());
    for (const auto& [key, attempt] : this->active_by_key) {
        keys.push_back(key);
    }
    for (const auto& key : keys) {
        this->tick_active(now, key, out);
    }
    this->tick_finished(now, out);
    return out;
}

void ledger_coordinator::tick_active(time_point now, const std::string& key, ledger_actions& out) {
    auto& attempt = this->active_by_key.at(key);
    if (this->expire_waiters(now, attempt, out) || attempt.state == phase::dispatched) {
        return;
    }
    if (attempt.state == phase::claiming) {
        this->tick_claiming(now, attempt, out);
        return;
    }
    if (now - attempt.last_status_at >= competitor_reply_timeout) {
        this->on_competitor_lost(now, attempt, ledger_attempt(*attempt.competitor), out);
    } else if (now - attempt.queried_at >= ledger_query_interval) {
        this->query(now, attempt, {*attempt.competitor}, out);
    }
}

void ledger_coordinator::tick_claiming(time_point now, active_attempt& attempt, ledger_actions& out) {
    if (now - attempt.claim_started_at > ledger_claim_window) {
        auto reason = attempt.saw_conflict ? wire::refusal_reason::outcome_unknown
                                           : wire::refusal_reason::claim_quorum_unavailable;
        this->end_attempt(now, attempt, wire::ledger_state::aborted, nullptr, false, out);
        this->refuse_all(attempt, reason, wire::outcome::unknown, out);
        return;
    }
    std::set<ledger_attempt> competitors;
    for (auto& [replica, vote] : attempt.votes) {
        if (!vote.granted && now - vote.sent_at >= ledger_resend_interval) {
            this->send_claim(now, attempt, replica, vote, out);
        }
        if (vote.conflict && !attempt.lost_competitors.contains(*vote.conflict)) {
            competitors.insert(*vote.conflict);
        }
    }
    if (!competitors.empty() && now - attempt.queried_at >= ledger_query_interval) {
        this->query(now, attempt, competitors, out);
    }
}

// Refuses requests whose deadline has passed, with the outcome `unknown`. The edge itself answers the request that was
// dispatched. Returns true when no request is left and the attempt has ended.
bool ledger_coordinator::expire_waiters(time_point now, active_attempt& attempt, ledger_actions& out) {
    auto first = attempt.waiters.begin() + (attempt.state == phase::dispatched ? 1 : 0);
    auto late = std::stable_partition(first, attempt.waiters.end(),
                                      [now](const waiter& entry) { return now < entry.deadline; });
    for (auto at = late; at != attempt.waiters.end(); ++at) {
        out.outcomes.push_back(
            refusal_of(at->request, wire::refusal_reason::deadline_exceeded, wire::outcome::unknown));
    }
    attempt.waiters.erase(late, attempt.waiters.end());
    if (!attempt.waiters.empty()) {
        return false;
    }
    this->end_attempt(now, attempt, wire::ledger_state::aborted, nullptr, false, out);
    this->active_by_key.erase(std::string(attempt.key));
    return true;
}

// Resends outcomes that replicas have not confirmed, and removes old records. A record that all replicas confirmed is
// needed only by requests in flight. The others are kept until their key is too old to be accepted.
void ledger_coordinator::tick_finished(time_point now, ledger_actions& out) {
    for (auto at = this->unconfirmed.begin(); at != this->unconfirmed.end();) {
        auto& record = this->finished_by_number.at(*at);
        bool delivered = record.replicas - record.pending.size() >= record.replicas / 2 + 1;
        if (delivered && now - record.finished_at >= this->options.answer_retention) {
            record.answer.reset();
            at = this->unconfirmed.erase(at);
            continue;
        }
        bool slow = now - record.finished_at >= delivery_backoff_after;
        if (now - record.sent_at >= (slow ? delivery_backoff_interval : ledger_resend_interval)) {
            this->send_finished(now, *at, record, out);
        }
        ++at;
    }
    auto forget = [this](std::map<std::uint64_t, time_point>& queue, time_point until) {
        while (!queue.empty() && queue.begin()->second <= until) {
            this->finished_by_number.erase(queue.begin()->first);
            this->unconfirmed.erase(queue.begin()->first);
            queue.erase(queue.begin());
        }
    };
    forget(this->confirmed_times, now - this->options.answer_retention);
    forget(this->finished_times, now - ledger_retention - ledger_max_key_future);
    while (!this->executed_times.empty() &&
           this->executed_times.begin()->second <= now - ledger_retention - ledger_max_key_future) {
        this->executed_times.erase(this->executed_times.begin());
    }
}

}  // namespace persimmongrade
