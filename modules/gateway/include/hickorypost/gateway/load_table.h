#pragma once

#include "hickorypost/gateway/load_balancer.h"

#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hickorypost::gateway {

struct load_table_settings {
    /// Smallest changes of a backend server's total load that are reported. Prefill of a short
    /// prompt takes 5 to 20 ms; that of the long prompts that delay others takes 50 ms to 3 s.
    double min_prefill_change_ms = 15;
    double min_requests_change = 3;
    /// Number of loaded backend servers up to which these two apply; both grow in proportion beyond
    /// it. The more backend servers there are, the less the exact load of each matters to find a
    /// lightly loaded one, while the rows to report grow with backend servers times hosts.
    std::size_t precise_backends = 60;
    /// Smallest relative change of an engine's event interval that is reported.
    double min_speed_change = 0.15;
};

/// The load of each gateway process on each backend server. Determines which totals have changed
/// enough to be reported to other processes. Connections are not summed. Performs no I/O.
///
/// Significant changes do not wait for a period, because a prompt of 30,000 tokens occupies an
/// engine for a second and processes that learn of it 200 ms late send their requests to the same
/// engine. With reports that late, 1,919 of 18,000 first events came more than 300 ms later than
/// expected, and all but 98 of these had waited behind such a prompt. Changes too small to affect
/// placement are not reported.
class load_table {
public:
    explicit load_table(load_table_settings settings) : settings_{settings} {}

    /// Sets the load of process `source` on `backend`; zero load removes the entry. Returns true if
    /// the total has changed enough to be reported.
    bool set(const std::string& source, const std::string& backend, const remote_load& load);
    /// Replaces all load of `source` by `loads`. Returns the affected backend servers.
    std::vector<std::string> replace(const std::string& source,
                                     const std::map<std::string, remote_load>& loads);
    /// Removes all load of `source`. Returns the affected backend servers.
    std::vector<std::string> forget(const std::string& source) { return replace(source, {}); }

    /// The load of all processes except `source` on a backend server.
    [[nodiscard]] remote_load without(const std::string& source, const std::string& backend) const;
    /// Returns the backend servers whose totals must be reported, those with the largest changes
    /// first and at most `limit`, and marks them as reported. The others remain to be reported.
    std::vector<std::string> take_changed(std::size_t limit = no_limit);
    /// Returns the next `limit` backend servers in rotation, whether or not their totals have
    /// changed, and marks them as reported. Reports of them correct the small changes that
    /// `take_changed` leaves out.
    std::vector<std::string> take_rotation(std::size_t limit);
    /// Whether totals wait to be reported.
    [[nodiscard]] bool has_changes() const noexcept { return !changed_.empty(); }
    /// Number of backend servers with load that is known or has been reported.
    [[nodiscard]] std::size_t size() const noexcept { return rows_.size(); }
    /// All backend servers with load.
    [[nodiscard]] std::vector<std::string> all() const;

    static constexpr std::size_t no_limit = std::numeric_limits<std::size_t>::max();

private:
    /// The load on one backend server.
    struct row {
        std::map<std::string, remote_load> loads_by_source;
        remote_load total;
        remote_load reported; ///< total at the last report
    };

    /// Difference between the total and the last report, in multiples of the smallest change that
    /// is reported.
    [[nodiscard]] double significance(const row& it) const;
    /// Recomputes the total and marks the row if it must be reported.
    void update_total(row& it, const std::string& backend);
    /// Marks a row as reported and removes it if it has no load. Returns the next row.
    std::map<std::string, row>::iterator reported(std::map<std::string, row>::iterator it);

    load_table_settings settings_;
    std::map<std::string, row> rows_; ///< ordered, for `take_rotation`
    std::set<std::string> changed_;
    std::string rotated_to_; ///< last backend server that `take_rotation` returned
};

} // namespace hickorypost::gateway
