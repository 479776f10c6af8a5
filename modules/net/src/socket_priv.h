#pragma once

#include <gio/gio.h>

namespace hickorypost::net::detail {

/// Turns off Nagle's algorithm: links batch their writes themselves, and a token must not wait for
/// the peer's acknowledgement of the one before.
void send_without_delay(GSocket* socket);

} // namespace hickorypost::net::detail
