#pragma once

#include "hickorypost/base/ids.h"
#include "hickorypost/base/time.h"

namespace hickorypost::gateway {

/// Decides when an order, a request to the control log's leader, is sent again and when it times
/// out. Performs no I/O itself.
///
/// After a power loss all hosts request the whole state from one leader at once, over its one link.
/// Sending an order again while its answer is queued lengthens that queue with each attempt, until
/// the leader runs out of memory. The connected leader therefore gets a long resend interval, and
/// only a host that may not have received the order gets a short one.
class order_progress {
public:
    explicit order_progress(instant now) : started_{now} {}

    /// Notes that the order was sent to `host`, which need not be the leader.
    void sent_to(node_id host, instant now);
    /// The host that the order was last sent to has answered that it is not the leader.
    void refused() noexcept { refused_ = true; }

    /// Whether the order has timed out.
    [[nodiscard]] bool expired(instant now) const;
    /// Whether the order is to be sent again. `leader`: the leader as known now, empty if unknown.
    [[nodiscard]] bool ask_again(const node_id& leader, instant now) const;
    /// How often the order was sent.
    [[nodiscard]] std::size_t tries() const noexcept { return tries_; }

private:
    instant started_;
    instant last_sent_;
    node_id host_;
    bool refused_ = false;
    std::size_t tries_ = 0;
};

} // namespace hickorypost::gateway
