#include "hickorypost/gateway/way_quality.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;

const instant start{millis{100'000}};

/// Streams from a domain, one each 50 ms.
instant streams(way_quality& it, const std::string& domain, int n, bool held_up, instant from)
{
    for (; n > 0; --n) {
        from += millis{50};
        it.saw(domain, held_up, from);
    }
    return from;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ways)

// A lost segment comes again after 200 ms together with all that was sent meanwhile. An engine that
// reads a long prompt pauses as long, and goes on with one event.
BOOST_AUTO_TEST_CASE(events_that_come_together_after_a_pause_were_held_up_on_their_way)
{
    const way_quality it{{}};
    BOOST_TEST(it.is_stall(millis{210}, 4));
    BOOST_TEST(!it.is_stall(millis{210}, 1));
    BOOST_TEST(!it.is_stall(millis{60}, 4));
}

// The links of one domain lose packets for some seconds, then are good again.
BOOST_AUTO_TEST_CASE(a_way_is_bad_within_a_few_streams_and_good_again_within_seconds)
{
    way_quality it{{}};
    instant now = streams(it, "near", 40, false, start);
    now = streams(it, "far", 40, false, now);
    BOOST_TEST(it.excess("far", now) < 0.01);
    now = streams(it, "far", 4, true, now);
    BOOST_TEST(it.excess("far", now) > 0.5);
    BOOST_TEST(it.excess("near", now) < 0.01);
    BOOST_TEST(it.excess("far", now + millis{10'000}) < 0.1); // nothing was heard since
    now = streams(it, "far", 8, false, now);
    BOOST_TEST(it.excess("far", now) < 0.1);
}

// This process itself is slow: streams from everywhere come late. No way is to blame.
BOOST_AUTO_TEST_CASE(what_holds_all_streams_up_makes_no_way_bad)
{
    way_quality it{{}};
    streams(it, "near", 10, true, start);
    const instant now = streams(it, "far", 10, true, start);
    BOOST_TEST(it.excess("far", now) < 0.01);
    BOOST_TEST(it.excess("near", now) < 0.01);
}

BOOST_AUTO_TEST_SUITE_END()
