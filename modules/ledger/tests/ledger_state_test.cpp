#include "hickorypost/ledger/ledger_state.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::ledger;

constexpr std::int64_t start_ms = 10'000'000;

usage_fact fact_of(const std::string& request, attempt_id attempt, std::int64_t started)
{
    usage_fact out;
    out.key = {"k", request};
    out.attempt = attempt;
    out.started_wall_ms = started;
    out.lines.push_back({{"skills", "1"}, "a1", true, {10, 0, 20}, 7, 5, 50});
    return out;
}

ledger_reply write(ledger_state& state, std::int64_t now, ledger_command command)
{
    return state.apply(now, {{std::move(command)}}).replies.front();
}

ledger_reply bill(ledger_state& state, std::int64_t now, usage_fact fact)
{
    return write(state, now, {std::nullopt, std::nullopt, std::move(fact)});
}

ledger_reply open(ledger_state& state, std::int64_t now, attempt_id attempt, bool non_idempotent)
{
    return write(
        state, now,
        {open_request{{"k", "r"}, attempt, "a1", 1, "engine", {"skills", "1"}, non_idempotent},
         std::nullopt, std::nullopt});
}

} // namespace

BOOST_AUTO_TEST_SUITE(ledger)

// Entry and agent both report the usage of one attempt, and a second attempt reports its own usage.
// Billing either duplicate would charge the account twice; only the second attempt counts as waste.
BOOST_AUTO_TEST_CASE(first_usage_counts_and_the_rest_is_waste)
{
    ledger_state state{{}};
    BOOST_TEST(
        (bill(state, start_ms, fact_of("r", 1, start_ms)).status == ledger_status::recorded));
    BOOST_TEST(
        (bill(state, start_ms, fact_of("r", 1, start_ms)).status == ledger_status::duplicate));
    BOOST_TEST(
        (bill(state, start_ms, fact_of("r", 2, start_ms)).status == ledger_status::duplicate));
    const auto report = state.report({});
    BOOST_REQUIRE(report.rows.size() == 1U);
    BOOST_TEST(report.rows.front().requests == 1U);
    BOOST_TEST(report.rows.front().cost == 7);
    BOOST_TEST(report.duplicate_usage == 1U);
    BOOST_TEST(report.wasted_tokens == 30U);
}

// Usage arrives after its request key has expired. The request may have been billed already, so the
// usage is recorded as late at no cost instead of being billed twice.
BOOST_AUTO_TEST_CASE(late_usage_is_never_billed_twice)
{
    ledger_state state{{.window_ms = 1000}};
    bill(state, start_ms, fact_of("r", 1, start_ms));
    BOOST_TEST(
        (bill(state, start_ms + 5000, fact_of("r", 1, start_ms)).status == ledger_status::late));
    std::int64_t cost = 0;
    for (const auto& row : state.report({}).rows) {
        cost += row.cost;
    }
    BOOST_TEST(cost == 7);
}

BOOST_AUTO_TEST_CASE(a_second_opening_finds_the_first)
{
    ledger_state state{{}};
    BOOST_TEST((open(state, start_ms, 1, true).status == ledger_status::recorded));
    BOOST_TEST((open(state, start_ms, 1, true).status == ledger_status::recorded));
    const auto second = open(state, start_ms, 2, true);
    BOOST_TEST((second.status == ledger_status::duplicate));
    BOOST_TEST(second.holder->attempt == 1U);
}

BOOST_AUTO_TEST_CASE(opened_and_never_billed_shows_as_unknown)
{
    ledger_state state{{.window_ms = 1000}};
    open(state, start_ms, 1, false);
    state.apply(start_ms + 2000, {});
    BOOST_REQUIRE(state.report({}).rows.size() == 1U);
    BOOST_TEST((state.report({}).rows.front().outcome == request_outcome::unknown));
    BOOST_TEST(state.open_keys() == 0U);
}

BOOST_AUTO_TEST_CASE(a_session_keeps_its_first_version)
{
    ledger_state state{{}};
    const auto bind = [&](const char* version) {
        return write(state, start_ms,
                     {std::nullopt, bind_session{"k", "s", {"skills", version}}, std::nullopt});
    };
    BOOST_TEST(bind("1").bound_version == "1");
    BOOST_TEST(bind("2").bound_version == "1");
    ledger_state again{{}};
    BOOST_TEST(again.load(state.save()));
    BOOST_TEST(again.save() == state.save());
}

BOOST_AUTO_TEST_CASE(costs_are_exact_beyond_64_bits)
{
    BOOST_TEST(cost_of({2'000'000'000, 0, 0}, 1'000'000'000'000, 0) == 2'000'000'000'000'000);
    BOOST_TEST(cost_of({1, 0, 0}, 1, 0) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
