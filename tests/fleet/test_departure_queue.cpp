// Tests of departure_queue.h, which decides when a target that leaves is answered.

#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "departure_queue.h"

using namespace persimmongrade;

namespace {

const time_point start = time_point{} + ms(1000);

wire::target_report_t leaving(const std::string& id) {
    wire::target_report_t report;
    report.id = id;
    report.phase = wire::target_phase::draining;
    return report;
}

struct answer_log {
    std::vector<std::string> recorded;
    std::vector<std::string> refused;

    departure_requests::answer_function for_target(const std::string& id) {
        return [this, id](bool is_recorded) { (is_recorded ? this->recorded : this->refused).push_back(id); };
    }
};

}  // namespace

TEST_CASE("a departure is refused at once without a leader, and after the timeout when the leader does not answer") {
    departure_requests requests(1);
    answer_log answers;
    requests.add(start, leaving("a"), 1, answers.for_target("a"));
    requests.refuse_overdue(start, "");
    CHECK(answers.refused == std::vector<std::string>{"a"});
    requests.add(start, leaving("b"), 1, answers.for_target("b"));
    REQUIRE(requests.unsent("leader").size() == 1);
    requests.refuse_overdue(start + departure_timeout - ms(1), "leader");
    CHECK(answers.refused.size() == 1);
    requests.refuse_overdue(start + departure_timeout, "leader");
    CHECK(answers.refused == std::vector<std::string>{"a", "b"});
    requests.answer(2, true);  // late
    CHECK(answers.recorded.empty());
}

TEST_CASE("a new leader is asked again for departures that the former one has not answered") {
    departure_requests requests(1);
    answer_log answers;
    requests.add(start, leaving("a"), 1, answers.for_target("a"));
    REQUIRE(requests.unsent("first").size() == 1);
    CHECK(requests.unsent("first").empty());
    auto again = requests.unsent("second");
    REQUIRE(again.size() == 1);
    requests.answer(again.front().number, true);
    CHECK(answers.recorded == std::vector<std::string>{"a"});
    CHECK(requests.unsent("third").empty());
}

// A control process that starts again has the same id, so that answers to its earlier requests still reach it.
TEST_CASE("an answer to a request of an earlier start acknowledges nothing") {
    departure_requests before(0x1000);
    departure_requests after(0x9000);
    answer_log answers;
    before.add(start, leaving("a"), 1, answers.for_target("a"));
    after.add(start, leaving("b"), 1, answers.for_target("b"));
    after.answer(before.unsent("leader").front().number, true);
    CHECK(answers.recorded.empty());
    after.answer(after.unsent("leader").front().number, true);
    CHECK(answers.recorded == std::vector<std::string>{"b"});
}

// Load pattern: an eighth of 1,080 targets leaves within a second, and a commit between regions takes 40 ms.
TEST_CASE("targets that leave together share log entries") {
    departure_batches batches;
    std::size_t entries = 0;
    std::size_t answered = 0;
    auto propose = [&] {
        if (!batches.next().empty()) {
            batches.proposed(++entries, 1);
        }
    };
    for (std::uint64_t at = 0; at < 1040; ++at) {
        if (at % 40 == 0) {
            answered += batches.committed(entries, 1).size();
            propose();
        }
        if (at < 1000 && at * 135 / 1000 != (at + 1) * 135 / 1000) {
            wire::target_departure_t departure;
            departure.id = "t-" + std::to_string(at);
            batches.add({"asker", at}, departure);
            propose();
        }
    }
    answered += batches.committed(entries, 1).size();
    CHECK(answered == 135);
    CHECK(entries <= 27);
}

// A departure that comes while an entry is in flight is not part of it.
TEST_CASE("only the departures of a committed entry are answered, and all are refused when leadership is lost") {
    departure_batches batches;
    wire::target_departure_t departure;
    batches.add({"x", 1}, departure);
    batches.proposed(7, 2);
    batches.add({"y", 1}, departure);
    CHECK(batches.next().empty());
    CHECK(batches.committed(7, 1).empty());
    CHECK(batches.committed(6, 2).empty());
    CHECK(batches.committed(7, 2) == std::vector<departure_batches::asker>{{"x", 1}});
    CHECK(batches.next().size() == 1);
    batches.proposed(8, 2);
    CHECK(batches.abandon() == std::vector<departure_batches::asker>{{"y", 1}});
    CHECK(batches.committed(8, 2).empty());
}
