#include "hickorypost/net/tcp_stream.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace hickorypost::net {

namespace {

constexpr std::size_t read_chunk = std::size_t{32} << 10U;
/// Reads in a row from one stream. A peer that sends without end must not keep the others waiting.
constexpr std::size_t max_reads_in_a_row = 8;
/// Of connections that wait to be accepted; a full queue costs a caller seconds.
constexpr int accept_backlog = 1024;
constexpr millis accept_retry_delay{100};
constexpr int millis_per_second = 1000;
/// Probes without an answer after which a silent connection is dead.
constexpr int keepalive_probes = 2;

void set_int(int fd, int level, int name, int value)
{
    // Refusal costs only the option's effect; the connection works without it.
    (void)setsockopt(fd, level, name, &value, sizeof value);
}

/// Limits the kernel's buffers, which would grow to several megabytes if the peer does not read, or
/// this process does not. Must precede `connect` and `listen`, as the window is chosen then.
/// Accepted sockets inherit the limits.
void limit_buffers(int fd, const socket_buffers& buffers)
{
    set_int(fd, SOL_SOCKET, SO_SNDBUF, static_cast<int>(buffers.send));
    set_int(fd, SOL_SOCKET, SO_RCVBUF, static_cast<int>(buffers.receive));
}

sockaddr_in address_of(const endpoint& it)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(it.port);
    out.sin_addr.s_addr = it.ip;
    return out;
}

/// The error that a socket reports once, as an errno value.
int socket_error(int fd)
{
    int out = 0;
    socklen_t size = sizeof out;
    return ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &out, &size) == 0 ? out : errno;
}

} // namespace

std::optional<endpoint> endpoint::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    endpoint out;
    const std::string host{text.substr(0, colon)};
    const std::string_view digits = text.substr(colon + 1);
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), out.port);
    if (ec != std::errc{} || end != digits.data() + digits.size() ||
        inet_pton(AF_INET, host.c_str(), &out.ip) != 1) {
        return std::nullopt;
    }
    return out;
}

tcp_stream::tcp_stream(poller& on, int fd, bool connected)
    : poller_{&on}, fd_{fd}, connected_{connected}
{
}

std::unique_ptr<tcp_stream> tcp_stream::connect(poller& on, const endpoint& to,
                                                millis silence_limit, const socket_buffers& buffers)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    std::unique_ptr<tcp_stream> out{new tcp_stream{on, fd, false}};
    if (fd < 0) {
        return out;
    }
    out->set_options(silence_limit);
    limit_buffers(fd, buffers);
    const sockaddr_in address = address_of(to);
    // A failure shows as EPOLLERR or EPOLLHUP once the socket is watched.
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        out->connect_error_ = errno;
    }
    on.add(fd, *out);
    return out;
}

std::unique_ptr<tcp_stream> tcp_stream::adopt(poller& on, int fd, millis silence_limit)
{
    std::unique_ptr<tcp_stream> out{new tcp_stream{on, fd, true}};
    out->set_options(silence_limit);
    on.add(fd, *out);
    return out;
}

tcp_stream::~tcp_stream()
{
    if (destroyed_ != nullptr) {
        *destroyed_ = true;
    }
    release();
}

void tcp_stream::set_options(millis silence_limit) const
{
    const int limit = static_cast<int>(silence_limit.count());
    const int interval = std::max(1, limit / millis_per_second / (keepalive_probes + 1));
    set_int(fd_, IPPROTO_TCP, TCP_NODELAY, 1);
    set_int(fd_, IPPROTO_TCP, TCP_USER_TIMEOUT, limit);
    set_int(fd_, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_int(fd_, IPPROTO_TCP, TCP_KEEPIDLE, interval);
    set_int(fd_, IPPROTO_TCP, TCP_KEEPINTVL, interval);
    set_int(fd_, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
}

void tcp_stream::set_send_buffer(std::size_t bytes) const
{
    set_int(fd_, SOL_SOCKET, SO_SNDBUF, static_cast<int>(bytes));
}

void tcp_stream::set_receive_buffer(std::size_t bytes) const
{
    set_int(fd_, SOL_SOCKET, SO_RCVBUF, static_cast<int>(bytes));
    // The window would stay at what the buffer allowed when the connection was opened.
    set_int(fd_, IPPROTO_TCP, TCP_WINDOW_CLAMP, static_cast<int>(bytes));
}

void tcp_stream::release()
{
    if (fd_ < 0) {
        return;
    }
    poller_->remove(fd_, *this);
    ::close(fd_);
    fd_ = -1;
}

void tcp_stream::set_hooks(hooks to)
{
    if (hooks_.bytes || hooks_.ended || hooks_.connected || hooks_.drained || hooks_.input_ended) {
        retired_ = std::exchange(hooks_, {});
    }
    hooks_ = std::move(to);
}

void tcp_stream::write(std::string_view bytes)
{
    if (fd_ < 0) {
        return;
    }
    out_.push(bytes);
    if (connected_ && !blocked_) {
        poller_->flush_later(*this);
    }
}

void tcp_stream::flush()
{
    write_out();
    if (fd_ >= 0 && input_ended_ && output_failed_) {
        guarded([this] { end(stream_end::failed); });
        return;
    }
    if (fd_ >= 0 && readable_ && (reading_ || peer_closed_)) {
        guarded([this] { read_all(); });
    }
}

void tcp_stream::write_out()
{
    while (fd_ >= 0 && connected_ && !out_.empty()) {
        const ssize_t n = send(fd_, out_.pending().data(), out_.size(), MSG_NOSIGNAL);
        if (n > 0) {
            sent_bytes_ += static_cast<std::uint64_t>(n);
            out_.consume(static_cast<std::size_t>(n));
            continue;
        }
        if (n < 0 && errno == EINTR) {
            continue;
        }
        blocked_ = n < 0 && errno == EAGAIN;
        if (!blocked_) {
            note_send_error(errno);
            out_.clear();
        }
        return;
    }
    const bool had_to_wait = std::exchange(blocked_, false);
    out_.clear();
    if (had_to_wait && hooks_.drained) {
        hooks_.drained();
    }
}

void tcp_stream::note_send_error(int error)
{
    // The kernel reports the error of a connection only once, here or in `recv`. EPIPE is no such
    // error: it follows the peer's orderly end, or an error that has been reported before.
    broken_ = broken_ || error != EPIPE;
    error_ = error == EPIPE ? error_ : error;
    output_failed_ = true;
    if (input_ended_) {
        poller_->flush_later(*this); // not now: the caller may be in the middle of a hook
    }
}

kernel_bytes tcp_stream::in_kernel() const
{
    const auto ask = [this](unsigned long what) {
        int n = 0;
        return fd_ >= 0 && ::ioctl(fd_, what, &n) == 0 && n > 0 ? static_cast<std::size_t>(n) : 0;
    };
    return {.unsent = ask(SIOCOUTQ), .unread = ask(SIOCINQ)};
}

bool tcp_stream::is_quiet() const
{
    char next = 0;
    return fd_ >= 0 && ::recv(fd_, &next, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EINTR);
}

bool tcp_stream::ended_by_peer() const noexcept
{
    return input_ended_ || error_ == ECONNRESET;
}

void tcp_stream::close()
{
    set_hooks({});
    write_out();
    release();
}

void tcp_stream::abort()
{
    set_hooks({});
    out_.clear();
    release();
}

void tcp_stream::reset()
{
    const linger at_once{1, 0};
    // Refused only for a connection that has ended already.
    (void)::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    abort();
}

void tcp_stream::shut_down_output() const
{
    if (fd_ >= 0) {
        // Fails only if the peer has reset the connection, which the reading side reports.
        (void)::shutdown(fd_, SHUT_WR);
    }
}

void tcp_stream::set_reading(bool on)
{
    reading_ = on;
    if (on && readable_ && fd_ >= 0) {
        poller_->flush_later(*this); // not now: the caller may be in the middle of a hook
    }
}

void tcp_stream::end(stream_end how)
{
    release();
    // The hook may destroy this stream, and with it the hooks.
    const auto ended = std::move(hooks_.ended);
    set_hooks({});
    if (ended) {
        ended(how);
    }
}

void tcp_stream::guarded(const std::function<void()>& body)
{
    bool gone = false;
    bool* const outer = std::exchange(destroyed_, &gone);
    body();
    if (!gone) {
        destroyed_ = outer;
    } else if (outer != nullptr) {
        *outer = true;
    }
}

void tcp_stream::ready(std::uint32_t events)
{
    guarded([this, events] { take_events(events); });
}

void tcp_stream::take_events(std::uint32_t events)
{
    const bool* const gone = destroyed_;
    const bool broken = (events & (EPOLLERR | EPOLLHUP)) != 0;
    if (broken && !connected_) {
        // Over the loopback, `connect` itself may have reported the refusal.
        const bool refused = connect_error_ == ECONNREFUSED || socket_error(fd_) == ECONNREFUSED;
        return end(refused ? stream_end::refused : stream_end::failed);
    }
    if ((events & EPOLLOUT) != 0 && !connected_) {
        connected_ = true;
        if (hooks_.connected) {
            hooks_.connected();
        }
        if (*gone) {
            return;
        }
        write_out();
    } else if ((events & EPOLLOUT) != 0 && blocked_) {
        write_out();
    }
    if (*gone) {
        return;
    }
    if (input_ended_) {
        if (broken) {
            end(stream_end::failed);
        }
        return;
    }
    if (broken || (events & EPOLLRDHUP) != 0) {
        peer_closed_ = true;
    }
    if (peer_closed_ || (events & EPOLLIN) != 0) {
        readable_ = true;
    }
    if (readable_ && (reading_ || peer_closed_)) {
        read_all();
    }
    // A reset behind the end of the input came with this event, and there may be no other.
    if (!*gone && fd_ >= 0 && input_ended_ && broken) {
        end(stream_end::failed);
    }
}

void tcp_stream::read_all()
{
    std::array<char, read_chunk> buf; // NOLINT(cppcoreguidelines-pro-type-member-init)
    std::size_t reads = 0;
    while (fd_ >= 0 && (reading_ || peer_closed_)) {
        if (++reads > max_reads_in_a_row) {
            poller_->defer(*this);
            return;
        }
        const ssize_t n = recv(fd_, buf.data(), buf.size(), 0);
        if (n > 0) {
            const bool* const gone = destroyed_;
            if (hooks_.bytes) {
                hooks_.bytes({buf.data(), static_cast<std::size_t>(n)});
            }
            if (*gone) {
                return;
            }
            // A short read has emptied the socket; its next bytes raise another event.
            if (static_cast<std::size_t>(n) < buf.size() && !peer_closed_) {
                readable_ = false;
                return;
            }
            continue;
        }
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0 && errno == EAGAIN) {
            readable_ = false;
            return;
        }
        error_ = n < 0 ? errno : error_;
        if (n == 0 && !broken_) {
            end_input();
        } else {
            end(stream_end::failed);
        }
        return;
    }
}

void tcp_stream::end_input()
{
    const bool* const gone = destroyed_;
    readable_ = false;
    input_ended_ = true;
    const bool stays_open = hooks_.input_ended && hooks_.input_ended();
    if (!*gone && !stays_open) {
        end(stream_end::finished);
    }
}

tcp_listener::tcp_listener(poller& on, int fd, accept_fn accept, accept_failed_fn accept_failed)
    : poller_{&on}, fd_{fd}, accept_{std::move(accept)}, accept_failed_{std::move(accept_failed)}
{
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    if (getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size) == 0) {
        port_ = ntohs(bound.sin_port);
    }
}

std::unique_ptr<tcp_listener> tcp_listener::open(poller& on, const endpoint& at, accept_fn accept,
                                                 accept_failed_fn accept_failed,
                                                 const socket_buffers& buffers)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return nullptr;
    }
    set_int(fd, SOL_SOCKET, SO_REUSEADDR, 1);
    limit_buffers(fd, buffers);
    const sockaddr_in address = address_of(at);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        listen(fd, accept_backlog) != 0) {
        const int why = errno;
        ::close(fd);
        errno = why;
        return nullptr;
    }
    std::unique_ptr<tcp_listener> out{
        new tcp_listener{on, fd, std::move(accept), std::move(accept_failed)}};
    on.add(fd, *out);
    return out;
}

tcp_listener::~tcp_listener()
{
    poller_->remove(fd_, *this);
    ::close(fd_);
}

void tcp_listener::ready(std::uint32_t)
{
    while (!stopped_) {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd >= 0) {
            accept_(fd);
        } else if (errno == EAGAIN) {
            failing_ = false;
            return;
        } else if (errno != EINTR && errno != ECONNABORTED) {
            accept_later(errno);
            return;
        }
    }
}

void tcp_listener::accept_later(int error)
{
    // The connections that wait raise no further event.
    if (!retry_.armed()) {
        retry_ = timer::once(accept_retry_delay, [this] {
            retry_.cancel();
            ready(0);
        });
    }
    if (!std::exchange(failing_, true) && accept_failed_) {
        accept_failed_(error);
    }
}

} // namespace hickorypost::net
