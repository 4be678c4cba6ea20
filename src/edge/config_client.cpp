#include "persimmongrade/config_client.h"

#include <algorithm>

namespace persimmongrade {

namespace {

constexpr duration forget_pings_after = ms(10000);

// Replaces or adds each item by its key.
template <typename Item, typename Key>
void merge_items(std::vector<std::unique_ptr<Item>>& items, const std::vector<std::unique_ptr<Item>>& changed,
                 Key key) {
    for (const auto& item : changed) {
        auto copy = std::make_unique<Item>(*item);
        auto found = std::find_if(items.begin(), items.end(),
                                  [&](const auto& existing) { return key(*existing) == key(*item); });
        if (found != items.end()) {
            *found = std::move(copy);
        } else {
            items.push_back(std::move(copy));
        }
    }
}

template <typename Item, typename Matches>
void remove_items(std::vector<std::unique_ptr<Item>>& items, Matches matches) {
    std::erase_if(items, [&](const auto& item) { return matches(*item); });
}

bool contains(const std::vector<std::string>& names, const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

wire::configuration_t apply_delta(const wire::configuration_t& base, const wire::configuration_delta_t& delta) {
    wire::configuration_t result;
    if (!delta.full) {
        result = base;
    }
    result.revision = delta.revision;
    auto assignment_key = [](const wire::assignment_t& item) { return std::pair(item.service, item.caller_region); };
    remove_items(result.records, [&](const auto& item) { return contains(delta.withdrawn_records, item.name); });
    remove_items(result.drains, [&](const auto& item) { return contains(delta.cancelled_drains, item.target); });
    for (const auto& removed : delta.removed_assignments) {
        remove_items(result.assignments,
                     [&](const auto& item) { return assignment_key(item) == assignment_key(*removed); });
    }
    merge_items(result.records, delta.changed_records, [](const auto& item) { return item.name; });
    merge_items(result.drains, delta.changed_drains, [](const auto& item) { return item.target; });
    merge_items(result.assignments, delta.changed_assignments, assignment_key);
    return result;
}

config_client::config_client(config_client_options options)
    : options(std::move(options)), current(std::make_shared<const wire::configuration_t>()) {}

config_actions config_client::ping(time_point now, wire::edge_ping_t content) {
    content.edge = this->options.edge;
    content.incarnation = this->options.incarnation;
    content.sequence = content.sequence == 0 ? this->last_sequence + 1 : content.sequence;
    content.applied_revision = this->revision();
    this->last_sequence = content.sequence;
    this->sent_at[content.sequence] = now;
    std::erase_if(this->sent_at, [&](const auto& entry) { return entry.second + forget_pings_after < now; });

    if (now >= this->leader_heard_at + this->options.leader_silence) {
        this->leader_id.clear();
    }
    config_actions actions;
    for (const std::string& id : this->options.control) {
        if (this->leader_id.empty() || id == this->leader_id) {
            wire::messageUnion message;
            message.Set(wire::edge_ping_t(content));
            actions.messages.push_back({id, std::move(message)});
        }
    }
    this->request_full_copy_when_behind(now, actions);
    return actions;
}

config_actions config_client::receive(time_point now, const std::string& from, const wire::edge_pong_t& pong) {
    auto sent = this->sent_at.find(pong.sequence);
    bool usable = sent != this->sent_at.end() && this->is_control(from) && pong.term >= this->leader_term &&
                  pong.incarnation == this->options.incarnation;
    if (!usable) {
        return {};
    }
    this->leader_term = pong.term;
    this->leader_id = from;
    this->leader_heard_at = now;
    this->committed = std::max(this->committed, pong.committed_revision);
    if (pong.config_lease_ms > 0) {
        duration length = std::min(ms(pong.config_lease_ms), this->options.longest_config_lease);
        // The highest committed revision counts, not only that of this pong: pongs may arrive out of order.
        this->extend({holder_expiry(sent->second, length), this->committed});
    }
    config_actions actions;
    actions.pong_accepted = true;
    return actions;
}

config_actions config_client::receive(time_point now, const std::string& from, const wire::not_leader_t& answer) {
    bool current_leader = from == this->leader_id || this->leader_id.empty();
    if (!this->is_control(from) || !current_leader) {
        return {};  // the leader answers for itself; others may not know of it yet
    }
    this->leader_id.clear();
    if (answer.leader != from && this->is_control(answer.leader)) {
        this->leader_id = answer.leader;
        this->leader_heard_at = now;
    }
    return {};
}

config_actions config_client::receive(time_point, const std::string& from, const wire::config_push_t& push) {
    if (!this->is_control(from) || !push.delta) {
        return {};
    }
    return this->apply(from, *push.delta);
}

config_actions config_client::apply(const std::string& from, const wire::configuration_delta_t& delta) {
    if (delta.revision <= this->revision()) {
        return this->acknowledge(from, false);
    }
    if (!delta.full && delta.base_revision != this->revision()) {
        return this->acknowledge(from, true);
    }
    this->current = std::make_shared<const wire::configuration_t>(apply_delta(*this->current, delta));
    if (this->pending) {
        this->extend(*this->pending);
    }
    config_actions actions = this->acknowledge(from, false);
    actions.applied = true;
    return actions;
}

config_actions config_client::receive(time_point now, const std::string& from, const wire::config_part_t& part) {
    if (!this->is_control(from) || part.term < this->leader_term) {
        return {};
    }
    if (part.revision <= this->revision()) {
        return this->acknowledge(from, part, false);
    }
    switch (this->assembler.receive(part)) {
    case part_outcome::ignored:
        return {};
    case part_outcome::stored:
        if (this->behind_since) {
            this->behind_since = now;  // the transfer makes progress
        }
        return this->acknowledge(from, part, false);
    case part_outcome::duplicate:
        return this->acknowledge(from, part, false);
    case part_outcome::corrupt:
        return this->acknowledge(from, part, true);
    case part_outcome::complete:
        break;
    }
    config_actions actions = this->apply(from, *this->assembler.take());
    actions.messages = std::move(this->acknowledge(from, part, !actions.applied).messages);
    return actions;
}

void config_client::extend(const pending_extension& extension) {
    if (this->revision() < extension.committed_revision) {
        this->pending = extension;
        return;
    }
    this->lease_expires_at = std::max(this->lease_expires_at, extension.expires_at);
    this->pending.reset();
}

bool config_client::is_control(const std::string& id) const {
    return contains(this->options.control, id);
}

config_actions config_client::acknowledge(const std::string& to, bool need_full) const {
    wire::config_ack_t ack;
    ack.edge = this->options.edge;
    ack.revision = this->revision();
    ack.need_full = need_full;
    ack.incarnation = this->options.incarnation;
    config_actions actions;
    wire::messageUnion message;
    message.Set(std::move(ack));
    actions.messages.push_back({to, std::move(message)});
    return actions;
}

config_actions config_client::acknowledge(const std::string& to, const wire::config_part_t& part,
                                          bool need_full) const {
    config_actions actions = this->acknowledge(to, need_full);
    wire::config_ack_t& ack = *actions.messages.front().message.Asconfig_ack();
    ack.transfer = part.transfer;
    ack.part = part.part;
    return actions;
}

// The leader pushes on its own when a ping shows an old revision; this covers pushes that keep getting lost.
void config_client::request_full_copy_when_behind(time_point now, config_actions& actions) {
    if (this->revision() >= this->committed) {
        this->behind_since.reset();
        return;
    }
    if (!this->behind_since) {
        this->behind_since = now;
    }
    if (this->leader_id.empty() || now < *this->behind_since + this->options.full_copy_after) {
        return;
    }
    this->behind_since = now;
    actions.messages.push_back(std::move(this->acknowledge(this->leader_id, true).messages.front()));
}

}  // namespace persimmongrade
