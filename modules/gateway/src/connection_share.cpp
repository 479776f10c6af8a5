#include "hickorypost/gateway/connection_share.h"

#include <algorithm>

namespace hickorypost::gateway {

namespace {

double host_count(const connection_use& use)
{
    return static_cast<double>(std::max<std::size_t>(1, use.hosts));
}

} // namespace

double connection_share::reserved(double limit, const connection_use& use) const
{
    const double share = settings_.used_fraction * limit / host_count(use);
    return std::max(1.0, settings_.reserved_fraction * share);
}

double connection_share::allowed(double limit, const connection_use& use) const
{
    const double used = settings_.used_fraction * limit;
    if (!use.reported) {
        return std::max(1.0, used / host_count(use));
    }
    const double reserved_for_others =
        settings_.reserved_fraction * used * (host_count(use) - 1) / host_count(use);
    return std::max(reserved(limit, use), used - std::max(use.others, reserved_for_others));
}

bool connection_share::is_scarce(double limit, const connection_use& use) const
{
    const double open = static_cast<double>(use.own) + use.others;
    return use.reported && open + 1 > settings_.used_fraction * limit;
}

} // namespace hickorypost::gateway
