#pragma once

#include "hickorypost/gateway/exchange.h"
#include "hickorypost/http1/parser.h"
#include "hickorypost/net/poller.h"
#include "hickorypost/net/tcp_stream.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hickorypost {

class caller_connection;

/// A completely read request of a caller.
struct incoming_request {
    http1::request_head head;
    std::string body;
    /// Port for the answer, which may be given at once or later. Ignored if the caller has left.
    std::shared_ptr<gateway::caller_port> answer;
    instant arrived;
};

/// How far the answer had come when its connection was closed.
enum class answer_state : std::uint8_t {
    unanswered,  ///< the request has been read; its answer is not complete
    unsent,      ///< the answer is complete; part of it has not been written to the socket
    unconfirmed, ///< the answer has been sent; the caller did not close the connection in time
};

/// A connection that was closed while an answer was pending.
struct connection_loss {
    std::string request; ///< id of the request, or its target if it has none
    answer_state state = answer_state::unanswered;
    bool by_caller = false; ///< closed by the caller, not by this host
    std::size_t unsent_bytes = 0;
};

/// HTTP/1.1 server on one address. Connections are persistent and carry one request at a time.
class caller_server {
public:
    struct options {
        std::function<gateway::caller_limits()> limits;
        /// Starts an exchange for the request, or returns null if `answer` was or will be used.
        std::function<std::unique_ptr<gateway::exchange>(incoming_request)> handle;
        /// Requests are held while this returns false, for `max_hold_time` at most. If unset,
        /// requests are never held.
        std::function<bool()> may_handle = nullptr;
        millis max_hold_time{0};
        /// A connection was closed while an answer was pending.
        std::function<void(const connection_loss&)> connection_lost = nullptr;
        /// While this returns false, new connections are closed unread, so that their callers try
        /// another host at once. If unset, all are accepted.
        std::function<bool()> may_accept = nullptr;
        /// Upper bound of open connections; further ones are closed unread. 0: none.
        std::size_t max_connections = 0;
        /// A new connection was closed unread, for this reason.
        std::function<void(std::string_view reason)> connection_refused = nullptr;
    };

    /// Listens on `address`. Returns null and sets errno on failure.
    static std::unique_ptr<caller_server> open(net::poller& poller, gateway::scheduler& timers,
                                               clock_fn now, const net::endpoint& address,
                                               options opts);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    /// From now on each answer closes its connection.
    void begin_drain() { draining_ = true; }
    /// Dispatches all held requests. Call once `may_handle` returns true.
    void release_held();
    /// Closes the listening socket, so that new callers are refused and use another host at once.
    void stop_accepting() { listener_.reset(); }
    [[nodiscard]] bool accepts() const noexcept { return listener_ != nullptr; }
    /// Ends all requests in flight with an immediate answer, because the process is about to exit.
    void finish_requests();
    /// Passes on to all exchanges that a suspect has become refused.
    void suspects_changed();
    /// Closes connections on which no request has begun.
    void close_idle();
    /// Number of requests that have been read and whose answer is not complete.
    [[nodiscard]] std::size_t in_flight() const;
    /// Number of connections whose caller may not have received its whole answer.
    [[nodiscard]] std::size_t pending_answers() const;
    /// Bytes of answers that have not been written to the sockets yet.
    [[nodiscard]] std::size_t unsent_bytes() const;
    [[nodiscard]] std::size_t connections() const noexcept { return connections_.size(); }
    /// Connections that were opened, and closed unread, since the start.
    [[nodiscard]] std::uint64_t opened() const noexcept { return opened_; }
    [[nodiscard]] std::uint64_t refused() const noexcept { return refused_; }

private:
    friend class caller_connection;

    caller_server(net::poller& poller, gateway::scheduler& timers, clock_fn now, options opts);
    void accept(int fd);
    /// Why a new connection is to be closed unread; empty: it is not.
    [[nodiscard]] std::string_view find_refusal() const;
    /// Connections whose request has been read and is not answered. Copies, as handling one may
    /// remove it.
    [[nodiscard]] std::vector<std::shared_ptr<caller_connection>> busy_connections() const;
    void remove(caller_connection* connection) { connections_.erase(connection); }

    net::poller& poller_;
    gateway::scheduler& timers_;
    clock_fn now_;
    options options_;
    std::unique_ptr<net::tcp_listener> listener_;
    std::map<caller_connection*, std::shared_ptr<caller_connection>> connections_;
    std::uint64_t opened_ = 0;
    std::uint64_t refused_ = 0;
    bool draining_ = false;
};

} // namespace hickorypost
