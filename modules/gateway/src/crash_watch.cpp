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
    for (const auto& [backend, it] : checks_) {
        timers_.cancel(it.timer);
    }
}

std::uint64_t crash_watch::attempt_broke(const attempt_target& target, crashed_attempt attempt,
                                         result_fn result)
{
    if (const auto known = known_ends_.find(target.backend); known != known_ends_.end()) {
        if (const bool expected = known->second.second; !expected) {
            crashed_(attempt);
        }
        if (result) {
            result(true);
        }
        return 0;
    }
    const auto [at, is_new] = checks_.try_emplace(target.backend);
    at->second.attempts.push_back({++last_number_, std::move(attempt), std::move(result)});
    if (is_new) {
        start_check(target, at->second);
    }
    return last_number_;
}

void crash_watch::start_check(const attempt_target& target, crash_check& it)
{
    // Evaluated before the check: a backend server known to have crashed may leave the directory,
    // and would then look like a planned end.
    it.expected = expected_(target);
    it.timer = timers_.add(now_() + settings_.dial_timeout, [this, backend = target.backend] {
        checks_.at(backend).timer = 0;
        finish_check(backend, false);
    });
    it.connection = connect_(
        target, [this, backend = target.backend](bool refused) { finish_check(backend, refused); });
}

void crash_watch::cancel(std::uint64_t number)
{
    const auto drop = [number](std::vector<pending_attempt>& from) {
        for (auto& it : from) {
            if (it.number == number) {
                it.result = nullptr;
            }
        }
    };
    if (number == 0) {
        return;
    }
    for (auto& [backend, it] : checks_) {
        drop(it.attempts);
    }
    drop(notifying_);
}

void crash_watch::finish_check(const std::string& backend, bool refused)
{
    // Removed first: a callback may report another lost connection or cancel other attempts.
    const auto node = checks_.extract(backend);
    crash_check& it = node.mapped();
    timers_.cancel(it.timer);
    const instant now = now_();
    std::erase_if(known_ends_, [&](const auto& known) {
        return now > known.second.first + settings_.ended_lifetime;
    });
    if (refused) {
        known_ends_[node.key()] = {now, it.expected};
    }
    // All crashed attempts are reported before the first result callback, so that retries are
    // placed with all of them known.
    for (const auto& known : it.attempts) {
        if (refused && !it.expected) {
            crashed_(known.attempt);
        }
    }
    std::move(it.attempts.begin(), it.attempts.end(), std::back_inserter(notifying_));
    while (!notifying_.empty()) {
        const auto result = std::move(notifying_.front().result);
        notifying_.erase(notifying_.begin());
        if (result) {
            result(refused);
        }
    }
}

} // namespace hickorypost::gateway
