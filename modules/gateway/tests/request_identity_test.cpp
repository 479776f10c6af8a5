#include "hickorypost/gateway/request_identity.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace hickorypost::gateway;

BOOST_AUTO_TEST_SUITE(request_identity_suite)

// Guards against taking one caller's request for another's, also when the same bytes are split
// differently between the parts.
BOOST_AUTO_TEST_CASE(identity_depends_on_each_part)
{
    const identity_parts plain{"kuzgun", "a.example", "POST", "/x/y", "body"};
    const std::vector<identity_parts> others{{"hule", "a.example", "POST", "/x/y", "body"},
                                             {"kuzgun", "b.example", "POST", "/x/y", "body"},
                                             {"kuzgun", "a.example", "PUT", "/x/y", "body"},
                                             {"kuzgun", "a.example", "POST", "/x/z", "body"},
                                             {"kuzgun", "a.example", "POST", "/x/y", "bodY"},
                                             {"kuzguna", ".example", "POST", "/x/y", "body"},
                                             {"kuzgun", "a.example", "POST", "/x/yb", "ody"}};
    const auto mine = identity_of(plain);
    BOOST_TEST((identity_of(plain) == mine));
    BOOST_TEST(outline_of(plain) == mine.outline);
    for (const auto& it : others) {
        BOOST_TEST((identity_of(it) != mine));
    }
}

BOOST_AUTO_TEST_CASE(text_form_round_trips)
{
    const request_identity it{0x1fU, 0xf000000000000001U};
    BOOST_TEST(to_text(it) == "000000000000001ff000000000000001");
    BOOST_TEST((parse_identity(to_text(it)) == it));
    for (const auto* const bad :
         {"", "1f", "000000000000001ff00000000000000g", "000000000000001ff0000000000000011",
          "+00000000000001ff000000000000001"}) {
        BOOST_TEST(!parse_identity(bad).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
