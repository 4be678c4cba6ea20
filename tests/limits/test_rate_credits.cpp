// Rates of organisations over several gateways: no window exceeds the bound, whatever fails, and at least nine tenths
// of a limit can be used while more is asked. A leader and gateways exchange messages over delayed links in virtual
// time.

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <deque>
#include <iostream>
#include <memory>
#include <random>

#include "persimmongrade/rate_credits.h"

using namespace persimmongrade;

namespace {

constexpr time_point start{ms(100000)};
const rate_tolerance tolerance{ms(5000), 0.1, 20};

double bound(double rate, double burst) {
    return (rate * 5 + burst) * 1.1 + 20;
}

// Gateways that ask for credits every 250 ms over links of 20 ms, and spend each credit at once.
class credit_play {
public:
    struct gateway {
        std::string name;
        std::unique_ptr<rate_credit_holder> holder;
        bool is_cut_off = false;
        bool is_frozen = false;
        std::vector<std::pair<std::string, time_point>> waiting = {};  // requests that wait for a credit, until then
    };

    credit_play(std::size_t gateways, rate_limits given) : limits(std::move(given)) {
        this->granter.set_limits(this->limits, this->now);
        for (std::size_t i = 0; i < gateways; ++i) {
            this->add_gateway();
        }
    }

    void add_gateway() {
        gateway added{"g" + std::to_string(++this->started), std::make_unique<rate_credit_holder>(this->started)};
        added.holder->set_limits(this->limits, this->now);
        this->gateways.push_back(std::move(added));
    }

    void set_all(bool gateway::*state, bool value) {
        for (gateway& one : this->gateways) {
            one.*state = value;
        }
    }

    void restart_gateway(std::size_t index) {
        this->add_gateway();
        this->gateways[index] = std::move(this->gateways.back());
        this->gateways.pop_back();
    }

    void change_leader(std::uint64_t term) {
        this->granter = rate_credit_granter();
        this->granter.set_limits(this->limits, this->now);
        this->granter.become_leader(term, this->now);
        this->has_leader = true;
    }

    // Limits that are removed first, at the leader or at gateways, seem unchanged to the others.
    void set_limits(const rate_limits& given, bool removed_at_leader = false, bool removed_at_gateways = false) {
        this->limits = given;
        this->granter.set_limits(removed_at_leader ? rate_limits() : given, this->now);
        this->granter.set_limits(given, this->now);
        for (gateway& one : this->gateways) {
            one.holder->set_limits(removed_at_gateways ? rate_limits() : given, this->now);
            one.holder->set_limits(given, this->now);
        }
    }

    // Requests of `organisation` per second, spread evenly over the gateways from `first` to before `last`.
    void run(duration length, const std::string& organisation, double per_second, std::size_t first, std::size_t last) {
        for (time_point end = this->now + length; this->now < end; this->now += ms(1)) {
            this->exchange();
            std::poisson_distribution<int> arrivals(per_second / 1000);
            for (int i = arrivals(this->random); i > 0; --i) {
                gateway& one = this->gateways[first + this->random() % (last - first)];
                ++this->asked;
                if (!one.is_frozen) {
                    this->request(one, organisation, this->now + ms(150));
                }
            }
        }
    }

    void run(duration length, const std::string& organisation, double per_second) {
        this->run(length, organisation, per_second, 0, this->gateways.size());
    }

    std::size_t most_in_window(const std::string& organisation, time_point from = {}) const {
        auto found = this->sent.find(organisation);
        if (found == this->sent.end()) {
            return 0;
        }
        std::size_t most = 0;
        std::size_t first =
            static_cast<std::size_t>(std::ranges::lower_bound(found->second, from) - found->second.begin());
        for (std::size_t i = first; i < found->second.size(); ++i) {
            while (found->second[i] - found->second[first] >= tolerance.window) {
                ++first;
            }
            most = std::max(most, i - first + 1);
        }
        return most;
    }

    std::size_t sent_since(const std::string& organisation, time_point from) const {
        auto found = this->sent.find(organisation);
        return found == this->sent.end()
                   ? 0
                   : static_cast<std::size_t>(std::count_if(found->second.begin(), found->second.end(),
                                                            [&](time_point at) { return at >= from; }));
    }

    time_point now = start;
    rate_credit_granter granter;
    bool has_leader = true;
    std::vector<gateway> gateways;
    std::size_t asked = 0;
    double loss = 0;  // of the messages, like the following one
    double repetition = 0;
    int max_extra_delay_ms = 0;

private:
    struct message {
        time_point arrives_at;
        std::size_t gateway;
        std::string sender;
        std::optional<wire::credit_request_t> request;
        std::optional<wire::credit_grants_t> grants;
    };

    static constexpr duration one_way = ms(20);

    void transmit(message made) {
        std::bernoulli_distribution is_lost(this->loss);
        std::bernoulli_distribution is_repeated(this->repetition);
        std::uniform_int_distribution<int> extra_delay(0, this->max_extra_delay_ms);
        if (is_lost(this->random)) {
            return;
        }
        made.arrives_at = this->now + one_way + ms(extra_delay(this->random));
        if (is_repeated(this->random)) {
            this->links.push_back(made);
            made.arrives_at += ms(extra_delay(this->random));
        }
        this->links.push_back(std::move(made));
    }

    // A request without a credit waits for the answer to a question of its own.
    void request(gateway& at, const std::string& organisation, time_point wait_until, bool is_new = true) {
        credit_result result = at.holder->reserve(organisation, this->now);
        if (result == credit_result::reserved) {
            at.holder->spend(organisation);
            this->sent[organisation].push_back(this->now);
        } else if (result == credit_result::ask && this->now < wait_until) {
            at.holder->wait(organisation);
            at.waiting.emplace_back(organisation, wait_until);
            auto index = static_cast<std::size_t>(&at - this->gateways.data());
            if (is_new && !at.is_cut_off) {
                this->transmit({{}, index, at.name, at.holder->request(this->now), std::nullopt});
            }
        }
    }

    void exchange() {
        for (std::size_t i = 0; i < this->gateways.size(); ++i) {
            gateway& one = this->gateways[i];
            bool due = (this->now.time_since_epoch().count() + static_cast<std::int64_t>(i) * 7) % 250 == 0;
            if (due && !one.is_cut_off && !one.is_frozen) {
                this->transmit({{}, i, one.name, one.holder->request(this->now), std::nullopt});
            }
        }
        for (std::size_t pending = this->links.size(); pending > 0; --pending) {
            message next = std::move(this->links.front());
            this->links.pop_front();
            gateway& one = this->gateways[next.gateway];
            bool is_unread = next.grants && one.is_frozen;  // until the gateway runs again
            if (next.arrives_at > this->now || is_unread) {
                this->links.push_back(std::move(next));
                continue;
            }
            if (one.is_cut_off || one.name != next.sender) {
                continue;
            }
            if (next.request && this->has_leader) {
                this->transmit({{},
                                next.gateway,
                                next.sender,
                                std::nullopt,
                                this->granter.answer(one.name, *next.request, this->now)});
            } else if (next.grants) {
                one.holder->receive(*next.grants, this->now);
                for (const auto& [organisation, until] : std::exchange(one.waiting, {})) {
                    one.holder->stop_waiting(organisation);
                    this->request(one, organisation, until, false);
                }
            }
        }
    }

    rate_limits limits;
    std::uint64_t started = 0;
    std::mt19937_64 random{7};
    std::deque<message> links;
    std::map<std::string, std::vector<time_point>> sent;
};

rate_limits one(const std::string& organisation, double rate, double burst) {
    return {{organisation, limit_of(rate, burst, tolerance)}};
}

struct leader_and_gateway {
    leader_and_gateway() {
        this->granter.set_limits(one("a", 10, 10), start);
        this->holder.set_limits(one("a", 10, 10), start);
    }

    void exchange(time_point now) {
        this->holder.receive(this->granter.answer("g", this->holder.request(now), now), now);
    }

    rate_credit_granter granter;
    rate_credit_holder holder{1};
};

}  // namespace

// Load pattern: demand below the limit. Credits that lie at gateways without demand must not cause refusals.
TEST_CASE("an organisation within its limit is served, also a small one at many gateways") {
    for (double rate : {8.0, 40.0, 800.0}) {
        credit_play play(33, one("a", rate, rate));
        play.run(ms(1000), "a", 0);
        play.asked = 0;
        play.run(ms(20000), "a", rate / 1.6);
        auto served = static_cast<double>(play.sent_since("a", start)) / static_cast<double>(play.asked);
        std::cout << "within the limit, rate " << rate << ": served " << served << "\n";
        CHECK(served > 0.95);
    }
}

// Load pattern: one organisation sends 7.5 times its usual rate, 4.7 times its limit.
TEST_CASE("nine tenths of a limit are used while more is asked, and no window exceeds the bound") {
    credit_play play(33, one("a", 800, 800));
    play.run(ms(3000), "a", 500);
    time_point from = play.now;
    play.run(ms(10000), "a", 3750);
    double used = static_cast<double>(play.sent_since("a", from)) / (800 * 10);
    std::cout << "used of the limit: " << used << ", most in a window: " << play.most_in_window("a") << ", bound "
              << bound(800, 800) << "\n";
    CHECK(used >= 0.9);
    CHECK(static_cast<double>(play.most_in_window("a")) <= bound(800, 800));
}

TEST_CASE("credits follow demand that moves to other gateways") {
    credit_play play(30, one("a", 300, 300));
    play.run(ms(4000), "a", 900, 0, 10);
    time_point from = play.now;
    play.run(ms(8000), "a", 900, 20, 30);
    double used = static_cast<double>(play.sent_since("a", from)) / (300 * 8);
    std::cout << "used after demand moved: " << used << "\n";
    CHECK(used >= 0.9);
    CHECK(static_cast<double>(play.most_in_window("a")) <= bound(300, 300));
}

TEST_CASE("the bound holds while a third of the gateways is cut off, and they are served from their standing rates") {
    credit_play play(30, one("a", 300, 300));
    play.run(ms(5000), "a", 300);
    for (std::size_t i = 0; i < 10; ++i) {
        play.gateways[i].is_cut_off = true;
    }
    play.run(ms(3000), "a", 900);
    time_point from = play.now;
    play.run(ms(6000), "a", 300, 0, 10);
    double standing = 300 * standing_fraction / 30 * 10 * 6;
    CHECK(static_cast<double>(play.sent_since("a", from)) >= 0.9 * standing);
    for (std::size_t i = 0; i < 10; ++i) {
        play.gateways[i].is_cut_off = false;
    }
    play.run(ms(10000), "a", 900);
    CHECK(static_cast<double>(play.most_in_window("a")) <= bound(300, 300));
}

TEST_CASE("the bound holds while leaders change and gateways restart") {
    credit_play play(20, one("a", 200, 200));
    play.run(ms(3000), "a", 900);
    for (std::uint64_t term = 2; term < 8; ++term) {
        play.has_leader = false;
        play.run(ms(700), "a", 900);
        play.change_leader(term);
        play.run(ms(1500), "a", 900);
        play.gateways.erase(play.gateways.begin() + static_cast<std::ptrdiff_t>(term));
        play.add_gateway();
        play.run(ms(1500), "a", 900);
    }
    std::cout << "with changes of the leader, most in a window: " << play.most_in_window("a") << ", bound "
              << bound(200, 200) << "\n";
    CHECK(static_cast<double>(play.most_in_window("a")) <= bound(200, 200));
    CHECK(play.sent_since("a", play.now - ms(5000)) > 0);
}

TEST_CASE("a gateway that was frozen spends nothing beyond the bound") {
    credit_play play(20, one("a", 200, 200));
    play.run(ms(5000), "a", 900);
    for (std::size_t i = 0; i < 5; ++i) {
        play.gateways[i].is_frozen = true;
    }
    play.run(ms(6000), "a", 900);
    for (std::size_t i = 0; i < 5; ++i) {
        play.gateways[i].is_frozen = false;
    }
    play.run(ms(6000), "a", 900);
    CHECK(static_cast<double>(play.most_in_window("a")) <= bound(200, 200));
}

TEST_CASE("a lowered limit binds one window later") {
    credit_play play(20, one("a", 400, 400));
    play.run(ms(5000), "a", 600);
    play.set_limits(one("a", 50, 50));
    play.run(ms(5000), "a", 600);
    time_point from = play.now;
    play.run(ms(5000), "a", 600);
    CHECK(static_cast<double>(play.sent_since("a", from)) <= bound(50, 50));
    CHECK(static_cast<double>(play.sent_since("a", from)) >= 0.9 * 50 * 5);
}

TEST_CASE("a request that is not sent returns its credit, and one organisation takes nothing from another") {
    rate_limits limits = one("a", 10, 2);
    limits.merge(one("b", 10, 2));
    credit_play play(1, limits);
    play.run(ms(1000), "none", 0);
    rate_credit_holder& holder = *play.gateways[0].holder;
    double before = holder.available("a");
    REQUIRE(before >= 1);
    while (holder.reserve("a", play.now) == credit_result::reserved) {
    }
    CHECK(holder.available("a") == 0);
    CHECK(holder.retry_after("a", play.now) > ms(0));
    CHECK(holder.reserve("b", play.now) == credit_result::reserved);
    for (int i = 0; i < static_cast<int>(before); ++i) {
        holder.release("a");
    }
    CHECK(holder.available("a") == before);
    CHECK(holder.reserve("unlimited", play.now) == credit_result::reserved);
}

TEST_CASE("grants of a former leader and answers out of order change nothing") {
    rate_credit_holder holder(1);
    holder.set_limits(one("a", 10, 10), start);
    auto first = holder.request(start);
    auto second = holder.request(start + ms(10));
    auto grants = [](std::uint64_t number, std::uint64_t term, std::uint64_t granted) {
        wire::credit_grants_t made;
        made.number = number;
        made.term = term;
        auto grant = std::make_unique<wire::credit_grant_t>();
        grant->organisation = "a";
        grant->granted = granted;
        grant->target = granted;
        made.grants.push_back(std::move(grant));
        return made;
    };
    holder.receive(grants(second.number, 3, 4), start + ms(50));
    CHECK(holder.available("a") == 4);
    holder.receive(grants(first.number, 3, 9), start + ms(60));
    CHECK(holder.available("a") == 4);
    auto third = holder.request(start + ms(70));
    holder.receive(grants(third.number, 2, 9), start + ms(80));
    CHECK(holder.available("a") == 4);
}

// Guards against credits that the leader counts as expired and gives to others, while the gateway keeps them.
TEST_CASE("credits that expired while gateways had no requests are not spent afterwards") {
    const double most_outstanding = limit_of(200, 200, tolerance).max_outstanding;
    for (auto state : {&credit_play::gateway::is_cut_off, &credit_play::gateway::is_frozen}) {
        for (int back_before_demand_ms : {0, 1500}) {
            credit_play play(8, one("a", 200, 200));
            play.run(ms(3000), "a", 1200);
            play.run(ms(4000), "a", 0);
            play.set_all(state, true);
            play.run(ms(6000), "a", 0);
            play.set_all(state, false);
            play.run(ms(back_before_demand_ms), "a", 0);
            play.run(ms(6000), "a", 2000);
            CHECK(static_cast<double>(play.most_in_window("a")) <= 200 * 5 + most_outstanding);
        }
    }
}

// Guards against standing rates that are used in addition to the whole limit, by gateways whose requests still arrive.
TEST_CASE("the leader reserves the standing rate of a gateway that gets no answers") {
    leader_and_gateway both;
    rate_credit_holder other(2);
    other.set_limits(one("a", 10, 10), start);
    int sent = 0;
    for (time_point now = start; now < start + ms(14000); now += ms(50)) {
        auto answer = both.granter.answer("g", both.holder.request(now), now);
        if (now < start + ms(1000)) {
            both.holder.receive(answer, now);
        }
        other.receive(both.granter.answer("h", other.request(now), now), now);
        for (rate_credit_holder* one : {&both.holder, &other}) {
            while (one->reserve("a", now) == credit_result::reserved) {
                one->spend("a");
                sent += now >= start + ms(4000) ? 1 : 0;
            }
        }
    }
    CHECK(sent <= 10 * 10 + 5);
}

// Guards against counters that start again at 0 at gateways but not at the leader: credits would be spent twice.
TEST_CASE("a limit that is removed and added again gives no credits twice") {
    credit_play play(20, one("a", 300, 300));
    play.run(ms(3000), "a", 900);
    play.set_limits(one("a", 300, 300), false, true);
    play.run(ms(6000), "a", 0);
    time_point from = play.now;
    play.run(ms(6000), "a", 3000);
    CHECK(static_cast<double>(play.most_in_window("a", from)) <= bound(300, 300));
}

// Guards against answers that are ignored because many requests are open, when the leader is slow.
TEST_CASE("an answer counts although many requests were sent after its own") {
    leader_and_gateway both;
    auto answer = both.granter.answer("g", both.holder.request(start), start);
    for (int i = 0; i < 30; ++i) {
        both.holder.request(start + ms(4 * i));
    }
    both.holder.receive(answer, start + ms(150));
    CHECK(both.holder.available("a") >= 1);
}

// Guards against credits that come back to a gateway after the leader has counted them as expired.
TEST_CASE("a credit that was reserved before it expired is not available again") {
    leader_and_gateway both;
    both.exchange(start);
    REQUIRE(both.holder.reserve("a", start) == credit_result::reserved);
    both.exchange(start + ms(3000));
    double before = both.holder.available("a");
    both.holder.release("a");
    CHECK(both.holder.available("a") == before);
}

// Guards against reports that stay lost, after which the leader counts credits that a gateway no longer has.
TEST_CASE("a missing answer is followed by a full report, although later answers arrive") {
    leader_and_gateway both;
    both.exchange(start);
    both.holder.request(start);  // lost
    auto second = both.holder.request(start);
    auto third = both.holder.request(start);
    both.holder.receive(both.granter.answer("g", second, start), start);
    both.holder.receive(both.granter.answer("g", third, start), start);
    CHECK(both.holder.request(start).full);
}

// Load pattern: gateways are added because demand is several times the limit.
TEST_CASE("gateways that are added while demand is high get credits, within the bound") {
    credit_play play(10, one("a", 300, 300));
    play.run(ms(5000), "a", 1500);
    for (int i = 0; i < 20; ++i) {
        play.add_gateway();
        play.run(ms(100), "a", 1500);
    }
    time_point from = play.now;
    play.run(ms(6000), "a", 1500, 10, 30);
    double used = static_cast<double>(play.sent_since("a", from)) / (300 * 6);
    std::cout << "used by gateways that were added: " << used << "\n";
    CHECK(used >= 0.9);
    CHECK(static_cast<double>(play.most_in_window("a")) <= bound(300, 300));
}

// Guards against credits that the leader counts as spent while a gateway still spends them. Limits are lowered to no
// less than half: gateways that are cut off use the standing rates of the former limit for up to 15 s.
TEST_CASE("no window exceeds the bound, whatever happens to messages, gateways, leaders and limits", "[rates]") {
    rc::prop("the bound on all windows", [] {
        constexpr double usual = 200;
        double rate = usual;
        credit_play play(8, one("a", rate, rate));
        time_point judged_from = play.now;
        double demand = 6;  // as a multiple of the usual limit
        std::uint64_t term = 1;
        auto pick = [](auto... choices) { return *rc::gen::element(choices...); };
        auto run = [&](int length) { play.run(ms(length), "a", demand * usual); };
        auto judge = [&] {
            RC_ASSERT(static_cast<double>(play.most_in_window("a", judged_from)) <= bound(rate, rate));
        };
        for (int event = 0; event < 20; ++event) {
            run(pick(1, 30, 200, 1000, 4000));
            std::size_t index = pick(0U, 1U, 3U, 7U);
            auto& chosen = play.gateways[index];
            switch (pick(0, 1, 2, 3, 4, 5, 6, 7, 8, 9)) {
            case 0:
                play.loss = pick(0.0, 0.1, 0.6);
                play.repetition = pick(0.0, 0.3);
                play.max_extra_delay_ms = pick(0, 60, 700);
                break;
            case 1:
                play.restart_gateway(index);
                break;
            case 2:
                chosen.is_cut_off = !chosen.is_cut_off;
                break;
            case 3:
                chosen.is_frozen = !chosen.is_frozen;
                break;
            case 4:
                play.add_gateway();
                break;
            case 5:
                play.has_leader = !play.has_leader;
                break;
            case 6:
                play.change_leader(++term);
                break;
            case 7:
                judge();
                judged_from = play.now + tolerance.window;  // a changed limit is binding one window later
                rate = pick(0.5, 1.0) * usual;
                play.set_limits(one("a", rate, rate), pick(false, true), pick(false, true));
                break;
            case 8: {  // no requests for some time, during which all gateways are cut off or frozen
                demand = 0;
                run(pick(0, 2000, 6000));
                auto state = pick(false, true) ? &credit_play::gateway::is_cut_off : &credit_play::gateway::is_frozen;
                play.set_all(state, true);
                run(pick(0, 2500, 6000));
                play.set_all(state, false);
                run(pick(0, 600, 2000));
                demand = 10;
                break;
            }
            default:
                demand = pick(0.0, 0.5, 1.0, 10.0);
            }
        }
        judge();
    });
}
