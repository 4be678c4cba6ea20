// Confirmation of the first start of a cluster (--bootstrap). A process that lost its disk and is started with
// --bootstrap would vote under its old identity with an empty log, and could thus help to elect a leader that lacks
// accepted configuration.
//
//     auto registry = confirm_bootstrap(loop, settings);  // before the data directory gets its identity
//     control_server server(loop, settings, {.bootstrap = true, .bootstrap_confirmations = *registry});
//
// A process joins the first majority only after every other control process in its settings has confirmed that it has
// not seen this process before. It waits for unreachable processes, because any of them may hold the data of the
// cluster. A process confirms others only during the run in which its own data directory was empty at the start, and
// confirms only one token per process. The token is stored in the data directory: a restart before the first majority
// keeps it, and an emptied directory loses it.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "messages_generated.h"
#include "persimmongrade/error.h"
#include "persimmongrade/event_loop.h"
#include "settings_generated.h"

namespace persimmongrade {

// Another process has confirmed this one before, or holds data: the cluster already exists.
class already_bootstrapped : public error {
public:
    using error::error;
};

class bootstrap_registry {
public:
    bootstrap_registry() = default;               // of a process that holds data: confirms nothing
    static bootstrap_registry for_first_start();  // of a process whose directory was empty when it started

    wire::bootstrap_reply_t answer(const std::string& id, const wire::bootstrap_request_t& request);

private:
    bool is_first_start = false;
    std::map<std::string, std::uint64_t> tokens;  // confirmed token by control process id in the settings
};

// True when the data directory has no identity yet; --bootstrap then creates one.
bool needs_bootstrap(const wire::control_settings_t& settings);

// Runs the loop until all other control processes have confirmed. Returns nullopt after SIGTERM or SIGINT. Throws
// already_bootstrapped, and socket_error when the peer address cannot be bound.
std::optional<bootstrap_registry> confirm_bootstrap(event_loop& loop, const wire::control_settings_t& settings);

}  // namespace persimmongrade
