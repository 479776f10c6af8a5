#include "hickorypost/gateway/state_fetch.h"

#include <algorithm>

namespace hickorypost::gateway {

void state_fetch::announced(const std::string& host, bool is_local, std::uint64_t revision)
{
    source& it = is_local ? local_ : remote_;
    if (is_local && revision > it.revision) {
        remote_ahead_since_.reset();
    }
    if (revision >= it.revision) {
        it = {host, revision};
    }
}

std::optional<std::string> state_fetch::take_due(std::uint64_t own, bool has_local, instant now)
{
    if (remote_.revision <= std::max(own, local_.revision)) {
        remote_ahead_since_.reset();
    } else if (!remote_ahead_since_) {
        remote_ahead_since_ = now;
    }
    const bool local_is_late =
        remote_ahead_since_ && (!has_local || now >= *remote_ahead_since_ + settings_.local_delay);
    const source* from = local_is_late ? &remote_ : &local_;
    if (from->revision <= own) {
        return std::nullopt;
    }
    if (from->revision <= asked_.revision) {
        if (now < asked_at_ + settings_.retry_period) {
            return std::nullopt;
        }
        const source* const other = from == &local_ ? &remote_ : &local_;
        if (from->host == asked_.host && other->revision > own) {
            from = other;
        }
    }
    asked_ = *from;
    asked_at_ = now;
    return from->host;
}

} // namespace hickorypost::gateway
