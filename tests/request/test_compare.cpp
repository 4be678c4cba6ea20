// Comparisons for docs/measurements.md, printed as tables. Run them with: test_request '[.compare]'

#include <catch2/catch.hpp>
#include <malloc.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <queue>

#include "persimmongrade/ledger.h"
#include "persimmongrade/target_pool.h"
#include "persimmongrade/uuid.h"

using namespace persimmongrade;

namespace {

constexpr int edge_count = 7;
constexpr int target_count = 12;
constexpr std::uint32_t slots = 4;
constexpr double service_ms = 40;
constexpr double slow_factor = 5;
constexpr int slow_target = 3;          // reports its load
constexpr int misreporting_target = 8;  // as slow, but reports no load
constexpr std::int64_t warm_up_ms = 20'000;
constexpr std::int64_t end_ms = 140'000;

struct job {
    int edge = 0;
    std::int64_t sent_ms = 0;
};

struct model_target {
    std::uint32_t busy = 0;
    std::queue<job> waiting;
};

struct finish {
    std::int64_t at_ms = 0;
    int target = 0;
    job what;
    bool operator<(const finish& other) const { return this->at_ms > other.at_ms; }
};

std::string name_of(int target) {
    return (target < 10 ? "t0" : "t") + std::to_string(target);
}

// Queueing model: seven edges send to the same targets, and each edge sees only its own outstanding requests.
class queue_model {
public:
    queue_model(selection_method method, double load, std::uint64_t seed) : random(seed), targets(target_count) {
        for (int i = 0; i < edge_count; ++i) {
            this->pools.emplace_back(target_pool_options{method, seed + static_cast<std::uint64_t>(i)});
        }
        double capacity = (target_count - 2 + 2 / slow_factor) * slots / service_ms;  // requests per ms
        this->rate = load * capacity;
    }

    void run() {
        std::exponential_distribution<double> gap(this->rate);
        double next = gap(this->random);
        for (std::int64_t now = 0; now < end_ms; ++now) {
            if (now % 1000 == 0) {
                this->announce(now);
            }
            while (!this->finishes.empty() && this->finishes.top().at_ms <= now) {
                auto done = this->finishes.top();
                this->finishes.pop();
                this->end(now, done);
            }
            for (; next < static_cast<double>(now + 1); next += gap(this->random)) {
                this->arrive(now);
            }
        }
        std::sort(this->latencies.begin(), this->latencies.end());
    }

    std::int64_t percentile(double share) const {
        return this->latencies[static_cast<std::size_t>(share * static_cast<double>(this->latencies.size() - 1))];
    }
    double share_of(int target) const {
        return 100.0 * static_cast<double>(this->sent[static_cast<std::size_t>(target)]) /
               static_cast<double>(this->total);
    }
    double refused_share() const {
        return 100.0 * static_cast<double>(this->refused) / static_cast<double>(this->total + this->refused);
    }

private:
    static time_point at(std::int64_t now) { return time_point(ms(1'000'000 + now)); }

    void announce(std::int64_t now) {
        wire::target_update_t update;
        update.full = true;
        for (int i = 0; i < target_count; ++i) {
            auto info = std::make_unique<wire::target_info_t>();
            info->id = name_of(i);
            info->service = "crew";
            info->region = "north";
            info->slots = slots;
            info->sequence = static_cast<std::uint64_t>(now + 1);
            info->lease_ms = 3000;
            auto work = this->targets[static_cast<std::size_t>(i)].busy;
            info->load = i == misreporting_target ? 0.0 : static_cast<double>(work) / slots;
            update.targets.push_back(std::move(info));
        }
        for (auto& pool : this->pools) {
            pool.apply(at(now), update);
        }
    }

    void arrive(std::int64_t now) {
        int edge = static_cast<int>(this->random() % edge_count);
        auto& pool = this->pools[static_cast<std::size_t>(edge)];
        auto picked = pool.pick(at(now), "crew", {"north"});
        if (!picked) {
            this->refused += now >= warm_up_ms ? 1 : 0;
            return;
        }
        pool.started("crew", picked->id);
        int target = std::stoi(picked->id.substr(1));
        if (now >= warm_up_ms) {
            ++this->sent[static_cast<std::size_t>(target)];
            ++this->total;
        }
        this->targets[static_cast<std::size_t>(target)].waiting.push({edge, now});
        this->serve(now, target);
    }

    void serve(std::int64_t now, int target) {
        auto& target_queue = this->targets[static_cast<std::size_t>(target)];
        bool slow = target == slow_target || target == misreporting_target;
        std::exponential_distribution<double> time(1.0 / (service_ms * (slow ? slow_factor : 1.0)));
        while (target_queue.busy < slots && !target_queue.waiting.empty()) {
            ++target_queue.busy;
            auto length = 1 + static_cast<std::int64_t>(time(this->random));
            this->finishes.push({now + length, target, target_queue.waiting.front()});
            target_queue.waiting.pop();
        }
    }

    void end(std::int64_t now, const finish& done) {
        --this->targets[static_cast<std::size_t>(done.target)].busy;
        auto latency = now - done.what.sent_ms;
        this->pools[static_cast<std::size_t>(done.what.edge)].finished(at(now), "crew", name_of(done.target),
                                                                       {target_result::success, ms(latency)});
        if (done.what.sent_ms >= warm_up_ms) {
            this->latencies.push_back(latency);
        }
        this->serve(now, done.target);
    }

    std::mt19937_64 random;
    std::vector<target_pool> pools;
    std::vector<model_target> targets;
    std::priority_queue<finish> finishes;
    std::vector<std::int64_t> latencies;
    std::array<std::int64_t, target_count> sent{};
    std::int64_t total = 0;
    std::int64_t refused = 0;
    double rate = 0;
};

}  // namespace

TEST_CASE("selection methods with a slow target and one that misreports its load", "[.compare]") {
    std::printf("| load | method | p50 ms | p99 ms | slow target %% | lying target %% | refused %% |\n");
    std::printf("|---|---|---|---|---|---|---|\n");
    for (double load : {0.5, 0.8}) {
        for (auto [method, name] : {std::pair{selection_method::two_random_choices, "two random choices"},
                                    std::pair{selection_method::round_robin, "round robin"},
                                    std::pair{selection_method::full_scan, "full scan"}}) {
            queue_model model(method, load, 20261204);
            model.run();
            std::printf("| %.1f | %s | %lld | %lld | %.1f | %.1f | %.1f |\n", load, name,
                        static_cast<long long>(model.percentile(0.5)), static_cast<long long>(model.percentile(0.99)),
                        model.share_of(slow_target), model.share_of(misreporting_target), model.refused_share());
            CHECK(model.percentile(0.5) > 0);
        }
    }
}

namespace {

constexpr std::int64_t unix_offset = 1'790'000'000'000;
constexpr std::size_t frame_header = 12;

struct traffic {
    std::size_t messages = 0;
    std::size_t bytes = 0;
};

std::size_t frame_size(const std::string& from, const ledger_message_body& body) {
    wire::envelope_t envelope;
    envelope.cluster = "bureau";
    envelope.from = from;
    std::visit([&](const auto& value) { envelope.body.Set(std::decay_t<decltype(value)>(value)); }, body);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::envelope::Pack(builder, &envelope));
    return builder.GetSize() + frame_header;
}

// Replicas on one edge in each of three regions, and a coordinator on one of them or on a fourth edge. No network
// delay.
struct group {
    explicit group(const std::string& server) : server(server), coordinator({server, 1, unix_offset}, this->members) {
        for (const auto& member : this->members.current) {
            this->replicas.emplace(member.edge,
                                   ledger_replica(this->now, {member.edge, 1, unix_offset, true}, members));
        }
    }

    // Returns the outcomes. Messages that an edge sends to itself are not counted.
    std::vector<ledger_outcome> deliver(ledger_actions actions, traffic& sum) {
        std::vector<ledger_outcome> outcomes = std::move(actions.outcomes);
        for (auto& message : actions.messages) {
            this->count(this->server, message, sum);
            for (auto& reply : this->replicas.at(message.to).receive(this->now, this->server, message.body)) {
                this->count(message.to, reply, sum);
                auto more = this->deliver(this->coordinator.receive(this->now, message.to, reply.body), sum);
                outcomes.insert(outcomes.end(), more.begin(), more.end());
            }
        }
        return outcomes;
    }

    void count(const std::string& from, const ledger_message& message, traffic& sum) const {
        if (from != message.to) {
            ++sum.messages;
            sum.bytes += frame_size(from, message.body);
        }
    }

    std::string server;
    time_point now = time_point(ms(1'000'000));
    ledger_members members{{{"edge-1", "north"}, {"edge-3", "central"}, {"edge-5", "south"}}, {}};
    ledger_coordinator coordinator;
    std::map<std::string, ledger_replica> replicas;
};

wire::stored_answer_t answer_of(std::size_t bytes) {
    wire::stored_answer_t answer;
    answer.status = 201;
    answer.headers.push_back(std::make_unique<wire::header_t>());
    answer.headers[0]->name = "content-type";
    answer.headers[0]->value = "application/json";
    answer.body.assign(bytes, 'x');
    return answer;
}

}  // namespace

TEST_CASE("messages and bytes of one claim, and memory per ledger entry", "[.compare]") {
    std::mt19937_64 random(20261204);
    constexpr std::size_t answer_bytes = 300;
    for (const char* server : {"edge-1", "edge-2"}) {
        group edges(server);
        traffic claim;
        traffic completion;
        std::string key = make_uuid_v7(edges.now.time_since_epoch().count() + unix_offset, random);
        auto begun = edges.coordinator.begin(edges.now, {1, key, "crew-dispatch", 1, edges.now + ms(2000)});
        auto outcomes = edges.deliver(std::move(begun), claim);
        REQUIRE(outcomes.at(0).verdict == ledger_verdict::dispatch);
        edges.deliver(edges.coordinator.complete(edges.now, outcomes[0].attempt, answer_of(answer_bytes)), completion);
        REQUIRE(edges.coordinator.undelivered_outcomes() == 0);
        std::printf("%s: claim %zu messages %zu bytes; completion (%zu byte answer) %zu messages %zu bytes\n",
                    server[5] == '1' ? "edge that is a replica" : "edge that is none", claim.messages, claim.bytes,
                    answer_bytes, completion.messages, completion.bytes);
    }
    constexpr std::size_t count = 50'000;
    group edges("edge-2");
    traffic ignored;
    std::size_t before = mallinfo2().uordblks;
    for (std::size_t i = 0; i < count; ++i) {
        std::string key = make_uuid_v7(edges.now.time_since_epoch().count() + unix_offset, random);
        auto begun = edges.coordinator.begin(edges.now, {i, key, "crew-dispatch", i, edges.now + ms(2000)});
        auto attempt = edges.deliver(std::move(begun), ignored).at(0).attempt;
        edges.deliver(edges.coordinator.complete(edges.now, attempt, answer_of(answer_bytes)), ignored);
    }
    std::size_t recent = mallinfo2().uordblks - before;
    edges.coordinator.tick(edges.now + ms(10'001));
    std::size_t later = mallinfo2().uordblks - before;
    edges.replicas.erase("edge-5");
    std::size_t replica = later - (mallinfo2().uordblks - before);
    std::printf(
        "memory per key: %zu bytes in each replica; coordinator %zu bytes within 10 s of the outcome, then %zu\n",
        replica / count, (recent - 3 * replica) / count, (later - 3 * replica) / count);
}
