// Forwarding of caller requests (/s/<service>/<path>) to targets.

#pragma once

#include <memory>
#include <string>

#include "edge_context.h"
#include "execution.h"
#include "persimmongrade/http_server.h"

namespace persimmongrade {

inline constexpr duration default_deadline = ms(2000);
inline constexpr duration longest_deadline = ms(10000);  // leases count a dispatched request as running for that long

class forwarder {
public:
    explicit forwarder(edge_context& edge) : edge(edge) {}

    void handle(http_request request, std::shared_ptr<http_exchange> exchange);

private:
    execution_order read(http_request request) const;
    void forward(execution_order order, std::shared_ptr<http_exchange> exchange);
    void forward_once(execution_order order, std::shared_ptr<http_exchange> exchange);

    edge_context& edge;
};

}  // namespace persimmongrade
