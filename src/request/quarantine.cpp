#include "persimmongrade/quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace persimmongrade {

std::uint64_t content_fingerprint(std::string_view head, std::string_view body) {
    return XXH64(body.data(), body.size(), XXH64(head.data(), head.size(), 0));
}

bool quarantine::quarantined(time_point now, std::string_view service, std::uint64_t fingerprint) const {
    auto found = this->entries.find({std::string(service), fingerprint});
    return found != this->entries.end() && !found->second.withdrawn && now < found->second.expires_at;
}

std::vector<wire::quarantine_notice_t> quarantine::connection_lost(time_point now, const lost_request& lost) {
    this->losses.push_back({lost, now});
    return this->mark_region_failures(now, lost.region);
}

std::vector<wire::quarantine_notice_t> quarantine::target_down(time_point now, const std::string& service,
                                                               const std::string& target) {
    std::set<fingerprint_key> changed;
    for (auto& entry : this->losses) {
        bool same = entry.request.service == service && entry.request.target == target;
        if (same && !entry.confirmed && now - entry.at <= crash_confirmation_time) {
            entry.confirmed = true;
            changed.insert({service, entry.request.fingerprint});
        }
    }
    std::vector<wire::quarantine_notice_t> notices;
    for (const auto& key : changed) {
        auto found = this->evaluate(now, key);
        notices.insert(notices.end(), found.begin(), found.end());
    }
    return notices;
}

void quarantine::target_alive(const std::string& service, const std::string& target, time_point at) {
    std::erase_if(this->losses, [&](const loss& entry) {
        return !entry.confirmed && entry.at <= at && entry.request.service == service && entry.request.target == target;
    });
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
    notice_outcome outcome;
    std::vector<wire::quarantine_notice_t>& notices = outcome.decided;
    for (std::size_t i = 0; i < notice.targets.size(); ++i) {
        if (ms(notice.lost_ms_ago[i]) > quarantine_duration) {
            continue;  // would expire at once, and count as new when it arrives again
        }
        loss remote{{notice.service, notice.fingerprint, notice.targets[i], notice.regions[i]},
                    now - ms(notice.lost_ms_ago[i]),
                    true,
                    false,
                    true};
        bool known = std::any_of(this->losses.begin(), this->losses.end(), [&](const loss& entry) {
            return entry.confirmed && entry.request.service == key.first && entry.request.fingerprint == key.second &&
                   entry.request.target == remote.request.target;
        });
        if (!known) {
            outcome.changed = true;
            this->losses.push_back(remote);
            auto withdrawn = this->mark_region_failures(now, remote.request.region);
            notices.insert(notices.end(), withdrawn.begin(), withdrawn.end());
        }
    }
    auto found = this->evaluate(now, key);
    notices.insert(notices.end(), found.begin(), found.end());
    return outcome;
}

void quarantine::tick(time_point now) {
    std::erase_if(this->entries, [now](const auto& entry) { return now >= entry.second.expires_at; });
    std::erase_if(this->losses, [now](const loss& entry) {
        return now - entry.at > (entry.confirmed ? quarantine_duration : crash_confirmation_time);
    });
}

std::vector<wire::quarantine_notice_t> quarantine::all(time_point now) const {
    std::vector<wire::quarantine_notice_t> notices;
    for (const auto& [key, entry] : this->entries) {
        if (!entry.withdrawn && now < entry.expires_at) {
            notices.push_back(entry.notice);
            notices.back().expires_in_ms = static_cast<std::uint32_t>((entry.expires_at - now).count());
        }
    }
    return notices;
}

std::size_t quarantine::size(time_point now) const {
    return this->all(now).size();
}

// Marks the losses that belong to the failure of the region, and withdraws quarantines that were decided before the
// failure was recognized.
std::vector<wire::quarantine_notice_t> quarantine::mark_region_failures(time_point now, const std::string& region) {
    std::set<fingerprint_key> changed;
    for (std::size_t first = 0; first < this->losses.size(); ++first) {
        auto in_window = [&, from = this->losses[first].at](const loss& entry) {
            return entry.request.region == region && entry.at >= from && entry.at - from <= region_failure_window;
        };
        std::map<std::uint64_t, std::set<std::string>> by_fingerprint;
        std::set<std::string> targets;
        for (const auto& entry : this->losses) {
            if (in_window(entry)) {
                by_fingerprint[entry.request.fingerprint].insert(entry.request.target);
                targets.insert(entry.request.target);
            }
        }
        // A single fingerprint that was in flight on every lost target explains the losses without a region failure.
        bool explained = std::any_of(by_fingerprint.begin(), by_fingerprint.end(),
                                     [&](const auto& group) { return group.second.size() == targets.size(); });
        if (explained || std::min(by_fingerprint.size(), targets.size()) < region_failure_fingerprints) {
            continue;
        }
        for (auto& entry : this->losses) {
            if (in_window(entry) && !entry.region_failed) {
                entry.region_failed = true;
                changed.insert({entry.request.service, entry.request.fingerprint});
            }
        }
    }
    std::vector<wire::quarantine_notice_t> notices;
    for (const auto& key : changed) {
        auto entry = this->entries.find(key);
        bool decided = entry != this->entries.end() && !entry->second.withdrawn;
        if (decided && this->confirmed_crashes(key).size() < quarantine_crash_threshold) {
            notices.push_back(entry->second.notice);
            notices.back().expires_in_ms = 0;
            entry->second = {now + quarantine_duration, notices.back(), true};
        }
    }
    return notices;
}

// Reports a newly confirmed crash by the fingerprint, and quarantines it after the second target.
std::vector<wire::quarantine_notice_t> quarantine::evaluate(time_point now, const fingerprint_key& key) {
    auto confirmed = this->confirmed_crashes(key);
    if (confirmed.empty()) {
        return {};
    }
    if (confirmed.size() >= quarantine_crash_threshold) {
        if (this->quarantined(now, key.first, key.second)) {
            return {};
        }
        auto notice = notice_of(now, confirmed, quarantine_duration);
        quarantined_entry& entry = this->entries[key];
        notice.version = entry.notice.version + 1;
        entry = {now + quarantine_duration, notice, false};
        return {notice};
    }
    if (confirmed.front()->remote) {
        return {};
    }
    return {notice_of(now, confirmed, quarantine_duration)};
}

// Confirmed crashes of distinct targets, without those that are part of a region failure.
std::vector<const quarantine::loss*> quarantine::confirmed_crashes(const fingerprint_key& key) const {
    std::vector<const loss*> found;
    for (const auto& entry : this->losses) {
        bool counts = entry.confirmed && !entry.region_failed && entry.request.service == key.first &&
                      entry.request.fingerprint == key.second;
        bool repeated = std::any_of(found.begin(), found.end(),
                                    [&](const loss* other) { return other->request.target == entry.request.target; });
        if (counts && !repeated) {
            found.push_back(&entry);
        }
    }
    return found;
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
