#include "hickorypost/routing/retry_budget.h"

#include <algorithm>

namespace hickorypost::routing {

void retry_budget::first_try() noexcept
{
    saved_ = std::min(options_.burst, saved_ + options_.ratio);
}

bool retry_budget::try_again(std::uint32_t tries_so_far, micros remaining) noexcept
{
    if (tries_so_far >= options_.max_tries || remaining < options_.min_remaining || saved_ < 1.0) {
        return false;
    }
    saved_ -= 1.0;
    return true;
}

} // namespace hickorypost::routing
