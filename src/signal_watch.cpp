#include "signal_watch.h"

#include "hickorypost/net/timer.h"

#include <csignal>
#include <glib-unix.h>
#include <utility>

namespace hickorypost {

namespace {

constexpr std::array handled_signals{std::pair{SIGTERM, "SIGTERM"}, std::pair{SIGINT, "SIGINT"},
                                     std::pair{SIGHUP, "SIGHUP"}};

/// Unblocks the handled signals. Returns the names of those that were blocked.
std::string unblock_signals()
{
    sigset_t handled{};
    sigset_t before{};
    sigemptyset(&handled);
    for (const auto& [number, name] : handled_signals) {
        sigaddset(&handled, number);
    }
    ::pthread_sigmask(SIG_UNBLOCK, &handled, &before);
    std::string out;
    for (const auto& [number, name] : handled_signals) {
        if (sigismember(&before, number) == 1) {
            out.append(out.empty() ? "" : ", ").append(name);
        }
    }
    return out;
}

} // namespace

signal_watch::signal_watch()
    : sources_{g_unix_signal_add(SIGTERM, terminate, this),
               g_unix_signal_add(SIGINT, interrupt, this),
               g_unix_signal_add(SIGHUP, hang_up, this)},
      inherited_blocks_{unblock_signals()}
{
}

signal_watch::~signal_watch()
{
    for (const guint it : sources_) {
        g_source_remove(it);
    }
}

bool signal_watch::wait_for(millis time)
{
    bool over = false;
    const auto timer = net::timer::once(time, [&over] { over = true; });
    while (!over && !ends_) {
        g_main_context_iteration(nullptr, TRUE);
    }
    return !ends_;
}

gboolean signal_watch::terminate(gpointer data)
{
    auto* const self = static_cast<signal_watch*>(data);
    self->end(self->on_terminate);
    return G_SOURCE_CONTINUE;
}

gboolean signal_watch::interrupt(gpointer data)
{
    auto* const self = static_cast<signal_watch*>(data);
    self->end(self->on_interrupt);
    return G_SOURCE_CONTINUE;
}

gboolean signal_watch::hang_up(gpointer data)
{
    if (auto* const self = static_cast<signal_watch*>(data); self->on_hangup) {
        self->on_hangup();
    }
    return G_SOURCE_CONTINUE;
}

void signal_watch::end(const std::function<void()>& hook)
{
    ends_ = true;
    if (hook) {
        hook();
    }
}

} // namespace hickorypost
