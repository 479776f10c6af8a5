#include "hickorypost/gateway/load_table.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost::gateway;

} // namespace

BOOST_AUTO_TEST_SUITE(load_table_suite)

// One process sends a long prompt. The others must hear of it at once, not at the next turn, or
// theirs wait behind it for a second.
BOOST_AUTO_TEST_CASE(a_long_prompt_is_told_at_once_and_short_ones_only_when_they_add_up)
{
    load_table it{{}};
    BOOST_TEST(!it.set("a", "engine", {1, 10}));
    BOOST_TEST(it.take_changed().empty());
    BOOST_TEST(it.set("b", "engine", {1, 900}));
    BOOST_TEST(it.take_changed() == std::vector<std::string>{"engine"});
    BOOST_TEST(it.take_changed().empty());
    BOOST_TEST(!it.set("a", "engine", {2, 18}));
    BOOST_TEST(it.set("a", "engine", {3, 26}));
}

BOOST_AUTO_TEST_CASE(what_a_process_is_told_leaves_out_its_own_work)
{
    load_table it{{}};
    it.set("a", "engine", {2, 100});
    it.set("b", "engine", {3, 50});
    it.set("c", "engine", {1, 7});
    const auto others = it.without("b", "engine");
    BOOST_TEST(others.requests == 3);
    BOOST_TEST(others.prefill_ms == 107);
    BOOST_TEST(it.without("a", "unknown").requests == 0);
}

// A process ends in the middle of its work. What it had counts for nobody any more, and that is
// told like any other change.
BOOST_AUTO_TEST_CASE(the_work_of_a_process_that_is_gone_is_forgotten_and_told)
{
    load_table it{{}};
    it.set("a", "one", {5, 200});
    it.set("a", "two", {1, 300});
    it.set("b", "two", {1, 20});
    it.take_changed();
    BOOST_TEST(it.forget("a").size() == 2U);
    BOOST_TEST(it.take_changed().size() == 2U);
    BOOST_TEST(it.without("", "two").prefill_ms == 20);
    BOOST_TEST(it.all() == std::vector<std::string>{"two"});
}

BOOST_AUTO_TEST_CASE(a_whole_report_replaces_what_was_there)
{
    load_table it{{}};
    it.set("a", "one", {5, 200});
    BOOST_TEST(it.replace("a", {{"two", {1, 40}}}).size() == 2U);
    BOOST_TEST(it.without("", "one").requests == 0);
    BOOST_TEST(it.without("", "two").prefill_ms == 40);
}

BOOST_AUTO_TEST_SUITE_END()
