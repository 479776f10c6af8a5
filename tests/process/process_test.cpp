/// End-to-end tests with real processes under faults: signals, lost disks, lost connections and
/// concurrent operators. Every wait polls a condition with a time limit.

#include "deployment.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace {

using namespace hickorypost::testing;
using std::chrono::milliseconds;

constexpr milliseconds stream_limit{30'000};

bool is_complete_answer(const http_reply& reply)
{
    return reply.status == 200 && reply.whole &&
           reply.body.find("data: [DONE]") != std::string::npos;
}

std::size_t count_of(const std::string& text, const std::string& part)
{
    std::size_t out = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++out;
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(process)

// Guards against lost or duplicated billing when the leader of the ledger group is killed while
// answers are streaming: callers get complete answers, and each is in the report once.
BOOST_AUTO_TEST_CASE(killed_ledger_leader_loses_no_bill)
{
    deployment it;
    BOOST_REQUIRE(it.start());
    const std::size_t before = it.reported_requests();
    std::vector<std::unique_ptr<http_client>> open;
    for (std::size_t n = 0; n < 12; ++n) {
        open.push_back(it.begin_chat(n % 2, "skills@1", 30));
    }
    BOOST_REQUIRE(open.front()->read_until("v1", stream_limit));
    std::string leader;
    BOOST_REQUIRE(eventually([&] { return !(leader = it.leader(1)).empty(); }));
    it.node(leader).kill();
    for (const auto& answer : open) {
        BOOST_TEST(is_complete_answer(answer->finish(stream_limit)));
    }
    BOOST_TEST(eventually([&] { return it.reported_requests() == before + open.size(); }));
}

// Guards against running a non-idempotent request twice when an entry is killed while it relays the
// answer: a retry through the other entry gets the answer of the first run.
BOOST_AUTO_TEST_CASE(resend_through_another_entry_never_runs_twice)
{
    deployment it;
    BOOST_REQUIRE(it.start());
    const auto first = it.begin_chat(0, "skills@2", 200, "plan-1", true);
    BOOST_REQUIRE(first->read_until("v2", stream_limit));
    it.node("e1").kill();
    BOOST_TEST(!is_complete_answer(first->finish(stream_limit)));
    const auto second = it.begin_chat(1, "skills@2", 200, "plan-1", true)->finish(stream_limit);
    BOOST_TEST(is_complete_answer(second));
    BOOST_TEST(count_of(second.body, "v2 ") == 200U);
    BOOST_TEST(it.starts_of("plan-1") == 1U);
    const auto third = it.chat(1, "skills@2", "plan-1", true);
    BOOST_TEST(third.body.find("\"not_run\"") == std::string::npos);
    BOOST_TEST(it.starts_of("plan-1") == 1U);
}

// Guards against an agent that starts requests on stale records: it is stopped with SIGSTOP while
// its version is withdrawn. Its lease has expired when it resumes, so it must start nothing.
BOOST_AUTO_TEST_CASE(frozen_agent_wakes_to_a_withdrawal)
{
    deployment it;
    BOOST_REQUIRE(it.start());
    it.node("a1").signal(SIGSTOP);
    std::vector<std::unique_ptr<http_client>> waiting;
    for (std::size_t n = 0; n < 6; ++n) {
        waiting.push_back(it.begin_chat(n % 2, "skills@1", 4));
    }
    BOOST_REQUIRE(it.command({"withdraw", "--model", "skills", "--version", "1"}).first == 0);
    BOOST_REQUIRE(eventually([&] {
        const auto records = it.command({"records"}).second;
        const auto at = records.find("withdrawal");
        return at != std::string::npos &&
               records.find("in force everywhere", at) != std::string::npos;
    }));
    const std::size_t before = it.starts_on_version("1");
    it.node("a1").signal(SIGCONT);
    for (const auto& answer : waiting) {
        const auto reply = answer->finish(stream_limit);
        BOOST_TEST(!is_complete_answer(reply));
        BOOST_TEST(reply.body.find("outcome") != std::string::npos);
    }
    BOOST_TEST(it.chat(0, "skills@1").status != 200);
    BOOST_TEST(it.starts_on_version("1") == before);
}

// Guards against losing records or the report when one control host loses its disk, is replaced and
// votes again, and then another host is lost. The two remaining hosts must also serve new requests.
BOOST_AUTO_TEST_CASE(second_host_lost_after_a_repair)
{
    deployment it;
    BOOST_REQUIRE(it.start());
    const std::size_t before = it.reported_requests();
    it.node("c2").kill();
    it.wipe_data("c2");
    it.start_node("c2");
    BOOST_REQUIRE(eventually([&] { return it.control_is_fully_replicated(); }));
    it.node("c3").kill();
    BOOST_TEST(eventually([&] { return it.reported_requests() >= before && before > 0; }),
               it.command({"status"}).second);
    BOOST_TEST(eventually([&] { return is_complete_answer(it.chat(0, "skills@1")); }),
               it.command({"status"}).second);
    BOOST_TEST(it.command({"records"}).second.find("kuzgun") != std::string::npos);
}

// Guards against streams that hang when a middlebox drops the state of open connections without
// closing them: the stream resumes on a new connection, with nothing duplicated or missing.
BOOST_AUTO_TEST_CASE(silent_connections_are_replaced)
{
    deployment it{true};
    BOOST_REQUIRE(it.start());
    const auto answer = it.begin_chat(0, "skills@2", 300, "long", true);
    BOOST_REQUIRE(answer->read_until("v2", stream_limit));
    it.stall_agent_connections();
    const auto reply = answer->finish(stream_limit);
    BOOST_TEST(is_complete_answer(reply));
    BOOST_TEST(count_of(reply.body, "v2 ") == 300U);
    BOOST_TEST(it.starts_of("long") == 1U);
}

// Guards against more than one accepted amendment when eight operators concurrently amend the same
// record with the same number and different contents.
BOOST_AUTO_TEST_CASE(operators_racing_have_one_winner)
{
    deployment it;
    BOOST_REQUIRE(it.start());
    std::vector<std::unique_ptr<child>> operators;
    for (int n = 0; n < 8; ++n) {
        const std::string name = "race" + std::to_string(n);
        it.write_file(
            name + ".json",
            R"({"schema": 1, "kind": "model", "name": "skills", "number": 2, "default": "1",
                          "slow_ms": )" +
                std::to_string(100 + n) + R"(, "versions": [{"version": "1"}, {"version": "2"}]})");
        operators.push_back(
            it.start_command({"amend", "--amends", "1", it.path(name + ".json")}, name + ".out"));
    }
    std::size_t winners = 0;
    for (const auto& op : operators) {
        const auto code = op->wait(milliseconds{40'000});
        BOOST_REQUIRE(code.has_value());
        BOOST_TEST((*code == 0 || *code == 1));
        winners += *code == 0 ? 1U : 0U;
    }
    BOOST_TEST(winners == 1U);
}

// Guards against truncated answers on SIGTERM to an entry and an agent: readiness fails at once,
// all answers complete, and only then do the processes exit.
BOOST_AUTO_TEST_CASE(graceful_shutdown_cuts_nothing)
{
    deployment it;
    BOOST_REQUIRE(it.start());
    std::vector<std::unique_ptr<http_client>> open;
    for (std::size_t n = 0; n < 8; ++n) {
        open.push_back(it.begin_chat(0, n % 2 == 0 ? "skills@1" : "skills@2", 100));
    }
    for (const auto& answer : open) {
        BOOST_REQUIRE(answer->read_until("delta", stream_limit));
    }
    it.node("e1").signal(SIGTERM);
    it.node("a1").signal(SIGTERM);
    BOOST_TEST(eventually([&] { return ask(it.entry_port(0), "GET", "/readyz").status != 200; },
                          milliseconds{900}));
    for (const auto& answer : open) {
        const auto reply = answer->finish(stream_limit);
        BOOST_TEST(is_complete_answer(reply),
                   "status " << reply.status << ", ends: "
                             << reply.body.substr(reply.body.size() -
                                                  std::min<std::size_t>(reply.body.size(), 200)));
    }
    BOOST_TEST(it.node("e1").wait(stream_limit).value_or(-1) == 0);
    BOOST_TEST(it.node("a1").wait(stream_limit).value_or(-1) == 0);
}

// Guards against wrong billing when a caller disconnects during a long answer: the engine's work is
// cancelled, and the tokens produced are billed once, with outcome cancelled.
BOOST_AUTO_TEST_CASE(caller_that_leaves_is_billed_for_what_ran)
{
    deployment it;
    BOOST_REQUIRE(it.start());
    {
        const auto answer = it.begin_chat(0, "skills@1", 100'000, "gone");
        BOOST_REQUIRE(answer->read_until("v1", stream_limit));
    }
    BOOST_TEST(eventually([&] {
        const auto json = nlohmann::json::parse(it.command({"report", "--format", "json"}).second,
                                                nullptr, false);
        if (!json.is_object()) {
            return false;
        }
        const auto& rows = json["rows"];
        return std::any_of(rows.begin(), rows.end(), [](const auto& row) {
            return row["outcome"] == "cancelled" && row["requests"] == 1 &&
                   row["completion_tokens"] < 100'000;
        });
    }));
}

// Guards against leaking a connection to the engine per request: an agent would run out of file
// descriptors within 1000 requests and fail every later one.
BOOST_AUTO_TEST_CASE(connections_to_engines_are_reused)
{
    deployment it;
    BOOST_REQUIRE(it.start());
    const std::size_t before = it.node("a1").open_descriptors();
    for (int n = 0; n < 100; ++n) {
        BOOST_TEST(is_complete_answer(it.chat(0, "skills@1", {}, n % 4 == 0)));
    }
    BOOST_TEST(it.node("a1").open_descriptors() < before + 20);
}

// Guards against invalid requests that get an unspecific status or count in the report.
BOOST_AUTO_TEST_CASE(invalid_requests_get_a_specific_status_and_no_bill)
{
    deployment it;
    BOOST_REQUIRE(it.start());
    const std::size_t before = it.reported_requests();
    const std::string path = "/v1/chat/completions";
    const std::string good = "Authorization: Bearer test-caller-key";
    const auto post = [&](const std::vector<std::string>& headers, const std::string& body) {
        return ask(it.entry_port(0), "POST", path, headers, body);
    };
    BOOST_TEST(post({}, "{}").status == 401);
    BOOST_TEST(post({"Authorization: Bearer nobody"}, "{}").status == 401);
    BOOST_TEST(post({good}, "{not json").status == 400);
    BOOST_TEST(post({good}, R"({"model": "unheard-of"})").status == 404);
    BOOST_TEST(post({good}, R"({"model": "skills@9"})").status == 404);
    BOOST_TEST(post({good, "Hickorypost-Timeout-Ms: soon"}, R"({"model": "skills"})").status ==
               400);
    BOOST_TEST(post({good}, std::string(2'000'000, ' ')).status == 413);
    BOOST_TEST(ask(it.entry_port(0), "POST", "/services/store/x", {good}, "{}").status == 403);
    BOOST_TEST(ask(it.entry_port(0), "GET", "/nowhere", {good}).status == 404);
    BOOST_TEST(it.reported_requests() == before);
}

BOOST_AUTO_TEST_SUITE_END()
