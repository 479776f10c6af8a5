#include "gateway/backend_dial.h"

#include <utility>

namespace hickorypost {

namespace {

/// Longer than anybody waits for the result: a dial that nobody answers is destroyed before.
constexpr millis silence_limit{2000};
/// A server that ends may close its connections some time before it stops listening.
constexpr millis accepted_for{40};
constexpr std::uint32_t max_connects = 3;

} // namespace

backend_dial::backend_dial(net::poller& on, gateway::scheduler& timers, clock_fn now,
                           const std::string& address, std::function<void(bool refused)> done)
    : poller_{on}, timers_{timers}, now_{std::move(now)}, to_{net::endpoint::parse(address)},
      done_{std::move(done)}
{
    connect();
}

backend_dial::~backend_dial()
{
    timers_.cancel(timer_);
}

void backend_dial::connect()
{
    if (!to_) {
        finish(false, millis{0});
        return;
    }
    ++connects_;
    stream_ = net::tcp_stream::connect(poller_, *to_, silence_limit);
    net::tcp_stream::hooks hooks;
    hooks.connected = [this] { finish(false, accepted_for); };
    hooks.ended = [this](net::stream_end how) { ended(how); };
    stream_->set_hooks(std::move(hooks));
}

void backend_dial::ended(net::stream_end how)
{
    // A reset may come before the connection is seen to be open.
    if (how != net::stream_end::refused && connects_ < max_connects) {
        call_later(millis{0}, [this] { connect(); });
        return;
    }
    finish(how == net::stream_end::refused, millis{0});
}

void backend_dial::finish(bool refused, millis delay)
{
    call_later(delay, [this, refused] {
        const auto done = std::move(done_);
        done(refused);
    });
}

void backend_dial::call_later(millis delay, std::function<void()> hook)
{
    // Not from within a hook of the stream, which its subscriber destroys.
    timers_.cancel(timer_);
    timer_ = timers_.add(now_() + delay, [this, hook = std::move(hook)] {
        timer_ = 0;
        hook();
    });
}

} // namespace hickorypost
