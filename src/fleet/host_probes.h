// Probes whether the hosts of silent voters accept connections.
//
//     host_probes probes(loop);
//     probes.start(voter.id, ip_address::parse(voter.address));  // as long as the voter is silent
//     const host_probe* probe = probes.find(voter.id);           // later

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "persimmongrade/address.h"
#include "persimmongrade/event_loop.h"
#include "voter_admission.h"

namespace persimmongrade {

class host_probes {
public:
    explicit host_probes(event_loop& loop) : loop(loop) {}

    // No effect while a probe of the voter is running, or shortly after one.
    void start(const std::string& id, const ip_address& address);
    const host_probe* find(const std::string& id) const;  // the newest one that has ended, or null
    void clear() { this->probes = std::make_shared<probes_by_id>(); }

private:
    struct entry {
        std::optional<time_point> running_since;
        std::optional<host_probe> ended;
    };
    using probes_by_id = std::map<std::string, entry>;

    event_loop& loop;
    std::shared_ptr<probes_by_id> probes = std::make_shared<probes_by_id>();  // callbacks may outlive this object
};

}  // namespace persimmongrade
