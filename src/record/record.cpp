#include "persimmongrade/record.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

#include "persimmongrade/client_blocks.h"

namespace persimmongrade {

namespace {

std::string describe_all(const std::vector<record_problem>& problems) {
    std::string text;
    for (const record_problem& problem : problems) {
        text += text.empty() ? to_string(problem) : "; " + to_string(problem);
    }
    return text;
}

std::string item_path(const char* list, std::size_t index, const std::string& field) {
    return std::string(list) + "[" + std::to_string(index) + "]" + (field.empty() ? "" : "." + field);
}

// Collects the problems of one record.
class record_checker {
public:
    explicit record_checker(const wire::steering_record_t& record) : record(record) {}

    std::vector<record_problem> run() {
        if (!is_valid_name(this->record.name)) {
            this->add("name", record_problem_kind::invalid_name, "'" + this->record.name + "'");
        }
        if (this->record.version == 0) {
            this->add("version", record_problem_kind::out_of_range, "must be at least 1");
        }
        this->check_regions();
        this->check_services();
        this->check_links();
        this->check_client_blocks();
        return std::move(this->problems);
    }

private:
    void add(std::string path, record_problem_kind kind, std::string detail) {
        if (this->problems.size() < max_reported_problems) {
            this->problems.push_back({std::move(path), 0, kind, std::move(detail)});
        }
    }

    void check_region_declared(const std::string& path, const std::string& region) {
        if (!this->regions.contains(region)) {
            this->add(path, record_problem_kind::unknown_region, "'" + region + "' has no region limit");
        }
    }

    void check_limit(const std::string& path, double limit, double minimum) {
        if (!(limit > 0)) {
            this->add(path, record_problem_kind::not_positive, "must be above zero");
            return;
        }
        if (limit < minimum) {
            this->add(path, record_problem_kind::below_floor,
                      "must be at least " + std::to_string(minimum) +
                          " so that the standing floor of each entry host carries one request per second");
        }
    }

    void check_regions() {
        for (std::size_t i = 0; i < this->record.regions.size(); ++i) {
            const wire::region_limit_t& limit = *this->record.regions[i];
            if (!is_valid_name(limit.region)) {
                this->add(item_path("regions", i, "region"), record_problem_kind::invalid_name,
                          "'" + limit.region + "'");
            }
            if (!this->regions.insert(limit.region).second) {
                this->add(item_path("regions", i, "region"), record_problem_kind::duplicate, "'" + limit.region + "'");
            }
            this->check_limit(item_path("regions", i, "max_requests_per_second"), limit.max_requests_per_second,
                              min_region_limit());
        }
    }

    void check_services() {
        std::set<std::string> names;
        for (std::size_t i = 0; i < this->record.services.size(); ++i) {
            const wire::service_definition_t& service = *this->record.services[i];
            if (!is_valid_name(service.name)) {
                this->add(item_path("services", i, "name"), record_problem_kind::invalid_name,
                          "'" + service.name + "'");
            }
            if (!names.insert(service.name).second) {
                this->add(item_path("services", i, "name"), record_problem_kind::duplicate,
                          "service '" + service.name + "' is declared twice");
            }
            this->check_service_regions(i, service);
        }
    }

    void check_service_regions(std::size_t index, const wire::service_definition_t& service) {
        std::set<std::string> seen;
        for (std::size_t i = 0; i < service.regions.size(); ++i) {
            std::string path = item_path("services", index, "regions[" + std::to_string(i) + "]");
            this->check_region_declared(path, service.regions[i]);
            if (!seen.insert(service.regions[i]).second) {
                this->add(path, record_problem_kind::duplicate, "'" + service.regions[i] + "'");
            }
        }
    }

    void check_links() {
        std::set<std::pair<std::string, std::string>> seen;
        double minimum = min_link_limit(this->record);
        for (std::size_t i = 0; i < this->record.links.size(); ++i) {
            const wire::link_limit_t& link = *this->record.links[i];
            this->check_region_declared(item_path("links", i, "from"), link.from);
            this->check_region_declared(item_path("links", i, "to"), link.to);
            if (link.from == link.to) {
                this->add(item_path("links", i, "to"), record_problem_kind::self_link,
                          "'" + link.from + "' is linked to itself");
            }
            if (!seen.insert({link.from, link.to}).second) {
                this->add(item_path("links", i, ""), record_problem_kind::duplicate, link.from + " to " + link.to);
            }
            this->check_limit(item_path("links", i, "max_mbit_per_second"), link.max_mbit_per_second, minimum);
        }
    }

    void check_client_blocks() {
        if (!this->record.client_blocks) {
            return;
        }
        std::set<client_prefix> seen;
        std::size_t i = 0;
        for_each_client_block(*this->record.client_blocks, [&](const client_prefix& prefix, const std::string* site) {
            this->check_region_declared(item_path("client_blocks", i, "region"), site == nullptr ? "" : *site);
            if (!seen.insert(prefix).second) {
                this->add(item_path("client_blocks", i, "prefix"), record_problem_kind::duplicate,
                          "'" + to_string(prefix) + "'");
            }
            ++i;
        });
    }

    const wire::steering_record_t& record;
    std::set<std::string> regions;
    std::vector<record_problem> problems;
};

}  // namespace

record_error::record_error(std::vector<record_problem> problems)
    : error(describe_all(problems)), problems(std::move(problems)) {}

const char* to_string(record_problem_kind kind) {
    static constexpr std::array names = {"syntax",         "too_large",      "unsupported_schema_version",
                                         "missing",        "unknown_key",    "duplicate",
                                         "wrong_type",     "out_of_range",   "invalid_name",
                                         "invalid_prefix", "unknown_region", "self_link",
                                         "not_positive",   "below_floor"};
    return names.at(static_cast<std::size_t>(kind));
}

std::string to_string(const record_problem& problem) {
    std::string location = problem.line == 0 ? "" : "line " + std::to_string(problem.line) + ": ";
    return location + (problem.path.empty() ? "record" : problem.path) + ": " + to_string(problem.kind) + ": " +
           problem.detail;
}

bool is_valid_name(std::string_view name) {
    auto is_letter_or_digit = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); };
    if (name.empty() || name.size() > max_name_bytes || !is_letter_or_digit(name.front())) {
        return false;
    }
    return std::all_of(name.begin(), name.end(),
                       [&](char c) { return is_letter_or_digit(c) || c == '_' || c == '-' || c == '.'; });
}

std::vector<record_problem> check_record(const wire::steering_record_t& record) {
    return record_checker(record).run();
}

double min_region_limit() {
    return standing_floor_edges / standing_floor_share;
}

double min_link_limit(const wire::steering_record_t& record) {
    std::uint32_t largest = 0;
    for (const auto& service : record.services) {
        largest = std::max(largest, service->max_request_bytes);
    }
    return largest * standing_floor_edges / standing_floor_share / bytes_per_megabit;
}

std::vector<wire::region_limit_t> effective_region_limits(const wire::configuration_t& configuration) {
    std::map<std::string, double> lowest;
    for (const auto& record : configuration.records) {
        for (const auto& limit : record->regions) {
            auto [found, is_new] = lowest.emplace(limit->region, limit->max_requests_per_second);
            found->second = std::min(found->second, limit->max_requests_per_second);
        }
    }
    std::vector<wire::region_limit_t> limits;
    for (const auto& [region, amount] : lowest) {
        limits.emplace_back();
        limits.back().region = region;
        limits.back().max_requests_per_second = amount;
    }
    return limits;
}

std::vector<wire::link_limit_t> effective_link_limits(const wire::configuration_t& configuration) {
    std::map<std::pair<std::string, std::string>, double> lowest;
    for (const auto& record : configuration.records) {
        for (const auto& link : record->links) {
            auto [found, is_new] = lowest.emplace(std::pair(link->from, link->to), link->max_mbit_per_second);
            found->second = std::min(found->second, link->max_mbit_per_second);
        }
    }
    std::vector<wire::link_limit_t> limits;
    for (const auto& [ends, amount] : lowest) {
        limits.emplace_back();
        limits.back().from = ends.first;
        limits.back().to = ends.second;
        limits.back().max_mbit_per_second = amount;
    }
    return limits;
}

}  // namespace persimmongrade
