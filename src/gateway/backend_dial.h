#pragma once

#include "hickorypost/gateway/crash_watch.h"
#include "hickorypost/net/tcp_stream.h"

#include <functional>
#include <memory>
#include <optional>

namespace hickorypost {

/// Opens a connection to a backend server and closes it again without sending anything. If the
/// server closes it first, which it does as it ends, another one is opened.
/// `done(true)`: one was refused. Nothing is called if nobody answers, or after destruction.
class backend_dial final : public gateway::dial {
public:
    backend_dial(net::poller& on, gateway::scheduler& timers, clock_fn now,
                 const std::string& address, std::function<void(bool refused)> done);
    ~backend_dial() override;
    backend_dial(const backend_dial&) = delete;
    backend_dial& operator=(const backend_dial&) = delete;

private:
    void connect();
    void ended(net::stream_end how);
    /// Calls `done` after this long, unless something else is called before.
    void finish(bool refused, millis delay);
    void call_later(millis delay, std::function<void()> hook);

    net::poller& poller_;
    gateway::scheduler& timers_;
    clock_fn now_;
    std::optional<net::endpoint> to_;
    std::function<void(bool refused)> done_;
    std::unique_ptr<net::tcp_stream> stream_;
    std::uint64_t timer_ = 0;
    std::uint32_t connects_ = 0;
};

} // namespace hickorypost
