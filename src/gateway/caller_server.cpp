#include "gateway/caller_server.h"

#include "gateway/caller_connection.h"
#include "hickorypost/net/listen_error.h"

#include <algorithm>
#include <cerrno>
#include <unistd.h>
#include <utility>
#include <vector>

namespace hickorypost {

namespace {

/// Each pause costs the reset of the connections that have not been accepted, many if all callers
/// try again at once.
constexpr millis min_listen_pause{100};
constexpr millis listen_retry_delay{100};

} // namespace

caller_server::caller_server(net::poller& poller, gateway::scheduler& timers, clock_fn now,
                             const net::endpoint& address, options opts)
    : poller_{poller}, timers_{timers}, now_{std::move(now)}, address_{address},
      options_{std::move(opts)}, unread_{options_.accept_queue.value_or(
                                     gateway::accept_queue_settings{})}
{
}

caller_server::~caller_server()
{
    stop_accepting();
    poller_.forget(*this);
    for (const int fd : unread_.take_all()) {
        ::close(fd);
    }
    const auto all = std::exchange(connections_, {});
    for (const auto& [key, connection] : all) {
        connection->close();
    }
}

std::unique_ptr<caller_server> caller_server::open(net::poller& poller, gateway::scheduler& timers,
                                                   clock_fn now, const net::endpoint& address,
                                                   options opts)
{
    std::unique_ptr<caller_server> out{
        new caller_server{poller, timers, std::move(now), address, std::move(opts)}};
    out->accepts_ = true;
    if (!out->listen()) {
        const int error = errno;
        if (!net::is_transient_listen_error(error)) {
            out.reset();
            errno = error;
            return nullptr;
        }
        out->listen_failed(error);
    }
    return out;
}

bool caller_server::listen()
{
    listener_ = net::tcp_listener::open(
        poller_, address_, [this](int fd) { accept(fd); }, options_.accept_failed,
        options_.socket_buffers);
    if (!listener_) {
        return false;
    }
    address_.port = listener_->port();
    has_listened_ = true;
    if (const auto since = std::exchange(failed_since_, std::nullopt);
        since && options_.listen_recovered) {
        options_.listen_recovered(std::chrono::duration_cast<millis>(now_() - *since));
    }
    return true;
}

void caller_server::listen_failed(int error)
{
    const bool news = !failed_since_ || last_error_ != error;
    failed_since_ = failed_since_.value_or(now_());
    last_error_ = error;
    if (news && options_.listen_failed) {
        options_.listen_failed(error);
    }
    try_listen_after(listen_retry_delay);
}

void caller_server::stop_accepting()
{
    accepts_ = false;
    listener_.reset();
    failed_since_.reset();
    timers_.cancel(std::exchange(resume_timer_, 0));
}

void caller_server::pause_or_resume_listening()
{
    if (!accepts_ || resume_timer_ != 0) {
        return;
    }
    if (listener_ && (listener_->stopped() || unread_.is_full())) {
        listener_.reset();
        if (options_.listen_paused) {
            options_.listen_paused();
        }
        try_listen_after(min_listen_pause);
    } else if (!listener_ && unread_.has_room() && !listen()) {
        listen_failed(errno);
    }
}

void caller_server::try_listen_after(millis delay)
{
    resume_timer_ = timers_.add(now_() + delay, [this] {
        resume_timer_ = 0;
        poller_.defer(*this);
    });
}

void caller_server::accept(int fd)
{
    if (options_.max_connections > 0 && connections() >= options_.max_connections &&
        !close_waiting_connections()) {
        refuse(fd, "too many connections");
    } else if (!options_.accept_queue) {
        read(fd);
    } else {
        unread_.push(fd, now_());
        if (unread_.is_full()) {
            listener_->stop();
        }
        poller_.defer(*this);
    }
}

bool caller_server::close_waiting_connections()
{
    // Several at a time, as finding them looks at all connections.
    constexpr std::size_t share_to_close = 32;
    std::vector<std::shared_ptr<caller_connection>> waiting;
    for (const auto& [key, connection] : connections_) {
        if (connection->waits_for_caller()) {
            waiting.push_back(connection);
        }
    }
    const std::size_t n = std::min(waiting.size(), 1 + connections_.size() / share_to_close);
    std::partial_sort(
        waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(n), waiting.end(),
        [](const auto& a, const auto& b) { return a->waits_since() < b->waits_since(); });
    waiting.resize(n);
    for (const auto& it : waiting) {
        ++evicted_;
        it->close();
        remove(it.get());
    }
    return connections() < options_.max_connections;
}

void caller_server::lower_send_buffers()
{
    for (const auto& [key, connection] : connections_) {
        connection->lower_send_buffer();
    }
}

void caller_server::refuse(int fd, std::string_view reason)
{
    ++refused_;
    ::close(fd);
    if (options_.connection_refused) {
        options_.connection_refused(reason);
    }
}

void caller_server::read(int fd)
{
    ++opened_;
    const auto connection = std::make_shared<caller_connection>(*this, fd);
    connections_.emplace(connection.get(), connection);
    connection->start();
}

void caller_server::flush()
{
    // At least one in each turn, so that they progress even if turns are long.
    for (bool first = true; !released_.empty() && (first || unread_.may_read(poller_.turn_time()));
         first = false) {
        const auto connection = released_.front().lock();
        released_.pop_front();
        if (connection && connection->held()) {
            connection->dispatch();
        }
    }
    while (const auto fd = unread_.pop(poller_.turn_time(), now_())) {
        read(*fd);
    }
    for (const int fd : unread_.take_excess(now_())) {
        refuse(fd, "overloaded");
    }
    pause_or_resume_listening();
    if (!unread_.empty() || !released_.empty()) {
        poller_.defer(*this);
    }
}

void caller_server::release_held()
{
    std::vector<std::shared_ptr<caller_connection>> held;
    for (const auto& [key, connection] : connections_) {
        if (connection->held()) {
            held.push_back(connection);
        }
    }
    std::sort(held.begin(), held.end(),
              [](const auto& a, const auto& b) { return a->arrived() < b->arrived(); });
    released_.assign(held.begin(), held.end());
    poller_.defer(*this);
}

std::vector<std::shared_ptr<caller_connection>> caller_server::busy_connections() const
{
    std::vector<std::shared_ptr<caller_connection>> out;
    for (const auto& [key, connection] : connections_) {
        if (connection->busy()) {
            out.push_back(connection);
        }
    }
    return out;
}

void caller_server::finish_requests()
{
    for (const auto& connection : busy_connections()) {
        connection->finish_request();
    }
}

void caller_server::suspects_changed()
{
    for (const auto& connection : busy_connections()) {
        connection->suspects_changed();
    }
}

void caller_server::begin_drain()
{
    draining_ = true;
    for (const auto& connection : busy_connections()) {
        connection->host_drains();
    }
}

void caller_server::close_idle()
{
    std::vector<std::shared_ptr<caller_connection>> idle;
    for (const auto& [key, connection] : connections_) {
        if (connection->idle()) {
            idle.push_back(connection);
        }
    }
    for (const auto& connection : idle) {
        connection->close();
        connections_.erase(connection.get());
    }
}

std::size_t caller_server::in_flight() const
{
    std::size_t out = 0;
    for (const auto& [key, connection] : connections_) {
        out += connection->busy() ? 1 : 0;
    }
    return out;
}

std::size_t caller_server::pending_answers() const
{
    std::size_t out = 0;
    for (const auto& [key, connection] : connections_) {
        out += connection->answer_pending() ? 1 : 0;
    }
    return out;
}

buffered_bytes caller_server::buffered() const
{
    buffered_bytes out;
    for (const auto& [key, connection] : connections_) {
        connection->add_to(out);
    }
    return out;
}

std::size_t caller_server::unsent_bytes() const
{
    std::size_t out = 0;
    for (const auto& [key, connection] : connections_) {
        out += connection->unsent();
    }
    return out;
}

} // namespace hickorypost
