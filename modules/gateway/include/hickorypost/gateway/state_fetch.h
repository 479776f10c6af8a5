#pragma once

#include "hickorypost/base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace hickorypost::gateway {

struct state_fetch_settings {
    /// A revision is requested again after this long, because the response may have been lost with
    /// a link or the host that was asked may have lost the state.
    millis retry_period{400};
    /// Time in which a host in the own failure domain is expected to announce what hosts in other
    /// domains have announced.
    millis local_delay{100};
};

/// Decides which host with a replica of the control log a host without one asks for a newer control
/// state. Performs no I/O.
///
/// Load pattern: every change makes all hosts ask within milliseconds. If they ask the first host
/// that announces the change, usually the leader, it sends as many copies as there are hosts, most
/// of them to other failure domains.
class state_fetch {
public:
    explicit state_fetch(state_fetch_settings settings) : settings_{settings} {}

    /// `host` has announced that it has `revision`; `is_local`: it is in the own failure domain.
    void announced(const std::string& host, bool is_local, std::uint64_t revision);
    /// Returns the host to ask now, if any. `own`: revision that this host has; `has_local`:
    /// whether a host in the own failure domain may still announce the newest one.
    std::optional<std::string> take_due(std::uint64_t own, bool has_local, instant now);

private:
    /// The newest announcement of the hosts inside or outside the own failure domain.
    struct source {
        std::string host;
        std::uint64_t revision = 0;
    };

    state_fetch_settings settings_;
    source local_;
    source remote_;
    /// Since when `remote_` has a newer revision and `local_` has announced none.
    std::optional<instant> remote_ahead_since_;
    source asked_;
    instant asked_at_;
};

} // namespace hickorypost::gateway
