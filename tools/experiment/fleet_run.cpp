#include "fleet_run.h"

#include "hickorypost/admission/admission_queue.h"
#include "hickorypost/routing/retry_budget.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <queue>

namespace hickorypost::experiment {

namespace {

constexpr double warm_up_share = 0.15; ///< of the run, left out of the figures
constexpr double us_per_s = 1e6;
constexpr double us_per_ms = 1e3;

/// One caller's request in the model.
struct request {
    std::size_t account = 0;
    std::size_t entry = 0;
    double prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    std::uint64_t prefix = 0;
    instant arrived;
    instant deadline;
    instant sent;
    instant begun;
    instant first;
    micros modelled_first{0};
    std::size_t replica = 0;
    std::uint32_t tries = 0;
    std::vector<routing::backend_id> tried;
    bool counted = false;
};

struct replica_state {
    replica_state(const scenario& s, double slowness)
        : engine{s.engine, slowness}, queue{{.slots = s.engine.slots}}
    {
    }
    engine_model engine;
    admission::admission_queue queue;
    bool stepping = false;
    bool lost = false;
    std::uint64_t life = 1;
};

struct entry_state {
    entry_state(routing::policy how, const random_fn& random) : router{{.how = how}, random} {}
    routing::router router;
    routing::retry_budget retries{{}};
};

class fleet {
public:
    fleet(const scenario& s, routing::policy how, std::uint64_t seed)
        : scenario_{s}, random_{seeded_random_fn(seed)}, route_random_{seeded_random_fn(seed + 7)}
    {
        for (std::size_t n = 0; n < s.replicas; ++n) {
            replicas_.emplace_back(s, 1.0);
        }
        for (std::size_t n = 0; n < s.entries; ++n) {
            entries_.push_back(std::make_unique<entry_state>(how, route_random_));
        }
        announce_all();
    }

    fleet_result run()
    {
        for (std::size_t n = 0; n < scenario_.accounts.size(); ++n) {
            result_.accounts[scenario_.accounts[n].account];
            schedule_arrival(n);
        }
        at_s(scenario_.slow_from_s,
             [this] { replicas_[0].engine.set_slowness(scenario_.slow_factor); });
        if (scenario_.domain_lost_at_s >= 0) {
            at_s(scenario_.domain_lost_at_s, [this] { set_domain_lost(true); });
            at_s(scenario_.domain_lost_at_s + scenario_.domain_lost_for_s,
                 [this] { set_domain_lost(false); });
        }
        report_load();
        const instant end = instant{} + seconds(scenario_.seconds);
        while (!events_.empty() && events_.top().at <= end) {
            const event next = events_.top();
            events_.pop();
            now_ = next.at;
            next.run();
        }
        result_.seconds = scenario_.seconds * (1 - warm_up_share);
        return std::move(result_);
    }

private:
    struct event {
        instant at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    static micros seconds(double s) { return micros{static_cast<std::int64_t>(s * us_per_s)}; }
    void at(micros delay, std::function<void()> run)
    {
        events_.push({now_ + delay, order_++, std::move(run)});
    }
    void at_s(double when, std::function<void()> run)
    {
        events_.push({instant{} + seconds(when), order_++, std::move(run)});
    }
    micros net() const { return micros{static_cast<std::int64_t>(scenario_.net_ms * us_per_ms)}; }
    double exponential() { return -std::log(1 - unit_random(random_)); }

    static routing::backend_id id_of(std::size_t replica)
    {
        return {"a" + std::to_string(replica), "engine"};
    }

    void announce_all()
    {
        for (std::size_t n = 0; n < replicas_.size(); ++n) {
            wire::agent_info info;
            info.node = id_of(n).agent;
            info.life = replicas_[n].life;
            wire::backend_info backend;
            backend.name = "engine";
            backend.offers = {{"m", "1"}};
            backend.slots = scenario_.engine.slots;
            info.backends.push_back(std::move(backend));
            for (auto& entry : entries_) {
                entry->router.upsert(info, now_);
                entry->router.set_linked(info.node, true, now_);
            }
        }
    }

    /// Requests a second that the whole fleet finishes with all slots busy.
    double capacity() const
    {
        double request_us = 0;
        double shares = 0;
        const auto& engine = scenario_.engine;
        const double slots = engine.slots;
        const double step = engine.step_us + engine.per_sequence_us * slots;
        for (const auto& it : scenario_.accounts) {
            request_us += it.share * (it.output_tokens * step / slots +
                                      it.prompt_tokens * engine.per_prompt_token_us);
            shares += it.share;
        }
        return static_cast<double>(scenario_.replicas) * us_per_s / (request_us / shares);
    }

    void schedule_arrival(std::size_t account)
    {
        const auto& it = scenario_.accounts[account];
        double shares = 0;
        for (const auto& other : scenario_.accounts) {
            shares += other.share;
        }
        const double now_s = static_cast<double>(now_.time_since_epoch().count()) / us_per_s;
        const bool flood = now_s >= it.flood_from_s && now_s < it.flood_to_s;
        const double rate =
            capacity() * scenario_.load * it.share / shares * (flood ? it.flood : 1.0);
        at(seconds(exponential() / rate), [this, account] {
            arrive(account);
            schedule_arrival(account);
        });
    }

    void arrive(std::size_t account)
    {
        const auto& it = scenario_.accounts[account];
        const std::uint64_t id = next_id_++;
        request& r = requests_[id];
        r.account = account;
        r.entry = random_() % entries_.size();
        r.prompt_tokens = it.prompt_tokens * (0.5 + unit_random(random_));
        r.output_tokens = static_cast<std::uint32_t>(
            std::max(1.0, it.output_tokens * std::min(4.0, exponential())));
        r.prefix = it.prefixes == 0 ? 0 : 1 + hash_bytes(it.account, random_() % it.prefixes);
        r.arrived = now_;
        r.deadline = now_ + micros{static_cast<std::int64_t>(it.deadline_ms * us_per_ms)};
        const double now_s = static_cast<double>(now_.time_since_epoch().count()) / us_per_s;
        const double tail_s = it.deadline_ms / 1000;
        r.counted = now_s >= scenario_.seconds * warm_up_share &&
                    now_s < scenario_.seconds - std::min(tail_s, scenario_.seconds * 0.2);
        result_.accounts[it.account].sent += r.counted ? 1U : 0U;
        entries_[r.entry]->retries.first_try();
        attempt(id);
    }

    account_result& account_of(const request& r)
    {
        return result_.accounts[scenario_.accounts[r.account].account];
    }

    void attempt(std::uint64_t id)
    {
        request& r = requests_.at(id);
        auto& router = entries_[r.entry]->router;
        const auto choice = router.choose({{"m", "1"}, r.prefix, r.prompt_tokens, r.tried}, now_);
        if (!choice) {
            reject(id);
            return;
        }
        ++r.tries;
        r.sent = now_;
        r.modelled_first = choice->modelled_first;
        r.replica = std::strtoull(choice->backend.agent.c_str() + 1, nullptr, 10);
        router.started(choice->backend, r.prefix, now_);
        at(net(), [this, id] { offer(id); });
    }

    void reject(std::uint64_t id)
    {
        const request& r = requests_.at(id);
        account_of(r).rejected += r.counted ? 1U : 0U;
        requests_.erase(id);
    }

    void ended(std::uint64_t id, bool failed, bool answered)
    {
        request& r = requests_.at(id);
        routing::attempt_report report;
        report.failed = failed;
        report.total = now_ - r.sent;
        report.modelled_first = r.modelled_first;
        if (answered) {
            report.first_token = r.first - r.sent;
        }
        entries_[r.entry]->router.ended(id_of(r.replica), report, now_);
        r.tried.push_back(id_of(r.replica));
    }

    void try_again(std::uint64_t id)
    {
        request& r = requests_.at(id);
        if (!entries_[r.entry]->retries.try_again(r.tries, r.deadline - now_)) {
            reject(id);
            return;
        }
        account_of(r).retried += r.counted ? 1U : 0U;
        attempt(id);
    }

    void offer(std::uint64_t id)
    {
        request& r = requests_.at(id);
        auto& to = replicas_[r.replica];
        const auto& account = scenario_.accounts[r.account];
        const bool lost = to.lost;
        const auto answer =
            lost ? admission::offer_answer{admission::offer_verdict::overloaded}
                 : to.queue.offer(
                       {id, account.account, account.weight, account.urgency, r.deadline}, now_);
        if (answer.verdict != admission::offer_verdict::queued) {
            at(net(), [this, id, lost] {
                ended(id, lost, false);
                try_again(id);
            });
            return;
        }
        pump(r.replica);
    }

    void pump(std::size_t n)
    {
        auto& it = replicas_[n];
        for (const auto& dead : it.queue.expire(now_)) {
            ended(dead.attempt, false, false);
            reject(dead.attempt);
        }
        while (const auto job = it.queue.next()) {
            request& r = requests_.at(job->attempt);
            r.begun = now_;
            it.engine.add({job->attempt, r.prompt_tokens, r.output_tokens, r.prefix, false});
        }
        if (!it.stepping && !it.engine.idle()) {
            it.stepping = true;
            at(it.engine.begin_step(), [this, n, life = it.life] {
                if (replicas_[n].life == life) {
                    step(n);
                }
            });
        }
    }

    void step(std::size_t n)
    {
        auto& it = replicas_[n];
        it.stepping = false;
        const auto out = it.engine.end_step();
        for (const auto id : out.first) {
            requests_.at(id).first = now_ + net();
        }
        for (const auto id : out.done) {
            const request& r = requests_.at(id);
            it.queue.finished(scenario_.accounts[r.account].urgency, now_ - r.begun);
            const auto running = it.queue.running();
            const auto queued = static_cast<std::uint32_t>(it.queue.waiting());
            at(net(), [this, id, running, queued] { answered(id, running, queued); });
        }
        pump(n);
    }

    void answered(std::uint64_t id, std::uint32_t running, std::uint32_t queued)
    {
        request& r = requests_.at(id);
        // Load rides on answers; the engines' own figures lag by the scenario's setting.
        const micros lag{static_cast<std::int64_t>(scenario_.report_lag_ms * us_per_ms)};
        at(lag, [this, entry = r.entry, replica = r.replica, running, queued] {
            entries_[entry]->router.apply_load_report(id_of(replica), running, queued);
        });
        ended(id, false, true);
        if (r.counted) {
            auto& to = account_of(r);
            ++to.answered;
            to.in_time += now_ <= r.deadline ? 1U : 0U;
            to.first_ms.push_back(static_cast<double>((r.first - r.arrived).count()) / us_per_ms);
            to.gap_ms.push_back(static_cast<double>((now_ - r.first).count()) / us_per_ms /
                                std::max(1U, r.output_tokens));
        }
        requests_.erase(id);
    }

    void report_load()
    {
        const micros period{static_cast<std::int64_t>(scenario_.report_period_ms * us_per_ms)};
        const micros lag{static_cast<std::int64_t>(scenario_.report_lag_ms * us_per_ms)};
        for (std::size_t n = 0; n < replicas_.size(); ++n) {
            const auto running = replicas_[n].queue.running();
            const auto queued = static_cast<std::uint32_t>(replicas_[n].queue.waiting());
            at(lag, [this, n, running, queued] {
                for (auto& entry : entries_) {
                    entry->router.apply_load_report(id_of(n), running, queued);
                }
            });
        }
        at(period, [this] { report_load(); });
    }

    void set_domain_lost(bool lost)
    {
        for (std::size_t n = 0; n < replicas_.size(); ++n) {
            if (n % scenario_.domains != 0) {
                continue;
            }
            auto& it = replicas_[n];
            std::vector<std::uint64_t> there;
            for (const auto& [id, r] : requests_) {
                if (r.replica == n && r.tries > 0) {
                    there.push_back(id);
                }
            }
            const std::uint64_t life = it.life + 1;
            if (lost) {
                it = replica_state{scenario_, 1.0};
                it.life = life;
                it.lost = true;
                std::sort(there.begin(), there.end());
                // What ran there is noticed by its broken link and tried elsewhere.
                for (const auto id : there) {
                    requests_.at(id).replica = n;
                }
                at(seconds(1), [this, there] {
                    for (const auto id : there) {
                        if (requests_.contains(id)) {
                            ended(id, true, false);
                            try_again(id);
                        }
                    }
                });
            } else {
                it.lost = false;
            }
        }
    }

    const scenario& scenario_;
    random_fn random_;
    random_fn route_random_;
    instant now_;
    std::uint64_t order_ = 0;
    std::uint64_t next_id_ = 1;
    std::priority_queue<event> events_;
    std::deque<replica_state> replicas_;
    std::vector<std::unique_ptr<entry_state>> entries_;
    std::map<std::uint64_t, request> requests_;
    fleet_result result_;
};

} // namespace

double quantile(std::vector<double> values, double q)
{
    if (values.empty()) {
        return 0;
    }
    const auto nth = static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + nth, values.end());
    return values[static_cast<std::size_t>(nth)];
}

account_result fleet_result::all() const
{
    account_result out;
    for (const auto& [name, it] : accounts) {
        out.first_ms.insert(out.first_ms.end(), it.first_ms.begin(), it.first_ms.end());
        out.gap_ms.insert(out.gap_ms.end(), it.gap_ms.begin(), it.gap_ms.end());
        out.sent += it.sent;
        out.answered += it.answered;
        out.in_time += it.in_time;
        out.rejected += it.rejected;
        out.retried += it.retried;
    }
    return out;
}

fleet_result run_fleet(const scenario& s, routing::policy how, std::uint64_t seed)
{
    fleet it{s, how, seed};
    return it.run();
}

} // namespace hickorypost::experiment
