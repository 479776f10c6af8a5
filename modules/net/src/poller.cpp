#include "hickorypost/net/poller.h"

#include <algorithm>
#include <array>
#include <glib-unix.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <utility>

namespace hickorypost::net {

namespace {

constexpr int events_per_batch = 256;
/// Batches in a row before timers run, so that input without end doesn't keep them waiting.
constexpr int max_batches_in_a_row = 16;
/// Timers that are later than this wait for arrived input. Main loops wake up to 1 ms late.
constexpr millis late_timer{2};

GSourceFuncs timer_funcs{
    nullptr,
    nullptr,
    [](GSource*, GSourceFunc callback, gpointer data) -> gboolean { return callback(data); },
    nullptr,
    nullptr,
    nullptr};

} // namespace

poller::poller(std::function<void(std::int64_t)> ended)
    : epoll_fd_{epoll_create1(EPOLL_CLOEXEC)}, ended_{std::move(ended)}
{
    GSource* source = g_unix_fd_source_new(epoll_fd_, G_IO_IN);
    g_source_set_callback(source, G_SOURCE_FUNC(on_ready), this, nullptr);
    g_source_attach(source, g_main_context_get_thread_default());
    source_.reset(source);
}

poller::~poller()
{
    source_.reset();
    flush_source_.reset();
    ::close(epoll_fd_);
}

void poller::add(int fd, pollable& what)
{
    epoll_event event{};
    event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
    event.data.ptr = &what;
    epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event);
}

void poller::remove(int fd, pollable& what)
{
    epoll_event event{};
    epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, fd, &event);
    forget(what);
}

void poller::forget(pollable& what)
{
    for (auto* list : {&batch_, &flushes_, &deferred_, &running_deferred_}) {
        std::replace(list->begin(), list->end(), &what, static_cast<pollable*>(nullptr));
    }
}

void poller::flush_later(pollable& what)
{
    if (std::find(flushes_.begin(), flushes_.end(), &what) == flushes_.end()) {
        flushes_.push_back(&what);
    }
    arm_flush_source();
}

void poller::defer(pollable& what)
{
    if (std::find(deferred_.begin(), deferred_.end(), &what) == deferred_.end()) {
        deferred_.push_back(&what);
    }
    arm_flush_source();
}

micros poller::turn_time() const
{
    return micros{in_turn_ ? g_get_monotonic_time() - turn_began_ : 0};
}

void poller::arm_flush_source()
{
    if (in_turn_ || flush_source_) {
        return;
    }
    GSource* source = g_idle_source_new();
    g_source_set_priority(source, G_PRIORITY_DEFAULT);
    const auto run = [](gpointer data) -> gboolean {
        auto* self = static_cast<poller*>(data);
        self->flush_source_.reset();
        self->turn_began_ = g_get_monotonic_time();
        self->run_turn_end();
        return G_SOURCE_REMOVE;
    };
    g_source_set_callback(source, run, this, nullptr);
    g_source_attach(source, g_main_context_get_thread_default());
    flush_source_.reset(source);
}

gboolean poller::on_ready(gint, GIOCondition, gpointer data)
{
    static_cast<poller*>(data)->run_batch();
    return G_SOURCE_CONTINUE;
}

void poller::run_arrived()
{
    for (int n = 0; n < max_batches_in_a_row && run_batch(); ++n) {
    }
}

bool poller::run_batch()
{
    std::array<epoll_event, events_per_batch> events{};
    const int n = epoll_wait(epoll_fd_, events.data(), events_per_batch, 0);
    if (n <= 0) {
        return false;
    }
    turn_began_ = g_get_monotonic_time();
    in_turn_ = true;
    batch_.clear();
    for (int it = 0; it < n; ++it) {
        batch_.push_back(static_cast<pollable*>(events[static_cast<std::size_t>(it)].data.ptr));
    }
    for (std::size_t it = 0; it < batch_.size(); ++it) {
        if (batch_[it] != nullptr) {
            batch_[it]->ready(events[it].events);
        }
    }
    batch_.clear();
    run_turn_end();
    return n == events_per_batch;
}

void poller::run_turn_end()
{
    in_turn_ = true;
    run_flushes();
    running_deferred_ = std::exchange(deferred_, {});
    for (pollable* const& what : running_deferred_) { // `forget` may clear later ones meanwhile
        if (what != nullptr) {
            what->flush();
        }
    }
    run_flushes();
    const auto took = turn_time();
    in_turn_ = false;
    flush_source_.reset(); // its flushes have run
    if (!deferred_.empty()) {
        arm_flush_source();
    }
    if (ended_) {
        ended_(took.count());
    }
}

void poller::run_flushes()
{
    // A flush may cause further ones; they run in the same turn, and the list grows meanwhile.
    std::size_t next = 0;
    while (next < flushes_.size()) {
        if (pollable* what = std::exchange(flushes_[next], nullptr); what != nullptr) {
            what->flush();
        }
        ++next;
    }
    flushes_.clear();
}

timer_queue::timer_queue(poller& input, clock_fn now)
    : input_{input}, now_{std::move(now)}, source_{g_source_new(&timer_funcs, sizeof(GSource))}
{
    g_source_set_callback(source_, on_due, this, nullptr);
    g_source_attach(source_, g_main_context_get_thread_default());
}

timer_queue::~timer_queue()
{
    g_source_destroy(source_);
    g_source_unref(source_);
}

timer_queue::id timer_queue::add(instant due, std::function<void()> hook)
{
    const id number = next_++;
    const auto it = queue_.emplace(due, entry{number, std::move(hook)});
    due_of_.emplace(number, due);
    if (it == queue_.begin()) {
        arm();
    }
    return number;
}

void timer_queue::cancel(id which)
{
    const auto known = due_of_.find(which);
    if (known == due_of_.end()) {
        return;
    }
    const auto [first, last] = queue_.equal_range(known->second);
    const auto it =
        std::find_if(first, last, [&](const auto& item) { return item.second.number == which; });
    queue_.erase(it);
    due_of_.erase(known);
}

gboolean timer_queue::on_due(gpointer data)
{
    static_cast<timer_queue*>(data)->run_due();
    return G_SOURCE_CONTINUE;
}

void timer_queue::run_due()
{
    // Taken before the input is read, so that input is late only if it arrived after the deadline.
    const instant now = now_();
    if (!queue_.empty() && queue_.begin()->first + late_timer < now) {
        input_.run_arrived();
    }
    while (!queue_.empty() && queue_.begin()->first <= now) {
        const auto it = queue_.begin();
        const auto hook = std::move(it->second.hook);
        due_of_.erase(it->second.number);
        queue_.erase(it);
        hook();
    }
    arm();
}

void timer_queue::arm()
{
    if (queue_.empty()) {
        g_source_set_ready_time(source_, -1);
        return;
    }
    const auto wait = std::max<std::int64_t>(0, (queue_.begin()->first - now_()).count());
    g_source_set_ready_time(source_, g_get_monotonic_time() + wait);
}

} // namespace hickorypost::net
