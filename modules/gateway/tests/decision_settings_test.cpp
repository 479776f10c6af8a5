#include "hickorypost/gateway/decision_settings.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace hickorypost::gateway;

BOOST_AUTO_TEST_SUITE(decision_settings_suite)

BOOST_AUTO_TEST_CASE(mechanisms_are_found_by_name)
{
    const auto all = mechanisms();
    BOOST_TEST(std::is_sorted(all.begin(), all.end(),
                              [](const auto& a, const auto& b) { return a.name < b.name; }));
    for (const auto& it : all) {
        BOOST_TEST(find_mechanism(it.name) == &it);
    }
    BOOST_TEST(find_mechanism("no_such") == nullptr);
}

BOOST_AUTO_TEST_CASE(mechanism_switched_off_has_no_effect)
{
    decision_settings settings;
    find_mechanism("way_quality")->switch_off(settings);
    BOOST_TEST(settings.balancer.impaired_path_ms == 0);
    find_mechanism("middle_model")->switch_off(settings);
    const model_choice models{settings.models};
    route_spec route;
    route.models = {"small", "middle", "large"};
    const std::vector<double> prefill{1, 1, 1};
    const hickorypost::millis plenty{10'000};
    const auto next = models.after({route, 0, 0.45, hickorypost::millis{0}, plenty, 2, prefill});
    BOOST_TEST(next == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
