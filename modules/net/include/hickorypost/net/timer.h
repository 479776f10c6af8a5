#pragma once

#include "hickorypost/base/time.h"
#include "hickorypost/net/gobject_ptr.h"

namespace hickorypost::net {

/// Calls a hook on the thread's main context: every `period`, or once.
class timer {
public:
    timer() = default;
    static timer every(millis period, std::function<void()> hook);
    static timer once(millis delay, std::function<void()> hook);
    /// When the main context has nothing more urgent; coalesces work of one iteration.
    static timer when_idle(std::function<void()> hook);

    void cancel() { source_.reset(); }
    [[nodiscard]] bool armed() const noexcept
    {
        return source_ != nullptr && g_source_is_destroyed(source_.get()) == FALSE;
    }

private:
    gsource_ptr source_;
};

/// Runs `hook` on `context`; may be called from any thread.
void post(GMainContext* context, std::function<void()> hook);

} // namespace hickorypost::net
