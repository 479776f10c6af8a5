#pragma once

#include "hickorypost/base/time.h"

#include <deque>
#include <functional>
#include <unordered_set>
#include <vector>

namespace hickorypost::experiment {

/// Published behaviour of a continuously batching engine, nothing more: a step makes one token for
/// every running sequence, and takes longer the more there are and the more prompt it reads in.
struct engine_parameters {
    double step_us = 3000;        ///< a step with an empty batch
    double per_sequence_us = 250; ///< more for each running sequence
    double per_prompt_token_us = 25;
    double cached_prompt_share = 0.85; ///< of the prompt that a cached prefix saves
    std::size_t cached_prefixes = 64;  ///< before the oldest is evicted
    std::uint32_t slots = 16;
};

/// A sequence in the batch.
struct sequence {
    std::uint64_t id = 0;
    double prompt_tokens = 0;
    std::uint32_t left = 0; ///< tokens still to make
    std::uint64_t prefix = 0;
    bool prefilled = false;
};

/// What a step brought about.
struct step_outcome {
    std::vector<std::uint64_t> first; ///< sequences that made their first token
    std::vector<std::uint64_t> done;
};

/// One replica of a model engine in virtual time.
class engine_model {
public:
    engine_model(engine_parameters parameters, double slowness)
        : parameters_{parameters}, slowness_{slowness}
    {
    }

    void add(const sequence& it) { batch_.push_back(it); }
    [[nodiscard]] bool idle() const noexcept { return batch_.empty(); }
    [[nodiscard]] std::size_t running() const noexcept { return batch_.size(); }
    /// Time that the next step takes.
    micros begin_step();
    step_outcome end_step();
    void set_slowness(double factor) { slowness_ = factor; }

private:
    bool take_prefix(std::uint64_t prefix);

    engine_parameters parameters_;
    double slowness_;
    std::vector<sequence> batch_;
    std::unordered_set<std::uint64_t> cache_;
    std::deque<std::uint64_t> cache_order_;
};

} // namespace hickorypost::experiment
