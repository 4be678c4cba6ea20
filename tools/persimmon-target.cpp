// persimmon-target: a target for tests. It announces itself to the edges, executes requests by waiting for a service
// time, and injects faults that POST /fault sets.
//
// Contents: faults; journal; announcer; target_server; main.
//
// Requests: any path. Headers x-answer-bytes and x-service-ms set the size and time of one answer.
// POST /fault takes a JSON object; missing keys reset their fault:
//     slow_ms       added to every service time, in milliseconds
//     late          milliseconds by which answers are delayed beyond their service time, ignoring deadlines
//     truncate      answers state twice the bytes that they carry
//     oversize      bytes of every answer, when above zero
//     shed          refuse every request with 503 and persimmon-not-run
//     crash_on      end the process on a request whose header x-crash has this value
//     lie_about_load  announce no load, whatever the load is
//     cold          number of following requests that take five times their service time
// GET /journal-size answers with the number of executed requests.

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <fstream>

#include "persimmongrade/command_line.h"
#include "persimmongrade/error.h"
#include "persimmongrade/http_client.h"
#include "persimmongrade/http_server.h"
#include "persimmongrade/log.h"
#include "persimmongrade/settings.h"

namespace persimmongrade {

namespace {

constexpr duration announce_period = ms(1000);
constexpr duration announce_timeout = ms(900);  // shorter than the period: one announcement at a time
constexpr duration drain_grace = ms(2500);      // edges send new work for at most 2 s after a drain is announced
constexpr duration drain_check_period = ms(50);
constexpr std::size_t default_answer_bytes = 64;
constexpr std::int64_t cold_factor = 5;
constexpr int exit_crash_fault = 70;

std::int64_t number_header(const http_request& request, std::string_view name, std::int64_t fallback) {
    auto text = request.header(name);
    std::int64_t value = fallback;
    if (text) {
        std::from_chars(text->data(), text->data() + text->size(), value);
    }
    return std::max<std::int64_t>(0, value);
}

http_response error_response(int status, const std::string& type, const std::string& outcome) {
    nlohmann::json body{{"error", type}, {"outcome", outcome}, {"message", type}};
    return json_response(status, body.dump());
}

// ---- Faults ----

struct fault_settings {
    std::int64_t slow_ms = 0;
    std::int64_t late_ms = 0;
    bool truncate = false;
    std::size_t oversize_bytes = 0;
    bool shed = false;
    std::string crash_on;
    bool lie_about_load = false;
    std::int64_t cold_requests = 0;

    // Throws nlohmann::json::exception when the text is not an object or a value has the wrong type.
    static fault_settings parse(const std::string& text) {
        nlohmann::json object = nlohmann::json::parse(text);
        fault_settings faults;
        faults.slow_ms = object.value("slow_ms", std::int64_t{0});
        faults.late_ms = object.value("late", std::int64_t{0});
        faults.truncate = object.value("truncate", false);
        faults.oversize_bytes = object.value("oversize", std::size_t{0});
        faults.shed = object.value("shed", false);
        faults.crash_on = object.value("crash_on", std::string());
        faults.lie_about_load = object.value("lie_about_load", false);
        faults.cold_requests = object.value("cold", std::int64_t{0});
        return faults;
    }
};

// ---- Journal ----

// One line per executed request: start time (Unix, milliseconds), key or "-", method and path.
class journal {
public:
    explicit journal(const std::string& file) {
        if (file.empty()) {
            return;
        }
        this->out.open(file, std::ios::app);
        if (!this->out) {
            throw settings_error("settings", "journal", "'" + file + "' cannot be opened for writing");
        }
    }

    void record(const http_request& request) {
        ++this->lines;
        if (this->out.is_open()) {
            this->out << request.header("idempotency-key").value_or("-") << ' ' << request.method << ' ' << request.path
                      << ' ' << unix_time_ms() << std::endl;
        }
    }

    std::uint64_t size() const { return this->lines; }

private:
    std::ofstream out;
    std::uint64_t lines = 0;
};

// ---- Announcer ----

enum class serving_state : std::uint8_t { ready, draining };

// Sends one announcement per second to one edge, and moves to the next edge when that fails.
class announcer {
public:
    announcer(event_loop& loop, const wire::target_settings_t& settings, std::function<double()> load,
              std::function<void(bool)> on_drain)
        : loop(loop), client(loop), settings(settings), load(std::move(load)), on_drain(std::move(on_drain)),
          incarnation(unix_time_ms()), edge_index(static_cast<std::size_t>(this->incarnation)) {
        this->announce();
        this->loop.every(announce_period, [this] { this->announce(); });
    }

    void announce() {
        this->abandon_previous();
        http_call call;
        call.address = ip_address::parse(this->settings.edges[this->edge_index % this->settings.edges.size()]);
        call.method = "POST";
        call.target = "/v1/targets";
        call.headers = {{"content-type", "application/json"}};
        call.body = this->body();
        this->running = this->client.send(call, [this](const http_call_result& result) {
            this->running = 0;
            this->receive(result);
        });
        this->deadline = this->loop.after(announce_timeout, [this] { this->abandon_previous(); });
    }

    void set_state(serving_state state) {
        if (this->state != state) {
            this->state = state;
            this->announce();
        }
    }

private:
    std::string body() {
        nlohmann::json object{{"id", this->settings.id},
                              {"service", this->settings.service},
                              {"address", this->settings.http_address},
                              {"region", this->settings.region},
                              {"zone", this->settings.zone},
                              {"slots", this->settings.slots},
                              {"connections", this->settings.connections},
                              {"state", this->state == serving_state::ready ? "ready" : "draining"},
                              {"load", this->load()},
                              {"taken_at", unix_time_ms()},
                              {"sequence", ++this->sequence},
                              {"incarnation", this->incarnation}};
        return object.dump();
    }

    void abandon_previous() {
        this->loop.cancel(this->deadline);
        if (this->running != 0) {
            this->client.cancel(this->running);
            this->running = 0;
            ++this->edge_index;
        }
    }

    void receive(const http_call_result& result) {
        if (result.status != http_call_status::ok || result.response.status != 200) {
            ++this->edge_index;
            return;
        }
        auto object = nlohmann::json::parse(result.response.body, nullptr, false);
        if (object.is_object()) {
            this->on_drain(object.value("drain", false));
        }
    }

    event_loop& loop;
    http_client client;
    const wire::target_settings_t& settings;
    std::function<double()> load;
    std::function<void(bool)> on_drain;
    std::int64_t incarnation;
    std::size_t edge_index;
    serving_state state = serving_state::ready;
    std::uint64_t sequence = 0;
    call_id running = 0;
    timer_id deadline = 0;
};

// ---- Server ----

class target_server {
public:
    target_server(event_loop& loop, const wire::target_settings_t& settings)
        : loop(loop), settings(settings), requests(settings.journal),
          server(loop, ip_address::parse(settings.http_address), {},
                 [this](const http_request& request, const auto& exchange) { this->handle(request, exchange); }),
          announcements(
              loop, settings, [this] { return this->reported_load(); }, [this](bool drain) { this->told(drain); }) {
        this->loop.every(drain_check_period, [this] { this->check_drained(); });
    }

    // Announces the drain and ends the loop once the edges have stopped sending and all requests are answered.
    void stop() {
        this->stopping = true;
        this->begin_drain();
    }

private:
    struct execution {
        std::shared_ptr<http_exchange> exchange;
        http_response response;
        std::vector<timer_id> timers;
        bool finished = false;
    };

    void handle(const http_request& request, const std::shared_ptr<http_exchange>& exchange) {
        this->last_request = this->loop.now();
        if (request.path == "/fault" && request.method == "POST") {
            this->set_faults(request, *exchange);
            return;
        }
        if (request.path == "/journal-size") {
            exchange->respond(json_response(200, std::to_string(this->requests.size())));
            return;
        }
        bool full = this->busy_slots >= this->settings.slots;
        if (full || this->faults.shed) {
            http_response refusal = error_response(503, "target_shed", "not_run");
            refusal.headers.push_back({"persimmon-not-run", "1"});
            exchange->respond(std::move(refusal));
            return;
        }
        this->execute(request, exchange);
    }

    void set_faults(const http_request& request, http_exchange& exchange) {
        try {
            this->faults = fault_settings::parse(request.body);
            exchange.respond(json_response(200, "{}"));
        } catch (const nlohmann::json::exception&) {
            exchange.respond(error_response(400, "bad_request", "none"));
        }
    }

    void execute(const http_request& request, const std::shared_ptr<http_exchange>& exchange) {
        this->requests.record(request);
        if (!this->faults.crash_on.empty() && request.header("x-crash") == this->faults.crash_on) {
            log_error("crash fault", field("path", request.path));
            _exit(exit_crash_fault);
        }
        ++this->busy_slots;
        auto run = std::make_shared<execution>();
        run->exchange = exchange;
        run->response = this->answer(request);
        exchange->on_close([this, run] { this->finish(*run); });
        run->timers.push_back(this->loop.after(this->service_time(request), [this, run] {
            run->exchange->respond(std::move(run->response));
            this->finish(*run);
        }));
        std::int64_t deadline = number_header(request, "persimmon-deadline-ms", 0);
        if (deadline > 0 && this->faults.late_ms == 0) {
            run->timers.push_back(this->loop.after(ms(deadline), [this, run] {
                run->exchange->respond(error_response(504, "deadline_exceeded", "unknown"));
                this->finish(*run);
            }));
        }
    }

    void finish(execution& run) {
        if (run.finished) {
            return;
        }
        run.finished = true;
        --this->busy_slots;
        for (timer_id id : run.timers) {
            this->loop.cancel(id);
        }
    }

    http_response answer(const http_request& request) const {
        auto bytes = static_cast<std::size_t>(
            number_header(request, "x-answer-bytes", static_cast<std::int64_t>(default_answer_bytes)));
        bytes = this->faults.oversize_bytes > 0 ? this->faults.oversize_bytes : bytes;
        // The path comes first, so that a caller can check that the answer belongs to its request.
        std::string body = request.path.substr(0, bytes);
        body.resize(bytes, '.');
        http_response response{200, {{"content-type", "text/plain"}, {"x-target", this->settings.id}}, std::move(body)};
        if (auto key = request.header("idempotency-key")) {
            response.headers.push_back({"x-echo-key", std::string(*key)});
        }
        if (this->faults.truncate) {
            response.headers.push_back({"content-length", std::to_string(2 * bytes + 1)});
        }
        return response;
    }

    duration service_time(const http_request& request) {
        std::int64_t time = number_header(request, "x-service-ms", this->settings.service_time_ms);
        if (this->faults.cold_requests > 0) {
            --this->faults.cold_requests;
            time *= cold_factor;
        }
        return ms(time + this->faults.slow_ms + this->faults.late_ms);
    }

    double reported_load() const {
        return this->faults.lie_about_load ? 0.0 : static_cast<double>(this->busy_slots) / this->settings.slots;
    }

    void told(bool drain) {
        if (drain) {
            this->begin_drain();
            return;
        }
        if (this->draining && !this->stopping) {
            this->draining = false;
            this->announcements.set_state(serving_state::ready);
        }
    }

    void begin_drain() {
        if (!this->draining) {
            log_info("draining", field("target", this->settings.id));
            this->draining = true;
            this->drain_started = this->loop.now();
            this->announcements.set_state(serving_state::draining);
        }
    }

    // Edges that have not yet heard of the drain may still send, so the listener stays open until no request has
    // arrived for the grace time.
    void check_drained() {
        bool quiet = this->loop.now() >= std::max(this->drain_started, this->last_request) + drain_grace;
        if (this->draining && quiet && this->server.open_exchanges() == 0) {
            log_info("drained", field("target", this->settings.id));
            this->loop.stop();
        }
    }

    event_loop& loop;
    const wire::target_settings_t& settings;
    fault_settings faults;
    journal requests;
    std::uint32_t busy_slots = 0;
    bool draining = false;
    bool stopping = false;
    time_point drain_started;
    time_point last_request;
    http_server server;
    announcer announcements;
};

int run(const wire::target_settings_t& settings) {
    event_loop loop;
    target_server target(loop, settings);
    loop.on_signal(SIGTERM, [&target] { target.stop(); });
    log_info("target started", field("target", settings.id), field("address", settings.http_address));
    loop.run();
    return 0;
}

}  // namespace

}  // namespace persimmongrade

// ---- Main ----

int main(int argc, char** argv) {
    using namespace persimmongrade;
    program_definition program{.name = "persimmon-target",
                               .usage = "persimmon-target: a target for tests",
                               .config = config_content::settings};
    program.prepare = [](const auto& values) {
        auto settings = std::make_shared<const wire::target_settings_t>(load_target_settings(config_file(values)));
        return [settings] { return run(*settings); };
    };
    return run_program(argc, argv, program);
}
