#pragma once

#include "hickorypost/base/ids.h"
#include "hickorypost/gateway/backend_limits.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hickorypost::gateway {

struct coordinator_settings {
    /// Minimum rate of permits per second for a backend server, however low its limit. Without any
    /// request no response could state the end of the limit.
    double min_per_second = 0.2;
    /// Time after which a permit request that is not repeated is dropped.
    millis request_lifetime{600};
    /// Time after which the state of a backend server without permit requests is dropped.
    millis lifetime{60'000};
};

/// Grants permits for rate-limited backend servers to all hosts, at the rate of each limit. The
/// most urgent requests come first, those of equal priority in order of arrival. Runs on one host.
/// Performs no I/O itself.
class permit_coordinator {
public:
    explicit permit_coordinator(coordinator_settings settings) : settings_{settings} {}

    /// Handles a permit request. If it is not granted at once, it is queued and granted by `due`.
    permit_reply ask(const node_id& host, const permit_request& request, instant now);

    struct grant {
        node_id host;
        std::string backend;
    };
    /// Grants permits to queued requests, as far as the rates allow.
    std::vector<grant> due(instant now);
    /// Whether no host waits for a permit.
    [[nodiscard]] bool idle() const;
    /// Drops backend servers without permit requests for `coordinator_settings::lifetime`.
    void expire(instant now);

private:
    /// A queued permit request.
    struct queued_request {
        node_id host;
        int priority = 0;
        std::uint64_t arrival = 0; ///< order of arrival, kept when the request is repeated
        instant expires_at;
    };
    /// Rate limiter of one backend server.
    struct bucket {
        double per_second = 0;
        instant next; ///< earliest time of the next permit
        instant last_request_at;
        std::vector<queued_request> queue; ///< by priority, then by `arrival`
    };

    /// Interval between two permits.
    [[nodiscard]] micros permit_interval(const bucket& it) const;
    /// Accounts for one granted permit.
    void consume_permit(bucket& it, instant now) const;

    coordinator_settings settings_;
    std::map<std::string, bucket> buckets_; ///< by incarnation
    std::uint64_t last_number_ = 0;
};

} // namespace hickorypost::gateway
