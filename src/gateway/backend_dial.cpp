#include "gateway/backend_dial.h"

#include <utility>

namespace hickorypost {

namespace {

/// Timeout of a connection attempt without response. The owner destroys the dial before it expires.
constexpr millis unacknowledged_timeout{2000};
/// A connection must stay open for this long to count as accepted: a process that ends may close
/// its connections some time before its listening socket.
constexpr millis accepted_after{40};
constexpr std::uint32_t max_attempts = 3;

} // namespace

backend_dial::backend_dial(net::poller& poller, gateway::scheduler& timers, clock_fn now,
                           const std::string& address, std::function<void(bool refused)> done)
    : poller_{poller}, timers_{timers}, now_{std::move(now)},
      address_{net::endpoint::parse(address)}, done_{std::move(done)}
{
    connect();
}

backend_dial::~backend_dial()
{
    timers_.cancel(timer_);
}

void backend_dial::connect()
{
    if (!address_) {
        report(false, millis{0});
        return;
    }
    ++attempts_;
    stream_ = net::tcp_stream::connect(poller_, *address_, unacknowledged_timeout);
    net::tcp_stream::hooks hooks;
    hooks.connected = [this] { report(false, accepted_after); };
    hooks.ended = [this](net::stream_end end) { on_ended(end); };
    stream_->set_hooks(std::move(hooks));
}

void backend_dial::on_ended(net::stream_end end)
{
    // A reset may arrive before the connection is reported as open, so this is no result yet.
    if (end != net::stream_end::refused && attempts_ < max_attempts) {
        schedule(millis{0}, [this] { connect(); });
        return;
    }
    report(end == net::stream_end::refused, millis{0});
}

void backend_dial::report(bool refused, millis delay)
{
    schedule(delay, [this, refused] {
        const auto done = std::move(done_);
        done(refused);
    });
}

void backend_dial::schedule(millis delay, std::function<void()> hook)
{
    // A hook of the stream must not call `done_`, which may destroy this object and the stream.
    timers_.cancel(timer_);
    timer_ = timers_.add(now_() + delay, [this, hook = std::move(hook)] {
        timer_ = 0;
        hook();
    });
}

} // namespace hickorypost
