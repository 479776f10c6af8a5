#include "hickorypost/gateway/way_quality.h"

#include <algorithm>
#include <cmath>

namespace hickorypost::gateway {

double way_quality::share_now(const way& it, instant now) const
{
    const auto age = static_cast<double>(std::chrono::duration_cast<millis>(now - it.at).count());
    return it.share * std::exp2(-age / static_cast<double>(settings_.half_life.count()));
}

void way_quality::saw(const std::string& domain, bool held_up, instant now)
{
    way& it = ways_[domain];
    const double before = share_now(it, now);
    it = {before + settings_.weight * ((held_up ? 1.0 : 0.0) - before), now};
}

double way_quality::excess(const std::string& domain, instant now) const
{
    const auto own = ways_.find(domain);
    if (own == ways_.end()) {
        return 0;
    }
    double best = 1;
    for (const auto& [name, it] : ways_) {
        best = std::min(best, share_now(it, now));
    }
    return share_now(own->second, now) - best;
}

} // namespace hickorypost::gateway
