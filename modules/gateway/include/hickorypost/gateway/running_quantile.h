#pragma once

namespace hickorypost::gateway {

/// Estimates a quantile of a sequence of positive values in constant memory: each value moves the
/// estimate up or down by a small factor, so that it settles where the fraction `quantile` of the
/// values lies below it.
class running_quantile {
public:
    /// `step` is the largest relative change of the estimate by one value.
    running_quantile(double quantile, double step) : quantile_{quantile}, step_{step} {}

    void add(double value)
    {
        if (!known()) {
            estimate_ = value;
        } else {
            estimate_ *= value > estimate_ ? 1 + step_ * quantile_ : 1 - step_ * (1 - quantile_);
        }
    }
    [[nodiscard]] bool known() const noexcept { return estimate_ > 0; }
    [[nodiscard]] double value() const noexcept { return estimate_; }

private:
    double quantile_;
    double step_;
    double estimate_ = 0;
};

} // namespace hickorypost::gateway
