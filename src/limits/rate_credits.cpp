#include "persimmongrade/rate_credits.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <set>
#include <utility>

namespace persimmongrade {

namespace {

constexpr double ms_per_second = 1000;
// Of the tolerance that is given out as credits. The rest is for requests that are sent later than they are counted.
constexpr double tolerance_fraction = 0.8;
constexpr double equal_fraction = 0.2;  // of the credits, given to gateways whatever they were asked for
// Of what a gateway was asked for. With 1 s, a single request of a small organisation drew credits for several to it.
constexpr double demand_half_life_ms = 3000;
constexpr double max_demand_seconds = 1.5;  // of its demand that a gateway holds credits for
// Below it, gateways without demand hold no credit of the organisation, so that some are left in the pool.
constexpr double min_credits_per_gateway = 1.5;
constexpr double min_demand = 0.1;  // requests per second
// Share of the rate above which an empty pool means that the limit is used up, and not that credits lie elsewhere.
constexpr double scarce_demand = 0.9;
constexpr duration scarcity_hold = ms(500);    // refused without asking again, after the pool was empty
constexpr duration expiry_interval = ms(100);  // between checks for silent gateways
constexpr double inflow_weight = 0.3;          // of one grant in the rate of credits that a gateway gets
constexpr std::size_t max_unreported = 200;    // organisations in one answer beside those that were reported
constexpr double min_retry_after_ms = 100;
constexpr double max_retry_after_ms = 2000;
// Of which a gateway remembers when it sent them. Requests are sent up to every 4 ms and count for credit_lease; with
// 16, no answer was accepted from a leader that needed more than 64 ms.
constexpr std::size_t max_open_requests = 600;

double seconds_between(time_point from, time_point until) {
    return std::max(0.0, static_cast<double>((until - from).count()) / ms_per_second);
}

double decay(time_point from, time_point until) {
    return std::exp2(-seconds_between(from, until) * ms_per_second / demand_half_life_ms);
}

double difference(std::uint64_t more, std::uint64_t less) {
    return more > less ? static_cast<double>(more - less) : 0;
}

}  // namespace

rate_limit limit_of(double rate, double burst, const rate_tolerance& tolerance) {
    double in_window = rate * static_cast<double>(tolerance.window.count()) / ms_per_second + burst;
    double tolerated = tolerance.overshoot * in_window + tolerance.slack;
    return {rate, std::max(1.0, burst + tolerance_fraction * tolerated)};
}

// ---- Leader ----

double rate_credit_granter::account::credits_out() const {
    double sum = this->unknown_credits;
    for (const auto& [gateway, held] : this->holdings) {
        sum += held.credits_out();
    }
    return sum;
}

double rate_credit_granter::holding::credits_out() const {
    return difference(this->granted, this->used + this->returned);
}

double rate_credit_granter::holding::demand_now(time_point now) const {
    return this->demand * decay(this->demand_at, now);
}

void rate_credit_granter::set_limits(const rate_limits& limits, time_point now) {
    std::erase_if(this->accounts, [&](const auto& entry) { return !limits.contains(entry.first); });
    for (const auto& [organisation, limit] : limits) {
        auto [place, added] = this->accounts.try_emplace(organisation);
        account& entry = place->second;
        if (added) {
            entry.pool = limit.max_outstanding;
            entry.filled_at = now;
        } else if (limit != entry.limit) {
            this->fill(entry, now);
        }
        entry.limit = limit;
    }
}

// Gateways hold credits and standing rates of the leader before.
void rate_credit_granter::become_leader(std::uint64_t new_term, time_point now) {
    this->term = new_term;
    this->leader_since = now;
    this->heard_at.clear();
    this->next_sent.clear();
    this->on_standing_rates.clear();
    for (auto& [organisation, entry] : this->accounts) {
        entry.holdings.clear();
        entry.pool = 0;
        entry.filled_at = now;
        entry.unknown_credits = entry.limit.max_outstanding;
        entry.unknown_standing_rate = entry.limit.rate * standing_fraction;
    }
}

// Credits of a silent gateway have expired there after credit_lease; its standing rate holds for longer.
void rate_credit_granter::expire(time_point now) {
    if (now - this->expired_at < expiry_interval) {
        return;
    }
    this->expired_at = now;
    std::vector<std::string> forgotten;
    std::vector<std::string> silent;  // their credits have expired
    for (const auto& [gateway, heard] : this->heard_at) {
        if (now >= granter_expiry(heard, standing_lease)) {
            forgotten.push_back(gateway);
        } else if (now >= granter_expiry(heard, credit_lease)) {
            silent.push_back(gateway);
            this->on_standing_rates.insert(gateway);
        }
    }
    for (const std::string& gateway : forgotten) {
        this->heard_at.erase(gateway);
        this->next_sent.erase(gateway);
        this->on_standing_rates.erase(gateway);
    }
    for (auto& [organisation, entry] : this->accounts) {
        if (now >= granter_expiry(this->leader_since, credit_lease)) {
            entry.unknown_credits = 0;
        }
        if (now >= granter_expiry(this->leader_since, standing_lease)) {
            entry.unknown_standing_rate = 0;
        }
        for (const std::string& gateway : forgotten) {
            entry.holdings.erase(gateway);
        }
        for (const std::string& gateway : silent) {
            if (auto held = entry.holdings.find(gateway); held != entry.holdings.end()) {
                // Not by a higher `used`: the gateway may lack the last grants, and would get them again with the next.
                held->second.granted = held->second.used + held->second.returned;
            }
        }
    }
}

void rate_credit_granter::fill(account& entry, time_point now) const {
    double reserved = entry.unknown_standing_rate;
    double tokens = entry.unknown_standing_rate;  // saved up by gateways, as in fill_standing()
    for (const std::string& gateway : this->on_standing_rates) {
        auto held = entry.holdings.find(gateway);
        double rate = held == entry.holdings.end() ? 0 : held->second.standing_rate();
        reserved += rate;
        tokens += rate > 0 ? std::max(1.0, rate) : 0;
    }
    entry.pool += std::max(0.0, entry.limit.rate - reserved) * seconds_between(entry.filled_at, now);
    entry.pool = std::min(entry.pool, std::max(0.0, entry.limit.max_outstanding - entry.credits_out() - tokens));
    entry.filled_at = now;
}

void rate_credit_granter::report(account& entry, const std::string& gateway, const wire::credit_report_t& report,
                                 time_point now) {
    auto [place, added] = entry.holdings.try_emplace(gateway);
    holding& held = place->second;
    held.standing_reported = std::max(0.0, report.standing_rate);
    if (added) {  // what it holds is part of what was unknown
        held.granted = std::max(report.granted, report.used + report.returned);
        held.used = report.used;
        held.returned = report.returned;
        held.asked = report.asked;
        held.demand_at = now;
        entry.unknown_credits = std::max(0.0, entry.unknown_credits - held.credits_out());
        entry.unknown_standing_rate = std::max(0.0, entry.unknown_standing_rate - held.standing_reported);
        return;
    }
    constexpr double ln2 = 0.6931471805599453;
    double per_request = ln2 * ms_per_second / demand_half_life_ms;
    held.demand = held.demand_now(now) + difference(report.asked, held.asked) * per_request;
    held.demand_at = now;
    held.asked = std::max(held.asked, report.asked);
    held.granted = std::max(held.granted, report.granted);  // more than known only when this process lost the account
    std::uint64_t most_returned = held.granted - std::min(held.granted, held.used);
    std::uint64_t returned = std::clamp(report.returned, held.returned, std::max(held.returned, most_returned));
    entry.pool += difference(returned, held.returned);
    held.returned = returned;
    std::uint64_t most_used = held.granted - std::min(held.granted, held.returned);
    held.used = std::clamp(report.used, held.used, std::max(held.used, most_used));
}

wire::credit_grant_t rate_credit_granter::grant(const std::string& organisation, account& entry,
                                                const std::string& gateway, std::uint32_t waiting,
                                                time_point now) const {
    this->fill(entry, now);
    auto count = static_cast<double>(std::max<std::size_t>(1, this->heard_at.size()));
    double demand = 0;
    double others_standing = entry.unknown_standing_rate;
    double others_with_standing = 0;
    for (const auto& [other, held] : entry.holdings) {
        demand += held.demand_now(now);
        if (other != gateway) {
            others_standing += held.standing_rate();
            others_with_standing += held.standing_rate() > 0 ? 1 : 0;
        }
    }
    holding& held = entry.holdings[gateway];
    const rate_limit& limit = entry.limit;
    double target = limit.max_outstanding / count;
    if (demand > 0) {
        double own = held.demand_now(now);
        double by_demand = (1 - equal_fraction) * limit.max_outstanding * own / demand;
        target = target * equal_fraction + std::min(by_demand, own * max_demand_seconds);
    }
    bool has_few = limit.max_outstanding < min_credits_per_gateway * count;
    bool may_have_none = has_few && held.demand_now(now) < min_demand;
    target = std::ceil(may_have_none ? 0 : std::max(1.0, target)) + waiting;
    double wanted = target - held.credits_out();
    double given = std::floor(std::clamp(wanted, 0.0, entry.pool));
    entry.pool -= given;
    held.granted += static_cast<std::uint64_t>(given);
    // A standing rate lets one request through at any moment, so that no more gateways get one than there are credits.
    double most_standing = limit.rate * standing_fraction;
    bool has_room = others_with_standing + 1 <= limit.max_outstanding;
    held.standing_sent = has_room ? std::clamp(most_standing - others_standing, 0.0, most_standing / count) : 0;
    wire::credit_grant_t made;
    made.organisation = organisation;
    made.granted = held.granted;
    made.target = held.target_sent = static_cast<std::uint64_t>(target);
    made.standing_rate = held.standing_sent;
    made.scarce = entry.pool < 1 && demand > scarce_demand * limit.rate;
    return made;
}

wire::credit_grants_t rate_credit_granter::answer(const std::string& gateway, const wire::credit_request_t& request,
                                                  time_point now) {
    this->expire(now);
    wire::credit_grants_t answer;
    answer.number = request.number;
    answer.term = this->term;
    if (!request.full && !this->heard_at.contains(gateway)) {
        answer.wants_all = true;
        return answer;
    }
    this->heard_at[gateway] = now;
    // A gateway that gets no answers, although its requests arrive, uses its standing rates and sends full requests.
    if (request.full) {
        this->on_standing_rates.insert(gateway);
    } else {
        this->on_standing_rates.erase(gateway);
    }
    for (const auto& report : request.reports) {
        auto entry = this->accounts.find(report->organisation);
        if (entry != this->accounts.end()) {
            this->fill(entry->second, now);
            this->report(entry->second, gateway, *report, now);
        }
    }
    std::set<std::string> reported;
    auto add = [&](const std::string& organisation, account& entry, std::optional<std::uint64_t> known_there,
                   std::uint32_t waiting) {
        auto known = entry.holdings.find(gateway);
        bool is_new = known == entry.holdings.end();
        std::uint64_t granted = is_new ? 0 : known->second.granted;
        double standing = is_new ? 0 : known->second.standing_sent;
        std::uint64_t target = is_new ? 0 : known->second.target_sent;
        auto made = this->grant(organisation, entry, gateway, waiting, now);
        bool is_behind = known_there && *known_there < made.granted;
        bool must_return = made.target < target;
        if (is_new || is_behind || must_return || made.granted != granted || made.standing_rate != standing ||
            request.full || waiting > 0) {
            answer.grants.push_back(std::make_unique<wire::credit_grant_t>(std::move(made)));
        }
    };
    for (const auto& report : request.reports) {
        auto entry = this->accounts.find(report->organisation);
        if (entry != this->accounts.end() && reported.insert(report->organisation).second) {
            add(entry->first, entry->second, report->granted, report->waiting);
        }
    }
    std::string& next = this->next_sent[gateway];
    auto entry = this->accounts.lower_bound(next);
    for (std::size_t i = 0; i < std::min(max_unreported, this->accounts.size()); ++i) {
        if (entry == this->accounts.end()) {
            entry = this->accounts.begin();
        }
        if (!reported.contains(entry->first)) {
            add(entry->first, entry->second, std::nullopt, 0);
        }
        ++entry;
    }
    next = entry == this->accounts.end() ? std::string() : entry->first;
    return answer;
}

double rate_credit_granter::outstanding(const std::string& organisation) const {
    auto found = this->accounts.find(organisation);
    return found == this->accounts.end() ? 0 : found->second.credits_out();
}

double rate_credit_granter::pool(const std::string& organisation) const {
    auto found = this->accounts.find(organisation);
    return found == this->accounts.end() ? 0 : found->second.pool;
}

// ---- Gateway ----

void rate_credit_holder::set_limits(const rate_limits& limits, time_point now) {
    for (auto& [organisation, entry] : this->accounts) {
        if (entry.is_limited && !limits.contains(organisation)) {
            entry.is_limited = false;
            entry.expire_credits();
        }
    }
    this->limited = limits.size();
    for (const auto& [organisation, limit] : limits) {
        account& entry = this->accounts[organisation];
        if (!std::exchange(entry.is_limited, true)) {
            this->report_all = true;
        }
        if (limit.max_outstanding < entry.limit.max_outstanding) {  // gives up credits beyond the lower limit
            double kept = static_cast<double>(entry.available()) * limit.max_outstanding / entry.limit.max_outstanding;
            entry.returned += entry.available() - static_cast<std::uint64_t>(kept);
        }
        if (limit.rate < entry.limit.rate) {
            entry.standing_rate *= limit.rate / entry.limit.rate;
        }
        entry.limit = limit;
        entry.tokens_filled_at = std::max(entry.tokens_filled_at, now);
    }
}

void rate_credit_holder::fill_standing(account& entry, time_point now) {
    double most = std::max(1.0, entry.standing_rate);
    entry.standing_tokens += entry.standing_rate * seconds_between(entry.tokens_filled_at, now);
    entry.standing_tokens = std::min(most, entry.standing_tokens);
    entry.tokens_filled_at = now;
}

// Called before anything that depends on the lease: without requests, a gateway would otherwise keep credits that the
// leader has given to others meanwhile.
void rate_credit_holder::check_lease(time_point now) {
    if (!this->is_cut_off && !this->in_touch(now)) {
        this->use_standing_rates(now);
    }
}

// The leader counts the credits as expired from now on. Those of requests that wait are spent as standing tokens.
void rate_credit_holder::use_standing_rates(time_point now) {
    this->is_cut_off = true;
    this->report_all = true;
    for (auto& [organisation, entry] : this->accounts) {
        auto left = static_cast<double>(entry.available());
        entry.standing_tokens = std::min(left, std::max(1.0, entry.standing_rate));
        entry.tokens_filled_at = now;
        entry.expire_credits();
    }
}

rate_credit_holder::account* rate_credit_holder::find_limited(const std::string& organisation) {
    auto found = this->accounts.find(organisation);
    return found == this->accounts.end() || !found->second.is_limited ? nullptr : &found->second;
}

void rate_credit_holder::account::expire_credits() {
    this->used = this->granted - this->returned - this->reserved;
    this->expired_reserved = this->reserved;
}

credit_result rate_credit_holder::reserve(const std::string& organisation, time_point now) {
    account* found = this->find_limited(organisation);
    if (found == nullptr) {
        return credit_result::reserved;
    }
    account& entry = *found;
    ++entry.asked;
    this->check_lease(now);
    if (this->is_cut_off) {
        if (now >= this->standing_until) {
            entry.standing_rate = 0;
        }
        fill_standing(entry, now);
        if (entry.standing_tokens >= 1) {
            entry.standing_tokens -= 1;
            ++entry.standing_taken;
            ++entry.granted;
            ++entry.reserved;
            ++entry.expired_reserved;
            return credit_result::reserved;
        }
    } else if (entry.available() > 0) {
        ++entry.reserved;
        return credit_result::reserved;
    } else if (now >= entry.scarce_until) {
        return credit_result::ask;
    }
    ++entry.refused;
    return credit_result::refused;
}

void rate_credit_holder::wait(const std::string& organisation) {
    if (auto found = this->accounts.find(organisation); found != this->accounts.end()) {
        ++found->second.waiting;
    }
}

void rate_credit_holder::stop_waiting(const std::string& organisation) {
    auto found = this->accounts.find(organisation);
    if (found != this->accounts.end() && found->second.waiting > 0) {
        --found->second.waiting;
    }
}

void rate_credit_holder::spend(const std::string& organisation) {
    auto found = this->accounts.find(organisation);
    if (found != this->accounts.end() && found->second.reserved > 0) {
        account& entry = found->second;
        --entry.reserved;
        ++entry.used;
        entry.expired_reserved = std::min(entry.expired_reserved, entry.reserved);
    }
}

void rate_credit_holder::release(const std::string& organisation) {
    auto found = this->accounts.find(organisation);
    if (found != this->accounts.end() && found->second.reserved > 0) {
        account& entry = found->second;
        --entry.reserved;
        if (entry.expired_reserved > 0) {
            --entry.expired_reserved;
            ++entry.used;
        }
    }
}

// Until the credits for those that were refused before have come, at the recent rate.
duration rate_credit_holder::retry_after(const std::string& organisation, time_point now) {
    auto found = this->accounts.find(organisation);
    double rate = 0;
    double ahead = 1;
    if (found != this->accounts.end()) {
        rate = this->in_touch(now) ? found->second.inflow : found->second.standing_rate;
        ahead = static_cast<double>(std::max<std::uint64_t>(1, found->second.refused));
    }
    double wait_ms = rate > 0 ? ahead / rate * ms_per_second : max_retry_after_ms;
    double jitter = std::uniform_real_distribution<double>(0.75, 1.25)(this->random);
    return ms(std::llround(std::clamp(wait_ms * jitter, min_retry_after_ms, max_retry_after_ms)));
}

wire::credit_request_t rate_credit_holder::request(time_point now) {
    this->check_lease(now);
    wire::credit_request_t message;
    message.number = ++this->last_request;
    message.term = this->term;
    message.full = this->report_all;
    for (auto& [organisation, entry] : this->accounts) {
        bool changed = entry.waiting > 0 || entry.asked != entry.reported_asked || entry.used != entry.reported_used ||
                       entry.returned != entry.reported_returned || entry.granted != entry.reported_granted ||
                       entry.standing_rate != entry.reported_standing_rate;
        if (!entry.is_limited || (!changed && !this->report_all)) {
            continue;
        }
        wire::credit_report_t report;
        report.organisation = organisation;
        report.asked = entry.reported_asked = entry.asked;
        entry.reported_used = entry.used;
        report.used = entry.used - std::min(entry.used, entry.standing_taken);
        report.returned = entry.reported_returned = entry.returned;
        entry.reported_granted = entry.granted;
        report.granted = entry.granted - entry.standing_taken;
        report.standing_rate = entry.reported_standing_rate = entry.standing_rate;
        report.waiting = entry.waiting;
        message.reports.push_back(std::make_unique<wire::credit_report_t>(report));
    }
    this->open_requests[message.number] = {now, message.full};
    if (this->open_requests.size() > max_open_requests) {
        this->open_requests.erase(this->open_requests.begin());
        this->report_all = true;  // reports may be lost
    }
    return message;
}

void rate_credit_holder::receive(const wire::credit_grants_t& grants, time_point now) {
    this->check_lease(now);
    auto sent = this->open_requests.find(grants.number);
    if (grants.term < this->term || grants.number <= this->last_answer || sent == this->open_requests.end()) {
        return;
    }
    auto [sent_at, was_full] = sent->second;
    this->open_requests.erase(this->open_requests.begin(), std::next(sent));
    bool answers_lost = grants.number != this->last_answer + 1;
    this->last_answer = grants.number;
    bool is_behind = grants.wants_all || grants.term != this->term || answers_lost;
    this->report_all = !was_full && (this->report_all || is_behind);
    this->term = grants.term;
    if (grants.wants_all) {
        return;
    }
    this->lease_until = holder_expiry(sent_at, credit_lease);
    this->standing_until = holder_expiry(sent_at, standing_lease);
    this->is_cut_off = false;
    for (const auto& grant : grants.grants) {
        account* found = this->find_limited(grant->organisation);
        if (found == nullptr) {
            continue;
        }
        account& entry = *found;
        std::uint64_t granted = grant->granted + entry.standing_taken;
        double inflow = difference(granted, entry.granted);
        double span = std::max(0.1, seconds_between(entry.granted_at, now));
        entry.inflow += (inflow / span - entry.inflow) * inflow_weight;
        entry.granted_at = now;
        entry.refused = inflow > 0 ? 0 : entry.refused;
        entry.granted = std::max(granted, entry.used + entry.returned + entry.reserved);
        if (entry.available() > grant->target) {
            entry.returned = entry.granted - entry.used - entry.reserved - grant->target;
        }
        entry.standing_rate = grant->standing_rate;
        if (grant->scarce) {
            entry.scarce_until = now + scarcity_hold;
        }
    }
}

double rate_credit_holder::available(const std::string& organisation) const {
    auto found = this->accounts.find(organisation);
    return found == this->accounts.end() || !found->second.is_limited ? std::numeric_limits<double>::infinity()
                                                                      : static_cast<double>(found->second.available());
}

}  // namespace persimmongrade
