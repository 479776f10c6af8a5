#include "hickorypost/scheduling/engine_speed.h"

#include <boost/test/unit_test.hpp>

namespace {

using hickorypost::scheduling::engine_speed;

/// Event intervals of an engine that prefills a long prompt during every second event.
engine_speed half_prefilling(double interval_ms)
{
    engine_speed out{{}};
    for (int n = 0; n < 24; ++n) {
        out.record(n % 2 == 0 ? interval_ms : interval_ms * 10);
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(engine_speed_suite)

// Guards against taking a loaded engine for a slow one.
BOOST_AUTO_TEST_CASE(prefill_of_other_requests_does_not_count_as_slowness)
{
    BOOST_TEST(half_prefilling(15).interval_ms() == 15);
    BOOST_TEST(half_prefilling(33).slowdown(15) == 2.2, boost::test_tools::tolerance(0.001));
}

// Guards against routing by one interval of an engine that has just started.
BOOST_AUTO_TEST_CASE(engine_with_few_samples_has_average_speed)
{
    engine_speed it{{}};
    it.record(100);
    BOOST_TEST(it.slowdown(15) == 1);
    it.set_remote({7, 7 * 30.0});
    BOOST_TEST(it.slowdown(15) == (100 + 7 * 30.0) / 8 / 15, boost::test_tools::tolerance(0.001));
}

// Guards against an engine that is avoided for good after a slow period.
BOOST_AUTO_TEST_CASE(recovered_engine_is_fast_again_after_its_recent_intervals)
{
    engine_speed it{{}};
    for (int n = 0; n < 24; ++n) {
        it.record(60);
    }
    BOOST_TEST(it.slowdown(15) == 4);
    for (int n = 0; n < 24; ++n) {
        it.record(15);
    }
    BOOST_TEST(it.slowdown(15) == 1);
}

// Guards against counting events that the network delivered together.
BOOST_AUTO_TEST_CASE(interval_of_zero_is_not_a_sample)
{
    engine_speed it{{}};
    it.record(0);
    BOOST_TEST(it.own().weight == 0);
    BOOST_TEST(it.interval_ms() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
