// Measures requests per second and latency of HTTP addresses, side by side.
//
//     bench_options options{.cases = {bench_case::parse("healthz=127.0.1.1:8000/healthz")}, .connections = 32};
//     std::cout << render_text(run_bench(options));
//
// Without a rate, each connection sends its next request when the last one is answered. With a rate, requests start at
// even intervals on any idle connection, and latency counts from the intended start: a request that waits for a
// connection counts its wait. The cases run one after the other in each round, so that changes of the machine's load
// affect all of them.

#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "persimmongrade/address.h"
#include "persimmongrade/clock.h"
#include "persimmongrade/command_line.h"

namespace persimmongrade {

struct bench_case {
    std::string name;
    ip_address address;
    std::string path;

    // Parses "name=IP:port/path". Throws usage_error or address_error.
    static bench_case parse(const std::string& text);

    auto operator<=>(const bench_case&) const = default;
};

struct bench_options {
    std::vector<bench_case> cases;
    std::vector<std::string> headers = {};  // "name: value"
    std::uint32_t connections = 1;
    double rate = 0;             // requests per second of each case; 0: as fast as the answers come
    duration length = ms(2000);  // of one case in one round
    duration warm_up = ms(200);  // before it, not measured
    std::uint32_t rounds = 1;
    std::string reference = {};  // case to which the others are compared; empty: the last one

    auto operator<=>(const bench_options&) const = default;
};

struct bench_result {
    std::string name;
    std::uint64_t requests = 0;  // answered with 200
    std::uint64_t errors = 0;    // another status, or a lost connection
    double requests_per_second = 0;
    double least_per_second = 0;  // of one round
    double most_per_second = 0;
    double p50_us = 0;
    double p99_us = 0;
    double p999_us = 0;
    double ratio = 0;  // requests per second relative to the reference

    auto operator<=>(const bench_result&) const = default;
};

// Uses one thread. Throws usage_error without a case and socket_error when a case cannot be connected.
std::vector<bench_result> run_bench(const bench_options& options);

std::string render_text(const std::vector<bench_result>& results);
std::string render_json(const std::vector<bench_result>& results);

}  // namespace persimmongrade
