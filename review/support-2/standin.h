// Support of the cases of the second review: starts the project's programs as the platform does, and has small clients,
// upstreams and an operator that speak what PROTOCOL.md says.
//
//     platform_options options{.cores = 5, .gateways = 2};
//     platform system("case", options);
//     operator_client operators(system);
//     operators.order("PATCH", "/api/config", body, std::chrono::seconds(30));
//
// The platform ends a process that uses more than its `memory-mb` and starts it again after a short delay (DEPLOY.md,
// "Memory and descriptors" and "Ends"). Memory is anonymous memory: what the process has allocated and touched.

#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

extern char** environ;

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline constexpr int exit_held = 0;
inline constexpr int exit_broken = 1;
inline constexpr int exit_not_run = 2;

inline bool has_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

inline void pause(milliseconds time) {
    std::this_thread::sleep_for(time);
}

inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// Lines with the time since the start, written at once and from any thread.
class record_file {
public:
    explicit record_file(const std::string& path) : out(path, std::ios::trunc) {
        if (!this->out) {
            throw std::runtime_error("cannot write " + path);
        }
    }

    void line(const std::string& text) {
        std::lock_guard lock(this->mutex);
        double seconds = std::chrono::duration<double>(steady::now() - this->started).count();
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", seconds);
        this->out << time << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream out;
    steady::time_point started = steady::now();
};

// ---- Sockets ----

class tcp_socket {
public:
    tcp_socket() = default;
    explicit tcp_socket(int descriptor) : descriptor(descriptor) {}
    tcp_socket(tcp_socket&& other) noexcept : descriptor(std::exchange(other.descriptor, -1)) {}
    tcp_socket& operator=(tcp_socket&& other) noexcept {
        std::swap(this->descriptor, other.descriptor);
        return *this;
    }
    tcp_socket(const tcp_socket&) = delete;
    tcp_socket& operator=(const tcp_socket&) = delete;
    ~tcp_socket() { this->close(); }

    void close() {
        if (this->descriptor >= 0) {
            ::close(std::exchange(this->descriptor, -1));
        }
    }

    bool is_open() const { return this->descriptor >= 0; }
    int handle() const { return this->descriptor; }

    // False when the connection ended, or `until` has passed, before everything was sent.
    bool send_all(std::string_view bytes, steady::time_point until) {
        while (!bytes.empty()) {
            if (!this->wait(POLLOUT, until)) {
                return false;
            }
            ssize_t sent = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (sent < 0 && (errno == EAGAIN || errno == EINTR)) {
                continue;
            }
            if (sent <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    // Appends to `buffer`. False at the end of the connection, or when `until` has passed.
    bool receive(std::string& buffer, steady::time_point until) {
        if (!this->wait(POLLIN, until)) {
            return false;
        }
        char bytes[65536];
        ssize_t size = ::recv(this->descriptor, bytes, sizeof bytes, MSG_DONTWAIT);
        if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
            return true;
        }
        if (size <= 0) {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    }

    bool wait(short events, steady::time_point until) const {
        auto left = std::chrono::duration_cast<milliseconds>(until - steady::now()).count();
        pollfd polled{this->descriptor, events, 0};
        return left > 0 && ::poll(&polled, 1, static_cast<int>(left)) > 0;
    }

private:
    int descriptor = -1;
};

struct address {
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return this->ip + ":" + std::to_string(this->port); }

    sockaddr_in native() const {
        sockaddr_in native{};
        native.sin_family = AF_INET;
        native.sin_port = htons(this->port);
        if (::inet_pton(AF_INET, this->ip.c_str(), &native.sin_addr) != 1) {
            throw std::runtime_error("bad address " + this->ip);
        }
        return native;
    }

    static address parse(const std::string& text) {
        auto colon = text.find(':');
        return {text.substr(0, colon), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
    }
};

inline tcp_socket connect_to(const address& to, milliseconds limit) {
    tcp_socket made(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    sockaddr_in native = to.native();
    int result = ::connect(made.handle(), reinterpret_cast<sockaddr*>(&native), sizeof native);
    int failure = result == 0 ? 0 : errno;
    if (failure == EINPROGRESS) {
        socklen_t size = sizeof failure;
        bool done = made.wait(POLLOUT, steady::now() + limit) &&
                    ::getsockopt(made.handle(), SOL_SOCKET, SO_ERROR, &failure, &size) == 0;
        failure = done ? failure : ETIMEDOUT;
    }
    if (failure != 0) {
        made.close();
    }
    int on = 1;
    ::setsockopt(made.handle(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return made;
}

// ---- HTTP/1.1 ----

struct http_message {
    std::string start_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(std::string_view name) const {
        for (const auto& [key, value] : this->headers) {
            bool same =
                key.size() == name.size() && std::equal(key.begin(), key.end(), name.begin(), [](char a, char b) {
                    return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b));
                });
            if (same) {
                return value;
            }
        }
        return {};
    }

    // Of an answer; 0 when there is none.
    int status() const { return this->start_line.size() < 12 ? 0 : std::atoi(this->start_line.c_str() + 9); }
};

// Reads one message whose body has a length. `buffer` keeps what follows it. Empty when the connection ended first.
inline std::optional<http_message> read_message(tcp_socket& socket, std::string& buffer, steady::time_point until) {
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!socket.receive(buffer, until)) {
            return std::nullopt;
        }
    }
    http_message message;
    std::string head = buffer.substr(0, end);
    buffer.erase(0, end + 4);
    std::size_t place = head.find("\r\n");
    message.start_line = head.substr(0, place);
    while (place != std::string::npos) {
        std::size_t start = place + 2;
        place = head.find("\r\n", start);
        std::string line = head.substr(start, place == std::string::npos ? std::string::npos : place - start);
        std::size_t colon = line.find(':');
        std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
    }
    std::string length = message.header("content-length");
    std::size_t needed = length.empty() ? 0 : std::stoull(length);
    while (buffer.size() < needed) {
        if (!socket.receive(buffer, until)) {
            return std::nullopt;
        }
    }
    message.body = buffer.substr(0, needed);
    buffer.erase(0, needed);
    return message;
}

// A client's connection that is kept for further requests.
class http_connection {
public:
    // Empty when the connection ended without a complete answer, or `limit` passed.
    std::optional<http_message> call(const address& to, const std::string& head, const std::string& body,
                                     milliseconds limit) {
        auto until = steady::now() + limit;
        if (!this->socket.is_open()) {
            this->buffer.clear();
            this->socket = connect_to(to, std::min(limit, milliseconds(1000)));
        }
        std::string text = head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        bool sent = this->socket.is_open() && this->socket.send_all(text, until) && this->socket.send_all(body, until);
        auto answer = sent ? read_message(this->socket, this->buffer, until) : std::nullopt;
        if (!answer || answer->header("connection") == "close") {
            this->socket.close();
        }
        return answer;
    }

private:
    tcp_socket socket;
    std::string buffer;
};

// ---- Platform ----

struct platform_options {
    std::size_t cores = 3;
    std::size_t gateways = 1;
    std::size_t core_memory_mb = 256;
    std::size_t gateway_memory_mb = 260;
};

class platform {
public:
    platform(record_file& record, const platform_options& options) : record(record), options(options) {
        char directory[] = "/tmp/persimmongrade-review-XXXXXX";
        if (::mkdtemp(directory) == nullptr) {
            throw std::runtime_error("no temporary folder");
        }
        this->directory = directory;
        this->network = 2 + static_cast<int>(::getpid() % 240);
        for (std::size_t i = 0; i < options.cores; ++i) {
            this->add("core-" + std::to_string(i), "persimmongrade-fleet", options.core_memory_mb,
                      this->core_settings(i, true));
            std::filesystem::create_directories(this->directory + "/core-" + std::to_string(i));
        }
        for (std::size_t i = 0; i < options.gateways; ++i) {
            this->add("gateway-" + std::to_string(i), "persimmongrade-gateway", options.gateway_memory_mb,
                      this->gateway_settings(i));
        }
        for (auto& [name, entry] : this->processes) {
            this->start(entry);
        }
        // Only the first start of the whole system has `bootstrap: true`.
        for (std::size_t i = 0; i < options.cores; ++i) {
            this->processes.at("core-" + std::to_string(i)).later_settings = this->core_settings(i, false);
        }
        this->watcher = std::thread([this] { this->watch(); });
    }

    ~platform() {
        this->stopping = true;
        this->watcher.join();
        for (auto& [name, entry] : this->processes) {
            if (entry.pid > 0) {
                ::kill(entry.pid, SIGKILL);
                ::waitpid(entry.pid, nullptr, 0);
            }
        }
        std::filesystem::remove_all(this->directory);
    }

    platform(const platform&) = delete;
    platform& operator=(const platform&) = delete;

    address control(std::size_t i) const { return {this->ip(1, i), 8544}; }
    address front(std::size_t i) const { return {this->ip(2, i), 8548}; }
    address upstream(std::size_t i) const { return {this->ip(3, i), 8600}; }
    std::size_t cores() const { return this->options.cores; }
    std::string zone(std::size_t i) const { return zones.at(i % zones.size()).first; }

    // All processes of a class at the same moment; the platform starts them again after a short delay.
    void kill_all(const std::string& prefix) {
        std::lock_guard lock(this->mutex);
        for (auto& [name, entry] : this->processes) {
            if (name.starts_with(prefix) && entry.pid > 0) {
                entry.killed_by_test = true;
                ::kill(entry.pid, SIGKILL);
            }
        }
        this->record.line("platform: all processes " + prefix + "* are killed");
    }

    // Stops a process with SIGSTOP, or lets it go on with SIGCONT.
    void send_signal(const std::string& name, int number) {
        std::lock_guard lock(this->mutex);
        if (pid_t pid = this->processes.at(name).pid; pid > 0) {
            ::kill(pid, number);
        }
        this->record.line("platform: " + name + (number == SIGSTOP ? " is frozen" : " wakes"));
    }

    // The machine is removed for good.
    void remove(const std::string& name) {
        std::lock_guard lock(this->mutex);
        this->end(this->processes.at(name));
        this->record.line("platform: " + name + " is gone for good");
    }

    // A further core machine at an address of its own, with an empty disk.
    void add_core(std::size_t i) {
        std::lock_guard lock(this->mutex);
        std::string name = "core-" + std::to_string(i);
        std::filesystem::create_directories(this->directory + "/" + name);
        this->add(name, "persimmongrade-fleet", this->options.core_memory_mb, this->core_settings(i, false));
        this->start(this->processes.at(name));
        this->record.line("platform: " + name + " is added, at " + this->control(i).text());
    }

    // The machine loses power and its disk, and comes back at its address.
    void lose_disk(const std::string& name, milliseconds down) {
        std::lock_guard lock(this->mutex);
        process& entry = this->processes.at(name);
        this->end(entry);
        std::filesystem::remove_all(this->directory + "/" + name);
        std::filesystem::create_directories(this->directory + "/" + name);
        entry.start_at = steady::now() + down;
        this->record.line("platform: " + name + " loses its disk");
    }

    // Ends by themselves: with memory over the limit, or an exit that nobody asked for.
    std::size_t own_ends(const std::string& prefix, std::size_t at_least) const {
        std::lock_guard lock(this->mutex);
        std::size_t machines = 0;
        for (const auto& [name, entry] : this->processes) {
            machines += name.starts_with(prefix) && entry.own_ends >= at_least ? 1 : 0;
        }
        return machines;
    }

    void record_memory() {
        std::lock_guard lock(this->mutex);
        std::string text = "platform: memory in MB (peak), own ends:";
        for (const auto& [name, entry] : this->processes) {
            text += " " + name + " " + std::to_string(entry.memory_mb) + " (" + std::to_string(entry.peak_mb) + "), " +
                    std::to_string(entry.own_ends) + ";";
        }
        this->record.line(text);
    }

private:
    struct process {
        std::string name;
        std::string program;
        std::string file;
        std::string later_settings;  // from the second start on
        std::size_t limit_mb = 0;
        pid_t pid = -1;
        std::size_t starts = 0;
        std::size_t memory_mb = 0;
        std::size_t peak_mb = 0;
        std::size_t own_ends = 0;
        bool killed_by_test = false;
        std::optional<steady::time_point> start_at;
    };

    static inline const std::vector<std::pair<std::string, std::string>> zones = {
        {"bac-hanoi", "bac"},    {"trung-danang", "trung"}, {"nam-saigon", "nam"},
        {"bac-haiphong", "bac"}, {"trung-hue", "trung"},    {"nam-cantho", "nam"}};

    std::string ip(int group, std::size_t i) const {
        return "127." + std::to_string(this->network) + "." + std::to_string(group) + "." + std::to_string(i + 1);
    }

    // As the templates deploy/fleet.yaml and deploy/gateway.yaml are rendered for a deployment of `sites`.
    std::string common_settings(const std::string& node, int group, std::size_t i, std::size_t memory_mb) const {
        const auto& [zone, region] = zones.at(i % zones.size());
        std::string seeds;
        for (std::size_t k = 0; k < std::min<std::size_t>(3, this->options.cores); ++k) {
            seeds += (k == 0 ? "" : ",") + this->control(k).text();
        }
        std::string text = "cluster: persimmongrade\nnode: \"" + node + "\"\nregion: \"" + region + "\"\nzone: \"" +
                           zone + "\"\npeer_address: \"" + this->ip(group, i) + ":7540\"\nmetrics_address: \"" +
                           this->ip(group, i) + ":7541\"\nentry_http_address: \"" + this->ip(group, i) +
                           ":8546\"\nseeds: [" + seeds + "]\nzones:\n";
        for (const auto& [name, its_region] : zones) {
            text += "  - {zone: \"" + name + "\", region: \"" + its_region + "\"}\n";
        }
        return text + "heartbeat_ms: 1500\nstop_timeout_ms: 6000\nmemory_mb: " + std::to_string(memory_mb) +
               "\ndescriptors: 4100\n";
    }

    std::string core_settings(std::size_t i, bool bootstrap) const {
        std::string node = "core-" + std::to_string(i);
        return this->common_settings(node, 1, i, this->options.core_memory_mb) + "control_http_address: \"" +
               this->control(i).text() + "\"\ndata_directory: \"" + this->directory + "/" + node +
               "/log\"\nbootstrap: " + (bootstrap ? "true" : "false") +
               "\nlost_disks: " + std::to_string(this->options.cores / 2) + "\n";
    }

    std::string gateway_settings(std::size_t i) const {
        return this->common_settings("gateway-" + std::to_string(i), 2, i, this->options.gateway_memory_mb) +
               "front_address: \"" + this->front(i).text() + "\"\nready_address: \"" + this->ip(2, i) +
               ":8542\"\nretry_ratio: 0.2\nretry_window_ms: 10000\nmax_shift: 0.15\n";
    }

    void add(const std::string& name, const std::string& program, std::size_t limit_mb, const std::string& settings) {
        process& entry = this->processes[name];
        entry.name = name;
        entry.program = program;
        entry.file = this->directory + "/" + name + ".yaml";
        entry.limit_mb = limit_mb;
        std::ofstream(entry.file) << settings;
    }

    void start(process& entry) {
        if (entry.starts > 0 && !entry.later_settings.empty()) {
            std::ofstream(entry.file, std::ios::trunc) << entry.later_settings;
        }
        std::string program = "target/bin/" + entry.program;
        std::string log = this->directory + "/" + entry.name + ".log";
        std::vector<std::string> words = {program, "--config", entry.file};
        std::vector<char*> arguments;
        for (std::string& word : words) {
            arguments.push_back(word.data());
        }
        arguments.push_back(nullptr);
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_addopen(&files, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&files, 1, 2);
        int failure = ::posix_spawn(&entry.pid, program.c_str(), &files, nullptr, arguments.data(), environ);
        posix_spawn_file_actions_destroy(&files);
        if (failure != 0) {
            entry.pid = -1;
            throw std::runtime_error("cannot start " + program + "; run the build of the deploy file first");
        }
        ++entry.starts;
        entry.killed_by_test = false;
        entry.start_at.reset();
    }

    void end(process& entry) {
        if (entry.pid > 0) {
            ::kill(entry.pid, SIGKILL);
            ::waitpid(entry.pid, nullptr, 0);
            entry.pid = -1;
        }
    }

    // Anonymous memory at its peak since the start, which a look every few milliseconds could miss: VmHWM without the
    // pages of files.
    static std::pair<std::size_t, std::size_t> anonymous_mb(pid_t pid) {
        std::ifstream status("/proc/" + std::to_string(pid) + "/status");
        std::map<std::string, std::size_t> kilobytes;
        std::string line;
        while (std::getline(status, line)) {
            std::size_t colon = line.find(':');
            if (colon != std::string::npos && (line.starts_with("Rss") || line.starts_with("VmHWM"))) {
                kilobytes[line.substr(0, colon)] = std::strtoull(line.c_str() + colon + 1, nullptr, 10);
            }
        }
        std::size_t files = kilobytes["RssFile"] + kilobytes["RssShmem"];
        std::size_t peak = kilobytes["VmHWM"] > files ? kilobytes["VmHWM"] - files : 0;
        return {kilobytes["RssAnon"] / 1024, std::max(kilobytes["RssAnon"], peak) / 1024};
    }

    void watch() {
        constexpr auto interval = milliseconds(5);
        constexpr auto restart_delay = milliseconds(500);
        while (!this->stopping) {
            pause(interval);
            std::lock_guard lock(this->mutex);
            for (auto& [name, entry] : this->processes) {
                if (entry.pid <= 0) {
                    if (entry.start_at && steady::now() >= *entry.start_at) {
                        this->start(entry);
                    }
                    continue;
                }
                int status = 0;
                if (::waitpid(entry.pid, &status, WNOHANG) == entry.pid) {
                    entry.pid = -1;
                    entry.start_at = steady::now() + restart_delay;
                    if (!entry.killed_by_test) {
                        ++entry.own_ends;
                        this->record.line("platform: " + name + " has ended by itself, status " +
                                          std::to_string(status));
                    }
                    continue;
                }
                auto [memory_mb, peak_mb] = anonymous_mb(entry.pid);
                entry.memory_mb = memory_mb;
                entry.peak_mb = std::max(entry.peak_mb, peak_mb);
                if (peak_mb > entry.limit_mb) {
                    ::kill(entry.pid, SIGKILL);
                    ::waitpid(entry.pid, nullptr, 0);
                    entry.pid = -1;
                    entry.start_at = steady::now() + restart_delay;
                    ++entry.own_ends;
                    this->record.line("platform: " + name + " has used " + std::to_string(peak_mb) +
                                      " MB, more than its " + std::to_string(entry.limit_mb) +
                                      ": it is killed (own end " + std::to_string(entry.own_ends) + ")");
                }
            }
        }
    }

    record_file& record;
    platform_options options;
    std::string directory;
    int network = 0;
    mutable std::mutex mutex;
    std::map<std::string, process> processes;
    std::atomic<bool> stopping = false;
    std::thread watcher;
};

// ---- Operator ----

class operator_client {
public:
    explicit operator_client(const platform& system) : system(system) {}

    // Sends the order to one node after another until one acknowledges it, following a 307 twice. Empty: no
    // acknowledgement within `limit`.
    std::optional<http_message> order(const std::string& method, const std::string& path, const std::string& body,
                                      milliseconds limit) {
        auto until = steady::now() + limit;
        while (steady::now() < until) {
            address to = this->system.control(this->next);
            for (int hops = 0; hops <= 2; ++hops) {
                http_connection connection;
                auto answer = connection.call(to,
                                              method + " " + path + " HTTP/1.1\r\nHost: " + to.text() +
                                                  "\r\nContent-Type: application/json\r\n",
                                              body, this->call_limit(body));
                this->last_status = answer ? answer->status() : 0;
                if (this->last_status == 200) {
                    return answer;
                }
                if (this->last_status != 307) {
                    break;
                }
                std::string location = answer->header("location").substr(7);
                to = address::parse(location.substr(0, location.find('/')));
            }
            this->next = (this->next + 1) % this->system.cores();
            pause(milliseconds(100));
        }
        return std::nullopt;
    }

    int last_status = 0;  // of the last call; 0: no answer

private:
    // "a second without a response (more for large bodies)"
    static milliseconds call_limit(const std::string& body) {
        constexpr std::size_t large_body = 65536;
        return milliseconds(body.size() > large_body ? 4000 : 1000);
    }

    const platform& system;
    std::size_t next = 0;
};

// ---- Upstreams ----

// A sound upstream: reports itself, runs each request for the time that `work` gives, and keeps connections open.
class upstream {
public:
    struct run {
        std::string attempt;
        std::string path;
        std::size_t body_bytes = 0;
    };
    struct answer {
        milliseconds work{};
        std::size_t body_bytes = 0;
    };

    upstream(const platform& system, std::size_t i, std::string service,
             std::function<answer(const http_message& request, const std::string& path)> behaviour)
        : system(system), own(system.upstream(i)), id("i-" + std::to_string(1000 + i)), number(i),
          service(std::move(service)), behaviour(std::move(behaviour)), started_at(unix_ms()) {
        this->listener = tcp_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        int on = 1;
        ::setsockopt(this->listener.handle(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in native = this->own.native();
        bool bound = ::bind(this->listener.handle(), reinterpret_cast<sockaddr*>(&native), sizeof native) == 0 &&
                     ::listen(this->listener.handle(), 256) == 0;
        if (!bound) {
            throw std::runtime_error("cannot listen on " + this->own.text());
        }
        this->accepting = std::thread([this] { this->accept(); });
        this->reporting = std::thread([this] { this->report(); });
    }

    ~upstream() {
        this->stopping = true;
        this->accepting.join();
        this->reporting.join();
        for (std::thread& worker : this->workers) {
            worker.join();
        }
    }

    upstream(const upstream&) = delete;
    upstream& operator=(const upstream&) = delete;

    std::vector<run> runs() const {
        std::lock_guard lock(this->mutex);
        return this->seen;
    }

private:
    void accept() {
        while (!this->stopping) {
            if (!this->listener.wait(POLLIN, steady::now() + milliseconds(100))) {
                continue;
            }
            int accepted = ::accept4(this->listener.handle(), nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted >= 0) {
                this->workers.emplace_back([this, accepted] { this->serve(tcp_socket(accepted)); });
            }
        }
    }

    void serve(tcp_socket socket) {
        constexpr auto idle_limit = std::chrono::seconds(10);  // as stated in Keep-Alive
        int on = 1;
        ::setsockopt(socket.handle(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::string buffer;
        auto idle_until = steady::now() + idle_limit;
        while (!this->stopping && steady::now() < idle_until) {
            if (buffer.empty() && !socket.wait(POLLIN, std::min(idle_until, steady::now() + milliseconds(100)))) {
                continue;
            }
            auto request = read_message(socket, buffer, steady::now() + std::chrono::seconds(20));
            if (!request) {
                return;
            }
            std::size_t first = request->start_line.find(' ');
            std::string path =
                request->start_line.substr(first + 1, request->start_line.find(' ', first + 1) - first - 1);
            std::string attempt = request->header("attempt-id");
            {
                std::lock_guard lock(this->mutex);
                this->seen.push_back({attempt, path, request->body.size()});
            }
            answer given = this->behaviour(*request, path);
            pause(given.work);
            std::string text = "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Seal: " + this->id +
                               "\r\nKeep-Alive: timeout=10\r\nContent-Length: " + std::to_string(given.body_bytes) +
                               "\r\n\r\n";
            text.append(given.body_bytes, 'x');
            if (!socket.send_all(text, steady::now() + std::chrono::seconds(20))) {
                return;
            }
            idle_until = steady::now() + idle_limit;
        }
    }

    void report() {
        std::uint64_t sequence = 0;
        std::size_t next = this->number;
        while (!this->stopping) {
            std::string body =
                "{\"address\":\"" + this->own.text() + "\",\"born\":" + std::to_string(this->started_at) +
                ",\"info\":{\"service\":\"" + this->service + "\",\"version\":\"v1\",\"zone\":\"" +
                this->system.zone(this->number) +
                "\",\"slots\":6},\"status\":{\"state\":\"ready\",\"sequence\":" + std::to_string(++sequence) +
                ",\"warmup-left-ms\":0}}";
            for (std::size_t tries = 0; tries < this->system.cores(); ++tries) {
                address to = this->system.control(next % this->system.cores());
                http_connection connection;
                auto answer = connection.call(to,
                                              "PUT /api/instances/" + this->id + " HTTP/1.1\r\nHost: " + to.text() +
                                                  "\r\nContent-Type: application/json\r\n",
                                              body, milliseconds(1000));
                if (answer && answer->status() == 200) {
                    break;
                }
                ++next;
            }
            for (int i = 0; i < 15 && !this->stopping; ++i) {
                pause(milliseconds(100));
            }
        }
    }

    const platform& system;
    address own;
    std::string id;
    std::size_t number;
    std::string service;
    std::function<answer(const http_message&, const std::string&)> behaviour;
    std::int64_t started_at;
    tcp_socket listener;
    std::atomic<bool> stopping = false;
    mutable std::mutex mutex;
    std::vector<run> seen;
    std::vector<std::thread> workers;
    std::thread accepting;
    std::thread reporting;
};

// ---- Manifest ----

inline std::string route_json(const std::string& name, const std::string& prefix, const std::string& kind,
                              const std::string& service, int timeout_ms, int version) {
    return "\"" + name + "\":{\"host\":\"jepu9.example\",\"path-prefix\":\"" + prefix + "\",\"route-type\":\"" + kind +
           "\",\"timeout-ms\":" + std::to_string(timeout_ms) +
           ",\"target-latency-ms\":200,\"priority\":2,\"traffic-split\":[{\"service\":\"" + service +
           "\",\"weight\":100}],\"max-attempts\":2,\"sticky\":false,\"allowed-regions\":[],\"version\":\"r" +
           std::to_string(version) + "\"}";
}

inline std::string first_call(const std::string& routes, const std::vector<std::string>& services) {
    std::string table;
    for (const std::string& service : services) {
        table += (table.empty() ? "\"" : ",\"") + service +
                 "\":{\"health-path\":\"/health\",\"max-connections\":390,\"protocol\":\"h1\",\"tls\":false,"
                 "\"warmup-s\":3.0,\"warmup-per-s\":17.0,\"version\":\"r1\"}";
    }
    return "{\"upsert\":{\"routes\":{" + routes + "},\"services\":{" + table +
           "},\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\"header-timeout-ms\":3000,"
           "\"idle-timeout-ms\":15000,\"version\":\"r1\"}},\"remove\":{\"routes\":[]}}";
}

}  // namespace review
