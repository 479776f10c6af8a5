#include "gateway/backend_pool.h"

#include "fakes.h"
#include "loopback_listener.h"
#include "raw_server.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::testing;

const std::string kept_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A pool whose requests go to a listening socket, and the latest request.
class pool_site final : public gateway::attempt_events {
public:
    bool on_head(http1::response_head&) override { return true; }
    void on_body(std::string_view bytes) override { body.append(bytes); }
    void on_complete() override { ++completed; }
    void on_fault(gateway::attempt_fault how) override { fault = how; }

    void send_request(bool bodyless = false)
    {
        fault.reset();
        body.clear();
        request_.reset();
        request_ =
            pool_.start({"i-1", "127.0.0.1:" + std::to_string(server.address().port), "app", 0},
                        "GET / HTTP/1.1\r\n\r\n", {}, bodyless, *this);
    }

    /// Accepts a connection and reads the request on it.
    int accept_request()
    {
        run_main_loop();
        const int peer = server.accept();
        read_request(peer);
        return peer;
    }

    static std::size_t read_request(int peer)
    {
        std::array<char, 4096> buf{};
        return static_cast<std::size_t>(
            std::max<ssize_t>(::recv(peer, buf.data(), buf.size(), MSG_DONTWAIT), 0));
    }

    loopback_listener& server = shared_listener();
    std::string body;
    std::size_t completed = 0;
    std::optional<gateway::attempt_fault> fault;

private:
    net::poller poller_;
    fake_scheduler timers_;
    backend_pool pool_{poller_,
                       timers_,
                       [this] { return timers_.now; },
                       [](const std::string&) { return gateway::connection_use{}; },
                       {},
                       [](const std::string&) { return true; },
                       {}};
    std::unique_ptr<gateway::attempt> request_;
};

void send_bytes(int peer, std::string_view bytes)
{
    if (!bytes.empty()) {
        BOOST_REQUIRE(::send(peer, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0);
    }
}

void end(int peer, connection_end how)
{
    if (how == connection_end::reset) {
        const linger at_once{.l_onoff = 1, .l_linger = 0};
        ::setsockopt(peer, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    }
    ::close(peer);
}

struct answer_case {
    std::string head;
    std::string body;
    bool bodyless = false; ///< it answers HEAD
    bool until_close = false;
};

const std::vector<answer_case> cases{
    {"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", "twelve bytes"},
    {"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nConnection: close\r\n\r\n", "twelve bytes"},
    {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "6\r\ntwelve\r\n0\r\n\r\n"},
    {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "twelve", false, true},
    {"HTTP/1.1 204 No Content\r\nX: y\r\n\r\n", ""},
    {"HTTP/1.1 304 Not Modified\r\n\r\n", ""},
    {"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", "", true},
    {"HTTP/1.1 200 OK\r\n\r\n", "", false, true},
};

const std::vector<std::string> interims{
    "", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"};

} // namespace

BOOST_AUTO_TEST_SUITE(truncated_answer_suite)

// Guards against an answer that is complete for its caller although its head or body was cut short.
BOOST_AUTO_TEST_CASE(answer_cut_at_any_byte_is_broken)
{
    for (const auto& it : cases) {
        for (const auto& interim : interims) {
            const std::string whole = interim + it.head + it.body;
            for (const auto how : {connection_end::fin, connection_end::reset}) {
                // Without a length any part of the body is a body, unless the connection is reset.
                const bool any_body = it.until_close && how == connection_end::fin;
                const std::size_t needed = any_body ? whole.size() - it.body.size() : whole.size();
                for (std::size_t n = 0; n < needed; ++n) {
                    pool_site site;
                    site.send_request(it.bodyless);
                    const int peer = site.accept_request();
                    send_bytes(peer, std::string_view{whole}.substr(0, n));
                    end(peer, how);
                    run_main_loop();
                    const auto text = whole.substr(0, n) + "| ended by " + name_of(how);
                    BOOST_TEST(site.completed == 0U, text);
                    BOOST_TEST((site.fault == (n == 0 ? gateway::attempt_fault::silent
                                                      : gateway::attempt_fault::broken)),
                               text);
                }
            }
        }
    }
}

// Guards against failing whole answers.
BOOST_AUTO_TEST_CASE(whole_answer_is_complete)
{
    for (const auto& it : cases) {
        for (const auto& interim : interims) {
            pool_site site;
            site.send_request(it.bodyless);
            const int peer = site.accept_request();
            send_bytes(peer, interim + it.head + it.body);
            end(peer, connection_end::fin);
            run_main_loop();
            BOOST_TEST(site.completed == 1U, interim + it.head);
            BOOST_TEST(!site.fault.has_value(), interim + it.head);
        }
    }
}

// Guards against an answer that is made of what followed the answer before on its connection.
BOOST_AUTO_TEST_CASE(bytes_after_an_answer_never_answer_the_next_request)
{
    const std::string late = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate";
    for (std::size_t n = 1; n <= late.size(); ++n) {
        for (const bool come_together : {true, false}) {
            pool_site site;
            site.send_request();
            const int peer = site.accept_request();
            send_bytes(peer, kept_answer + (come_together ? late.substr(0, n) : ""));
            run_main_loop();
            BOOST_REQUIRE(site.completed == 1U);
            if (!come_together) {
                send_bytes(peer, late.substr(0, n)); // not read yet when the next request begins
            }
            site.send_request();
            run_main_loop();
            BOOST_TEST(site.completed == 1U, late.substr(0, n));
            BOOST_TEST(site.body.empty(), late.substr(0, n));
            const int next = site.accept_request();
            BOOST_TEST(next >= 0, late.substr(0, n));
            if (next >= 0) {
                send_bytes(next, kept_answer);
                run_main_loop();
                BOOST_TEST(site.completed == 2U);
                BOOST_TEST(site.body == "ok");
                ::close(next);
            }
            ::close(peer);
        }
    }
}

// Guards against a request that gets no answer because the backend server had closed the idle
// connection that it was sent on.
BOOST_AUTO_TEST_CASE(request_is_not_sent_on_a_connection_that_has_ended)
{
    for (const auto how : {connection_end::fin, connection_end::reset}) {
        pool_site site;
        site.send_request();
        const int peer = site.accept_request();
        send_bytes(peer, kept_answer);
        run_main_loop();
        BOOST_REQUIRE(site.completed == 1U);
        end(peer, how);
        site.send_request();
        const int next = site.accept_request();
        BOOST_TEST(next >= 0, name_of(how));
        BOOST_TEST(!site.fault.has_value(), name_of(how));
        BOOST_TEST((site.fault != gateway::attempt_fault::silent), name_of(how));
        if (next >= 0) {
            send_bytes(next, kept_answer);
            run_main_loop();
            BOOST_TEST(site.completed == 2U, name_of(how));
            ::close(next);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
