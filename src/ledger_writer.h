#pragma once

#include "control_client.h"
#include "hickorypost/dispatch/request_services.h"

#include <deque>
#include <map>

namespace hickorypost {

/// Writes to the ledger in batches: all that waits for a group when the main loop turns goes in one
/// command, so that a commit's price is shared.
class ledger_writer {
public:
    using reply_fn = dispatch::ledger_reply_fn;

    ledger_writer(const runtime& env, control_client& control);

    /// `limit` 0: try for ever. What a write carries (usage above all) stays here until it is
    /// acknowledged.
    void write(std::uint32_t group, ledger::ledger_command command, millis limit, reply_fn done);

    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_; }

private:
    struct pending_write {
        ledger::ledger_command command;
        reply_fn done;
        instant deadline;
        bool for_ever = false;
    };
    struct group_queue {
        std::deque<pending_write> writes;
        std::size_t in_flight = 0;
    };

    void schedule();
    void flush();
    void send_batch(std::uint32_t group, group_queue& queue);
    void settle(std::uint32_t group, std::vector<pending_write> writes, wire::reply_status status,
                std::string_view result);

    const runtime& env_;
    control_client& control_;
    std::map<std::uint32_t, group_queue> queues_;
    std::size_t waiting_ = 0;
    net::timer flush_timer_;
    net::timer retry_timer_;
};

} // namespace hickorypost
