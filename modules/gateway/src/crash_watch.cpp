#include "hickorypost/gateway/crash_watch.h"

#include <iterator>
#include <utility>

namespace hickorypost::gateway {

crash_watch::crash_watch(crash_watch_settings settings, scheduler& timers, clock_fn now,
                         dial_fn connect, expected_fn expected, crashed_fn crashed)
    : settings_{settings}, timers_{timers}, now_{std::move(now)}, connect_{std::move(connect)},
      expected_{std::move(expected)}, crashed_{std::move(crashed)}
{
}

crash_watch::~crash_watch()
{
    for (const auto& [backend, it] : open_) {
        timers_.cancel(it.timer);
    }
}

std::uint64_t crash_watch::attempt_broke(const attempt_target& target, crashed_attempt attempt,
                                         result_fn result)
{
    if (const auto known = ended_.find(target.backend); known != ended_.end()) {
        if (const bool expected = known->second.second; !expected) {
            crashed_(attempt);
        }
        if (result) {
            result(true);
        }
        return 0;
    }
    const auto [at, is_new] = open_.try_emplace(target.backend);
    at->second.attempts.push_back({++last_, std::move(attempt), std::move(result)});
    if (is_new) {
        start(target, at->second);
    }
    return last_;
}

void crash_watch::start(const attempt_target& target, check& it)
{
    // Asked now: once it is known to have crashed it may leave the directory.
    it.expected = expected_(target);
    it.timer = timers_.add(now_() + settings_.dial_timeout, [this, backend = target.backend] {
        open_.at(backend).timer = 0;
        settle(backend, false);
    });
    it.connection = connect_(
        target, [this, backend = target.backend](bool refused) { settle(backend, refused); });
}

void crash_watch::cancel(std::uint64_t which)
{
    const auto drop = [which](std::vector<waiting>& from) {
        for (auto& it : from) {
            if (it.number == which) {
                it.result = nullptr;
            }
        }
    };
    if (which == 0) {
        return;
    }
    for (auto& [backend, it] : open_) {
        drop(it.attempts);
    }
    drop(settling_);
}

void crash_watch::settle(const std::string& backend, bool refused)
{
    // Removed first: a subscriber may report another attempt or cancel others.
    const auto node = open_.extract(backend);
    check& it = node.mapped();
    timers_.cancel(it.timer);
    const instant now = now_();
    std::erase_if(ended_, [&](const auto& known) {
        return now > known.second.first + settings_.ended_lifetime;
    });
    if (refused) {
        ended_[node.key()] = {now, it.expected};
    }
    // All are reported before the first goes on, so that it is placed by what is known of all.
    for (const auto& known : it.attempts) {
        if (refused && !it.expected) {
            crashed_(known.attempt);
        }
    }
    std::move(it.attempts.begin(), it.attempts.end(), std::back_inserter(settling_));
    while (!settling_.empty()) {
        const auto result = std::move(settling_.front().result);
        settling_.erase(settling_.begin());
        if (result) {
            result(refused);
        }
    }
}

} // namespace hickorypost::gateway
