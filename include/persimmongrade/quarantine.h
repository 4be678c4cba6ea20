// Quarantine of requests that crash targets: a fingerprint that crashed two distinct targets is refused for 10 minutes.
//
//     if (requests.quarantined(now, service, fingerprint)) refuse(wire::refusal_reason::quarantined);
//     send(requests.connection_lost(now, {service, fingerprint, target, region}));
//     send(requests.target_down(now, service, target));   // refuses connections, or stopped announcing itself
//     requests.target_alive(service, target);             // announced itself, or answered
//
// A lost connection counts as a crash once the target is confirmed to be down after it. Notices go to every other edge.
// A notice with one target reports a confirmed crash, so that crashes seen by different edges add up. A notice with two
// or more targets reports the quarantine itself.
//
// Notices about one request may arrive over several paths and out of order. Quarantines of a request therefore have
// increasing versions, a withdrawal comes after the quarantine of the same version, and a notice that is not newer has
// no effect. Without this order, a quarantine and its withdrawal could replace each other among the edges forever.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "messages_generated.h"
#include "persimmongrade/clock.h"

namespace persimmongrade {

inline constexpr duration quarantine_duration = ms(10 * 60 * 1000);
inline constexpr std::size_t quarantine_crash_threshold = 2;  // distinct targets that crashed
inline constexpr duration crash_confirmation_time =
    ms(5000);  // from the lost connection: target lease of 3 s, its update and a margin
inline constexpr duration region_failure_window = ms(2000);
inline constexpr std::size_t region_failure_fingerprints = 3;  // that many lost in the window: the region failed

// Identifies the content of a request, whatever its id: the same for each attempt, also at other processes.
std::uint64_t content_fingerprint(std::string_view head, std::string_view body);

struct lost_request {
    std::string service;
    std::uint64_t fingerprint = 0;
    std::string target;
    std::string region;
};

// Effect of a received notice.
struct notice_outcome {
    bool changed = false;                              // it was new to this edge, so other edges may need it as well
    std::vector<wire::quarantine_notice_t> decided{};  // notices that this edge issues as a consequence
};

class quarantine {
public:
    bool quarantined(time_point now, std::string_view service, std::uint64_t fingerprint) const;

    // The connection to the target was lost during the request, before its answer was complete.
    std::vector<wire::quarantine_notice_t> connection_lost(time_point now, const lost_request& lost);

    // The target refused a connection or stopped announcing itself: confirms a crash.
    std::vector<wire::quarantine_notice_t> target_down(time_point now, const std::string& service,
                                                       const std::string& target);

    // The target announced itself or answered at time `at`: connections lost until then without a confirmed crash were
    // merely broken.
    void target_alive(const std::string& service, const std::string& target, time_point at = time_point::max());

    notice_outcome receive(time_point now, const wire::quarantine_notice_t& notice);
    void tick(time_point now);  // removes expired entries and losses

    std::vector<wire::quarantine_notice_t> all(time_point now) const;  // for an edge that has just connected
    std::size_t size(time_point now) const;

private:
    using fingerprint_key = std::pair<std::string, std::uint64_t>;  // service, fingerprint
    struct loss {
        lost_request request;
        time_point at;
        bool confirmed = false;
        bool region_failed = false;  // part of the failure of a region: never counts
        bool remote = false;
    };
    struct quarantined_entry {
        time_point expires_at;
        wire::quarantine_notice_t notice;
        bool withdrawn = false;  // kept, so that a late notice of the same version has no effect
    };

    notice_outcome receive_decision(time_point now, const wire::quarantine_notice_t& notice);
    std::vector<wire::quarantine_notice_t> mark_region_failures(time_point now, const std::string& region);
    std::vector<wire::quarantine_notice_t> evaluate(time_point now, const fingerprint_key& key);
    std::vector<const loss*> confirmed_crashes(const fingerprint_key& key) const;
    static wire::quarantine_notice_t notice_of(time_point now, const std::vector<const loss*>& confirmed_crashes,
                                               duration expires_in);

    std::vector<loss> losses;
    std::map<fingerprint_key, quarantined_entry> entries;
};

}  // namespace persimmongrade
