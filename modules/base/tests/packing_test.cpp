#include "hickorypost/base/packing.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;

std::string long_text()
{
    std::string out;
    for (int n = 0; n < 1300; ++n) {
        out += R"({"Name":"route-)" + std::to_string(n) + R"(","Kind":"streaming"},)";
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(packing)

BOOST_AUTO_TEST_CASE(packed_text_is_smaller_and_unpacks_to_the_same_bytes)
{
    const std::string text = long_text();
    const std::string packed = pack(text);
    BOOST_TEST(packed.size() * 5 < text.size());
    BOOST_TEST((unpack(packed) == text));
    BOOST_TEST((unpack(pack("")) == ""));
}

BOOST_AUTO_TEST_CASE(uncompressed_text_is_returned_unchanged)
{
    BOOST_TEST((unpack("{\"Version\":7}") == "{\"Version\":7}"));
}

BOOST_AUTO_TEST_CASE(corrupt_or_oversized_input_is_rejected)
{
    const std::string packed = pack(long_text());
    BOOST_TEST(!unpack(packed.substr(0, packed.size() / 2)));
    BOOST_TEST(!unpack(packed.substr(0, 4)));
    BOOST_TEST(!unpack(packed, 1000));
}

BOOST_AUTO_TEST_SUITE_END()
