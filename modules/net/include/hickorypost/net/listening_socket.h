#pragma once

#include "hickorypost/net/connector.h"
#include "hickorypost/net/listen_error.h"

#include <sys/socket.h>

namespace hickorypost::net {

/// Opens a socket that listens on `address`. Port 0 picks a free one; fails with `listen_error`.
/// `backlog`: connections that may wait to be accepted.
result<gobject_ptr<GSocket>> open_listening_socket(const peer_address& address,
                                                   int backlog = SOMAXCONN);

} // namespace hickorypost::net
