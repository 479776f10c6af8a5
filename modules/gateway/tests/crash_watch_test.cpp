#include "fakes.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;
using hickorypost::testing::fake_dials;
using hickorypost::testing::fake_scheduler;

const attempt_target target{"i-1", "i-1:1", "app", 10};

struct test_watch {
    fake_scheduler timers;
    fake_dials dials{timers};
    std::set<std::string> expected;
    std::vector<std::string> reported; ///< requests that were in flight on a crashed backend
    crash_watch watch{{},
                      timers,
                      [this] { return timers.now; },
                      [this](const attempt_target& to, const std::function<void(bool)>& done) {
                          return dials.open(to, done);
                      },
                      [this](const attempt_target& it) { return expected.contains(it.backend); },
                      [this](const crashed_attempt& it) { reported.push_back(it.request); }};

    std::uint64_t broke(const std::string& request, crash_watch::result_fn result = {})
    {
        return watch.attempt_broke(target, {target.backend, target.service, request, {}, {}},
                                   std::move(result));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(crash_watch_suite)

// Guards against blaming a request for a connection that was reset by the network.
BOOST_AUTO_TEST_CASE(reset_connection_to_a_live_backend_is_no_crash)
{
    test_watch it;
    bool ended = true;
    it.broke("q", [&](bool result) { ended = result; });
    it.timers.run_for(millis{1});
    BOOST_TEST(!ended);
    BOOST_TEST(it.reported.empty());
}

// Guards against blaming requests for a power loss or a network partition, where connection
// attempts time out.
BOOST_AUTO_TEST_CASE(backend_that_does_not_answer_is_no_crash)
{
    test_watch it;
    it.dials.unanswered = true;
    int results = 0;
    it.broke("q", [&](bool result) { results += result ? 100 : 1; });
    it.timers.run_for(millis{1000});
    BOOST_TEST(results == 1);
    BOOST_TEST(it.reported.empty());
}

// Guards against blaming requests that were in flight when a backend server was stopped as planned.
BOOST_AUTO_TEST_CASE(expected_end_is_no_crash)
{
    test_watch it;
    it.dials.ended = {"i-1"};
    it.expected = {"i-1"};
    it.broke("q");
    it.timers.run_for(millis{1});
    BOOST_TEST(it.reported.empty());
}

// Guards against retrying a request before all requests in flight in the crash are reported.
BOOST_AUTO_TEST_CASE(all_attempts_of_a_crash_are_reported_before_the_first_result)
{
    test_watch it;
    it.dials.ended = {"i-1"};
    std::vector<std::size_t> known;
    for (const auto* const id : {"q1", "q2", "q3"}) {
        it.broke(id, [&](bool) { known.push_back(it.reported.size()); });
    }
    it.timers.run_for(millis{1});
    BOOST_TEST((known == std::vector<std::size_t>{3, 3, 3}));
    BOOST_TEST(it.broke("q4", [&](bool) { known.push_back(it.reported.size()); }) == 0U);
    BOOST_TEST(known.back() == 4U);
}

// Guards against calling back an exchange that has ended, and against losing the report of a crash
// when the attempt is cancelled.
BOOST_AUTO_TEST_CASE(cancelled_attempt_is_reported_and_gets_no_result)
{
    test_watch it;
    it.dials.ended = {"i-1"};
    const auto number = it.broke("q", [](bool) { BOOST_TEST(false); });
    it.watch.cancel(number);
    it.timers.run_for(millis{1});
    BOOST_TEST(it.reported.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
