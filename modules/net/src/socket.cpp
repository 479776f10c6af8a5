#include "socket_priv.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace hickorypost::net::detail {

void send_without_delay(GSocket* socket)
{
    g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
}

} // namespace hickorypost::net::detail
