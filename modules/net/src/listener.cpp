#include "hickorypost/net/listener.h"

#include "hickorypost/net/listening_socket.h"
#include "socket_priv.h"

#include <utility>

namespace hickorypost::net {

namespace {

/// Of peers that have not said hello, which takes one round trip. More than the hosts that dial at
/// the same time.
constexpr std::size_t max_unidentified_links = 512;

/// Of connections that wait to be accepted. Their bytes are in the kernel, which a short queue
/// bounds; a peer that finds it full dials again.
constexpr int accept_backlog = 256;

struct pending_accept {
    std::function<void(gobject_ptr<GIOStream>)> done;
    gobject_ptr<GCancellable> cancellable;
    gobject_ptr<GIOStream> stream;
};

/// GLib leaves a client's certificate to this handler even where it found no fault in it.
gboolean accept_faultless(GTlsConnection*, GTlsCertificate*, GTlsCertificateFlags faults, gpointer)
{
    return faults == 0 ? TRUE : FALSE;
}

void on_accept_handshaken(GObject* source, GAsyncResult* outcome, gpointer data)
{
    std::unique_ptr<pending_accept> pending{static_cast<pending_accept*>(data)};
    GError* raw = nullptr;
    const bool good =
        g_tls_connection_handshake_finish(G_TLS_CONNECTION(source), outcome, &raw) != FALSE;
    const gerror_ptr error{raw};
    if (good && g_cancellable_is_cancelled(pending->cancellable.get()) == FALSE) {
        pending->done(std::move(pending->stream));
    }
}

} // namespace

listener::listener(wire::hello self, const tls_identity* tls, link_options options,
                   link_hooks hooks)
    : self_{std::move(self)}, tls_{tls}, options_{options}, hooks_{std::move(hooks)},
      service_{g_socket_service_new()}, cancellable_{g_cancellable_new()}
{
}

result<std::unique_ptr<listener>> listener::open(const peer_address& address, wire::hello self,
                                                 const tls_identity* tls, link_options options,
                                                 link_hooks hooks)
{
    std::unique_ptr<listener> out{new listener{std::move(self), tls, options, std::move(hooks)}};
    BOOST_LEAF_AUTO(socket, open_listening_socket(address, accept_backlog));
    GError* raw = nullptr;
    if (g_socket_listener_add_socket(G_SOCKET_LISTENER(out->service_.get()), socket.get(), nullptr,
                                     &raw) == FALSE) {
        const gerror_ptr error{raw};
        return leaf::new_error(listen_error{address.host, error->message});
    }
    const gobject_ptr<GSocketAddress> bound{g_socket_get_local_address(socket.get(), nullptr)};
    out->port_ = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound.get()));
    g_signal_connect(out->service_.get(), "incoming", G_CALLBACK(on_incoming), out.get());
    g_socket_service_start(out->service_.get());
    return out;
}

listener::~listener()
{
    g_cancellable_cancel(cancellable_.get());
    g_socket_service_stop(service_.get());
    g_signal_handlers_disconnect_by_data(service_.get(), this);
    g_socket_listener_close(G_SOCKET_LISTENER(service_.get()));
    const auto links = std::exchange(links_, {});
    for (const auto& it : links) {
        it->close("shutting down");
    }
}

gboolean listener::on_incoming(GSocketService*, GSocketConnection* connection, GObject*,
                               gpointer data)
{
    auto* self = static_cast<listener*>(data);
    GSocket* socket = g_socket_connection_get_socket(connection);
    detail::send_without_delay(socket);
    if (self->tls_ == nullptr) {
        self->accept(gobject_ptr<GIOStream>{G_IO_STREAM(g_object_ref(connection))});
    } else {
        self->secure(connection);
    }
    return TRUE;
}

void listener::secure(GSocketConnection* connection)
{
    GError* raw = nullptr;
    gobject_ptr<GIOStream> secured{
        g_tls_server_connection_new(G_IO_STREAM(connection), tls_->certificate(), &raw)};
    if (!secured) {
        const gerror_ptr error{raw};
        return;
    }
    auto* tls = G_TLS_CONNECTION(secured.get());
    g_tls_connection_set_database(tls, tls_->authority());
    g_signal_connect(tls, "accept-certificate", G_CALLBACK(accept_faultless), nullptr);
    g_object_set(secured.get(), "authentication-mode", G_TLS_AUTHENTICATION_REQUIRED, nullptr);
    auto* pending = new pending_accept;
    pending->done = [this](gobject_ptr<GIOStream> stream) { accept(std::move(stream)); };
    pending->cancellable.reset(G_CANCELLABLE(g_object_ref(cancellable_.get())));
    pending->stream = std::move(secured);
    g_tls_connection_handshake_async(tls, G_PRIORITY_DEFAULT, cancellable_.get(),
                                     on_accept_handshaken, pending);
}

void listener::accept(gobject_ptr<GIOStream> stream)
{
    link_hooks hooks = hooks_;
    hooks.down = [this](link& it, std::string_view why) {
        const bool was_up = !it.peer().node.empty();
        const auto keep = it.shared_from_this();
        links_.erase(keep);
        if (was_up) {
            hooks_.down(it, why);
        }
    };
    const auto accepted = link::start(std::move(stream), self_, options_, std::move(hooks));
    links_.insert(accepted);
    unidentified_.push_back(accepted);
    limit_unidentified();
}

void listener::limit_unidentified()
{
    std::erase_if(unidentified_, [](const auto& it) {
        const auto link = it.lock();
        return !link || link->is_up();
    });
    while (unidentified_.size() > max_unidentified_links) {
        const auto oldest = unidentified_.front().lock();
        unidentified_.pop_front();
        oldest->close("too many peers that have not said hello");
    }
}

} // namespace hickorypost::net
