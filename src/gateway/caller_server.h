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

namespace hickorypost {

class caller_connection;

/// A request as it came from a caller's connection, whole.
struct incoming_request {
    http1::request_head head;
    std::string body;
    /// Takes the answer, now or later. Ignores it if the caller has left.
    std::shared_ptr<gateway::caller_port> answer;
    instant arrived;
};

/// Why a caller may not have received its whole answer.
enum class answer_state : std::uint8_t {
    unanswered,  ///< the request has been read, its answer is not complete
    unsent,      ///< the answer is complete, not all of it was handed to the kernel
    unconfirmed, ///< all of it was sent, the caller did not close in time
};

/// A connection that was closed while its caller was owed an answer.
struct connection_loss {
    std::string request; ///< the request's id, or its target
    answer_state state = answer_state::unanswered;
    bool by_caller = false;
    std::size_t unsent_bytes = 0;
};

/// Serves HTTP/1.1 on one address: many kept connections, one request at a time on each.
class caller_server {
public:
    struct options {
        std::function<gateway::caller_limits()> limits;
        /// Starts an exchange for the request, or returns null if `answer` was or will be used.
        std::function<std::unique_ptr<gateway::exchange>(incoming_request)> handle;
        /// While it returns false, requests are held, for `hold_limit` at most. Unset: never.
        std::function<bool()> may_handle = nullptr;
        millis hold_limit{0};
        std::function<void(const connection_loss&)> lost = nullptr;
    };

    /// Gives nothing if the address cannot be listened on; errno tells why.
    static std::unique_ptr<caller_server> open(net::poller& on, gateway::scheduler& timers,
                                               clock_fn now, const net::endpoint& at, options how);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    /// From now on each answer ends its connection.
    void begin_drain() { draining_ = true; }
    /// Dispatches held requests, once `may_handle` returns true.
    void release_held();
    /// New connections are refused from now on, so that callers go elsewhere at once.
    void stop_accepting() { listener_.reset(); }
    [[nodiscard]] bool accepts() const noexcept { return listener_ != nullptr; }
    /// Answers all requests that are still in flight, as the process is about to exit.
    void finish_requests();
    /// Closes connections on which no request has begun.
    void close_idle();
    /// Requests that have been read and not been answered.
    [[nodiscard]] std::size_t in_flight() const;
    /// Connections whose caller may not have received its whole answer.
    [[nodiscard]] std::size_t owing() const;
    /// Bytes of answers that were not handed to the kernel yet.
    [[nodiscard]] std::size_t unsent_bytes() const;
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
