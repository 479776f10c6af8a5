#include "hickorypost/scheduling/load_report_pacer.h"

#include <algorithm>

namespace hickorypost::scheduling {

millis load_report_pacer::wait(std::size_t backends, instant now) const
{
    const double scale = std::max(1.0, static_cast<double>(backends) /
                                           static_cast<double>(settings_.precise_backends));
    const double scaled_ms = scale * static_cast<double>(settings_.min_interval.count());
    const millis interval =
        std::min(settings_.max_interval, millis{static_cast<std::int64_t>(scaled_ms)});
    const auto since = std::chrono::duration_cast<millis>(now - last_report_);
    return std::max(millis{0}, interval - since);
}

load_report_pacer::row_limit load_report_pacer::begin_report(std::size_t backends, instant now)
{
    const std::chrono::duration<double> elapsed = now - last_report_;
    const std::chrono::duration<double> rotation = settings_.min_rotation;
    last_report_ = now;
    changed_rows_ = std::min(settings_.changed_rows_per_second,
                             changed_rows_ + elapsed.count() * settings_.changed_rows_per_second);
    const double rotated_per_second = std::min(settings_.rotated_rows_per_second,
                                               static_cast<double>(backends) / rotation.count());
    rotated_rows_ =
        std::min(rotated_per_second, rotated_rows_ + elapsed.count() * rotated_per_second);
    const row_limit out{static_cast<std::size_t>(changed_rows_),
                        static_cast<std::size_t>(rotated_rows_)};
    rotated_rows_ -= static_cast<double>(out.rotated);
    return out;
}

void load_report_pacer::end_report(std::size_t changed_rows)
{
    changed_rows_ -= static_cast<double>(changed_rows);
}

} // namespace hickorypost::scheduling
