#include "persimmongrade/config_transfer.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace persimmongrade {

namespace {

constexpr flatbuffers::uoffset_t max_verified_depth = 64;
constexpr flatbuffers::uoffset_t max_verified_tables = 100'000'000;  // a full configuration contains all client blocks

std::uint64_t checksum_of(const std::vector<std::uint8_t>& bytes) {
    return XXH64(bytes.data(), bytes.size(), 0);
}

}  // namespace

encoded_delta encode_delta(const wire::configuration_delta_t& delta) {
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::configuration_delta::Pack(builder, &delta));
    return std::make_shared<const std::vector<std::uint8_t>>(builder.GetBufferPointer(),
                                                             builder.GetBufferPointer() + builder.GetSize());
}

std::unique_ptr<wire::configuration_delta_t> decode_delta(const std::vector<std::uint8_t>& bytes) {
    flatbuffers::Verifier verifier(bytes.data(), bytes.size(), max_verified_depth, max_verified_tables);
    if (bytes.empty() || !verifier.VerifyBuffer<wire::configuration_delta>(nullptr)) {
        return nullptr;
    }
    return std::unique_ptr<wire::configuration_delta_t>(
        flatbuffers::GetRoot<wire::configuration_delta>(bytes.data())->UnPack());
}

// ---- Leader ----

config_transfer::config_transfer(const config_transfer_options& options, transfer_id name, std::uint64_t revision,
                                 encoded_delta content)
    : options(options), name(name), target_revision(revision), content(std::move(content)),
      checksum(checksum_of(*this->content)),
      parts(static_cast<std::uint32_t>((this->content->size() + options.part_bytes - 1) / options.part_bytes)),
      resend_delay(options.resend_after) {}

std::vector<std::uint32_t> config_transfer::take_due_parts(time_point now) {
    std::vector<std::uint32_t> result;
    for (auto& [part, sent_at] : this->unacknowledged) {
        if (now >= sent_at + this->resend_delay) {
            sent_at = now;
            result.push_back(part);
        }
    }
    if (!result.empty()) {
        this->resend_delay = std::min(this->resend_delay * 2, this->options.max_resend_after);
    }
    while (this->next_unsent_part < this->parts && this->unacknowledged.size() < this->options.parts_in_flight) {
        result.push_back(this->next_unsent_part);
        this->unacknowledged[this->next_unsent_part++] = now;
    }
    return result;
}

void config_transfer::acknowledge(std::uint32_t part, time_point now) {
    if (this->unacknowledged.erase(part) > 0) {
        this->resend_delay = this->options.resend_after;
        this->last_ack_at = now;
    }
}

wire::config_part_t config_transfer::message(std::uint32_t part) const {
    wire::config_part_t result;
    result.term = this->name.term;
    result.transfer = this->name.number;
    result.revision = this->target_revision;
    result.part = part;
    result.parts = this->parts;
    result.checksum = this->checksum;
    std::size_t begin = part * this->options.part_bytes;
    std::size_t end = std::min(begin + this->options.part_bytes, this->content->size());
    auto first = this->content->begin();
    result.data.assign(first + static_cast<std::ptrdiff_t>(begin), first + static_cast<std::ptrdiff_t>(end));
    return result;
}

bool config_transfer::has_apply_timed_out(time_point now) const {
    bool all_acknowledged = this->next_unsent_part == this->parts && this->unacknowledged.empty();
    return all_acknowledged && now >= this->last_ack_at + this->options.resend_after;
}

// ---- Edge ----

part_outcome config_assembler::receive(const wire::config_part_t& part) {
    transfer_id received{part.term, part.transfer};
    bool valid = part.parts > 0 && part.parts <= max_config_parts && part.part < part.parts && !part.data.empty() &&
                 part.data.size() <= max_config_part_bytes;
    if (!valid || received < this->name) {
        return part_outcome::ignored;
    }
    if (received > this->name) {
        this->restart(part);
    } else if (this->parts.empty()) {
        return part_outcome::corrupt;  // already assembled, without success; the acknowledgement may have been lost
    }
    if (!this->belongs_to_current_transfer(part)) {
        return part_outcome::ignored;
    }
    auto& slot = this->parts[part.part];
    if (slot) {
        return part_outcome::duplicate;
    }
    slot = part.data;
    return --this->missing_parts == 0 ? this->assemble() : part_outcome::stored;
}

void config_assembler::restart(const wire::config_part_t& part) {
    this->name = {part.term, part.transfer};
    this->revision = part.revision;
    this->checksum = part.checksum;
    this->parts.assign(part.parts, std::nullopt);
    this->missing_parts = part.parts;
    this->result.reset();
}

// Whether the metadata of the part matches the transfer that is being collected.
bool config_assembler::belongs_to_current_transfer(const wire::config_part_t& part) const {
    return part.parts == this->parts.size() && part.revision == this->revision && part.checksum == this->checksum;
}

part_outcome config_assembler::assemble() {
    std::vector<std::uint8_t> bytes;
    for (const auto& part : std::exchange(this->parts, {})) {
        bytes.insert(bytes.end(), part->begin(), part->end());
    }
    this->result = checksum_of(bytes) == this->checksum ? decode_delta(bytes) : nullptr;
    bool intact = this->result != nullptr && this->result->revision == this->revision;
    return intact ? part_outcome::complete : part_outcome::corrupt;
}

std::unique_ptr<wire::configuration_delta_t> config_assembler::take() {
    return std::move(this->result);
}

}  // namespace persimmongrade
