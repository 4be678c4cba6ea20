// Decides how a control process that asks to join becomes a member of the replicated log. Free of I/O.
//
// A voter that is gone cannot be distinguished from one that is cut off from every process. The voter whose last sign
// of life is oldest is replaced; an answer to a gateway is a sign of life. A voter that was replaced and returns asks
// to join again, and then replaces the next silent one.

#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "messages_generated.h"
#include "persimmongrade/clock.h"

namespace persimmongrade {

// After this silence, three election timeouts, a process that joins may replace the voter.
inline constexpr duration lost_voter_timeout = ms(1500);

// The member to add for `request`, with the one that it replaces; empty when it is a member already, or when there are
// `size` members and none is lost. `silence` tells for how long a member has given no sign of life.
std::optional<wire::voter_t> admitted_voter(const wire::voter_set_t& members, const wire::join_request_t& request,
                                            std::size_t size,
                                            const std::function<duration(const std::string& id)>& silence);

}  // namespace persimmongrade
