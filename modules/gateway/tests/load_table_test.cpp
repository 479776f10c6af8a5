#include "hickorypost/gateway/load_table.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost::gateway;

} // namespace

BOOST_AUTO_TEST_SUITE(load_table_suite)

// Guards against reporting a long prompt only periodically: other processes would send their
// requests to the same engine, where they wait for a second.
BOOST_AUTO_TEST_CASE(long_prompt_is_reported_at_once_and_short_prompts_when_they_accumulate)
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

// Guards against reporting speeds with each stream, which would send most rows to all hosts.
BOOST_AUTO_TEST_CASE(engine_speed_is_reported_when_it_changes_by_a_seventh)
{
    load_table it{{}};
    BOOST_TEST(it.set("a", "engine", {0, 0, 0, {10, 200}}));
    it.take_changed();
    BOOST_TEST(!it.set("b", "engine", {0, 0, 0, {10, 220}}));
    BOOST_TEST(it.set("b", "engine", {0, 0, 0, {10, 280}}));
    BOOST_TEST(it.without("a", "engine").speed.mean_ms() == 28);
}

// Guards against reports whose bytes grow with the number of hosts times that of backend servers.
BOOST_AUTO_TEST_CASE(small_changes_are_not_reported_among_hundreds_of_backend_servers)
{
    load_table it{{}};
    for (int n = 0; n < 600; ++n) {
        it.set("a", "e" + std::to_string(n), {1, 200});
    }
    it.take_changed();
    BOOST_TEST(!it.set("a", "e0", {2, 330}));
    BOOST_TEST(it.set("a", "e0", {2, 360}));
    BOOST_TEST(it.set("a", "e1", {31, 200}));
}

BOOST_AUTO_TEST_CASE(load_of_other_processes_excludes_the_own_load)
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

// Guards against counting the load of a process that has ended, and against not reporting its
// removal.
BOOST_AUTO_TEST_CASE(load_of_an_ended_process_is_removed_and_reported)
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

BOOST_AUTO_TEST_CASE(full_report_replaces_the_previous_one)
{
    load_table it{{}};
    it.set("a", "one", {5, 200});
    BOOST_TEST(it.replace("a", {{"two", {1, 40}}}).size() == 2U);
    BOOST_TEST(it.without("", "one").requests == 0);
    BOOST_TEST(it.without("", "two").prefill_ms == 40);
}

// Guards against rows for changes of connections, which are not summed.
BOOST_AUTO_TEST_CASE(connections_alone_are_not_reported)
{
    load_table it{{}};
    BOOST_TEST(!it.set("a", "engine", {0, 0, 70}));
    BOOST_TEST(it.all().empty());
}

// Guards against spending a limited report on small changes while a long prompt waits.
BOOST_AUTO_TEST_CASE(largest_changes_are_reported_first)
{
    load_table it{{}};
    it.set("a", "short", {1, 20});
    it.set("a", "long", {1, 900});
    it.set("a", "middle", {1, 200});
    BOOST_TEST(it.take_changed(1) == std::vector<std::string>{"long"});
    BOOST_TEST(it.has_changes());
    BOOST_TEST(it.take_changed(1) == std::vector<std::string>{"middle"});
    BOOST_TEST(it.take_changed() == std::vector<std::string>{"short"});
    BOOST_TEST(!it.has_changes());
}

// Guards against small changes that are never reported, and against rows of backend servers that
// have no load any more.
BOOST_AUTO_TEST_CASE(rotation_reports_every_backend_server_and_removes_empty_ones)
{
    load_table it{{}};
    for (const char* const backend : {"e1", "e2", "e3"}) {
        it.set("a", backend, {1, 1});
    }
    BOOST_TEST(it.take_rotation(2) == (std::vector<std::string>{"e1", "e2"}));
    it.set("a", "e3", {});
    BOOST_TEST(it.take_rotation(2) == (std::vector<std::string>{"e3", "e1"}));
    BOOST_TEST(it.size() == 2U);
    BOOST_TEST(it.take_rotation(5).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
