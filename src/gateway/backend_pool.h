#pragma once

#include "hickorypost/gateway/buffer_budget.h"
#include "hickorypost/gateway/connection_reuse.h"
#include "hickorypost/gateway/connection_share.h"
#include "hickorypost/gateway/exchange_types.h"
#include "hickorypost/http1/parser.h"
#include "hickorypost/net/poller.h"
#include "hickorypost/net/tcp_stream.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace hickorypost {

/// Timeouts and connection limits of a `backend_pool`.
struct backend_pool_settings {
    /// A connection that is not established within this time counts as failed.
    millis connect_timeout{500};
    /// Idle timeout of connections to a backend server that announces none in `Keep-Alive`.
    millis default_idle_timeout{4000};
    /// Fraction of the backend server's announced idle timeout after which an idle connection is
    /// closed. A request that is sent while the backend server closes the connection may have run,
    /// so that it could not be retried.
    double idle_timeout_fraction = 0.6;
    gateway::connection_share_settings share;
    gateway::connection_reuse_settings reuse;
    /// A reused connection that ends later than this after its request was sent has not been closed
    /// for being idle.
    millis stale_window{100};
    /// Interim responses (1xx) before the final one. A backend server that sends more is taken for
    /// one that never ends its answer.
    std::size_t max_interim_responses = 32;
    /// A connection on which sent bytes or keepalive probes stay unacknowledged for this long is
    /// closed.
    millis unacknowledged_timeout{2500};
    /// The kernel's receive buffer of a connection, see `net::socket_buffers`, which an answer
    /// fills while reading is paused. It is raised to the second for a large answer, and stays so,
    /// which is accounted for in `answer_buffers`.
    std::size_t receive_buffer = net::socket_buffers{}.receive;
    std::size_t most_receive_buffer = net::socket_buffers{}.receive;
    std::shared_ptr<gateway::buffer_budget> answer_buffers =
        std::make_shared<gateway::buffer_budget>(0);
    /// Counts the part of `answer_buffers` that the kernel may hold.
    std::shared_ptr<gateway::buffer_budget> raised_buffers =
        std::make_shared<gateway::buffer_budget>(0);
};

/// Pool of persistent HTTP/1.1 connections to backend servers. A connection carries one request at
/// a time and is closed on any unexpected input, so that stray bytes are never parsed as the
/// response to the next request.
class backend_pool final : public gateway::attempt_port {
public:
    /// Whether a request that has waited for its connection may still be sent.
    using may_send_fn = std::function<bool(const std::string& backend)>;

    /// The connections of all hosts to a backend server; `own` is filled in by the pool.
    using use_fn = std::function<gateway::connection_use(const std::string& backend)>;
    /// Called when the number of open connections to a backend server has changed.
    using changed_fn = std::function<void(const std::string& backend, std::size_t open)>;

    backend_pool(net::poller& poller, gateway::scheduler& timers, clock_fn now, use_fn use,
                 changed_fn changed, may_send_fn may_send, backend_pool_settings settings);
    ~backend_pool() override;
    backend_pool(const backend_pool&) = delete;
    backend_pool& operator=(const backend_pool&) = delete;

    std::unique_ptr<gateway::attempt> start(const gateway::attempt_target& target, std::string head,
                                            std::string_view body, bool bodyless,
                                            gateway::attempt_events& events) override;
    /// Closes the idle connections to a backend server incarnation that has left.
    void close_idle(const std::string& backend);
    /// Closes all connections to a backend server incarnation that is known to have ended. Requests
    /// in flight fail at once, as after a crash: after a network partition the connections may look
    /// open until `unacknowledged_timeout` expires.
    void close_all(const std::string& backend);

    /// Closes idle connections to backend servers that have few left for other hosts. Call several
    /// times a second.
    void close_idle_where_scarce();
    [[nodiscard]] std::size_t idle_connections() const noexcept;
    [[nodiscard]] std::size_t busy_connections() const noexcept { return busy_.size(); }
    /// Bytes of requests that have not been written to the sockets yet.
    [[nodiscard]] std::size_t unsent_bytes() const;
    /// Number of connections opened since construction.
    [[nodiscard]] std::uint64_t opened_connections() const noexcept { return opened_; }
    /// Number of requests whose reused connection was closed before an answer.
    [[nodiscard]] std::uint64_t stale_connections() const noexcept { return stale_; }

private:
    class connection;
    class pooled_attempt;
    class rejected_attempt;

    /// Moves a connection from the busy to the idle ones.
    void make_idle(connection* conn);
    /// Removes a connection from the pool and schedules its destruction.
    void remove(connection* conn);
    /// Takes the idle connection that was used last; null if there is none.
    std::unique_ptr<connection> take_idle(const std::string& backend);
    /// Counts a reused connection that was closed before an answer to the request sent at `sent`.
    void record_stale(const std::string& backend, instant sent);
    /// Closes the connection to a backend server that has been idle longest. False if none is idle.
    bool close_oldest_idle(const std::string& backend);
    /// Whether a further connection stays within this host's share of the limit.
    [[nodiscard]] bool has_capacity(const gateway::attempt_target& target) const;
    [[nodiscard]] gateway::connection_use use_of(const std::string& backend) const;
    void count_open(const std::string& backend, int change);

    net::poller& poller_;
    gateway::scheduler& timers_;
    clock_fn now_;
    use_fn use_;
    changed_fn changed_;
    may_send_fn may_send_;
    backend_pool_settings settings_;
    gateway::connection_share share_;
    gateway::connection_reuse reuse_;
    /// Number of open connections by backend server incarnation. Declared before the connections,
    /// whose destructors decrement it.
    std::map<std::string, std::size_t> open_count_;
    std::map<std::string, std::deque<std::unique_ptr<connection>>>
        idle_; ///< by backend server incarnation
    std::map<connection*, std::unique_ptr<connection>> busy_;
    std::vector<std::unique_ptr<connection>> closed_; ///< destroyed in the next main loop iteration
    std::uint64_t closed_timer_ = 0;
    std::uint64_t opened_ = 0;
    std::uint64_t stale_ = 0;
};

} // namespace hickorypost
