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

/// Plain backend servers e0 and e1, which get a request each 50 ms and answer in 12 ms.
struct two_plain_backends {
    void run(const std::string& id, attempt_result how)
    {
        auto it = servers.balancer.started(*servers.directory.find(id), {}, now);
        now += millis{12};
        servers.balancer.on_first_event(it, now);
        servers.balancer.ended(it, how, now);
        now += millis{38};
    }
    /// Sends `n` requests; returns how many went to e0.
    int ask(int n, const std::function<attempt_result(const std::string&)>& how)
    {
        int out = 0;
        for (; n > 0; --n) {
            ++sequence;
            servers.directory.touch("e0", sequence, now);
            servers.directory.touch("e1", sequence, now);
            const std::string id = servers.choose({}, now);
            out += id == "e0" ? 1 : 0;
            run(id, how(id));
        }
        return out;
    }

    some_engines servers{2};
    instant now = start;
    std::uint64_t sequence = 1;
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
    engines.balancer.set_remote_load("e0", {30, 0});
    engines.balancer.set_remote_load("e1", {4, 300});
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
    engines.balancer.set_remote_load("e0", {20, 0});
    const job_size job = prompt(500);
    BOOST_REQUIRE(engines.choose(job) == "far");
    const auto stream = [&](const std::string& id, bool held_up) {
        auto it = engines.balancer.started(*engines.directory.find(id), job, start);
        engines.balancer.on_first_event(it, start);
        engines.balancer.on_stream_events(it, held_up ? 5 : 1, millis{220}, start);
        engines.balancer.ended(it, attempt_result::answered, start);
    };
    for (int n = 0; n < 5; ++n) {
        stream("e0", false);
        stream("far", true);
    }
    BOOST_TEST(engines.choose(job) == "e0");
    BOOST_TEST(engines.choose(job, start + millis{20'000}) == "far");
}

// Two equal plain backend servers, one request at a time. One answer of the first takes 45 ms
// instead of 12 by chance. Both are idle then, and the other is a few milliseconds faster by its
// mean: it got every later request, and the first stood idle though it is as fast.
BOOST_AUTO_TEST_CASE(an_idle_backend_server_that_was_slow_once_is_measured_again)
{
    some_engines servers{2};
    instant now = start;
    const auto ask = [&](millis took) {
        std::string id = servers.choose({}, now);
        auto it = servers.balancer.started(*servers.directory.find(id), {}, now);
        now += took;
        servers.balancer.on_first_event(it, now);
        servers.balancer.ended(it, attempt_result::answered, now);
        now += millis{40};
        return id;
    };
    while (ask(millis{12}) != "e1") {
    }
    while (ask(millis{12}) != "e0") {
    }
    auto slow = servers.balancer.started(*servers.directory.find("e0"), {}, now);
    now += millis{60};
    servers.balancer.on_first_event(slow, now);
    servers.balancer.ended(slow, attempt_result::answered, now);
    int again = 0;
    for (int n = 0; n < 100; ++n) { // five seconds
        servers.directory.touch("e0", 2 + n, now);
        servers.directory.touch("e1", 2 + n, now);
        again += ask(millis{12}) == "e0" ? 1 : 0;
    }
    BOOST_TEST(again > 10);
}

// Guards against a backend server that stays unused after a series of failures.
BOOST_AUTO_TEST_CASE(backend_that_failed_is_measured_again)
{
    constexpr int failures = 10;
    two_plain_backends it;
    for (int n = 0; n < failures; ++n) {
        it.run("e0", attempt_result::failed);
    }
    it.ask(400, [](const auto&) { return attempt_result::answered; }); // twenty seconds
    BOOST_TEST(it.ask(200, [](const auto&) { return attempt_result::answered; }) > 20);
}

// Guards against measuring a backend server again at the cost of its requests.
BOOST_AUTO_TEST_CASE(backend_that_always_fails_gets_few_requests)
{
    constexpr int requests = 1200; // one minute
    two_plain_backends it;
    const int failed = it.ask(requests, [](const std::string& id) {
        return id == "e0" ? attempt_result::failed : attempt_result::answered;
    });
    BOOST_TEST(failed > 5);
    BOOST_TEST(failed < requests / 20);
}

// One of two plain backend servers takes five times as long for good. It is measured again now and
// then, and nearly all requests go to the other.
BOOST_AUTO_TEST_CASE(a_slow_backend_server_is_measured_seldom)
{
    some_engines servers{2};
    instant now = start;
    int slow = 0;
    for (int n = 0; n < 400; ++n) { // twenty seconds
        servers.directory.touch("e0", 2 + n, now);
        servers.directory.touch("e1", 2 + n, now);
        const std::string id = servers.choose({}, now);
        auto it = servers.balancer.started(*servers.directory.find(id), {}, now);
        now += id == "e0" ? millis{60} : millis{12};
        servers.balancer.on_first_event(it, now);
        servers.balancer.ended(it, attempt_result::answered, now);
        now += millis{40};
        slow += id == "e0" ? 1 : 0;
    }
    BOOST_TEST(slow > 1);
    BOOST_TEST(slow < 24);
}

BOOST_AUTO_TEST_SUITE_END()
