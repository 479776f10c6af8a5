/// Requests to a backend server that has restarted under the same name.

#include "one_gateway.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::testing;

backend_record heartbeat(std::uint64_t born, std::uint64_t sequence)
{
    backend_record out{incarnation_id("b", born), "app", "b:1",   "d", "v1", 4,
                       backend_state::ready,      0,     sequence};
    out.name = "b";
    out.born = born;
    return out;
}

/// A gateway whose only backend server is the incarnation `b@1000`.
struct one_backend : one_gateway {
    one_backend()
    {
        for (const auto* id : {"b1", "b2", "b3"}) {
            directory.remove(id, timers.now);
        }
        directory.take(heartbeat(1000, 90), timers.now);
    }

    void restart() { directory.take(heartbeat(2000, 1), timers.now); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(backend_restart)

// Guards against a backend server that gets no requests after its restart because of a limit, a
// backoff, a departure or a failed probe of its earlier incarnation.
BOOST_AUTO_TEST_CASE(knowledge_of_the_earlier_incarnation_does_not_hold_back_the_next_one)
{
    const std::vector<std::function<void(one_backend&)>> knowledge{
        [](one_backend& it) {
            it.limits.saw("b@1000", {limit_statement::kind_type::named, 0});
        },
        [](one_backend& it) {
            backend_answer rejection;
            rejection.status = 503;
            rejection.ran = false;
            rejection.backoff = {backoff_statement::kind_type::named, 60};
            it.backoffs.saw("b@1000", rejection, "q");
        },
        [](one_backend& it) { it.directory.mark_draining("b@1000"); },
        [](one_backend& it) { it.directory.remove("b@1000", it.timers.now); },
        [](one_backend& it) {
            it.add_backend("other");
            it.directory.take_probe_failure("b@1000", 95, "d");
            it.directory.remove("other", it.timers.now);
        },
    };
    for (const auto& learn : knowledge) {
        one_backend it;
        learn(it);
        it.restart();
        it.ask(as_unsafe);
        BOOST_REQUIRE(it.backends.attempts.size() == 1U);
        BOOST_TEST(it.backends.last().target.backend == "b@2000");
        it.answer(200, "good");
        it.complete();
        BOOST_TEST(it.caller.status == 200U);
    }
}

// Guards against late heartbeats, departures and probe failures of the earlier incarnation that
// change the next one or add the earlier one again.
BOOST_AUTO_TEST_CASE(late_messages_of_the_earlier_incarnation_change_nothing)
{
    one_backend it;
    it.restart();
    auto gone = heartbeat(1000, 0);
    gone.state = backend_state::gone;
    auto draining = heartbeat(1000, 92);
    draining.state = backend_state::draining;
    for (const auto& late : {heartbeat(1000, 91), draining, gone}) {
        BOOST_TEST((it.directory.take(late, it.timers.now) == backend_directory::change::none));
    }
    BOOST_TEST(!it.directory.touch("b@1000", 93, it.timers.now));
    BOOST_TEST(!it.directory.take_probe_failure("b@1000", 93, "d"));
    BOOST_TEST(it.directory.mark_draining("b@1000") == nullptr);
    BOOST_TEST(it.directory.find("b@1000") == nullptr);
    BOOST_TEST(it.directory.find_named("b")->record.id == "b@2000");
    BOOST_TEST(it.directory.find("b@2000")->record.sequence == 1U);
    it.ask(as_unsafe);
    BOOST_REQUIRE(it.backends.attempts.size() == 1U);
    BOOST_TEST(it.backends.last().target.backend == "b@2000");
}

BOOST_AUTO_TEST_SUITE_END()
