/// How often good requests are refused, and how many backend servers a crashing one takes with it,
/// in a model of a site in virtual time.

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
    double popular_part = 0.1;      ///< of the good requests, which are equal
    double session_part = 0.01;     ///< another one, which is sent about once a second
    double crashing_per_second = 0; ///< of one request that crashes what runs it
    double crashes_per_second = 0;  ///< that no request causes
    millis back_after{2500};
};

struct outcome {
    std::size_t good = 0;
    std::size_t good_refused = 0;
    std::size_t crashed_by_request = 0;
    std::size_t crashed_late = 0; ///< of those, by attempts later than `contact` after the third
};

constexpr millis contact{3000};

/// One host that sees all requests, and engines that fail over up to three times.
class site_model {
public:
    site_model(model_settings settings, std::uint32_t seed)
        : settings_{settings}, random_{seed}, up_from_(settings.engines)
    {
    }

    outcome run(millis length)
    {
        constexpr millis step{10};
        const instant end = now_ + length;
        while (now_ < end) {
            now_ += step;
            finish_runs();
            const double per_step = static_cast<double>(step.count()) / 1000;
            repeat(settings_.good_per_second * per_step, [this] { send_good(); });
            repeat(settings_.crashing_per_second * per_step, [this] { begin(crashing, 1); });
            repeat(settings_.crashes_per_second * per_step,
                   [this] { crash(random_() % settings_.engines); });
        }
        return out_;
    }

private:
    struct running {
        request_identity identity;
        std::size_t engine = 0;
        int attempt = 1;
        instant began;
        std::uint32_t crashes_before = 0;
        instant ends; ///< with success, or with the engine's crash
    };
    static constexpr request_identity crashing{1, 1};
    static constexpr request_identity popular{2, 2};
    static constexpr request_identity session{3, 3};

    double unit() { return std::uniform_real_distribution<double>{0, 1}(random_); }

    template <class Body>
    void repeat(double mean, const Body& body)
    {
        for (double left = mean; unit() < left; left -= 1) {
            body();
        }
    }

    void send_good()
    {
        ++out_.good;
        ++last_;
        const double which = unit();
        begin(which < settings_.popular_part ? popular
              : which < settings_.popular_part + settings_.session_part
                  ? session
                  : request_identity{last_, last_},
              1);
    }

    void begin(const request_identity& identity, int attempt)
    {
        if (ledger_.standing_of(identity) == crash_ledger::standing::refused) {
            out_.good_refused += identity == crashing ? 0 : 1;
            return;
        }
        std::vector<std::size_t> up;
        for (std::size_t n = 0; n < settings_.engines; ++n) {
            if (up_from_[n] <= now_) {
                up.push_back(n);
            }
        }
        if (up.empty()) {
            return;
        }
        const double takes = identity == crashing ? 120 : 200 + 2800 * unit();
        runs_.push_back({identity, up[random_() % up.size()], attempt, now_,
                         ledger_.crashes(identity),
                         now_ + micros{static_cast<std::int64_t>(takes * 1000)}});
    }

    void finish_runs()
    {
        std::vector<running> done;
        std::erase_if(runs_, [&](const running& it) {
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
            ++out_.crashed_by_request;
            constexpr std::size_t known_after = 3;
            third_crash_ = out_.crashed_by_request == known_after ? now_ : third_crash_;
            out_.crashed_late +=
                out_.crashed_by_request > known_after && it.began > third_crash_ + contact ? 1 : 0;
            runs_.push_back(it);
            crash(it.engine);
        }
    }

    void crash(std::size_t engine)
    {
        std::vector<running> lost;
        std::erase_if(runs_, [&](const running& it) {
            const bool there = it.engine == engine;
            if (there) {
                lost.push_back(it);
            }
            return there;
        });
        const std::string backend = "i-" + std::to_string(engine) + "-" + std::to_string(++starts_);
        up_from_[engine] = now_ + settings_.back_after;
        for (const auto& it : lost) {
            ledger_.crashed(it.identity, backend, it.crashes_before);
        }
        constexpr int max_attempts = 3;
        for (const auto& it : lost) {
            if (it.attempt < max_attempts) {
                begin(it.identity, it.attempt + 1);
            }
        }
    }

    model_settings settings_;
    std::mt19937 random_;
    std::vector<instant> up_from_;
    instant now_{millis{100'000}};
    crash_ledger ledger_{{}, [this] { return now_; }, [](const crash_fact&) {}};
    std::vector<running> runs_;
    instant third_crash_;
    std::uint64_t last_ = 1000;
    std::uint64_t starts_ = 0;
    outcome out_;
};

constexpr std::uint32_t seeds = 20;

} // namespace

BOOST_AUTO_TEST_SUITE(crash_blame)

// Guards against a crashing request that comes several times a second and is never stopped, and
// against refusing the requests that run concurrently.
BOOST_AUTO_TEST_CASE(crashing_request_is_stopped_and_good_ones_are_served)
{
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        const auto it = site_model{{.crashing_per_second = 3}, seed}.run(millis{20'000});
        BOOST_TEST_MESSAGE("backend servers crashed: " << it.crashed_by_request);
        BOOST_TEST(it.crashed_by_request >= 3U);
        BOOST_TEST(it.crashed_late <= 3U);
        BOOST_TEST(it.good_refused == 0U);
    }
}

// Guards against refusing good requests when backend servers crash one after the other by
// themselves.
BOOST_AUTO_TEST_CASE(good_requests_are_served_while_backends_crash_by_themselves)
{
    std::size_t good = 0;
    std::size_t refused = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        const auto it = site_model{{.crashes_per_second = 2}, seed}.run(millis{20'000});
        good += it.good;
        refused += it.good_refused;
    }
    BOOST_TEST_MESSAGE("good requests refused: " << refused << " of " << good);
    // As many as the platform allows to be denied.
    BOOST_TEST(refused <= good / 500);
}

BOOST_AUTO_TEST_SUITE_END()
