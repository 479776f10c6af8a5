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

// Guards against a host of an earlier release that cannot read the status of a later one, and
// against reports of usage to a host that has not said that it handles them.
BOOST_AUTO_TEST_CASE(core_status_of_an_earlier_release_takes_no_account_usage)
{
    struct earlier_core_status {
        std::vector<wire::host_info> core;
        std::string leader;
        std::uint64_t term = 0;
        std::uint64_t revision = 0;
        std::uint32_t hosts = 0;
        bool applies_evacuations = false;
    };
    const auto read = wire::try_decode<wire::core_status>(
        wire::encode(earlier_core_status{{}, "l", 3, 4, 5, true}));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->applies_evacuations);
    BOOST_TEST(!read->takes_account_usage);
    wire::core_status later;
    later.hosts = 7;
    later.takes_account_usage = true;
    BOOST_TEST(wire::try_decode<earlier_core_status>(wire::encode(later))->hosts == 7U);
}

// Guards against rows that are much larger than the names of the accounts.
BOOST_AUTO_TEST_CASE(row_of_account_usage_takes_twenty_bytes_and_the_name)
{
    const std::string name = "account-number";
    wire::account_usage report;
    const std::size_t empty = wire::encode(report).size();
    for (int n = 0; n < 64; ++n) {
        report.rows.push_back({name, 1234.5 + n, 1234.5});
    }
    BOOST_TEST(wire::encode(report).size() <= empty + 2 + 64 * (name.size() + 20));
}

BOOST_AUTO_TEST_SUITE_END()
