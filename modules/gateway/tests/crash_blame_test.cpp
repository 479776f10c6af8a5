/// Simulates a site in virtual time and measures how many good requests are refused, and how many
/// backend servers a crashing request ends.

#include "hickorypost/gateway/crash_ledger.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;

struct model_settings {
    std::size_t engines = 12;
    double good_per_second = 115;
    double popular_share = 0.1;     ///< of the good requests: all equal to each other
    double session_share = 0.01;    ///< of the good requests: one request, sent about once a second
    double crashing_per_second = 0; ///< requests that crash their engine; all equal
    double random_crashes_per_second = 0; ///< crashes of engines that no request causes
    millis restart_time{2500};
};

struct outcome {
    std::size_t good = 0;
    std::size_t good_refused = 0;
    std::size_t caused_crashes = 0;
    /// Of those, by attempts that began more than `propagation_delay` after the third crash.
    std::size_t late_crashes = 0;
};

/// After this long, the third crash of a request must have stopped further attempts.
constexpr millis propagation_delay{3000};

/// One host that receives all requests, and its engines. A request has up to three attempts.
class site_model {
public:
    site_model(model_settings settings, std::uint32_t seed)
        : settings_{settings}, random_{seed}, available_at_(settings.engines)
    {
    }

    outcome run(millis duration)
    {
        constexpr millis step{10};
        const instant end = now_ + duration;
        while (now_ < end) {
            now_ += step;
            finish_runs();
            const double per_step = static_cast<double>(step.count()) / 1000;
            for_each_arrival(settings_.good_per_second * per_step, [this] { send_good(); });
            for_each_arrival(settings_.crashing_per_second * per_step,
                             [this] { start_attempt(crashing, 1); });
            for_each_arrival(settings_.random_crashes_per_second * per_step,
                             [this] { crash(random_() % settings_.engines); });
        }
        return outcome_;
    }

private:
    struct running_attempt {
        request_identity identity;
        std::size_t engine = 0;
        int attempt = 1;
        instant started;
        std::uint32_t crashes_before = 0;
        instant ends; ///< by success, or by the engine's crash
    };
    static constexpr request_identity crashing{1, 1};
    static constexpr request_identity popular{2, 2};
    static constexpr request_identity session{3, 3};

    double random_unit() { return std::uniform_real_distribution<double>{0, 1}(random_); }

    /// Calls `body` about `mean` times on average.
    template <class Body>
    void for_each_arrival(double mean, const Body& body)
    {
        for (double left = mean; random_unit() < left; left -= 1) {
            body();
        }
    }

    void send_good()
    {
        ++outcome_.good;
        ++last_identity_;
        const double position = random_unit();
        start_attempt(position < settings_.popular_share ? popular
                      : position < settings_.popular_share + settings_.session_share
                          ? session
                          : request_identity{last_identity_, last_identity_},
                      1);
    }

    void start_attempt(const request_identity& identity, int attempt)
    {
        if (ledger_.standing_of(identity) == crash_ledger::standing::refused) {
            outcome_.good_refused += identity == crashing ? 0 : 1;
            return;
        }
        std::vector<std::size_t> up;
        for (std::size_t n = 0; n < settings_.engines; ++n) {
            if (available_at_[n] <= now_) {
                up.push_back(n);
            }
        }
        if (up.empty()) {
            return;
        }
        const double duration_ms = identity == crashing ? 120 : 200 + 2800 * random_unit();
        runs_.push_back({identity, up[random_() % up.size()], attempt, now_,
                         ledger_.crashes(identity),
                         now_ + micros{static_cast<std::int64_t>(duration_ms * 1000)}});
    }

    void finish_runs()
    {
        std::vector<running_attempt> done;
        std::erase_if(runs_, [&](const running_attempt& it) {
            const bool over = it.ends <= now_;
            if (over) {
                done.push_back(it);
            }
            return over;
        });
        for (const auto& it : done) {
            if (it.identity != crashing) {
                ledger_.clear(it.identity);
                continue;
            }
            ++outcome_.caused_crashes;
            constexpr std::size_t refused_after = 3;
            third_crash_ = outcome_.caused_crashes == refused_after ? now_ : third_crash_;
            outcome_.late_crashes += outcome_.caused_crashes > refused_after &&
                                             it.started > third_crash_ + propagation_delay
                                         ? 1
                                         : 0;
            runs_.push_back(it);
            crash(it.engine);
        }
    }

    void crash(std::size_t engine)
    {
        std::vector<running_attempt> interrupted;
        std::erase_if(runs_, [&](const running_attempt& it) {
            const bool there = it.engine == engine;
            if (there) {
                interrupted.push_back(it);
            }
            return there;
        });
        const std::string backend =
            "i-" + std::to_string(engine) + "-" + std::to_string(++restarts_);
        available_at_[engine] = now_ + settings_.restart_time;
        for (const auto& it : interrupted) {
            ledger_.crashed(it.identity, backend, it.crashes_before);
        }
        constexpr int max_attempts = 3;
        for (const auto& it : interrupted) {
            if (it.attempt < max_attempts) {
                start_attempt(it.identity, it.attempt + 1);
            }
        }
    }

    model_settings settings_;
    std::mt19937 random_;
    std::vector<instant> available_at_;
    instant now_{millis{100'000}};
    crash_ledger ledger_{{}, [this] { return now_; }, [](const crash_fact&) {}};
    std::vector<running_attempt> runs_;
    instant third_crash_;
    std::uint64_t last_identity_ = 1000;
    std::uint64_t restarts_ = 0;
    outcome outcome_;
};

constexpr std::uint32_t seeds = 20;

} // namespace

BOOST_AUTO_TEST_SUITE(crash_blame)

// Guards against letting through a crashing request that is sent several times a second, and
// against refusing the good requests that run beside it.
BOOST_AUTO_TEST_CASE(crashing_request_is_refused_and_good_ones_are_served)
{
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        const auto it = site_model{{.crashing_per_second = 3}, seed}.run(millis{20'000});
        BOOST_TEST_MESSAGE("backend servers crashed: " << it.caused_crashes);
        BOOST_TEST(it.caused_crashes >= 3U);
        BOOST_TEST(it.late_crashes <= 3U);
        BOOST_TEST(it.good_refused == 0U);
    }
}

// Guards against refusing good requests when backend servers crash repeatedly for other reasons.
BOOST_AUTO_TEST_CASE(good_requests_are_served_while_backends_crash_for_other_reasons)
{
    std::size_t good = 0;
    std::size_t refused = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        const auto it = site_model{{.random_crashes_per_second = 2}, seed}.run(millis{20'000});
        good += it.good;
        refused += it.good_refused;
    }
    BOOST_TEST_MESSAGE("good requests refused: " << refused << " of " << good);
    // The platform tolerates refusing 1 in 500 good requests.
    BOOST_TEST(refused <= good / 500);
}

BOOST_AUTO_TEST_SUITE_END()
