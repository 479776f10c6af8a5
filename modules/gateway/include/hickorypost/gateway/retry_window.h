#pragma once

#include "hickorypost/base/time.h"

#include <cstdint>
#include <deque>

namespace hickorypost::gateway {

struct retry_window_settings {
    millis window{10'000};
    double ratio = 0.1; ///< repeats allowed per request, over all processes
    double slack = 0;   ///< repeats allowed besides, over all processes
    /// Part of the allowance that is used. The rest covers what processes cannot know of each
    /// other: shares that are off while one joins or leaves, and windows that begin at other
    /// moments.
    double used_part = 0.8;
};

/// One service's allowance of repeats in a sliding window, shared by all processes: each takes the
/// part of the ratio that its own requests earn, and an equal part of the slack. Sans I/O.
///
/// Load pattern: half the backend servers fail at once. Without the bound each request arrives two
/// or three times, and the rest are overloaded too.
class retry_window {
public:
    explicit retry_window(retry_window_settings settings) : settings_{settings} {}

    void request(instant now);
    /// Takes one repeat if the allowance has one left; `processes` share the slack.
    bool try_retry(std::size_t processes, instant now);

private:
    struct slice {
        std::int64_t number = 0;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    slice& current(instant now);

    retry_window_settings settings_;
    std::deque<slice> slices_;
};

} // namespace hickorypost::gateway
