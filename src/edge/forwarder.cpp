#include "forwarder.h"

#include <algorithm>
#include <charconv>

#include "once_request.h"
#include "persimmongrade/error.h"
#include "persimmongrade/uuid.h"

namespace persimmongrade {

namespace {

constexpr std::string_view path_prefix = "/s/";

// A request is malformed or names nothing known.
class refused_error : public error {
public:
    explicit refused_error(refusal refused) : error(refused.message), refused(std::move(refused)) {}

    const refusal refused;
};

// The outcome is `none`: an earlier request with the same idempotency key may have run.
refusal bad_request(std::string message) {
    return {wire::refusal_reason::bad_request, wire::outcome::none, std::move(message)};
}

// Reads persimmon-deadline-ms. Throws refused_error.
duration read_deadline(const http_request& request) {
    auto text = request.header("persimmon-deadline-ms");
    if (!text) {
        return default_deadline;
    }
    std::int64_t value = 0;
    auto [end, failure] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (failure != std::errc() || end != text->data() + text->size() || value <= 0) {
        throw refused_error(bad_request("persimmon-deadline-ms: expected a positive whole number of milliseconds"));
    }
    return std::min(ms(value), longest_deadline);
}

// Reads the idempotency key. Throws refused_error.
std::string read_key(const http_request& request) {
    auto text = request.header("idempotency-key");
    if (!text) {
        throw refused_error({wire::refusal_reason::idempotency_key_missing, wire::outcome::not_run,
                             "the service needs an Idempotency-Key header"});
    }
    try {
        return parse_uuid_v7(*text);
    } catch (const uuid_error&) {
        // An edge with another revision of the record may have run it without a claim.
        throw refused_error({wire::refusal_reason::idempotency_key_invalid, wire::outcome::none,
                             "Idempotency-Key: expected a UUID version 7"});
    }
}

}  // namespace

void forwarder::handle(http_request request, const std::shared_ptr<http_exchange>& exchange) {
    try {
        execution_order order = this->read(std::move(request));
        this->edge.meter.offered(order.service->name, order.caller_region);
        order.service->idempotent ? this->forward(std::move(order), exchange)
                                  : this->forward_once(std::move(order), exchange);
    } catch (const refused_error& reason) {
        this->edge.refuse(*exchange, reason.refused);
    }
}

execution_order forwarder::read(http_request request) const {
    std::string_view rest = std::string_view(request.path).substr(path_prefix.size());
    std::size_t slash = rest.find('/');
    std::string service_name(rest.substr(0, slash));
    execution_order order;
    order.index = this->edge.index;
    order.service = order.index->service(service_name);
    if (order.service == nullptr) {
        throw refused_error({wire::refusal_reason::unknown_service, wire::outcome::none,
                             "no record declares service '" + service_name + "'"});
    }
    if (request.body.size() > order.service->max_request_bytes) {
        throw refused_error({wire::refusal_reason::request_too_large, wire::outcome::none,
                             "the body exceeds " + std::to_string(order.service->max_request_bytes) + " bytes"});
    }
    order.deadline = this->edge.loop.now() + read_deadline(request);
    if (this->edge.stopping && !this->edge.stopping->can_end(order.deadline)) {
        // An earlier send of a key may have run through another edge.
        bool has_key = request.header("idempotency-key").has_value();
        throw refused_error({wire::refusal_reason::stopping, has_key ? wire::outcome::unknown : wire::outcome::not_run,
                             "this edge stops before the deadline of the request: look up again"});
    }
    request.path = slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
    order.fingerprint =
        content_fingerprint(request.method + " " + request.path + "?" + request.query + "\n", request.body);
    order.caller_region = this->edge.lookups.region_of(request.peer_ip);
    order.request = std::move(request);
    return order;
}

void forwarder::forward(execution_order order, const std::shared_ptr<http_exchange>& exchange) {
    time_point started = this->edge.loop.now();
    bool has_key = order.request.header("idempotency-key").has_value();
    auto done = [this, exchange, started, has_key, name = order.service->name](execution_result result) {
        exchange->on_close(nullptr);
        this->edge.meter.ended(name, this->edge.loop.now() - started);
        if (result.response) {
            exchange->respond(std::move(*result.response));
            return;
        }
        // An edge with another revision of the record may have run the key with a claim, which this edge does not see.
        if (has_key && result.refused.outcome == wire::outcome::not_run) {
            result.refused.outcome = wire::outcome::unknown;
        }
        this->edge.refuse(*exchange, result.refused);
    };
    auto run = std::make_shared<execution>(this->edge, std::move(order), done);
    exchange->on_close([run] { run->cancel(); });
    run->start();
}

void forwarder::forward_once(execution_order order, const std::shared_ptr<http_exchange>& exchange) {
    std::string key = read_key(order.request);
    std::make_shared<once_request>(this->edge, this->ledger, std::move(order), exchange, std::move(key))->start();
}

}  // namespace persimmongrade
