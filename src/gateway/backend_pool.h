#pragma once

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

struct backend_pool_settings {
    /// Without a connection after this long the backend server counts as unreachable.
    millis connect_limit{500};
    /// Idle time after which a connection is closed where the backend server names no timeout.
    millis idle_default{4000};
    /// Part of the backend server's own idle timeout after which a connection is not used again: a
    /// request that meets the close on its way may have run, and could not be repeated.
    double idle_part = 0.6;
    /// Part of a backend server's connection limit that all hosts use together. The rest covers
    /// hosts that do not know of each other: one connection too many is reset, and a request on it
    /// may have run.
    double used_part = 0.8;
    /// Unacknowledged bytes or unanswered probes after which a connection is dead.
    millis silence_limit{2500};
};

/// Connections to backend servers, kept for further requests. A connection carries one request at a
/// time; anything unexpected on it closes it, so that no bytes can pass for the next answer.
class backend_pool final : public gateway::attempt_port {
public:
    /// `hosts`: how many share the backend servers' connection limits.
    backend_pool(net::poller& on, gateway::scheduler& timers, clock_fn now,
                 std::function<std::size_t()> hosts, backend_pool_settings settings);
    ~backend_pool() override;
    backend_pool(const backend_pool&) = delete;
    backend_pool& operator=(const backend_pool&) = delete;

    std::unique_ptr<gateway::attempt> start(const gateway::attempt_target& target, std::string head,
                                            std::string_view body, bool bodyless,
                                            gateway::attempt_events& events) override;
    /// Closes the idle connections of an incarnation that has gone.
    void forget(const std::string& backend);
    /// An incarnation surely runs no more, though its connections may look whole behind a cut:
    /// what is under way there ends now, as after a crash, and not when its silence is noticed.
    void lost(const std::string& backend);

    [[nodiscard]] std::size_t idle() const noexcept;
    [[nodiscard]] std::size_t busy() const noexcept { return busy_.size(); }
    [[nodiscard]] std::uint64_t opened() const noexcept { return opened_; }

private:
    class connection;
    class running;
    class no_attempt;

    void finished(connection* it);
    void drop(connection* it);
    std::unique_ptr<connection> take_idle(const std::string& backend);
    [[nodiscard]] bool has_room(const gateway::attempt_target& target) const;

    net::poller& poller_;
    gateway::scheduler& timers_;
    clock_fn now_;
    std::function<std::size_t()> hosts_;
    backend_pool_settings settings_;
    /// Open connections by incarnation. Before the connections, which count themselves out.
    std::map<std::string, std::size_t> count_;
    std::map<std::string, std::deque<std::unique_ptr<connection>>> idle_; ///< by incarnation
    std::map<connection*, std::unique_ptr<connection>> busy_;
    std::vector<std::unique_ptr<connection>> dropped_; ///< freed at the next turn
    std::uint64_t drop_timer_ = 0;
    std::uint64_t opened_ = 0;
};

} // namespace hickorypost
