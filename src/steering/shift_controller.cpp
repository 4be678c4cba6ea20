// Index: inputs, measurements, first assignments, one step of a service, moving traffic.

#include "persimmongrade/shift_controller.h"

#include <algorithm>
#include <cmath>

namespace persimmongrade {

namespace {

constexpr std::uint32_t permille_total = 1000;  // per mille
constexpr double idle_weight = 0.01;            // share of a service's demand that an idle caller region counts as
constexpr double min_total_demand = 0.001;      // requests per second; avoids division by zero for idle services
constexpr double rounding = 1e-9;               // of one per mille
constexpr double cold_budget_share = 0.25;      // of the shift cap, for moves into regions whose targets are cold
constexpr duration clock_tolerance = ms(1000);  // measurements from further ahead are not used
// A step that is not applied within this time is decided again. The time is longer than a leader can lead without a
// majority: a second step from the same state, applied after the first, would move traffic back and forth.
constexpr duration pending_timeout = ms(30000);

// Median; the lower one of two middle values.
template <typename Value>
Value lower_median(std::vector<Value> values) {
    auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

double value_of(const std::map<std::string, double>& amounts, const std::string& region) {
    auto position = amounts.find(region);
    return position == amounts.end() ? 0 : position->second;
}

}  // namespace

shift_controller::shift_controller(shift_options options, std::vector<region_latency> latencies)
    : options(options), latencies(std::move(latencies)) {}

// ---- Inputs ----

void shift_controller::become_leader(time_point now) {
    this->leading = true;
    this->pending.clear();
    this->decided.clear();
    if (!this->first_configuration_at) {
        this->first_configuration_at = now;
    }
}

void shift_controller::step_down() {
    this->leading = false;
    this->pending.clear();
    this->decided.clear();
}

void shift_controller::apply(const wire::configuration_t& configuration, time_point now) {
    this->limits = limit_table(configuration);
    this->read_services(configuration);
    this->read_caller_regions(configuration);
    this->read_assignments(configuration, now);
    if (!this->first_configuration_at) {
        this->first_configuration_at = now;
    }
}

// If several records declare a service, the smallest cap, the longest interval and the largest message sizes count.
void shift_controller::read_services(const wire::configuration_t& configuration) {
    this->services.clear();
    for (const auto& record : configuration.records) {
        for (const auto& service : record->services) {
            auto [position, added] = this->services.try_emplace(service->name);
            service_entry& entry = position->second;
            wire::shift_cap_t cap = service->shift ? *service->shift : wire::shift_cap_t{};
            entry.max_permille = added ? cap.max_permille : std::min(entry.max_permille, cap.max_permille);
            entry.max_request_bytes = std::max(entry.max_request_bytes, service->max_request_bytes);
            entry.max_answer_bytes = std::max(entry.max_answer_bytes, service->max_answer_bytes);
            entry.interval = added ? ms(cap.interval_ms) : std::max(entry.interval, ms(cap.interval_ms));
            for (const auto& region : service->regions) {
                if (std::find(entry.regions.begin(), entry.regions.end(), region) == entry.regions.end()) {
                    entry.regions.push_back(region);
                }
            }
        }
    }
}

// A record may have more than a million blocks, so its blocks are read again only with a new version.
void shift_controller::read_caller_regions(const wire::configuration_t& configuration) {
    auto before = std::exchange(this->named_blocks, {});
    for (const auto& record : configuration.records) {
        block_regions& named = this->named_blocks[record->name];
        auto known = before.find(record->name);
        if (known != before.end() && known->second.version == record->version) {
            named = std::move(known->second);
            continue;
        }
        named.version = record->version;
        if (record->client_blocks) {
            named.regions.insert(record->client_blocks->site_names.begin(), record->client_blocks->site_names.end());
        }
    }
}

void shift_controller::add_caller_region(const std::string& region) {
    this->edge_regions.insert(region);
}

void shift_controller::set_edge_region(const std::string& edge, const std::string& region) {
    this->region_by_edge[edge] = region;
    this->add_caller_region(region);
}

// Changes that another process decided count as the largest share that any caller region moved, because the demand at
// that time is not known here.
void shift_controller::read_assignments(const wire::configuration_t& configuration, time_point now) {
    std::map<subject_key, permille_map> next;
    for (const auto& entry : configuration.assignments) {
        permille_map& shares = next[{entry->service, entry->caller_region}];
        for (const auto& share : entry->shares) {
            shares[share->region] += share->permille;
        }
    }
    std::map<std::string, past_move> external_moves;
    for (const auto& [key, shares] : next) {
        auto before = this->assignments.find(key);
        auto own = this->decided.find(key);
        if (before != this->assignments.end() && before->second == shares) {
            continue;
        }
        this->pending.erase(key.first);
        if (before == this->assignments.end()) {
            continue;
        }
        if (own != this->decided.end() && own->second == shares) {
            continue;
        }
        past_move& moved = external_moves[key.first];
        double share = 0;
        for (const auto& [region, permille] : before->second) {
            auto after = shares.find(region);
            std::uint32_t kept = after == shares.end() ? 0 : std::min(permille, after->second);
            share += (permille - kept) / double{permille_total};
            double amount = this->last_demand(key) * (permille - kept) / permille_total;
            moved.residual_load[region] += amount;
            for (const auto& [link, bytes] : this->link_bytes(key, this->size_of(key.first, now), region)) {
                moved.residual_links[link] += amount * bytes;
            }
        }
        moved.at = now;
        moved.share = std::max(moved.share, share);
        moved.cold_share = moved.share;
    }
    for (auto& [service, moved] : external_moves) {
        this->moves[service].push_back(std::move(moved));
    }
    this->assignments = std::move(next);
}

// ---- Measurements ----

void shift_controller::observe(const std::string& edge, const wire::service_demand_t& demand, time_point taken_at,
                               std::optional<time_point> sizes_taken_at) {
    demand_sample& sample = this->demands[{demand.service, demand.caller_region}][edge];
    if (demand.sequence <= sample.sequence) {
        return;
    }
    sample = {std::max(0.0, demand.requests_per_second), taken_at, demand.sequence};
    if (sizes_taken_at) {
        this->sizes[demand.service][edge] = {std::max(0.0, demand.request_bytes), std::max(0.0, demand.answer_bytes),
                                             *sizes_taken_at};
    }
}

void shift_controller::observe(const std::string& edge, const wire::region_capacity_t& capacity, time_point taken_at) {
    capacity_sample& sample = this->capacities[{capacity.service, capacity.region}][edge];
    if (capacity.sequence > sample.sequence) {
        sample = {capacity.live_targets, capacity.cold_targets, std::max(0.0, capacity.requests_per_second), taken_at,
                  capacity.sequence};
    }
}

void shift_controller::remove_edge(const std::string& edge) {
    for (auto& [key, samples] : this->demands) {
        samples.erase(edge);
    }
    for (auto& [key, samples] : this->capacities) {
        samples.erase(edge);
    }
    for (auto& [service, samples] : this->sizes) {
        samples.erase(edge);
    }
    this->region_by_edge.erase(edge);
}

bool shift_controller::fresh(time_point taken_at, time_point now) const {
    return taken_at <= now + clock_tolerance && now - taken_at <= this->options.measurement_age_limit;
}

double shift_controller::last_demand(const subject_key& key) const {
    double sum = 0;
    auto samples = this->demands.find(key);
    if (samples != this->demands.end()) {
        for (const auto& [edge, sample] : samples->second) {
            sum += sample.requests_per_second;
        }
    }
    return sum;
}

// Returns false if no edge reports the demand of the service, or one of the reports is too old.
bool shift_controller::read_demand(step& plan, time_point now) const {
    bool any = false;
    for (const auto& [key, samples] : this->demands) {
        for (const auto& [edge, sample] : samples) {
            any = any || key.first == plan.service;
            if (key.first == plan.service && !this->fresh(sample.taken_at, now)) {
                return false;
            }
        }
    }
    for (const auto& [caller, shares] : plan.shares) {
        plan.demand[caller] = this->last_demand({plan.service, caller});
        plan.total += plan.demand[caller];
    }
    plan.total = std::max(plan.total, min_total_demand);
    for (auto& [caller, amount] : plan.demand) {
        amount = std::max(amount, plan.total * idle_weight);
    }
    return any;
}

// Returns false if a report is too old, or if a region that has traffic was never reported. The edges' reports are
// combined by their median, so that a single edge with an incomplete view moves no traffic.
bool shift_controller::read_capacity(step& plan, time_point now) const {
    std::set<std::string> regions(plan.entry->regions.begin(), plan.entry->regions.end());
    for (const auto& [region, amount] : plan.load) {
        regions.insert(region);
    }
    for (const auto& region : regions) {
        auto samples = this->capacities.find({plan.service, region});
        if (samples == this->capacities.end() || samples->second.empty()) {
            if (value_of(plan.load, region) > 0) {
                return false;
            }
            continue;
        }
        std::vector<double> rates;
        std::vector<bool> cold;
        for (const auto& [edge, sample] : samples->second) {
            if (!this->fresh(sample.taken_at, now)) {
                return false;
            }
            rates.push_back(sample.live > 0 ? sample.requests_per_second : 0);
            cold.push_back(sample.cold * 2 > sample.live);
        }
        auto cold_reports = static_cast<std::size_t>(std::count(cold.begin(), cold.end(), true));
        plan.capacities[region] = {lower_median(rates), cold_reports * 2 >= cold.size() && cold_reports > 0};
    }
    return true;
}

// Bytes per request: the largest of the fresh means of the edges. Without a fresh mean, the largest sizes that the
// record allows are used. To decide no step instead would never end when all callers are in a region that lost its
// targets, since no request is answered there. Larger sizes can only make a step smaller.
shift_controller::service_size shift_controller::size_of(const std::string& service, time_point now) const {
    service_size measured;
    bool any = false;
    auto samples = this->sizes.find(service);
    if (samples != this->sizes.end()) {
        for (const auto& [edge, sample] : samples->second) {
            if (sample.taken_at <= now + clock_tolerance && now - sample.taken_at <= this->options.size_age_limit) {
                any = true;
                measured.request_bytes = std::max(measured.request_bytes, sample.request_bytes);
                measured.answer_bytes = std::max(measured.answer_bytes, sample.answer_bytes);
            }
        }
    }
    auto entry = this->services.find(service);
    if (any || entry == this->services.end()) {
        return measured;
    }
    return {double(entry->second.max_request_bytes), double(entry->second.max_answer_bytes)};
}

// Shares of a caller region's demand by the region of the edges through which it enters; without demand, all of it
// enters through its own region.
shift_controller::amount_map shift_controller::entry_region_shares(const subject_key& key) const {
    amount_map result;
    double total = this->last_demand(key);
    if (total <= 0) {
        result[key.second] = 1;
        return result;
    }
    for (const auto& [edge, sample] : this->demands.at(key)) {
        auto place = this->region_by_edge.find(edge);
        result[place == this->region_by_edge.end() ? key.second : place->second] += sample.requests_per_second / total;
    }
    return result;
}

// Mean bytes over each limited link, per request that is served in region `target`.
shift_controller::link_map shift_controller::link_bytes(const subject_key& key, const service_size& size,
                                                        const std::string& target) const {
    link_map result;
    for (const auto& [entry, part] : this->entry_region_shares(key)) {
        if (entry == target || part <= 0) {
            continue;
        }
        resource out = link_resource(entry, target);
        resource back = link_resource(target, entry);
        if (this->limits.limit(out) < unlimited) {
            result[out] += part * size.request_bytes;
        }
        if (this->limits.limit(back) < unlimited) {
            result[back] += part * size.answer_bytes;
        }
    }
    return result;
}

// Assigned traffic of all services by target region and by link, plus the traffic that may still go to its previous
// regions and links because of cached answers.
shift_controller::planned_loads shift_controller::total_load(time_point now) const {
    planned_loads result;
    std::map<std::string, service_size> known;
    for (const auto& [service, entry] : this->services) {
        known[service] = this->size_of(service, now);
    }
    for (const auto& [key, shares] : this->assignments) {
        double demand = this->last_demand(key);
        for (const auto& [region, permille] : shares) {
            double amount = demand * permille / permille_total;
            result.regions[region] += amount;
            for (const auto& [link, bytes] : this->link_bytes(key, known[key.first], region)) {
                result.links[link] += amount * bytes;
            }
        }
    }
    for (const auto& [service, list] : this->moves) {
        for (const auto& moved : list) {
            if (now >= moved.at + this->options.cached_answer_lifetime) {
                continue;
            }
            for (const auto& [region, amount] : moved.residual_load) {
                result.regions[region] += amount;
            }
            for (const auto& [link, amount] : moved.residual_links) {
                result.links[link] += amount;
            }
        }
    }
    return result;
}

// ---- Order of regions ----

// Allowed target regions: the caller's own first, then by latency, then by room.
std::vector<std::string> shift_controller::by_latency(const std::string& caller, const step& plan,
                                                      const planned_loads& loads) const {
    std::vector<std::pair<std::pair<std::uint32_t, double>, std::string>> order;
    for (const auto& region : plan.entry->regions) {
        order.push_back({{latency_between(this->latencies, caller, region), -this->room(plan, loads, region)}, region});
    }
    std::sort(order.begin(), order.end());
    std::vector<std::string> result;
    result.reserve(order.size());
    for (auto& [rank, region] : order) {
        result.push_back(std::move(region));
    }
    return result;
}

// ---- First assignments ----

// Every region that an edge may derive for a caller: the region of the edge and those of client blocks. The regions in
// limits, latencies and demands are added, so that an assignment exists before the first caller.
std::set<std::string> shift_controller::caller_regions(const service_entry& entry) const {
    std::set<std::string> result(entry.regions.begin(), entry.regions.end());
    result.insert(this->edge_regions.begin(), this->edge_regions.end());
    for (const auto& [record, named] : this->named_blocks) {
        result.insert(named.regions.begin(), named.regions.end());
    }
    for (const auto& pair : this->latencies) {
        result.insert({pair.from, pair.to});
    }
    for (const auto& [subject, limit] : this->limits.rates()) {
        if (subject.kind == wire::resource_kind::region) {
            result.insert(subject.subject);
        }
    }
    for (const auto& [key, samples] : this->demands) {
        result.insert(key.second);
    }
    return result;
}

// The nearest allowed region that is known to have live targets; without measurements, the nearest allowed region.
std::string shift_controller::first_region(const std::string& caller, const std::string& service,
                                           const service_entry& entry, time_point now) const {
    std::pair<std::pair<bool, std::uint32_t>, std::string> best{{true, unknown_latency}, entry.regions.front()};
    for (const auto& region : entry.regions) {
        auto samples = this->capacities.find({service, region});
        bool alive = false;
        for (std::size_t i = 0; samples != this->capacities.end() && i < samples->second.size(); ++i) {
            const capacity_sample& sample = std::next(samples->second.begin(), static_cast<std::ptrdiff_t>(i))->second;
            alive = alive || (sample.live > 0 && this->fresh(sample.taken_at, now));
        }
        best = std::min(best, {{!alive, latency_between(this->latencies, caller, region)}, region});
    }
    return best.second;
}

void shift_controller::first_assignments(const std::string& service, const service_entry& entry, time_point now,
                                         std::vector<wire::assignment_t>& result) {
    for (const auto& caller : this->caller_regions(entry)) {
        if (!entry.regions.empty() && !this->assignments.contains({service, caller})) {
            permille_map shares{{this->first_region(caller, service, entry, now), permille_total}};
            result.push_back(to_assignment(service, caller, shares));
        }
    }
}

wire::assignment_t shift_controller::to_assignment(const std::string& service, const std::string& caller,
                                                   const permille_map& shares) {
    wire::assignment_t result;
    result.service = service;
    result.caller_region = caller;
    for (const auto& [region, permille] : shares) {
        if (permille > 0) {
            auto& share = result.shares.emplace_back(std::make_unique<wire::region_share_t>());
            share->region = region;
            share->permille = permille;
        }
    }
    return result;
}

// ---- One step of a service ----

std::vector<wire::assignment_t> shift_controller::decide(time_point now) {
    std::vector<wire::assignment_t> result;
    if (!this->leading) {
        return result;
    }
    planned_loads loads = this->total_load(now);
    for (const auto& [service, entry] : this->services) {
        auto waiting = this->pending.find(service);
        if (waiting != this->pending.end() && now < waiting->second + pending_timeout) {
            continue;
        }
        std::size_t before = result.size();
        this->first_assignments(service, entry, now, result);
        if (result.size() > before) {
            this->pending[service] = now;
            continue;
        }
        step plan;
        plan.service = service;
        plan.entry = &entry;
        if (!this->prepare(plan, now)) {
            this->states[service].state = shift_state::measurements_stale;
            continue;
        }
        this->reduce_overload(plan, loads);
        this->move_nearer(plan, loads);
        this->finish(plan, now, result);
    }
    return result;
}

bool shift_controller::prepare(step& plan, time_point now) {
    for (const auto& [key, shares] : this->assignments) {
        if (key.first == plan.service) {
            plan.shares[key.second] = shares;
        }
    }
    plan.size = this->size_of(plan.service, now);
    this->set_budget(plan, now);
    if (!this->read_demand(plan, now)) {
        return false;
    }
    for (const auto& [caller, shares] : plan.shares) {
        for (const auto& [region, permille] : shares) {
            plan.load[region] += plan.demand[caller] * permille / permille_total;
        }
    }
    for (const auto& moved : this->moves[plan.service]) {
        for (const auto& [region, amount] : moved.residual_load) {
            plan.residual_load[region] += now < moved.at + this->options.cached_answer_lifetime ? amount : 0;
        }
    }
    return this->read_capacity(plan, now);
}

// A move takes effect between its decision and the expiry of cached answers. Every move of the last interval plus that
// lifetime may therefore take effect in the same interval as a new move.
void shift_controller::set_budget(step& plan, time_point now) {
    duration window = plan.entry->interval + this->options.cached_answer_lifetime;
    auto& list = this->moves[plan.service];
    while (!list.empty() && now > list.front().at + window) {
        list.pop_front();
    }
    double cap = plan.entry->max_permille / double{permille_total};
    double used = 0;
    double cold_used = 0;
    for (const auto& moved : list) {
        used += moved.share;
        cold_used += moved.cold_share;
    }
    this->states[plan.service].moved_permille = static_cast<std::uint32_t>(std::lround(used * permille_total));
    bool known = this->first_configuration_at && now > *this->first_configuration_at + window;
    plan.budget = known ? std::max(0.0, cap - used) : 0;
    plan.cold_budget = std::min(plan.budget, std::max(0.0, cap * cold_budget_share - cold_used));
}

void shift_controller::finish(step& plan, time_point now, std::vector<wire::assignment_t>& result) {
    shift_status& status = this->states[plan.service];
    if (plan.changed.empty()) {
        bool capped = plan.lacks_capacity && plan.budget * permille_total < 1;
        status.state = !plan.lacks_capacity ? shift_state::settled
                       : capped             ? shift_state::cap_used
                                            : shift_state::no_room;
        return;
    }
    status.state = shift_state::moving;
    plan.moved.at = now;
    status.moved_permille += static_cast<std::uint32_t>(std::lround(plan.moved.share * permille_total));
    this->moves[plan.service].push_back(std::move(plan.moved));
    this->pending[plan.service] = now;
    for (const auto& caller : plan.changed) {
        permille_map& shares = plan.shares[caller];
        std::erase_if(shares, [](const auto& share) { return share.second == 0; });
        this->decided[{plan.service, caller}] = shares;
        result.push_back(to_assignment(plan.service, caller, shares));
    }
}

// ---- Moving traffic ----

// Traffic of the service above what the region can take; all of it if the region is not allowed or cannot serve it.
double shift_controller::excess(const step& plan, const planned_loads& loads, const std::string& region) const {
    double load = value_of(plan.load, region);
    auto capacity = plan.capacities.find(region);
    const auto& allowed = plan.entry->regions;
    bool usable =
        capacity != plan.capacities.end() && std::find(allowed.begin(), allowed.end(), region) != allowed.end();
    if (!usable) {
        return load;
    }
    double above_capacity = load - capacity->second.requests_per_second * this->options.overload_ratio;
    double limit = this->limits.limit(region_resource(region));
    double above_limit = value_of(loads.regions, region) - limit * this->options.overload_ratio;
    return std::clamp(std::max(above_capacity, above_limit), 0.0, load);
}

// Requests per second that can still be moved into a region. Traffic that has not left the region yet counts as its
// load.
double shift_controller::room(const step& plan, const planned_loads& loads, const std::string& region) const {
    auto capacity = plan.capacities.find(region);
    if (capacity == plan.capacities.end()) {
        return 0;
    }
    double load = value_of(plan.load, region) + value_of(plan.residual_load, region);
    double within_capacity = capacity->second.requests_per_second * this->options.fill_ratio - load;
    double limit = this->limits.limit(region_resource(region));
    double within_limit = limit * this->options.fill_ratio - value_of(loads.regions, region);
    return std::max(0.0, std::min(within_capacity, within_limit));
}

// Requests per second of a caller region for which the links to a region and back still have capacity.
double shift_controller::link_room(const step& plan, const planned_loads& loads, const std::string& caller,
                                   const std::string& to) const {
    double result = unlimited;
    for (const auto& [link, bytes] : this->link_bytes({plan.service, caller}, plan.size, to)) {
        auto load = loads.links.find(link);
        double room =
            this->limits.limit(link) * this->options.fill_ratio - (load == loads.links.end() ? 0 : load->second);
        result = bytes > 0 ? std::min(result, std::max(0.0, room) / bytes) : result;
    }
    return result;
}

// Moves up to `amount` requests per second, within the budgets and the room of `to`. Returns the amount moved.
double shift_controller::move(step& plan, planned_loads& loads, const std::string& caller, const std::string& from,
                              const std::string& to, double amount) const {
    double demand = plan.demand.at(caller);
    double weight = std::max(demand, plan.total * idle_weight) / plan.total;
    bool cold = plan.capacities.at(to).cold;
    double budget = cold ? std::min(plan.budget, plan.cold_budget) : plan.budget;
    double room = std::min(this->room(plan, loads, to), this->link_room(plan, loads, caller, to));
    double part = std::min({amount / demand, room / demand, budget / weight});
    auto permille =
        static_cast<std::uint32_t>(std::clamp(part * permille_total + rounding, 0.0, double{permille_total}));
    permille = std::min(permille, plan.shares[caller][from]);
    if (permille == 0) {
        return 0;
    }
    plan.shares[caller][from] -= permille;
    plan.shares[caller][to] += permille;
    plan.changed.insert(caller);
    double share = weight * permille / permille_total;
    plan.budget -= share;
    plan.moved.share += share;
    if (cold) {
        plan.cold_budget -= share;
        plan.moved.cold_share += share;
    }
    double moved = demand * permille / permille_total;
    plan.load[from] -= moved;
    plan.residual_load[from] += moved;  // also stays in `loads` at `from`, until cached answers expire
    plan.load[to] += moved;
    plan.moved.residual_load[from] += moved;
    loads.regions[to] += moved;
    subject_key key{plan.service, caller};
    for (const auto& [link, bytes] : this->link_bytes(key, plan.size, from)) {
        plan.moved.residual_links[link] += moved * bytes;
    }
    for (const auto& [link, bytes] : this->link_bytes(key, plan.size, to)) {
        loads.links[link] += moved * bytes;
    }
    return moved;
}

// Moves traffic out of regions that are overloaded, failed or no longer allowed, the most distant callers first.
void shift_controller::reduce_overload(step& plan, planned_loads& loads) const {
    amount_map excesses;
    for (const auto& [region, load] : plan.load) {
        excesses[region] = this->excess(plan, loads, region);
    }
    for (auto& [region, left] : excesses) {
        std::vector<std::pair<std::uint32_t, std::string>> callers;
        for (const auto& [caller, shares] : plan.shares) {
            if (shares.contains(region) && shares.at(region) > 0) {
                callers.emplace_back(latency_between(this->latencies, caller, region), caller);
            }
        }
        std::sort(callers.rbegin(), callers.rend());
        for (const auto& [distance, caller] : callers) {
            for (const auto& target : this->by_latency(caller, plan, loads)) {
                if (target != region && left > 0 && plan.capacities.contains(target)) {
                    left -= this->move(plan, loads, caller, region, target, left);
                }
            }
        }
        plan.lacks_capacity = plan.lacks_capacity || left * permille_total > plan.total;
    }
}

// Moves traffic to nearer regions that have room for it.
void shift_controller::move_nearer(step& plan, planned_loads& loads) const {
    for (auto& [caller, shares] : plan.shares) {
        for (const auto& [from, permille] : permille_map(shares)) {
            for (const auto& target : this->by_latency(caller, plan, loads)) {
                bool nearer =
                    latency_between(this->latencies, caller, target) < latency_between(this->latencies, caller, from);
                if (nearer && plan.capacities.contains(target)) {
                    double amount = plan.demand.at(caller) * shares[from] / permille_total;
                    this->move(plan, loads, caller, from, target, amount);
                }
            }
        }
    }
}

}  // namespace persimmongrade
