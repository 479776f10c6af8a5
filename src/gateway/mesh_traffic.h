#pragma once

#include "hickorypost/telemetry/metrics.h"
#include "hickorypost/wire/messages.h"

#include <cstdint>
#include <map>
#include <string>

namespace hickorypost {

/// Counts the bytes that this host exchanges with other hosts, by message type.
class mesh_traffic {
public:
    void sent(wire::message_type type, std::uint64_t bytes) { totals_[type].sent += bytes; }
    void received(wire::message_type type, std::uint64_t bytes) { totals_[type].received += bytes; }
    void collect(telemetry::metrics& metrics) const;
    /// Returns the bytes since the last call as `type sent/received` pairs, largest sum first;
    /// empty if there were none.
    [[nodiscard]] std::string take_summary();

private:
    struct byte_count {
        std::uint64_t sent = 0;
        std::uint64_t received = 0;
    };

    std::map<wire::message_type, byte_count> totals_;
    std::map<wire::message_type, byte_count> summarized_; ///< totals at the last `take_summary`
};

} // namespace hickorypost
