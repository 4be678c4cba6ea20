// persimmongrade-control: one replica of the control log. See docs/design.md, section 3.

#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

#include "persimmongrade/control_server.h"
#include "persimmongrade/error.h"
#include "persimmongrade/log.h"
#include "persimmongrade/settings.h"

namespace {

namespace po = boost::program_options;
using namespace persimmongrade;

constexpr int exit_failure = 1;
constexpr int exit_usage = 2;  // bad command line or settings

int run(const po::variables_map& options, const wire::control_settings_t& settings) {
    // A write beyond the limit of file sizes then fails with EFBIG and is handled like a full disk; the default action
    // of the signal ends the process.
    std::signal(SIGXFSZ, SIG_IGN);
    event_loop loop;
    control_server server(loop, settings, {.bootstrap = options.count("bootstrap") > 0});
    loop.on_signal(SIGTERM, [&] { server.stop(); });
    loop.on_signal(SIGINT, [&] { server.stop(); });
    log_info("control process started", field("id", settings.id), field("http_address", settings.http_address),
             field("peer_address", settings.peer_address));
    loop.run();
    log_info("control process stopped", field("id", settings.id));
    return 0;
}

int run_command_line(int argc, char** argv) {
    po::options_description description("Usage: persimmongrade-control --config FILE [--check-config] [--bootstrap]");
    description.add_options()("help", "print this text and exit");
    description.add_options()("version", "print the version and exit");
    description.add_options()("config", po::value<std::string>(), "YAML settings file");
    description.add_options()("check-config", "check the settings and exit: 0 when they are valid, 2 when not");
    description.add_options()("bootstrap", "first start of a new cluster: the processes named in the settings form "
                                           "its first majority. Never for a process whose data was lost");
    po::variables_map options;
    po::store(po::parse_command_line(argc, argv, description), options);
    po::notify(options);
    if (options.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    if (options.count("version") > 0) {
        std::cout << "persimmongrade-control " << PERSIMMONGRADE_VERSION << "\n";
        return 0;
    }
    if (options.count("config") == 0) {
        std::cerr << "--config is required\n" << description;
        return exit_usage;
    }
    wire::control_settings_t settings = load_control_settings(options["config"].as<std::string>());
    if (options.count("check-config") > 0) {
        std::cout << "the settings are valid\n";
        return 0;
    }
    start_logging(argv[0]);
    return run(options, settings);
}

}  // namespace

int main(int argc, char** argv) {
    try {
        return run_command_line(argc, argv);
    } catch (const po::error& failure) {
        std::cerr << failure.what() << "\n";
        return exit_usage;
    } catch (const settings_error& failure) {
        std::cerr << failure.what() << "\n";
        return exit_usage;
    } catch (const std::exception& failure) {
        std::cerr << "persimmongrade-control: " << failure.what() << "\n";
        return exit_failure;
    }
}
