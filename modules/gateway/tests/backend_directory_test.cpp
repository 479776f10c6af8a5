/// Tests restarts of backend servers under the same name, records of foreign senders, and failed
/// liveness probes.

#include "hickorypost/gateway/backend_directory.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;

const instant start{millis{100'000}};

backend_record heartbeat(const std::string& name, std::uint64_t born, std::uint64_t sequence,
                         const std::string& address = "h:1")
{
    backend_record out{incarnation_id(name, born), "app", address, "d", "v1", 4,
                       backend_state::ready,       0,     sequence};
    out.name = name;
    out.born = born;
    return out;
}

backend_record departure(const std::string& name, std::uint64_t born)
{
    backend_record out = heartbeat(name, born, 0);
    out.state = backend_state::gone;
    return out;
}

std::vector<std::string> usable(const backend_directory& it)
{
    std::vector<std::string> out;
    for (const auto* entry : it.usable("app", start)) {
        out.push_back(entry->record.id);
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(directory)

// A backend server crashes behind a network partition and restarts under the same name; its
// sequence numbers start again. Guards against treating both starts as one incarnation: the low
// sequence numbers would look stale, the backend server would stay unused for as long as it had run
// before, and requests on dead connections would wait for the silence timeout.
BOOST_AUTO_TEST_CASE(restart_under_the_same_name_replaces_the_older_incarnation)
{
    backend_directory it{{}};
    it.take(heartbeat("b", 1000, 50), start);
    BOOST_TEST((it.take(heartbeat("b", 2000, 1), start) == backend_directory::change::changed));
    BOOST_TEST(usable(it) == std::vector<std::string>{"b@2000"}, boost::test_tools::per_element());
    BOOST_TEST(it.take_superseded() == std::vector<std::string>{"b@1000"},
               boost::test_tools::per_element());
    BOOST_TEST(it.take_superseded().empty());
}

// Heartbeats of an older incarnation were delayed and arrive after those of the new one. Guards
// against adding the dead incarnation, to which requests would be sent.
BOOST_AUTO_TEST_CASE(older_incarnation_is_ignored_even_if_never_known_before)
{
    backend_directory it{{}};
    it.take(heartbeat("b", 2000, 1), start);
    for (std::uint64_t n = 50; n < 55; ++n) {
        BOOST_TEST((it.take(heartbeat("b", 1000, n), start) == backend_directory::change::none));
    }
    it.take(departure("b", 1000), start);
    BOOST_TEST(usable(it) == std::vector<std::string>{"b@2000"}, boost::test_tools::per_element());
}

// Guards against a tombstone of one incarnation that blocks the next one under the same name.
BOOST_AUTO_TEST_CASE(backend_server_that_left_is_used_after_a_restart)
{
    backend_directory it{{}};
    it.take(heartbeat("b", 1000, 5), start);
    it.take(departure("b", 1000), start);
    BOOST_TEST(usable(it).empty());
    it.take(heartbeat("b", 2000, 1), start);
    BOOST_TEST(usable(it) == std::vector<std::string>{"b@2000"}, boost::test_tools::per_element());
}

// A departure without a start time arrives after the backend server has restarted. It takes effect,
// because it may be current, until two further heartbeats refute it.
BOOST_AUTO_TEST_CASE(departure_announced_by_name_only_is_refuted_by_further_heartbeats)
{
    backend_directory it{{}};
    it.take(heartbeat("b", 2000, 1), start);
    it.take(departure("b", 0), start);
    BOOST_TEST(usable(it).empty());
    it.take(heartbeat("b", 2000, 2), start);
    BOOST_TEST(usable(it).empty());
    it.take(heartbeat("b", 2000, 3), start);
    BOOST_TEST(usable(it) == std::vector<std::string>{"b@2000"}, boost::test_tools::per_element());
}

/// The directory of a host that has just started and got the state of another one.
backend_directory restarted_beside(const backend_directory& other)
{
    backend_directory out{{}};
    for (const auto& record : other.all(start)) {
        out.take(record, start);
    }
    return out;
}

// Guards against requests to a backend server that has left, from a host that restarts before a
// late heartbeat of it arrives.
BOOST_AUTO_TEST_CASE(restarted_host_knows_a_departure_announced_by_name_only)
{
    backend_directory other{{}};
    other.take(heartbeat("b", 2000, 5), start);
    other.take(departure("b", 0), start);
    auto it = restarted_beside(other);
    it.take(heartbeat("b", 2000, 5), start);
    it.take(heartbeat("b", 2000, 6), start); // sent before the departure, arrives late
    BOOST_TEST(usable(it).empty());
    it.take(heartbeat("b", 2000, 7), start);
    BOOST_TEST(usable(it) == std::vector<std::string>{"b@2000"}, boost::test_tools::per_element());
}

// Guards against the same if the departure itself arrives before the host knows the backend server.
BOOST_AUTO_TEST_CASE(departure_by_name_of_an_unknown_backend_blocks_its_late_heartbeat)
{
    backend_directory it{{}};
    it.take(departure("b", 0), start);
    auto third = restarted_beside(it);
    for (auto* const host : {&it, &third}) {
        host->take(heartbeat("b", 2000, 6), start);
        BOOST_TEST(usable(*host).empty());
        host->take(heartbeat("b", 2000, 7), start);
        BOOST_TEST(usable(*host).size() == 1U);
    }
}

// Guards against a departure by name that removes the next incarnation on a host that has just
// started.
BOOST_AUTO_TEST_CASE(restarted_host_uses_the_incarnation_after_a_departure)
{
    backend_directory other{{}};
    other.take(heartbeat("b", 1000, 5), start);
    other.take(departure("b", 0), start);
    other.take(heartbeat("b", 2000, 1), start);
    BOOST_TEST(usable(other).size() == 1U);
    const auto it = restarted_beside(other);
    BOOST_TEST(usable(it) == std::vector<std::string>{"b@2000"}, boost::test_tools::per_element());
}

// A backend server that started later has taken the address. Guards against several delayed
// heartbeats of the former holder that take the address back.
BOOST_AUTO_TEST_CASE(address_stays_with_the_backend_server_that_started_last)
{
    backend_directory it{{}};
    it.take(heartbeat("new", 2000, 1), start);
    it.take(heartbeat("old", 1000, 7), start);
    it.take(heartbeat("old", 1000, 8), start);
    it.take(heartbeat("old", 1000, 9), start);
    BOOST_TEST(usable(it) == std::vector<std::string>{"new@2000"},
               boost::test_tools::per_element());
}

// A foreign sender uses a known id with another service. Guards against applying the record, after
// which the backend server would get no more work for its own service.
BOOST_AUTO_TEST_CASE(record_of_another_service_does_not_change_a_known_backend_server)
{
    backend_directory it{{}};
    it.take(heartbeat("b", 0, 1), start);
    auto foreign = heartbeat("b", 0, 9);
    foreign.service = "elsewhere";
    BOOST_TEST((it.take(foreign, start) == backend_directory::change::none));
    BOOST_TEST(usable(it) == std::vector<std::string>{"b"}, boost::test_tools::per_element());
}

// Records of three incarnations of one name reach several hosts out of order, with duplicates and
// losses. No host may use an incarnation older than the newest that it knows, and each host ends
// with the newest unless that has left.
RC_BOOST_PROP(only_the_newest_incarnation_is_used_in_any_order, ())
{
    struct delivery {
        backend_record record;
        bool leaves = false;
    };
    std::vector<delivery> all;
    for (const std::uint64_t born : {1000U, 2000U, 3000U}) {
        const auto heartbeats = *rc::gen::inRange<std::uint64_t>(1, 5);
        for (std::uint64_t n = 1; n <= heartbeats; ++n) {
            all.push_back({heartbeat("b", born, n), false});
        }
        if (*rc::gen::arbitrary<bool>()) {
            all.push_back({departure("b", born), true});
        }
    }
    constexpr int hosts = 4;
    for (int host = 0; host < hosts; ++host) {
        const auto order = *rc::gen::container<std::vector<std::size_t>>(
            rc::gen::inRange<std::size_t>(0, all.size()));
        backend_directory it{{}};
        std::uint64_t newest = 0;
        bool newest_left = false;
        std::vector<std::string> replaced;
        for (const auto n : order) {
            const delivery& next = all[n];
            it.take(next.record, start);
            for (auto& id : it.take_superseded()) {
                replaced.push_back(std::move(id));
            }
            if (next.record.born > newest) {
                newest = next.record.born;
                newest_left = false;
            }
            newest_left = newest_left || (next.leaves && next.record.born == newest);
            const auto expected = newest == 0 || newest_left
                                      ? std::vector<std::string>{}
                                      : std::vector{incarnation_id("b", newest)};
            RC_ASSERT(usable(it) == expected);
        }
        std::sort(replaced.begin(), replaced.end());
        RC_ASSERT(std::adjacent_find(replaced.begin(), replaced.end()) == replaced.end());
        RC_ASSERT(
            !std::binary_search(replaced.begin(), replaced.end(), incarnation_id("b", newest)));
    }
}

// An engine keeps its connections open but answers nothing. Each of a hundred processes sends to it
// only once in many seconds, so none would detect the failure in time from its own requests. Probe
// failures are shared instead: processes in the prober's failure domain avoid the engine at once,
// others after a failure in a second domain, and all use it again after its next heartbeat.
BOOST_AUTO_TEST_CASE(a_backend_server_that_others_found_silent_is_left_until_its_next_heartbeat)
{
    backend_directory it{{}, "a"};
    it.take(heartbeat("dark", 0, 5, "h:1"), start);
    it.take(heartbeat("sound", 0, 5, "h:2"), start);
    const std::vector<std::string> both{"dark", "sound"};
    const std::vector<std::string> sound_only{"sound"};
    BOOST_TEST(it.take_probe_failure("dark", 5, "b"));
    BOOST_TEST(!it.take_probe_failure("dark", 5, "b"));
    BOOST_TEST(usable(it) == both, boost::test_tools::per_element());
    BOOST_TEST(it.take_probe_failure("dark", 5, "c"));
    BOOST_TEST(usable(it) == sound_only, boost::test_tools::per_element());
    it.touch("dark", 6, start);
    BOOST_TEST(usable(it) == both, boost::test_tools::per_element());
    BOOST_TEST(it.take_probe_failure("dark", 6, "a"));
    BOOST_TEST(usable(it) == sound_only, boost::test_tools::per_element());
    it.take(heartbeat("dark", 0, 7, "h:1"), start);
    BOOST_TEST(usable(it) == both, boost::test_tools::per_element());
}

// A probe failure that arrives after a newer heartbeat is ignored. One that arrives before the
// heartbeat that it names holds until a newer heartbeat.
BOOST_AUTO_TEST_CASE(probe_failures_and_heartbeats_arrive_in_any_order)
{
    backend_directory it{{}, "a"};
    it.take(heartbeat("b", 0, 5), start);
    it.take(heartbeat("other", 0, 1, "h:2"), start);
    BOOST_TEST(!it.take_probe_failure("b", 4, "a"));
    BOOST_TEST(usable(it).size() == 2U);
    BOOST_TEST(it.take_probe_failure("b", 7, "a"));
    it.touch("b", 7, start);
    BOOST_TEST(usable(it).size() == 1U);
    it.touch("b", 8, start);
    BOOST_TEST(usable(it).size() == 2U);
}

// Probes of all backend servers have failed, for example because the network of the prober is
// partitioned. Guards against refusing requests although the backend servers may work.
BOOST_AUTO_TEST_CASE(backend_servers_with_failed_probes_are_used_where_no_other_is_left)
{
    backend_directory it{{}, "a"};
    it.take(heartbeat("b", 0, 5), start);
    it.take_probe_failure("b", 5, "a");
    BOOST_TEST(usable(it).size() == 1U);
}

// Guards against a backend server that says in an answer that it is leaving and gets work again
// because of a heartbeat that was sent before or says that it is ready.
BOOST_AUTO_TEST_CASE(later_heartbeats_do_not_undo_a_departure_told_in_an_answer)
{
    backend_directory it{{}};
    it.take(heartbeat("b", 1000, 5), start);
    BOOST_REQUIRE(it.mark_draining("b@1000") != nullptr);
    BOOST_TEST(it.mark_draining("b@1000") == nullptr);
    BOOST_TEST(it.mark_draining("unknown") == nullptr);
    BOOST_TEST(usable(it).empty());
    it.take(heartbeat("b", 1000, 6), start);
    it.touch("b@1000", 7, start);
    BOOST_TEST(usable(it).empty());
    it.take(heartbeat("b", 2000, 1), start);
    BOOST_TEST(usable(it) == std::vector<std::string>{"b@2000"}, boost::test_tools::per_element());
}

// Guards against other hosts that ignore such a departure as they know the same or a newer
// heartbeat.
BOOST_AUTO_TEST_CASE(departure_told_in_an_answer_reaches_hosts_with_newer_heartbeats)
{
    backend_directory teller{{}};
    teller.take(heartbeat("b", 1000, 5), start);
    const backend_record forwarded = *teller.mark_draining("b@1000");
    for (const std::uint64_t known : {4U, 5U, 6U}) {
        backend_directory it{{}};
        it.take(heartbeat("b", 1000, known), start);
        BOOST_TEST((it.take(forwarded, start) == backend_directory::change::changed));
        BOOST_TEST((it.take(forwarded, start) == backend_directory::change::none));
        BOOST_TEST(usable(it).empty());
        BOOST_TEST(it.find("b@1000")->record.sequence == std::max<std::uint64_t>(known, 5));
    }
}

BOOST_AUTO_TEST_SUITE_END()
