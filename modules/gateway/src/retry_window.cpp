#include "hickorypost/gateway/retry_window.h"

#include <algorithm>

namespace hickorypost::gateway {

namespace {

/// Slices of a window; one more is kept, so that the oldest counts until it is wholly outside.
constexpr std::int64_t slices_per_window = 10;

} // namespace

retry_window::slice& retry_window::current(instant now)
{
    const std::int64_t length = std::max<std::int64_t>(
        1, std::chrono::duration_cast<micros>(settings_.window).count() / slices_per_window);
    const std::int64_t number = now.time_since_epoch().count() / length;
    if (slices_.empty() || slices_.back().number != number) {
        slices_.push_back({number, 0, 0});
    }
    while (slices_.front().number < number - slices_per_window) {
        slices_.pop_front();
    }
    return slices_.back();
}

void retry_window::request(instant now)
{
    ++current(now).requests;
}

bool retry_window::try_retry(std::size_t processes, instant now)
{
    slice& last = current(now);
    double requests = 0;
    double repeats = 1;
    for (const auto& it : slices_) {
        requests += it.requests;
        repeats += it.repeats;
    }
    const double share = settings_.slack / static_cast<double>(std::max<std::size_t>(1, processes));
    if (repeats > settings_.used_part * (settings_.ratio * requests + share)) {
        return false;
    }
    ++last.repeats;
    return true;
}

} // namespace hickorypost::gateway
