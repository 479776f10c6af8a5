#include "http_server.h"

#include "hickorypost/net/listening_socket.h"

#include <sys/socket.h>

namespace hickorypost {

http_exchange::http_exchange(SoupServerMessage* message)
    : message_{SOUP_SERVER_MESSAGE(g_object_ref(message))},
      body_{soup_message_body_flatten(soup_server_message_get_request_body(message))}
{
    finished_signal_ = g_signal_connect(message_.get(), "finished", G_CALLBACK(on_finished), this);
}

http_exchange::~http_exchange()
{
    g_signal_handler_disconnect(message_.get(), finished_signal_);
}

std::string_view http_exchange::method() const
{
    return soup_server_message_get_method(message_.get());
}

std::string http_exchange::path() const
{
    return g_uri_get_path(soup_server_message_get_uri(message_.get()));
}

std::string http_exchange::query(const char* name) const
{
    const char* raw = g_uri_get_query(soup_server_message_get_uri(message_.get()));
    if (raw == nullptr) {
        return {};
    }
    GHashTable* fields = soup_form_decode(raw);
    const auto* value = static_cast<const char*>(g_hash_table_lookup(fields, name));
    std::string out = value == nullptr ? "" : value;
    g_hash_table_destroy(fields);
    return out;
}

std::string_view http_exchange::header(const char* name) const
{
    const char* value =
        soup_message_headers_get_one(soup_server_message_get_request_headers(message_.get()), name);
    return value == nullptr ? std::string_view{} : std::string_view{value};
}

std::string_view http_exchange::body() const
{
    gsize n = 0;
    const auto* chars = static_cast<const char*>(g_bytes_get_data(body_.get(), &n));
    return n == 0 ? std::string_view{} : std::string_view{chars, n};
}

void http_exchange::pause()
{
    if (!paused_) {
        paused_ = true;
        soup_server_message_pause(message_.get());
    }
}

void http_exchange::resume()
{
    if (paused_) {
        paused_ = false;
        soup_server_message_unpause(message_.get());
    }
}

void http_exchange::set_headers(unsigned status, const std::vector<http_header>& headers)
{
    soup_server_message_set_status(message_.get(), status, nullptr);
    auto* to = soup_server_message_get_response_headers(message_.get());
    for (const auto& it : headers) {
        soup_message_headers_replace(to, it.name.c_str(), it.value.c_str());
    }
}

void http_exchange::respond(unsigned status, std::string_view content_type,
                            const std::vector<http_header>& headers, std::string_view body)
{
    if (gone_ || started_) {
        return;
    }
    started_ = true;
    complete_ = true;
    close_watch_.reset();
    set_headers(status, headers);
    soup_server_message_set_response(message_.get(), std::string{content_type}.c_str(),
                                     SOUP_MEMORY_COPY, body.data(), body.size());
    resume();
}

void http_exchange::start_stream(unsigned status, std::string_view content_type,
                                 const std::vector<http_header>& headers)
{
    if (gone_ || started_) {
        return;
    }
    started_ = true;
    set_headers(status, headers);
    auto* to = soup_server_message_get_response_headers(message_.get());
    soup_message_headers_set_content_type(to, std::string{content_type}.c_str(), nullptr);
    soup_message_headers_set_encoding(to, SOUP_ENCODING_CHUNKED);
    soup_message_body_set_accumulate(soup_server_message_get_response_body(message_.get()), FALSE);
    resume();
}

void http_exchange::write(std::string_view bytes)
{
    if (gone_ || complete_ || bytes.empty()) {
        return;
    }
    soup_message_body_append(soup_server_message_get_response_body(message_.get()),
                             SOUP_MEMORY_COPY, bytes.data(), bytes.size());
    soup_server_message_unpause(message_.get());
}

void http_exchange::finish_stream()
{
    if (gone_ || complete_) {
        return;
    }
    complete_ = true;
    close_watch_.reset();
    soup_message_body_complete(soup_server_message_get_response_body(message_.get()));
    soup_server_message_unpause(message_.get());
}

void http_exchange::on_gone(std::function<void()> hook)
{
    gone_hook_ = std::move(hook);
    pause();
    watch_for_close();
}

void http_exchange::watch_for_close()
{
    // libsoup does not read while an answer is pending, so a caller that hangs up would go
    // unnoticed until the next write, and the engine would work for nobody.
    GSocket* socket = soup_server_message_get_socket(message_.get());
    if (socket == nullptr) {
        return;
    }
    GSource* source = g_socket_create_source(socket, G_IO_IN, nullptr);
    const auto ready = [](GSocket* it, GIOCondition, gpointer data) -> gboolean {
        char byte = 0;
        const auto n = ::recv(g_socket_get_fd(it), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (n == 0) {
            static_cast<http_exchange*>(data)->caller_left();
        }
        // Bytes mean that the caller sent its next request already: it is there, stop looking.
        return G_SOURCE_REMOVE;
    };
    g_source_set_callback(source, G_SOURCE_FUNC(+ready), this, nullptr);
    g_source_attach(source, g_main_context_get_thread_default());
    close_watch_.reset(source);
}

void http_exchange::caller_left()
{
    if (complete_ || gone_) {
        return;
    }
    const auto keep = shared_from_this();
    gone_ = true;
    if (auto hook = std::exchange(gone_hook_, nullptr); hook) {
        hook();
    }
    if (!started_) {
        soup_server_message_set_status(message_.get(), SOUP_STATUS_BAD_REQUEST, nullptr);
    } else {
        soup_message_body_complete(soup_server_message_get_response_body(message_.get()));
    }
    soup_server_message_unpause(message_.get());
}

void http_exchange::on_finished(SoupServerMessage*, gpointer data)
{
    auto* exchange = static_cast<http_exchange*>(data);
    exchange->caller_left();
    const auto keep = std::move(exchange->self_);
    if (auto hook = std::exchange(exchange->sent_hook_, nullptr); hook) {
        hook();
    }
}

void http_exchange::on_sent(std::function<void()> hook)
{
    sent_hook_ = std::move(hook);
    self_ = shared_from_this();
}

http_server::http_server(body_limits limits, handler on_request)
    : limits_{std::move(limits)}, on_request_{std::move(on_request)}, server_{soup_server_new(
                                                                          "server-header",
                                                                          "hickorypost", nullptr)}
{
}

result<std::unique_ptr<http_server>> http_server::open(const net::peer_address& address,
                                                       const net::tls_identity* tls,
                                                       body_limits limits, handler on_request)
{
    std::unique_ptr<http_server> out{new http_server{std::move(limits), std::move(on_request)}};
    BOOST_LEAF_AUTO(socket, net::open_listening_socket(address));
    if (tls != nullptr) {
        soup_server_set_tls_certificate(out->server_.get(), tls->certificate());
    }
    GError* raw = nullptr;
    const auto flags = tls == nullptr ? SoupServerListenOptions{} : SOUP_SERVER_LISTEN_HTTPS;
    if (soup_server_listen_socket(out->server_.get(), socket.get(), flags, &raw) == FALSE) {
        const net::gerror_ptr error{raw};
        return leaf::new_error(
            net::listen_error{address.host + ":" + std::to_string(address.port), error->message});
    }
    GSList* uris = soup_server_get_uris(out->server_.get());
    out->port_ = static_cast<std::uint16_t>(g_uri_get_port(static_cast<GUri*>(uris->data)));
    g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
    soup_server_add_early_handler(out->server_.get(), nullptr, on_early, out.get(), nullptr);
    soup_server_add_handler(out->server_.get(), nullptr, on_message, out.get(), nullptr);
    return out;
}

http_server::~http_server()
{
    soup_server_disconnect(server_.get());
}

void http_server::on_early(SoupServer*, SoupServerMessage* message, const char*, GHashTable*,
                           gpointer data)
{
    request_body_limit::apply(message, static_cast<http_server*>(data)->limits_);
}

void http_server::on_message(SoupServer*, SoupServerMessage* message, const char*, GHashTable*,
                             gpointer data)
{
    if (soup_server_message_get_status(message) != 0) {
        return; // answered by the early handler
    }
    auto* self = static_cast<http_server*>(data);
    self->on_request_(std::make_shared<http_exchange>(message));
}

} // namespace hickorypost
