/// Listeners of a host whose address is taken.

#include "gateway/caller_server.h"

#include "fakes.h"
#include "hickorypost/net/listen_error.h"
#include "loopback_listener.h"

#include <boost/test/unit_test.hpp>
#include <cerrno>

namespace {

using namespace hickorypost;
using namespace hickorypost::testing;

/// A server whose address another socket holds at first.
class waiting_server {
public:
    waiting_server()
    {
        server = caller_server::open(
            poller_, timers_, [this] { return timers_.now; }, other.address(),
            {.limits = [] { return gateway::caller_limits{}; },
             .handle = [](const incoming_request&) { return nullptr; },
             .listen_failed = [this](int error) { failures.push_back(error); },
             .listen_recovered = [this](millis waited) { waits.push_back(waited); }});
    }
    void run_for(millis time)
    {
        for (millis left = time; left > millis{0}; left -= millis{50}) {
            timers_.run_for(millis{50});
            run_main_loop();
        }
    }

private:
    net::poller poller_;
    fake_scheduler timers_;

public:
    loopback_listener other;
    std::vector<int> failures;
    std::vector<millis> waits;
    std::unique_ptr<caller_server> server;
};

} // namespace

BOOST_AUTO_TEST_SUITE(listen_retry)

// Guards against a host that ends because another process holds an address for a moment.
BOOST_AUTO_TEST_CASE(server_waits_for_an_address_that_is_taken)
{
    waiting_server it;
    BOOST_REQUIRE(it.server);
    it.run_for(millis{1000});
    BOOST_TEST(it.server->accepts());
    BOOST_TEST(!it.server->has_listened());
    BOOST_TEST(it.server->waits_for_address());
    BOOST_TEST((it.failures == std::vector<int>{EADDRINUSE}));
    it.other.close();
    it.run_for(millis{200});
    BOOST_TEST(it.server->has_listened());
    BOOST_TEST(!it.server->waits_for_address());
    BOOST_REQUIRE(it.waits.size() == 1U);
    BOOST_TEST((it.waits.front() >= millis{1000} && it.waits.front() <= millis{1200}));
    BOOST_TEST(it.failures.size() == 1U);
}

// Guards against a host that takes an address after SIGTERM.
BOOST_AUTO_TEST_CASE(server_that_was_stopped_no_longer_waits_for_its_address)
{
    waiting_server it;
    BOOST_REQUIRE(it.server);
    it.server->stop_accepting();
    it.other.close();
    it.run_for(millis{500});
    BOOST_TEST(!it.server->accepts());
    BOOST_TEST(!it.server->has_listened());
    BOOST_TEST(!it.server->waits_for_address());
    BOOST_TEST(it.waits.empty());
}

// Guards against a host that waits without end for an address that it can never listen on.
BOOST_AUTO_TEST_CASE(only_errors_that_pass_by_themselves_are_waited_for)
{
    for (const int error : {EADDRINUSE, EADDRNOTAVAIL, EMFILE, ENFILE, ENOBUFS, ENOMEM}) {
        BOOST_TEST(net::is_transient_listen_error(error));
    }
    for (const int error : {EACCES, EPERM, EINVAL, EAFNOSUPPORT}) {
        BOOST_TEST(!net::is_transient_listen_error(error));
    }
}

BOOST_AUTO_TEST_SUITE_END()
