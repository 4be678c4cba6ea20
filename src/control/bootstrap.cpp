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

constexpr duration request_interval = ms(100);
constexpr duration log_interval = ms(5000);  // between log lines while confirmations are missing
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

struct bootstrap_confirmation {
    event_loop& loop;
    const wire::control_settings_t& settings;
    std::uint64_t token;
    bootstrap_registry registry = bootstrap_registry::for_first_start();
    std::set<std::string> unconfirmed_peers;  // by id
    std::string refused_by;
    bool is_stopped = false;
    metric_registry metrics;
    peer_transport peers;

    bootstrap_confirmation(event_loop& loop, const wire::control_settings_t& settings)
        : loop(loop), settings(settings), token(load_token(settings.data_directory)),
          peers(loop, settings.cluster, settings.id, ip_address::parse(settings.peer_address), this->metrics,
                [this](const wire::envelope_t& envelope) { this->receive(envelope); }) {
        for (const auto& peer : settings.control) {
            if (peer->id != settings.id) {
                this->unconfirmed_peers.insert(peer->id);
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
            return;  // for example consensus messages from processes that are already confirmed
        }
        if (!reply->confirmed) {
            this->refused_by = envelope.from;
        }
        this->unconfirmed_peers.erase(envelope.from);
        this->stop_if_answered();
    }

    void stop_if_answered() {
        if (this->unconfirmed_peers.empty() || !this->refused_by.empty()) {
            this->loop.stop();
        }
    }

    void send_requests() {
        for (const std::string& id : this->unconfirmed_peers) {
            wire::bootstrap_request_t request;
            request.token = this->token;
            this->peers.send(id, request);
        }
    }

    void log_unconfirmed() const {
        std::string names;
        for (const std::string& id : this->unconfirmed_peers) {
            names += (names.empty() ? "" : ",") + id;
        }
        log_info("bootstrap waits for confirmation from the other control processes", field("missing", names));
    }

    void run() {
        auto stop = [this] {
            this->is_stopped = true;
            this->loop.stop();
        };
        this->loop.on_signal(SIGTERM, stop);
        this->loop.on_signal(SIGINT, stop);
        timer_id request_timer = this->loop.every(request_interval, [this] { this->send_requests(); });
        timer_id log_timer = this->loop.every(log_interval, [this] { this->log_unconfirmed(); });
        this->loop.run();
        this->loop.cancel(request_timer);
        this->loop.cancel(log_timer);
    }
};

}  // namespace

bootstrap_registry bootstrap_registry::for_first_start() {
    bootstrap_registry registry;
    registry.is_first_start = true;
    return registry;
}

wire::bootstrap_reply_t bootstrap_registry::answer(const std::string& id, const wire::bootstrap_request_t& request) {
    wire::bootstrap_reply_t reply;
    reply.token = request.token;
    reply.confirmed = this->is_first_start && this->tokens.emplace(id, request.token).first->second == request.token;
    return reply;
}

bool needs_bootstrap(const wire::control_settings_t& settings) {
    return !std::filesystem::exists(std::filesystem::path(settings.data_directory) / storage_names::identity);
}

std::optional<bootstrap_registry> confirm_bootstrap(event_loop& loop, const wire::control_settings_t& settings) {
    bootstrap_confirmation confirmation(loop, settings);
    if (!confirmation.unconfirmed_peers.empty()) {
        confirmation.run();
    }
    if (!confirmation.refused_by.empty()) {
        throw already_bootstrapped("already_bootstrapped: " + confirmation.refused_by + " knows " + settings.id +
                                   " or holds data of the cluster; start without --bootstrap to replace a lost disk");
    }
    return confirmation.is_stopped ? std::nullopt : std::optional(std::move(confirmation.registry));
}

}  // namespace persimmongrade
