#include "hickorypost/gateway/buffer_budget.h"

#include <algorithm>

namespace hickorypost::gateway {

std::size_t buffer_budget::allowance(std::size_t least, std::size_t most) const noexcept
{
    constexpr std::size_t part_of_free = 8;
    if (limit_ == 0) {
        return most;
    }
    const std::size_t free = limit_ - std::min(used_, limit_);
    return std::clamp(free / part_of_free, least, most);
}

} // namespace hickorypost::gateway
