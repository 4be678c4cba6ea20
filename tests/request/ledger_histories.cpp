#include "ledger_histories.h"

namespace persimmongrade::test {

simulation::simulation(const history& plan)
    : plan(plan), all_edges(plan.regions == 3 ? edges_in_3_regions : edges_in_5_regions), random(plan.seed),
      edges(this->all_edges.size()), partition_side(7, 0) {
    for (std::size_t i = 0; i < this->edges.size(); ++i) {
        this->edges[i].skew_ms = this->random_below(4000) - 2000;
        this->start(i, true);
    }
}

// With 3 regions, each region has two entry hosts at first; the change adds a3, which takes over keys of a1 and a2.
// With 5 regions, the change adds the fifth region.
ledger_members simulation::members_at(int membership) const {
    auto old = this->all_edges;
    old.erase(old.begin() + added_edge);
    if (membership == 0) {
        return {old, {}};
    }
    return {this->all_edges, membership == 1 ? old : std::vector<ledger_member>{}};
}

void simulation::at(duration delay, std::function<void()> action) {
    this->events.push({this->now + delay, ++this->order, std::move(action)});
}

void simulation::run() {
    duration when = ms(10);
    for (const auto& next : this->plan.steps) {
        when += ms(next.after_ms);
        this->at(when, [this, next] { this->apply(next); });
    }
    this->run_until(this->now + when + ms(4000), ms(25));
    this->healed = true;
    this->partition_side.assign(7, 0);
    for (std::size_t i = 0; i < this->edges.size(); ++i) {
        if (this->edges[i].incarnation == 0) {
            this->start(i, false);
        }
    }
    this->run_until(this->now + ms(3000), ms(50));
    this->run_until(this->now + ledger_replica_max_future + ms(10000), ms(2000));
    for (const auto& [number, key] : std::map(this->keys)) {  // resends of the old keys
        this->send_request(key, 1, static_cast<std::size_t>(this->random_below(7)));
    }
    this->send_new_keys();
    this->run_until(this->now + ms(3000), ms(25));
}

void simulation::run_until(time_point end, duration tick) {
    for (time_point next_tick = this->now + tick; this->now < end;) {
        if (!this->events.empty() && this->events.top().at <= next_tick) {
            auto action = this->events.top().action;
            this->now = std::max(this->now, this->events.top().at);
            this->events.pop();
            action();
            continue;
        }
        this->now = next_tick;
        next_tick += tick;
        this->tick_all();
    }
}

void simulation::tick_all() {
    for (std::size_t i = 0; i < this->edges.size(); ++i) {
        auto& edge = this->edges[i];
        if (edge.incarnation == 0) {
            continue;
        }
        this->send(i, edge.replica->tick(this->now));
        this->handle(i, edge.coordinator->tick(this->now));
        if (edge.replica->voting() && !edge.copied) {
            edge.copied = true;
            ++this->counts.copies;
        }
    }
    if (this->membership == 1) {
        this->finish_change();
    }
}

void simulation::apply(const step& next) {
    auto pick = static_cast<std::size_t>(next.pick);
    switch (next.operation) {
    case step::kind::send:
    case step::kind::send_other:
        this->send_request(this->key_of(next.key % this->plan.keys), next.operation == step::kind::send ? 1 : 2,
                           pick % 7);
        break;
    case step::kind::kill:
        this->kill(pick % 7, ms(next.length_ms));
        break;
    case step::kind::kill_replica:
        this->kill(this->replica_of(next.key % this->plan.keys, next.pick), ms(next.length_ms));
        break;
    case step::kind::kill_owner:
        this->kill(this->last_owner, ms(next.length_ms));
        break;
    case step::kind::kill_after_repair:
        this->kill(this->replica_of(next.key % this->plan.keys, next.pick), ms(next.length_ms % 300));
        this->repair_then_kill(this->replica_of(next.key % this->plan.keys, next.pick),
                               this->replica_of(next.key % this->plan.keys, next.pick + 1), 80);
        break;
    case step::kind::partition:
        for (std::size_t i = 0; i < 7; ++i) {
            this->partition_side[i] =
                pick % 3 == 0 ? static_cast<int>(this->all_edges[i].region == "a") : (next.pick >> i) & 1;
        }
        this->at(ms(next.length_ms), [this] { this->partition_side.assign(7, 0); });
        break;
    case step::kind::change:
        this->change_members();
        break;
    }
}

void simulation::start(std::size_t index, bool first) {
    auto& edge = this->edges[index];
    edge.incarnation = ++this->last_incarnation;
    edge.membership = this->membership;
    edge.copied = first;
    ledger_replica_options options{this->all_edges[index].edge, edge.incarnation, unix_start_ms + edge.skew_ms, first};
    options.page_entries = 1;
    edge.replica = std::make_unique<ledger_replica>(this->now, options, members_at(this->membership));
    edge.coordinator = std::make_unique<ledger_coordinator>(
        ledger_coordinator_options{this->all_edges[index].edge, edge.incarnation, unix_start_ms + edge.skew_ms},
        members_at(this->membership));
}

void simulation::kill(std::size_t index, duration down) {
    auto& edge = this->edges[index];
    if (edge.incarnation == 0) {
        return;
    }
    edge.incarnation = 0;
    this->killed = true;
    for (std::size_t i = 0; i < this->edges.size(); ++i) {
        if (this->edges[i].incarnation != 0) {
            this->handle(i, this->edges[i].coordinator->peer_disconnected(this->now, this->all_edges[index].edge));
        }
    }
    this->at(down, [this, index] {
        if (this->edges[index].incarnation == 0) {
            this->start(index, false);
        }
    });
}

// Kills the second edge as soon as the first one votes again after its restart.
void simulation::repair_then_kill(std::size_t first, std::size_t second, int tries) {
    this->at(ms(50), [=, this] {
        if (this->edges[first].incarnation != 0 && this->edges[first].replica->voting()) {
            this->kill(second, ms(100));
        } else if (tries > 0 && !this->healed) {
            this->repair_then_kill(first, second, tries - 1);
        }
    });
}

void simulation::change_members() {
    if (this->membership != 0) {
        return;
    }
    this->membership = 1;
    for (std::size_t i = 0; i < this->edges.size(); ++i) {
        this->at(ms(this->random_below(1900)), [this, i] { this->set_membership(i, 1); });
    }
}

void simulation::finish_change() {
    for (const auto& edge : this->edges) {
        if (edge.incarnation == 0 || edge.membership != 1 || !edge.replica->voting()) {
            return;
        }
    }
    this->membership = 2;
    for (std::size_t i = 0; i < this->edges.size(); ++i) {
        this->at(ms(this->random_below(1900)), [this, i] { this->set_membership(i, 2); });
    }
}

void simulation::set_membership(std::size_t index, int membership) {
    auto& edge = this->edges[index];
    if (edge.incarnation != 0 && edge.membership < membership) {
        edge.membership = membership;
        edge.replica->set_members(this->now, members_at(membership));
        edge.coordinator->set_members(members_at(membership));
    }
}

void simulation::send_request(const std::string& key, std::uint64_t fingerprint, std::size_t index) {
    auto& edge = this->edges[index];
    if (edge.incarnation == 0) {
        return;
    }
    std::uint64_t id = ++this->order;
    this->requests[id] = {key, fingerprint, index, edge.incarnation, ++this->order, this->now};
    this->requests[id].after_healing = this->healed;
    duration time_to_deadline = ms(500 + this->random_below(1500));
    this->handle(index,
                 edge.coordinator->begin(this->now, {id, key, "crew", fingerprint, this->now + time_to_deadline}));
}

void simulation::send(std::size_t from, std::vector<ledger_message> messages) {
    for (auto& message : messages) {
        std::size_t to = this->index_of(message.to);
        auto body = std::make_shared<ledger_message_body>(std::move(message.body));
        if (to == from) {
            this->at(ms(0), [=, this] { this->deliver(from, to, *body); });
            continue;
        }
        if (this->partition_side[from] != this->partition_side[to] ||
            (!this->healed && this->random_below(100) < this->plan.loss_percent)) {
            continue;
        }
        int copies = !this->healed && this->random_below(100) < this->plan.duplicate_percent ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            bool late = !this->healed && this->random_below(100) < this->plan.late_percent;
            this->at(ms(this->random_below(late ? this->plan.late_ms : 25)),
                     [=, this] { this->deliver(from, to, *body); });
        }
    }
}

void simulation::deliver(std::size_t from, std::size_t to, const ledger_message_body& body) {
    auto& edge = this->edges[to];
    if (edge.incarnation == 0 || this->partition_side[from] != this->partition_side[to]) {
        return;
    }
    this->send(to, edge.replica->receive(this->now, this->all_edges[from].edge, body));
    this->handle(to, edge.coordinator->receive(this->now, this->all_edges[from].edge, body));
}

void simulation::handle(std::size_t index, ledger_actions actions) {
    this->send(index, std::move(actions.messages));
    for (const auto& outcome : actions.outcomes) {
        this->handle_outcome(index, outcome);
    }
}

void simulation::handle_outcome(std::size_t index, const ledger_outcome& outcome) {
    auto& request = this->requests.at(outcome.request);
    if (outcome.verdict == ledger_verdict::wait) {
        ++this->counts.waits;
        return;
    }
    if (outcome.verdict == ledger_verdict::dispatch) {
        request.dispatched = true;
        this->run_on_target(index, outcome.request, outcome.attempt);
        return;
    }
    if (request.final) {
        this->failure = "request has two final outcomes";
    }
    request.final = outcome;
    request.ended = ++this->order;
    this->counts.replays += outcome.verdict == ledger_verdict::replay ? 1 : 0;
    this->counts.not_run += outcome.outcome == wire::outcome::not_run ? 1 : 0;
    this->counts.unknown += outcome.outcome == wire::outcome::unknown ? 1 : 0;
    this->counts.reused += outcome.reason == wire::refusal_reason::key_reused ? 1 : 0;
    this->counts.refused_after_not_run += outcome.reason == wire::refusal_reason::claim_conflict ? 1 : 0;
}

std::string simulation::answer_of(const std::string& key, std::uint64_t fingerprint, std::size_t run) {
    return key + "/" + std::to_string(fingerprint) + "/" + std::to_string(run) + "/end";
}

// The target executes the request, or refuses it before execution; its answer may be lost. A late answer for an attempt
// that was already reported as not run must have no effect.
void simulation::run_on_target(std::size_t index, std::uint64_t id, std::uint64_t attempt) {
    auto request = this->requests.at(id);
    std::uint64_t incarnation = this->edges[index].incarnation;
    bool fails = !this->healed && this->random_below(100) < this->plan.failing_percent;
    auto failure_kind = fails ? 1 + this->random_below(2) : 0;
    this->last_owner = index;
    if (failure_kind == 1) {
        this->at(ms(this->random_below(60)), [=, this] {
            if (this->alive(index, incarnation)) {
                this->handle(index, this->edges[index].coordinator->not_dispatched(
                                        this->now, attempt, wire::refusal_reason::target_connect_failed));
            }
        });
    } else {
        this->runs.push_back({request.key, request.fingerprint, id});
        ++this->counts.runs;
    }
    std::string body = answer_of(request.key, request.fingerprint, failure_kind == 1 ? 999 : this->runs.size() - 1);
    this->at(ms(failure_kind == 1 ? 60 + this->random_below(500) : this->random_below(300)), [=, this] {
        if (!this->alive(index, incarnation)) {
            return;
        }
        auto& coordinator = *this->edges[index].coordinator;
        if (failure_kind == 2) {
            this->handle(index, coordinator.outcome_lost(this->now, attempt));
            return;
        }
        wire::stored_answer_t answer;
        answer.status = 200;
        answer.body.assign(body.begin(), body.end());
        this->handle(index, coordinator.complete(this->now, attempt, std::move(answer)));
    });
}

void simulation::send_new_keys() {
    for (std::size_t i = 0; i < this->edges.size(); ++i) {
        std::string key = make_uuid_v7(this->now.time_since_epoch().count() + unix_start_ms, this->random);
        this->expected_dispatches.insert(this->order + 1);
        this->send_request(key, 1, i);
    }
}

std::optional<std::string> simulation::violation() const {
    if (this->failure) {
        return this->failure;
    }
    std::map<std::string, const target_run*> run_of;
    for (const auto& run : this->runs) {
        if (!run_of.emplace(run.key, &run).second) {
            return "key " + run.key + " ran twice";
        }
    }
    for (const auto& [id, request] : this->requests) {
        auto found = run_of.find(request.key);
        const target_run* run = found == run_of.end() ? nullptr : found->second;
        bool same = run != nullptr && run->fingerprint == request.fingerprint;
        if (this->expected_dispatches.contains(id) && !request.dispatched) {
            return "a new key was not claimed after recovery from all faults: " +
                   std::string(request.final ? wire::EnumNamerefusal_reason(request.final->reason) : "no outcome");
        }
        if (!request.final) {
            bool answered = request.dispatched || !this->alive(request.edge, request.incarnation);
            if (!answered) {
                return "request has no final outcome";
            }
            continue;
        }
        const auto& final = *request.final;
        bool blocked = request.after_healing && run == nullptr && final.outcome == wire::outcome::unknown;
        if (blocked && !this->killed) {
            return "a key that never ran stays blocked without a failed edge";
        }
        if (final.verdict == ledger_verdict::replay) {
            std::string body(final.answer->body.begin(), final.answer->body.end());
            if (!same || body != answer_of(request.key, request.fingerprint,
                                           static_cast<std::size_t>(run - this->runs.data()))) {
                return "replayed answer does not belong to the request: " + body;
            }
        } else if (final.outcome == wire::outcome::not_run && run != nullptr &&
                   this->requests.at(run->request).begun < request.ended) {
            return "not_run is false: " + std::string(wire::EnumNamerefusal_reason(final.reason)) + " for " +
                   request.key;
        }
    }
    return std::nullopt;
}

bool simulation::alive(std::size_t index, std::uint64_t incarnation) const {
    return this->edges[index].incarnation == incarnation;
}

std::size_t simulation::index_of(const std::string& name) const {
    for (std::size_t i = 0; i < this->all_edges.size(); ++i) {
        if (this->all_edges[i].edge == name) {
            return i;
        }
    }
    throw ledger_membership_error("unknown edge " + name);
}

std::string simulation::key_of(int number) {
    auto [found, added] = this->keys.try_emplace(number);
    if (added) {
        found->second = make_uuid_v7(this->now.time_since_epoch().count() + unix_start_ms, this->random);
    }
    return found->second;
}

std::size_t simulation::replica_of(int key, int pick) {
    auto set = this->members_at(this->membership).sets_of(this->key_of(key)).front();
    return this->index_of(set[static_cast<std::size_t>(pick) % set.size()]);
}

}  // namespace persimmongrade::test
