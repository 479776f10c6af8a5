#include "hickorypost/gateway/state_fetch.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <vector>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;

const instant start{millis{1000}};

/// The largest number of copies of one revision that a host sends if `hosts` hosts without a
/// replica learn of it from ten hosts with one in five failure domains.
std::size_t most_copies(std::size_t hosts)
{
    constexpr std::size_t domains = 5;
    constexpr std::size_t replicas = 10;
    std::map<std::string, std::size_t> copies;
    for (std::size_t n = 0; n < hosts; ++n) {
        state_fetch it{{}};
        for (std::size_t replica = 0; replica < replicas; ++replica) {
            const instant now = start + millis{replica};
            it.announced("r" + std::to_string(replica), replica % domains == n % domains, 7);
            if (const auto host = it.take_due(6, true, now)) {
                ++copies[*host];
            }
        }
    }
    std::size_t most = 0;
    for (const auto& [host, count] : copies) {
        most = std::max(most, count);
    }
    return most;
}

} // namespace

BOOST_AUTO_TEST_SUITE(state_fetch_suite)

// Guards against a leader that sends every change to all hosts.
BOOST_AUTO_TEST_CASE(hosts_fetch_a_change_within_their_failure_domain)
{
    BOOST_TEST(most_copies(100) <= 100U / 5);
    BOOST_TEST(most_copies(1000) <= 1000U / 5);
}

// Guards against hosts that never get a change that only hosts in other failure domains have.
BOOST_AUTO_TEST_CASE(change_known_in_other_domains_only_is_fetched_after_a_short_delay)
{
    state_fetch it{{}};
    it.announced("remote", false, 7);
    BOOST_TEST(!it.take_due(6, true, start));
    BOOST_TEST(it.take_due(6, true, start + millis{100}).value_or("") == "remote");
    it.announced("remote", false, 8);
    BOOST_TEST(it.take_due(7, false, start + millis{200}).value_or("") == "remote");
}

// Guards against hosts that get no change while changes come faster than their failure domain has
// them.
BOOST_AUTO_TEST_CASE(changes_in_quick_succession_are_fetched_from_a_domain_that_lags)
{
    state_fetch it{{}};
    std::uint64_t own = 0;
    for (std::uint64_t revision = 1; revision <= 20; ++revision) {
        const instant now = start + millis{revision * 50};
        it.announced("leader", false, revision);
        (void)it.take_due(own, true, now);
        it.announced("local", true, revision - 1);
        own = it.take_due(own, true, now) ? revision - 1 : own;
    }
    BOOST_TEST(own >= 15U);
    state_fetch without_replica{{}};
    own = 0;
    for (std::uint64_t revision = 1; revision <= 20; ++revision) {
        without_replica.announced("leader", false, revision);
        own = without_replica.take_due(own, true, start + millis{revision * 50}) ? revision : own;
    }
    BOOST_TEST(own >= 10U);
}

// Guards against waiting for a host that does not answer.
BOOST_AUTO_TEST_CASE(another_host_is_asked_if_the_first_does_not_answer)
{
    state_fetch it{{}};
    it.announced("local", true, 7);
    it.announced("remote", false, 7);
    BOOST_TEST(it.take_due(6, true, start).value_or("") == "local");
    BOOST_TEST(!it.take_due(6, true, start + millis{399}));
    BOOST_TEST(it.take_due(6, true, start + millis{400}).value_or("") == "remote");
    BOOST_TEST(it.take_due(6, true, start + millis{800}).value_or("") == "local");
    BOOST_TEST(!it.take_due(7, true, start + millis{1200}));
}

// Guards against transferring a configuration that has been replaced meanwhile.
BOOST_AUTO_TEST_CASE(only_the_newest_revision_is_fetched)
{
    state_fetch it{{}};
    it.announced("local", true, 7);
    it.announced("local", true, 8);
    it.announced("late", true, 7);
    BOOST_TEST(it.take_due(6, true, start).value_or("") == "local");
    BOOST_TEST(!it.take_due(6, true, start));
}

BOOST_AUTO_TEST_SUITE_END()
