#include "hickorypost/gateway/order_progress.h"

#include <utility>

namespace hickorypost::gateway {

namespace {

/// The operator moves on to another host after a second without an answer.
constexpr millis order_limit{900};
/// A host that is not known to lead may never have got the order, or have lost the leader too.
constexpr millis resend{250};
/// Longer than a whole configuration takes through the slowest link (0.05 MB packed, 10 Mbit/s)
/// behind 30 others of its kind.
constexpr millis leader_resend{600};
/// An order that went astray is noticed at the next turn after this.
constexpr millis leader_change_pause{50};

} // namespace

void order_progress::sent_to(node_id host, instant now)
{
    host_ = std::move(host);
    asked_ = now;
    refused_ = false;
    ++tries_;
}

bool order_progress::expired(instant now) const
{
    return now > since_ + order_limit;
}

bool order_progress::ask_again(const node_id& leader, instant now) const
{
    const auto waited = now - asked_;
    if (leader.empty() || refused_) {
        return waited > (leader.empty() || leader == host_ ? resend : leader_change_pause);
    }
    return waited > (leader == host_ ? leader_resend : leader_change_pause);
}

} // namespace hickorypost::gateway
