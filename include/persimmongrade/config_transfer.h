// Transfer of a configuration change that is too large for one message, in parts. Pure: time is an argument.
//
//     leader:  config_transfer transfer(options, {term, number}, revision, encode_delta(delta));
//              for (std::uint32_t part : transfer.due(now)) { send(transfer.message(part)); }
//              transfer.acknowledge(part);
//     edge:    if (assembler.receive(part) == part_outcome::complete) { apply(assembler.take()); }
//
// A transfer is named by the leader's term and a number that rises within it, and its content never changes. The edge
// collects the parts of one transfer only: a part of a newer transfer discards what it has of an older one, and parts
// of older transfers are ignored. Parts may be lost, repeated and reordered.

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
inline constexpr std::uint32_t max_config_parts = 1024;  // bounds what an edge collects: 1 GiB

struct config_transfer_options {
    std::size_t part_bytes = max_config_part_bytes;
    std::size_t parts_in_flight = 2;  // keeps the link busy during one round trip without filling its queue
    duration resend_after = ms(500);  // doubled with each resend in a row
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
// Null when the bytes are no delta; any bytes are allowed.
std::unique_ptr<wire::configuration_delta_t> decode_delta(const std::vector<std::uint8_t>& bytes);

// The leader's side of one transfer to one edge.
class config_transfer {
public:
    config_transfer(const config_transfer_options& options, transfer_id name, std::uint64_t revision,
                    encoded_delta content);

    std::vector<std::uint32_t> take_due_parts(time_point now);  // parts to send now; counts them as sent
    void acknowledge(std::uint32_t part, time_point now);
    wire::config_part_t message(std::uint32_t part) const;

    std::uint64_t number() const noexcept { return this->name.number; }
    std::uint64_t revision() const noexcept { return this->target; }
    bool has_apply_timed_out(time_point now) const;  // all parts were acknowledged some time ago; the edge lost them

private:
    config_transfer_options options;
    transfer_id name;
    std::uint64_t target;
    encoded_delta content;
    std::uint64_t checksum;
    std::uint32_t parts;
    std::uint32_t next = 0;                          // first part that was never sent
    std::map<std::uint32_t, time_point> unanswered;  // when each was last sent
    duration resend_wait;
    time_point last_answer{};
};

enum class part_outcome : std::uint8_t { ignored, stored, duplicate, complete, corrupt };

// The edge's side.
class config_assembler {
public:
    // A transfer that was assembled is `damaged` for all its later parts; the owner knows whether it was applied.
    part_outcome receive(const wire::config_part_t& part);
    std::unique_ptr<wire::configuration_delta_t> take();  // after `complete`, once

private:
    void restart(const wire::config_part_t& part);
    bool fits(const wire::config_part_t& part) const;
    part_outcome assemble();

    transfer_id name;  // of the newest transfer seen
    std::uint64_t revision = 0;
    std::uint64_t checksum = 0;
    std::vector<std::optional<std::vector<std::uint8_t>>> parts;  // empty: nothing is being collected
    std::size_t missing = 0;
    std::unique_ptr<wire::configuration_delta_t> result;
};

}  // namespace persimmongrade
