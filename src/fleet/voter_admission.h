// Decides how a control process that asks to join becomes a member of the replicated log. Free of I/O.
//
// Nobody can tell a voter that is gone from one that is cut off. The voter that has been silent for longest is
// replaced; one that comes back asks to join again, and then takes the place of the next one that is silent.

#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "messages_generated.h"
#include "persimmongrade/clock.h"

namespace persimmongrade {

// After this silence, a process that joins may replace the voter.
inline constexpr duration lost_voter_timeout = ms(1500);

// The member to add for `request`, with the one that it replaces; empty when it is a member already, or when there are
// `size` members and none is lost. `silence` tells for how long a member has not been heard.
std::optional<wire::voter_t> admitted_voter(const wire::voter_set_t& members, const wire::join_request_t& request,
                                            std::size_t size,
                                            const std::function<duration(const std::string& id)>& silence);

}  // namespace persimmongrade
