// Parses YAML steering records. Schema versions 1 and 2 give the same representation.
//
//     wire::steering_record_t record = parse_record(text);  // throws record_error with all problems found
//
// Schema version 2 uses lists:                             Schema version 1 is the short form:
//
//     schema_version: 2                                        schema_version: 1
//     name: bureau                                             name: bureau
//     version: 3                                               version: 3
//     services:                                                services:
//       - name: fixture                                          fixture:
//         idempotent: true                                         idempotent: true
//         regions: [north, central]                                regions: [north, central]  # default: all
//         slots_per_target: 6                                      slots: 6
//         connections_per_target: 330                              connections: 330
//         max_request_bytes: 65536     # optional
//         max_answer_bytes: 1048576    # optional
//         without_control: floor       # optional                  without_control: floor     # optional
//         shift: {max_permille: 100, interval_ms: 10000}           shift_permille: 100        # optional
//     regions:                                                 region_limits: {north: 900, central: 900}
//       - {region: north, max_requests_per_second: 900}        link_limits_mbit: {north-central: 4000}
//       - {region: central, max_requests_per_second: 900}      clients: {203.0.113.0/24: north}
//     links:
//       - {from: north, to: central, max_mbit_per_second: 4000}
//       - {from: central, to: north, max_mbit_per_second: 4000}
//     client_blocks:
//       - {prefix: 203.0.113.0/24, region: north}
//
// A link applies to both directions in version 1, and to one in version 2. Services, regions, links and client blocks
// are sorted, so that the same content gives equal lists in either schema version.

#pragma once

#include <string>

#include "persimmongrade/record.h"

namespace persimmongrade {

// Accepts arbitrary bytes. Throws record_error when they are not a valid record.
wire::steering_record_t parse_record(const std::string& yaml);

}  // namespace persimmongrade
