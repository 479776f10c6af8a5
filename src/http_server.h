#pragma once

#include "hickorypost/dispatch/caller_types.h"
#include "hickorypost/net/gobject_ptr.h"
#include "hickorypost/net/listener.h"
#include "request_body_limit.h"

#include <functional>
#include <libsoup/soup.h>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hickorypost {

struct gbytes_unref {
    void operator()(GBytes* bytes) const noexcept { g_bytes_unref(bytes); }
};

using gbytes_ptr = std::unique_ptr<GBytes, gbytes_unref>;

using http_header = dispatch::answer_header;

/// One request from a caller, and its answer. Lives on the server's main context.
class http_exchange : public std::enable_shared_from_this<http_exchange> {
public:
    explicit http_exchange(SoupServerMessage* message);
    ~http_exchange();
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;

    [[nodiscard]] std::string_view method() const;
    [[nodiscard]] std::string path() const;
    /// Value of a query parameter, or empty.
    [[nodiscard]] std::string query(const char* name) const;
    [[nodiscard]] std::string_view header(const char* name) const;
    [[nodiscard]] std::string_view body() const;

    /// Sends a whole answer; nothing may follow.
    void respond(unsigned status, std::string_view content_type,
                 const std::vector<http_header>& headers, std::string_view body);
    /// Begins an answer of unknown length.
    void start_stream(unsigned status, std::string_view content_type,
                      const std::vector<http_header>& headers);
    void write(std::string_view bytes);
    void finish_stream();

    [[nodiscard]] bool answered() const noexcept { return started_; }
    [[nodiscard]] bool gone() const noexcept { return gone_; }
    /// Called once if the caller goes away before the answer is complete.
    void on_gone(std::function<void()> hook);
    /// Called once when the answer has left this process, or the caller is gone; the exchange keeps
    /// itself alive until then.
    void on_sent(std::function<void()> hook);

private:
    void pause();
    void resume();
    void caller_left();
    void watch_for_close();
    void set_headers(unsigned status, const std::vector<http_header>& headers);
    static void on_finished(SoupServerMessage* message, gpointer data);

    net::gobject_ptr<SoupServerMessage> message_;
    gbytes_ptr body_;
    std::function<void()> gone_hook_;
    std::function<void()> sent_hook_;
    std::shared_ptr<http_exchange> self_; ///< while `sent_hook_` waits
    net::gsource_ptr close_watch_;
    gulong finished_signal_ = 0;
    bool paused_ = false;
    bool started_ = false;
    bool complete_ = false;
    bool gone_ = false;
};

/// An HTTP server on the thread's main context.
class http_server {
public:
    using handler = std::function<void(const std::shared_ptr<http_exchange>&)>;

    /// Port 0 picks a free one; fails with `net::listen_error`.
    static result<std::unique_ptr<http_server>> open(const net::peer_address& address,
                                                     const net::tls_identity* tls,
                                                     body_limits limits, handler on_request);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

private:
    explicit http_server(body_limits limits, handler on_request);
    static void on_early(SoupServer* server, SoupServerMessage* message, const char* path,
                         GHashTable* query, gpointer data);
    static void on_message(SoupServer* server, SoupServerMessage* message, const char* path,
                           GHashTable* query, gpointer data);

    body_limits limits_;
    handler on_request_;
    net::gobject_ptr<SoupServer> server_;
    std::uint16_t port_ = 0;
};

} // namespace hickorypost
