#include "cli/log_history.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;

std::string line(const std::string& node, const std::string& time, const std::string& rest)
{
    return R"({"time":"2026-01-01T00:00:)" + time + R"(Z","level":"info","node":")" + node + "\"," +
           rest + "}\n";
}

std::string message(const std::string& node, const std::string& time, const std::string& text)
{
    return line(node, time, R"("event":"message","message":")" + text + "\"");
}

} // namespace

BOOST_AUTO_TEST_SUITE(cli_log_history)

// Two hosts whose clocks are 20 s apart. A request fails on one because its backend server was said
// to drain by the other just before: in the story that comes first.
BOOST_AUTO_TEST_CASE(a_story_is_in_order_though_clocks_disagree)
{
    const std::string one = message("a", "10.000", "configuration 5 in force: 3 routes") +
                            message("a", "12.000", "backend server i-1 of app is draining") +
                            line("a", "12.300",
                                 R"("event":"request_ended","request":"q",)"
                                 R"("backend":"i-1","outcome":"failed")") +
                            message("a", "13.000", "ready: true");
    const std::string two =
        "collector 1 " + message("b", "30.001", "configuration 5 in force: 3 routes") +
        message("b", "31.990", "backend server i-1 of app is draining") + "not a line of ours\n";
    const auto found = read_history({one, two}, {.request = "q"});
    BOOST_REQUIRE(found.lines.size() == 3U);
    BOOST_TEST(found.lines[0].text.find("draining") != std::string::npos);
    BOOST_TEST(found.lines[2].event == "request_ended");
    BOOST_TEST(found.lines[2].text.find("outcome=failed") != std::string::npos);
    BOOST_TEST(found.unreadable == 1U);
}

BOOST_AUTO_TEST_CASE(a_configurations_story_names_each_host)
{
    const std::string one = message("a", "10.000", "configuration 5 acknowledged") +
                            message("a", "10.010", "configuration 5 in force: 3 routes");
    const std::string two = message("b", "10.020", "configuration 5 in force: 3 routes") +
                            message("b", "10.500", "configuration 51 in force: 3 routes");
    const auto found = read_history({one, two}, {.config_version = "5"});
    BOOST_TEST(found.lines.size() == 3U);
}

// Guards against attempts of one crashing request that nobody can connect.
BOOST_AUTO_TEST_CASE(history_shows_which_attempts_of_an_equal_request_crashed_which_backends)
{
    const auto crash = [](const std::string& node, const std::string& time,
                          const std::string& request, const std::string& backend,
                          const std::string& identity) {
        return line(node, time,
                    R"("event":"request_crashed","request":")" + request + R"(","identity":")" +
                        identity + R"(","backend":")" + backend + "\"");
    };
    const std::string one =
        crash("a", "10.000", "q1", "i-1", "f00d") + crash("a", "10.000", "beside", "i-1", "beef");
    const std::string two = crash("b", "11.000", "q2", "i-2", "f00d");
    const auto found = read_history({one, two}, {.request = "q2"});
    BOOST_REQUIRE(found.lines.size() == 2U);
    BOOST_TEST(found.lines[0].text.find("backend=i-1") != std::string::npos);
    BOOST_TEST(found.lines[1].text.find("backend=i-2") != std::string::npos);
}

// Guards against a refused request whose history does not show the crashes of its prompt part.
BOOST_AUTO_TEST_CASE(history_shows_which_backends_a_refused_part_crashed)
{
    const std::string log =
        line("a", "10.000",
             R"("event":"request_crashed","request":"q1","backend":"i-1","parts":"a1,bad0")") +
        line("a", "10.000",
             R"("event":"request_crashed","request":"q2","backend":"i-2","parts":"a1,bad01")") +
        line("a", "11.000", R"("event":"suspect_refused","crashing_parts":"bad0","crashes":3)") +
        line("a", "12.000",
             R"("event":"request_ended","request":"q","status":400,"crashing_parts":"bad0")");
    const auto found = read_history({log}, {.request = "q"});
    BOOST_REQUIRE(found.lines.size() == 3U);
    BOOST_TEST(found.lines[0].text.find("backend=i-1") != std::string::npos);
    BOOST_TEST(found.lines[1].event == "suspect_refused");
}

// Guards against a request whose backend servers were evacuated, which its history does not show.
BOOST_AUTO_TEST_CASE(history_shows_evacuations_around_a_request)
{
    const std::string log =
        message("a", "10.000", "failure domain d is evacuated, revision 3") +
        line("a", "12.300", R"("event":"request_ended","request":"q","outcome":"not_run")") +
        message("a", "30.000", "failure domain d is no longer evacuated, revision 4");
    const auto found = read_history({log}, {.request = "q"});
    BOOST_REQUIRE(found.lines.size() == 2U);
    BOOST_TEST(found.lines[0].text.find("is evacuated") != std::string::npos);
}

// Guards against a request whose backend server was limited, which its history does not show.
BOOST_AUTO_TEST_CASE(history_shows_limits_of_the_backends_of_a_request)
{
    const std::string log =
        line("a", "10.000", R"("event":"backend_limited","backend":"i-1","per_second":2.4)") +
        line("a", "10.000", R"("event":"backend_limited","backend":"i-2","per_second":2.4)") +
        line("a", "11.000", R"("event":"request_ended","request":"q","backend":"i-1")");
    const auto found = read_history({log}, {.request = "q"});
    BOOST_REQUIRE(found.lines.size() == 2U);
    BOOST_TEST(found.lines[0].text.find("per_second=2.4") != std::string::npos);
}

// Guards against a rejected request whose history does not show what its backend server asked for.
BOOST_AUTO_TEST_CASE(history_shows_backoffs_of_the_backends_of_a_request)
{
    const std::string log =
        line("a", "10.000",
             R"("event":"backend_backoff","backend":"i-1","request":"p","wait_ms":3000)") +
        line("a", "11.000", R"("event":"request_ended","request":"q","backend":"i-1")");
    const auto found = read_history({log}, {.request = "q"});
    BOOST_REQUIRE(found.lines.size() == 2U);
    BOOST_TEST(found.lines[0].text.find("request=p") != std::string::npos);
    BOOST_TEST(found.lines[0].text.find("wait_ms=3000") != std::string::npos);
}

// Guards against a request that reached no backend server and whose history does not show why.
BOOST_AUTO_TEST_CASE(history_of_a_request_without_attempts_shows_the_backoffs_in_force)
{
    const std::string log =
        line("a", "10.000",
             R"("event":"backend_backoff","backend":"i-1@5","request":"p","wait_ms":20000)") +
        line("a", "10.000", R"("event":"backend_backoff","backend":"i-2","wait_ms":100)") +
        line("a", "25.000",
             R"("event":"request_ended","request":"q","backing_off":"i-1@5:5000,i-2:1")");
    const auto found = read_history({log}, {.request = "q"});
    BOOST_REQUIRE(found.lines.size() == 2U);
    BOOST_TEST(found.lines[0].text.find("backend=i-1@5") != std::string::npos);
}

// Guards against lines of the same millisecond that are shown twice or out of order.
BOOST_AUTO_TEST_CASE(history_keeps_the_order_of_a_log_and_shows_each_line_once)
{
    const std::string log =
        line("a", "10.000",
             R"("event":"backend_backoff","backend":"i-1","request":"q","wait_ms":3000)") +
        line("a", "10.000", R"("event":"backend_limited","backend":"i-1","per_second":2)") +
        line("a", "10.000", R"("event":"request_ended","request":"q","backend":"i-1")");
    const auto found = read_history({log}, {.request = "q"});
    BOOST_REQUIRE(found.lines.size() == 3U);
    BOOST_TEST(found.lines[0].event == "backend_backoff");
    BOOST_TEST(found.lines[1].event == "backend_limited");
    BOOST_TEST(found.lines[2].event == "request_ended");
}

// Guards against a late, delayed or rejected request whose history does not show its wait in the
// queue, the reason of the rejection or the expected and the actual first event.
BOOST_AUTO_TEST_CASE(history_shows_waits_rejections_and_expected_first_events)
{
    const std::string log =
        line("a", "10.000",
             R"("event":"request_queued","request":"q","reason":"engines busy","service":"llm")") +
        line("a", "10.000", R"("event":"request_queued","request":"other","service":"llm")") +
        line("a", "10.450", R"("event":"request_dequeued","request":"q","waited_ms":450)") +
        line("a", "11.000",
             R"("event":"request_ended","request":"q","backend":"i-1",)"
             R"("expected_first_ms":120,"attempt_first_ms":310)") +
        line("b", "20.000",
             R"("event":"request_rejected_overload","request":"r","reason":"over share")");
    const auto waited = read_history({log}, {.request = "q"});
    BOOST_REQUIRE(waited.lines.size() == 3U);
    BOOST_TEST(waited.lines[0].event == "request_queued");
    BOOST_TEST(waited.lines[0].text.find("reason=engines busy") != std::string::npos);
    BOOST_TEST(waited.lines[1].event == "request_dequeued");
    BOOST_TEST(waited.lines[1].text.find("waited_ms=450") != std::string::npos);
    BOOST_TEST(waited.lines[2].text.find("expected_first_ms=120") != std::string::npos);
    BOOST_TEST(waited.lines[2].text.find("attempt_first_ms=310") != std::string::npos);
    const auto rejected = read_history({log}, {.request = "r"});
    BOOST_REQUIRE(rejected.lines.size() == 1U);
    BOOST_TEST(rejected.lines[0].event == "request_rejected_overload");
    BOOST_TEST(rejected.lines[0].text.find("reason=over share") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
