/// Tests of orders that reach the control log late.

#include "hickorypost/gateway/control_state.h"

#include "hickorypost/replog/types.h"
#include "hickorypost/wire/codec.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;

std::string apply(control_state& to, const control_command& command)
{
    replog::entry entry;
    entry.data = wire::encode(command);
    return to.apply(entry);
}

control_command rollout_to(const std::string& target,
                           std::optional<std::uint64_t> known_revision = std::nullopt)
{
    control_command out;
    out.kind = control_kind::begin_rollout;
    out.rollout = {"app", target, 20'000, rollout_phase::running, 0, 0, {}};
    out.known_revision = known_revision;
    return out;
}

control_command evacuation(control_kind kind, const std::string& domain,
                           std::optional<std::uint64_t> known_revision = std::nullopt)
{
    control_command out;
    out.kind = kind;
    out.failure_domain = domain;
    out.known_revision = known_revision;
    return out;
}

std::uint64_t revision_of(const control_state& it)
{
    return it.state().revision;
}

} // namespace

BOOST_AUTO_TEST_SUITE(control_state_suite)

// Guards against a roll-out that replaces a later one, as it was delayed between hosts.
BOOST_AUTO_TEST_CASE(rollout_order_that_misses_a_later_one_has_no_effect)
{
    control_state it;
    apply(it, rollout_to("v1", 0));
    const auto known = revision_of(it);
    BOOST_TEST(apply(it, rollout_to("v3", known)) == result_ok);
    const auto after = it.save();
    BOOST_TEST(apply(it, rollout_to("v2", known)) == result_superseded);
    BOOST_TEST(it.save() == after);
    BOOST_TEST(apply(it, rollout_to("v2", revision_of(it))) == result_ok);
    BOOST_TEST(it.state().rollouts.at("app").target == "v2");
}

// Guards against the refusal of an order that has taken effect and is sent again.
BOOST_AUTO_TEST_CASE(order_that_has_taken_effect_is_acknowledged_again)
{
    control_state it;
    for (const auto& command :
         {rollout_to("v2", 0), evacuation(control_kind::begin_evacuation, "d1", 0),
          evacuation(control_kind::end_evacuation, "d1", 2)}) {
        BOOST_TEST(apply(it, command) == result_ok);
        const auto after = it.save();
        BOOST_TEST(apply(it, command) == result_ok);
        BOOST_TEST(it.save() == after);
    }
}

// Guards against an evacuation that begins or ends again, as its order was delayed between hosts.
BOOST_AUTO_TEST_CASE(evacuation_order_that_misses_a_later_one_has_no_effect)
{
    control_state it;
    apply(it, evacuation(control_kind::begin_evacuation, "d1", 0));
    const auto begun = revision_of(it);
    apply(it, evacuation(control_kind::end_evacuation, "d1", begun));
    const auto ended = revision_of(it);
    BOOST_TEST(apply(it, evacuation(control_kind::begin_evacuation, "d1", begun)) ==
               result_superseded);
    apply(it, evacuation(control_kind::begin_evacuation, "d1", ended));
    BOOST_TEST(apply(it, evacuation(control_kind::end_evacuation, "d1", ended)) ==
               result_superseded);
    BOOST_TEST(it.state().evacuated_domains == std::vector<std::string>{"d1"},
               boost::test_tools::per_element());
}

// Guards against orders that are refused because of changes to other objects.
BOOST_AUTO_TEST_CASE(order_is_superseded_only_by_orders_for_the_same_object)
{
    control_state it;
    apply(it, rollout_to("v1", 0));
    const auto known = revision_of(it);
    control_command step;
    step.kind = control_kind::step_rollout;
    step.rollout = {"app", "v1", 20'000, rollout_phase::running, 10, 100, {}};
    apply(it, step);
    apply(it, evacuation(control_kind::begin_evacuation, "d1", known));
    control_command other = rollout_to("v9", known);
    other.rollout.service = "llm";
    apply(it, other);
    BOOST_TEST(revision_of(it) == known + 3);
    BOOST_TEST(apply(it, rollout_to("v2", known)) == result_ok);
}

// Guards against replicas that disagree on an order because one has its state from a snapshot.
BOOST_AUTO_TEST_CASE(snapshot_keeps_what_later_orders_are_checked_against)
{
    control_state it;
    apply(it, rollout_to("v1", 0));
    apply(it, evacuation(control_kind::begin_evacuation, "d1", 1));
    control_state restored;
    restored.load(it.save());
    for (auto* const replica : {&it, &restored}) {
        BOOST_TEST(apply(*replica, rollout_to("v2", 0)) == result_superseded);
        BOOST_TEST(apply(*replica, evacuation(control_kind::end_evacuation, "d1", 1)) ==
                   result_superseded);
    }
}

// Guards against a first configuration that is acknowledged and not kept, as its version is 0.
BOOST_AUTO_TEST_CASE(first_configuration_may_have_the_version_zero)
{
    control_command config;
    config.config_packed = "first";
    control_state it;
    BOOST_TEST(apply(it, config) == result_ok);
    BOOST_TEST(it.state().config_packed == "first");
    config.config_packed = "other";
    apply(it, config);
    BOOST_TEST(it.state().config_packed == "first");
    config.config_version = 1;
    apply(it, config);
    BOOST_TEST(it.state().config_packed == "other");
}

// Guards against orders of earlier releases, which name no revision, that have no effect.
BOOST_AUTO_TEST_CASE(order_without_a_known_revision_is_not_checked)
{
    control_state it;
    apply(it, rollout_to("v1"));
    BOOST_TEST(apply(it, rollout_to("v2")) == result_ok);
    BOOST_TEST(apply(it, evacuation(control_kind::begin_evacuation, "d1")) == result_ok);
    BOOST_TEST(apply(it, evacuation(control_kind::end_evacuation, "d1")) == result_ok);
    BOOST_TEST(revision_of(it) == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
