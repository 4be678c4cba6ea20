// Open-loop load: requests start at the times of a Poisson process, whether or not earlier ones were answered, and
// latency counts from the intended start.
//
//     load_generator generator(loop, options);
//     load_observations observed = generator.run();

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "persimmongrade/address.h"
#include "persimmongrade/event_loop.h"
#include "persimmongrade/load_report.h"

namespace persimmongrade {

struct load_stream {
    std::string service;
    double requests_per_second = 10;
    bool idempotent = true;
    std::uint32_t request_bytes = 0;
    std::uint32_t answer_bytes = 512;

    // Parses "service:rate:lookup|booking[:request_bytes:answer_bytes]". Throws load_options_error.
    static load_stream parse(const std::string& text);

    auto operator<=>(const load_stream&) const = default;
};

class load_options_error : public error {
public:
    using error::error;
};

struct load_options {
    std::vector<ip_address> edges;    // asked for the first lookup
    std::vector<ip_address> control;  // polled for resource use and drains; may be empty
    std::vector<load_stream> streams;
    std::vector<std::string> client_ips = {"127.0.0.1"};  // caller addresses given to lookups, in turn
    duration length = ms(10000);
    duration deadline = ms(2000);  // per request, resends included
    std::uint32_t retries = 2;     // resends through other edges after a refusal or a lost connection
    double resend_share = 0;       // share of bookings sent twice at once, through two edges
    double cancel_share = 0;       // share of requests that the caller gives up early
    std::uint64_t seed = 1;
    bool progress = true;  // one line a second on standard error
};

struct load_observations {
    std::vector<call_record> records;
    std::vector<resource_sample> samples;
    std::vector<drain_sample> drains;
    double duration_s = 0;
};

class load_generator {
public:
    load_generator(event_loop& loop, load_options options);
    ~load_generator();
    load_generator(const load_generator&) = delete;
    load_generator& operator=(const load_generator&) = delete;

    load_observations run();  // runs the loop until every request has ended; throws load_options_error without a lookup

private:
    struct impl;
    std::unique_ptr<impl> state;
};

}  // namespace persimmongrade
