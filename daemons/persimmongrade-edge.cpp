// persimmongrade-edge: the daemon of an entry host.

#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

#include "persimmongrade/edge_server.h"
#include "persimmongrade/error.h"
#include "persimmongrade/log.h"

namespace persimmongrade {

namespace {

constexpr int exit_bad_settings = 2;

int run(const wire::edge_settings_t& settings, edge_options start) {
    event_loop loop;
    metric_registry metrics;
    edge_server server(loop, settings, metrics, start);
    loop.on_signal(SIGTERM, [&] { server.stop([&] { loop.stop(); }); });
    log_info("edge started", field("edge", settings.id), field("http_address", settings.http_address));
    loop.run();
    log_info("edge stopped", field("edge", settings.id));
    return 0;
}

}  // namespace

}  // namespace persimmongrade

int main(int argc, char** argv) {
    using namespace persimmongrade;
    namespace options = boost::program_options;
    options::options_description description("persimmongrade-edge: answers lookups and forwards requests to targets");
    description.add_options()("help", "print this text")("version", "print the version")(
        "config", options::value<std::string>(), "settings file (YAML)")("check-config", "check the settings and exit")(
        "bootstrap", "first start of a new deployment: the ledger has nothing to copy. Never for a restart");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.contains("help")) {
            std::cout << description;
            return 0;
        }
        if (values.contains("version")) {
            std::cout << "persimmongrade-edge " << PERSIMMONGRADE_VERSION << "\n";
            return 0;
        }
        if (!values.contains("config")) {
            throw options::required_option("--config");
        }
        wire::edge_settings_t settings = load_edge_settings(values["config"].as<std::string>());
        if (values.contains("check-config")) {
            return 0;
        }
        start_logging(argv[0]);
        return run(settings, {values.contains("bootstrap")});
    } catch (const options::error& reason) {
        std::cerr << "persimmongrade-edge: " << reason.what() << "\n";
    } catch (const error& reason) {
        std::cerr << "persimmongrade-edge: " << reason.what() << "\n";
    }
    return exit_bad_settings;
}
