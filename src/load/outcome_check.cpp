#include <fstream>
#include <sstream>

#include "persimmongrade/load_report.h"

namespace persimmongrade {

const char* to_string(call_outcome outcome) {
    switch (outcome) {
    case call_outcome::ok:
        return "ok";
    case call_outcome::not_run:
        return "not_run";
    case call_outcome::unknown:
        return "unknown";
    case call_outcome::wrong:
        return "wrong";
    case call_outcome::cancelled:
        return "cancelled";
    }
    return "invalid";
}

const char* to_string(violation_kind kind) {
    switch (kind) {
    case violation_kind::run_twice:
        return "run_twice";
    case violation_kind::false_refusal:
        return "false_refusal";
    case violation_kind::lost:
        return "lost";
    case violation_kind::wrong_answer:
        return "wrong_answer";
    }
    return "invalid";
}

std::map<std::string, std::uint32_t> read_journals(const std::vector<std::string>& files) {
    std::map<std::string, std::uint32_t> runs;
    for (const std::string& file : files) {
        std::ifstream input(file);
        if (!input) {
            throw journal_error(file + ": cannot be opened");
        }
        std::string line;
        for (std::size_t number = 1; std::getline(input, line); ++number) {
            std::istringstream fields(line);
            std::string key;
            std::string method;
            std::string path;
            std::string start_ms;
            if (!(fields >> key >> method >> path >> start_ms)) {
                throw journal_error(file + ":" + std::to_string(number) + ": expected 'key method path start_ms'");
            }
            ++runs[key == "-" ? path : key];
        }
    }
    return runs;
}

namespace {

void add_violations(const call_record& record, std::uint32_t runs, std::vector<violation>& found) {
    auto add = [&](violation_kind kind) { found.push_back({kind, record.service, record.id, runs}); };
    if (!record.idempotent && runs > 1) {
        add(violation_kind::run_twice);
    }
    if (record.outcome == call_outcome::not_run && !record.told_ok && runs > 0 && !record.idempotent) {
        add(violation_kind::false_refusal);
    }
    if (record.told_ok && runs == 0) {
        add(violation_kind::lost);
    }
    if (record.outcome == call_outcome::wrong || record.answers_differ) {
        add(violation_kind::wrong_answer);
    }
}

}  // namespace

std::vector<violation> check_outcomes(const std::vector<call_record>& records,
                                      const std::map<std::string, std::uint32_t>& runs) {
    std::vector<violation> found;
    for (const call_record& record : records) {
        auto entry = runs.find(record.id);
        add_violations(record, entry == runs.end() ? 0 : entry->second, found);
    }
    return found;
}

}  // namespace persimmongrade
