#pragma once

#include "hickorypost/base/time.h"

#include <cstdint>

namespace hickorypost::scheduling {

struct pacer_settings {
    /// Time until the other hosts' load reports include what they have sent: two hops with reports
    /// every 10 ms.
    micros report_delay{millis{25}};
    /// Time without full engines after which the rate is doubled. If the rates of thirty hosts grow
    /// faster, the engines are full again before the last increase shows in the waits.
    micros growth_interval{millis{200}};
    /// Part of the backlog bound that all hosts together may fill before they know of each other.
    /// Hosts without knowledge of each other place requests at random, and with a mean of a quarter
    /// of the bound few engines exceed it.
    double unknown_ratio = 0.25;
    /// Multiple of that which a host may send before its requests wait. Clients send a few requests
    /// close together without any outage, and these must not be delayed.
    double burst_factor = 2;
};

/// Limits the work that one of several hosts sends at once. Performs no I/O.
///
/// Hosts whose clients return at the same time, after an outage, all see the same idle engines, and
/// hosts with waiting requests all see the same engine become available. Each therefore begins with
/// its share, halves its rate while the engines are full, and doubles it after each
/// `growth_interval` in which they have room. Single requests are never delayed.
class send_pacer {
public:
    explicit send_pacer(pacer_settings settings) : settings_{settings} {}

    /// What the rate depends on.
    struct pool {
        double engines = 1;
        double hosts = 1; ///< that send to the engines
        double max_backlog_ms = 0;
        bool is_full = false; ///< the expected wait exceeds `max_backlog_ms`
    };

    /// Whether another request may be sent now. `others_wait`: requests wait for it.
    [[nodiscard]] bool allows(const pool& at, bool others_wait, instant now) const;
    /// Records a request that is sent.
    void sent(double work_ms, const pool& at, instant now);
    /// Adapts the rate. Call before each decision.
    void observe(const pool& at, bool others_wait, instant now);

private:
    /// Work that may be sent within `report_delay`.
    [[nodiscard]] double allowance_ms(const pool& at) const;
    /// Work sent so far that the other hosts may not know of.
    [[nodiscard]] double unreported_ms(const pool& at, instant now) const;

    pacer_settings settings_;
    double rate_factor_ = 1;   ///< of the rate with which a burst begins
    instant changed_at_;       ///< last change of `rate_factor_`
    instant full_at_;          ///< when the engines were last seen to be full
    double unreported_ms_ = 0; ///< at `settled_at_`
    instant settled_at_;
    std::uint32_t burst_ = 0; ///< requests sent with intervals below `report_delay`
    instant sent_at_;
};

} // namespace hickorypost::scheduling
