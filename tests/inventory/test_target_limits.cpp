// Guards what is known of the limits that targets name: the newest answer decides, whoever received it.

#include <catch2/catch.hpp>

#include "persimmongrade/target_limits.h"

using namespace persimmongrade;

namespace {

const time_point start = time_point(ms(1'000'000));
const target_limits::target_start target{"t", 5};

}  // namespace

TEST_CASE("a limit is news when it begins, changes or ends") {
    target_limits limits;
    CHECK_FALSE(limits.observe(target, std::nullopt, start).has_value());
    CHECK(limits.observe(target, 10, start).has_value());
    CHECK_FALSE(limits.observe(target, 10.2, start + ms(1)).has_value());
    CHECK(limits.observe(target, 11, start + ms(2)).has_value());
    CHECK(limits.rate(target) == 11);
    CHECK_FALSE(limits.rate({"t", 6}).has_value());  // another start of it
    auto ended = limits.observe(target, std::nullopt, start + ms(3));
    REQUIRE(ended.has_value());
    CHECK_FALSE(ended->limited);
    CHECK(limits.limited().empty());
}

TEST_CASE("news that is older than what is known has no effect, and is not passed on") {
    target_limits first;
    target_limits second;
    auto begun = first.observe(target, 10, start);
    REQUIRE(begun.has_value());
    CHECK(second.merge(*begun, start + ms(20)));
    CHECK_FALSE(second.merge(*begun, start + ms(20)));
    second.observe(target, std::nullopt, start + ms(100));
    begun->observed_ms_ago = 150;
    CHECK_FALSE(second.merge(*begun, start + ms(200)));
    CHECK_FALSE(second.rate(target).has_value());
    for (const auto& news : second.all(start + ms(300))) {
        CHECK(first.merge(news, start + ms(310)));
    }
    CHECK_FALSE(first.rate(target).has_value());
}

TEST_CASE("news with a rate that is no number of requests is ignored") {
    target_limits limits;
    wire::target_limit_t news;
    news.target = "t";
    news.started_at_ms = 5;
    news.limited = true;
    news.requests_per_second = -1;
    CHECK_FALSE(limits.merge(news, start));
    CHECK_FALSE(limits.rate(target).has_value());
}
