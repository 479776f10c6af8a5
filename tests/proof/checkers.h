#pragma once
/// One function per promise: finds where a history breaks it.

#include "history.h"

#include <span>

namespace hickorypost::proof {

struct violation {
    std::string promise;
    std::string what;
    std::string key; ///< request that shows it; empty if none does
};

struct promise_checker {
    std::string_view name;
    std::vector<violation> (*check)(const history&);
};

/// Time after acceptance at which a change is in force everywhere, as the product promises it.
inline constexpr millis in_force_limit{3000};
/// Time after a backend server said that it is leaving, at which new work must have ended.
inline constexpr millis leaving_limit{3000};

std::span<const promise_checker> all_checkers();

/// What a stand-in engine answers to a request; the same for every run of it on one version.
std::string expected_answer(const request_key& key, const model_version& target);

} // namespace hickorypost::proof
