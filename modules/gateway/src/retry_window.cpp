#include "hickorypost/gateway/retry_window.h"

#include <algorithm>

namespace hickorypost::gateway {

namespace {

/// The window is counted in this many buckets of equal length. One more is kept, so that the oldest
/// bucket counts until it lies entirely outside the window.
constexpr std::int64_t buckets_per_window = 10;

} // namespace

retry_window::bucket& retry_window::current(instant now)
{
    const std::int64_t length = std::max<std::int64_t>(
        1, std::chrono::duration_cast<micros>(settings_.window).count() / buckets_per_window);
    const std::int64_t number = now.time_since_epoch().count() / length;
    if (buckets_.empty() || buckets_.back().number != number) {
        buckets_.push_back({number, 0, 0});
    }
    while (buckets_.front().number < number - buckets_per_window) {
        buckets_.pop_front();
    }
    return buckets_.back();
}

void retry_window::request(instant now)
{
    ++current(now).requests;
}

bool retry_window::try_retry(std::size_t processes, instant now)
{
    bucket& newest = current(now);
    double requests = 0;
    double retries = 1;
    for (const auto& it : buckets_) {
        requests += it.requests;
        retries += it.retries;
    }
    const double slack_share =
        settings_.slack / static_cast<double>(std::max<std::size_t>(1, processes));
    if (retries > settings_.used_part * (settings_.ratio * requests + slack_share)) {
        return false;
    }
    ++newest.retries;
    return true;
}

} // namespace hickorypost::gateway
