/// Tests placement when prefill or the network path delays an engine's streams, and how backend
/// servers that were slow or failed are measured again.

#include "hickorypost/gateway/load_balancer.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;

const instant start{millis{100'000}};

/// Engines e0, e1, ... in failure domain `a`, and a balancer in the same domain.
struct engine_pool {
    explicit engine_pool(int engines)
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

/// Plain backend servers e0 and e1 under one request every 50 ms, answered in 12 ms.
struct plain_backend_pair {
    void run(const std::string& id, attempt_result how)
    {
        auto it = servers.balancer.started(*servers.directory.find(id), {}, now);
        now += millis{12};
        servers.balancer.on_first_event(it, now);
        servers.balancer.ended(it, how, now);
        now += millis{38};
    }
    /// Sends `n` requests and returns how many went to e0.
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

    engine_pool servers{2};
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

// Guards against placing a prompt whose prefill takes seconds by earliest start alone. On the
// engine with 30 streams it starts at once but delays 30 callers beyond their longest acceptable
// pause; on the one with 4 streams and 300 ms of pending prefill it delays four and starts 0.3 s
// later.
BOOST_AUTO_TEST_CASE(long_prompt_is_placed_where_it_delays_few_streams)
{
    engine_pool engines{2};
    engines.balancer.set_remote_load("e0", {30, 0});
    engines.balancer.set_remote_load("e1", {4, 300});
    BOOST_TEST(engines.choose(prompt(100'000)) == "e1");
    // A short prompt hardly delays running streams, so it goes where prefill starts first.
    BOOST_TEST(engines.choose(prompt(2'000)) == "e0");
}

// Packet loss on the links of domain `b` stalls its streams, although its engine reports less load
// than the local one. Guards against ignoring these stalls, and against avoiding the domain after
// they have ended.
BOOST_AUTO_TEST_CASE(domain_with_stalled_streams_is_avoided_until_stalls_end)
{
    engine_pool engines{1};
    engines.add("far", "b");
    engines.balancer.set_remote_load("e0", {20, 0});
    const job_size job = prompt(500);
    BOOST_REQUIRE(engines.choose(job) == "far");
    const auto stream = [&](const std::string& id, bool stalled) {
        auto it = engines.balancer.started(*engines.directory.find(id), job, start);
        engines.balancer.on_first_event(it, start);
        engines.balancer.on_stream_events(it, stalled ? 5 : 1, millis{220}, start);
        engines.balancer.ended(it, attempt_result::answered, start);
    };
    for (int n = 0; n < 5; ++n) {
        stream("e0", false);
        stream("far", true);
    }
    BOOST_TEST(engines.choose(job) == "e0");
    BOOST_TEST(engines.choose(job, start + millis{20'000}) == "far");
}

// Two equal plain backend servers get one request at a time. By chance, one answer of the first
// takes 60 ms instead of 12 ms. Guards against sending every later request to the second because
// its mean service time is a few milliseconds lower.
BOOST_AUTO_TEST_CASE(an_idle_backend_server_that_was_slow_once_is_measured_again)
{
    engine_pool servers{2};
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

// Guards against never using a backend server again after a series of failures.
BOOST_AUTO_TEST_CASE(backend_that_failed_is_measured_again)
{
    constexpr int failures = 10;
    plain_backend_pair it;
    for (int n = 0; n < failures; ++n) {
        it.run("e0", attempt_result::failed);
    }
    it.ask(400, [](const auto&) { return attempt_result::answered; }); // twenty seconds
    BOOST_TEST(it.ask(200, [](const auto&) { return attempt_result::answered; }) > 20);
}

// Guards against losing many requests to a failing backend server by measuring it too often.
BOOST_AUTO_TEST_CASE(backend_that_always_fails_gets_few_requests)
{
    constexpr int requests = 1200; // one minute
    plain_backend_pair it;
    const int failed = it.ask(requests, [](const std::string& id) {
        return id == "e0" ? attempt_result::failed : attempt_result::answered;
    });
    BOOST_TEST(failed > 5);
    BOOST_TEST(failed < requests / 20);
}

// One of two plain backend servers is permanently five times slower. Guards against measuring it
// too often, and against never measuring it again.
BOOST_AUTO_TEST_CASE(slow_backend_server_is_measured_rarely)
{
    engine_pool servers{2};
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

/// Sends a request to one of two backend servers every 50 ms for 10 s. Returns how many went to e0,
/// which rejects them until `recovered`.
int requests_to_rejecting_backend(instant recovered, instant count_from)
{
    engine_pool servers{2};
    int out = 0;
    for (instant now = start; now < start + millis{10'000}; now += millis{50}) {
        servers.directory.touch("e0", static_cast<std::uint64_t>(now.time_since_epoch().count()),
                                now);
        servers.directory.touch("e1", static_cast<std::uint64_t>(now.time_since_epoch().count()),
                                now);
        const std::string id = servers.choose({}, now);
        auto it = servers.balancer.started(*servers.directory.find(id), {}, now);
        const bool rejects = id == "e0" && now < recovered;
        if (!rejects) {
            servers.balancer.on_first_event(it, now + millis{12});
        }
        servers.balancer.ended(it, rejects ? attempt_result::refused : attempt_result::answered,
                               now + millis{12});
        out += id == "e0" && now >= count_from ? 1 : 0;
    }
    return out;
}

// Guards against a backend server that rejects everything and attracts requests, as it has no load.
BOOST_AUTO_TEST_CASE(rejecting_backend_gets_ever_fewer_requests)
{
    BOOST_TEST(requests_to_rejecting_backend(start + millis{10'000}, start) <= 12);
}

// Guards against a backend server that stays avoided after it accepts requests again.
BOOST_AUTO_TEST_CASE(backend_gets_its_share_again_once_it_accepts_requests)
{
    const instant recovered = start + millis{5000};
    const instant noticed = recovered + balancer_settings{}.max_saturation_backoff;
    // Half of 60 requests are its share.
    BOOST_TEST(requests_to_rejecting_backend(recovered, noticed) >= 25);
}

BOOST_AUTO_TEST_SUITE_END()
