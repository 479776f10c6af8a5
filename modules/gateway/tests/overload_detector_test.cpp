#include "hickorypost/gateway/overload_detector.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;

/// A host whose main loop handles all new connections that have arrived, one after the other.
struct loop_model {
    /// Connections arrive at a constant rate for `duration`.
    void run(millis duration, millis arrival_interval)
    {
        const instant end = now + duration;
        instant next = now;
        while (now < end) {
            for (; next <= now; next += arrival_interval) {
                arrived.push_back(next);
            }
            if (arrived.empty()) {
                now = next;
                continue;
            }
            const instant began = now;
            for (auto batch = std::exchange(arrived, {}); !batch.empty(); batch.pop_front()) {
                if (sheds && detector.is_overloaded()) {
                    ++closed;
                    now += micros{200};
                    continue;
                }
                now += service_time;
                ++read;
                // A caller gives up if its request has not been read after a second.
                served += now <= batch.front() + millis{1000} ? 1 : 0;
            }
            detector.iteration(now - began, now);
        }
    }

    bool sheds = true;
    millis service_time{8};
    instant now{millis{1000}};
    std::deque<instant> arrived;
    std::size_t read = 0;
    std::size_t served = 0;
    std::size_t closed = 0;
    overload_detector detector{{}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(overload_detector_suite)

// Guards against a host that reads three times what it can serve, and serves none of it in time.
BOOST_AUTO_TEST_CASE(overloaded_host_serves_what_it_reads)
{
    loop_model reads_all{.sheds = false};
    reads_all.run(millis{10'000}, millis{8} / 3);
    BOOST_TEST(reads_all.served * 4 < reads_all.read * 3);
    loop_model it;
    it.run(millis{10'000}, millis{8} / 3);
    BOOST_TEST(it.served * 4 >= it.read * 3);
    BOOST_TEST(it.read * 2 >= 10'000 / 8);
}

// Guards against closing connections in a burst that the host can serve.
BOOST_AUTO_TEST_CASE(burst_and_single_long_iterations_close_no_connection)
{
    loop_model it;
    for (int n = 0; n < 10; ++n) {
        it.run(millis{1000}, millis{10});
        it.run(millis{150}, millis{4});
        it.now += millis{600}; // a large configuration is decoded
        it.detector.iteration(millis{600}, it.now);
    }
    BOOST_TEST(it.closed == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
