#include "hickorypost/gateway/rollout_view.h"

#include "hickorypost/replog/types.h"
#include "hickorypost/wire/codec.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;

const instant start{millis{100'000}};

/// A gateway host with its backend directory and its copy of the control log's state.
struct test_host {
    control_state control;
    backend_directory directory{{}};
    rollout_view view{seeded_random_fn(1), millis{10'000}};
    instant now = start;

    void register_backend(const std::string& id, const std::string& version,
                          const std::string& service = "llm")
    {
        directory.take({id, service, "h:" + id, "d", version, 4, backend_state::ready, 0, 1}, now);
    }
    void apply(const control_command& command)
    {
        replog::entry entry;
        entry.data = wire::encode(command);
        control.apply(entry);
        follow(control.state());
    }
    void follow(const site_state& state)
    {
        view.set_versions(state.versions);
        view.follow(state.rollouts, now);
    }
    void set_incumbent(const std::string& version, const std::string& service = "llm")
    {
        control_command command;
        command.kind = control_kind::set_incumbent;
        command.incumbent = {service, version};
        apply(command);
    }
    void begin_rollout(const std::string& target, const std::string& service = "llm")
    {
        control_command command;
        command.kind = control_kind::begin_rollout;
        command.rollout = {service, target, 20'000, rollout_phase::running, 0, 0, {}};
        apply(command);
    }
    void step(const std::string& target, rollout_phase phase, std::uint32_t share_permille,
              std::uint64_t elapsed_ms, const std::string& service = "llm")
    {
        control_command command;
        command.kind = control_kind::step_rollout;
        command.rollout = {service, target, 20'000, phase, share_permille, elapsed_ms, {}};
        apply(command);
    }
    /// Takes the committed state and the newly pinned sessions of another host.
    void sync_from(test_host& other)
    {
        follow(other.control.state());
        view.pin(other.view.take_pinned(now), now);
    }
    /// The version that a request of this session goes to; empty if no backend server may get it.
    std::string version_for(const std::string& session, const std::string& service = "llm")
    {
        auto candidates = directory.usable(service, now);
        view.choose_version(service, session, candidates, now);
        return candidates.empty() ? std::string{} : candidates.front()->record.version;
    }
    /// Sends one request for each of 400 sessions and counts those that go to this version.
    std::size_t count_sessions_on(const std::string& version, const std::string& prefix)
    {
        std::size_t out = 0;
        for (int n = 0; n < 400; ++n) {
            out += version_for(prefix + std::to_string(n)) == version ? 1U : 0U;
        }
        return out;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(rollout_view_suite)

// Guards against sending requests to a rolled-back version once the next roll-out begins.
BOOST_AUTO_TEST_CASE(rolled_back_version_gets_no_request_during_the_next_rollout)
{
    test_host it;
    it.register_backend("b-old", "v1");
    it.register_backend("a-bad", "v2");
    it.begin_rollout("v2");
    it.step("v2", rollout_phase::rolled_back, 0, 3000);
    it.register_backend("c-new", "v3");
    it.begin_rollout("v3");
    BOOST_TEST(it.count_sessions_on("v2", "ordered") == 0U);
    it.step("v3", rollout_phase::running, 300, 600);
    it.now += millis{2000};
    BOOST_TEST(it.count_sessions_on("v2", "trial") == 0U);
    BOOST_TEST(it.count_sessions_on("v3", "trial") > 60U);
    // Not even if no other version is left.
    it.directory.remove("b-old", it.now);
    it.directory.remove("c-new", it.now);
    BOOST_TEST(it.version_for("last") == "");
}

// Guards against sending requests to a version whose trial was replaced by another roll-out.
BOOST_AUTO_TEST_CASE(version_replaced_by_another_rollout_gets_no_request)
{
    test_host it;
    it.register_backend("b-old", "v1");
    it.register_backend("a-overtaken", "v2");
    it.begin_rollout("v2");
    it.step("v2", rollout_phase::running, 500, 12'000);
    it.begin_rollout("v3");
    it.now += millis{2000};
    BOOST_TEST(it.count_sessions_on("v2", "s") == 0U);
}

// Guards against a restarted host that uses a version rolled back before it started.
BOOST_AUTO_TEST_CASE(rolled_back_version_is_known_from_the_control_log_alone)
{
    test_host other_host;
    other_host.begin_rollout("v2");
    other_host.step("v2", rollout_phase::rolled_back, 0, 3000);
    other_host.begin_rollout("v3");
    control_state restored;
    restored.load(other_host.control.save());
    test_host it;
    it.register_backend("b-old", "v1");
    it.register_backend("a-bad", "v2");
    it.follow(restored.state());
    BOOST_TEST(it.count_sessions_on("v2", "s") == 0U);
}

// Guards against excluding a rolled-back version after a second roll-out of it has completed.
BOOST_AUTO_TEST_CASE(rolled_back_version_can_be_rolled_out_again)
{
    test_host it;
    it.register_backend("b-old", "v1");
    it.register_backend("a-again", "v2");
    it.begin_rollout("v2");
    it.step("v2", rollout_phase::rolled_back, 0, 3000);
    it.begin_rollout("v3");
    it.step("v3", rollout_phase::rolled_back, 0, 3000);
    it.begin_rollout("v2");
    it.step("v2", rollout_phase::completed, 1000, 18'000);
    BOOST_TEST(it.version_for("s") == "v2");
}

// Guards against comparing a new version with one that was rolled back.
BOOST_AUTO_TEST_CASE(answers_of_a_rolled_back_version_are_not_counted)
{
    test_host it;
    it.begin_rollout("v2");
    it.step("v2", rollout_phase::rolled_back, 0, 3000);
    it.begin_rollout("v3");
    const auto answer = [&](const std::string& version, millis took) {
        it.view.saw({"llm", "r", "m", version, false, took, 20});
        it.view.record_pace("llm", "r", version, took);
    };
    for (int n = 0; n < 40; ++n) {
        answer("v1", millis{20});
        answer("v2", millis{900});
    }
    for (int n = 0; n < 10; ++n) {
        answer("v3", millis{400});
    }
    for (const auto& row : it.view.take_report()) {
        BOOST_TEST(row.version != "v2");
        BOOST_TEST((row.version == "v1" || (row.seen.bad == 10U && row.seen.slow == 10U)));
    }
}

// Guards against a host that joins during a trial and treats the new version as the incumbent.
BOOST_AUTO_TEST_CASE(host_that_joins_in_a_trial_knows_the_incumbent)
{
    test_host other_host;
    other_host.set_incumbent("v1");
    other_host.begin_rollout("v2");
    other_host.step("v2", rollout_phase::rolled_back, 0, 3000);
    other_host.begin_rollout("v3");
    other_host.step("v3", rollout_phase::running, 0, 400);
    test_host it;
    // Backend servers of the new version, and of one without a roll-out, register before the
    // others.
    it.register_backend("a-next", "v4");
    it.register_backend("b-new", "v3");
    it.register_backend("c-old", "v1");
    it.follow(other_host.control.state());
    BOOST_TEST(it.count_sessions_on("v1", "s") == 400U);
    other_host.step("v3", rollout_phase::rolled_back, 0, 3000);
    it.follow(other_host.control.state());
    BOOST_TEST(it.count_sessions_on("v1", "s") == 400U);
}

// Guards against a host that keeps using the old version after a roll-out has completed.
BOOST_AUTO_TEST_CASE(completed_rollout_changes_the_incumbent)
{
    test_host it;
    it.set_incumbent("v1");
    it.register_backend("a-old", "v1");
    it.register_backend("b-new", "v2");
    it.begin_rollout("v2");
    it.step("v2", rollout_phase::completed, 1000, 18'000);
    it.register_backend("c-next", "v3");
    it.begin_rollout("v3");
    BOOST_TEST(it.count_sessions_on("v2", "s") == 400U);
    it.step("v3", rollout_phase::rolled_back, 0, 3000);
    BOOST_TEST(it.count_sessions_on("v2", "s") == 400U);
}

// Guards against a second leader that overwrites the incumbent recorded by the first.
BOOST_AUTO_TEST_CASE(incumbent_is_recorded_once)
{
    test_host it;
    it.begin_rollout("v2");
    it.set_incumbent("v2");
    BOOST_TEST(it.control.state().versions.at("llm").incumbent == "");
    it.set_incumbent("v1");
    it.set_incumbent("v0");
    BOOST_TEST(it.control.state().versions.at("llm").incumbent == "v1");
    BOOST_TEST(it.view.find_incumbent("llm", it.directory.usable("llm", it.now)) == "");
}

// Guards against choosing a version on trial, or one that was rolled back, as the incumbent.
BOOST_AUTO_TEST_CASE(incumbent_is_the_version_of_most_backends_except_withheld_ones)
{
    test_host it;
    it.begin_rollout("v2");
    it.step("v2", rollout_phase::rolled_back, 0, 3000);
    it.begin_rollout("v3");
    it.register_backend("a-new1", "v3");
    it.register_backend("a-new2", "v3");
    it.register_backend("b-returned", "v2");
    const auto found = [&] {
        return it.view.find_incumbent("llm", it.directory.usable("llm", it.now));
    };
    BOOST_TEST(found() == "");
    it.register_backend("c-old", "v1");
    BOOST_TEST(found() == "v1");
    BOOST_TEST(it.view.find_incumbent("other", it.directory.usable("llm", it.now)) == "v3");
}

// Guards against losing versions when loading a snapshot of an earlier release, which has none.
BOOST_AUTO_TEST_CASE(versions_are_derived_from_a_snapshot_without_them)
{
    test_host it;
    it.begin_rollout("v2");
    it.step("v2", rollout_phase::completed, 1000, 18'000);
    it.begin_rollout("v5", "app");
    it.step("v5", rollout_phase::rolled_back, 0, 3000, "app");
    site_state old = it.control.state();
    old.versions.clear();
    control_state restored;
    restored.load(wire::encode(old));
    BOOST_TEST(restored.state().versions.at("llm").incumbent == "v2");
    BOOST_TEST(restored.state().versions.at("app").rolled_back_versions.front() == "v5");
}

namespace {

/// A host whose sessions s0 to s399 ran on the old versions of two services.
struct busy_host : test_host {
    busy_host()
    {
        for (const auto* const service : {"llm", "app"}) {
            set_incumbent("v1", service);
            register_backend(std::string{"a-old-"} + service, "v1", service);
            for (int n = 0; n < 400; ++n) {
                version_for("s" + std::to_string(n), service);
            }
            register_backend(std::string{"b-new-"} + service, "v2", service);
            begin_rollout("v2", service);
        }
    }
};

/// A host that has started during a trial and has seen no sessions.
struct late_host : test_host {
    explicit late_host(const test_host& other)
    {
        for (const auto* const service : {"llm", "app"}) {
            register_backend(std::string{"a-old-"} + service, "v1", service);
            register_backend(std::string{"b-new-"} + service, "v2", service);
        }
        now = other.now;
        follow(other.control.state());
    }
    std::size_t count_moved(const std::string& service)
    {
        std::size_t out = 0;
        for (int n = 0; n < 400; ++n) {
            out += version_for("s" + std::to_string(n), service) == "v2" ? 1U : 0U;
        }
        return out;
    }
};

} // namespace

// Guards against pinning the sessions of only one of two roll-outs that begin together.
BOOST_AUTO_TEST_CASE(rollouts_that_begin_together_pin_the_sessions_of_both)
{
    busy_host one;
    late_host two{one};
    for (const auto* const service : {"llm", "app"}) {
        const std::uint32_t share = service == std::string{"llm"} ? 300 : 50;
        one.step("v2", rollout_phase::running, share, 600, service);
    }
    two.sync_from(one);
    two.now += millis{2000};
    BOOST_TEST(two.count_moved("llm") == 0U);
    BOOST_TEST(two.count_moved("app") == 0U);
}

// Guards against a host that joins during a trial and moves sessions that other hosts have sent to
// the old version.
BOOST_AUTO_TEST_CASE(host_that_joins_in_a_trial_keeps_sessions_on_their_version)
{
    busy_host one;
    one.step("v2", rollout_phase::running, 300, 600);
    one.view.take_pinned(one.now);
    one.now += millis{4000};
    late_host two{one};
    two.view.pin(one.view.pinned_sessions(one.now), two.now);
    two.now += millis{1000};
    BOOST_TEST(two.count_moved("llm") == 0U);
    // Pins received from another host are passed on to hosts that join later.
    late_host three{one};
    three.view.pin(two.view.pinned_sessions(two.now), three.now);
    three.now += millis{1000};
    BOOST_TEST(three.count_moved("llm") == 0U);
}

// Guards against a host that joins during a trial and moves sessions back to the old version.
BOOST_AUTO_TEST_CASE(host_that_joins_in_a_trial_keeps_sessions_on_the_new_version)
{
    busy_host one;
    one.step("v2", rollout_phase::running, 300, 600);
    one.now += millis{2000};
    late_host two{one};
    for (int n = 0; n < 400; ++n) {
        const std::string session = "new" + std::to_string(n);
        BOOST_TEST(two.version_for(session) == one.version_for(session));
    }
}

// Guards against moving a session that began after the trial was announced but before it started.
BOOST_AUTO_TEST_CASE(sessions_that_begin_before_the_trial_starts_are_pinned)
{
    busy_host one;
    late_host two{one};
    one.step("v2", rollout_phase::running, 300, 600);
    two.sync_from(one);
    one.now += millis{500};
    BOOST_TEST(one.count_sessions_on("v2", "late") == 0U);
    two.view.pin(one.view.take_pinned(one.now), one.now);
    two.now += millis{2000};
    BOOST_TEST(two.count_sessions_on("v2", "late") == 0U);
}

// Guards against applying a session's version at one service to another service.
BOOST_AUTO_TEST_CASE(session_has_a_version_at_each_service)
{
    test_host it;
    it.set_incumbent("v2", "app");
    it.register_backend("a-app", "v2", "app");
    it.set_incumbent("v1", "llm");
    it.register_backend("a-old", "v1");
    it.register_backend("b-new", "v2");
    it.begin_rollout("v2");
    it.step("v2", rollout_phase::running, 50, 600);
    it.now += millis{2000};
    std::size_t on_new = 0;
    for (int n = 0; n < 400; ++n) {
        const std::string session = "s" + std::to_string(n);
        it.version_for(session, "app");
        on_new += it.version_for(session) == "v2" ? 1U : 0U;
    }
    BOOST_TEST(on_new < 60U);
}

// Guards against moving a session that is in use for longer than a pin lasts.
BOOST_AUTO_TEST_CASE(pins_of_a_session_in_use_are_renewed)
{
    busy_host one;
    late_host two{one};
    one.step("v2", rollout_phase::running, 300, 600);
    two.sync_from(one);
    for (int turn = 0; turn < 20; ++turn) {
        one.now += millis{1000};
        two.now = one.now;
        one.count_sessions_on("v1", "s");
        two.view.pin(one.view.take_pinned(one.now), two.now);
    }
    BOOST_TEST(two.count_moved("llm") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
