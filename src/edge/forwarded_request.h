// One caller request on its way to a target and back: choice of a target, attempts, retries, deadline, cancellation.
//
// The object keeps itself alive through the callbacks of its timer, its call and its exchange; finish() drops them all.

#pragma once

#include <memory>
#include <string>
#include <vector>

#include "edge_context.h"
#include "persimmongrade/error.h"
#include "persimmongrade/http_server.h"
#include "region_choice.h"

namespace persimmongrade {

// A request is refused before it runs.
class refused_error : public error {
public:
    explicit refused_error(refusal refused) : error(refused.message), refused(std::move(refused)) {}

    const refusal refused;
};

struct forward_order {
    std::shared_ptr<const configuration_index> index;  // keeps `service` alive
    const wire::service_definition_t* service = nullptr;
    http_request request;  // path and query as sent to the target
    std::shared_ptr<http_exchange> exchange;
    duration deadline{};
    std::uint64_t fingerprint = 0;
    std::string caller_region;
};

class forwarded_request : public std::enable_shared_from_this<forwarded_request> {
public:
    forwarded_request(edge_context& edge, forward_order order);
    ~forwarded_request();
    forwarded_request(const forwarded_request&) = delete;
    forwarded_request& operator=(const forwarded_request&) = delete;

    void start();

private:
    // Attempts
    void attempt();
    std::optional<target_choice> choose_target();
    void dispatch(target_choice chosen);
    http_call call_for(const target_choice& chosen) const;
    void receive(http_call_result result);
    void fail(wire::retry_reason reason, const refusal& refused, bool proved_not_run);
    bool may_retry(wire::retry_reason reason, const refusal& refused, bool proved_not_run, retry_decision& decision);
    void attempt_timed_out();

    // Target state
    void report(target_result result);
    void note_lost_connection();
    void note_absent_target();

    // Ends
    void answer(http_response response);
    void refuse(const refusal& refused);
    void expire();
    void abandon();
    void finish();

    edge_context& edge;
    forward_order order;
    region_order regions;
    time_point started_at;
    time_point deadline;
    timer_id deadline_timer = 0;
    timer_id attempt_timer = 0;
    call_id running_call = 0;
    std::optional<target_choice> target;  // of the running call
    time_point dispatched_at{};
    std::vector<std::string> tried;
    bool finished = false;
};

}  // namespace persimmongrade
