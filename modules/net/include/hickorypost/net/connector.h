#pragma once

#include "hickorypost/net/link.h"
#include "hickorypost/net/tls_identity.h"

#include <optional>

namespace hickorypost::net {

struct peer_address {
    std::string host;
    std::uint16_t port = 0;
};

struct connector_options {
    /// Pause after the first failure; it doubles with each further one, up to the longest.
    millis first_retry{50};
    millis longest_retry{2000};
    /// A connection that is not up after this long is given up.
    millis connect_limit{2000};
    link_options link;
};

/// Keeps one link to an address up: connects, and reconnects after a loss with jittered backoff, so
/// that a restarted peer is not met by all its clients at once.
class connector {
public:
    connector(peer_address address, wire::hello self, const tls_identity* tls,
              connector_options options, random_fn random, link_hooks hooks);
    ~connector();
    connector(const connector&) = delete;
    connector& operator=(const connector&) = delete;

    /// The link if it is up.
    [[nodiscard]] link* current() const noexcept
    {
        return link_ && link_->is_up() ? link_.get() : nullptr;
    }
    [[nodiscard]] const peer_address& address() const noexcept { return address_; }

private:
    struct pending_connect;

    void connect();
    void connected(gobject_ptr<GSocketConnection> connection);
    void adopt(gobject_ptr<GIOStream> stream);
    void retry_later();
    static void on_connected(GObject* source, GAsyncResult* outcome, gpointer data);
    static void on_handshaken(GObject* source, GAsyncResult* outcome, gpointer data);

    peer_address address_;
    wire::hello self_;
    const tls_identity* tls_;
    connector_options options_;
    random_fn random_;
    link_hooks hooks_;
    gobject_ptr<GSocketClient> client_;
    gobject_ptr<GCancellable> cancellable_;
    std::shared_ptr<link> link_;
    gobject_ptr<GCancellable> attempt_; ///< cancelled when the attempt has taken too long
    timer limit_timer_;
    timer retry_timer_;
    millis backoff_;
};

} // namespace hickorypost::net
