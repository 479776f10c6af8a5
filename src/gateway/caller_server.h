#pragma once

#include "hickorypost/gateway/accept_queue.h"
#include "hickorypost/gateway/buffer_budget.h"
#include "hickorypost/gateway/exchange.h"
#include "hickorypost/http1/parser.h"
#include "hickorypost/net/poller.h"
#include "hickorypost/net/tcp_stream.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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

/// Bytes held for the connections of a server.
struct buffered_bytes {
    std::size_t requests = 0; ///< being read or in flight
    std::size_t answers = 0;  ///< not written to the sockets yet
    std::size_t kernel_unsent = 0;
    std::size_t kernel_unread = 0;
};

/// HTTP/1.1 server on one address. Connections are persistent and carry one request at a time.
class caller_server final : public net::pollable {
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
        /// How new connections wait to be read. If unset, they are read as they arrive.
        std::optional<gateway::accept_queue_settings> accept_queue = std::nullopt;
        /// Upper bound of open connections; 0: none. Beyond it, connections without a request in
        /// flight are closed, those first whose caller has been waited for longest. If there are
        /// none, new ones are closed unread.
        std::size_t max_connections = 0;
        /// A new connection was closed unread, for this reason.
        std::function<void(std::string_view reason)> connection_refused = nullptr;
        /// Listening is paused because of overload.
        std::function<void()> listen_paused = nullptr;
        /// Listening failed and is tried again until it succeeds; an errno value. Called once for
        /// each change of the reason.
        std::function<void(int error)> listen_failed = nullptr;
        /// Listening has succeeded, this long after it first failed.
        std::function<void(millis waited)> listen_recovered = nullptr;
        /// Connections wait that can't be accepted, and are tried again; an errno value. Called
        /// again only after none has waited.
        std::function<void(int error)> accept_failed = nullptr;
        /// Memory for requests that are being read or in flight, and for answers that have not been
        /// written to the sockets.
        std::shared_ptr<gateway::buffer_budget> request_buffers =
            std::make_shared<gateway::buffer_budget>(0);
        std::shared_ptr<gateway::buffer_budget> answer_buffers =
            std::make_shared<gateway::buffer_budget>(0);
        /// The kernel's buffers of a new connection. They are raised for large requests and
        /// answers; that for answers is lowered again.
        net::socket_buffers socket_buffers = {};
        /// Counts what the kernel may hold for raised buffers, which `request_buffers` and
        /// `answer_buffers` include.
        std::shared_ptr<gateway::buffer_budget> raised_buffers =
            std::make_shared<gateway::buffer_budget>(0);
        /// A request was rejected before its body was read to the end, because memory is short.
        std::function<void(http1::request_head)> request_rejected = nullptr;
    };

    /// Listens on `address`, or waits for it after a transient failure. Returns null and sets errno
    /// after any other.
    static std::unique_ptr<caller_server> open(net::poller& poller, gateway::scheduler& timers,
                                               clock_fn now, const net::endpoint& address,
                                               options opts);
    ~caller_server() override;
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    /// From now on each answer closes its connection. Passes the drain on to all exchanges.
    void begin_drain();
    /// Dispatches the held requests, as many in a turn of the main loop as `accept_queue` allows.
    /// Call once `may_handle` returns true.
    void release_held();
    /// Closes the listening socket, so that new callers are refused and use another host at once.
    void stop_accepting();
    [[nodiscard]] bool accepts() const noexcept { return accepts_; }
    /// Whether the address has been listened on since the start.
    [[nodiscard]] bool has_listened() const noexcept { return has_listened_; }
    /// Whether listening has failed and is tried again.
    [[nodiscard]] bool waits_for_address() const noexcept { return failed_since_.has_value(); }
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
    /// Makes system calls for each connection.
    [[nodiscard]] buffered_bytes buffered() const;
    [[nodiscard]] std::size_t connections() const noexcept
    {
        return connections_.size() + unread_.size();
    }
    /// Whether this host receives more connections than it can process.
    /// Lowers the send buffers of connections whose answers have arrived. Call regularly.
    void lower_send_buffers();
    [[nodiscard]] bool is_overloaded() const noexcept { return unread_.is_overloaded(); }
    /// Connections that were opened, and closed unread, since the start.
    [[nodiscard]] std::uint64_t opened() const noexcept { return opened_; }
    [[nodiscard]] std::uint64_t refused() const noexcept { return refused_; }
    /// Connections since the start that were closed to make room for others.
    [[nodiscard]] std::uint64_t evicted() const noexcept { return evicted_; }
    /// Connections since the start whose callers ended their input before the answer was sent.
    [[nodiscard]] std::uint64_t inputs_ended() const noexcept { return inputs_ended_; }

private:
    friend class caller_connection;

    caller_server(net::poller& poller, gateway::scheduler& timers, clock_fn now,
                  const net::endpoint& address, options opts);
    void ready(std::uint32_t) override {}
    /// Runs at the end of a main loop turn: reads new connections, closes those that would
    /// wait too long.
    void flush() override;
    void accept(int fd);
    void read(int fd);
    /// Listens on `address_`. Returns false and sets errno on failure.
    bool listen();
    void listen_failed(int error);
    /// Closes the listening socket while the host is overloaded, as a connection that the kernel
    /// refuses takes none of this process's time. Listens again once the queue has room.
    void pause_or_resume_listening();
    void try_listen_after(millis delay);
    void refuse(int fd, std::string_view reason);
    /// Makes room for a new connection. Returns whether there is room.
    bool close_waiting_connections();
    /// Connections whose request has been read and is not answered. Copies, as handling one may
    /// remove it.
    [[nodiscard]] std::vector<std::shared_ptr<caller_connection>> busy_connections() const;
    void remove(caller_connection* connection) { connections_.erase(connection); }

    net::poller& poller_;
    gateway::scheduler& timers_;
    clock_fn now_;
    net::endpoint address_;
    options options_;
    std::unique_ptr<net::tcp_listener> listener_; ///< null while paused
    std::map<caller_connection*, std::shared_ptr<caller_connection>> connections_;
    gateway::accept_queue unread_;
    std::deque<std::weak_ptr<caller_connection>> released_; ///< held requests to dispatch
    std::uint64_t opened_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t evicted_ = 0;
    std::uint64_t inputs_ended_ = 0;
    std::uint64_t resume_timer_ = 0;
    std::optional<instant> failed_since_; ///< first failure to listen since the last success
    int last_error_ = 0;                  ///< errno of the last failure to listen
    bool accepts_ = false;
    bool has_listened_ = false;
    bool draining_ = false;
};

} // namespace hickorypost
