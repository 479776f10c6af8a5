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

/// The rank to go on with after an answer on the route of three.
std::size_t after(const model_choice& it, std::size_t rank, double confidence, millis left = plenty,
                  std::uint32_t attempts_left = 2)
{
    static const route_spec route = route_of_three();
    static const std::vector<double> reading{10, 40, 100};
    return it.after({route, rank, confidence, millis{0}, left, attempts_left, reading});
}

/// Runs with prompts that take 100 and 200 ms to read.
void learn_times(model_choice& it, const std::string& model, millis first, millis rest)
{
    for (int n = 0; n < 100; ++n) {
        it.times().saw("r", model, 100, first, rest);
        it.times().saw("r", model, 200, first * 2, rest);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(model_choice_suite)

BOOST_AUTO_TEST_CASE(an_answer_that_its_model_is_sure_of_is_kept)
{
    const model_choice it{{}};
    BOOST_TEST(after(it, small, 0.6) == small);
    BOOST_TEST(after(it, middle, 0.5) == middle);
}

// A model that is sure by little more than half is wrong now and then. Another that is a little
// better costs little while engines are quick; when they are slow it makes others late.
BOOST_AUTO_TEST_CASE(a_barely_sure_answer_goes_to_the_middle_model_while_engines_are_quick)
{
    model_choice it{{}};
    BOOST_TEST(after(it, small, 0.55) == middle);
    for (int n = 0; n < 200; ++n) {
        it.record_first_event(0.9);
    }
    BOOST_TEST(after(it, small, 0.55) == small);
}

// Requests of all difficulties come. Those that the smallest model nearly answers well are the
// middle model's; sent to the largest one they would take four times its engine time.
BOOST_AUTO_TEST_CASE(a_request_that_was_nearly_answered_well_goes_to_the_middle_model)
{
    const model_choice it{{}};
    BOOST_TEST(after(it, small, 0.45) == middle);
    BOOST_TEST(after(it, small, 0.2) == large);
    BOOST_TEST(after(it, middle, 0.45) == large);
}

// The middle model turns out to be hardly better than the smallest: it is asked no more.
BOOST_AUTO_TEST_CASE(a_middle_model_that_gains_nothing_is_passed_over)
{
    model_choice it{{}};
    for (int n = 0; n < 100; ++n) {
        it.record_confidence_pair("small", 0.45, "middle", 0.46);
    }
    BOOST_TEST(after(it, small, 0.45) == large);
}

BOOST_AUTO_TEST_CASE(a_middle_model_that_gains_much_is_asked_more_often)
{
    model_choice it{{}};
    for (int n = 0; n < 100; ++n) {
        it.record_confidence_pair("small", 0.3, "middle", 0.6);
        it.record_confidence_pair("small", 0.3, "middle", 1.0); // the end of the scale says little
    }
    BOOST_TEST(after(it, small, 0.25) == middle);
}

// Engines are slow, first events come near their targets. The largest model is asked less, as it
// would make everybody late; the middle one hardly adds to the load.
BOOST_AUTO_TEST_CASE(under_pressure_only_the_largest_model_is_asked_less)
{
    model_choice it{{}};
    for (int n = 0; n < 200; ++n) {
        it.record_first_event(0.9);
    }
    BOOST_TEST(after(it, small, 0.45) == middle);
    BOOST_TEST(after(it, small, 0.35) == small);
    BOOST_TEST(after(it, small, 0.2) == large);
}

// On some routes the target is all the time that callers give. A larger model is asked wherever it
// is likely to be done in time; counted in whole targets, it was never asked there, and every
// answer that was too hard for the smallest model was worth nothing to its caller.
BOOST_AUTO_TEST_CASE(a_larger_model_is_asked_where_its_answer_comes_in_time)
{
    model_choice it{{}};
    learn_times(it, "large", millis{300}, millis{200});
    BOOST_TEST(after(it, small, 0.1, millis{900}) == large);
    BOOST_TEST(after(it, small, 0.1, millis{400}) == small);
    learn_times(it, "large", millis{900}, millis{300});
    BOOST_TEST(after(it, small, 0.1, millis{900}) == small);
}

BOOST_AUTO_TEST_CASE(a_model_that_was_never_seen_is_taken_for_one_that_reads_as_reckoned)
{
    const model_choice it{{}};
    BOOST_TEST(after(it, small, 0.1, millis{150}) == large);
    BOOST_TEST(after(it, small, 0.1, millis{90}) == small);
}

// A very long prompt comes. Read by the largest model it takes longer than the target, and each
// stream beside it stands still meanwhile. The caller is better served by an answer in time that
// may do, or by the middle model's, than by a sure one that is late.
BOOST_AUTO_TEST_CASE(a_prompt_too_long_for_the_largest_model_goes_to_the_middle_one)
{
    const model_choice it{{}};
    const route_spec route = route_of_three();
    const std::vector<double> reading{200, 600, 2500};
    const auto on = [&](std::size_t rank, double confidence, millis spent) {
        return it.after({route, rank, confidence, spent, plenty, 2, reading});
    };
    BOOST_TEST(on(small, 0.3, millis{200}) == middle);
    BOOST_TEST(on(middle, 0.3, millis{900}) == middle);
    BOOST_TEST(on(small, 0.3, millis{600}) == small);  // the middle one would be late as well
    BOOST_TEST(on(small, 0.1, millis{600}) == large);  // hardly of any use: better late
    BOOST_TEST(on(small, 0.3, millis{1200}) == large); // late whatever is done
}

// The last attempt that a route allows is not spent on a dropped answer: the answer that is there
// would be lost for one that may not come.
BOOST_AUTO_TEST_CASE(without_an_attempt_left_the_answer_is_kept)
{
    const model_choice it{{}};
    BOOST_TEST(after(it, small, 0.1, plenty, 0) == small);
}

// Guards against a large model that stays unused after a period in which it was slow.
BOOST_AUTO_TEST_CASE(model_that_was_slow_once_is_asked_again)
{
    constexpr int requests = 5000;
    model_choice it{{}};
    learn_times(it, "small", millis{50}, millis{100});
    learn_times(it, "middle", millis{20'000}, millis{20'000});
    learn_times(it, "large", millis{20'000}, millis{20'000});
    int asked = 0;
    for (int n = 0; n < requests; ++n) {
        asked += after(it, small, 0.1) == small ? 0 : 1;
        it.times().saw("r", "small", 100, millis{50}, millis{100});
    }
    BOOST_TEST(asked > 0);
}

// Guards against trying a slow model again at the cost of its requests.
BOOST_AUTO_TEST_CASE(model_that_stays_slow_is_asked_seldom)
{
    constexpr int requests = 5000;
    constexpr millis slow{20'000};
    model_choice it{{}};
    learn_times(it, "small", millis{50}, millis{100});
    learn_times(it, "middle", slow, slow);
    learn_times(it, "large", slow, slow);
    int asked = 0;
    for (int n = 0; n < requests; ++n) {
        const auto rank = after(it, small, 0.1);
        if (rank == small) {
            it.times().saw("r", "small", 100, millis{50}, millis{100});
        } else {
            ++asked;
            it.times().saw("r", rank == large ? "large" : "middle", 100, slow, slow);
        }
    }
    BOOST_TEST(asked < requests / 50);
}

BOOST_AUTO_TEST_SUITE_END()
