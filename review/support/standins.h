// Stand-ins for the review's scripts: the platform (settings, starts and restarts of processes), clients, the operator
// and servers (targets). They use blocking sockets and threads, and only the C++ library and POSIX.
//
//     review::deployment system(review::record_path(argv), {.cores = 3, .fronts = 2});
//     system.start_all();
//     review::server server(system, {.id = "i-1", .service = "desk", .zone = system.zone(0)});
//     system.submit_until_acknowledged(body);
//     auto answer = review::call(system.front(0), {.method = "POST", .path = "/desk/1"});

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
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

extern char** environ;

namespace review {

// Exit codes of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

inline std::int64_t now_ms() {
    auto since = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

inline std::int64_t unix_ms() {
    auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

inline void sleep_ms(std::int64_t time) {
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(0, time)));
}

inline void sleep_until(std::int64_t time) {
    sleep_ms(time - now_ms());
}

// TROUBLE=0 leaves the disruption out.
inline bool with_trouble() {
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string_view(text) != "0";
}

// ---- Record ----

// What was sent, answered and run, with the time since the start in seconds.
class event_record {
public:
    explicit event_record(const std::string& file) : out(file, std::ios::trunc), began_at(now_ms()) {}

    void note(const std::string& text) {
        std::lock_guard guard(this->lock);
        std::array<char, 32> time{};
        std::snprintf(time.data(), time.size(), "%8.3f  ", static_cast<double>(now_ms() - this->began_at) / 1000.0);
        this->out << time.data() << text << std::endl;
    }

private:
    std::mutex lock;
    std::ofstream out;
    std::int64_t began_at;
};

// ---- Sockets ----

struct address {
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return this->ip + ":" + std::to_string(this->port); }
    auto operator<=>(const address&) const = default;

    static address parse(const std::string& text) {
        std::size_t colon = text.rfind(':');
        if (colon == std::string::npos) {
            return {};
        }
        return {text.substr(0, colon), static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1))};
    }

    sockaddr_in native() const {
        sockaddr_in result{};
        result.sin_family = AF_INET;
        result.sin_port = htons(this->port);
        inet_pton(AF_INET, this->ip.c_str(), &result.sin_addr);
        return result;
    }
};

class descriptor {
public:
    explicit descriptor(int value = -1) : value(value) {}
    ~descriptor() { this->reset(); }
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;
    descriptor(descriptor&& other) noexcept : value(std::exchange(other.value, -1)) {}
    descriptor& operator=(descriptor&& other) noexcept {
        std::swap(this->value, other.value);
        return *this;
    }
    int get() const { return this->value; }
    bool open() const { return this->value >= 0; }
    void reset() {
        if (this->value >= 0) {
            ::close(std::exchange(this->value, -1));
        }
    }

private:
    int value;
};

inline descriptor listen_at(const address& at) {
    descriptor made(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    int on = 1;
    ::setsockopt(made.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in native = at.native();
    bool ready =
        ::bind(made.get(), reinterpret_cast<sockaddr*>(&native), sizeof(native)) == 0 && ::listen(made.get(), 128) == 0;
    return ready ? std::move(made) : descriptor();
}

inline bool can_bind(const address& at) {
    return listen_at(at).open();
}

// True when bytes, the end of the stream or an error can be read before `until`.
inline bool wait_readable(int socket, std::int64_t until) {
    while (true) {
        pollfd entry{socket, POLLIN, 0};
        std::int64_t left = until - now_ms();
        if (left <= 0) {
            return false;
        }
        int result = ::poll(&entry, 1, static_cast<int>(left));
        if (result > 0) {
            return true;
        }
        if (result < 0 && errno != EINTR) {
            return true;
        }
    }
}

inline descriptor connect_to(const address& at, std::int64_t until) {
    descriptor made(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    sockaddr_in native = at.native();
    int result = ::connect(made.get(), reinterpret_cast<sockaddr*>(&native), sizeof(native));
    if (result != 0 && errno != EINPROGRESS) {
        return descriptor();
    }
    pollfd entry{made.get(), POLLOUT, 0};
    if (::poll(&entry, 1, static_cast<int>(std::max<std::int64_t>(1, until - now_ms()))) <= 0) {
        return descriptor();
    }
    int failure = 0;
    socklen_t size = sizeof(failure);
    ::getsockopt(made.get(), SOL_SOCKET, SO_ERROR, &failure, &size);
    if (failure != 0) {
        return descriptor();
    }
    ::fcntl(made.get(), F_SETFL, ::fcntl(made.get(), F_GETFL) & ~O_NONBLOCK);
    int on = 1;
    ::setsockopt(made.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return made;
}

inline bool send_all(int socket, std::string_view bytes) {
    while (!bytes.empty()) {
        ssize_t sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0 && errno != EINTR) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(0, sent)));
    }
    return true;
}

// ---- HTTP messages ----

struct message {
    std::string start_line;
    std::vector<std::pair<std::string, std::string>> headers;  // names in lower case
    std::string body;

    std::string header(const std::string& name) const {
        for (const auto& [own, value] : this->headers) {
            if (own == name) {
                return value;
            }
        }
        return {};
    }
    bool has(const std::string& name) const {
        return std::any_of(this->headers.begin(), this->headers.end(),
                           [&](const auto& entry) { return entry.first == name; });
    }
};

enum class read_result { complete, ended, timed_out };

// Reads messages with a Content-Length (or without a body) from one connection.
class message_reader {
public:
    explicit message_reader(int socket) : socket(socket) {}

    read_result read(message& out, std::int64_t until) {
        std::size_t head_end = std::string::npos;
        while ((head_end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (auto result = this->receive(until); result != read_result::complete) {
                return result;
            }
        }
        out = parse_head(this->buffer.substr(0, head_end));
        this->buffer.erase(0, head_end + 4);
        auto length = static_cast<std::size_t>(std::atoll(out.header("content-length").c_str()));
        while (this->buffer.size() < length) {
            if (auto result = this->receive(until); result != read_result::complete) {
                return result;
            }
        }
        out.body = this->buffer.substr(0, length);
        this->buffer.erase(0, length);
        return read_result::complete;
    }

private:
    static message parse_head(const std::string& text) {
        message parsed;
        std::size_t place = text.find("\r\n");
        parsed.start_line = text.substr(0, place);
        while (place != std::string::npos) {
            std::size_t begin = place + 2;
            place = text.find("\r\n", begin);
            std::string line = text.substr(begin, place == std::string::npos ? place : place - begin);
            std::size_t colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            std::size_t value = line.find_first_not_of(' ', colon + 1);
            parsed.headers.emplace_back(name, value == std::string::npos ? "" : line.substr(value));
        }
        return parsed;
    }

    read_result receive(std::int64_t until) {
        if (!wait_readable(this->socket, until)) {
            return read_result::timed_out;
        }
        std::array<char, 65536> bytes;
        ssize_t size = ::recv(this->socket, bytes.data(), bytes.size(), 0);
        if (size <= 0) {
            return read_result::ended;
        }
        this->buffer.append(bytes.data(), static_cast<std::size_t>(size));
        return read_result::complete;
    }

    int socket;
    std::string buffer;
};

struct request {
    std::string method = "GET";
    std::string path = "/";
    std::string host = "a.example";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::int64_t timeout_ms = 1000;
};

// `status` 0: no connection, or it ended without an answer. -1: no answer in time.
struct answer {
    int status = 0;
    message content;
    bool sent = false;
};

inline std::string text_of(const request& given, bool keep) {
    std::string text = given.method + " " + given.path + " HTTP/1.1\r\nHost: " + given.host + "\r\n";
    for (const auto& [name, value] : given.headers) {
        text += name + ": " + value + "\r\n";
    }
    if (!given.body.empty() || given.method != "GET") {
        text += "Content-Length: " + std::to_string(given.body.size()) + "\r\n";
    }
    return text + (keep ? "\r\n" : "Connection: close\r\n\r\n") + given.body;
}

inline answer read_answer(message_reader& reader, std::int64_t until) {
    answer result;
    result.sent = true;
    switch (reader.read(result.content, until)) {
    case read_result::complete:
        result.status = std::atoi(result.content.start_line.substr(9).c_str());
        break;
    case read_result::timed_out:
        result.status = -1;
        break;
    case read_result::ended:
        result.status = 0;
        break;
    }
    return result;
}

// One request on a connection of its own.
inline answer call(const address& to, const request& given) {
    std::int64_t until = now_ms() + given.timeout_ms;
    descriptor socket = connect_to(to, until);
    if (!socket.open() || !send_all(socket.get(), text_of(given, false))) {
        return {};
    }
    message_reader reader(socket.get());
    return read_answer(reader, until);
}

// ---- Deployment ----

struct deployment_options {
    std::size_t cores = 3;
    std::size_t fronts = 2;
    int lost_disks = 1;
    std::int64_t heartbeat_ms = 1500;
    std::int64_t grace_ms = 6000;
};

// The processes of a small deployment. Machine i of each class is in zone i; each zone has a region of its own, up to
// three, and machines have addresses 127.x.y.z of their own, with the same ports.
class deployment {
public:
    explicit deployment(event_record& record, const deployment_options& options = {})
        : record(record), options(options) {
        std::string name = (std::filesystem::temp_directory_path() / "persimmongrade-review-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr) {
            throw std::runtime_error("no temporary folder");
        }
        this->directory = name;
        this->choose_addresses();
    }

    ~deployment() {
        for (auto& [name, process] : this->processes) {
            end_process(process);
        }
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::filesystem::remove_all(this->directory);
        } else {
            std::cerr << "logs: " << this->directory << "\n";
        }
    }

    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    event_record& record;
    deployment_options options;

    // ---- Places ----

    std::string ip(const std::string& kind, std::size_t i) const {
        int group = kind == "core" ? 1 : kind == "front" ? 2 : 3;
        return this->network + std::to_string(group) + "." + std::to_string(i + 1);
    }
    address core(std::size_t i) const { return {this->ip("core", i), this->control_port}; }
    address core_directory(std::size_t i) const { return {this->ip("core", i), this->directory_port}; }
    address core_peer(std::size_t i) const { return {this->ip("core", i), this->peer_port}; }
    address front(std::size_t i) const { return {this->ip("front", i), this->front_port}; }
    address front_directory(std::size_t i) const { return {this->ip("front", i), this->directory_port}; }
    address ready(std::size_t i) const { return {this->ip("front", i), this->ready_port}; }
    address server(std::size_t i) const { return {this->ip("server", i), this->server_port}; }
    std::string region(std::size_t i) const { return "region-" + std::to_string(i % this->zone_count()); }
    std::string zone(std::size_t i) const { return "zone-" + std::to_string(i % this->zone_count()); }
    std::size_t zone_count() const { return 3; }

    // ---- Processes ----

    void start_all(const std::function<void(deployment&)>& after_cores = {}) {
        for (std::size_t i = 0; i < this->options.cores; ++i) {
            this->start_core(i, true);
        }
        if (after_cores) {
            after_cores(*this);
        }
        for (std::size_t i = 0; i < this->options.fronts; ++i) {
            this->start_front(i);
        }
    }

    void start_core(std::size_t i, bool bootstrap) {
        std::string own = "control_http_address: \"" + this->core(i).text() + "\"\ndata_directory: \"" +
                          this->directory + "/core-" + std::to_string(i) +
                          "/log\"\nbootstrap: " + (bootstrap ? "true" : "false") +
                          "\nlost_disks: " + std::to_string(this->options.lost_disks) + "\n";
        this->start("core", i, "persimmongrade-fleet", own, 256);
    }

    void start_front(std::size_t i) {
        std::string own = "front_address: \"" + this->front(i).text() + "\"\nready_address: \"" +
                          this->ready(i).text() + "\"\nretry_ratio: 0.2\nretry_window_ms: 10000\nmax_shift: 0.15\n";
        this->start("front", i, "persimmongrade-gateway", own, 390);
    }

    // Of the core machine at its control address.
    std::string name_at(const address& at) const {
        for (std::size_t i = 0; i < this->options.cores; ++i) {
            if (this->core(i) == at) {
                return name_of("core", i);
            }
        }
        return at.text();
    }

    static std::string name_of(const std::string& kind, std::size_t i) { return kind + "-" + std::to_string(i); }

    void signal(const std::string& name, int number) {
        this->record.note("signal " + std::to_string(number) + " to " + name);
        std::lock_guard guard(this->lock);
        auto& process = this->processes.at(name);
        if (process.id > 0) {
            ::kill(process.id, number);
        }
    }

    void kill(const std::string& name) {
        this->record.note("kill " + name);
        std::lock_guard guard(this->lock);
        end_process(this->processes.at(name));
    }

    // Kills the process and empties its data directory.
    void lose_disk(const std::string& name) {
        this->kill(name);
        this->record.note("the disk of " + name + " is lost");
        std::filesystem::remove_all(this->directory + "/" + name);
        std::filesystem::create_directories(this->directory + "/" + name);
    }

    // Starts the program again with its settings; `bootstrap` is false at every later start.
    void restart(const std::string& name) {
        std::lock_guard guard(this->lock);
        auto& process = this->processes.at(name);
        end_process(process);
        rewrite(process.settings, "bootstrap: true", "bootstrap: false");
        spawn(process);
        this->record.note("start " + name);
    }

    // Whether the process has ended by itself. Its exit is reported once.
    std::optional<std::string> ended(const std::string& name) {
        std::lock_guard guard(this->lock);
        auto& process = this->processes.at(name);
        int status = 0;
        if (process.id <= 0 || ::waitpid(process.id, &status, WNOHANG) != process.id) {
            return std::nullopt;
        }
        process.id = -1;
        return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                   : "exit " + std::to_string(WEXITSTATUS(status));
    }

    // The last line that the process wrote, without its path.
    std::string last_line(const std::string& name) {
        std::lock_guard guard(this->lock);
        std::ifstream in(this->processes.at(name).log);
        std::string line;
        std::string last;
        while (std::getline(in, line)) {
            last = line.empty() ? last : line;
        }
        return last;
    }

    // ---- Operator ----

    // One order, with up to two redirects. `first` is the core machine that is asked.
    answer order(const std::string& method, const std::string& path, const std::string& body, std::size_t first) {
        address to = this->core(first);
        answer result;
        for (int redirects = 0; redirects <= 2; ++redirects) {
            request given{.method = method, .path = path, .body = body};
            if (!body.empty()) {
                given.headers.emplace_back("Content-Type", "application/json");
            }
            result = call(to, given);
            constexpr int temporary_redirect = 307;
            if (result.status != temporary_redirect) {
                break;
            }
            std::string location = result.content.header("location").substr(7);
            to = address::parse(location.substr(0, location.find('/')));
        }
        return result;
    }

    bool order_until_acknowledged(const std::string& method, const std::string& path, const std::string& body,
                                  std::int64_t longest_ms = 15000) {
        std::int64_t until = now_ms() + longest_ms;
        for (std::size_t i = 0; now_ms() < until; ++i) {
            answer result = this->order(method, path, body, i % this->options.cores);
            if (result.status == 200) {
                this->record.note(method + " " + path + " acknowledged");
                return true;
            }
            sleep_ms(200);
        }
        this->record.note(method + " " + path + " not acknowledged");
        return false;
    }

    bool wait_ready(std::int64_t longest_ms = 15000) {
        std::int64_t until = now_ms() + longest_ms;
        for (std::size_t i = 0; i < this->options.fronts;) {
            if (call(this->ready(i), {.path = "/api/readiness", .timeout_ms = 500}).status == 200) {
                ++i;
                continue;
            }
            if (now_ms() > until) {
                return false;
            }
            sleep_ms(100);
        }
        return true;
    }

private:
    struct process {
        std::string program;
        std::string settings;
        std::string log;
        pid_t id = -1;
    };

    void choose_addresses() {
        std::mt19937 random(std::random_device{}());
        for (int tries = 0; tries < 200; ++tries) {
            std::uniform_int_distribution<int> octet(20, 220);
            std::uniform_int_distribution<int> port(12000, 28000);
            this->network = "127." + std::to_string(octet(random)) + ".";
            this->peer_port = static_cast<std::uint16_t>(port(random));
            this->metrics_port = static_cast<std::uint16_t>(this->peer_port + 1);
            this->control_port = static_cast<std::uint16_t>(this->peer_port + 2);
            this->directory_port = static_cast<std::uint16_t>(this->peer_port + 3);
            this->front_port = static_cast<std::uint16_t>(this->peer_port + 4);
            this->ready_port = static_cast<std::uint16_t>(this->peer_port + 5);
            this->server_port = static_cast<std::uint16_t>(this->peer_port + 6);
            bool free = true;
            for (int offset = 0; offset < 7; ++offset) {
                for (const char* kind : {"core", "front", "server"}) {
                    free = free && can_bind({this->ip(kind, 0), static_cast<std::uint16_t>(this->peer_port + offset)});
                }
            }
            if (free) {
                return;
            }
        }
        throw std::runtime_error("no free ports");
    }

    void start(const std::string& kind, std::size_t i, const std::string& program, const std::string& own,
               int memory_mb) {
        std::string name = name_of(kind, i);
        process& added = this->processes[name];
        added.program = "target/bin/" + program;
        added.settings = this->directory + "/" + name + ".yaml";
        added.log = this->directory + "/" + name + ".log";
        std::ofstream out(added.settings);
        std::string ip = this->ip(kind, i);
        out << "cluster: persimmongrade\nnode: \"" << name << "\"\nregion: \"" << this->region(i) << "\"\nzone: \""
            << this->zone(i) << "\"\npeer_address: \"" << ip << ":" << this->peer_port << "\"\nmetrics_address: \""
            << ip << ":" << this->metrics_port << "\"\nentry_http_address: \"" << ip << ":" << this->directory_port
            << "\"\nseeds: [" << this->core(0).text() << "," << this->core(1).text() << "," << this->core(2).text()
            << "]\nzones:\n";
        for (std::size_t z = 0; z < this->zone_count(); ++z) {
            out << "  - {zone: \"" << this->zone(z) << "\", region: \"" << this->region(z) << "\"}\n";
        }
        out << "heartbeat_ms: " << this->options.heartbeat_ms << "\nstop_timeout_ms: " << this->options.grace_ms
            << "\nmemory_mb: " << memory_mb << "\ndescriptors: 4096\n"
            << own;
        out.close();
        std::filesystem::create_directories(this->directory + "/" + name);
        spawn(added);
        this->record.note("start " + name);
    }

    static void rewrite(const std::string& file, const std::string& from, const std::string& to) {
        std::ifstream in(file);
        std::string text{std::istreambuf_iterator<char>(in), {}};
        std::size_t place = text.find(from);
        if (place != std::string::npos) {
            text.replace(place, from.size(), to);
            std::ofstream(file) << text;
        }
    }

    static void spawn(process& started) {
        std::vector<std::string> words{started.program, "--config", started.settings};
        std::vector<char*> pointers;
        for (std::string& word : words) {
            pointers.push_back(word.data());
        }
        pointers.push_back(nullptr);
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_addopen(&files, 1, started.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        posix_spawn_file_actions_adddup2(&files, 1, 2);
        int failure = ::posix_spawn(&started.id, started.program.c_str(), &files, nullptr, pointers.data(), environ);
        posix_spawn_file_actions_destroy(&files);
        if (failure != 0) {
            started.id = -1;
            throw std::runtime_error("cannot start " + started.program);
        }
    }

    static void end_process(process& ended) {
        if (ended.id > 0) {
            ::kill(ended.id, SIGCONT);
            ::kill(ended.id, SIGKILL);
            ::waitpid(ended.id, nullptr, 0);
            ended.id = -1;
        }
    }

    std::string directory;
    std::string network;
    std::uint16_t peer_port = 0;
    std::uint16_t metrics_port = 0;
    std::uint16_t control_port = 0;
    std::uint16_t directory_port = 0;
    std::uint16_t front_port = 0;
    std::uint16_t ready_port = 0;
    std::uint16_t server_port = 0;
    std::mutex lock;
    std::map<std::string, process> processes;
};

// ---- Server ----

struct server_options {
    std::string id;
    std::string service;
    std::string zone;
    address at;
    std::size_t first_core = 0;  // that its pings go to until one fails there
    unsigned slots = 4;
    std::int64_t work_ms = 50;
};

struct arrival {
    std::int64_t at = 0;
    std::string attempt;
    std::string path;
    bool ran = false;
};

// A server (target) that serves, sends pings, and leaves as the users' pages say.
class server {
public:
    server(deployment& system, const server_options& options) : system(system), options(options), born(unix_ms()) {
        this->listener = listen_at(options.at);
        if (!this->listener.open()) {
            throw std::runtime_error("server cannot listen");
        }
        this->core = options.first_core;
        this->acceptor = std::thread([this] { this->accept_connections(); });
        this->pinger = std::thread([this] { this->send_pings(); });
    }

    ~server() { this->stop(); }
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    std::atomic<bool> answers_leaving = false;  // header Server-Leaving in all answers
    std::atomic<bool> pings = true;

    const std::string& id() const { return this->options.id; }

    std::vector<arrival> arrivals() {
        std::lock_guard guard(this->lock);
        return this->seen;
    }

    // One ping. True when it was acknowledged.
    bool ping(const std::string& state) {
        std::string body = "{\"address\":\"" + this->options.at.text() + "\",\"born\":" + std::to_string(this->born) +
                           ",\"info\":{\"service\":\"" + this->options.service + "\",\"version\":\"v1\",\"zone\":\"" +
                           this->options.zone + "\",\"slots\":" + std::to_string(this->options.slots) +
                           "},\"status\":{\"state\":\"" + state +
                           "\",\"sequence\":" + std::to_string(++this->sequence) + ",\"warmup-left-ms\":0}}";
        return this->tell("PUT", body);
    }

    // The call of a server that leaves, at the node that its pings go to and then at the next ones. Returns the name of
    // the node that acknowledged it.
    std::string leave() {
        this->pings = false;
        this->answers_leaving = true;
        for (std::size_t tries = 0; tries < 2 * this->system.options.cores; ++tries) {
            std::string node = this->system.name_at(this->ping_target());
            bool acknowledged = this->tell("DELETE", "");
            this->system.record.note("server " + this->id() + ": DELETE " + (acknowledged ? "" : "not ") +
                                     "acknowledged by " + node);
            if (acknowledged) {
                return node;
            }
            sleep_ms(100);
        }
        return {};
    }

    // Ends the server: nothing listens, and open connections are reset.
    void stop() {
        if (this->ended.exchange(true)) {
            return;
        }
        ::shutdown(this->listener.get(), SHUT_RDWR);
        this->acceptor.join();
        this->pinger.join();
        {
            std::lock_guard guard(this->lock);
            for (int open : this->sockets) {
                ::shutdown(open, SHUT_RDWR);
            }
        }
        for (std::thread& worker : this->workers) {
            worker.join();
        }
        this->listener.reset();
    }

    // Set before traffic starts; for servers that answer in another way than with a sound 200.
    std::function<bool(int socket, const message& request)> special;

private:
    address ping_target() const {
        return this->named.port != 0 ? this->named : this->system.core(this->core % this->system.options.cores);
    }

    bool tell(const std::string& method, const std::string& body) {
        std::lock_guard guard(this->tell_lock);
        request given{.method = method, .path = "/api/instances/" + this->options.id, .body = body};
        if (!body.empty()) {
            given.headers.emplace_back("Content-Type", "application/json");
        }
        answer result = call(this->ping_target(), given);
        bool acknowledged = result.status >= 200 && result.status < 300;
        if (!acknowledged) {
            this->core = (this->core + 1) % this->system.options.cores;
            this->named = {};
            return false;
        }
        constexpr std::string_view field = "\"heartbeat-url\":\"";
        std::size_t place = result.content.body.find(field);
        if (place != std::string::npos) {
            std::size_t begin = place + field.size();
            this->named =
                address::parse(result.content.body.substr(begin, result.content.body.find('"', begin) - begin));
        }
        return true;
    }

    void send_pings() {
        std::int64_t next = now_ms();
        while (!this->ended) {
            if (this->pings && now_ms() >= next) {
                bool acknowledged = this->ping("ready");
                next = now_ms() + (acknowledged ? this->system.options.heartbeat_ms : 100);
            }
            sleep_ms(10);
        }
    }

    void accept_connections() {
        while (!this->ended) {
            int accepted = ::accept4(this->listener.get(), nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                continue;
            }
            std::lock_guard guard(this->lock);
            this->sockets.insert(accepted);
            this->workers.emplace_back([this, accepted] { this->serve(accepted); });
        }
    }

    void serve(int socket) {
        message_reader reader(socket);
        message received;
        int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        constexpr std::int64_t idle_ms = 10000;
        while (!this->ended && reader.read(received, now_ms() + idle_ms) == read_result::complete) {
            bool handled = this->special && this->special(socket, received);
            if (!handled && !send_all(socket, this->answer_to(received))) {
                break;
            }
        }
        std::lock_guard guard(this->lock);
        this->sockets.erase(socket);
        ::close(socket);
    }

    std::string answer_to(const message& received) {
        std::size_t space = received.start_line.find(' ');
        std::string path = received.start_line.substr(space + 1, received.start_line.rfind(' ') - space - 1);
        std::string attempt = received.header("attempt-id");
        if (path == "/health") {
            return "HTTP/1.1 " + std::string(this->answers_leaving ? "503 Service Unavailable" : "200 OK") +
                   "\r\nInstance-Id: " + this->id() + "\r\nContent-Length: 0\r\n\r\n";
        }
        bool other = received.has("expect-instance") && received.header("expect-instance") != this->id();
        this->note(attempt, path, !other);
        if (other) {
            return "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + this->id() + "\r\nAttempt-Id: " + attempt +
                   "\r\nContent-Length: 0\r\n\r\n";
        }
        sleep_ms(this->options.work_ms);
        std::string body = "served by " + this->id();
        return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Seal: " + this->id() + "." + attempt +
               "\r\nServer-Load: 1,0," + std::to_string(this->options.slots) + "\r\nKeep-Alive: timeout=10\r\n" +
               (this->answers_leaving ? "Server-Leaving: 1\r\nConnection: close\r\n" : "") +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    void note(const std::string& attempt, const std::string& path, bool runs) {
        {
            std::lock_guard guard(this->lock);
            this->seen.push_back({now_ms(), attempt, path, runs});
        }
        this->system.record.note("server " + this->id() + (runs ? " runs " : " answers 421 to ") + attempt + " " +
                                 path);
    }

    deployment& system;
    server_options options;
    std::int64_t born;
    std::uint64_t sequence = 0;
    descriptor listener;
    std::size_t core = 0;
    address named;  // by heartbeat-url
    std::atomic<bool> ended = false;
    std::mutex tell_lock;
    std::mutex lock;
    std::vector<arrival> seen;
    std::set<int> sockets;
    std::vector<std::thread> workers;
    std::thread acceptor;
    std::thread pinger;
};

// ---- Manifest ----

struct route_text {
    std::string name;
    std::string prefix;
    std::string kind = "unsafe";
    std::string service;
    int timeout_ms = 1500;
    int version = 1;
    std::string allowed_regions;  // quoted names, separated by commas; empty: all
};

inline std::string route_json(const route_text& route) {
    return "\"" + route.name + "\":{\"host\":\"a.example\",\"path-prefix\":\"" + route.prefix + "\",\"route-type\":\"" +
           route.kind + "\",\"timeout-ms\":" + std::to_string(route.timeout_ms) +
           ",\"target-latency-ms\":200,\"priority\":1,\"service\":\"" + route.service +
           "\",\"max-attempts\":2,\"sticky\":false,\"allowed-regions\":[" + route.allowed_regions +
           "],\"version\":\"r" + std::to_string(route.version) + "\"}";
}

inline std::string service_json(const std::string& name, int version) {
    return "\"" + name +
           "\":{\"health-path\":\"/health\",\"max-connections\":390,\"protocol\":\"h1\",\"tls\":false,\"warmup-s\":0.0,"
           "\"warmup-per-s\":50.0,\"version\":\"r" +
           std::to_string(version) + "\"}";
}

inline std::string first_items(const std::vector<route_text>& routes, const std::vector<std::string>& services) {
    std::string text = "{\"upsert\":{\"routes\":{";
    for (std::size_t i = 0; i < routes.size(); ++i) {
        text += (i == 0 ? "" : ",") + route_json(routes[i]);
    }
    text += "},\"services\":{";
    for (std::size_t i = 0; i < services.size(); ++i) {
        text += (i == 0 ? "" : ",") + service_json(services[i], 1);
    }
    return text + "},\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\"header-timeout-ms\":3000,"
                  "\"idle-timeout-ms\":15000,\"version\":\"r1\"}},\"remove\":{\"routes\":[]}}";
}

// Runs a case. An exception means that it could not run.
inline int run_case(const std::function<int()>& body) {
    ::signal(SIGPIPE, SIG_IGN);
    try {
        return body();
    } catch (const std::exception& reason) {
        std::cerr << "could not run: " << reason.what() << "\n";
        return could_not_run;
    }
}

}  // namespace review
