// Errors, encoding and decoding of each file, log_replay, and helpers of log_storage. The file formats are described in
// docs/protocols.md.

#include "persimmongrade/log_storage.h"

#include <xxhash.h>

#include <cstdio>
#include <cstring>

#include "voter_sets.h"

namespace persimmongrade {

// ---- Errors ----

file_error::file_error(const std::string& operation, const std::string& path, int code)
    : storage_error(operation + " " + path + ": " + std::strerror(code)), code(code) {}

log_corrupt::log_corrupt(std::string file, std::uint64_t offset, const std::string& reason)
    : storage_error("log_corrupt: " + file + " at byte " + std::to_string(offset) + ": " + reason),
      file(std::move(file)), offset(offset) {}

// ---- Bytes ----

namespace {

constexpr std::uint32_t format_version = 1;  // in the header of every file
constexpr std::size_t magic_bytes = 4;
constexpr std::size_t checksum_bytes = 8;
constexpr std::size_t segment_header_bytes = 24;
constexpr std::size_t batch_header_bytes = 40;
constexpr const char* identity_magic = "PGID";
constexpr const char* hard_state_magic = "PGHS";
constexpr const char* snapshot_magic = "PGSN";
constexpr const char* segment_magic = "PGLG";
constexpr const char* batch_magic = "PGBT";

std::uint64_t checksum_of(byte_view data, std::uint64_t seed = 0) {
    return XXH64(data.data(), data.size(), seed);
}

// Appends little-endian numbers and length-prefixed bytes.
class byte_writer {
public:
    byte_string bytes;

    template <typename Number>
    void number(Number value) {
        for (std::size_t i = 0; i < sizeof(Number); ++i) {
            this->bytes.push_back(static_cast<std::uint8_t>(static_cast<std::uint64_t>(value) >> (8 * i)));
        }
    }

    void raw(const void* data, std::size_t size) {
        const auto* begin = static_cast<const std::uint8_t*>(data);
        this->bytes.insert(this->bytes.end(), begin, begin + size);
    }

    void text(const std::string& value) {
        this->number(static_cast<std::uint32_t>(value.size()));
        this->raw(value.data(), value.size());
    }

    void file_header(const char* magic) {
        this->raw(magic, magic_bytes);
        this->number(format_version);
    }

    void checksum(std::uint64_t seed = 0) { this->number(checksum_of(this->bytes, seed)); }
};

// Reads the output of byte_writer. Throws log_corrupt when the data ends early.
class byte_reader {
public:
    byte_reader(std::string file, byte_view data) : file(std::move(file)), data(data) {}

    [[noreturn]] void fail(const std::string& reason) const { throw log_corrupt(this->file, this->position, reason); }

    byte_view raw(std::uint64_t size) {
        if (size > this->data.size() - this->position) {
            this->fail("data is truncated");
        }
        auto part = this->data.subspan(this->position, size);
        this->position += size;
        return part;
    }

    template <typename Number>
    Number number() {
        Number value = 0;
        auto part = this->raw(sizeof(Number));
        for (std::size_t i = 0; i < sizeof(Number); ++i) {
            value = static_cast<Number>(value | static_cast<Number>(part[i]) << (8 * i));
        }
        return value;
    }

    std::string text() {
        auto part = this->raw(this->number<std::uint32_t>());
        return {part.begin(), part.end()};
    }

    void file_header(const char* magic) {
        auto found = this->raw(magic_bytes);
        if (std::memcmp(found.data(), magic, magic_bytes) != 0) {
            this->fail("wrong file type");
        }
        auto version = this->number<std::uint32_t>();
        if (version != format_version) {
            this->fail("unknown format version " + std::to_string(version));
        }
    }

    void expect_end() const {
        if (this->position != this->data.size()) {
            this->fail("unexpected data after the end of the content");
        }
    }

    std::size_t position = 0;

private:
    std::string file;
    byte_view data;
};

// Verifies the checksum at the end of a file and returns the bytes before it.
byte_view verify_checksum(const std::string& file, byte_view data) {
    if (data.size() < checksum_bytes) {
        throw log_corrupt(file, data.size(), "data is truncated");
    }
    auto content = data.first(data.size() - checksum_bytes);
    byte_reader tail(file, data.last(checksum_bytes));
    if (tail.number<std::uint64_t>() != checksum_of(content)) {
        throw log_corrupt(file, content.size(), "wrong checksum");
    }
    return content;
}

}  // namespace

// ---- Identity, hard state, snapshot ----

byte_string encode_identity(const member_identity& identity) {
    byte_writer out;
    out.file_header(identity_magic);
    out.text(identity.name);
    out.text(identity.id);
    out.checksum();
    return std::move(out.bytes);
}

member_identity decode_identity(const std::string& file, byte_view data) {
    byte_reader in(file, verify_checksum(file, data));
    in.file_header(identity_magic);
    member_identity identity;
    identity.name = in.text();
    identity.id = in.text();
    in.expect_end();
    return identity;
}

byte_string encode_hard_state(const hard_state& state) {
    byte_writer out;
    out.file_header(hard_state_magic);
    out.number(state.term);
    out.text(state.voted_for);
    out.checksum();
    return std::move(out.bytes);
}

hard_state decode_hard_state(const std::string& file, byte_view data) {
    byte_reader in(file, verify_checksum(file, data));
    in.file_header(hard_state_magic);
    hard_state state;
    state.term = in.number<std::uint64_t>();
    state.voted_for = in.text();
    in.expect_end();
    return state;
}

byte_string encode_snapshot(const snapshot& value) {
    auto voters = encode_voters(value.voters);
    byte_writer out;
    out.bytes.reserve(value.data.size() + voters.size() + 64);
    out.file_header(snapshot_magic);
    out.number(value.last_index);
    out.number(value.last_term);
    out.number(static_cast<std::uint32_t>(voters.size()));
    out.raw(voters.data(), voters.size());
    out.number(static_cast<std::uint64_t>(value.data.size()));
    out.raw(value.data.data(), value.data.size());
    out.checksum();
    return std::move(out.bytes);
}

snapshot decode_snapshot(const std::string& file, byte_view data) {
    byte_reader in(file, verify_checksum(file, data));
    in.file_header(snapshot_magic);
    snapshot value;
    value.last_index = in.number<std::uint64_t>();
    value.last_term = in.number<std::uint64_t>();
    auto encoded = in.raw(in.number<std::uint32_t>());
    auto voters = decode_voters(encoded.data(), encoded.size());
    if (!voters) {
        in.fail("invalid voter set");
    }
    value.voters = std::move(*voters);
    auto content = in.raw(in.number<std::uint64_t>());
    value.data.assign(content.begin(), content.end());
    in.expect_end();
    return value;
}

// ---- Log segments ----

byte_string encode_segment_header(std::uint64_t number) {
    byte_writer out;
    out.file_header(segment_magic);
    out.number(number);
    out.checksum();
    return std::move(out.bytes);
}

byte_string encode_batch(const log_batch& batch, std::uint64_t offset) {
    byte_writer payload;
    for (const auto& entry : batch.entries) {
        payload.number(entry.term);
        payload.number(static_cast<std::uint8_t>(entry.kind));
        payload.number(static_cast<std::uint32_t>(entry.payload.size()));
        payload.raw(entry.payload.data(), entry.payload.size());
    }
    byte_writer out;
    out.bytes.reserve(batch_header_bytes + payload.bytes.size() + checksum_bytes);
    out.raw(batch_magic, magic_bytes);
    out.number(static_cast<std::uint32_t>(payload.bytes.size()));
    out.number(batch.entries.front().index);
    out.number(batch.previous_term);
    out.number(static_cast<std::uint32_t>(batch.entries.size()));
    out.number(std::uint32_t{0});
    out.checksum(offset);
    out.raw(payload.bytes.data(), payload.bytes.size());
    out.number(checksum_of(payload.bytes, offset));
    return std::move(out.bytes);
}

namespace {

struct batch_header {
    std::uint32_t payload_bytes = 0;
    std::uint64_t first_index = 0;
    std::uint64_t previous_term = 0;
    std::uint32_t count = 0;
};

// Returns nullopt when there is no valid header at `offset`. The checksum is seeded with the offset, so that a copy of
// a batch inside an entry's payload is not mistaken for a batch.
std::optional<batch_header> read_batch_header(const std::string& file, byte_view data, std::size_t offset) {
    bool plausible =
        data.size() - offset >= batch_header_bytes && std::memcmp(data.data() + offset, batch_magic, magic_bytes) == 0;
    if (!plausible) {
        return std::nullopt;
    }
    auto bytes = data.subspan(offset, batch_header_bytes);
    byte_reader in(file, bytes);
    in.raw(magic_bytes);
    batch_header header;
    header.payload_bytes = in.number<std::uint32_t>();
    header.first_index = in.number<std::uint64_t>();
    header.previous_term = in.number<std::uint64_t>();
    header.count = in.number<std::uint32_t>();
    in.number<std::uint32_t>();
    bool valid = in.number<std::uint64_t>() == checksum_of(bytes.first(batch_header_bytes - checksum_bytes), offset);
    return valid ? std::optional(header) : std::nullopt;
}

bool has_later_batch(const std::string& file, byte_view data, std::size_t offset) {
    for (auto i = offset + 1; i < data.size(); ++i) {
        if (read_batch_header(file, data, i)) {
            return true;
        }
    }
    return false;
}

log_batch read_entries(const std::string& file, const batch_header& header, byte_view payload, std::size_t offset) {
    byte_reader in(file, payload);
    log_batch batch{header.previous_term, {}};
    auto term = header.previous_term;
    for (std::uint32_t i = 0; i < header.count; ++i) {
        wire::log_entry_t entry;
        entry.index = header.first_index + i;
        entry.term = in.number<std::uint64_t>();
        entry.kind = static_cast<wire::entry_kind>(in.number<std::uint8_t>());
        auto content = in.raw(in.number<std::uint32_t>());
        bool valid = entry.term >= term && entry.kind <= wire::entry_kind::MAX;
        if (!valid) {
            throw log_corrupt(file, offset, "invalid entry");
        }
        term = entry.term;
        entry.payload.assign(content.begin(), content.end());
        batch.entries.push_back(std::move(entry));
    }
    in.expect_end();
    bool usable = header.count > 0 && header.first_index > 0;
    if (!usable) {
        throw log_corrupt(file, offset, "empty batch");
    }
    return batch;
}

// Reads the batch at `offset` and advances `offset` past it. Returns nullopt when a torn tail starts there.
std::optional<log_batch> read_batch(const std::string& file, byte_view data, std::size_t& offset,
                                    bool is_last_segment) {
    auto header = read_batch_header(file, data, offset);
    if (!header) {
        if (!is_last_segment || has_later_batch(file, data, offset)) {
            throw log_corrupt(file, offset, "damaged batch header before the end of the log");
        }
        return std::nullopt;
    }
    auto remaining = data.size() - offset - batch_header_bytes;
    std::uint64_t needed = std::uint64_t{header->payload_bytes} + checksum_bytes;
    bool intact = false;
    byte_view payload;
    if (needed <= remaining) {
        payload = data.subspan(offset + batch_header_bytes, header->payload_bytes);
        byte_reader in(file, data.subspan(offset + batch_header_bytes + header->payload_bytes, checksum_bytes));
        intact = in.number<std::uint64_t>() == checksum_of(payload, offset);
    }
    if (!intact) {
        if (!is_last_segment || needed < remaining) {
            throw log_corrupt(file, offset, "damaged batch before the end of the log");
        }
        return std::nullopt;
    }
    auto batch = read_entries(file, *header, payload, offset);
    offset += batch_header_bytes + needed;
    return batch;
}

}  // namespace

log_segment decode_segment(const std::string& file, byte_view data, bool is_last_segment) {
    log_segment segment;
    if (data.size() < segment_header_bytes) {
        if (!is_last_segment) {
            throw log_corrupt(file, data.size(), "data is truncated");
        }
        return segment;
    }
    byte_view content;
    try {
        content = verify_checksum(file, data.first(segment_header_bytes));
    } catch (const log_corrupt&) {
        if (is_last_segment && data.size() == segment_header_bytes) {
            return segment;  // torn while the segment was created
        }
        throw;
    }
    byte_reader header(file, content);
    header.file_header(segment_magic);
    segment.number = header.number<std::uint64_t>();
    std::size_t offset = segment_header_bytes;
    while (offset < data.size()) {
        auto batch = read_batch(file, data, offset, is_last_segment);
        if (!batch) {
            break;
        }
        segment.batches.push_back(std::move(*batch));
    }
    segment.valid_bytes = offset;
    return segment;
}

// ---- Replay ----

log_replay::log_replay(snapshot_pointer newest_snapshot)
    : newest_snapshot(std::move(newest_snapshot)), base_index(this->newest_snapshot->last_index),
      base_term(this->newest_snapshot->last_term) {}

std::optional<std::uint64_t> log_replay::term_at(std::uint64_t index) const {
    if (index == this->base_index) {
        return this->base_term;
    }
    bool in_range = index > this->base_index && index <= this->base_index + this->entries.size();
    return in_range ? std::optional(this->entries[index - this->base_index - 1].term) : std::nullopt;
}

void log_replay::add(const std::string& file, const log_batch& batch) {
    auto previous = batch.entries.front().index - 1;
    if (this->term_at(previous) == batch.previous_term) {
        this->entries.resize(previous - this->base_index);
    } else if (previous <= this->newest_snapshot->last_index) {
        // The newest snapshot covers all entries before this batch: they were removed, or replaced by a received
        // snapshot.
        this->entries.clear();
        this->base_index = previous;
        this->base_term = batch.previous_term;
    } else {
        throw log_corrupt(file, 0, "entries before index " + std::to_string(previous + 1) + " are missing");
    }
    this->entries.insert(this->entries.end(), batch.entries.begin(), batch.entries.end());
}

// A log without the last entry of the snapshot is stale: a received snapshot has replaced it.
std::vector<wire::log_entry_t> log_replay::finish() {
    auto last = this->newest_snapshot->last_index;
    if (this->term_at(last) != this->newest_snapshot->last_term) {
        return {};
    }
    auto covered = static_cast<std::ptrdiff_t>(last - this->base_index);
    this->entries.erase(this->entries.begin(), this->entries.begin() + covered);
    return std::move(this->entries);
}

// ---- Helpers of log_storage ----

namespace storage_names {

namespace {
constexpr std::string_view segment_prefix = "log-";
}

std::string segment(std::uint64_t number) {
    char text[32];
    std::snprintf(text, sizeof text, "log-%016llx", static_cast<unsigned long long>(number));
    return text;
}

bool is_segment(const std::string& name) {
    return name.starts_with(segment_prefix) && !is_temporary(name);
}

bool is_temporary(const std::string& name) {
    return name.ends_with(temporary_suffix);
}

}  // namespace storage_names

member_identity make_identity(const storage_options& options) {
    if (!options.bootstrap) {
        char suffix[32];
        std::snprintf(suffix, sizeof suffix, ".%016llx", static_cast<unsigned long long>(options.identity_seed));
        return {options.name, options.name + suffix};
    }
    if (!is_voting(*options.bootstrap, options.name)) {
        throw identity_error("the bootstrap set does not contain " + options.name);
    }
    return {options.name, options.name};
}

void require_unused_directory(const std::string& directory, const std::vector<std::string>& names,
                              const std::optional<byte_string>& hard_state_file) {
    bool used = std::any_of(names.begin(), names.end(), storage_names::is_segment) ||
                (hard_state_file && *hard_state_file != encode_hard_state({}));
    if (used) {
        throw identity_error("directory " + directory + " holds data but no identity");
    }
}

}  // namespace persimmongrade
