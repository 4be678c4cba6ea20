// Refusals when a region fails, with and without planned link bytes, in simulated time.

#include <algorithm>
#include <cmath>
#include <deque>

#include "parts.h"
#include "persimmongrade/shift_controller.h"

namespace persimmongrade {

namespace {

// Three regions with the links of the franchise office. The catalogue runs in every region, the furnace desk only in
// trung, so that its callers in bac always use the link between the two. The catalogue's targets in bac fail at 60 s.
constexpr std::int64_t shift_length_s = 600;
constexpr std::int64_t shift_failure_s = 60;
constexpr double usable_part = 0.95;  // of a link, by leases

struct modelled_service {
    std::string name;
    std::vector<std::string> regions;
    double request_bytes;
    double answer_bytes;
    std::map<std::string, double> demand;    // requests per second by caller region
    std::map<std::string, double> capacity;  // requests per second by region
};

struct shift_result {
    std::map<std::string, double> refused;  // by service, of the requests after the failure
    double refused_by_region = 0;           // the assigned region has no targets or too few
    double refused_by_link = 0;
    double worst_link = 0;  // largest offered part of a link's limit
};

class shift_model {
public:
    shift_model(double link_mbit, double limit_trung, bool plan_links)
        : controller({}, {{"bac", "trung", 12}, {"trung", "nam", 12}, {"bac", "nam", 12}}),
          services{{"catalogue",
                    {"bac", "trung", "nam"},
                    300,
                    12000,
                    {{"bac", 2400}, {"trung", 2400}, {"nam", 2400}},
                    {{"bac", 6000}, {"trung", 8000}, {"nam", 4800}}},
                   {"furnace", {"trung"}, 600, 20000, {{"bac", 400}}, {{"trung", 2000}}}},
          link_limit(link_mbit * 125000) {
        auto& record = this->configuration.records.emplace_back(std::make_unique<wire::steering_record_t>());
        for (const auto& service : this->services) {
            auto& entry = record->services.emplace_back(std::make_unique<wire::service_definition_t>());
            entry->name = service.name;
            entry->regions = service.regions;
        }
        auto& limit = record->regions.emplace_back(std::make_unique<wire::region_limit_t>());
        limit->region = "trung";
        limit->max_requests_per_second = limit_trung;
        for (const std::string from : {"bac", "trung", "nam"}) {
            this->controller.set_edge_region("edge-" + from, from);
            for (const std::string to : {"bac", "trung", "nam"}) {
                if (from != to && plan_links) {  // a controller that knows no link limit plans none
                    auto& link = record->links.emplace_back(std::make_unique<wire::link_limit_t>());
                    link->from = from;
                    link->to = to;
                    link->max_mbit_per_second = link_mbit;
                }
            }
        }
        this->apply(time_point(ms(0)));
        this->controller.become_leader(time_point(ms(0)));
    }

    shift_result run() {
        for (std::int64_t second = 0; second < shift_length_s; ++second) {
            if (second == shift_failure_s) {
                this->services[0].capacity["bac"] = 0;
            }
            time_point now(ms(second * 1000));
            this->measure(now);
            for (auto& changed : this->controller.decide(now)) {
                this->assign(std::move(changed));
            }
            this->apply(now);
            this->serve(second >= shift_failure_s);
        }
        return this->result;
    }

private:
    void measure(time_point now) {
        ++this->sequence;
        for (const auto& service : this->services) {
            for (const auto& [caller, amount] : service.demand) {
                wire::service_demand_t demand;
                demand.service = service.name;
                demand.caller_region = caller;
                demand.requests_per_second = amount;
                demand.sequence = this->sequence;
                demand.request_bytes = service.request_bytes;
                demand.answer_bytes = service.answer_bytes;
                this->controller.observe("edge-" + caller, demand, now, now);
            }
            for (const auto& [region, amount] : service.capacity) {
                wire::region_capacity_t capacity;
                capacity.service = service.name;
                capacity.region = region;
                capacity.live_targets = amount > 0 ? 6 : 0;
                capacity.requests_per_second = amount;
                capacity.sequence = this->sequence;
                this->controller.observe("edge-trung", capacity, now);
            }
        }
    }

    void assign(wire::assignment_t changed) {
        std::erase_if(this->configuration.assignments, [&](const auto& entry) {
            return entry->service == changed.service && entry->caller_region == changed.caller_region;
        });
        this->configuration.assignments.push_back(std::make_unique<wire::assignment_t>(std::move(changed)));
    }

    void apply(time_point now) {
        ++this->configuration.revision;
        this->controller.apply(this->configuration, now);
    }

    template <typename Visit>
    void each_flow(Visit visit) {
        for (const auto& entry : this->configuration.assignments) {
            auto service = std::find_if(this->services.begin(), this->services.end(),
                                        [&](const auto& candidate) { return candidate.name == entry->service; });
            auto demand = service->demand.find(entry->caller_region);
            for (const auto& share : entry->shares) {
                if (demand != service->demand.end()) {
                    visit(*service, entry->caller_region, share->region, demand->second * share->permille / 1000);
                }
            }
        }
    }

    // Targets refuse what is above a region's capacity; leases refuse the same part of every flow over a full link.
    void serve(bool counted) {
        std::map<std::pair<std::string, std::string>, double> offered;  // by service and region
        std::map<std::pair<std::string, std::string>, double> links;
        this->each_flow([&](const auto& service, const auto&, const auto& to, double amount) {
            offered[{service.name, to}] += amount;
        });
        auto within = [&](const auto& service, const auto& to, double amount) {
            auto capacity = service.capacity.find(to);
            double room = capacity == service.capacity.end() ? 0 : capacity->second;
            return amount * std::min(1.0, room / std::max(1e-9, offered[{service.name, to}]));
        };
        this->each_flow([&](const auto& service, const auto& from, const auto& to, double amount) {
            if (from != to) {
                links[{from, to}] += within(service, to, amount) * service.request_bytes;
                links[{to, from}] += within(service, to, amount) * service.answer_bytes;
            }
        });
        this->each_flow([&](const auto& service, const auto& from, const auto& to, double amount) {
            double served = within(service, to, amount);
            double part = 1;
            if (from != to) {
                double load = std::max(links[{from, to}], links[{to, from}]) / this->link_limit;
                part = std::min(1.0, usable_part / std::max(1e-9, load));
                this->result.worst_link = std::max(this->result.worst_link, load);
            }
            if (counted) {
                this->result.refused[service.name] += amount - served * part;
                this->result.refused_by_region += amount - served;
                this->result.refused_by_link += served * (1 - part);
            }
        });
    }

    shift_controller controller;
    std::vector<modelled_service> services;
    double link_limit;
    wire::configuration_t configuration;
    std::uint64_t sequence = 0;
    shift_result result;
};

}  // namespace

std::vector<table> compare_shifts() {
    table report{"requests refused in the 540 s after a region lost its catalogue targets",
                 {"link Mbit/s", "trung limit/s", "link bytes planned", "catalogue", "furnace", "by region", "by link",
                  "worst link %"},
                 {}};
    for (auto [mbit, limit] : {std::pair(4000, 100000), std::pair(280, 100000), std::pair(280, 4000)}) {
        for (bool planned : {false, true}) {
            shift_result run = shift_model(mbit, limit, planned).run();
            report.rows.push_back({mbit, limit, planned ? "yes" : "no", run.refused["catalogue"],
                                   run.refused["furnace"], run.refused_by_region, run.refused_by_link,
                                   run.worst_link * 100});
        }
    }
    return {report};
}

}  // namespace persimmongrade
