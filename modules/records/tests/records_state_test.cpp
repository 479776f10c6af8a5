#include "hickorypost/records/freshness.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::records;

record_change account_change(std::uint64_t number, std::uint64_t amends, const std::string& id,
                             const std::string& extra)
{
    record_change out;
    out.change_id = id;
    out.kind = "account";
    out.name = "k";
    out.number = number;
    out.amends = amends;
    out.document =
        R"({"kind":"account","name":"k","number":)" + std::to_string(number) + "," + extra + "}";
    return out;
}

const std::string schema_2_fields = R"("schema":2,"allow":[{"model":"skills","versions":["1"]}])";
const std::string schema_1_fields = R"("schema":1,"models":["skills"])";

std::vector<record_fault> faults_of(const std::string& document)
{
    std::vector<record_fault> out;
    value_or_handle<record_error>(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(parse_record(document, "file"));
            return true;
        },
        [&](const record_error& error) {
            out = error.faults;
            return false;
        });
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(records)

// Two operators both amend number 1 with number 2. Exactly one change may be accepted,
// the other result must name the accepted change, and a resend of either must return its first
// result.
BOOST_AUTO_TEST_CASE(one_concurrent_amendment_is_accepted_and_resends_return_the_first_result)
{
    records_state state;
    const auto change = [&](std::uint64_t index, const record_change& it) {
        return state.apply(index, 0, {it, std::nullopt});
    };
    BOOST_TEST(
        (change(1, account_change(1, 0, "a", schema_2_fields)).status == change_status::accepted));
    BOOST_TEST(
        (change(2, account_change(2, 1, "b", schema_2_fields)).status == change_status::accepted));
    const auto lost = change(3, account_change(2, 1, "c", schema_1_fields));
    BOOST_TEST((lost.status == change_status::number_taken));
    BOOST_TEST(lost.winner == "b");
    BOOST_TEST(
        (change(4, account_change(2, 1, "b", schema_2_fields)).status == change_status::accepted));
    BOOST_TEST((change(5, account_change(2, 1, "c", schema_1_fields)).status ==
                change_status::number_taken));
    BOOST_TEST(
        (change(6, account_change(3, 2, "b", schema_2_fields)).status == change_status::id_reused));
    BOOST_TEST(state.list().front().change_id == "b");
}

BOOST_AUTO_TEST_CASE(documents_of_old_and_new_schemas_are_both_parsed)
{
    records_state state;
    state.apply(1, 0, {account_change(1, 0, "a", schema_1_fields), std::nullopt});
    BOOST_TEST(state.account("k")->allow.front().versions.empty());
    state.apply(2, 0, {account_change(2, 1, "b", schema_2_fields), std::nullopt});
    BOOST_TEST(state.account("k")->allow.front().versions.size() == 1U);
    records_state again;
    BOOST_TEST(again.load(state.save()));
    BOOST_TEST(again.save() == state.save());
}

BOOST_AUTO_TEST_CASE(faults_name_line_and_key)
{
    const auto unknown = faults_of("{\"kind\":\"account\",\n\"name\":\"k\",\"schema\":2,\n"
                                   "\"number\":1,\n\"alow\":[]}");
    BOOST_REQUIRE(unknown.size() == 1U);
    BOOST_TEST(unknown.front().key == "alow");
    BOOST_TEST(unknown.front().line == 4U);
    BOOST_TEST(faults_of(R"({"kind":"account","name":"k","number":1,"schema":9})").front().key ==
               "schema");
    BOOST_TEST(!faults_of("{").empty());
}

// A reply with a mark is delayed for longer than the lease. If the node counted the mark's age from
// the arrival, it would start work on outdated records.
BOOST_AUTO_TEST_CASE(delayed_mark_grants_no_lease)
{
    record_replica leader{{}};
    record_replica node{{}};
    const instant start{millis{10'000}};
    leader.take_own_mark(0, start);
    const auto query = node.make_query(start);
    const auto reply = leader.answer(query, start);
    node.take_reply(reply);
    BOOST_TEST(node.fresh(start + millis{1500}));
    BOOST_TEST(!node.fresh(start + millis{2000}));
    const auto second = node.make_query(start + millis{100});
    node.take_reply(leader.answer(second, start + millis{1900}));
    BOOST_TEST(!node.fresh(start + millis{1985}));
}

// A relayed mark includes its age at the relay, so the node's lease must end when the relay's lease
// ends.
BOOST_AUTO_TEST_CASE(relayed_mark_expires_with_the_original)
{
    record_replica leader{{}};
    record_replica relay{{}};
    record_replica node{{}};
    const instant start{millis{10'000}};
    leader.take_own_mark(0, start);
    relay.take_reply(leader.answer(relay.make_query(start), start));
    const instant later = start + millis{1000};
    node.take_reply(relay.answer(node.make_query(later), later));
    BOOST_TEST(node.fresh(start + millis{1900}));
    BOOST_TEST(!node.fresh(start + millis{1981}));
    BOOST_TEST((in_force_at(start, {}) >= start + millis{2000}));
}

BOOST_AUTO_TEST_SUITE_END()
