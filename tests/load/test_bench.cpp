// Guards the closed-loop and fixed-rate measurements against counting wrongly: refusals, waits for a connection, rates.

#include <catch2/catch.hpp>

#include <thread>

#include "../support/scripted_target.h"
#include "persimmongrade/http_bench.h"
#include "persimmongrade/http_server.h"

using namespace persimmongrade;

namespace {

// Serves on a thread of its own, since a measurement occupies its thread. /slow takes 20 ms and /no is refused. The
// thread runs until the process ends: h2o keeps freed memory for each thread, which counts as leaked when the thread
// ends.
struct served {
    ip_address address{"127.9.8." + std::to_string(getpid() % 200 + 20), 8301};
    std::atomic<bool> ready = false;
    std::thread thread{[this] {
        event_loop loop;
        http_server server(loop, this->address, {}, [&](const http_request& request, const auto& exchange) {
            auto answer = [exchange, status = request.path == "/no" ? 503 : 200] {
                exchange->respond({status, {}, "body"});
            };
            request.path == "/slow" ? static_cast<void>(loop.after(ms(20), answer)) : answer();
        });
        this->ready = true;
        loop.run();
    }};

    served() {
        while (!this->ready) {
            std::this_thread::yield();
        }
    }
    bench_case on(const std::string& path) const { return {path, this->address, path}; }
};

}  // namespace

TEST_CASE("a measurement counts answers, refusals and waits from the intended start") {
    served& server = *new served;
    bench_options options{.cases = {server.on("/slow"), server.on("/no"), server.on("/a")},
                          .connections = 2,
                          .length = ms(300),
                          .rounds = 2};
    auto closed = run_bench(options);
    CHECK(closed[0].errors == 0);
    CHECK(closed[0].requests <= 64);  // 2 connections, 600 ms, 20 ms each, and one begun near each end
    CHECK(closed[0].p50_us >= 19000);
    CHECK(closed[1].requests == 0);
    CHECK(closed[1].errors > 0);
    CHECK(closed[2].requests > closed[0].requests);
    CHECK(closed[2].ratio == 1);
    // 200 requests a second need 4 connections at 20 ms each. With 2, the last of 300 ms waits for about as long.
    options.cases = {server.on("/slow")};
    options.rate = 200;
    options.rounds = 1;
    auto fixed = run_bench(options);
    CHECK(fixed[0].requests == 60);
    CHECK(fixed[0].p99_us > 150000);
    CHECK(render_text(fixed).find("| /slow | ") != std::string::npos);
    CHECK(render_json(fixed).find("\"p99.9\"") != std::string::npos);
}

// Cut answers without a length, and answers to which a gateway or an edge gives no caller, counted as successes.
TEST_CASE("a measurement counts broken answers as errors") {
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::vector<std::string> answers = {
        head + "\r\npart" + scripted_target::reset_later,
        head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n" + scripted_target::reset_now,
        head + "Content-Length: 5\r\n\r\npart" + scripted_target::close_now,
        "HTTP/1.1 000 None\r\nContent-Length: 5\r\n\r\nwrong",
        head + "Content-Length : 5\r\n\r\nwrong",
        head + "X A: b\r\nContent-Length: 5\r\n\r\nwrong",
        head + "X-A: b\r\n folded\r\nContent-Length: 5\r\n\r\nwrong",
    };
    std::uint16_t port = 8310;
    for (const std::string& answer : answers) {
        CAPTURE(answer);
        ip_address address{"127.9.8." + std::to_string(getpid() % 200 + 20), port++};
        scripted_target target(address, std::vector<std::string>(1000, answer));
        bench_options options{.cases = {{"broken", address, "/"}}, .length = ms(50), .warm_up = ms(0)};
        auto results = run_bench(options);
        CHECK(results[0].requests == 0);
        CHECK(results[0].errors > 0);
    }
}

TEST_CASE("a measurement reads answers in chunks and after interim answers") {
    ip_address address{"127.9.8." + std::to_string(getpid() % 200 + 20), 8320};
    scripted_target target(
        address, std::vector<std::string>(100000, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n"
                                                  "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"));
    bench_options options{.cases = {{"whole", address, "/"}}, .length = ms(50), .warm_up = ms(0)};
    auto results = run_bench(options);
    CHECK(results[0].requests > 0);
    CHECK(results[0].errors == 0);
}

TEST_CASE("cases of a measurement are checked") {
    CHECK(bench_case::parse("a=127.0.0.1:80/x=y").path == "/x=y");
    CHECK_THROWS_AS(bench_case::parse("127.0.0.1:80/x"), usage_error);
    CHECK_THROWS_AS(bench_case::parse("a=127.0.0.1:80"), usage_error);
    CHECK_THROWS_AS(bench_case::parse("a=host:80/"), address_error);
    CHECK_THROWS_AS(run_bench({}), usage_error);
}
