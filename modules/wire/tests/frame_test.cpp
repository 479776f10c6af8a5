#include "hickorypost/wire/frame.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace wire = hickorypost::wire;
namespace leaf = boost::leaf;

namespace {

std::optional<wire::frame> next_frame(wire::frame_reader& reader)
{
    return leaf::try_handle_all([&] { return reader.next(); },
                                [] { return std::optional<wire::frame>{}; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(frame)

RC_BOOST_PROP(frames_are_reassembled_from_chunks_of_any_size,
              (const std::vector<std::string>& bodies, std::uint8_t step))
{
    std::string stream;
    for (const auto& it : bodies) {
        wire::append_frame(stream, 9, it);
    }
    wire::frame_reader reader;
    std::vector<std::string> received;
    const std::size_t chunk_size = step + 1U;
    for (std::size_t at = 0; at < stream.size(); at += chunk_size) {
        reader.push(std::string_view{stream}.substr(at, chunk_size));
        while (auto it = next_frame(reader)) {
            received.push_back(it->body);
        }
    }
    RC_ASSERT(received == bodies);
}

BOOST_AUTO_TEST_CASE(oversized_frame_is_rejected_before_its_body_arrives)
{
    wire::frame_reader reader{16};
    std::string stream;
    wire::append_frame(stream, 1, std::string(64, 'x'));
    reader.push(std::string_view{stream}.substr(0, wire::frame_header_bytes));
    const bool rejected = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(reader.next());
            return false;
        },
        [](wire::frame_error ec) { return ec == wire::frame_error::too_large; },
        [] { return false; });
    BOOST_TEST(rejected);
}

BOOST_AUTO_TEST_SUITE_END()
