/// Request lifecycle, part five: backend servers that limit how many requests they accept, always
/// or while they warm up.

#include "hickorypost/gateway/exchange.h"

#include <algorithm>

namespace hickorypost::gateway {

int exchange::priority() const
{
    return account_ != nullptr && account_->priority ? *account_->priority : route_.priority;
}

std::vector<const backend_entry*> exchange::usable_backends()
{
    const instant now = services_.now();
    auto out = services_.directory.usable(record_.service, now);
    if (service_ != nullptr && service_->cold_per_second > 0) {
        for (const auto* const it : out) {
            if (backend_directory::is_cold(*it, now)) {
                services_.limits.set_warm_up(it->record.id, service_->cold_per_second,
                                             std::max(it->cold_until, it->assumed_cold_until));
            }
        }
    }
    return out;
}

bool exchange::was_tried(const backend_entry& it) const
{
    return std::find(tried_backends_.begin(), tried_backends_.end(), it.record.id) !=
           tried_backends_.end();
}

const backend_entry* exchange::choose(std::vector<const backend_entry*>& candidates,
                                      const job_size& job)
{
    const instant now = services_.now();
    auto& limits = services_.limits;
    limited_backends_.clear();
    const auto* const best = services_.balancer.choose(candidates, job, tried_backends_, now);
    if (best == nullptr || limits.empty() || limits.has_room(best->record.id, priority())) {
        return best;
    }
    limits.request_permit(best->record.id, priority());
    std::erase_if(candidates, [&](const backend_entry* it) {
        const bool full = !limits.has_room(it->record.id, priority());
        if (full && !was_tried(*it)) {
            limited_backends_.push_back(it->record.id);
        }
        return full;
    });
    const auto* const other = services_.balancer.choose(candidates, job, tried_backends_, now);
    if (other == nullptr) {
        request_permits();
    } else {
        limited_backends_.clear();
    }
    return other;
}

void exchange::request_permits()
{
    for (const auto& backend : limited_backends_) {
        services_.limits.request_permit(backend, priority());
    }
}

bool exchange::has_room_elsewhere(std::string_view except)
{
    auto& limits = services_.limits;
    if (services_.directory.is_fully_evacuated(record_.service)) {
        return false;
    }
    limited_backends_.clear();
    for (const auto* const it : selectable_backends()) {
        if (was_tried(*it) || it->record.id == except ||
            services_.balancer.is_saturated(it->record.id, services_.now())) {
            continue;
        }
        if (limits.has_room(it->record.id, priority())) {
            return true;
        }
        limited_backends_.push_back(it->record.id);
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

void exchange::reject_for_limits()
{
    services_.limits.note_rejection(priority());
    record_.limited = static_cast<std::uint32_t>(limited_backends_.size());
    retry_after_ = services_.limits.room_in(limited_backends_);
    if (const auto left = services_.backoffs.first_available_in(backing_off_)) {
        retry_after_ = std::min(*retry_after_, *left);
    }
    abort("all backend servers have reached their limits");
}

} // namespace hickorypost::gateway
