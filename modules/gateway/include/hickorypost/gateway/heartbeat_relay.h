#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace hickorypost::gateway {

/// Heartbeats without other news that wait for this host's turn to tell them. Sans I/O.
///
/// What a host took itself must reach the others whatever comes in meanwhile: others hold a backend
/// server for silent after a few seconds, and it then stands idle while the rest is overloaded.
class heartbeat_relay {
public:
    /// `passes_on`: this host also tells what others took; hosts with a disk do.
    explicit heartbeat_relay(bool passes_on) : passes_on_{passes_on} {}

    /// A backend server brought its heartbeat to this host.
    void took(const std::string& backend, std::uint64_t sequence)
    {
        auto& newest = waiting_[backend];
        newest = std::max(newest, sequence);
    }
    /// Another host told of it. Only news goes on from here, or two hosts would tell each other the
    /// same for ever.
    void heard(const std::string& backend, std::uint64_t sequence, bool is_news)
    {
        if (passes_on_ && is_news) {
            took(backend, sequence);
        }
    }
    /// What is to be told now, by incarnation with its newest sequence.
    [[nodiscard]] std::map<std::string, std::uint64_t> take()
    {
        return std::exchange(waiting_, {});
    }

private:
    bool passes_on_;
    std::map<std::string, std::uint64_t> waiting_;
};

} // namespace hickorypost::gateway
