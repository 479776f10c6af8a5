#pragma once

#include "hickorypost/net/connector.h"
#include "hickorypost/net/listen_error.h"

namespace hickorypost::net {

/// Opens a socket that listens on `address`. Port 0 picks a free one; fails with `listen_error`.
result<gobject_ptr<GSocket>> open_listening_socket(const peer_address& address);

} // namespace hickorypost::net
