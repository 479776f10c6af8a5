#pragma once

#include "hickorypost/base/time.h"

#include <array>
#include <functional>
#include <glib.h>
#include <string>

namespace hickorypost {

/// Handles SIGTERM, SIGINT and SIGHUP on the main loop from its construction on. A signal that
/// arrives while the main loop does not run is handled once it does.
class signal_watch {
public:
    signal_watch();
    ~signal_watch();
    signal_watch(const signal_watch&) = delete;
    signal_watch& operator=(const signal_watch&) = delete;

    /// Runs the main loop for this time. Returns false at once if the process is to end.
    bool wait_for(millis time);

    /// Names of the handled signals that the parent process had blocked; empty if none.
    [[nodiscard]] const std::string& inherited_blocks() const noexcept { return inherited_blocks_; }

    /// Hooks of the signals; those that arrive while a hook is unset are only recorded.
    std::function<void()> on_terminate;
    std::function<void()> on_interrupt;
    std::function<void()> on_hangup;

private:
    static gboolean terminate(gpointer data);
    static gboolean interrupt(gpointer data);
    static gboolean hang_up(gpointer data);
    void end(const std::function<void()>& hook);

    std::array<guint, 3> sources_;
    std::string inherited_blocks_;
    bool ends_ = false; ///< a signal that ends the process has arrived
};

} // namespace hickorypost
