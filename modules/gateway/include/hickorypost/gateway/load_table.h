#pragma once

#include "hickorypost/gateway/load_balancer.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickorypost::gateway {

struct load_table_settings {
    /// A sum that has moved by less is not told again. A short prompt takes 5 to 20 ms to read; the
    /// long ones that make others wait take 50 ms to 3 s.
    double least_reading_ms = 15;
    double least_requests = 3;
};

/// Who has how much work on which backend server, and which of the sums others should hear of.
///
/// Load pattern: a prompt of 30,000 tokens occupies an engine for a second. Processes that hear of
/// it 200 ms late send theirs there too: of 18,000 first events 1,919 came more than 300 ms later
/// than their sender expected, and all but 98 of them had waited behind such a prompt. So what
/// changes is told at once, and only what has changed enough to matter. Sans I/O.
class load_table {
public:
    explicit load_table(load_table_settings settings) : settings_{settings} {}

    /// `source` has this work on `backend`; nothing, if both figures are 0. True if the sum has
    /// moved enough to be told.
    bool set(const std::string& source, const std::string& backend, const remote_load& load);
    /// `source` has all its work here, and none elsewhere. Gives the backend servers concerned.
    std::vector<std::string> replace(const std::string& source,
                                     const std::map<std::string, remote_load>& loads);
    /// `source` is gone, and its work with it. Gives the backend servers concerned.
    std::vector<std::string> forget(const std::string& source) { return replace(source, {}); }

    /// The work of all sources but one.
    [[nodiscard]] remote_load without(const std::string& source, const std::string& backend) const;
    /// Backend servers whose sums have moved enough since they were last taken here.
    std::vector<std::string> take_changed();
    /// All backend servers with work.
    [[nodiscard]] std::vector<std::string> all() const;

private:
    struct row {
        std::map<std::string, remote_load> parts; ///< by source
        remote_load sum;
        remote_load told;
        bool moved = false;
    };

    void add_up(row& it, const std::string& backend);

    load_table_settings settings_;
    std::unordered_map<std::string, row> rows_;
    std::vector<std::string> moved_;
};

} // namespace hickorypost::gateway
