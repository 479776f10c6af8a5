/// Backend servers that start again under the name they had, and records that a foreign writer
/// made.

#include "hickorypost/gateway/backend_directory.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;

const instant start{millis{100'000}};

backend_record beat(const std::string& name, std::uint64_t born, std::uint64_t sequence,
                    const std::string& address = "h:1")
{
    backend_record out{incarnation_id(name, born), "app", address, "d", "v1", 4,
                       backend_state::ready,       0,     sequence};
    out.name = name;
    out.born = born;
    return out;
}

backend_record leaving(const std::string& name, std::uint64_t born)
{
    backend_record out = beat(name, born, 0);
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

// A backend server crashes behind a cut and starts again under its name with counts that begin
// anew. Read as one incarnation, its low sequence numbers look late, it stays unused for as long as
// it had run before, and requests on the dead connections wait for their silence to be noticed.
BOOST_AUTO_TEST_CASE(a_start_under_the_same_name_replaces_the_one_before_at_once)
{
    backend_directory it{{}};
    it.take(beat("b", 1000, 50), start);
    BOOST_TEST((it.take(beat("b", 2000, 1), start) == backend_directory::change::changed));
    BOOST_TEST(usable(it) == std::vector<std::string>{"b@2000"}, boost::test_tools::per_element());
    BOOST_TEST(it.take_superseded() == std::vector<std::string>{"b@1000"},
               boost::test_tools::per_element());
    BOOST_TEST(it.take_superseded().empty());
}

// A heartbeat of the start before was held up by the cut and arrives after the new one's. Taken, it
// would bring back a dead incarnation, and requests would be sent to it.
BOOST_AUTO_TEST_CASE(an_older_start_changes_nothing_even_where_it_was_never_known)
{
    backend_directory it{{}};
    it.take(beat("b", 2000, 1), start);
    for (std::uint64_t n = 50; n < 55; ++n) {
        BOOST_TEST((it.take(beat("b", 1000, n), start) == backend_directory::change::none));
    }
    it.take(leaving("b", 1000), start);
    BOOST_TEST(usable(it) == std::vector<std::string>{"b@2000"}, boost::test_tools::per_element());
}

// One that left for good and began again is new: what is remembered of its leaving is the start's.
BOOST_AUTO_TEST_CASE(one_that_left_and_started_again_is_used)
{
    backend_directory it{{}};
    it.take(beat("b", 1000, 5), start);
    it.take(leaving("b", 1000), start);
    BOOST_TEST(usable(it).empty());
    it.take(beat("b", 2000, 1), start);
    BOOST_TEST(usable(it) == std::vector<std::string>{"b@2000"}, boost::test_tools::per_element());
}

// Word of leaving that names no start comes late, after the backend server has started again. It is
// obeyed, as it may be true; a start that goes on with heartbeats is there.
BOOST_AUTO_TEST_CASE(a_leaving_told_by_name_alone_is_refuted_by_heartbeats_that_go_on)
{
    backend_directory it{{}};
    it.take(beat("b", 2000, 1), start);
    it.take(leaving("b", 0), start);
    BOOST_TEST(usable(it).empty());
    it.take(beat("b", 2000, 2), start);
    BOOST_TEST(usable(it).empty());
    it.take(beat("b", 2000, 3), start);
    BOOST_TEST(usable(it) == std::vector<std::string>{"b@2000"}, boost::test_tools::per_element());
}

// Its address went to another backend server, which began later. Heartbeats of the dead one come
// late, more than one of them.
BOOST_AUTO_TEST_CASE(an_address_stays_with_the_backend_server_that_began_last)
{
    backend_directory it{{}};
    it.take(beat("new", 2000, 1), start);
    it.take(beat("old", 1000, 7), start);
    it.take(beat("old", 1000, 8), start);
    it.take(beat("old", 1000, 9), start);
    BOOST_TEST(usable(it) == std::vector<std::string>{"new@2000"},
               boost::test_tools::per_element());
}

// A foreign writer tells under a known id of another service. Taken over, the backend server would
// get no more work of its own.
BOOST_AUTO_TEST_CASE(a_record_of_another_service_takes_no_known_backend_server_over)
{
    backend_directory it{{}};
    it.take(beat("b", 0, 1), start);
    auto foreign = beat("b", 0, 9);
    foreign.service = "elsewhere";
    BOOST_TEST((it.take(foreign, start) == backend_directory::change::none));
    BOOST_TEST(usable(it) == std::vector<std::string>{"b"}, boost::test_tools::per_element());
}

// News of three starts of one name reaches several hosts in any order, some of it twice, some not
// at all. No host ever uses a start older than the newest it has heard of, and each ends with the
// newest unless that has left.
RC_BOOST_PROP(whatever_the_order_only_the_newest_start_counts, ())
{
    struct news {
        backend_record record;
        bool leaves = false;
    };
    std::vector<news> all;
    for (const std::uint64_t born : {1000U, 2000U, 3000U}) {
        const auto beats = *rc::gen::inRange<std::uint64_t>(1, 5);
        for (std::uint64_t n = 1; n <= beats; ++n) {
            all.push_back({beat("b", born, n), false});
        }
        if (*rc::gen::arbitrary<bool>()) {
            all.push_back({leaving("b", born), true});
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
            const news& next = all[n];
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

// An engine goes dark: it keeps its connections and answers nothing. Each of a hundred processes
// meets it once in many seconds, so its own requests would teach it nothing in time. One that got
// no sign of life says so; processes of its failure domain leave the engine at once, others when a
// second domain says the same, and all come back with its next heartbeat.
BOOST_AUTO_TEST_CASE(a_backend_server_that_others_found_silent_is_left_until_its_next_heartbeat)
{
    backend_directory it{{}, "a"};
    it.take(beat("dark", 0, 5, "h:1"), start);
    it.take(beat("sound", 0, 5, "h:2"), start);
    const std::vector<std::string> both{"dark", "sound"};
    const std::vector<std::string> one{"sound"};
    BOOST_TEST(it.take_probe_failure("dark", 5, "b"));
    BOOST_TEST(!it.take_probe_failure("dark", 5, "b"));
    BOOST_TEST(usable(it) == both, boost::test_tools::per_element());
    BOOST_TEST(it.take_probe_failure("dark", 5, "c"));
    BOOST_TEST(usable(it) == one, boost::test_tools::per_element());
    it.touch("dark", 6, start);
    BOOST_TEST(usable(it) == both, boost::test_tools::per_element());
    BOOST_TEST(it.take_probe_failure("dark", 6, "a"));
    BOOST_TEST(usable(it) == one, boost::test_tools::per_element());
    it.take(beat("dark", 0, 7, "h:1"), start);
    BOOST_TEST(usable(it) == both, boost::test_tools::per_element());
}

// Word of silence comes late, after a newer heartbeat, and early, before the heartbeat that it
// names has come. The one says nothing; the other holds until a newer one.
BOOST_AUTO_TEST_CASE(doubts_and_heartbeats_come_in_any_order)
{
    backend_directory it{{}, "a"};
    it.take(beat("b", 0, 5), start);
    it.take(beat("other", 0, 1, "h:2"), start);
    BOOST_TEST(!it.take_probe_failure("b", 4, "a"));
    BOOST_TEST(usable(it).size() == 2U);
    BOOST_TEST(it.take_probe_failure("b", 7, "a"));
    it.touch("b", 7, start);
    BOOST_TEST(usable(it).size() == 1U);
    it.touch("b", 8, start);
    BOOST_TEST(usable(it).size() == 2U);
}

// All engines are doubted, as from a process that is cut off from everything. They are used as
// before: there is nothing better.
BOOST_AUTO_TEST_CASE(doubted_backend_servers_are_used_where_no_other_is_left)
{
    backend_directory it{{}, "a"};
    it.take(beat("b", 0, 5), start);
    it.take_probe_failure("b", 5, "a");
    BOOST_TEST(usable(it).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
