// Stand-in for the consensus driver: one process that commits every proposal at once and keeps nothing on disk.

#pragma once

#include <functional>
#include <string>
#include <vector>

#include "messages_generated.h"
#include "persimmongrade/clock.h"

namespace persimmongrade {

template <typename Host>
class single_voter {
public:
    single_voter(Host& host, std::string id) : host(host), own_id(std::move(id)) {}

    const std::string& id() const { return this->own_id; }
    bool is_leader() const { return true; }
    bool can_serve_reads(time_point) const { return true; }
    const std::string& leader_id() const { return this->own_id; }
    std::uint64_t term() const { return 1; }
    void tick(time_point) {}
    void receive(time_point, const std::string&, const wire::messageUnion&) {}
    bool transfer_leadership(time_point) { return false; }

    // Calls appended(first index, term) before any entry is applied.
    template <typename Appended>
    void propose(time_point, std::vector<std::vector<std::uint8_t>> payloads, Appended appended) {
        appended(this->next_index, this->term());
        for (auto& payload : payloads) {
            wire::log_entry_t entry;
            entry.term = this->term();
            entry.index = this->next_index++;
            entry.kind = wire::entry_kind::command;
            entry.payload = std::move(payload);
            this->host.apply_entry(entry);
        }
        this->host.batch_applied();
    }

private:
    Host& host;
    std::string own_id;
    std::uint64_t next_index = 1;
};

}  // namespace persimmongrade
