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

BOOST_AUTO_TEST_SUITE_END()
