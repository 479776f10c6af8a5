#include "hickorypost/net/connector.h"

#include "socket_priv.h"

#include <algorithm>

namespace hickorypost::net {

/// Travels through GLib's callbacks; the cancellable tells whether the connector still lives.
struct connector::pending_connect {
    connector* owner = nullptr;
    gobject_ptr<GCancellable> cancellable;
    gobject_ptr<GIOStream> stream;
};

connector::connector(peer_address address, wire::hello self, const tls_identity* tls,
                     connector_options options, random_fn random, link_hooks hooks)
    : address_{std::move(address)}, self_{std::move(self)}, tls_{tls}, options_{options},
      random_{std::move(random)}, hooks_{std::move(hooks)}, client_{g_socket_client_new()},
      cancellable_{g_cancellable_new()}, backoff_{options.first_retry}
{
    // Links go straight to an IP address. Looking for a proxy loads the desktop's settings, which
    // costs start-up time and wants a writable home folder.
    g_socket_client_set_enable_proxy(client_.get(), FALSE);
    connect();
}

connector::~connector()
{
    g_cancellable_cancel(cancellable_.get());
    limit_timer_.cancel();
    if (attempt_) {
        g_cancellable_cancel(attempt_.get());
    }
    retry_timer_.cancel();
    if (link_) {
        hooks_ = {[](link&) {}, [](link&, wire::message_type, std::string_view) {},
                  [](link&, std::string_view) {}};
        link_->close("no longer wanted");
    }
}

void connector::connect()
{
    auto* pending = new pending_connect;
    pending->owner = this;
    pending->cancellable.reset(G_CANCELLABLE(g_object_ref(cancellable_.get())));
    attempt_.reset(g_cancellable_new());
    // A host without power answers nothing, and the kernel repeats its opening packet only after a
    // second: when the host is back, a new attempt gets through and the old one still waits.
    limit_timer_ =
        timer::once(options_.connect_limit, [it = attempt_.get()] { g_cancellable_cancel(it); });
    g_socket_client_connect_to_host_async(client_.get(), address_.host.c_str(), address_.port,
                                          attempt_.get(), on_connected, pending);
}

void connector::on_connected(GObject* source, GAsyncResult* outcome, gpointer data)
{
    std::unique_ptr<pending_connect> pending{static_cast<pending_connect*>(data)};
    GError* raw = nullptr;
    gobject_ptr<GSocketConnection> connection{
        g_socket_client_connect_to_host_finish(G_SOCKET_CLIENT(source), outcome, &raw)};
    const gerror_ptr error{raw};
    if (g_cancellable_is_cancelled(pending->cancellable.get()) != FALSE) {
        return;
    }
    pending->owner->limit_timer_.cancel();
    if (!connection) {
        pending->owner->retry_later();
        return;
    }
    pending->owner->connected(std::move(connection));
}

void connector::connected(gobject_ptr<GSocketConnection> connection)
{
    GSocket* socket = g_socket_connection_get_socket(connection.get());
    detail::send_without_delay(socket);
    if (tls_ == nullptr) {
        adopt(gobject_ptr<GIOStream>{G_IO_STREAM(connection.release())});
        return;
    }
    GError* raw = nullptr;
    // The peer's certificate must name the address that was dialled: another process of the system,
    // with a certificate of its own, must not pass for this one.
    const gobject_ptr<GSocketConnectable> identity{
        g_network_address_new(address_.host.c_str(), address_.port)};
    gobject_ptr<GIOStream> secured{
        g_tls_client_connection_new(G_IO_STREAM(connection.get()), identity.get(), &raw)};
    if (!secured) {
        const gerror_ptr error{raw};
        retry_later();
        return;
    }
    auto* tls = G_TLS_CONNECTION(secured.get());
    g_tls_connection_set_database(tls, tls_->authority());
    g_tls_connection_set_certificate(tls, tls_->certificate());
    auto* pending = new pending_connect;
    pending->owner = this;
    pending->cancellable.reset(G_CANCELLABLE(g_object_ref(cancellable_.get())));
    pending->stream = std::move(secured);
    g_tls_connection_handshake_async(tls, G_PRIORITY_DEFAULT, cancellable_.get(), on_handshaken,
                                     pending);
}

void connector::on_handshaken(GObject* source, GAsyncResult* outcome, gpointer data)
{
    std::unique_ptr<pending_connect> pending{static_cast<pending_connect*>(data)};
    GError* raw = nullptr;
    const bool good =
        g_tls_connection_handshake_finish(G_TLS_CONNECTION(source), outcome, &raw) != FALSE;
    const gerror_ptr error{raw};
    if (g_cancellable_is_cancelled(pending->cancellable.get()) != FALSE) {
        return;
    }
    if (good) {
        pending->owner->adopt(std::move(pending->stream));
    } else {
        pending->owner->retry_later();
    }
}

void connector::adopt(gobject_ptr<GIOStream> stream)
{
    link_hooks hooks;
    hooks.up = [this](link& it) {
        backoff_ = options_.first_retry;
        hooks_.up(it);
    };
    hooks.message = [this](link& it, wire::message_type type, std::string_view body) {
        hooks_.message(it, type, body);
    };
    hooks.down = [this](link& it, std::string_view why) {
        const bool was_up = !it.peer().node.empty();
        if (was_up) {
            hooks_.down(it, why);
        }
        retry_later();
    };
    link_ = link::start(std::move(stream), self_, options_.link, std::move(hooks));
}

void connector::retry_later()
{
    if (g_cancellable_is_cancelled(cancellable_.get()) != FALSE) {
        return;
    }
    const double jitter = 0.5 + unit_random(random_);
    const auto delay = static_cast<std::int64_t>(static_cast<double>(backoff_.count()) * jitter);
    backoff_ = std::min(backoff_ * 2, options_.longest_retry);
    retry_timer_ = timer::once(millis{delay}, [this] { connect(); });
}

} // namespace hickorypost::net
