// posix_file_system: the file_system concept on POSIX files.

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>

#include "persimmongrade/log_storage.h"

namespace persimmongrade {

namespace {

constexpr mode_t file_mode = 0640;

int open_file(const std::string& path, int flags) {
    int handle = ::open(path.c_str(), flags | O_CLOEXEC, file_mode);
    if (handle < 0) {
        throw file_error("open", path, errno);
    }
    return handle;
}

// Closes the file descriptor at the end of the scope.
struct open_handle {
    int value;
    explicit open_handle(int value) : value(value) {}
    ~open_handle() { ::close(this->value); }
    open_handle(const open_handle&) = delete;
    open_handle& operator=(const open_handle&) = delete;
};

std::string handle_name(int handle) {
    return "file descriptor " + std::to_string(handle);
}

}  // namespace

posix_file_system::~posix_file_system() {
    if (this->lock_handle >= 0) {
        ::close(this->lock_handle);
    }
}

void posix_file_system::create_directory(const std::string& path) {
    std::error_code failure;
    bool created = std::filesystem::create_directories(path, failure);
    if (failure) {
        throw file_error("create directory", path, failure.value());
    }
    if (created) {
        this->sync_directory(std::filesystem::absolute(path).lexically_normal().parent_path().string());
    }
}

void posix_file_system::lock_directory(const std::string& path) {
    if (this->lock_handle >= 0) {
        ::close(this->lock_handle);
    }
    this->lock_handle = open_file(path + "/lock", O_RDWR | O_CREAT);
    if (::flock(this->lock_handle, LOCK_EX | LOCK_NB) != 0) {
        throw identity_error("directory " + path + " is locked by another process");
    }
}

void posix_file_system::sync_directory(const std::string& path) {
    open_handle handle(open_file(path, O_RDONLY | O_DIRECTORY));
    if (::fsync(handle.value) != 0) {
        throw file_error("sync directory", path, errno);
    }
}

std::vector<std::string> posix_file_system::list(const std::string& path) {
    std::vector<std::string> names;
    std::error_code failure;
    for (std::filesystem::directory_iterator it(path, failure), end; !failure && it != end; it.increment(failure)) {
        names.push_back(it->path().filename().string());
    }
    if (failure) {
        throw file_error("list", path, failure.value());
    }
    std::sort(names.begin(), names.end());
    return names;
}

std::optional<byte_string> posix_file_system::read(const std::string& path) {
    if (::access(path.c_str(), F_OK) != 0 && errno == ENOENT) {
        return std::nullopt;
    }
    constexpr std::size_t read_chunk_bytes = 256u << 10;
    open_handle handle(open_file(path, O_RDONLY));
    byte_string content;
    std::size_t size = 0;
    while (true) {
        content.resize(size + read_chunk_bytes);
        auto count = ::read(handle.value, content.data() + size, read_chunk_bytes);
        if (count < 0 && errno != EINTR) {
            throw file_error("read", path, errno);
        }
        size += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
        if (count == 0) {
            content.resize(size);
            return content;
        }
    }
}

int posix_file_system::create(const std::string& path) {
    return open_file(path, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND);
}

int posix_file_system::open_append(const std::string& path) {
    return open_file(path, O_WRONLY | O_APPEND);
}

void posix_file_system::append(int handle, byte_view data) {
    while (!data.empty()) {
        auto count = ::write(handle, data.data(), data.size());
        if (count < 0 && errno != EINTR) {
            throw file_error("write", handle_name(handle), errno);
        }
        data = data.subspan(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    }
}

// fdatasync also makes a changed file size durable; it omits only metadata such as time stamps.
void posix_file_system::sync(int handle) {
    if (::fdatasync(handle) != 0) {
        throw file_error("sync", handle_name(handle), errno);
    }
}

void posix_file_system::close(int handle) {
    ::close(handle);
}

void posix_file_system::truncate(const std::string& path, std::uint64_t size) {
    open_handle handle(open_file(path, O_WRONLY));
    bool done = ::ftruncate(handle.value, static_cast<off_t>(size)) == 0 && ::fsync(handle.value) == 0;
    if (!done) {
        throw file_error("truncate", path, errno);
    }
}

void posix_file_system::rename(const std::string& from, const std::string& to) {
    if (::rename(from.c_str(), to.c_str()) != 0) {
        throw file_error("rename", from, errno);
    }
}

void posix_file_system::remove(const std::string& path) {
    if (::unlink(path.c_str()) != 0) {
        throw file_error("remove", path, errno);
    }
}

static_assert(file_system<posix_file_system>);
template class log_storage<posix_file_system>;

}  // namespace persimmongrade
