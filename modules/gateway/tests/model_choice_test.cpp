#include "hickorypost/gateway/model_choice.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;

constexpr millis plenty{10'000};
constexpr std::size_t small = 0;
constexpr std::size_t middle = 1;
constexpr std::size_t large = 2;

route_spec route_of_three()
{
    route_spec out;
    out.name = "r";
    out.models = {"small", "middle", "large"};
    out.target_latency = millis{1000};
    return out;
}

/// Rank chosen by `model_choice::after` on a route of three models.
std::size_t after(const model_choice& it, std::size_t rank, double confidence, millis left = plenty,
                  std::uint32_t attempts_left = 2)
{
    static const route_spec route = route_of_three();
    static const std::vector<double> prefill{10, 40, 100};
    return it.after({route, rank, confidence, millis{0}, left, attempts_left, prefill});
}

/// Records 100 runs each with prefill times of 100 and 200 ms. `first` is the time to the first
/// event at 100 ms, `rest` the time from there to the last event.
void learn_times(model_choice& it, const std::string& model, millis first, millis rest)
{
    for (int n = 0; n < 100; ++n) {
        it.times().saw("r", model, 100, first, rest);
        it.times().saw("r", model, 200, first * 2, rest);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(model_choice_suite)

BOOST_AUTO_TEST_CASE(answer_with_sufficient_confidence_is_kept)
{
    const model_choice it{{}};
    BOOST_TEST(after(it, small, 0.6) == small);
    BOOST_TEST(after(it, middle, 0.5) == middle);
}

// An answer with a confidence just above one half is sometimes wrong. Escalation to the middle
// model is cheap at low latency, but delays other requests at high latency.
BOOST_AUTO_TEST_CASE(answer_just_above_threshold_goes_to_middle_model_only_at_low_latency)
{
    model_choice it{{}};
    BOOST_TEST(after(it, small, 0.55) == middle);
    for (int n = 0; n < 200; ++n) {
        it.record_first_event(0.9);
    }
    BOOST_TEST(after(it, small, 0.55) == small);
}

// Guards against escalating every answer to the largest model, which takes four times the engine
// time of the middle model. An answer just below the threshold goes to the middle one.
BOOST_AUTO_TEST_CASE(answer_just_below_threshold_goes_to_middle_model)
{
    const model_choice it{{}};
    BOOST_TEST(after(it, small, 0.45) == middle);
    BOOST_TEST(after(it, small, 0.2) == large);
    BOOST_TEST(after(it, middle, 0.45) == large);
}

// Guards against using a middle model whose measured confidence hardly exceeds the smallest
// model's.
BOOST_AUTO_TEST_CASE(middle_model_without_gain_is_skipped)
{
    model_choice it{{}};
    for (int n = 0; n < 100; ++n) {
        it.record_confidence_pair("small", 0.45, "middle", 0.46);
    }
    BOOST_TEST(after(it, small, 0.45) == large);
}

BOOST_AUTO_TEST_CASE(middle_model_with_large_gain_is_used_at_lower_confidence)
{
    model_choice it{{}};
    for (int n = 0; n < 100; ++n) {
        it.record_confidence_pair("small", 0.3, "middle", 0.6);
        it.record_confidence_pair("small", 0.3, "middle",
                                  1.0); // clipped at the end of the scale, ignored
    }
    BOOST_TEST(after(it, small, 0.25) == middle);
}

// First-event latency is near the targets. The largest model is used less, because its load would
// make all requests late; the middle model adds little load and is still used.
BOOST_AUTO_TEST_CASE(high_latency_reduces_escalations_to_the_largest_model_only)
{
    model_choice it{{}};
    for (int n = 0; n < 200; ++n) {
        it.record_first_event(0.9);
    }
    BOOST_TEST(after(it, small, 0.45) == middle);
    BOOST_TEST(after(it, small, 0.35) == small);
    BOOST_TEST(after(it, small, 0.2) == large);
}

// On some routes the deadline equals the target. Guards against a rule in whole multiples of the
// target, which never escalated there and left every answer that was too hard for the smallest
// model without value to its caller.
BOOST_AUTO_TEST_CASE(larger_model_is_used_if_its_answer_fits_the_deadline)
{
    model_choice it{{}};
    learn_times(it, "large", millis{300}, millis{200});
    BOOST_TEST(after(it, small, 0.1, millis{900}) == large);
    BOOST_TEST(after(it, small, 0.1, millis{400}) == small);
    learn_times(it, "large", millis{900}, millis{300});
    BOOST_TEST(after(it, small, 0.1, millis{900}) == small);
}

BOOST_AUTO_TEST_CASE(unmeasured_model_is_assumed_to_match_the_prefill_estimate)
{
    const model_choice it{{}};
    BOOST_TEST(after(it, small, 0.1, millis{150}) == large);
    BOOST_TEST(after(it, small, 0.1, millis{90}) == small);
}

// Prefill of a very long prompt on the largest model exceeds the target and stalls every concurrent
// stream. Guards against a late answer of high confidence where the present answer or the middle
// model's would be in time and of more value to the caller.
BOOST_AUTO_TEST_CASE(prompt_too_long_for_the_largest_model_goes_to_the_middle_model)
{
    const model_choice it{{}};
    const route_spec route = route_of_three();
    const std::vector<double> prefill{200, 600, 2500};
    const auto on = [&](std::size_t rank, double confidence, millis spent) {
        return it.after({route, rank, confidence, spent, plenty, 2, prefill});
    };
    BOOST_TEST(on(small, 0.3, millis{200}) == middle);
    BOOST_TEST(on(middle, 0.3, millis{900}) == middle);
    BOOST_TEST(on(small, 0.3, millis{600}) == small);  // the middle model would be late too
    BOOST_TEST(on(small, 0.1, millis{600}) == large);  // a late answer is worth more
    BOOST_TEST(on(small, 0.3, millis{1200}) == large); // the target has passed already
}

// Guards against dropping an answer when no attempt is left to obtain another one.
BOOST_AUTO_TEST_CASE(without_an_attempt_left_the_answer_is_kept)
{
    const model_choice it{{}};
    BOOST_TEST(after(it, small, 0.1, plenty, 0) == small);
}

// Guards against never using a larger model again after a period in which it was slow.
BOOST_AUTO_TEST_CASE(model_that_was_slow_once_is_asked_again)
{
    constexpr int requests = 5000;
    model_choice it{{}};
    learn_times(it, "small", millis{50}, millis{100});
    learn_times(it, "middle", millis{20'000}, millis{20'000});
    learn_times(it, "large", millis{20'000}, millis{20'000});
    int escalated = 0;
    for (int n = 0; n < requests; ++n) {
        escalated += after(it, small, 0.1) == small ? 0 : 1;
        it.times().saw("r", "small", 100, millis{50}, millis{100});
    }
    BOOST_TEST(escalated > 0);
}

// Guards against losing many requests to a slow model by trying it again too often.
BOOST_AUTO_TEST_CASE(model_that_stays_slow_is_asked_seldom)
{
    constexpr int requests = 5000;
    constexpr millis slow{20'000};
    model_choice it{{}};
    learn_times(it, "small", millis{50}, millis{100});
    learn_times(it, "middle", slow, slow);
    learn_times(it, "large", slow, slow);
    int escalated = 0;
    for (int n = 0; n < requests; ++n) {
        const auto rank = after(it, small, 0.1);
        if (rank == small) {
            it.times().saw("r", "small", 100, millis{50}, millis{100});
        } else {
            ++escalated;
            it.times().saw("r", rank == large ? "large" : "middle", 100, slow, slow);
        }
    }
    BOOST_TEST(escalated < requests / 50);
}

// Guards against escalating to a model whose engines have a long queue: the answer in hand is in
// time, the larger model's first event would miss the target, and its prefill delays others.
BOOST_AUTO_TEST_CASE(queue_of_the_engine_counts_against_the_target)
{
    const model_choice it{{}};
    const route_spec route = route_of_three();
    const std::vector<double> prefill{10, 40, 100};
    const auto choose = [&](double queue) {
        const std::vector<double> queue_ms{queue, queue, queue};
        return it.after({route, small, 0.3, millis{50}, plenty, 2, prefill, queue_ms});
    };
    BOOST_TEST(choose(0) == large);
    BOOST_TEST(choose(900) == large);
    BOOST_TEST(choose(1000) == small);
}

// Guards against second runs of requests that are late already, while the engines have a queue:
// after an outage of all hosts they made most new requests late too.
BOOST_AUTO_TEST_CASE(late_request_is_escalated_only_while_the_queue_is_short)
{
    const model_choice it{{}};
    const route_spec route = route_of_three();
    const std::vector<double> prefill{10, 40, 100};
    const auto choose = [&](double queue) {
        const std::vector<double> queue_ms{queue, queue, queue};
        return it.after({route, small, 0.3, millis{1500}, plenty, 2, prefill, queue_ms});
    };
    BOOST_TEST(choose(1000) == large);
    BOOST_TEST(choose(1010) == small);
}

BOOST_AUTO_TEST_SUITE_END()
