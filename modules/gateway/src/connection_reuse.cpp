#include "hickorypost/gateway/connection_reuse.h"

#include <algorithm>

namespace hickorypost::gateway {

namespace {

constexpr std::uint32_t max_doublings = 10;

} // namespace

bool connection_reuse::allows(const std::string& backend) const
{
    const auto found = backends_.find(backend);
    return found == backends_.end() || now_() >= found->second.paused_until;
}

void connection_reuse::stale(const std::string& backend, instant sent)
{
    const instant now = now_();
    std::erase_if(backends_, [&](const auto& it) {
        return now > it.second.last + 2 * settings_.longest_pause;
    });
    const auto [at, is_new] = backends_.try_emplace(backend);
    record& it = at->second;
    // Connections that a network fault resets together are one failure.
    if (!is_new && sent < it.last) {
        return;
    }
    it.last = now;
    if (++it.stale < settings_.max_stale) {
        return;
    }
    const std::uint32_t doublings = std::min(it.stale - settings_.max_stale, max_doublings);
    it.paused_until =
        now + std::min(settings_.first_pause * (1U << doublings), settings_.longest_pause);
}

} // namespace hickorypost::gateway
