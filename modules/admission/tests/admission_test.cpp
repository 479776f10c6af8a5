#include "hickorypost/admission/admission_queue.h"
#include "hickorypost/admission/attempt_table.h"
#include "hickorypost/admission/rate_limiter.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::admission;

const instant start{millis{10'000}};

waiting_job job(attempt_id id, const std::string& account, wire::priority urgency,
                millis deadline = millis{60'000})
{
    return {id, account, 1, urgency, start + deadline};
}

} // namespace

BOOST_AUTO_TEST_SUITE(admission)

// An entry asks about an attempt whose start message is delayed, and the agent answers that the
// attempt never ran. When the start message arrives, the attempt must not start, otherwise that
// answer would be wrong.
BOOST_AUTO_TEST_CASE(a_start_after_its_tombstone_never_begins)
{
    attempt_table table{millis{1000}};
    BOOST_TEST(table.tombstone(7, start));
    BOOST_TEST((table.admit(7) == attempt_state::tombstoned));
    BOOST_TEST(!table.begin(7));
    table.admit(8);
    BOOST_TEST(table.begin(8));
    BOOST_TEST(!table.begin(8));
    BOOST_TEST(!table.tombstone(8, start));
}

BOOST_AUTO_TEST_CASE(overload_is_refused_at_once_with_a_retry_time)
{
    admission_queue queue{{.slots = 1, .first_service_time = millis{100}}};
    for (attempt_id n = 0; n < 9; ++n) {
        queue.offer(job(n, "a", wire::priority::normal, millis{1000}), start);
    }
    BOOST_TEST(queue.next().has_value());
    queue.offer(job(10, "a", wire::priority::normal, millis{1000}), start);
    queue.offer(job(11, "a", wire::priority::normal, millis{1000}), start);
    const auto refused = queue.offer(job(12, "a", wire::priority::normal, millis{1000}), start);
    BOOST_TEST((refused.verdict == offer_verdict::overloaded));
    BOOST_TEST(refused.retry_after.count() >= 900);
}

// One client account fills the queue. The next request of another account must not wait for all of
// the first account's requests.
BOOST_AUTO_TEST_CASE(a_flood_of_one_account_does_not_delay_others)
{
    admission_queue queue{{.slots = 1}};
    for (attempt_id n = 0; n < 50; ++n) {
        queue.offer(job(n, "large", wire::priority::normal), start);
    }
    queue.offer(job(100, "small", wire::priority::normal), start);
    std::size_t turn = 0;
    while (const auto next = queue.next()) {
        ++turn;
        if (next->attempt == 100) {
            break;
        }
        queue.finished(next->urgency, millis{10});
    }
    BOOST_TEST(turn <= 2U);
}

BOOST_AUTO_TEST_CASE(interactive_requests_find_a_free_slot_beside_bulk_jobs)
{
    admission_queue queue{{.slots = 8}};
    for (attempt_id n = 0; n < 20; ++n) {
        queue.offer(job(n, "bulk", wire::priority::bulk), start);
    }
    while (queue.next()) {
    }
    BOOST_TEST(queue.running() == 7U);
    queue.offer(job(100, "lookup", wire::priority::interactive), start);
    BOOST_TEST(queue.next()->attempt == 100U);
}

BOOST_AUTO_TEST_CASE(rate_and_concurrency_limits_are_enforced)
{
    rate_limiter limiter;
    const account_limits limits{10, 2, 3};
    BOOST_TEST(limiter.admit("a", limits, start).admitted);
    BOOST_TEST(limiter.admit("a", limits, start).admitted);
    const auto third = limiter.admit("a", limits, start);
    BOOST_TEST(!third.admitted);
    BOOST_TEST(third.retry_after.count() >= 100);
    BOOST_TEST(limiter.admit("a", limits, start + millis{150}).admitted);
    BOOST_TEST(!limiter.admit("a", limits, start + millis{1000}).admitted);
    limiter.done("a");
    BOOST_TEST(limiter.admit("a", limits, start + millis{1000}).admitted);
}

BOOST_AUTO_TEST_SUITE_END()
