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
    out.models = {"small", "middle", "large"};
    out.target_latency = millis{1000};
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(model_choice_suite)

BOOST_AUTO_TEST_CASE(an_answer_that_its_model_is_sure_of_is_kept)
{
    const model_choice it{{}};
    BOOST_TEST(it.after(route_of_three(), small, 0.6, plenty) == small);
    BOOST_TEST(it.after(route_of_three(), middle, 0.5, plenty) == middle);
}

// A model that is sure by little more than half is wrong now and then. Another that is a little
// better costs little while engines are quick; when they are slow it makes others late.
BOOST_AUTO_TEST_CASE(a_barely_sure_answer_goes_to_the_middle_model_while_engines_are_quick)
{
    model_choice it{{}};
    BOOST_TEST(it.after(route_of_three(), small, 0.55, plenty) == middle);
    for (int n = 0; n < 200; ++n) {
        it.saw_first(0.9);
    }
    BOOST_TEST(it.after(route_of_three(), small, 0.55, plenty) == small);
}

// Requests of all difficulties come. Those that the smallest model nearly answers well are the
// middle model's; sent to the largest one they would take four times its engine time.
BOOST_AUTO_TEST_CASE(a_request_that_was_nearly_answered_well_goes_to_the_middle_model)
{
    const model_choice it{{}};
    BOOST_TEST(it.after(route_of_three(), small, 0.45, plenty) == middle);
    BOOST_TEST(it.after(route_of_three(), small, 0.2, plenty) == large);
    BOOST_TEST(it.after(route_of_three(), middle, 0.45, plenty) == large);
}

// The middle model turns out to be hardly better than the smallest: it is asked no more.
BOOST_AUTO_TEST_CASE(a_middle_model_that_gains_nothing_is_passed_over)
{
    model_choice it{{}};
    for (int n = 0; n < 100; ++n) {
        it.saw_pair("small", 0.45, "middle", 0.46);
    }
    BOOST_TEST(it.after(route_of_three(), small, 0.45, plenty) == large);
}

BOOST_AUTO_TEST_CASE(a_middle_model_that_gains_much_is_asked_more_often)
{
    model_choice it{{}};
    for (int n = 0; n < 100; ++n) {
        it.saw_pair("small", 0.3, "middle", 0.6);
        it.saw_pair("small", 0.3, "middle", 1.0); // the end of the scale says little
    }
    BOOST_TEST(it.after(route_of_three(), small, 0.25, plenty) == middle);
}

// Engines are slow, first events come near their targets. The largest model is asked less, as it
// would make everybody late; the middle one hardly adds to the load.
BOOST_AUTO_TEST_CASE(under_pressure_only_the_largest_model_is_asked_less)
{
    model_choice it{{}};
    for (int n = 0; n < 200; ++n) {
        it.saw_first(0.9);
    }
    BOOST_TEST(it.after(route_of_three(), small, 0.45, plenty) == middle);
    BOOST_TEST(it.after(route_of_three(), small, 0.35, plenty) == small);
    BOOST_TEST(it.after(route_of_three(), small, 0.2, plenty) == large);
}

BOOST_AUTO_TEST_CASE(without_time_for_another_answer_the_first_is_kept)
{
    const model_choice it{{}};
    BOOST_TEST(it.after(route_of_three(), small, 0.1, millis{900}) == small);
}

BOOST_AUTO_TEST_SUITE_END()
