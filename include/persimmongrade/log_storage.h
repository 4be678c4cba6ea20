// Durable storage of one consensus member: identity, hard state, snapshot and log. The file formats are described in
// docs/protocols.md.
//
//     posix_file_system files;
//     log_storage storage(files, {.directory = "/data/consensus", .name = "control-1", .identity_seed = random});
//     consensus core(options, storage.identity().id, storage.take_state(), seed, now);
//     storage.persist(actions);   // returns after everything has been synced
//
// Identity. The data directory holds the identity of its member. An empty directory is given one:
//   - with `bootstrap` (first start of a new cluster only): id = name, members = the bootstrap set;
//   - without: id = name + "." + 16 hex digits of identity_seed, and no members. The process has no vote until the
//     leader has added it (consensus::change_voters) and it has caught up.
// A process that lost its disk therefore never votes under its old identity, under which it may have voted before. The
// daemon sets `bootstrap` for an empty directory only after the other control processes have confirmed it
// (bootstrap.h).
//
// Failures. After a failed write or sync, all further writes throw storage_failed: the kernel may have dropped the
// dirty pages, so a later sync that succeeds does not show that the data is on disk. Restart the process, or use
// consensus_driver::reopen.

#pragma once

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <iterator>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "persimmongrade/consensus.h"

namespace persimmongrade {

// ---- Errors ----

class storage_error : public error {
public:
    using error::error;
};

// A file operation failed. `code` is the errno value, e.g. ENOSPC or EIO.
class file_error : public storage_error {
public:
    file_error(const std::string& operation, const std::string& path, int code);
    const int code;
};

// An earlier write or sync failed, and this one was refused.
class storage_failed : public storage_error {
public:
    using storage_error::storage_error;
};

// Stored data is corrupt, missing or has an unknown format version. `offset` is in bytes from the start of the file.
class log_corrupt : public storage_error {
public:
    log_corrupt(std::string file, std::uint64_t offset, const std::string& reason);
    const std::string file;
    const std::uint64_t offset;
};

// The directory belongs to a member of another name, is locked by another process, or holds data without an identity;
// or the bootstrap set does not contain this member.
class identity_error : public storage_error {
public:
    using storage_error::storage_error;
};

// ---- File system ----

using byte_view = std::span<const std::uint8_t>;

// File operations that log_storage needs. All throw file_error. The path separator is '/'.
template <typename T>
concept file_system = requires(T files, const std::string& path, byte_view data, std::uint64_t size, int handle) {
    files.create_directory(path);  // with its parents; no error when it exists
    files.lock_directory(path);    // identity_error when another process holds the lock
    files.sync_directory(path);    // makes created, renamed and removed names durable
    { files.list(path) } -> std::same_as<std::vector<std::string>>;    // names in the directory, sorted
    { files.read(path) } -> std::same_as<std::optional<byte_string>>;  // nullopt: the file does not exist
    { files.create(path) } -> std::same_as<int>;                       // empties an existing file
    { files.open_append(path) } -> std::same_as<int>;                  // the file must exist
    files.append(handle, data);                                        // at the end of the file
    files.sync(handle);                                                // file data and size
    files.close(handle);
    files.truncate(path, size);  // and syncs
    files.rename(path, path);
    files.remove(path);
};

// Files of the operating system (POSIX).
class posix_file_system {
public:
    posix_file_system() = default;
    ~posix_file_system();
    posix_file_system(const posix_file_system&) = delete;
    posix_file_system& operator=(const posix_file_system&) = delete;

    void create_directory(const std::string& path);
    void lock_directory(const std::string& path);
    void sync_directory(const std::string& path);
    std::vector<std::string> list(const std::string& path);
    std::optional<byte_string> read(const std::string& path);
    int create(const std::string& path);
    int open_append(const std::string& path);
    void append(int handle, byte_view data);
    void sync(int handle);
    void close(int handle);
    void truncate(const std::string& path, std::uint64_t size);
    void rename(const std::string& from, const std::string& to);
    void remove(const std::string& path);

private:
    int lock_handle = -1;
};

// ---- Formats ----

struct member_identity {
    std::string name;  // as in the settings
    std::string id;    // in messages and voter sets
    bool operator==(const member_identity&) const = default;
};

// Entries that are written and synced together. They replace all stored entries from the index of the first one on.
struct log_batch {
    std::uint64_t previous_term = 0;  // term of the entry before the first one
    std::vector<wire::log_entry_t> entries;
    bool operator==(const log_batch&) const = default;
};

struct log_segment {
    std::uint64_t number = 0;
    std::vector<log_batch> batches;
    std::uint64_t valid_bytes = 0;  // a torn tail may follow; 0: the segment header is incomplete
};

// Decoders accept arbitrary bytes, and throw log_corrupt with the name `file` when they are invalid.
byte_string encode_identity(const member_identity& identity);
member_identity decode_identity(const std::string& file, byte_view data);
byte_string encode_hard_state(const hard_state& state);
hard_state decode_hard_state(const std::string& file, byte_view data);
byte_string encode_snapshot(const snapshot& value);
snapshot decode_snapshot(const std::string& file, byte_view data);
byte_string encode_segment_header(std::uint64_t number);
byte_string encode_batch(const log_batch& batch, std::uint64_t offset);  // offset: of the batch in its segment
// Only the last segment may have a torn tail.
log_segment decode_segment(const std::string& file, byte_view data, bool is_last_segment);

// ---- Storage ----

struct storage_options {
    std::string directory;
    std::string name;                            // of this process, from its settings
    std::optional<wire::voter_set_t> bootstrap;  // used only when the directory is empty
    std::uint64_t identity_seed = 0;             // a random number; makes the id of a joining process unique
    std::uint64_t segment_bytes = 8u << 20;      // a segment of at least this size is closed
};

// Rebuilds the log at start, from the newest snapshot and the batches in the order in which they were written.
class log_replay {
public:
    explicit log_replay(snapshot_pointer newest_snapshot);
    void add(const std::string& file, const log_batch& batch);  // log_corrupt when entries are missing
    std::vector<wire::log_entry_t> finish();                    // the entries after the snapshot

private:
    std::optional<std::uint64_t> term_at(std::uint64_t index) const;

    snapshot_pointer newest_snapshot;
    std::uint64_t base_index = 0;  // the entries follow this one
    std::uint64_t base_term = 0;
    std::vector<wire::log_entry_t> entries;
};

template <file_system Files>
class log_storage {
public:
    // Opens or initializes the directory and cuts off a torn tail. Throws subclasses of storage_error.
    log_storage(Files& files, storage_options options);
    ~log_storage();
    log_storage(const log_storage&) = delete;
    log_storage& operator=(const log_storage&) = delete;

    const member_identity& identity() const { return this->own_identity; }
    persistent_state take_state() { return std::move(this->loaded); }  // call once

    // Writes and syncs the hard state, snapshot and entries of `todo`, if it has any. After any exception nothing of
    // `todo` may be sent, acknowledged or applied.
    void persist(const actions& todo);
    bool failed() const { return this->write_failed; }

private:
    struct segment_info {
        std::uint64_t number = 0;
        std::uint64_t last_index = 0;  // highest index in the segment
        std::uint64_t bytes = 0;
    };

    std::string path(const std::string& name) const { return this->options.directory + "/" + name; }
    byte_string read_required(const std::string& name);
    void initialize(const std::vector<std::string>& names);
    void load(const std::vector<std::string>& names);
    void load_segment(const std::string& name, bool is_last, log_replay& replay);
    void replace_file(const std::string& name, const byte_string& content);
    void write_entries(const actions& todo);
    void start_segment();
    void remove_old_segments(std::uint64_t snapshot_index);

    Files& files;
    storage_options options;
    member_identity own_identity;
    persistent_state loaded;
    std::vector<segment_info> segments;  // ascending by number; the last one is open for writing
    int segment_handle = -1;
    bool write_failed = false;
};

// ---- Implementation ----

namespace storage_names {
inline constexpr const char* identity = "identity";
inline constexpr const char* hard_state = "hard-state";
inline constexpr const char* snapshot = "snapshot";
inline constexpr const char* temporary_suffix = ".tmp";
std::string segment(std::uint64_t number);
bool is_segment(const std::string& name);
bool is_temporary(const std::string& name);
}  // namespace storage_names

member_identity make_identity(const storage_options& options);  // identity_error: name not in the bootstrap set
// Throws identity_error when the directory holds more than an interrupted initialization leaves behind: a log segment
// or a hard state that is not the initial one.
void require_unused_directory(const std::string& directory, const std::vector<std::string>& names,
                              const std::optional<byte_string>& hard_state_file);

template <file_system Files>
log_storage<Files>::log_storage(Files& files, storage_options options) : files(files), options(std::move(options)) {
    this->files.create_directory(this->options.directory);
    this->files.lock_directory(this->options.directory);
    auto names = this->files.list(this->options.directory);
    std::erase_if(names, [&](const std::string& name) {
        bool leftover = storage_names::is_temporary(name);  // of an interrupted replace_file
        if (leftover) {
            this->files.remove(this->path(name));
        }
        return leftover;
    });
    auto stored = this->files.read(this->path(storage_names::identity));
    if (!stored) {
        this->initialize(names);
    } else {
        this->own_identity = decode_identity(storage_names::identity, *stored);
    }
    if (this->own_identity.name != this->options.name) {
        throw identity_error("directory " + this->options.directory + " belongs to " + this->own_identity.name +
                             ", not to " + this->options.name);
    }
    this->load(names);
}

template <file_system Files>
log_storage<Files>::~log_storage() {
    if (this->segment_handle >= 0) {
        this->files.close(this->segment_handle);
    }
}

template <file_system Files>
byte_string log_storage<Files>::read_required(const std::string& name) {
    auto content = this->files.read(this->path(name));
    if (!content) {
        throw log_corrupt(name, 0, "file is missing");
    }
    return std::move(*content);
}

// Writes the identity last, so that a directory without an identity has never been used to vote.
template <file_system Files>
void log_storage<Files>::initialize(const std::vector<std::string>& names) {
    require_unused_directory(this->options.directory, names, this->files.read(this->path(storage_names::hard_state)));
    this->own_identity = make_identity(this->options);
    snapshot first;
    if (this->options.bootstrap) {
        first.voters = *this->options.bootstrap;
    }
    this->replace_file(storage_names::snapshot, encode_snapshot(first));
    this->replace_file(storage_names::hard_state, encode_hard_state({}));
    this->replace_file(storage_names::identity, encode_identity(this->own_identity));
}

template <file_system Files>
void log_storage<Files>::load(const std::vector<std::string>& names) {
    this->loaded.hard = decode_hard_state(storage_names::hard_state, this->read_required(storage_names::hard_state));
    this->loaded.newest_snapshot = std::make_shared<const snapshot>(
        decode_snapshot(storage_names::snapshot, this->read_required(storage_names::snapshot)));
    log_replay replay(this->loaded.newest_snapshot);
    std::vector<std::string> segment_files;
    std::copy_if(names.begin(), names.end(), std::back_inserter(segment_files), storage_names::is_segment);
    for (const auto& name : segment_files) {
        this->load_segment(name, name == segment_files.back(), replay);
    }
    this->loaded.entries = replay.finish();
    if (!this->segments.empty()) {
        this->segment_handle =
            this->files.open_append(this->path(storage_names::segment(this->segments.back().number)));
    }
}

template <file_system Files>
void log_storage<Files>::load_segment(const std::string& name, bool is_last, log_replay& replay) {
    auto content = this->read_required(name);
    auto segment = decode_segment(name, content, is_last);
    if (segment.valid_bytes == 0) {  // the creation was interrupted: the segment holds no entry
        this->files.remove(this->path(name));
        this->files.sync_directory(this->options.directory);
        return;
    }
    bool in_order = storage_names::segment(segment.number) == name &&
                    (this->segments.empty() || this->segments.back().number + 1 == segment.number);
    if (!in_order) {
        throw log_corrupt(name, 0,
                          "segment number does not match the file name or does not follow the previous segment");
    }
    if (segment.valid_bytes < content.size()) {
        this->files.truncate(this->path(name), segment.valid_bytes);
    }
    segment_info info{segment.number, 0, segment.valid_bytes};
    for (const auto& batch : segment.batches) {
        replay.add(name, batch);
        info.last_index = std::max(info.last_index, batch.entries.back().index);
    }
    this->segments.push_back(info);
}

template <file_system Files>
void log_storage<Files>::replace_file(const std::string& name, const byte_string& content) {
    auto temporary = this->path(name + storage_names::temporary_suffix);
    int handle = this->files.create(temporary);
    try {
        this->files.append(handle, content);
        this->files.sync(handle);
    } catch (...) {
        this->files.close(handle);
        throw;
    }
    this->files.close(handle);
    this->files.rename(temporary, this->path(name));
    this->files.sync_directory(this->options.directory);
}

template <file_system Files>
void log_storage<Files>::persist(const actions& todo) {
    if (!todo.needs_persist()) {
        return;
    }
    if (this->write_failed) {
        throw storage_failed("an earlier write to " + this->options.directory + " failed");
    }
    this->write_failed = true;  // until everything below has succeeded
    if (todo.hard) {
        this->replace_file(storage_names::hard_state, encode_hard_state(*todo.hard));
    }
    if (todo.save_snapshot) {
        this->replace_file(storage_names::snapshot, encode_snapshot(*todo.save_snapshot));
        this->remove_old_segments(todo.save_snapshot->last_index);
    }
    if (!todo.entries.empty()) {
        this->write_entries(todo);
    }
    this->write_failed = false;
}

// Writes one batch per call and syncs it: at most one batch is unsynced at any time, so only the last one can be torn.
template <file_system Files>
void log_storage<Files>::write_entries(const actions& todo) {
    if (this->segment_handle < 0 || this->segments.back().bytes >= this->options.segment_bytes) {
        this->start_segment();
    }
    auto& segment = this->segments.back();
    auto bytes = encode_batch({todo.previous_term, todo.entries}, segment.bytes);
    this->files.append(this->segment_handle, bytes);
    this->files.sync(this->segment_handle);
    segment.bytes += bytes.size();
    segment.last_index = std::max(segment.last_index, todo.entries.back().index);
}

// Syncs the header before the first batch is written, so that a damaged header in a file with batches is corruption and
// not a torn write.
template <file_system Files>
void log_storage<Files>::start_segment() {
    if (this->segment_handle >= 0) {
        this->files.close(std::exchange(this->segment_handle, -1));
    }
    auto number = this->segments.empty() ? 1 : this->segments.back().number + 1;
    auto header = encode_segment_header(number);
    this->segment_handle = this->files.create(this->path(storage_names::segment(number)));
    this->files.append(this->segment_handle, header);
    this->files.sync(this->segment_handle);
    this->files.sync_directory(this->options.directory);
    this->segments.push_back({number, 0, header.size()});
}

// Removes the oldest segments whose entries are all covered by the snapshot. The segment open for writing is kept.
template <file_system Files>
void log_storage<Files>::remove_old_segments(std::uint64_t snapshot_index) {
    while (this->segments.size() > 1 && this->segments.front().last_index <= snapshot_index) {
        this->files.remove(this->path(storage_names::segment(this->segments.front().number)));
        this->segments.erase(this->segments.begin());
        this->files.sync_directory(this->options.directory);  // one by one: a crash leaves no gap in the numbers
    }
}

}  // namespace persimmongrade
