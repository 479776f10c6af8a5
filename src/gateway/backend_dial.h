#pragma once

#include "hickorypost/gateway/crash_watch.h"
#include "hickorypost/net/tcp_stream.h"

#include <functional>
#include <memory>

namespace hickorypost {

/// Opens a connection to a backend server and closes it again without sending anything.
/// `done(true)`: it was refused. Nothing is called if nobody answers, or after destruction.
class backend_dial final : public gateway::dial {
public:
    backend_dial(net::poller& on, gateway::scheduler& timers, clock_fn now,
                 const std::string& address, std::function<void(bool refused)> done);
    ~backend_dial() override;
    backend_dial(const backend_dial&) = delete;
    backend_dial& operator=(const backend_dial&) = delete;

private:
    void finish(bool refused);

    gateway::scheduler& timers_;
    clock_fn now_;
    std::function<void(bool refused)> done_;
    std::unique_ptr<net::tcp_stream> stream_;
    std::uint64_t timer_ = 0;
};

} // namespace hickorypost
