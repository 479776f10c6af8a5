#include "hickorypost/scheduling/send_pacer.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::scheduling;

const instant start{millis{100'000}};
/// Each host's share is 200 ms of work in 25 ms, and a burst begins with twice of that.
const send_pacer::pool thirty_hosts{48, 30, 500, false};

/// Sends requests of `work_ms` until the pacer allows no more. Returns their work.
double send_all(send_pacer& pacer, const send_pacer::pool& at, double work_ms, instant now,
                bool others_wait = false)
{
    constexpr double enough_ms = 1e5;
    double out = 0;
    for (; out < enough_ms; out += work_ms) {
        pacer.observe(at, others_wait, now);
        if (!pacer.allows(at, others_wait, now)) {
            break;
        }
        pacer.sent(work_ms, at, now);
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(send_pacer_suite)

// Guards against thirty hosts that fill the same idle engines before they know of each other.
BOOST_AUTO_TEST_CASE(burst_begins_with_the_share_of_the_host)
{
    send_pacer pacer{{}};
    BOOST_TEST(send_all(pacer, thirty_hosts, 20, start) == 400);
}

// Guards against a host whose clients alone are active and that can't use idle engines.
BOOST_AUTO_TEST_CASE(rate_doubles_while_the_engines_have_room)
{
    send_pacer pacer{{}};
    double sent_ms = 0;
    for (int ms = 0; ms <= 850; ms += 5) {
        sent_ms = send_all(pacer, thirty_hosts, 20, start + millis{ms});
    }
    // 200 ms of work in 25 ms at first, doubled four times.
    BOOST_TEST(sent_ms >= 5 * 200 * 16 / 25);
}

// Guards against all hosts sending at once to an engine that becomes available.
BOOST_AUTO_TEST_CASE(rate_is_halved_while_the_engines_are_full)
{
    send_pacer pacer{{}};
    send_all(pacer, thirty_hosts, 20, start);
    auto full = thirty_hosts;
    full.is_full = true;
    for (int ms = 0; ms <= 1000; ms += 5) {
        pacer.observe(full, true, start + millis{ms});
    }
    // Twice the share of 48 engines in 25 ms.
    BOOST_TEST(send_all(pacer, thirty_hosts, 1, start + millis{1001}, true) <=
               2 * 48 * 25 / 30 + 1);
}

// Guards against delaying requests that do not come in bursts, or on the only host.
BOOST_AUTO_TEST_CASE(single_requests_are_not_delayed)
{
    send_pacer pacer{{}};
    for (int n = 0; n < 10; ++n) {
        const instant now = start + millis{30} * n;
        pacer.observe(thirty_hosts, false, now);
        BOOST_TEST(pacer.allows(thirty_hosts, false, now));
        pacer.sent(3000, thirty_hosts, now);
    }
    auto alone = thirty_hosts;
    alone.hosts = 1;
    BOOST_TEST(send_all(pacer, alone, 100, start + millis{300}) >= 1e5);
}

BOOST_AUTO_TEST_SUITE_END()
