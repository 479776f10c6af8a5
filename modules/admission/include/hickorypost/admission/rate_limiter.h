#pragma once

#include "hickorypost/base/time.h"

#include <map>
#include <string>
#include <string_view>

namespace hickorypost::admission {

struct account_limits {
    double rate_per_s = 0; ///< requests per second; 0: no limit
    double burst = 0;      ///< capacity of the token bucket in requests; at least 1 is used
    std::uint32_t max_in_flight = 0; ///< requests at the same time; 0: no limit
};

struct limit_answer {
    bool admitted = true;
    millis retry_after{0};
};

/// Token bucket and concurrency limit per client account, at an entry host. Does no I/O.
class rate_limiter {
public:
    /// Admits one request if the rate and concurrency limits allow it. The caller must call `done`
    /// when an admitted request ends.
    limit_answer admit(std::string_view account, const account_limits& limits, instant now);
    void done(std::string_view account);
    [[nodiscard]] std::uint32_t in_flight(std::string_view account) const;

private:
    struct bucket {
        double tokens = 0;
        instant refilled;
        std::uint32_t in_flight = 0;
        bool initialized = false;
    };
    std::map<std::string, bucket, std::less<>> buckets_;
};

} // namespace hickorypost::admission
