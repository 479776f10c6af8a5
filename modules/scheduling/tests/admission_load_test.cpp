/// Load patterns replayed through the gate in virtual time.

#include "hickorypost/scheduling/admission_gate.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <map>

namespace {

using namespace hickorypost;
using namespace hickorypost::scheduling;

double to_ms(micros time)
{
    return static_cast<double>(time.count()) / 1000;
}

/// Requests of one kind, and how they ended.
struct request_kind {
    double work_ms;
    millis target;
    millis deadline;
    int in_time = 0;
    int late = 0;
    int rejected = 0;
    int queued = 0;
    int late_after_wait = 0;
    [[nodiscard]] int total() const { return in_time + late + rejected; }
};

/// Engines that prefill one prompt after another, and hosts with one gate each. A host sees its own
/// requests at once, and those of the others with the next report.
class site {
public:
    site(std::size_t hosts, std::size_t engines, micros max_backlog)
        : free_at_(engines), views_(hosts, free_at_)
    {
        for (std::size_t n = 0; n < hosts; ++n) {
            gates_.emplace_back(gate_settings{max_backlog}, seeded_random_fn(n));
        }
    }

    void arrive(std::size_t host, request_kind& kind)
    {
        const waiting_request it{++last_id_,           1,           now_, now_ + kind.target,
                                 now_ + kind.deadline, kind.work_ms};
        requests_[it.id] = {it, &kind};
        const std::size_t before = gates_[host].waiting();
        decide(host, it.id);
        kind.queued += gates_[host].waiting() > before ? 1 : 0;
    }
    /// Advances the time by one millisecond.
    void step()
    {
        now_ += millis{1};
        const auto passed = now_.time_since_epoch() / millis{1};
        for (std::size_t host = 0; host < gates_.size(); ++host) {
            if (passed % report_ms == 0) {
                views_[host] = free_at_;
            }
            if (passed % 5 == 0) {
                release(host);
            }
            if (passed % 20 == 0) {
                for (const auto& it : gates_[host].take_hopeless(room_at(host, 0), now_)) {
                    ++requests_.at(it.id).second->rejected;
                }
            }
        }
    }
    void set_engines(std::size_t count)
    {
        free_at_.resize(count, now_);
        for (auto& it : views_) {
            it.resize(count, now_);
        }
    }
    [[nodiscard]] std::size_t waiting() const
    {
        std::size_t out = 0;
        for (const auto& it : gates_) {
            out += it.waiting();
        }
        return out;
    }
    /// Longest backlog of an engine.
    [[nodiscard]] double backlog_ms() const
    {
        return to_ms(*std::max_element(free_at_.begin(), free_at_.end()) - now_);
    }

private:
    static constexpr int report_ms = 10;

    std::size_t best_engine(std::size_t host)
    {
        // Random among equals, as the balancer does.
        std::size_t out = random_() % free_at_.size();
        for (std::size_t n = 0; n < free_at_.size(); ++n) {
            const auto wait = [&](std::size_t at) { return std::max(views_[host][at], now_); };
            out = wait(n) < wait(out) ? n : out;
        }
        return out;
    }
    room room_at(std::size_t host, double work_ms)
    {
        const double wait = std::max(0.0, to_ms(views_[host][best_engine(host)] - now_));
        return {wait, wait + work_ms, static_cast<double>(free_at_.size()),
                static_cast<double>(gates_.size())};
    }
    void decide(std::size_t host, std::uint64_t id)
    {
        const auto& [it, kind] = requests_.at(id);
        switch (gates_[host].decide(it, room_at(host, it.work_ms), now_)) {
        case admission::send:
            send(host, id);
            break;
        case admission::wait:
            break;
        default:
            ++kind->rejected;
        }
    }
    void release(std::size_t host)
    {
        while (const auto id = gates_[host].next(now_)) {
            gates_[host].remove(*id, now_);
            const std::size_t before = gates_[host].waiting();
            decide(host, *id);
            if (gates_[host].waiting() > before) {
                return;
            }
        }
    }
    void send(std::size_t host, std::uint64_t id)
    {
        const auto& [it, kind] = requests_.at(id);
        const std::size_t engine = best_engine(host);
        const micros work{static_cast<std::int64_t>(it.work_ms * 1000)};
        free_at_[engine] = std::max(free_at_[engine], now_) + work;
        views_[host][engine] = std::max(views_[host][engine], now_) + work;
        const bool late = free_at_[engine] > it.target;
        ++(late ? kind->late : kind->in_time);
        kind->late_after_wait += late && now_ > it.arrived ? 1 : 0;
    }

    instant now_{millis{100'000}};
    std::vector<instant> free_at_; ///< of each engine
    std::vector<std::vector<instant>> views_;
    std::vector<admission_gate> gates_;
    std::map<std::uint64_t, std::pair<waiting_request, request_kind*>> requests_;
    std::uint64_t last_id_ = 0;
    random_fn random_ = seeded_random_fn(4);
};

/// A bound that no backlog exceeds: what hosts did without a gate.
constexpr millis unbounded{1'000'000};
constexpr millis half_of_tightest{500};

struct both_kinds {
    request_kind brief{20, millis{1000}, millis{8000}};
    request_kind lengthy{400, millis{3000}, millis{20'000}};
};

struct overload_result {
    both_kinds kinds;
    int drained_after_ms = 0; ///< from the end of the overload
};

/// Four seconds with half more work than the engines that are left can do, a quarter of them being
/// gone, then a load of 0.6 of all engines.
overload_result run_overload(micros max_backlog)
{
    constexpr int engines = 12;
    constexpr int engines_left = 9;
    constexpr int overload_ms = 4000;
    constexpr double overload = 1.5;
    constexpr double calm = 0.6;
    constexpr double short_share = 0.2; // of the work
    overload_result out;
    site it{1, engines_left, max_backlog};
    double due_short = 0;
    double due_long = 0;
    for (int ms = 0; ms < 4 * overload_ms; ++ms) {
        if (ms == overload_ms) {
            it.set_engines(engines);
        }
        const double work = ms < overload_ms ? overload * engines_left : calm * engines;
        due_short += work * short_share / out.kinds.brief.work_ms;
        due_long += work * (1 - short_share) / out.kinds.lengthy.work_ms;
        for (; due_short >= 1; --due_short) {
            it.arrive(0, out.kinds.brief);
        }
        for (; due_long >= 1; --due_long) {
            it.arrive(0, out.kinds.lengthy);
        }
        it.step();
        if (out.drained_after_ms == 0 && ms > overload_ms && it.waiting() == 0 &&
            it.backlog_ms() < to_ms(half_of_tightest)) {
            out.drained_after_ms = ms - overload_ms;
        }
    }
    return out;
}

/// All clients of thirty hosts return at once after an outage, each host with 28 short requests and
/// 7 long ones, for 48 engines.
both_kinds run_return_after_outage(micros max_backlog)
{
    constexpr std::size_t hosts = 30;
    both_kinds out;
    site it{hosts, 48, max_backlog};
    for (int n = 0; n < 35; ++n) {
        for (std::size_t host = 0; host < hosts; ++host) {
            it.arrive(host, n % 5 == 0 ? out.lengthy : out.brief);
        }
    }
    for (int ms = 0; ms < 10'000; ++ms) {
        it.step();
    }
    return out;
}

/// Thirty hosts with 48 engines that are loaded to 0.6, a fifth of the work being short requests.
both_kinds run_calm(std::uint64_t seed)
{
    constexpr std::size_t hosts = 30;
    constexpr double engines = 48;
    constexpr double load = 0.6;
    constexpr double short_share = 0.2;
    both_kinds out;
    site it{hosts, static_cast<std::size_t>(engines), half_of_tightest};
    const auto random = seeded_random_fn(seed);
    const auto arrive = [&](request_kind& kind, double work) {
        // Steps of a tenth of a millisecond, in each of which a request arrives or none.
        for (int n = 0; n < 10; ++n) {
            if (unit_random(random) < work / kind.work_ms / 10) {
                it.arrive(random() % hosts, kind);
            }
        }
    };
    for (int ms = 0; ms < 20'000; ++ms) {
        arrive(out.brief, load * engines * short_share);
        arrive(out.lengthy, load * engines * (1 - short_share));
        it.step();
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(admission_load)

// Guards against short requests that are late behind long ones while capacity is short, and against
// a backlog that outlasts the overload.
BOOST_AUTO_TEST_CASE(short_requests_stay_in_time_during_overload_and_the_backlog_drains)
{
    const auto before = run_overload(unbounded);
    const auto after = run_overload(half_of_tightest);
    BOOST_TEST_MESSAGE("short in time "
                       << before.kinds.brief.in_time << " -> " << after.kinds.brief.in_time
                       << " of " << after.kinds.brief.total() << ", long "
                       << before.kinds.lengthy.in_time << " -> " << after.kinds.lengthy.in_time
                       << " of " << after.kinds.lengthy.total() << ", drained after "
                       << after.drained_after_ms << " ms");
    // The pattern shows the fault: without a bound the short requests are late.
    BOOST_TEST(before.kinds.brief.late > 0.1 * before.kinds.brief.total());
    BOOST_TEST(after.kinds.brief.in_time > 0.99 * after.kinds.brief.total());
    BOOST_TEST(after.kinds.brief.rejected == 0);
    BOOST_TEST(after.kinds.lengthy.rejected == 0);
    BOOST_TEST(after.kinds.lengthy.in_time >= before.kinds.lengthy.in_time);
    // 18 s of surplus work, and 4.8 engines' surplus to do it with.
    BOOST_TEST(after.drained_after_ms > 0);
    BOOST_TEST(after.drained_after_ms < 4500);
}

// Guards against a queue where nothing is scarce.
BOOST_AUTO_TEST_CASE(requests_do_not_wait_without_scarcity)
{
    int total = 0;
    int queued = 0;
    int late = 0;
    int late_after_wait = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const auto out = run_calm(seed);
        for (const auto* const kind : {&out.brief, &out.lengthy}) {
            total += kind->total();
            queued += kind->queued;
            late += kind->late;
            late_after_wait += kind->late_after_wait;
        }
    }
    BOOST_TEST_MESSAGE("waited " << queued << " of " << total << ", late " << late);
    BOOST_TEST(queued <= 0.005 * total);
    BOOST_TEST(late_after_wait == 0);
    // With or without a gate, a few hosts send long requests to the same engine within 10 ms.
    BOOST_TEST(late <= 0.001 * total);
}

// Guards against thirty hosts that fill the idle engines before they know of each other.
BOOST_AUTO_TEST_CASE(requests_that_return_at_once_after_an_outage)
{
    const auto before = run_return_after_outage(unbounded);
    const auto after = run_return_after_outage(half_of_tightest);
    BOOST_TEST_MESSAGE("short in time " << before.brief.in_time << " -> " << after.brief.in_time
                                        << " of " << after.brief.total() << ", long "
                                        << before.lengthy.in_time << " -> " << after.lengthy.in_time
                                        << " of " << after.lengthy.total());
    BOOST_TEST(before.brief.late > 0.25 * before.brief.total());
    BOOST_TEST(after.brief.in_time > 0.99 * after.brief.total());
    BOOST_TEST(after.lengthy.in_time > 0.9 * after.lengthy.total());
    BOOST_TEST(after.lengthy.in_time >= before.lengthy.in_time);
    BOOST_TEST(after.lengthy.rejected == 0);
}

BOOST_AUTO_TEST_SUITE_END()
