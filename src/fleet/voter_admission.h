// Decides how a control process that asks to join becomes a member of the replicated log. Free of I/O.
//
// A voter that is gone cannot be distinguished from one that is frozen or cut off from every process: the age of its
// silence does not tell which. Only the loss of the voter whose address the joining process has is certain. A voter
// that alone gives no sign of life is taken for lost and replaced, too; it may join again. When several give none, the
// process replaces one of them, and they share the votes that are left (consensus.h). An answer to a gateway is a sign
// of life, and so is a connection that the host accepts: the kernel of a frozen process does, but not a host without
// power. Hosts that refuse or do not answer prove nothing.
//
// A process usually starts after the voter that it succeeds is gone. It waits until each voter has been heard since it
// asked, or is silent long enough to be named.

#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "messages_generated.h"
#include "persimmongrade/clock.h"

namespace persimmongrade {

// After this silence, three election timeouts, a voter may be lost.
inline constexpr duration lost_voter_timeout = ms(1500);
// After this silence, five heartbeats of the leader, a process at the address of a voter may replace it.
inline constexpr duration silent_voter_timeout = ms(500);

// The member to add for `request`; empty when it is a member already, when there are `size` votes and none is lost, or
// as long as it is not known which voters are. `silence` tells for how long a member has given no sign of life, and
// `asked_for` for how long the process has asked.
std::optional<wire::voter_t> admitted_voter(const wire::voter_set_t& members, const wire::join_request_t& request,
                                            std::size_t size, duration asked_for,
                                            const std::function<duration(const std::string& id)>& silence);

// Whether these voters, one of which is lost, have a vote that a process could take.
bool may_replace_one_of(const wire::voter_set_t& members, const std::vector<std::string>& voters);

// What a connection to the host of a silent voter showed.
struct host_probe {
    time_point started_at{};
    bool accepts = false;
};

inline constexpr duration host_probe_lifetime = ms(1000);  // the host may be lost after it

// The voters whose hosts do not accept connections; empty as long as that is not known for each. `probe_of` gives the
// newest probe of a voter, or null.
std::optional<std::vector<std::string>>
voters_without_host(const std::vector<std::string>& voters, time_point now,
                    const std::function<const host_probe*(const std::string& id)>& probe_of);

// For how long each process that is not a member has asked to join.
class join_requests {
public:
    duration asked_for(const std::string& id, time_point now);
    void clear() { this->requests.clear(); }

private:
    struct request_times {
        time_point first{};
        time_point last{};
    };

    std::map<std::string, request_times> requests;  // by id of the process
};

}  // namespace persimmongrade
