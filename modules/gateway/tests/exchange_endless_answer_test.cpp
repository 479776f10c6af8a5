/// Answers of backend servers that are larger than what may be kept.

#include "one_gateway.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::testing;

} // namespace

BOOST_AUTO_TEST_SUITE(exchange_endless_answer)

// Guards against a failure answer without end that is kept in memory until the deadline.
BOOST_AUTO_TEST_CASE(failure_answer_without_end_is_abandoned)
{
    one_gateway it;
    const std::string piece(it.services.settings.max_buffered_bytes / 4, 'x');
    const auto fail_endlessly = [&] {
        const std::size_t attempts = it.backends.attempts.size();
        it.answer(500, piece);
        std::size_t pieces = 1;
        while (it.backends.attempts.size() == attempts && !it.caller.ended && pieces < 100) {
            it.backends.last().events->on_body(piece);
            ++pieces;
        }
        return pieces;
    };
    it.ask(as_is);
    BOOST_TEST(fail_endlessly() == 5U);
    BOOST_TEST(it.backends.attempts.size() == 2U);
    it.answer(200, "good");
    it.complete();
    BOOST_TEST(it.caller.status == 200U);
    BOOST_TEST(it.caller.body == "good");

    one_gateway unsafe;
    unsafe.ask(as_unsafe);
    unsafe.answer(500, piece + piece + piece + piece);
    BOOST_TEST(!unsafe.caller.ended);
    unsafe.backends.last().events->on_body("x");
    BOOST_TEST(unsafe.backends.attempts.size() == 1U);
    BOOST_TEST(unsafe.caller.status == 502U);
    BOOST_TEST(unsafe.caller.body.empty());
}

// Guards against an event without end that is kept in memory until the deadline, and against losing
// the complete events before it.
BOOST_AUTO_TEST_CASE(stream_with_an_event_without_end_is_resumed_behind_its_complete_events)
{
    one_gateway it;
    it.ask(as_stream);
    const std::string large(event_splitter::max_event_bytes + 1, 'x');
    it.answer(200, event(0) + event(1) + "id: 2\ndata: " + large);
    BOOST_TEST(it.backends.attempts.size() == 2U);
    it.answer(200, event(2));
    it.complete();
    BOOST_TEST(it.caller.ended);
    BOOST_TEST(it.caller.body == event(0) + event(1) + event(2));
}

// Guards against losing the complete events that arrive together with one that is out of order.
BOOST_AUTO_TEST_CASE(stream_with_a_gap_is_resumed_behind_its_complete_events)
{
    one_gateway it;
    it.ask(as_stream);
    it.answer(200, event(0) + event(1) + event(3));
    BOOST_TEST(it.backends.attempts.size() == 2U);
    it.answer(200, event(2) + event(3));
    it.complete();
    BOOST_TEST(it.caller.body == event(0) + event(1) + event(2) + event(3));
}

// Guards against searching an event again from its start for each piece that arrives.
BOOST_AUTO_TEST_CASE(event_in_many_pieces_ends_at_any_split)
{
    const std::string text = "id: 0\r\ndata: " + std::string(1000, 'x') + "\r\n\r\nid: 1\n\n";
    event_splitter it;
    std::string out;
    for (const char byte : text) {
        out += it.push({&byte, 1});
    }
    BOOST_TEST(out == text);
    BOOST_TEST(!it.too_large());
    it.push(std::string(event_splitter::max_event_bytes, 'x'));
    BOOST_TEST(!it.too_large());
    it.push("x");
    BOOST_TEST(it.too_large());
    BOOST_TEST(it.partial_bytes() == 0U);
    it.restart();
    BOOST_TEST(it.push("id: 2\n\n") == "id: 2\n\n");
}

BOOST_AUTO_TEST_SUITE_END()
