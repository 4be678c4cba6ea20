// Guards the first start of a cluster. A process that lost its disk and is started with --bootstrap would vote under
// its old identity with an empty log, and could so help to elect a leader that lacks accepted configuration.
//
//     auto registry = confirm_bootstrap(loop, settings);         // before the data directory gets its identity
//     control_server server(loop, settings, {.bootstrap = true, .bootstraps = *registry});
//
// A process takes part in a first majority only when every other control process of its settings confirms that it has
// not known it before. One that is not reachable may hold the data of the cluster, so its answer is waited for. A
// process confirms others only while it runs since its own first start, and to each of them only one token; the token
// is kept in the data directory, so a restart before the first majority keeps it and an emptied directory loses it.

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

// Another process knows this one, or holds data itself: the cluster exists.
class already_bootstrapped : public error {
public:
    using error::error;
};

class bootstrap_registry {
public:
    bootstrap_registry() = default;              // of a process that holds data: confirms nothing
    static bootstrap_registry of_first_start();  // of a process whose directory was empty when it started

    wire::bootstrap_reply_t answer(const std::string& id, const wire::bootstrap_request_t& request);

private:
    bool first_start = false;
    std::map<std::string, std::uint64_t> tokens;  // by id in the settings
};

// True when the data directory has no identity yet, so that --bootstrap would give it one.
bool needs_bootstrap(const wire::control_settings_t& settings);

// Runs the loop until all others have confirmed. Nothing after SIGTERM or SIGINT. Throws already_bootstrapped, and
// socket_error when the peer address cannot be bound.
std::optional<bootstrap_registry> confirm_bootstrap(event_loop& loop, const wire::control_settings_t& settings);

}  // namespace persimmongrade
