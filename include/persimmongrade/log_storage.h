// Durable storage of one consensus member: identity, hard state, snapshot and log. Formats: docs/protocols.md.
//
//     posix_file_system files;
//     log_storage storage(files, {.directory = "/data/consensus", .name = "control-1", .identity_seed = random});
//     consensus core(options, storage.identity().id, storage.take_state(), seed, now);
//     storage.persist(actions);   // returns when everything is synced
//
// Identity. A directory holds the identity of its member. An empty directory gets one:
//   - with `bootstrap` (first start of a new cluster only): id = name, members = the bootstrap set;
//   - without: id = name + "." + 16 hex digits of identity_seed, no members. The process has no vote until the leader
//     has added it (consensus::change_voters) and it has caught up.
// So a process whose disk was lost never votes under its old identity, unless an operator sets `bootstrap` again for
// an existing cluster, which must not be done.
//
// Failures. After a failed write or sync the object refuses all further writes with storage_failed: the kernel may
// have dropped the dirty pages, so a later successful sync would prove nothing. Restart the process.

#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
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

// An earlier write or sync failed; nothing is written any more.
class storage_failed : public storage_error {
public:
    using storage_error::storage_error;
};

// Stored data is damaged, missing or has an unknown format version. `offset` is in bytes from the start of the file.
class log_corrupt : public storage_error {
public:
    log_corrupt(std::string file, std::uint64_t offset, const std::string& reason);
    const std::string file;
    const std::uint64_t offset;
};

// The directory belongs to a member of another name, is used by another process, or holds data without an identity.
class identity_error : public storage_error {
public:
    using storage_error::storage_error;
};

// ---- File system ----

using byte_view = std::span<const std::uint8_t>;

// File operations used by the storage; all throw file_error. Paths use '/'.
template <typename T>
concept file_system = requires(T files, const std::string& path, byte_view data, std::uint64_t size, int handle) {
    files.create_directory(path);  // and its parents; no error when present
    files.lock_directory(path);    // identity_error when another process holds the lock
    files.sync_directory(path);    // makes created, renamed and removed names durable
    { files.list(path) } -> std::same_as<std::vector<std::string>>;    // names in the directory, sorted
    { files.read(path) } -> std::same_as<std::optional<byte_string>>;  // nothing when the file does not exist
    { files.open_append(path) } -> std::same_as<int>;                  // created when missing
    files.append(handle, data);                                        // at the end of the file
    files.sync(handle);                                                // data and size
    files.close(handle);
    files.truncate(path, size);  // and sync
    files.rename(path, path);
    files.remove(path);
};

// The operating system's files.
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

// Entries written and synced together; they replace all stored entries from the first one's index on.
struct log_batch {
    std::uint64_t previous_term = 0;  // of the entry before the first one
    std::vector<wire::log_entry_t> entries;
    bool operator==(const log_batch&) const = default;
};

struct log_segment {
    std::uint64_t number = 0;
    std::vector<log_batch> batches;
    std::uint64_t valid_bytes = 0;  // a torn tail follows after these; 0: not even the segment header is complete
};

// Decoders throw log_corrupt naming `file`; any bytes are allowed.
byte_string encode_identity(const member_identity& identity);
member_identity decode_identity(const std::string& file, byte_view data);
byte_string encode_hard_state(const hard_state& state);
hard_state decode_hard_state(const std::string& file, byte_view data);
byte_string encode_snapshot(const snapshot& value);
snapshot decode_snapshot(const std::string& file, byte_view data);
byte_string encode_segment_header(std::uint64_t number);
byte_string encode_batch(const log_batch& batch, std::uint64_t offset);          // offset: of the batch in its segment
log_segment decode_segment(const std::string& file, byte_view data, bool last);  // torn tail allowed when `last`

// ---- Storage ----

struct storage_options {
    std::string directory;
    std::string name;                            // of this process, from its settings
    std::optional<wire::voter_set_t> bootstrap;  // read only when the directory is empty
    std::uint64_t identity_seed = 0;             // random; makes the id of a joining process unique
    std::uint64_t segment_bytes = 8u << 20;      // a new segment is started beyond this size
};

template <file_system Files>
class log_storage {
public:
    // Opens or initializes the directory and repairs a torn tail. Throws storage_error types.
    log_storage(Files& files, storage_options options);
    ~log_storage();
    log_storage(const log_storage&) = delete;
    log_storage& operator=(const log_storage&) = delete;

    const member_identity& identity() const { return this->own_identity; }
    persistent_state take_state() { return std::move(this->loaded); }  // once

    // Writes and syncs hard state, snapshot and entries of `todo`; no effect without any. On any exception nothing of
    // `todo` may be sent, acknowledged or applied.
    void persist(const actions& todo);
    bool failed() const { return this->write_failed; }

private:
    Files& files;
    storage_options options;
    member_identity own_identity;
    persistent_state loaded;
    bool write_failed = false;
};

}  // namespace persimmongrade
