#include "persimmongrade/command_line.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <iostream>

#include "persimmongrade/log.h"

namespace persimmongrade {

namespace {

namespace po = boost::program_options;

constexpr const char* words_option = "words";
constexpr const char* config_option = "config";

// The options that the system's programs share are not settings.
bool is_setting(const std::string& option) {
    return option != "help" && option != "version" && option != config_option && option != "check-config" &&
           option != words_option;
}

std::vector<std::string> values_of(const YAML::Node& node) {
    std::vector<std::string> values;
    if (node.IsSequence()) {
        for (const YAML::Node& item : node) {
            values.push_back(item.as<std::string>());
        }
    } else {
        values.push_back(node.as<std::string>());
    }
    return values;
}

// Stores one key of the settings file like an option of the command line. Throws po::error and YAML::Exception.
void store_setting(const std::string& key, const YAML::Node& node, const po::options_description& options,
                   po::variables_map& values) {
    std::string name = key;
    std::replace(name.begin(), name.end(), '_', '-');
    const po::option_description* described = options.find_nothrow(name, false);
    if (described == nullptr || !is_setting(name)) {
        throw po::error("unknown key");
    }
    po::option entry(name, values_of(node));
    if (described->semantic()->max_tokens() == 0) {
        if (!node.as<bool>()) {
            return;
        }
        entry.value.clear();
    }
    po::parsed_options parsed(&options);
    parsed.options.push_back(std::move(entry));
    po::store(parsed, values);
}

// Throws settings_error.
void store_settings(const std::string& file, const po::options_description& options, po::variables_map& values) {
    std::string key = "settings";
    int line = 0;
    auto fail = [&](const std::string& reason) {
        throw settings_error(file + ":" + std::to_string(line), key, reason);
    };
    try {
        const YAML::Node root = YAML::LoadFile(file);
        if (!root.IsMap()) {
            fail("expected a mapping");
        }
        for (const auto& pair : root) {
            key = pair.first.as<std::string>();
            line = pair.first.Mark().line + 1;
            store_setting(key, pair.second, options, values);
        }
    } catch (const YAML::Exception& failure) {
        line = std::max(line, failure.mark.line + 1);
        fail(failure.msg);
    } catch (const po::error& failure) {
        fail(failure.what());
    }
}

po::options_description all_options(const program_definition& program) {
    po::options_description all("Options");
    auto add = all.add_options();
    add("help", "print this text and exit");
    add("version", "print the version and exit");
    add(config_option, po::value<std::string>(), "YAML settings file");
    add("check-config", "check the settings and exit: 0 when they are valid, 2 when not");
    for (const auto& option : program.options.options()) {
        all.add(option);
    }
    return all;
}

po::variables_map parse(int argc, char** argv, const program_definition& program,
                        const po::options_description& visible) {
    po::options_description known;
    known.add(visible);
    po::positional_options_description positions;
    if (program.takes_words) {
        known.add_options()(words_option, po::value<std::vector<std::string>>());
        positions.add(words_option, -1);
    }
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv).options(known).positional(positions).run(), values);
    bool ends_early = values.contains("help") || values.contains("version");
    if (program.config == config_content::options && values.contains(config_option) && !ends_early) {
        store_settings(config_file(values), known, values);
    }
    po::notify(values);
    return values;
}

// Runs `step`; the exit code of an exception.
template <typename Step>
int report_errors(const program_definition& program, Step step) {
    auto report = [&program](const std::exception& failure, int code) {
        std::cerr << program.name << ": " << failure.what() << "\n";
        return code;
    };
    try {
        return step();
    } catch (const usage_error& failure) {
        return report(failure, exit_usage);
    } catch (const settings_error& failure) {
        return report(failure, exit_usage);
    } catch (const po::error& failure) {
        return report(failure, exit_usage);
    } catch (const std::exception& failure) {
        return report(failure, program.failure_code);
    }
}

}  // namespace

int run_program(int argc, char** argv, const program_definition& program) {
    program_definition::runner run;
    int code = report_errors(program, [&] {
        po::options_description visible = all_options(program);
        po::variables_map values = parse(argc, argv, program, visible);
        if (values.contains("help")) {
            std::cout << program.usage << "\n" << visible;
            return exit_success;
        }
        if (values.contains("version")) {
            std::cout << program.name << " " << PERSIMMONGRADE_VERSION << "\n";
            return exit_success;
        }
        if (program.config == config_content::settings && !values.contains(config_option)) {
            throw usage_error("--config is required");
        }
        try {
            run = program.prepare(values);
        } catch (const settings_error&) {
            throw;
        } catch (const error& failure) {
            throw usage_error(failure.what());
        }
        if (values.contains("check-config")) {
            std::cout << "the settings are valid\n";
            run = nullptr;
        }
        return exit_success;
    });
    if (code != exit_success || !run) {
        return code;
    }
    start_logging(argv[0]);
    return report_errors(program, run);
}

std::string config_file(const po::variables_map& values) {
    return values[config_option].as<std::string>();
}

std::vector<std::string> words(const po::variables_map& values) {
    return values.contains(words_option) ? values[words_option].as<std::vector<std::string>>()
                                         : std::vector<std::string>();
}

}  // namespace persimmongrade
