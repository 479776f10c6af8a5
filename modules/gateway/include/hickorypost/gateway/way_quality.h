#pragma once

#include "hickorypost/base/time.h"

#include <map>
#include <string>

namespace hickorypost::gateway {

struct way_settings {
    /// Events that come together after a pause this long were held up on their way: an engine that
    /// pauses goes on with one event. Less than the shortest time after which TCP sends a lost
    /// segment again (200 ms), more than what a busy engine takes for one step.
    millis stall{150};
    std::uint64_t stalled_events = 2;
    /// Weight of the newest stream in the running share of those that were held up.
    double weight = 0.3;
    /// Without news the share halves in this time, so that a way that is good again is found out.
    millis half_life{2500};
};

/// How many streams are held up on their way from each failure domain, as this process sees it.
/// Sans I/O.
///
/// Load pattern: links of one failure domain lose packets. Each loss holds a stream's events up for
/// 200 ms or more, while engines and their reports look sound; a stream of 40 events that crosses
/// such links is late more often than not.
class way_quality {
public:
    explicit way_quality(way_settings settings) : settings_{settings} {}

    /// Whether `events` that come together after a pause of `gap` were held up on their way.
    [[nodiscard]] bool is_stall(micros gap, std::uint64_t events) const
    {
        return gap >= settings_.stall && events >= settings_.stalled_events;
    }
    /// A stream was held up, or ended without that.
    void saw(const std::string& domain, bool held_up, instant now);
    /// Share of streams that are held up on the way from there, beyond that on the best way: what
    /// holds all up lies with this process.
    [[nodiscard]] double excess(const std::string& domain, instant now) const;

private:
    struct way {
        double share = 0;
        instant at;
    };

    [[nodiscard]] double share_now(const way& it, instant now) const;

    way_settings settings_;
    std::map<std::string, way> ways_; ///< by failure domain
};

} // namespace hickorypost::gateway
