#pragma once

#include "hickorypost/base/ids.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace hickorypost::membership {

/// Orders the decisions of successive control leaders.
struct fencing_number {
    std::uint64_t term = 0;
    std::uint64_t index = 0;
    friend auto operator<=>(const fencing_number&, const fencing_number&) = default;
};

/// An order to a backend server (load, unload, change of role) as an agent receives it.
struct fenced_order {
    fencing_number number;
    incarnation agent_life = 0; ///< the agent's life that the leader addressed
};

enum class order_verdict : std::uint8_t { pass, stale, wrong_life };

/// Refuses orders of deposed leaders on behalf of engines that ignore the fencing number.
///
/// After a restart the highest number is forgotten. An order that was held up since before the
/// restart names the former life, so it is refused although the number alone could not tell.
class fence {
public:
    explicit fence(incarnation life) noexcept : life_{life} {}

    order_verdict admit(const fenced_order& order) noexcept;
    [[nodiscard]] fencing_number highest() const noexcept { return highest_; }

private:
    incarnation life_;
    fencing_number highest_;
};

} // namespace hickorypost::membership
