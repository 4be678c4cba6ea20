// persimmongrade-edge: the daemon of an entry host.

#include <csignal>

#include "persimmongrade/command_line.h"
#include "persimmongrade/edge_server.h"
#include "persimmongrade/event_log.h"

namespace {

using namespace persimmongrade;

int run(const wire::edge_settings_t& settings, const edge_options& options) {
    start_event_log({.process = settings.id});
    event_loop loop;
    loop.every(event_log_flush_interval, [] { flush_event_log(); });
    metric_registry metrics;
    edge_server server(loop, settings, metrics, options);
    loop.on_signal(SIGTERM, [&] { server.stop([&] { loop.stop(); }); });
    log_event("started", field("version", PERSIMMONGRADE_VERSION), field("http", settings.http_address),
              field("peer", settings.peer_address), field("control", settings.control.size()));
    loop.run();
    log_event("stopped");
    flush_event_log();
    return exit_success;
}

}  // namespace

int main(int argc, char** argv) {
    program_definition program{.name = "persimmongrade-edge",
                               .usage = "persimmongrade-edge: answers lookups and forwards requests to targets",
                               .config = config_content::settings};
    program.options.add_options()(
        "bootstrap", "first start of a new deployment: the ledger has nothing to copy. Never for a restart");
    program.prepare = [](const auto& values) {
        auto settings = std::make_shared<const wire::edge_settings_t>(load_edge_settings(config_file(values)));
        edge_options options{.first_start = values.contains("bootstrap")};
        return [settings, options] { return run(*settings, options); };
    };
    return run_program(argc, argv, program);
}
