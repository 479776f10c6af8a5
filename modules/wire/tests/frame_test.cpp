#include "hickorypost/wire/frame.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace wire = hickorypost::wire;
namespace leaf = boost::leaf;

namespace {

std::optional<wire::frame> take(wire::frame_reader& reader)
{
    return leaf::try_handle_all([&] { return reader.next(); },
                                [] { return std::optional<wire::frame>{}; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(frame)

RC_BOOST_PROP(frames_survive_any_cut_of_the_stream,
              (const std::vector<std::string>& bodies, std::uint8_t step))
{
    std::string stream;
    for (const auto& it : bodies) {
        wire::append_frame(stream, 9, it);
    }
    wire::frame_reader reader;
    std::vector<std::string> got;
    const std::size_t cut = step + 1U;
    for (std::size_t at = 0; at < stream.size(); at += cut) {
        reader.push(std::string_view{stream}.substr(at, cut));
        while (auto it = take(reader)) {
            got.push_back(it->body);
        }
    }
    RC_ASSERT(got == bodies);
}

BOOST_AUTO_TEST_CASE(oversized_frame_is_an_error_before_its_bytes_arrive)
{
    wire::frame_reader reader{16};
    std::string stream;
    wire::append_frame(stream, 1, std::string(64, 'x'));
    reader.push(std::string_view{stream}.substr(0, wire::frame_header_bytes));
    const bool refused = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(reader.next());
            return false;
        },
        [](wire::frame_error ec) { return ec == wire::frame_error::too_large; },
        [] { return false; });
    BOOST_TEST(refused);
}

BOOST_AUTO_TEST_SUITE_END()
