// One caller request on its way to a target and back.

#pragma once

#include <memory>
#include <string>
#include <vector>

#include "edge_context.h"
#include "persimmongrade/error.h"
#include "persimmongrade/http_server.h"

namespace persimmongrade {

// A request is refused before it runs.
class refused_error : public error {
public:
    explicit refused_error(refusal refused) : error(refused.message), refused(std::move(refused)) {}

    const refusal refused;
};

class forwarded_request : public std::enable_shared_from_this<forwarded_request> {
public:
    forwarded_request(edge_context& edge, std::shared_ptr<const configuration_index> index,
                      const wire::service_definition_t& service, http_request request,
                      std::shared_ptr<http_exchange> exchange, duration deadline);
    ~forwarded_request();
    forwarded_request(const forwarded_request&) = delete;
    forwarded_request& operator=(const forwarded_request&) = delete;

    void start();

private:
    known_target* choose_target();
    void dispatch(known_target& target);
    void receive(http_call_result result);
    void answer(http_response response);
    void refuse(wire::refusal_reason reason, wire::outcome outcome, std::string message);
    void expire();
    void abandon();
    void release_target();
    void finish();

    edge_context& edge;
    std::shared_ptr<const configuration_index> index;  // keeps `service` alive
    const wire::service_definition_t& service;
    http_request request;
    std::shared_ptr<http_exchange> exchange;
    time_point started_at;
    time_point deadline;
    timer_id deadline_timer = 0;
    call_id running_call = 0;
    std::string target_id;  // of the running call
    bool finished = false;
};

}  // namespace persimmongrade
