#include "gateway/backend_dial.h"

#include <utility>

namespace hickorypost {

namespace {

/// Longer than anybody waits for the result: a dial that nobody answers is destroyed before.
constexpr millis silence_limit{2000};

} // namespace

backend_dial::backend_dial(net::poller& on, gateway::scheduler& timers, clock_fn now,
                           const std::string& address, std::function<void(bool refused)> done)
    : timers_{timers}, now_{std::move(now)}, done_{std::move(done)}
{
    const auto to = net::endpoint::parse(address);
    if (!to) {
        finish(false);
        return;
    }
    stream_ = net::tcp_stream::connect(on, *to, silence_limit);
    net::tcp_stream::hooks hooks;
    hooks.connected = [this] { finish(false); };
    hooks.ended = [this](net::stream_end how) { finish(how == net::stream_end::refused); };
    stream_->set_hooks(std::move(hooks));
}

backend_dial::~backend_dial()
{
    timers_.cancel(timer_);
}

void backend_dial::finish(bool refused)
{
    if (timer_ != 0) {
        return;
    }
    // Not from within a hook of the stream: the subscriber destroys this dial.
    timer_ = timers_.add(now_(), [this, refused] {
        timer_ = 0;
        const auto done = std::move(done_);
        done(refused);
    });
}

} // namespace hickorypost
