/// The server for callers, over real sockets.

#include "one_gateway.h"
#include "single_caller.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <poll.h>

namespace {

using namespace hickorypost;
using namespace hickorypost::testing;

constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::string_view whole_get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

} // namespace

BOOST_AUTO_TEST_SUITE(caller_server_suite)

// Guards against a host that lets those who came last go first once it has its configuration.
BOOST_AUTO_TEST_CASE(held_requests_are_released_oldest_first)
{
    net::poller poller;
    fake_scheduler timers;
    bool ready = false;
    std::string order;
    const net::endpoint address = unused_address();
    const auto server =
        caller_server::open(poller, timers, [&timers] { return timers.now; }, address,
                            {.limits = [] { return gateway::caller_limits{}; },
                             .handle =
                                 [&order](const incoming_request& request) {
                                     order += request.head.target;
                                     return nullptr;
                                 },
                             .may_handle = [&ready] { return ready; },
                             .max_hold_time = millis{60'000}});
    std::vector<int> callers;
    for (const auto* target : {"/a", "/b", "/c", "/d", "/e", "/f"}) {
        callers.push_back(send_request(address, target));
        run_main_loop();
        timers.run_for(millis{1});
    }
    BOOST_TEST(order.empty());
    ready = true;
    server->release_held();
    run_main_loop();
    BOOST_TEST(order == "/a/b/c/d/e/f");
    for (const int fd : callers) {
        ::close(fd);
    }
}

// Guards against a caller that fills the host's memory while its request is in flight, and against
// a connection that is never read again after that.
BOOST_AUTO_TEST_CASE(endless_bytes_behind_a_request_are_not_read_before_its_answer)
{
    net::poller poller;
    fake_scheduler timers;
    std::shared_ptr<gateway::caller_port> answer;
    const net::endpoint address = unused_address();
    const auto server =
        caller_server::open(poller, timers, [&timers] { return timers.now; }, address,
                            {.limits = [] { return gateway::caller_limits{}; },
                             .handle =
                                 [&answer](const incoming_request& request) {
                                     answer = request.answer;
                                     return nullptr;
                                 }});
    const int caller = send_request(address, "/");
    run_main_loop();
    BOOST_REQUIRE(answer);
    ::fcntl(caller, F_SETFL, O_NONBLOCK);
    const std::string block(std::size_t{1} << 20U, 'x');
    const auto fill = [&] {
        std::size_t out = 0;
        for (ssize_t n = 1; n > 0; out += static_cast<std::size_t>(std::max<ssize_t>(n, 0))) {
            n = ::send(caller, block.data(), block.size(), MSG_NOSIGNAL);
        }
        run_main_loop();
        return out;
    };
    std::size_t last = 1;
    for (int n = 0; n < 50 && last > 0; ++n) {
        last = fill();
    }
    BOOST_TEST(last == 0U);
    answer->respond(http1::response_head{.status = 200}, "ok");
    answer.reset();
    run_main_loop();
    BOOST_TEST(fill() > 0U);
    ::close(caller);
}

// Guards against closing a connection as idle whose next request has arrived and is still unread,
// as after a pause of the process.
BOOST_AUTO_TEST_CASE(connection_with_an_unread_request_is_not_closed_as_idle)
{
    net::poller poller;
    fake_scheduler timers;
    std::vector<std::shared_ptr<gateway::caller_port>> answers;
    const net::endpoint address = unused_address();
    const auto server =
        caller_server::open(poller, timers, [&timers] { return timers.now; }, address,
                            {.limits = [] { return gateway::caller_limits{}; },
                             .handle =
                                 [&answers](const incoming_request& request) {
                                     answers.push_back(request.answer);
                                     return nullptr;
                                 }});
    const int caller = send_request(address, "/first");
    run_main_loop();
    BOOST_REQUIRE(answers.size() == 1U);
    answers.back()->respond(http1::response_head{.status = 200}, "ok");
    run_main_loop();
    constexpr std::string_view next = "GET /next HTTP/1.1\r\nHost: a\r\n\r\n";
    BOOST_REQUIRE(::send(caller, next.data(), next.size(), MSG_NOSIGNAL) > 0);
    timers.run_for(gateway::caller_limits{}.idle_timeout + millis{1});
    server->close_idle();
    run_main_loop();
    BOOST_TEST(answers.size() == 2U);
    BOOST_TEST(server->connections() == 1U);
    answers.clear();
    ::close(caller);
}

// Guards against a caller without an answer because it ended its input after its request.
BOOST_AUTO_TEST_CASE(caller_that_ends_its_input_after_a_request_gets_its_answer)
{
    for (const std::string_view request :
         {whole_get, std::string_view{"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"}}) {
        single_caller it{request};
        it.end_input();
        BOOST_REQUIRE(it.answers.size() == 1U);
        BOOST_TEST(!it.answers.back()->is_closed());
        it.respond("whole");
        BOOST_TEST(it.read_to_end());
        BOOST_TEST(it.received.starts_with(interim));
        BOOST_TEST(it.received.ends_with("\r\n\r\nwhole"));
        BOOST_TEST(it.received.find("Connection: close") != std::string::npos);
        BOOST_TEST(it.connections() == 0U);
    }
}

// Guards against carrying out an order for a caller that has closed its connection in good order,
// which looks like the end of its input.
BOOST_AUTO_TEST_CASE(caller_that_has_closed_its_connection_is_not_confirmed)
{
    for (const bool ends_input_first : {false, true}) {
        single_caller it{whole_get};
        if (ends_input_first) {
            it.end_input();
        }
        it.close();
        BOOST_TEST(!it.confirm_last());
        BOOST_TEST(it.connections() == 0U);
    }
}

// Guards against an order that is dropped although its caller waits, and against an answer that is
// not whole after the check.
BOOST_AUTO_TEST_CASE(caller_that_waits_is_confirmed_and_gets_a_whole_answer)
{
    for (const bool ends_input : {false, true}) {
        for (const std::size_t checks : {1U, 8U}) {
            single_caller it{std::string{whole_get} + std::string{whole_get}};
            if (ends_input) {
                it.end_input();
            }
            for (std::size_t n = 0; n < checks; ++n) {
                BOOST_TEST(it.confirm_last());
            }
            it.respond("first");
            BOOST_REQUIRE(it.answers.size() == 2U);
            it.respond("second");
            it.end_input();
            BOOST_TEST(it.read_to_end());
            std::string_view text = it.received;
            while (text.starts_with(interim)) {
                text.remove_prefix(interim.size());
            }
            BOOST_TEST(text.starts_with("HTTP/1.1 200 OK\r\n"));
            BOOST_TEST(text.find("firstHTTP/1.1 200 OK\r\n") != std::string_view::npos);
            BOOST_TEST(text.ends_with("second"));
        }
    }
}

// Guards against a stream that is resumed on another backend server for a caller that has left it.
BOOST_AUTO_TEST_CASE(caller_that_ends_its_input_inside_a_streamed_answer_is_taken_for_gone)
{
    single_caller it{whole_get};
    it.answers.back()->begin(http1::response_head{.status = 200});
    it.answers.back()->piece("first");
    run_main_loop();
    it.end_input();
    BOOST_TEST(it.answers.back()->is_closed());
    BOOST_TEST(it.connections() == 0U);
    BOOST_TEST(it.read_to_end());
    BOOST_TEST(!it.received.ends_with(http1::last_chunk));
}

// Guards against truncating a streamed answer to a caller that ended its input before it began.
BOOST_AUTO_TEST_CASE(caller_that_ends_its_input_before_a_streamed_answer_gets_all_of_it)
{
    single_caller it{whole_get};
    it.end_input();
    it.answers.back()->begin(http1::response_head{.status = 200});
    it.answers.back()->piece("first");
    run_main_loop();
    it.answers.back()->piece("second");
    it.answers.back()->end();
    run_main_loop();
    BOOST_TEST(it.read_to_end());
    BOOST_TEST(it.received.find("first") < it.received.find("second"));
    BOOST_TEST(it.received.ends_with(http1::last_chunk));
}

// Guards against a malformed request that gets no answer because it came with the one before.
BOOST_AUTO_TEST_CASE(malformed_request_behind_another_one_is_answered)
{
    single_caller it{std::string{whole_get} + "no request\r\n\r\n"};
    it.respond("first");
    BOOST_TEST(it.read_to_end());
    BOOST_TEST(it.received.find("HTTP/1.1 400") != std::string::npos);
}

// Guards against dropping the unsent part of a large answer at the end of the caller's input.
BOOST_AUTO_TEST_CASE(large_answer_is_complete_after_the_end_of_the_callers_input)
{
    constexpr std::size_t size = std::size_t{16} << 20U; // fills the socket buffers
    single_caller it{whole_get};
    it.respond(std::string(size, 'x'));
    it.end_input();
    BOOST_TEST(it.read_to_end());
    BOOST_TEST(it.received.size() > size);
    BOOST_TEST(it.connections() == 0U);
}

// Guards against answering only the first of several requests that precede the end of the input.
BOOST_AUTO_TEST_CASE(requests_sent_together_before_the_end_of_the_input_are_all_answered)
{
    single_caller it{std::string{whole_get} + std::string{whole_get} + "GET / HT"};
    it.end_input();
    it.respond("first");
    BOOST_REQUIRE(it.answers.size() == 2U);
    it.respond("second");
    BOOST_TEST(it.read_to_end());
    BOOST_TEST(it.received.find("first") < it.received.find("second"));
    BOOST_TEST(it.received.ends_with("second"));
    BOOST_TEST(it.connections() == 0U);
}

// Guards against dropping requests that were read together when their host drains.
BOOST_AUTO_TEST_CASE(requests_sent_together_before_a_drain_are_all_answered)
{
    single_caller it{std::string{whole_get} + std::string{whole_get} + "GET / HT"};
    it.begin_drain();
    it.respond("first");
    BOOST_REQUIRE(it.answers.size() == 2U);
    BOOST_TEST(it.receive().find("Connection: close") == std::string::npos);
    it.respond("second");
    const std::string second = it.receive();
    BOOST_TEST(second.find("Connection: close") != std::string::npos);
    BOOST_TEST(second.ends_with("second"));
}

// Guards against a drain that requests which wait for admission do not learn of.
BOOST_AUTO_TEST_CASE(waiting_request_is_answered_503_when_the_drain_begins)
{
    one_gateway it;
    it.asked_tokens = 1000;
    site_config config = it.table->config();
    config.services.front().engine = engine_spec{};
    it.table = std::make_shared<const route_table>(config);
    for (const auto* const id : {"b1", "b2", "b3"}) {
        it.balancer.set_remote_load(id, {1, 400});
    }
    net::poller poller;
    const auto address = unused_address();
    const auto server =
        caller_server::open(poller, it.timers, [&] { return it.timers.now; }, address,
                            {.limits = [] { return caller_limits{}; },
                             .handle =
                                 [&](const incoming_request& request) {
                                     caller_request asked;
                                     asked.id = "q";
                                     asked.prompt_tokens = it.asked_tokens;
                                     asked.arrived = it.timers.now;
                                     return std::make_unique<exchange>(
                                         it.services, *request.answer, std::move(asked), it.table,
                                         it.table->config().routes.front(), nullptr);
                                 }});
    const int caller = send_request(address, "/");
    run_main_loop();
    BOOST_REQUIRE(it.admission.waiting()["app"] == 1U);
    it.services.drain_end = it.timers.now + millis{1};
    server->begin_drain();
    run_main_loop();
    std::array<char, 4096> buf{};
    const ssize_t n = ::recv(caller, buf.data(), buf.size(), MSG_DONTWAIT);
    const std::string answer{buf.data(), static_cast<std::size_t>(std::max<ssize_t>(n, 0))};
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(answer.find("Retry-After") != std::string::npos);
    BOOST_TEST(it.backends.attempts.empty());
    ::close(caller);
}

// Guards against an interim response to a caller whose protocol version has none.
BOOST_AUTO_TEST_CASE(half_closed_caller_of_http_1_0_gets_no_interim_response)
{
    single_caller it{"GET / HTTP/1.0\r\n\r\n"};
    it.end_input();
    it.respond("whole");
    BOOST_TEST(it.read_to_end());
    BOOST_TEST(it.received.starts_with("HTTP/1.1 200"));
    BOOST_TEST(it.received.ends_with("whole"));
}

// Guards against work for a caller that has closed its connection.
BOOST_AUTO_TEST_CASE(request_of_a_caller_that_closed_its_connection_is_given_up)
{
    single_caller waiting{whole_get};
    waiting.close();
    BOOST_TEST(waiting.answers.back()->is_closed());
    BOOST_TEST(waiting.connections() == 0U);
    single_caller streaming{whole_get};
    streaming.answers.back()->begin(http1::response_head{.status = 200});
    streaming.close();
    streaming.answers.back()->piece("first");
    run_main_loop();
    BOOST_TEST(streaming.answers.back()->is_closed());
    BOOST_TEST(streaming.connections() == 0U);
}

// Guards against chunks and kept connections for callers of HTTP/1.0, which know neither, and
// against an answer that looks complete to them although it was broken off.
BOOST_AUTO_TEST_CASE(streamed_answer_to_http_1_0_ends_with_its_connection)
{
    constexpr std::string_view get = "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n";
    for (const bool complete : {true, false}) {
        single_caller it{get};
        BOOST_REQUIRE(it.answers.size() == 1U);
        const auto answer = it.answers.back();
        answer->begin(http1::response_head{.status = 200});
        answer->piece("one ");
        run_main_loop();
        answer->piece("two");
        complete ? answer->end() : answer->break_off();
        BOOST_TEST(it.read_to_end() == complete);
        BOOST_TEST(it.received.find("Transfer-Encoding") == std::string::npos);
        BOOST_TEST(it.received.find("Connection: close") != std::string::npos);
        BOOST_TEST(it.received.find("\r\n\r\none ") != std::string::npos);
        BOOST_TEST((!complete || it.received.ends_with("one two")));
    }
}

// Guards against a connection that stays open because its request never becomes complete.
BOOST_AUTO_TEST_CASE(connection_that_ends_inside_a_request_is_closed)
{
    single_caller it{"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"};
    it.end_input();
    BOOST_TEST(it.read_to_end());
    BOOST_TEST(it.received.empty());
    BOOST_TEST(it.connections() == 0U);
}

// Guards against an overloaded host that reads what it cannot serve.
BOOST_AUTO_TEST_CASE(new_connection_is_closed_unread_while_the_host_is_overloaded)
{
    net::poller poller;
    fake_scheduler timers;
    std::size_t requests = 0;
    std::string reason;
    const net::endpoint address = unused_address();
    // Each turn is too long to read a connection, so that one is read in 600 ms.
    const gateway::accept_queue_settings settings{.max_turn = millis{0},
                                                  .max_pause = millis{600},
                                                  .late_after = millis{100},
                                                  .max_wait = millis{250}};
    const auto server = caller_server::open(
        poller, timers, [&timers] { return timers.now; }, address,
        {.limits = [] { return gateway::caller_limits{}; },
         .handle =
             [&requests](const incoming_request&) {
                 ++requests;
                 return nullptr;
             },
         .accept_queue = settings,
         .max_connections = 3,
         .connection_refused = [&reason](std::string_view why) { reason = why; }});
    const auto run_turns = [] {
        constexpr int turns = 20; // a connection that is not read asks for another turn
        for (int n = 0; n < turns; ++n) {
            g_main_context_iteration(nullptr, FALSE);
        }
    };
    const auto connect_and_ask = [&] {
        const int fd = send_request(address, "/");
        run_turns();
        return fd;
    };
    const int first = connect_and_ask();
    BOOST_TEST(requests == 1U);
    const int second = connect_and_ask();
    const int refused = connect_and_ask();
    BOOST_TEST(requests == 1U);
    BOOST_TEST(reason.empty());
    for (int n = 0; n < 6; ++n) {
        timers.run_for(millis{100});
        run_turns();
    }
    BOOST_TEST(requests == 2U);
    BOOST_TEST(reason == "overloaded");
    timers.run_for(millis{4000});
    run_turns();
    const int accepted = connect_and_ask();
    BOOST_TEST(requests == 3U);
    const int above = connect_and_ask();
    BOOST_TEST(requests == 3U);
    BOOST_TEST(reason == "too many connections");
    for (const int fd : {first, second, refused, accepted, above}) {
        ::close(fd);
    }
}

BOOST_AUTO_TEST_SUITE_END()
