#include "one_gateway.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::testing;

/// Each backend server has crashed when its connection is checked.
void crash_all(one_gateway& it)
{
    it.dials.ended = {"b1", "b2", "b3", "b4", "b5"};
}

void crash_attempts(one_gateway& it, std::size_t attempts)
{
    for (std::size_t n = 0; n < attempts; ++n) {
        it.timers.run_for(millis{100});
        it.fault(attempt_fault::silent);
    }
}

/// Makes a part refused: three backend servers have crashed while requests with it were in flight.
void crash_part(one_gateway& it, std::uint64_t part)
{
    for (const std::uint32_t n : {0U, 1U, 2U}) {
        it.suspects.crashed(identity_of_part(part), "gone" + std::to_string(n), n);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(exchange_crashes)

// Guards against sending a request that is known to crash backend servers, also when its caller
// retries it.
BOOST_AUTO_TEST_CASE(request_known_to_crash_is_rejected_and_not_sent)
{
    one_gateway it;
    crash_all(it);
    it.ask(as_is);
    crash_attempts(it, 3);
    BOOST_TEST(it.backends.attempts.size() == 3U);
    BOOST_TEST(it.caller.status == 502U);
    it.ask(as_is);
    BOOST_TEST(it.backends.attempts.size() == 3U);
    BOOST_TEST(it.caller.status == 400U);
    BOOST_TEST(!it.caller.retry_after);
    BOOST_REQUIRE(it.records.size() == 2U);
    BOOST_TEST((it.records.back().outcome == exchange_outcome::rejected));
    BOOST_TEST(it.records.back().identity.has_value());
}

// Guards against an attempt that starts before it is known whether the previous one crashed its
// backend server.
BOOST_AUTO_TEST_CASE(further_attempt_waits_until_the_crash_is_known)
{
    one_gateway it;
    it.dials.unanswered = true;
    it.ask(as_is);
    it.fault(attempt_fault::silent);
    BOOST_TEST(it.backends.attempts.size() == 1U);
    it.timers.run_for(millis{300});
    BOOST_TEST(it.backends.attempts.size() == 2U);
    BOOST_TEST(it.suspects.empty());
}

// Guards against continuing a request whose deadline passes during the crash check.
BOOST_AUTO_TEST_CASE(deadline_passes_while_the_crash_is_checked)
{
    one_gateway it;
    it.dials.unanswered = true;
    it.ask(as_is, millis{150});
    it.fault(attempt_fault::silent);
    it.timers.run_for(millis{400});
    BOOST_TEST(it.caller.status == 504U);
    BOOST_TEST(it.backends.attempts.size() == 1U);
    BOOST_TEST(it.records.size() == 1U);
}

// Guards against suspecting a request that succeeds on another backend server.
BOOST_AUTO_TEST_CASE(success_after_a_crash_clears_the_request)
{
    one_gateway it;
    it.dials.ended = {"b1", "b2", "b3"};
    it.ask(as_is);
    crash_attempts(it, 1);
    BOOST_TEST(!it.suspects.suspects().empty());
    it.answer(200, "fine");
    it.complete();
    BOOST_TEST(it.caller.status == 200U);
    BOOST_TEST(it.suspects.suspects().empty());
}

// A non-idempotent request has no further attempt, so it does not wait for the crash check. Guards
// against a status that says that it did not run.
BOOST_AUTO_TEST_CASE(unsafe_request_fails_without_waiting_for_the_crash_check)
{
    one_gateway it;
    it.dials.unanswered = true;
    it.ask(as_unsafe);
    it.fault(attempt_fault::silent);
    BOOST_TEST(it.caller.status == 502U);
    it.dials.unanswered = false;
}

// Guards against a stream that is left open, or resumed on yet another backend server, after its
// request is known to crash backend servers.
BOOST_AUTO_TEST_CASE(stream_known_to_crash_is_broken_off)
{
    one_gateway it;
    crash_all(it);
    it.add_backend("b4");
    it.add_backend("b5");
    it.ask([](route_spec& route) {
        as_stream(route);
        route.max_attempts = 5;
    });
    it.answer(200, event(0));
    crash_attempts(it, 3);
    BOOST_TEST(it.caller.broken);
    BOOST_TEST(it.backends.attempts.size() == 3U);
}

// Guards against counting a crash for an attempt that the gateway itself cancelled.
BOOST_AUTO_TEST_CASE(cancelled_attempts_are_not_counted_as_crashes)
{
    one_gateway it;
    crash_all(it);
    it.ask(as_unsafe, millis{100});
    it.timers.run_for(millis{200});
    BOOST_TEST(it.caller.status == 504U);
    it.ask(as_unsafe).caller_left("reset");
    it.timers.run_for(millis{200});
    BOOST_TEST(it.backends.attempts.size() == 2U);
    BOOST_TEST(it.suspects.empty());
}

// Guards against requests that share one crashing part and nothing else.
BOOST_AUTO_TEST_CASE(request_with_a_part_known_to_crash_is_rejected_and_the_part_is_named)
{
    one_gateway it;
    crash_part(it, 0xbad0);
    it.asked_parts = {{0xa1, 10}, {0xbad0, 10}, {0x7, 10}};
    it.ask(as_is);
    BOOST_TEST(it.backends.attempts.empty());
    BOOST_TEST(it.caller.status == 400U);
    BOOST_TEST(it.caller.body.find("bad0") != std::string::npos);
    BOOST_TEST((it.records.back().crashing_parts == std::vector<std::uint64_t>{0xbad0}));
    // The last part is specific to the request.
    it.asked_parts = {{0xa1, 10}, {0xbad0, 10}};
    it.ask(as_is);
    BOOST_TEST(it.backends.attempts.size() == 1U);
}

// Guards against an attempt that goes on, or is sent late, after its part has become refused.
BOOST_AUTO_TEST_CASE(attempt_is_cancelled_and_not_sent_once_its_part_is_refused)
{
    one_gateway it;
    it.asked_parts = {{0xbad0, 10}, {0x7, 10}};
    it.ask(as_is);
    BOOST_REQUIRE(it.backends.attempts.size() == 1U);
    BOOST_TEST(it.backends.last().events->may_send());
    crash_part(it, 0xbad0);
    BOOST_TEST(!it.backends.last().events->may_send());
    it.current->suspects_changed();
    BOOST_TEST(it.caller.status == 400U);
    BOOST_TEST(it.current->over());
    BOOST_TEST(it.backends.attempts.size() == 1U);
}

// Guards against a refused part that nothing clears: after a time one request is sent as a trial.
BOOST_AUTO_TEST_CASE(refused_part_comes_back_after_a_trial_succeeds)
{
    one_gateway it;
    crash_part(it, 0xbad0);
    it.asked_parts = {{0xbad0, 10}, {0x7, 10}};
    it.timers.run_for(millis{61'000});
    for (const auto* id : {"b1", "b2", "b3"}) {
        it.add_backend(id);
    }
    it.ask(as_is);
    BOOST_REQUIRE(it.backends.attempts.size() == 1U);
    BOOST_TEST(it.backends.last().events->may_send());
    const auto trial = std::move(it.current);
    it.ask(as_is);
    BOOST_TEST(it.backends.attempts.size() == 1U);
    it.answer(200, "ok");
    it.complete();
    it.ask(as_is);
    BOOST_TEST(it.backends.attempts.size() == 2U);
}

// Guards against clearing a suspect because its backend server's crash looks like the end of an
// answer.
BOOST_AUTO_TEST_CASE(plain_answer_that_ends_with_its_connection_clears_no_suspect)
{
    one_gateway it;
    it.asked_parts = {{0xbad0, 10}, {0x7, 10}};
    for (const auto framing : {http1::framing::until_close, http1::framing::sized}) {
        it.suspects.crashed(identity_of_part(0xbad0), "gone", 0);
        it.framing_of_answers = framing;
        it.ask(as_is);
        it.answer(200, "ok");
        it.complete();
        const std::size_t known = it.suspects.known_crashes(identity_of_part(0xbad0));
        BOOST_TEST(known == (framing == http1::framing::until_close ? 1U : 0U));
    }
}

BOOST_AUTO_TEST_SUITE_END()
