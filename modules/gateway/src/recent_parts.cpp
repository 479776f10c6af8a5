#include "hickorypost/gateway/recent_parts.h"

#include <utility>

namespace hickorypost::gateway {

recent_parts::recent_parts(millis lifetime, std::size_t max_parts)
    : lifetime_{lifetime}, max_parts_{max_parts}
{
}

void recent_parts::add(std::uint64_t part, instant now)
{
    const std::size_t max_in_generation = max_parts_ / 2;
    if (now >= newer_since_ + lifetime_ ||
        (newer_.size() >= max_in_generation && !newer_.contains(part))) {
        older_ = std::exchange(newer_, {});
        if (now >= newer_since_ + 2 * lifetime_) {
            older_.clear();
        }
        const bool in_time = now >= newer_since_ + lifetime_ && !older_.empty();
        newer_since_ = in_time ? newer_since_ + lifetime_ : now;
    }
    newer_.insert(part);
}

bool recent_parts::contains(std::uint64_t part, instant now) const
{
    if (now >= newer_since_ + 2 * lifetime_) {
        return false;
    }
    // The older generation ends when the newer one would be replaced.
    return newer_.contains(part) || (now < newer_since_ + lifetime_ && older_.contains(part));
}

} // namespace hickorypost::gateway
