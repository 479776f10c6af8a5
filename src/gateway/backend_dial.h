#pragma once

#include "hickorypost/gateway/crash_watch.h"
#include "hickorypost/net/tcp_stream.h"

#include <functional>
#include <memory>
#include <optional>

namespace hickorypost {

/// Checks whether a backend server still accepts connections, without sending any bytes. Opens a
/// connection; if the backend server closes it, as it does when its process ends, opens another
/// one, up to three in all. Calls `done(true)` if a connection is refused and `done(false)` if one
/// stays open or all are closed. Never calls `done` if there is no response, or after destruction.
class backend_dial final : public gateway::dial {
public:
    backend_dial(net::poller& poller, gateway::scheduler& timers, clock_fn now,
                 const std::string& address, std::function<void(bool refused)> done);
    ~backend_dial() override;
    backend_dial(const backend_dial&) = delete;
    backend_dial& operator=(const backend_dial&) = delete;

private:
    void connect();
    void on_ended(net::stream_end end);
    /// Calls `done_` after `delay`, unless another call is scheduled before.
    void report(bool refused, millis delay);
    void schedule(millis delay, std::function<void()> hook);

    net::poller& poller_;
    gateway::scheduler& timers_;
    clock_fn now_;
    std::optional<net::endpoint> address_;
    std::function<void(bool refused)> done_;
    std::unique_ptr<net::tcp_stream> stream_;
    std::uint64_t timer_ = 0;
    std::uint32_t attempts_ = 0;
};

} // namespace hickorypost
