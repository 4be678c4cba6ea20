// A file system in memory that forgets unsynced writes in a crash and fails on request.

#pragma once

#include <cerrno>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "persimmongrade/log_storage.h"

namespace persimmongrade {

// The process "died" in the middle of a file operation.
struct simulated_crash {};

class memory_file_system {
public:
    int operations_left = -1;         // crash when this many further writing operations were made; -1: never
    bool fail_syncs = false;          // EIO
    std::int64_t capacity_left = -1;  // bytes until ENOSPC, after a partial write; -1: unlimited

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
        bool crash = this->operations_left == 0;
        auto size = crash ? data.size() / 2 : data.size();
        bool full = this->capacity_left >= 0 && size > static_cast<std::size_t>(this->capacity_left);
        size = full ? static_cast<std::size_t>(this->capacity_left) : size;
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
        file.durable = file.bytes.size();
    }

    void close(int handle) { this->handles.erase(handle); }

    void truncate(const std::string& path, std::uint64_t size) {
        this->count_operation();
        auto& file = *this->names.at(path);
        file.bytes.resize(size);
        file.durable = size;
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

    // What a restart finds: each unsynced tail is cut anywhere, its last bytes damaged, and unsynced names are either
    // all there or all lost.
    void crash(std::mt19937_64& random) {
        if (random() % 2 == 0) {
            this->names = this->durable_names;
        }
        for (auto& [path, file] : this->names) {
            auto unsynced = file->bytes.size() - file->durable;
            file->bytes.resize(file->durable + (unsynced == 0 ? 0 : random() % (unsynced + 1)));
            if (file->bytes.size() > file->durable && random() % 2 == 0) {
                file->bytes[file->durable + random() % (file->bytes.size() - file->durable)] ^= 0x40;
            }
            file->durable = file->bytes.size();
        }
        this->durable_names = this->names;
        this->handles.clear();
        this->clear_faults();
    }

    void clear_faults() {
        this->operations_left = -1;
        this->fail_syncs = false;
        this->capacity_left = -1;
    }

    byte_string& bytes_of(const std::string& path) { return this->names.at(path)->bytes; }

private:
    struct file {
        byte_string bytes;
        std::size_t durable = 0;  // bytes that survive a crash
    };

    void count_operation() {
        if (this->operations_left == 0) {
            throw simulated_crash{};
        }
        this->operations_left -= this->operations_left > 0 ? 1 : 0;
    }

    std::map<std::string, std::shared_ptr<file>> names;
    std::map<std::string, std::shared_ptr<file>> durable_names;
    std::map<int, std::shared_ptr<file>> handles;
    int last_handle = 0;
};

static_assert(file_system<memory_file_system>);

}  // namespace persimmongrade
