#include "host_probes.h"

#include "persimmongrade/connect_probe.h"
#include "persimmongrade/event_log.h"

namespace persimmongrade {

namespace {

constexpr duration connect_timeout = ms(250);  // several round trips between regions
constexpr duration probe_interval = ms(500);   // well below host_probe_lifetime: a result is always at hand

}  // namespace

void host_probes::start(const std::string& id, const ip_address& address) {
    time_point now = this->loop.now();
    entry& known = (*this->probes)[id];
    if (known.running_since || (known.ended && now - known.ended->started_at < probe_interval)) {
        return;
    }
    known.running_since = now;
    std::weak_ptr<probes_by_id> results = this->probes;
    probe_connection(this->loop, address, connect_timeout, [results, id](probe_result result) {
        if (auto probes = results.lock()) {
            entry& probed = probes->at(id);
            host_probe ended{*probed.running_since, result == probe_result::connected};
            if (!probed.ended || probed.ended->accepts != ended.accepts) {
                log_event("voter_host_probed", field("id", id), field("accepts", ended.accepts));
            }
            probed = {std::nullopt, ended};
        }
    });
}

const host_probe* host_probes::find(const std::string& id) const {
    auto found = this->probes->find(id);
    return found == this->probes->end() || !found->second.ended ? nullptr : &*found->second.ended;
}

}  // namespace persimmongrade
