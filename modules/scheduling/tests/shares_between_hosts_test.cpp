#include "hickorypost/scheduling/usage_table.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <utility>

namespace {

using namespace hickorypost;
using namespace hickorypost::scheduling;

constexpr millis step{50};
constexpr double capacity = 12'000;
constexpr int surge_factor = 7;
/// Of each request; an account sends one in each step at its usual rate, 1,000 ms/s.
constexpr double request_ms = 50;
const std::vector<std::string> accounts{"surging", "b", "c", "d", "e", "f", "g", "h", "i", "j"};

/// Thirty hosts in virtual time. Three have a disk; nine others are attached to each of them.
/// Requests go to random hosts, and reports take one step.
class site {
public:
    site()
    {
        for (int n = 0; n < 30; ++n) {
            hosts_.push_back(std::make_unique<host>(n < 3, now_));
            connect(n);
        }
    }

    /// Runs the site until `check` returns true after a step; returns the time that took, or
    /// nothing if it takes longer than `limit`.
    template <class F>
    std::optional<millis> run_until(millis limit, const F& check)
    {
        const instant begin = now_;
        while (now_ < begin + limit) {
            run_step();
            if (check()) {
                return std::chrono::duration_cast<millis>(now_ - begin);
            }
        }
        return std::nullopt;
    }
    void run_for(millis time)
    {
        run_until(time, [] { return false; });
    }

    [[nodiscard]] bool is_over(int at, const std::string& account) const
    {
        return hosts_.at(at)->shares.is_over_share(account, capacity, now_);
    }
    [[nodiscard]] bool is_over_everywhere(const std::string& account) const
    {
        return count_over(account) == hosts_.size();
    }
    [[nodiscard]] std::size_t count_over(const std::string& account) const
    {
        std::size_t out = 0;
        for (int n = 0; n < 30; ++n) {
            out += is_over(n, account) ? 1 : 0;
        }
        return out;
    }
    /// Hosts at which an account of usual rate is over its share.
    [[nodiscard]] std::size_t count_wrong() const
    {
        std::size_t out = 0;
        for (std::size_t n = 1; n < accounts.size(); ++n) {
            out += count_over(accounts[n]);
        }
        return out;
    }
    void restart(int n)
    {
        hosts_[n] = std::make_unique<host>(n < 3, now_);
        connect(n);
    }

    bool surge = false;
    int cut_off = -1; ///< host that gets and sends no reports

private:
    struct host {
        host(bool has_disk, instant now) : table{{}, has_disk, now} {}
        account_shares shares{{}};
        usage_table table;
    };

    static std::string name(int n) { return "host-" + std::to_string(n); }

    void connect(int n)
    {
        usage_peers peers;
        for (int other = 0; other < 30; ++other) {
            if (n < 3 && other < 3 && other != n) {
                peers.core.insert(name(other));
            } else if (n < 3 && other >= 3 && other % 3 == n) {
                peers.downstream.insert(name(other));
            }
        }
        peers.upstream = n < 3 ? "" : name(n % 3);
        hosts_[n]->table.set_peers(peers);
    }

    void run_step()
    {
        now_ += step;
        for (const auto& [from, it] : std::exchange(in_transit_, {})) {
            const int to = std::stoi(it.to.substr(5));
            if (from != cut_off && to != cut_off) {
                hosts_[to]->table.take(name(from), it.report, now_);
            }
        }
        for (const auto& account : accounts) {
            const int requests = surge && account == accounts[0] ? surge_factor : 1;
            for (int n = 0; n < requests; ++n) {
                hosts_[random_() % 30]->shares.record(account, request_ms, now_);
            }
        }
        for (int n = 0; n < 30; ++n) {
            host& it = *hosts_[n];
            it.table.set_host_count(30, now_);
            it.shares.set_remote(it.table.remote(now_));
            it.shares.set_remote_state(it.table.state(now_), it.table.known_hosts());
            it.table.set_own(it.shares.own_rates(now_));
            for (auto& message : it.table.take_due(now_)) {
                rows_sent += message.report.rows.size();
                in_transit_.emplace_back(n, std::move(message));
            }
        }
    }

    instant now_{millis{1'000'000}};
    random_fn random_ = seeded_random_fn(3);
    std::vector<std::unique_ptr<host>> hosts_;
    std::vector<std::pair<int, usage_table::message>> in_transit_;

public:
    std::size_t rows_sent = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(shares_between_hosts)

// Guards against a surge that delays the other accounts, and against delaying its account after it.
BOOST_AUTO_TEST_CASE(surging_account_is_over_its_share_on_all_hosts_and_within_it_after_the_surge)
{
    site it;
    it.run_for(millis{5000});
    BOOST_TEST(it.count_over("surging") == 0U);
    it.surge = true;
    const auto detected =
        it.run_until(millis{2000}, [&] { return it.is_over_everywhere("surging"); });
    BOOST_REQUIRE(detected.has_value());
    BOOST_TEST_MESSAGE("surge known on all hosts after " << detected->count() << " ms");
    std::size_t missed = 0;
    std::size_t wrong = 0;
    it.run_until(millis{5000}, [&] {
        missed += it.is_over_everywhere("surging") ? 0 : 1;
        wrong += it.count_wrong();
        return false;
    });
    BOOST_TEST(missed == 0U);
    BOOST_TEST(wrong == 0U);
    it.surge = false;
    const auto ended = it.run_until(millis{1000}, [&] { return it.count_over("surging") == 0; });
    BOOST_REQUIRE(ended.has_value());
    BOOST_TEST_MESSAGE("end of the surge known on all hosts after " << ended->count() << " ms");
    // Without a shortage nothing asks for shares. If something did, usage that differs by chance
    // would rarely matter.
    std::size_t asked = 0;
    it.run_until(millis{5000}, [&] {
        wrong += it.count_wrong() + it.count_over("surging");
        asked += 30 * accounts.size();
        return false;
    });
    BOOST_TEST(wrong * 100 < asked);
    BOOST_TEST_MESSAGE("rows sent: " << it.rows_sent);
}

// Guards against a host that treats all accounts alike for longer than a second after its start.
BOOST_AUTO_TEST_CASE(host_that_starts_during_a_surge_knows_it_within_a_second)
{
    for (const int started : {0, 20}) {
        site it;
        it.surge = true;
        it.run_for(millis{4000});
        it.restart(started);
        BOOST_TEST(!it.is_over(started, "surging"));
        BOOST_TEST(
            it.run_until(millis{1000}, [&] { return it.is_over(started, "surging"); }).has_value());
        it.run_for(millis{3000});
        BOOST_TEST(it.count_wrong() == 0U);
    }
}

// Guards against a host that, cut off from the others, no longer recognizes a surge, and against
// the usage that it last reported counting elsewhere for good.
BOOST_AUTO_TEST_CASE(host_that_is_cut_off_recognizes_a_surge_by_its_own_usage)
{
    for (const int cut_off : {0, 20}) {
        site it;
        it.surge = true;
        it.run_for(millis{4000});
        it.cut_off = cut_off;
        it.run_for(millis{3000});
        // Its own usage is that of few requests, so it varies by chance.
        std::size_t missed = 0;
        std::size_t steps = 0;
        it.run_until(millis{10'000}, [&] {
            ++steps;
            missed += it.is_over(cut_off, "surging") ? 0 : 1;
            return false;
        });
        BOOST_TEST(missed * 10 < steps);
        BOOST_TEST(it.count_over("surging") >= 20U);
        it.cut_off = -1;
        BOOST_TEST(it.run_until(millis{1500}, [&] {
                         return it.is_over_everywhere("surging");
                     }).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
