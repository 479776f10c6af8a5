#pragma once

namespace hickorypost::gateway {

/// Follows a quantile of a stream of positive values in constant memory: each value moves it a
/// small part up or down, so that it rests where that share of the values lies below.
class running_quantile {
public:
    /// `step`: part by which one value moves it at most.
    running_quantile(double share, double step) : share_{share}, step_{step} {}

    void add(double value)
    {
        if (!known()) {
            at_ = value;
        } else {
            at_ *= value > at_ ? 1 + step_ * share_ : 1 - step_ * (1 - share_);
        }
    }
    [[nodiscard]] bool known() const noexcept { return at_ > 0; }
    [[nodiscard]] double value() const noexcept { return at_; }

private:
    double share_;
    double step_;
    double at_ = 0;
};

} // namespace hickorypost::gateway
