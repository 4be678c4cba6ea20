// Message queueing of the consensus core, shared by its source files.

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

// Queues a message that may be sent before the sync. Replication may overlap with the leader's own sync, because the
// leader counts its own copy only after log_synced. While the term or vote is not yet persisted, the message is sent
// after the sync instead.
template <typename Message>
void consensus::send_early(const std::string& to, Message message) {
    if (this->hard != this->reported_hard_state) {
        this->send(to, std::move(message));
        return;
    }
    auto& slot = this->pending.early_messages.emplace_back();
    slot.to = to;
    slot.body.Set(std::move(message));
}

}  // namespace persimmongrade
