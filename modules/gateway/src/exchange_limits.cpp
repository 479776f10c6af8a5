/// Request lifecycle, part five: backend servers that have named a limit.

#include "hickorypost/gateway/exchange.h"

#include <algorithm>

namespace hickorypost::gateway {

int exchange::priority() const
{
    return account_ != nullptr && account_->priority ? *account_->priority : route_.priority;
}

const backend_entry* exchange::choose(std::vector<const backend_entry*>& candidates,
                                      const job_size& job)
{
    const instant now = services_.now();
    auto& limits = services_.limits;
    limited_.clear();
    const auto* const best = services_.balancer.choose(candidates, job, tried_, now);
    if (best == nullptr || limits.empty() || limits.has_room(best->record.id, priority())) {
        return best;
    }
    limits.request_permit(best->record.id, priority());
    std::erase_if(candidates, [&](const backend_entry* it) {
        const bool full = !limits.has_room(it->record.id, priority());
        if (full && std::find(tried_.begin(), tried_.end(), it->record.id) == tried_.end()) {
            limited_.push_back(it->record.id);
        }
        return full;
    });
    const auto* const other = services_.balancer.choose(candidates, job, tried_, now);
    if (other == nullptr) {
        request_permits();
    } else {
        limited_.clear();
    }
    return other;
}

void exchange::request_permits()
{
    for (const auto& backend : limited_) {
        services_.limits.request_permit(backend, priority());
    }
}

bool exchange::room_for_another(std::string_view except)
{
    auto& limits = services_.limits;
    if (limits.empty()) {
        return true;
    }
    limited_.clear();
    for (const auto* const it : services_.directory.usable(record_.service, services_.now())) {
        const bool tried = std::find(tried_.begin(), tried_.end(), it->record.id) != tried_.end();
        if (tried || it->record.id == except) {
            continue;
        }
        if (limits.has_room(it->record.id, priority())) {
            return true;
        }
        limited_.push_back(it->record.id);
    }
    request_permits();
    return false;
}

bool exchange::wait_for_permit()
{
    const auto& settings = services_.settings;
    const instant now = services_.now();
    if (permit_wait_end_ == instant{}) {
        permit_wait_end_ = now + settings.permit_wait;
    }
    if (now >= permit_wait_end_) {
        return false;
    }
    silence_timer_ = services_.timers.add(now + settings.permit_poll, [this] {
        silence_timer_ = 0;
        try_attempt();
    });
    return true;
}

void exchange::refuse_for_limits()
{
    services_.limits.note_rejection(priority());
    record_.limited = static_cast<std::uint32_t>(limited_.size());
    retry_after_ = services_.limits.room_in(limited_);
    abort("all backend servers are at the limits that they have named");
}

} // namespace hickorypost::gateway
