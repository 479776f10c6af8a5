#pragma once

#include "hickorypost/base/ids.h"
#include "hickorypost/base/time.h"
#include "hickorypost/wire/messages.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace hickorypost::admission {

enum class attempt_state : std::uint8_t { queued, running, over, tombstoned };

/// Every attempt that an agent's life has heard of: the reason why each starts at most once here.
///
/// A tombstone is set for an attempt that was asked after, refused or cancelled before it started;
/// a start that arrives later, because it was held up on the way, is then refused.
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
