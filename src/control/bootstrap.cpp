#include "persimmongrade/bootstrap.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>

#include "persimmongrade/log.h"
#include "persimmongrade/log_storage.h"
#include "persimmongrade/metrics.h"
#include "persimmongrade/peer_transport.h"
#include "persimmongrade/random.h"

namespace persimmongrade {

namespace {

constexpr duration ask_interval = ms(100);
constexpr duration report_interval = ms(5000);  // between log lines while others do not answer
constexpr const char* token_file = "bootstrap-token";

std::uint64_t load_token(const std::string& directory) {
    std::filesystem::create_directories(directory);
    std::filesystem::path path = std::filesystem::path(directory) / token_file;
    std::uint64_t token = 0;
    if (std::ifstream(path) >> token) {
        return token;
    }
    token = random_bits();
    std::ofstream(path) << token << "\n";
    return token;
}

struct confirmation {
    event_loop& loop;
    const wire::control_settings_t& settings;
    std::uint64_t token;
    bootstrap_registry registry = bootstrap_registry::of_first_start();
    std::set<std::string> missing;  // ids of those that have not answered
    std::string refused_by;
    bool stopped = false;
    metric_registry metrics;
    peer_transport peers;

    confirmation(event_loop& loop, const wire::control_settings_t& settings)
        : loop(loop), settings(settings), token(load_token(settings.data_directory)),
          peers(loop, settings.cluster, settings.id, ip_address::parse(settings.peer_address), this->metrics,
                [this](const wire::envelope_t& envelope) { this->receive(envelope); }) {
        for (const auto& peer : settings.control) {
            if (peer->id != settings.id) {
                this->missing.insert(peer->id);
                this->peers.add_peer(peer->id, ip_address::parse(peer->address));
            }
        }
    }

    void receive(const wire::envelope_t& envelope) {
        if (const auto* request = envelope.body.Asbootstrap_request()) {
            this->peers.send(envelope.from, this->registry.answer(envelope.from, *request));
            return;
        }
        const auto* reply = envelope.body.Asbootstrap_reply();
        if (reply == nullptr || reply->token != this->token) {
            return;  // messages of the consensus of processes that were confirmed earlier
        }
        if (!reply->confirmed) {
            this->refused_by = envelope.from;
        }
        this->missing.erase(envelope.from);
        this->stop_when_answered();
    }

    void stop_when_answered() {
        if (this->missing.empty() || !this->refused_by.empty()) {
            this->loop.stop();
        }
    }

    void ask() {
        for (const std::string& id : this->missing) {
            wire::bootstrap_request_t request;
            request.token = this->token;
            this->peers.send(id, request);
        }
    }

    void report() const {
        std::string names;
        for (const std::string& id : this->missing) {
            names += (names.empty() ? "" : ",") + id;
        }
        log_info("first start waits for the other control processes", field("missing", names));
    }

    void run() {
        auto stop = [this] {
            this->stopped = true;
            this->loop.stop();
        };
        this->loop.on_signal(SIGTERM, stop);
        this->loop.on_signal(SIGINT, stop);
        timer_id asking = this->loop.every(ask_interval, [this] { this->ask(); });
        timer_id reporting = this->loop.every(report_interval, [this] { this->report(); });
        this->loop.run();
        this->loop.cancel(asking);
        this->loop.cancel(reporting);
    }
};

}  // namespace

bootstrap_registry bootstrap_registry::of_first_start() {
    bootstrap_registry registry;
    registry.first_start = true;
    return registry;
}

wire::bootstrap_reply_t bootstrap_registry::answer(const std::string& id, const wire::bootstrap_request_t& request) {
    wire::bootstrap_reply_t reply;
    reply.token = request.token;
    reply.confirmed = this->first_start && this->tokens.emplace(id, request.token).first->second == request.token;
    return reply;
}

bool needs_bootstrap(const wire::control_settings_t& settings) {
    return !std::filesystem::exists(std::filesystem::path(settings.data_directory) / storage_names::identity);
}

std::optional<bootstrap_registry> confirm_bootstrap(event_loop& loop, const wire::control_settings_t& settings) {
    confirmation check(loop, settings);
    if (!check.missing.empty()) {
        check.run();
    }
    if (!check.refused_by.empty()) {
        throw already_bootstrapped("already_bootstrapped: " + check.refused_by + " knows " + settings.id +
                                   " or holds data of the cluster; start without --bootstrap to replace a lost disk");
    }
    return check.stopped ? std::nullopt : std::optional(std::move(check.registry));
}

}  // namespace persimmongrade
