#pragma once

#include "hickorypost/base/time.h"
#include "hickorypost/net/gobject_ptr.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace hickorypost::net {

/// Something whose file descriptor a `poller` watches.
class pollable {
public:
    virtual ~pollable() = default;
    /// `events`: EPOLL* bits. Edge-triggered: reads and writes until they would block.
    virtual void ready(std::uint32_t events) = 0;
    /// Called once after a batch of events for those that asked with `poller::flush_later`.
    virtual void flush() {}
};

/// Thousands of sockets behind one source of the GLib main context.
///
/// GLib polls each source by itself, so a wake-up costs a walk over all connections; here a wake-up
/// costs one `epoll_wait`. What is written during one batch of events leaves in one write a socket.
class poller {
public:
    /// `ended`: called after each batch of events with the time that it took, in microseconds.
    explicit poller(std::function<void(std::int64_t)> ended = {});
    ~poller();
    poller(const poller&) = delete;
    poller& operator=(const poller&) = delete;

    void add(int fd, pollable& what);
    /// Must be called before `what` goes; its events of the current batch are dropped.
    void remove(int fd, pollable& what);
    void flush_later(pollable& what);
    /// Calls `flush` after all that `flush_later` asked for in this turn; in the next turn if
    /// called from `flush` itself.
    void defer(pollable& what);
    /// How long the current turn, a batch of events with its flushes, has taken so far.
    [[nodiscard]] micros turn_time() const;
    /// Takes back `flush_later` and `defer`; must be called before `what` goes.
    void forget(pollable& what);
    /// Handles what has arrived by now, and no more than a bounded number of later events. Must not
    /// be called during a turn.
    void run_arrived();

private:
    static gboolean on_ready(gint fd, GIOCondition condition, gpointer data);
    /// Returns whether there may be further events.
    bool run_batch();
    void run_turn_end();
    void run_flushes();
    void arm_flush_source();

    int epoll_fd_;
    std::function<void(std::int64_t)> ended_;
    gsource_ptr source_;
    gsource_ptr flush_source_;
    std::vector<pollable*> batch_;
    std::vector<pollable*> flushes_;
    std::vector<pollable*> deferred_;
    std::vector<pollable*> running_deferred_;
    std::int64_t turn_began_ = 0; ///< monotonic time in microseconds
    bool in_turn_ = false;
};

/// One-shot timers of one main context behind a single GLib source.
///
/// Input that arrived while the process was paused is handled before the timers that became due
/// meanwhile, as these often limit the wait for such input.
class timer_queue {
public:
    using id = std::uint64_t;

    timer_queue(poller& input, clock_fn now);
    ~timer_queue();
    timer_queue(const timer_queue&) = delete;
    timer_queue& operator=(const timer_queue&) = delete;

    /// Gives an id that is never 0.
    id add(instant due, std::function<void()> hook);
    /// Ignores ids that ran already, and 0.
    void cancel(id which);

private:
    struct entry {
        id number = 0;
        std::function<void()> hook;
    };

    static gboolean on_due(gpointer data);
    void run_due();
    void arm();

    poller& input_;
    clock_fn now_;
    GSource* source_;
    std::multimap<instant, entry> queue_;
    std::map<id, instant> due_of_;
    id next_ = 1;
};

} // namespace hickorypost::net
