#include "hickorypost/rollout/exposure_tracker.h"

namespace hickorypost::rollout {

bool exposure_tracker::take(const model_version& candidate, instant now)
{
    const auto it = leases_.find(candidate);
    if (it == leases_.end() || it->second.answers == 0 || now >= it->second.expires ||
        unit_random(random_) >= it->second.share) {
        return false;
    }
    --it->second.answers;
    return true;
}

void exposure_tracker::return_answer(const model_version& candidate)
{
    if (const auto it = leases_.find(candidate); it != leases_.end()) {
        ++it->second.answers;
    }
}

wire::version_evidence& exposure_tracker::evidence_of(const model_version& version)
{
    auto& it = evidence_[version];
    it.version = version;
    return it;
}

void exposure_tracker::record_answer(const model_version& version, bool error, bool slow)
{
    auto& it = evidence_of(version);
    ++it.answers;
    it.errors += error ? 1U : 0U;
    it.slow += slow && !error ? 1U : 0U;
}

void exposure_tracker::record_rating(const model_version& version, bool good)
{
    auto& it = evidence_of(version);
    ++(good ? it.rated_good : it.rated_bad);
}

std::optional<wire::exposure_request> exposure_tracker::due(instant now)
{
    if (sent_) {
        if (now < sent_at_ + options_.resend_after) {
            return std::nullopt;
        }
        sent_at_ = now;
        return sent_;
    }
    if (now < sent_at_ + options_.report_period) {
        return std::nullopt;
    }
    wire::exposure_request out;
    out.sequence = ++sequence_;
    for (const auto& [version, it] : evidence_) {
        out.evidence.push_back(it);
    }
    evidence_.clear();
    sent_ = out;
    sent_at_ = now;
    return out;
}

void exposure_tracker::apply_grant(const wire::exposure_grant& grant, instant now)
{
    if (!sent_ || grant.sequence != sent_->sequence) {
        return; // a second reply to a request that was already answered
    }
    sent_.reset();
    // Unspent answers of earlier grants are kept, since the controller still counts them as
    // outstanding for this entry.
    std::map<model_version, lease> next;
    for (const auto& it : grant.leases) {
        lease& entry_lease = next[it.version];
        entry_lease.answers = it.answers;
        entry_lease.share = it.share;
        entry_lease.expires = now + options_.grant_lifetime;
        if (const auto previous = leases_.find(it.version);
            previous != leases_.end() && now < previous->second.expires) {
            entry_lease.answers += previous->second.answers;
        }
    }
    leases_ = std::move(next);
}

} // namespace hickorypost::rollout
