#pragma once

#include "hickorypost/base/time.h"

#include <cstddef>

namespace hickorypost::scheduling {

struct load_report_settings {
    /// Interval between reports for up to `precise_backends` loaded backend servers. It grows in
    /// proportion beyond them, as each of them then gets fewer requests in that time.
    millis min_interval{10};
    millis max_interval{100};
    std::size_t precise_backends = 60;
    /// Rows of significant changes, per second and receiver. A row takes up to 50 bytes, and a host
    /// may receive 29 kB per second for control.
    double changed_rows_per_second = 400;
    /// Rows that are reported in rotation, per second and receiver.
    double rotated_rows_per_second = 100;
    /// Shortest period in which the rotation reports each backend server once.
    millis min_rotation{300};
};

/// Decides how often load on backend servers is reported to other hosts and how many rows a report
/// has. Performs no I/O.
///
/// Load pattern: with hundreds of backend servers the load of some changes all the time, and each
/// change concerns every host. Unlimited reports take more bandwidth and processor time of the
/// hosts that forward them than callers' requests do.
class load_report_pacer {
public:
    explicit load_report_pacer(load_report_settings settings) : settings_{settings} {}

    /// Time until the next report may be sent, if `backends` backend servers have load.
    [[nodiscard]] millis wait(std::size_t backends, instant now) const;

    /// Number of rows that a report may have.
    struct row_limit {
        std::size_t changed = 0;
        std::size_t rotated = 0;
    };
    /// Returns the limits for the report that is sent now.
    row_limit begin_report(std::size_t backends, instant now);
    /// Takes the rows of changes that the report has from the allowance.
    void end_report(std::size_t changed_rows);

private:
    load_report_settings settings_;
    instant last_report_;
    double changed_rows_ = 0;
    double rotated_rows_ = 0;
};

} // namespace hickorypost::scheduling
