#include "hickorypost/membership/fence.h"

namespace hickorypost::membership {

order_verdict fence::admit(const fenced_order& order) noexcept
{
    if (order.agent_life != life_) {
        return order_verdict::wrong_life;
    }
    if (order.number < highest_) {
        return order_verdict::stale;
    }
    highest_ = order.number;
    return order_verdict::pass;
}

} // namespace hickorypost::membership
