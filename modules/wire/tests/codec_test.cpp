#include "hickorypost/wire/codec.h"
#include "hickorypost/wire/messages.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace wire = hickorypost::wire;

namespace {

struct old_shape {
    std::uint64_t id = 0;
};

struct new_shape {
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
    const auto back = wire::try_decode<wire::agent_info>(wire::encode(agent));
    RC_ASSERT(back.has_value());
    RC_ASSERT(wire::encode(*back) == wire::encode(agent));
}

RC_BOOST_PROP(hostile_bytes_are_refused_not_misread, (const std::string& bytes))
{
    const auto got = wire::try_decode<wire::start>(bytes);
    RC_ASSERT(!got || wire::detail::is_one_value(bytes));
}

RC_BOOST_PROP(torn_messages_are_refused, (const std::string& body))
{
    const std::string whole = wire::encode(wire::piece{1, 2, body});
    for (std::size_t n = 0; n < whole.size(); ++n) {
        RC_ASSERT(!wire::try_decode<wire::piece>(std::string_view{whole}.substr(0, n)));
    }
}

BOOST_AUTO_TEST_CASE(older_reader_skips_new_fields)
{
    const auto bytes = wire::encode(new_shape{7, "x", {std::nullopt, -3}});
    BOOST_TEST(wire::try_decode<old_shape>(bytes)->id == 7U);
}

BOOST_AUTO_TEST_CASE(newer_reader_keeps_defaults_of_missing_fields)
{
    const auto back = wire::try_decode<new_shape>(wire::encode(old_shape{7}));
    BOOST_TEST(back->id == 7U);
    BOOST_TEST(back->note == "default");
}

BOOST_AUTO_TEST_SUITE_END()
