#pragma once

#include "hickorypost/base/ids.h"
#include "hickorypost/base/time.h"

#include <functional>
#include <map>
#include <queue>
#include <set>

namespace hickorypost::proof {

/// Virtual time, processes that can crash or freeze, and connections between them that deliver in
/// order, can be cut, and can lose track of a connection while new ones work.
class sim_net {
public:
    struct process_hooks {
        std::function<void(const node_id& peer)> link_up;
        std::function<void(const node_id& peer)> link_down;
    };

    explicit sim_net(std::uint64_t seed);

    [[nodiscard]] instant now() const noexcept { return now_; }
    /// The process's own clock; clocks drift apart within the product's stated bound.
    [[nodiscard]] instant clock(const node_id& node) const;
    [[nodiscard]] const random_fn& random() const noexcept { return random_; }
    std::uint64_t pick(std::uint64_t n) { return random_() % n; }

    void at(micros delay, std::function<void()> run);
    /// Runs on a process's thread: not after a crash, and only when it is not frozen.
    void on(const node_id& node, micros delay, std::function<void()> run);
    void run_until(instant end);

    void start(const node_id& node, process_hooks hooks);
    void crash(const node_id& node);
    [[nodiscard]] bool alive(const node_id& node) const;
    void freeze(const node_id& node, millis time);

    /// Keeps a connection between the two open from now on, whenever both are there.
    void connect(const node_id& a, const node_id& b);
    /// Sends over the connection; false if it is not up by the sender's account.
    bool send(const node_id& from, const node_id& to, std::function<void()> arrive);
    [[nodiscard]] bool linked(const node_id& from, const node_id& to) const;

    /// Nothing passes between the two, either way or one way only.
    void cut(const node_id& from, const node_id& to);
    void heal();
    /// The connection that is open now delivers nothing more; a new one would.
    void silence(const node_id& a, const node_id& b);
    [[nodiscard]] std::vector<std::pair<node_id, node_id>> connections() const;

private:
    struct process_state {
        process_hooks hooks;
        std::uint64_t life = 0;
        bool alive = false;
        instant frozen_until;
        double clock_rate = 1;
    };
    struct connection {
        node_id a;
        node_id b;
        std::uint64_t epoch = 0;
        bool up = false;
        bool silent = false;
        instant last_ab;
        instant last_ba;
        std::set<node_id> knows; ///< ends that believe it is up
    };
    struct event {
        instant at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    connection* between(const node_id& a, const node_id& b);
    [[nodiscard]] const connection* between(const node_id& a, const node_id& b) const;
    [[nodiscard]] bool blocked(const node_id& from, const node_id& to) const;
    void watch(std::size_t nth);
    void open(connection& it);
    void close(connection& it, micros noticed_after);

    instant now_;
    random_fn random_;
    std::uint64_t next_order_ = 0;
    std::priority_queue<event> events_;
    std::map<node_id, process_state> processes_;
    std::vector<connection> connections_;
    std::set<std::pair<node_id, node_id>> cuts_;
    std::map<std::size_t, instant> blocked_since_;
};

} // namespace hickorypost::proof
