#pragma once

#include "hickorypost/base/time.h"

#include <cstddef>
#include <cstdint>
#include <unordered_set>

namespace hickorypost::gateway {

/// Parts that were added a short time ago. Keeps them in two generations, so that forgetting costs
/// nothing per part.
class recent_parts {
public:
    /// A part is kept for `lifetime` at least and twice `lifetime` at most after it was last added,
    /// or shorter if more than `max_parts` are added in that time.
    recent_parts(millis lifetime, std::size_t max_parts);

    void add(std::uint64_t part, instant now);
    [[nodiscard]] bool contains(std::uint64_t part, instant now) const;

private:
    millis lifetime_;
    std::size_t max_parts_;
    std::unordered_set<std::uint64_t> newer_;
    std::unordered_set<std::uint64_t> older_;
    instant newer_since_; ///< when `newer_` was begun
};

} // namespace hickorypost::gateway
