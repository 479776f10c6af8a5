#include "hickorypost/wire/codec.h"
#include "hickorypost/wire/messages.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace wire = hickorypost::wire;

namespace {

struct old_message {
    std::uint64_t id = 0;
};

struct new_message {
    std::uint64_t id = 0;
    std::string note = "default";
    std::vector<std::optional<std::int64_t>> items;
};

} // namespace

BOOST_AUTO_TEST_SUITE(codec)

RC_BOOST_PROP(round_trip_keeps_every_field, (std::uint64_t id, const std::string& body, bool flag,
                                             const std::vector<std::string>& names))
{
    wire::agent_info agent;
    agent.life = id;
    agent.address = body;
    agent.leaving = flag;
    for (const auto& it : names) {
        agent.backends.push_back({.name = it, .offers = {{it, body}}});
    }
    const auto restored = wire::try_decode<wire::agent_info>(wire::encode(agent));
    RC_ASSERT(restored.has_value());
    RC_ASSERT(wire::encode(*restored) == wire::encode(agent));
}

RC_BOOST_PROP(malformed_bytes_are_rejected, (const std::string& bytes))
{
    const auto decoded = wire::try_decode<wire::start>(bytes);
    RC_ASSERT(!decoded || wire::detail::is_single_value(bytes));
}

RC_BOOST_PROP(truncated_messages_are_rejected, (const std::string& body))
{
    const std::string encoded = wire::encode(wire::piece{1, 2, body});
    for (std::size_t n = 0; n < encoded.size(); ++n) {
        RC_ASSERT(!wire::try_decode<wire::piece>(std::string_view{encoded}.substr(0, n)));
    }
}

BOOST_AUTO_TEST_CASE(older_decoder_skips_unknown_fields)
{
    const auto bytes = wire::encode(new_message{7, "x", {std::nullopt, -3}});
    BOOST_TEST(wire::try_decode<old_message>(bytes)->id == 7U);
}

BOOST_AUTO_TEST_CASE(newer_decoder_keeps_defaults_of_missing_fields)
{
    const auto restored = wire::try_decode<new_message>(wire::encode(old_message{7}));
    BOOST_TEST(restored->id == 7U);
    BOOST_TEST(restored->note == "default");
}

BOOST_AUTO_TEST_SUITE_END()
