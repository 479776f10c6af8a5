#include "hickorypost/gateway/memory_guard.h"

#include <algorithm>
#include <utility>

namespace hickorypost::gateway {

namespace {

/// Of the memory, for what happens between two updates.
constexpr std::size_t slack_divisor = 16;
/// Of the first limit for requests, that remains in any case.
constexpr std::size_t least_divisor = 8;
/// Freed memory is released once this much, and half of the peak, is no longer in use.
constexpr std::size_t released_from = std::size_t{4} << 20U;

} // namespace

memory_guard::memory_guard(std::size_t memory, budgets accounts, hooks system)
    : memory_{memory}, accounts_{std::move(accounts)}, system_{std::move(system)},
      most_requests_{accounts_.requests->limit()}
{
}

std::size_t memory_guard::accounted_bytes() const
{
    std::size_t out = accounts_.requests->used();
    for (const auto& it : accounts_.others) {
        out += it->used();
    }
    return out;
}

void memory_guard::measure()
{
    const std::size_t resident = system_.resident_bytes();
    const std::size_t own =
        accounted_bytes() - std::min(accounted_bytes(), accounts_.in_kernel->used());
    unaccounted_ = resident - std::min(resident, own);
}

void memory_guard::update()
{
    if (memory_ == 0) {
        return;
    }
    const std::size_t used = accounted_bytes();
    peak_ = std::max(peak_, used);
    if (used + released_from <= peak_ && used <= peak_ / 2) {
        system_.release_freed();
        peak_ = used;
    }
    measure();
    std::size_t taken = memory_ / slack_divisor + unaccounted_ + system_.kernel_bytes();
    for (const auto& it : accounts_.others) {
        taken += std::max(it->limit(), it->used());
    }
    const std::size_t left = memory_ - std::min(memory_, taken);
    accounts_.requests->set_limit(std::clamp(left, most_requests_ / least_divisor, most_requests_));
}

} // namespace hickorypost::gateway
