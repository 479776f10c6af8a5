#pragma once

#include "hickorypost/base/ids.h"
#include "hickorypost/base/time.h"
#include "hickorypost/wire/messages.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace hickorypost::admission {

enum class attempt_state : std::uint8_t { queued, running, over, tombstoned };

/// Attempts known to one incarnation of an agent. Ensures that each attempt starts at most once.
///
/// An attempt that was queried, refused or cancelled before it started gets a tombstone. The
/// tombstone causes a delayed start message to be refused.
class attempt_table {
public:
    /// `retention`: how long ended attempts and tombstones are remembered.
    explicit attempt_table(millis retention) : retention_{retention} {}

    /// Registers an unknown attempt as queued and returns nothing; the caller may queue the
    /// attempt. Otherwise returns the attempt's state.
    std::optional<attempt_state> admit(attempt_id attempt);
    /// Changes a queued attempt to running. Returns false if the attempt is unknown, has a
    /// tombstone or has already started.
    bool begin(attempt_id attempt);
    void end(attempt_id attempt, instant now);
    /// Prevents the attempt from starting. Returns false if it has already started.
    bool tombstone(attempt_id attempt, instant now);
    [[nodiscard]] std::optional<attempt_state> state(attempt_id attempt) const;
    /// Removes attempts that ended, and tombstones that were set, longer than `retention` ago.
    /// `retention` must exceed the transit time of every start message; that time is bounded
    /// because a start message carries the request's remaining time.
    void expire(instant now);
    [[nodiscard]] std::size_t size() const noexcept { return attempts_.size(); }

private:
    struct ended {
        instant at;
        attempt_id attempt = 0;
    };

    millis retention_;
    std::unordered_map<attempt_id, attempt_state> attempts_;
    std::deque<ended> ended_;
};

} // namespace hickorypost::admission
