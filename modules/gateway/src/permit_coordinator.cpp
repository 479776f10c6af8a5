#include "hickorypost/gateway/permit_coordinator.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hickorypost::gateway {

micros permit_coordinator::permit_interval(const bucket& it) const
{
    constexpr double micros_per_second = 1e6;
    const double rate = std::max(it.per_second, settings_.min_per_second);
    return micros{static_cast<std::int64_t>(micros_per_second / rate)};
}

void permit_coordinator::consume_permit(bucket& it, instant now) const
{
    // Unused rate accumulates to one permit at most.
    it.next = std::max(it.next, now - permit_interval(it)) + permit_interval(it);
}

permit_reply permit_coordinator::ask(const node_id& host, const permit_request& request,
                                     instant now)
{
    const auto [at, is_new] = buckets_.try_emplace(request.backend);
    bucket& it = at->second;
    it.per_second = request.per_second;
    it.last_request_at = now;
    if (is_new) {
        it.next = now;
    }
    const auto previous =
        std::find_if(it.queue.begin(), it.queue.end(),
                     [&](const queued_request& other) { return other.host == host; });
    queued_request queued{host, request.priority, ++last_number_, now + settings_.request_lifetime};
    if (previous != it.queue.end()) {
        queued.arrival = previous->arrival;
        it.queue.erase(previous);
    }
    const auto insert_at =
        std::find_if(it.queue.begin(), it.queue.end(), [&](const queued_request& other) {
            return std::pair{queued.priority, queued.arrival} <
                   std::pair{other.priority, other.arrival};
        });
    const auto position = std::distance(it.queue.begin(), insert_at);
    if (position == 0 && now >= it.next) {
        consume_permit(it, now);
        return {request.backend, true, millis{0}};
    }
    it.queue.insert(insert_at, queued);
    const micros wait = std::max(micros{0}, it.next - now) + permit_interval(it) * position;
    return {request.backend, false, std::chrono::duration_cast<millis>(wait)};
}

std::vector<permit_coordinator::grant> permit_coordinator::due(instant now)
{
    std::vector<grant> out;
    for (auto& [backend, it] : buckets_) {
        std::erase_if(it.queue,
                      [now](const queued_request& other) { return now >= other.expires_at; });
        while (!it.queue.empty() && now >= it.next) {
            consume_permit(it, now);
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
    std::erase_if(buckets_, [&](const auto& it) {
        return now > it.second.last_request_at + settings_.lifetime;
    });
}

} // namespace hickorypost::gateway
