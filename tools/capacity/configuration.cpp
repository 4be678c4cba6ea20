// Size of a change of the configuration.

#include "parts.h"

namespace persimmongrade {

std::vector<table> measure_configuration(const std::vector<std::size_t>& sizes) {
    table assignments{"configuration delta with changed assignments of 7 regions", {"assignments", "bytes"}, {}};
    for (std::size_t count : {1U, 10U, 100U}) {
        wire::configuration_delta_t delta;
        for (std::size_t i = 0; i < count; ++i) {
            auto& entry = delta.changed_assignments.emplace_back(std::make_unique<wire::assignment_t>());
            entry->service = "service";
            entry->caller_region = region_name(i);
            for (std::size_t r = 0; r < 7; ++r) {
                auto& share = entry->shares.emplace_back(std::make_unique<wire::region_share_t>());
                share->region = region_name(r);
                share->permille = 142;
            }
        }
        assignments.rows.push_back({count, pack<wire::configuration_delta>(delta).size()});
    }
    table records{"configuration delta with one changed record", {"client blocks", "bytes", "encode ms"}, {}};
    for (std::size_t size : sizes) {
        std::mt19937_64 random(size);
        wire::configuration_delta_t delta;
        auto& record = delta.changed_records.emplace_back(std::make_unique<wire::steering_record_t>());
        record->client_blocks =
            std::make_unique<wire::client_block_columns_t>(to_blocks(generate_prefixes(size, random)));
        std::size_t bytes = 0;
        double encode = seconds([&] { bytes = pack<wire::configuration_delta>(delta).size(); });
        records.rows.push_back({size, bytes, encode * 1e3});
    }
    table fits = make_fit_table("configuration, linear fit");
    add_fits(fits, assignments, "", 0, {1});
    add_fits(fits, records, "", 0, {1, 2});
    return {assignments, records, fits};
}

}  // namespace persimmongrade
