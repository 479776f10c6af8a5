#pragma once

#include "hickorypost/base/ids.h"
#include "hickorypost/base/time.h"
#include "hickorypost/wire/messages.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace hickorypost::admission {

enum class attempt_state : std::uint8_t { queued, running, over, tombstoned };

/// All attempts known to one incarnation of an agent. Ensures that each starts at most once.
///
/// An attempt that was queried, refused or cancelled before it started gets a tombstone, which
/// refuses a delayed start.
class attempt_table {
public:
    explicit attempt_table(millis keep) : keep_{keep} {}

    /// The attempt may be queued: it was never heard of. Otherwise its state.
    std::optional<attempt_state> admit(attempt_id attempt);
    /// Queued becomes running; false if it was tombstoned meanwhile or had started before.
    bool begin(attempt_id attempt);
    void end(attempt_id attempt, instant now);
    /// True if the attempt never started and from now on never will.
    bool tombstone(attempt_id attempt, instant now);
    [[nodiscard]] std::optional<attempt_state> state(attempt_id attempt) const;
    /// Forgets attempts that have been over, and tombstones that have been set, for `keep`: longer
    /// than any start can be on its way, since it carries its remaining time.
    void expire(instant now);
    [[nodiscard]] std::size_t size() const noexcept { return attempts_.size(); }

private:
    struct ended {
        instant at;
        attempt_id attempt = 0;
    };

    millis keep_;
    std::unordered_map<attempt_id, attempt_state> attempts_;
    std::deque<ended> ended_;
};

} // namespace hickorypost::admission
