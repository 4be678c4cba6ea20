// Transfer in parts of a configuration change that is too large for one message. No input or output: time is an
// argument and messages are return values.
//
//     leader:  config_transfer transfer(options, {term, number}, revision, encode_delta(delta));
//              for (std::uint32_t part : transfer.take_due_parts(now)) { send(transfer.message(part)); }
//              transfer.acknowledge(part, now);
//     edge:    if (assembler.receive(part) == part_outcome::complete) { apply(assembler.take()); }
//
// A transfer is identified by the leader's term and a number that increases within the term. Its content never changes.
// The edge collects the parts of one transfer at a time: a part of a newer transfer discards the parts of an older one,
// and parts of older transfers are ignored. Parts may be lost, duplicated and reordered.

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "messages_generated.h"
#include "persimmongrade/clock.h"

namespace persimmongrade {

inline constexpr std::size_t max_config_part_bytes = 1u << 20;
inline constexpr std::uint32_t max_config_parts = 1024;  // bounds the memory for the parts on an edge: 1 GiB

struct config_transfer_options {
    std::size_t part_bytes = max_config_part_bytes;
    std::size_t parts_in_flight = 2;  // enough to keep the link busy for a round trip without filling its queue
    duration resend_after = ms(500);  // doubles with each consecutive resend
    duration max_resend_after = ms(4000);

    auto operator<=>(const config_transfer_options&) const = default;
};

struct transfer_id {
    std::uint64_t term = 0;
    std::uint64_t number = 0;

    auto operator<=>(const transfer_id&) const = default;
};

using encoded_delta = std::shared_ptr<const std::vector<std::uint8_t>>;
encoded_delta encode_delta(const wire::configuration_delta_t& delta);
// Accepts arbitrary bytes. Returns null when they are not a valid delta.
std::unique_ptr<wire::configuration_delta_t> decode_delta(const std::vector<std::uint8_t>& bytes);

// Leader side: one transfer to one edge.
class config_transfer {
public:
    config_transfer(const config_transfer_options& options, transfer_id name, std::uint64_t revision,
                    encoded_delta content);

    std::vector<std::uint32_t> take_due_parts(time_point now);  // parts to send now; they count as sent
    void acknowledge(std::uint32_t part, time_point now);
    wire::config_part_t message(std::uint32_t part) const;

    std::uint64_t number() const noexcept { return this->name.number; }
    std::uint64_t revision() const noexcept { return this->target_revision; }
    // Whether all parts have been acknowledged, the last one at least resend_after ago. An edge that has not applied
    // the revision by then has lost the parts.
    bool has_apply_timed_out(time_point now) const;

private:
    config_transfer_options options;
    transfer_id name;
    std::uint64_t target_revision;
    encoded_delta content;
    std::uint64_t checksum;
    std::uint32_t parts;
    std::uint32_t next_unsent_part = 0;
    std::map<std::uint32_t, time_point> unacknowledged;  // time at which each was last sent
    duration resend_delay;
    time_point last_ack_at{};
};

enum class part_outcome : std::uint8_t { ignored, stored, duplicate, complete, corrupt };

// Edge side: collects the parts of the newest transfer.
class config_assembler {
public:
    // Parts that arrive after their transfer was assembled give `corrupt`, also when the assembly succeeded. The caller
    // knows whether the configuration was applied.
    part_outcome receive(const wire::config_part_t& part);
    std::unique_ptr<wire::configuration_delta_t> take();  // call once, after `complete`

private:
    void restart(const wire::config_part_t& part);
    bool belongs_to_current_transfer(const wire::config_part_t& part) const;
    part_outcome assemble();

    transfer_id name;  // of the newest transfer seen
    std::uint64_t revision = 0;
    std::uint64_t checksum = 0;
    std::vector<std::optional<std::vector<std::uint8_t>>> parts;  // empty: no transfer is being collected
    std::size_t missing_parts = 0;
    std::unique_ptr<wire::configuration_delta_t> result;
};

}  // namespace persimmongrade
