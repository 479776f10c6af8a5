#include "hickorypost/admission/rate_limiter.h"

#include <algorithm>

namespace hickorypost::admission {

namespace {

constexpr double micros_per_second = 1e6;
constexpr double millis_per_second = 1e3;
constexpr millis in_flight_retry_after{100};

} // namespace

limit_answer rate_limiter::admit(std::string_view account, const account_limits& limits,
                                 instant now)
{
    auto found = buckets_.find(account);
    if (found == buckets_.end()) {
        found = buckets_.emplace(std::string{account}, bucket{}).first;
    }
    bucket& it = found->second;
    const double capacity = std::max(1.0, limits.burst);
    if (!it.initialized) {
        it.tokens = capacity;
        it.refilled = now;
        it.initialized = true;
    }
    if (limits.max_in_flight > 0 && it.in_flight >= limits.max_in_flight) {
        return {false, in_flight_retry_after};
    }
    if (limits.rate_per_s > 0) {
        const double elapsed = static_cast<double>((now - it.refilled).count()) / micros_per_second;
        it.tokens = std::min(capacity, it.tokens + elapsed * limits.rate_per_s);
        it.refilled = now;
        if (it.tokens < 1.0) {
            const double wait = (1.0 - it.tokens) / limits.rate_per_s * millis_per_second;
            return {false, millis{static_cast<std::int64_t>(wait) + 1}};
        }
        it.tokens -= 1.0;
    }
    ++it.in_flight;
    return {};
}

void rate_limiter::done(std::string_view account)
{
    if (const auto it = buckets_.find(account); it != buckets_.end() && it->second.in_flight > 0) {
        --it->second.in_flight;
    }
}

std::uint32_t rate_limiter::in_flight(std::string_view account) const
{
    const auto it = buckets_.find(account);
    return it == buckets_.end() ? 0 : it->second.in_flight;
}

} // namespace hickorypost::admission
