#include "hickorypost/scheduling/load_report_pacer.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::scheduling;

const instant start{millis{1000}};

} // namespace

BOOST_AUTO_TEST_SUITE(load_report_pacer_suite)

// Guards against delayed reports where each backend server gets many requests in a short time.
BOOST_AUTO_TEST_CASE(few_backend_servers_are_reported_within_ten_milliseconds)
{
    load_report_pacer it{{}};
    it.begin_report(12, start);
    BOOST_TEST(it.wait(12, start).count() == 10);
    BOOST_TEST(it.wait(12, start + millis{4}).count() == 6);
    BOOST_TEST(it.wait(12, start + millis{200}).count() == 0);
    BOOST_TEST(it.wait(180, start).count() == 30);
    BOOST_TEST(it.wait(4000, start).count() == 100);
}

// Guards against a rotation that starves because reports are sent often.
BOOST_AUTO_TEST_CASE(rotation_reaches_each_backend_server_although_reports_are_frequent)
{
    load_report_pacer it{{}};
    it.begin_report(50, start);
    std::size_t rotated = 0;
    for (int n = 1; n <= 100; ++n) {
        rotated += it.begin_report(50, start + millis{n * 10}).rotated;
    }
    BOOST_TEST(rotated >= 99U);
    BOOST_TEST(rotated <= 100U);
}

BOOST_AUTO_TEST_SUITE_END()
