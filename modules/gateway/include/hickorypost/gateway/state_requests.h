#pragma once

#include "hickorypost/base/ids.h"

#include <functional>
#include <set>
#include <vector>

namespace hickorypost::gateway {

/// Decides when a host that has asked for the newest state gets it. Performs no I/O itself.
///
/// During a burst of changes every host asks once for each revision. Over a slow link the answers
/// would queue up to the size of the state times the number of changes, for every host. While a
/// link is congested its host therefore waits, and then gets only the newest state.
class state_requests {
public:
    /// Returns true if the state is to be sent to the host now.
    bool ask(const node_id& host, bool congested);
    /// Hosts that waited for a link that is no longer congested. They are to be sent the state.
    std::vector<node_id> take_due(const std::function<bool(const node_id&)>& is_congested);
    /// Drops the request of a host whose link has ended.
    void forget(const node_id& host) { waiting_.erase(host); }

private:
    std::set<node_id> waiting_;
};

} // namespace hickorypost::gateway
