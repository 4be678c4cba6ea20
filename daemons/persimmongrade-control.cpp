// persimmongrade-control: one replica of the control log. See docs/design.md, section 3.

#include <csignal>
#include <utility>

#include "persimmongrade/bootstrap.h"
#include "persimmongrade/command_line.h"
#include "persimmongrade/control_server.h"
#include "persimmongrade/log.h"
#include "persimmongrade/settings.h"

namespace {

using namespace persimmongrade;

int run(const wire::control_settings_t& settings, control_options options) {
    // A write beyond the limit of file sizes then fails with EFBIG and is handled like a full disk; the default action
    // of the signal ends the process.
    std::signal(SIGXFSZ, SIG_IGN);
    event_loop loop;
    if (options.bootstrap && needs_bootstrap(settings)) {
        auto registry = confirm_bootstrap(loop, settings);
        if (!registry) {
            return exit_success;  // stopped by a signal
        }
        options.bootstrap_confirmations = std::move(*registry);
    }
    control_server server(loop, settings, options);
    loop.on_signal(SIGTERM, [&] { server.stop(); });
    loop.on_signal(SIGINT, [&] { server.stop(); });
    log_info("control process started", field("id", settings.id), field("http_address", settings.http_address),
             field("peer_address", settings.peer_address));
    loop.run();
    log_info("control process stopped", field("id", settings.id));
    return exit_success;
}

}  // namespace

int main(int argc, char** argv) {
    program_definition program{.name = "persimmongrade-control",
                               .usage = "Usage: persimmongrade-control --config FILE [--check-config] [--bootstrap]",
                               .config = config_content::settings};
    program.options.add_options()("bootstrap", "first start of a new cluster: the processes named in the settings form "
                                               "its first majority. Never for a process whose data was lost");
    program.prepare = [](const auto& values) {
        auto settings = std::make_shared<const wire::control_settings_t>(load_control_settings(config_file(values)));
        control_options options{.bootstrap = values.contains("bootstrap")};
        return [settings, options] { return run(*settings, options); };
    };
    return run_program(argc, argv, program);
}
