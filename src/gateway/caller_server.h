#pragma once

#include "hickorypost/gateway/exchange.h"
#include "hickorypost/http1/parser.h"
#include "hickorypost/net/poller.h"
#include "hickorypost/net/tcp_stream.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace hickorypost {

class caller_connection;

/// A request as it came from a caller's connection, whole.
struct incoming_request {
    http1::request_head head;
    std::string body;
    /// The way back. May be kept for a later answer; then nothing comes of it if the caller has
    /// left.
    std::shared_ptr<gateway::caller_port> answer;
    instant arrived;
};

/// Serves HTTP/1.1 on one address: many kept connections, one request at a time on each.
class caller_server {
public:
    struct options {
        std::function<gateway::caller_limits()> limits;
        /// Gives the request's way through the gateway, or nothing if `answer` was or will be used.
        std::function<std::unique_ptr<gateway::exchange>(incoming_request)> handle;
        /// While it says false, requests that have been read wait, at most for `hold_limit`. Unset:
        /// never.
        std::function<bool()> may_handle = nullptr;
        millis hold_limit{0};
    };

    /// Gives nothing if the address cannot be listened on; errno tells why.
    static std::unique_ptr<caller_server> open(net::poller& on, gateway::scheduler& timers,
                                               clock_fn now, const net::endpoint& at, options how);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    /// From now on each answer ends its connection.
    void begin_drain() { draining_ = true; }
    /// `may_handle` says true now: requests that wait are handled.
    void release_held();
    /// New connections are refused from now on, so that callers go elsewhere at once.
    void stop_accepting() { listener_.reset(); }
    [[nodiscard]] bool accepts() const noexcept { return listener_ != nullptr; }
    /// Closes connections on which no request has begun.
    void close_idle();
    /// Requests that have been read and not been answered.
    [[nodiscard]] std::size_t in_flight() const;
    [[nodiscard]] std::size_t connections() const noexcept { return connections_.size(); }

private:
    friend class caller_connection;

    caller_server(net::poller& on, gateway::scheduler& timers, clock_fn now, options how);
    void accept(int fd);
    void remove(caller_connection* it) { connections_.erase(it); }

    net::poller& poller_;
    gateway::scheduler& timers_;
    clock_fn now_;
    options options_;
    std::unique_ptr<net::tcp_listener> listener_;
    std::map<caller_connection*, std::shared_ptr<caller_connection>> connections_;
    bool draining_ = false;
};

} // namespace hickorypost
