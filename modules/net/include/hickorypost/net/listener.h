#pragma once

#include "hickorypost/net/connector.h"
#include "hickorypost/net/listen_error.h"

#include <deque>
#include <memory>
#include <set>

namespace hickorypost::net {

/// Accepts links from other processes. Of the peers that have not said who they are, only the
/// latest stay connected.
class listener {
public:
    /// Port 0 picks a free one; fails with `listen_error`.
    static result<std::unique_ptr<listener>> open(const peer_address& address, wire::hello self,
                                                  const tls_identity* tls, link_options options,
                                                  link_hooks hooks);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

private:
    listener(wire::hello self, const tls_identity* tls, link_options options, link_hooks hooks);
    void accept(gobject_ptr<GIOStream> stream);
    /// Closes the oldest links whose peers have not said hello, if there are too many of them.
    void limit_unidentified();
    void secure(GSocketConnection* connection);
    static gboolean on_incoming(GSocketService* service, GSocketConnection* connection,
                                GObject* source, gpointer data);

    wire::hello self_;
    const tls_identity* tls_;
    link_options options_;
    link_hooks hooks_;
    gobject_ptr<GSocketService> service_;
    gobject_ptr<GCancellable> cancellable_;
    std::set<std::shared_ptr<link>> links_;
    std::deque<std::weak_ptr<link>> unidentified_; ///< oldest first; some may be up or closed
    std::uint16_t port_ = 0;
};

} // namespace hickorypost::net
