#include "fakes.h"
#include "gateway/backend_pool.h"
#include "loopback_listener.h"

#include <array>
#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::testing;

constexpr std::string_view request_head = "GET / HTTP/1.1\r\n\r\n";

/// A pool with one kept connection to a listening socket on the loopback address.
struct kept_connection_fixture final : gateway::attempt_events {
    kept_connection_fixture()
    {
        start();
        peer = server.accept();
        answer();
        BOOST_REQUIRE(completed == 1U);
    }
    ~kept_connection_fixture() override { close_peer(); }
    kept_connection_fixture(const kept_connection_fixture&) = delete;
    kept_connection_fixture& operator=(const kept_connection_fixture&) = delete;

    bool on_head(http1::response_head&) override { return true; }
    void on_body(std::string_view) override {}
    void on_complete() override { ++completed; }
    void on_fault(gateway::attempt_fault how) override { fault = how; }

    /// Starts a request without running the main loop.
    void begin(bool new_connection = false)
    {
        request.reset();
        request = pool.start({.backend = "i-1",
                              .address = "127.0.0.1:" + std::to_string(server.address().port),
                              .service = "app",
                              .max_connections = max_connections,
                              .name = "i-1",
                              .new_connection = new_connection},
                             std::string{request_head}, {}, false, *this);
    }
    void start(bool new_connection = false)
    {
        begin(new_connection);
        run_main_loop();
    }
    void answer() const
    {
        constexpr std::string_view text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        read_request();
        BOOST_REQUIRE(::send(peer, text.data(), text.size(), MSG_NOSIGNAL) > 0);
        run_main_loop();
    }
    void read_request() const
    {
        std::array<char, 256> buf{};
        BOOST_REQUIRE(::recv(peer, buf.data(), buf.size(), MSG_DONTWAIT) > 0);
    }
    void close_peer() { ::close(std::exchange(peer, -1)); }

    static constexpr millis longest_pause = gateway::connection_reuse_settings{}.longest_pause;
    net::poller poller;
    fake_scheduler timers;
    loopback_listener server;
    int peer = -1;
    std::uint32_t max_connections = 1;
    std::size_t completed = 0;
    std::optional<gateway::attempt_fault> fault;
    backend_pool pool{poller,
                      timers,
                      [this] { return timers.now; },
                      [](const std::string&) { return gateway::connection_use{}; },
                      {},
                      [](const std::string&) { return true; },
                      {}};
    std::unique_ptr<gateway::attempt> request;
};

} // namespace

BOOST_AUTO_TEST_SUITE(stale_connection_suite)

// Guards against blaming the backend server for a kept connection that it closes in good order.
BOOST_AUTO_TEST_CASE(reused_connection_closed_without_an_answer_is_stale)
{
    kept_connection_fixture it;
    it.start();
    it.read_request();
    it.close_peer();
    run_main_loop();
    BOOST_REQUIRE(it.fault.has_value());
    BOOST_TEST((*it.fault == gateway::attempt_fault::stale));
    BOOST_TEST(it.pool.stale_connections() == 1U);
}

// Guards against the same if the backend server closes without reading the request, which resets
// the connection.
BOOST_AUTO_TEST_CASE(reused_connection_reset_without_an_answer_is_stale)
{
    kept_connection_fixture it;
    it.start();
    it.close_peer();
    run_main_loop();
    BOOST_REQUIRE(it.fault.has_value());
    BOOST_TEST((*it.fault == gateway::attempt_fault::stale));
}

// Guards against excusing a backend server that crashes while it works on a request.
BOOST_AUTO_TEST_CASE(reused_connection_that_ends_late_is_silent)
{
    kept_connection_fixture it;
    it.start();
    it.read_request();
    it.timers.run_for(backend_pool_settings{}.stale_window + millis{1});
    it.close_peer();
    run_main_loop();
    BOOST_REQUIRE(it.fault.has_value());
    BOOST_TEST((*it.fault == gateway::attempt_fault::silent));
    BOOST_TEST(it.pool.stale_connections() == 0U);
}

// Guards against excusing a backend server that closes a new connection without an answer.
BOOST_AUTO_TEST_CASE(new_connection_closed_without_an_answer_is_silent)
{
    kept_connection_fixture it;
    it.max_connections = 0;
    it.start(true);
    BOOST_TEST(it.server.accept_and_close() == 1U);
    run_main_loop();
    BOOST_REQUIRE(it.fault.has_value());
    BOOST_TEST((*it.fault == gateway::attempt_fault::silent));
    BOOST_TEST(it.pool.stale_connections() == 0U);
}

// Guards against retrying on a new connection an answer that has begun on a reused one.
BOOST_AUTO_TEST_CASE(reused_connection_closed_inside_an_answer_is_broken)
{
    kept_connection_fixture it;
    it.start();
    it.read_request();
    BOOST_REQUIRE(::send(it.peer, "HTTP", 4, MSG_NOSIGNAL) == 4);
    it.close_peer();
    run_main_loop();
    BOOST_REQUIRE(it.fault.has_value());
    BOOST_TEST((*it.fault == gateway::attempt_fault::broken));
}

// Guards against sending a request on a kept connection whose end has arrived but has not been
// read.
BOOST_AUTO_TEST_CASE(closed_connection_is_not_reused)
{
    kept_connection_fixture it;
    it.close_peer();
    it.start();
    BOOST_TEST(!it.fault.has_value());
    BOOST_TEST(it.server.receive() == request_head);
}

// Guards against taking a request for sent because the connection had carried another one.
BOOST_AUTO_TEST_CASE(request_on_a_connection_that_closes_before_it_is_written_is_not_sent)
{
    kept_connection_fixture it;
    it.begin();
    it.close_peer();
    run_main_loop();
    BOOST_REQUIRE(it.fault.has_value());
    BOOST_TEST((*it.fault == gateway::attempt_fault::stale_unsent));
}

// Guards against a request that finds no room because kept connections use the limit.
BOOST_AUTO_TEST_CASE(new_connection_replaces_a_kept_one_at_the_limit)
{
    kept_connection_fixture it;
    it.start(true);
    BOOST_TEST(!it.fault.has_value());
    BOOST_TEST(it.server.receive() == request_head);
    BOOST_TEST(it.pool.idle_connections() == 0U);
}

// Guards against sending request after request on connections that their backend server closes
// after one answer.
BOOST_AUTO_TEST_CASE(connections_are_not_kept_after_stale_ones_in_a_row)
{
    kept_connection_fixture it;
    it.max_connections = 0;
    for (int n = 0; n < 2; ++n) {
        it.start();
        it.close_peer();
        run_main_loop();
        BOOST_REQUIRE((it.fault == gateway::attempt_fault::stale));
        it.timers.run_for(millis{1});
        it.fault.reset();
        it.start(true);
        it.peer = it.server.accept();
        it.answer();
        BOOST_TEST(it.pool.idle_connections() == (n == 0 ? 1U : 0U));
    }
    it.close_peer();
    it.timers.run_for(it.longest_pause);
    it.start();
    it.peer = it.server.accept();
    it.answer();
    BOOST_TEST(it.pool.idle_connections() == 1U);
}

// Guards against opening connections while a kept one is open.
BOOST_AUTO_TEST_CASE(open_connection_is_reused)
{
    kept_connection_fixture it;
    it.start();
    it.answer();
    BOOST_TEST(it.completed == 2U);
    BOOST_TEST(it.pool.opened_connections() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
