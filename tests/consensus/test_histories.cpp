// Guards the safety and progress of the replicated log over generated histories of faults. PERSIMMONGRADE_HISTORIES
// sets the number of histories (default 10000), RC_PARAMS="seed=N" the seed.

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <cstdlib>
#include <iostream>

#include "cluster.h"

using namespace persimmongrade;

namespace {

enum class step_kind {
    run,
    propose,
    isolate,
    swap_leaders,
    partition,
    cut_link,
    heal,
    lossy,
    crash,
    crash_in_write,
    bad_disk,
    restart,
    pause,
    transfer,
    lose_disk
};

constexpr std::array<const char*, 15> step_names{"run",      "propose", "isolate", "swap_leaders", "partition",
                                                 "cut_link", "heal",    "lossy",   "crash",        "crash_in_write",
                                                 "bad_disk", "restart", "pause",   "transfer",     "lose_disk"};

struct step {
    step_kind kind = step_kind::run;
    std::size_t node = 0;
    std::size_t value = 0;
};

struct history {
    std::size_t size = 3;
    std::uint64_t seed = 0;
    std::int64_t max_delay_ms = 0;
    std::vector<step> steps;
};

std::ostream& operator<<(std::ostream& out, const history& value) {
    out << value.size << " nodes, seed " << value.seed << ", delay up to " << value.max_delay_ms << " ms:";
    for (const auto& step : value.steps) {
        out << " " << step_names[static_cast<std::size_t>(step.kind)] << "(" << step.node << "," << step.value << ")";
    }
    return out;
}

rc::Gen<history> generate_history() {
    using k = step_kind;
    auto kind = rc::gen::weightedElement<step_kind>({{8, k::run},
                                                     {8, k::propose},
                                                     {3, k::isolate},
                                                     {4, k::partition},
                                                     {4, k::swap_leaders},
                                                     {4, k::cut_link},
                                                     {4, k::heal},
                                                     {2, k::lossy},
                                                     {2, k::crash},
                                                     {3, k::crash_in_write},
                                                     {1, k::bad_disk},
                                                     {4, k::restart},
                                                     {1, k::pause},
                                                     {2, k::transfer},
                                                     {1, k::lose_disk}});
    auto any_step = rc::gen::build<step>(rc::gen::set(&step::kind, kind),
                                         rc::gen::set(&step::node, rc::gen::inRange<std::size_t>(0, 5)),
                                         rc::gen::set(&step::value, rc::gen::inRange<std::size_t>(0, 1000)));
    return rc::gen::build<history>(
        rc::gen::set(&history::size, rc::gen::element<std::size_t>(3, 3, 5)),
        rc::gen::set(&history::seed, rc::gen::noShrink(rc::gen::inRange<std::uint64_t>(0, 1u << 31))),
        rc::gen::set(&history::max_delay_ms, rc::gen::element<std::int64_t>(0, 2, 20, 60)),
        rc::gen::set(&history::steps, rc::gen::container<std::vector<step>>(any_step)));
}

void apply_step(cluster& members, const step& current) {
    auto index = current.node % members.nodes.size();
    if (auto* leader = members.newest_leader(); leader != nullptr && current.value % 3 == 0) {
        index = static_cast<std::size_t>(leader - members.nodes.data());  // a third of the faults hit the leader
    }
    auto& node = members.nodes[index];
    switch (current.kind) {
    case step_kind::run:
        members.run_for(static_cast<std::int64_t>(current.value));
        break;
    case step_kind::propose:
        members.propose(1 + current.value % 8);
        break;
    case step_kind::isolate:
        members.isolate(index);
        break;
    case step_kind::swap_leaders:
        members.swap_leaders(static_cast<std::int64_t>(current.value) % (3 * members.max_delay_ms + 2));
        break;
    case step_kind::partition:
        members.partition(current.value);
        break;
    case step_kind::cut_link:
        members.set_link(index, (index + 1 + current.value / 3) % members.nodes.size(), false);
        break;
    case step_kind::heal:
        members.heal_network();
        break;
    case step_kind::lossy:
        members.loss_permille = static_cast<int>(current.value / 3);
        members.duplicate_permille = static_cast<int>(current.value / 3);
        break;
    case step_kind::crash:
        members.crash(node);
        if (current.value % 2 == 0) {
            members.restart(node);  // at once: it no longer knows when it last heard from a leader
        }
        break;
    case step_kind::crash_in_write:
        node.files.operations_until_crash = static_cast<int>(current.value % 12);
        break;
    case step_kind::bad_disk:
        node.files.fail_syncs = current.value % 2 == 0;
        node.files.capacity_left_bytes = current.value % 2 == 0 ? -1 : static_cast<std::int64_t>(current.value);
        break;
    case step_kind::restart:
        members.restart(node);
        break;
    case step_kind::pause:
        node.paused_until = members.now + static_cast<std::int64_t>(current.value);
        break;
    case step_kind::transfer:
        members.transfer();
        break;
    case step_kind::lose_disk:
        members.lose_disk(node);
        break;
    }
    members.run_for(static_cast<std::int64_t>(members.random_below(60)));
}

}  // namespace

TEST_CASE("no history of faults breaks the log, the lease or progress") {
    auto parameters = rc::detail::configuration().testParams;
    const char* count = std::getenv("PERSIMMONGRADE_HISTORIES");
    parameters.maxSuccess = count != nullptr ? std::atoi(count) : 10'000;
    std::size_t committed = 0;
    std::size_t installed_snapshots = 0;
    std::size_t completed_replacements = 0;
    auto property = rc::detail::toProperty([&] {
        auto generated = *generate_history();
        cluster members(generated.size, generated.seed);
        members.max_delay_ms = generated.max_delay_ms;
        members.run_for(900);
        for (const auto& current : generated.steps) {
            apply_step(members, current);
        }
        members.check_progress();
        committed += members.committed_entries();
        installed_snapshots += members.installed_snapshots;
        completed_replacements += members.completed_replacements;
    });
    auto result = rc::detail::checkProperty(property, rc::detail::TestMetadata{}, parameters);
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << "\nseed " << parameters.seed << ", " << committed << " committed entries, " << installed_snapshots
              << " installed snapshots, " << completed_replacements << " replaced voters\n";
    INFO("replay with RC_PARAMS=seed=" << parameters.seed << " PERSIMMONGRADE_HISTORIES=" << parameters.maxSuccess);
    CHECK(result.template is<rc::detail::SuccessResult>());
    constexpr int min_histories_for_coverage = 1'000;  // number from which every mechanism must have been reached
    CHECK((parameters.maxSuccess < min_histories_for_coverage ||
           (installed_snapshots > 0 && completed_replacements > 0)));
}
