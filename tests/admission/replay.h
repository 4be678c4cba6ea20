// Simulates a load on the dispatcher without processes or network: gateways that do not communicate, targets with
// slots, a queue and an object cache, and callers that give up at their deadline. Deterministic for a given seed.
//
// A pattern is a text with one entry per line; times are in milliseconds:
//     gateways 3                     number of gateways in the region
//     targets 8 6                    number of targets, slots of each
//     work 284 85                    work for an object that the target has not cached, and for a cached one
//     objects 100                    number of distinct objects
//     aim 200 1500                   aim and deadline of a request
//     rate 0 5000 400                from, until, requests per second over all gateways
//     urgent 0 5000 50               the same, for requests of a higher priority
//     slow 2 10 1000 3000            number of targets, factor, from, until
//     dark 2 1000 3000               number of targets that never answer, from, until
//     grey 2 0.5 1000 3000           number of targets, share of failures, from, until
//     leave 2 1000                   number of targets that are removed, time

#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "persimmongrade/dispatcher.h"

namespace persimmongrade {

enum class replay_policy : std::uint8_t { dispatcher, round_robin, least_loaded };

struct replay_result {
    std::size_t requests = 0;
    std::size_t in_aim = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;        // failed at a target, or not answered by the deadline
    std::size_t refused_late = 0;  // refused after more than half of the time to the deadline
    std::size_t urgent_requests = 0;
    std::size_t urgent_in_aim = 0;
    double worst_window = 1;  // lowest worth of any window of 2 s

    // Score of a run: share of requests answered within their aim; a late answer counts 0.2.
    double worth() const {
        constexpr double late_worth = 0.2;
        return this->requests == 0
                   ? 0
                   : (static_cast<double>(this->in_aim) + late_worth * static_cast<double>(this->late)) /
                         static_cast<double>(this->requests);
    }
    double urgent_share() const {
        return this->urgent_requests == 0 ? 1 : static_cast<double>(this->urgent_in_aim) / this->urgent_requests;
    }
};

class replay {
public:
    replay(const std::string& pattern, replay_policy policy, std::uint64_t seed) : policy(policy), random(seed) {
        std::istringstream lines(pattern);
        for (std::string line; std::getline(lines, line);) {
            this->read_line(line);
        }
    }

    replay_result run() {
        this->start();
        while (!this->events.empty()) {
            event next = this->events.top();
            this->events.pop();
            this->now = time_point(ms(next.at));
            next.action();
        }
        return this->summary();
    }

private:
    struct phase {
        std::int64_t from, until;
        double rate;
        bool urgent;
    };

    struct fault {
        std::string kind;
        std::size_t count;
        double factor;  // of the work for "slow", share of failures for "grey"
        std::int64_t from, until;
    };

    struct caller {
        std::int64_t arrived;
        std::uint64_t object;
        std::size_t gateway;
        bool urgent;
        bool ended = false;
    };

    struct running {
        request_id id;
        std::size_t gateway;
        std::uint64_t object;
    };

    struct target {
        std::size_t busy = 0;
        std::deque<running> queue;
        std::set<std::uint64_t> objects;
    };

    struct event {
        std::int64_t at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const event& other) const {
            return std::pair(this->at, this->order) > std::pair(other.at, other.order);  // the earliest on top
        }
    };

    static constexpr std::int64_t start_ms = 100000;
    static constexpr std::size_t target_queue_limit = 18;
    static constexpr std::int64_t window_ms = 2000;

    void read_line(const std::string& line) {
        std::istringstream words(line);
        std::string word;
        words >> word;
        if (word == "gateways") {
            words >> this->gateway_count;
        } else if (word == "targets") {
            words >> this->target_count >> this->slots;
        } else if (word == "work") {
            words >> this->cold_ms >> this->warm_ms;
        } else if (word == "objects") {
            words >> this->object_count;
        } else if (word == "aim") {
            words >> this->aim_ms >> this->deadline_ms;
        } else if (word == "rate" || word == "urgent") {
            phase added{0, 0, 0, word == "urgent"};
            words >> added.from >> added.until >> added.rate;
            this->phases.push_back(added);
        } else if (word == "slow" || word == "grey") {
            fault added{word, 0, 1, 0, 0};
            words >> added.count >> added.factor >> added.from >> added.until;
            this->faults.push_back(added);
        } else if (word == "dark") {
            fault added{word, 0, 1, 0, 0};
            words >> added.count >> added.from >> added.until;
            this->faults.push_back(added);
        } else if (word == "leave") {
            fault added{word, 0, 1, 0, 0};
            words >> added.count >> added.from;
            this->faults.push_back(added);
        }
    }

    void at(std::int64_t time, std::function<void()> action) {
        this->events.push({time, ++this->order, std::move(action)});
    }

    std::int64_t time() const { return this->now.time_since_epoch().count() - start_ms; }

    static std::string name(std::size_t target) { return "t" + std::to_string(target); }

    void start() {
        this->now = time_point(ms(start_ms));
        this->targets.resize(this->target_count);
        for (std::size_t g = 0; g < this->gateway_count; ++g) {
            this->gateways.push_back(std::make_unique<dispatcher>(dispatcher_options{"north", {}, g}));
            this->gateways.back()->set_region_gateway_count(static_cast<unsigned>(this->gateway_count));
            for (std::size_t t = 0; t < this->target_count; ++t) {
                this->gateways.back()->set_target(
                    {name(t), "s", "north", static_cast<unsigned>(this->slots), 1, this->now, {}, 0}, this->now);
            }
        }
        for (const phase& load : this->phases) {
            this->schedule_arrival(load, load.from);
        }
        for (const fault& change : this->faults) {
            if (change.kind != "leave") {
                continue;
            }
            for (std::size_t t = 0; t < change.count; ++t) {
                this->at(start_ms + change.from, [this, t] {
                    this->removed_targets.insert(t);
                    for (auto& gateway : this->gateways) {
                        gateway->remove_target(name(t));
                    }
                });
            }
        }
    }

    void schedule_arrival(const phase& load, std::int64_t after) {
        double gap = std::exponential_distribution<double>(load.rate / 1000)(this->random);
        auto next = after + static_cast<std::int64_t>(std::ceil(gap));
        if (next >= load.until) {
            return;
        }
        this->at(start_ms + next, [this, load, next] {
            this->request(load.urgent);
            this->schedule_arrival(load, next);
        });
    }

    void request(bool urgent) {
        request_id id = ++this->next_id;
        std::uint64_t object = 1 + this->random() % this->object_count;
        std::size_t gateway = this->random() % this->gateway_count;
        this->callers[id] = {this->time(), object * 0x9e3779b97f4a7c15ULL, gateway, urgent};
        this->at(start_ms + this->time() + this->deadline_ms, [this, id] { this->deadline(id); });
        const caller& origin = this->callers.at(id);
        if (this->policy == replay_policy::dispatcher) {
            this->gateways[gateway]->add({id,
                                          "s",
                                          origin.object,
                                          0,
                                          urgent ? 0U : 1U,
                                          this->now + ms(this->aim_ms),
                                          this->now + ms(this->deadline_ms),
                                          {},
                                          {}},
                                         this->now);
            this->poll_gateway(gateway);
            return;
        }
        std::size_t chosen = 0;
        if (this->policy == replay_policy::round_robin) {
            do {
                chosen = this->next_round_robin++ % this->target_count;
            } while (this->removed_targets.contains(chosen));
        } else {
            auto& in_flight = this->in_flight_by_target[gateway];
            in_flight.resize(this->target_count);
            for (std::size_t t = 0; t < this->target_count; ++t) {
                bool better = this->removed_targets.contains(chosen) || in_flight[t] < in_flight[chosen];
                chosen = !this->removed_targets.contains(t) && better ? t : chosen;
            }
            ++in_flight[chosen];
        }
        this->arrive_at_target(chosen, {id, gateway, origin.object});
    }

    void poll_gateway(std::size_t gateway) {
        for (const dispatch_action& action : this->gateways[gateway]->poll(this->now)) {
            if (action.target.empty()) {
                this->finish(action.request, &replay_result::refused);
                continue;
            }
            auto t = static_cast<std::size_t>(std::stoul(action.target.substr(1)));
            this->arrive_at_target(t, {action.request, gateway, this->callers.at(action.request).object});
        }
        if (this->gateways[gateway]->waiting() > 0 && this->poll_scheduled.insert(gateway).second) {
            constexpr std::int64_t poll_ms = 8;
            this->at(start_ms + this->time() + poll_ms, [this, gateway] {
                this->poll_scheduled.erase(gateway);
                this->poll_gateway(gateway);
            });
        }
    }

    const fault* active(const char* kind, std::size_t t) const {
        for (const fault& change : this->faults) {
            bool affected = change.kind == kind && t < change.count && this->time() >= change.from;
            if (affected && this->time() < change.until) {
                return &change;
            }
        }
        return nullptr;
    }

    void arrive_at_target(std::size_t t, const running& arrived) {
        target& destination = this->targets[t];
        if (this->active("dark", t) != nullptr) {
            return;
        }
        if (destination.queue.size() >= target_queue_limit) {
            this->answer(t, arrived, dispatch_outcome::not_run);
            return;
        }
        destination.queue.push_back(arrived);
        this->work(t);
    }

    void work(std::size_t t) {
        target& destination = this->targets[t];
        while (destination.busy < this->slots && !destination.queue.empty()) {
            running next = destination.queue.front();
            destination.queue.pop_front();
            if (this->callers.at(next.id).ended) {
                continue;
            }
            ++destination.busy;
            const fault* slow = this->active("slow", t);
            double spread = std::uniform_real_distribution<double>(0.85, 1.15)(this->random);
            double work_ms = (destination.objects.contains(next.object) ? this->warm_ms : this->cold_ms) * spread *
                             (slow == nullptr ? 1 : slow->factor);
            const fault* grey = this->active("grey", t);
            bool fails = grey != nullptr && std::bernoulli_distribution(grey->factor)(this->random);
            this->at(start_ms + this->time() + static_cast<std::int64_t>(work_ms), [this, t, next, fails] {
                --this->targets[t].busy;
                this->targets[t].objects.insert(next.object);
                this->answer(t, next, fails ? dispatch_outcome::failed : dispatch_outcome::answered);
                this->work(t);
            });
        }
    }

    void answer(std::size_t t, const running& done, dispatch_outcome result) {
        const target& destination = this->targets[t];
        if (this->policy == replay_policy::dispatcher) {
            target_load_report load{static_cast<unsigned>(destination.busy),
                                    static_cast<unsigned>(destination.queue.size()),
                                    static_cast<unsigned>(this->slots)};
            this->gateways[done.gateway]->finished(done.id, name(t), result, load, this->now);
        } else if (this->policy == replay_policy::least_loaded) {
            --this->in_flight_by_target[done.gateway][t];
        }
        caller& origin = this->callers.at(done.id);
        if (!origin.ended) {
            bool in_time = this->time() - origin.arrived <= this->aim_ms;
            this->finish(done.id, result != dispatch_outcome::answered ? &replay_result::failed
                                  : in_time                            ? &replay_result::in_aim
                                                                       : &replay_result::late);
        }
        if (this->policy == replay_policy::dispatcher) {
            this->poll_gateway(done.gateway);
        }
    }

    void deadline(request_id id) {
        caller& origin = this->callers.at(id);
        if (origin.ended) {
            return;
        }
        this->finish(id, &replay_result::failed);
        if (this->policy == replay_policy::dispatcher) {
            auto& gateway = *this->gateways[origin.gateway];
            gateway.cancel(id);
            for (std::size_t t = 0; t < this->target_count; ++t) {
                gateway.finished(id, name(t), dispatch_outcome::cancelled, std::nullopt, this->now);
            }
        }
    }

    void finish(request_id id, std::size_t replay_result::*outcome) {
        caller& origin = this->callers.at(id);
        if (origin.ended) {
            return;
        }
        origin.ended = true;
        ++(this->result.*outcome);
        auto& window = this->windows[origin.arrived / window_ms];
        ++window.requests;
        ++(window.*outcome);
        if (outcome == &replay_result::refused && this->time() - origin.arrived > this->deadline_ms / 2) {
            ++this->result.refused_late;
        }
        if (origin.urgent) {
            ++this->result.urgent_requests;
            this->result.urgent_in_aim += outcome == &replay_result::in_aim ? 1 : 0;
        }
    }

    replay_result summary() {
        this->result.requests = this->callers.size();
        for (const auto& [number, window] : this->windows) {
            constexpr std::size_t min_requests = 50;
            if (window.requests >= min_requests) {
                this->result.worst_window = std::min(this->result.worst_window, window.worth());
            }
        }
        return this->result;
    }

    replay_policy policy;
    std::mt19937_64 random;
    std::size_t gateway_count = 1;
    std::size_t target_count = 1;
    std::size_t slots = 1;
    std::size_t object_count = 1;
    double cold_ms = 100;
    double warm_ms = 100;
    std::int64_t aim_ms = 200;
    std::int64_t deadline_ms = 1000;
    std::vector<phase> phases;
    std::vector<fault> faults;
    time_point now;
    std::priority_queue<event> events;
    std::uint64_t order = 0;
    std::vector<std::unique_ptr<dispatcher>> gateways;
    std::vector<target> targets;
    std::set<std::size_t> removed_targets;
    std::map<request_id, caller> callers;
    std::map<std::size_t, std::vector<int>> in_flight_by_target;
    std::set<std::size_t> poll_scheduled;
    std::map<std::int64_t, replay_result> windows;
    request_id next_id = 0;
    std::size_t next_round_robin = 0;
    replay_result result;
};

}  // namespace persimmongrade
