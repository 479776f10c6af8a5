#include "hickorypost/admission/attempt_table.h"

namespace hickorypost::admission {

std::optional<attempt_state> attempt_table::admit(attempt_id attempt)
{
    const auto [it, added] = attempts_.try_emplace(attempt, attempt_state::queued);
    return added ? std::nullopt : std::optional{it->second};
}

bool attempt_table::begin(attempt_id attempt)
{
    const auto it = attempts_.find(attempt);
    if (it == attempts_.end() || it->second != attempt_state::queued) {
        return false;
    }
    it->second = attempt_state::running;
    return true;
}

void attempt_table::end(attempt_id attempt, instant now)
{
    const auto it = attempts_.find(attempt);
    if (it != attempts_.end() && it->second == attempt_state::running) {
        it->second = attempt_state::over;
        ended_.push_back({now, attempt});
    }
}

bool attempt_table::tombstone(attempt_id attempt, instant now)
{
    const auto [it, added] = attempts_.try_emplace(attempt, attempt_state::tombstoned);
    if (!added && (it->second == attempt_state::running || it->second == attempt_state::over)) {
        return false;
    }
    if (added || it->second == attempt_state::queued) {
        it->second = attempt_state::tombstoned;
        ended_.push_back({now, attempt});
    }
    return true;
}

std::optional<attempt_state> attempt_table::state(attempt_id attempt) const
{
    const auto it = attempts_.find(attempt);
    return it == attempts_.end() ? std::nullopt : std::optional{it->second};
}

void attempt_table::expire(instant now)
{
    while (!ended_.empty() && ended_.front().at + retention_ < now) {
        attempts_.erase(ended_.front().attempt);
        ended_.pop_front();
    }
}

} // namespace hickorypost::admission
