#include "hickorypost/gateway/order_progress.h"

#include <utility>

namespace hickorypost::gateway {

namespace {

/// Shorter than the second after which an operator's client tries another host.
constexpr millis order_timeout{900};
/// For a host that is not known to lead: the host may not have received the order, or may have no
/// connection to the leader either.
constexpr millis resend_interval{250};
/// For the leader. Longer than a whole configuration (0.05 MB compressed) takes over the slowest
/// link (10 Mbit/s) behind 30 transfers of the same size.
constexpr millis leader_resend_interval{600};
/// For an order that was last sent to a host other than the current leader.
constexpr millis leader_change_delay{50};

} // namespace

void order_progress::sent_to(node_id host, instant now)
{
    host_ = std::move(host);
    last_sent_ = now;
    refused_ = false;
    ++tries_;
}

bool order_progress::expired(instant now) const
{
    return now > started_ + order_timeout;
}

bool order_progress::ask_again(const node_id& leader, instant now) const
{
    const auto waited = now - last_sent_;
    if (leader.empty() || refused_) {
        return waited > (leader.empty() || leader == host_ ? resend_interval : leader_change_delay);
    }
    return waited > (leader == host_ ? leader_resend_interval : leader_change_delay);
}

} // namespace hickorypost::gateway
