// How the consensus core queues messages; shared by its source files.

#pragma once

#include <string>
#include <utility>

#include "persimmongrade/consensus.h"

namespace persimmongrade {

template <typename Message>
void consensus::send(const std::string& to, Message message) {
    auto& slot = this->pending.messages.emplace_back();
    slot.to = to;
    slot.body.Set(std::move(message));
}

// Replication may overlap with the leader's own sync, because the leader counts itself only after log_synced. A term
// that has not been persisted must not become visible, though.
template <typename Message>
void consensus::send_early(const std::string& to, Message message) {
    if (this->hard != this->reported_hard) {
        this->send(to, std::move(message));
        return;
    }
    auto& slot = this->pending.early_messages.emplace_back();
    slot.to = to;
    slot.body.Set(std::move(message));
}

}  // namespace persimmongrade
