#pragma once

#include "hickorypost/base/time.h"

#include <cstdint>
#include <deque>

namespace hickorypost::gateway {

struct retry_window_settings {
    millis window{10'000};
    double ratio = 0.1; ///< retries allowed per request, over all processes
    double slack = 0;   ///< retries allowed per window in addition, over all processes
    /// Fraction of the budget that is used. The rest is a margin, as processes do not coordinate:
    /// their shares are wrong while a process joins or leaves, and their windows are not aligned.
    double used_part = 0.8;
};

/// Retry budget of one service in a sliding window, shared by all processes: each process may retry
/// `ratio` times its own requests, plus an equal share of `slack`. Performs no I/O.
///
/// Bounds the load when, for example, half of the backend servers fail at once. Without the bound,
/// each request would be sent two or three times and overload the remaining backend servers too.
class retry_window {
public:
    explicit retry_window(retry_window_settings settings) : settings_{settings} {}

    /// Counts a request.
    void request(instant now);
    /// Counts a retry and returns true, if the budget allows one. `processes` is the number of
    /// processes that share the slack.
    bool try_retry(std::size_t processes, instant now);

private:
    struct bucket {
        std::int64_t number = 0;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    bucket& current(instant now);

    retry_window_settings settings_;
    std::deque<bucket> buckets_;
};

} // namespace hickorypost::gateway
