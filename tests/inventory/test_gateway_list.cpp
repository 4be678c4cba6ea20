// Tests of gateway_list and its copies, and of report_stream.

#include <catch2/catch.hpp>

#include <rapidcheck/catch.h>

#include <string>
#include <vector>

#include "persimmongrade/gateway_list.h"
#include "persimmongrade/report_stream.h"

using namespace persimmongrade;

namespace {

gateways_by_address make_gateways(const std::vector<std::string>& addresses) {
    gateways_by_address gateways;
    for (const std::string& address : addresses) {
        gateways[address].address = address;
        gateways[address].region = "north";
    }
    return gateways;
}

bool follow(gateway_list_copy& copy, const gateway_list& list) {
    return copy.apply(list.changes_since(copy.list(), copy.version()));
}

}  // namespace

TEST_CASE("a copy of the list of gateways gets what has changed, and nothing else") {
    gateway_list list;
    gateway_list_copy copy;
    CHECK_FALSE(follow(copy, list));  // there is no list yet
    REQUIRE(list.replace(make_gateways({"a", "b", "c"})));
    CHECK_FALSE(list.replace(make_gateways({"a", "b", "c"})));
    REQUIRE(follow(copy, list));
    REQUIRE(list.replace(make_gateways({"a", "c", "d"})));
    auto changes = list.changes_since(copy.list(), copy.version());
    REQUIRE(changes.present.size() == 1);
    CHECK(changes.present[0]->address == "d");
    CHECK(changes.departed == std::vector<std::string>{"b"});
    REQUIRE(copy.apply(changes));
    CHECK_FALSE(copy.apply(changes));
    CHECK(copy.entries() == list.entries());
}

TEST_CASE("a process that has started anew sends its whole list, whatever version the copy has") {
    gateway_list first;
    gateway_list_copy copy;
    first.replace(make_gateways({"a"}));
    first.replace(make_gateways({"a", "b"}));
    REQUIRE(follow(copy, first));
    gateway_list second;
    second.replace(make_gateways({"c"}));
    second.replace(make_gateways({"c", "d"}));
    REQUIRE(follow(copy, second));
    CHECK(copy.entries() == second.entries());
}

TEST_CASE("copies agree with the list after changes that are lost, late or repeated") {
    rc::check([](const std::vector<std::vector<std::uint8_t>>& states, const std::vector<std::uint8_t>& order) {
        gateway_list list;
        gateway_list_copy copy;
        std::vector<wire::gateway_changes_t> sent;
        for (const auto& state : states) {
            std::vector<std::string> addresses;
            for (std::uint8_t number : state) {
                addresses.push_back(std::to_string(number % 8));
            }
            list.replace(make_gateways(addresses));
            sent.push_back(list.changes_since(copy.list(), copy.version()));
            if (!order.empty() && order[sent.size() % order.size()] % 3 != 0) {
                copy.apply(sent[order[sent.size() % order.size()] % sent.size()]);
            }
        }
        follow(copy, list);
        RC_ASSERT(copy.entries() == list.entries());
    });
}

// A start of 117 gateways beside 1,080 targets: the reports take 350 ms of a free link of 5 Mbit/s, and seconds of one
// that carries requests.
TEST_CASE("reports are not sent again while they are on their way, or arriving") {
    report_stream stream;
    time_point now{};
    REQUIRE(stream.must_resend(now, 0, 0));  // the first copy, in six messages
    for (int i = 0; i < 6; ++i) {
        stream.next();
    }
    for (std::uint64_t arrived = 0; arrived < 3; ++arrived) {
        for (int i = 0; i < 10; ++i) {
            now += ms(300);
            CHECK_FALSE(stream.must_resend(now, arrived, 50000));
        }
    }
    for (std::uint64_t arrived = 3; arrived <= 6; ++arrived) {
        now += ms(600);
        CHECK_FALSE(stream.must_resend(now, arrived, 0));
    }
    now += ms(60000);
    CHECK_FALSE(stream.must_resend(now, 6, 0));
}

TEST_CASE("a lost message is noticed while others follow, and everything is sent again less and less often") {
    report_stream stream;
    time_point now{};
    REQUIRE(stream.must_resend(now, 0, 0));
    std::vector<time_point> copies;
    while (now < time_point{} + ms(20000)) {
        now += ms(300);
        stream.next();  // of which the first was lost
        if (stream.must_resend(now, 0, 0)) {
            copies.push_back(now);
        }
    }
    REQUIRE(copies.size() >= 3);
    CHECK(copies[0] - time_point{} <= ms(1500));
    CHECK(copies[2] - copies[1] > copies[1] - copies[0]);
    CHECK(copies.size() < 8);
}

TEST_CASE("a receiver that starts anew, or turns to this process again, gets everything at once") {
    report_stream stream;
    time_point now{};
    REQUIRE(stream.must_resend(now, 0, 0));
    stream.next();
    CHECK_FALSE(stream.must_resend(now, 1, 0));
    CHECK(stream.must_resend(now, 0, 0));
    stream.next();
    CHECK_FALSE(stream.must_resend(now, 2, 0));
    stream.restart();
    CHECK(stream.must_resend(now, 2, 0));
    SECTION("and a sender that has started anew goes on from the receiver's number") {
        report_stream other;
        CHECK(other.must_resend(now, 57, 0));
        CHECK(other.next() == 58);
    }
}

// Each part of a copy counted as the whole of it: a copy whose first part was lost was never completed.
TEST_CASE("a copy of all reports counts as received only from its first part on") {
    received_reports received;
    auto receive = [&](std::uint64_t number, bool full, bool continues) {
        wire::target_reports_t message;
        message.number = number;
        message.full = full;
        message.continues = continues;
        received.receive(message);
        return received.number();
    };
    CHECK(receive(1, false, false) == 1);
    CHECK(receive(3, true, true) == 1);  // the first part, 2, was lost
    CHECK(receive(4, true, true) == 1);
    CHECK(receive(5, true, false) == 5);
    CHECK(receive(6, true, true) == 6);
    CHECK(receive(8, false, false) == 6);
    CHECK(receive(0, false, false) == 6);
}

TEST_CASE("reports that were on the way over a connection that ended are sent again at once") {
    report_stream stream;
    time_point now{};
    REQUIRE(stream.must_resend(now, 0, 0));
    stream.next();
    CHECK_FALSE(stream.must_resend(now, 1, 0));
    stream.reconnected();
    CHECK_FALSE(stream.must_resend(now, 1, 0));  // nothing was on the way
    stream.next();
    CHECK_FALSE(stream.must_resend(now, 1, 0));
    stream.reconnected();
    CHECK(stream.must_resend(now, 1, 50000));
    CHECK_FALSE(stream.must_resend(now, 1, 0));  // on its way
    report_stream other;
    other.reconnected();
    CHECK(other.must_resend(now, 0, 0));
    other.next();
    CHECK_FALSE(other.must_resend(now, 0, 0));  // the first copy is on its way
}
