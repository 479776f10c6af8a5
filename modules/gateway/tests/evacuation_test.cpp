/// Tests of evacuations: the replicated state, the directory, and requests.

#include "hickorypost/gateway/control_state.h"
#include "hickorypost/replog/types.h"
#include "hickorypost/wire/codec.h"
#include "one_gateway.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::testing;

void apply(control_state& to, control_kind kind, const std::string& domain)
{
    control_command command;
    command.kind = kind;
    command.failure_domain = domain;
    replog::entry entry;
    entry.data = wire::encode(command);
    to.apply(entry);
}

/// The fields of `site_state` in releases without evacuations.
struct earlier_state {
    std::uint64_t config_version = 0;
    std::string config_packed;
    std::map<std::string, rollout_status> rollouts;
    std::uint64_t revision = 0;
    std::map<std::string, service_versions> versions;
};

backend_record heartbeat(const std::string& id, const std::string& domain, std::uint64_t sequence,
                         std::uint64_t cold_ms)
{
    return {id, "app", id + ":1", domain, "v1", 4, backend_state::ready, cold_ms, sequence};
}

} // namespace

BOOST_AUTO_TEST_SUITE(evacuation)

// Guards against an order that is sent again, or by two operators, and has another effect then.
BOOST_AUTO_TEST_CASE(repeated_order_changes_nothing)
{
    control_state it;
    apply(it, control_kind::begin_evacuation, "d2");
    apply(it, control_kind::begin_evacuation, "d1");
    const auto revision = it.state().revision;
    apply(it, control_kind::begin_evacuation, "d2");
    apply(it, control_kind::end_evacuation, "d3");
    BOOST_TEST(it.state().revision == revision);
    BOOST_TEST(it.state().evacuated_domains == (std::vector<std::string>{"d1", "d2"}),
               boost::test_tools::per_element());
    apply(it, control_kind::end_evacuation, "d1");
    BOOST_TEST(it.state().revision == revision + 1);
    BOOST_TEST(it.state().evacuated_domains == std::vector<std::string>{"d2"},
               boost::test_tools::per_element());
}

// Guards against evacuations that a snapshot loses, and snapshots of earlier releases that cannot
// be read.
BOOST_AUTO_TEST_CASE(snapshot_keeps_evacuations_and_earlier_ones_are_read)
{
    control_state it;
    apply(it, control_kind::begin_evacuation, "d1");
    control_state restored;
    restored.load(it.save());
    BOOST_TEST(restored.state().evacuated_domains.size() == 1U);
    BOOST_TEST(restored.state().revision == it.state().revision);

    earlier_state earlier;
    earlier.config_version = 7;
    earlier.revision = 9;
    restored.load(wire::encode(earlier));
    BOOST_TEST(restored.state().config_version == 7U);
    BOOST_TEST(restored.state().evacuated_domains.empty());
    const auto read_back = wire::try_decode<earlier_state>(it.save());
    BOOST_REQUIRE(read_back.has_value());
    BOOST_TEST(read_back->revision == it.state().revision);
}

// Guards against new work of any kind in an evacuated failure domain.
BOOST_AUTO_TEST_CASE(evacuated_domain_gets_no_attempts_and_running_ones_finish)
{
    one_gateway it;
    it.directory.take(heartbeat("other", "d2", 1, 0), it.timers.now);
    it.directory.set_evacuated({"d2"});
    for (int n = 0; n < 20; ++n) {
        it.ask(as_is);
        BOOST_REQUIRE(it.backends.last().target.backend != "other");
    }
    it.directory.set_evacuated({"d"});
    it.fault(attempt_fault::not_sent);
    BOOST_TEST(it.backends.last().target.backend == "other");
    it.directory.set_evacuated({"d", "d2"});
    it.answer(200, "fine");
    it.complete();
    BOOST_TEST(it.caller.status == 200U);
}

// Guards against dropping an answer for a larger model that no backend server may run any more.
BOOST_AUTO_TEST_CASE(answer_is_kept_if_all_domains_are_evacuated_meanwhile)
{
    one_gateway it;
    it.ask([](route_spec& route) { route.models = {"small", "large"}; });
    it.directory.set_evacuated({"d"});
    it.answer(200, "fine", true, 0.1);
    it.complete();
    BOOST_TEST(it.backends.attempts.size() == 1U);
    BOOST_TEST(it.caller.status == 200U);
}

// Guards against requests that wait for a backend server although none may get work.
BOOST_AUTO_TEST_CASE(request_is_rejected_at_once_if_all_domains_are_evacuated)
{
    one_gateway it;
    it.directory.set_evacuated({"d"});
    it.ask(as_is);
    BOOST_TEST(it.caller.status == 503U);
    BOOST_REQUIRE(it.records.size() == 1U);
    BOOST_TEST(it.records.back().total.count() == 0);
    BOOST_TEST(it.records.back().retry_after.value_or(millis{0}).count() >= 1000);
}

// Guards against a burst on backend servers that have become cold while their domain was evacuated.
BOOST_AUTO_TEST_CASE(backends_are_assumed_cold_after_an_evacuation_until_told_later)
{
    backend_directory it{{}};
    const instant start{millis{100'000}};
    it.take(heartbeat("b", "d", 1, 0), start);
    it.set_evacuated({"d", "e"});
    BOOST_TEST(it.is_fully_evacuated("app"));
    const auto ended = it.set_evacuated({"e"});
    BOOST_TEST(ended == std::vector<std::string>{"d"}, boost::test_tools::per_element());
    it.assume_cold("d", "app", start + millis{3000});
    // A heartbeat may have been sent before the backend server became cold.
    it.take(heartbeat("b", "d", 2, 0), start + millis{500});
    BOOST_TEST(backend_directory::is_cold(*it.find("b"), start + millis{2900}));
    BOOST_TEST(it.all(start + millis{1000}).front().cold_ms == 2000U);
    BOOST_TEST(!backend_directory::is_cold(*it.find("b"), start + millis{3000}));
}

// Guards against processes that consider a backend server cold, or warm, for ever because only the
// sequence numbers of its heartbeats reach them.
BOOST_AUTO_TEST_CASE(begin_and_end_of_a_warm_up_are_forwarded)
{
    using change = backend_directory::change;
    backend_directory it{{}};
    const instant start{millis{100'000}};
    it.take(heartbeat("b", "d", 1, 3000), start);
    BOOST_TEST((it.take(heartbeat("b", "d", 2, 1850), start + millis{1200}) == change::touched));
    BOOST_TEST(!backend_directory::is_cold(*it.find("b"), start + millis{3000}));
    BOOST_TEST((it.take(heartbeat("b", "d", 3, 0), start + millis{4000}) == change::touched));
    BOOST_TEST((it.take(heartbeat("b", "d", 4, 2900), start + millis{5200}) == change::changed));
    BOOST_TEST(backend_directory::is_cold(*it.find("b"), start + millis{8000}));
    BOOST_TEST((it.take(heartbeat("b", "d", 5, 0), start + millis{6400}) == change::changed));
    BOOST_TEST(!backend_directory::is_cold(*it.find("b"), start + millis{6400}));
}

BOOST_AUTO_TEST_SUITE_END()
