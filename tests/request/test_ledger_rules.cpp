// Guards rules of the ledger that generated histories exercise too rarely.

#include <catch2/catch.hpp>

#include <algorithm>

#include "persimmongrade/ledger.h"
#include "persimmongrade/uuid.h"

using namespace persimmongrade;

namespace {

constexpr std::int64_t unix_offset = 1'790'000'000'000;
const time_point start = time_point(ms(1'000'000));
const ledger_members three{{{"a1", "a"}, {"b1", "b"}, {"c1", "c"}}, {}};

std::string key_at(time_point now) {
    std::mt19937_64 random(7);
    return make_uuid_v7(now.time_since_epoch().count() + unix_offset, random);
}

ledger_coordinator coordinator_with(const ledger_members& members) {
    return {{"a1", 1, unix_offset}, members};
}

ledger_replica replica_of(const std::string& edge, const ledger_members& members, bool first_start) {
    return {start, {edge, 1, unix_offset, first_start}, members};
}

wire::claim_reply_t grant(const ledger_message& message) {
    const auto& request = std::get<wire::claim_request_t>(message.body);
    wire::claim_reply_t reply;
    reply.request_id = request.request_id;
    reply.key = request.entry->key;
    reply.replica = message.to;
    reply.incarnation = 1;
    reply.result = wire::claim_result::granted;
    reply.entry = std::make_unique<wire::ledger_entry_t>(*request.entry);
    reply.attempt = std::make_unique<wire::attempt_id_t>(*request.entry->attempt);
    return reply;
}

bool dispatches(const ledger_actions& actions) {
    for (const auto& outcome : actions.outcomes) {
        if (outcome.verdict == ledger_verdict::dispatch) {
            return true;
        }
    }
    return false;
}

wire::claim_request_t claim_of(const std::string& key, const std::string& edge, std::uint64_t number) {
    wire::claim_request_t request;
    request.request_id = number;
    request.entry = std::make_unique<wire::ledger_entry_t>();
    request.entry->key = key;
    request.entry->service = "crew";
    request.entry->fingerprint = 1;
    request.entry->attempt = std::make_unique<wire::attempt_id_t>();
    request.entry->attempt->edge = edge;
    request.entry->attempt->number = number;
    return request;
}

wire::claim_result claim_on(ledger_replica& replica, time_point now, const std::string& key, const std::string& edge,
                            std::uint64_t number) {
    auto replies = replica.receive(now, edge, claim_of(key, edge, number));
    return std::get<wire::claim_reply_t>(replies.at(0).body).result;
}

// Delivers the page requests of `to` to `sources`, and the replies back, until it sends no more.
void copy_all(time_point now, ledger_replica& to, std::map<std::string, ledger_replica*> sources) {
    for (auto requests = to.tick(now); !requests.empty();) {
        auto request = requests.back();
        requests.pop_back();
        for (const auto& reply : sources.at(request.to)->receive(now, "a1", request.body)) {
            auto more = to.receive(now, request.to, reply.body);
            requests.insert(requests.end(), more.begin(), more.end());
        }
    }
}

}  // namespace

TEST_CASE("a claim reply to an earlier attempt of the key does not count", "[ledger]") {
    auto coordinator = coordinator_with(three);
    std::string key = key_at(start);
    auto first = coordinator.begin(start, {1, key, "crew", 1, start + ms(2000)});
    REQUIRE(first.messages.size() == 3);
    coordinator.receive(start, "a1", grant(first.messages[0]));
    REQUIRE(dispatches(coordinator.receive(start, "b1", grant(first.messages[1]))));
    auto refused = coordinator.not_dispatched(start + ms(1), 1, wire::refusal_reason::target_shed);
    CHECK(refused.outcomes.at(0).outcome == wire::outcome::not_run);
    CHECK(std::count_if(refused.messages.begin(), refused.messages.end(), [](const auto& message) {
              return std::holds_alternative<wire::abort_request_t>(message.body);
          }) == 3);
    auto second = coordinator.begin(start + ms(2), {2, key, "crew", 1, start + ms(2000)});
    for (const auto& message : first.messages) {
        CHECK_FALSE(dispatches(coordinator.receive(start + ms(3), message.to, grant(message))));
    }
    coordinator.receive(start + ms(3), "a1", grant(second.messages[0]));
    CHECK(dispatches(coordinator.receive(start + ms(3), "b1", grant(second.messages[1]))));
}

// Attempts and page requests are numbered from 1 again after a restart, so that numbers alone do not tell a late reply
// from a current one. Found by a generated history.
TEST_CASE("replies to an earlier incarnation of the edge do not count", "[ledger]") {
    std::string key = key_at(start);
    auto before = coordinator_with(three).begin(start, {1, key, "crew", 1, start + ms(2000)});
    ledger_coordinator after({"a1", 2, unix_offset}, three);
    auto begun = after.begin(start + ms(1), {1, key, "crew", 1, start + ms(2000)});
    for (const auto& message : before.messages) {
        CHECK_FALSE(dispatches(after.receive(start + ms(2), message.to, grant(message))));
    }
    auto b1 = replica_of("b1", three, true);
    auto c1 = replica_of("c1", three, true);
    auto a1 = replica_of("a1", three, false);
    ledger_replica restarted(start, {"a1", 2, unix_offset}, three);
    auto now = start + ledger_copy_delay;
    restarted.tick(now);
    for (const auto& request : a1.tick(now)) {
        auto& source = request.to == "b1" ? b1 : c1;
        restarted.receive(now, request.to, source.receive(now, "a1", request.body).at(0).body);
    }
    CHECK_FALSE(restarted.voting());
}

TEST_CASE("claims do not count after the claim window, when a restarted replica may vote again", "[ledger]") {
    static_assert(ledger_copy_delay > ledger_claim_window + clock_fixed_margin + ledger_claim_window / 100);
    auto coordinator = coordinator_with(three);
    auto begun = coordinator.begin(start, {1, key_at(start), "crew", 1, start + ms(5000)});
    coordinator.receive(start, "a1", grant(begun.messages[0]));
    auto late = start + ledger_claim_window + ms(1);
    CHECK_FALSE(dispatches(coordinator.receive(late, "b1", grant(begun.messages[1]))));
    CHECK(coordinator.tick(late).outcomes.at(0).outcome == wire::outcome::unknown);
}

TEST_CASE("a restarted replica copies only after the settle time", "[ledger]") {
    auto replica = replica_of("a1", three, false);
    CHECK(replica.tick(start + ledger_copy_delay - ms(1)).empty());
    CHECK(replica.tick(start + ledger_copy_delay).size() == 2);
    CHECK_FALSE(replica.voting());
    replica.tick(start + ledger_copy_delay + ledger_retention);
    CHECK(replica.voting());
}

TEST_CASE("claims of two attempts found while copying are both kept until each is aborted", "[ledger]") {
    bool reversed = GENERATE(false, true);
    auto b1 = replica_of("b1", three, true);
    auto c1 = replica_of("c1", three, true);
    auto a1 = replica_of("a1", three, false);
    std::string key = key_at(start);
    REQUIRE(claim_on(b1, start, key, "b1", 1) == wire::claim_result::granted);
    REQUIRE(claim_on(c1, start, key, "c1", 2) == wire::claim_result::granted);
    auto now = start + ms(2000);
    copy_all(now, a1, {{"b1", &b1}, {"c1", &c1}});
    REQUIRE(a1.voting());
    wire::abort_request_t abort;
    abort.key = key;
    std::vector<std::pair<std::string, std::uint64_t>> attempts{{"b1", 1}, {"c1", 2}};
    if (reversed) {
        std::swap(attempts[0], attempts[1]);
    }
    for (const auto& [edge, number] : attempts) {
        CHECK(claim_on(a1, now, key, "a1", 3) == wire::claim_result::exists);
        abort.attempt = std::make_unique<wire::attempt_id_t>();
        abort.attempt->edge = edge;
        abort.attempt->number = number;
        a1.receive(now, edge, abort);
    }
    CHECK(claim_on(a1, now, key, "a1", 3) == wire::claim_result::granted);
}

TEST_CASE("while members change, a claim needs a majority of the old and of the new set", "[ledger]") {
    ledger_members change{{{"a2", "a"}, {"b2", "b"}, {"c1", "c"}}, three.current};
    auto coordinator = coordinator_with(change);
    auto begun = coordinator.begin(start, {1, key_at(start), "crew", 1, start + ms(2000)});
    REQUIRE(begun.messages.size() == 5);
    std::map<std::string, ledger_message> by_edge;
    for (const auto& message : begun.messages) {
        by_edge[message.to] = message;
    }
    for (const char* edge : {"a2", "b2", "c1"}) {
        CHECK_FALSE(dispatches(coordinator.receive(start, edge, grant(by_edge.at(edge)))));
    }
    CHECK(dispatches(coordinator.receive(start, "a1", grant(by_edge.at("a1")))));
}

TEST_CASE("keys outside the accepted time range are refused with a correct outcome", "[ledger]") {
    auto coordinator = coordinator_with(three);
    auto refusal = [&](const std::string& key) {
        return coordinator.begin(start, {1, key, "crew", 1, start + ms(2000)}).outcomes.at(0);
    };
    auto expired = refusal(key_at(start - ledger_max_key_age - ms(1)));
    CHECK(expired.reason == wire::refusal_reason::key_expired);
    CHECK(expired.outcome == wire::outcome::unknown);
    auto future = refusal(key_at(start + ledger_max_key_future + ms(1)));
    CHECK(future.reason == wire::refusal_reason::key_from_future);
    CHECK(future.outcome == wire::outcome::unknown);
    CHECK(refusal("order-17").reason == wire::refusal_reason::idempotency_key_invalid);
    CHECK(refusal("order-17").outcome == wire::outcome::none);
}

// Guards R4 of docs/design.md: an edge whose clock was behind refused the key as not run after another edge had
// executed it.
TEST_CASE("a key that another edge's clock accepts is not refused as not_run", "[ledger]") {
    ledger_coordinator behind({"a1", 1, unix_offset}, three);
    ledger_coordinator ahead({"b1", 1, unix_offset + 30'000}, three);
    std::string key = key_at(start + ledger_max_key_future + ms(10'000));
    auto begun = ahead.begin(start, {1, key, "crew", 1, start + ms(2000)});
    for (const auto& message : begun.messages) {
        auto replica = replica_of(message.to, three, true);
        auto reply = replica.receive(start, "b1", message.body).at(0);
        begun.outcomes = ahead.receive(start, message.to, reply.body).outcomes;
        if (dispatches(begun)) {
            break;
        }
    }
    REQUIRE(dispatches(begun));
    auto refused = behind.begin(start + ms(100), {1, key, "crew", 1, start + ms(2000)}).outcomes.at(0);
    CHECK(refused.reason == wire::refusal_reason::key_from_future);
    CHECK(refused.outcome == wire::outcome::unknown);
}

// A late report of b1's own refusal hid a later refusal by a1. b1 knew that its own refusal was old, and executed the
// key although a1's caller had got not_run. Found by a generated history.
TEST_CASE("a late report of a refusal does not hide a later refusal by another edge", "[ledger]") {
    auto replica = replica_of("c1", three, true);
    std::string key = key_at(start);
    auto abort = [&](time_point now, const std::string& edge, std::int64_t refused_ms_ago) {
        wire::abort_request_t request;
        request.key = key;
        request.attempt = std::make_unique<wire::attempt_id_t>();
        request.attempt->edge = edge;
        request.attempt->number = 1;
        request.refused_ms_ago = refused_ms_ago;
        replica.receive(now, edge, request);
    };
    abort(start + ms(200), "a1", 0);
    abort(start + ms(300), "b1", 0);    // 200 ms late
    abort(start + ms(350), "b1", 250);  // sent again
    auto copy = replica_of("b1", three, false);
    auto now = start + ledger_copy_delay;
    auto page = copy.tick(now);
    auto request = std::find_if(page.begin(), page.end(), [](const auto& message) { return message.to == "c1"; });
    REQUIRE(request != page.end());
    copy.receive(now, "c1", replica.receive(now, "b1", request->body).at(0).body);
    for (auto* holder : {&replica, &copy}) {
        auto replies = holder->receive(now, "b1", claim_of(key, "b1", 2));
        const auto& reply = std::get<wire::claim_reply_t>(replies.at(0).body);
        REQUIRE(reply.entry != nullptr);
        REQUIRE(reply.entry->refused_by != nullptr);
        CHECK(reply.entry->refused_by->edge == "a1");
        CHECK(reply.entry->refused_ms_ago == (now - start).count() - 200);
    }
}

// Guards R5 of docs/design.md: a replica that has restarted since it granted a claim has lost that claim.
TEST_CASE("a late grant of an earlier incarnation of the replica does not count", "[ledger]") {
    auto coordinator = coordinator_with(three);
    auto begun = coordinator.begin(start, {1, key_at(start), "crew", 1, start + ms(2000)});
    auto restarted = grant(begun.messages[1]);
    restarted.incarnation = 2;
    restarted.result = wire::claim_result::not_voting;
    coordinator.receive(start + ms(1), begun.messages[1].to, restarted);
    CHECK_FALSE(dispatches(coordinator.receive(start + ms(2), begun.messages[0].to, grant(begun.messages[0]))));
    CHECK_FALSE(dispatches(coordinator.receive(start + ms(3), begun.messages[1].to, grant(begun.messages[1]))));
    CHECK(dispatches(coordinator.receive(start + ms(4), begun.messages[2].to, grant(begun.messages[2]))));
}

// Guards the latency of resends: with polling every 50 ms alone, the p99 of bookings was twice the p50.
TEST_CASE("a blocked claimant is notified of the outcome as soon as the owner knows it", "[ledger]") {
    std::string key = key_at(start);
    auto owner = coordinator_with(three);
    auto begun = owner.begin(start, {1, key, "crew", 1, start + ms(2000)});
    auto replica = replica_of("c1", three, true);
    replica.receive(start, "a1", begun.messages[2].body);
    ledger_coordinator resend({"b1", 1, unix_offset}, three);
    auto blocked = resend.begin(start + ms(5), {1, key, "crew", 1, start + ms(2000)});
    auto out = replica.receive(start + ms(25), "b1", blocked.messages[2].body);
    REQUIRE(out.size() == 2);
    CHECK(out[1].to == "a1");
    owner.receive(start + ms(30), "c1", out[1].body);
    resend.receive(start + ms(45), "c1", out[0].body);
    owner.receive(start + ms(40), "a1", grant(begun.messages[0]));
    REQUIRE(dispatches(owner.receive(start + ms(40), "b1", grant(begun.messages[1]))));
    wire::stored_answer_t answer;
    answer.status = 201;
    bool told = false;
    for (const auto& message : owner.complete(start + ms(45), 1, std::move(answer)).messages) {
        if (std::holds_alternative<wire::attempt_status_t>(message.body)) {
            CHECK(message.to == "b1");
            auto outcome = resend.receive(start + ms(65), "a1", message.body).outcomes.at(0);
            CHECK(outcome.verdict == ledger_verdict::replay);
            CHECK(outcome.path == ledger_path::other_edge);
            CHECK(outcome.answer->status == 201);
            told = true;
        }
    }
    CHECK(told);
}

// Guards the latency of concurrent sends of one key: an attempt that yielded at its first conflict had often been
// granted the other replicas, and the other attempt then needed a second round of claims.
TEST_CASE("an attempt yields to an undispatched one only when it is blocked", "[ledger]") {
    std::string key = key_at(start);
    ledger_coordinator coordinator({"b1", 1, unix_offset}, three);
    auto begun = coordinator.begin(start, {1, key, "crew", 1, start + ms(2000)});
    auto conflict_at = [&](std::size_t replica, time_point now) {
        auto reply = grant(begun.messages[replica]);
        reply.result = wire::claim_result::exists;
        reply.entry->attempt->edge = "a1";
        coordinator.receive(now, begun.messages[replica].to, reply);
        wire::attempt_status_t status;
        status.request_id = 1;
        status.key = key;
        status.attempt = std::make_unique<wire::attempt_id_t>(*reply.entry->attempt);
        status.state = wire::attempt_state::running;
        return coordinator.receive(now, "a1", status).messages;
    };
    CHECK(conflict_at(0, start + ms(1)).empty());
    if (GENERATE(false, true)) {
        CHECK(conflict_at(1, start + ms(40)).size() == 3);  // blocked: one abort for each replica
    } else {
        CHECK(conflict_at(0, start + ms(100)).size() == 3);  // the third replica does not reply
    }
}

TEST_CASE("UUID version 7 texts keep their time and others are refused", "[uuid]") {
    std::mt19937_64 random(1);
    for (std::int64_t time : {std::int64_t{0}, std::int64_t{1}, unix_offset, (std::int64_t{1} << 48) - 1}) {
        CHECK(uuid_v7_time_ms(make_uuid_v7(time, random)) == time);
    }
    CHECK(parse_uuid_v7("017F22E2-79B0-7CC3-98C4-DC0C0C07398F") == "017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
    CHECK(uuid_v7_time_ms("017F22E2-79B0-7CC3-98C4-DC0C0C07398F") == 1645557742000);  // example of RFC 9562
    for (const char* text : {"", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", "017f22e2-79b0-7cc3-c8c4-dc0c0c07398f",
                             "017f22e2-79b0-7cc3-98c4-dc0c0c07398", "017f22e2x79b0-7cc3-98c4-dc0c0c07398f"}) {
        CHECK_THROWS_AS(parse_uuid_v7(text), uuid_error);
    }
}
