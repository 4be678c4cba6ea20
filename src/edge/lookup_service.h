// Answers GET /v1/lookup from the live edges that the leader reports.

#pragma once

#include <memory>
#include <string>
#include <vector>

#include "configuration_index.h"
#include "persimmongrade/client_block_index.h"
#include "persimmongrade/http.h"
#include "persimmongrade/lookup.h"
#include "persimmongrade/settings.h"

namespace persimmongrade {

class lookup_service {
public:
    explicit lookup_service(const wire::edge_settings_t& settings);

    void apply(std::shared_ptr<const wire::configuration_t> configuration);  // client blocks
    // `usable_here` is false while this edge must not get new callers.
    void set_edges(const std::vector<std::unique_ptr<wire::edge_info_t>>& edges, bool usable_here);

    // Throws client_block_error when the client address is malformed.
    http_response answer(const http_request& request) const;
    std::string region_of(const std::string& client) const;  // the edge's own region for unknown clients

private:
    std::string own_id;
    std::string own_region;
    client_block_index blocks;
    lookup_builder builder;
    std::vector<wire::edge_info_t> hosts;  // as last passed to the builder
};

}  // namespace persimmongrade
