#pragma once

#include "hickorypost/base/time.h"

#include <cstdint>

namespace hickorypost::gateway {

struct overload_settings {
    /// A main loop iteration of at least this length is long. What arrives during it waits.
    millis long_iteration{120};
    /// A host is overloaded after this many long iterations in a row, and at least this time of
    /// them. A single one may be due to a large configuration or a processor quota.
    std::uint32_t min_iterations = 3;
    millis min_time{400};
    /// Within this time after an overload, one long iteration is enough.
    millis memory{2000};
};

/// Finds out whether a host receives more than it can process, from the length of its main loop
/// iterations: work that has arrived in the meantime makes the next one longer. Performs no I/O.
class overload_detector {
public:
    explicit overload_detector(overload_settings settings) : settings_{settings} {}

    /// Notes a main loop iteration that has just ended.
    void iteration(micros duration, instant now);
    [[nodiscard]] bool is_overloaded() const noexcept { return overloaded_; }

private:
    overload_settings settings_;
    std::uint32_t long_iterations_ = 0; ///< in a row
    micros time_{0};                    ///< of these
    bool overloaded_ = false;
    instant last_overloaded_; ///< the epoch: never
};

} // namespace hickorypost::gateway
