/// Placement on engines of unequal speed: a quarter of them take 0.55 of the typical time, the
/// others 1.2.

#include "hickorypost/gateway/load_balancer.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <map>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;

const instant start{millis{100'000}};
constexpr int engines = 12;
constexpr double fast_factor = 0.55;
constexpr double slow_factor = 1.2;

bool is_fast(int engine)
{
    return engine % 4 == 0;
}

std::string engine_id(int n)
{
    return "e" + std::to_string(n);
}

struct uneven_pool {
    explicit uneven_pool(balancer_settings settings = {})
        : balancer{settings, "a", seeded_random_fn(3), [](const auto&, const auto&) {}}
    {
        for (int n = 0; n < engines; ++n) {
            const auto id = engine_id(n);
            directory.take({id, "llm", id + ":1", "a", "v1", 64, backend_state::ready, 0, 1},
                           start);
        }
    }
    /// Runs streams on all engines, by which the balancer learns their speeds.
    void learn()
    {
        for (int n = 0; n < engines * 4; ++n) {
            const int engine = n % engines;
            auto it = balancer.started(*directory.find(engine_id(engine)), {100, 100}, start);
            balancer.on_first_event(it, start);
            const double factor = is_fast(engine) ? fast_factor : slow_factor;
            for (int event = 0; event < 6; ++event) {
                balancer.on_stream_events(it, 1, micros{static_cast<std::int64_t>(25'000 * factor)},
                                          start);
            }
            balancer.ended(it, attempt_result::answered, start);
        }
    }
    int choose(const job_size& job)
    {
        const auto all = directory.usable("llm", start);
        return std::stoi(balancer.choose(all, job, {}, start)->record.id.substr(1));
    }

    backend_directory directory{{}};
    load_balancer balancer;
};

job_size long_prompt(std::uint64_t subject)
{
    job_size out;
    out.prompt_tokens = 12'000;
    out.output_tokens = 400;
    out.pace = 3;
    out.model = "large";
    out.parts = {{1, 500}, {subject, 5000}, {subject + 1'000'000, 6500}};
    return out;
}

/// Share of long prompts with different subjects that go to fast engines, without other load.
double fast_share(uneven_pool& pool)
{
    constexpr int prompts = 400;
    int fast = 0;
    for (int n = 0; n < prompts; ++n) {
        fast += is_fast(pool.choose(long_prompt(static_cast<std::uint64_t>(n) + 10))) ? 1 : 0;
    }
    return static_cast<double>(fast) / prompts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(engine_speed_placement)

// Guards against the pauses of a slow engine's streams while it prefills long prompts: nearly all
// streams whose pauses exceeded their target ran on slow engines.
BOOST_AUTO_TEST_CASE(most_long_prompts_go_to_the_fast_quarter_of_the_engines)
{
    uneven_pool pool;
    const double before = fast_share(pool);
    pool.learn();
    const double after = fast_share(pool);
    BOOST_TEST(before < 0.4);
    BOOST_TEST(after > 0.55);
}

// Guards against piling all work on the fast engines.
BOOST_AUTO_TEST_CASE(pending_prefill_is_spread_by_speed)
{
    uneven_pool pool;
    pool.learn();
    std::map<bool, double> prefill_ms;
    const job_size job{2000, 100, 1, "m", {}};
    for (int n = 0; n < 400; ++n) {
        const int engine = pool.choose(job);
        pool.balancer.started(*pool.directory.find(engine_id(engine)), job, start);
        prefill_ms[is_fast(engine)] += pool.balancer.prefill_ms(job, 0);
    }
    // 3 fast engines finish their work when the 9 slow ones do.
    const double fast_time = prefill_ms[true] / 3 * fast_factor;
    const double slow_time = prefill_ms[false] / 9 * slow_factor;
    BOOST_TEST(fast_time > 0.8 * slow_time);
    BOOST_TEST(fast_time < 1.25 * slow_time);
}

// Guards against treating engines of equal speed differently.
BOOST_AUTO_TEST_CASE(speeds_do_not_count_when_switched_off)
{
    balancer_settings settings;
    settings.use_engine_speed = false;
    uneven_pool pool{settings};
    const double before = fast_share(pool);
    pool.learn();
    BOOST_TEST(fast_share(pool) == before);
    BOOST_TEST(pool.balancer.view("e0").slowdown == 1);
}

// Guards against each host learning alone: with 30 hosts and 50 engines a host sees an engine once
// in several seconds.
BOOST_AUTO_TEST_CASE(speeds_reported_by_other_hosts_count)
{
    uneven_pool teacher;
    teacher.learn();
    uneven_pool pool;
    for (int n = 0; n < engines; ++n) {
        const double interval = 25 * (is_fast(n) ? fast_factor : slow_factor);
        pool.balancer.set_remote_load(engine_id(n), {0, 0, 0, {24, 24 * interval}});
    }
    BOOST_TEST(fast_share(pool) == fast_share(teacher));
}

// Guards against an engine that crashes because the requests it holds exceed its memory.
BOOST_AUTO_TEST_CASE(engine_whose_memory_would_run_out_is_used_only_as_the_last_one)
{
    uneven_pool pool;
    job_size job{9000, 1000, 1, "m", {}};
    // Two streams run on e0; prefill is pending on all other engines.
    for (int n = 0; n < 2; ++n) {
        auto it = pool.balancer.started(*pool.directory.find("e0"), job, start);
        pool.balancer.on_first_event(it, start);
    }
    for (int n = 1; n < engines; ++n) {
        pool.balancer.set_remote_load(engine_id(n), {1, 500});
    }
    BOOST_TEST(pool.choose(job) == 0);
    job.engine_memory = 32'000;
    BOOST_TEST(pool.choose(job) != 0);
    job.engine_memory = 5000;
    BOOST_TEST(pool.choose(job) == 0);
}

// Guards against reporting the tokens of requests that have ended.
BOOST_AUTO_TEST_CASE(tokens_in_flight_return_to_zero)
{
    uneven_pool pool;
    auto it = pool.balancer.started(*pool.directory.find("e0"), {9000, 1000}, start);
    BOOST_TEST(pool.balancer.view("e0").tokens == 10'000);
    pool.balancer.ended(it, attempt_result::dropped, start);
    BOOST_TEST(pool.balancer.view("e0").tokens == 0);
}

// Guards against decisions by expected times that are far from the actual ones.
BOOST_AUTO_TEST_CASE(expected_first_event_follows_observed_times)
{
    uneven_pool pool;
    const job_size job{12'000, 100, 1, "m", {}};
    const auto& engine = *pool.directory.find("e1");
    const double before = pool.balancer.expected_first_event_ms(engine, job, start);
    for (int n = 0; n < 300; ++n) {
        auto it = pool.balancer.started(engine, job, start);
        pool.balancer.on_first_event(it, start + micros{static_cast<std::int64_t>(before * 2000)});
        pool.balancer.ended(it, attempt_result::answered, start);
    }
    BOOST_TEST(pool.balancer.expected_first_event_ms(engine, job, start) == 2 * before,
               boost::test_tools::tolerance(0.1));
    BOOST_TEST(pool.balancer.expected_wait_ms(engine) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
