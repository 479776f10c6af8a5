#include "hickorypost/gateway/load_table.h"
#include "hickorypost/scheduling/load_report_pacer.h"
#include "hickorypost/wire/codec.h"
#include "hickorypost/wire/messages.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;

const instant start{millis{1000}};

/// What a host with a disk sends to one attached host.
struct traffic {
    std::size_t reports = 0;
    std::size_t bytes = 0;
};

/// Runs `seconds` of a fleet in which the load of each backend server changes four times a second,
/// by up to a second of prefill.
traffic simulate(std::size_t backends, std::size_t seconds)
{
    load_table table{{}};
    scheduling::load_report_pacer pacer{{}};
    std::mt19937 random{1};
    std::uniform_int_distribution<std::size_t> any_backend{0, backends - 1};
    std::uniform_real_distribution<double> prefill_ms{0, 1000};
    traffic out;
    instant next_flush = start;
    const std::size_t changes_per_ms = 1 + backends * 4 / 1000;
    for (std::size_t ms = 0; ms < seconds * 1000; ++ms) {
        const instant now = start + millis{ms};
        for (std::size_t n = 0; n < changes_per_ms; ++n) {
            const auto id = "i-" + std::to_string(1'000'000'000 + any_backend(random));
            table.set("source", id, {1, prefill_ms(random)});
        }
        if (now < next_flush) {
            continue;
        }
        const auto limit = pacer.begin_report(table.size(), now);
        auto rows = table.take_changed(limit.changed);
        pacer.end_report(rows.size());
        const auto rotated = table.take_rotation(limit.rotated);
        rows.insert(rows.end(), rotated.begin(), rotated.end());
        wire::load_report report;
        for (const auto& id : rows) {
            const auto load = table.without("", id);
            report.loads.push_back({id, load.requests, load.prefill_ms, load.connections});
        }
        ++out.reports;
        out.bytes += wire::encode(report).size();
        next_flush = now + std::max(millis{1}, pacer.wait(table.size(), now));
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(load_report_growth)

// Guards against load reports whose bytes and number for each host grow with the fleet.
BOOST_AUTO_TEST_CASE(reports_to_a_host_do_not_grow_with_the_fleet)
{
    constexpr std::size_t seconds = 10;
    constexpr std::size_t max_bytes_per_second = 29'000;
    for (const std::size_t hosts : {100, 1000, 2000}) {
        const auto it = simulate(2 * hosts, seconds);
        BOOST_TEST_CONTEXT(hosts << " hosts")
        {
            BOOST_TEST(it.bytes <= seconds * max_bytes_per_second);
            BOOST_TEST(it.reports <= seconds * 50);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
