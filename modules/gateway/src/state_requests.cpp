#include "hickorypost/gateway/state_requests.h"

#include <utility>

namespace hickorypost::gateway {

bool state_requests::ask(const node_id& host, bool congested)
{
    if (congested) {
        waiting_.insert(host);
    }
    return !congested;
}

std::vector<node_id>
state_requests::take_due(const std::function<bool(const node_id&)>& is_congested)
{
    std::vector<node_id> out;
    for (const auto& host : std::exchange(waiting_, {})) {
        if (is_congested(host)) {
            waiting_.insert(host);
        } else {
            out.push_back(host);
        }
    }
    return out;
}

} // namespace hickorypost::gateway
