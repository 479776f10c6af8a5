#pragma once

#include "hickorypost/net/tcp_stream.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace hickorypost::testing {

/// Listens on a free port of a loopback address until it is closed.
class loopback_listener {
public:
    /// `ip` in host byte order.
    explicit loopback_listener(std::uint32_t ip = INADDR_LOOPBACK)
        : fd_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)}, ip_{htonl(ip)}
    {
        sockaddr_in address{};
        socklen_t size = sizeof address;
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = ip_;
        auto* const raw = reinterpret_cast<sockaddr*>(&address);
        if (::bind(fd_, raw, size) == 0 && ::listen(fd_, 16) == 0 &&
            ::getsockname(fd_, raw, &size) == 0) {
            port_ = ntohs(address.sin_port);
        }
    }
    ~loopback_listener() { close(); }
    loopback_listener(const loopback_listener&) = delete;
    loopback_listener& operator=(const loopback_listener&) = delete;

    /// Closes the socket, which resets connections that have not been accepted.
    void close()
    {
        if (fd_ >= 0) {
            ::close(fd_);
            fd_ = -1;
        }
    }
    /// Accepts and closes all pending connections. Returns their number.
    std::size_t accept_and_close() const
    {
        std::size_t out = 0;
        for (int fd = ::accept(fd_, nullptr, nullptr); fd >= 0;
             fd = ::accept(fd_, nullptr, nullptr)) {
            ::close(fd);
            ++out;
        }
        return out;
    }
    /// Accepts a connection, closes it, and returns the bytes that had arrived on it.
    [[nodiscard]] std::string receive() const
    {
        std::string out(4096, '\0');
        const int fd = ::accept(fd_, nullptr, nullptr);
        const ssize_t n = ::recv(fd, out.data(), out.size(), MSG_DONTWAIT);
        ::close(fd);
        out.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
        return out;
    }
    /// Accepts a connection without closing it; -1 if none is pending.
    [[nodiscard]] int accept() const { return ::accept(fd_, nullptr, nullptr); }
    [[nodiscard]] net::endpoint address() const { return {ip_, port_}; }

private:
    int fd_;
    std::uint32_t ip_; ///< network byte order
    std::uint16_t port_ = 0;
};

/// One listener for tests with many connections, without pending ones. Each listener of its own
/// would keep its port in use until its connections have left TIME-WAIT.
inline loopback_listener& shared_listener()
{
    static loopback_listener it;
    it.accept_and_close();
    return it;
}

/// Runs the main loop until no event is pending.
inline void run_main_loop()
{
    while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
    }
}

} // namespace hickorypost::testing
