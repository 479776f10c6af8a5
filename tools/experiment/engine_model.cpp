#include "engine_model.h"

#include <utility>

namespace hickorypost::experiment {

bool engine_model::take_prefix(std::uint64_t prefix)
{
    if (prefix == 0) {
        return false;
    }
    if (cache_.contains(prefix)) {
        return true;
    }
    cache_.insert(prefix);
    cache_order_.push_back(prefix);
    if (cache_order_.size() > parameters_.cached_prefixes) {
        cache_.erase(cache_order_.front());
        cache_order_.pop_front();
    }
    return false;
}

micros engine_model::begin_step()
{
    double us =
        parameters_.step_us + parameters_.per_sequence_us * static_cast<double>(batch_.size());
    for (auto& it : batch_) {
        if (!std::exchange(it.prefilled, true)) {
            const bool cached = take_prefix(it.prefix);
            const double share = cached ? 1.0 - parameters_.cached_prompt_share : 1.0;
            us += it.prompt_tokens * share * parameters_.per_prompt_token_us;
        }
    }
    return micros{static_cast<std::int64_t>(us * slowness_)};
}

step_outcome engine_model::end_step()
{
    step_outcome out;
    std::vector<sequence> rest;
    rest.reserve(batch_.size());
    for (auto& it : batch_) {
        if (!it.prefilled) {
            rest.push_back(it); // joined while the step was under way
            continue;
        }
        if (it.prompt_tokens >= 0) {
            out.first.push_back(it.id);
            it.prompt_tokens = -1;
        }
        if (--it.left == 0) {
            out.done.push_back(it.id);
        } else {
            rest.push_back(it);
        }
    }
    batch_ = std::move(rest);
    return out;
}

} // namespace hickorypost::experiment
