#include "hickorypost/gateway/overload_detector.h"

namespace hickorypost::gateway {

void overload_detector::iteration(micros duration, instant now)
{
    if (duration < settings_.long_iteration) {
        long_iterations_ = 0;
        time_ = {};
        overloaded_ = false;
        return;
    }
    ++long_iterations_;
    time_ += duration;
    const bool was_overloaded =
        last_overloaded_ != instant{} && now < last_overloaded_ + settings_.memory;
    overloaded_ = was_overloaded ||
                  (long_iterations_ >= settings_.min_iterations && time_ >= settings_.min_time);
    if (overloaded_) {
        last_overloaded_ = now;
    }
}

} // namespace hickorypost::gateway
