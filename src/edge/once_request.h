// A non-idempotent request: claimed in the ledger, executed at most once, its result stored and replayed.
//
// When the caller goes away after the request was dispatched, the execution goes on, so that a resend finds the result.

#pragma once

#include <memory>
#include <string>

#include "edge_context.h"
#include "execution.h"
#include "ledger_service.h"
#include "persimmongrade/http_server.h"

namespace persimmongrade {

// For that long after the deadline an answer of the target is still stored for a resend.
inline constexpr duration late_result_time = ms(1000);

class once_request : public std::enable_shared_from_this<once_request> {
public:
    // `key` is a canonical UUID version 7.
    once_request(edge_context& edge, ledger_service& ledger, execution_order order,
                 std::shared_ptr<http_exchange> exchange, std::string key);

    void start();

private:
    void receive(const ledger_outcome& outcome);
    void dispatch(std::uint64_t attempt);
    void executed(std::uint64_t attempt, execution_result result);
    void refuse(const refusal& refused);
    void close();

    edge_context& edge;
    ledger_service& ledger;
    execution_order order;
    std::shared_ptr<http_exchange> exchange;
    std::string key;
    refusal execution_refusal;  // detail of a refusal that the ledger reports
    timer_id deadline_timer = 0;
    time_point started_at;
    bool caller_gone = false;
    bool closed = false;
};

wire::stored_answer_t to_stored(const http_response& response);
http_response from_stored(const wire::stored_answer_t& answer);

}  // namespace persimmongrade
