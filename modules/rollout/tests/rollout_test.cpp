#include "hickorypost/rollout/exposure_tracker.h"
#include "hickorypost/rollout/rollout_controller.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::rollout;

const model_version candidate{"m", "2"};
const model_version incumbent{"m", "1"};

/// A leading controller whose decisions are committed at once.
struct controller_fixture {
    records::records_state state;
    std::uint64_t index = 0;
    rollout_controller controller{{},
                                  [] { return std::int64_t{0}; },
                                  [this](const auto& it) {
                                      state.apply(++index, 0, {std::nullopt, it});
                                  }};
    instant now{millis{100'000}};
    std::uint64_t sequence = 0;

    controller_fixture()
    {
        submit("model", "m",
               R"({"schema":1,"kind":"model","name":"m","number":1,"default":"1",
                   "versions":[{"version":"1"},{"version":"2"}]})");
        submit("rollout", "r",
               R"({"schema":1,"kind":"rollout","name":"r","number":1,"model":"m","from":"1",
                   "to":"2","first_answers":10,"rated":false})");
        controller.start_leading(state, now);
        now += millis{11'000};
    }
    void submit(const std::string& kind, const std::string& name, const std::string& document)
    {
        records::record_change change;
        change.change_id = kind;
        change.kind = kind;
        change.name = name;
        change.number = 1;
        change.document = document;
        state.apply(++index, 0, {change, std::nullopt});
    }
    /// Reports answers of both versions and returns the number of answers granted.
    std::uint64_t report(std::uint64_t answers, std::uint64_t errors)
    {
        wire::exposure_request request;
        request.sequence = ++sequence;
        request.evidence.push_back({candidate, answers, errors});
        request.evidence.push_back({incumbent, 100, 1});
        controller.follow(state);
        const auto grant = controller.take("e1", request, now);
        return grant.leases.empty() ? 0 : grant.leases.front().answers;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(rollout)

// An entry requests grants repeatedly without reporting any answer: the answers granted must not
// exceed the bound.
BOOST_AUTO_TEST_CASE(unjudged_answers_never_exceed_the_bound)
{
    controller_fixture it;
    std::uint64_t granted = 0;
    for (int n = 0; n < 50; ++n) {
        granted += it.report(0, 0);
    }
    BOOST_TEST(granted == 10U);
}

BOOST_AUTO_TEST_CASE(a_bad_version_is_halted_and_withdrawn)
{
    controller_fixture it;
    std::uint64_t open = 0;
    for (int n = 0; n < 40; ++n) {
        open = it.report(open, open);
    }
    BOOST_TEST((it.state.progress_of("r")->state == records::rollout_state::halted));
    BOOST_TEST(it.state.withdrawn(candidate));
    BOOST_TEST(it.state.current_version("m") == "1");
    BOOST_TEST(it.report(0, 0) == 0U);
}

BOOST_AUTO_TEST_CASE(a_good_version_completes)
{
    controller_fixture it;
    std::uint64_t open = 0;
    for (int n = 0; n < 100; ++n) {
        open = it.report(open, 0);
    }
    BOOST_TEST(it.state.current_version("m") == "2");
}

// The leader fails during a roll-out. The next leader knows only the reserved maximum of granted
// answers: it must wait until all grants have expired and start with the smallest bound.
BOOST_AUTO_TEST_CASE(a_new_leader_grants_nothing_until_old_grants_have_expired)
{
    controller_fixture it;
    it.report(0, 0);
    it.controller.start_leading(it.state, it.now);
    BOOST_TEST(it.report(0, 0) == 0U);
    it.now += millis{10'001};
    std::uint64_t granted = 0;
    for (int n = 0; n < 20; ++n) {
        granted += it.report(0, 0);
    }
    BOOST_TEST(granted <= 10U);
    BOOST_TEST(granted > 0U);
}

// The reply to an entry's report is lost and the entry sends the report again: its evidence must
// count once.
BOOST_AUTO_TEST_CASE(resent_evidence_counts_once)
{
    controller_fixture it;
    it.report(0, 0);
    it.report(5, 0);
    --it.sequence;
    it.report(5, 0);
    BOOST_TEST(it.controller.tracked_rollouts().at("r").candidate_errors.answers == 5U);
}

BOOST_AUTO_TEST_SUITE_END()
