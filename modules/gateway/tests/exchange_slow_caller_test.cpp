/// Answers to callers that read slowly.

#include "one_gateway.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::testing;

/// Asks for an answer that the caller does not read.
void ask_unread(one_gateway& it, const std::function<void(route_spec&)>& change)
{
    it.ask(change);
    it.caller.unsent_bytes = it.services.settings.max_unsent_bytes + 1;
}

void read_all(one_gateway& it)
{
    it.caller.unsent_bytes = 0;
    it.current->caller_drained();
}

} // namespace

BOOST_AUTO_TEST_SUITE(exchange_slow_caller)

// Guards against unbounded memory for a caller that reads slowly.
BOOST_AUTO_TEST_CASE(reading_pauses_while_the_caller_has_much_unread)
{
    for (const bool stream : {true, false}) {
        one_gateway it;
        it.ask(stream ? as_stream : as_is);
        const std::string piece =
            stream ? event(0) : std::string(it.services.settings.max_buffered_bytes + 1, 'x');
        it.answer(200, piece);
        BOOST_TEST(it.backends.last().reading);
        it.caller.unsent_bytes = it.services.settings.max_unsent_bytes + 1;
        it.backends.last().events->on_body(event(1));
        BOOST_TEST(!it.backends.last().reading);
        read_all(it);
        BOOST_TEST(it.backends.last().reading);
        it.complete();
        BOOST_TEST(it.caller.ended);
        BOOST_TEST(it.caller.body == piece + event(1));
    }
}

// Guards against treating a backend server as silent because the gateway itself has paused reading:
// the stream would run again elsewhere, and its events would be queued for the caller too.
BOOST_AUTO_TEST_CASE(backend_server_is_not_silent_while_reading_pauses)
{
    one_gateway it;
    site_config config = it.table->config();
    config.services.front().engine.emplace(); // engines are probed
    it.table = std::make_shared<const route_table>(config);
    ask_unread(it, [](route_spec& route) {
        as_stream(route);
        route.target_gap = millis{1500};
    });
    it.answer(200, event(0));
    BOOST_REQUIRE(!it.backends.last().reading);
    it.timers.run_for(millis{3500});
    BOOST_TEST(it.backends.attempts.size() == 1U);
    BOOST_TEST(it.probes.attempts.empty());
    read_all(it);
    BOOST_TEST(it.backends.attempts.size() == 1U);
    it.backends.last().events->on_body(event(1));
    it.complete();
    BOOST_TEST(it.caller.body == event(0) + event(1));
}

// Guards against a stream that hangs because its backend server has stopped while reading was
// paused.
BOOST_AUTO_TEST_CASE(silence_counts_again_once_the_caller_has_read)
{
    one_gateway it;
    ask_unread(it, as_stream);
    it.answer(200, event(0));
    read_all(it);
    it.timers.run_for(millis{1500});
    BOOST_TEST(it.backends.attempts.size() == 2U);
}

// Guards against an answer that looks complete but is a part of one answer followed by another one,
// as the request is sent again when its answer takes longer than the silence limit.
BOOST_AUTO_TEST_CASE(plain_answer_that_has_begun_is_not_asked_for_again)
{
    one_gateway it;
    it.ask(as_is);
    const std::string piece(it.services.settings.max_buffered_bytes + 1, 'x');
    it.answer(200, piece);
    it.timers.run_for(millis{3500});
    BOOST_TEST(it.backends.attempts.size() == 1U);
    it.complete();
    BOOST_TEST(it.caller.ended);
    BOOST_TEST(it.caller.body == piece);
}

// A backend server may cut off a stream that is not read for some seconds. Guards against an
// incomplete answer that looks complete, whether the answer can be resumed or not.
BOOST_AUTO_TEST_CASE(answer_cut_off_while_reading_pauses_is_resumed_or_incomplete)
{
    one_gateway stream;
    ask_unread(stream, as_stream);
    stream.answer(200, event(0));
    stream.fault(attempt_fault::broken);
    BOOST_REQUIRE(stream.backends.attempts.size() == 2U);
    BOOST_TEST(stream.backends.last().head.find("after=0") != std::string::npos);
    stream.answer(200, event(1));
    BOOST_TEST(!stream.backends.last().reading);
    stream.complete();
    BOOST_TEST(stream.caller.body == event(0) + event(1));

    for (const bool events : {true, false}) {
        one_gateway it;
        ask_unread(it, [&](route_spec& route) {
            (events ? as_stream : as_is)(route);
            route.resumable = false;
        });
        it.answer(200, events ? event(0)
                              : std::string(it.services.settings.max_buffered_bytes + 1, 'x'));
        it.fault(attempt_fault::broken);
        BOOST_TEST(it.backends.attempts.size() == 1U);
        BOOST_TEST(it.caller.broken);
        BOOST_TEST(!it.caller.ended);
    }
}

BOOST_AUTO_TEST_SUITE_END()
