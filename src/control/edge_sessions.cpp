#include "server_state.h"

#include <algorithm>
#include <utility>

namespace persimmongrade {

// Updates the distributor's leader authority; returns whether this process is serving.
bool control_server::impl::refresh_authority() {
    time_point now = this->loop.now();
    bool serving = this->log.can_serve_reads(now);
    this->distributor.set_authority(now, unix_time_ms(),
                                    {serving, this->name_of(this->log.leader_id()), this->log.term()});
    this->leader_gauge.Set(serving ? 1 : 0);
    this->term_gauge.Set(static_cast<double>(this->log.term()));
    return serving;
}

void control_server::impl::distribute() {
    this->refresh_authority();
    time_point now = this->loop.now();
    this->send_all(this->distributor.tick(now));
    this->sync_granter(now);
    this->expire_submissions(now);
    this->expire_watches(now);
}

// Passes the revision that the distributor has published to the granter, and starts a new term of the granter and the
// shift controller.
void control_server::impl::sync_granter(time_point now) {
    if (!this->distributor.serving()) {
        return;
    }
    if (this->granter.revision() != this->distributor.published_revision()) {
        this->apply_to_granter(now);
    }
    if (this->granter_term != this->distributor.term()) {
        this->granter_term = this->distributor.term();
        this->granter.become_leader(this->granter_term, now);
        this->shifts.become_leader(now);
    }
}

void control_server::impl::answer_ping(time_point now, const wire::edge_ping_t& ping) {
    wire::edge_pong_t pong;
    if (this->refresh_authority()) {
        this->distributor.publish_if_due(now);
        this->sync_granter(now);
        try {
            pong = this->granter.answer(ping, now);
        } catch (const unknown_edge_error& failure) {
            this->unknown_edge_pings.Increment();
            return;
        }
        this->record_measurements(now, ping);
    }
    this->send_all(this->distributor.on_ping(now, ping, std::move(pong)));
    this->sync_granter(now);
}

void control_server::impl::send_all(std::vector<peer_message> messages) {
    for (peer_message& message : messages) {
        this->peers.send_message(message.to, std::move(message.body));
    }
}

// FlatBuffers verification does not require nested tables to be present.
bool control_server::impl::is_complete(const wire::edge_ping_t& ping) {
    return std::all_of(ping.demands.begin(), ping.demands.end(),
                       [](const auto& demand) { return demand->resource != nullptr; });
}

void control_server::impl::receive(const wire::envelope_t& envelope) {
    time_point now = this->loop.now();
    if (const auto* ping = envelope.body.Asedge_ping()) {
        if (!is_complete(*ping)) {
            this->bad_pings.Increment();
            return;
        }
        this->answer_ping(now, *ping);
    } else if (const auto* ack = envelope.body.Asconfig_ack()) {
        this->refresh_authority();
        this->send_all(this->distributor.on_ack(now, *ack));
        this->sync_granter(now);
    } else if (const auto* request = envelope.body.Asbootstrap_request()) {
        this->answer_bootstrap(envelope.from, *request);
    } else {
        this->log.receive(now, envelope.from, envelope.body);
    }
}

}  // namespace persimmongrade
