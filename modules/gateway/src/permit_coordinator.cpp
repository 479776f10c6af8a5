#include "hickorypost/gateway/permit_coordinator.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hickorypost::gateway {

micros permit_coordinator::gap(const bucket& it) const
{
    constexpr double micros_per_second = 1e6;
    const double rate = std::max(it.per_second, settings_.min_per_second);
    return micros{static_cast<std::int64_t>(micros_per_second / rate)};
}

void permit_coordinator::take_one(bucket& it, instant now) const
{
    // What was not asked for is kept for one permit at most.
    it.next = std::max(it.next, now - gap(it)) + gap(it);
}

permit_reply permit_coordinator::ask(const node_id& host, const permit_request& request,
                                     instant now)
{
    const auto [at, is_new] = buckets_.try_emplace(request.backend);
    bucket& it = at->second;
    it.per_second = request.per_second;
    it.asked = now;
    if (is_new) {
        it.next = now;
    }
    const auto known = std::find_if(it.queue.begin(), it.queue.end(),
                                    [&](const waiting& w) { return w.host == host; });
    waiting mine{host, request.priority, ++last_, now + settings_.request_lifetime};
    if (known != it.queue.end()) {
        mine.number = known->number;
        it.queue.erase(known);
    }
    const auto place = std::find_if(it.queue.begin(), it.queue.end(), [&](const waiting& w) {
        return std::pair{mine.priority, mine.number} < std::pair{w.priority, w.number};
    });
    const auto position = std::distance(it.queue.begin(), place);
    if (position == 0 && now >= it.next) {
        take_one(it, now);
        return {request.backend, true, millis{0}};
    }
    it.queue.insert(place, mine);
    const micros wait = std::max(micros{0}, it.next - now) + gap(it) * position;
    return {request.backend, false, std::chrono::duration_cast<millis>(wait)};
}

std::vector<permit_coordinator::grant> permit_coordinator::due(instant now)
{
    std::vector<grant> out;
    for (auto& [backend, it] : buckets_) {
        std::erase_if(it.queue, [now](const waiting& w) { return now >= w.until; });
        while (!it.queue.empty() && now >= it.next) {
            take_one(it, now);
            out.push_back({it.queue.front().host, backend});
            it.queue.erase(it.queue.begin());
        }
    }
    return out;
}

bool permit_coordinator::idle() const
{
    return std::all_of(buckets_.begin(), buckets_.end(),
                       [](const auto& it) { return it.second.queue.empty(); });
}

void permit_coordinator::expire(instant now)
{
    std::erase_if(buckets_,
                  [&](const auto& it) { return now > it.second.asked + settings_.lifetime; });
}

} // namespace hickorypost::gateway
