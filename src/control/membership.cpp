#include "server_state.h"

#include <algorithm>
#include <utility>

#include "persimmongrade/log.h"
#include "persimmongrade/member_links.h"
#include "persimmongrade/settings.h"

namespace persimmongrade {

// The sender may no longer be a member, so its address comes from the settings.
void control_server::impl::answer_bootstrap(const std::string& from, const wire::bootstrap_request_t& request) {
    auto configured_peer = std::find_if(this->settings.control.begin(), this->settings.control.end(),
                                        [&](const auto& peer) { return peer->id == from; });
    if (configured_peer == this->settings.control.end()) {
        return;
    }
    if (!this->peers.send(from, this->bootstrap_confirmations.answer(from, request))) {
        this->peers.add_peer(from, ip_address::parse((*configured_peer)->address));  // the next request is answered
    }
}

const wire::peer_settings_t* control_server::impl::find_control_by_address(const std::string& peer_address) const {
    for (const auto& peer : this->settings.control) {
        if (peer->address == peer_address) {
            return peer.get();
        }
    }
    return nullptr;
}

const wire::voter_t* control_server::impl::find_member(const std::string& id) const {
    for (const auto& voter : this->log.voters().voters) {
        if (voter->id == id) {
            return voter.get();
        }
    }
    return nullptr;
}

// The name under which edges and operators know a member: its id in the settings. The id of a member that joined again
// after losing its disk differs from it.
std::string control_server::impl::name_of(const std::string& id) const {
    const wire::voter_t* found = this->find_member(id);
    const wire::peer_settings_t* peer = found == nullptr ? nullptr : this->find_control_by_address(found->address);
    return peer == nullptr ? id : peer->id;
}

void control_server::impl::members_changed() {
    update_member_connections(
        this->peers, this->connected, other_members(this->log.voters(), this->log.id()),
        [this](const std::string& id, const std::string& address) {
            const wire::peer_settings_t* peer = this->find_control_by_address(address);
            this->peers.add_peer(id, ip_address::parse(address),
                                 peer == nullptr ? duration::zero()
                                                 : simulated_delay(this->settings.simulated_latency, peer->region));
        });
    log_info("voter set changed", field("members", this->log.voters().voters.size()));
}

// A process that is not a member, because its disk is new, sends join requests to the others in turn. Only the leader
// answers.
void control_server::impl::send_join_request() {
    if (this->log.is_member() || this->is_stopping || this->log.failed()) {
        return;
    }
    const auto& peer = *this->settings.control[this->next_join_candidate++ % this->settings.control.size()];
    if (peer.id == this->settings.id) {
        return;
    }
    nlohmann::json body = {
        {"id", this->log.id()}, {"name", this->settings.id}, {"address", this->settings.peer_address}};
    http_call call{ip_address::parse(this->http_address_of(peer.id)), "POST", "/v1/members", {}, body.dump()};
    call.reuse_connection = false;
    log_info("requesting to be added to the voters", field("peer", peer.id), field("id", this->log.id()));
    auto is_finished = std::make_shared<bool>(false);
    call_id id = this->client.send(std::move(call), [is_finished](const http_call_result&) { *is_finished = true; });
    this->loop.after(join_interval, [this, id, is_finished] {
        if (!*is_finished) {
            this->client.cancel(id);
        }
    });
}

// Adds a non-voting member. Consensus promotes it to a voter when it has caught up, and then removes the member that it
// replaces.
void control_server::impl::post_member(const http_request& request, const exchange_pointer& exchange) {
    auto requested_member = parse_member(request.body);
    bool is_valid = requested_member && this->find_control_by_address(requested_member->address) != nullptr &&
                    this->find_control_by_address(requested_member->address)->id == requested_member->name;
    if (!is_valid) {
        this->refuse(exchange, operator_error::bad_request, "the body must name a control process of the settings");
        return;
    }
    membership_change change;
    change.member.id = requested_member->id;
    change.member.address = requested_member->address;
    change.member.voting = false;
    for (const auto& voter : this->log.voters().voters) {
        if (voter->id == requested_member->id) {
            exchange->respond(json_answer(200, {{"status", "member"}}));
            return;
        }
        if (voter->address == requested_member->address) {
            change.member.replaces = voter->id;
        }
    }
    // A process that was started with wrong settings must not replace a working member.
    bool is_replaced_alive = change.member.replaces == this->log.id() ||
                             this->log.is_recently_active(this->loop.now(), change.member.replaces);
    if (is_replaced_alive) {
        this->refuse(exchange, operator_error::unavailable,
                     "member " + change.member.replaces + " answers; only a member that is lost can be replaced");
        return;
    }
    try {
        this->log.change_voters(this->loop.now(), change);
        log_info("member added", field("id", requested_member->id), field("replaces", change.member.replaces));
        exchange->respond(json_answer(202, {{"status", "adding"}}));
    } catch (const error& failure) {  // not_leader_error, membership_busy_error, membership_error
        this->refuse(exchange, operator_error::unavailable, failure.what());
    }
}

// The HTTP address of a control process. Without one in the settings, the process is assumed to use the same HTTP port
// as this one.
std::string control_server::impl::http_address_of(const std::string& id) const {
    for (const auto& peer : this->settings.control) {
        if (peer->id != id) {
            continue;
        }
        if (!peer->http_address.empty()) {
            return peer->http_address;
        }
        return with_port(peer->address, ip_address::parse(this->settings.http_address).port);
    }
    return {};
}

}  // namespace persimmongrade
