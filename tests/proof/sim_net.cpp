#include "sim_net.h"

#include <algorithm>

namespace hickorypost::proof {

namespace {

constexpr micros watch_period{100'000};
/// Links notice silence by their own heartbeats after this (the product's default is 3 s).
constexpr micros silence_limit{1'000'000};
constexpr micros reset_noticed{2'000};
constexpr std::uint64_t min_delay_us = 200;
constexpr std::uint64_t delay_spread_us = 3000;

} // namespace

sim_net::sim_net(std::uint64_t seed)
    : now_{instant{} + millis{100'000}}, random_{seeded_random_fn(seed)}
{
}

instant sim_net::clock(const node_id& node) const
{
    const auto since = static_cast<double>(now_.time_since_epoch().count());
    const auto it = processes_.find(node);
    const double rate = it == processes_.end() ? 1.0 : it->second.clock_rate;
    return instant{micros{static_cast<std::int64_t>(since * rate)}};
}

void sim_net::at(micros delay, std::function<void()> run)
{
    events_.push({now_ + delay, next_order_++, std::move(run)});
}

void sim_net::on(const node_id& node, micros delay, std::function<void()> run)
{
    const std::uint64_t life = processes_[node].life;
    at(delay, [this, node, life, run = std::move(run)] {
        const auto& it = processes_[node];
        if (!it.alive || it.life != life) {
            return;
        }
        if (now_ < it.frozen_until) {
            on(node, it.frozen_until - now_, run);
            return;
        }
        run();
    });
}

void sim_net::run_until(instant end)
{
    while (!events_.empty() && events_.top().at <= end) {
        const event next = events_.top();
        events_.pop();
        now_ = std::max(now_, next.at);
        next.run();
    }
    now_ = end;
}

void sim_net::start(const node_id& node, process_hooks hooks)
{
    auto& it = processes_[node];
    if (it.life == 0) {
        it.clock_rate = 1.0 + 0.004 * unit_random(random_);
    }
    ++it.life;
    it.alive = true;
    it.frozen_until = instant{};
    it.hooks = std::move(hooks);
}

void sim_net::crash(const node_id& node)
{
    auto& it = processes_[node];
    it.alive = false;
    ++it.life;
    for (auto& link : connections_) {
        if (link.a == node || link.b == node) {
            link.knows.erase(node);
            if (link.up) {
                close(link, reset_noticed);
            }
        }
    }
}

bool sim_net::alive(const node_id& node) const
{
    const auto it = processes_.find(node);
    return it != processes_.end() && it->second.alive;
}

void sim_net::freeze(const node_id& node, millis time)
{
    processes_[node].frozen_until = now_ + time;
}

sim_net::connection* sim_net::between(const node_id& a, const node_id& b)
{
    const auto it = std::find_if(connections_.begin(), connections_.end(), [&](const auto& link) {
        return (link.a == a && link.b == b) || (link.a == b && link.b == a);
    });
    return it == connections_.end() ? nullptr : &*it;
}

const sim_net::connection* sim_net::between(const node_id& a, const node_id& b) const
{
    return const_cast<sim_net*>(this)->between(a, b);
}

bool sim_net::blocked(const node_id& from, const node_id& to) const
{
    return cuts_.contains({from, to});
}

void sim_net::connect(const node_id& a, const node_id& b)
{
    connections_.push_back({a, b});
    watch(connections_.size() - 1);
}

void sim_net::watch(std::size_t nth)
{
    at(watch_period, [this, nth] { watch(nth); });
    auto& it = connections_[nth];
    const bool both = alive(it.a) && alive(it.b);
    const bool cut = blocked(it.a, it.b) || blocked(it.b, it.a);
    if (!it.up) {
        if (both && !cut) {
            open(it);
        }
        return;
    }
    const bool frozen =
        processes_[it.a].frozen_until > now_ || processes_[it.b].frozen_until > now_;
    if (!cut && !it.silent && !frozen) {
        blocked_since_.erase(nth);
        return;
    }
    const auto [since, added] = blocked_since_.try_emplace(nth, now_);
    if (now_ >= since->second + silence_limit) {
        blocked_since_.erase(nth);
        close(it, reset_noticed);
    }
}

void sim_net::open(connection& it)
{
    it.up = true;
    it.silent = false;
    ++it.epoch;
    for (const auto& [self, peer] : {std::pair{it.a, it.b}, std::pair{it.b, it.a}}) {
        on(self, micros{static_cast<std::int64_t>(min_delay_us + pick(delay_spread_us))},
           [this, self = self, peer = peer, epoch = it.epoch] {
               auto* link = between(self, peer);
               if (link->up && link->epoch == epoch && link->knows.insert(self).second) {
                   processes_[self].hooks.link_up(peer);
               }
           });
    }
}

void sim_net::close(connection& it, micros noticed_after)
{
    it.up = false;
    ++it.epoch;
    for (const auto& [self, peer] : {std::pair{it.a, it.b}, std::pair{it.b, it.a}}) {
        if (!it.knows.contains(self)) {
            continue;
        }
        on(self, noticed_after + micros{static_cast<std::int64_t>(pick(delay_spread_us))},
           [this, self = self, peer = peer] {
               auto* link = between(self, peer);
               if (link->knows.erase(self) > 0) {
                   processes_[self].hooks.link_down(peer);
                   if (link->up && link->knows.insert(self).second) {
                       processes_[self].hooks.link_up(peer);
                   }
               }
           });
    }
}

bool sim_net::linked(const node_id& from, const node_id& to) const
{
    const auto* it = between(from, to);
    return it != nullptr && it->knows.contains(from);
}

bool sim_net::send(const node_id& from, const node_id& to, std::function<void()> arrive)
{
    auto* it = between(from, to);
    if (it == nullptr || !it->knows.contains(from)) {
        return false;
    }
    if (!it->up || it->silent || blocked(from, to)) {
        return true; // the sender cannot know that nobody will read it
    }
    instant& last = it->a == from ? it->last_ab : it->last_ba;
    const micros delay{static_cast<std::int64_t>(min_delay_us + pick(delay_spread_us))};
    last = std::max(last + micros{1}, now_ + delay); // in order, as a connection delivers
    on(to, last - now_, [this, from, to, epoch = it->epoch, arrive = std::move(arrive)] {
        auto* link = between(from, to);
        if (link->epoch != epoch || !link->up || link->silent) {
            return;
        }
        if (link->knows.insert(to).second) {
            processes_[to].hooks.link_up(from); // the peer's hello comes before its messages
        }
        arrive();
    });
    return true;
}

void sim_net::cut(const node_id& from, const node_id& to)
{
    cuts_.insert({from, to});
}

void sim_net::heal()
{
    cuts_.clear();
}

void sim_net::silence(const node_id& a, const node_id& b)
{
    if (auto* it = between(a, b); it != nullptr && it->up) {
        it->silent = true;
    }
}

std::vector<std::pair<node_id, node_id>> sim_net::connections() const
{
    std::vector<std::pair<node_id, node_id>> out;
    for (const auto& it : connections_) {
        out.emplace_back(it.a, it.b);
    }
    return out;
}

} // namespace hickorypost::proof
