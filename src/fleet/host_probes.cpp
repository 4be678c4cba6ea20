#include "host_probes.h"

#include "persimmongrade/connect_probe.h"
#include "persimmongrade/event_log.h"

namespace persimmongrade {

namespace {

constexpr duration connect_timeout = ms(250);  // several round trips between regions

}  // namespace

void host_probes::start(const std::string& id, const ip_address& address) {
    time_point started_at = this->loop.now();
    const host_probe* newest = this->find(id);
    if (newest != nullptr && started_at - newest->started_at <= host_probe_lifetime) {
        return;
    }
    (*this->probes)[id] = {started_at, std::nullopt};
    std::weak_ptr<probes_by_id> results = this->probes;
    probe_connection(this->loop, address, connect_timeout, [results, id, started_at](probe_result result) {
        auto probes = results.lock();
        if (probes == nullptr || !probes->contains(id) || probes->at(id).started_at != started_at) {
            return;
        }
        bool accepts = result == probe_result::connected;
        probes->at(id).accepts = accepts;
        log_event("voter_host_probed", field("id", id), field("accepts", accepts));
    });
}

const host_probe* host_probes::find(const std::string& id) const {
    auto found = this->probes->find(id);
    return found == this->probes->end() ? nullptr : &found->second;
}

}  // namespace persimmongrade
