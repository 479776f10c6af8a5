#include "hickorypost/gateway/state_requests.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;

} // namespace

BOOST_AUTO_TEST_SUITE(state_requests_suite)

// Guards against a host that runs out of memory because a burst of changes queues one copy of the
// state for each change and host: 25 changes of 22 KB within 1.5 s to 128 hosts, over a link of
// 100 Mbit/s that all share.
BOOST_AUTO_TEST_CASE(burst_of_changes_queues_a_bounded_number_of_states)
{
    constexpr std::size_t hosts = 128;
    constexpr std::size_t changes = 25;
    constexpr double state_bytes = 22e3;
    constexpr double congested_bytes = 128e3;
    constexpr double bytes_per_step = 12.5e6 * 0.05; // in 50 ms
    constexpr double max_queued_bytes = 24e6;
    state_requests it;
    std::map<node_id, double> queued;
    std::map<node_id, std::size_t> newest;
    const auto congested = [&](const node_id& host) { return queued[host] > congested_bytes; };
    double most = 0;
    for (std::size_t step = 0; step < 200; ++step) {
        const std::size_t revision = std::min(step, changes);
        const auto send = [&](const node_id& host) {
            queued[host] += state_bytes;
            newest[host] = revision;
        };
        for (const auto& host : it.take_due(congested)) {
            send(host);
        }
        for (std::size_t n = 0; n < hosts; ++n) {
            const node_id host = "h" + std::to_string(n);
            if (step <= changes && it.ask(host, congested(host))) {
                send(host);
            }
        }
        double all = 0;
        for (auto& [host, bytes] : queued) {
            all += bytes;
            bytes = std::max(0.0, bytes - bytes_per_step / hosts);
        }
        most = std::max(most, all);
    }
    BOOST_TEST(most <= max_queued_bytes);
    for (const auto& [host, revision] : newest) {
        BOOST_TEST(revision == changes);
    }
}

// Guards against a request that is kept for a host that has gone.
BOOST_AUTO_TEST_CASE(host_that_has_gone_is_forgotten)
{
    state_requests it;
    BOOST_TEST(it.ask("h1", false));
    BOOST_TEST(!it.ask("h2", true));
    BOOST_TEST(!it.ask("h3", true));
    it.forget("h2");
    const auto due = it.take_due([](const node_id&) { return false; });
    BOOST_TEST(due == std::vector<node_id>{"h3"}, boost::test_tools::per_element());
    BOOST_TEST(it.take_due([](const node_id&) { return false; }).empty());
}

BOOST_AUTO_TEST_SUITE_END()
