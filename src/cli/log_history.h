#pragma once
/// One request's or one configuration's story, put together from the logs of several processes.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hickorypost {

/// A structured line as a process wrote it.
struct log_line {
    std::string node;
    std::int64_t written_ms = 0;   ///< by the process's own clock, since the epoch
    std::int64_t corrected_ms = 0; ///< by the clock of the process with the most lines
    std::string event;
    std::string text; ///< its other fields as `name=value`
};

/// What to look for; empty fields are not looked for.
struct history_query {
    std::string request;
    std::string config_version;
    /// Lines on the backend servers of the request are shown this long before and after it.
    std::int64_t around_ms = 3000;
};

struct log_history {
    std::vector<log_line> lines; ///< in order
    std::size_t unreadable = 0;  ///< lines that are not a JSON object
};

/// Reads lines in the order of each file. Whatever stands before the JSON object on a line is
/// passed over, as collectors put their own times there.
///
/// Clocks may disagree and jump. Some lines say the same on all processes within milliseconds: that
/// a configuration is in force, that a backend server has changed. Where two processes share such
/// lines, the nearest one gives the difference between their clocks.
log_history read_history(const std::vector<std::string>& files, const history_query& query);

} // namespace hickorypost
