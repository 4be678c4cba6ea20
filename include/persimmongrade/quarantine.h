// Quarantine of requests that crash targets: a fingerprint that crashed two distinct targets is refused for 10 minutes.
//
//     if (requests.quarantined(now, service, fingerprint)) refuse(wire::refusal_reason::quarantined);
//     requests.connection_lost(now, {service, fingerprint, target, region});
//     send(requests.target_down(now, service, target));   // refuses connections, or stopped announcing itself
//     requests.target_alive(service, target);             // announced itself, or answered
//
//     send(requests.tick(now));                               // every 500 ms or so
//     send(requests.answered(now, service, fingerprint));      // a target ran it and answered: it crashes nothing
//
// A lost connection counts as a crash once the target is confirmed to be down after it. Notices go to every other
// process that forwards requests. A notice with one target reports a confirmed crash, so that crashes seen by different
// processes add up. A notice with two or more targets reports the quarantine itself. A notice without targets reports
// that the request was answered.
//
// When a target crashes, every request in flight there is lost. Sound ones are told apart by their answers, which clear
// them, and by the caller, which does not send two requests that were lost to the same target at a time.
//
// When three or more targets of a region are lost within a short time, the region may be failing. Their losses then
// count only once notice_settling_time has passed, and only while each of these targets has a request that was lost
// with several. News of losses arrives in any order, so the judgement is made anew with each.
//
// Notices about one request may arrive over several paths and out of order. Quarantines of a request therefore have
// increasing versions, a withdrawal comes after the quarantine of the same version, and a notice that is not newer has
// no effect. Without this order, a quarantine and its withdrawal could replace each other among the edges forever.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
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
// Until every process has confirmed a crash and told the others: a probe, and a message over a control process.
inline constexpr duration notice_settling_time = ms(500);
// A notice of a crash states the age of the loss, which seems shorter by each delay on the way. Without a memory of
// what was cleared, a notice that arrives after the answer counts as a new crash, and both travel among the processes
// for ever. This is longer than any message waits in a queue.
inline constexpr duration cleared_crash_retention = ms(30000);
inline constexpr std::size_t region_failure_fingerprints = 3;  // that many lost in the window: the region may fail

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
    bool quarantined(time_point now, std::string_view service, std::uint64_t fingerprint) const {
        return this->time_left(now, service, fingerprint) > duration::zero();
    }
    duration time_left(time_point now, std::string_view service, std::uint64_t fingerprint) const;  // of the quarantine
    bool crashed_target(std::string_view service, std::uint64_t fingerprint) const;        // at least one is confirmed
    bool empty() const noexcept { return this->losses.empty() && this->entries.empty(); }  // nothing is suspected

    // The connection to the target was lost during the request, before its answer was complete.
    void connection_lost(time_point now, const lost_request& lost);

    // The target refused a connection or stopped announcing itself: confirms a crash.
    std::vector<wire::quarantine_notice_t> target_down(time_point now, const std::string& service,
                                                       const std::string& target);

    // The target announced itself or answered at time `at`: connections lost until then without a confirmed crash were
    // merely broken.
    void target_alive(const std::string& service, const std::string& target, time_point at = time_point::max());

    // A target ran the request and answered it.
    std::vector<wire::quarantine_notice_t> answered(time_point now, std::string_view service,
                                                    std::uint64_t fingerprint);

    notice_outcome receive(time_point now, const wire::quarantine_notice_t& notice);
    // Removes what has expired, and withdraws quarantines that were decided while a region began to fail.
    std::vector<wire::quarantine_notice_t> tick(time_point now);

    std::vector<wire::quarantine_notice_t> all(time_point now) const;  // for a process that has just connected
    std::size_t size(time_point now) const;

private:
    using fingerprint_key = std::pair<std::string, std::uint64_t>;  // service, fingerprint
    struct loss {
        lost_request request;
        time_point at;
        bool confirmed = false;

        bool is_of(const fingerprint_key& key) const {
            return this->request.fingerprint == key.second && this->request.service == key.first;
        }
    };
    enum class crash_cause : std::uint8_t {
        request,
        unknown,  // several targets of the region were lost at the time, and not all of them are explained
        region,   // it was failing
    };
    struct quarantined_entry {
        time_point expires_at;
        wire::quarantine_notice_t notice;
        bool withdrawn = false;  // kept, so that a late notice of the same version has no effect
    };

    notice_outcome receive_decision(time_point now, const wire::quarantine_notice_t& notice);
    notice_outcome receive_answer(time_point now, const fingerprint_key& key);
    bool forget_losses(const fingerprint_key& key, time_point until);
    crash_cause cause_of(time_point now, const loss& crash) const;
    std::vector<const loss*> confirmed_crashes(const fingerprint_key& key) const;  // of distinct targets
    std::optional<wire::quarantine_notice_t> decide(time_point now, const fingerprint_key& key);
    std::vector<wire::quarantine_notice_t> withdraw_region_failures(time_point now);
    static wire::quarantine_notice_t notice_of(time_point now, const std::vector<const loss*>& confirmed_crashes,
                                               duration expires_in);

    std::vector<loss> losses;
    std::map<fingerprint_key, quarantined_entry> entries;
    std::map<fingerprint_key, time_point>
        answered_at;  // of requests that had been suspected: older losses do not count
    std::map<std::pair<fingerprint_key, std::string>, time_point> cleared_crashes;  // by request and target
};

}  // namespace persimmongrade
