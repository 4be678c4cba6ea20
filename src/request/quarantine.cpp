#include "persimmongrade/quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace persimmongrade {

std::uint64_t content_fingerprint(std::string_view head, std::string_view body) {
    return XXH64(body.data(), body.size(), XXH64(head.data(), head.size(), 0));
}

duration quarantine::time_left(time_point now, std::string_view service, std::uint64_t fingerprint) const {
    auto found = this->entries.find({std::string(service), fingerprint});
    bool held = found != this->entries.end() && !found->second.withdrawn && now < found->second.expires_at;
    return held ? found->second.expires_at - now : duration::zero();
}

bool quarantine::crashed_target(std::string_view service, std::uint64_t fingerprint) const {
    return std::any_of(this->losses.begin(), this->losses.end(), [&](const loss& entry) {
        return entry.confirmed && entry.request.fingerprint == fingerprint && entry.request.service == service;
    });
}

void quarantine::connection_lost(time_point now, const lost_request& lost) {
    this->losses.push_back({lost, now});
}

std::vector<wire::quarantine_notice_t> quarantine::target_down(time_point now, const std::string& service,
                                                               const std::string& target) {
    std::set<fingerprint_key> changed;
    std::vector<wire::quarantine_notice_t> notices;
    for (auto& entry : this->losses) {
        bool same = entry.request.service == service && entry.request.target == target;
        if (same && !entry.confirmed && now - entry.at <= crash_confirmation_time) {
            entry.confirmed = true;
            if (changed.insert({service, entry.request.fingerprint}).second) {
                notices.push_back(notice_of(now, {&entry}, quarantine_duration));
            }
        }
    }
    for (const auto& key : changed) {
        if (auto decision = this->decide(now, key)) {
            notices.push_back(*decision);
        }
    }
    return notices;
}

void quarantine::target_alive(const std::string& service, const std::string& target, time_point at) {
    std::erase_if(this->losses, [&](const loss& entry) {
        return !entry.confirmed && entry.at <= at && entry.request.service == service && entry.request.target == target;
    });
}

// Removes the losses of the request up to `until`. True when one of them was a confirmed crash, which others may know.
bool quarantine::forget_losses(const fingerprint_key& key, time_point until) {
    bool confirmed = false;
    std::erase_if(this->losses, [&](const loss& entry) {
        bool cleared = entry.at <= until && entry.is_of(key);
        if (cleared && entry.confirmed) {
            confirmed = true;
            this->cleared_crashes[{key, entry.request.target}] = until;
        }
        return cleared;
    });
    return confirmed;
}

std::vector<wire::quarantine_notice_t> quarantine::answered(time_point now, std::string_view service,
                                                            std::uint64_t fingerprint) {
    if (this->empty()) {
        return {};
    }
    fingerprint_key key{service, fingerprint};
    std::vector<wire::quarantine_notice_t> notices;
    auto entry = this->entries.find(key);
    if (entry != this->entries.end() && !entry->second.withdrawn) {
        notices.push_back(entry->second.notice);
        notices.back().expires_in_ms = 0;
        entry->second = {now + quarantine_duration, notices.back(), true};
    }
    if (this->forget_losses(key, now)) {
        this->answered_at[key] = now;
        wire::quarantine_notice_t notice;
        notice.service = key.first;
        notice.fingerprint = fingerprint;
        notices.push_back(notice);
    }
    return notices;
}

// The time of the answer is not stated: the notice follows it at once, and a crash after an answer is not expected.
notice_outcome quarantine::receive_answer(time_point now, const fingerprint_key& key) {
    if (!this->forget_losses(key, now)) {
        return {};
    }
    this->answered_at[key] = now;
    return {true};
}

notice_outcome quarantine::receive_decision(time_point now, const wire::quarantine_notice_t& notice) {
    bool withdrawal = notice.expires_in_ms == 0;
    auto expires_at =
        now + (withdrawal ? quarantine_duration : std::min(ms(notice.expires_in_ms), quarantine_duration));
    auto [position, added] = this->entries.try_emplace({notice.service, notice.fingerprint});
    quarantined_entry& entry = position->second;
    auto known = std::pair(entry.notice.version, entry.withdrawn);
    if (!added && std::pair(notice.version, withdrawal) <= known) {
        bool repeated = std::pair(notice.version, withdrawal) == known;
        entry.expires_at = repeated && !withdrawal ? std::max(entry.expires_at, expires_at) : entry.expires_at;
        return {};
    }
    entry = {expires_at, notice, withdrawal};
    return {true};
}

notice_outcome quarantine::receive(time_point now, const wire::quarantine_notice_t& notice) {
    fingerprint_key key{notice.service, notice.fingerprint};
    if (notice.targets.size() >= quarantine_crash_threshold) {
        return this->receive_decision(now, notice);
    }
    if (notice.targets.size() != notice.regions.size() || notice.targets.size() != notice.lost_ms_ago.size()) {
        return {};
    }
    if (notice.targets.empty()) {
        return this->receive_answer(now, key);
    }
    notice_outcome outcome;
    std::vector<wire::quarantine_notice_t>& notices = outcome.decided;
    for (std::size_t i = 0; i < notice.targets.size(); ++i) {
        if (ms(notice.lost_ms_ago[i]) > quarantine_duration) {
            continue;  // would expire at once, and count as new when it arrives again
        }
        loss remote{{notice.service, notice.fingerprint, notice.targets[i], notice.regions[i]},
                    now - ms(notice.lost_ms_ago[i]),
                    true};
        auto cleared = this->answered_at.find(key);
        bool known = (cleared != this->answered_at.end() && remote.at <= cleared->second) ||
                     this->cleared_crashes.contains({key, remote.request.target}) ||
                     std::any_of(this->losses.begin(), this->losses.end(), [&](const loss& entry) {
                         return entry.confirmed && entry.is_of(key) && entry.request.target == remote.request.target;
                     });
        if (!known) {
            outcome.changed = true;
            this->losses.push_back(remote);
        }
    }
    if (auto decision = this->decide(now, key)) {
        notices.push_back(*decision);
    }
    return outcome;
}

std::vector<wire::quarantine_notice_t> quarantine::tick(time_point now) {
    std::erase_if(this->entries, [now](const auto& entry) { return now >= entry.second.expires_at; });
    std::erase_if(this->answered_at, [now](const auto& entry) { return now - entry.second > quarantine_duration; });
    std::erase_if(this->cleared_crashes,
                  [now](const auto& entry) { return now - entry.second > cleared_crash_retention; });
    std::erase_if(this->losses, [now](const loss& entry) {
        return now - entry.at > (entry.confirmed ? quarantine_duration : crash_confirmation_time);
    });
    return this->withdraw_region_failures(now);
}

std::vector<wire::quarantine_notice_t> quarantine::all(time_point now) const {
    std::vector<wire::quarantine_notice_t> notices;
    for (const auto& [key, entry] : this->entries) {
        if (now < entry.expires_at) {
            duration left = entry.withdrawn ? duration::zero() : entry.expires_at - now;
            notices.push_back(entry.notice);
            notices.back().expires_in_ms = static_cast<std::uint32_t>(left.count());
        }
    }
    for (const loss& entry : this->losses) {
        if (entry.confirmed) {
            notices.push_back(notice_of(now, {&entry}, quarantine_duration));
        }
    }
    return notices;
}

std::size_t quarantine::size(time_point now) const {
    return static_cast<std::size_t>(std::count_if(this->entries.begin(), this->entries.end(), [now](const auto& entry) {
        return !entry.second.withdrawn && now < entry.second.expires_at;
    }));
}

quarantine::crash_cause quarantine::cause_of(time_point now, const loss& crash) const {
    std::map<std::uint64_t, std::set<std::string_view>> lost_with;  // targets by fingerprint, at any time
    std::set<std::uint64_t> fingerprints;
    std::set<std::string_view> targets;
    for (const loss& entry : this->losses) {
        lost_with[entry.request.fingerprint].insert(entry.request.target);
        bool at_that_time =
            entry.at - crash.at <= region_failure_window && crash.at - entry.at <= region_failure_window;
        if (at_that_time && entry.request.region == crash.request.region) {
            fingerprints.insert(entry.request.fingerprint);
            targets.insert(entry.request.target);
        }
    }
    if (std::min(fingerprints.size(), targets.size()) < region_failure_fingerprints) {
        return crash_cause::request;
    }
    std::set<std::string_view> unexplained;  // targets without a request that was lost with several
    for (const loss& entry : this->losses) {
        if (now - entry.at >= notice_settling_time && targets.contains(entry.request.target)) {
            unexplained.insert(entry.request.target);
        }
    }
    for (std::uint64_t fingerprint : fingerprints) {
        const auto& lost_targets = lost_with[fingerprint];
        if (lost_targets.size() >= quarantine_crash_threshold) {
            std::erase_if(unexplained, [&](std::string_view target) { return lost_targets.contains(target); });
        }
    }
    if (unexplained.size() >= region_failure_fingerprints) {
        return crash_cause::region;
    }
    bool is_settled = now - crash.at >= notice_settling_time;
    return unexplained.empty() && is_settled ? crash_cause::request : crash_cause::unknown;
}

std::vector<const quarantine::loss*> quarantine::confirmed_crashes(const fingerprint_key& key) const {
    std::vector<const loss*> found;
    for (const auto& entry : this->losses) {
        bool repeated = std::any_of(found.begin(), found.end(),
                                    [&](const loss* other) { return other->request.target == entry.request.target; });
        if (entry.confirmed && entry.is_of(key) && !repeated) {
            found.push_back(&entry);
        }
    }
    return found;
}

// Quarantines the request after the second target, unless it is quarantined already.
std::optional<wire::quarantine_notice_t> quarantine::decide(time_point now, const fingerprint_key& key) {
    auto crashes = this->confirmed_crashes(key);
    if (crashes.size() < quarantine_crash_threshold || this->quarantined(now, key.first, key.second)) {
        return std::nullopt;
    }
    std::vector<const loss*> counted;
    for (const loss* crash : crashes) {
        if (this->cause_of(now, *crash) == crash_cause::request) {
            counted.push_back(crash);
        }
        if (counted.size() == quarantine_crash_threshold) {
            break;
        }
    }
    if (counted.size() < quarantine_crash_threshold) {
        return std::nullopt;
    }
    auto notice = notice_of(now, counted, quarantine_duration);
    quarantined_entry& entry = this->entries[key];
    notice.version = entry.notice.version + 1;
    entry = {now + quarantine_duration, notice, false};
    return notice;
}

// Withdraws quarantines that were decided before more losses showed that the region was failing.
std::vector<wire::quarantine_notice_t> quarantine::withdraw_region_failures(time_point now) {
    std::vector<wire::quarantine_notice_t> notices;
    for (auto& [key, entry] : this->entries) {
        auto crashes = entry.withdrawn ? std::vector<const loss*>() : this->confirmed_crashes(key);
        std::size_t known = crashes.size();
        std::erase_if(crashes, [&](const loss* crash) {
            // A window that contains the crash is judged for the last time after both have passed.
            bool recent = now - crash->at <= region_failure_window + notice_settling_time + region_failure_window;
            return recent && this->cause_of(now, *crash) == crash_cause::region;
        });
        if (known >= quarantine_crash_threshold && crashes.size() < quarantine_crash_threshold) {
            notices.push_back(entry.notice);
            notices.back().expires_in_ms = 0;
            entry = {now + quarantine_duration, notices.back(), true};
        }
    }
    return notices;
}

wire::quarantine_notice_t quarantine::notice_of(time_point now, const std::vector<const loss*>& confirmed_crashes,
                                                duration expires_in) {
    wire::quarantine_notice_t notice;
    notice.service = confirmed_crashes.front()->request.service;
    notice.fingerprint = confirmed_crashes.front()->request.fingerprint;
    notice.expires_in_ms = static_cast<std::uint32_t>(expires_in.count());
    for (const auto* entry : confirmed_crashes) {
        notice.targets.push_back(entry->request.target);
        notice.regions.push_back(entry->request.region);
        notice.lost_ms_ago.push_back(static_cast<std::uint32_t>(std::max<std::int64_t>(0, (now - entry->at).count())));
    }
    return notice;
}

}  // namespace persimmongrade
