// Ledger replica: entries of the keys whose replica set includes this edge.
//
// Index: 1. Start, members and voting  2. Claims, completions and aborts  3. Copying after a restart

#include <algorithm>

#include "ledger_wire.h"
#include "persimmongrade/ledger.h"
#include "persimmongrade/uuid.h"

namespace persimmongrade {

namespace {

constexpr duration page_timeout = ms(1000);  // a page without a reply is requested again
constexpr duration copy_retry = ms(500);     // after a reply from a peer that does not hold all entries itself

// Queries the owner of a claim on behalf of the claimant that it blocks. The owner answers the claimant directly, which
// saves a round trip between the claimant and the owner's region.
ledger_message make_owner_query(std::uint64_t request_id, const wire::ledger_entry_t& claimed,
                                const std::string& asker) {
    wire::attempt_query_t query;
    query.request_id = request_id;
    query.key = claimed.key;
    query.attempt = std::make_unique<wire::attempt_id_t>(*claimed.attempt);
    query.asker = asker;
    return {claimed.attempt->edge, std::move(query)};
}

wire::attempt_status_t confirmation(const std::string& key, const wire::attempt_id_t& attempt,
                                    wire::attempt_state state) {
    wire::attempt_status_t status;  // request_id 0 marks a confirmation
    status.key = key;
    status.attempt = std::make_unique<wire::attempt_id_t>(attempt);
    status.state = state;
    return status;
}

}  // namespace

// ---- 1. Start, members and voting ----

ledger_replica::ledger_replica(time_point now, ledger_replica_options options, ledger_members members)
    : options(std::move(options)), members(std::move(members)), started_at(now),
      copy_not_before(now + ledger_copy_delay), is_complete(this->options.first_start),
      was_complete(this->options.first_start) {
    if (this->members.current.empty()) {
        throw ledger_membership_error("ledger member list is empty");
    }
    this->reset_copy_progress();
}

void ledger_replica::set_members(time_point now, ledger_members members) {
    if (members == this->members) {
        return;
    }
    if (members.current.empty()) {
        throw ledger_membership_error("ledger member list is empty");
    }
    bool finished = members.previous.empty() && members.current == this->members.current;
    this->members = std::move(members);
    if (finished && this->is_complete) {
        return;
    }
    this->was_complete = this->is_complete;
    this->is_complete = false;
    this->copy_not_before = now + ledger_change_copy_delay;
    this->reset_copy_progress();
}

void ledger_replica::delay_copy_until(time_point at) {
    if (!this->is_complete) {
        this->copy_not_before = at;
        this->reset_copy_progress();
    }
}

// Copies from the members of other regions, which together hold every entry of this replica's keys. While members
// change, it copies from the previous members, since each claim is on a majority of them.
void ledger_replica::reset_copy_progress() {
    const auto& holders = this->members.previous.empty() ? this->members.current : this->members.previous;
    std::string region;
    for (const auto* list : {&this->members.previous, &this->members.current}) {
        for (const auto& member : *list) {
            region = member.edge == this->options.edge ? member.region : region;
        }
    }
    this->copy_sources.clear();
    for (const auto& member : holders) {
        if (member.region != region && member.edge != this->options.edge) {
            this->copy_sources[member.edge];
        }
    }
}

bool ledger_replica::accepts_key_time(time_point now, std::int64_t key_time_ms) const noexcept {
    std::int64_t age = this->unix_ms(now) - key_time_ms;
    return age >= -ledger_replica_max_future.count() && age < ledger_retention.count();
}

bool ledger_replica::voting() const noexcept {
    return this->is_complete;
}

bool ledger_replica::can_vote_on(time_point now, std::string_view key) const {
    std::int64_t key_time = uuid_v7_time_ms(key);
    if (!this->accepts_key_time(now, key_time) || !this->members.all_of(key).contains(this->options.edge)) {
        return false;
    }
    // No entry of a later key can have been accepted before copy_not_before, so none can have been lost or missed.
    if (this->is_complete || key_time > this->unix_ms(this->copy_not_before) + ledger_replica_max_future.count()) {
        return true;
    }
    if (!this->was_complete) {
        return false;
    }
    auto before = replica_set(key, this->members.previous.empty() ? this->members.current : this->members.previous);
    return std::find(before.begin(), before.end(), this->options.edge) != before.end();
}

std::size_t ledger_replica::entry_count() const noexcept {
    return this->entries.size();
}

std::size_t ledger_replica::answer_bytes() const noexcept {
    return this->body_bytes;
}

std::int64_t ledger_replica::unix_ms(time_point now) const noexcept {
    return now.time_since_epoch().count() + this->options.unix_offset_ms;
}

std::vector<ledger_message> ledger_replica::receive(time_point now, const std::string& from,
                                                    const ledger_message_body& body) {
    try {
        if (const auto* claim_body = std::get_if<wire::claim_request_t>(&body)) {
            return this->on_claim(now, from, *claim_body);
        }
        if (const auto* completion = std::get_if<wire::complete_request_t>(&body)) {
            return this->on_complete(now, from, *completion);
        }
        if (const auto* abort = std::get_if<wire::abort_request_t>(&body)) {
            return this->on_abort(now, from, *abort);
        }
        if (const auto* page = std::get_if<wire::ledger_sync_request_t>(&body)) {
            return page->replica == from ? this->on_sync_request(now, *page) : std::vector<ledger_message>{};
        }
        if (const auto* reply = std::get_if<wire::ledger_sync_reply_t>(&body)) {
            return reply->replica == from ? this->on_sync_reply(now, *reply) : std::vector<ledger_message>{};
        }
    } catch (const uuid_error&) {
        return {};  // a peer of another version sent a key that no caller can use
    }
    return {};
}

std::vector<ledger_message> ledger_replica::tick(time_point now) {
    this->expire(now);
    if (now - this->started_at >= ledger_retention) {
        this->is_complete = this->is_complete || now - this->copy_not_before >= ledger_retention;
    }
    std::vector<ledger_message> out;
    if (this->is_complete || now < this->copy_not_before) {
        return out;
    }
    for (auto& [peer, progress] : this->copy_sources) {
        if (!progress.done && now >= progress.retry_at) {
            this->request_page(now, peer, progress, out);
        }
    }
    return out;
}

void ledger_replica::expire(time_point now) {
    std::int64_t oldest = this->unix_ms(now) - ledger_retention.count();
    while (!this->expiry.empty() && this->expiry.begin()->first <= oldest) {
        auto found = this->entries.find(this->expiry.begin()->second);
        if (found->second.answer != nullptr) {
            this->body_bytes -= found->second.answer->body.size();
        }
        this->entries.erase(found);
        this->expiry.erase(this->expiry.begin());
    }
}

// ---- 2. Claims, completions and aborts ----

ledger_replica::entry* ledger_replica::find_or_add(time_point now, const std::string& key) {
    auto found = this->entries.find(key);
    if (found != this->entries.end()) {
        return &found->second;
    }
    std::int64_t key_time = uuid_v7_time_ms(key);
    if (!this->accepts_key_time(now, key_time) || !this->members.all_of(key).contains(this->options.edge)) {
        return nullptr;
    }
    auto& added = this->entries[key];
    added.key_time_ms = key_time;
    this->expiry.insert({key_time, key});
    return &added;
}

std::vector<ledger_message> ledger_replica::on_claim(time_point now, const std::string& from,
                                                     const wire::claim_request_t& request) {
    if (request.entry == nullptr || request.entry->attempt == nullptr || request.entry->attempt->edge != from) {
        return {};
    }
    const std::string& key = request.entry->key;
    claim wanted{from_wire(*request.entry->attempt), request.entry->fingerprint};
    wire::claim_reply_t reply;
    reply.request_id = request.request_id;
    reply.key = key;
    reply.replica = this->options.edge;
    reply.incarnation = this->options.incarnation;
    reply.result = wire::claim_result::not_voting;
    reply.attempt = persimmongrade::to_wire(wanted.attempt);
    bool votes = this->can_vote_on(now, key);
    auto known = this->entries.find(key);
    entry* found = known != this->entries.end() ? &known->second : nullptr;
    if (votes) {
        found = this->find_or_add(now, key);
        reply.result = decide_claim(wanted, *found);
        if (reply.result == wire::claim_result::granted && found->service.empty()) {
            found->service = request.entry->service;
            found->fingerprint = wanted.fingerprint;
        }
        if (reply.result == wire::claim_result::granted && found->claims.empty()) {
            found->claims.push_back(wanted);
        }
    }
    std::optional<ledger_message> owner_query;
    if (found != nullptr) {
        auto entries = to_wire(key, *found);
        auto other = std::find_if(entries.begin(), entries.end(), [&](const wire::ledger_entry_t& entry) {
            return from_wire(*entry.attempt) != wanted.attempt;
        });
        auto& shown = other == entries.end() ? entries.front() : *other;
        if (reply.result == wire::claim_result::granted) {
            shown.fingerprint = found->fingerprint;
        }
        attach_latest_refusal(now, *found, wanted.attempt, shown);
        if (shown.state == wire::ledger_state::claimed && shown.attempt->edge != from) {
            owner_query = make_owner_query(request.request_id, shown, from);
        }
        reply.entry = std::make_unique<wire::ledger_entry_t>(shown);
    }
    std::vector<ledger_message> out;
    out.push_back({from, std::move(reply)});
    if (owner_query) {
        out.push_back(std::move(*owner_query));
    }
    return out;
}

// Compare-and-set: a claim is granted only when no other attempt holds the key.
wire::claim_result ledger_replica::decide_claim(const claim& wanted, const entry& found) {
    bool other = std::any_of(found.claims.begin(), found.claims.end(),
                             [&](const claim& held) { return held.attempt != wanted.attempt; });
    if (found.decided || other || found.aborted == wanted.attempt) {
        return wire::claim_result::exists;
    }
    return wire::claim_result::granted;
}

std::vector<ledger_message> ledger_replica::on_complete(time_point now, const std::string& from,
                                                        const wire::complete_request_t& request) {
    if (request.attempt == nullptr) {
        return {};
    }
    entry* found = this->find_or_add(now, request.key);
    claim attempt{from_wire(*request.attempt), request.fingerprint};
    if (found != nullptr && found->aborted != attempt.attempt) {
        found->service = request.service;
        this->decide(*found, attempt,
                     request.answer == nullptr ? nullptr : std::make_shared<wire::stored_answer_t>(*request.answer));
    }
    return {{from, confirmation(request.key, *request.attempt, wire::attempt_state::completed)}};
}

// Only the attempt that was decided first can change the entry afterwards, from uncertain to completed.
void ledger_replica::decide(entry& found, const claim& attempt, std::shared_ptr<const wire::stored_answer_t> answer) {
    if (found.decided && (found.decided->attempt != attempt.attempt || found.answer != nullptr)) {
        return;
    }
    found.decided = attempt;
    found.fingerprint = attempt.fingerprint;
    found.claims.clear();
    found.answer = std::move(answer);
    if (found.answer != nullptr) {
        this->body_bytes += found.answer->body.size();
    }
}

std::vector<ledger_message> ledger_replica::on_abort(time_point now, const std::string& from,
                                                     const wire::abort_request_t& request) {
    if (request.attempt == nullptr) {
        return {};
    }
    auto attempt = from_wire(*request.attempt);
    entry* found = this->find_or_add(now, request.key);
    if (found != nullptr && !(found->decided && found->decided->attempt == attempt)) {
        std::erase_if(found->claims, [&](const claim& held) { return held.attempt == attempt; });
        found->aborted = attempt;
        record_refusal(now, *found, attempt, request.refused_ms_ago);
    }
    return {{from, confirmation(request.key, *request.attempt, wire::attempt_state::aborted)}};
}

// The delay of a message makes the reported refusal look later than it was, so that of several reports about one
// attempt the one with the earliest time is the most exact. A later attempt of the same owner was refused later.
void ledger_replica::record_refusal(time_point now, entry& found, const ledger_attempt& by, std::int64_t ms_ago) {
    if (ms_ago < 0) {
        return;
    }
    refusal reported{by.number, now - ms(ms_ago)};
    auto [known, added] = found.refused.try_emplace({by.edge, by.incarnation}, reported);
    if (!added && known->second.number == by.number) {
        known->second.at = std::min(known->second.at, reported.at);
    } else if (known->second.number < by.number) {
        known->second = reported;
    }
}

// Adds the latest refusal by another owner than the reader. The reader gave its own refusals before it began this
// attempt; if they were included, a late report of one could hide a later refusal by another edge.
void ledger_replica::attach_latest_refusal(time_point now, const entry& value, const ledger_attempt& reader,
                                           wire::ledger_entry_t& shown) {
    std::optional<time_point> latest;
    for (const auto& [by, last] : value.refused) {
        bool own = by.first == reader.edge && by.second == reader.incarnation;
        if (!own && (!latest || *latest < last.at)) {
            latest = last.at;
            shown.refused_by = persimmongrade::to_wire(ledger_attempt{by.first, by.second, last.number});
            shown.refused_ms_ago = (now - last.at).count();
        }
    }
}

// One wire entry for each claim in progress; a single entry when the key is decided or has no claim.
std::vector<wire::ledger_entry_t> ledger_replica::to_wire(const std::string& key, const entry& value) {
    wire::ledger_entry_t common;
    common.key = key;
    common.service = value.service;
    common.fingerprint = value.fingerprint;
    common.key_time_ms = value.key_time_ms;
    std::vector<wire::ledger_entry_t> all;
    auto add = [&](const ledger_attempt& attempt, std::uint64_t fingerprint, wire::ledger_state state) {
        all.push_back(common);
        all.back().attempt = persimmongrade::to_wire(attempt);
        all.back().fingerprint = fingerprint;
        all.back().state = state;
    };
    if (value.decided) {
        add(value.decided->attempt, value.decided->fingerprint,
            value.answer == nullptr ? wire::ledger_state::uncertain : wire::ledger_state::completed);
        all.back().answer = copy_of(value.answer);
        return all;
    }
    for (const auto& held : value.claims) {
        add(held.attempt, held.fingerprint, wire::ledger_state::claimed);
    }
    if (all.empty()) {
        add(value.aborted.value_or(ledger_attempt{}), value.fingerprint, wire::ledger_state::aborted);
    }
    return all;
}

// ---- 3. Copying after a restart ----

std::vector<ledger_message> ledger_replica::on_sync_request(time_point now,
                                                            const wire::ledger_sync_request_t& request) const {
    wire::ledger_sync_reply_t reply;
    reply.request_id = request.request_id;
    reply.replica = this->options.edge;
    reply.incarnation = this->options.incarnation;
    reply.voting = this->members.hash() == request.members_hash &&
                   (this->is_complete || (this->was_complete && !this->members.previous.empty()));
    reply.requester_incarnation = request.incarnation;
    reply.done = true;
    reply.last_key = request.after_key;
    if (!reply.voting) {
        return {{request.replica, std::move(reply)}};
    }
    std::size_t bytes = 0;
    for (auto at = this->entries.upper_bound(request.after_key); at != this->entries.end(); ++at) {
        const auto& [key, value] = *at;
        if (!this->members.all_of(key).contains(request.replica)) {
            continue;
        }
        if (reply.entries.size() >= this->options.page_entries || bytes >= this->options.page_bytes) {
            reply.done = false;
            break;
        }
        for (auto& entry : copies_of(now, key, value)) {
            reply.entries.push_back(std::make_unique<wire::ledger_entry_t>(std::move(entry)));
        }
        bytes += value.answer == nullptr ? 0 : value.answer->body.size();
        reply.last_key = key;
    }
    return {{request.replica, std::move(reply)}};
}

// The wire entries of the key, repeated so that there is one for each refusal.
std::vector<wire::ledger_entry_t> ledger_replica::copies_of(time_point now, const std::string& key,
                                                            const entry& value) {
    auto copies = to_wire(key, value);
    while (copies.size() < value.refused.size()) {
        copies.push_back(copies.front());
    }
    std::size_t at = 0;
    for (const auto& [by, last] : value.refused) {
        copies[at].refused_by = persimmongrade::to_wire(ledger_attempt{by.first, by.second, last.number});
        copies[at].refused_ms_ago = (now - last.at).count();
        ++at;
    }
    return copies;
}

std::vector<ledger_message> ledger_replica::on_sync_reply(time_point now, const wire::ledger_sync_reply_t& reply) {
    // A reply to a request of an earlier incarnation may lack claims that were granted since.
    if (reply.requester_incarnation != this->options.incarnation) {
        return {};
    }
    auto found = this->copy_sources.find(reply.replica);
    if (this->is_complete || found == this->copy_sources.end() || reply.request_id != found->second.request_id ||
        reply.request_id == 0) {
        return {};
    }
    auto& progress = found->second;
    bool restarted = !progress.after_key.empty() && reply.incarnation != progress.incarnation;
    if (!reply.voting || restarted) {
        progress = {};
        progress.retry_at = now + copy_retry;
        return {};
    }
    for (const auto& entry : reply.entries) {
        this->merge(now, *entry);
    }
    progress.incarnation = reply.incarnation;
    progress.after_key = reply.last_key;
    progress.request_id = 0;
    progress.done = reply.done;
    std::vector<ledger_message> out;
    if (!progress.done) {
        this->request_page(now, reply.replica, progress, out);
    }
    this->is_complete = std::all_of(this->copy_sources.begin(), this->copy_sources.end(),
                                    [](const auto& copy) { return copy.second.done; });
    return out;
}

void ledger_replica::request_page(time_point now, const std::string& peer, copy_progress& progress,
                                  std::vector<ledger_message>& out) {
    progress.request_id = ++this->last_request_id;
    progress.retry_at = now + page_timeout;
    wire::ledger_sync_request_t request;
    request.request_id = progress.request_id;
    request.replica = this->options.edge;
    request.incarnation = this->options.incarnation;
    request.after_key = progress.after_key;
    request.members_hash = this->members.hash();
    out.push_back({peer, std::move(request)});
}

// The members that entries are copied from may hold claims of different attempts. All of these claims are kept, because
// any of them may be on a majority. The key is granted again only when each of them is known to be aborted.
void ledger_replica::merge(time_point now, const wire::ledger_entry_t& incoming) {
    if (incoming.attempt == nullptr) {
        return;
    }
    entry* found = this->find_or_add(now, incoming.key);
    if (found == nullptr) {
        return;
    }
    claim attempt{from_wire(*incoming.attempt), incoming.fingerprint};
    if (found->service.empty()) {
        found->service = incoming.service;
        found->fingerprint = incoming.fingerprint;
    }
    if (incoming.refused_by != nullptr) {
        record_refusal(now, *found, from_wire(*incoming.refused_by), incoming.refused_ms_ago);
    }
    if (incoming.state == wire::ledger_state::completed || incoming.state == wire::ledger_state::uncertain) {
        this->decide(*found, attempt,
                     incoming.answer == nullptr ? nullptr : std::make_shared<wire::stored_answer_t>(*incoming.answer));
        return;
    }
    bool held = std::any_of(found->claims.begin(), found->claims.end(),
                            [&](const claim& other) { return other.attempt == attempt.attempt; });
    if (incoming.state == wire::ledger_state::claimed && !held && !found->decided &&
        found->aborted != attempt.attempt) {
        found->claims.push_back(attempt);
    }
    if (incoming.state == wire::ledger_state::aborted && !found->aborted) {
        found->aborted = attempt.attempt;
    }
}

}  // namespace persimmongrade
