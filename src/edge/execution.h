// Execution of one request at the targets: choice of a target, admission, attempts, retries, deadline.
//
//     auto run = std::make_shared<execution>(edge, order, [](execution_result result) { ... });
//     run->start();   // the callback runs once, perhaps inside start()
//     run->cancel();  // the callback does not run
//
// The object keeps itself alive through the callbacks of its timers and its call until it has ended.

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admission.h"
#include "edge_context.h"
#include "region_choice.h"

namespace persimmongrade {

inline constexpr duration longest_wait_for_capacity = ms(100);

struct execution_order {
    std::shared_ptr<const configuration_index> index;  // keeps `service` alive
    const wire::service_definition_t* service = nullptr;
    http_request request;  // path and query as sent to the target
    time_point deadline{};
    duration late_result_time{};  // a dispatched call may run that long beyond the deadline
    std::uint64_t fingerprint = 0;
    std::string caller_region;
};

struct execution_result {
    std::optional<http_response> response;  // a whole answer of a target
    refusal refused;                        // without an answer; outcome not_run is proved
};

class execution : public std::enable_shared_from_this<execution> {
public:
    using callback = std::function<void(execution_result)>;

    execution(edge_context& edge, execution_order order, callback on_done);
    ~execution();
    execution(const execution&) = delete;
    execution& operator=(const execution&) = delete;

    void start();
    void cancel();
    void retry_admission();  // capacity may have become free
    bool waiting() const noexcept { return this->wait_timer != 0; }

private:
    // Attempts
    void attempt();
    bool lease_covers_dispatch() const;
    std::optional<target_choice> choose_target(bool with_slot);
    bool only_busy_targets() const;
    void refuse_without_target();
    void wait_for_capacity(const reservation_result& refused);
    void dispatch(target_choice chosen);
    http_call call_for(const target_choice& chosen) const;
    void attempt_timed_out();

    // Results of a call
    void receive(http_call_result result);
    void receive_answer(http_response response);
    void fail(wire::retry_reason reason, const refusal& refused, bool proved_not_run);
    bool retry(wire::retry_reason reason, wire::refusal_reason otherwise, bool proved_not_run,
               retry_decision& decision);
    void release(target_result result, std::uint64_t answer_bytes = 0);
    void connection_ended(target_result result, wire::retry_reason reason, const refusal& refused);
    void note_absent_target(const target_choice& absent);

    // Ends
    void deadline_passed();
    void refuse(wire::refusal_reason reason, wire::outcome outcome, std::string message, duration retry_after = {});
    void log_refusal(wire::refusal_reason reason, wire::outcome outcome) const;
    void end(execution_result result);
    void stop_everything();

    edge_context& edge;
    execution_order order;
    callback on_done;
    region_order regions;
    timer_id deadline_timer = 0;
    timer_id attempt_timer = 0;
    timer_id wait_timer = 0;
    std::optional<time_point> waiting_until;  // set once the request has waited
    call_id running_call = 0;
    std::optional<target_choice> target;  // of the running call
    admission_ticket ticket;              // of the running call
    time_point dispatched_at{};
    std::vector<std::string> tried;
    bool may_have_run = false;  // an attempt was dispatched and not proved not to have run
    bool late = false;          // the deadline passed while a call was running
    bool ended = false;
};

}  // namespace persimmongrade
