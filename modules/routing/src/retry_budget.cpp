#include "hickorypost/routing/retry_budget.h"

#include <algorithm>

namespace hickorypost::routing {

void retry_budget::first_try() noexcept
{
    available_ = std::min(options_.burst, available_ + options_.ratio);
}

bool retry_budget::try_again(std::uint32_t tries_so_far, micros remaining) noexcept
{
    if (tries_so_far >= options_.max_tries || remaining < options_.min_remaining ||
        available_ < 1.0) {
        return false;
    }
    available_ -= 1.0;
    return true;
}

} // namespace hickorypost::routing
