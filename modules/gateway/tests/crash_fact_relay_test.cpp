/// Simulates core hosts that restart while the hosts attached to them keep their crash facts. Each
/// host receives a fact after a delay of its own.

#include "hickorypost/gateway/crash_ledger.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <random>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;

using fact_list = std::vector<crash_fact>;

struct simulated_host {
    explicit simulated_host(const instant& now)
        : ledger{
              {}, [&now] { return now; }, [this](const crash_fact& it) { own_facts.push_back(it); }}
    {
    }
    fact_list own_facts;
    crash_ledger ledger;
    std::size_t new_facts = 0;
};

using host_list = std::vector<std::unique_ptr<simulated_host>>;

class simulated_site {
public:
    simulated_site(std::size_t core_hosts, std::size_t attached_hosts, std::uint32_t seed)
        : random_{seed}
    {
        add_hosts(core_, core_hosts);
        add_hosts(attached_, attached_hosts);
    }

    /// Requests that succeed after a crash, known to all attached hosts. Returns the number of
    /// facts.
    std::size_t add_cleared_crashes(std::uint64_t requests)
    {
        simulated_host origin{now_};
        for (std::uint64_t n = 1; n <= requests; ++n) {
            origin.ledger.crashed({n, n}, "i-" + std::to_string(n), 0);
            now_ += millis{10};
            origin.ledger.clear({n, n});
        }
        for (const auto& it : attached_) {
            deliver(*it, origin.own_facts);
            it->new_facts = 0;
        }
        return origin.own_facts.size();
    }

    /// Each attached host connects to two core hosts; they exchange all that they know.
    void attach_all()
    {
        for (std::size_t n = 0; n < 2 * attached_.size(); ++n) {
            now_ += millis{5};
            auto& host = *attached_[n % attached_.size()];
            const std::size_t core = random_() % core_.size();
            deliver(host, core_[core]->ledger.all());
            relay(core, host.ledger.all(), false);
        }
    }

    [[nodiscard]] std::size_t max_new_facts() const
    {
        std::size_t out = 0;
        for (const auto* const hosts : {&core_, &attached_}) {
            for (const auto& it : *hosts) {
                out = std::max(out, it->new_facts);
            }
        }
        return out;
    }

private:
    void add_hosts(host_list& to, std::size_t n)
    {
        for (; n > 0; --n) {
            to.push_back(std::make_unique<simulated_host>(now_));
        }
    }

    /// Returns the facts that the host did not know.
    fact_list deliver(simulated_host& to, fact_list facts)
    {
        const millis delay{1 + random_() % 300};
        std::erase_if(facts, [&](crash_fact& it) {
            // Facts travel with their age, so a delay makes them look younger.
            it.at += delay;
            return !to.ledger.take(it);
        });
        to.new_facts += facts.size();
        return facts;
    }

    void relay(std::size_t core, const fact_list& facts, bool from_core)
    {
        const auto news = deliver(*core_[core], facts);
        if (news.empty()) {
            return;
        }
        for (const auto& it : attached_) {
            deliver(*it, news);
        }
        for (std::size_t other = 0; other < core_.size() && !from_core; ++other) {
            if (other != core) {
                relay(other, news, true);
            }
        }
    }

    std::mt19937 random_;
    instant now_{millis{100'000}};
    host_list core_;
    host_list attached_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(crash_fact_relay)

// Guards against core hosts that run out of memory by forwarding the same facts for each host that
// attaches after a restart.
BOOST_AUTO_TEST_CASE(facts_are_forwarded_once_after_a_restart_of_all_core_hosts)
{
    simulated_site site{5, 100, 1};
    const std::size_t facts = site.add_cleared_crashes(100);
    site.attach_all();
    BOOST_TEST_MESSAGE("facts: " << facts
                                 << ", most new facts at a host: " << site.max_new_facts());
    BOOST_TEST(site.max_new_facts() <= facts);
}

BOOST_AUTO_TEST_SUITE_END()
