#include "hickorypost/gateway/way_quality.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;

const instant start{millis{100'000}};

/// Records `n` streams from a failure domain, one every 50 ms. Returns the time of the last one.
instant streams(way_quality& it, const std::string& domain, int n, bool delayed, instant from)
{
    for (; n > 0; --n) {
        from += millis{50};
        it.saw(domain, delayed, from);
    }
    return from;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ways)

// TCP retransmits a lost segment after 200 ms, and the events sent meanwhile arrive together with
// it. An engine that prefills a long prompt pauses as long, but continues with a single event.
BOOST_AUTO_TEST_CASE(burst_after_a_pause_is_a_stall)
{
    const way_quality it{{}};
    BOOST_TEST(it.is_stall(millis{210}, 4));
    BOOST_TEST(!it.is_stall(millis{210}, 1));
    BOOST_TEST(!it.is_stall(millis{60}, 4));
}

// The links of one failure domain lose packets for a few seconds and then recover.
BOOST_AUTO_TEST_CASE(lossy_path_is_detected_and_recovers)
{
    way_quality it{{}};
    instant now = streams(it, "near", 40, false, start);
    now = streams(it, "far", 40, false, now);
    BOOST_TEST(it.excess("far", now) < 0.01);
    now = streams(it, "far", 4, true, now);
    BOOST_TEST(it.excess("far", now) > 0.5);
    BOOST_TEST(it.excess("near", now) < 0.01);
    BOOST_TEST(it.excess("far", now + millis{10'000}) < 0.1); // no streams since
    now = streams(it, "far", 8, false, now);
    BOOST_TEST(it.excess("far", now) < 0.1);
}

// This process itself is slow, so the streams from all failure domains are delayed. No path may be
// counted as worse than another.
BOOST_AUTO_TEST_CASE(delay_of_all_paths_is_not_attributed_to_one)
{
    way_quality it{{}};
    streams(it, "near", 10, true, start);
    const instant now = streams(it, "far", 10, true, start);
    BOOST_TEST(it.excess("far", now) < 0.01);
    BOOST_TEST(it.excess("near", now) < 0.01);
}

BOOST_AUTO_TEST_SUITE_END()
