#include "server_state.h"

#include <algorithm>
#include <utility>

#include "persimmongrade/log.h"
#include "persimmongrade/member_links.h"
#include "persimmongrade/settings.h"

namespace persimmongrade {

// The sender may be no member any more, so it is connected by the settings.
void control_server::impl::answer_bootstrap(const std::string& from, const wire::bootstrap_request_t& request) {
    auto known = std::find_if(this->settings.control.begin(), this->settings.control.end(),
                              [&](const auto& peer) { return peer->id == from; });
    if (known == this->settings.control.end()) {
        return;
    }
    if (!this->peers.send(from, this->bootstrap_confirmations.answer(from, request))) {
        this->peers.add_peer(from, ip_address::parse((*known)->address));  // answers the next request
    }
}

const wire::peer_settings_t* control_server::impl::control_at(const std::string& peer_address) const {
    for (const auto& peer : this->settings.control) {
        if (peer->address == peer_address) {
            return peer.get();
        }
    }
    return nullptr;
}

const wire::voter_t* control_server::impl::member(const std::string& id) const {
    for (const auto& voter : this->log.voters().voters) {
        if (voter->id == id) {
            return voter.get();
        }
    }
    return nullptr;
}

// The name that edges and operators know a member by. The id of a member whose disk was lost differs from it.
std::string control_server::impl::name_of(const std::string& id) const {
    const wire::voter_t* found = this->member(id);
    const wire::peer_settings_t* peer = found == nullptr ? nullptr : this->control_at(found->address);
    return peer == nullptr ? id : peer->id;
}

void control_server::impl::members_changed() {
    update_member_connections(
        this->peers, this->connected, other_members(this->log.voters(), this->log.id()),
        [this](const std::string& id, const std::string& address) {
            const wire::peer_settings_t* peer = this->control_at(address);
            this->peers.add_peer(id, ip_address::parse(address),
                                 peer == nullptr ? duration::zero()
                                                 : simulated_delay(this->settings.simulated_latency, peer->region));
        });
    log_info("members changed", field("members", this->log.voters().voters.size()));
}

// A process that is no member (its disk is new) asks the others in turn to be added. Only the leader answers.
void control_server::impl::ask_to_join() {
    if (this->log.is_member() || this->is_stopping || this->log.failed()) {
        return;
    }
    const auto& peer = *this->settings.control[this->next_to_ask++ % this->settings.control.size()];
    if (peer.id == this->settings.id) {
        return;
    }
    nlohmann::json body = {
        {"id", this->log.id()}, {"name", this->settings.id}, {"address", this->settings.peer_address}};
    http_call call{ip_address::parse(this->http_address_of(peer.id)), "POST", "/v1/members", {}, body.dump()};
    call.reuse_connection = false;
    log_info("asking to be added to the voters", field("peer", peer.id), field("id", this->log.id()));
    auto finished = std::make_shared<bool>(false);
    call_id id = this->client.send(std::move(call), [finished](const http_call_result&) { *finished = true; });
    this->loop.after(join_interval, [this, id, finished] {
        if (!*finished) {
            this->client.cancel(id);
        }
    });
}

// Adds a member that is at first non-voting; consensus promotes it once it has caught up, and then removes the
// member of the same name.
void control_server::impl::post_member(const http_request& request, const exchange_pointer& exchange) {
    auto asked = parse_member(request.body);
    bool valid =
        asked && this->control_at(asked->address) != nullptr && this->control_at(asked->address)->id == asked->name;
    if (!valid) {
        this->refuse(exchange, operator_error::bad_request, "the body must name a control process of the settings");
        return;
    }
    membership_change change;
    change.member.id = asked->id;
    change.member.address = asked->address;
    change.member.voting = false;
    for (const auto& voter : this->log.voters().voters) {
        if (voter->id == asked->id) {
            exchange->respond(json_answer(200, {{"status", "member"}}));
            return;
        }
        if (voter->address == asked->address) {
            change.member.replaces = voter->id;
        }
    }
    // A process that was started with wrong settings must not take the place of a member that works.
    bool replaces_live = change.member.replaces == this->log.id() ||
                         this->log.is_recently_active(this->loop.now(), change.member.replaces);
    if (replaces_live) {
        this->refuse(exchange, operator_error::unavailable,
                     "member " + change.member.replaces + " answers; only a member that is lost can be replaced");
        return;
    }
    try {
        this->log.change_voters(this->loop.now(), change);
        log_info("member added", field("id", asked->id), field("replaces", change.member.replaces));
        exchange->respond(json_answer(202, {{"status", "adding"}}));
    } catch (const error& failure) {  // not_leader_error, membership_busy_error, membership_error
        this->refuse(exchange, operator_error::unavailable, failure.what());
    }
}

// The HTTP address of a control process. Without one in the settings, the leader is assumed to listen on the port
// that this process uses.
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
