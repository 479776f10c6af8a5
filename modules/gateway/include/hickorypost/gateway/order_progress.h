#pragma once

#include "hickorypost/base/ids.h"
#include "hickorypost/base/time.h"

namespace hickorypost::gateway {

/// How far an order to the control log's leader has come, and when it is sent again. Sans I/O.
///
/// Load pattern: after a loss of power all hosts ask one leader for the whole state at once,
/// through its one link. An order sent again while its answer is still on the way makes the queue
/// longer with each try, until the leader's memory is full; so a host that leads and is linked is
/// given time, and only one that may not have got the order is asked again soon.
class order_progress {
public:
    explicit order_progress(instant now) : since_{now} {}

    void sent_to(node_id host, instant now);
    /// The host asked has said that it does not lead.
    void refused() noexcept { refused_ = true; }

    [[nodiscard]] bool expired(instant now) const;
    /// `leader` is empty while none is known.
    [[nodiscard]] bool ask_again(const node_id& leader, instant now) const;
    [[nodiscard]] std::size_t tries() const noexcept { return tries_; }

private:
    instant since_;
    instant asked_;
    node_id host_;
    bool refused_ = false;
    std::size_t tries_ = 0;
};

} // namespace hickorypost::gateway
