#include "hickorypost/gateway/exchange_types.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;
using kind = backoff_statement::kind_type;

backend_answer rejection(backoff_statement statement, unsigned status = 503)
{
    backend_answer out;
    out.status = status;
    out.ran = false;
    out.backoff = statement;
    return out;
}

struct backoff_host {
    instant now{millis{100'000}};
    std::vector<backoff_request> requests;
    backend_backoff backoffs{{},
                             [this] { return now; },
                             seeded_random_fn(8),
                             [this](const backoff_request& it) { requests.push_back(it); }};
};

} // namespace

BOOST_AUTO_TEST_SUITE(backend_backoff_suite)

// Guards against a backoff that ends early, does not end, or is shortened by a later answer.
BOOST_AUTO_TEST_CASE(backoff_lasts_as_long_as_the_longest_request_for_it)
{
    backoff_host it;
    it.backoffs.saw("i-1", rejection({kind::named, 3}), "q");
    it.backoffs.saw("i-1", rejection({kind::named, 1}), "r");
    BOOST_REQUIRE(it.requests.size() == 1U);
    BOOST_TEST(it.requests.front().request == "q");
    BOOST_TEST(it.requests.front().wait.count() == 3000);
    BOOST_TEST(it.backoffs.count() == 1U);
    it.now += millis{2999};
    BOOST_TEST(it.backoffs.is_backing_off("i-1"));
    BOOST_TEST(!it.backoffs.is_backing_off("i-2"));
    it.now += millis{1};
    BOOST_TEST(!it.backoffs.is_backing_off("i-1"));
    it.backoffs.expire();
    BOOST_TEST(it.backoffs.count() == 0U);
}

// Guards against backing off forever, or not at all, after a statement that makes no sense.
BOOST_AUTO_TEST_CASE(senseless_times_are_replaced_by_bounded_ones)
{
    backoff_host it;
    it.backoffs.saw("i-1", rejection({kind::unreadable, 0}), "q");
    it.backoffs.saw("i-2", rejection({kind::named, 1e9}), "q");
    BOOST_REQUIRE(it.requests.size() == 2U);
    BOOST_TEST(!it.requests[0].readable);
    BOOST_TEST(it.backoffs.is_backing_off("i-1"));
    it.now += millis{1000};
    BOOST_TEST(!it.backoffs.is_backing_off("i-1"));
    BOOST_TEST(it.backoffs.is_backing_off("i-2"));
    it.now += millis{60'000};
    BOOST_TEST(!it.backoffs.is_backing_off("i-2"));
}

// Guards against backing off because of answers that are no rejections, or that name no time.
BOOST_AUTO_TEST_CASE(only_rejections_that_name_a_time_count)
{
    backoff_host it;
    it.backoffs.saw("i-1", rejection({kind::named, 3}, 200), "q");
    it.backoffs.saw("i-1", rejection({kind::named, 3}, 500), "q");
    it.backoffs.saw("i-1", rejection({}), "q");
    it.backoffs.saw("i-1", rejection({kind::named, 0}), "q");
    BOOST_TEST(it.requests.empty());
    BOOST_TEST(!it.backoffs.is_backing_off("i-1"));
    it.backoffs.saw("i-1", rejection({kind::named, 3}, 429), "q");
    BOOST_TEST(it.backoffs.is_backing_off("i-1"));
}

BOOST_AUTO_TEST_SUITE_END()
