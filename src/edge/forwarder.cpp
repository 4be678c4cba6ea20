#include "forwarder.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>

#include "forwarded_request.h"

namespace persimmongrade {

namespace {

constexpr std::string_view path_prefix = "/s/";

refusal bad_request(std::string message) {
    return {wire::refusal_reason::bad_request, wire::outcome::not_run, std::move(message)};
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

// Identifies the content of a request: method, path, query and body.
std::uint64_t content_fingerprint(const http_request& request) {
    std::string head = request.method + " " + request.path + "?" + request.query + "\n";
    return XXH64(request.body.data(), request.body.size(), XXH64(head.data(), head.size(), 0));
}

}  // namespace

void forwarder::handle(http_request request, std::shared_ptr<http_exchange> exchange) {
    try {
        std::string_view rest = std::string_view(request.path).substr(path_prefix.size());
        std::size_t slash = rest.find('/');
        std::string service_name(rest.substr(0, slash));
        const wire::service_definition_t* service = this->edge.index->service(service_name);
        if (service == nullptr) {
            throw refused_error({wire::refusal_reason::unknown_service, wire::outcome::not_run,
                                 "no record declares service '" + service_name + "'"});
        }
        if (request.body.size() > service->max_request_bytes) {
            throw refused_error({wire::refusal_reason::request_too_large, wire::outcome::not_run,
                                 "the body exceeds " + std::to_string(service->max_request_bytes) + " bytes"});
        }
        duration deadline = read_deadline(request);
        request.path = slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
        forward_order order{this->edge.index, service, std::move(request), exchange, deadline};
        order.fingerprint = content_fingerprint(order.request);
        order.caller_region = this->edge.settings.region;
        std::make_shared<forwarded_request>(this->edge, std::move(order))->start();
    } catch (const refused_error& reason) {
        this->edge.refuse(*exchange, reason.refused);
    }
}

}  // namespace persimmongrade
