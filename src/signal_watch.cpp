#include "signal_watch.h"

#include "hickorypost/net/timer.h"

#include <csignal>
#include <glib-unix.h>
#include <utility>

namespace hickorypost {

namespace {

constexpr std::array handled_signals{std::pair{SIGTERM, "SIGTERM"}, std::pair{SIGINT, "SIGINT"},
                                     std::pair{SIGHUP, "SIGHUP"}};

std::string name_blocked_signals()
{
    sigset_t blocked{};
    ::pthread_sigmask(SIG_BLOCK, nullptr, &blocked);
    std::string out;
    for (const auto& [number, name] : handled_signals) {
        if (sigismember(&blocked, number) == 1) {
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
      inherited_blocks_{name_blocked_signals()}
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
