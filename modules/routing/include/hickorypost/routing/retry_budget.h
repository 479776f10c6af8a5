#pragma once

#include "hickorypost/base/time.h"

namespace hickorypost::routing {

struct retry_options {
    /// Retries that each first try adds to the budget. Prevents retries from multiplying an
    /// overload.
    double ratio = 0.1;
    /// Maximum number of unused retries that the budget accumulates.
    double burst = 20;
    /// Maximum number of tries of one request, including the first.
    std::uint32_t max_tries = 3;
    /// Minimum time until the request's deadline for a retry.
    millis min_remaining{50};
};

/// Limits retries to a share of the first tries. Does no I/O.
class retry_budget {
public:
    explicit retry_budget(retry_options options) : options_{options}, available_{options.burst} {}

    /// Call for the first try of each request; adds `ratio` retries to the budget.
    void first_try() noexcept;
    /// Takes one retry from the budget; returns false if no retry is allowed.
    bool try_again(std::uint32_t tries_so_far, micros remaining) noexcept;
    [[nodiscard]] double available() const noexcept { return available_; }

private:
    retry_options options_;
    double available_;
};

} // namespace hickorypost::routing
