#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace hickorypost::gateway {

/// Collects heartbeats that carry only a sequence, for the next periodic message to other hosts.
/// Performs no I/O.
///
/// A heartbeat that this host received from the backend server itself must be sent regardless of
/// what arrives from other hosts in between. Otherwise other hosts treat the backend server as
/// silent after a few seconds, and it is idle while the rest is overloaded.
class heartbeat_relay {
public:
    /// `forward`: whether to forward heartbeats from other hosts, as hosts with a disk do.
    explicit heartbeat_relay(bool forward) : forward_{forward} {}

    /// Adds a heartbeat that this host received from the backend server itself.
    void took(const std::string& backend, std::uint64_t sequence)
    {
        auto& newest = pending_[backend];
        newest = std::max(newest, sequence);
    }
    /// Adds a heartbeat received from another host. Only a new sequence is forwarded; otherwise two
    /// hosts would send the same heartbeat to each other forever.
    void heard(const std::string& backend, std::uint64_t sequence, bool is_news)
    {
        if (forward_ && is_news) {
            took(backend, sequence);
        }
    }
    /// Returns and clears the collected heartbeats: the newest sequence by incarnation.
    [[nodiscard]] std::map<std::string, std::uint64_t> take()
    {
        return std::exchange(pending_, {});
    }

private:
    bool forward_;
    std::map<std::string, std::uint64_t> pending_;
};

} // namespace hickorypost::gateway
