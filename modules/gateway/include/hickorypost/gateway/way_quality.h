#pragma once

#include "hickorypost/base/time.h"

#include <map>
#include <string>

namespace hickorypost::gateway {

struct way_quality_settings {
    /// Several events that arrive together after a pause of at least this length were delayed by
    /// the network: an engine that pauses continues with a single event. Shorter than the minimum
    /// TCP retransmission timeout (200 ms), longer than a step of a busy engine.
    millis min_stall{150};
    std::uint64_t min_stall_events = 2;
    /// Weight of the newest stream in the running share of delayed streams.
    double weight = 0.3;
    /// Without new streams the share halves in this time, so that a network path is used again and
    /// its recovery is noticed.
    millis half_life{2500};
};

/// Measures the share of streams that the network delays on the path from each failure domain to
/// this process. Performs no I/O.
///
/// Needed when links of one failure domain lose packets. Each loss delays a stream's events by
/// 200 ms or more, while the engines and their reports look healthy; most streams of 40 events that
/// cross such links are late.
class way_quality {
public:
    explicit way_quality(way_quality_settings settings) : settings_{settings} {}

    /// Whether the network delayed `events` that arrived together after a pause of `gap`.
    [[nodiscard]] bool is_stall(micros gap, std::uint64_t events) const
    {
        return gap >= settings_.min_stall && events >= settings_.min_stall_events;
    }
    /// Records a stream that was delayed, or that ended without a delay.
    void saw(const std::string& domain, bool delayed, instant now);
    /// Share of delayed streams from a failure domain, minus that of the best failure domain: if
    /// streams from all of them are delayed, this process is the cause.
    [[nodiscard]] double excess(const std::string& domain, instant now) const;

private:
    struct path {
        double share = 0;
        instant at;
    };

    [[nodiscard]] double decayed_share(const path& it, instant now) const;

    way_quality_settings settings_;
    std::map<std::string, path> paths_; ///< by failure domain
};

} // namespace hickorypost::gateway
