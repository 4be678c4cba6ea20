// Guards at-most-once execution with generated histories of resends, faults and membership changes.

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <cstdlib>
#include <iostream>

#include "ledger_histories.h"

using namespace persimmongrade;
using namespace persimmongrade::test;

namespace persimmongrade::test {

std::ostream& operator<<(std::ostream& out, const step& value) {
    return out << "{" << static_cast<int>(value.operation) << " +" << value.after_ms << " key " << value.key << " pick "
               << value.pick << " for " << value.length_ms << "}";
}

std::ostream& operator<<(std::ostream& out, const history& value) {
    out << "seed " << value.seed << ", loss " << value.loss_percent << "%, duplicates " << value.duplicate_percent
        << "%, late " << value.late_percent << "% by " << value.late_ms << " ms, failing " << value.failing_percent
        << "%, keys " << value.keys << ", regions " << value.regions << ", steps";
    for (const auto& next : value.steps) {
        out << " " << next;
    }
    return out;
}

}  // namespace persimmongrade::test

namespace rc {

template <>
struct Arbitrary<step> {
    static Gen<step> arbitrary() {
        using kind = step::kind;
        return gen::build<step>(gen::set(&step::operation, gen::weightedElement<kind>({{12, kind::send},
                                                                                       {1, kind::send_other},
                                                                                       {1, kind::kill},
                                                                                       {3, kind::kill_replica},
                                                                                       {2, kind::kill_owner},
                                                                                       {2, kind::kill_after_repair},
                                                                                       {1, kind::partition},
                                                                                       {1, kind::change}})),
                                gen::set(&step::after_ms, gen::oneOf(gen::inRange(0, 40), gen::inRange(0, 1500))),
                                gen::set(&step::key, gen::inRange(0, 3)), gen::set(&step::pick, gen::inRange(0, 128)),
                                gen::set(&step::length_ms, gen::oneOf(gen::inRange(1, 60), gen::inRange(1, 2500))));
    }
};

}  // namespace rc

namespace {

history arbitrary_history() {
    history plan;
    plan.seed = *rc::gen::arbitrary<std::uint64_t>();
    plan.loss_percent = *rc::gen::element(0, 5, 30);
    plan.duplicate_percent = *rc::gen::element(0, 20);
    plan.late_percent = *rc::gen::element(0, 10, 40);
    plan.late_ms = *rc::gen::element(150, 600, 4000);
    plan.failing_percent = *rc::gen::element(0, 30, 70);
    plan.keys = *rc::gen::inRange(1, 4);
    auto length = *rc::gen::inRange<std::size_t>(1, 28);
    plan.steps = *rc::gen::container<std::vector<step>>(length, rc::gen::arbitrary<step>());
    return plan;
}

int histories() {
    const char* text = std::getenv("PERSIMMONGRADE_HISTORIES");
    return text == nullptr ? 8000 : std::atoi(text);
}

}  // namespace

TEST_CASE("no history of resends and faults runs a request twice or makes a refusal false", "[ledger]") {
    int regions = GENERATE(3, 5);
    totals sum;
    auto property = [&sum, regions] {
        auto plan = *rc::gen::resize(rc::kNominalSize, rc::gen::exec(arbitrary_history));
        plan.regions = regions;
        simulation run(plan);
        run.run();
        sum.runs += run.counts.runs;
        sum.replays += run.counts.replays;
        sum.waits += run.counts.waits;
        sum.not_run += run.counts.not_run;
        sum.unknown += run.counts.unknown;
        sum.reused += run.counts.reused;
        sum.refused_after_not_run += run.counts.refused_after_not_run;
        sum.copies += run.counts.copies;
        if (auto violation = run.violation()) {
            RC_FAIL(*violation);
        }
    };
    auto params = rc::detail::configuration().testParams;
    params.maxSuccess = histories();
    auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    INFO(text.str());
    CHECK(result.template is<rc::detail::SuccessResult>());
    std::cout << "histories " << histories() << " with " << regions << " regions: runs " << sum.runs << ", replays "
              << sum.replays << ", waits " << sum.waits << ", not_run " << sum.not_run << ", unknown " << sum.unknown
              << ", key_reused " << sum.reused << ", refused after a not_run " << sum.refused_after_not_run
              << ", replicas copied " << sum.copies << "\n";
    CHECK(std::min({sum.runs, sum.replays, sum.waits, sum.not_run, sum.unknown, sum.reused, sum.refused_after_not_run,
                    sum.copies}) > 0);
}
