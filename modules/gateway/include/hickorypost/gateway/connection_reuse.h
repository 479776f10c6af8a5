#pragma once

#include "hickorypost/base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace hickorypost::gateway {

struct connection_reuse_settings {
    /// Stale connections in a row after which connections are no longer reused.
    std::uint32_t max_stale = 2;
    /// First time without reuse; doubles with each stale connection, up to `longest_pause`.
    millis first_pause{1000};
    millis longest_pause{60'000};
};

/// Decides whether connections to a backend server may carry further requests. Some servers close
/// each connection after one answer without announcing it. Performs no I/O.
class connection_reuse {
public:
    connection_reuse(connection_reuse_settings settings, clock_fn now)
        : settings_{settings}, now_{std::move(now)}
    {
    }

    [[nodiscard]] bool allows(const std::string& backend) const;
    /// A reused connection carried a further answer.
    void answered(const std::string& backend) { backends_.erase(backend); }
    /// A reused connection was closed before an answer to the request that was sent at `sent`.
    void stale(const std::string& backend, instant sent);

private:
    struct record {
        std::uint32_t stale = 0; ///< in a row
        instant last;
        instant paused_until;
    };

    connection_reuse_settings settings_;
    clock_fn now_;
    std::map<std::string, record> backends_; ///< by incarnation
};

} // namespace hickorypost::gateway
