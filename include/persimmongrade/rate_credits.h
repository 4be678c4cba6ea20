// Request rates of organisations, kept over all gateways together.
//
// The leader of the control processes holds a pool of credits for each organisation, which fills at the organisation's
// rate. A gateway spends one credit for each request that it sends, and asks for new ones several times per second, for
// all organisations in one message. Only where an organisation may have fewer credits than there are gateways, its
// requests may wait for one round trip to the leader.
//
//     control, leader:  granter.set_limits(limits, now); granter.answer(gateway, request, now)
//     gateway:          holder.set_limits(limits, now); holder.request(now); holder.receive(grant, now)
//     gateway, request: holder.reserve(organisation, now); then spend() when it is sent, or release(). When the result
//                       is `ask`, holder.wait(organisation), request() at once, and reserve() again on the answer
//
// Bound. The pool and the credits that are out never exceed `max_outstanding`, so that within any window at most the
// rate times the window plus max_outstanding requests are sent. max_outstanding is the organisation's burst and most of
// the tolerance that the operator states.
//
// A gateway returns credits that others need more, so that the first to ask does not keep them all.
//
// Load patterns. One organisation sends several times its rate: its credits run out at all gateways, the others' do
// not. Demand moves between gateways: credits are given in proportion to what each was recently asked for, and a part
// equally.
//
// Failures. Credits are valid for `credit_lease` after the last request that the leader answered. A gateway without an
// answer for longer falls back to its standing rate, a part of the limit that the leader gave it beforehand and that
// stays reserved until `standing_lease` has passed. A new leader counts credits and standing rates of gateways that it
// has not heard as given, until they have expired.

#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>

#include "messages_generated.h"
#include "persimmongrade/clock.h"

namespace persimmongrade {

struct rate_limit {
    double rate = 0;             // requests per second
    double max_outstanding = 0;  // credits that may be out at a time

    bool operator==(const rate_limit&) const = default;
};

using rate_limits = std::map<std::string, rate_limit>;  // by organisation; those without a limit are not listed

// What operators tolerate: in any window, (rate * window + burst) * (1 + overshoot) + slack requests.
struct rate_tolerance {
    duration window = ms(5000);
    double overshoot = 0;
    double slack = 0;  // requests

    bool operator==(const rate_tolerance&) const = default;
};

rate_limit limit_of(double rate, double burst, const rate_tolerance& tolerance);

inline constexpr duration credit_lease = ms(2000);     // longer than the election of a leader
inline constexpr duration standing_lease = ms(15000);  // gateways are rarely cut off for longer
inline constexpr double standing_fraction = 0.5;       // of a rate, divided among the gateways as standing rates

// ---- Leader ----

class rate_credit_granter {
public:
    // Limits in force. Credits of an organisation that is new since become_leader() are given at once.
    void set_limits(const rate_limits& limits, time_point now);
    void become_leader(std::uint64_t term, time_point now);
    wire::credit_grants_t answer(const std::string& gateway, const wire::credit_request_t& request, time_point now);

    // Credits that are out and in the pool, for logs and tests.
    double outstanding(const std::string& organisation) const;
    double pool(const std::string& organisation) const;
    std::size_t gateways() const noexcept { return this->heard_at.size(); }

private:
    struct holding {
        std::uint64_t granted = 0;  // since the gateway's start
        std::uint64_t used = 0;     // as last reported, like the following ones
        std::uint64_t returned = 0;
        std::uint64_t asked = 0;
        std::uint64_t target_sent = 0;
        double standing_sent = 0;
        double standing_reported = 0;
        double demand = 0;  // requests per second
        time_point demand_at{};

        // The highest that the gateway may use: a lower one counts once it is reported.
        double standing_rate() const { return std::max(this->standing_sent, this->standing_reported); }
        double credits_out() const;
        double demand_now(time_point now) const;
    };

    struct account {
        rate_limit limit;
        double pool = 0;
        time_point filled_at{};
        // Of gateways that this leader has not heard since its election.
        double unknown_credits = 0;
        double unknown_standing_rate = 0;
        std::map<std::string, holding> holdings;  // by gateway

        double credits_out() const;
    };

    void expire(time_point now);
    void fill(account& entry, time_point now) const;
    void report(account& entry, const std::string& gateway, const wire::credit_report_t& report, time_point now);
    wire::credit_grant_t grant(const std::string& organisation, account& entry, const std::string& gateway,
                               std::uint32_t waiting, time_point now) const;

    std::uint64_t term = 0;
    time_point leader_since{};
    std::map<std::string, account> accounts;       // by organisation
    std::map<std::string, time_point> heard_at;    // by gateway
    std::map<std::string, std::string> next_sent;  // by gateway: organisation to continue with
    std::set<std::string> on_standing_rates;       // gateways that may use them now
    time_point expired_at{};                       // last call of expire() that had an effect
};

// ---- Gateway ----

enum class credit_result : std::uint8_t {
    reserved,
    ask,      // none here; the leader may have some
    refused,  // the limit is used up
};

class rate_credit_holder {
public:
    explicit rate_credit_holder(std::uint64_t random_seed) : random(random_seed) {}

    void set_limits(const rate_limits& limits, time_point now);
    bool empty() const noexcept { return this->limited == 0; }

    // Takes a credit for a request that may be sent. Organisations without a limit always get one.
    credit_result reserve(const std::string& organisation, time_point now);
    void wait(const std::string& organisation);          // a request waits for the next answer of the leader
    void stop_waiting(const std::string& organisation);  // ... no longer
    void spend(const std::string& organisation);         // the request is sent
    void release(const std::string& organisation);       // it ended without being sent
    duration retry_after(const std::string& organisation, time_point now);

    wire::credit_request_t request(time_point now);
    void receive(const wire::credit_grants_t& grants, time_point now);
    bool in_touch(time_point now) const { return now < this->lease_until; }

    double available(const std::string& organisation) const;  // for logs and tests

private:
    struct account {
        rate_limit limit;
        // The counters are kept without a limit: the leader may see a limit that is removed and added again as
        // unchanged.
        bool is_limited = true;
        std::uint64_t granted = 0;
        std::uint64_t used = 0;
        std::uint64_t returned = 0;
        std::uint64_t reserved = 0;
        std::uint64_t expired_reserved = 0;  // of these, those that the leader counts as spent
        std::uint64_t asked = 0;
        std::uint64_t standing_taken = 0;  // tokens that count in `granted` and did not come from the leader
        std::uint64_t reported_asked = 0;
        std::uint64_t reported_used = 0;
        std::uint64_t reported_returned = 0;
        std::uint64_t reported_granted = 0;
        double reported_standing_rate = 0;
        double standing_rate = 0;
        double standing_tokens = 0;
        time_point tokens_filled_at{};
        double inflow = 0;  // credits per second, recently
        time_point granted_at{};
        std::uint64_t refused = 0;  // since the last grant
        std::uint32_t waiting = 0;
        time_point scarce_until{};

        std::uint64_t available() const { return this->granted - this->used - this->returned - this->reserved; }
        void expire_credits();
    };

    struct open_request {
        time_point sent_at;
        bool was_full;
    };

    account* find_limited(const std::string& organisation);
    void check_lease(time_point now);
    void use_standing_rates(time_point now);
    static void fill_standing(account& entry, time_point now);

    std::mt19937_64 random;
    std::map<std::string, account> accounts;
    std::size_t limited = 0;  // accounts
    std::uint64_t term = 0;
    std::uint64_t last_request = 0;
    std::uint64_t last_answer = 0;
    std::map<std::uint64_t, open_request> open_requests;  // by number
    bool report_all = true;
    time_point lease_until{};
    time_point standing_until{};
    bool is_cut_off = true;
};

}  // namespace persimmongrade
