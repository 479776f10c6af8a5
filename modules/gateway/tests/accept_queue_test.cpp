#include "hickorypost/gateway/accept_queue.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;

/// A host whose main loop handles new connections one after the other. Further work for each comes
/// `follow_up_delay` after it was read.
struct loop_model {
    /// Connections arrive at a constant rate for `duration`.
    void run(millis duration, millis arrival_interval)
    {
        const instant end = now + duration;
        instant next = now;
        while (now < end) {
            const instant began = now;
            for (; !follow_ups.empty() && follow_ups.front() <= now; follow_ups.pop_front()) {
                now += follow_up_time;
                // The caller gives up if its answer is not complete in time.
                served += now <= follow_ups.front() + millis{1000} ? 1 : 0;
            }
            for (; next <= now; next += arrival_interval) {
                accept(next);
            }
            turn(began);
            longest_turn = std::max(longest_turn, now - began);
            if (now == began) {
                const instant due = follow_ups.empty() ? next : std::min(next, follow_ups.front());
                now = std::max(due, now + millis{1});
            }
        }
    }

    void accept(instant at)
    {
        if (sheds && queue.is_full()) {
            ++closed;
            return;
        }
        arrived.push_back(at);
        if (sheds) {
            queue.push(0, now);
        }
    }

    void turn(instant began)
    {
        while (sheds ? queue.pop(now - began, now).has_value() : !arrived.empty()) {
            now += service_time;
            ++read;
            // A caller gives up if its request has not been read after a second.
            read_in_time += now <= arrived.front() + millis{1000} ? 1 : 0;
            arrived.pop_front();
            follow_ups.push_back(now + follow_up_delay);
        }
        for ([[maybe_unused]] const int fd : queue.take_excess(now)) {
            ++closed;
            arrived.pop_back();
            now += micros{200};
        }
    }

    bool sheds = true; ///< uses the queue; otherwise, reads all that has arrived
    millis service_time{8};
    millis follow_up_time{0};
    millis follow_up_delay{300};
    instant now{millis{1000}};
    std::deque<instant> arrived;
    std::deque<instant> follow_ups;
    micros longest_turn{0};
    std::size_t read = 0;
    std::size_t read_in_time = 0;
    std::size_t served = 0;
    std::size_t closed = 0;
    accept_queue queue{{}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(accept_queue_suite)

// Guards against a host that reads three times what it can serve, and serves none of it in time.
BOOST_AUTO_TEST_CASE(overloaded_host_serves_what_it_reads)
{
    loop_model reads_all{.sheds = false};
    reads_all.run(millis{10'000}, millis{8} / 3);
    BOOST_TEST(reads_all.read_in_time * 4 < reads_all.read * 3);
    loop_model it;
    it.run(millis{10'000}, millis{8} / 3);
    BOOST_TEST(it.read_in_time * 4 >= it.read * 3);
    BOOST_TEST(it.read * 2 >= 10'000 / 8);
}

// Guards against turns of the main loop that grow with the number of connections that have arrived.
BOOST_AUTO_TEST_CASE(turns_stay_short_whatever_arrives)
{
    loop_model it;
    it.run(millis{5000}, millis{1});
    BOOST_TEST((it.longest_turn <= millis{100}));
}

// Guards against reading new connections while work for those that were read is late.
BOOST_AUTO_TEST_CASE(requests_in_flight_come_before_new_connections)
{
    loop_model it;
    it.follow_up_time = millis{12};
    it.run(millis{10'000}, millis{8} / 3);
    BOOST_TEST(it.served >= (it.read - it.follow_ups.size()) * 95 / 100);
    BOOST_TEST(it.read * 2 >= 10'000 / 20);
}

// Guards against closing connections in a burst that the host can serve.
BOOST_AUTO_TEST_CASE(burst_and_single_long_iterations_close_no_connection)
{
    loop_model it;
    for (int n = 0; n < 10; ++n) {
        it.run(millis{1000}, millis{10});
        it.run(millis{150}, millis{4});
        it.now += millis{600}; // a large configuration is decoded
    }
    BOOST_TEST(it.closed == 0U);
}

// Guards against a host that reads no connection at all while its turns are long.
BOOST_AUTO_TEST_CASE(connections_are_read_beside_long_turns)
{
    accept_queue queue{{}};
    std::size_t read = 0;
    constexpr millis turn{50};
    for (instant now{millis{1000}}; now < instant{millis{4000}}; now += turn) {
        queue.push(0, now);
        (void)queue.take_excess(now);
        read += queue.pop(turn, now) ? 1 : 0;
    }
    BOOST_TEST(read >= 10U);
}

// Guards against an overload that does not end.
BOOST_AUTO_TEST_CASE(host_listens_again_once_the_queue_has_room)
{
    loop_model it;
    it.run(millis{3000}, millis{2});
    BOOST_TEST(it.closed > 0U);
    it.run(millis{3000}, millis{20});
    const auto closed = it.closed;
    it.run(millis{3000}, millis{20});
    BOOST_TEST(it.closed == closed);
    BOOST_TEST(!it.queue.is_overloaded());
}

BOOST_AUTO_TEST_SUITE_END()
