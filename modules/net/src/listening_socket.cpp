#include "hickorypost/net/listening_socket.h"

#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace hickorypost::net {

namespace {

/// Returns a descriptor, or -1 with errno set.
int listen_on(const sockaddr& address, socklen_t size, int backlog)
{
    const int fd = ::socket(address.sa_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(fd, &address, size) != 0 || ::listen(fd, backlog) != 0) {
        const int error = errno;
        ::close(fd);
        errno = error;
        return -1;
    }
    return fd;
}

} // namespace

result<gobject_ptr<GSocket>> open_listening_socket(const peer_address& address, int backlog)
{
    const std::string text = address.host + ":" + std::to_string(address.port);
    const gobject_ptr<GSocketAddress> wanted{
        g_inet_socket_address_new_from_string(address.host.c_str(), address.port)};
    if (!wanted) {
        return leaf::new_error(listen_error{text, "not an IP address"});
    }
    sockaddr_storage native{};
    if (g_socket_address_to_native(wanted.get(), &native, sizeof native, nullptr) == FALSE) {
        return leaf::new_error(listen_error{text, "not an IP address"});
    }
    const auto size = static_cast<socklen_t>(g_socket_address_get_native_size(wanted.get()));
    const int fd = listen_on(reinterpret_cast<const sockaddr&>(native), size, backlog);
    if (fd < 0) {
        return leaf::new_error(make_listen_error(text, errno));
    }
    GError* raw = nullptr;
    gobject_ptr<GSocket> out{g_socket_new_from_fd(fd, &raw)};
    if (!out) {
        const gerror_ptr error{raw};
        ::close(fd);
        return leaf::new_error(listen_error{text, error->message});
    }
    return out;
}

} // namespace hickorypost::net
