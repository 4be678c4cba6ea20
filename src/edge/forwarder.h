// Forwarding of caller requests (/s/<service>/<path>) to targets.

#pragma once

#include <memory>
#include <string>

#include "edge_context.h"
#include "execution.h"
#include "ledger_service.h"
#include "persimmongrade/http_server.h"

namespace persimmongrade {

inline constexpr duration default_deadline = ms(2000);

// Leases count a dispatched request as running for at most 10 s, which includes the time for late results.
inline constexpr duration longest_deadline = ms(9000);

class forwarder {
public:
    forwarder(edge_context& edge, ledger_service& ledger) : edge(edge), ledger(ledger) {}

    void handle(http_request request, std::shared_ptr<http_exchange> exchange);

private:
    execution_order read(http_request request) const;
    void forward(execution_order order, std::shared_ptr<http_exchange> exchange);
    void forward_once(execution_order order, std::shared_ptr<http_exchange> exchange);

    edge_context& edge;
    ledger_service& ledger;
};

}  // namespace persimmongrade
