/// Placement under load patterns in which an engine's streams or the way to it suffer.

#include "hickorypost/gateway/load_balancer.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;

const instant start{millis{100'000}};

/// Engines e0, e1 and so on of failure domain `a`, and a process in that domain.
struct some_engines {
    explicit some_engines(int engines)
    {
        for (int n = 0; n < engines; ++n) {
            add("e" + std::to_string(n), "a");
        }
    }

    void add(const std::string& id, const std::string& domain)
    {
        directory.take({id, "llm", id + ":1", domain, "v1", 64, backend_state::ready, 0, 1}, start);
    }
    std::string choose(const job_size& job, instant now = start)
    {
        const auto all = directory.usable("llm", now);
        return balancer.choose(all, job, {}, now)->record.id;
    }

    backend_directory directory{{}};
    load_balancer balancer{{}, "a", seeded_random_fn(3), [](const auto&, const auto&) {}};
};

job_size prompt(double tokens)
{
    job_size out;
    out.prompt_tokens = tokens;
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(placement)

// One engine runs 30 streams, the other has a prompt of 300 ms to read and few streams. A prompt
// comes that takes seconds. Placed where the reading begins soonest it makes 30 callers wait past
// their longest pause; placed at the other it makes four wait, and comes 0.3 s later itself.
BOOST_AUTO_TEST_CASE(a_long_prompt_goes_where_it_holds_up_few_streams)
{
    some_engines engines{2};
    engines.balancer.set_others("e0", {30, 0});
    engines.balancer.set_others("e1", {4, 300});
    BOOST_TEST(engines.choose(prompt(100'000)) == "e1");
    // A short one is hardly noticed by those who run, and does not wait.
    BOOST_TEST(engines.choose(prompt(2'000)) == "e0");
}

// The links of domain `b` lose packets: each stream from there stands still now and then, while its
// engine looks as idle as the others. Work stays in the own domain although that is the busier one,
// and goes back once a while has passed without word of stalls.
BOOST_AUTO_TEST_CASE(work_leaves_a_domain_from_which_streams_are_held_up)
{
    some_engines engines{1};
    engines.add("far", "b");
    engines.balancer.set_others("e0", {20, 0});
    const job_size job = prompt(500);
    BOOST_REQUIRE(engines.choose(job) == "far");
    const auto stream = [&](const std::string& id, bool held_up) {
        auto it = engines.balancer.started(*engines.directory.find(id), job, start);
        engines.balancer.first_answer(it, start);
        engines.balancer.more_events(it, held_up ? 5 : 1, millis{220}, start);
        engines.balancer.ended(it, attempt_result::answered, start);
    };
    for (int n = 0; n < 5; ++n) {
        stream("e0", false);
        stream("far", true);
    }
    BOOST_TEST(engines.choose(job) == "e0");
    BOOST_TEST(engines.choose(job, start + millis{20'000}) == "far");
}

BOOST_AUTO_TEST_SUITE_END()
