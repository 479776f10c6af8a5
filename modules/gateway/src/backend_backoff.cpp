#include "hickorypost/gateway/backend_backoff.h"

#include "hickorypost/gateway/exchange_types.h"

#include <algorithm>
#include <utility>

namespace hickorypost::gateway {

namespace {

constexpr unsigned status_too_many_requests = 429;
constexpr unsigned status_unavailable = 503;

} // namespace

backend_backoff::backend_backoff(backoff_settings settings, clock_fn now, requested_fn requested)
    : settings_{settings}, now_{std::move(now)}, requested_{std::move(requested)}
{
}

void backend_backoff::saw(const std::string& backend, const backend_answer& answer,
                          std::string_view request)
{
    const auto& statement = answer.backoff;
    const bool rejected =
        answer.status == status_unavailable || answer.status == status_too_many_requests;
    if (!rejected || statement.kind == backoff_statement::kind_type::none) {
        return;
    }
    const bool readable = statement.kind == backoff_statement::kind_type::named;
    constexpr double millis_per_second = 1000;
    const double max_ms = static_cast<double>(settings_.max_wait.count());
    const millis wait = readable ? millis{static_cast<std::int64_t>(std::clamp(
                                       statement.seconds * millis_per_second, 0.0, max_ms))}
                                 : settings_.default_wait;
    entry& it = entries_[backend];
    if (const instant until = now_() + wait; wait > millis{0} && until > it.until) {
        it.until = until;
        requested_({backend, std::string{request}, wait, readable});
    }
}

void backend_backoff::forget(std::string_view backend)
{
    if (const auto found = entries_.find(backend); found != entries_.end()) {
        entries_.erase(found);
    }
}

void backend_backoff::expire()
{
    const instant now = now_();
    std::erase_if(entries_, [now](const auto& it) { return now >= it.second.until; });
}

bool backend_backoff::is_backing_off(std::string_view backend) const
{
    const auto found = entries_.find(backend);
    return found != entries_.end() && now_() < found->second.until;
}

std::size_t backend_backoff::count() const
{
    const instant now = now_();
    return static_cast<std::size_t>(std::count_if(
        entries_.begin(), entries_.end(), [now](const auto& it) { return now < it.second.until; }));
}

} // namespace hickorypost::gateway
