#include "one_gateway.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::testing;

struct recorded_work {
    std::string account;
    double work_ms = 0;
};

/// Sends a request with a prompt for an account, optionally to engines, and fails its first
/// attempt. Returns the work that was recorded.
std::vector<recorded_work> work_of_two_attempts(bool to_engines)
{
    one_gateway it;
    std::vector<recorded_work> out;
    it.services.work_admitted = [&](const std::string& account, double work_ms) {
        out.push_back({account, work_ms});
    };
    site_config config = it.table->config();
    if (to_engines) {
        config.services.front().engine = engine_spec{};
    }
    it.table = std::make_shared<const route_table>(config);
    const account_spec account{"acme", {}, {}};
    caller_request request;
    request.method = "POST";
    request.target = "/x";
    request.arrived = it.timers.now;
    request.prompt_tokens = 5000;
    it.current = std::make_unique<exchange>(it.services, it.caller, std::move(request), it.table,
                                            it.table->config().routes.front(), &account);
    it.current->start();
    it.fault(attempt_fault::silent);
    BOOST_TEST(it.backends.attempts.size() == 2U);
    it.current.reset(); // `account` ends before `it`
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(account_work)

// Guards against shares that do not count the work of an account, or count that of its repeated
// attempts once.
BOOST_AUTO_TEST_CASE(each_attempt_on_an_engine_counts_as_work_of_the_account)
{
    const auto recorded = work_of_two_attempts(true);
    const load_balancer reference{{}, "d", seeded_random_fn(1), [](const auto&, const auto&) {}};
    job_size job;
    job.prompt_tokens = 5000;
    BOOST_REQUIRE(recorded.size() == 2U);
    for (const auto& it : recorded) {
        BOOST_TEST(it.account == "acme");
        BOOST_TEST(it.work_ms == reference.prefill_ms(job, 0));
    }
}

// Guards against requests to plain services that use up an account's share of the engines.
BOOST_AUTO_TEST_CASE(request_to_a_plain_service_is_no_work_on_engines)
{
    BOOST_TEST(work_of_two_attempts(false).empty());
}

BOOST_AUTO_TEST_SUITE_END()
