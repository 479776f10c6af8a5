#include "schedule.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

namespace data = boost::unit_test::data;
using namespace hickorypost;
using namespace hickorypost::proof;

constexpr std::uint64_t ci_seed = 20261202;
constexpr std::size_t random_schedules = 500;

void expect_kept(std::size_t number)
{
    const schedule s = nth_schedule(ci_seed, number);
    const auto result = run(s);
    for (const auto& it : result.violations) {
        BOOST_ERROR(describe(s) << ": " << it.promise << ": " << it.what << " " << it.key);
    }
    BOOST_TEST(result.starts > 0U);
}

struct broken_part {
    sabotage how;
    const char* name;
    const char* promise; ///< that must be found broken
};

constexpr std::array broken_parts{
    broken_part{sabotage::stale_nodes, "nodes that need no fresh mark",
                "accepted configuration is in force and never reverts"},
    broken_part{sabotage::stale_nodes, "nodes that need no fresh mark",
                "withdrawn version gets no new work"},
    broken_part{sabotage::amnesiac_ledger, "a ledger that opens a request twice",
                "non-idempotent runs at most once"},
    broken_part{sabotage::no_tombstones, "agents without tombstones", "not_run is true"},
    broken_part{sabotage::careless_sessions, "entries that choose a session's version themselves",
                "session keeps its version"},
    broken_part{sabotage::answers_mixed, "answers that are mixed up",
                "whole answer to the own request"},
    broken_part{sabotage::bills_dropped, "bills that are only sent", "billed exactly once"},
    broken_part{sabotage::deaf_agents, "agents that do not hear of leaving",
                "leaving server gets no new work"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(proof)

// Each fault, once, at each step of a request's way; then pairs and more at random. A caller
// resends through another entry what it got no answer to, operators race, and in the end every
// promise is checked over all that happened.
BOOST_DATA_TEST_CASE(every_fault_at_every_step, data::xrange(matrix_size()), number)
{
    expect_kept(number);
}

BOOST_DATA_TEST_CASE(faults_together, data::xrange(random_schedules), number)
{
    expect_kept(matrix_size() + number);
}

// The checkers are only worth something if they notice: each broken part must be found by some
// schedule, under the name of the promise that it breaks.
BOOST_DATA_TEST_CASE(checkers_notice_broken_parts, data::xrange(broken_parts.size()), nth)
{
    const broken_part& part = broken_parts[nth];
    bool noticed = false;
    for (std::size_t number = 0; number < 600 && !noticed; ++number) {
        schedule s = nth_schedule(ci_seed, number);
        s.broken = part.how;
        for (const auto& it : run(s).violations) {
            noticed = noticed || it.promise == part.promise;
        }
    }
    BOOST_TEST(noticed, part.name << " is not noticed as: " << part.promise);
}

BOOST_AUTO_TEST_CASE(a_schedule_is_the_same_every_time)
{
    const schedule s = nth_schedule(ci_seed, matrix_size() + 3);
    BOOST_TEST(run(s).log == run(s).log, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
