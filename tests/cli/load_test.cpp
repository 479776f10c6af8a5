#include "cli/load_text.h"
#include "gateway/load_report.h"
#include "verbs.h"

#include <array>
#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;

template <std::size_t N>
exit_code run_with(std::array<std::string, N> args)
{
    std::vector<char*> pointers;
    pointers.reserve(N);
    for (auto& it : args) {
        pointers.push_back(it.data());
    }
    return run_load(pointers);
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

/// The load of a host that knows two engines, a plain backend server and one that has left.
struct known_load {
    known_load()
    {
        directory.take({.id = "i-1", .service = "llm", .address = "10.0.0.1:80", .sequence = 1},
                       now);
        directory.take({.id = "i-2", .service = "llm", .address = "10.0.0.2:80", .sequence = 1},
                       now);
        directory.take({.id = "app", .service = "app", .address = "10.0.0.3:80", .sequence = 1},
                       now);
        directory.take({.id = "left", .service = "llm", .address = "10.0.0.4:80", .sequence = 1},
                       now);
        directory.take({.id = "left", .state = gateway::backend_state::gone}, now);
        balancer.set_remote_load("i-2", {.requests = 4, .prefill_ms = 250, .tokens = 9000});
    }

    instant now{};
    gateway::backend_directory directory{{}};
    gateway::load_balancer balancer{
        {}, "d", [] { return std::uint64_t{0}; }, [](const auto&, const auto&) {}};
    load_report report{"g1", [this] { return now; }, directory, balancer,
                       [](const std::string& service) { return service == "llm"; }};
};

} // namespace

BOOST_AUTO_TEST_SUITE(cli_load)

// Guards against rows that are left out, or shown under the wrong heading.
BOOST_AUTO_TEST_CASE(load_of_a_host_is_shown_as_tables)
{
    gateway::load_view load;
    load.host = "g1";
    load.engines = {{"i-1@17", "llm", 3, 1250.5, 2.25, 41'000}};
    load.waiting = {{"llm", "chat", 7}};
    load.rejections = {{"over share", 12}};
    load.accounts = {{"t1", 812.5, 400, true}};
    BOOST_TEST(
        format_load(load) ==
        "host g1\n"
        "  engine                            service           requests  prefill ms  slowdown   KV "
        "tokens\n"
        "  i-1@17                            llm                      3        1250      2.25      "
        " 41000\n"
        "  waiting for                       route             requests\n"
        "  llm                               chat                     7\n"
        "  rejected since start                                requests\n"
        "  over share                                                12\n"
        "  account                             ms per s       share  over share\n"
        "  t1                                     812.5       400.0  yes\n");
}

// Guards against an empty table that reads as if the host had not answered.
BOOST_AUTO_TEST_CASE(absence_of_rows_is_stated)
{
    BOOST_TEST(format_load({.host = "g1"}) == "host g1\n"
                                              "  engines: none\n"
                                              "  waiting requests: none\n"
                                              "  rejected since start: none\n"
                                              "  accounts with work: none\n");
}

// Guards against exit codes that scripts misread: wrong usage is 2, a host that does not answer 3.
BOOST_AUTO_TEST_CASE(exit_codes_tell_wrong_usage_from_hosts_that_do_not_answer)
{
    BOOST_TEST((run_with<2>({"load", "--unknown"}) == exit_code::usage));
    BOOST_TEST((run_with<2>({"load", "--control="}) == exit_code::usage));
    BOOST_TEST(
        (run_with<3>({"load", "--control=http://127.0.0.1:1", "extra"}) == exit_code::usage));
    BOOST_TEST((run_with<2>({"load", "--control=http://127.0.0.1:1"}) == exit_code::unreachable));
}

// Guards against engines that are missing, and rows for plain backend servers or those that left.
BOOST_AUTO_TEST_CASE(load_contains_a_row_for_each_known_engine)
{
    const known_load it;
    const auto load = it.report.view();
    BOOST_TEST(load.host == "g1");
    BOOST_REQUIRE(load.engines.size() == 2U);
    BOOST_TEST(load.engines[0].backend == "i-1");
    BOOST_TEST(load.engines[0].requests == 0);
    BOOST_TEST(load.engines[0].slowdown == 1);
    BOOST_TEST(load.engines[1].backend == "i-2");
    BOOST_TEST(load.engines[1].service == "llm");
    BOOST_TEST(load.engines[1].requests == 4);
    BOOST_TEST(load.engines[1].prefill_ms == 250);
    BOOST_TEST(load.engines[1].tokens == 9000);
    BOOST_TEST(load.waiting.empty());
}

// Guards against rows of admission control and account shares that operators don't get, and a gauge
// that keeps its value after the last request has left the queue.
BOOST_AUTO_TEST_CASE(rows_of_the_sources_are_part_of_the_load_and_the_gauges)
{
    known_load it;
    std::vector<gateway::load_view::waiting_row> waiting{{"llm", "chat", 5}, {"llm", "batch", 2}};
    it.report.set_sources(
        {.waiting = [&] { return waiting; },
         .rejections =
             [] {
                 return std::vector<gateway::load_view::rejection_row>{{"full", 3}};
             },
         .accounts =
             [] {
                 return std::vector<gateway::load_view::account_row>{{"t1", 10, 5, true}};
             }});
    const auto load = it.report.view();
    BOOST_TEST(load.waiting.size() == 2U);
    BOOST_TEST(load.rejections.at(0).reason == "full");
    BOOST_TEST(load.accounts.at(0).over_share);
    telemetry::metrics metrics;
    it.report.set_gauges(metrics);
    BOOST_TEST(contains(metrics.text(), "requests_waiting{service=\"llm\"} 7"));
    BOOST_TEST(contains(metrics.text(), "engine_slowdown{stat=\"max\"} 1"));
    waiting.clear();
    it.report.set_gauges(metrics);
    BOOST_TEST(contains(metrics.text(), "requests_waiting{service=\"llm\"} 0"));
}

BOOST_AUTO_TEST_SUITE_END()
