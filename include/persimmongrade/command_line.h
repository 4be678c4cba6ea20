// The command line that every program of the system shares.
//
//     int main(int argc, char** argv) {
//         program_definition program{.name = "persimmon-x", .usage = "persimmon-x: ..."};
//         program.options.add_options()("size", po::value<int>(), "bytes of each part");
//         program.prepare = [](const po::variables_map& values) {
//             auto settings = read(values);                   // throws on bad settings
//             return [settings] { return run(settings); };    // the exit code of the program
//         };
//         return run_program(argc, argv, program);
//     }
//
// Every program knows --help, --version, --config FILE and --check-config, which ends after `prepare`. Results go to
// standard output and errors, with the program's name, to standard error.

#pragma once

#include <boost/program_options.hpp>

#include <functional>
#include <string>
#include <vector>

#include "persimmongrade/error.h"

namespace persimmongrade {

inline constexpr int exit_success = 0;
inline constexpr int exit_failure = 1;
inline constexpr int exit_usage = 2;  // bad command line, settings or input

// Wrong arguments or unreadable input.
class usage_error : public error {
public:
    using error::error;
};

enum class config_content {
    settings,  // --config is required, and `prepare` reads the file
    options,  // --config is optional; its YAML keys are the program's options, with '_' for '-'. The command line wins.
};

struct program_definition {
    using runner = std::function<int()>;

    std::string name = {};
    std::string usage = {};                                          // first lines of --help
    boost::program_options::options_description options{"Options"};  // beside those of every program
    config_content config = config_content::options;
    bool takes_words = false;         // arguments without an option: see words()
    int failure_code = exit_failure;  // exit code of failures other than bad usage
    std::function<runner(const boost::program_options::variables_map&)> prepare = {};  // any `error` is bad usage
};

// Returns the exit code. While the program runs, usage_error and settings_error are bad usage; other exceptions end it
// with `failure_code`.
int run_program(int argc, char** argv, const program_definition& program);

std::string config_file(const boost::program_options::variables_map& values);
std::vector<std::string> words(const boost::program_options::variables_map& values);

}  // namespace persimmongrade
