#pragma once

#include "hickorypost/base/time.h"

namespace hickorypost::routing {

struct retry_options {
    /// Retries allowed per first try; keeps retries from multiplying an overload.
    double ratio = 0.1;
    /// Retries that may be saved up in quiet times.
    double burst = 20;
    /// Tries of one request, the first included.
    std::uint32_t max_tries = 3;
    /// A retry must leave at least this long until the deadline.
    millis min_remaining{50};
};

/// Decides whether a request may be tried again elsewhere. Sans I/O.
class retry_budget {
public:
    explicit retry_budget(retry_options options) : options_{options}, saved_{options.burst} {}

    void first_try() noexcept;
    /// Takes one retry from the budget if one is allowed.
    bool try_again(std::uint32_t tries_so_far, micros remaining) noexcept;
    [[nodiscard]] double saved() const noexcept { return saved_; }

private:
    retry_options options_;
    double saved_;
};

} // namespace hickorypost::routing
