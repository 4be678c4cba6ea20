// Contents: cases; one connection; one run of a case; rounds; output.
//
// The event loop of the other programs has timers of 1 ms, too coarse for latencies of 20 us. A run therefore polls its
// sockets itself, without waiting when it sends at a rate.

#include "persimmongrade/http_bench.h"

#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <deque>
#include <iomanip>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

#include "persimmongrade/error.h"
#include "persimmongrade/http_message.h"
#include "quantile.h"

namespace persimmongrade {

namespace {

using bench_clock = std::chrono::steady_clock;
using bench_time = bench_clock::time_point;

constexpr int status_ok = 200;
constexpr int first_final_status = 200;
constexpr std::size_t max_head_bytes = 65536;  // of an answer
constexpr std::size_t max_body_bytes = 64U << 20U;
constexpr int poll_wait_ms = 100;  // the length of a run is checked this often
constexpr double us_per_second = 1e6;

double microseconds(bench_clock::duration elapsed) {
    return std::chrono::duration<double, std::micro>(elapsed).count();
}

// ---- One connection ----

class bench_connection {
public:
    explicit bench_connection(const ip_address& address) : address(address) { this->open(); }
    ~bench_connection() { ::close(this->descriptor); }
    bench_connection(const bench_connection&) = delete;
    bench_connection& operator=(const bench_connection&) = delete;

    int socket() const { return this->descriptor; }
    bool busy() const { return this->waiting; }
    bench_time intended_start() const { return this->intended; }

    void send(const std::string& request, bench_time intended_start) {
        this->waiting = true;
        this->intended = intended_start;
        this->received.clear();
        this->reader.reset();
        // Requests are far smaller than a socket buffer. A failure shows as the end of the stream.
        [[maybe_unused]] ssize_t sent = ::send(this->descriptor, request.data(), request.size(), MSG_NOSIGNAL);
    }

    enum class progress { incomplete, answered, refused, lost };

    progress receive() {
        std::array<char, 16384> bytes;  // not initialized: it is only written
        ssize_t size = ::recv(this->descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
            return progress::incomplete;
        }
        if (size > 0 && this->waiting) {
            this->received.append(bytes.data(), static_cast<std::size_t>(size));
            progress reached = this->read_answer();
            this->waiting = reached == progress::incomplete;
            return reached;
        }
        this->waiting = false;  // closed, or bytes that belong to no request
        return progress::lost;
    }

    void reopen() {
        ::close(this->descriptor);
        this->open();
    }

private:
    void open() {
        sockaddr_storage storage{};
        socklen_t length = this->address.to_sockaddr(storage);
        this->descriptor = ::socket(storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (::connect(this->descriptor, reinterpret_cast<sockaddr*>(&storage), length) != 0) {
            throw socket_error("connect " + this->address.to_string() + ": " + std::strerror(errno));
        }
        int on = 1;
        ::setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    // An answer without a length counts as lost: a cut one looks like a whole one.
    progress read_answer() {
        while (!this->reader) {
            parse_status status = parse_response_head(this->received, max_head_bytes, false, this->head);
            if (status == parse_status::incomplete) {
                return progress::incomplete;
            }
            if (status != parse_status::complete || this->head.framing == body_framing::until_close) {
                return progress::lost;
            }
            this->received.erase(0, this->head.bytes);
            if (this->head.status >= first_final_status) {
                this->reader.emplace(this->head.framing, this->head.content_length, max_body_bytes);
            }
        }
        std::size_t used = 0;
        parse_status status = this->reader->read(this->received, used);
        this->received.erase(0, used);
        if (status == parse_status::incomplete) {
            return progress::incomplete;
        }
        if (status != parse_status::complete) {
            return progress::lost;
        }
        return this->head.status == status_ok ? progress::answered : progress::refused;
    }

    ip_address address;
    int descriptor = -1;
    bool waiting = false;
    bench_time intended;
    std::string received;  // and not read yet
    message_head head;
    std::optional<body_reader> reader;  // once the head is read
};

// ---- One run of a case ----

class bench_run {
public:
    bench_run(const bench_options& options, const bench_case& about) : options(options), poll(::epoll_create1(0)) {
        this->request = "GET " + about.path + " HTTP/1.1\r\nhost: " + about.address.to_string() + "\r\n";
        for (const std::string& header : options.headers) {
            this->request += header + "\r\n";
        }
        this->request += "\r\n";
        for (std::uint32_t i = 0; i < options.connections; ++i) {
            this->connections.push_back(std::make_unique<bench_connection>(about.address));
            this->idle.push_back(this->connections.back().get());
            this->watch(*this->connections.back());
        }
    }
    ~bench_run() { ::close(this->poll); }
    bench_run(const bench_run&) = delete;
    bench_run& operator=(const bench_run&) = delete;

    void run() {
        this->next_start = bench_clock::now();
        this->measure_from = this->next_start + this->options.warm_up;
        this->measure_until = this->measure_from + this->options.length;
        // Ends when every request that was to start in the measured time is answered.
        while (this->more_to_start() || !this->due.empty() || this->idle.size() < this->connections.size()) {
            this->start_requests();
            this->receive_answers();
        }
    }

    std::vector<double> latencies_us;
    std::uint64_t errors = 0;
    std::uint64_t in_time = 0;  // answered before the end of the measured time

private:
    void watch(bench_connection& connection) const {
        epoll_event event{.events = EPOLLIN, .data = {.ptr = &connection}};
        ::epoll_ctl(this->poll, EPOLL_CTL_ADD, connection.socket(), &event);
    }

    // At a rate, the starts that a pause of this process has missed still count: without them a run would report fewer
    // requests and lower latencies than the caller of such a rate sees.
    bool more_to_start() const {
        bench_time reached = this->options.rate == 0 ? bench_clock::now() : this->next_start;
        return reached < this->measure_until;
    }

    void start_requests() {
        bench_time now = bench_clock::now();
        if (this->options.rate == 0) {
            while (now < this->measure_until && !this->idle.empty()) {
                this->send(now);
            }
            return;
        }
        auto interval = std::chrono::duration_cast<bench_clock::duration>(
            std::chrono::duration<double, std::micro>(us_per_second / this->options.rate));
        for (; this->next_start <= now && this->next_start < this->measure_until; this->next_start += interval) {
            this->due.push_back(this->next_start);
        }
        while (!this->due.empty() && !this->idle.empty()) {
            this->send(this->due.front());
            this->due.pop_front();
        }
    }

    void send(bench_time intended_start) {
        this->idle.back()->send(this->request, intended_start);
        this->idle.pop_back();
    }

    void receive_answers() {
        std::array<epoll_event, 64> events;  // not initialized: it is only written
        int wait = this->options.rate == 0 ? poll_wait_ms : 0;
        int count = ::epoll_wait(this->poll, events.data(), static_cast<int>(events.size()), wait);
        for (int i = 0; i < count; ++i) {
            this->receive(*static_cast<bench_connection*>(events.at(static_cast<std::size_t>(i)).data.ptr));
        }
    }

    void receive(bench_connection& connection) {
        bool was_busy = connection.busy();
        auto progress = connection.receive();
        if (progress == bench_connection::progress::incomplete) {
            return;
        }
        bench_time now = bench_clock::now();
        bool measured = was_busy && connection.intended_start() >= this->measure_from;
        if (progress == bench_connection::progress::answered && measured) {
            this->latencies_us.push_back(microseconds(now - connection.intended_start()));
        }
        if (progress == bench_connection::progress::answered && now >= this->measure_from &&
            now < this->measure_until) {
            ++this->in_time;
        }
        if (progress != bench_connection::progress::answered && measured) {
            ++this->errors;
        }
        if (progress == bench_connection::progress::lost) {
            connection.reopen();
            this->watch(connection);
        }
        if (was_busy) {
            this->idle.push_back(&connection);
        }
    }

    const bench_options& options;
    int poll;
    std::string request;
    std::vector<std::unique_ptr<bench_connection>> connections;
    std::vector<bench_connection*> idle;
    std::deque<bench_time> due;  // intended starts that wait for an idle connection
    bench_time next_start;
    bench_time measure_from;
    bench_time measure_until;
};

// ---- Rounds ----

struct bench_samples {
    std::vector<double> latencies_us;
    std::vector<double> rates;  // of each round
    std::uint64_t errors = 0;
};

bench_result summarize(const std::string& name, bench_samples samples) {
    std::sort(samples.latencies_us.begin(), samples.latencies_us.end());
    std::sort(samples.rates.begin(), samples.rates.end());
    bench_result result;
    result.name = name;
    result.requests = samples.latencies_us.size();
    result.errors = samples.errors;
    result.requests_per_second = quantile(samples.rates, 0.5);
    result.least_per_second = samples.rates.front();
    result.most_per_second = samples.rates.back();
    result.p50_us = quantile(samples.latencies_us, 0.5);
    result.p99_us = quantile(samples.latencies_us, 0.99);
    result.p999_us = quantile(samples.latencies_us, 0.999);
    return result;
}

}  // namespace

bench_case bench_case::parse(const std::string& text) {
    std::size_t equals = text.find('=');
    std::size_t slash = text.find('/');
    if (equals == 0 || equals == std::string::npos || slash == std::string::npos || slash < equals) {
        throw usage_error("case '" + text + "' is not of the form name=IP:port/path");
    }
    return {text.substr(0, equals), ip_address::parse(text.substr(equals + 1, slash - equals - 1)), text.substr(slash)};
}

std::vector<bench_result> run_bench(const bench_options& options) {
    bool valid = !options.cases.empty() && options.connections > 0 && options.rounds > 0 && options.rate >= 0 &&
                 options.length > duration::zero();
    if (!valid) {
        throw usage_error("a measurement needs a case, a connection, a round and a length above zero");
    }
    std::vector<bench_samples> samples(options.cases.size());
    for (std::uint32_t round = 0; round < options.rounds; ++round) {
        for (std::size_t i = 0; i < options.cases.size(); ++i) {
            bench_run run(options, options.cases[i]);
            run.run();
            bench_samples& sum = samples[i];
            sum.latencies_us.insert(sum.latencies_us.end(), run.latencies_us.begin(), run.latencies_us.end());
            sum.rates.push_back(static_cast<double>(run.in_time) * 1000 / static_cast<double>(options.length.count()));
            sum.errors += run.errors;
        }
    }
    std::vector<bench_result> results;
    for (std::size_t i = 0; i < options.cases.size(); ++i) {
        results.push_back(summarize(options.cases[i].name, std::move(samples[i])));
    }
    const std::string& name = options.reference.empty() ? options.cases.back().name : options.reference;
    auto reference = std::find_if(results.begin(), results.end(), [&](const auto& one) { return one.name == name; });
    if (reference == results.end()) {
        throw usage_error("there is no case '" + name + "'");
    }
    double rate = reference->requests_per_second;
    for (bench_result& result : results) {
        result.ratio = rate > 0 ? result.requests_per_second / rate : 0;
    }
    return results;
}

// ---- Output ----

std::string render_text(const std::vector<bench_result>& results) {
    std::ostringstream out;
    out << "| case | requests/s (least - most of a round) | ratio | p50 us | p99 us | p99.9 us | requests | errors |\n"
        << "|---|---|---|---|---|---|---|---|\n"
        << std::fixed;
    for (const bench_result& result : results) {
        out << "| " << result.name << " | " << std::setprecision(0) << result.requests_per_second << " ("
            << result.least_per_second << " - " << result.most_per_second << ") | " << std::setprecision(2)
            << result.ratio << " | " << std::setprecision(1) << result.p50_us << " | " << result.p99_us << " | "
            << result.p999_us << " | " << result.requests << " | " << result.errors << " |\n";
    }
    return out.str();
}

std::string render_json(const std::vector<bench_result>& results) {
    nlohmann::json list = nlohmann::json::array();
    for (const bench_result& result : results) {
        list.push_back({{"name", result.name},
                        {"requests", result.requests},
                        {"errors", result.errors},
                        {"requests_per_second", result.requests_per_second},
                        {"least_per_second", result.least_per_second},
                        {"most_per_second", result.most_per_second},
                        {"ratio", result.ratio},
                        {"latency_us", {{"p50", result.p50_us}, {"p99", result.p99_us}, {"p99.9", result.p999_us}}}});
    }
    return list.dump(2) + "\n";
}

}  // namespace persimmongrade
