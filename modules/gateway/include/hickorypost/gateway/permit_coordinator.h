#pragma once

#include "hickorypost/base/ids.h"
#include "hickorypost/gateway/backend_limits.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hickorypost::gateway {

struct coordinator_settings {
    /// Requests a second that a backend server gets at least, however low its limit, so that an
    /// answer can end it.
    double min_per_second = 0.2;
    /// A request that is not repeated is dropped after this long.
    millis request_lifetime{600};
    /// A backend server that nobody asks for is forgotten after this long.
    millis lifetime{60'000};
};

/// Grants permits for limited backend servers on behalf of all hosts, at the rate of each limit,
/// to the most urgent requests first, then round robin. Runs on one host. Performs no I/O itself.
class permit_coordinator {
public:
    explicit permit_coordinator(coordinator_settings settings) : settings_{settings} {}

    /// A host asks for a permit. One that is not granted now waits for its turn in `due`.
    permit_reply ask(const node_id& host, const permit_request& request, instant now);

    struct grant {
        node_id host;
        std::string backend;
    };
    /// Permits whose turn has come.
    std::vector<grant> due(instant now);
    /// No host waits for a permit.
    [[nodiscard]] bool idle() const;
    void expire(instant now);

private:
    struct waiting {
        node_id host;
        int priority = 0;
        std::uint64_t number = 0;
        instant until;
    };
    struct bucket {
        double per_second = 0;
        instant next; ///< when the next permit may be granted
        instant asked;
        std::vector<waiting> queue; ///< in the order in which they are granted
    };

    [[nodiscard]] micros gap(const bucket& it) const;
    void take_one(bucket& it, instant now) const;

    coordinator_settings settings_;
    std::map<std::string, bucket> buckets_; ///< by incarnation
    std::uint64_t last_ = 0;
};

} // namespace hickorypost::gateway
