// In-memory file system for tests: loses unsynced writes in a simulated crash and injects faults on request.

#pragma once

#include <cerrno>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "persimmongrade/log_storage.h"

namespace persimmongrade {

// Thrown when the simulated process crashes during a file operation.
struct simulated_crash {};

class memory_file_system {
public:
    int operations_until_crash = -1;        // further writing operations; -1: no crash
    bool fail_syncs = false;                // `sync` fails with EIO
    std::int64_t capacity_left_bytes = -1;  // until a partial write and ENOSPC; -1: unlimited

    void create_directory(const std::string&) {}
    void lock_directory(const std::string&) {}

    void sync_directory(const std::string&) {
        this->count_operation();
        this->durable_names = this->names;
    }

    std::vector<std::string> list(const std::string& directory) {
        std::vector<std::string> result;
        for (const auto& [path, content] : this->names) {
            result.push_back(path.substr(directory.size() + 1));
        }
        return result;
    }

    std::optional<byte_string> read(const std::string& path) {
        auto found = this->names.find(path);
        return found == this->names.end() ? std::nullopt : std::optional(found->second->bytes);
    }

    int create(const std::string& path) {
        this->count_operation();
        this->names[path] = std::make_shared<file>();
        return this->open_append(path);
    }

    int open_append(const std::string& path) {
        this->handles[++this->last_handle] = this->names.at(path);
        return this->last_handle;
    }

    void append(int handle, byte_view data) {
        bool crash = this->operations_until_crash == 0;
        auto size = crash ? data.size() / 2 : data.size();
        bool full = this->capacity_left_bytes >= 0 && size > static_cast<std::size_t>(this->capacity_left_bytes);
        size = full ? static_cast<std::size_t>(this->capacity_left_bytes) : size;
        auto& bytes = this->handles.at(handle)->bytes;
        bytes.insert(bytes.end(), data.begin(), data.begin() + static_cast<std::ptrdiff_t>(size));
        if (full) {
            throw file_error("write", "memory", ENOSPC);
        }
        this->count_operation();
    }

    void sync(int handle) {
        this->count_operation();
        if (this->fail_syncs) {
            throw file_error("sync", "memory", EIO);
        }
        auto& file = *this->handles.at(handle);
        file.synced_bytes = file.bytes.size();
    }

    void close(int handle) { this->handles.erase(handle); }

    void truncate(const std::string& path, std::uint64_t size) {
        this->count_operation();
        auto& file = *this->names.at(path);
        file.bytes.resize(size);
        file.synced_bytes = size;
    }

    void rename(const std::string& from, const std::string& to) {
        this->count_operation();
        this->names[to] = this->names.at(from);
        this->names.erase(from);
    }

    void remove(const std::string& path) {
        this->count_operation();
        this->names.erase(path);
    }

    // Produces the state that a restart finds: each unsynced tail is cut at a random position and may have one bit
    // flipped, and the unsynced changes of names are either all kept or all lost.
    void crash(std::mt19937_64& random) {
        if (random() % 2 == 0) {
            this->names = this->durable_names;
        }
        for (auto& [path, file] : this->names) {
            auto unsynced = file->bytes.size() - file->synced_bytes;
            file->bytes.resize(file->synced_bytes + (unsynced == 0 ? 0 : random() % (unsynced + 1)));
            if (file->bytes.size() > file->synced_bytes && random() % 2 == 0) {
                file->bytes[file->synced_bytes + random() % (file->bytes.size() - file->synced_bytes)] ^= 0x40;
            }
            file->synced_bytes = file->bytes.size();
        }
        this->durable_names = this->names;
        this->handles.clear();
        this->clear_faults();
    }

    void clear_faults() {
        this->operations_until_crash = -1;
        this->fail_syncs = false;
        this->capacity_left_bytes = -1;
    }

    byte_string& bytes_of(const std::string& path) { return this->names.at(path)->bytes; }

private:
    struct file {
        byte_string bytes;
        std::size_t synced_bytes = 0;  // bytes that survive a crash
    };

    void count_operation() {
        if (this->operations_until_crash == 0) {
            throw simulated_crash{};
        }
        this->operations_until_crash -= this->operations_until_crash > 0 ? 1 : 0;
    }

    std::map<std::string, std::shared_ptr<file>> names;
    std::map<std::string, std::shared_ptr<file>> durable_names;
    std::map<int, std::shared_ptr<file>> handles;
    int last_handle = 0;
};

static_assert(file_system<memory_file_system>);

}  // namespace persimmongrade
