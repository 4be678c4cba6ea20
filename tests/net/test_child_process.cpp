// Guards the helper that starts and ends processes for tests: it must never reach any other process.

#include <catch2/catch.hpp>

#include "../support/child_process.h"

using namespace persimmongrade;

TEST_CASE("a child that was ended gets no signal, and neither does anybody else") {
    constexpr int no_signal = 0;  // only asks whether there is a process to reach
    child_process child("persimmongrade-gateway", {"--version"}, "/dev/null");
    CHECK(child.signal(no_signal));
    child.kill_now();
    CHECK_FALSE(child.signal(no_signal));
    child.kill_now();
    CHECK_FALSE(child.running());
}
