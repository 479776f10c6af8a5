#include "hickorypost/gateway/way_quality.h"

#include <algorithm>
#include <cmath>

namespace hickorypost::gateway {

double way_quality::decayed_share(const path& it, instant now) const
{
    const auto age = static_cast<double>(std::chrono::duration_cast<millis>(now - it.at).count());
    return it.share * std::exp2(-age / static_cast<double>(settings_.half_life.count()));
}

void way_quality::saw(const std::string& domain, bool delayed, instant now)
{
    path& it = paths_[domain];
    const double before = decayed_share(it, now);
    it = {before + settings_.weight * ((delayed ? 1.0 : 0.0) - before), now};
}

double way_quality::excess(const std::string& domain, instant now) const
{
    const auto own = paths_.find(domain);
    if (own == paths_.end()) {
        return 0;
    }
    double best = 1;
    for (const auto& [name, it] : paths_) {
        best = std::min(best, decayed_share(it, now));
    }
    return decayed_share(own->second, now) - best;
}

} // namespace hickorypost::gateway
