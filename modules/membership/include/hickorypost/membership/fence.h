#pragma once

#include "hickorypost/base/ids.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace hickorypost::membership {

/// Fencing token that orders the decisions of successive control leaders by log term and index.
struct fencing_number {
    std::uint64_t term = 0;
    std::uint64_t index = 0;
    friend auto operator<=>(const fencing_number&, const fencing_number&) = default;
};

/// An order to a backend server (load, unload, change of role), as received by its agent.
struct fenced_order {
    fencing_number number;
    incarnation agent_life = 0; ///< the agent's incarnation that the leader addressed
};

enum class order_verdict : std::uint8_t {
    pass,
    stale,     ///< a higher fencing number has been admitted
    wrong_life ///< addressed to another incarnation of the agent
};

/// Rejects orders of deposed leaders on behalf of engines that do not check the fencing number.
///
/// The highest number is not persisted. An order that was sent before the agent's restart and
/// arrives after it is rejected because it names the previous incarnation.
class fence {
public:
    explicit fence(incarnation life) noexcept : life_{life} {}

    /// Checks an order and, if it passes, records its number as the highest. Equal numbers pass.
    order_verdict admit(const fenced_order& order) noexcept;
    [[nodiscard]] fencing_number highest() const noexcept { return highest_; }

private:
    incarnation life_;
    fencing_number highest_;
};

} // namespace hickorypost::membership
