// Leases, static shares and shared counters in simulated time.

#include <algorithm>
#include <cmath>
#include <deque>
#include <iostream>
#include <numeric>

#include "parts.h"
#include "persimmongrade/capacity_lease.h"

namespace persimmongrade {

namespace {

constexpr std::size_t compared_edges = 7;
constexpr double compared_limit = 2000;  // requests per second of one region
constexpr std::int64_t compared_length_ms = 60000;
constexpr std::int64_t queue_ms = 100;            // a request waits at most this long
constexpr std::int64_t compared_one_way_ms = 20;  // edge to leader

// Decides on admission at one of the edges in simulated time.
class sharing_scheme {
public:
    virtual ~sharing_scheme() = default;
    virtual void tick(std::int64_t now) = 0;
    virtual bool admit(std::size_t edge, std::int64_t now, bool repeated) = 0;
};

class static_shares : public sharing_scheme {
public:
    static_shares() : buckets(compared_edges) {
        for (auto& bucket : this->buckets) {
            bucket.set_rate(compared_limit / compared_edges, time_point(ms(0)));
        }
    }
    void tick(std::int64_t) override {}
    bool admit(std::size_t edge, std::int64_t now, bool) override {
        return this->buckets[edge].take(1, time_point(ms(now)));
    }

private:
    std::vector<token_bucket> buckets;
};

// Each edge counts in fixed windows of 1 s and sees the other edges' counts as they were `delay_ms` ago.
class shared_counters : public sharing_scheme {
public:
    explicit shared_counters(std::int64_t delay_ms) : delay_ms(delay_ms), history(compared_edges) {}
    void tick(std::int64_t now) override {
        for (auto& times : this->history) {
            while (!times.empty() && times.front() < now / 1000 * 1000) {
                times.pop_front();
            }
        }
    }
    bool admit(std::size_t edge, std::int64_t now, bool) override {
        double known = static_cast<double>(this->history[edge].size());
        for (std::size_t i = 0; i < compared_edges; ++i) {
            const auto& times = this->history[i];
            auto seen = std::upper_bound(times.begin(), times.end(), now - this->delay_ms);
            known += i == edge ? 0 : static_cast<double>(seen - times.begin());
        }
        if (known + 1 > compared_limit) {
            return false;
        }
        this->history[edge].push_back(now);
        return true;
    }

private:
    std::int64_t delay_ms;
    std::vector<std::deque<std::int64_t>> history;  // times of admissions in the current window
};

class leases : public sharing_scheme {
public:
    leases() : names(edge_names(compared_edges)), granter(this->names) {
        auto configuration = make_configuration(1, compared_limit);
        this->granter.apply(configuration, time_point(ms(0)));
        this->granter.become_leader(1, time_point(ms(0)));
        for (const auto& name : this->names) {
            this->holders.emplace_back(name, this->names).apply(configuration, time_point(ms(0)));
        }
    }
    void tick(std::int64_t now) override {
        while (!this->pings.empty() && this->pings.front().first <= now) {
            auto pong = this->granter.answer(this->pings.front().second, time_point(ms(now)));
            auto index = static_cast<std::size_t>(std::stoul(this->pings.front().second.edge.substr(5)));
            this->pings.pop_front();
            this->pongs.push_back({now + compared_one_way_ms, index, std::move(pong)});
        }
        while (!this->pongs.empty() && this->pongs.front().at <= now) {
            this->holders[this->pongs.front().edge].receive(this->pongs.front().message, time_point(ms(now)));
            this->pongs.pop_front();
        }
        for (std::size_t i = 0; i < compared_edges; ++i) {
            if ((now + static_cast<std::int64_t>(i) * 35) % 250 == 0) {
                wire::edge_ping_t ping;
                this->holders[i].prepare(ping, time_point(ms(now)));
                this->pings.emplace_back(now + compared_one_way_ms, std::move(ping));
            }
        }
    }
    bool admit(std::size_t edge, std::int64_t now, bool repeated) override {
        resource_claim claim{region_resource(region_name(0)), 1};
        return static_cast<bool>(this->holders[edge].reserve(std::span(&claim, 1), time_point(ms(now)),
                                                             floor_use::with_configuration, repeated));
    }

private:
    struct sent_pong {
        std::int64_t at;
        std::size_t edge;
        wire::edge_pong_t message;
    };
    std::vector<std::string> names;
    lease_granter granter;
    std::deque<lease_holder> holders;
    std::deque<std::pair<std::int64_t, wire::edge_ping_t>> pings;
    std::deque<sent_pong> pongs;
};

// Requests per second at one edge.
using demand_pattern = double (*)(std::size_t edge, std::int64_t now);

double skewed(std::size_t edge, double total) {
    static constexpr double parts[] = {0.4, 0.25, 0.15, 0.08, 0.06, 0.04, 0.02};
    return parts[edge] * total;
}

struct pattern {
    std::string name;
    demand_pattern demand;
};

const std::vector<pattern>& patterns() {
    static const std::vector<pattern> list = {
        {"skewed, 80% of the limit", [](std::size_t edge, std::int64_t) { return skewed(edge, 0.8 * compared_limit); }},
        {"skewed, 150% of the limit",
         [](std::size_t edge, std::int64_t) { return skewed(edge, 1.5 * compared_limit); }},
        {"hot edge moves every 5 s, 80%",
         [](std::size_t edge, std::int64_t now) {
             return skewed((edge + static_cast<std::size_t>(now / 5000)) % compared_edges, 0.8 * compared_limit);
         }},
        {"bursts of 600 ms every 2 s, 400%",
         [](std::size_t edge, std::int64_t now) {
             return now % 2000 >= 700 && now % 2000 < 1300 ? skewed(edge, 4 * compared_limit) : 0.0;
         }},
        {"two of the edges, 150% of the limit",
         [](std::size_t edge, std::int64_t) { return edge < 2 ? 0.75 * compared_limit : 0.0; }},
    };
    return list;
}

struct comparison_result {
    double offered = 0;
    double admitted = 0;
    double refused = 0;
    double worst_window = 0;  // largest number of admissions in any 1 s
    double mean_wait_ms = 0;
};

comparison_result run_comparison(sharing_scheme& scheme, demand_pattern demand) {
    constexpr std::int64_t warm_up_ms = 5000;  // a new leader grants after 2 s
    std::mt19937_64 random(20261204);
    std::vector<std::deque<std::pair<std::int64_t, bool>>> queues(compared_edges);  // arrival, already refused once
    std::deque<std::int64_t> window;
    comparison_result result;
    for (std::int64_t now = 0; now < compared_length_ms + warm_up_ms; ++now) {
        bool counted = now >= warm_up_ms;
        scheme.tick(now);
        for (std::size_t edge = 0; edge < compared_edges; ++edge) {
            double rate = demand(edge, now) / 1000;
            int arrivals = rate > 0 ? std::poisson_distribution<int>(rate)(random) : 0;
            result.offered += counted ? arrivals : 0;
            auto& queue = queues[edge];
            queue.insert(queue.end(), static_cast<std::size_t>(arrivals), {now, false});
            while (!queue.empty() && queue.front().first + queue_ms < now) {
                queue.pop_front();
                result.refused += counted ? 1 : 0;
            }
            for (auto& [arrived, refused] : queue) {
                if (!refused || &queue.front().first == &arrived) {
                    if (scheme.admit(edge, now, refused)) {
                        result.admitted += counted ? 1 : 0;
                        result.mean_wait_ms += counted ? static_cast<double>(now - arrived) : 0;
                        window.push_back(now);
                        arrived = -1;
                    }
                    refused = true;
                }
            }
            std::erase_if(queue, [](const auto& entry) { return entry.first < 0; });
        }
        while (!window.empty() && window.front() <= now - 1000) {
            window.pop_front();
        }
        result.worst_window = std::max(result.worst_window, static_cast<double>(window.size()));
    }
    result.mean_wait_ms /= std::max(1.0, result.admitted);
    return result;
}

}  // namespace

std::vector<table> compare() {
    std::vector<table> result;
    for (const auto& shape : patterns()) {
        table report{
            "sharing a limit of 2000 requests/s among 7 edges: " + shape.name,
            {"scheme", "offered/s", "goodput/s", "refused/s", "worst 1 s window", "of limit %", "mean wait ms"},
            {}};
        auto add = [&](const std::string& scheme_name, sharing_scheme& scheme) {
            comparison_result run = run_comparison(scheme, shape.demand);
            double length = static_cast<double>(compared_length_ms) / 1000;
            report.rows.push_back({scheme_name, run.offered / length, run.admitted / length, run.refused / length,
                                   run.worst_window, run.worst_window / compared_limit * 100, run.mean_wait_ms});
        };
        leases leased;
        add("capacity leases", leased);
        static_shares fixed;
        add("static seventh", fixed);
        for (std::int64_t delay : {20, 100, 250}) {
            shared_counters counters(delay);
            add("shared counters, " + std::to_string(delay) + " ms", counters);
        }
        result.push_back(report);
    }
    return result;
}

}  // namespace persimmongrade
