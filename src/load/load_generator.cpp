// Contents: options; lookup cache; one request (active_call); status polling; the generator.

#include "persimmongrade/load_generator.h"

#include <algorithm>
#include <charconv>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <unordered_map>

#include "persimmongrade/http_client.h"
#include "persimmongrade/uuid.h"

namespace persimmongrade {

// ---- Options ----

namespace {

std::vector<std::string> split(const std::string& text, char separator) {
    std::vector<std::string> parts(1);
    for (char c : text) {
        if (c == separator) {
            parts.emplace_back();
        } else {
            parts.back() += c;
        }
    }
    return parts;
}

template <typename Number>
Number parse_number(const std::string& text, const std::string& whole) {
    Number value{};
    auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (status != std::errc() || end != text.data() + text.size() || value < 0) {
        throw load_options_error("stream '" + whole + "': '" + text + "' is not a number of at least 0");
    }
    return value;
}

}  // namespace

load_stream load_stream::parse(const std::string& text) {
    auto parts = split(text, ':');
    bool kind_known = parts.size() >= 3 && (parts[2] == "lookup" || parts[2] == "booking");
    if ((parts.size() != 3 && parts.size() != 5) || parts[0].empty() || !kind_known) {
        throw load_options_error("stream '" + text +
                                 "' is not of the form service:rate:lookup|booking[:request_bytes:answer_bytes]");
    }
    load_stream stream;
    stream.service = parts[0];
    stream.requests_per_second = parse_number<double>(parts[1], text);
    stream.idempotent = parts[2] == "lookup";
    if (parts.size() == 5) {
        stream.request_bytes = parse_number<std::uint32_t>(parts[3], text);
        stream.answer_bytes = parse_number<std::uint32_t>(parts[4], text);
    }
    return stream;
}

namespace {

using precise_clock = std::chrono::steady_clock;  // microseconds: latencies are below one tick of steady_clock_ms

constexpr duration lookup_retry_delay = ms(100);
constexpr duration status_poll_period = ms(1000);
constexpr duration resend_delay = ms(20);
constexpr duration answer_slack = ms(500);  // an edge answers at the deadline; the caller waits a little longer

struct weighted_host {
    ip_address address;
    std::uint32_t weight = 0;
};

// ---- Lookup cache ----

// The cached lookup answer of one service and client address, as callers keep it.
struct cached_lookup {
    std::vector<weighted_host> hosts;
    time_point expires_at;
    bool asking = false;
};

std::vector<weighted_host> parse_lookup(const nlohmann::json& answer) {
    std::vector<weighted_host> hosts;
    for (const auto& host : answer.at("hosts")) {
        hosts.push_back(
            {ip_address::parse(host.at("address").get<std::string>()), host.at("weight").get<std::uint32_t>()});
    }
    return hosts;
}

// A host drawn by weight comes first; the others follow in the order of the answer, for resends.
template <typename Random>
std::vector<ip_address> order_hosts(const std::vector<weighted_host>& hosts, Random& random) {
    std::vector<double> weights;
    weights.reserve(hosts.size());
    for (const weighted_host& host : hosts) {
        weights.push_back(host.weight);
    }
    bool all_zero = std::all_of(weights.begin(), weights.end(), [](double weight) { return weight <= 0; });
    std::size_t first = all_zero ? 0 : std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random);
    std::vector<ip_address> ordered{hosts[first].address};
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        if (i != first) {
            ordered.push_back(hosts[i].address);
        }
    }
    return ordered;
}

// ---- One request ----

struct active_call {
    call_record record;
    load_stream stream;
    std::string path;
    std::vector<ip_address> hosts;  // in the order in which they are tried
    std::size_t next_host = 0;
    std::uint32_t retries_left = 0;
    std::uint32_t outstanding = 0;  // sends without an answer
    precise_clock::time_point intended_at;
    time_point deadline;
    std::vector<call_id> calls;
    std::vector<timer_id> timers;
    std::optional<std::string> first_body;  // of the first whole answer, to compare with those of resends
    bool any_unknown = false;
    bool any_wrong = false;
    bool ended = false;
};

}  // namespace

struct load_generator::impl {
    event_loop& loop;
    load_options options;
    http_client client;
    std::mt19937_64 random;
    load_observations observed;
    std::unordered_map<std::string, cached_lookup> lookups;
    precise_clock::time_point started_at;
    std::size_t active = 0;
    std::size_t next_edge = 0;
    std::uint64_t next_number = 0;
    bool sending = false;
    std::vector<precise_clock::time_point> next_arrivals;  // by stream
    std::shared_ptr<bool> lifetime = std::make_shared<bool>(true);

    impl(event_loop& loop, load_options options)
        : loop(loop), options(std::move(options)), client(loop), random(this->options.seed) {}

    // A callback that does nothing once the generator is gone: lookups may be outstanding when the run ends, and the
    // loop may go on without the generator.
    template <typename Callback>
    auto while_alive(Callback callback) const {
        return [alive = std::weak_ptr<bool>(this->lifetime), callback = std::move(callback)](auto&&... arguments) {
            if (!alive.expired()) {
                callback(arguments...);
            }
        };
    }

    // ---- Lookups ----

    static std::string lookup_key(const std::string& service, const std::string& client_ip) {
        return service + " " + client_ip;
    }

    void ask_lookup(const std::string& service, const std::string& client_ip) {
        cached_lookup& entry = this->lookups[lookup_key(service, client_ip)];
        if (entry.asking) {
            return;
        }
        entry.asking = true;
        http_call call;
        call.address = this->options.edges[this->next_edge++ % this->options.edges.size()];
        call.target = "/v1/lookup?service=" + service + "&client=" + client_ip;
        call_id id =
            this->client.send(call, this->while_alive([this, service, client_ip](const http_call_result& result) {
                this->receive_lookup(service, client_ip, result);
            }));
        this->loop.after(this->options.deadline, this->while_alive([this, id, service, client_ip] {
            if (this->client.request_written(id)) {
                this->client.cancel(id);
                this->receive_lookup(service, client_ip, {http_call_status::connection_lost, {}});
            }
        }));
    }

    void receive_lookup(const std::string& service, const std::string& client_ip, const http_call_result& result) {
        cached_lookup& entry = this->lookups[lookup_key(service, client_ip)];
        entry.asking = false;
        auto answer = nlohmann::json::parse(result.response.body, nullptr, false);
        bool usable = result.status == http_call_status::ok && result.response.status == 200 && answer.is_object();
        if (usable) {
            auto hosts = parse_lookup(answer);
            auto ttl = ms(answer.value("ttl_ms", std::int64_t{1000}));
            entry.expires_at = this->loop.now() + ttl;
            if (!hosts.empty()) {
                entry.hosts = std::move(hosts);
            }
            return;
        }
        this->loop.after(lookup_retry_delay,
                         this->while_alive([this, service, client_ip] { this->ask_lookup(service, client_ip); }));
    }

    // ---- Requests ----

    void start_call(const load_stream& stream, precise_clock::time_point intended_at) {
        std::uint64_t number = this->next_number++;
        const std::string& client_ip = this->options.client_ips[number % this->options.client_ips.size()];
        cached_lookup& lookup = this->lookups[lookup_key(stream.service, client_ip)];
        if (this->loop.now() >= lookup.expires_at) {
            this->ask_lookup(stream.service, client_ip);  // the expired answer serves until the new one is here
        }
        auto call = std::make_shared<active_call>();
        call->stream = stream;
        call->intended_at = intended_at;
        call->deadline = this->loop.now() + this->options.deadline;
        call->retries_left = this->options.retries;
        call->path = "/item/" + std::to_string(this->options.seed) + "-" + std::to_string(number);
        call->record.service = stream.service;
        call->record.idempotent = stream.idempotent;
        call->record.id = stream.idempotent ? call->path : make_uuid_v7(unix_time_ms(), this->random);
        call->record.sends = 0;
        auto since_start = intended_at - this->started_at;
        call->record.intended_at_ms = std::chrono::duration_cast<std::chrono::milliseconds>(since_start).count();
        ++this->active;
        if (lookup.hosts.empty()) {
            call->record.error = "no_entry_host";
            call->record.outcome = call_outcome::not_run;
            this->end(call);
            return;
        }
        call->hosts = order_hosts(lookup.hosts, this->random);
        this->schedule_events(call);
        this->send(call);
    }

    void schedule_events(const std::shared_ptr<active_call>& call) {
        std::uniform_real_distribution<double> uniform(0, 1);
        call->timers.push_back(this->loop.after(this->options.deadline + answer_slack, [this, call] {
            call->any_unknown = true;
            call->record.error = "caller_timeout";
            this->end(call);
        }));
        if (!call->stream.idempotent && uniform(this->random) < this->options.resend_share) {
            auto delay = ms(static_cast<std::int64_t>(uniform(this->random) * 10));
            call->timers.push_back(this->loop.after(delay, [this, call] { this->send(call); }));
        }
        if (uniform(this->random) < this->options.cancel_share) {
            auto delay = ms(static_cast<std::int64_t>(uniform(this->random) * 20));
            call->timers.push_back(this->loop.after(delay, [this, call] {
                call->record.outcome = call_outcome::cancelled;
                this->end(call);
            }));
        }
    }

    void send(const std::shared_ptr<active_call>& call) {
        auto remaining = call->deadline - this->loop.now();
        if (call->ended || remaining <= duration::zero()) {
            return;
        }
        http_call request;
        request.address = call->hosts[call->next_host++ % call->hosts.size()];
        request.method = call->stream.idempotent ? "GET" : "POST";
        request.target = "/s/" + call->stream.service + call->path;
        request.headers = {{"x-answer-bytes", std::to_string(call->stream.answer_bytes)},
                           {"persimmon-deadline-ms", std::to_string(remaining.count())}};
        if (!call->stream.idempotent) {
            request.headers.push_back({"idempotency-key", call->record.id});
            request.body.assign(call->stream.request_bytes, 'x');
        }
        ++call->record.sends;
        ++call->outstanding;
        call->calls.push_back(
            this->client.send(request, [this, call](const http_call_result& result) { this->receive(call, result); }));
    }

    void receive(const std::shared_ptr<active_call>& call, const http_call_result& result) {
        if (call->ended) {
            return;
        }
        --call->outstanding;
        bool answered = result.status == http_call_status::ok;
        if (answered && result.response.status < 300) {
            this->receive_success(*call, result.response);
        } else {
            note_refusal(*call, result);
            if (this->resend(call)) {
                return;
            }
        }
        if (call->outstanding == 0) {
            this->end(call);
        }
    }

    void receive_success(active_call& call, const http_response& response) const {
        std::string expected = call.path.substr(0, call.stream.answer_bytes);
        bool own = response.body.starts_with(expected) && response.body.size() == call.stream.answer_bytes;
        call.any_wrong = call.any_wrong || !own;
        call.record.told_ok = true;
        if (call.first_body && *call.first_body != response.body) {
            call.record.answers_differ = true;
        }
        call.first_body = response.body;
    }

    static void note_refusal(active_call& call, const http_call_result& result) {
        if (result.status == http_call_status::connect_failed) {
            call.record.error = "edge_connect_failed";
            return;
        }
        auto body = nlohmann::json::parse(result.response.body, nullptr, false);
        if (result.status != http_call_status::ok || !body.is_object()) {
            call.record.error = "edge_connection_lost";
            call.any_unknown = true;
            return;
        }
        call.record.error = body.value("error", std::string("untyped"));
        call.any_unknown = call.any_unknown || body.value("outcome", std::string()) == "unknown";
    }

    // Sends again through the next edge. Resending is safe: the key makes a booking idempotent.
    bool resend(const std::shared_ptr<active_call>& call) {
        bool in_time = this->loop.now() + resend_delay < call->deadline;
        if (call->retries_left == 0 || !in_time || call->record.told_ok) {
            return false;
        }
        --call->retries_left;
        call->timers.push_back(this->loop.after(resend_delay, [this, call] { this->send(call); }));
        return true;
    }

    void end(const std::shared_ptr<active_call>& call) {
        if (call->ended) {
            return;
        }
        call->ended = true;
        for (call_id id : call->calls) {
            this->client.cancel(id);
        }
        for (timer_id id : call->timers) {
            this->loop.cancel(id);
        }
        auto latency = precise_clock::now() - call->intended_at;
        call->record.latency_ms = std::chrono::duration<double, std::milli>(latency).count();
        if (call->record.outcome != call_outcome::cancelled) {
            call->record.outcome = final_outcome(*call);
        }
        this->observed.records.push_back(call->record);
        --this->active;
    }

    static call_outcome final_outcome(const active_call& call) {
        if (call.any_wrong) {
            return call_outcome::wrong;
        }
        if (call.record.told_ok) {
            return call_outcome::ok;
        }
        return call.any_unknown ? call_outcome::unknown : call_outcome::not_run;
    }

    // ---- Status of control ----

    void poll_status(const ip_address& address) {
        http_call call;
        call.address = address;
        call.target = "/v1/status";
        this->client.send(call, this->while_alive([this](const http_call_result& result) {
            auto status = nlohmann::json::parse(result.response.body, nullptr, false);
            if (result.status == http_call_status::ok && result.response.status == 200 && status.is_object()) {
                this->read_status(status);
            }
        }));
    }

    void read_status(const nlohmann::json& status) {
        auto since_start = precise_clock::now() - this->started_at;
        auto at_ms = std::chrono::duration_cast<std::chrono::milliseconds>(since_start).count();
        for (const auto& resource : status.value("resources", nlohmann::json::array())) {
            this->observed.samples.push_back({at_ms, resource.value("kind", ""), resource.value("subject", ""),
                                              resource.value("limit", 0.0), resource.value("used", 0.0)});
        }
        this->observed.drains.clear();
        for (const auto& drain : status.value("drains", nlohmann::json::array())) {
            auto time = drain.find("drain_time_ms");
            bool idle = time != drain.end() && time->is_number();
            this->observed.drains.push_back({drain.value("target", ""), idle ? time->get<std::int64_t>() : -1});
        }
    }

    // ---- Run ----

    void send_due() {
        auto now = precise_clock::now();
        for (std::size_t i = 0; i < this->options.streams.size(); ++i) {
            const load_stream& stream = this->options.streams[i];
            std::exponential_distribution<double> gap(stream.requests_per_second);
            while (this->next_arrivals[i] <= now) {
                this->start_call(stream, this->next_arrivals[i]);
                auto wait = std::chrono::duration<double>(gap(this->random));
                this->next_arrivals[i] += std::chrono::duration_cast<precise_clock::duration>(wait);
            }
        }
    }

    void wait_for_lookups() {
        for (const load_stream& stream : this->options.streams) {
            for (const std::string& client_ip : this->options.client_ips) {
                this->ask_lookup(stream.service, client_ip);
            }
        }
        auto answered = [this] {
            return std::all_of(this->lookups.begin(), this->lookups.end(),
                               [](const auto& entry) { return !entry.second.hosts.empty(); });
        };
        time_point until = this->loop.now() + ms(5000);
        while (!answered() && this->loop.now() < until) {
            this->loop.run_for(ms(10));
        }
        if (!answered()) {
            throw load_options_error("no edge answered the lookups within 5 s");
        }
    }

    void print_progress() const {
        std::size_t ok = 0;
        for (const call_record& record : this->observed.records) {
            ok += record.outcome == call_outcome::ok ? 1 : 0;
        }
        std::cerr << "requests " << this->next_number << " ok " << ok << " not_ok "
                  << this->observed.records.size() - ok << " active " << this->active << "\n";
    }

    void run() {
        this->wait_for_lookups();
        this->started_at = precise_clock::now();
        this->next_arrivals.assign(this->options.streams.size(), this->started_at);
        timer_id arrivals = this->loop.every(ms(1), [this] { this->send_due(); });
        timer_id polls = this->loop.every(status_poll_period, [this] {
            for (const ip_address& address : this->options.control) {
                this->poll_status(address);
            }
            if (this->options.progress) {
                this->print_progress();
            }
        });
        this->loop.run_for(this->options.length);
        this->loop.cancel(arrivals);
        while (this->active > 0) {
            this->loop.run_for(ms(10));
        }
        this->loop.cancel(polls);
        this->observed.duration_s = std::chrono::duration<double>(precise_clock::now() - this->started_at).count();
    }
};

load_generator::load_generator(event_loop& loop, load_options options)
    : state(std::make_unique<impl>(loop, std::move(options))) {}

load_generator::~load_generator() = default;

load_observations load_generator::run() {
    this->state->run();
    return std::move(this->state->observed);
}

}  // namespace persimmongrade
