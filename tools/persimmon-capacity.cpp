// Measures how cost grows with size, and compares ways to share a limit. The parts are in tools/capacity.
//
//     persimmon-capacity --part blocks --sizes 10000,100000 --output json

#include <algorithm>
#include <sstream>

#include "capacity/parts.h"
#include "persimmongrade/command_line.h"

namespace persimmongrade {

namespace {

std::vector<std::size_t> parse_sizes(const std::string& text) {
    std::vector<std::size_t> result;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');) {
        std::size_t used = 0;
        unsigned long value = 0;
        try {
            value = std::stoul(part, &used);
        } catch (const std::exception&) {
            used = 0;
        }
        if (used != part.size() || value == 0) {
            throw usage_error("--sizes: \"" + part + "\" is not a positive number");
        }
        result.push_back(value);
    }
    return result;
}

std::vector<table> run_parts(const std::string& part, const std::vector<std::size_t>& sizes) {
    std::vector<table> result;
    auto append = [&](const std::string& name, auto&& measure) {
        if (part == name || part == "all") {
            auto tables = measure();
            result.insert(result.end(), tables.begin(), tables.end());
        }
    };
    append("compare", [] { return compare(); });
    append("shifts", [] { return compare_shifts(); });
    append("blocks", [&] { return measure_all_blocks(sizes); });
    append("leases", [] { return measure_all_leases(); });
    append("edges", [] { return measure_all_edge_lists(); });
    append("updates", [] { return measure_all_target_updates(); });
    append("configuration", [&] { return measure_configuration(sizes); });
    if (result.empty()) {
        throw usage_error("--part: \"" + part + "\" is unknown");
    }
    return result;
}

int run(const std::string& part, const std::vector<std::size_t>& sizes, bool json) {
    auto tables = run_parts(part, sizes);
    if (json) {
        print_json(tables);
    } else {
        std::for_each(tables.begin(), tables.end(), print_text);
    }
    return exit_success;
}

}  // namespace

}  // namespace persimmongrade

int main(int argc, char** argv) {
    using namespace persimmongrade;
    namespace po = boost::program_options;
    program_definition program{.name = "persimmon-capacity",
                               .usage = "persimmon-capacity: measures how cost grows with size"};
    auto add = program.options.add_options();
    add("part", po::value<std::string>()->default_value("all"),
        "all, compare, shifts, blocks, leases, edges, updates or configuration");
    add("sizes", po::value<std::string>()->default_value("10000,100000,500000,1900000"), "numbers of client blocks");
    add("output", po::value<std::string>()->default_value("text"), "text or json");
    program.prepare = [](const auto& values) {
        auto output = values["output"].template as<std::string>();
        if (output != "text" && output != "json") {
            throw usage_error("--output: \"" + output + "\" is neither text nor json");
        }
        auto part = values["part"].template as<std::string>();
        auto sizes = parse_sizes(values["sizes"].template as<std::string>());
        return [part, sizes, json = output == "json"] { return run(part, sizes, json); };
    };
    return run_program(argc, argv, program);
}
